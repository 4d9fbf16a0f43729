package trace

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"threadglade.example/threadglade"
)

// reasonName returns the name of a reason in summaries and indexes.
func reasonName(n int64) string { return threadglade.Reason(n).String() }

// Selector selects records in two passes over a range of time. A selection that restricts more than time selects
// whole calls: the first pass (NoteMatch) collects the calls that match, the second (Selects) selects all of their
// records. It isn't safe for concurrent use.
type Selector struct {
	Selection
	matchedCalls map[string]bool
	started      map[string]bool // calls whose request was selected or is to be looked up
}

// NewSelector returns a Selector for a selection.
func NewSelector(s Selection) *Selector {
	return &Selector{Selection: s, matchedCalls: map[string]bool{}, started: map[string]bool{}}
}

// NoteMatch notes, in the first pass, the call of a record that matches the selection.
func (p *Selector) NoteMatch(r *Record) {
	if p.hasFilter() && p.containsTime(r.At) && r.Texts[Call] != "" && p.matches(r) {
		p.matchedCalls[r.Texts[Call]] = true
	}
}

// Selects reports in the second pass whether a record is selected. Records that belong to no call are selected if the
// selection restricts only time, or if they belong to the selected server.
func (p *Selector) Selects(r *Record) bool {
	if !p.containsTime(r.At) {
		return false
	}
	selected := !p.hasFilter() || p.matchedCalls[r.Texts[Call]]
	if r.Texts[Call] == "" {
		selected = !p.hasFilter() || p.Server != "" && r.Texts[Server] == p.Server
	}
	if selected && r.Texts[Call] != "" && r.Kind == Request {
		p.started[r.Texts[Call]] = true
	}
	return selected
}

// NeedsRequest reports whether the call of a selected record started before the cut, so that its request has to be
// looked up. It returns true once for each call.
func (p *Selector) NeedsRequest(r *Record) bool {
	call := r.Texts[Call]
	if call == "" || r.Kind == Request || r.Kind == UnexpectedRelease || p.started[call] {
		return false
	}
	p.started[call] = true
	return true
}

// Anonymizer replaces personal data with keyed hashes. With the same key, a value has the same hash in every file. It
// isn't safe for concurrent use.
type Anonymizer struct {
	key   []byte
	cache map[string]string
}

// minKeyBytes is the shortest length of a key.
const minKeyBytes = 16

// NewAnonymizer returns an Anonymizer, or an error if the key is too short.
func NewAnonymizer(key []byte) (*Anonymizer, error) {
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("key has %d bytes, needs at least %d", len(key), minKeyBytes)
	}
	return &Anonymizer{key: key, cache: map[string]string{}}, nil
}

// maxCachedHashes limits the cache of hashes.
const maxCachedHashes = 1 << 18

// Anonymize returns the replacement for a value of a column; values that aren't personal are returned as they are.
func (a *Anonymizer) Anonymize(t Text, value string) string {
	if value == "" || !t.isPersonal() {
		return value
	}
	cacheKey := string(rune(t)) + value
	if out, ok := a.cache[cacheKey]; ok {
		return out
	}
	m := hmac.New(sha256.New, a.key)
	m.Write([]byte{byte(t)})
	m.Write([]byte(value))
	sum := m.Sum(nil)
	out := hex.EncodeToString(sum[:8])
	switch t {
	case Caller: // an IPv6 address of the private range fd00::/8
		var b [16]byte
		copy(b[:], sum)
		b[0] = 0xfd
		out = netip.AddrFrom16(b).String()
	case Identity:
		out = "spiffe://hidden.example/" + out
	}
	if len(a.cache) >= maxCachedHashes {
		clear(a.cache)
	}
	a.cache[cacheKey] = out
	return out
}

// AnonymizeStrings returns the compressed string table of a block with its personal data replaced. The columns of the
// block stay valid.
func (a *Anonymizer) AnonymizeStrings(d *Decoder, e *Encoder, part []byte) ([]byte, error) {
	lists, err := d.Strings(part)
	if err != nil {
		return nil, err
	}
	for t := range lists {
		for i, s := range lists[t] {
			lists[t][i] = a.Anonymize(Text(t), s)
		}
	}
	return e.encodeStrings(lists), nil
}

// Meta is the header of a trace file.
type Meta struct {
	Router      string      `json:"router"` // empty in a merged file
	Incarnation int64       `json:"life"`   // start of the router's process, microseconds since the Unix epoch
	Part        int         `json:"part"`   // number of the file within the incarnation, from 1
	Build       string      `json:"build,omitempty"`
	Classes     []ClassMeta `json:"classes"`
	Clocks      []*Clock    `json:"clocks,omitempty"` // of a merged file: how its routers' clocks were corrected
	Cut         *Selection  `json:"cut,omitempty"`    // of a file cut out of another: the selection
	Anonymized  bool        `json:"hidden,omitempty"`
}

// ClassMeta describes the worth of a class of calls as a trace was recorded.
type ClassMeta struct {
	Name      string  `json:"name"`
	AimMs     int64   `json:"aim_ms"`     // target for the time from request to answer
	Worth     float64 `json:"worth"`      // of a call answered within AimMs
	LateWorth float64 `json:"late_worth"` // factor on Worth for a later answer
}

// ConvertClasses converts the classes of the controller's settings.
func ConvertClasses(list []threadglade.Class) (out []ClassMeta) {
	for _, c := range list {
		out = append(out, ClassMeta{c.Name, c.Aim.Milliseconds(), c.Worth, c.LateFactor})
	}
	return out
}

// CheckMergeable returns an error if two files can't be merged.
func (m Meta) CheckMergeable(o Meta) error {
	if fmt.Sprint(m.Classes) != fmt.Sprint(o.Classes) {
		return errors.New("the files were recorded with different classes")
	}
	if m.Anonymized != o.Anonymized {
		return errors.New("only one of the files is anonymised")
	}
	return nil
}

// answerWorth returns the worth offered by a call of a class, and the worth earned by an answer after took
// microseconds; a negative took means that the call was not established.
func (m *Meta) answerWorth(class string, took int64) (offered, earned float64, late bool) {
	for _, c := range m.Classes {
		if c.Name == class {
			if took < 0 {
				return c.Worth, 0, false
			}
			if took > c.AimMs*1000 {
				return c.Worth, c.Worth * c.LateWorth, true
			}
			return c.Worth, c.Worth, false
		}
	}
	return 0, 0, false
}

// plural returns a count with its noun in the singular or the plural.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	if strings.HasSuffix(noun, "s") {
		return fmt.Sprintf("%d %ses", n, noun)
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

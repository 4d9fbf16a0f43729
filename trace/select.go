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

// reasonName is a reason as summaries and the index name it.
func reasonName(n int64) string { return threadglade.Reason(n).String() }

// Picker finds which records of a range are wanted. Where more than time is asked for, whole calls are: a first pass over the range
// notes the calls that match, a second takes all that they did in it.
type Picker struct {
	Selection
	calls map[string]bool
	took  map[string]bool
}

// NewPicker begins a selection.
func NewPicker(s Selection) *Picker {
	return &Picker{Selection: s, calls: map[string]bool{}, took: map[string]bool{}}
}

// Note is the first pass.
func (p *Picker) Note(r *Record) {
	if p.narrow() && p.within(r.At) && r.S[Call] != "" && p.matches(r) {
		p.calls[r.S[Call]] = true
	}
}

// Take is the second pass: whether the record is wanted. Records of no call are wanted where calls are not singled out, or where they
// are of the server that is.
func (p *Picker) Take(r *Record) bool {
	if !p.within(r.At) {
		return false
	}
	wanted := !p.narrow() || p.calls[r.S[Call]]
	if r.S[Call] == "" {
		wanted = !p.narrow() || p.Server != "" && r.S[Server] == p.Server
	}
	if wanted && r.S[Call] != "" && r.Kind == Request {
		p.took[r.S[Call]] = true
	}
	return wanted
}

// Missing says whether the call of a wanted record began before the cut, and notes that it is looked for.
func (p *Picker) Missing(r *Record) bool {
	call := r.S[Call]
	if call == "" || r.Kind == Request || r.Kind == Stray || p.took[call] {
		return false
	}
	p.took[call] = true
	return true
}

// ---- anonymising ----

// Hider puts keyed hashes in the place of what tells a person: the same value becomes the same hash, with the same key in every
// file.
type Hider struct {
	key   []byte
	cache map[string]string
}

// keyLeast bytes a key has at least.
const keyLeast = 16

// NewHider takes a key.
func NewHider(key []byte) (*Hider, error) {
	if len(key) < keyLeast {
		return nil, fmt.Errorf("a key of %d bytes; at least %d are wanted", len(key), keyLeast)
	}
	return &Hider{key: key, cache: map[string]string{}}, nil
}

// hiddenMost values are remembered, which only saves work.
const hiddenMost = 1 << 18

// Hide is what stands for a value of a column.
func (h *Hider) Hide(t Text, value string) string {
	if value == "" || !t.personal() {
		return value
	}
	known := string(rune(t)) + value
	if out, ok := h.cache[known]; ok {
		return out
	}
	m := hmac.New(sha256.New, h.key)
	m.Write([]byte{byte(t)})
	m.Write([]byte(value))
	sum := m.Sum(nil)
	out := hex.EncodeToString(sum[:8])
	switch t {
	case Caller: // an address of the range that is for private use
		var b [16]byte
		copy(b[:], sum)
		b[0] = 0xfd
		out = netip.AddrFrom16(b).String()
	case Identity:
		out = "spiffe://hidden.example/" + out
	}
	if len(h.cache) >= hiddenMost {
		clear(h.cache)
	}
	h.cache[known] = out
	return out
}

// Strings rewrites the strings of a block; its columns stay as they are.
func (h *Hider) Strings(d *Decoder, e *Encoder, part []byte) ([]byte, error) {
	lists, err := d.Strings(part)
	if err != nil {
		return nil, err
	}
	for t := range lists {
		for i, s := range lists[t] {
			lists[t][i] = h.Hide(Text(t), s)
		}
	}
	return e.strings(lists), nil
}

// ---- what a file says of itself ----

// Meta is what a file begins with.
type Meta struct {
	Router  string      `json:"router"` // empty in a merged file
	Life    int64       `json:"life"`   // when the router's process began, microseconds since the Unix epoch
	Part    int         `json:"part"`   // number of the file in that life, from 1
	Build   string      `json:"build,omitempty"`
	Classes []ClassMeta `json:"classes"`
	Clocks  []*Clock    `json:"clocks,omitempty"` // of a merged file
	Cut     *Selection  `json:"cut,omitempty"`    // of a file that was cut out of another
	Hidden  bool        `json:"hidden,omitempty"`
}

// ClassMeta is what a class of calls was worth.
type ClassMeta struct {
	Name  string  `json:"name"`
	AimMs int64   `json:"aim_ms"`
	Worth float64 `json:"worth"`
	Late  float64 `json:"late_worth"` // part of it
}

// Classes describes the classes of the decisions' settings.
func Classes(list []threadglade.Class) (out []ClassMeta) {
	for _, c := range list {
		out = append(out, ClassMeta{c.Name, c.Aim.Milliseconds(), c.Worth, c.LateFactor})
	}
	return out
}

// Same says whether two files can be brought into one.
func (m Meta) Same(o Meta) error {
	if fmt.Sprint(m.Classes) != fmt.Sprint(o.Classes) {
		return errors.New("the files are of routers with other classes")
	}
	if m.Hidden != o.Hidden {
		return errors.New("one file is anonymised, another is not")
	}
	return nil
}

// earned is the worth of an answer.
func (m *Meta) earned(class string, took int64) (offered, earned float64, late bool) {
	for _, c := range m.Classes {
		if c.Name == class {
			if took < 0 {
				return c.Worth, 0, false
			}
			if took > c.AimMs*1000 {
				return c.Worth, c.Worth * c.Late, true
			}
			return c.Worth, c.Worth, false
		}
	}
	return 0, 0, false
}

func plural(n int, one string) string {
	if n == 1 {
		return "1 " + one
	}
	if strings.HasSuffix(one, "s") {
		return fmt.Sprintf("%d %ses", n, one)
	}
	return fmt.Sprintf("%d %ss", n, one)
}

package ledger

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"maps"
	"slices"
	"time"
	"unique"
)

// Kinds of frames in an export file; docs/formats/ledger.md has the whole form.
const (
	frameHead uint16 = iota + 1
	frameLines
	frameCorrections
	frameUnknown
	frameCalls
	frameTrailer
)

const (
	rowsPerFrame  = 512
	callsPerFrame = 1024
)

// Line is what one tenant has used of one class.
type Line struct {
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	Usage  Usage  `json:"usage"`
}

// Correction changes one figure of a period that was closed before.
type Correction struct {
	Number uint64 `json:"number"` // within its export, from 1
	Origin string `json:"origin"` // "late": a call's end came after the closing; "operator"
	Entry  uint64 `json:"entry,omitempty"`
	Period int64  `json:"period_ms"` // beginning of the period that it mends
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	Field  string `json:"field"`
	Delta  int64  `json:"delta"`
	Reason string `json:"reason,omitempty"`
	By     string `json:"by,omitempty"`
	At     int64  `json:"at_ms,omitempty"`
}

// Validate names the field that is wrong.
func (c *Correction) Validate() error {
	if _, err := ParseField(c.Field); err != nil {
		return fmt.Errorf("field: %w", err)
	}
	for name, text := range map[string]string{"tenant": c.Tenant, "class": c.Class, "by": c.By} {
		if err := ValidName(text); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if c.Reason == "" || len(c.Reason) > 4096 {
		return errors.New("reason: 1 to 4096 bytes are wanted")
	}
	if c.Delta == 0 {
		return errors.New("delta: 0 corrects nothing")
	}
	return nil
}

// Export is one statement as it leaves the router.
type Export struct {
	ID          string        `json:"id"` // hash of the content
	Router      string        `json:"router"`
	Sequence    uint64        `json:"sequence"`
	From        int64         `json:"from_ms"`
	To          int64         `json:"to_ms"`
	Length      int64         `json:"period_ms"`
	Spilled     uint64        `json:"spilled,omitempty"` // calls in the lines that are not listed one by one
	Lines       []Line        `json:"lines"`
	Corrections []Correction  `json:"corrections,omitempty"`
	Unknown     []UnknownCall `json:"unknown,omitempty"`
	Count       uint64        `json:"calls_listed"` // calls that stood
}

// head is the first frame: what an Export holds beside its rows.
type head struct {
	Router   string `json:"router"`
	Sequence uint64 `json:"sequence"`
	From     int64  `json:"from_ms"`
	To       int64  `json:"to_ms"`
	Length   int64  `json:"period_ms"`
	Spilled  uint64 `json:"spilled"`
	Lines    int    `json:"lines"`
	Mends    int    `json:"corrections"`
	Unknown  int    `json:"unknown"`
	Calls    uint64 `json:"calls"`
}

// NewExport makes an export of a statement and the operators' corrections that go with it.
func NewExport(t Terms, s *Statement, operator []Correction) (*Export, []uint64) {
	e := &Export{Router: t.Router, Sequence: s.Sequence, From: s.From, To: s.To, Length: t.Length, Spilled: s.Spilled,
		Unknown: s.Unknown, Count: uint64(len(s.Calls))}
	for _, key := range slices.SortedFunc(maps.Keys(s.Totals), compareKeys) {
		e.Lines = append(e.Lines, Line{key.Tenant, key.Class, *s.Totals[key]})
	}
	for _, period := range slices.Sorted(maps.Keys(s.Late)) {
		for _, key := range slices.SortedFunc(maps.Keys(s.Late[period]), compareKeys) {
			for f, delta := range s.Late[period][key] {
				if delta != 0 {
					e.Corrections = append(e.Corrections, Correction{Origin: "late", Period: period, Tenant: key.Tenant,
						Class: key.Class, Field: Field(f).String(), Delta: delta})
				}
			}
		}
	}
	for _, c := range operator {
		c.Origin = "operator"
		e.Corrections = append(e.Corrections, c)
	}
	for i := range e.Corrections {
		e.Corrections[i].Number = uint64(i + 1)
	}
	return e, s.Calls
}

// FileName is the export's name: router, period and sequence. Bytes that do not belong in a file name are written %XX.
func (e *Export) FileName() string {
	var name []byte
	for _, c := range []byte(e.Router) {
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c == '.' && len(name) > 0 {
			name = append(name, c)
		} else {
			name = fmt.Appendf(name, "%%%02X", c)
		}
	}
	return fmt.Sprintf("%s-%s-%08d.tgx", name, time.UnixMilli(e.From).UTC().Format("20060102T150405Z"), e.Sequence)
}

// digest sums up frames.
type digest struct{ hash.Hash }

func (d digest) frame(kind uint16, payload []byte) {
	var b [6]byte
	binary.LittleEndian.PutUint16(b[:], kind)
	binary.LittleEndian.PutUint32(b[2:], uint32(len(payload)))
	d.Write(b[:])
	d.Write(payload)
}

// Encode writes an export and the calls that stood, ascending, frame by frame, and sets its ID. The same content gives the
// same frames.
func (e *Export) Encode(calls []uint64, frame func(kind uint16, payload []byte) error) error {
	d := digest{sha256.New()}
	var failed error
	put := func(kind uint16, payload []byte) {
		if failed == nil {
			d.frame(kind, payload)
			failed = frame(kind, payload)
		}
	}
	text := func(kind uint16, v any) {
		b, err := json.Marshal(v)
		if err != nil && failed == nil {
			failed = err
		}
		put(kind, b)
	}
	text(frameHead, head{e.Router, e.Sequence, e.From, e.To, e.Length, e.Spilled, len(e.Lines), len(e.Corrections),
		len(e.Unknown), uint64(len(calls))})
	for part := range slices.Chunk(e.Lines, rowsPerFrame) {
		text(frameLines, part)
	}
	for part := range slices.Chunk(e.Corrections, rowsPerFrame) {
		text(frameCorrections, part)
	}
	for part := range slices.Chunk(e.Unknown, rowsPerFrame) {
		text(frameUnknown, part)
	}
	var b []byte
	last := uint64(0)
	for part := range slices.Chunk(calls, callsPerFrame) {
		b = b[:0]
		for _, c := range part {
			b = binary.AppendUvarint(b, c-last)
			last = c
		}
		put(frameCalls, b)
	}
	if failed != nil {
		return failed
	}
	sum := d.Sum(nil)
	e.ID = hex.EncodeToString(sum)
	return frame(frameTrailer, sum)
}

// ErrContent is wrapped by errors for an export whose frames are whole but do not make an export.
var ErrContent = errors.New("is no export")

// DecodeExport reads an export from its frames; next returns io.EOF or another error where there is none. calls, unless nil,
// gets the calls that stood, ascending, in parts that are valid only during the call.
func DecodeExport(next func() (kind uint16, payload []byte, err error), calls func([]uint64) error) (*Export, error) {
	d := digest{sha256.New()}
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w: "+format, append([]any{ErrContent}, args...)...)
	}
	var e Export
	var h head
	read := func(b []byte, v any) error {
		dec := json.NewDecoder(bytes.NewReader(b))
		dec.DisallowUnknownFields()
		if err := dec.Decode(v); err != nil {
			return bad("%v", err)
		}
		return nil
	}
	kind, payload, err := next()
	if err != nil {
		return nil, err
	}
	if kind != frameHead {
		return nil, bad("it begins with a frame of kind %d", kind)
	}
	if err := read(payload, &h); err != nil {
		return nil, err
	}
	d.frame(kind, payload)
	e = Export{Router: h.Router, Sequence: h.Sequence, From: h.From, To: h.To, Length: h.Length, Spilled: h.Spilled, Count: h.Calls}
	if h.Length <= 0 || h.To <= h.From || h.Sequence == 0 {
		return nil, bad("its period runs from %d to %d by %d", h.From, h.To, h.Length)
	}
	var list CallList
	for {
		if kind, payload, err = next(); err != nil {
			return nil, err
		}
		switch kind {
		case frameLines:
			var rows []Line
			err = read(payload, &rows)
			if e.Lines == nil {
				e.Lines = make([]Line, 0, min(max(h.Lines, 0), 1<<20))
			}
			for _, l := range rows {
				// The same few names stand in every export; one copy of each is enough.
				l.Tenant, l.Class = unique.Make(l.Tenant).Value(), unique.Make(l.Class).Value()
				e.Lines = append(e.Lines, l)
			}
		case frameCorrections:
			var rows []Correction
			err = read(payload, &rows)
			e.Corrections = append(e.Corrections, rows...)
		case frameUnknown:
			var rows []UnknownCall
			err = read(payload, &rows)
			e.Unknown = append(e.Unknown, rows...)
		case frameCalls:
			var part []uint64
			if part, err = list.Take(kind, payload); err == nil && calls != nil {
				err = calls(part)
			}
		case frameTrailer:
			if e.ID = hex.EncodeToString(d.Sum(nil)); hex.EncodeToString(payload) != e.ID {
				return nil, bad("its content is %s, its id %x", e.ID, payload)
			}
			if len(e.Lines) != h.Lines || len(e.Corrections) != h.Mends || len(e.Unknown) != h.Unknown || list.count != h.Calls {
				return nil, bad("it holds less than it says")
			}
			return &e, e.check()
		default:
			return nil, bad("a frame of kind %d", kind)
		}
		if err != nil {
			return nil, err
		}
		d.frame(kind, payload)
	}
}

// CallList reads the list of an export's calls from its frames.
type CallList struct {
	last, count uint64
	part        []uint64
}

// Take returns the calls that a frame lists, ascending, until the next Take; none for a frame of another kind.
func (l *CallList) Take(kind uint16, payload []byte) ([]uint64, error) {
	l.part = l.part[:0]
	for b := payload; kind == frameCalls && len(b) > 0; {
		delta, n := binary.Uvarint(b)
		if n <= 0 || delta == 0 && l.count > 0 || l.last+delta < l.last {
			return nil, fmt.Errorf("%w: its list of calls is out of order", ErrContent)
		}
		b, l.last = b[n:], l.last+delta
		l.count++
		l.part = append(l.part, l.last)
	}
	return l.part, nil
}

// check says what does not add up in an export.
func (e *Export) check() error {
	for _, l := range e.Lines {
		if err := l.Usage.Balance(); err != nil {
			return fmt.Errorf("%w: %s, %s: %v", ErrContent, l.Tenant, l.Class, err)
		}
	}
	for _, c := range e.Corrections {
		if _, err := ParseField(c.Field); err != nil || c.Period >= e.From {
			return fmt.Errorf("%w: correction %d of period %d", ErrContent, c.Number, c.Period)
		}
	}
	return nil
}

// compareExports orders by router and sequence.
func compareExports(a, b *Export) int {
	return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.ID, b.ID))
}

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

// Kinds of frames in an export file. docs/formats/ledger.md describes the format.
const (
	frameHeader uint16 = iota + 1
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

// Line is the usage of one class by one tenant.
type Line struct {
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	Usage  Usage  `json:"usage"`
}

// Correction changes one field of a period that is already closed.
type Correction struct {
	Number uint64 `json:"number"`          // within its export, from 1
	Origin string `json:"origin"`          // "late": calls counted after the closing; "operator": made by hand
	Entry  uint64 `json:"entry,omitempty"` // number in the log of operators' corrections, from 1
	Period int64  `json:"period_ms"`       // start of the period that it corrects
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	Field  string `json:"field"`
	Delta  int64  `json:"delta"`
	Reason string `json:"reason,omitempty"`
	By     string `json:"by,omitempty"`
	At     int64  `json:"at_ms,omitempty"`
}

// Validate checks an operator's correction. The error starts with the JSON name of the invalid field.
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
		return errors.New("reason: want 1 to 4096 bytes")
	}
	if c.Delta == 0 {
		return errors.New("delta: must not be 0")
	}
	return nil
}

// Export is a statement with its corrections, as it is written to an export file.
type Export struct {
	ID       string `json:"id"` // SHA-256 of the frames before the trailer, in hex
	Router   string `json:"router"`
	Sequence uint64 `json:"sequence"`
	From     int64  `json:"from_ms"`
	To       int64  `json:"to_ms"`
	Length   int64  `json:"period_ms"`
	// Spilled counts the calls in Lines that are missing from the list of calls, because only totals were kept of them.
	Spilled     uint64        `json:"spilled,omitempty"`
	Lines       []Line        `json:"lines"`
	Corrections []Correction  `json:"corrections,omitempty"`
	Unknown     []UnknownCall `json:"unknown,omitempty"`
	Count       uint64        `json:"calls_listed"` // number of established calls in the list
}

// header is the content of the first frame: the fields of an Export other than its rows, and the numbers of rows.
type header struct {
	Router      string `json:"router"`
	Sequence    uint64 `json:"sequence"`
	From        int64  `json:"from_ms"`
	To          int64  `json:"to_ms"`
	Length      int64  `json:"period_ms"`
	Spilled     uint64 `json:"spilled"`
	Lines       int    `json:"lines"`
	Corrections int    `json:"corrections"`
	Unknown     int    `json:"unknown"`
	Calls       uint64 `json:"calls"`
}

// NewExport returns the export of a statement with the operators' corrections, and the calls to list in it.
func NewExport(settings Settings, statement *Statement, corrections []Correction) (*Export, []uint64) {
	export := &Export{
		Router:   settings.Router,
		Sequence: statement.Sequence,
		From:     statement.From,
		To:       statement.To,
		Length:   settings.Length,
		Spilled:  statement.Spilled,
		Unknown:  statement.Unknown,
		Count:    uint64(len(statement.Calls)),
	}
	for _, key := range slices.SortedFunc(maps.Keys(statement.Totals), compareKeys) {
		export.Lines = append(export.Lines, Line{key.Tenant, key.Class, *statement.Totals[key]})
	}
	for _, period := range slices.Sorted(maps.Keys(statement.Late)) {
		for _, key := range slices.SortedFunc(maps.Keys(statement.Late[period]), compareKeys) {
			for f, delta := range statement.Late[period][key] {
				if delta != 0 {
					export.Corrections = append(export.Corrections, Correction{Origin: "late", Period: period,
						Tenant: key.Tenant, Class: key.Class, Field: Field(f).String(), Delta: delta})
				}
			}
		}
	}
	for _, c := range corrections {
		c.Origin = "operator"
		export.Corrections = append(export.Corrections, c)
	}
	for i := range export.Corrections {
		export.Corrections[i].Number = uint64(i + 1)
	}
	return export, statement.Calls
}

// FileName returns the name of the export's file: router, period and sequence. Bytes of the router's name other than
// letters, digits, '_' and '.' (not at the start) are written as %XX.
func (e *Export) FileName() string {
	var name []byte
	for _, c := range []byte(e.Router) {
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' ||
			c == '.' && len(name) > 0 {
			name = append(name, c)
		} else {
			name = fmt.Appendf(name, "%%%02X", c)
		}
	}
	return fmt.Sprintf("%s-%s-%08d.tgx", name, time.UnixMilli(e.From).UTC().Format("20060102T150405Z"), e.Sequence)
}

// digest computes the hash over the kinds, lengths and payloads of frames.
type digest struct{ hash.Hash }

func (d digest) addFrame(kind uint16, payload []byte) {
	var b [6]byte
	binary.LittleEndian.PutUint16(b[:], kind)
	binary.LittleEndian.PutUint32(b[2:], uint32(len(payload)))
	d.Write(b[:])
	d.Write(payload)
}

// Encode passes the export and its calls, which must be in ascending order, to write frame by frame, and sets the ID.
// The same content always gives the same frames.
func (e *Export) Encode(calls []uint64, write func(kind uint16, payload []byte) error) error {
	contentHash := digest{sha256.New()}
	var firstErr error
	putFrame := func(kind uint16, payload []byte) {
		if firstErr == nil {
			contentHash.addFrame(kind, payload)
			firstErr = write(kind, payload)
		}
	}
	putJSON := func(kind uint16, v any) {
		b, err := json.Marshal(v)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		putFrame(kind, b)
	}
	putJSON(frameHeader, header{e.Router, e.Sequence, e.From, e.To, e.Length, e.Spilled, len(e.Lines),
		len(e.Corrections), len(e.Unknown), uint64(len(calls))})
	for part := range slices.Chunk(e.Lines, rowsPerFrame) {
		putJSON(frameLines, part)
	}
	for part := range slices.Chunk(e.Corrections, rowsPerFrame) {
		putJSON(frameCorrections, part)
	}
	for part := range slices.Chunk(e.Unknown, rowsPerFrame) {
		putJSON(frameUnknown, part)
	}
	var b []byte
	last := uint64(0)
	for part := range slices.Chunk(calls, callsPerFrame) {
		b = b[:0]
		for _, c := range part {
			b = binary.AppendUvarint(b, c-last)
			last = c
		}
		putFrame(frameCalls, b)
	}
	if firstErr != nil {
		return firstErr
	}
	sum := contentHash.Sum(nil)
	e.ID = hex.EncodeToString(sum)
	return write(frameTrailer, sum)
}

// ErrInvalidExport is wrapped by errors for frames that are intact but don't form a valid export.
var ErrInvalidExport = errors.New("invalid export")

// DecodeExport reads an export from the frames that next returns. If there are too few, it returns next's error, such
// as io.EOF. Unless calls is nil, it is called with the listed calls in ascending order, in parts; a part is valid only
// until calls returns.
func DecodeExport(next func() (kind uint16, payload []byte, err error), calls func([]uint64) error) (*Export, error) {
	contentHash := digest{sha256.New()}
	invalid := func(format string, args ...any) error {
		return fmt.Errorf("%w: "+format, append([]any{ErrInvalidExport}, args...)...)
	}
	var export Export
	var head header
	decodeJSON := func(b []byte, v any) error {
		dec := json.NewDecoder(bytes.NewReader(b))
		dec.DisallowUnknownFields()
		if err := dec.Decode(v); err != nil {
			return invalid("%v", err)
		}
		return nil
	}
	kind, payload, err := next()
	if err != nil {
		return nil, err
	}
	if kind != frameHeader {
		return nil, invalid("the first frame is of kind %d, which is not a header", kind)
	}
	if err := decodeJSON(payload, &head); err != nil {
		return nil, err
	}
	contentHash.addFrame(kind, payload)
	export = Export{Router: head.Router, Sequence: head.Sequence, From: head.From, To: head.To, Length: head.Length,
		Spilled: head.Spilled, Count: head.Calls}
	if head.Length <= 0 || head.To <= head.From || head.Sequence == 0 {
		return nil, invalid("impossible statement from %d to %d with periods of %d ms", head.From, head.To, head.Length)
	}
	var list CallList
	for {
		if kind, payload, err = next(); err != nil {
			return nil, err
		}
		switch kind {
		case frameLines:
			var rows []Line
			err = decodeJSON(payload, &rows)
			if export.Lines == nil {
				export.Lines = make([]Line, 0, min(max(head.Lines, 0), 1<<20))
			}
			for _, l := range rows {
				// Exports repeat the same few names; interning keeps one copy of each in memory.
				l.Tenant, l.Class = unique.Make(l.Tenant).Value(), unique.Make(l.Class).Value()
				export.Lines = append(export.Lines, l)
			}
		case frameCorrections:
			var rows []Correction
			err = decodeJSON(payload, &rows)
			export.Corrections = append(export.Corrections, rows...)
		case frameUnknown:
			var rows []UnknownCall
			err = decodeJSON(payload, &rows)
			export.Unknown = append(export.Unknown, rows...)
		case frameCalls:
			var part []uint64
			if part, err = list.Decode(kind, payload); err == nil && calls != nil {
				err = calls(part)
			}
		case frameTrailer:
			if export.ID = hex.EncodeToString(contentHash.Sum(nil)); hex.EncodeToString(payload) != export.ID {
				return nil, invalid("the content has hash %s, but the ID is %x", export.ID, payload)
			}
			if len(export.Lines) != head.Lines || len(export.Corrections) != head.Corrections ||
				len(export.Unknown) != head.Unknown || list.count != head.Calls {
				return nil, invalid("the number of rows or calls differs from the header")
			}
			return &export, export.check()
		default:
			return nil, invalid("unexpected frame of kind %d", kind)
		}
		if err != nil {
			return nil, err
		}
		contentHash.addFrame(kind, payload)
	}
}

// CallList decodes the list of an export's calls from its frames, given in order.
type CallList struct {
	last  uint64 // last call decoded
	count uint64 // calls decoded so far
	part  []uint64
}

// Decode returns the calls that a frame lists, in ascending order, or none for a frame of another kind. The slice is
// valid until the next Decode.
func (l *CallList) Decode(kind uint16, payload []byte) ([]uint64, error) {
	l.part = l.part[:0]
	for b := payload; kind == frameCalls && len(b) > 0; {
		delta, n := binary.Uvarint(b)
		if n <= 0 || delta == 0 && l.count > 0 || l.last+delta < l.last {
			return nil, fmt.Errorf("%w: the list of calls is not in ascending order", ErrInvalidExport)
		}
		b, l.last = b[n:], l.last+delta
		l.count++
		l.part = append(l.part, l.last)
	}
	return l.part, nil
}

// check returns an error if the export's figures or corrections are inconsistent.
func (e *Export) check() error {
	for _, l := range e.Lines {
		if err := l.Usage.CheckBalance(); err != nil {
			return fmt.Errorf("%w: %s, %s: %v", ErrInvalidExport, l.Tenant, l.Class, err)
		}
	}
	for _, c := range e.Corrections {
		if _, err := ParseField(c.Field); err != nil || c.Period >= e.From {
			return fmt.Errorf("%w: correction %d has an unknown field, or its period %d is not before the export's",
				ErrInvalidExport, c.Number, c.Period)
		}
	}
	return nil
}

// compareExports orders exports by router, sequence and ID.
func compareExports(a, b *Export) int {
	return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.ID, b.ID))
}

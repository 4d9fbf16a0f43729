package trace

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/klauspost/compress/zstd"
)

// A block is two parts, so that one can be changed without the other: its strings, and its columns, which name strings by their
// place. docs/formats/trace.md has both.

const (
	// BlockRecords is how many records a full block holds.
	BlockRecords = 4096
	// recordsMost and partMost (bytes unpacked) bound what a reader makes room for.
	recordsMost = 1 << 17
	partMost    = 32 << 20
)

// ErrBlock is wrapped by errors for a block that cannot be read.
var ErrBlock = errors.New("a block that cannot be read")

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrBlock}, args...)...)
}

// Block is records as they stand in a file.
type Block struct {
	Strings, Columns []byte // compressed
	Info             BlockInfo
}

// Encoder makes blocks: each record goes straight into the columns of its kind. It keeps its buffers and is for one goroutine.
type Encoder struct {
	zip   *zstd.Encoder
	index [texts]map[string]int64
	list  [texts][]string
	slots []place // by slot of a call
	block uint32  // counts blocks, for slots
	kinds []byte
	times deltas
	rows  [kinds]struct {
		texts   [textsMost]textColumn
		figures [FiguresMost]deltas
	}
	raw      []byte
	from, to int64
	outcomes uint64 // by place in OutcomeNames; the highest bit is any other
	reasons  [256]bool
	strange  map[int64]bool // reasons beyond
}

// textsMost and FiguresMost are how many columns one kind has at most.
const (
	textsMost   = 8
	FiguresMost = 12
)

// place is where a call's id stands in the list of a block.
type place struct {
	block uint32
	at    int64
}

// deltas is a column of numbers.
type deltas struct {
	b    []byte
	last int64
}

func (d *deltas) add(n int64) {
	d.b = binary.AppendVarint(d.b, n-d.last)
	d.last = n
}

func (d *deltas) reset() { d.b, d.last = d.b[:0], 0 }

// textColumn is a column of places of strings; most repeat themselves.
type textColumn struct {
	deltas
	before string
	known  bool
}

// NewEncoder makes an encoder.
func NewEncoder() *Encoder {
	zip, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	if err != nil {
		panic(err) // of constant options: it cannot fail
	}
	e := &Encoder{zip: zip, block: 1, strange: map[int64]bool{}}
	for t := range e.index {
		e.index[t] = map[string]int64{}
	}
	return e
}

// Encode makes a block of records; the slices of the block are the caller's.
func (e *Encoder) Encode(list []Record) Block {
	for i := range list {
		e.Add(&list[i], 0)
	}
	return e.Block()
}

// Len is how many records wait for Block.
func (e *Encoder) Len() int { return len(e.kinds) }

// Add puts a record into the next block. A slot, if not 0, is a number that no other open call has: it saves the look-up
// of the call's id. Slots are small numbers used again.
func (e *Encoder) Add(r *Record, slot uint32) {
	if len(e.kinds) == 0 || r.At < e.from {
		e.from = r.At
	}
	if len(e.kinds) == 0 || r.At > e.to {
		e.to = r.At
	}
	kind := byte(r.Kind)
	if r.Carried {
		kind |= 0x80
	}
	e.kinds = append(e.kinds, kind)
	e.times.add(r.At)
	rows := &e.rows[r.Kind]
	for i, t := range layout[r.Kind].texts {
		c, text := &rows.texts[i], r.S[t]
		switch {
		case c.known && c.before == text:
			c.add(c.last)
		case t == Call && slot > 0:
			c.add(e.slot(text, slot))
			c.before, c.known = text, true
		default:
			c.add(e.place(t, text))
			c.before, c.known = text, true
		}
	}
	for i, f := range layout[r.Kind].figures {
		rows.figures[i].add(r.N[f])
	}
	switch r.Kind {
	case Answer:
		e.note(r.N[Final], 0, 4)
	case AttemptEnd, Release:
		e.note(r.N[Outcome], 4, int64(len(OutcomeNames)))
	case Decision:
		if n := r.N[Reason]; n >= 0 && n < int64(len(e.reasons)) {
			e.reasons[n] = true
		} else {
			e.strange[n] = true
		}
	}
}

// note keeps which outcomes are in the block: the names from low to below high, of which n counts, answers from 1 on.
func (e *Encoder) note(n, low, high int64) {
	if low == 0 {
		e.outcomes |= 1 << (16 + uint(min(max(n, 0), high))) // as End.String has it
	} else if n >= 0 && n < high-low {
		e.outcomes |= 1 << uint(low+n)
	} else {
		e.outcomes |= 1 << 63
	}
}

func (e *Encoder) place(t Text, text string) int64 {
	at, known := e.index[t][text]
	if !known {
		at = int64(len(e.list[t]))
		e.index[t][text] = at
		e.list[t] = append(e.list[t], text)
	}
	return at
}

// slot finds the id of a call by its slot. The id is compared: what the slot's call before left there is not taken for it.
func (e *Encoder) slot(id string, slot uint32) int64 {
	if int(slot) >= len(e.slots) {
		e.slots = append(e.slots, make([]place, int(slot)+1-len(e.slots))...)
	}
	p := &e.slots[slot]
	if p.block != e.block || e.list[Call][p.at] != id {
		*p = place{e.block, int64(len(e.list[Call]))}
		e.list[Call] = append(e.list[Call], id)
	}
	return p.at
}

// Block makes a block of what was added and begins the next; the slices of the block are the caller's.
func (e *Encoder) Block() Block {
	b := binary.AppendUvarint(e.raw[:0], uint64(len(e.kinds)))
	b = column(append(b, e.kinds...), e.times.b)
	var have [kinds]bool
	for _, k := range e.kinds {
		have[k&0x7f] = true
	}
	for kind := range e.rows {
		if !have[kind] {
			continue
		}
		rows := &e.rows[kind]
		for i := range layout[kind].texts {
			b = column(b, rows.texts[i].b)
			rows.texts[i].reset()
			rows.texts[i].known = false
		}
		for i := range layout[kind].figures {
			b = column(b, rows.figures[i].b)
			rows.figures[i].reset()
		}
	}
	e.raw = b
	block := Block{Columns: e.zip.EncodeAll(b, nil), Info: e.info()}
	block.Strings = e.strings(&e.list)
	for t := range e.index {
		clear(e.index[t])
		clear(e.list[t])
		e.list[t] = e.list[t][:0]
	}
	e.kinds = e.kinds[:0]
	e.times.reset()
	e.block++
	e.outcomes = 0
	clear(e.reasons[:])
	clear(e.strange)
	return block
}

// info is what Inform tells, from what was noted on the way.
func (e *Encoder) info() BlockInfo {
	info := BlockInfo{From: e.from, To: e.to, Count: len(e.kinds), Names: map[string][]string{}}
	if info.Count == 0 {
		info.From, info.To = 0, 0
	}
	seen := map[string]bool{}
	for i, t := range []Text{Class, Tenant, Server} {
		for _, name := range e.list[t] {
			seen[name] = true
		}
		delete(seen, "")
		info.Names[Dimensions[i]] = slices.Sorted(maps.Keys(seen))
		clear(seen)
	}
	for i, name := range OutcomeNames {
		if e.outcomes>>i&1 == 1 {
			seen[name] = true
		}
	}
	for i := range endNames {
		if e.outcomes>>(16+i)&1 == 1 && endNames[i] != "" {
			seen[endNames[i]] = true
		}
	}
	if e.outcomes>>63 == 1 {
		seen["unknown"] = true
	}
	info.Names[ByOutcome] = slices.Sorted(maps.Keys(seen))
	clear(seen)
	for n, is := range e.reasons {
		if is {
			seen[reasonName(int64(n))] = true
		}
	}
	for n := range e.strange {
		seen[reasonName(n)] = true
	}
	delete(seen, "")
	info.Names[ByReason] = slices.Sorted(maps.Keys(seen))
	return info
}

func column(b, col []byte) []byte { return append(binary.AppendUvarint(b, uint64(len(col))), col...) }

// strings packs the lists of strings; ids of 16 hex digits take 8 bytes.
func (e *Encoder) strings(lists *[texts][]string) []byte {
	b := e.raw[:0]
	for _, list := range lists {
		b = binary.AppendUvarint(b, uint64(len(list)))
		packed := len(list) > 0
		for _, s := range list {
			packed = packed && isHex(s)
		}
		if packed {
			b = append(b, 1)
			for _, s := range list {
				b, _ = hex.AppendDecode(b, []byte(s))
			}
			continue
		}
		b = append(b, 0)
		for _, s := range list {
			b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
		}
	}
	e.raw = b
	return e.zip.EncodeAll(b, nil)
}

func isHex(s string) bool {
	if len(s) != 16 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Decoder reads blocks. It keeps its buffers and is for one goroutine.
type Decoder struct {
	unzip   *zstd.Decoder
	strs    []byte
	cols    []byte
	list    [texts][]string
	records []Record
}

// NewDecoder makes a decoder.
func NewDecoder() *Decoder {
	unzip, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(partMost))
	if err != nil {
		panic(err) // of constant options: it cannot fail
	}
	return &Decoder{unzip: unzip}
}

// Strings reads the strings of a block, by column, until the next call.
func (d *Decoder) Strings(part []byte) (*[texts][]string, error) {
	b, err := d.unzip.DecodeAll(part, d.strs[:0])
	if err != nil {
		return nil, bad("its strings: %v", err)
	}
	d.strs = b
	for t := range d.list {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > recordsMost || len(b) < size+1 {
			return nil, bad("its strings are cut off")
		}
		packed := b[size]
		b = b[size+1:]
		list := d.list[t][:0]
		// One string holds all of a column's: the parts of it cost nothing each.
		if packed == 1 {
			if uint64(len(b)) < 8*n {
				return nil, bad("its ids are cut off")
			}
			all := hex.EncodeToString(b[:8*n])
			b = b[8*n:]
			for i := range int(n) {
				list = append(list, all[16*i:16*i+16])
			}
		} else if packed == 0 {
			for range n {
				long, size := binary.Uvarint(b)
				if size <= 0 || long > uint64(len(b)-size) {
					return nil, bad("a string is cut off")
				}
				list = append(list, string(b[size:size+int(long)]))
				b = b[size+int(long):]
			}
		} else {
			return nil, bad("its strings are of form %d", packed)
		}
		d.list[t] = list
	}
	if len(b) > 0 {
		return nil, bad("%d bytes follow its strings", len(b))
	}
	return &d.list, nil
}

// Decode reads a block; the records are valid until the next call, their strings stay.
func (d *Decoder) Decode(strings, columns []byte) ([]Record, error) {
	lists, err := d.Strings(strings)
	if err != nil {
		return nil, err
	}
	b, err := d.unzip.DecodeAll(columns, d.cols[:0])
	if err != nil {
		return nil, bad("its columns: %v", err)
	}
	d.cols = b
	n, size := binary.Uvarint(b)
	if size <= 0 || n > recordsMost || uint64(len(b)-size) < n {
		return nil, bad("it says that it holds %d records", n)
	}
	b = b[size:]
	if uint64(cap(d.records)) < n {
		d.records = make([]Record, n)
	}
	list := d.records[:n]
	clear(list)
	var count [kinds]int
	for i := range list {
		kind := Kind(b[i] & 0x7f)
		if kind == 0 || kind >= kinds {
			return nil, bad("a record of kind %d", kind)
		}
		list[i].Kind, list[i].Carried = kind, b[i]&0x80 != 0
		count[kind]++
	}
	kindsOf := b[:n]
	b = b[n:]
	col, b, err := cutColumn(b)
	if err != nil {
		return nil, err
	}
	last := int64(0)
	for i := range list {
		delta, size := binary.Varint(col)
		if size <= 0 {
			return nil, bad("its times are cut off")
		}
		col = col[size:]
		last += delta
		list[i].At = last
	}
	rows := make([]int32, 0, n)
	for kind := Kind(1); kind < kinds; kind++ {
		if count[kind] == 0 {
			continue
		}
		rows = rows[:0]
		for i, k := range kindsOf {
			if Kind(k&0x7f) == kind {
				rows = append(rows, int32(i))
			}
		}
		for _, t := range layout[kind].texts {
			if col, b, err = cutColumn(b); err != nil {
				return nil, err
			}
			names, last := lists[t], int64(0)
			for _, i := range rows {
				delta, size := binary.Varint(col)
				if size <= 0 {
					return nil, bad("column %s of %s is cut off", t, kind)
				}
				col = col[size:]
				if last += delta; last < 0 || last >= int64(len(names)) {
					return nil, bad("column %s of %s names string %d of %d", t, kind, last, len(names))
				}
				list[i].S[t] = names[last]
			}
		}
		for _, f := range layout[kind].figures {
			if col, b, err = cutColumn(b); err != nil {
				return nil, err
			}
			last := int64(0)
			for _, i := range rows {
				delta, size := binary.Varint(col)
				if size <= 0 {
					return nil, bad("column %s of %s is cut off", f, kind)
				}
				col = col[size:]
				last += delta
				list[i].N[f] = last
			}
		}
	}
	if len(b) > 0 {
		return nil, bad("%d bytes follow its columns", len(b))
	}
	return list, nil
}

func cutColumn(b []byte) (col, rest []byte, err error) {
	n, size := binary.Uvarint(b)
	if size <= 0 || n > uint64(len(b)-size) {
		return nil, nil, bad("a column is cut off")
	}
	return b[size : size+int(n)], b[size+int(n):], nil
}

package trace

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

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

// Encoder makes blocks. It keeps its buffers and is for one goroutine.
type Encoder struct {
	zip   *zstd.Encoder
	index [texts]map[string]uint64
	list  [texts][]string
	raw   []byte
	col   []byte
	rows  [kinds][]int
}

// NewEncoder makes an encoder.
func NewEncoder() *Encoder {
	zip, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	if err != nil {
		panic(err) // of constant options: it cannot fail
	}
	e := &Encoder{zip: zip}
	for t := range e.index {
		e.index[t] = map[string]uint64{}
	}
	return e
}

// Encode makes a block of records; the slices of the block are the caller's.
func (e *Encoder) Encode(list []Record) Block {
	for t := range e.index {
		clear(e.index[t])
		e.list[t] = e.list[t][:0]
	}
	for k := range e.rows {
		e.rows[k] = e.rows[k][:0]
	}
	b := binary.AppendUvarint(e.raw[:0], uint64(len(list)))
	for i := range list {
		kind := byte(list[i].Kind)
		if list[i].Carried {
			kind |= 0x80
		}
		b = append(b, kind)
		e.rows[list[i].Kind] = append(e.rows[list[i].Kind], i)
	}
	last := int64(0)
	e.col = e.col[:0]
	for i := range list {
		e.col = binary.AppendVarint(e.col, list[i].At-last)
		last = list[i].At
	}
	b = column(b, e.col)
	for kind, rows := range e.rows {
		if len(rows) == 0 {
			continue
		}
		for _, t := range layout[kind].texts {
			e.col = e.col[:0]
			index, last := e.index[t], int64(0)
			before, at, known := "", uint64(0), false // most columns repeat themselves
			for _, i := range rows {
				if text := list[i].S[t]; !known || text != before {
					if at, known = index[text]; !known {
						at = uint64(len(e.list[t]))
						index[text] = at
						e.list[t] = append(e.list[t], text)
					}
					before, known = text, true
				}
				e.col = binary.AppendVarint(e.col, int64(at)-last)
				last = int64(at)
			}
			b = column(b, e.col)
		}
		for _, f := range layout[kind].figures {
			e.col = e.col[:0]
			last := int64(0)
			for _, i := range rows {
				n := list[i].N[f]
				e.col = binary.AppendVarint(e.col, n-last)
				last = n
			}
			b = column(b, e.col)
		}
	}
	e.raw = b
	block := Block{Columns: e.zip.EncodeAll(b, nil), Info: Inform(list)}
	block.Strings = e.strings(&e.list)
	return block
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

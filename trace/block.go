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

// A block has two parts that can be rewritten independently: a string table, and columns that refer to strings by
// index. docs/formats/trace.md specifies both.

const (
	// BlockRecords is the number of records in a full block.
	BlockRecords = 4096
	// maxBlockRecords and maxPartBytes (uncompressed) bound the memory that a decoder allocates for untrusted input.
	maxBlockRecords = 1 << 17
	maxPartBytes    = 32 << 20
)

// ErrInvalidBlock is wrapped by every error about a block or an index that cannot be decoded.
var ErrInvalidBlock = errors.New("invalid trace block")

// blockErrorf formats an error that wraps ErrInvalidBlock.
func blockErrorf(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalidBlock}, args...)...)
}

// Block is a group of records in the encoding of a trace file.
type Block struct {
	Strings []byte // compressed string table
	Columns []byte // compressed columns
	Info    BlockInfo
}

// Encoder encodes records into blocks, appending each record directly to the columns of its kind. It reuses its
// buffers and isn't safe for concurrent use.
type Encoder struct {
	compressor  *zstd.Encoder
	textIndexes [textCount]map[string]int64
	textLists   [textCount][]string
	slots       []slotEntry // indexed by the slot of a call
	blockNumber uint32      // number of the current block; tells whether a slot entry is valid
	kinds       []byte
	times       deltaColumn
	columns     [kindCount]struct {
		texts   [maxTexts]textColumn
		figures [MaxFigures]deltaColumn
	}
	buffer   []byte
	from, to int64 // earliest and latest time of the current block
	// outcomes is a bit set: the outcome of an attempt or release sets the bit of its index in OutcomeNames, a final
	// answer bit 16 plus its AnswerResult, and an unknown outcome bit 63.
	outcomes     uint64
	reasons      [256]bool
	otherReasons map[int64]bool // numbers that don't fit into reasons
}

// maxTexts and MaxFigures are the largest numbers of string and number columns of one kind.
const (
	maxTexts   = 8
	MaxFigures = 12
)

// slotEntry caches the index of a call's ID in the string table of one block.
type slotEntry struct {
	blockNumber uint32
	index       int64
}

// deltaColumn is a column of numbers, each encoded as the varint difference from the one before.
type deltaColumn struct {
	data []byte
	last int64
}

func (d *deltaColumn) add(n int64) {
	d.data = binary.AppendVarint(d.data, n-d.last)
	d.last = n
}

func (d *deltaColumn) reset() { d.data, d.last = d.data[:0], 0 }

// textColumn is a column of string indexes. Most values repeat the one before, so that one is compared first.
type textColumn struct {
	deltaColumn
	previous    string
	hasPrevious bool
}

// NewEncoder returns an Encoder with an empty block.
func NewEncoder() *Encoder {
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(1<<20))
	if err != nil {
		panic(err) // only fails for invalid options, and these are constant
	}
	e := &Encoder{compressor: compressor, blockNumber: 1, otherReasons: map[int64]bool{}}
	for t := range e.textIndexes {
		e.textIndexes[t] = map[string]int64{}
	}
	return e
}

// Encode returns a block of the given records. The caller owns the slices of the block.
func (e *Encoder) Encode(list []Record) Block {
	for i := range list {
		e.Add(&list[i], 0)
	}
	return e.Block()
}

// Len returns the number of records in the current block.
func (e *Encoder) Len() int { return len(e.kinds) }

// Add appends a record to the current block. A slot other than 0 is a small number that is unique among the open calls
// and reused after the call; it saves looking up the call's ID in the string table.
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
	columns := &e.columns[r.Kind]
	for i, t := range layout[r.Kind].texts {
		column, text := &columns.texts[i], r.Texts[t]
		switch {
		case column.hasPrevious && column.previous == text:
			column.add(column.last)
		case t == Call && slot > 0:
			column.add(e.slotIndex(text, slot))
			column.previous, column.hasPrevious = text, true
		default:
			column.add(e.textIndex(t, text))
			column.previous, column.hasPrevious = text, true
		}
	}
	for i, f := range layout[r.Kind].figures {
		columns.figures[i].add(r.Figures[f])
	}
	switch r.Kind {
	case Answer:
		e.noteOutcome(r.Figures[FinalAnswer], 0, 4)
	case AttemptEnd, Release:
		e.noteOutcome(r.Figures[Outcome], 4, int64(len(OutcomeNames)))
	case Decision:
		if n := r.Figures[Reason]; n >= 0 && n < int64(len(e.reasons)) {
			e.reasons[n] = true
		} else {
			e.otherReasons[n] = true
		}
	}
}

// noteOutcome marks outcome n as present in the block. With low 0, n is an AnswerResult; otherwise it is a
// threadglade.Outcome, whose names are OutcomeNames[low:high].
func (e *Encoder) noteOutcome(n, low, high int64) {
	if low == 0 {
		e.outcomes |= 1 << (16 + uint(min(max(n, 0), high))) // clamped as in AnswerResult.String
	} else if n >= 0 && n < high-low {
		e.outcomes |= 1 << uint(low+n)
	} else {
		e.outcomes |= 1 << 63
	}
}

// textIndex returns the index of a string in the string table of its column, and adds the string if it is new.
func (e *Encoder) textIndex(t Text, text string) int64 {
	index, known := e.textIndexes[t][text]
	if !known {
		index = int64(len(e.textLists[t]))
		e.textIndexes[t][text] = index
		e.textLists[t] = append(e.textLists[t], text)
	}
	return index
}

// slotIndex returns the index of a call's ID by its slot. The ID is compared, because the entry may belong to an
// earlier call of the same slot.
func (e *Encoder) slotIndex(id string, slot uint32) int64 {
	if int(slot) >= len(e.slots) {
		e.slots = append(e.slots, make([]slotEntry, int(slot)+1-len(e.slots))...)
	}
	entry := &e.slots[slot]
	if entry.blockNumber != e.blockNumber || e.textLists[Call][entry.index] != id {
		*entry = slotEntry{e.blockNumber, int64(len(e.textLists[Call]))}
		e.textLists[Call] = append(e.textLists[Call], id)
	}
	return entry.index
}

// Block returns a block of the records added since the last call and starts the next block. The caller owns the
// slices of the block.
func (e *Encoder) Block() Block {
	b := binary.AppendUvarint(e.buffer[:0], uint64(len(e.kinds)))
	b = appendColumn(append(b, e.kinds...), e.times.data)
	var present [kindCount]bool
	for _, k := range e.kinds {
		present[k&0x7f] = true
	}
	for kind := range e.columns {
		if !present[kind] {
			continue
		}
		columns := &e.columns[kind]
		for i := range layout[kind].texts {
			b = appendColumn(b, columns.texts[i].data)
			columns.texts[i].reset()
			columns.texts[i].hasPrevious = false
		}
		for i := range layout[kind].figures {
			b = appendColumn(b, columns.figures[i].data)
			columns.figures[i].reset()
		}
	}
	e.buffer = b
	block := Block{Columns: e.compressor.EncodeAll(b, nil), Info: e.blockInfo()}
	block.Strings = e.encodeStrings(&e.textLists)
	for t := range e.textIndexes {
		clear(e.textIndexes[t])
		clear(e.textLists[t])
		e.textLists[t] = e.textLists[t][:0]
	}
	e.kinds = e.kinds[:0]
	e.times.reset()
	e.blockNumber++
	e.outcomes = 0
	clear(e.reasons[:])
	clear(e.otherReasons)
	return block
}

// blockInfo returns the same index entry as DescribeBlock, from what Add has noted of the current block's records.
func (e *Encoder) blockInfo() BlockInfo {
	info := BlockInfo{From: e.from, To: e.to, Count: len(e.kinds), Names: map[string][]string{}}
	if info.Count == 0 {
		info.From, info.To = 0, 0
	}
	seen := map[string]bool{}
	for i, t := range []Text{Class, Tenant, Server} {
		for _, name := range e.textLists[t] {
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
	for i := range answerNames {
		if e.outcomes>>(16+i)&1 == 1 && answerNames[i] != "" {
			seen[answerNames[i]] = true
		}
	}
	if e.outcomes>>63 == 1 {
		seen["unknown"] = true
	}
	info.Names[ByOutcome] = slices.Sorted(maps.Keys(seen))
	clear(seen)
	for n, occurs := range e.reasons {
		if occurs {
			seen[reasonName(int64(n))] = true
		}
	}
	for n := range e.otherReasons {
		seen[reasonName(n)] = true
	}
	delete(seen, "")
	info.Names[ByReason] = slices.Sorted(maps.Keys(seen))
	return info
}

// appendColumn appends a column with its length in front.
func appendColumn(b, col []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(col))), col...)
}

// encodeStrings encodes and compresses the string tables; a table of IDs of 16 hex digits takes 8 bytes for each.
func (e *Encoder) encodeStrings(lists *[textCount][]string) []byte {
	b := e.buffer[:0]
	for _, list := range lists {
		b = binary.AppendUvarint(b, uint64(len(list)))
		packed := len(list) > 0
		for _, s := range list {
			packed = packed && isHexID(s)
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
	e.buffer = b
	return e.compressor.EncodeAll(b, nil)
}

// isHexID reports whether s is 16 lower-case hex digits.
func isHexID(s string) bool {
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

// Decoder decodes blocks. It reuses its buffers and isn't safe for concurrent use.
type Decoder struct {
	decompressor  *zstd.Decoder
	stringsBuffer []byte
	columnsBuffer []byte
	textLists     [textCount][]string
	records       []Record
}

// NewDecoder returns a Decoder.
func NewDecoder() *Decoder {
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPartBytes))
	if err != nil {
		panic(err) // only fails for invalid options, and these are constant
	}
	return &Decoder{decompressor: decompressor}
}

// Strings decodes the string table of a block, one list for each string column. The lists are valid until the next
// call of Strings or Decode. Errors wrap ErrInvalidBlock.
func (d *Decoder) Strings(part []byte) (*[textCount][]string, error) {
	b, err := d.decompressor.DecodeAll(part, d.stringsBuffer[:0])
	if err != nil {
		return nil, blockErrorf("string table: %v", err)
	}
	d.stringsBuffer = b
	for t := range d.textLists {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > maxBlockRecords || len(b) < size+1 {
			return nil, blockErrorf("string table is truncated")
		}
		packed := b[size]
		b = b[size+1:]
		list := d.textLists[t][:0]
		// The IDs are substrings of one string, which saves an allocation for each.
		if packed == 1 {
			if uint64(len(b)) < 8*n {
				return nil, blockErrorf("packed IDs are truncated")
			}
			all := hex.EncodeToString(b[:8*n])
			b = b[8*n:]
			for i := range int(n) {
				list = append(list, all[16*i:16*i+16])
			}
		} else if packed == 0 {
			for range n {
				length, size := binary.Uvarint(b)
				if size <= 0 || length > uint64(len(b)-size) {
					return nil, blockErrorf("string is truncated")
				}
				list = append(list, string(b[size:size+int(length)]))
				b = b[size+int(length):]
			}
		} else {
			return nil, blockErrorf("string table has unknown encoding %d", packed)
		}
		d.textLists[t] = list
	}
	if len(b) > 0 {
		return nil, blockErrorf("%d bytes after the string table", len(b))
	}
	return &d.textLists, nil
}

// Decode decodes a block. The records are valid until the next call; their strings may be kept. Errors wrap
// ErrInvalidBlock.
func (d *Decoder) Decode(strings, columns []byte) ([]Record, error) {
	lists, err := d.Strings(strings)
	if err != nil {
		return nil, err
	}
	b, err := d.decompressor.DecodeAll(columns, d.columnsBuffer[:0])
	if err != nil {
		return nil, blockErrorf("columns: %v", err)
	}
	d.columnsBuffer = b
	n, size := binary.Uvarint(b)
	if size <= 0 || n > maxBlockRecords || uint64(len(b)-size) < n {
		return nil, blockErrorf("invalid record count %d", n)
	}
	b = b[size:]
	if uint64(cap(d.records)) < n {
		d.records = make([]Record, n)
	}
	list := d.records[:n]
	clear(list)
	var count [kindCount]int
	for i := range list {
		kind := Kind(b[i] & 0x7f)
		if kind == 0 || kind >= kindCount {
			return nil, blockErrorf("unknown record kind %d", kind)
		}
		list[i].Kind, list[i].Carried = kind, b[i]&0x80 != 0
		count[kind]++
	}
	kindBytes := b[:n]
	b = b[n:]
	column, b, err := cutColumn(b)
	if err != nil {
		return nil, err
	}
	last := int64(0)
	for i := range list {
		delta, size := binary.Varint(column)
		if size <= 0 {
			return nil, blockErrorf("time column is truncated")
		}
		column = column[size:]
		last += delta
		list[i].At = last
	}
	rows := make([]int32, 0, n)
	for kind := Kind(1); kind < kindCount; kind++ {
		if count[kind] == 0 {
			continue
		}
		rows = rows[:0]
		for i, k := range kindBytes {
			if Kind(k&0x7f) == kind {
				rows = append(rows, int32(i))
			}
		}
		for _, t := range layout[kind].texts {
			if column, b, err = cutColumn(b); err != nil {
				return nil, err
			}
			names, last := lists[t], int64(0)
			for _, i := range rows {
				delta, size := binary.Varint(column)
				if size <= 0 {
					return nil, blockErrorf("column %s of %s is truncated", t, kind)
				}
				column = column[size:]
				if last += delta; last < 0 || last >= int64(len(names)) {
					return nil, blockErrorf("column %s of %s refers to string %d of %d", t, kind, last, len(names))
				}
				list[i].Texts[t] = names[last]
			}
		}
		for _, f := range layout[kind].figures {
			if column, b, err = cutColumn(b); err != nil {
				return nil, err
			}
			last := int64(0)
			for _, i := range rows {
				delta, size := binary.Varint(column)
				if size <= 0 {
					return nil, blockErrorf("column %s of %s is truncated", f, kind)
				}
				column = column[size:]
				last += delta
				list[i].Figures[f] = last
			}
		}
	}
	if len(b) > 0 {
		return nil, blockErrorf("%d bytes after the columns", len(b))
	}
	return list, nil
}

// cutColumn splits a column off the front of b.
func cutColumn(b []byte) (col, rest []byte, err error) {
	n, size := binary.Uvarint(b)
	if size <= 0 || n > uint64(len(b)-size) {
		return nil, nil, blockErrorf("column is truncated")
	}
	return b[size : size+int(n)], b[size+int(n):], nil
}

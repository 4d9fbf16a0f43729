// Package traceio carries traces to files: file.go reads and writes them, recorder.go records what a running router decides, tools.go
// cuts, merges and anonymises whole files. It owns the files' frames, their rotation and the writer's goroutine. It must never
// decide, have the loop wait, or hold a whole file in memory.
package traceio

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/trace"
)

// kindTrace is the kind of file; kindJournal to kindExport are the ledger's.
const kindTrace = 5

// Kinds of frames.
const (
	frameMeta uint16 = iota + 1
	frameStrings
	frameColumns
	frameIndex
	frameTail // 8 bytes: where the index stands
)

// Extension is what the names of trace files end in.
const Extension = ".tgt"

// callsMost calls are followed to tell where they began.
const callsMost = 1 << 20

// Writer writes one trace file block by block.
type Writer struct {
	w     *durable.Writer
	enc   *trace.Encoder
	index trace.Index
	began map[string]int // calls that are open, by the block of their request
	slots []int          // of calls that have a slot: one more than that block; 0: it is not known
	from  int            // of the next block: its reach
	lost  error          // why a block was not written: nothing follows it
	Count int64          // records in blocks
	Lost  int            // records that were in a block which could not be written
}

// NewWriter begins a file.
func NewWriter(to io.Writer, meta trace.Meta) (*Writer, error) {
	w, err := durable.NewWriter(to, durable.Header{Kind: kindTrace, Number: uint64(max(1, meta.Part))})
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(meta)
	if err != nil {
		return nil, err
	}
	return &Writer{w: w, enc: trace.NewEncoder(), began: map[string]int{}}, w.WriteFrame(frameMeta, b)
}

// Add takes a record; a full block is written. Slots are as in trace.Encoder.Add.
func (w *Writer) Add(r *trace.Record, slot uint32) error {
	if w.enc.Len() == 0 {
		w.from = len(w.index.Blocks)
	}
	w.from = min(w.from, w.reach(r, slot))
	w.enc.Add(r, slot)
	if w.enc.Len() >= trace.BlockRecords {
		return w.Flush()
	}
	return nil
}

// Waiting is how many records are in no block yet.
func (w *Writer) Waiting() int { return w.enc.Len() }

// Offset is how long the file is.
func (w *Writer) Offset() int64 { return w.w.Offset() }

// Flush writes what waits as a block. After an error nothing more is written; what waited is counted by Lost.
func (w *Writer) Flush() error {
	n := w.enc.Len()
	if n == 0 || w.lost != nil {
		return w.lost
	}
	b := w.enc.Block()
	b.Info.OldestRequestBlock = w.from
	if w.lost = w.Block(b); w.lost != nil {
		w.Lost = n
		return w.lost
	}
	w.Count += int64(n)
	return nil
}

// reach follows a call of the next block and tells the block that it began in, as far as that is known.
func (w *Writer) reach(r *trace.Record, slot uint32) int {
	here, call := len(w.index.Blocks), r.Texts[trace.Call]
	if call == "" {
		return here
	}
	over := r.Kind == trace.Release || r.Kind == trace.Answer && trace.AnswerResult(r.Figures[trace.FinalAnswer]) != trace.AnswerEstablished
	if slot > 0 {
		if int(slot) >= len(w.slots) {
			w.slots = append(w.slots, make([]int, int(slot)+1-len(w.slots))...)
		}
		at := &w.slots[slot]
		switch {
		case r.Kind == trace.Request:
			*at = here + 1
		case *at > 0:
			here = *at - 1
		}
		if over {
			*at = 0
		}
		return here
	}
	if r.Kind == trace.Request {
		if len(w.began) < callsMost {
			w.began[call] = here
		}
		return here
	}
	from, known := w.began[call]
	if over {
		delete(w.began, call)
	}
	if known {
		return min(from, here)
	}
	return here
}

// reachAll is the reach of a block of records without slots.
func (w *Writer) reachAll(list []trace.Record) int {
	from := len(w.index.Blocks)
	for i := range list {
		from = min(from, w.reach(&list[i], 0))
	}
	return from
}

// Block writes a block that was made elsewhere; its place is set here.
func (w *Writer) Block(b trace.Block) error {
	b.Info.Offset = w.w.Offset()
	if err := w.w.WriteFrame(frameStrings, b.Strings); err != nil {
		return err
	}
	b.Info.Columns = w.w.Offset()
	if err := w.w.WriteFrame(frameColumns, b.Columns); err != nil {
		return err
	}
	w.index.Add(b.Info)
	return nil
}

// Close writes the last block and the index. The file under it is the caller's.
func (w *Writer) Close() error {
	if err := w.Flush(); err != nil {
		return err
	}
	text, err := w.index.Encode()
	if err != nil {
		return err
	}
	zip, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return err
	}
	at := w.w.Offset()
	if err := w.w.WriteFrame(frameIndex, zip.EncodeAll(text, nil)); err != nil {
		return err
	}
	return w.w.WriteFrame(frameTail, binary.LittleEndian.AppendUint64(nil, uint64(at)))
}

// File is a trace file open for reading. It is for one goroutine.
type File struct {
	Meta    trace.Meta
	Index   *trace.Index
	Torn    string // where a crash cut it off; empty: it is whole
	Scanned bool   // its index was made anew by reading all of it
	r       *durable.Reader
	dec     *trace.Decoder
	strs    []byte
	cols    []byte
}

// Open opens a trace file. One that a crash has cut off is read up to there; its index is made anew. Damage is an error
// with file and offset.
func Open(f durable.FS, path string) (*File, error) {
	r, err := durable.OpenBuffered(f, path, kindTrace, 16<<10)
	if err != nil {
		return nil, err
	}
	t := &File{r: r, dec: trace.NewDecoder()}
	if err := t.open(); err != nil {
		r.Close()
		return nil, err
	}
	return t, nil
}

func (t *File) open() error {
	kind, payload, err := t.r.Next()
	if errors.Is(err, durable.ErrTorn) || err == io.EOF {
		return t.r.Damagef(t.r.Offset(), "a crash has cut it off before its first block")
	}
	if err != nil {
		return err
	}
	if kind != frameMeta {
		return t.r.Damagef(t.r.Offset(), "it begins with a frame of kind %d", kind)
	}
	dec := json.NewDecoder(bytes.NewReader(payload))
	if err := dec.Decode(&t.Meta); err != nil {
		return t.r.Damagef(48, "%v", err)
	}
	tail := t.r.Size() - durable.FrameHeaderSize - 8
	if kind, payload, err := t.r.FrameAt(tail, nil); err == nil && kind == frameTail {
		at := int64(binary.LittleEndian.Uint64(payload))
		return t.readIndex(at)
	}
	return t.scan()
}

func (t *File) readIndex(at int64) error {
	kind, payload, err := t.r.FrameAt(at, nil)
	if err != nil {
		return err
	}
	if kind != frameIndex {
		return t.r.Damagef(at, "a frame of kind %d stands where the index is wanted", kind)
	}
	unzip, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20))
	if err != nil {
		return err
	}
	defer unzip.Close()
	text, err := unzip.DecodeAll(payload, nil)
	if err != nil {
		return t.r.Damagef(at, "the index: %v", err)
	}
	if t.Index, err = trace.DecodeIndex(text); err != nil {
		return t.r.Damagef(at, "%v", err)
	}
	return nil
}

// scan makes the index anew by reading all blocks.
func (t *File) scan() error {
	t.Scanned = true
	w := &Writer{began: map[string]int{}}
	for {
		at := t.r.Offset()
		kind, strs, err := t.r.Next()
		if err == io.EOF {
			t.Torn = fmt.Sprintf("%s: offset %d: it ends without an index", t.r.Name(), at)
			break
		}
		if errors.Is(err, durable.ErrTorn) {
			t.Torn = fmt.Sprintf("%s: offset %d: %d bytes", t.r.Name(), at, t.r.Size()-at)
			break
		}
		if err != nil {
			return err
		}
		if kind == frameIndex { // whole, but its tail is not
			if _, _, err := t.r.Next(); err != io.EOF && !errors.Is(err, durable.ErrTorn) {
				return cmp.Or(err, t.r.Damagef(at, "what follows the index is not its end"))
			}
			t.Torn = fmt.Sprintf("%s: offset %d: the index's end is missing", t.r.Name(), at)
			break
		}
		if kind != frameStrings {
			return t.r.Damagef(at, "a frame of kind %d stands where a block is wanted", kind)
		}
		t.strs = append(t.strs[:0], strs...)
		columns := t.r.Offset()
		kind, cols, err := t.r.Next()
		if err == io.EOF || errors.Is(err, durable.ErrTorn) {
			t.Torn = fmt.Sprintf("%s: offset %d: %d bytes", t.r.Name(), at, t.r.Size()-at)
			break
		}
		if err != nil {
			return err
		}
		if kind != frameColumns {
			return t.r.Damagef(columns, "a frame of kind %d stands where columns are wanted", kind)
		}
		list, err := t.dec.Decode(t.strs, cols)
		if err != nil {
			return t.r.Damagef(at, "%v", err)
		}
		info := trace.DescribeBlock(list)
		info.Offset, info.Columns, info.OldestRequestBlock = at, columns, w.reachAll(list)
		w.index.Add(info)
	}
	t.Index = &w.index
	return nil
}

// Close closes the file.
func (t *File) Close() error { return t.r.Close() }

// Name is the file's path.
func (t *File) Name() string { return t.r.Name() }

// Size is the file's length in bytes.
func (t *File) Size() int64 { return t.r.Size() }

// Raw reads the two parts of a block as they stand, until the next call.
func (t *File) Raw(n int) (trace.Block, error) {
	info := t.Index.Blocks[n]
	kind, strs, err := t.r.FrameAt(info.Offset, t.strs)
	if err != nil {
		return trace.Block{}, err
	}
	t.strs = strs
	kind2, cols, err := t.r.FrameAt(info.Columns, t.cols)
	if err != nil {
		return trace.Block{}, err
	}
	t.cols = cols
	if kind != frameStrings || kind2 != frameColumns {
		return trace.Block{}, t.r.Damagef(info.Offset, "no block stands where the index says")
	}
	return trace.Block{Strings: strs, Columns: cols, Info: info}, nil
}

// Records reads a block; they are valid until the next call, their strings stay.
func (t *File) Records(n int) ([]trace.Record, error) {
	b, err := t.Raw(n)
	if err != nil {
		return nil, err
	}
	list, err := t.dec.Decode(b.Strings, b.Columns)
	if err != nil {
		return nil, t.r.Damagef(b.Info.Offset, "%v", err)
	}
	return list, nil
}

// Each calls f with every record of the blocks that may hold what is selected, in order.
func (t *File) Each(s trace.Selection, f func(*trace.Record) error) error {
	for _, n := range t.Index.Find(s) {
		list, err := t.Records(int(n))
		if err != nil {
			return err
		}
		for i := range list {
			if list[i].Texts[trace.Router] == "" {
				list[i].Texts[trace.Router] = t.Meta.Router
			}
			if err := f(&list[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// Source reads all records in order, as trace.Source.
type Source struct {
	f    *File
	next int
	list []trace.Record
	at   int
}

// Source begins at the first record.
func (t *File) Source() *Source { return &Source{f: t} }

// Next implements trace.Source.
func (s *Source) Next() (*trace.Record, error) {
	for s.at >= len(s.list) {
		if s.next >= len(s.f.Index.Blocks) {
			return nil, io.EOF
		}
		list, err := s.f.Records(s.next)
		if err != nil {
			return nil, err
		}
		s.list, s.at = list, 0
		s.next++
	}
	r := &s.list[s.at]
	s.at++
	if r.Texts[trace.Router] == "" {
		r.Texts[trace.Router] = s.f.Meta.Router
	}
	return r, nil
}

// Chain reads several files one after the other.
type Chain []*Source

// Next implements trace.Source.
func (c *Chain) Next() (*trace.Record, error) {
	for len(*c) > 0 {
		r, err := (*c)[0].Next()
		if err != io.EOF {
			return r, err
		}
		*c = (*c)[1:]
	}
	return nil, io.EOF
}

// Package traceio reads and writes trace files. file.go implements the file format, recorder.go records the
// decisions of a running router, and tools.go cuts, merges, anonymizes and verifies whole files. The package owns
// the frames of the files, their rotation and the writer goroutine. It takes no routing decisions, never blocks
// the event loop and never holds a whole file in memory.
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

// kindTrace is the file kind of traces; lower kinds are used by the ledger.
const kindTrace = 5

// Frame kinds of a trace file, in the order in which they appear.
const (
	frameMeta uint16 = iota + 1
	frameStrings
	frameColumns
	frameIndex
	frameTail // 8 bytes: offset of the index frame
)

// Extension is the file name extension of trace files.
const Extension = ".tgt"

// maxOpenCalls limits the calls without a slot that a Writer tracks.
const maxOpenCalls = 1 << 20

// Writer writes one trace file block by block. It is not safe for concurrent use.
type Writer struct {
	frames           *durable.Writer
	encoder          *trace.Encoder
	index            trace.Index
	openCalls        map[string]int // open calls without a slot: block number of their request
	slotBlocks       []int          // by call slot: block number of the request plus one; 0 if unknown
	nextRequestBlock int            // OldestRequestBlock of the next block, by the records added so far
	writeErr         error          // first failure to write a block; nothing is written after it
	WrittenRecords   int64          // records in written blocks
	LostRecords      int            // records in the block that could not be written
}

// NewWriter writes the file header and meta to the start of a file.
func NewWriter(to io.Writer, meta trace.Meta) (*Writer, error) {
	frames, err := durable.NewWriter(to, durable.Header{Kind: kindTrace, Number: uint64(max(1, meta.Part))})
	if err != nil {
		return nil, err
	}
	encodedMeta, err := json.Marshal(meta)
	if err != nil {
		return nil, err
	}
	return &Writer{
		frames:    frames,
		encoder:   trace.NewEncoder(),
		openCalls: map[string]int{},
	}, frames.WriteFrame(frameMeta, encodedMeta)
}

// Add appends a record to the next block and writes the block once it is full. For slot see trace.Encoder.Add.
func (w *Writer) Add(record *trace.Record, slot uint32) error {
	if w.encoder.Len() == 0 {
		w.nextRequestBlock = len(w.index.Blocks)
	}
	w.nextRequestBlock = min(w.nextRequestBlock, w.trackRequestBlock(record, slot))
	w.encoder.Add(record, slot)
	if w.encoder.Len() >= trace.BlockRecords {
		return w.Flush()
	}
	return nil
}

// PendingRecords returns the number of records that are not in a block yet.
func (w *Writer) PendingRecords() int { return w.encoder.Len() }

// Offset returns the number of bytes written so far.
func (w *Writer) Offset() int64 { return w.frames.Offset() }

// Flush writes the pending records as a block. After an error nothing more is written, every further call returns
// that error, and LostRecords holds the number of records that were pending.
func (w *Writer) Flush() error {
	n := w.encoder.Len()
	if n == 0 || w.writeErr != nil {
		return w.writeErr
	}
	block := w.encoder.Block()
	block.Info.OldestRequestBlock = w.nextRequestBlock
	if w.writeErr = w.WriteBlock(block); w.writeErr != nil {
		w.LostRecords = n
		return w.writeErr
	}
	w.WrittenRecords += int64(n)
	return nil
}

// trackRequestBlock tracks the call of a record and returns the number of the block that holds the call's request. It
// returns the current block if that is not known.
func (w *Writer) trackRequestBlock(record *trace.Record, slot uint32) int {
	block, call := len(w.index.Blocks), record.Texts[trace.Call]
	if call == "" {
		return block
	}
	ended := record.Kind == trace.Release ||
		record.Kind == trace.Answer && trace.AnswerResult(record.Figures[trace.FinalAnswer]) != trace.AnswerEstablished
	if slot > 0 {
		if int(slot) >= len(w.slotBlocks) {
			w.slotBlocks = append(w.slotBlocks, make([]int, int(slot)+1-len(w.slotBlocks))...)
		}
		slotBlock := &w.slotBlocks[slot]
		switch {
		case record.Kind == trace.Request:
			*slotBlock = block + 1
		case *slotBlock > 0:
			block = *slotBlock - 1
		}
		if ended {
			*slotBlock = 0
		}
		return block
	}
	if record.Kind == trace.Request {
		if len(w.openCalls) < maxOpenCalls {
			w.openCalls[call] = block
		}
		return block
	}
	startBlock, known := w.openCalls[call]
	if ended {
		delete(w.openCalls, call)
	}
	if known {
		return min(startBlock, block)
	}
	return block
}

// oldestRequestBlock returns the OldestRequestBlock of a block of records without slots.
func (w *Writer) oldestRequestBlock(records []trace.Record) int {
	oldest := len(w.index.Blocks)
	for i := range records {
		oldest = min(oldest, w.trackRequestBlock(&records[i], 0))
	}
	return oldest
}

// WriteBlock writes an encoded block and adds it to the index with the offsets it has in this file.
func (w *Writer) WriteBlock(block trace.Block) error {
	block.Info.Offset = w.frames.Offset()
	if err := w.frames.WriteFrame(frameStrings, block.Strings); err != nil {
		return err
	}
	block.Info.Columns = w.frames.Offset()
	if err := w.frames.WriteFrame(frameColumns, block.Columns); err != nil {
		return err
	}
	w.index.Add(block.Info)
	return nil
}

// Close writes the last block and the index. It doesn't close the underlying file.
func (w *Writer) Close() error {
	if err := w.Flush(); err != nil {
		return err
	}
	text, err := w.index.Encode()
	if err != nil {
		return err
	}
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return err
	}
	indexOffset := w.frames.Offset()
	if err := w.frames.WriteFrame(frameIndex, compressor.EncodeAll(text, nil)); err != nil {
		return err
	}
	return w.frames.WriteFrame(frameTail, binary.LittleEndian.AppendUint64(nil, uint64(indexOffset)))
}

// File is a trace file open for reading. It is not safe for concurrent use.
type File struct {
	Meta         trace.Meta
	Index        *trace.Index
	Truncation   string // file and offset at which a crash truncated the file; empty if complete
	IndexRebuilt bool   // the index was rebuilt by reading every block
	reader       *durable.Reader
	decoder      *trace.Decoder
	stringsBuf   []byte
	columnsBuf   []byte
}

// Open opens a trace file. If a crash truncated the file, the complete blocks are kept and the index is rebuilt
// from them. For a corrupt file it returns a *durable.DamageError with file and offset, for a file of a newer format
// version an error that wraps durable.ErrNewerVersion.
func Open(fileSystem durable.FS, path string) (*File, error) {
	r, err := durable.OpenBuffered(fileSystem, path, kindTrace, 16<<10)
	if err != nil {
		return nil, err
	}
	file := &File{reader: r, decoder: trace.NewDecoder()}
	if err := file.readMetaAndIndex(); err != nil {
		r.Close()
		return nil, err
	}
	return file, nil
}

// readMetaAndIndex reads the metadata and the index, which it rebuilds if the tail frame is missing.
func (t *File) readMetaAndIndex() error {
	kind, payload, err := t.reader.Next()
	if errors.Is(err, durable.ErrTorn) || err == io.EOF {
		return t.reader.Damagef(t.reader.Offset(), "truncated before the first block")
	}
	if err != nil {
		return err
	}
	if kind != frameMeta {
		return t.reader.Damagef(t.reader.Offset(), "the first frame has kind %d instead of metadata", kind)
	}
	dec := json.NewDecoder(bytes.NewReader(payload))
	if err := dec.Decode(&t.Meta); err != nil {
		return t.reader.Damagef(48, "%v", err)
	}
	tail := t.reader.Size() - durable.FrameHeaderSize - 8
	if kind, payload, err := t.reader.FrameAt(tail, nil); err == nil && kind == frameTail {
		indexOffset := int64(binary.LittleEndian.Uint64(payload))
		return t.readIndex(indexOffset)
	}
	return t.rebuildIndex()
}

// readIndex reads the index frame at an offset.
func (t *File) readIndex(at int64) error {
	kind, payload, err := t.reader.FrameAt(at, nil)
	if err != nil {
		return err
	}
	if kind != frameIndex {
		return t.reader.Damagef(at, "frame of kind %d instead of the index", kind)
	}
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20))
	if err != nil {
		return err
	}
	defer decompressor.Close()
	text, err := decompressor.DecodeAll(payload, nil)
	if err != nil {
		return t.reader.Damagef(at, "decompressing the index: %v", err)
	}
	if t.Index, err = trace.DecodeIndex(text); err != nil {
		return t.reader.Damagef(at, "%v", err)
	}
	return nil
}

// rebuildIndex reads all blocks and builds the index from them. A truncated tail is noted in Truncation, not an
// error.
func (t *File) rebuildIndex() error {
	t.IndexRebuilt = true
	indexer := &Writer{openCalls: map[string]int{}}
	for {
		blockOffset := t.reader.Offset()
		kind, stringsFrame, err := t.reader.Next()
		if err == io.EOF {
			t.Truncation = fmt.Sprintf("%s: offset %d: ends without an index", t.reader.Name(), blockOffset)
			break
		}
		if errors.Is(err, durable.ErrTorn) {
			t.Truncation = fmt.Sprintf("%s: offset %d: incomplete block of %d bytes",
				t.reader.Name(), blockOffset, t.reader.Size()-blockOffset)
			break
		}
		if err != nil {
			return err
		}
		if kind == frameIndex { // the index is complete, but the tail frame is not
			if _, _, err := t.reader.Next(); err != io.EOF && !errors.Is(err, durable.ErrTorn) {
				return cmp.Or(err, t.reader.Damagef(blockOffset, "unexpected frame after the index"))
			}
			t.Truncation = fmt.Sprintf("%s: offset %d: the tail frame after the index is missing or incomplete",
				t.reader.Name(), blockOffset)
			break
		}
		if kind != frameStrings {
			return t.reader.Damagef(blockOffset, "frame of kind %d instead of the strings of a block", kind)
		}
		t.stringsBuf = append(t.stringsBuf[:0], stringsFrame...)
		columns := t.reader.Offset()
		kind, columnsFrame, err := t.reader.Next()
		if err == io.EOF || errors.Is(err, durable.ErrTorn) {
			t.Truncation = fmt.Sprintf("%s: offset %d: incomplete block of %d bytes",
				t.reader.Name(), blockOffset, t.reader.Size()-blockOffset)
			break
		}
		if err != nil {
			return err
		}
		if kind != frameColumns {
			return t.reader.Damagef(columns, "frame of kind %d instead of the columns of a block", kind)
		}
		records, err := t.decoder.Decode(t.stringsBuf, columnsFrame)
		if err != nil {
			return t.reader.Damagef(blockOffset, "%v", err)
		}
		info := trace.DescribeBlock(records)
		info.Offset, info.Columns, info.OldestRequestBlock = blockOffset, columns, indexer.oldestRequestBlock(records)
		indexer.index.Add(info)
	}
	t.Index = &indexer.index
	return nil
}

// Close closes the file.
func (t *File) Close() error { return t.reader.Close() }

// Name returns the path of the file.
func (t *File) Name() string { return t.reader.Name() }

// Size returns the length of the file in bytes.
func (t *File) Size() int64 { return t.reader.Size() }

// RawBlock reads the encoded strings and columns of block n. They are valid until the next read.
func (t *File) RawBlock(n int) (trace.Block, error) {
	info := t.Index.Blocks[n]
	kind, stringsFrame, err := t.reader.FrameAt(info.Offset, t.stringsBuf)
	if err != nil {
		return trace.Block{}, err
	}
	t.stringsBuf = stringsFrame
	columnsKind, columnsFrame, err := t.reader.FrameAt(info.Columns, t.columnsBuf)
	if err != nil {
		return trace.Block{}, err
	}
	t.columnsBuf = columnsFrame
	if kind != frameStrings || columnsKind != frameColumns {
		return trace.Block{}, t.reader.Damagef(info.Offset, "the index refers to a block that is not there")
	}
	return trace.Block{Strings: stringsFrame, Columns: columnsFrame, Info: info}, nil
}

// Records decodes block n. The records are valid until the next read; their strings stay valid.
func (t *File) Records(n int) ([]trace.Record, error) {
	b, err := t.RawBlock(n)
	if err != nil {
		return nil, err
	}
	records, err := t.decoder.Decode(b.Strings, b.Columns)
	if err != nil {
		return nil, t.reader.Damagef(b.Info.Offset, "%v", err)
	}
	return records, nil
}

// Each calls f for every record, in file order, of the blocks that may contain selected records. It doesn't
// filter within a block. It stops at the first error and returns it. The record is valid during the call only.
func (t *File) Each(selection trace.Selection, f func(*trace.Record) error) error {
	for _, n := range t.Index.Find(selection) {
		records, err := t.Records(int(n))
		if err != nil {
			return err
		}
		for i := range records {
			if records[i].Texts[trace.Router] == "" {
				records[i].Texts[trace.Router] = t.Meta.Router
			}
			if err := f(&records[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// Source is a trace.Source that reads the records of a File in file order.
type Source struct {
	file      *File
	nextBlock int
	records   []trace.Record
	position  int
}

// Source returns a Source that starts at the first record.
func (t *File) Source() *Source { return &Source{file: t} }

// Next implements trace.Source. It returns io.EOF after the last record; a record is valid until the next call.
func (s *Source) Next() (*trace.Record, error) {
	for s.position >= len(s.records) {
		if s.nextBlock >= len(s.file.Index.Blocks) {
			return nil, io.EOF
		}
		list, err := s.file.Records(s.nextBlock)
		if err != nil {
			return nil, err
		}
		s.records, s.position = list, 0
		s.nextBlock++
	}
	r := &s.records[s.position]
	s.position++
	if r.Texts[trace.Router] == "" {
		r.Texts[trace.Router] = s.file.Meta.Router
	}
	return r, nil
}

// Chain is a trace.Source that reads several files one after the other.
type Chain []*Source

// Next implements trace.Source. It returns io.EOF after the last record of the last file.
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

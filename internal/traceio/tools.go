package traceio

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/trace"
)

// CutResult holds the statistics of a cut.
type CutResult struct {
	Records      int64 `json:"records"`
	Carried      int64 `json:"carried"` // requests copied from before the range, for calls that were open when it starts
	BlocksRead   int   `json:"blocks_read"`
	BlocksCopied int   `json:"blocks_copied"` // copied without re-encoding
	TotalBlocks  int   `json:"blocks"`
}

// CutFile writes the selected records of file from into file to. Only blocks that the index names are read. If
// the selection is by time alone, blocks that lie entirely within it are copied without re-encoding.
func CutFile(fileSystem durable.FS, from, to string, selection trace.Selection) (result CutResult, err error) {
	source, err := Open(fileSystem, from)
	if err != nil {
		return result, err
	}
	defer source.Close()
	meta := source.Meta
	meta.Cut = &selection
	result.TotalBlocks = len(source.Index.Blocks)
	err = durable.WriteFile(fileSystem, to, func(out io.Writer) error {
		writer, err := NewWriter(out, meta)
		if err != nil {
			return err
		}
		if err := source.writeCut(writer, selection, &result); err != nil {
			return err
		}
		return writer.Close()
	})
	return result, err
}

// writeCut writes the selected records to writer, preceded by the requests of calls that were open when the range
// starts, and updates result.
func (t *File) writeCut(writer *Writer, selection trace.Selection, result *CutResult) error {
	selector := trace.NewSelector(selection)
	blocksRead := roaring.New() // a set, because some blocks are read twice
	defer func() { result.BlocksRead = int(blocksRead.GetCardinality()) }()
	blocks := t.Index.Find(selection)
	filtered := selection != trace.Selection{From: selection.From, To: selection.To}
	if filtered { // first pass: find the matching calls; all their records are then selected
		for _, n := range blocks {
			list, err := t.Records(int(n))
			if err != nil {
				return err
			}
			blocksRead.Add(n)
			for i := range list {
				selector.NoteMatch(&list[i])
			}
		}
		blocks = t.Index.Find(trace.Selection{From: selection.From, To: selection.To})
	}
	// Find the selected calls whose requests are before the range. Then read blocks backwards, to the block with the
	// oldest of these requests.
	missingRequests := map[string]bool{}
	oldestBlock, first := len(t.Index.Blocks), 0
	if len(blocks) > 0 {
		first = int(blocks[0])
	}
	copyWhole := func(n uint32) bool { // the selection is by time alone and covers the block
		block := t.Index.Blocks[n]
		return !filtered && block.From >= selection.From && (selection.To == 0 || block.To < selection.To)
	}
	for _, n := range blocks {
		if block := t.Index.Blocks[n]; block.OldestRequestBlock < int(n) || !copyWhole(n) {
			list, err := t.Records(int(n))
			if err != nil {
				return err
			}
			blocksRead.Add(n)
			for i := range list {
				if selector.Selects(&list[i]) && selector.NeedsRequest(&list[i]) {
					missingRequests[list[i].Texts[trace.Call]] = true
					oldestBlock = min(oldestBlock, block.OldestRequestBlock)
				}
			}
		} else if err := t.noteRequests(int(n), selector); err != nil {
			return err
		}
	}
	var carried []trace.Record
	for n := min(first, len(t.Index.Blocks)-1); n >= oldestBlock && n >= 0 && len(missingRequests) > 0; n-- {
		list, err := t.Records(n)
		if err != nil {
			return err
		}
		blocksRead.Add(uint32(n))
		for i := range list {
			if r := &list[i]; r.Kind == trace.Request && missingRequests[r.Texts[trace.Call]] {
				delete(missingRequests, r.Texts[trace.Call])
				r.Carried = true
				carried = append(carried, *r)
			}
		}
	}
	slices.SortStableFunc(carried, func(a, b trace.Record) int { return cmp.Compare(a.At, b.At) })
	for i := range carried {
		if err := writer.Add(&carried[i], 0); err != nil {
			return err
		}
		result.Carried++
		result.Records++
	}
	for _, n := range blocks {
		if copyWhole(n) {
			if err := writer.Flush(); err != nil {
				return err
			}
			block, err := t.RawBlock(int(n))
			if err != nil {
				return err
			}
			list, err := t.decoder.Decode(block.Strings, block.Columns) // verifies the block; gives its index entry
			if err != nil {
				return t.reader.Damagef(block.Info.Offset, "%v", err)
			}
			info := trace.DescribeBlock(list)
			info.OldestRequestBlock = writer.oldestRequestBlock(list)
			block.Info = info
			if err := writer.WriteBlock(block); err != nil {
				return err
			}
			result.BlocksCopied++
			result.Records += int64(len(list))
			writer.WrittenRecords += int64(len(list))
			continue
		}
		list, err := t.Records(int(n))
		if err != nil {
			return err
		}
		for i := range list {
			if selector.Selects(&list[i]) {
				if err := writer.Add(&list[i], 0); err != nil {
					return err
				}
				result.Records++
			}
		}
	}
	return nil
}

// noteRequests decodes block n and notes in selector the calls whose requests are in it.
func (t *File) noteRequests(n int, selector *trace.Selector) error {
	list, err := t.Records(n)
	for i := range list {
		selector.Selects(&list[i])
	}
	return err
}

// MergeFiles merges files of several routers into file to, in the order of their clocks corrected by estimated
// offsets. It returns the estimated clocks and the number of records. It holds one block of each file in memory.
// Files that are themselves merged, or whose metadata doesn't agree, are an error.
func MergeFiles(fileSystem durable.FS, from []string, to string) (clocks []*trace.Clock, records int64, err error) {
	var files []*File
	defer func() {
		for _, file := range files {
			file.Close()
		}
	}()
	for _, path := range from {
		file, err := Open(fileSystem, path)
		if err != nil {
			return nil, 0, err
		}
		files = append(files, file)
		if err := files[0].Meta.CheckMergeable(file.Meta); err != nil {
			return nil, 0, fmt.Errorf("%s: %w", path, err)
		}
		if len(file.Meta.Clocks) > 0 {
			return nil, 0, fmt.Errorf("%s: already a merged file; merge its source files instead", path)
		}
	}
	slices.SortStableFunc(files, func(a, b *File) int {
		return cmp.Or(
			cmp.Compare(a.Meta.Router, b.Meta.Router),
			cmp.Compare(a.Meta.Incarnation, b.Meta.Incarnation),
			cmp.Compare(a.Meta.Part, b.Meta.Part),
		)
	})
	estimator := trace.NewClockEstimator()
	for _, file := range files {
		src := file.Source()
		for {
			record, err := src.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				return nil, 0, err
			}
			estimator.Add(file.Meta.Incarnation, record)
		}
	}
	clocks = estimator.Estimate()
	merger := trace.NewMerger(clocks)
	for i := 0; i < len(files); {
		chain, meta := Chain{}, files[i].Meta
		for ; i < len(files) && files[i].Meta.Router == meta.Router && files[i].Meta.Incarnation == meta.Incarnation; i++ {
			chain = append(chain, files[i].Source())
		}
		if err := merger.Add(meta.Router, meta.Incarnation, &chain, io.EOF); err != nil {
			return nil, 0, err
		}
	}
	meta := files[0].Meta
	meta.Router, meta.Incarnation, meta.Part, meta.Clocks = "", 0, 0, clocks
	err = durable.WriteFile(fileSystem, to, func(out io.Writer) error {
		writer, err := NewWriter(out, meta)
		if err != nil {
			return err
		}
		for {
			record, err := merger.Next(io.EOF)
			if err == io.EOF {
				break
			}
			if err != nil {
				return err
			}
			records++
			if err := writer.Add(record, 0); err != nil {
				return err
			}
		}
		return writer.Close()
	})
	return clocks, records, err
}

// AnonymizeFile copies file from to file to with personal data replaced by keyed hashes. The columns are copied
// without re-encoding. It returns the number of blocks.
func AnonymizeFile(fileSystem durable.FS, from, to string, key []byte) (blocks int, err error) {
	anonymizer, err := trace.NewAnonymizer(key)
	if err != nil {
		return 0, err
	}
	source, err := Open(fileSystem, from)
	if err != nil {
		return 0, err
	}
	defer source.Close()
	meta := source.Meta
	meta.Anonymized = true
	if meta.Cut != nil {
		cut := *meta.Cut
		cut.Call = anonymizer.Anonymize(trace.Call, cut.Call)
		meta.Cut = &cut
	}
	err = durable.WriteFile(fileSystem, to, func(out io.Writer) error {
		writer, err := NewWriter(out, meta)
		if err != nil {
			return err
		}
		encoder, decoder := trace.NewEncoder(), trace.NewDecoder()
		for n := range source.Index.Blocks {
			block, err := source.RawBlock(n)
			if err != nil {
				return err
			}
			if block.Strings, err = anonymizer.AnonymizeStrings(decoder, encoder, block.Strings); err != nil {
				return source.reader.Damagef(block.Info.Offset, "%v", err)
			}
			list, err := decoder.Decode(block.Strings, block.Columns)
			if err != nil {
				return source.reader.Damagef(block.Info.Offset, "%v", err)
			}
			info := trace.DescribeBlock(list)
			info.OldestRequestBlock = block.Info.OldestRequestBlock
			block.Info = info
			if err := writer.WriteBlock(block); err != nil {
				return err
			}
			blocks++
		}
		return writer.Close()
	})
	return blocks, err
}

// Verify reads every block of a file and compares it with the index. It returns the file, already closed, for its
// metadata, and the number of records.
func Verify(fileSystem durable.FS, path string) (file *File, records int64, err error) {
	if file, err = Open(fileSystem, path); err != nil {
		return nil, 0, err
	}
	defer file.Close()
	for n, info := range file.Index.Blocks {
		list, err := file.Records(n)
		if err != nil {
			return nil, 0, err
		}
		actual := trace.DescribeBlock(list)
		if actual.Count != info.Count || actual.From != info.From || actual.To != info.To {
			return nil, 0, file.reader.Damagef(info.Offset, "the index does not match the block")
		}
		records += int64(len(list))
	}
	// Read all frames in sequence, as the index may not cover the whole file.
	for !file.IndexRebuilt {
		_, _, err := file.reader.Next()
		if err == io.EOF {
			break
		}
		if errors.Is(err, durable.ErrTorn) {
			return nil, 0, file.reader.Damagef(file.reader.Offset(), "data after the index")
		}
		if err != nil {
			return nil, 0, err
		}
	}
	return file, records, nil
}

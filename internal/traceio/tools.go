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

// Cut is how a cut went.
type Cut struct {
	Records int64 `json:"records"`
	Carried int64 `json:"carried"` // first records of calls that began before
	Blocks  int   `json:"blocks_read"`
	Whole   int   `json:"blocks_copied"` // as they stand
	Of      int   `json:"blocks"`
}

// CutFile writes what is selected of one file into another. Blocks that lie wholly within a selection of time alone are copied as they
// stand; only those that the index names are touched.
func CutFile(f durable.FS, from, to string, s trace.Selection) (c Cut, err error) {
	t, err := Open(f, from)
	if err != nil {
		return c, err
	}
	defer t.Close()
	meta := t.Meta
	meta.Cut = &s
	c.Of = len(t.Index.Blocks)
	err = durable.WriteFile(f, to, func(out io.Writer) error {
		w, err := NewWriter(out, meta)
		if err != nil {
			return err
		}
		if err := t.cut(w, s, &c); err != nil {
			return err
		}
		return w.Close()
	})
	return c, err
}

func (t *File) cut(w *Writer, s trace.Selection, c *Cut) error {
	p := trace.NewSelector(s)
	read := roaring.New() // a selection of calls reads some blocks twice
	defer func() { c.Blocks = int(read.GetCardinality()) }()
	blocks := t.Index.Find(s)
	narrow := s != trace.Selection{From: s.From, To: s.To}
	if narrow { // the calls first, then all that they did
		for _, n := range blocks {
			list, err := t.Records(int(n))
			if err != nil {
				return err
			}
			read.Add(n)
			for i := range list {
				p.NoteMatch(&list[i])
			}
		}
		blocks = t.Index.Find(trace.Selection{From: s.From, To: s.To})
	}
	// What calls in the range began before it: looked for block by block, back to where the oldest began.
	missing := map[string]bool{}
	reach, first := len(t.Index.Blocks), 0
	if len(blocks) > 0 {
		first = int(blocks[0])
	}
	wanted := func(n uint32) bool {
		b := t.Index.Blocks[n]
		return !narrow && b.From >= s.From && (s.To == 0 || b.To < s.To)
	}
	for _, n := range blocks {
		if b := t.Index.Blocks[n]; b.OldestRequestBlock < int(n) || !wanted(n) {
			list, err := t.Records(int(n))
			if err != nil {
				return err
			}
			read.Add(n)
			for i := range list {
				if p.Selects(&list[i]) && p.NeedsRequest(&list[i]) {
					missing[list[i].Texts[trace.Call]] = true
					reach = min(reach, b.OldestRequestBlock)
				}
			}
		} else if err := t.requests(int(n), p); err != nil {
			return err
		}
	}
	var carried []trace.Record
	for n := min(first, len(t.Index.Blocks)-1); n >= reach && n >= 0 && len(missing) > 0; n-- {
		list, err := t.Records(n)
		if err != nil {
			return err
		}
		read.Add(uint32(n))
		for i := range list {
			if r := &list[i]; r.Kind == trace.Request && missing[r.Texts[trace.Call]] {
				delete(missing, r.Texts[trace.Call])
				r.Carried = true
				carried = append(carried, *r)
			}
		}
	}
	slices.SortStableFunc(carried, func(a, b trace.Record) int { return cmp.Compare(a.At, b.At) })
	for i := range carried {
		if err := w.Add(&carried[i], 0); err != nil {
			return err
		}
		c.Carried++
		c.Records++
	}
	for _, n := range blocks {
		if wanted(n) {
			if err := w.Flush(); err != nil {
				return err
			}
			b, err := t.Raw(int(n))
			if err != nil {
				return err
			}
			list, err := t.dec.Decode(b.Strings, b.Columns) // checked, and followed
			if err != nil {
				return t.r.Damagef(b.Info.Offset, "%v", err)
			}
			info := trace.DescribeBlock(list)
			info.OldestRequestBlock = w.reachAll(list)
			b.Info = info
			if err := w.Block(b); err != nil {
				return err
			}
			c.Whole++
			c.Records += int64(len(list))
			w.Count += int64(len(list))
			continue
		}
		list, err := t.Records(int(n))
		if err != nil {
			return err
		}
		for i := range list {
			if p.Selects(&list[i]) {
				if err := w.Add(&list[i], 0); err != nil {
					return err
				}
				c.Records++
			}
		}
	}
	return nil
}

// requests notes the calls that begin in a block, from its strings and columns.
func (t *File) requests(n int, p *trace.Selector) error {
	list, err := t.Records(n)
	for i := range list {
		p.Selects(&list[i])
	}
	return err
}

// MergeFiles brings files of several routers together by estimated clocks, in the memory of one block each.
func MergeFiles(f durable.FS, from []string, to string) (clocks []*trace.Clock, records int64, err error) {
	var files []*File
	defer func() {
		for _, t := range files {
			t.Close()
		}
	}()
	for _, path := range from {
		t, err := Open(f, path)
		if err != nil {
			return nil, 0, err
		}
		files = append(files, t)
		if err := files[0].Meta.CheckMergeable(t.Meta); err != nil {
			return nil, 0, fmt.Errorf("%s: %w", path, err)
		}
		if len(t.Meta.Clocks) > 0 {
			return nil, 0, fmt.Errorf("%s: is a merged file; merge the files that it was made of", path)
		}
	}
	slices.SortStableFunc(files, func(a, b *File) int {
		return cmp.Or(cmp.Compare(a.Meta.Router, b.Meta.Router), cmp.Compare(a.Meta.Incarnation, b.Meta.Incarnation), cmp.Compare(a.Meta.Part, b.Meta.Part))
	})
	seen := trace.NewClockEstimator()
	for _, t := range files {
		src := t.Source()
		for {
			r, err := src.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				return nil, 0, err
			}
			seen.Add(t.Meta.Incarnation, r)
		}
	}
	clocks = seen.Estimate()
	m := trace.NewMerger(clocks)
	for i := 0; i < len(files); {
		chain, meta := Chain{}, files[i].Meta
		for ; i < len(files) && files[i].Meta.Router == meta.Router && files[i].Meta.Incarnation == meta.Incarnation; i++ {
			chain = append(chain, files[i].Source())
		}
		if err := m.Add(meta.Router, meta.Incarnation, &chain, io.EOF); err != nil {
			return nil, 0, err
		}
	}
	meta := files[0].Meta
	meta.Router, meta.Incarnation, meta.Part, meta.Clocks = "", 0, 0, clocks
	err = durable.WriteFile(f, to, func(out io.Writer) error {
		w, err := NewWriter(out, meta)
		if err != nil {
			return err
		}
		for {
			r, err := m.Next(io.EOF)
			if err == io.EOF {
				break
			}
			if err != nil {
				return err
			}
			records++
			if err := w.Add(r, 0); err != nil {
				return err
			}
		}
		return w.Close()
	})
	return clocks, records, err
}

// HideFile writes a file with keyed hashes in the place of all that tells a person. Columns are copied as they stand.
func HideFile(f durable.FS, from, to string, key []byte) (blocks int, err error) {
	h, err := trace.NewAnonymizer(key)
	if err != nil {
		return 0, err
	}
	t, err := Open(f, from)
	if err != nil {
		return 0, err
	}
	defer t.Close()
	meta := t.Meta
	meta.Anonymized = true
	if meta.Cut != nil {
		cut := *meta.Cut
		cut.Call = h.Anonymize(trace.Call, cut.Call)
		meta.Cut = &cut
	}
	err = durable.WriteFile(f, to, func(out io.Writer) error {
		w, err := NewWriter(out, meta)
		if err != nil {
			return err
		}
		enc, dec := trace.NewEncoder(), trace.NewDecoder()
		for n := range t.Index.Blocks {
			b, err := t.Raw(n)
			if err != nil {
				return err
			}
			if b.Strings, err = h.AnonymizeStrings(dec, enc, b.Strings); err != nil {
				return t.r.Damagef(b.Info.Offset, "%v", err)
			}
			list, err := dec.Decode(b.Strings, b.Columns)
			if err != nil {
				return t.r.Damagef(b.Info.Offset, "%v", err)
			}
			info := trace.DescribeBlock(list)
			info.OldestRequestBlock = b.Info.OldestRequestBlock
			b.Info = info
			if err := w.Block(b); err != nil {
				return err
			}
			blocks++
		}
		return w.Close()
	})
	return blocks, err
}

// Verify reads every block of a file and compares its index with what it holds.
func Verify(f durable.FS, path string) (t *File, records int64, err error) {
	if t, err = Open(f, path); err != nil {
		return nil, 0, err
	}
	defer t.Close()
	for n, info := range t.Index.Blocks {
		list, err := t.Records(n)
		if err != nil {
			return nil, 0, err
		}
		have := trace.DescribeBlock(list)
		if have.Count != info.Count || have.From != info.From || have.To != info.To {
			return nil, 0, t.r.Damagef(info.Offset, "the index does not agree with the block")
		}
		records += int64(len(list))
	}
	// What stands between the blocks that the index names is checked, too.
	for !t.Scanned {
		_, _, err := t.r.Next()
		if err == io.EOF {
			break
		}
		if errors.Is(err, durable.ErrTorn) {
			return nil, 0, t.r.Damagef(t.r.Offset(), "it goes on after its index")
		}
		if err != nil {
			return nil, 0, err
		}
	}
	return t, records, nil
}

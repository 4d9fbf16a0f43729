package ledger

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Merged is any number of exports, each once. It is only ever added to: Join is commutative, associative and idempotent,
// so that exports may be brought together in any order and any number of times.
type Merged struct {
	exports map[string]*Export // by ID
}

// Merge is one export as a Merged.
func Merge(e *Export) Merged { return Merged{map[string]*Export{e.ID: e}} }

// Join brings two together; neither is changed.
func Join(a, b Merged) Merged {
	m := Merged{make(map[string]*Export, len(a.exports)+len(b.exports))}
	maps.Copy(m.exports, a.exports)
	maps.Copy(m.exports, b.exports)
	return m
}

// Exports lists them by router and sequence.
func (m Merged) Exports() []*Export { return slices.SortedFunc(maps.Values(m.exports), compareExports) }

// Has says whether an export is among them.
func (m Merged) Has(id string) bool { return m.exports[id] != nil }

// Finding is something about exports that wants a person's eye. The totals are stated all the same.
type Finding struct {
	Kind   string `json:"kind"` // gap, twice, overlap, claim, stray, newer, damaged
	Router string `json:"router,omitempty"`
	Text   string `json:"text"`
}

func at(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z") }

// Findings reports what is missing and what is there twice: a statement with two contents, a gap in a router's sequence or
// in its time, periods that overlap, and corrections of periods that no export here states.
func (m Merged) Findings() (list []Finding) {
	stated := map[string]map[int64]bool{}
	var before *Export
	for _, e := range m.Exports() {
		if stated[e.Router] == nil {
			stated[e.Router] = map[int64]bool{}
		}
		stated[e.Router][e.From] = true
		report := func(kind, format string, args ...any) {
			list = append(list, Finding{kind, e.Router, fmt.Sprintf(format, args...)})
		}
		if before == nil || before.Router != e.Router {
			before = e
			continue
		}
		switch {
		case e.Sequence == before.Sequence:
			report("twice", "statement %d is there with two contents, %.12s and %.12s", e.Sequence, before.ID, e.ID)
		case e.Sequence > before.Sequence+1:
			report("gap", "statements %d to %d are missing, from %s to %s", before.Sequence+1, e.Sequence-1, at(before.To), at(e.From))
		case e.From > before.To:
			report("gap", "nothing is stated from %s to %s, between statements %d and %d", at(before.To), at(e.From), before.Sequence, e.Sequence)
		}
		if e.From < before.To && e.Sequence != before.Sequence {
			report("overlap", "statements %d and %d both state the time from %s to %s", before.Sequence, e.Sequence, at(e.From), at(min(e.To, before.To)))
		}
		before = e
	}
	for _, e := range m.Exports() {
		for _, c := range e.Corrections {
			if !stated[e.Router][c.Period] {
				list = append(list, Finding{"stray", e.Router, fmt.Sprintf("correction %d of statement %d mends the period of %s, which no file here states",
					c.Number, e.Sequence, at(c.Period))})
			}
		}
	}
	return list
}

// Row is the use of one tenant and class in one period by all routers: as stated, and as mended since.
type Row struct {
	Period int64
	Key
	Stated, Mended Usage
}

// Rows lists the totals by period, tenant and class.
func (m Merged) Rows() []Row {
	type place struct {
		period int64
		key    Key
	}
	rows := map[place]*Row{}
	row := func(period int64, key Key) *Row {
		at := place{period, key}
		if rows[at] == nil {
			rows[at] = &Row{Period: period, Key: key}
		}
		return rows[at]
	}
	for _, e := range m.exports {
		for _, l := range e.Lines {
			r := row(e.From, Key{l.Tenant, l.Class})
			r.Stated.Add(&l.Usage)
			r.Mended.Add(&l.Usage)
		}
		for _, c := range e.Corrections {
			f, _ := ParseField(c.Field)
			row(c.Period, Key{c.Tenant, c.Class}).Mended[f] += c.Delta
		}
	}
	list := make([]Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Period, b.Period), compareKeys(a.Key, b.Key)) })
	return list
}

// Total is the sum of all rows as mended.
func (m Merged) Total() (u Usage) {
	for _, r := range m.Rows() {
		u.Add(&r.Mended)
	}
	return u
}

// CallSource gives the calls of one export, ascending, part by part; an empty part is the end.
type CallSource interface {
	Next() ([]uint64, error)
}

// stream is a source of which a part is being used up.
type stream struct {
	index int
	part  []uint64
	src   CallSource
}

type streams []*stream

func (s streams) Len() int           { return len(s) }
func (s streams) Less(i, j int) bool { return s[i].part[0] < s[j].part[0] }
func (s streams) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *streams) Push(x any)        { *s = append(*s, x.(*stream)) }
func (s *streams) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// Claims finds calls that stand in more than one source, by walking all of them at once in the memory of one part each. claimed
// gets the call and the indexes of two sources that have it.
func Claims(sources []CallSource, claimed func(call uint64, one, other int)) (calls uint64, err error) {
	var h streams
	for i, src := range sources {
		s := &stream{index: i, src: src}
		if s.part, err = src.Next(); err != nil {
			return calls, err
		}
		if len(s.part) > 0 {
			h = append(h, s)
		}
	}
	heap.Init(&h)
	last, owner := uint64(0), -1
	for len(h) > 0 {
		s := h[0]
		call := s.part[0]
		if owner >= 0 && call == last {
			claimed(call, owner, s.index)
		}
		last, owner = call, s.index
		calls++
		if s.part = s.part[1:]; len(s.part) == 0 {
			if s.part, err = s.src.Next(); err != nil {
				return calls, err
			}
			if len(s.part) == 0 {
				heap.Pop(&h)
				continue
			}
		}
		heap.Fix(&h, 0)
	}
	return calls, nil
}

package ledger

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Merged is a set of exports. It only grows: Join is commutative, associative and idempotent, so exports can be joined
// in any order and any number of times.
type Merged struct {
	exports map[string]*Export // by ID
}

// Merge returns a Merged of one export.
func Merge(e *Export) Merged { return Merged{map[string]*Export{e.ID: e}} }

// Join returns the union of two sets and changes neither.
func Join(a, b Merged) Merged {
	m := Merged{make(map[string]*Export, len(a.exports)+len(b.exports))}
	maps.Copy(m.exports, a.exports)
	maps.Copy(m.exports, b.exports)
	return m
}

// Exports returns the exports sorted by router and sequence.
func (m Merged) Exports() []*Export { return slices.SortedFunc(maps.Values(m.exports), compareExports) }

// Has reports whether the set contains an export, by its ID.
func (m Merged) Has(id string) bool { return m.exports[id] != nil }

// Finding is a problem with exports that an operator has to look into. The totals include these exports anyway.
type Finding struct {
	// Kind is one of: gap, twice (two versions of a statement), overlap, stray (a correction of a period that no export
	// covers), claim (a call in two exports), newer (a file of a later version) and damaged.
	Kind   string `json:"kind"`
	Router string `json:"router,omitempty"`
	Text   string `json:"text"`
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z") }

// Findings reports missing and duplicate data: two versions of a statement, a gap in a router's sequence or in the time
// covered, overlapping periods, and corrections of periods that no export of the set covers.
func (m Merged) Findings() (list []Finding) {
	coveredPeriods := map[string]map[int64]bool{}
	var previous *Export
	for _, e := range m.Exports() {
		if coveredPeriods[e.Router] == nil {
			coveredPeriods[e.Router] = map[int64]bool{}
		}
		coveredPeriods[e.Router][e.From] = true
		report := func(kind, format string, args ...any) {
			list = append(list, Finding{kind, e.Router, fmt.Sprintf(format, args...)})
		}
		if previous == nil || previous.Router != e.Router {
			previous = e
			continue
		}
		switch {
		case e.Sequence == previous.Sequence:
			report("twice", "there are two versions of statement %d, with IDs %.12s and %.12s", e.Sequence, previous.ID,
				e.ID)
		case e.Sequence > previous.Sequence+1:
			report("gap", "statements %d to %d are missing, from %s to %s", previous.Sequence+1, e.Sequence-1,
				formatTime(previous.To), formatTime(e.From))
		case e.From > previous.To:
			report("gap", "no statement covers %s to %s, between statements %d and %d", formatTime(previous.To),
				formatTime(e.From), previous.Sequence, e.Sequence)
		}
		if e.From < previous.To && e.Sequence != previous.Sequence {
			report("overlap", "statements %d and %d both cover the time from %s to %s", previous.Sequence, e.Sequence,
				formatTime(e.From), formatTime(min(e.To, previous.To)))
		}
		previous = e
	}
	for _, e := range m.Exports() {
		for _, c := range e.Corrections {
			if !coveredPeriods[e.Router][c.Period] {
				list = append(list, Finding{"stray", e.Router,
					fmt.Sprintf("correction %d of statement %d is for the period from %s, which no export here covers",
						c.Number, e.Sequence, formatTime(c.Period))})
			}
		}
	}
	return list
}

// Row is the usage of one class by one tenant in one period at all routers.
type Row struct {
	Period int64 // start, in milliseconds since the Unix epoch
	Key
	Stated Usage // as exported, without corrections
	Mended Usage // with all corrections applied
}

// Rows returns the totals sorted by period, tenant and class.
func (m Merged) Rows() []Row {
	type rowKey struct {
		period int64
		key    Key
	}
	rows := map[rowKey]*Row{}
	row := func(period int64, key Key) *Row {
		k := rowKey{period, key}
		if rows[k] == nil {
			rows[k] = &Row{Period: period, Key: key}
		}
		return rows[k]
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
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Period, b.Period), compareKeys(a.Key, b.Key))
	})
	return list
}

// Total returns the sum of all rows with corrections.
func (m Merged) Total() (u Usage) {
	for _, r := range m.Rows() {
		u.Add(&r.Mended)
	}
	return u
}

// CallSource reads the calls of one export in ascending order, part by part.
type CallSource interface {
	// Next returns the next part, or an empty one at the end.
	Next() ([]uint64, error)
}

// callStream is a source and what is left of the part that was read last.
type callStream struct {
	index  int
	part   []uint64
	source CallSource
}

// streamHeap is a heap.Interface of streams by their next call.
type streamHeap []*callStream

func (s streamHeap) Len() int           { return len(s) }
func (s streamHeap) Less(i, j int) bool { return s[i].part[0] < s[j].part[0] }
func (s streamHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *streamHeap) Push(x any)        { *s = append(*s, x.(*callStream)) }
func (s *streamHeap) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// FindDuplicateCalls finds calls that more than one source lists, and returns the number of calls read. It merges all
// sources, with one part of each in memory. found is called with a call and the indexes of two sources that list it.
func FindDuplicateCalls(sources []CallSource, found func(call uint64, first, second int)) (calls uint64, err error) {
	var streams streamHeap
	for i, source := range sources {
		stream := &callStream{index: i, source: source}
		if stream.part, err = source.Next(); err != nil {
			return calls, err
		}
		if len(stream.part) > 0 {
			streams = append(streams, stream)
		}
	}
	heap.Init(&streams)
	lastCall, lastSource := uint64(0), -1
	for len(streams) > 0 {
		stream := streams[0]
		call := stream.part[0]
		if lastSource >= 0 && call == lastCall {
			found(call, lastSource, stream.index)
		}
		lastCall, lastSource = call, stream.index
		calls++
		if stream.part = stream.part[1:]; len(stream.part) == 0 {
			if stream.part, err = stream.source.Next(); err != nil {
				return calls, err
			}
			if len(stream.part) == 0 {
				heap.Pop(&streams)
				continue
			}
		}
		heap.Fix(&streams, 0)
	}
	return calls, nil
}

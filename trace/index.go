package trace

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"
)

// BlockInfo is what the index knows of a block.
type BlockInfo struct {
	Offset  int64               `json:"offset"`  // of the frame of its strings
	Columns int64               `json:"columns"` // of the frame of its columns
	From    int64               `json:"from_us"` // earliest and latest time in it
	To      int64               `json:"to_us"`
	Count   int                 `json:"count"`
	Reach   int                 `json:"reach"` // the block that holds the request of the oldest call in it; itself if none is older
	Names   map[string][]string `json:"-"`     // what is in it, by dimension
}

// Dimensions of the index.
const (
	ByClass   = "class"
	ByTenant  = "tenant"
	ByServer  = "server"
	ByOutcome = "outcome"
	ByReason  = "reason"
)

// Dimensions lists them.
var Dimensions = []string{ByClass, ByTenant, ByServer, ByOutcome, ByReason}

// Inform tells what records hold.
func Inform(list []Record) BlockInfo {
	b := BlockInfo{Count: len(list)}
	var seen [5]map[string]bool
	for i := range seen {
		seen[i] = map[string]bool{}
	}
	var last [5]string // most records are like the one before
	note := func(i int, name string) {
		if name != "" && name != last[i] {
			seen[i][name], last[i] = true, name
		}
	}
	for i := range list {
		r := &list[i]
		if i == 0 || r.At < b.From {
			b.From = r.At
		}
		if i == 0 || r.At > b.To {
			b.To = r.At
		}
		note(0, r.S[Class])
		note(1, r.S[Tenant])
		note(2, r.S[Server])
		note(3, r.outcome())
		if r.Kind == Decision {
			note(4, reasonName(r.N[Reason]))
		}
	}
	b.Names = map[string][]string{}
	for i, d := range Dimensions {
		b.Names[d] = slices.Sorted(maps.Keys(seen[i]))
	}
	return b
}

// Index finds blocks by time and by what is in them.
type Index struct {
	Blocks []BlockInfo
	sets   map[string]map[string]*roaring.Bitmap
}

// Add takes the next block.
func (x *Index) Add(b BlockInfo) {
	if x.sets == nil {
		x.sets = map[string]map[string]*roaring.Bitmap{}
	}
	n := uint32(len(x.Blocks))
	for dimension, names := range b.Names {
		m := x.sets[dimension]
		if m == nil {
			m = map[string]*roaring.Bitmap{}
			x.sets[dimension] = m
		}
		for _, name := range names {
			if m[name] == nil {
				m[name] = roaring.New()
			}
			m[name].Add(n)
		}
	}
	b.Names = nil
	x.Blocks = append(x.Blocks, b)
}

// Names lists what stands in a dimension.
func (x *Index) Names(dimension string) []string { return slices.Sorted(maps.Keys(x.sets[dimension])) }

// Selection says which records are wanted; empty fields want all.
type Selection struct {
	From, To int64 // microseconds since the Unix epoch, [From, To); To 0: no end
	Class    string
	Tenant   string
	Server   string
	Outcome  string
	Call     string
}

// Validate names the field that is wrong.
func (s Selection) Validate() error {
	if s.Outcome != "" && !slices.Contains(OutcomeNames, s.Outcome) {
		return fmt.Errorf("outcome: %q is none of %s", s.Outcome, strings.Join(OutcomeNames, ", "))
	}
	if s.To != 0 && s.To <= s.From {
		return fmt.Errorf("to: is not after from")
	}
	return nil
}

// narrow says whether more than time is asked for.
func (s Selection) narrow() bool {
	return s.Class+s.Tenant+s.Server+s.Outcome+s.Call != ""
}

// within says whether a record's time is wanted.
func (s Selection) within(at int64) bool { return at >= s.From && (s.To == 0 || at < s.To) }

// matches says whether a record itself is what is asked for, time aside.
func (s Selection) matches(r *Record) bool {
	return (s.Class == "" || r.S[Class] == s.Class) && (s.Tenant == "" || r.S[Tenant] == s.Tenant) &&
		(s.Server == "" || r.S[Server] == s.Server) && (s.Call == "" || r.S[Call] == s.Call) && (s.Outcome == "" || r.outcome() == s.Outcome)
}

// span is the blocks that a selection's time touches, as a set.
func (x *Index) span(s Selection) *roaring.Bitmap {
	set := roaring.New()
	for i := range x.Blocks {
		if b := &x.Blocks[i]; b.To >= s.From && (s.To == 0 || b.From < s.To) {
			set.Add(uint32(i))
		}
	}
	return set
}

// Find lists the blocks that may hold what is selected, ascending.
func (x *Index) Find(s Selection) []uint32 {
	set := x.span(s)
	for dimension, name := range map[string]string{ByClass: s.Class, ByTenant: s.Tenant, ByServer: s.Server, ByOutcome: s.Outcome} {
		if name == "" {
			continue
		}
		have := x.sets[dimension][name]
		if have == nil {
			return nil
		}
		set.And(have)
	}
	return set.ToArray()
}

// footer is the index as it stands in a file.
type footer struct {
	Blocks []BlockInfo                  `json:"blocks"`
	Sets   map[string]map[string][]byte `json:"sets"`
}

// Append writes the index.
func (x *Index) Append() ([]byte, error) {
	f := footer{Blocks: x.Blocks, Sets: map[string]map[string][]byte{}}
	for dimension, m := range x.sets {
		f.Sets[dimension] = map[string][]byte{}
		for name, set := range m {
			set.RunOptimize()
			b, err := set.ToBytes()
			if err != nil {
				return nil, err
			}
			f.Sets[dimension][name] = b
		}
	}
	return json.Marshal(f)
}

// ReadIndex reads an index.
func ReadIndex(b []byte) (*Index, error) {
	var f footer
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, bad("its index: %v", err)
	}
	x := &Index{Blocks: f.Blocks, sets: map[string]map[string]*roaring.Bitmap{}}
	for dimension, m := range f.Sets {
		x.sets[dimension] = map[string]*roaring.Bitmap{}
		for name, text := range m {
			set := roaring.New()
			if err := set.UnmarshalBinary(text); err != nil {
				return nil, bad("its index of %s %q: %v", dimension, name, err)
			}
			if !set.IsEmpty() && int(set.Maximum()) >= len(f.Blocks) {
				return nil, bad("its index of %s %q names block %d of %d", dimension, name, set.Maximum(), len(f.Blocks))
			}
			x.sets[dimension][name] = set
		}
	}
	for i, b := range x.Blocks {
		if b.Reach < 0 || b.Reach > i || b.Count < 0 || b.Offset < 0 || b.Columns < b.Offset {
			return nil, bad("its index of block %d", i)
		}
	}
	return x, nil
}

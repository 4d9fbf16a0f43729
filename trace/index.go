package trace

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"
)

// BlockInfo is the index entry of a block.
type BlockInfo struct {
	Offset  int64 `json:"offset"`  // file offset of the string table's frame
	Columns int64 `json:"columns"` // file offset of the columns' frame
	From    int64 `json:"from_us"` // earliest and latest time in the block, microseconds since the Unix epoch
	To      int64 `json:"to_us"`
	Count   int   `json:"count"` // records
	// OldestRequestBlock is the number of the block that holds the request of the oldest call in this block; its own
	// number if no call is older.
	OldestRequestBlock int                 `json:"reach"`
	Names              map[string][]string `json:"-"` // names that occur in the block, by dimension
}

// Dimensions of the index.
const (
	ByClass   = "class"
	ByTenant  = "tenant"
	ByServer  = "server"
	ByOutcome = "outcome"
	ByReason  = "reason"
)

// Dimensions lists all dimensions of the index.
var Dimensions = []string{ByClass, ByTenant, ByServer, ByOutcome, ByReason}

// DescribeBlock returns the index entry for records, without offsets and OldestRequestBlock.
func DescribeBlock(list []Record) BlockInfo {
	b := BlockInfo{Count: len(list)}
	var seen [5]map[string]bool
	for i := range seen {
		seen[i] = map[string]bool{}
	}
	var last [5]string // skips the map where a name repeats, as in most records
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
		note(0, r.Texts[Class])
		note(1, r.Texts[Tenant])
		note(2, r.Texts[Server])
		note(3, r.outcomeLabel())
		if r.Kind == Decision {
			note(4, reasonName(r.Figures[Reason]))
		}
	}
	b.Names = map[string][]string{}
	for i, d := range Dimensions {
		b.Names[d] = slices.Sorted(maps.Keys(seen[i]))
	}
	return b
}

// Index finds blocks by time and by the names that occur in them. It isn't safe for concurrent use.
type Index struct {
	Blocks  []BlockInfo
	bitmaps map[string]map[string]*roaring.Bitmap
}

// Add adds the next block.
func (x *Index) Add(b BlockInfo) {
	if x.bitmaps == nil {
		x.bitmaps = map[string]map[string]*roaring.Bitmap{}
	}
	n := uint32(len(x.Blocks))
	for dimension, names := range b.Names {
		m := x.bitmaps[dimension]
		if m == nil {
			m = map[string]*roaring.Bitmap{}
			x.bitmaps[dimension] = m
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

// Names returns the names of a dimension, sorted.
func (x *Index) Names(dimension string) []string {
	return slices.Sorted(maps.Keys(x.bitmaps[dimension]))
}

// Selection is a filter on records. Empty fields match all.
type Selection struct {
	From, To int64 // microseconds since the Unix epoch, [From, To); To 0: no end
	Class    string
	Tenant   string
	Server   string
	Outcome  string
	Call     string
}

// Validate returns an error that names the invalid field.
func (s Selection) Validate() error {
	if s.Outcome != "" && !slices.Contains(OutcomeNames, s.Outcome) {
		return fmt.Errorf("outcome: %q is not one of %s", s.Outcome, strings.Join(OutcomeNames, ", "))
	}
	if s.To != 0 && s.To <= s.From {
		return fmt.Errorf("to: must be after from")
	}
	return nil
}

// hasFilter reports whether the selection restricts more than time.
func (s Selection) hasFilter() bool {
	return s.Class+s.Tenant+s.Server+s.Outcome+s.Call != ""
}

// containsTime reports whether a time is in the selected range.
func (s Selection) containsTime(at int64) bool { return at >= s.From && (s.To == 0 || at < s.To) }

// matches reports whether a record matches the selection, regardless of time.
func (s Selection) matches(r *Record) bool {
	return (s.Class == "" || r.Texts[Class] == s.Class) && (s.Tenant == "" || r.Texts[Tenant] == s.Tenant) &&
		(s.Server == "" || r.Texts[Server] == s.Server) && (s.Call == "" || r.Texts[Call] == s.Call) &&
		(s.Outcome == "" || r.outcomeLabel() == s.Outcome)
}

// blocksInTime returns the set of blocks that overlap the selected range of time.
func (x *Index) blocksInTime(s Selection) *roaring.Bitmap {
	set := roaring.New()
	for i := range x.Blocks {
		if b := &x.Blocks[i]; b.To >= s.From && (s.To == 0 || b.From < s.To) {
			set.Add(uint32(i))
		}
	}
	return set
}

// Find returns the numbers of the blocks that may hold matching records, in ascending order.
func (x *Index) Find(s Selection) []uint32 {
	set := x.blocksInTime(s)
	for dimension, name := range map[string]string{ByClass: s.Class, ByTenant: s.Tenant, ByServer: s.Server,
		ByOutcome: s.Outcome} {
		if name == "" {
			continue
		}
		bitmap := x.bitmaps[dimension][name]
		if bitmap == nil {
			return nil
		}
		set.And(bitmap)
	}
	return set.ToArray()
}

// footer is the JSON form of an index at the end of a file; Sets holds serialized Roaring bitmaps.
type footer struct {
	Blocks []BlockInfo                  `json:"blocks"`
	Sets   map[string]map[string][]byte `json:"sets"`
}

// Encode returns the index as JSON.
func (x *Index) Encode() ([]byte, error) {
	f := footer{Blocks: x.Blocks, Sets: map[string]map[string][]byte{}}
	for dimension, m := range x.bitmaps {
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

// DecodeIndex decodes and validates the output of Index.Encode. Errors wrap ErrInvalidBlock.
func DecodeIndex(b []byte) (*Index, error) {
	var f footer
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, blockErrorf("index: %v", err)
	}
	x := &Index{Blocks: f.Blocks, bitmaps: map[string]map[string]*roaring.Bitmap{}}
	for dimension, m := range f.Sets {
		x.bitmaps[dimension] = map[string]*roaring.Bitmap{}
		for name, text := range m {
			set := roaring.New()
			if err := set.UnmarshalBinary(text); err != nil {
				return nil, blockErrorf("index of %s %q: %v", dimension, name, err)
			}
			if !set.IsEmpty() && int(set.Maximum()) >= len(f.Blocks) {
				return nil, blockErrorf("index of %s %q refers to block %d of %d", dimension, name, set.Maximum(),
					len(f.Blocks))
			}
			x.bitmaps[dimension][name] = set
		}
	}
	for i, b := range x.Blocks {
		if b.OldestRequestBlock < 0 || b.OldestRequestBlock > i || b.Count < 0 || b.Offset < 0 || b.Columns < b.Offset {
			return nil, blockErrorf("invalid index entry of block %d", i)
		}
	}
	return x, nil
}

package trace

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Routers' clocks differ, by an offset and by drift. What several routers saw alike tells how much: numbered lists reach
// all of them within a second or so, and a call that is tried again at another router cannot have come there before the
// first has answered it. clock.go estimates one clock for each life of a router, and a further one after each step back.

const (
	// stepBack in microseconds is more than any clock that is only read late can go back: a step.
	stepBack = 1_000_000
	// repeatWithin in microseconds is how long after an answer a caller's further try may come.
	repeatWithin = 10_000_000
	// driftMost is the largest drift that is believed, in parts of a million.
	driftMost = 500.0
	// spanLeast in microseconds is how far apart sightings must lie to tell a drift, and pairsMost bounds the work.
	spanLeast = 30_000_000
	pairsMost = 400
	// numbersMost numbers are followed for causes.
	numbersMost = 200_000
)

// Clock corrects the times of one stretch of a router's records: true = at + Offset + Drift*(at - Zero).
type Clock struct {
	Router   string  `json:"router"`
	Life     int64   `json:"life"`
	Step     int     `json:"step"`      // how often its clock had stepped back before
	Zero     int64   `json:"zero_us"`   // first time in the stretch
	Offset   int64   `json:"offset_us"` // what is added there
	Drift    float64 `json:"drift_ppm"`
	Low      int64   `json:"low_us"` // bounds of the offset, by what was seen alike
	High     int64   `json:"high_us"`
	Alike    int     `json:"alike"` // lists seen by it and by the reference
	Causes   int     `json:"causes"`
	Guess    bool    `json:"guess"` // nothing was seen alike: it is taken to go on from the stretch before, or to be right
	last     int64
	previous *Clock
}

// Correct is the time by the reference's clock.
func (c *Clock) Correct(at int64) int64 {
	return at + c.Offset + int64(c.Drift*float64(at-c.Zero)/1e6)
}

func (c *Clock) String() string {
	text := fmt.Sprintf("%s life %d", c.Router, c.Life)
	if c.Step > 0 {
		text += fmt.Sprintf(" after step %d", c.Step)
	}
	return fmt.Sprintf("%s: offset %+.3f s (from %+.3f to %+.3f), drift %+.1f ppm, %d lists and %d causes seen alike", text,
		float64(c.Offset)/1e6, float64(c.Low)/1e6, float64(c.High)/1e6, c.Drift, c.Alike, c.Causes)
}

// stretch is what was seen in the records that one Clock is for.
type stretch struct {
	Clock
	lists map[int64]int64 // number to when it first came
}

// event is the answer to a try, or a repeat of one.
type event struct {
	clock *stretch
	at    int64
}

// Sightings collects what routers saw alike. Records are fed file by file, each in order.
type Sightings struct {
	all       map[string]*stretch // the latest of each life
	ordered   []*stretch
	refused   map[string][]event // by number called
	repeated  map[string][]event
	numbers   map[string]string // of calls that are open
	exhausted bool
}

// NewSightings begins with none.
func NewSightings() *Sightings {
	return &Sightings{all: map[string]*stretch{}, refused: map[string][]event{}, repeated: map[string][]event{}, numbers: map[string]string{}}
}

func lifeKey(router string, life int64) string { return fmt.Sprintf("%s/%d", router, life) }

// Take looks at a record of a router's life.
func (s *Sightings) Take(life int64, r *Record) {
	key := lifeKey(r.S[Router], life)
	st := s.all[key]
	if st == nil || r.At < st.last-stepBack {
		next := &stretch{Clock: Clock{Router: r.S[Router], Life: life, Zero: r.At, last: r.At}, lists: map[int64]int64{}}
		if st != nil {
			next.Step, next.previous = st.Step+1, &st.Clock
		}
		st = next
		s.all[key] = st
		s.ordered = append(s.ordered, st)
	}
	st.last = max(st.last, r.At)
	switch r.Kind {
	case List:
		if _, known := st.lists[r.N[Serial]]; !known {
			st.lists[r.N[Serial]] = r.At
		}
	case Request:
		if r.S[Number] == "" {
			return
		}
		if r.N[Retry] != 0 {
			s.note(s.repeated, r.S[Number], event{st, r.At})
		}
		if len(s.numbers) < numbersMost {
			s.numbers[r.S[Call]] = r.S[Number]
		}
	case Answer:
		number, known := s.numbers[r.S[Call]]
		delete(s.numbers, r.S[Call])
		if end := End(r.N[Final]); known && (end == EndRefused || end == EndFailed) {
			s.note(s.refused, number, event{st, r.At})
		}
	}
}

func (s *Sightings) note(m map[string][]event, number string, e event) {
	if len(m) < numbersMost && len(m[number]) < 16 {
		m[number] = append(m[number], e)
	}
}

// Estimate tells the clocks: that of the router that saw most lists is right.
func (s *Sightings) Estimate() []*Clock {
	if len(s.ordered) == 0 {
		return nil
	}
	reference := slices.MaxFunc(s.ordered, func(a, b *stretch) int {
		return cmp.Or(cmp.Compare(len(a.lists), len(b.lists)), strings.Compare(b.Router, a.Router), cmp.Compare(b.Life, a.Life))
	})
	// Those that share lists with the reference first, then those that share with one of these.
	known := []*stretch{reference}
	left := slices.DeleteFunc(slices.Clone(s.ordered), func(o *stretch) bool { return o == reference })
	for again := true; again; {
		again = false
		for _, k := range known {
			left = slices.DeleteFunc(left, func(o *stretch) bool {
				if !o.fit(k) {
					return false
				}
				known, again = append(known, o), true
				return true
			})
		}
	}
	for _, o := range left {
		o.Guess = true
		if o.previous != nil {
			o.Offset = o.previous.Correct(o.previous.last) - o.Zero
		}
		o.Low, o.High = o.Offset, o.Offset
	}
	s.causes(reference)
	clocks := make([]*Clock, len(s.ordered))
	for i, o := range s.ordered {
		clocks[i] = &o.Clock
	}
	return clocks
}

// fit estimates a clock from the lists that a known one has seen too; false if there are none.
func (o *stretch) fit(k *stretch) bool {
	type pair struct{ x, y float64 } // own time since Zero, and what is to be added there
	var pairs []pair
	for _, serial := range slices.Sorted(maps.Keys(o.lists)) {
		if at, both := k.lists[serial]; both {
			pairs = append(pairs, pair{float64(o.lists[serial] - o.Zero), float64(k.Correct(at) - o.lists[serial])})
		}
	}
	if len(pairs) == 0 {
		return false
	}
	o.Alike = len(pairs)
	if len(pairs) > pairsMost { // spread over the whole
		every := (len(pairs) + pairsMost - 1) / pairsMost
		var some []pair
		for i := 0; i < len(pairs); i += every {
			some = append(some, pairs[i])
		}
		pairs = some
	}
	// The median of the slopes between pairs (Theil and Sen): a list that came late here or there moves it little.
	var slopes []float64
	for i, a := range pairs {
		for _, b := range pairs[i+1:] {
			if span := b.x - a.x; span >= spanLeast || -span >= spanLeast {
				slopes = append(slopes, (b.y-a.y)/span)
			}
		}
	}
	if len(slopes) >= 3 {
		slices.Sort(slopes)
		o.Drift = min(max(1e6*slopes[len(slopes)/2], -driftMost), driftMost)
	}
	rests := make([]float64, len(pairs))
	for i, p := range pairs {
		rests[i] = p.y - o.Drift*p.x/1e6
	}
	slices.Sort(rests)
	o.Offset, o.Low, o.High = int64(rests[len(rests)/2]), int64(rests[0]), int64(rests[len(rests)-1])
	return true
}

// causes moves clocks within their bounds, and beyond where it must be, so that no repeat comes before the answer that it
// follows.
func (s *Sightings) causes(reference *stretch) {
	type cause struct{ answer, repeat event }
	var list []cause
	for _, number := range slices.Sorted(maps.Keys(s.repeated)) {
		for _, r := range s.repeated[number] {
			// The answer of another router that lies nearest before it, or, where clocks are off, nearest after it.
			best, found := int64(0), cause{}
			for _, a := range s.refused[number] {
				if a.clock == r.clock {
					continue
				}
				gap := r.clock.Correct(r.at) - a.clock.Correct(a.at)
				slack := max(2_000_000, a.clock.High-a.clock.Low, r.clock.High-r.clock.Low)
				if gap > repeatWithin || gap < -slack {
					continue
				}
				if found.answer.clock == nil || max(gap, -gap) < best {
					best, found = max(gap, -gap), cause{a, r}
				}
			}
			if found.answer.clock != nil {
				list = append(list, found)
				found.answer.clock.Causes++
				found.repeat.clock.Causes++
			}
		}
	}
	for range 20 {
		moved := false
		for _, c := range list {
			short := c.answer.clock.Correct(c.answer.at) + 1 - c.repeat.clock.Correct(c.repeat.at)
			if short <= 0 {
				continue
			}
			moved = true
			if c.repeat.clock != reference {
				room := short
				if c.answer.clock != reference {
					room = min(short, max(0, c.repeat.clock.High-c.repeat.clock.Offset))
					if room == 0 {
						room = (short + 1) / 2
					}
				}
				c.repeat.clock.Offset += room
				short -= room
			}
			if short > 0 && c.answer.clock != reference {
				c.answer.clock.Offset -= short
			}
		}
		if !moved {
			break
		}
	}
	for _, o := range s.ordered {
		o.Low, o.High = min(o.Low, o.Offset), max(o.High, o.Offset)
	}
}

// Source gives the records of one file in order; each is valid until the next call. io.EOF is the end.
type Source interface{ Next() (*Record, error) }

// Merger brings sources together by corrected time. Within a life the order is that of the file.
type Merger struct {
	h      cursors
	clocks map[string][]*Clock // by life, in order of steps
}

type cursor struct {
	src    Source
	life   int64
	clocks []*Clock
	step   int
	last   int64 // latest own time, to find steps
	key    int64 // corrected time; never goes back within a source
	order  int
	record *Record
}

type cursors []*cursor

func (c cursors) Len() int { return len(c) }
func (c cursors) Less(i, j int) bool {
	return c[i].key < c[j].key || c[i].key == c[j].key && c[i].order < c[j].order
}
func (c cursors) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *cursors) Push(x any)   { *c = append(*c, x.(*cursor)) }
func (c *cursors) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// NewMerger begins with clocks that were estimated of the same records.
func NewMerger(clocks []*Clock) *Merger {
	m := &Merger{clocks: map[string][]*Clock{}}
	for _, c := range clocks {
		key := lifeKey(c.Router, c.Life)
		m.clocks[key] = append(m.clocks[key], c)
	}
	return m
}

// Add takes a source of a router's life. Files of one life are added in their order as one source.
func (m *Merger) Add(router string, life int64, src Source, end error) error {
	c := &cursor{src: src, life: life, clocks: m.clocks[lifeKey(router, life)], order: len(m.h), last: -1 << 62, key: -1 << 62}
	if len(c.clocks) == 0 {
		c.clocks = []*Clock{{}}
	}
	err := c.next()
	if err == end {
		return nil
	}
	if err == nil {
		m.h = append(m.h, c)
		heap.Init(&m.h)
	}
	return err
}

func (c *cursor) next() (err error) {
	if c.record, err = c.src.Next(); err != nil {
		return err
	}
	if at := c.record.At; at < c.last-stepBack && c.step+1 < len(c.clocks) {
		c.step++
		c.last = at
	} else {
		c.last = max(c.last, at)
	}
	c.key = max(c.key, c.clocks[c.step].Correct(c.record.At))
	return nil
}

// Next returns the next record with its time corrected, until the next call; end is the sources' word for their end, and this
// one's.
func (m *Merger) Next(end error) (*Record, error) {
	if len(m.h) == 0 {
		return nil, end
	}
	c := m.h[0]
	if c.record == nil { // given out by the call before
		switch err := c.next(); {
		case err == end:
			heap.Pop(&m.h)
			return m.Next(end)
		case err != nil:
			return nil, err
		}
		heap.Fix(&m.h, 0)
		c = m.h[0]
	}
	r := c.record
	c.record = nil
	r.At = c.key
	return r, nil
}

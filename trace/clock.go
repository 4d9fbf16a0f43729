package trace

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Routers' clocks differ by an offset and a drift, which are estimated from events that several routers observed:
// numbered server lists reach all routers within about a second, and a call that is retried at another router can't
// arrive there before the first router has answered it. There is one estimate for each router incarnation, and
// another after each backward step of its clock.

const (
	// minClockStep (microseconds) is the smallest backward jump that counts as a clock step; records that are only
	// stamped late differ by less.
	minClockStep = 1_000_000
	// maxRetryDelay (microseconds) is the longest time between an answer and the caller's retry of the call.
	maxRetryDelay = 10_000_000
	// maxDriftPPM limits the estimated drift, in parts per million.
	maxDriftPPM = 500.0
	// minDriftSpan (microseconds) is the shortest time between two observations that drift is estimated from.
	// maxPairs limits the observations compared, since the work grows with their square.
	minDriftSpan = 30_000_000
	maxPairs     = 400
	// maxNumbers limits the called numbers that are tracked to match retries with answers.
	maxNumbers = 200_000
)

// Clock corrects the times of one segment of a router's records: corrected = at + Offset + Drift*(at - Start). A
// segment is an incarnation of a router, or the part of it between two backward steps of its clock.
type Clock struct {
	Router      string  `json:"router"`
	Incarnation int64   `json:"life"`
	Segment     int     `json:"step"`      // backward steps of the clock before this segment
	Start       int64   `json:"zero_us"`   // first time in the segment
	Offset      int64   `json:"offset_us"` // correction at Start
	Drift       float64 `json:"drift_ppm"`
	Low         int64   `json:"low_us"` // bounds of the offset, from the shared observations
	High        int64   `json:"high_us"`
	SharedLists int     `json:"alike"`  // server lists that it shares with the segment it was fitted to
	RetryPairs  int     `json:"causes"` // pairs of an answer and its retry at another router
	Assumed     bool    `json:"guess"`  // no shared observations: continues from the previous segment, or is uncorrected
	last        int64
	previous    *Clock
}

// Correct converts a time of this clock (microseconds since the Unix epoch) to the reference clock.
func (c *Clock) Correct(at int64) int64 {
	return at + c.Offset + int64(c.Drift*float64(at-c.Start)/1e6)
}

// String describes the clock for operators.
func (c *Clock) String() string {
	text := fmt.Sprintf("%s incarnation %d", c.Router, c.Incarnation)
	if c.Segment > 0 {
		text += fmt.Sprintf(" after clock step %d", c.Segment)
	}
	return fmt.Sprintf("%s: offset %+.3f s (from %+.3f to %+.3f), drift %+.1f ppm, from %d shared lists and %d retries",
		text,
		float64(c.Offset)/1e6, float64(c.Low)/1e6, float64(c.High)/1e6, c.Drift, c.SharedLists, c.RetryPairs)
}

// clockSegment holds the observations from the records of one Clock.
type clockSegment struct {
	Clock
	listTimes map[int64]int64 // list number to the time of its first arrival
}

// clockEvent is the time of an answer or of a retry, by the clock of its segment.
type clockEvent struct {
	segment *clockSegment
	at      int64
}

// ClockEstimator collects what several routers observed and estimates their clocks from it. Files are added one after
// another, each in order. It isn't safe for concurrent use.
type ClockEstimator struct {
	latest      map[string]*clockSegment // latest segment of each incarnation
	segments    []*clockSegment
	failures    map[string][]clockEvent // refusals and failures by called number
	retries     map[string][]clockEvent // marked retries by called number
	openNumbers map[string]string       // called number by ID of an open call
}

// NewClockEstimator returns an empty ClockEstimator.
func NewClockEstimator() *ClockEstimator {
	return &ClockEstimator{latest: map[string]*clockSegment{}, failures: map[string][]clockEvent{},
		retries: map[string][]clockEvent{}, openNumbers: map[string]string{}}
}

func incarnationKey(router string, incarnation int64) string {
	return fmt.Sprintf("%s/%d", router, incarnation)
}

// Add adds a record of a router's incarnation.
func (s *ClockEstimator) Add(incarnation int64, r *Record) {
	key := incarnationKey(r.Texts[Router], incarnation)
	segment := s.latest[key]
	if segment == nil || r.At < segment.last-minClockStep {
		next := &clockSegment{Clock: Clock{Router: r.Texts[Router], Incarnation: incarnation, Start: r.At, last: r.At},
			listTimes: map[int64]int64{}}
		if segment != nil {
			next.Segment, next.previous = segment.Segment+1, &segment.Clock
		}
		segment = next
		s.latest[key] = segment
		s.segments = append(s.segments, segment)
	}
	segment.last = max(segment.last, r.At)
	switch r.Kind {
	case List:
		if _, known := segment.listTimes[r.Figures[Serial]]; !known {
			segment.listTimes[r.Figures[Serial]] = r.At
		}
	case Request:
		if r.Texts[Number] == "" {
			return
		}
		if r.Figures[Retry] != 0 {
			s.addEvent(s.retries, r.Texts[Number], clockEvent{segment, r.At})
		}
		if len(s.openNumbers) < maxNumbers {
			s.openNumbers[r.Texts[Call]] = r.Texts[Number]
		}
	case Answer:
		number, known := s.openNumbers[r.Texts[Call]]
		delete(s.openNumbers, r.Texts[Call])
		if end := AnswerResult(r.Figures[FinalAnswer]); known && (end == AnswerRefused || end == AnswerFailed) {
			s.addEvent(s.failures, number, clockEvent{segment, r.At})
		}
	}
}

// addEvent stores an event of a called number, unless a limit on memory is reached.
func (s *ClockEstimator) addEvent(m map[string][]clockEvent, number string, e clockEvent) {
	if len(m) < maxNumbers && len(m[number]) < 16 {
		m[number] = append(m[number], e)
	}
}

// Estimate returns the clocks in the order in which their segments were added. The clock of the segment with the most
// server lists is the reference. It is called once, after all records were added.
func (s *ClockEstimator) Estimate() []*Clock {
	if len(s.segments) == 0 {
		return nil
	}
	reference := slices.MaxFunc(s.segments, func(a, b *clockSegment) int {
		return cmp.Or(cmp.Compare(len(a.listTimes), len(b.listTimes)), strings.Compare(b.Router, a.Router),
			cmp.Compare(b.Incarnation, a.Incarnation))
	})
	// Fit segments that share lists with the reference first, then those that share lists with a fitted one.
	known := []*clockSegment{reference}
	remaining := slices.DeleteFunc(slices.Clone(s.segments), func(o *clockSegment) bool { return o == reference })
	for progress := true; progress; {
		progress = false
		for _, source := range known {
			remaining = slices.DeleteFunc(remaining, func(o *clockSegment) bool {
				if !o.fitTo(source) {
					return false
				}
				known, progress = append(known, o), true
				return true
			})
		}
	}
	for _, o := range remaining {
		o.Assumed = true
		if o.previous != nil {
			o.Offset = o.previous.Correct(o.previous.last) - o.Start
		}
		o.Low, o.High = o.Offset, o.Offset
	}
	s.enforceCausality(reference)
	clocks := make([]*Clock, len(s.segments))
	for i, o := range s.segments {
		clocks[i] = &o.Clock
	}
	return clocks
}

// fitTo estimates the clock from the lists that it shares with a known segment; it returns false if there are none.
func (o *clockSegment) fitTo(known *clockSegment) bool {
	type pair struct{ x, y float64 } // own time since Start, and the correction at that time
	var pairs []pair
	for _, serial := range slices.Sorted(maps.Keys(o.listTimes)) {
		if at, both := known.listTimes[serial]; both {
			pairs = append(pairs,
				pair{float64(o.listTimes[serial] - o.Start), float64(known.Correct(at) - o.listTimes[serial])})
		}
	}
	if len(pairs) == 0 {
		return false
	}
	o.SharedLists = len(pairs)
	if len(pairs) > maxPairs { // sample evenly over the segment
		stride := (len(pairs) + maxPairs - 1) / maxPairs
		var sample []pair
		for i := 0; i < len(pairs); i += stride {
			sample = append(sample, pairs[i])
		}
		pairs = sample
	}
	// The Theil-Sen estimator (median slope) is robust against lists that arrived late at one of the routers.
	var slopes []float64
	for i, a := range pairs {
		for _, b := range pairs[i+1:] {
			if span := b.x - a.x; span >= minDriftSpan || -span >= minDriftSpan {
				slopes = append(slopes, (b.y-a.y)/span)
			}
		}
	}
	if len(slopes) >= 3 {
		slices.Sort(slopes)
		o.Drift = min(max(1e6*slopes[len(slopes)/2], -maxDriftPPM), maxDriftPPM)
	}
	residuals := make([]float64, len(pairs))
	for i, p := range pairs {
		residuals[i] = p.y - o.Drift*p.x/1e6
	}
	slices.Sort(residuals)
	o.Offset, o.Low, o.High =
		int64(residuals[len(residuals)/2]), int64(residuals[0]), int64(residuals[len(residuals)-1])
	return true
}

// enforceCausality shifts clocks so that no retry comes before the answer that it follows. It stays within their
// bounds where it can and widens them otherwise.
func (s *ClockEstimator) enforceCausality(reference *clockSegment) {
	type causalPair struct{ answer, retry clockEvent }
	var pairs []causalPair
	for _, number := range slices.Sorted(maps.Keys(s.retries)) {
		for _, r := range s.retries[number] {
			// Take the nearest answer of another router, which may come after the retry where clocks are wrong.
			bestGap, found := int64(0), causalPair{}
			for _, a := range s.failures[number] {
				if a.segment == r.segment {
					continue
				}
				gap := r.segment.Correct(r.at) - a.segment.Correct(a.at)
				slack := max(2_000_000, a.segment.High-a.segment.Low, r.segment.High-r.segment.Low)
				if gap > maxRetryDelay || gap < -slack {
					continue
				}
				if found.answer.segment == nil || max(gap, -gap) < bestGap {
					bestGap, found = max(gap, -gap), causalPair{a, r}
				}
			}
			if found.answer.segment != nil {
				pairs = append(pairs, found)
				found.answer.segment.RetryPairs++
				found.retry.segment.RetryPairs++
			}
		}
	}
	for range 20 {
		moved := false
		for _, c := range pairs {
			shortfall := c.answer.segment.Correct(c.answer.at) + 1 - c.retry.segment.Correct(c.retry.at)
			if shortfall <= 0 {
				continue
			}
			moved = true
			if c.retry.segment != reference {
				shift := shortfall
				if c.answer.segment != reference {
					shift = min(shortfall, max(0, c.retry.segment.High-c.retry.segment.Offset))
					if shift == 0 {
						shift = (shortfall + 1) / 2
					}
				}
				c.retry.segment.Offset += shift
				shortfall -= shift
			}
			if shortfall > 0 && c.answer.segment != reference {
				c.answer.segment.Offset -= shortfall
			}
		}
		if !moved {
			break
		}
	}
	for _, o := range s.segments {
		o.Low, o.High = min(o.Low, o.Offset), max(o.High, o.Offset)
	}
}

// Source returns the records of one file in order. A record is valid until the next call. After the last one, Next
// returns an error of the caller's choice, usually io.EOF.
type Source interface{ Next() (*Record, error) }

// Merger merges sources by corrected time and keeps the file order within an incarnation. It isn't safe for
// concurrent use.
type Merger struct {
	queue  cursorHeap
	clocks map[string][]*Clock // by incarnation, in order of steps
}

// cursor is the read position in one source.
type cursor struct {
	source      Source
	incarnation int64
	clocks      []*Clock
	segment     int
	last        int64 // latest uncorrected time, to detect backward steps
	sortTime    int64 // corrected time; never decreases within a source
	order       int
	record      *Record
}

// cursorHeap is a heap of cursors by time, then by order of addition.
type cursorHeap []*cursor

func (c cursorHeap) Len() int { return len(c) }
func (c cursorHeap) Less(i, j int) bool {
	return c[i].sortTime < c[j].sortTime || c[i].sortTime == c[j].sortTime && c[i].order < c[j].order
}
func (c cursorHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *cursorHeap) Push(x any)   { *c = append(*c, x.(*cursor)) }
func (c *cursorHeap) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// NewMerger returns a Merger that uses clocks estimated from the same records.
func NewMerger(clocks []*Clock) *Merger {
	m := &Merger{clocks: map[string][]*Clock{}}
	for _, c := range clocks {
		key := incarnationKey(c.Router, c.Incarnation)
		m.clocks[key] = append(m.clocks[key], c)
	}
	return m
}

// Add adds a source of a router's incarnation. Files of one incarnation are added in order as one source. end is the
// error by which the source reports its end; other errors of the source are returned.
func (m *Merger) Add(router string, incarnation int64, src Source, end error) error {
	c := &cursor{source: src, incarnation: incarnation, clocks: m.clocks[incarnationKey(router, incarnation)],
		order: len(m.queue), last: -1 << 62, sortTime: -1 << 62}
	if len(c.clocks) == 0 {
		c.clocks = []*Clock{{}}
	}
	err := c.next()
	if err == end {
		return nil
	}
	if err == nil {
		m.queue = append(m.queue, c)
		heap.Init(&m.queue)
	}
	return err
}

// next reads the next record and computes its corrected time.
func (c *cursor) next() (err error) {
	if c.record, err = c.source.Next(); err != nil {
		return err
	}
	if at := c.record.At; at < c.last-minClockStep && c.segment+1 < len(c.clocks) {
		c.segment++
		c.last = at
	} else {
		c.last = max(c.last, at)
	}
	c.sortTime = max(c.sortTime, c.clocks[c.segment].Correct(c.record.At))
	return nil
}

// Next returns the next record with its time corrected; it is valid until the next call. end is the error by which
// the sources report their end, and which Next returns at the end of all.
func (m *Merger) Next(end error) (*Record, error) {
	if len(m.queue) == 0 {
		return nil, end
	}
	c := m.queue[0]
	if c.record == nil { // returned by the previous call
		switch err := c.next(); {
		case err == end:
			heap.Pop(&m.queue)
			return m.Next(end)
		case err != nil:
			return nil, err
		}
		heap.Fix(&m.queue, 0)
		c = m.queue[0]
	}
	r := c.record
	c.record = nil
	r.At = c.sortTime
	return r, nil
}

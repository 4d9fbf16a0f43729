package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadglade.example/threadglade"
)

// groupsMost groups a summary keeps apart; more come together as "(other)".
const groupsMost = 10_000

// Group is the sums of one tenant, class, server or reason in one span of time.
type Group struct {
	From     int64            `json:"from_us"`
	Name     string           `json:"name"`
	Offered  int64            `json:"offered"`
	Stood    int64            `json:"stood"`
	Late     int64            `json:"late"` // of Stood
	Refused  int64            `json:"refused"`
	Failed   int64            `json:"failed"`
	Left     int64            `json:"left"`
	Cut      int64            `json:"cut"`
	Attempts int64            `json:"attempts"`
	Timeouts int64            `json:"timed_out"`
	Rejects  int64            `json:"rejected"`
	Worth    float64          `json:"worth_offered"`
	Earned   float64          `json:"worth_earned"`
	Reasons  map[string]int64 `json:"reasons,omitempty"` // of refusals and failures
	P50Ms    float64          `json:"p50_ms"`
	P90Ms    float64          `json:"p90_ms"`
	P99Ms    float64          `json:"p99_ms"`
	times    *hdrhistogram.Histogram
}

// Summary sums records up by a dimension and by spans of time.
type Summary struct {
	meta   Meta
	by     string
	every  int64 // microseconds; 0: all in one
	groups map[groupKey]*Group
	last   map[string]int64 // reason of the latest decision of a call whose answer is to come
}

type groupKey struct {
	from int64
	name string
}

// NewSummary sums up by class, tenant, server or reason, or all together if by is empty.
func NewSummary(meta Meta, by string, every int64) (*Summary, error) {
	if by != "" && !slices.Contains([]string{ByClass, ByTenant, ByServer, ByReason}, by) {
		return nil, fmt.Errorf("by: %q is none of class, tenant, server, reason", by)
	}
	return &Summary{meta: meta, by: by, every: every, groups: map[groupKey]*Group{}, last: map[string]int64{}}, nil
}

func (s *Summary) group(r *Record, reason string) *Group {
	key := groupKey{}
	if s.every > 0 {
		key.from = r.At - r.At%s.every
	}
	switch s.by {
	case ByClass:
		key.name = r.S[Class]
	case ByTenant:
		key.name = r.S[Tenant]
	case ByServer:
		key.name = r.S[Server]
	case ByReason:
		key.name = reason
	}
	g := s.groups[key]
	if g == nil {
		if len(s.groups) >= groupsMost {
			key.name = "(other)"
			if g = s.groups[key]; g != nil {
				return g
			}
		}
		g = &Group{From: key.from, Name: key.name, Reasons: map[string]int64{}, times: hdrhistogram.New(1, 600_000_000, 3)}
		s.groups[key] = g
	}
	return g
}

// Take adds a record.
func (s *Summary) Take(r *Record) {
	switch r.Kind {
	case Request:
		if s.by == ByServer || s.by == ByReason {
			return // told by the answer: a request has neither
		}
		g := s.group(r, "")
		g.Offered++
		offered, _, _ := s.meta.earned(r.S[Class], -1)
		g.Worth += offered
	case Decision:
		reason := reasonName(r.N[Reason])
		switch Action(r.N[Act]) {
		case Sent:
			s.group(r, reason).Attempts++
		case Refused, Failed:
			s.group(r, reason).Reasons[reason]++
			s.last[r.S[Call]] = r.N[Reason]
		}
	case AttemptEnd:
		if s.by == ByReason {
			return
		}
		switch threadglade.Outcome(r.N[Outcome]) {
		case threadglade.TimedOut:
			s.group(r, "").Timeouts++
		case threadglade.Rejected:
			s.group(r, "").Rejects++
		}
	case Answer:
		reason := ""
		if n, known := s.last[r.S[Call]]; known {
			reason = reasonName(n)
			delete(s.last, r.S[Call])
		}
		g := s.group(r, reason)
		if s.by == ByServer || s.by == ByReason {
			g.Offered++
			offered, _, _ := s.meta.earned(r.S[Class], -1)
			g.Worth += offered
		}
		switch End(r.N[Final]) {
		case EndStood:
			_, earned, late := s.meta.earned(r.S[Class], r.N[TookUs])
			g.Stood++
			g.Earned += earned
			if late {
				g.Late++
			}
			g.times.RecordValue(min(max(1, r.N[TookUs]), 600_000_000))
		case EndRefused:
			g.Refused++
		case EndFailed:
			g.Failed++
		case EndLeft:
			g.Left++
		}
	case Release:
		if threadglade.Outcome(r.N[Outcome]) == threadglade.Cut && s.by != ByReason {
			s.group(r, "").Cut++
		}
	}
}

// Groups returns the sums by time and name.
func (s *Summary) Groups() []*Group {
	list := slices.Collect(maps.Values(s.groups))
	for _, g := range list {
		ms := func(q float64) float64 { return float64(g.times.ValueAtQuantile(q)) / 1000 }
		g.P50Ms, g.P90Ms, g.P99Ms = ms(50), ms(90), ms(99)
	}
	slices.SortFunc(list, func(a, b *Group) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Name, b.Name)) })
	return list
}

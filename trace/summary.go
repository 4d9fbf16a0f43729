package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadglade.example/threadglade"
)

// maxGroups limits the groups of a summary; the remainder is summed up as "(other)".
const maxGroups = 10_000

// Group holds the sums of one tenant, class, server or reason in one interval.
type Group struct {
	From     int64            `json:"from_us"` // start of the interval
	Name     string           `json:"name"`
	Offered  int64            `json:"offered"`
	Stood    int64            `json:"stood"` // established calls
	Late     int64            `json:"late"`  // established, but after the class's target
	Refused  int64            `json:"refused"`
	Failed   int64            `json:"failed"`
	Left     int64            `json:"left"` // abandoned by the caller
	Cut      int64            `json:"cut"`  // established calls that were lost
	Attempts int64            `json:"attempts"`
	Timeouts int64            `json:"timed_out"`
	Rejects  int64            `json:"rejected"`
	Worth    float64          `json:"worth_offered"`
	Earned   float64          `json:"worth_earned"`
	Reasons  map[string]int64 `json:"reasons,omitempty"` // refusals and failures by reason
	P50Ms    float64          `json:"p50_ms"`
	P90Ms    float64          `json:"p90_ms"`
	P99Ms    float64          `json:"p99_ms"`
	times    *hdrhistogram.Histogram
}

// Summary sums up records by a dimension and by intervals of time. It isn't safe for concurrent use.
type Summary struct {
	meta        Meta
	dimension   string
	interval    int64 // microseconds; 0: a single interval
	groups      map[groupKey]*Group
	lastReasons map[string]int64 // reason of the latest refusal or failure of a call that is not answered yet
}

type groupKey struct {
	from int64
	name string
}

// NewSummary returns an empty Summary by class, tenant, server or reason, or of everything if by is empty. every is
// the interval in microseconds, or 0 for a single one.
func NewSummary(meta Meta, by string, every int64) (*Summary, error) {
	if by != "" && !slices.Contains([]string{ByClass, ByTenant, ByServer, ByReason}, by) {
		return nil, fmt.Errorf("by: %q is not one of class, tenant, server, reason", by)
	}
	return &Summary{meta: meta, dimension: by, interval: every, groups: map[groupKey]*Group{},
		lastReasons: map[string]int64{}}, nil
}

// groupFor returns the group that a record is counted in and creates it if needed.
func (s *Summary) groupFor(r *Record, reason string) *Group {
	key := groupKey{}
	if s.interval > 0 {
		key.from = r.At - r.At%s.interval
	}
	switch s.dimension {
	case ByClass:
		key.name = r.Texts[Class]
	case ByTenant:
		key.name = r.Texts[Tenant]
	case ByServer:
		key.name = r.Texts[Server]
	case ByReason:
		key.name = reason
	}
	g := s.groups[key]
	if g == nil {
		if len(s.groups) >= maxGroups {
			key.name = "(other)"
			if g = s.groups[key]; g != nil {
				return g
			}
		}
		g = &Group{From: key.from, Name: key.name, Reasons: map[string]int64{},
			times: hdrhistogram.New(1, 600_000_000, 3)}
		s.groups[key] = g
	}
	return g
}

// Add adds the next record.
func (s *Summary) Add(r *Record) {
	switch r.Kind {
	case Request:
		if s.dimension == ByServer || s.dimension == ByReason {
			return // counted at the answer, because a request has neither a server nor a reason
		}
		g := s.groupFor(r, "")
		g.Offered++
		offered, _, _ := s.meta.answerWorth(r.Texts[Class], -1)
		g.Worth += offered
	case Decision:
		reason := reasonName(r.Figures[Reason])
		switch Action(r.Figures[ActionCode]) {
		case ActionSent:
			s.groupFor(r, reason).Attempts++
		case ActionRefused, ActionFailed:
			s.groupFor(r, reason).Reasons[reason]++
			s.lastReasons[r.Texts[Call]] = r.Figures[Reason]
		}
	case AttemptEnd:
		if s.dimension == ByReason {
			return
		}
		switch threadglade.Outcome(r.Figures[Outcome]) {
		case threadglade.TimedOut:
			s.groupFor(r, "").Timeouts++
		case threadglade.Rejected:
			s.groupFor(r, "").Rejects++
		}
	case Answer:
		reason := ""
		if n, known := s.lastReasons[r.Texts[Call]]; known {
			reason = reasonName(n)
			delete(s.lastReasons, r.Texts[Call])
		}
		g := s.groupFor(r, reason)
		if s.dimension == ByServer || s.dimension == ByReason {
			g.Offered++
			offered, _, _ := s.meta.answerWorth(r.Texts[Class], -1)
			g.Worth += offered
		}
		switch AnswerResult(r.Figures[FinalAnswer]) {
		case AnswerEstablished:
			_, earned, late := s.meta.answerWorth(r.Texts[Class], r.Figures[ElapsedUs])
			g.Stood++
			g.Earned += earned
			if late {
				g.Late++
			}
			g.times.RecordValue(min(max(1, r.Figures[ElapsedUs]), 600_000_000))
		case AnswerRefused:
			g.Refused++
		case AnswerFailed:
			g.Failed++
		case AnswerAbandoned:
			g.Left++
		}
	case Release:
		if threadglade.Outcome(r.Figures[Outcome]) == threadglade.Cut && s.dimension != ByReason {
			s.groupFor(r, "").Cut++
		}
	}
}

// Groups computes the quantiles and returns the groups ordered by time and name.
func (s *Summary) Groups() []*Group {
	list := slices.Collect(maps.Values(s.groups))
	for _, g := range list {
		ms := func(q float64) float64 { return float64(g.times.ValueAtQuantile(q)) / 1000 }
		g.P50Ms, g.P90Ms, g.P99Ms = ms(50), ms(90), ms(99)
	}
	slices.SortFunc(list, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Name, b.Name))
	})
	return list
}

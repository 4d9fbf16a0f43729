package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadglade.example/threadglade"
)

// Finding a cause: the time asked about is compared with as long a time before. What changed is ranked by the worth that
// was lost over it; causes are ranked by how much of the loss they stand for and how clear their signs are.

const (
	// silentFor in microseconds without an answer, and silentSends set-ups in it, are silence.
	silentFor   = 1_500_000
	silentSends = 3
	// staleFor in microseconds is how far a router's list may lie behind others'.
	staleFor = 3_000_000
	// lateFor in microseconds is more than a list is ordinarily late.
	lateFor = 1_500_000
	// openMost calls are followed at once.
	openMost = 1 << 20
)

// Explanation is something that may have made service drop.
type Explanation struct {
	Kind  string  `json:"kind"` // slow, silent, burst, draining, stale, refusing
	Name  string  `json:"name"` // of the server or router; empty for a burst
	Score float64 `json:"score"`
	First int64   `json:"first_us"` // time of the first sign
	Text  string  `json:"text"`
}

// Change is how one group fared before and during the time asked about.
type Change struct {
	Dimension    string  `json:"by"`
	Name         string  `json:"name"`
	Before       float64 `json:"lost_before"` // worth lost
	During       float64 `json:"lost_during"`
	OfferedShare float64 `json:"share_of_loss"`
}

// Verdict is what an Inquiry finds.
type Verdict struct {
	From, To       int64         `json:"-"`
	ServiceBefore  float64       `json:"service_before"` // worth earned over worth offered
	ServiceDuring  float64       `json:"service_during"`
	Lost           float64       `json:"worth_lost"`
	RequestsBefore int64         `json:"requests_before"`
	RequestsDuring int64         `json:"requests_during"`
	Causes         []Explanation `json:"causes"`
	Changes        []Change      `json:"changes"`
	Shared         []Shared      `json:"shared,omitempty"`
}

// Shared is what all routers together found a server to be in the time asked about.
type Shared struct {
	Server  string `json:"server"`
	Found   string `json:"found"` // and by whom
	Bad     int64  `json:"bad"`   // routers that missed its answers, at the most
	Others  int64  `json:"others"`
	AgeUs   int64  `json:"age_us"`   // the oldest evidence that a router heeded
	First   int64  `json:"first_us"` // when it was first heeded
	Choices int64  `json:"choices"`  // decisions that it changed, over all servers then found unfit
}

// Inquiry collects what is needed of records in order; those of the time before must be among them.
type Inquiry struct {
	meta     Meta
	from, to int64
	begin    int64
	servers  map[string]*suspect
	routers  map[string]*listener
	lists    map[int64]int64 // number to when any router first had it
	newest   int64
	open     map[string]*pursued
	windows  [2]struct {
		requests        int64
		offered, earned float64
		lost            map[[2]string]float64 // by dimension and name
	}
	firstLoss int64
	firstRise int64
	shared    map[string]*Shared // by server
	changed   int64              // decisions
	arrivals  map[int64]int64    // by half seconds, to find where a burst began
}

// suspect is a server in both windows.
type suspect struct {
	name                              string
	times                             [2]*hdrhistogram.Histogram // from set-up to answer
	waits                             [2]int64                   // reported, summed
	reports                           [2]int64
	sent, answered, rejected, timeout [2]int64
	cut                               [2]int64
	lost                              [2]float64
	sends                             int64 // since the last answer
	lastAnswer, firstSend             int64
	silent                            int64 // the longest silence
	silentAt                          int64 // and where it began
	slowAt                            int64
	rejectAt                          int64
	down                              int64 // when it was first listed as draining or gone in the time asked about
	state                             threadglade.ServerState
}

// listener is a router and its list.
type listener struct {
	serial     int64
	at         int64
	behind     int64 // longest time that its list lay behind
	behindAt   int64
	lost, lone float64
	failed     int64 // attempts at servers that others had as gone
	late       int64 // how far its list lies behind now
}

type pursued struct {
	server string
	sent   int64
	reason int64
	router string
}

// NewInquiry asks about [from, to).
func NewInquiry(meta Meta, from, to int64) *Inquiry {
	w := &Inquiry{meta: meta, from: from, to: to, begin: from - (to - from), servers: map[string]*suspect{}, routers: map[string]*listener{},
		lists: map[int64]int64{}, open: map[string]*pursued{}, arrivals: map[int64]int64{}, shared: map[string]*Shared{}}
	for i := range w.windows {
		w.windows[i].lost = map[[2]string]float64{}
	}
	return w
}

// Begin is from when records are needed.
func (w *Inquiry) Begin() int64 { return w.begin }

func (w *Inquiry) server(name string) *suspect {
	s := w.servers[name]
	if s == nil {
		s = &suspect{name: name}
		for i := range s.times {
			s.times[i] = hdrhistogram.New(1, 60_000_000, 2)
		}
		w.servers[name] = s
	}
	return s
}

// Take adds a record.
func (w *Inquiry) Take(r *Record) {
	if r.At < w.begin || r.At >= w.to {
		return
	}
	i := 0
	if r.At >= w.from {
		i = 1
	}
	win := &w.windows[i]
	hears := w.routers[r.S[Router]]
	if hears == nil {
		hears = &listener{}
		w.routers[r.S[Router]] = hears
	}
	if r.Kind == Request || r.Kind == Decision || r.Kind == AttemptEnd || r.Kind == Answer {
		w.listen(hears, r.At)
	}
	switch r.Kind {
	case Request:
		win.requests++
		offered, _, _ := w.meta.earned(r.S[Class], -1)
		win.offered += offered
		w.arrivals[r.At/500_000]++
		if len(w.open) < openMost {
			w.open[r.S[Call]] = &pursued{router: r.S[Router]}
		}
	case Care:
		if i == 1 && r.N[DeadlineMs] > 0 {
			one := w.shared[r.S[Server]]
			if one == nil {
				one = &Shared{Server: r.S[Server], First: r.At, Choices: -w.changed}
				w.shared[r.S[Server]] = one
			}
			one.Found, one.Others = r.S[Front], r.N[Total]
			one.Bad, one.AgeUs = max(one.Bad, r.N[Count]), max(one.AgeUs, r.N[TookUs])
		}
	case Decision:
		if why := threadglade.Reason(r.N[Reason]); i == 1 && (why == threadglade.SharedVerdict || why == threadglade.Avoided) {
			w.changed++
		}
		p := w.open[r.S[Call]]
		if p != nil && r.S[Server] != "" {
			p.server, p.reason = r.S[Server], r.N[Reason]
		}
		if r.S[Server] == "" {
			return
		}
		s := w.server(r.S[Server])
		if Action(r.N[Act]) == Sent {
			if p != nil {
				p.sent = r.At
			}
			s.sent[i]++
			if s.sends++; s.sends == 1 {
				s.firstSend = r.At
			}
			w.hush(s, r.At)
		}
	case AttemptEnd:
		s := w.server(r.S[Server])
		switch threadglade.Outcome(r.N[Outcome]) {
		case threadglade.Rejected:
			s.rejected[i]++
			s.lastAnswer, s.sends = r.At, 0
			if i == 1 && s.rejectAt == 0 {
				s.rejectAt = r.At
			}
		case threadglade.TimedOut, threadglade.Cancelled:
			s.timeout[i]++
			w.hush(s, r.At)
		case threadglade.Cut, threadglade.Unreachable, threadglade.NotSent:
			if s.down > 0 && hears.late > lateFor {
				hears.failed++ // the router's fault, which does not know
			} else {
				s.cut[i]++
			}
		case threadglade.Faulted:
			s.lastAnswer, s.sends = r.At, 0
		}
	case Answer:
		p := w.open[r.S[Call]]
		delete(w.open, r.S[Call])
		took := int64(-1)
		if End(r.N[Final]) == EndStood {
			took = r.N[TookUs]
			s := w.server(r.S[Server])
			s.answered[i]++
			s.lastAnswer, s.sends = r.At, 0
			if p != nil && p.sent > 0 {
				own := min(max(1, r.At-p.sent), 60_000_000)
				s.times[i].RecordValue(own)
				if i == 1 && s.slowAt == 0 && s.times[0].TotalCount() > 0 && own > 2*s.times[0].ValueAtQuantile(90) {
					s.slowAt = r.At
				}
			}
		}
		offered, earned, _ := w.meta.earned(r.S[Class], took)
		win.earned += earned
		if lost := offered - earned; lost > 0 {
			w.lose(i, r, p, lost, hears)
		}
	case Release:
		if threadglade.Outcome(r.N[Outcome]) == threadglade.Cut {
			s := w.server(r.S[Server])
			s.cut[i]++
			offered, _, _ := w.meta.earned(r.S[Class], -1)
			win.earned -= offered
			w.lose(i, r, &pursued{server: r.S[Server], reason: int64(threadglade.NoReason)}, offered, hears)
		}
	case Report:
		s := w.server(r.S[Server])
		if r.N[LatencyUs] >= 0 {
			s.waits[i] += r.N[LatencyUs]
			s.reports[i]++
		}
	case List:
		if hears.serial = r.N[Serial]; w.lists[hears.serial] == 0 {
			w.lists[hears.serial] = r.At
		}
		w.newest = max(w.newest, hears.serial)
		hears.at = r.At
	case Listed:
		s := w.server(r.S[Server])
		s.state = threadglade.ServerState(r.N[State])
		if s.state != threadglade.Up && s.down == 0 && i == 1 {
			s.down = r.At
		}
	}
}

// hush looks how long a server has said nothing while it was sent calls.
func (w *Inquiry) hush(s *suspect, now int64) {
	since := max(s.lastAnswer, s.firstSend)
	if now < w.from || s.sends < silentSends {
		return
	}
	if quiet := now - since; quiet > s.silent {
		s.silent, s.silentAt = quiet, since
	}
}

// listen looks how long a router's list has lain behind the newest that any router has.
func (w *Inquiry) listen(l *listener, now int64) {
	l.late = 0
	if l.serial >= w.newest {
		return
	}
	first := int64(0) // when the first list that it lacks was there
	for serial, at := range w.lists {
		if serial > l.serial && (first == 0 || at < first) {
			first = at
		}
	}
	l.late = now - first
	if late := now - first; first > 0 && now >= w.from && late > l.behind {
		l.behind, l.behindAt = late, first
	}
}

func (w *Inquiry) lose(i int, r *Record, p *pursued, lost float64, l *listener) {
	win := &w.windows[i]
	win.lost[[2]string{ByClass, r.S[Class]}] += lost
	win.lost[[2]string{ByTenant, r.S[Tenant]}] += lost
	win.lost[[2]string{"router", r.S[Router]}] += lost
	if i == 1 {
		l.lost += lost
		if w.firstLoss == 0 {
			w.firstLoss = r.At
		}
	}
	if p == nil {
		return
	}
	if p.server != "" {
		if s := w.server(p.server); s.down == 0 || l.late <= lateFor {
			s.lost[i] += lost
		}
		win.lost[[2]string{ByServer, p.server}] += lost
	}
	if p.reason != 0 {
		win.lost[[2]string{ByReason, reasonName(p.reason)}] += lost
	}
}

func share(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return min(1, max(0, a/b))
}

// clear maps how far a ratio lies above 1 to a part of 1, which it reaches at full.
func clear01(ratio, full float64) float64 { return min(1, max(0, (ratio-1)/(full-1))) }

// Verdict ranks what was found.
func (w *Inquiry) Verdict() Verdict {
	a, b := &w.windows[0], &w.windows[1]
	v := Verdict{From: w.from, To: w.to, RequestsBefore: a.requests, RequestsDuring: b.requests,
		ServiceBefore: share(a.earned, a.offered), ServiceDuring: share(b.earned, b.offered)}
	for _, name := range slices.Sorted(maps.Keys(w.shared)) {
		one := *w.shared[name]
		one.Choices += w.changed
		v.Shared = append(v.Shared, one)
	}
	total := 0.0
	for key, lost := range b.lost {
		if key[0] == ByClass {
			total += lost
		}
	}
	v.Lost = total
	seconds := float64(w.to-w.from) / 1e6
	at := func(us int64) int64 {
		if us == 0 {
			return w.firstLoss
		}
		return us
	}
	names := slices.Sorted(maps.Keys(w.servers))
	slow := map[string]float64{}
	for _, n := range names {
		slow[n] = w.servers[n].slower()
	}
	others := func(name string) float64 { // how much slower the others became, at the median
		var list []float64
		for _, n := range names {
			if n != name && slow[n] > 0 {
				list = append(list, slow[n])
			}
		}
		if len(list) == 0 {
			return 1
		}
		slices.Sort(list)
		return max(1, list[(len(list)-1)/2])
	}
	rise := 0.0
	if a.requests > 0 {
		rise = float64(b.requests) / float64(a.requests)
	}
	cause := func(kind, name string, score float64, first int64, format string, args ...any) {
		if score > 0.02 {
			v.Causes = append(v.Causes, Explanation{kind, name, min(score, 1), at(first), fmt.Sprintf(format, args...)})
		}
	}
	for _, n := range names {
		s := w.servers[n]
		part := share(s.lost[1], total)
		quiet := s.silent >= silentFor
		if s.down > 0 {
			word := "drains"
			if s.state == threadglade.Removed {
				word = "is gone"
			}
			cause("draining", n, 0.5*part+0.4*share(float64(s.cut[1]), 3)+0.1, s.down, "server %s %s; %s there cut, %.0f%% of the loss",
				n, word, plural(int(s.cut[1]), "call"), 100*part)
		}
		if quiet && s.down == 0 {
			cause("silent", n, 0.6+0.4*part, s.silentAt, "server %s answered nothing for %.1f s while set-ups went there; %d timed out or were withdrawn, %.0f%% of the loss",
				n, float64(s.silent)/1e6, s.timeout[1], 100*part)
		}
		if ratio := slow[n] / others(n); ratio > 1.3 && !quiet && s.down == 0 {
			cause("slow", n, 0.6*clear01(ratio, 2.5)+0.4*part, s.slowAt, "server %s answers %.1f times slower than before (others %.1f times): %.0f ms at the median, %.0f%% of the loss",
				n, slow[n], others(n), float64(s.times[1].ValueAtQuantile(50))/1000, 100*part)
		}
		if s.rejected[1] > 2*s.rejected[0]+5 && rise < 1.2 {
			cause("refusing", n, 0.25+0.25*part, s.rejectAt, "server %s turned %d set-ups away, %d before", n, s.rejected[1], s.rejected[0])
		}
	}
	if rise > 1.15 {
		cause("burst", "", 0.95*clear01(rise, 1.5), w.rose(), "%.1f requests a second came, %.1f before: %.2f times", float64(b.requests)/seconds, float64(a.requests)/seconds, rise)
	}
	for _, n := range slices.Sorted(maps.Keys(w.routers)) {
		l := w.routers[n]
		if l.behind >= staleFor && len(w.routers) > 1 {
			cause("stale", n, 0.6+0.2*share(l.lost, total)+0.2*share(float64(l.failed), 5), l.behindAt, "router %s works with list %d while others have %d, %.1f s behind; %s at servers that others know as gone, %.0f%% of the loss",
				n, l.serial, w.newest, float64(l.behind)/1e6, plural(int(l.failed), "lost attempt"), 100*share(l.lost, total))
		}
	}
	slices.SortStableFunc(v.Causes, func(x, y Explanation) int {
		return cmp.Or(cmp.Compare(y.Score, x.Score), cmp.Compare(x.First, y.First), cmp.Compare(x.Name, y.Name))
	})
	keys := map[[2]string]bool{}
	for key := range a.lost {
		keys[key] = true
	}
	for key := range b.lost {
		keys[key] = true
	}
	for key := range keys {
		v.Changes = append(v.Changes, Change{key[0], key[1], a.lost[key], b.lost[key], share(b.lost[key], total)})
	}
	slices.SortFunc(v.Changes, func(x, y Change) int {
		return cmp.Or(cmp.Compare(y.During-y.Before, x.During-x.Before), cmp.Compare(x.Dimension, y.Dimension), cmp.Compare(x.Name, y.Name))
	})
	return v
}

// slower is how much longer a server takes than before; 0 if that cannot be told.
func (s *suspect) slower() float64 {
	const least = 5
	ratio := 0.0
	if s.times[0].TotalCount() >= least && s.times[1].TotalCount() >= least {
		// Answers that do not come any more are not among those: the longest of them stands for them.
		ratio = float64(s.times[1].ValueAtQuantile(75)) / float64(max(1000, s.times[0].ValueAtQuantile(75)))
	}
	if s.reports[0] > 0 && s.reports[1] > 0 {
		before, during := s.waits[0]/s.reports[0], s.waits[1]/s.reports[1]
		ratio = max(ratio, float64(during+50_000)/float64(before+50_000))
	}
	return ratio
}

// rose is when more requests began to come than in any half second before.
func (w *Inquiry) rose() int64 {
	most := int64(0)
	for half, n := range w.arrivals {
		if half*500_000 < w.from {
			most = max(most, n)
		}
	}
	for _, half := range slices.Sorted(maps.Keys(w.arrivals)) {
		if half*500_000 >= w.from && w.arrivals[half] > most {
			return half * 500_000
		}
	}
	return w.from
}

package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadglade.example/threadglade"
)

// A diagnosis compares a range of time (the window) with a baseline of the same length right before it. Changes are
// ranked by the worth that was lost, likely causes by their share of the loss and by how clear their signs are.

const (
	// A server is silent after minSilence (microseconds) without an answer and at least minSilentSends set-ups.
	minSilence     = 1_500_000
	minSilentSends = 3
	// minStaleLag (microseconds) is the lag behind other routers from which a router's server list counts as stale.
	minStaleLag = 3_000_000
	// maxNormalListDelay (microseconds) is the longest ordinary delay between routers in receiving a list.
	maxNormalListDelay = 1_500_000
	// maxOpenCalls limits the open calls that are tracked.
	maxOpenCalls = 1 << 20
)

// Explanation is a likely cause of a drop in service.
type Explanation struct {
	Kind      string  `json:"kind"`     // slow, silent, burst, draining, stale, refusing
	Name      string  `json:"name"`     // server or router; empty for a burst
	Score     float64 `json:"score"`    // 0 to 1
	FirstSign int64   `json:"first_us"` // time of the first sign, microseconds since the Unix epoch
	Text      string  `json:"text"`
}

// Change compares the worth lost by one group in the baseline and in the window.
type Change struct {
	Dimension  string  `json:"by"`
	Name       string  `json:"name"`
	LostBefore float64 `json:"lost_before"`   // worth lost in the baseline
	LostDuring float64 `json:"lost_during"`   // worth lost in the window
	LossShare  float64 `json:"share_of_loss"` // of LostDuring in the whole loss
}

// Diagnosis is the result of a Diagnoser. Before is the baseline, during the window.
type Diagnosis struct {
	From, To       int64           `json:"-"`
	ServiceBefore  float64         `json:"service_before"` // worth earned divided by worth offered
	ServiceDuring  float64         `json:"service_during"`
	Lost           float64         `json:"worth_lost"`
	RequestsBefore int64           `json:"requests_before"`
	RequestsDuring int64           `json:"requests_during"`
	Causes         []Explanation   `json:"causes"`
	Changes        []Change        `json:"changes"`
	SharedFindings []SharedFinding `json:"shared,omitempty"`
}

// SharedFinding is the shared verdict of all routers on a server that was in effect in the window.
type SharedFinding struct {
	Server           string `json:"server"`
	Found            string `json:"found"`    // the finding and its origin
	Affected         int64  `json:"bad"`      // largest number of routers that got no answers from the server
	Others           int64  `json:"others"`   // other routers
	MaxAgeUs         int64  `json:"age_us"`   // age of the oldest evidence that a router acted on
	FirstApplied     int64  `json:"first_us"` // when a router first acted on it
	ChangedDecisions int64  `json:"choices"`  // decisions changed from then on, by the shared verdicts on any server
}

// Diagnoser collects the evidence from records in order, which must cover the baseline too. It isn't safe for
// concurrent use.
type Diagnoser struct {
	meta           Meta
	from, to       int64
	baselineStart  int64
	servers        map[string]*serverStats
	routers        map[string]*routerStats
	firstListTimes map[int64]int64 // list number to the time when any router first had it
	newestSerial   int64
	openCalls      map[string]*openCall
	windows        [2]struct {
		requests        int64
		offered, earned float64
		lost            map[[2]string]float64 // worth lost by dimension and name
	}
	firstLoss          int64
	shared             map[string]*SharedFinding // by server
	changedDecisions   int64                     // by shared verdicts
	halfSecondArrivals map[int64]int64           // requests by half second, to find the start of a burst
}

// serverStats holds the evidence on one server. Arrays hold the baseline and the window.
type serverStats struct {
	name                              string
	answerTimes                       [2]*hdrhistogram.Histogram // from set-up to answer
	latencySum                        [2]int64                   // sum of reported latencies
	reports                           [2]int64
	sent, answered, rejected, timeout [2]int64
	lostCalls                         [2]int64
	lostWorth                         [2]float64
	sendsSinceAnswer                  int64 // set-ups since the last answer
	lastAnswer, firstSend             int64
	longestSilence                    int64
	silenceStart                      int64 // start of longestSilence
	firstSlowAt                       int64
	firstRejectAt                     int64
	downSince                         int64 // when it was first listed as draining or removed in the window
	state                             threadglade.ServerState
}

// routerStats holds the evidence on one router and its server list.
type routerStats struct {
	serial       int64
	lastListAt   int64
	maxLag       int64 // longest time that its list was outdated
	maxLagSince  int64
	lostWorth    float64
	goneAttempts int64 // attempts at servers that other routers knew as draining or removed
	lag          int64 // how long its list has been outdated now
}

// openCall is a call without its final answer yet.
type openCall struct {
	server string
	sentAt int64
	reason int64
	router string
}

// NewDiagnoser returns a Diagnoser for the window [from, to), in microseconds since the Unix epoch.
func NewDiagnoser(meta Meta, from, to int64) *Diagnoser {
	d := &Diagnoser{meta: meta, from: from, to: to, baselineStart: from - (to - from),
		servers: map[string]*serverStats{}, routers: map[string]*routerStats{},
		firstListTimes: map[int64]int64{}, openCalls: map[string]*openCall{}, halfSecondArrivals: map[int64]int64{},
		shared: map[string]*SharedFinding{}}
	for i := range d.windows {
		d.windows[i].lost = map[[2]string]float64{}
	}
	return d
}

// BaselineStart returns the time from which records are needed.
func (d *Diagnoser) BaselineStart() int64 { return d.baselineStart }

// serverFor returns the evidence on a server and creates it if needed.
func (d *Diagnoser) serverFor(name string) *serverStats {
	s := d.servers[name]
	if s == nil {
		s = &serverStats{name: name}
		for i := range s.answerTimes {
			s.answerTimes[i] = hdrhistogram.New(1, 60_000_000, 2)
		}
		d.servers[name] = s
	}
	return s
}

// Add adds the next record.
func (d *Diagnoser) Add(r *Record) {
	if r.At < d.baselineStart || r.At >= d.to {
		return
	}
	window := 0
	if r.At >= d.from {
		window = 1
	}
	totals := &d.windows[window]
	router := d.routers[r.Texts[Router]]
	if router == nil {
		router = &routerStats{}
		d.routers[r.Texts[Router]] = router
	}
	if r.Kind == Request || r.Kind == Decision || r.Kind == AttemptEnd || r.Kind == Answer {
		d.updateListLag(router, r.At)
	}
	switch r.Kind {
	case Request:
		totals.requests++
		offered, _, _ := d.meta.answerWorth(r.Texts[Class], -1)
		totals.offered += offered
		d.halfSecondArrivals[r.At/500_000]++
		if len(d.openCalls) < maxOpenCalls {
			d.openCalls[r.Texts[Call]] = &openCall{router: r.Texts[Router]}
		}
	case Avoidance:
		if window == 1 && r.Figures[DeadlineMs] > 0 {
			finding := d.shared[r.Texts[Server]]
			if finding == nil {
				finding = &SharedFinding{Server: r.Texts[Server], FirstApplied: r.At, ChangedDecisions: -d.changedDecisions}
				d.shared[r.Texts[Server]] = finding
			}
			finding.Found, finding.Others = r.Texts[Front], r.Figures[Total]
			finding.Affected, finding.MaxAgeUs =
				max(finding.Affected, r.Figures[Count]), max(finding.MaxAgeUs, r.Figures[ElapsedUs])
		}
	case Decision:
		if reason := threadglade.Reason(r.Figures[Reason]); window == 1 &&
			(reason == threadglade.SharedVerdict || reason == threadglade.Avoided) {
			d.changedDecisions++
		}
		call := d.openCalls[r.Texts[Call]]
		if call != nil && r.Texts[Server] != "" {
			call.server, call.reason = r.Texts[Server], r.Figures[Reason]
		}
		if r.Texts[Server] == "" {
			return
		}
		server := d.serverFor(r.Texts[Server])
		if Action(r.Figures[ActionCode]) == ActionSent {
			if call != nil {
				call.sentAt = r.At
			}
			server.sent[window]++
			if server.sendsSinceAnswer++; server.sendsSinceAnswer == 1 {
				server.firstSend = r.At
			}
			d.updateSilence(server, r.At)
		}
	case AttemptEnd:
		server := d.serverFor(r.Texts[Server])
		switch threadglade.Outcome(r.Figures[Outcome]) {
		case threadglade.Rejected:
			server.rejected[window]++
			server.lastAnswer, server.sendsSinceAnswer = r.At, 0
			if window == 1 && server.firstRejectAt == 0 {
				server.firstRejectAt = r.At
			}
		case threadglade.TimedOut, threadglade.Cancelled:
			server.timeout[window]++
			d.updateSilence(server, r.At)
		case threadglade.Cut, threadglade.Unreachable, threadglade.NotSent:
			if server.downSince > 0 && router.lag > maxNormalListDelay {
				router.goneAttempts++ // attributed to the router, whose list is outdated
			} else {
				server.lostCalls[window]++
			}
		case threadglade.Faulted:
			server.lastAnswer, server.sendsSinceAnswer = r.At, 0
		}
	case Answer:
		call := d.openCalls[r.Texts[Call]]
		delete(d.openCalls, r.Texts[Call])
		elapsed := int64(-1)
		if AnswerResult(r.Figures[FinalAnswer]) == AnswerEstablished {
			elapsed = r.Figures[ElapsedUs]
			server := d.serverFor(r.Texts[Server])
			server.answered[window]++
			server.lastAnswer, server.sendsSinceAnswer = r.At, 0
			if call != nil && call.sentAt > 0 {
				answerTime := min(max(1, r.At-call.sentAt), 60_000_000)
				server.answerTimes[window].RecordValue(answerTime)
				if window == 1 && server.firstSlowAt == 0 && server.answerTimes[0].TotalCount() > 0 &&
					answerTime > 2*server.answerTimes[0].ValueAtQuantile(90) {
					server.firstSlowAt = r.At
				}
			}
		}
		offered, earned, _ := d.meta.answerWorth(r.Texts[Class], elapsed)
		totals.earned += earned
		if lost := offered - earned; lost > 0 {
			d.addLoss(window, r, call, lost, router)
		}
	case Release:
		if threadglade.Outcome(r.Figures[Outcome]) == threadglade.Cut {
			server := d.serverFor(r.Texts[Server])
			server.lostCalls[window]++
			offered, _, _ := d.meta.answerWorth(r.Texts[Class], -1)
			totals.earned -= offered
			d.addLoss(window, r,
				&openCall{server: r.Texts[Server], reason: int64(threadglade.NoReason)}, offered, router)
		}
	case Report:
		server := d.serverFor(r.Texts[Server])
		if r.Figures[LatencyUs] >= 0 {
			server.latencySum[window] += r.Figures[LatencyUs]
			server.reports[window]++
		}
	case List:
		if router.serial = r.Figures[Serial]; d.firstListTimes[router.serial] == 0 {
			d.firstListTimes[router.serial] = r.At
		}
		d.newestSerial = max(d.newestSerial, router.serial)
		router.lastListAt = r.At
	case ListEntry:
		server := d.serverFor(r.Texts[Server])
		server.state = threadglade.ServerState(r.Figures[State])
		if server.state != threadglade.Up && server.downSince == 0 && window == 1 {
			server.downSince = r.At
		}
	}
}

// updateSilence measures how long a server has not answered although set-ups were sent to it.
func (d *Diagnoser) updateSilence(s *serverStats, now int64) {
	since := max(s.lastAnswer, s.firstSend)
	if now < d.from || s.sendsSinceAnswer < minSilentSends {
		return
	}
	if silence := now - since; silence > s.longestSilence {
		s.longestSilence, s.silenceStart = silence, since
	}
}

// updateListLag measures for how long a router's list has been older than the newest list of any router.
func (d *Diagnoser) updateListLag(router *routerStats, now int64) {
	router.lag = 0
	if router.serial >= d.newestSerial {
		return
	}
	first := int64(0) // when the first list that it lacks reached any router
	for serial, at := range d.firstListTimes {
		if serial > router.serial && (first == 0 || at < first) {
			first = at
		}
	}
	router.lag = now - first
	if lag := now - first; first > 0 && now >= d.from && lag > router.maxLag {
		router.maxLag, router.maxLagSince = lag, first
	}
}

// addLoss attributes the worth that a call lost to its class, tenant and router and, unless call is nil, to its server
// and reason.
func (d *Diagnoser) addLoss(window int, r *Record, call *openCall, lost float64, router *routerStats) {
	totals := &d.windows[window]
	totals.lost[[2]string{ByClass, r.Texts[Class]}] += lost
	totals.lost[[2]string{ByTenant, r.Texts[Tenant]}] += lost
	totals.lost[[2]string{"router", r.Texts[Router]}] += lost
	if window == 1 {
		router.lostWorth += lost
		if d.firstLoss == 0 {
			d.firstLoss = r.At
		}
	}
	if call == nil {
		return
	}
	if call.server != "" {
		if s := d.serverFor(call.server); s.downSince == 0 || router.lag <= maxNormalListDelay {
			s.lostWorth[window] += lost
		}
		totals.lost[[2]string{ByServer, call.server}] += lost
	}
	if call.reason != 0 {
		totals.lost[[2]string{ByReason, reasonName(call.reason)}] += lost
	}
}

// fraction returns a divided by b, limited to [0, 1]; 0 if b isn't positive.
func fraction(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return min(1, max(0, a/b))
}

// rampFromOne maps ratios from 1 to full linearly to [0, 1].
func rampFromOne(ratio, full float64) float64 { return min(1, max(0, (ratio-1)/(full-1))) }

// Diagnosis returns the ranked causes and changes.
func (d *Diagnoser) Diagnosis() Diagnosis {
	before, during := &d.windows[0], &d.windows[1]
	diagnosis := Diagnosis{From: d.from, To: d.to, RequestsBefore: before.requests, RequestsDuring: during.requests,
		ServiceBefore: fraction(before.earned, before.offered),
		ServiceDuring: fraction(during.earned, during.offered)}
	for _, name := range slices.Sorted(maps.Keys(d.shared)) {
		finding := *d.shared[name]
		finding.ChangedDecisions += d.changedDecisions
		diagnosis.SharedFindings = append(diagnosis.SharedFindings, finding)
	}
	total := 0.0
	for key, lost := range during.lost {
		if key[0] == ByClass {
			total += lost
		}
	}
	diagnosis.Lost = total
	seconds := float64(d.to-d.from) / 1e6
	firstSignOr := func(timeUs int64) int64 {
		if timeUs == 0 {
			return d.firstLoss
		}
		return timeUs
	}
	names := slices.Sorted(maps.Keys(d.servers))
	slowdowns := map[string]float64{}
	for _, id := range names {
		slowdowns[id] = d.servers[id].slowdown()
	}
	othersSlowdown := func(name string) float64 { // median slowdown of the other servers, at least 1
		var list []float64
		for _, id := range names {
			if id != name && slowdowns[id] > 0 {
				list = append(list, slowdowns[id])
			}
		}
		if len(list) == 0 {
			return 1
		}
		slices.Sort(list)
		return max(1, list[(len(list)-1)/2])
	}
	requestRatio := 0.0
	if before.requests > 0 {
		requestRatio = float64(during.requests) / float64(before.requests)
	}
	addCause := func(kind, name string, score float64, first int64, format string, args ...any) {
		if score > 0.02 {
			diagnosis.Causes = append(diagnosis.Causes,
				Explanation{kind, name, min(score, 1), firstSignOr(first), fmt.Sprintf(format, args...)})
		}
	}
	for _, id := range names {
		server := d.servers[id]
		lossShare := fraction(server.lostWorth[1], total)
		silent := server.longestSilence >= minSilence
		if server.downSince > 0 {
			change := "is draining"
			if server.state == threadglade.Removed {
				change = "was removed"
			}
			addCause("draining", id, 0.5*lossShare+0.4*fraction(float64(server.lostCalls[1]), 3)+0.1,
				server.downSince, "server %s %s; %s cut there, %.0f%% of the loss",
				id, change, plural(int(server.lostCalls[1]), "call"), 100*lossShare)
		}
		if silent && server.downSince == 0 {
			addCause("silent", id, 0.6+0.4*lossShare, server.silenceStart,
				"server %s answered nothing for %.1f s while set-ups were sent to it; %d timed out or were withdrawn, %.0f%% of the loss",
				id, float64(server.longestSilence)/1e6, server.timeout[1], 100*lossShare)
		}
		if ratio := slowdowns[id] / othersSlowdown(id); ratio > 1.3 && !silent && server.downSince == 0 {
			addCause("slow", id, 0.6*rampFromOne(ratio, 2.5)+0.4*lossShare, server.firstSlowAt,
				"server %s takes %.1f times as long to answer as before (other servers %.1f times), %.0f ms at the median, %.0f%% of the loss",
				id, slowdowns[id], othersSlowdown(id), float64(server.answerTimes[1].ValueAtQuantile(50))/1000,
				100*lossShare)
		}
		if server.rejected[1] > 2*server.rejected[0]+5 && requestRatio < 1.2 {
			addCause("refusing", id, 0.25+0.25*lossShare, server.firstRejectAt,
				"server %s rejected %d set-ups, %d before", id, server.rejected[1], server.rejected[0])
		}
	}
	if requestRatio > 1.15 {
		addCause("burst", "", 0.95*rampFromOne(requestRatio, 1.5), d.burstStart(),
			"%.1f requests per second, %.1f before: %.2f times as many", float64(during.requests)/seconds,
			float64(before.requests)/seconds, requestRatio)
	}
	for _, id := range slices.Sorted(maps.Keys(d.routers)) {
		router := d.routers[id]
		if router.maxLag >= minStaleLag && len(d.routers) > 1 {
			addCause("stale", id,
				0.6+0.2*fraction(router.lostWorth, total)+0.2*fraction(float64(router.goneAttempts), 5),
				router.maxLagSince,
				"router %s has server list %d while others have %d, %.1f s behind; %s at servers that others know as draining or removed, %.0f%% of the loss",
				id, router.serial, d.newestSerial, float64(router.maxLag)/1e6,
				plural(int(router.goneAttempts), "lost attempt"), 100*fraction(router.lostWorth, total))
		}
	}
	slices.SortStableFunc(diagnosis.Causes, func(x, y Explanation) int {
		return cmp.Or(cmp.Compare(y.Score, x.Score), cmp.Compare(x.FirstSign, y.FirstSign),
			cmp.Compare(x.Name, y.Name))
	})
	keys := map[[2]string]bool{}
	for key := range before.lost {
		keys[key] = true
	}
	for key := range during.lost {
		keys[key] = true
	}
	for key := range keys {
		diagnosis.Changes = append(diagnosis.Changes,
			Change{key[0], key[1], before.lost[key], during.lost[key], fraction(during.lost[key], total)})
	}
	slices.SortFunc(diagnosis.Changes, func(x, y Change) int {
		return cmp.Or(cmp.Compare(y.LostDuring-y.LostBefore, x.LostDuring-x.LostBefore),
			cmp.Compare(x.Dimension, y.Dimension), cmp.Compare(x.Name, y.Name))
	})
	return diagnosis
}

// slowdown returns how many times longer a server takes than in the baseline; 0 if there are too few samples.
func (s *serverStats) slowdown() float64 {
	const minSamples = 5
	ratio := 0.0
	if s.answerTimes[0].TotalCount() >= minSamples && s.answerTimes[1].TotalCount() >= minSamples {
		// Set-ups that were never answered are missing from the histograms, which lowers the quantiles, so an upper one
		// is compared.
		ratio = float64(s.answerTimes[1].ValueAtQuantile(75)) /
			float64(max(1000, s.answerTimes[0].ValueAtQuantile(75)))
	}
	if s.reports[0] > 0 && s.reports[1] > 0 {
		before, during := s.latencySum[0]/s.reports[0], s.latencySum[1]/s.reports[1]
		ratio = max(ratio, float64(during+50_000)/float64(before+50_000))
	}
	return ratio
}

// burstStart returns the first half second of the window with more requests than any of the baseline.
func (d *Diagnoser) burstStart() int64 {
	maxBefore := int64(0)
	for halfSecond, n := range d.halfSecondArrivals {
		if halfSecond*500_000 < d.from {
			maxBefore = max(maxBefore, n)
		}
	}
	for _, halfSecond := range slices.Sorted(maps.Keys(d.halfSecondArrivals)) {
		if halfSecond*500_000 >= d.from && d.halfSecondArrivals[halfSecond] > maxBefore {
			return halfSecond * 500_000
		}
	}
	return d.from
}

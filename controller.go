// Package threadglade is the decision module of a border proxy: it decides which central server each call
// set-up is sent to and which calls are refused. Its interface is in api.go.
//
// Admission control follows the published algorithm DEOC: each server has an admission rate that an overload
// rejection (processor full, a time-out) cuts by a fraction and that otherwise climbs by a square law. Gaps
// between new calls enforce it. Comments refer to its steps, symbols and equations, and mark departures from
// them; docs/design.md says which parts were kept, which were changed and why.
package threadglade

import (
	"math"
	"slices"
	"time"
)

const (
	// controlInterval is T of the algorithm.
	controlInterval = time.Second
	// maxSpanIntervals limits the intervals without answers that one rate change accounts for.
	maxSpanIntervals = 10
	// scarceSpacing is the spacing of admissions above which single answers decide: too few for a rate.
	scarceSpacing = controlInterval / 2
	// latencyMargin times the latest response time is assumed for the next answer.
	latencyMargin = 1.5
	// smoothingWeight is w of the algorithm: the weight of the newest spacing of calls.
	smoothingWeight = 0.1
	// climbStep is the square root of the first climb, in calls a second: k = 1/2, α = 0.2 in eq. 12.
	climbStep = 0.1
	// nominalRate is the rate in calls a second that climbStep is meant for. Above it, the climb grows.
	nominalRate = 4
	// isolatedRejectionAdmissions or more per overload rejection mean that the server has no overload.
	isolatedRejectionAdmissions = 20
	// rateCutFraction is β of the algorithm: the part of the rate that an overload rejection removes.
	rateCutFraction = 1.0 / 8
	// idleTimeout without an overload rejection ends the control of a server. The paper proposes 100 s.
	idleTimeout = 10 * time.Second
	// minCoolDown is the shortest cool-down of a server after it rejected a set-up or let it time out.
	minCoolDown = 200 * time.Millisecond
	// maxCoolDown is the longest mean cool-down of a server that fails repeatedly.
	maxCoolDown = 8 * time.Second
	// lateAimFraction of the aim without an answer makes a set-up count as an overload rejection. Less helps
	// slightly with many proxies and costs more with few.
	lateAimFraction = 0.5
	// maxServerFaults faults in a row start a cool-down of the server; fewer may be caused by the calls.
	maxServerFaults = 3
	// maxCallFaults faults are attributed to the call itself: another server would report the same.
	maxCallFaults = 2
	// minLossRate is the fraction of lost set-ups from which any one pending for long is taken as lost.
	minLossRate = 0.1
	// forgetDelay is how long a removed server is remembered in case it comes back.
	forgetDelay = time.Minute
	// overdueAimFraction of the aim without an answer blocks the server: a queue has to be detected long
	// before it costs calls their aim.
	overdueAimFraction = 0.2
	// maxProbationSetUps answers in time end a probation: about the set-ups in flight at normal load.
	maxProbationSetUps = 4
	// waitAimFraction of the aim is how long the most valuable call may wait for a server, others in
	// proportion to their value. Less refuses valuable calls, more makes them late.
	waitAimFraction = 0.4
	// maxWaitingCalls bounds the work of one event.
	maxWaitingCalls = 100
	// waitingPollInterval is how often waiting calls are tried between events.
	waitingPollInterval = 20 * time.Millisecond
	// agentReportInterval is the time over which reported free agents are spread: the interval of reports.
	agentReportInterval = time.Second
	// retryAfterDelay is the advice to a refused caller. With their own longer delays callers miss the aim.
	retryAfterDelay = 100 * time.Millisecond
	// minBusyDelay is how long a number gets no calls after all its lines were busy for the first time.
	minBusyDelay = 500 * time.Millisecond
	// maxBusyNumbers bounds the busy numbers that are remembered.
	maxBusyNumbers = 1000
	// maxShareFactor bounds one proxy's share to this multiple of an equal share, and to its reciprocal.
	maxShareFactor = 4
	// coldBudgetFraction of the cold-start budget is used. As much may arrive one window late, and the rest
	// absorbs differences between a server's capacity and what its agents suggest.
	coldBudgetFraction = 0.35
)

const waitingTimerToken = 0 // token of the timer for waiting calls; timers of calls count from 1

// Controller makes the decisions of one proxy. It is a deterministic state machine without goroutines, clock
// or I/O. It must not be used by several goroutines at once.
type Controller struct {
	settings           *Settings // in force; calls keep those they came under
	classes            map[string]*Class
	tenants            map[string]*tenant
	maxWorth           float64 // highest worth of a class
	random             randomness
	now                time.Duration // clock time of the latest event
	startedAt          time.Duration // clock time of the first event
	intervalEnd        time.Duration // end of the current control interval
	servers            []*server     // in the order in which they were first listed
	byID               map[string]*server
	remembered         *server // alternative server, kept while it takes calls
	redrawn            bool    // remembered was drawn since it was last sent a call
	calls              map[string]*call
	timers             map[int64]*call
	lastToken          int64
	waiting            []*call                  // the most valuable first
	firstTries         map[string]time.Duration // first try for each number without a call established since
	firstTryOrder      []firstTry               // the same, in order of time
	busyNumbers        map[string]busyPeriod    // numbers whose lines were all busy
	maxDeadline        time.Duration            // of the classes
	meanHolding        time.Duration            // mean holding time over the classes
	lastLateArrival    time.Duration            // when the latest call past its aim came
	lossRate           float64                  // smoothed fraction of set-ups that a later one overtook
	ownArrivals        meter                    // first tries at this proxy
	agentsInUse        int                      // reported by all servers: calls of all proxies
	totalAgents        int                      // reported by all servers
	coldDivided        bool                     // ColdPart assigns fractions of the load of cold servers
	unassignedFraction float64                  // fraction of a cold server without an assigned one
	retryBudget        Further                  // retry attempts that the proxies agreed on
	waitingPollAt      time.Duration            // when waiting calls are tried again
	actions            []Action
}

// call is one call from its arrival until its answer and the end of its last attempt.
type call struct {
	Arrival
	settings         *Settings // in force when it arrived
	class            *Class
	value            float64 // what it may still earn, as of its arrival
	deadline         time.Duration
	attempts         int
	inFlight         bool          // an attempt is unanswered
	established      bool          // an attempt was answered and has not ended
	closed           bool          // it has its answer, or the caller has gone
	mayHaveRun       bool          // an attempt may have run at a server
	countedAt        *server       // the server whose arrival rate includes it
	late             bool          // it can hardly be established within its aim any more
	aimEnd           time.Duration // end of its aim, counted from its first try
	server           *server       // of the latest attempt
	sentAt           time.Duration // when the latest attempt was sent
	lost             bool          // the latest attempt was overtaken and taken as lost
	rejectionCounted bool          // the latest attempt was counted as an overload rejection
	faults           int           // attempts that ended with a fault
	redirected       bool          // its one redirection for lack of an agent is used
	retryAt          time.Duration // end of the wait before its retry attempt; 0: none
	waitUntil        time.Duration // until when it may wait for a server
}

// tenant is a tenant and the rate of its calls at this proxy.
type tenant struct {
	Tenant
	meter
}

// busyPeriod is the time for which a number gets no calls.
type busyPeriod struct{ until, length time.Duration }

// firstTry is a first try for a number.
type firstTry struct {
	number string
	at     time.Duration
}

// server is what this proxy knows of one central server.
type server struct {
	Server
	coolDownUntil     time.Duration
	inFlight          int           // unanswered set-ups of this proxy
	overdue           []*call       // those of them past their overdue timeout
	answeredSentAt    time.Duration // when the latest sent of the answered set-ups was sent
	baseLatency       time.Duration // response time of its fastest answers
	probeAt           time.Duration // no set-up before then while some are overdue
	failures          int           // failed set-ups in a row
	faults            int           // faults since its latest answer
	removedAt         time.Duration // when the list first lacked it; 0: listed
	lastLatency       time.Duration // response time of its latest answer
	answeredAt        time.Duration // when that answer came
	probation         int           // set-ups in flight that probation permits; 0: not on probation
	freeAgents        int           // as last reported
	totalAgents       int           // as last reported
	credit            float64       // set-ups left of this proxy's share of free agents
	creditedAt        time.Duration // when the credit last grew
	coldFraction      float64       // assigned fraction of its load while cold
	coldFractionUntil time.Duration // when that fraction expires
	avoidUntil        time.Duration // avoided until then on behalf of all proxies
	turnPosition      float64       // while cold: this proxy's position in the order of turns, as of turnsAt
	usedTurns         float64       // turns used or lapsed
	turnsAt           time.Duration
	turnAgents        int // number of agents that the turns were computed for; -1: not computed
	control
}

// control is the admission control of one server (DEOC).
type control struct {
	meter
	active         bool
	rate           float64       // r, calls a second
	climbStart     float64       // r0, the rate at which the climb began
	climbIntervals int           // n, intervals since
	rejectionRatio float64       // latest ratio of overload rejections to admissions
	gap            time.Duration // minimum time between admissions
	gapUntil       time.Duration
	admissionMeter meter
	admissions     int // in the current span
	answers        int // in time, in the current span
	rejections     int // overload rejections in the current span
	spanIntervals  int // intervals since the last one with an answer or an overload rejection
	lastRejection  time.Duration
}

// New returns a Controller with valid settings. The seed determines its random choices.
func New(set Settings, seed uint64) (*Controller, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		random: newRandomness(seed),
		byID:   map[string]*server{}, calls: map[string]*call{}, timers: map[int64]*call{},
		firstTries: map[string]time.Duration{}, busyNumbers: map[string]busyPeriod{},
	}
	c.applySettings(&set)
	return c, nil
}

// Handle processes one event at a clock time and returns the resulting actions in order. A time before that
// of an earlier event counts as that one's.
func (c *Controller) Handle(now time.Duration, event Event) []Action {
	c.now, c.actions = max(now, c.now), nil
	c.closeIntervals()
	switch e := event.(type) {
	case ServerList:
		c.updateServers(e)
	case Arrival:
		c.handleArrival(e)
	case Stood:
		c.handleEstablished(e)
	case Ended:
		c.handleEnded(e)
	case Agents:
		c.updateAgents(e)
	case CallerGone:
		c.handleCallerGone(e)
	case Due:
		c.handleTimer(e)
	case ColdPart:
		c.setColdPart(e)
	case Further:
		c.retryBudget = e
	case Care:
		if s := c.byID[e.Server]; s != nil && s.Started == e.Started {
			s.avoidUntil = e.Until
		}
	}
	if len(c.waiting) > 0 {
		c.serveWaiting()
	}
	return c.actions
}

func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// ---- server list ----

func (c *Controller) updateServers(e ServerList) {
	if c.settings.SubscribeList && (e.Failed || e.Stored) {
		c.emit(Subscribe{})
	}
	if e.Failed {
		return
	}
	if !e.Delta {
		for _, s := range c.servers {
			s.State = Removed
		}
	}
	defer c.updateRemoved()
	for _, entry := range e.Servers {
		s := c.byID[entry.ID]
		if s == nil {
			s = &server{}
			c.byID[entry.ID] = s
			c.servers = append(c.servers, s)
		}
		if s.ID == "" || s.Started != entry.Started {
			s.credit, s.creditedAt, s.coldFractionUntil, s.avoidUntil, s.turnAgents = 1, c.now, 0, 0, -1
			if entry.Started > 0 {
				s.credit = c.random.Float64()
			}
		}
		s.Server = entry
	}
}

// setColdPart stores the assigned fraction of the load of a cold server.
func (c *Controller) setColdPart(e ColdPart) {
	if s := c.byID[e.Server]; s != nil && s.Started == e.Started {
		s.coldFraction, s.coldFractionUntil = e.Fraction, e.Until
	} else if e.Server == "" {
		c.coldDivided, c.unassignedFraction = true, e.Fraction
	}
}

// updateRemoved subtracts the agents of removed servers from the sums, adds those of servers that are back,
// and forgets a server forgetDelay after its removal.
func (c *Controller) updateRemoved() {
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		switch {
		case s.State != Removed && s.removedAt > 0: // it is listed again
			s.removedAt = 0
			c.addAgents(s, 1)
		case s.State == Removed && s.removedAt == 0:
			s.removedAt = c.now
			c.addAgents(s, -1)
		}
		if s.State != Removed {
			return false
		}
		forget := s.inFlight == 0 && c.now-s.removedAt >= forgetDelay
		if forget {
			delete(c.byID, s.ID)
			if c.remembered == s {
				c.remembered = nil
			}
		}
		return forget
	})
}

// addAgents adds the agents of a server to the sums, or with sign -1 subtracts them.
func (c *Controller) addAgents(s *server, sign int) {
	c.agentsInUse += sign * (s.totalAgents - s.freeAgents)
	c.totalAgents += sign * s.totalAgents
}

func (c *Controller) updateAgents(e Agents) {
	if s := c.byID[e.Server]; s != nil && s.removedAt == 0 {
		c.addAgents(s, -1)
		s.freeAgents, s.totalAgents = e.Free, e.Total
		c.addAgents(s, 1)
	}
}

// ---- calls ----

func (c *Controller) handleArrival(e Arrival) {
	if c.calls[e.Call] != nil {
		return
	}
	k := &call{Arrival: e, settings: c.settings, class: c.classes[e.Class], deadline: c.now + e.TimeLeft}
	c.calls[e.Call] = k
	if k.class == nil || e.TimeLeft <= 0 || c.now < c.busyNumbers[k.Number].until {
		c.refuse(k, c.arrivalRefusal(k))
		return
	}
	c.recordTry(k)
	if t := c.tenants[k.Tenant]; t != nil {
		t.recordArrival(c.now)
	}
	k.value = c.value(k)
	k.waitUntil = c.now + min(e.TimeLeft/2, k.aimFraction(waitAimFraction*min(1, k.value/c.maxWorth)))
	if s := c.serverByNumber(k.Destination); s != nil {
		c.countArrival(k, s)
	}
	c.enqueue(k)
}

func (k *call) aimFraction(part float64) time.Duration {
	return time.Duration(part * float64(k.class.Aim))
}

// value returns what the call may still earn. Calls of a tenant count with a reduced worth while its calls at
// this proxy exceed an equal part of its quota.
func (c *Controller) value(k *call) float64 {
	value := k.class.Worth
	if k.late {
		value *= k.class.LateFactor
	}
	if t := c.tenants[k.Tenant]; t != nil && t.lambda() > t.Quota/float64(c.settings.Proxies) {
		value *= c.settings.OverQuotaFactor
	}
	return value
}

// recordTry sets the end of the call's aim and whether the call is late, that is a repeated try past its aim.
// Callers mark repeated tries or, where they do not, a try counts as one if the number was called before and
// no call to it was established since. Many callers of one busy number then count as one caller, whose calls
// are worth little; that misjudges well-behaved callers who share a number.
func (c *Controller) recordTry(k *call) {
	first, known := c.firstTries[k.Number]
	known = known && c.now-first < k.class.Deadline && (k.Retry || !c.settings.Callers.MarkRetries)
	if !known && !k.Retry {
		c.ownArrivals.recordArrival(c.now)
	}
	if !known {
		first = c.now
		c.firstTries[k.Number] = first
		c.firstTryOrder = append(c.firstTryOrder, firstTry{k.Number, first})
	}
	k.aimEnd = first + k.class.Aim
	if k.late = k.Retry || c.now >= k.aimEnd; k.late {
		c.lastLateArrival = c.now
	}
	for len(c.firstTryOrder) > 0 && c.now-c.firstTryOrder[0].at > c.maxDeadline {
		if oldest := c.firstTryOrder[0]; c.firstTries[oldest.number] == oldest.at {
			delete(c.firstTries, oldest.number)
		}
		c.firstTryOrder = c.firstTryOrder[1:]
	}
}

// blockNumber keeps calls from a number whose lines were all busy, as they would take set-ups and earn
// nothing. The period doubles each time, since with hundreds of proxies even one try each is a flood. It
// costs calls where a line becomes free at once.
func (c *Controller) blockNumber(number string) {
	if len(c.busyNumbers) >= maxBusyNumbers {
		clear(c.busyNumbers)
	}
	length := c.busyNumbers[number].length
	length = min(max(minBusyDelay, 2*length), maxCoolDown)
	c.busyNumbers[number] = busyPeriod{c.now + length, length}
}

// countArrival counts the call once in the arrival rate of a server: of its first choice on arrival, and of
// another server when it is sent there instead.
func (c *Controller) countArrival(k *call, s *server) {
	if k.countedAt != s {
		k.countedAt = s
		s.recordArrival(c.now)
	}
}

// enqueue inserts the call into the queue of waiting calls, ordered by value, then by age (departure from
// step 6: a call stopped by a gap waits a little, so that the least valuable calls are the ones refused).
func (c *Controller) enqueue(k *call) {
	i := len(c.waiting)
	for i > 0 && c.waiting[i-1].value < k.value {
		i--
	}
	c.waiting = slices.Insert(c.waiting, i, k)
	if len(c.waiting) > maxWaitingCalls {
		leastValuable := c.waiting[len(c.waiting)-1]
		c.waiting = c.waiting[:len(c.waiting)-1]
		c.refuse(leastValuable, Displaced)
	}
}

// serveWaiting sends the waiting calls that a server accepts now and refuses those that waited long enough. A
// call past its deadline is refused, not sent: with little time left, or after a pause of the proxy, its
// caller would get no answer.
func (c *Controller) serveWaiting() {
	remaining := c.waiting[:0]
	for _, k := range c.waiting {
		if k.closed {
			continue
		}
		if c.now >= k.deadline {
			c.refuse(k, OutOfTime)
			continue
		}
		switch s := c.selectServer(k); {
		case s != nil:
			c.countArrival(k, s)
			c.send(k, s)
		case c.now >= k.waitUntil:
			c.refuse(k, c.blockReason(k))
		default:
			remaining = append(remaining, k)
		}
	}
	clear(c.waiting[len(remaining):])
	c.waiting = remaining
	if len(remaining) > 0 && c.waitingPollAt <= c.now {
		c.waitingPollAt = c.now + waitingPollInterval
		c.emit(SetTimer{At: c.waitingPollAt, Token: waitingTimerToken})
	}
}

// selectServer returns the server that the call may be sent to now, or nil.
func (c *Controller) selectServer(k *call) *server {
	s := c.route(k)
	if s != nil && c.inGap(s) {
		s = c.secondChoice(k, s)
	}
	return s
}

func (c *Controller) send(k *call, s *server) {
	s.recordAdmission(c.now)
	s.credit, s.usedTurns = s.credit-1, s.usedTurns+1
	k.attempts++
	k.inFlight, k.server, k.sentAt, k.rejectionCounted, k.lost = true, s, c.now, false, false
	c.setTimer(k, c.now+k.lateTimeout())
	c.setTimer(k, c.now+k.overdueTimeout())
	s.inFlight++
	c.emit(Send{Call: k.Call, Server: s.ID, Timeout: k.deadline - c.now, Why: c.sendReason(k, s)})
}

func (c *Controller) handleEstablished(e Stood) {
	k := c.calls[e.Call]
	if k == nil || !k.inFlight || e.Attempt != k.attempts-1 {
		return
	}
	c.clearInFlight(k)
	k.established, k.closed = true, true
	delete(c.firstTries, k.Number)
	delete(c.busyNumbers, k.Number)
	if e.Latency >= k.lateTimeout() {
		c.countRejection(k)
	}
	k.server.lastLatency, k.server.answeredAt, k.server.faults = e.Latency, c.now, 0
	k.server.answeredSentAt = max(k.server.answeredSentAt, k.sentAt)
	c.lossRate -= smoothingWeight * c.lossRate
	for _, older := range slices.Clone(k.server.overdue) {
		c.checkOvertaken(older)
	}
	k.server.updateProbation(e.Latency < k.overdueTimeout())
	if k.server.baseLatency == 0 || e.Latency < k.server.baseLatency {
		k.server.baseLatency = e.Latency
	}
	k.server.baseLatency += (e.Latency - k.server.baseLatency) / 500
	if e.Latency < k.lateTimeout() {
		k.server.failures = 0
		k.server.answers++
	}
}

func (c *Controller) handleEnded(e Ended) {
	k := c.calls[e.Call]
	if k == nil || !k.inFlight && !k.established || e.Attempt != k.attempts-1 {
		return
	}
	if k.inFlight {
		c.clearInFlight(k)
		c.recordFailure(k, e)
	}
	k.established = false
	k.closed = k.closed || e.Final
	switch e.Outcome {
	case Concluded, Faulted, TimedOut, Cut, Cancelled:
		k.mayHaveRun = true
	}
	if k.closed {
		delete(c.calls, e.Call)
		return
	}
	c.retryOrRefuse(k, e)
}

// recordFailure evaluates a set-up that ended unanswered against its server.
func (c *Controller) recordFailure(k *call, e Ended) {
	s := k.server
	if k.lost && e.Outcome == TimedOut {
		return
	}
	if e.Outcome == Rejected && e.Cause != CauseNoAgent || e.Outcome == TimedOut {
		c.countRejection(k)
	}
	fault := e.Outcome == Faulted && e.Cause != CauseLinesBusy
	if fault {
		k.faults++
		s.faults++
	}
	if e.Outcome == Rejected || e.Outcome == TimedOut || e.Outcome == Unreachable ||
		fault && s.faults >= maxServerFaults {
		c.startCoolDown(s)
	}
}

// startCoolDown starts a cool-down of the server after a failed set-up: minCoolDown after the first in a row,
// then a random time around twice the spacing of this proxy's calls, doubled with each failure. An overloaded
// processor, above all one that receives waiting set-ups again, does no useful work until it is left alone,
// and hundreds of proxies would each keep probing it. This also covers unresponsive, dead and faulty servers.
// Where a server recovers at once, capacity is lost: all proxies probe it about once per minCoolDown.
func (c *Controller) startCoolDown(s *server) {
	coolDown := minCoolDown
	if s.failures > 0 {
		maxMean := min(max(minCoolDown, s.spacing)<<min(s.failures, 6), maxCoolDown,
			minCoolDown*time.Duration(c.settings.Proxies))
		coolDown = max(minCoolDown, time.Duration((0.5+c.random.Float64())*float64(maxMean)))
	}
	s.failures++
	s.coolDownUntil = c.now + coolDown
	if c.remembered == s {
		c.remembered = nil
	}
}

// lateTimeout is the time without an answer after which a set-up counts as an overload rejection (departure
// from step 2). A processor rejects only when its queue is longer than the aim, when every call is late
// already. It detects any cause of waiting.
func (k *call) lateTimeout() time.Duration {
	return k.aimFraction(lateAimFraction)
}

// overdueTimeout is the time without an answer after which a set-up blocks its server. It is at least twice
// the server's base latency, so that distance alone blocks none.
func (k *call) overdueTimeout() time.Duration {
	return max(k.aimFraction(overdueAimFraction), 2*k.server.baseLatency)
}

// clearInFlight removes the latest attempt of the call from the unanswered set-ups of its server.
func (c *Controller) clearInFlight(k *call) {
	k.inFlight = false
	k.server.inFlight--
	k.clearOverdue()
}

func (k *call) clearOverdue() {
	k.server.overdue = slices.DeleteFunc(k.server.overdue, func(o *call) bool { return o == k })
}

// checkOvertaken reports whether the pending set-up is taken as lost because one sent later was answered. A
// processor answers in order, so the set-up or its answer was lost and says nothing about the server. The
// set-up is withdrawn and sent again if that can be in time. Where many are lost, one that is pending as long
// is taken as lost without a later answer. This covers connections that lose messages. It misjudges servers
// that answer out of order.
func (c *Controller) checkOvertaken(k *call) bool {
	s := k.server
	overtaken := s.answeredSentAt > k.sentAt
	if !overtaken && c.lossRate < minLossRate || c.now-k.sentAt < max(k.overdueTimeout(), 3*s.lastLatency) {
		return k.lost
	}
	if overtaken && !k.lost {
		c.lossRate += smoothingWeight * (1 - c.lossRate)
	}
	if k.clearOverdue(); len(s.overdue) == 0 {
		s.probation = 0
	}
	wait := k.settings.Rules.ReleaseWait + s.lastLatency
	if !k.lost && k.settings.Limits.Cancel && k.class.Repeat == RepeatFree &&
		k.attempts < k.settings.Limits.MaxAttempts && c.now+wait < k.deadline {
		c.emit(GiveUp{Call: k.Call, Attempt: k.attempts - 1, Why: Overtaken})
	}
	k.lost = true
	return true
}

// updateProbation updates the server's probation with the answer to a set-up: each answer in time permits one
// more set-up in flight, a late one resets to one.
func (s *server) updateProbation(inTime bool) {
	switch {
	case s.probation == 0:
	case !inTime:
		s.probation = 1
	case s.probation >= maxProbationSetUps:
		s.probation = 0
	default:
		s.probation++
	}
}

// countRejection counts the latest attempt as an overload rejection, at most once.
func (c *Controller) countRejection(k *call) {
	if !k.rejectionCounted {
		k.rejectionCounted = true
		k.server.recordRejection(c.now)
	}
}

// retryOrRefuse schedules a retry attempt after a failed one, or refuses the call.
func (c *Controller) retryOrRefuse(k *call, e Ended) {
	switch {
	case e.Outcome == Rejected && e.Cause == CauseNoAgent && !k.redirected:
		k.redirected = true
		c.scheduleRetry(k, 0)
	case e.Outcome == Faulted && e.Cause == CauseLinesBusy:
		c.blockNumber(k.Number)
		c.refuse(k, NumberBusy)
	case e.Outcome == Unreachable, e.Outcome == Faulted && k.faults < maxCallFaults:
		c.scheduleRetry(k, 0)
	case e.Outcome == Cut || e.Outcome == TimedOut || e.Outcome == Cancelled:
		c.scheduleRetry(k, k.settings.Rules.ReleaseWait)
	default:
		c.refuse(k, endRefusal(e))
	}
}

// scheduleRetry queues the call for a retry attempt after a wait, or refuses it if no attempt or time is
// left. A call that may have run is retried only where its class may be repeated freely.
func (c *Controller) scheduleRetry(k *call, wait time.Duration) {
	switch {
	case k.attempts >= k.settings.Limits.MaxAttempts, k.mayHaveRun && k.class.Repeat != RepeatFree,
		c.now+wait >= k.deadline, !c.retryBudget.spend():
		c.refuse(k, NoRetryAttempt)
	case wait > 0:
		k.retryAt = c.now + wait
		c.setTimer(k, k.retryAt)
	default:
		c.enqueue(k)
	}
}

func (c *Controller) setTimer(k *call, at time.Duration) {
	c.lastToken++
	c.timers[c.lastToken] = k
	c.emit(SetTimer{At: at, Token: c.lastToken})
}

func (c *Controller) handleTimer(e Due) {
	k := c.timers[e.Token]
	delete(c.timers, e.Token)
	switch {
	case k == nil || k.established || k.inFlight && c.checkOvertaken(k):
		return
	case k.inFlight:
		if c.now-k.sentAt >= k.lateTimeout() {
			c.countRejection(k)
		}
		if s := k.server; c.now-k.sentAt >= k.overdueTimeout() && !slices.Contains(s.overdue, k) {
			s.overdue = append(s.overdue, k)
			s.probation, s.probeAt = 1, c.now+forgetDelay
			// With many calls, a probe soon shows whether this one was lost.
			if s.lambda() > 2*nominalRate {
				s.probeAt = c.now + k.overdueTimeout()<<min(len(s.overdue)-1, 6)
			}
		}
		return
	case k.closed || k.retryAt == 0 || c.now < k.retryAt:
		return
	}
	if c.now >= k.deadline {
		c.refuse(k, OutOfTime)
		return
	}
	k.retryAt = 0
	k.waitUntil = max(k.waitUntil, c.now)
	c.enqueue(k)
}

func (c *Controller) handleCallerGone(e CallerGone) {
	k := c.calls[e.Call]
	if k == nil {
		return
	}
	k.closed = true
	if !k.inFlight && !k.established {
		delete(c.calls, e.Call)
	}
}

// refuse sends the final answer: Refuse, or Fail where an attempt may have run.
func (c *Controller) refuse(k *call, why Reason) {
	k.closed = true
	delete(c.calls, k.Call)
	if k.mayHaveRun {
		c.emit(Fail{Call: k.Call, Why: why})
		return
	}
	c.emit(Refuse{Call: k.Call, RetryAfter: k.retryAfter(), Why: why})
}

// retryAfter returns the advice to a refused caller: a short delay, so that a retry can still meet the aim.
func (k *call) retryAfter() time.Duration {
	if !k.settings.Limits.RetryAfter {
		return 0
	}
	return min(retryAfterDelay, k.settings.Limits.MaxRetryAfter)
}

// ---- routing ----

// route returns the first-choice server if it accepts the call, else an alternative, or nil.
func (c *Controller) route(k *call) *server {
	if k.InTransit || !k.redirected {
		if s := c.serverByNumber(k.Destination); s != nil && c.accepts(s, k) && (s != k.server || k.lost) {
			return s
		}
	}
	if k.InTransit {
		return nil
	}
	return c.alternative(func(s *server) bool { return c.accepts(s, k) && (s != k.server || k.lost) })
}

// alternative returns the remembered server while it is fit, else draws another; nil if none is fit.
func (c *Controller) alternative(fit func(*server) bool) *server {
	if c.remembered != nil && fit(c.remembered) {
		return c.remembered
	}
	return c.redraw(fit)
}

// redraw draws the remembered server among the fit ones, weighted by reported free agents (departure from the
// algorithm's uniform draw, where the overflow of a large server would overload a small one).
func (c *Controller) redraw(fit func(*server) bool) *server {
	total := 0
	for _, s := range c.servers {
		if fit(s) {
			total += s.drawWeight()
		}
	}
	if total == 0 {
		return nil
	}
	ticket := c.random.IntN(total)
	for _, s := range c.servers {
		if !fit(s) {
			continue
		}
		if ticket -= s.drawWeight(); ticket < 0 {
			c.remembered, c.redrawn = s, true
			break
		}
	}
	return c.remembered
}

func (s *server) drawWeight() int { return max(s.freeAgents, 1) }

// secondChoice returns a server without a gap for a call that a gap stopped (departure from step 6): the
// remembered server, else a random one. Where all servers have gaps it returns nil.
func (c *Controller) secondChoice(k *call, gapped *server) *server {
	ungapped := func(s *server) bool { return s != gapped && s.gap == 0 && !c.isCold(s) && c.accepts(s, k) }
	if k.InTransit {
		return nil
	}
	return c.alternative(ungapped)
}

// serverByNumber returns the running server of a number, the latest started of several, or nil.
func (c *Controller) serverByNumber(number int) *server {
	var found *server
	for _, s := range c.servers {
		if s.Number == number && s.State == Up && (found == nil || s.Started > found.Started) {
			found = s
		}
	}
	return found
}

// accepts reports whether the server may be sent the call, apart from its gap.
func (c *Controller) accepts(s *server, k *call) bool {
	blocked := len(s.overdue) > 0 && c.now < s.probeAt ||
		s.probation > 0 && s.inFlight-len(s.overdue) >= s.probation
	return s.State == Up && c.now >= max(s.coolDownUntil, s.avoidUntil) && !blocked &&
		c.servesClass(s, k.class) && !c.wouldBeLate(s, k) && !c.shareExhausted(s)
}

// wouldBeLate reports whether the latest response time of a controlled server suggests that the call would
// miss its aim there. Late calls are sent nevertheless: they have nothing to lose, and their answers show
// when the server has become faster; without any, the latest response time expires. It keeps fresh calls from
// slow or jammed servers. It applies only where admissions are too scarce for a rate to control, as elsewhere
// a single slow answer would keep calls away. It costs calls where that one answer was slow by chance.
func (c *Controller) wouldBeLate(s *server, k *call) bool {
	expected := time.Duration(latencyMargin * float64(s.lastLatency))
	current := c.now < max(s.answeredAt+2*expected, c.lastLateArrival+controlInterval)
	return s.active && s.admissionMeter.spacing > scarceSpacing && current &&
		!k.late && c.now+expected > k.aimEnd
}

func (c *Controller) servesClass(s *server, class *Class) bool {
	return c.settings.Network || slices.Contains(class.Servers, s.Number)
}

// ---- gaps ----

func (c *Controller) inGap(s *server) bool {
	return c.now < s.gapUntil
}

// recordAdmission counts an admission and starts the gap that follows it (step 6).
func (d *control) recordAdmission(now time.Duration) {
	d.admissions++
	d.admissionMeter.recordArrival(now)
	d.gapUntil = now + d.gap
}

// ---- rate adaptation ----

// closeIntervals adapts all rates at the end of each control interval that has passed.
func (c *Controller) closeIntervals() {
	if c.intervalEnd == 0 {
		c.startedAt, c.intervalEnd = c.now, c.now+controlInterval
	}
	for ; c.intervalEnd <= c.now; c.intervalEnd += controlInterval {
		for _, s := range c.servers {
			s.adaptRate(c.intervalEnd)
		}
		if c.now-c.intervalEnd > time.Minute {
			c.intervalEnd = c.now
		}
	}
}

// recordRejection counts an overload rejection (step 2). The first one starts the control (step 1).
func (d *control) recordRejection(now time.Duration) {
	d.rejections++
	d.lastRejection = now
	if !d.active {
		d.active = true
		d.rate, d.climbStart, d.climbIntervals, d.rejectionRatio, d.gap = d.lambda(), d.lambda(), 0, 0, 0
	}
}

// adaptRate sets the admission rate at the end of an interval (steps 3 to 6). Intervals without an answer or
// an overload rejection are merged with the next one that has some (departure from T): they carry no
// information, and with much less than one call per interval, climbing in them would undo every cut.
func (d *control) adaptRate(now time.Duration) {
	if d.active && now-d.lastRejection >= idleTimeout {
		d.active, d.gap = false, 0
	}
	d.spanIntervals = min(d.spanIntervals+1, maxSpanIntervals)
	if d.active && d.answers+d.rejections == 0 {
		return
	}
	admissions, rejections, span := d.admissions, d.rejections, d.spanIntervals
	d.admissions, d.answers, d.rejections, d.spanIntervals = 0, 0, 0, 0
	if !d.active {
		return
	}
	lambda := d.lambda()
	switch {
	case rejections > 0 && rejections*isolatedRejectionAdmissions > admissions:
		newRatio := 1.0
		if admissions > 0 {
			newRatio = float64(rejections) / float64(admissions)
		}
		if newRatio >= d.rejectionRatio {
			d.rate *= math.Pow(1-rateCutFraction, float64(span))
		}
		d.rejectionRatio, d.climbStart, d.climbIntervals = newRatio, d.rate, 0
	case lambda <= d.rate:
		d.rate, d.climbStart, d.climbIntervals = lambda, lambda, 0
	default:
		d.climbIntervals += span
		step := climbStep * float64(d.climbIntervals)
		d.rate = d.climbStart + step*step*max(min(1, lambda), lambda/nominalRate)
	}
	d.gap = 0
	if d.rate < lambda && d.rate > 0 {
		d.gap = time.Duration((1/d.rate - 1/lambda) * float64(time.Second))
	}
}

// ---- guards ----

// isCold reports whether the server may still be warming up after its start.
func (c *Controller) isCold(s *server) bool {
	return s.Started > 0 && c.now < s.Started+c.settings.Rules.WarmUpTime
}

// shareExhausted reports whether this proxy has used up its share of what the server can take. Credit grows
// at the share's rate, up to a second's worth or one call. After a server's start it begins with a random
// part of one call, so that hundreds of proxies do not call at once when an agent becomes free. This protects
// servers that run out of agents. It refuses too much where a few proxies carry all calls.
func (c *Controller) shareExhausted(s *server) bool {
	rate, spread := math.Inf(1), min(agentReportInterval, c.meanHolding) // short calls free agents sooner
	if s.totalAgents > 0 && c.meanHolding > 0 {
		freed := float64(s.totalAgents-s.freeAgents) / c.meanHolding.Seconds()
		rate = (float64(s.freeAgents)/spread.Seconds() + freed) * c.share()
	}
	if c.isCold(s) && c.turnsExhausted(s) {
		return true
	}
	credit := s.credit + rate*max(c.now-s.creditedAt, time.Microsecond).Seconds()
	s.credit, s.creditedAt = min(credit, max(1, rate*spread.Seconds())), c.now
	return s.credit < 1
}

// share returns this proxy's fraction of what a server can take: its first tries relative to the agents in
// use at all servers, within bounds, or an equal fraction where no agents are reported. Repeated tries do not
// count, else refusals would raise the share. When few calls are established because many were cut, half of
// all agents stands for the agents in use.
func (c *Controller) share() float64 {
	equal := 1 / float64(c.settings.Proxies)
	inUse := max(c.agentsInUse, c.totalAgents/2)
	if inUse <= 0 {
		return equal
	}
	return min(max(equal/maxShareFactor, c.ownArrivals.lambda()*c.meanHolding.Seconds()/float64(inUse)),
		maxShareFactor*equal)
}

// turnsExhausted reports whether this proxy has used its turns at a cold server. The turns of all proxies
// together are what the rules guarantee that the server can take since its start, dealt out by proxy index.
// The order follows from names and times alone, so a proxy that has just restarted knows it too and counts
// earlier turns as used. A turn lapses after the window of the rule, as turns saved by idle proxies would
// otherwise be used at once. docs/design.md has the bound and its proof. Too few calls are sent where few
// proxies carry all.
func (c *Controller) turnsExhausted(s *server) bool {
	rate, rules := c.coldRate(s), &c.settings.Rules
	turnsUntil := func(at time.Duration) float64 { // turns up to a time, for one call a second when warm
		age, coldCapacity := max(at-s.Started, 0).Seconds(), rules.ColdCapacity
		meanCapacity := coldCapacity + (1-coldCapacity)*age/rules.WarmUpTime.Seconds()/2
		return min(1, coldBudgetFraction*rules.CollapseMultiple) * meanCapacity * age
	}
	if s.turnPosition += rate * (turnsUntil(c.now) - turnsUntil(s.turnsAt)); s.turnAgents != s.totalAgents {
		offset := float64(c.settings.Index) / float64(c.settings.Proxies)
		s.turnAgents, s.turnPosition = s.totalAgents, s.turnPhase()+offset+rate*turnsUntil(c.now)
		if s.usedTurns = 0; c.startedAt >= s.Started || s.admissionMeter.lastCall >= s.Started {
			s.usedTurns = math.Floor(s.turnPosition)
		}
	}
	s.turnsAt = c.now
	s.usedTurns = max(s.usedTurns,
		math.Floor(s.turnPosition-rate*(turnsUntil(c.now)-turnsUntil(c.now-rules.CollapseWindow))))
	return math.Floor(s.turnPosition) <= s.usedTurns
}

// coldRate returns this proxy's fraction of the calls a second that a cold server can take when warm. By
// Little's law that is its agents divided by the mean holding time, and proxies have equal fractions unless
// ColdPart assigned others. Before the agents are reported, it is this proxy's calls divided by the number of
// servers. Too few calls are sent where the processor is fast for its few agents.
func (c *Controller) coldRate(s *server) float64 {
	fraction := 1 / float64(c.settings.Proxies)
	switch {
	case c.coldDivided && c.now < s.coldFractionUntil:
		fraction = s.coldFraction
	case c.coldDivided:
		fraction = c.unassignedFraction
	}
	if s.totalAgents > 0 && c.meanHolding > 0 || c.coldDivided && fraction == 0 {
		return fraction * float64(s.totalAgents) / max(c.meanHolding, 1).Seconds()
	}
	return c.ownArrivals.lambda() / float64(len(c.servers))
}

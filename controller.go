// Package threadglade is the decision module of a border proxy: it decides which central server each call
// set-up is sent to and which calls are refused. Its interface is in api.go.
//
// Admission control follows the published algorithm DEOC. Each server has an admission rate. An overload
// rejection (processor full, a time-out or a late answer) cuts the rate by a fraction; otherwise the rate
// climbs by a square law. Gaps, which are minimum times between new calls, enforce it. Comments refer to the
// algorithm's steps, symbols and equations, and mark departures from them; docs/design.md says which parts
// were kept, which were changed and why.
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
	// scarceSpacing is the spacing of admissions above which the latest answer alone decides whether a call
	// would be late, because there are too few answers for an admission rate to control the server.
	scarceSpacing = controlInterval / 2
	// latencyMargin times the latest response time is the response time assumed for the next set-up.
	latencyMargin = 1.5
	// smoothingWeight is w of the algorithm: the weight of the newest spacing of calls. The loss rate is
	// smoothed with the same weight.
	smoothingWeight = 0.1
	// climbStep squared is how far the rate climbs in the first interval, in calls a second. It follows from
	// k = 1/2 and α = 0.2 in eq. 12.
	climbStep = 0.1
	// nominalRate is the arrival rate, in calls a second, that climbStep is meant for. Above it, the climb is
	// faster in proportion to the arrival rate.
	nominalRate = 4
	// isolatedRejectionAdmissions is the number of admissions per overload rejection from which rejections
	// are isolated: the server is not overloaded and its rate is not cut.
	isolatedRejectionAdmissions = 20
	// rateCutFraction is β of the algorithm: the part of the rate that an overload rejection removes.
	rateCutFraction = 1.0 / 8
	// idleTimeout is the time without an overload rejection after which a server is no longer controlled.
	// The paper proposes 100 s.
	idleTimeout = 10 * time.Second
	// minCoolDown is the shortest cool-down of a server after it rejected a set-up or let it time out.
	minCoolDown = 200 * time.Millisecond
	// maxCoolDown is the longest mean cool-down of a server that fails repeatedly.
	maxCoolDown = 8 * time.Second
	// lateAimFraction is the fraction of the aim after which a set-up without an answer counts as an overload
	// rejection. A smaller one helps slightly with many proxies and costs more with few.
	lateAimFraction = 0.5
	// maxServerFaults faults in a row start a cool-down of the server; fewer may be caused by the calls.
	maxServerFaults = 3
	// maxCallFaults faults of one call are attributed to the call itself: any other server would report a
	// fault, too.
	maxCallFaults = 2
	// minLossRate is the fraction of lost set-ups from which on every set-up that is pending for long is
	// taken as lost, even if no later one was answered.
	minLossRate = 0.1
	// forgetDelay is how long a removed server is remembered in case it comes back.
	forgetDelay = time.Minute
	// overdueAimFraction is the fraction of the aim after which a set-up without an answer blocks its server.
	// It is small because a queue has to be detected long before it makes calls miss their aim.
	overdueAimFraction = 0.2
	// maxProbationSetUps answers in time end a probation. About as many set-ups are in flight at normal load.
	maxProbationSetUps = 4
	// waitAimFraction of the aim is how long the most valuable call may wait for a server, others in
	// proportion to their value. With less, valuable calls are refused; with more, they are late.
	waitAimFraction = 0.4
	// maxWaitingCalls limits the queue of waiting calls, and thereby the work of one event.
	maxWaitingCalls = 100
	// waitingPollInterval is how often waiting calls are tried between events.
	waitingPollInterval = 20 * time.Millisecond
	// agentReportInterval is the interval at which servers report their free agents. Calls to these agents
	// are spread over it.
	agentReportInterval = time.Second
	// retryAfterDelay is the advice to a refused caller on when to try again. The delays that callers choose
	// themselves are longer and make them miss the aim.
	retryAfterDelay = 100 * time.Millisecond
	// minBusyDelay is how long a number gets no calls after all its lines were busy for the first time.
	minBusyDelay = 500 * time.Millisecond
	// maxBusyNumbers bounds the busy numbers that are remembered.
	maxBusyNumbers = 1000
	// maxShareFactor bounds one proxy's share to this multiple of an equal share, and to its reciprocal.
	maxShareFactor = 4
	// coldBudgetFraction is how much of the load at which a cold server collapses all proxies together send
	// it. The same amount may arrive one window late, and the rest absorbs differences between a server's
	// capacity and the capacity that its number of agents suggests.
	coldBudgetFraction = 0.35
)

const waitingTimerToken = 0 // token of the timer for waiting calls; timers of calls count from 1

// Controller makes the decisions of one proxy. It is a deterministic state machine without goroutines, clock
// or I/O. It must not be used by several goroutines at once. Its points in time are clock times as passed
// to Handle.
type Controller struct {
	settings           *Settings          // for new calls; calls in progress keep those of their arrival
	classes            map[string]*Class  // by name
	tenants            map[string]*tenant // by name
	maxWorth           float64            // highest worth of a class
	random             randomness
	now                time.Duration            // time of the latest event
	startedAt          time.Duration            // time of the first event
	intervalEnd        time.Duration            // end of the current control interval
	servers            []*serverState           // in the order in which they were first listed
	byID               map[string]*serverState  // the same servers by their IDs
	remembered         *serverState             // alternative server, kept while it takes calls; may be nil
	redrawn            bool                     // no call was sent to remembered since it was drawn
	calls              map[string]*callState    // calls in progress by their IDs
	timers             map[int64]*callState     // calls whose timers are set, by the timers' tokens
	lastToken          int64                    // token of the timer that was set last
	waiting            []*callState             // calls that wait for a server, the most valuable first
	firstTries         map[string]time.Duration // first try for each number without a call established since
	firstTryOrder      []firstTry               // first tries, oldest first; some are no longer in firstTries
	busyNumbers        map[string]busyPeriod    // numbers whose lines were all busy
	maxDeadline        time.Duration            // longest deadline of a class
	meanHolding        time.Duration            // mean holding time over the classes
	lastLateArrival    time.Duration            // when the latest late call arrived
	lossRate           float64                  // smoothed fraction of set-ups that a later one overtook
	ownArrivals        meter                    // rate of first tries at this proxy
	agentsInUse        int                      // reported agents with calls of any proxy, at all servers
	totalAgents        int                      // reported agents, at all servers
	coldAssigned       bool                     // ColdFraction events assign the load of cold servers
	unassignedFraction float64                  // of the load of cold servers that no ColdFraction names
	retryBudget        RetryBudget              // retry attempts that the proxies agreed on
	waitingPollAt      time.Duration            // when the timer for waiting calls expires
	actions            []Action                 // result of the event that is being handled
}

// callState is the state of one call from its arrival until it has its answer and its last attempt has ended.
type callState struct {
	Arrival
	settings         *Settings // in force when it arrived
	class            *Class
	value            float64       // what it may still earn, as of its arrival
	deadline         time.Duration // when its caller gives up
	attempts         int           // set-ups sent so far
	inFlight         bool          // the latest attempt is unanswered
	established      bool          // the latest attempt was answered and has not ended
	closed           bool          // it has its final answer or is established, or its caller has gone
	mayHaveRun       bool          // a server may have processed an attempt that has ended
	countedBy        *serverState  // server that counted it last in its arrival rate; nil: none
	late             bool          // it is a repeated try or came after the end of its aim
	aimEnd           time.Duration // end of its aim, counted from its first try
	server           *serverState  // server of the latest attempt; nil: none sent yet
	sentAt           time.Duration // when the latest attempt was sent
	lost             bool          // the latest attempt is taken as lost (see checkOvertaken)
	rejectionCounted bool          // the latest attempt was counted as an overload rejection
	faults           int           // attempts that ended with a fault
	redirected       bool          // its one redirection for lack of an agent is used
	retryAt          time.Duration // end of the wait before its retry attempt; 0: none
	waitUntil        time.Duration // until when it may wait for a server to accept it
}

// tenant is a tenant and the rate of its calls at this proxy.
type tenant struct {
	Tenant
	meter
}

// busyPeriod is a period in which a number gets no calls.
type busyPeriod struct{ until, length time.Duration }

// firstTry is the first try for a number.
type firstTry struct {
	number string
	at     time.Duration
}

// serverState is what this proxy knows of one central server.
type serverState struct {
	Server
	coolDownUntil     time.Duration // it is sent no set-up before then
	inFlight          int           // unanswered set-ups of this proxy
	overdue           []*callState  // calls whose unanswered set-ups are past their overdue timeout
	answeredSentAt    time.Duration // send time of the answered set-up that was sent last
	baseLatency       time.Duration // response time of its fastest answers; slowly follows slower ones
	probeAt           time.Duration // while set-ups are overdue, none is sent before then
	failures          int           // cool-downs started since its latest answer in time
	faults            int           // faults since its latest answer
	removedAt         time.Duration // when it was first found removed; 0: listed
	lastLatency       time.Duration // response time of its latest answer
	answeredAt        time.Duration // when that answer arrived
	probation         int           // set-ups in flight that probation permits; 0: not on probation
	freeAgents        int           // as last reported
	totalAgents       int           // as last reported
	credit            float64       // set-ups left of this proxy's share (see shareExhausted)
	creditedAt        time.Duration // when the credit was last brought up to date
	coldFraction      float64       // this proxy's fraction of its load while cold, from ColdFraction
	coldFractionUntil time.Duration // when that fraction expires
	avoidUntil        time.Duration // avoided until then on behalf of all proxies
	turnPosition      float64       // this proxy's turns so far (see turnsExhausted), as of turnsAt
	usedTurns         float64       // how many of these were used or have lapsed
	turnsAt           time.Duration // when turnPosition was last brought up to date
	turnAgents        int           // number of agents that the turns were computed for; -1: not computed
	admissionControl
}

// admissionControl is the admission control of one server (DEOC). Its counts cover the current span: the
// current control interval and those before it back to the latest one with an answer or an overload
// rejection.
type admissionControl struct {
	meter                        // arrival rate, also of calls that a gap stops
	active         bool          // calls are controlled: there was an overload rejection lately
	rate           float64       // r, the admission rate in calls a second
	climbStart     float64       // r0, the rate at which the climb began
	climbIntervals int           // n, the intervals since the climb began
	rejectionRatio float64       // overload rejections per admission in the latest span with too many
	gap            time.Duration // minimum time between admissions; 0: no limit
	gapUntil       time.Duration // end of the gap after the latest admission
	admissionMeter meter         // rate of admissions
	admissions     int           // set-ups sent in the current span
	answers        int           // answers in time in the current span
	rejections     int           // overload rejections in the current span
	spanIntervals  int           // complete intervals in the current span, at most maxSpanIntervals
	lastRejection  time.Duration // when the latest overload rejection was counted
}

// New returns a Controller with valid settings. The seed determines its random choices.
func New(set Settings, seed uint64) (*Controller, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		random: newRandomness(seed),
		byID:   map[string]*serverState{}, calls: map[string]*callState{}, timers: map[int64]*callState{},
		firstTries: map[string]time.Duration{}, busyNumbers: map[string]busyPeriod{},
	}
	c.applySettings(&set)
	return c, nil
}

// Handle processes one event at a clock time and returns the resulting actions in order. If now is before the
// time of an earlier event, that time is used instead.
func (c *Controller) Handle(now time.Duration, event Event) []Action {
	c.now, c.actions = max(now, c.now), nil
	c.closeIntervals()
	switch e := event.(type) {
	case ServerList:
		c.updateServers(e)
	case Arrival:
		c.handleArrival(e)
	case Established:
		c.handleEstablished(e)
	case Ended:
		c.handleEnded(e)
	case Agents:
		c.updateAgents(e)
	case CallerGone:
		c.handleCallerGone(e)
	case Due:
		c.handleTimer(e)
	case ColdFraction:
		c.setColdFraction(e)
	case RetryBudget:
		c.retryBudget = e
	case Avoidance:
		if server := c.byID[e.Server]; server != nil && server.Started == e.Started {
			server.avoidUntil = e.Until
		}
	}
	if len(c.waiting) > 0 {
		c.serveWaiting()
	}
	return c.actions
}

// emit appends an action to the result of the current event.
func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// ---- server list ----

// updateServers applies a server list. A server that is new or was restarted starts with new credit and new
// turns, and what ColdFraction and Avoidance set for its previous process no longer applies.
func (c *Controller) updateServers(list ServerList) {
	if c.settings.SubscribeList && (list.Failed || list.Stored) {
		c.emit(Subscribe{})
	}
	if list.Failed {
		return
	}
	if !list.Delta {
		for _, server := range c.servers {
			server.State = Removed
		}
	}
	defer c.updateRemoved()
	for _, entry := range list.Servers {
		server := c.byID[entry.ID]
		if server == nil {
			server = &serverState{}
			c.byID[entry.ID] = server
			c.servers = append(c.servers, server)
		}
		if server.ID == "" || server.Started != entry.Started {
			server.credit, server.creditedAt = 1, c.now
			server.coldFractionUntil, server.avoidUntil, server.turnAgents = 0, 0, -1
			if entry.Started > 0 {
				server.credit = c.random.Float64()
			}
		}
		server.Server = entry
	}
}

// setColdFraction stores the assigned fraction of the load of a cold server.
func (c *Controller) setColdFraction(part ColdFraction) {
	if server := c.byID[part.Server]; server != nil && server.Started == part.Started {
		server.coldFraction, server.coldFractionUntil = part.Fraction, part.Until
	} else if part.Server == "" {
		c.coldAssigned, c.unassignedFraction = true, part.Fraction
	}
}

// updateRemoved subtracts the agents of removed servers from the sums, adds those of servers that are back,
// and forgets a server forgetDelay after its removal.
func (c *Controller) updateRemoved() {
	c.servers = slices.DeleteFunc(c.servers, func(server *serverState) bool {
		switch {
		case server.State != Removed && server.removedAt > 0: // it is listed again
			server.removedAt = 0
			c.addAgents(server, 1)
		case server.State == Removed && server.removedAt == 0:
			server.removedAt = c.now
			c.addAgents(server, -1)
		}
		if server.State != Removed {
			return false
		}
		forget := server.inFlight == 0 && c.now-server.removedAt >= forgetDelay
		if forget {
			delete(c.byID, server.ID)
			if c.remembered == server {
				c.remembered = nil
			}
		}
		return forget
	})
}

// addAgents adds the agents of a server to the sums, or with sign -1 subtracts them.
func (c *Controller) addAgents(server *serverState, sign int) {
	c.agentsInUse += sign * (server.totalAgents - server.freeAgents)
	c.totalAgents += sign * server.totalAgents
}

// updateAgents stores a report of free agents, unless the server is unknown or removed.
func (c *Controller) updateAgents(report Agents) {
	if server := c.byID[report.Server]; server != nil && server.removedAt == 0 {
		c.addAgents(server, -1)
		server.freeAgents, server.totalAgents = report.Free, report.Total
		c.addAgents(server, 1)
	}
}

// ---- calls ----

// handleArrival refuses a new call at once or puts it into the queue of waiting calls, which Handle serves
// next.
func (c *Controller) handleArrival(arrival Arrival) {
	if c.calls[arrival.Call] != nil {
		return
	}
	call := &callState{
		Arrival: arrival, settings: c.settings,
		class: c.classes[arrival.Class], deadline: c.now + arrival.TimeLeft,
	}
	c.calls[arrival.Call] = call
	if call.class == nil || arrival.TimeLeft <= 0 || c.now < c.busyNumbers[call.Number].until {
		c.refuse(call, c.arrivalRefusal(call))
		return
	}
	c.recordTry(call)
	if t := c.tenants[call.Tenant]; t != nil {
		t.recordArrival(c.now)
	}
	call.value = c.value(call)
	call.waitUntil = c.now + min(arrival.TimeLeft/2,
		call.aimFraction(waitAimFraction*min(1, call.value/c.maxWorth)))
	if server := c.serverByNumber(call.Destination); server != nil {
		c.countArrival(call, server)
	}
	c.enqueue(call)
}

// aimFraction returns a fraction of the aim of the call's class.
func (call *callState) aimFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(call.class.Aim))
}

// value returns what the call may still earn. The worth of a tenant's calls is reduced while their rate at
// this proxy exceeds the quota divided by the number of proxies.
func (c *Controller) value(call *callState) float64 {
	value := call.class.Worth
	if call.late {
		value *= call.class.LateFactor
	}
	if t := c.tenants[call.Tenant]; t != nil && t.lambda() > t.Quota/float64(c.settings.Proxies) {
		value *= c.settings.OverQuotaFactor
	}
	return value
}

// recordTry sets the end of the call's aim, which counts from the first try, and whether the call is late:
// marked as a repeated try, or past its aim. Where callers do not mark repeated tries, a try counts as one if
// the number was called before and no call to it was established since. Many callers of one busy number then
// count as one caller, whose calls are worth little; that misjudges well-behaved callers who share a number.
func (c *Controller) recordTry(call *callState) {
	first, known := c.firstTries[call.Number]
	known = known && c.now-first < call.class.Deadline && (call.Retry || !c.settings.Callers.MarkRetries)
	if !known && !call.Retry {
		c.ownArrivals.recordArrival(c.now)
	}
	if !known {
		first = c.now
		c.firstTries[call.Number] = first
		c.firstTryOrder = append(c.firstTryOrder, firstTry{call.Number, first})
	}
	call.aimEnd = first + call.class.Aim
	if call.late = call.Retry || c.now >= call.aimEnd; call.late {
		c.lastLateArrival = c.now
	}
	for len(c.firstTryOrder) > 0 && c.now-c.firstTryOrder[0].at > c.maxDeadline {
		if oldest := c.firstTryOrder[0]; c.firstTries[oldest.number] == oldest.at {
			delete(c.firstTries, oldest.number)
		}
		c.firstTryOrder = c.firstTryOrder[1:]
	}
}

// blockNumber has calls to a number refused for a while after all its lines were busy, as they would take up
// set-ups and earn nothing. The period doubles each time, since with hundreds of proxies even one try each
// is a flood. Calls are refused needlessly where a line becomes free at once.
func (c *Controller) blockNumber(number string) {
	if len(c.busyNumbers) >= maxBusyNumbers {
		clear(c.busyNumbers)
	}
	length := c.busyNumbers[number].length
	length = min(max(minBusyDelay, 2*length), maxCoolDown)
	c.busyNumbers[number] = busyPeriod{c.now + length, length}
}

// countArrival counts the call in the arrival rate of a server, unless that server counted it last. It is
// called for the first choice on arrival and for the server that the call is sent to.
func (c *Controller) countArrival(call *callState, server *serverState) {
	if call.countedBy != server {
		call.countedBy = server
		server.recordArrival(c.now)
	}
}

// enqueue inserts the call into the queue of waiting calls, ordered by value, then by age. This departs from
// step 6: a call stopped by a gap waits a little, so that the least valuable calls are the ones refused.
func (c *Controller) enqueue(call *callState) {
	i := len(c.waiting)
	for i > 0 && c.waiting[i-1].value < call.value {
		i--
	}
	c.waiting = slices.Insert(c.waiting, i, call)
	if len(c.waiting) > maxWaitingCalls {
		leastValuable := c.waiting[len(c.waiting)-1]
		c.waiting = c.waiting[:len(c.waiting)-1]
		c.refuse(leastValuable, Displaced)
	}
}

// serveWaiting sends the waiting calls that a server accepts now and refuses those past their longest wait. A
// call past its deadline is refused, not sent: with little time left, or after a pause of the proxy, its
// caller would get no answer.
func (c *Controller) serveWaiting() {
	remaining := c.waiting[:0]
	for _, call := range c.waiting {
		if call.closed {
			continue
		}
		if c.now >= call.deadline {
			c.refuse(call, OutOfTime)
			continue
		}
		switch server := c.selectServer(call); {
		case server != nil:
			c.countArrival(call, server)
			c.send(call, server)
		case c.now >= call.waitUntil:
			c.refuse(call, c.blockReason(call))
		default:
			remaining = append(remaining, call)
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
func (c *Controller) selectServer(call *callState) *serverState {
	server := c.route(call)
	if server != nil && c.inGap(server) {
		server = c.secondChoice(call, server)
	}
	return server
}

// send starts the next attempt of the call, with one timer that checks whether it has become overdue and one
// that checks whether it is late.
func (c *Controller) send(call *callState, server *serverState) {
	server.recordAdmission(c.now)
	server.credit, server.usedTurns = server.credit-1, server.usedTurns+1
	call.attempts++
	call.inFlight, call.server, call.sentAt = true, server, c.now
	call.rejectionCounted, call.lost = false, false
	c.setTimer(call, c.now+call.lateTimeout())
	c.setTimer(call, c.now+call.overdueTimeout())
	server.inFlight++
	c.emit(Send{
		Call: call.Call, Server: server.ID, Timeout: call.deadline - c.now, Why: c.sendReason(call, server),
	})
}

// handleEstablished records that a set-up was answered and updates what is known about the server and about
// the set-ups that were sent to it before.
func (c *Controller) handleEstablished(answer Established) {
	call := c.calls[answer.Call]
	if call == nil || !call.inFlight || answer.Attempt != call.attempts-1 {
		return
	}
	c.clearInFlight(call)
	call.established, call.closed = true, true
	delete(c.firstTries, call.Number)
	delete(c.busyNumbers, call.Number)
	if answer.Latency >= call.lateTimeout() {
		c.countRejection(call)
	}
	call.server.lastLatency, call.server.answeredAt, call.server.faults = answer.Latency, c.now, 0
	call.server.answeredSentAt = max(call.server.answeredSentAt, call.sentAt)
	c.lossRate -= smoothingWeight * c.lossRate
	for _, older := range slices.Clone(call.server.overdue) {
		c.checkOvertaken(older)
	}
	call.server.updateProbation(answer.Latency < call.overdueTimeout())
	if call.server.baseLatency == 0 || answer.Latency < call.server.baseLatency {
		call.server.baseLatency = answer.Latency
	}
	call.server.baseLatency += (answer.Latency - call.server.baseLatency) / 500
	if answer.Latency < call.lateTimeout() {
		call.server.failures = 0
		call.server.answers++
	}
}

// handleEnded handles the end of the call's latest attempt. A call that has no final answer yet is retried or
// refused.
func (c *Controller) handleEnded(ended Ended) {
	call := c.calls[ended.Call]
	if call == nil || !call.inFlight && !call.established || ended.Attempt != call.attempts-1 {
		return
	}
	if call.inFlight {
		c.clearInFlight(call)
		c.recordFailure(call, ended)
	}
	call.established = false
	call.closed = call.closed || ended.Final
	call.mayHaveRun = call.mayHaveRun || ended.Outcome.MayHaveRun()
	if call.closed {
		delete(c.calls, ended.Call)
		return
	}
	c.retryOrRefuse(call, ended)
}

// recordFailure evaluates a set-up that ended unanswered: it may count as an overload rejection or a fault
// and start a cool-down of the server. The time-out of a lost set-up is ignored, as the server did not
// cause it.
func (c *Controller) recordFailure(call *callState, ended Ended) {
	server := call.server
	if call.lost && ended.Outcome == TimedOut {
		return
	}
	if ended.Outcome == Rejected && ended.Cause != CauseNoAgent || ended.Outcome == TimedOut {
		c.countRejection(call)
	}
	fault := ended.Outcome == Faulted && ended.Cause != CauseLinesBusy
	if fault {
		call.faults++
		server.faults++
	}
	if ended.Outcome == Rejected || ended.Outcome == TimedOut || ended.Outcome == Unreachable ||
		fault && server.faults >= maxServerFaults {
		c.startCoolDown(server)
	}
}

// startCoolDown starts a cool-down of the server after a failed set-up: minCoolDown after the first in a
// row, then a random time around twice the spacing of this proxy's calls, doubled with each failure. An
// overloaded processor, especially one to which waiting set-ups are sent again, does no useful work until it
// is left alone, and hundreds of proxies would each keep probing it. The rule also covers unresponsive, dead
// and faulty servers. Where a server recovers at once, capacity is lost: all proxies together probe it about
// once per minCoolDown.
func (c *Controller) startCoolDown(server *serverState) {
	coolDown := minCoolDown
	if server.failures > 0 {
		maxMean := min(max(minCoolDown, server.spacing)<<min(server.failures, 6), maxCoolDown,
			minCoolDown*time.Duration(c.settings.Proxies))
		coolDown = max(minCoolDown, time.Duration((0.5+c.random.Float64())*float64(maxMean)))
	}
	server.failures++
	server.coolDownUntil = c.now + coolDown
	if c.remembered == server {
		c.remembered = nil
	}
}

// lateTimeout is the time without an answer after which a set-up counts as an overload rejection. This
// departs from step 2, as a processor rejects only when its queue is longer than the aim and every call is
// late already. The time-out detects waiting from any cause.
func (call *callState) lateTimeout() time.Duration {
	return call.aimFraction(lateAimFraction)
}

// overdueTimeout is the time without an answer after which a set-up blocks its server. It is at least twice
// the server's base latency, so that network distance alone does not block a server.
func (call *callState) overdueTimeout() time.Duration {
	return max(call.aimFraction(overdueAimFraction), 2*call.server.baseLatency)
}

// clearInFlight removes the latest attempt of the call from the unanswered set-ups of its server.
func (c *Controller) clearInFlight(call *callState) {
	call.inFlight = false
	call.server.inFlight--
	call.clearOverdue()
}

// clearOverdue removes the call from the overdue ones of its server.
func (call *callState) clearOverdue() {
	call.server.overdue = slices.DeleteFunc(call.server.overdue,
		func(other *callState) bool { return other == call })
}

// checkOvertaken reports whether the pending set-up is taken as lost because one sent later was answered. A
// processor answers in order, so the set-up or its answer was lost, which is no sign of overload. The set-up
// is withdrawn and sent again if that can be in time. Where many set-ups are lost (minLossRate), one is
// taken as lost even if no later one was answered. In both cases it must have been pending for its overdue
// timeout and for three times the server's latest response time. This covers connections that lose messages.
// It misjudges servers that answer out of order.
func (c *Controller) checkOvertaken(call *callState) bool {
	server := call.server
	overtaken := server.answeredSentAt > call.sentAt
	if !overtaken && c.lossRate < minLossRate ||
		c.now-call.sentAt < max(call.overdueTimeout(), 3*server.lastLatency) {
		return call.lost
	}
	if overtaken && !call.lost {
		c.lossRate += smoothingWeight * (1 - c.lossRate)
	}
	if call.clearOverdue(); len(server.overdue) == 0 {
		server.probation = 0
	}
	wait := call.settings.Rules.ReleaseWait + server.lastLatency
	if !call.lost && call.settings.Limits.Cancel && call.class.Repeat == RepeatFree &&
		call.attempts < call.settings.Limits.MaxAttempts && c.now+wait < call.deadline {
		c.emit(GiveUp{Call: call.Call, Attempt: call.attempts - 1, Why: Overtaken})
	}
	call.lost = true
	return true
}

// updateProbation updates the server's probation with the answer to a set-up: each answer in time permits one
// more set-up in flight, a late one resets to one.
func (s *serverState) updateProbation(inTime bool) {
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
func (c *Controller) countRejection(call *callState) {
	if !call.rejectionCounted {
		call.rejectionCounted = true
		call.server.recordRejection(c.now)
	}
}

// retryOrRefuse schedules a retry attempt after a failed one, or refuses the call.
func (c *Controller) retryOrRefuse(call *callState, ended Ended) {
	switch {
	case ended.Outcome == Rejected && ended.Cause == CauseNoAgent && !call.redirected:
		call.redirected = true
		c.scheduleRetry(call, 0)
	case ended.Outcome == Faulted && ended.Cause == CauseLinesBusy:
		c.blockNumber(call.Number)
		c.refuse(call, NumberBusy)
	case ended.Outcome == Unreachable, ended.Outcome == Faulted && call.faults < maxCallFaults:
		c.scheduleRetry(call, 0)
	case ended.Outcome == Cut || ended.Outcome == TimedOut || ended.Outcome == Cancelled:
		c.scheduleRetry(call, call.settings.Rules.ReleaseWait)
	default:
		c.refuse(call, endRefusal(ended))
	}
}

// scheduleRetry queues the call for a retry attempt after a wait, or refuses it if no attempt or time is
// left. A call that may have run is retried only where its class may be repeated freely.
func (c *Controller) scheduleRetry(call *callState, wait time.Duration) {
	switch {
	case call.attempts >= call.settings.Limits.MaxAttempts,
		call.mayHaveRun && call.class.Repeat != RepeatFree,
		c.now+wait >= call.deadline, !c.retryBudget.spend():
		c.refuse(call, NoRetryAttempt)
	case wait > 0:
		call.retryAt = c.now + wait
		c.setTimer(call, call.retryAt)
	default:
		c.enqueue(call)
	}
}

// setTimer makes handleTimer check the call at a given time. Timers are not cancelled: one that has become
// irrelevant expires without effect.
func (c *Controller) setTimer(call *callState, at time.Duration) {
	c.lastToken++
	c.timers[c.lastToken] = call
	c.emit(SetTimer{At: at, Token: c.lastToken})
}

// handleTimer checks a call whose timer has expired: whether its pending set-up is lost, late or overdue, or
// whether it is time for its retry attempt. The timer for waiting calls has no call, as Handle serves them
// after each event.
func (c *Controller) handleTimer(due Due) {
	call := c.timers[due.Token]
	delete(c.timers, due.Token)
	switch {
	case call == nil || call.established || call.inFlight && c.checkOvertaken(call):
		return
	case call.inFlight:
		if c.now-call.sentAt >= call.lateTimeout() {
			c.countRejection(call)
		}
		if server := call.server; c.now-call.sentAt >= call.overdueTimeout() &&
			!slices.Contains(server.overdue, call) {
			server.overdue = append(server.overdue, call)
			server.probation, server.probeAt = 1, c.now+forgetDelay
			// The server stays blocked while set-ups are overdue, for forgetDelay at most. With many calls,
			// one is sent earlier as a probe: its answer shows whether this one was lost.
			if server.lambda() > 2*nominalRate {
				server.probeAt = c.now + call.overdueTimeout()<<min(len(server.overdue)-1, 6)
			}
		}
		return
	case call.closed || call.retryAt == 0 || c.now < call.retryAt:
		return
	}
	if c.now >= call.deadline {
		c.refuse(call, OutOfTime)
		return
	}
	call.retryAt = 0
	call.waitUntil = max(call.waitUntil, c.now)
	c.enqueue(call)
}

// handleCallerGone closes the call. A call with an attempt is kept until the attempt ends.
func (c *Controller) handleCallerGone(gone CallerGone) {
	call := c.calls[gone.Call]
	if call == nil {
		return
	}
	call.closed = true
	if !call.inFlight && !call.established {
		delete(c.calls, gone.Call)
	}
}

// refuse sends the final answer: Refuse, or Fail where an attempt may have run.
func (c *Controller) refuse(call *callState, why Reason) {
	call.closed = true
	delete(c.calls, call.Call)
	if call.mayHaveRun {
		c.emit(Fail{Call: call.Call, Why: why})
		return
	}
	c.emit(Refuse{Call: call.Call, RetryAfter: call.retryAfter(), Why: why})
}

// retryAfter returns the advice to a refused caller: a short delay, so that a retry can still meet the aim.
func (call *callState) retryAfter() time.Duration {
	if !call.settings.Limits.RetryAfter {
		return 0
	}
	return min(retryAfterDelay, call.settings.Limits.MaxRetryAfter)
}

// ---- routing ----

// route returns the first-choice server if it accepts the call, else an alternative, or nil.
func (c *Controller) route(call *callState) *serverState {
	if call.InTransit || !call.redirected {
		if server := c.serverByNumber(call.Destination); server != nil &&
			c.accepts(server, call) && (server != call.server || call.lost) {
			return server
		}
	}
	if call.InTransit {
		return nil
	}
	return c.alternative(func(server *serverState) bool {
		return c.accepts(server, call) && (server != call.server || call.lost)
	})
}

// alternative returns the remembered server while it is fit, else redraws it; nil if none is fit.
func (c *Controller) alternative(fit func(*serverState) bool) *serverState {
	if c.remembered != nil && fit(c.remembered) {
		return c.remembered
	}
	return c.redraw(fit)
}

// redraw draws a new remembered server at random among the fit ones and returns it, or nil if none is fit.
// The draw is weighted by reported free agents. The algorithm draws uniformly, but then the overflow of a
// large server would overload a small one.
func (c *Controller) redraw(fit func(*serverState) bool) *serverState {
	total := 0
	for _, server := range c.servers {
		if fit(server) {
			total += server.drawWeight()
		}
	}
	if total == 0 {
		return nil
	}
	position := c.random.IntN(total)
	for _, server := range c.servers {
		if !fit(server) {
			continue
		}
		if position -= server.drawWeight(); position < 0 {
			c.remembered, c.redrawn = server, true
			break
		}
	}
	return c.remembered
}

// drawWeight returns the server's weight in the draw of an alternative.
func (s *serverState) drawWeight() int { return max(s.freeAgents, 1) }

// secondChoice returns a server without a gap for a call that a gap stopped: the remembered server, else a
// random one. Where all servers have gaps it returns nil. This departs from step 6.
func (c *Controller) secondChoice(call *callState, gapped *serverState) *serverState {
	ungapped := func(server *serverState) bool {
		return server != gapped && server.gap == 0 && !c.isCold(server) && c.accepts(server, call)
	}
	if call.InTransit {
		return nil
	}
	return c.alternative(ungapped)
}

// serverByNumber returns the running server of a number, the latest started of several, or nil.
func (c *Controller) serverByNumber(number int) *serverState {
	var found *serverState
	for _, server := range c.servers {
		if server.Number == number && server.State == Up && (found == nil || server.Started > found.Started) {
			found = server
		}
	}
	return found
}

// accepts reports whether the server may be sent the call, apart from its gap.
func (c *Controller) accepts(server *serverState, call *callState) bool {
	blocked := len(server.overdue) > 0 && c.now < server.probeAt ||
		server.probation > 0 && server.inFlight-len(server.overdue) >= server.probation
	return server.State == Up && c.now >= max(server.coolDownUntil, server.avoidUntil) && !blocked &&
		c.servesClass(server, call.class) && !c.wouldBeLate(server, call) && !c.shareExhausted(server)
}

// wouldBeLate reports whether the latest response time of a controlled server suggests that the call would
// miss its aim there. This keeps fresh calls from slow or unresponsive servers. Late calls are sent
// nevertheless: they have nothing to lose, and their answers show when the server has become faster. Without
// late calls, the latest response time expires. The rule applies only where admissions are too scarce for a
// rate to control the server, as elsewhere a single slow answer would keep calls away. Calls are kept away
// needlessly where that one answer was slow by chance.
func (c *Controller) wouldBeLate(server *serverState, call *callState) bool {
	expected := time.Duration(latencyMargin * float64(server.lastLatency))
	current := c.now < max(server.answeredAt+2*expected, c.lastLateArrival+controlInterval)
	return server.active && server.admissionMeter.spacing > scarceSpacing && current &&
		!call.late && c.now+expected > call.aimEnd
}

// servesClass reports whether the server may take calls of the class. In a network all servers take all
// classes.
func (c *Controller) servesClass(server *serverState, class *Class) bool {
	return c.settings.Network || slices.Contains(class.Servers, server.Number)
}

// ---- gaps ----

// inGap reports whether the server is still in the gap after its latest admission.
func (c *Controller) inGap(server *serverState) bool {
	return c.now < server.gapUntil
}

// recordAdmission counts an admission and starts the gap that follows it (step 6).
func (control *admissionControl) recordAdmission(now time.Duration) {
	control.admissions++
	control.admissionMeter.recordArrival(now)
	control.gapUntil = now + control.gap
}

// ---- rate adaptation ----

// closeIntervals adapts all admission rates at the end of each control interval that has passed. After more
// than a minute without events it adapts them once and skips the other intervals.
func (c *Controller) closeIntervals() {
	if c.intervalEnd == 0 {
		c.startedAt, c.intervalEnd = c.now, c.now+controlInterval
	}
	for ; c.intervalEnd <= c.now; c.intervalEnd += controlInterval {
		for _, server := range c.servers {
			server.adaptRate(c.intervalEnd)
		}
		if c.now-c.intervalEnd > time.Minute {
			c.intervalEnd = c.now
		}
	}
}

// recordRejection counts an overload rejection (step 2). The first one starts the control (step 1).
func (control *admissionControl) recordRejection(now time.Duration) {
	control.rejections++
	control.lastRejection = now
	if !control.active {
		control.active = true
		control.rate, control.climbStart = control.lambda(), control.lambda()
		control.climbIntervals, control.rejectionRatio, control.gap = 0, 0, 0
	}
}

// adaptRate sets the admission rate at the end of an interval (steps 3 to 6). In a departure from the fixed
// interval T, intervals without an answer or an overload rejection are merged with the next one that has
// some: they carry no information, and with much less than one call per interval, climbing in them would undo
// every cut.
func (control *admissionControl) adaptRate(now time.Duration) {
	if control.active && now-control.lastRejection >= idleTimeout {
		control.active, control.gap = false, 0
	}
	control.spanIntervals = min(control.spanIntervals+1, maxSpanIntervals)
	if control.active && control.answers+control.rejections == 0 {
		return
	}
	admissions, rejections, span := control.admissions, control.rejections, control.spanIntervals
	control.admissions, control.answers, control.rejections, control.spanIntervals = 0, 0, 0, 0
	if !control.active {
		return
	}
	lambda := control.lambda()
	switch {
	case rejections > 0 && rejections*isolatedRejectionAdmissions > admissions:
		newRatio := 1.0
		if admissions > 0 {
			newRatio = float64(rejections) / float64(admissions)
		}
		if newRatio >= control.rejectionRatio {
			control.rate *= math.Pow(1-rateCutFraction, float64(span))
		}
		control.rejectionRatio, control.climbStart, control.climbIntervals = newRatio, control.rate, 0
	case lambda <= control.rate:
		control.rate, control.climbStart, control.climbIntervals = lambda, lambda, 0
	default:
		control.climbIntervals += span
		step := climbStep * float64(control.climbIntervals)
		control.rate = control.climbStart + step*step*max(min(1, lambda), lambda/nominalRate)
	}
	control.gap = 0
	if control.rate < lambda && control.rate > 0 {
		control.gap = time.Duration((1/control.rate - 1/lambda) * float64(time.Second))
	}
}

// ---- guards ----

// isCold reports whether the server may still be warming up after its start.
func (c *Controller) isCold(server *serverState) bool {
	return server.Started > 0 && c.now < server.Started+c.settings.Rules.WarmUpTime
}

// shareExhausted reports whether this proxy has used up its share of what the server can take. The share is
// kept as credit in set-ups, which grows at the share's rate, up to a second's worth or one call. After a
// server's start it begins with a random part of one call, so that hundreds of proxies do not call at once
// when an agent becomes free. This protects servers that run out of agents. It refuses too much where a few
// proxies carry all calls.
func (c *Controller) shareExhausted(server *serverState) bool {
	rate, spread := math.Inf(1), min(agentReportInterval, c.meanHolding) // short calls free agents sooner
	if server.totalAgents > 0 && c.meanHolding > 0 {
		freed := float64(server.totalAgents-server.freeAgents) / c.meanHolding.Seconds()
		rate = (float64(server.freeAgents)/spread.Seconds() + freed) * c.share()
	}
	if c.isCold(server) && c.turnsExhausted(server) {
		return true
	}
	credit := server.credit + rate*max(c.now-server.creditedAt, time.Microsecond).Seconds()
	server.credit, server.creditedAt = min(credit, max(1, rate*spread.Seconds())), c.now
	return server.credit < 1
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

// turnsExhausted reports whether this proxy has used its turns at a cold server. A turn permits one set-up.
// The turns of all proxies together are what the rules guarantee that the server can take since its start,
// interleaved by proxy index. The order of turns follows from server IDs and times alone, so a proxy that
// has just restarted knows it too and counts earlier turns as used. A turn lapses after
// Rules.CollapseWindow, as turns saved by idle proxies would otherwise be used at once. docs/design.md has
// the bound and its proof. Too few calls are sent where a few proxies carry all calls.
func (c *Controller) turnsExhausted(server *serverState) bool {
	rate, rules := c.coldRate(server), &c.settings.Rules
	turnsUntil := func(at time.Duration) float64 { // turns up to a time, for one call a second when warm
		age, coldCapacity := max(at-server.Started, 0).Seconds(), rules.ColdCapacity
		meanCapacity := coldCapacity + (1-coldCapacity)*age/rules.WarmUpTime.Seconds()/2
		return min(1, coldBudgetFraction*rules.CollapseMultiple) * meanCapacity * age
	}
	server.turnPosition += rate * (turnsUntil(c.now) - turnsUntil(server.turnsAt))
	if server.turnAgents != server.totalAgents {
		offset := float64(c.settings.Index) / float64(c.settings.Proxies)
		server.turnAgents = server.totalAgents
		server.turnPosition = server.turnPhase() + offset + rate*turnsUntil(c.now)
		server.usedTurns = 0
		if c.startedAt >= server.Started || server.admissionMeter.lastCall >= server.Started {
			server.usedTurns = math.Floor(server.turnPosition)
		}
	}
	server.turnsAt = c.now
	server.usedTurns = max(server.usedTurns,
		math.Floor(server.turnPosition-rate*(turnsUntil(c.now)-turnsUntil(c.now-rules.CollapseWindow))))
	return math.Floor(server.turnPosition) <= server.usedTurns
}

// coldRate returns this proxy's fraction of the calls a second that a cold server can take when warm. By
// Little's law that is its agents divided by the mean holding time, and proxies have equal fractions unless
// ColdFraction assigned others. Before the agents are reported, it is this proxy's calls divided by the
// number of servers. Too few calls are sent to a server whose processor could serve more agents than it has.
func (c *Controller) coldRate(server *serverState) float64 {
	fraction := 1 / float64(c.settings.Proxies)
	switch {
	case c.coldAssigned && c.now < server.coldFractionUntil:
		fraction = server.coldFraction
	case c.coldAssigned:
		fraction = c.unassignedFraction
	}
	if server.totalAgents > 0 && c.meanHolding > 0 || c.coldAssigned && fraction == 0 {
		return fraction * float64(server.totalAgents) / max(c.meanHolding, 1).Seconds()
	}
	return c.ownArrivals.lambda() / float64(len(c.servers))
}

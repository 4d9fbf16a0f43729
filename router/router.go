// Package router is the core of the call router. It holds requests, their attempts and outcomes, timers and
// counters. It calls a Controller, one event at a time, carries out its actions through a Trunk and answers
// through the Front that a request came from. Every rule of the Controller is enforced here a second time as a
// backstop: one final answer in time, one attempt at a time, a bounded number of attempts, a wait after an
// attempt that may still occupy resources, and no new attempts at a server that is draining or removed. The
// package must never depend on a wire format, read a clock other than Config.Clock, choose a server, or start a
// goroutine.
package router

import (
	"bytes"
	"container/heap"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"threadglade.example/threadglade"
)

const (
	// overdueDelay is how long after a request's deadline the router itself fails a request that the Controller
	// has not answered. Fronts set deadlines early enough for this still to be in time.
	overdueDelay = 5 * time.Millisecond
	// drainGraceMargin is subtracted from the period in which a draining server may still be sent new attempts,
	// because what counts at the server is when an attempt arrives.
	drainGraceMargin = 100 * time.Millisecond
	// endedCallTTL is how long the ID of an ended call is remembered, so that late and repeated messages do no harm.
	endedCallTTL = 30 * time.Second
	// maxEndedCalls bounds how many of them are remembered. It is above the number in ordinary operation, so that
	// IDs are forgotten early only in a flood of them.
	maxEndedCalls = 20_000
)

// Clock returns the time since the Unix epoch. It is monotonic.
type Clock func() time.Duration

// SystemClock returns a Clock that starts at the system's current Unix time and advances with its monotonic clock.
func SystemClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Duration(start.UnixNano()) + time.Since(start) }
}

// Request is a caller's request for a call.
type Request struct {
	ID          string
	Class       string
	Tenant      string
	Number      string
	Description []byte        // description offered to the server; copied by the router
	Deadline    time.Duration // when the final answer is due, on the router's clock
	Destination int           // number of the server of first choice
	Retry       bool          // the caller marked it as a repeated try

	// The origin of the request as far as the front knows it, which is only passed to the observer and to Admit.
	Caller   netip.Addr // network address of the caller
	Identity string     // authenticated SPIFFE ID of the caller
	Front    string     // name of the front
}

// Attempt is a set-up that is in flight to a server, or a call established there.
type Attempt struct {
	ID          string
	Index       int    // of the request's attempts, from 0
	Server      string // ID of the server
	Class       string
	Number      string
	Description []byte
	Deadline    time.Duration // when the router gives the attempt up, on its clock
}

// Failure is the reason why a request failed.
type Failure int

// The reasons of a failure.
const (
	GivenUp          Failure = iota // a server may have processed an attempt, and no retry attempt is left
	DeadlineExceeded                // the deadline of the request passed
	DuplicateID                     // the ID is or was that of another request, which is not affected
)

// Front is the side that a request came from. For each request the router calls exactly one of Established,
// Refused and Failed unless the caller has left, and after Established exactly one Released unless the caller
// released the call. Its methods may call the Router.
type Front interface {
	// Established passes on the server's answer: the call is established. description is only valid during the
	// method call.
	Established(id string, description []byte)
	// Refused refuses the request, with advice on when to retry (0: none).
	Refused(id string, retryAfter time.Duration)
	// Failed fails the request.
	Failed(id string, reason Failure)
	// Released notifies that an established call has ended.
	Released(id string, outcome threadglade.Outcome)
}

// Trunk connects the router to the servers. After Send it calls Router.Answered or Router.Ended once, unless
// GiveUp came first; after Answered it calls Ended once, unless Release came first. GiveUp and Release are final:
// the trunk reports nothing more of the attempt. Its methods may call the Router.
type Trunk interface {
	// Send sends a set-up to the attempt's server.
	Send(attempt Attempt)
	// GiveUp withdraws a pending attempt.
	GiveUp(attempt Attempt)
	// Release releases an established call.
	Release(attempt Attempt, outcome threadglade.Outcome)
}

// Config configures a Router. Clock and Trunk are required.
type Config struct {
	Settings threadglade.Settings
	Seed     uint64 // of the Controller's random choices
	Clock    Clock
	Trunk    Trunk
	Log      zerolog.Logger // the zero value logs nothing
	// OnUnknownServerRelease, if set, is called when a server releases a call that this router never knew, which
	// belongs to another process of the router. It returns false if the release can't be accepted now; the server has to
	// release the call again then.
	OnUnknownServerRelease func(server, id string, outcome threadglade.Outcome) (accepted bool)
	// OnUnknownCallerRelease, if set, is called when a caller releases a call that this router never knew.
	OnUnknownCallerRelease func(id string)
	// OnIDUsed, if set, is called with the ID of each request that is accepted, and OnIDReusable with an ID that may be
	// used again, so that other processes of the router refuse it meanwhile, see MarkUsed.
	OnIDUsed, OnIDReusable func(id string)
	// Observer, if set, receives the router's events. Without one they cost nothing.
	Observer Observer
	// Admit, if set, is called for each request after its arrival was passed to the observer and before it is passed
	// to the Controller. If it returns a reason, the request is refused at once, with the returned advice on when to
	// retry (0: none). Admit never chooses a server.
	Admit func(Request) (threadglade.Reason, time.Duration)
	// Wake, if set, is called when a timer is set that is due before all others, on the goroutine that set it. An
	// event loop that calls Next before it waits doesn't need it.
	Wake func()
}

// Router processes requests. Unless they say otherwise its methods may be called from any goroutine, also from
// within methods of Front and Trunk. Calls are processed one at a time; those that arrive meanwhile are queued in
// order.
type Router struct {
	cfg             Config
	controller      *threadglade.Controller
	settings        *threadglade.Settings
	calls           map[string]*callState
	servers         map[string]*serverState
	endedCalls      map[string]endedCall // calls that have ended, by ID, for endedCallTTL
	endedOrder      []endedEntry         // the entries of endedCalls, oldest first; some may be outdated
	expiryScheduled bool                 // a timerExpiry is set
	unknown         unknownReleases      // of calls of an earlier process
	usedElsewhere   usedIDs              // by other processes of the router
	counters        Counters
	openRequests    atomic.Int64
	stepTime        time.Duration // time of the current step's first event for the observer; 0: none yet
	freeSlots       []uint32      // slots given out before that are free again
	highestSlot     uint32        // highest slot given out so far

	mu         sync.Mutex // guards the fields below
	busy       bool       // a step is being processed
	queue      []step     // steps that wait for it
	timers     timers
	timerOrder uint64
	snapshot   Counters // copy of counters and table sizes as of the last step, for Counters
}

// step is a queued operation and the data it works on.
type step struct {
	run  func([]byte)
	data []byte
}

// endedCall is when a call ended, and whether its ID may be used again.
type endedCall struct {
	at       time.Duration
	reusable bool
}

// endedEntry is an entry of the list of ended calls in the order of their ends.
type endedEntry struct {
	id string
	at time.Duration
}

// callState is the state of a request and of its current attempt.
type callState struct {
	Request
	settings       *threadglade.Settings // in force when it arrived
	front          Front
	attempt        Attempt
	sentAt         time.Duration
	attempts       int // so far
	slot           uint32
	pending        bool          // an attempt is in flight
	established    bool          // the attempt was answered and the call has not ended
	settled        bool          // the final answer was given, or the caller has left
	callerLeft     bool          // the caller gave the request up before it was answered
	mayHaveRun     bool          // a server may have processed an attempt that has ended unanswered
	retryNotBefore time.Duration // no retry attempt may be sent before then
}

// serverState is the state of a server according to the server list.
type serverState struct {
	state threadglade.ServerState
	since time.Duration // when it was first listed in this state; Draining and Removed count as one
}

// New returns a Router. The error names the setting that is invalid or the field of cfg that is missing.
func New(cfg Config) (*Router, error) {
	if mutant == "early-resend" {
		cfg.Settings.Rules.ReleaseWait -= time.Millisecond
	}
	if mutant == "attempt-more" {
		cfg.Settings.Limits.MaxAttempts++
	}
	controller, err := threadglade.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if cfg.Clock == nil || cfg.Trunk == nil {
		return nil, fmt.Errorf("router: Config.Clock and Config.Trunk are required")
	}
	return &Router{
		cfg:        cfg,
		controller: controller,
		settings:   &cfg.Settings,
		calls:      map[string]*callState{},
		servers:    map[string]*serverState{},
		endedCalls: map[string]endedCall{},
	}, nil
}

// Change replaces the settings as a whole, in the Controller and here, for requests that arrive from now on. Requests
// in progress keep those that were in force when they arrived. If a setting is invalid, the error names it and nothing
// changes.
func (r *Router) Change(settings threadglade.Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	r.serialize(nil, func([]byte) {
		if err := r.controller.Change(settings); err == nil { // settings were validated above
			r.settings = &settings
		}
	})
	return nil
}

// Settings returns the settings in force. It must not be called concurrently with other methods.
func (r *Router) Settings() threadglade.Settings { return *r.settings }

// serialize calls run with data at once if no step is being processed. Otherwise it queues run with a copy of data.
func (r *Router) serialize(data []byte, run func([]byte)) {
	r.mu.Lock()
	if r.busy {
		r.queue = append(r.queue, step{run, bytes.Clone(data)})
		r.mu.Unlock()
		return
	}
	r.busy = true
	r.mu.Unlock()
	r.stepTime = 0
	run(data)
	r.mu.Lock()
	for len(r.queue) > 0 {
		next := r.queue[0]
		r.queue[0] = step{}
		r.queue = r.queue[1:]
		r.mu.Unlock()
		r.stepTime = 0
		next.run(next.data)
		r.mu.Lock()
	}
	r.busy = false
	r.snapshot = r.counters
	r.snapshot.Calls = len(r.calls)
	r.snapshot.Known = len(r.endedCalls)
	r.snapshot.Servers = len(r.servers)
	r.snapshot.Timers = len(r.timers)
	r.snapshot.ReleasesWaiting = len(r.unknown.waiting)
	r.mu.Unlock()
}

// ---- events from fronts ----

// Arrive accepts a request from a front. A request whose ID is already known fails with DuplicateID and changes
// nothing else. An ID whose request the caller gave up unanswered may be used again, unless a server may have processed
// it and its class must not be repeated.
func (r *Router) Arrive(front Front, req Request) {
	req.Description = bytes.Clone(req.Description)
	r.serialize(nil, func([]byte) {
		if r.isUsed(req.ID) {
			r.counters.Repeated++
			front.Failed(req.ID, DuplicateID)
			return
		}
		now := r.cfg.Clock()
		call := &callState{Request: req, settings: r.settings, front: front}
		r.calls[req.ID] = call
		r.counters.Requests++
		if r.cfg.OnIDUsed != nil {
			r.cfg.OnIDUsed(req.ID)
		}
		r.openRequests.Add(1)
		r.observeArrival(call)
		if r.cfg.Admit != nil {
			if reason, retryAfter := r.cfg.Admit(req); reason != threadglade.NoReason {
				r.refuse(call, retryAfter, reason)
				return
			}
		}
		r.addTimer(timer{at: req.Deadline + overdueDelay, kind: timerOverdue, call: call})
		r.notifyController(threadglade.Arrival{Call: req.ID, Class: req.Class, Tenant: req.Tenant, Number: req.Number,
			TimeLeft: req.Deadline - now, Destination: req.Destination, Retry: req.Retry})
	})
}

// Cancel records that the caller has given the request up, so that no answer is sent. If front is not nil, only a
// request of that front is affected.
func (r *Router) Cancel(front Front, id string) {
	r.serialize(nil, func([]byte) {
		if call := r.calls[id]; call != nil && !call.settled && (front == nil || front == call.front) &&
			mutant != "deaf-to-leave" {
			r.counters.Left++
			call.callerLeft = true
			r.observeCall(CallerLeft, call)
			r.withdraw(call)
		}
	})
}

// Abandon fails a request as if its deadline had passed, because its front can't wait any longer for the answer.
func (r *Router) Abandon(front Front, id string) {
	r.serialize(nil, func([]byte) {
		if call := r.calls[id]; call != nil && !call.settled && call.front == front {
			r.observeDecision(Failed, call, call.attempt.Server, threadglade.OutOfTime, Event{Failure: DeadlineExceeded})
			r.counters.Failed++
			call.front.Failed(id, DeadlineExceeded)
			r.withdraw(call)
		}
	})
}

// Release records that the caller has released an established call. A call that this router never knew belongs to an
// earlier process of the router and is passed to Config.OnUnknownCallerRelease, once. Release returns false if there is
// no room for another one of those; the caller has to release the call again then. A release that waits for another
// step to end is always accepted.
func (r *Router) Release(id string) (accepted bool) {
	const undecided, refused, returned = 0, 1, 2
	var decision atomic.Int32
	refuse := func() bool { return decision.CompareAndSwap(undecided, refused) }
	r.serialize(nil, func([]byte) {
		call := r.calls[id]
		if call != nil && call.established {
			r.releaseEstablished(call)
			return
		}
		if _, known := r.endedCalls[id]; !known && call == nil && r.cfg.OnUnknownCallerRelease != nil {
			r.releaseUnknown(id, refuse)
		}
	})
	return decision.CompareAndSwap(undecided, returned)
}

// releaseEstablished releases an established call at its server.
func (r *Router) releaseEstablished(call *callState) {
	r.counters.CallerReleases++
	r.cfg.Trunk.Release(call.attempt, threadglade.Cancelled)
	if mutant == "release-twice" {
		r.cfg.Trunk.Release(call.attempt, threadglade.Cancelled)
	}
	r.endAttempt(call, threadglade.Cancelled, threadglade.CauseNone, false)
}

// ReleaseIfEstablished is Release for a release that another process of the router handles too: it has an effect only on
// a call that is established here.
func (r *Router) ReleaseIfEstablished(id string) {
	r.serialize(nil, func([]byte) {
		if call := r.calls[id]; call != nil && call.established {
			r.releaseEstablished(call)
		}
	})
}

// RelinquishEstablished removes all established calls, which another router takes over, and returns their IDs.
// Neither callers nor servers are notified. Pending set-ups continue.
func (r *Router) RelinquishEstablished() []string {
	return r.relinquish(func(c *callState) bool { return c.established })
}

// RelinquishCall removes an established call, which another process of this router takes over. It returns false if there
// is none of that ID. Neither the caller nor the server is notified.
func (r *Router) RelinquishCall(id string) (relinquished bool) {
	r.serialize(nil, func([]byte) {
		if call := r.calls[id]; call != nil && call.established {
			r.relinquishCall(call)
			relinquished = true
		}
	})
	return relinquished
}

// relinquishCall removes an established call. If its release arrives here, it is handled as one of an unknown call.
func (r *Router) relinquishCall(call *callState) {
	r.counters.Ceded++
	r.observeCall(Relinquished, call)
	r.endAttempt(call, threadglade.Cancelled, threadglade.CauseNone, false)
	delete(r.endedCalls, call.ID)
}

// EstablishedCall is where an established call came from.
type EstablishedCall struct {
	ID     string
	Caller netip.Addr
	Front  string
}

// EstablishedCalls returns the established calls. It must not be called concurrently with other methods.
func (r *Router) EstablishedCalls() (list []EstablishedCall) {
	for id, call := range r.calls {
		if call.established {
			list = append(list, EstablishedCall{id, call.Caller, call.Request.Front})
		}
	}
	return list
}

// RelinquishAll removes all calls, which another router takes over, and returns the IDs of the established ones.
// Requests without a final answer are refused, or failed where an attempt may have run and must not be repeated, and
// pending attempts given up. For established calls, neither callers
// nor servers are notified. The owner of the trunk has to make it drop its calls in the same step. RelinquishAll
// must not be called concurrently with other methods, nor from within them.
func (r *Router) RelinquishAll() []string { return r.relinquish(func(*callState) bool { return true }) }

// relinquish removes the calls for which selected returns true and returns the IDs of the established ones.
func (r *Router) relinquish(selected func(*callState) bool) (established []string) {
	r.serialize(nil, func([]byte) {
		for _, id := range slices.Sorted(maps.Keys(r.calls)) {
			call := r.calls[id]
			switch {
			case call == nil || !selected(call):
			case call.established:
				established = append(established, id)
				r.relinquishCall(call)
			case !call.settled:
				r.settle(call)
				r.answerTakenOver(call)
				r.notifyController(threadglade.CallerGone{Call: id})
				if call.pending {
					// The Controller has to be notified of the attempt's end, too. Otherwise a server that this
					// attempt put on probation would stay on probation.
					r.cfg.Trunk.GiveUp(call.attempt)
					r.endAttempt(call, threadglade.Cancelled, threadglade.CauseNone, false)
				}
			}
		}
	})
	return established
}

// answerTakenOver gives the final answer to a request that another router withdraws at its server. The caller may try again
// only if no attempt can have run, or if the class may be repeated freely.
func (r *Router) answerTakenOver(call *callState) {
	if !(call.pending || call.mayHaveRun) || call.repeat() == threadglade.RepeatFree {
		r.sendRefusal(call, 0, threadglade.TakenOver)
		return
	}
	r.counters.Failed++
	r.observeDecision(Failed, call, call.attempt.Server, threadglade.TakenOver, Event{Failure: GivenUp})
	call.front.Failed(call.ID, GivenUp)
	r.removeIfDone(call)
}

// Forget drops the record of an ended call whose release or answer could not be sent, so that a later release of it
// is processed as one of an unknown call.
func (r *Router) Forget(id string) { r.serialize(nil, func([]byte) { delete(r.endedCalls, id) }) }

// withdraw ends a request that gets no answer any more, and gives up its pending attempt.
func (r *Router) withdraw(call *callState) {
	r.settle(call)
	if mutant == "left-told" && call.callerLeft {
		call.front.Failed(call.ID, GivenUp)
	}
	r.notifyController(threadglade.CallerGone{Call: call.ID})
	if call.pending {
		if mutant != "left-out" {
			r.cfg.Trunk.GiveUp(call.attempt)
		}
		r.endAttempt(call, threadglade.Cancelled, threadglade.CauseNone, false)
	}
	r.removeIfDone(call)
}

// failOverdue fails a request that the Controller has not answered. It is the backstop of the rule that each request
// gets its final answer in time.
func (r *Router) failOverdue(call *callState) {
	if call.settled {
		return
	}
	r.counters.Overdue++
	r.cfg.Log.Error().Str("event", "request_overdue").Str("call", call.ID).
		Msgf("request %s failed: the controller did not answer it by its deadline", call.ID)
	r.observeDecision(Failed, call, call.attempt.Server, threadglade.OutOfTime, Event{Failure: DeadlineExceeded})
	call.front.Failed(call.ID, DeadlineExceeded)
	r.withdraw(call)
}

// ---- events from trunks and the server list ----

// UpdateServers processes the server list or a change of it.
func (r *Router) UpdateServers(list threadglade.ServerList) {
	r.serialize(nil, func([]byte) {
		now, named := r.cfg.Clock(), map[string]bool{}
		for i := range list.Servers {
			if mutant == "deaf-to-drain" && list.Servers[i].State == threadglade.Draining {
				list.Servers[i].State = threadglade.Up
			}
		}
		for _, listed := range list.Servers {
			named[listed.ID] = true
			r.setServerState(listed.ID, listed.State, now)
		}
		for id := range r.servers {
			if !list.Delta && !list.Failed && !named[id] {
				r.setServerState(id, threadglade.Removed, now)
			}
		}
		for id, server := range r.servers {
			if server.state == threadglade.Removed && now-server.since > endedCallTTL {
				delete(r.servers, id)
			}
		}
		r.counters.Lists++
		r.notifyController(list)
	})
}

// ReportLoad processes a server's load report: the wait at its processor and the set-ups per second that it can
// accept from all senders. It is only passed to the observer.
func (r *Router) ReportLoad(server string, latency time.Duration, rate float64) {
	if r.cfg.Observer != nil {
		r.serialize(nil, func([]byte) { r.emit(Event{Kind: LoadReported, Server: server, Latency: latency, Rate: rate}) })
	}
}

// setServerState records the listed state of a server.
func (r *Router) setServerState(id string, state threadglade.ServerState, now time.Duration) {
	server := r.servers[id]
	if server == nil {
		server = &serverState{since: now}
		r.servers[id] = server
	}
	// The grace period of a server that goes from draining to removed runs from the first of the two.
	if server.state == threadglade.Up || state == threadglade.Up {
		server.since = now
	}
	if server.state = state; r.cfg.Observer != nil {
		r.emit(Event{Kind: Listed, Server: id, State: state})
	}
}

// SetColdFraction sets this router's share of the rate that all routers together may send to a server that has just
// started.
func (r *Router) SetColdFraction(part threadglade.ColdFraction) {
	r.serialize(nil, func([]byte) { r.notifyController(part) })
}

// UpdateRetryBudget replaces the number of retry attempts that this router's calls may make by what grant returns
// for the number left.
func (r *Router) UpdateRetryBudget(grant func(left int) threadglade.RetryBudget) {
	r.serialize(nil, func([]byte) {
		previous := r.controller.RetryBudget()
		if budget := grant(previous.Remaining); budget != previous {
			r.notifyController(budget)
		}
	})
}

// AvoidanceEvidence is what the avoidance of a server is based on. It is only passed to the observer.
type AvoidanceEvidence struct {
	Verdict        string        // verdict on the server
	Sources        string        // routers that supplied the evidence
	Age            time.Duration // of the evidence
	MissingAnswers int           // routers that miss answers of the server
	Routers        int           // routers that were considered
}

// Avoid sets until when a server is to be avoided because of what all routers together know about it.
func (r *Router) Avoid(avoid threadglade.Avoidance, evidence AvoidanceEvidence) {
	r.serialize(nil, func([]byte) {
		r.notifyController(avoid)
		if r.cfg.Observer != nil {
			r.emit(Event{
				Kind:       Avoided,
				Server:     avoid.Server,
				Class:      evidence.Verdict,
				Front:      evidence.Sources,
				Latency:    evidence.Age,
				RetryAfter: max(avoid.Until-r.cfg.Clock(), 0),
				Free:       evidence.MissingAnswers,
				Total:      evidence.Routers,
			})
		}
	})
}

// ReportAgents processes a server's report of its free agents.
func (r *Router) ReportAgents(agents threadglade.Agents) {
	r.serialize(nil, func([]byte) {
		if r.cfg.Observer != nil {
			r.emit(Event{Kind: AgentsReported, Server: agents.Server, Free: agents.Free, Total: agents.Total})
		}
		r.notifyController(agents)
	})
}

// Answered records that a server has answered an attempt: the call is established.
func (r *Router) Answered(id string, index int, description []byte) {
	r.serialize(description, func(answer []byte) {
		call := r.calls[id]
		if mutant == "second-answer" && call != nil && call.established {
			call.front.Established(id, answer)
		}
		if call == nil || !call.pending || call.attempt.Index != index {
			return
		}
		call.pending, call.established = false, true
		r.settle(call)
		call.Description, call.attempt.Description = nil, nil
		r.counters.Stood++
		r.observeCall(Established, call)
		call.front.Established(id, answer)
		r.notifyController(threadglade.Established{Call: id, Attempt: index, Server: call.attempt.Server,
			Latency: r.cfg.Clock() - call.sentAt})
	})
}

// Ended records that an attempt has ended, answered or not.
func (r *Router) Ended(id string, index int, outcome threadglade.Outcome, cause threadglade.Cause) {
	r.serialize(nil, func([]byte) {
		if call := r.calls[id]; call != nil && (call.pending || call.established) &&
			(call.attempt.Index == index || mutant == "any-end") {
			r.endAttempt(call, outcome, cause, true)
		}
	})
}

// UnmatchedRelease records that a server released a call that is not established there as far as the trunk knows.
// If the request is still unanswered, the server's answer was lost or malformed: the call was established there
// and has ended, so the request fails rather than being sent again. A call that was never known belongs to another
// process of the router and is passed to Config.OnUnknownServerRelease. UnmatchedRelease returns false if that one
// doesn't accept it; the release must not be acknowledged then. A release that waits for another step to end is always
// accepted, and is handled by this router alone if it is not.
func (r *Router) UnmatchedRelease(server, id string, outcome threadglade.Outcome) (accepted bool) {
	accepted = true
	r.serialize(nil, func([]byte) {
		if r.releaseIfKnown(id, outcome) || r.cfg.OnUnknownServerRelease == nil {
			return
		}
		if !r.cfg.OnUnknownServerRelease(server, id, outcome) {
			accepted = false
			return
		}
		r.counters.Orphans++
		r.rememberEnded(id, false)
		r.observeRelease(UnknownServerRelease, id, outcome)
	})
	return accepted
}

// ReleaseIfKnown is UnmatchedRelease for a release that another process of the router has received. A call that was
// never known is left to that process. It calls decided with whether the call is or was known.
func (r *Router) ReleaseIfKnown(id string, outcome threadglade.Outcome, decided func(known bool)) {
	r.serialize(nil, func([]byte) { decided(r.releaseIfKnown(id, outcome)) })
}

// releaseIfKnown handles a server's release of a call that is not established there as far as the trunk knows. It
// returns false if the call was never known.
func (r *Router) releaseIfKnown(id string, outcome threadglade.Outcome) bool {
	call := r.calls[id]
	if call == nil {
		_, known := r.endedCalls[id]
		return known
	}
	if !call.settled {
		r.counters.Ghosts++
		r.observeEnd(OrphanedCall, call, outcome, threadglade.CauseNone)
		r.observeDecision(Failed, call, call.attempt.Server, threadglade.Overtaken, Event{Failure: GivenUp})
		call.front.Failed(id, GivenUp)
		r.withdraw(call)
	}
	return true
}

// endAttempt ends the current attempt, pending or established. The request itself ends with it if it already had its
// final answer, as that of an established call had. The simulator does the same.
func (r *Router) endAttempt(call *callState, outcome threadglade.Outcome, cause threadglade.Cause, notifyFront bool) {
	now := r.cfg.Clock()
	if outcome == threadglade.TimedOut || outcome == threadglade.Cut || outcome == threadglade.Cancelled {
		call.retryNotBefore = now + call.settings.Rules.ReleaseWait
	}
	r.counters.Ends[outcome]++
	call.mayHaveRun = call.mayHaveRun || outcome.MayHaveRun()
	if call.established {
		r.observeEnd(Ended, call, outcome, cause)
	} else {
		r.observeEnd(AttemptEnded, call, outcome, cause)
	}
	if call.established && notifyFront && mutant != "lost-release" {
		call.front.Released(call.ID, outcome)
		if mutant == "told-twice" {
			call.front.Released(call.ID, outcome)
		}
	}
	call.pending, call.established = false, false
	r.notifyController(threadglade.Ended{Call: call.ID, Attempt: call.attempt.Index, Server: call.attempt.Server,
		Outcome: outcome, Cause: cause, Elapsed: now - call.sentAt, Final: call.settled})
	r.removeIfDone(call)
}

// removeIfDone removes a request from the table once it has its final answer and no attempt is pending or
// established.
func (r *Router) removeIfDone(call *callState) {
	if call.settled && !call.pending && !call.established && r.calls[call.ID] == call && mutant != "table-leak" {
		delete(r.calls, call.ID)
		if r.observeCall(Closed, call); call.slot > 0 {
			r.freeSlots = append(r.freeSlots, call.slot)
		}
		call.Description, call.attempt.Description = nil, nil // timers may reference the call for a while
		reusable := call.callerLeft && !(call.mayHaveRun && call.repeat() != threadglade.RepeatFree)
		r.rememberEnded(call.ID, reusable)
		if reusable && r.cfg.OnIDReusable != nil {
			r.cfg.OnIDReusable(call.ID)
		}
	}
}

// repeat returns the rule of the call's class for repeated set-ups.
func (c *callState) repeat() threadglade.Repeat {
	for i := range c.settings.Classes {
		if c.settings.Classes[i].Name == c.Class {
			return c.settings.Classes[i].Repeat
		}
	}
	return threadglade.RepeatNever
}

// rememberEnded records that a call has ended, for endedCallTTL.
func (r *Router) rememberEnded(id string, reusable bool) {
	now := r.cfg.Clock()
	r.endedCalls[id] = endedCall{now, reusable}
	r.endedOrder = append(r.endedOrder, endedEntry{id, now})
	if len(r.endedOrder) > maxEndedCalls {
		r.expireEnded()
	}
	if !r.expiryScheduled {
		r.expiryScheduled = true
		r.addTimer(timer{at: now + endedCallTTL, kind: timerExpiry})
	}
}

// runExpiry expires ended calls and sets the next timerExpiry while any are left.
func (r *Router) runExpiry() {
	r.expireEnded()
	if r.expiryScheduled = len(r.endedOrder) > 0; r.expiryScheduled {
		r.addTimer(timer{at: max(r.endedOrder[0].at+endedCallTTL, r.cfg.Clock()+time.Second), kind: timerExpiry})
	} else {
		r.endedOrder = nil
	}
}

// expireEnded forgets ended calls that are older than endedCallTTL or exceed maxEndedCalls.
func (r *Router) expireEnded() {
	now := r.cfg.Clock()
	for len(r.endedOrder) > 0 && (now-r.endedOrder[0].at >= endedCallTTL || len(r.endedOrder) > maxEndedCalls) {
		if oldest := r.endedOrder[0]; r.endedCalls[oldest.id].at == oldest.at {
			delete(r.endedCalls, oldest.id)
		}
		r.endedOrder = r.endedOrder[1:]
	}
}

// ---- actions of the Controller ----

// notifyController passes an event to the Controller and carries out the actions it returns.
func (r *Router) notifyController(event threadglade.Event) {
	if r.cfg.Observer != nil {
		defer r.observeHeld(event)
	}
	for _, action := range r.callController(event) {
		switch action := action.(type) {
		case threadglade.Send:
			r.startAttempt(action)
		case threadglade.Refuse:
			if call := r.claimFinalAnswer(action.Call); call != nil {
				r.sendRefusal(call, action.RetryAfter, action.Why)
			}
		case threadglade.Fail:
			if call := r.claimFinalAnswer(action.Call); call != nil {
				r.counters.Failed++
				failure := GivenUp
				if r.cfg.Clock()+call.settings.Rules.ReleaseWait >= call.Deadline {
					failure = DeadlineExceeded
				}
				r.observeDecision(Failed, call, call.attempt.Server, action.Why, Event{Failure: failure})
				if mutant == "told-refused" {
					call.front.Refused(call.ID, 0)
				} else {
					call.front.Failed(call.ID, failure)
				}
				r.removeIfDone(call)
			}
		case threadglade.GiveUp:
			r.serialize(nil, func([]byte) {
				if call := r.calls[action.Call]; call != nil && call.pending && call.attempt.Index == action.Attempt {
					r.observeDecision(Withdrawn, call, call.attempt.Server, action.Why, Event{})
					r.cfg.Trunk.GiveUp(call.attempt)
					r.endAttempt(call, threadglade.Cancelled, threadglade.CauseNone, false)
				}
			})
		case threadglade.SetTimer:
			if mutant != "lost-timer" {
				r.addTimer(timer{at: action.At, kind: timerController, number: action.Token})
			}
		case threadglade.Subscribe:
			// Nothing to do: the owner of the server list calls UpdateServers for every change.
		}
	}
}

// callController passes an event to the Controller. It recovers from a panic there, so that the process continues to
// run. Requests that remain unanswered because of the panic are failed by failOverdue.
func (r *Router) callController(event threadglade.Event) (actions []threadglade.Action) {
	defer func() {
		if fault := recover(); fault != nil {
			r.counters.Faults++
			r.cfg.Log.Error().Str("event", "controller_failed").Msgf("controller panicked on %T: %v", event, fault)
		}
	}()
	if _, isEnded := event.(threadglade.Ended); isEnded && mutant == "panic" {
		panic(mutant)
	}
	return r.controller.Handle(r.cfg.Clock(), event)
}

// claimFinalAnswer marks a request as answered and gives up its pending attempt. It returns nil if the request is
// unknown or was answered before.
func (r *Router) claimFinalAnswer(id string) *callState {
	call := r.calls[id]
	if call == nil || call.settled {
		return nil
	}
	if call.pending {
		r.cfg.Trunk.GiveUp(call.attempt)
		call.pending = false
		r.observeEnd(AttemptEnded, call, threadglade.Cancelled, threadglade.CauseNone)
	}
	r.settle(call)
	return call
}

// refuse refuses a request that was not passed to the Controller.
func (r *Router) refuse(call *callState, retryAfter time.Duration, reason threadglade.Reason) {
	r.settle(call)
	if !call.settings.Limits.RetryAfter {
		retryAfter = 0
	}
	r.sendRefusal(call, min(retryAfter, call.settings.Limits.MaxRetryAfter), reason)
}

// sendRefusal refuses a request that was marked as answered.
func (r *Router) sendRefusal(call *callState, retryAfter time.Duration, reason threadglade.Reason) {
	r.counters.Refused++
	r.observeDecision(Refused, call, call.attempt.Server, reason, Event{RetryAfter: retryAfter})
	call.front.Refused(call.ID, retryAfter)
	r.removeIfDone(call)
}

// settle records that the request gets no further answer.
func (r *Router) settle(call *callState) {
	call.settled = true
	if mutant != "miscount" {
		r.openRequests.Add(-1)
	}
}

// startAttempt sends an attempt unless that would break a rule.
func (r *Router) startAttempt(action threadglade.Send) {
	call := r.calls[action.Call]
	if call == nil || call.settled || call.pending {
		r.counters.Stopped++
		r.cfg.Log.Error().Str("event", "send_stopped").Str("call", action.Call).Str("server", action.Server).
			Msgf("send of %s to %s stopped: the request has ended or an attempt is pending", action.Call, action.Server)
		return
	}
	now := r.cfg.Clock()
	deadline := call.Deadline
	if action.Timeout != 0 {
		deadline = min(deadline, now+action.Timeout)
	}
	call.attempt = Attempt{ID: call.ID, Index: call.attempts, Server: action.Server, Class: call.Class,
		Number: call.Number, Description: call.Description, Deadline: deadline}
	call.sentAt, call.pending = now, true
	call.attempts++
	if violation := r.sendViolation(call, action.Server, now); violation != "" {
		r.counters.Stopped++
		r.cfg.Log.Error().Str("event", "send_stopped").Str("call", action.Call).Str("server", action.Server).
			Msgf("send of %s to %s stopped: %s", action.Call, action.Server, violation)
		index := call.attempt.Index
		r.serialize(nil, func([]byte) {
			if call.pending && call.attempt.Index == index {
				r.endAttempt(call, threadglade.NotSent, threadglade.CauseNone, false)
			}
		})
		return
	}
	r.counters.Attempts++
	r.observeDecision(Sent, call, call.attempt.Server, action.Why, Event{})
	r.addTimer(timer{at: deadline, kind: timerAttempt, call: call, number: int64(call.attempt.Index)})
	if mutant == "wrong-server" {
		call.attempt.Server = "s1"
	}
	r.cfg.Trunk.Send(call.attempt)
	if mutant == "send-twice" {
		r.cfg.Trunk.Send(call.attempt)
	}
}

// sendViolation returns why the call's current attempt must not be sent to a server, or "" if it may be. The attempt
// has already been counted.
func (r *Router) sendViolation(call *callState, serverID string, now time.Duration) string {
	server := r.servers[serverID]
	switch {
	case server == nil:
		return "the server is not in the server list"
	case server.state != threadglade.Up && now-server.since > r.settings.Rules.DrainGrace-drainGraceMargin:
		return "the server is draining or removed"
	case call.attempts > call.settings.Limits.MaxAttempts:
		return "the maximum number of attempts is reached"
	case now < call.retryNotBefore:
		return "the previous attempt may still occupy resources"
	case now >= call.Deadline:
		return "the deadline of the request has passed"
	}
	return ""
}

// OpenRequests returns the number of requests without a final answer. It is current also when called from within
// a step, as by a timer's callback.
func (r *Router) OpenRequests() int { return int(r.openRequests.Load()) }

// ---- timers ----

// timer is an operation that is due at a time. It holds plain values that Clone can copy, except for the callback
// of a timerExternal.
type timer struct {
	at       time.Duration
	order    uint64 // in which timers were set, for timers due at the same time
	kind     timerKind
	call     *callState
	number   int64  // the Controller's token, or the attempt's index
	callback func() // of timerExternal
}

// timerKind is what a timer does when it fires.
type timerKind uint8

const (
	timerExternal       timerKind = iota // calls the callback given to Schedule
	timerOverdue                         // fails a request that the Controller did not answer in time
	timerAttempt                         // times out an attempt
	timerController                      // passes a Due to the Controller
	timerExpiry                          // expires the records of ended calls
	timerUnknownRelease                  // passes on waiting releases of unknown calls
)

// fire carries out what a timer was set for.
func (r *Router) fire(t *timer) {
	switch t.kind {
	case timerExternal:
		t.callback()
	case timerOverdue:
		r.failOverdue(t.call)
	case timerAttempt:
		if call := t.call; call.pending && call.attempt.Index == int(t.number) {
			if mutant != "no-give-up" {
				r.cfg.Trunk.GiveUp(call.attempt)
			}
			if mutant == "give-up-twice" {
				r.cfg.Trunk.GiveUp(call.attempt)
			}
			r.endAttempt(call, threadglade.TimedOut, threadglade.CauseNone, false)
		}
	case timerController:
		r.notifyController(threadglade.Due{Token: t.number})
	case timerExpiry:
		r.runExpiry()
	case timerUnknownRelease:
		r.passOnWaiting()
	}
}

// timers is a heap.Interface with the timer that is due first at index 0.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

// Schedule makes Tick call callback at the given time on the router's clock, or soon after.
func (r *Router) Schedule(at time.Duration, callback func()) {
	r.addTimer(timer{at: at, callback: callback})
}

// addTimer sets a timer and calls Config.Wake if it is due before all others.
func (r *Router) addTimer(t timer) {
	if mutant == "silent-overdue" && (t.kind == timerOverdue || t.kind == timerAttempt) {
		return
	}
	r.mu.Lock()
	r.timerOrder++
	t.order = r.timerOrder
	first := len(r.timers) == 0 || t.at < r.timers[0].at
	heap.Push(&r.timers, t)
	r.mu.Unlock()
	if first && r.cfg.Wake != nil {
		r.cfg.Wake()
	}
}

// Next returns when the first timer is due, on the router's clock; false if none is set.
func (r *Router) Next() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.timers) == 0 {
		return 0, false
	}
	return r.timers[0].at, true
}

// Tick fires the timers that are due and returns how long it is until the next one; an hour if none is set.
func (r *Router) Tick() time.Duration {
	for {
		now := r.cfg.Clock()
		r.mu.Lock()
		if len(r.timers) == 0 {
			r.mu.Unlock()
			return time.Hour
		}
		if wait := r.timers[0].at - now; wait > 0 {
			r.mu.Unlock()
			return wait
		}
		due := heap.Pop(&r.timers).(timer)
		r.mu.Unlock()
		r.serialize(nil, func([]byte) { r.fire(&due) })
	}
}

// ---- counters ----

// Counters holds the numbers of requests, attempts, answers and other events since the router's start, and the
// current sizes of its tables.
type Counters struct {
	Requests, Repeated, Left, Stood, Refused, Failed, Overdue uint64
	Attempts, Stopped, CallerReleases, Orphans, Ghosts        uint64
	Lists, Faults, Ceded                                      uint64
	ReleasesRefused                                           uint64    // callers' releases that were not accepted
	Ends                                                      [8]uint64 // ended attempts by outcome
	Calls, Known, Servers, Timers                             int       // current table sizes
	ReleasesWaiting                                           int       // callers' releases that are still to be passed on
}

// Counters returns the counters as of the last completed step.
func (r *Router) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

// String formats the counters as space-separated key=value pairs.
func (c Counters) String() string {
	return fmt.Sprintf("requests=%d repeated=%d left=%d stood=%d refused=%d failed=%d overdue=%d "+
		"attempts=%d stopped=%d "+
		"concluded=%d faulted=%d rejected=%d timed_out=%d unreachable=%d cut=%d cancelled=%d not_sent=%d "+
		"caller_releases=%d orphans=%d ghosts=%d lists=%d faults=%d ceded=%d releases_refused=%d calls=%d known=%d "+
		"servers=%d timers=%d releases_waiting=%d",
		c.Requests, c.Repeated, c.Left, c.Stood, c.Refused, c.Failed, c.Overdue, c.Attempts, c.Stopped,
		c.Ends[0], c.Ends[1], c.Ends[2], c.Ends[3], c.Ends[4], c.Ends[5], c.Ends[6], c.Ends[7],
		c.CallerReleases, c.Orphans, c.Ghosts, c.Lists, c.Faults, c.Ceded, c.ReleasesRefused,
		c.Calls, c.Known, c.Servers, c.Timers, c.ReleasesWaiting)
}

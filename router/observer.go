package router

import (
	"net/netip"
	"time"

	"threadglade.example/threadglade"
)

// This file holds the events that a Router passes to an Observer. It must never decide anything, and costs nothing
// while no observer is set.

// Observer receives the events of requests, attempts, server lists and server reports.
type Observer interface {
	// Observe receives an event. It is called on the goroutine that processes the step, in order. It must return
	// at once: it must not take a lock that another goroutine holds for long, open a file, or call the router.
	// Strings in the event are immutable and may be kept.
	Observe(Event)
}

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events. For one request they come in this order: Arrived; any number of Held, and of Sent, each
// with one AttemptEnded unless the attempt is answered; one of Established, Refused, Failed and CallerLeft; after
// Established one Ended; last Closed.
const (
	Arrived              Kind = iota + 1 // a request was accepted for processing
	Sent                                 // an attempt is about to be sent to Server
	AttemptEnded                         // an attempt has ended unanswered, with Outcome and Cause
	Established                          // Server has answered: the call is established
	Refused                              // the final answer is a refusal, with RetryAfter
	Failed                               // the final answer is a failure, for the reason Failure
	CallerLeft                           // the caller has given the request up
	OrphanedCall                         // a server released a call whose answer was lost; Failed follows
	Ended                                // an established call has ended, with Outcome
	Closed                               // no more events of this request follow
	UnknownServerRelease                 // a server released a call that this router never knew
	UnknownCallerRelease                 // a caller released a call that this router never knew
	Listed                               // Server is listed in State
	AgentsReported                       // Server has Free of Total agents
	Held                                 // a request waits because of Reason; Server is its first choice
	Withdrawn                            // the attempt at Server is given up because of Reason; AttemptEnded follows
	LoadReported                         // Server reports its processor's wait and the rate it can accept
	Avoided                              // Server is avoided because of what all routers know about it
	Relinquished                         // an established call passed to another router; the Ended that follows isn't its end
)

// Event is an event of a Router. Fields that its Kind doesn't use are zero.
type Event struct {
	Kind    Kind
	At      time.Duration // on the router's clock
	Call    string
	Slot    uint32 // small number, unique among open requests; reused after Closed, the latest freed one first
	Server  string
	Attempt int // of the request's attempts, from 0

	// Fields of Arrived.
	Class, Tenant, Number, Identity, Front string
	Caller                                 netip.Addr
	Deadline                               time.Duration
	Destination                            int
	Retry                                  bool

	Outcome    threadglade.Outcome
	Cause      threadglade.Cause
	Failure    Failure
	RetryAfter time.Duration
	State      threadglade.ServerState
	Free       int
	Total      int

	// Fields of Sent, Held, Refused, Failed and Withdrawn: the reason, and what the Controller knew about Server,
	// or about the first choice of a request that was never sent.
	Reason threadglade.Reason
	View   threadglade.View

	// Fields of LoadReported. Avoided uses Latency for the age of the evidence, Class for the verdict on the
	// server, Front for the routers that supplied the evidence, RetryAfter for how long the server is avoided,
	// counted from At, Free for the number of routers that miss its answers, and Total for the number of routers
	// that were considered.
	Latency time.Duration // wait at the server's processor
	Rate    float64       // set-ups per second that it can accept from all senders
}

// emit passes an event to the observer, which must be set.
func (r *Router) emit(event Event) {
	if r.stepTime == 0 { // all events of one step have the same time
		r.stepTime = r.cfg.Clock()
	}
	event.At = r.stepTime
	r.cfg.Observer.Observe(event)
}

// takeSlot assigns a slot to a request.
func (r *Router) takeSlot(call *callState) {
	if n := len(r.freeSlots); n > 0 {
		call.slot, r.freeSlots = r.freeSlots[n-1], r.freeSlots[:n-1]
		return
	}
	r.highestSlot++
	call.slot = r.highestSlot
}

// observeCall emits an event of a request.
func (r *Router) observeCall(kind Kind, call *callState) {
	if r.cfg.Observer != nil {
		r.emit(Event{Kind: kind, Call: call.ID, Slot: call.slot, Server: call.attempt.Server,
			Attempt: call.attempt.Index})
	}
}

// observeDecision fills in event with a decision on a request and emits it. An empty server means the request's first
// choice.
func (r *Router) observeDecision(kind Kind, call *callState, server string, reason threadglade.Reason, event Event) {
	if r.cfg.Observer == nil {
		return
	}
	if server == "" {
		server = r.controller.FirstChoiceServer(call.Destination)
	}
	event.Kind = kind
	event.Call = call.ID
	event.Slot = call.slot
	event.Server = server
	event.Attempt = call.attempt.Index
	event.Reason = reason
	event.View, _ = r.controller.View(server)
	r.emit(event)
}

// observeHeld emits Held if the request that an event concerns is waiting after the event.
func (r *Router) observeHeld(event threadglade.Event) {
	id := ""
	switch e := event.(type) {
	case threadglade.Arrival:
		id = e.Call
	case threadglade.Ended:
		id = e.Call
	}
	if call := r.calls[id]; call != nil && !call.settled && !call.pending && !call.established {
		if server, reason, waits := r.controller.BlockReason(id); waits {
			r.observeDecision(Held, call, server, reason, Event{})
		}
	}
}

// observeEnd emits the end of an attempt, answered or not.
func (r *Router) observeEnd(kind Kind, call *callState, outcome threadglade.Outcome, cause threadglade.Cause) {
	if r.cfg.Observer != nil {
		r.emit(Event{Kind: kind, Call: call.ID, Slot: call.slot, Server: call.attempt.Server,
			Attempt: call.attempt.Index, Outcome: outcome, Cause: cause})
	}
}

// observeArrival assigns a slot to a request and emits its arrival.
func (r *Router) observeArrival(call *callState) {
	if r.cfg.Observer != nil {
		r.takeSlot(call)
		r.emit(Event{Kind: Arrived, Call: call.ID, Slot: call.slot, Class: call.Class, Tenant: call.Tenant,
			Number: call.Number, Identity: call.Identity, Front: call.Front, Caller: call.Caller,
			Deadline: call.Deadline, Destination: call.Destination, Retry: call.Retry})
	}
}

// observeRelease emits the release of a call that this router never knew.
func (r *Router) observeRelease(kind Kind, id string, outcome threadglade.Outcome) {
	if r.cfg.Observer != nil {
		r.emit(Event{Kind: kind, Call: id, Outcome: outcome})
	}
}

package router

import (
	"net/netip"
	"time"

	"threadglade.example/threadglade"
)

// This file owns what a Router tells an Observer. It must never decide anything, and costs nothing while no
// observer is set.

// Observer hears, on the router's own goroutine and in order, what happens to requests, attempts, lists and
// reports. Observe returns at once: it takes no lock that another goroutine holds for long, opens no file, and does
// not call the router. Strings in the event are the router's own and may be kept.
type Observer interface {
	Observe(Event)
}

// Kind says what an Event tells.
type Kind uint8

// Kinds of events. Of one request come, in this order: Arrived; any number of Sent, each with one AttemptEnded unless it
// is answered; one of Stood, Refused, Failed and Left; after Stood one Ended; last Over.
const (
	Arrived       Kind = iota + 1 // a request was taken
	Sent                          // an attempt is about to be written to Server
	AttemptEnded                  // an attempt has ended unanswered, as Outcome and Cause say
	Stood                         // Server has answered: the call stands
	Refused                       // the final answer is a refusal, with RetryAfter
	Failed                        // the final answer is a failure, for Why
	Left                          // the caller has given the request up
	Ghost                         // a server released a call whose answer never came: it has stood there; Failed follows
	Ended                         // a standing call has come to its end, as Outcome says
	Over                          // nothing more comes of this request
	OrphanRelease                 // a server released a call that this router never knew
	StrayRelease                  // a caller released a call that this router never knew
	Listed                        // Server is listed in State
	Reported                      // Server has Free of Total agents
)

// Event is one thing that happened. Fields that Kind does not need are zero.
type Event struct {
	Kind    Kind
	At      time.Duration // on the router's clock
	Call    string
	Server  string
	Attempt int // from 0

	// Of Arrived.
	Class, Tenant, Number, Identity, Front string
	Caller                                 netip.Addr
	Deadline                               time.Duration
	Destination                            int
	Retry                                  bool

	Outcome    threadglade.Outcome
	Cause      threadglade.Cause
	Why        Failure
	RetryAfter time.Duration
	State      threadglade.ServerState
	Free       int
	Total      int
}

// tellObserver hands an event on; the caller has made sure that there is an observer.
func (r *Router) tellObserver(e Event) {
	e.At = r.cfg.Clock()
	r.cfg.Observer.Observe(e)
}

// observe tells of one request.
func (r *Router) observe(kind Kind, c *call) {
	if r.cfg.Observer != nil {
		r.tellObserver(Event{Kind: kind, Call: c.ID, Server: c.attempt.Server, Attempt: c.attempt.Index})
	}
}

// observeEnd tells of the end of an attempt, answered or not.
func (r *Router) observeEnd(kind Kind, c *call, how threadglade.Outcome, cause threadglade.Cause) {
	if r.cfg.Observer != nil {
		r.tellObserver(Event{Kind: kind, Call: c.ID, Server: c.attempt.Server, Attempt: c.attempt.Index, Outcome: how, Cause: cause})
	}
}

func (r *Router) observeArrival(c *call) {
	if r.cfg.Observer != nil {
		r.tellObserver(Event{Kind: Arrived, Call: c.ID, Class: c.Class, Tenant: c.Tenant, Number: c.Number, Identity: c.Identity,
			Front: c.Front, Caller: c.Caller, Deadline: c.Deadline, Destination: c.Destination, Retry: c.Retry})
	}
}

func (r *Router) observeRelease(kind Kind, id string, how threadglade.Outcome) {
	if r.cfg.Observer != nil {
		r.tellObserver(Event{Kind: kind, Call: id, Outcome: how})
	}
}

func (r *Router) observeFailure(c *call, why Failure) {
	if r.cfg.Observer != nil {
		r.tellObserver(Event{Kind: Failed, Call: c.ID, Why: why})
	}
}

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

// Kinds of events. Of one request come, in this order: Arrived; any number of Held, and of Sent, each with one AttemptEnded
// unless it is answered; one of Stood, Refused, Failed and Left; after Stood one Ended; last Over.
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
	Held                          // a request waits, for Reason; Server is its first choice
	Withdrawn                     // the attempt at Server is given up, for Reason; AttemptEnded follows
	Loaded                        // Server reports its wait and how much it can take
	Cared                         // Server is left alone for what all routers know of it
	Ceded                         // a standing call is another router's now; what follows of it here is no end of it
)

// Event is one thing that happened. Fields that Kind does not need are zero.
type Event struct {
	Kind    Kind
	At      time.Duration // on the router's clock
	Call    string
	Slot    uint32 // of a request, until Over: a small number that no other open one has; freed ones serve again, latest first
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

	// Of Sent, Held, Refused, Failed and Withdrawn: why, and what the Controller knew of Server; for a request that was
	// never sent, of its first choice.
	Reason threadglade.Reason
	View   threadglade.View

	// Of Loaded; of Cared the age of what is known, with Class what the server is found to be, Front whose word it is, RetryAfter for how long from At, and Free of Total routers that miss
	// its answers.
	Latency time.Duration // wait at the server's processor
	Rate    float64       // set-ups a second that it can take from all senders
}

// tellObserver hands an event on; the caller has made sure that there is an observer.
func (r *Router) tellObserver(e Event) {
	if r.stamp == 0 { // what one step brings about has one time
		r.stamp = r.cfg.Clock()
	}
	e.At = r.stamp
	r.cfg.Observer.Observe(e)
}

// takeSlot gives a request its slot.
func (r *Router) takeSlot(c *call) {
	if n := len(r.slots); n > 0 {
		c.slot, r.slots = r.slots[n-1], r.slots[:n-1]
		return
	}
	r.slot++
	c.slot = r.slot
}

// observe tells of one request.
func (r *Router) observe(kind Kind, c *call) {
	if r.cfg.Observer != nil {
		r.tellObserver(Event{Kind: kind, Call: c.ID, Slot: c.slot, Server: c.attempt.Server, Attempt: c.attempt.Index})
	}
}

// observeDecision tells what was decided of a request and why; server empty means its first choice.
func (r *Router) observeDecision(kind Kind, c *call, server string, why threadglade.Reason, more Event) {
	if r.cfg.Observer == nil {
		return
	}
	if server == "" {
		server = r.control.Choice(c.Destination)
	}
	more.Kind, more.Call, more.Slot, more.Server, more.Attempt, more.Reason = kind, c.ID, c.slot, server, c.attempt.Index, why
	more.View, _ = r.control.View(server)
	r.tellObserver(more)
}

// observeWait tells whether a request waits after an event.
func (r *Router) observeWait(event threadglade.Event) {
	id := ""
	switch e := event.(type) {
	case threadglade.Arrival:
		id = e.Call
	case threadglade.Ended:
		id = e.Call
	}
	if c := r.calls[id]; c != nil && !c.final && !c.out && !c.standing {
		if server, why, waits := r.control.Obstacle(id); waits {
			r.observeDecision(Held, c, server, why, Event{})
		}
	}
}

// observeEnd tells of the end of an attempt, answered or not.
func (r *Router) observeEnd(kind Kind, c *call, how threadglade.Outcome, cause threadglade.Cause) {
	if r.cfg.Observer != nil {
		r.tellObserver(Event{Kind: kind, Call: c.ID, Slot: c.slot, Server: c.attempt.Server, Attempt: c.attempt.Index, Outcome: how, Cause: cause})
	}
}

func (r *Router) observeArrival(c *call) {
	if r.cfg.Observer != nil {
		r.takeSlot(c)
		r.tellObserver(Event{Kind: Arrived, Call: c.ID, Slot: c.slot, Class: c.Class, Tenant: c.Tenant, Number: c.Number, Identity: c.Identity,
			Front: c.Front, Caller: c.Caller, Deadline: c.Deadline, Destination: c.Destination, Retry: c.Retry})
	}
}

func (r *Router) observeRelease(kind Kind, id string, how threadglade.Outcome) {
	if r.cfg.Observer != nil {
		r.tellObserver(Event{Kind: kind, Call: id, Outcome: how})
	}
}

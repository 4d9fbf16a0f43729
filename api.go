package threadglade

import "time"

// Settings is what a Controller is told at start. Times are spans; New names the field that cannot be served.
type Settings struct {
	Me       int // own index among the proxies, from 0
	Proxies  int // how many proxies share the servers
	Classes  []Class
	Tenants  []Tenant
	Limits   Limits
	Rules    Rules
	Callers  Callers
	Network  bool // true where calls cross a network of exchanges; false where servers are shared by all proxies
	MustAsk  bool // the server list has to be subscribed to
	OverPart float64
}

// Class is one class of calls.
type Class struct {
	Name      string
	Aim       time.Duration // a call that stands within it earns its full worth
	Deadline  time.Duration // how long a caller goes on trying, from the first try
	Holding   time.Duration // mean duration of a call
	Worth     float64
	LateWorth float64 // part of the worth that a late call still earns
	Repeat    Repeat
	Servers   []int // numbers of the servers that may take the class
	Width     int   // circuits that a call takes; 0: untold
}

// Repeat says whether a call of a class may be set up again.
type Repeat int

// How a class may be repeated.
const (
	RepeatFree    Repeat = iota // any number of times, one after the other
	RepeatGuarded               // only where the servers would discard the repeat
	RepeatNever                 // only after an outcome that proves that nothing ran
)

// Tenant is one of several customers who share the servers.
type Tenant struct {
	Name  string
	Quota float64 // calls a second over all proxies that count in full
	Share float64 // part of the service
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts   int
	MaxRetryAfter time.Duration // longest advice that callers heed
	RetryAfter    bool          // callers are given the advice
	Cancel        bool          // attempts may be cancelled
}

// Rules holds the figures of the five rules.
type Rules struct {
	ReleaseWait  time.Duration // no further attempt within it after a time-out, a cut or a cancel
	DrainGrace   time.Duration
	ColdFrom     float64       // a server starts with at least this part of its capacity
	WarmWithin   time.Duration // and has all of it after this at the latest
	FallMultiple float64       // more than this multiple of its present capacity
	FallWindow   time.Duration // for this long brings a cold server down
}

// Callers tells how callers behave.
type Callers struct {
	MarkRetries bool // a repeated try says so
}

// Event is something that happened at this proxy. Events that do not fit the state are ignored.
type Event interface{ event() }

// ServerList tells of servers; with Delta only of those whose entry changed, with Failed of none.
type ServerList struct {
	Delta   bool
	Stored  bool // as held before a restart, possibly out of date
	Failed  bool // asking failed or the subscription ended
	Servers []Server
}

// Server is one entry of a list.
type Server struct {
	ID      string
	Number  int
	State   ServerState
	Started time.Duration // clock time of the latest start; 0: long past
}

// ServerState is what the list says of a server.
type ServerState int

// States of a listed server.
const (
	Up ServerState = iota
	Draining
	Removed
)

// Arrival is a call, or a caller's further try, handed to this proxy.
type Arrival struct {
	Call        string
	Class       string
	Tenant      string
	Number      string        // number called
	TimeLeft    time.Duration // until the caller gives this try up
	Destination int           // number of the server of first choice
	Retry       bool
	InTransit   bool // sent here by another exchange: may go only to its destination
}

// Stood tells that a set-up was answered: the call holds until its Ended.
type Stood struct {
	Call    string
	Attempt int
	Server  string
	After   time.Duration
}

// Ended is the one end of an attempt.
type Ended struct {
	Call    string
	Attempt int
	Server  string
	Outcome Outcome
	Cause   Cause
	After   time.Duration
	Settled bool // the call has its final answer
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Concluded   Outcome = iota // the call stood and came to its end
	Faulted                    // all lines of the number busy, or a fault
	Rejected                   // turned away, nothing ran
	TimedOut                   // no answer in time; it may have run
	Unreachable                // no connection in time, nothing ran
	Cut                        // set-up or standing call was cut
	Cancelled                  // withdrawn
	NotSent                    // refused on this side, nothing ran
)

// Cause refines a rejection or fault.
type Cause int

// Causes that come with some outcomes.
const (
	CauseNone Cause = iota
	CauseNoAgent
	CauseTurnedBack
	CauseProcessorFull
	CauseLinesBusy
)

// Agents tells of a server's free agents, as they were a while ago.
type Agents struct {
	Server string
	Free   int
	Total  int
}

// CallerGone tells that the caller has left: nothing more is owed.
type CallerGone struct{ Call string }

// Due is a timer set earlier.
type Due struct{ Token int64 }

// ColdPart tells which part this proxy has of what all proxies together may send a server that has just started. Its first one, without
// a Server, says that such parts are told, and what the proxy has of a server while it is told none.
type ColdPart struct {
	Server  string
	Started time.Duration // of the server
	Part    float64       // from 0 to 1
	Until   time.Duration // clock time from which it has none
}

// Further tells how many further attempts, of all calls together, this proxy may make until it is told anew. None is told: only the calls' own
// limits count.
type Further struct {
	Limited bool
	Left    int
}

// spend takes one, and says whether there was one.
func (f *Further) spend() bool {
	if !f.Limited {
		return true
	}
	f.Left = max(f.Left-1, -1)
	return f.Left >= 0
}

// Care has a server left alone until then, for what all proxies know of it together. It makes this one more careful, never bolder: what it
// has found out by itself holds, too.
type Care struct {
	Server  string
	Started time.Duration // of the server
	Until   time.Duration // clock time
}

func (ColdPart) event()   {}
func (Further) event()    {}
func (Care) event()       {}
func (ServerList) event() {}
func (Arrival) event()    {}
func (Stood) event()      {}
func (Ended) event()      {}
func (Agents) event()     {}
func (CallerGone) event() {}
func (Due) event()        {}

// Action is something that the proxy is to do, in the order given.
type Action interface{ action() }

// Send starts a set-up; a call's attempts are numbered from 0 in the order of their Sends.
type Send struct {
	Call    string
	Server  string
	Timeout time.Duration
	Why     Reason // FirstChoice, Remembered or Drawn
}

// Refuse is a final answer: rejected, with advice on when to try again (0: none).
type Refuse struct {
	Call       string
	RetryAfter time.Duration
	Why        Reason
}

// Fail is a final answer: given up.
type Fail struct {
	Call string
	Why  Reason
}

// GiveUp withdraws an attempt that is out: its Ended comes as Cancelled, unless another end is on its way.
type GiveUp struct {
	Call    string
	Attempt int
	Why     Reason
}

// SetTimer asks for a Due at or after a clock time.
type SetTimer struct {
	At    time.Duration
	Token int64
}

// Subscribe asks for the changes of the server list from now on.
type Subscribe struct{}

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (GiveUp) action()    {}
func (SetTimer) action()  {}
func (Subscribe) action() {}

// Reason is why an action was taken. The numbers stand in trace files.
type Reason int

// Reasons. Those from Gapped to NoServer tell what kept the call's first choice from taking it.
const (
	NoReason      Reason = iota
	FirstChoice          // sent to the server that the call names
	Remembered           // sent to the server that took such calls before
	Drawn                // sent to one drawn at random
	Gapped               // the server's admission rate was used up
	Resting              // the server failed a moment ago
	OnTrial              // set-ups there were unanswered for too long
	Hopeless             // its answers came too late for this call's aim
	BudgetSpent          // this proxy's share of what it can take was used up, as of a cold server's
	NotUp                // it drains or is gone
	NotSkilled           // it may not take the class
	NoServer             // the call names none that is known
	UnknownClass         // the call's class does not exist
	OutOfTime            // the caller's time was up
	NumberBusy           // all lines of the number were busy
	CrowdedOut           // too many calls waited that are worth more
	Returned             // a server turned it away
	OwnFault             // servers found fault with it
	NoFurther            // no further attempt is allowed, or would come in time
	Overtaken            // a later set-up was answered first: this one was lost
	Unbillable           // refused before any decision
	OverLimit            // the same, for a limit of the whole fleet
	SharedVerdict        // the proxies together have found it unfit
	Spared               // sent to another for that
	TakenOver            // what this proxy had in hand is another's now
)

package threadglade

import "time"

// Settings configures a Controller. New and Change return an error that names the first invalid field.
type Settings struct {
	Index           int // index of this proxy among all proxies, from 0
	Proxies         int // number of proxies that share the servers
	Classes         []Class
	Tenants         []Tenant
	Limits          Limits
	Rules           Rules
	Callers         Callers
	Network         bool    // true where calls cross a network of exchanges; false where all proxies share the servers
	SubscribeList   bool    // the server list is only sent to subscribers
	OverQuotaFactor float64 // factor on the worth of calls of a tenant that exceeds its quota
}

// Class describes one class of calls.
type Class struct {
	Name        string
	Aim         time.Duration // a call established within it, counted from its first try, earns its full worth
	Deadline    time.Duration // how long a caller keeps trying, from the first try
	HoldingTime time.Duration // mean duration of a call
	Worth       float64       // value of a call that is established within the aim
	LateFactor  float64       // fraction of the worth that a late call still earns
	Repeat      Repeat
	Servers     []int // numbers of the servers that may take the class
	Circuits    int   // circuits that a call occupies; 0: unknown
}

// Repeat is the rule for repeating the set-up of a call after an attempt that may have run at a server.
type Repeat int

// Rules for repeating the set-ups of a class.
const (
	RepeatFree    Repeat = iota // any number of times, one after the other
	RepeatGuarded               // only where the servers would discard the duplicate
	RepeatNever                 // only after an outcome that proves that nothing ran
)

// Tenant is one of several customers that share the servers.
type Tenant struct {
	Name  string
	Quota float64 // calls a second over all proxies that count with their full worth
	Share float64 // fraction of the service
}

// Limits holds the limits of the deployment.
type Limits struct {
	MaxAttempts   int           // attempts per call, the first included
	MaxRetryAfter time.Duration // longest Retry-After advice that callers follow
	RetryAfter    bool          // refused callers are sent Retry-After advice
	Cancel        bool          // attempts may be cancelled
}

// Rules holds the parameters of the rules that every decision has to keep.
type Rules struct {
	ReleaseWait      time.Duration // minimum delay of a retry attempt after a time-out, a cut or a cancellation
	DrainGrace       time.Duration // how long after its drain or removal began a server may still be sent calls
	ColdCapacity     float64       // minimum fraction of its full capacity that a server has when it starts
	WarmUpTime       time.Duration // time after its start by which a server has its full capacity
	CollapseMultiple float64       // a cold server collapses under a load above this multiple of its current capacity
	CollapseWindow   time.Duration // that lasts for this long
}

// Callers describes how callers behave.
type Callers struct {
	MarkRetries bool // callers mark repeated tries (see Arrival.Retry)
}

// Event is an input of the Controller. Events that do not fit its state are ignored.
type Event interface{ event() }

// ServerList reports the state of servers. It lists all of them, or with Delta only those whose entry changed. With
// Failed it lists none.
type ServerList struct {
	Delta   bool
	Stored  bool // the list was stored before a restart and may be out of date
	Failed  bool // the query failed or the subscription ended
	Servers []Server
}

// Server is an entry of a server list.
type Server struct {
	ID      string
	Number  int // destination number; several servers may share one
	State   ServerState
	Started time.Duration // clock time of the latest start; 0: so long ago that the server is warm
}

// ServerState is the state of a server according to the server list.
type ServerState int

// States of a listed server.
const (
	Up ServerState = iota
	Draining
	Removed
)

// Arrival is a new call at this proxy, or another try of a caller whose call was refused or failed.
type Arrival struct {
	Call        string
	Class       string
	Tenant      string
	Number      string        // called number
	TimeLeft    time.Duration // until the caller gives up this try
	Destination int           // number of the first-choice server
	Retry       bool          // the caller marked this as a repeated try
	InTransit   bool          // sent here by another exchange: only its destination may take it
}

// Established reports that a set-up was answered and the call is established. It stays so until the attempt's Ended.
type Established struct {
	Call    string
	Attempt int // number of the attempt, from 0
	Server  string
	Latency time.Duration // from the Send to the answer
}

// Ended reports the end of an attempt. There is exactly one for each attempt.
type Ended struct {
	Call    string
	Attempt int // number of the attempt, from 0
	Server  string
	Outcome Outcome
	Cause   Cause
	Elapsed time.Duration // from the Send to the end
	Final   bool          // the caller already has the final answer
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Concluded   Outcome = iota // the call was established and ended normally
	Faulted                    // all lines of the number are busy, or the server reported a fault
	Rejected                   // the server rejected the set-up; nothing ran
	TimedOut                   // no answer in time; the set-up may have run
	Unreachable                // no connection in time; nothing ran
	Cut                        // the set-up or the established call was cut off
	Cancelled                  // the attempt was withdrawn
	NotSent                    // refused locally; nothing ran
)

// MayHaveRun reports whether a server may have processed an attempt with this outcome.
func (o Outcome) MayHaveRun() bool { return o != Rejected && o != Unreachable && o != NotSent }

// Cause refines a rejection or a fault.
type Cause int

// Causes of rejections and faults.
const (
	CauseNone          Cause = iota
	CauseNoAgent             // the server has no free agent
	CauseSentBack            // another exchange sent the call back
	CauseProcessorFull       // the server's processor is overloaded
	CauseLinesBusy           // all lines of the called number are busy
)

// Agents reports how many agents of a server are free. The report is delayed.
type Agents struct {
	Server string
	Free   int
	Total  int
}

// CallerGone reports that the caller has left. The call needs no answer any more.
type CallerGone struct{ Call string }

// Due reports that the timer of a SetTimer has expired.
type Due struct{ Token int64 }

// ColdFraction sets this proxy's fraction of the load that all proxies together may send a server that has just
// started. The first one, without a Server, announces that such fractions are assigned; its fraction applies to
// every cold server for which this proxy has none.
type ColdFraction struct {
	Server   string
	Started  time.Duration // clock time of the server's start
	Fraction float64       // fraction, from 0 to 1
	Until    time.Duration // clock time at which the fraction expires
}

// RetryBudget sets this proxy's budget of retry attempts, for all calls together. It replaces the previous budget.
// Until the first one, only the limits of each call apply.
type RetryBudget struct {
	Limited   bool // false: no budget applies
	Remaining int  // retry attempts that may still be made
}

// spend takes one retry attempt from the budget and reports whether there was one.
func (f *RetryBudget) spend() bool {
	if !f.Limited {
		return true
	}
	f.Remaining = max(f.Remaining-1, -1)
	return f.Remaining >= 0
}

// Avoidance makes this proxy avoid a server because of what all proxies together know about it. It can only add to the
// restrictions that follow from this proxy's own observations.
type Avoidance struct {
	Server  string
	Started time.Duration // clock time of the server's start
	Until   time.Duration // clock time until which the server is avoided
}

func (ColdFraction) event() {}
func (RetryBudget) event()  {}
func (Avoidance) event()    {}
func (ServerList) event()   {}
func (Arrival) event()      {}
func (Established) event()  {}
func (Ended) event()        {}
func (Agents) event()       {}
func (CallerGone) event()   {}
func (Due) event()          {}

// Action is an instruction to the proxy. Actions are carried out in the order given.
type Action interface{ action() }

// Send starts a set-up. The attempts of a call are numbered from 0 in the order of their Sends.
type Send struct {
	Call    string
	Server  string
	Timeout time.Duration
	Why     Reason // FirstChoice, Remembered, Drawn or Avoided
}

// Refuse is the final answer of a call that certainly did not run.
type Refuse struct {
	Call       string
	RetryAfter time.Duration // advice to the caller on when to try again; 0: none
	Why        Reason
}

// Fail is the final answer of a call of which an attempt may have run.
type Fail struct {
	Call string
	Why  Reason
}

// GiveUp withdraws a pending attempt. Its Ended has the outcome Cancelled, unless it ended otherwise meanwhile.
type GiveUp struct {
	Call    string
	Attempt int // number of the attempt, from 0
	Why     Reason
}

// SetTimer asks for a Due with the same token at or after a clock time.
type SetTimer struct {
	At    time.Duration
	Token int64
}

// Subscribe asks for all changes of the server list from now on.
type Subscribe struct{}

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (GiveUp) action()    {}
func (SetTimer) action()  {}
func (Subscribe) action() {}

// Reason is why an action was taken. The numbers are stored in trace files.
type Reason int

// Reasons. Those from Gapped to NoServer are the reasons why the first-choice server did not take the call.
const (
	NoReason       Reason = iota
	FirstChoice           // sent to the server that the call names
	Remembered            // sent to the remembered alternative server
	Drawn                 // sent to an alternative server that was just drawn at random
	Gapped                // the server's admission rate was used up
	InCoolDown            // the server is in cool-down after a failure
	OnProbation           // the server left set-ups unanswered for too long and is on probation
	WouldBeLate           // the server's latest answers were too slow for this call's aim
	ShareExhausted        // this proxy's share of the server's free agents or cold-start budget was used up
	NotUp                 // the server drains or was removed
	NotSkilled            // the server may not take the call's class
	NoServer              // the call names no known server
	UnknownClass          // the call's class does not exist
	OutOfTime             // the caller's time was up
	NumberBusy            // all lines of the called number were busy
	Displaced             // displaced from the full queue by calls that are worth more
	ServerRejected        // a server rejected the call
	CallFaulted           // several servers reported a fault for this call
	NoRetryAttempt        // no retry attempt is permitted, or it would come too late
	Overtaken             // a later set-up was answered first: this one was lost
	Unbillable            // refused by the proxy before the Controller saw it: it could not have been billed
	OverLimit             // refused by the proxy before the Controller saw it: a limit of the whole fleet was reached
	SharedVerdict         // the first-choice server is avoided on behalf of all proxies (see Avoidance)
	Avoided               // sent to another server for that reason
	TakenOver             // another proxy took over this proxy's calls
)

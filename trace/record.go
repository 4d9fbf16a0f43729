// Package trace defines the trace of a router's decisions: records, their encoding in blocks of columns, the index of
// blocks, and the tools that work on them, which select, merge (by estimated clocks), anonymize, summarize, export
// and report records, explain a call, and diagnose a drop in service. It owns the formats of blocks and index. It
// must never do I/O on its own, read a clock, start a goroutine, or trust a length that it reads. internal/traceio
// reads and writes the files.
package trace

import (
	"fmt"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

// Kind is the type of a Record. The numbers are part of the file format.
type Kind uint8

// Kinds of records.
const (
	Request           Kind = iota + 1 // a request arrived
	Decision                          // a decision on a call, its reason, and the server's state as known then
	AttemptEnd                        // an attempt ended without an established call
	Answer                            // the final answer
	Release                           // an established call ended
	UnexpectedRelease                 // a release of a call that is unknown to the router
	List                              // a server list arrived
	ListEntry                         // a server's entry in a list
	Report                            // a server's load report
	ControlChange                     // a server's admission control changed its phase
	Reload                            // the configuration was reloaded
	Start                             // the recorder started
	Gap                               // records were dropped at this point
	Avoidance                         // a server is avoided for a while because of a shared verdict, or no longer is
	kindCount
)

var kindNames = [kindCount]string{"", "request", "decision", "attempt end", "answer", "release", "stray", "list",
	"listed", "report", "turn", "reload", "start", "gap", "care"}

// String returns the name that is written to JSON and HTML reports.
func (k Kind) String() string {
	if k >= kindCount {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// Text identifies a string column. The numbers are part of the file format.
type Text uint8

// String columns.
const (
	Call Text = iota
	Server
	Class
	Tenant
	Number   // called number
	Identity // SPIFFE ID of the caller
	Front    // how the call arrived; in an Avoidance, the finding and its origin
	Caller   // address of the caller
	Router
	textCount
)

var textNames = [textCount]string{"call", "server", "class", "tenant", "number", "identity", "front", "caller",
	"router"}

// String returns the name that is written to JSON.
func (t Text) String() string { return textNames[t] }

// isPersonal reports whether a column holds personal data, which anonymizing replaces.
func (t Text) isPersonal() bool {
	switch t {
	case Call, Number, Identity, Caller:
		return true
	}
	return false
}

// Figure identifies a number column. The numbers are part of the file format; new ones are added at the end.
type Figure uint8

// Number columns. Ages are measured at the decision; -1 means unknown.
const (
	Attempt         Figure = iota // number of the attempt, from 0
	DeadlineMs                    // remaining time until the deadline
	Destination                   // number of the server that is the first choice
	Retry                         // 1: the caller marked it as a retry
	ActionCode                    // of a Decision: an Action
	Reason                        // of a Decision: a threadglade.Reason
	Outcome                       // threadglade.Outcome
	Cause                         // threadglade.Cause
	FinalAnswer                   // of an Answer: an AnswerResult
	FailureCode                   // of a failure: router.Failure
	RetryAfterMs                  // of a refusal: time until the caller may retry
	State                         // threadglade.ServerState; of a ControlChange: threadglade.Phase
	Free                          // free agents
	Total                         // all agents; of an Avoidance: all other routers
	FreeAgeMs                     // age of Free
	RateMilli                     // admission rate, thousandths of a call per second; -1: not controlled
	LambdaMilli                   // λ, thousandths of a call per second
	OldestPendingMs               // age of the oldest pending set-up
	InFlight                      // set-ups pending
	LatencyUs                     // reported latency
	QPSMilli                      // reported capacity, thousandths of a set-up per second
	LoadAgeMs                     // age of LatencyUs and QPSMilli
	ElapsedUs                     // since the set-up was sent, the request arrived, or the call was established
	Serial                        // number of a server list
	Count                         // of a List: servers; of a Gap: records dropped; of an Avoidance: routers affected
	figureCount
)

var figureNames = [figureCount]string{"attempt", "deadline_ms", "destination", "retry", "act", "reason", "outcome",
	"cause", "final", "why", "retry_after_ms", "state", "free", "total", "free_age_ms", "rate_milli", "lambda_milli",
	"oldest_ms", "out", "latency_us", "qps_milli", "load_age_ms", "took_us", "serial", "count"}

// String returns the name that is written to JSON.
func (f Figure) String() string { return figureNames[f] }

// Action is what a Decision did with a call.
type Action int64

// Actions of decisions.
const (
	ActionSent Action = iota + 1
	ActionHeld
	ActionRefused
	ActionFailed
	ActionWithdrawn // the attempt was withdrawn, not the call
)

var actionNames = []string{"", "sent", "held", "refused", "failed", "given up"}

// String returns the name that is written to JSON.
func (a Action) String() string { return actionNames[min(max(int(a), 0), len(actionNames)-1)] }

// AnswerResult is the result of a call's set-up.
type AnswerResult int64

// Results of set-ups.
const (
	AnswerEstablished AnswerResult = iota + 1
	AnswerRefused
	AnswerFailed
	AnswerAbandoned // the caller hung up first
)

var answerNames = []string{"", "stood", "refused", "failed", "left"}

// String returns the name that is written to JSON and indexes.
func (e AnswerResult) String() string { return answerNames[min(max(int(e), 0), len(answerNames)-1)] }

// OutcomeNames are the names of outcomes in selections and indexes: final answers first, then outcomes of attempts.
var OutcomeNames = []string{"stood", "refused", "failed", "left", "concluded", "faulted", "rejected", "timed_out",
	"unreachable", "cut", "cancelled", "not_sent"}

// Record is one event in a trace. Kind determines which columns are used.
type Record struct {
	Kind    Kind
	Carried bool  // a request from before the cut, kept because its call continues after it
	At      int64 // microseconds since the Unix epoch by the router's clock
	Texts   [textCount]string
	Figures [figureCount]int64
}

// Time returns the time of the record by its router's clock, in UTC.
func (r *Record) Time() time.Time { return time.UnixMicro(r.At).UTC() }

// outcomeLabel returns the record's name in the index of outcomes; empty if it has none.
func (r *Record) outcomeLabel() string {
	switch r.Kind {
	case Answer:
		return AnswerResult(r.Figures[FinalAnswer]).String()
	case AttemptEnd, Release:
		return outcomeName(threadglade.Outcome(r.Figures[Outcome]))
	}
	return ""
}

// outcomeName returns the name of an attempt's outcome in OutcomeNames.
func outcomeName(o threadglade.Outcome) string {
	if o < 0 || int(o) > int(threadglade.NotSent) {
		return "unknown"
	}
	return OutcomeNames[4+int(o)]
}

// failureClause returns the cause of a failure as a clause for DescribeCall.
func failureClause(f router.Failure) string {
	switch f {
	case router.GivenUp:
		return "a server may have processed an attempt, and no retry attempt was left"
	case router.DeadlineExceeded:
		return "no time was left until its deadline"
	case router.DuplicateID:
		return "its ID was that of another call"
	}
	return "the reason is unknown"
}

// layout lists the columns of each kind in file order.
var layout = [kindCount]struct {
	texts   []Text
	figures []Figure
}{
	Request: {[]Text{Call, Class, Tenant, Number, Identity, Front, Caller, Router},
		[]Figure{DeadlineMs, Destination, Retry}},
	Decision: {[]Text{Call, Class, Tenant, Server, Router}, []Figure{ActionCode, Reason, Attempt, Free, FreeAgeMs,
		RateMilli, LambdaMilli, OldestPendingMs, InFlight, LatencyUs, QPSMilli, LoadAgeMs}},
	AttemptEnd: {[]Text{Call, Class, Tenant, Server, Router}, []Figure{Attempt, Outcome, Cause, ElapsedUs}},
	Answer: {[]Text{Call, Class, Tenant, Server, Router}, []Figure{FinalAnswer, FailureCode, RetryAfterMs,
		ElapsedUs}},
	Release:           {[]Text{Call, Class, Tenant, Server, Router}, []Figure{Outcome, Cause, ElapsedUs}},
	UnexpectedRelease: {[]Text{Call, Router}, []Figure{Outcome}},
	List:              {[]Text{Router}, []Figure{Serial, Count}},
	ListEntry:         {[]Text{Server, Router}, []Figure{State}},
	Report:            {[]Text{Server, Router}, []Figure{Free, Total, LatencyUs, QPSMilli}},
	ControlChange:     {[]Text{Server, Router}, []Figure{State, RateMilli, LambdaMilli}},
	Reload:            {[]Text{Router}, nil},
	Start:             {[]Text{Router}, nil},
	Gap:               {[]Text{Router}, []Figure{Count}},
	// Front holds the finding and its origin, ElapsedUs the age of its evidence, DeadlineMs how long it applies;
	// Count of Total routers are affected.
	Avoidance: {[]Text{Server, Front, Router}, []Figure{ElapsedUs, DeadlineMs, Count, Total}},
}

// Columns returns the string and number columns of a kind of record in file order; nil for an unknown kind.
func Columns(k Kind) ([]Text, []Figure) {
	if k >= kindCount {
		return nil, nil
	}
	return layout[k].texts, layout[k].figures
}

// KindLimit is one more than the highest Kind, FigureCount the number of number columns.
const (
	KindLimit   = int(kindCount)
	FigureCount = int(figureCount)
)

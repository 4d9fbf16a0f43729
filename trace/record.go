// Package trace is the record of what a router decided and why: records, blocks of columns, the index of blocks, and the work on
// them: cutting, merging by estimated clocks, anonymising, summing up, explaining a call and finding what changed. It owns the
// form of blocks and index. It must never do I/O, read a clock, start a goroutine, or trust a length that it reads.
// internal/traceio records and keeps files.
package trace

import (
	"fmt"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

// Kind says what a Record tells. The numbers are part of the file format.
type Kind uint8

// Kinds of records.
const (
	Request    Kind = iota + 1 // a request was taken
	Decision                   // what was decided of a call, why, and what was known of the server
	AttemptEnd                 // an attempt ended unanswered
	Answer                     // the final answer
	Release                    // a standing call came to its end
	Stray                      // a release of a call that the router never knew
	List                       // a server list came, with its number
	Listed                     // a server's entry in it
	Report                     // what a server reported of itself
	Turn                       // a server's control changed: it rests, climbs, was cut or is free
	Reload                     // the configuration was read anew
	Start                      // the recorder began
	Gap                        // records were dropped here
	Care                       // a server is left alone for a while for what all routers know of it, or no more
	kinds
)

var kindNames = [kinds]string{"", "request", "decision", "attempt end", "answer", "release", "stray", "list", "listed", "report", "turn", "reload", "start", "gap", "care"}

func (k Kind) String() string {
	if k >= kinds {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// Text is a string column. The numbers are part of the file format.
type Text uint8

// String columns.
const (
	Call Text = iota
	Server
	Class
	Tenant
	Number   // the number called
	Identity // SPIFFE id of the caller
	Front
	Caller // address
	Router
	texts
)

var textNames = [texts]string{"call", "server", "class", "tenant", "number", "identity", "front", "caller", "router"}

func (t Text) String() string { return textNames[t] }

// personal says whether a column holds what tells a person.
func (t Text) personal() bool {
	switch t {
	case Call, Number, Identity, Caller:
		return true
	}
	return false
}

// Figure is a number column. The numbers are part of the file format; new ones go at the end.
type Figure uint8

// Number columns. Ages are those at the decision; -1 is untold.
const (
	Attempt     Figure = iota // from 0
	DeadlineMs                // what was left until the deadline
	Destination               // number of the server of first choice
	Retry                     // 1: a marked repeat
	Act                       // of a Decision: an Action
	Reason                    // of a Decision: a threadglade.Reason
	Outcome                   // threadglade.Outcome
	Cause                     // threadglade.Cause
	Final                     // of an Answer: an End
	Why                       // of a failure: router.Failure
	RetryAfterMs
	State // threadglade.ServerState; of a Turn, a threadglade.Phase
	Free  // agents
	Total
	FreeAgeMs
	RateMilli   // r, thousandths of a call a second; -1: no control
	LambdaMilli // λ
	OldestMs    // age of the oldest unanswered set-up
	Out         // set-ups unanswered
	LatencyUs   // reported wait
	QpsMilli    // reported room for set-ups
	LoadAgeMs   // age of these two
	TookUs      // from the set-up's leaving, or the request's coming
	Serial      // of a list
	Count
	figures
)

var figureNames = [figures]string{"attempt", "deadline_ms", "destination", "retry", "act", "reason", "outcome", "cause", "final", "why",
	"retry_after_ms", "state", "free", "total", "free_age_ms", "rate_milli", "lambda_milli", "oldest_ms", "out", "latency_us", "qps_milli",
	"load_age_ms", "took_us", "serial", "count"}

func (f Figure) String() string { return figureNames[f] }

// Action is what a Decision did.
type Action int64

// Actions.
const (
	Sent Action = iota + 1
	Held
	Refused
	Failed
	GivenUp // the attempt, not the call
)

var actionNames = []string{"", "sent", "held", "refused", "failed", "given up"}

func (a Action) String() string { return actionNames[min(max(int(a), 0), len(actionNames)-1)] }

// End is a final answer.
type End int64

// Final answers.
const (
	EndStood End = iota + 1
	EndRefused
	EndFailed
	EndLeft
)

var endNames = []string{"", "stood", "refused", "failed", "left"}

func (e End) String() string { return endNames[min(max(int(e), 0), len(endNames)-1)] }

// OutcomeNames names outcomes in selections and summaries, answers first.
var OutcomeNames = []string{"stood", "refused", "failed", "left", "concluded", "faulted", "rejected", "timed_out", "unreachable", "cut", "cancelled", "not_sent"}

// Record is one thing that happened. Which columns count depends on Kind.
type Record struct {
	Kind    Kind
	Carried bool  // of a call that began before a cut: this record stands in for what was cut off
	At      int64 // microseconds since the Unix epoch, by its router's clock
	S       [texts]string
	N       [figures]int64
}

// Time is when it happened by its router's clock.
func (r *Record) Time() time.Time { return time.UnixMicro(r.At).UTC() }

// outcome is the record's place in the index of outcomes; empty if it has none.
func (r *Record) outcome() string {
	switch r.Kind {
	case Answer:
		return End(r.N[Final]).String()
	case AttemptEnd, Release:
		return outcomeName(threadglade.Outcome(r.N[Outcome]))
	}
	return ""
}

func outcomeName(o threadglade.Outcome) string {
	if o < 0 || int(o) > int(threadglade.NotSent) {
		return "unknown"
	}
	return OutcomeNames[4+int(o)]
}

func failureName(f router.Failure) string {
	switch f {
	case router.GivenUp:
		return "something may have run, and no attempt was left"
	case router.DeadlineExceeded:
		return "its time was up"
	case router.DuplicateID:
		return "its id was another call's"
	}
	return "for an unknown reason"
}

// layout is the columns of each kind, in file order.
var layout = [kinds]struct {
	texts   []Text
	figures []Figure
}{
	Request:    {[]Text{Call, Class, Tenant, Number, Identity, Front, Caller, Router}, []Figure{DeadlineMs, Destination, Retry}},
	Decision:   {[]Text{Call, Class, Tenant, Server, Router}, []Figure{Act, Reason, Attempt, Free, FreeAgeMs, RateMilli, LambdaMilli, OldestMs, Out, LatencyUs, QpsMilli, LoadAgeMs}},
	AttemptEnd: {[]Text{Call, Class, Tenant, Server, Router}, []Figure{Attempt, Outcome, Cause, TookUs}},
	Answer:     {[]Text{Call, Class, Tenant, Server, Router}, []Figure{Final, Why, RetryAfterMs, TookUs}},
	Release:    {[]Text{Call, Class, Tenant, Server, Router}, []Figure{Outcome, Cause, TookUs}},
	Stray:      {[]Text{Call, Router}, []Figure{Outcome}},
	List:       {[]Text{Router}, []Figure{Serial, Count}},
	Listed:     {[]Text{Server, Router}, []Figure{State}},
	Report:     {[]Text{Server, Router}, []Figure{Free, Total, LatencyUs, QpsMilli}},
	Turn:       {[]Text{Server, Router}, []Figure{State, RateMilli, LambdaMilli}},
	Reload:     {[]Text{Router}, nil},
	Start:      {[]Text{Router}, nil},
	Gap:        {[]Text{Router}, []Figure{Count}},
	Care:       {[]Text{Server, Front, Router}, []Figure{TookUs, DeadlineMs, Count, Total}}, // Front: what it is found to be, and by whom; TookUs: the age of that; for DeadlineMs; by Count of Total
}

// Columns are the string and number columns that a kind of record has, in file order; nil for a kind that is none.
func Columns(k Kind) ([]Text, []Figure) {
	if k >= kinds {
		return nil, nil
	}
	return layout[k].texts, layout[k].figures
}

// Kinds is one more than the highest Kind, Figures how many number columns there are.
const (
	Kinds   = int(kinds)
	Figures = int(figures)
)

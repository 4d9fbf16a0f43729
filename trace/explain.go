package trace

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

// reasonClauses holds a clause for each reason. DescribeCall writes it after naming the server or the call, to which
// "it" refers.
var reasonClauses = map[threadglade.Reason]string{
	threadglade.FirstChoice:    "it is the call's first choice",
	threadglade.Remembered:     "the first choice did not take the call, and this server was the remembered alternative",
	threadglade.Drawn:          "the first choice did not take the call, and this server was drawn at random",
	threadglade.Gapped:         "its admission rate was used up",
	threadglade.InCoolDown:     "it was in cool-down after a failure",
	threadglade.OnProbation:    "it was on probation, having left set-ups unanswered for too long",
	threadglade.WouldBeLate:    "its latest answers were too slow for this call's aim",
	threadglade.ShareExhausted: "this router's share of the server's free agents or cold-start budget was used up",
	threadglade.NotUp:          "it was draining or had been removed",
	threadglade.NotSkilled:     "it did not serve calls of this class",
	threadglade.NoServer:       "no server was known for the call",
	threadglade.UnknownClass:   "the class does not exist",
	threadglade.OutOfTime:      "the call's deadline had passed",
	threadglade.NumberBusy:     "all lines of the number were busy",
	threadglade.Displaced:      "the queue was full of calls that are worth more",
	threadglade.ServerRejected: "the server had rejected the call",
	threadglade.CallFaulted:    "several servers had reported a fault for the call",
	threadglade.NoRetryAttempt: "no retry was permitted, or it would have come too late",
	threadglade.Overtaken:      "a later set-up was answered first, so this one was taken as lost",
	threadglade.Unbillable:     "it could not have been billed",
	threadglade.Avoided:        "all routers together had found the first choice unfit, and this server stood in for it",
	threadglade.TakenOver:      "this router had no lease or guarantee left, so its calls passed to other routers",
	threadglade.SharedVerdict:  "all routers together had found the first choice unfit, though this router had not",
	threadglade.OverLimit:      "this router's share of a fleet-wide limit was used up",
}

// reasonClause returns the clause for the number of a reason.
func reasonClause(n int64) string {
	if text := reasonClauses[threadglade.Reason(n)]; text != "" {
		return text
	}
	return "reason " + reasonName(n)
}

// serverState describes, in parentheses, what the router knew of the server at a decision; empty without a server.
func serverState(r *Record) string {
	if r.Texts[Server] == "" {
		return ""
	}
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	rate := func(milli int64) string { return fmt.Sprintf("%.1f/s", float64(milli)/1000) }
	if r.Figures[RateMilli] >= 0 {
		add("admission rate %s", rate(r.Figures[RateMilli]))
	} else {
		add("admission not controlled")
	}
	add("arrival rate %s", rate(r.Figures[LambdaMilli]))
	if r.Figures[InFlight] > 0 {
		add("%s unanswered, the oldest for %d ms", plural(int(r.Figures[InFlight]), "set-up"), r.Figures[OldestPendingMs])
	}
	if r.Figures[FreeAgeMs] >= 0 {
		add("%d agents free %d ms ago", r.Figures[Free], r.Figures[FreeAgeMs])
	}
	if r.Figures[LoadAgeMs] >= 0 {
		add("%d ms ago it reported a latency of %.0f ms and a capacity of %s", r.Figures[LoadAgeMs],
			float64(r.Figures[LatencyUs])/1000, rate(r.Figures[QPSMilli]))
	}
	return " (" + r.Texts[Server] + ": " + strings.Join(parts, ", ") + ")"
}

// DescribeCall returns an account of one call for operators, a line for each event. The list holds the records of the
// call in order, with the Avoidance records that were in effect before it or came during it.
func DescribeCall(list []Record) []string {
	first := slices.IndexFunc(list, func(r Record) bool { return r.Kind != Avoidance })
	if first < 0 {
		return nil
	}
	var lines []string
	start := list[first].At
	avoidances := map[string]*Record{} // in effect, by server
	avoidanceText := func(r *Record) string {
		switch threadglade.Reason(r.Figures[Reason]) {
		case threadglade.SharedVerdict, threadglade.Avoided:
		default:
			return ""
		}
		text := ""
		for _, server := range slices.Sorted(maps.Keys(avoidances)) {
			if c := avoidances[server]; c.At+c.Figures[DeadlineMs]*1000 >= r.At {
				text += fmt.Sprintf("; %s is %s (%d routers of %d, %.0f ms old)", server, c.Texts[Front],
					c.Figures[Count], c.Figures[Total], float64(c.Figures[ElapsedUs]+r.At-c.At)/1000)
			}
		}
		return text
	}
	appendLine := func(r *Record, format string, args ...any) {
		at := "       0 ms"
		if r.At != start {
			at = fmt.Sprintf("%+8.0f ms", float64(r.At-start)/1000)
		}
		lines = append(lines, at+"  "+fmt.Sprintf(format, args...))
	}
	for i := range list {
		r := &list[i]
		switch r.Kind {
		case Avoidance:
			if avoidances[r.Texts[Server]] = r; r.Figures[DeadlineMs] <= 0 {
				delete(avoidances, r.Texts[Server])
			}
		case Request:
			extra := ""
			if r.Figures[Retry] != 0 {
				extra = ", marked as a retry"
			}
			if r.Carried {
				extra += "; this request is from before the start of the cut"
			}
			appendLine(r,
				"%s: router %s received call %s of class %s, tenant %s, to number %s via %s; first choice: server number %d; %d ms until the deadline%s.",
				r.Time().Format(time.RFC3339Nano), r.Texts[Router], r.Texts[Call], r.Texts[Class], r.Texts[Tenant],
				r.Texts[Number], r.Texts[Front], r.Figures[Destination], r.Figures[DeadlineMs], extra)
		case Decision:
			switch Action(r.Figures[ActionCode]) {
			case ActionSent:
				appendLine(r, "Attempt %d went to %s: %s%s%s.", r.Figures[Attempt]+1, r.Texts[Server],
					reasonClause(r.Figures[Reason]), avoidanceText(r), serverState(r))
			case ActionHeld:
				server := r.Texts[Server]
				if server == "" {
					server = "its first choice"
				}
				appendLine(r, "It waited, because %s did not take it: %s%s%s.", server, reasonClause(r.Figures[Reason]),
					avoidanceText(r), serverState(r))
			case ActionRefused:
				appendLine(r, "It was refused: %s%s%s.", reasonClause(r.Figures[Reason]), avoidanceText(r),
					serverState(r))
			case ActionFailed:
				appendLine(r, "It failed, and a server may have processed an attempt: %s%s.",
					reasonClause(r.Figures[Reason]), serverState(r))
			case ActionWithdrawn:
				appendLine(r, "The attempt at %s was withdrawn: %s%s.", r.Texts[Server],
					reasonClause(r.Figures[Reason]), serverState(r))
			}
		case AttemptEnd:
			appendLine(r, "Attempt %d at %s ended after %.0f ms: %s.", r.Figures[Attempt]+1, r.Texts[Server],
				float64(r.Figures[ElapsedUs])/1000, outcomeText(r))
		case Answer:
			switch AnswerResult(r.Figures[FinalAnswer]) {
			case AnswerEstablished:
				appendLine(r, "%s answered and the call was established, %.0f ms after the request.", r.Texts[Server],
					float64(r.Figures[ElapsedUs])/1000)
			case AnswerRefused:
				text := "The caller was sent a refusal"
				if r.Figures[RetryAfterMs] > 0 {
					text += fmt.Sprintf(", with a retry after %d ms", r.Figures[RetryAfterMs])
				}
				appendLine(r, "%s.", text)
			case AnswerFailed:
				appendLine(r, "The caller was sent a failure: %s.",
					failureClause(router.Failure(r.Figures[FailureCode])))
			case AnswerAbandoned:
				appendLine(r, "The caller hung up, %.0f ms after the request.", float64(r.Figures[ElapsedUs])/1000)
			}
		case Release:
			how := "was released"
			if threadglade.Outcome(r.Figures[Outcome]) == threadglade.Cut {
				how = "was cut"
			}
			appendLine(r, "The call at %s %s after %.1f s.", r.Texts[Server], how, float64(r.Figures[ElapsedUs])/1e6)
		case UnexpectedRelease:
			appendLine(r, "Router %s received the release of a call that it did not know.", r.Texts[Router])
		}
	}
	return lines
}

// outcomeText describes the outcome of an attempt and its cause.
func outcomeText(r *Record) string {
	text := strings.ReplaceAll(outcomeName(threadglade.Outcome(r.Figures[Outcome])), "_", " ")
	switch threadglade.Cause(r.Figures[Cause]) {
	case threadglade.CauseNoAgent:
		text += ", no agent free"
	case threadglade.CauseSentBack:
		text += ", sent back by another exchange"
	case threadglade.CauseProcessorFull:
		text += ", processor full"
	case threadglade.CauseLinesBusy:
		text += ", all lines busy"
	}
	return text
}

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

// reasonTexts holds the clause for each reason; its subject is the server named before it, or the call.
var reasonTexts = map[threadglade.Reason]string{
	threadglade.FirstChoice:    "it is the call's first choice",
	threadglade.Remembered:     "the first choice did not take it, and this one was remembered",
	threadglade.Drawn:          "the first choice did not take it, and this one was drawn at random",
	threadglade.Gapped:         "its admission rate was used up",
	threadglade.InCoolDown:     "it had failed a moment ago and was left alone",
	threadglade.OnProbation:    "set-ups there had been unanswered for too long",
	threadglade.WouldBeLate:    "its latest answers came too late for this call's aim",
	threadglade.ShareExhausted: "this router's share of what it can take was used up",
	threadglade.NotUp:          "it drained or was gone",
	threadglade.NotSkilled:     "it may not take this class",
	threadglade.NoServer:       "no server was known for the call",
	threadglade.UnknownClass:   "the class does not exist",
	threadglade.OutOfTime:      "the caller's time was up",
	threadglade.NumberBusy:     "all lines of the number were busy",
	threadglade.Displaced:      "too many calls waited that are worth more",
	threadglade.ServerRejected: "the server had turned it away",
	threadglade.CallFaulted:    "servers had found fault with it",
	threadglade.NoRetryAttempt: "no further attempt was allowed or would have come in time",
	threadglade.Overtaken:      "a later set-up was answered first, so this one was lost",
	threadglade.Unbillable:     "it could not have been billed",
	threadglade.Avoided:        "the routers together had found its first choice unfit, and this one was sent it in its place",
	threadglade.TakenOver:      "this router's lease had run out and nobody vouched for it: what it had in hand was another's",
	threadglade.SharedVerdict:  "the routers together had found its first choice unfit, while this one had not",
	threadglade.OverLimit:      "a limit of the whole fleet was reached: the share that this router had of it was used up",
}

// reasonSentence returns the clause for the number of a reason.
func reasonSentence(n int64) string {
	if text := reasonTexts[threadglade.Reason(n)]; text != "" {
		return text
	}
	return "for " + reasonName(n)
}

// serverState describes the state of the server as known at a decision.
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
		add("no control on it")
	}
	add("calls for it %s", rate(r.Figures[LambdaMilli]))
	if r.Figures[InFlight] > 0 {
		add("%s unanswered, the oldest for %d ms", plural(int(r.Figures[InFlight]), "set-up"), r.Figures[OldestPendingMs])
	}
	if r.Figures[FreeAgeMs] >= 0 {
		add("%d agents free %d ms ago", r.Figures[Free], r.Figures[FreeAgeMs])
	}
	if r.Figures[LoadAgeMs] >= 0 {
		add("reported %d ms ago a wait of %.0f ms and room for %s", r.Figures[LoadAgeMs],
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
				extra = ", a marked repeat"
			}
			if r.Carried {
				extra += ", before this file was cut"
			}
			appendLine(r,
				"%s: router %s took call %s of class %s, tenant %s, for number %s, by %s; first choice server number %d, %d ms to go%s.",
				r.Time().Format(time.RFC3339Nano), r.Texts[Router], r.Texts[Call], r.Texts[Class], r.Texts[Tenant],
				r.Texts[Number], r.Texts[Front], r.Figures[Destination], r.Figures[DeadlineMs], extra)
		case Decision:
			switch Action(r.Figures[ActionCode]) {
			case ActionSent:
				appendLine(r, "Attempt %d went to %s: %s%s%s.", r.Figures[Attempt]+1, r.Texts[Server],
					reasonSentence(r.Figures[Reason]), avoidanceText(r), serverState(r))
			case ActionHeld:
				at := r.Texts[Server]
				if at == "" {
					at = "its first choice"
				}
				appendLine(r, "It waited, for %s did not take it: %s%s%s.", at, reasonSentence(r.Figures[Reason]),
					avoidanceText(r), serverState(r))
			case ActionRefused:
				appendLine(r, "It was given up: %s%s%s.", reasonSentence(r.Figures[Reason]), avoidanceText(r),
					serverState(r))
			case ActionFailed:
				appendLine(r, "It was given up, and an attempt may have run: %s%s.",
					reasonSentence(r.Figures[Reason]), serverState(r))
			case ActionWithdrawn:
				appendLine(r, "The attempt at %s was withdrawn: %s%s.", r.Texts[Server],
					reasonSentence(r.Figures[Reason]), serverState(r))
			}
		case AttemptEnd:
			appendLine(r, "Attempt %d at %s ended after %.0f ms: %s.", r.Figures[Attempt]+1, r.Texts[Server],
				float64(r.Figures[ElapsedUs])/1000, outcomeText(r))
		case Answer:
			switch AnswerResult(r.Figures[FinalAnswer]) {
			case AnswerEstablished:
				appendLine(r, "%s answered, the call stands, %.0f ms after it came.", r.Texts[Server],
					float64(r.Figures[ElapsedUs])/1000)
			case AnswerRefused:
				text := "The caller was told: refused"
				if r.Figures[RetryAfterMs] > 0 {
					text += fmt.Sprintf(", come back in %d ms", r.Figures[RetryAfterMs])
				}
				appendLine(r, "%s.", text)
			case AnswerFailed:
				appendLine(r, "The caller was told: failed, since %s.",
					failureText(router.Failure(r.Figures[FailureCode])))
			case AnswerAbandoned:
				appendLine(r, "The caller gave it up, %.0f ms after it came.", float64(r.Figures[ElapsedUs])/1000)
			}
		case Release:
			how := "was released"
			if threadglade.Outcome(r.Figures[Outcome]) == threadglade.Cut {
				how = "was cut"
			}
			appendLine(r, "The call at %s %s after %.1f s.", r.Texts[Server], how, float64(r.Figures[ElapsedUs])/1e6)
		case UnexpectedRelease:
			appendLine(r, "A release came of a call that router %s did not know.", r.Texts[Router])
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
		text += ", turned back further on"
	case threadglade.CauseProcessorFull:
		text += ", processor full"
	case threadglade.CauseLinesBusy:
		text += ", all lines busy"
	}
	return text
}

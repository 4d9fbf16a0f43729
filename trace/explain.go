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
	if r.S[Server] == "" {
		return ""
	}
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	rate := func(milli int64) string { return fmt.Sprintf("%.1f/s", float64(milli)/1000) }
	if r.N[RateMilli] >= 0 {
		add("admission rate %s", rate(r.N[RateMilli]))
	} else {
		add("no control on it")
	}
	add("calls for it %s", rate(r.N[LambdaMilli]))
	if r.N[Out] > 0 {
		add("%s unanswered, the oldest for %d ms", plural(int(r.N[Out]), "set-up"), r.N[OldestMs])
	}
	if r.N[FreeAgeMs] >= 0 {
		add("%d agents free %d ms ago", r.N[Free], r.N[FreeAgeMs])
	}
	if r.N[LoadAgeMs] >= 0 {
		add("reported %d ms ago a wait of %.0f ms and room for %s", r.N[LoadAgeMs],
			float64(r.N[LatencyUs])/1000, rate(r.N[QpsMilli]))
	}
	return " (" + r.S[Server] + ": " + strings.Join(parts, ", ") + ")"
}

// DescribeCall returns an account of one call for operators, a line for each event. The list holds the records of the
// call in order, with the Avoidance records that were in effect before it or came during it.
func Story(list []Record) []string {
	first := slices.IndexFunc(list, func(r Record) bool { return r.Kind != Care })
	if first < 0 {
		return nil
	}
	var lines []string
	start := list[first].At
	avoidances := map[string]*Record{} // in effect, by server
	avoidanceText := func(r *Record) string {
		switch threadglade.Reason(r.N[Reason]) {
		case threadglade.SharedVerdict, threadglade.Avoided:
		default:
			return ""
		}
		text := ""
		for _, server := range slices.Sorted(maps.Keys(avoidances)) {
			if c := avoidances[server]; c.At+c.N[DeadlineMs]*1000 >= r.At {
				text += fmt.Sprintf("; %s is %s (%d routers of %d, %.0f ms old)", server, c.S[Front],
					c.N[Count], c.N[Total], float64(c.N[TookUs]+r.At-c.At)/1000)
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
		case Care:
			if avoidances[r.S[Server]] = r; r.N[DeadlineMs] <= 0 {
				delete(avoidances, r.S[Server])
			}
		case Request:
			extra := ""
			if r.N[Retry] != 0 {
				extra = ", a marked repeat"
			}
			if r.Carried {
				extra += ", before this file was cut"
			}
			appendLine(r,
				"%s: router %s took call %s of class %s, tenant %s, for number %s, by %s; first choice server number %d, %d ms to go%s.",
				r.Time().Format(time.RFC3339Nano), r.S[Router], r.S[Call], r.S[Class], r.S[Tenant],
				r.S[Number], r.S[Front], r.N[Destination], r.N[DeadlineMs], extra)
		case Decision:
			switch Action(r.N[Act]) {
			case Sent:
				appendLine(r, "Attempt %d went to %s: %s%s%s.", r.N[Attempt]+1, r.S[Server],
					reasonSentence(r.N[Reason]), avoidanceText(r), serverState(r))
			case Held:
				at := r.S[Server]
				if at == "" {
					at = "its first choice"
				}
				appendLine(r, "It waited, for %s did not take it: %s%s%s.", at, reasonSentence(r.N[Reason]),
					avoidanceText(r), serverState(r))
			case Refused:
				appendLine(r, "It was given up: %s%s%s.", reasonSentence(r.N[Reason]), avoidanceText(r),
					serverState(r))
			case Failed:
				appendLine(r, "It was given up, and an attempt may have run: %s%s.",
					reasonSentence(r.N[Reason]), serverState(r))
			case GivenUp:
				appendLine(r, "The attempt at %s was withdrawn: %s%s.", r.S[Server],
					reasonSentence(r.N[Reason]), serverState(r))
			}
		case AttemptEnd:
			appendLine(r, "Attempt %d at %s ended after %.0f ms: %s.", r.N[Attempt]+1, r.S[Server],
				float64(r.N[TookUs])/1000, outcomeText(r))
		case Answer:
			switch End(r.N[Final]) {
			case EndStood:
				appendLine(r, "%s answered, the call stands, %.0f ms after it came.", r.S[Server],
					float64(r.N[TookUs])/1000)
			case EndRefused:
				text := "The caller was told: refused"
				if r.N[RetryAfterMs] > 0 {
					text += fmt.Sprintf(", come back in %d ms", r.N[RetryAfterMs])
				}
				appendLine(r, "%s.", text)
			case EndFailed:
				appendLine(r, "The caller was told: failed, since %s.",
					failureText(router.Failure(r.N[Why])))
			case EndLeft:
				appendLine(r, "The caller gave it up, %.0f ms after it came.", float64(r.N[TookUs])/1000)
			}
		case Release:
			how := "was released"
			if threadglade.Outcome(r.N[Outcome]) == threadglade.Cut {
				how = "was cut"
			}
			appendLine(r, "The call at %s %s after %.1f s.", r.S[Server], how, float64(r.N[TookUs])/1e6)
		case Stray:
			appendLine(r, "A release came of a call that router %s did not know.", r.S[Router])
		}
	}
	return lines
}

// outcomeText describes the outcome of an attempt and its cause.
func outcomeText(r *Record) string {
	text := strings.ReplaceAll(outcomeName(threadglade.Outcome(r.N[Outcome])), "_", " ")
	switch threadglade.Cause(r.N[Cause]) {
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

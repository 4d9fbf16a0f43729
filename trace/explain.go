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

// reasonTexts says a reason in a sentence about the server that stands before it.
var reasonTexts = map[threadglade.Reason]string{
	threadglade.FirstChoice: "it is the call's first choice", threadglade.Remembered: "the first choice did not take it, and this one was remembered",
	threadglade.Drawn: "the first choice did not take it, and this one was drawn at random", threadglade.Gapped: "its admission rate was used up",
	threadglade.InCoolDown: "it had failed a moment ago and was left alone", threadglade.OnProbation: "set-ups there had been unanswered for too long",
	threadglade.WouldBeLate: "its latest answers came too late for this call's aim", threadglade.ShareExhausted: "this router's share of what it can take was used up",
	threadglade.NotUp: "it drained or was gone", threadglade.NotSkilled: "it may not take this class", threadglade.NoServer: "no server was known for the call",
	threadglade.UnknownClass: "the class does not exist", threadglade.OutOfTime: "the caller's time was up", threadglade.NumberBusy: "all lines of the number were busy",
	threadglade.Displaced: "too many calls waited that are worth more", threadglade.ServerRejected: "the server had turned it away",
	threadglade.CallFaulted: "servers had found fault with it", threadglade.NoRetryAttempt: "no further attempt was allowed or would have come in time",
	threadglade.Overtaken: "a later set-up was answered first, so this one was lost", threadglade.Unbillable: "it could not have been billed",
	threadglade.Avoided:       "the routers together had found its first choice unfit, and this one was sent it in its place",
	threadglade.TakenOver:     "this router's lease had run out and nobody vouched for it: what it had in hand was another's",
	threadglade.SharedVerdict: "the routers together had found its first choice unfit, while this one had not",
	threadglade.OverLimit:     "a limit of the whole fleet was reached: the share that this router had of it was used up",
}

func because(n int64) string {
	if text := reasonTexts[threadglade.Reason(n)]; text != "" {
		return text
	}
	return "for " + reasonName(n)
}

// saw says what the decision knew of the server.
func saw(r *Record) string {
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
		add("reported %d ms ago a wait of %.0f ms and room for %s", r.N[LoadAgeMs], float64(r.N[LatencyUs])/1000, rate(r.N[QpsMilli]))
	}
	return " (" + r.S[Server] + ": " + strings.Join(parts, ", ") + ")"
}

// Story tells what became of one call in sentences, from its records in order, with those of care before and among them.
func Story(list []Record) []string {
	first := slices.IndexFunc(list, func(r Record) bool { return r.Kind != Care })
	if first < 0 {
		return nil
	}
	var out []string
	began := list[first].At
	cares := map[string]*Record{} // by server, in force
	judged := func(r *Record) string {
		switch threadglade.Reason(r.N[Reason]) {
		case threadglade.SharedVerdict, threadglade.Avoided:
		default:
			return ""
		}
		text := ""
		for _, server := range slices.Sorted(maps.Keys(cares)) {
			if c := cares[server]; c.At+c.N[DeadlineMs]*1000 >= r.At {
				text += fmt.Sprintf("; %s is %s (%d routers of %d, %.0f ms old)", server, c.S[Front], c.N[Count], c.N[Total], float64(c.N[TookUs]+r.At-c.At)/1000)
			}
		}
		return text
	}
	say := func(r *Record, format string, args ...any) {
		at := "       0 ms"
		if r.At != began {
			at = fmt.Sprintf("%+8.0f ms", float64(r.At-began)/1000)
		}
		out = append(out, at+"  "+fmt.Sprintf(format, args...))
	}
	for i := range list {
		r := &list[i]
		switch r.Kind {
		case Care:
			if cares[r.S[Server]] = r; r.N[DeadlineMs] <= 0 {
				delete(cares, r.S[Server])
			}
		case Request:
			extra := ""
			if r.N[Retry] != 0 {
				extra = ", a marked repeat"
			}
			if r.Carried {
				extra += ", before this file was cut"
			}
			say(r, "%s: router %s took call %s of class %s, tenant %s, for number %s, by %s; first choice server number %d, %d ms to go%s.", r.Time().Format(time.RFC3339Nano),
				r.S[Router], r.S[Call], r.S[Class], r.S[Tenant], r.S[Number], r.S[Front], r.N[Destination], r.N[DeadlineMs], extra)
		case Decision:
			switch Action(r.N[Act]) {
			case Sent:
				say(r, "Attempt %d went to %s: %s%s%s.", r.N[Attempt]+1, r.S[Server], because(r.N[Reason]), judged(r), saw(r))
			case Held:
				at := r.S[Server]
				if at == "" {
					at = "its first choice"
				}
				say(r, "It waited, for %s did not take it: %s%s%s.", at, because(r.N[Reason]), judged(r), saw(r))
			case Refused:
				say(r, "It was given up: %s%s%s.", because(r.N[Reason]), judged(r), saw(r))
			case Failed:
				say(r, "It was given up, and an attempt may have run: %s%s.", because(r.N[Reason]), saw(r))
			case GivenUp:
				say(r, "The attempt at %s was withdrawn: %s%s.", r.S[Server], because(r.N[Reason]), saw(r))
			}
		case AttemptEnd:
			say(r, "Attempt %d at %s ended after %.0f ms: %s.", r.N[Attempt]+1, r.S[Server], float64(r.N[TookUs])/1000, outcomeText(r))
		case Answer:
			switch End(r.N[Final]) {
			case EndStood:
				say(r, "%s answered, the call stands, %.0f ms after it came.", r.S[Server], float64(r.N[TookUs])/1000)
			case EndRefused:
				text := "The caller was told: refused"
				if r.N[RetryAfterMs] > 0 {
					text += fmt.Sprintf(", come back in %d ms", r.N[RetryAfterMs])
				}
				say(r, "%s.", text)
			case EndFailed:
				say(r, "The caller was told: failed, since %s.", failureName(router.Failure(r.N[Why])))
			case EndLeft:
				say(r, "The caller gave it up, %.0f ms after it came.", float64(r.N[TookUs])/1000)
			}
		case Release:
			how := "was released"
			if threadglade.Outcome(r.N[Outcome]) == threadglade.Cut {
				how = "was cut"
			}
			say(r, "The call at %s %s after %.1f s.", r.S[Server], how, float64(r.N[TookUs])/1e6)
		case Stray:
			say(r, "A release came of a call that router %s did not know.", r.S[Router])
		}
	}
	return out
}

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

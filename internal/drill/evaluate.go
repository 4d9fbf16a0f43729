package drill

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

// Verdict is the outcome of one check.
type Verdict struct {
	What  string   `json:"what"`            // the check as in the drill file, or the name of a check of every drill
	Holds bool     `json:"holds"`           // the check passed
	Why   string   `json:"why,omitempty"`   // reason of a failure
	Least *float64 `json:"slack,omitempty"` // smallest distance to the bound; nil if the check has none
	Unit  string   `json:"unit,omitempty"`  // of Least: ms or calls
}

// commandPropagationDelay is how long it may take until every router applies an operator's command.
const commandPropagationDelay = 700 * time.Millisecond

// Result is the outcome of a drill. All times count from the start of the observer.
type Result struct {
	Name         string                `json:"name"`
	Seed         int                   `json:"seed"`
	FormedAt     time.Duration         `json:"zero"` // when the fleet had formed
	EndedAt      time.Duration         `json:"over"` // end of the drill
	Verdicts     []Verdict             `json:"verdicts"`
	Happened     []FaultEvent          `json:"happened"` // faults in the order of their injection
	Intruded     []Intrusion           `json:"intruded,omitempty"`
	Calls        standin.LoadCounts    `json:"-"`
	Offered      int                   `json:"offered"`         // calls that callers made
	Stood        int                   `json:"stood"`           // calls that were established
	Lost         int                   `json:"lost"`            // calls without an answer
	Exits        map[string]int        `json:"exits,omitempty"` // by ID: exit codes of processes that the drill didn't end
	Measured     map[string]Statistics `json:"measured,omitempty"`
	Use          ResourceUsage         `json:"use"`
	Observations []Observation         `json:"-"`
	Spans        []Span                `json:"spans"`
}

// Statistics summarizes samples of one quantity, in milliseconds unless its name says otherwise.
type Statistics struct {
	N                      int // number of samples
	Median, P99, Most, Min float64
}

// Span is an interval in which one process acted under one incarnation or led in one term.
type Span struct {
	Name     string        `json:"who"`    // name of the router or keeper
	Kind     string        `json:"kind"`   // act or lead
	Number   uint64        `json:"number"` // incarnation or term
	Process  uint64        `json:"process,omitempty"`
	From, To time.Duration `json:"-"`
	FromMs   float64       `json:"from_ms"`
	ToMs     float64       `json:"to_ms"`
}

// OK reports whether all checks passed.
func (r *Result) OK() bool {
	return !slices.ContainsFunc(r.Verdicts, func(v Verdict) bool { return !v.Holds })
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// summarize returns the statistics of a list of times, which it sorts.
func summarize(list []time.Duration) Statistics {
	slices.Sort(list)
	n := len(list)
	if n == 0 {
		return Statistics{}
	}
	return Statistics{n, milliseconds(list[n/2]), milliseconds(list[min(n-1, n*99/100)]),
		milliseconds(list[n-1]), milliseconds(list[0])}
}

// joinSpans joins observations into spans of acting and leading, sorted by their start. Observations that are gap
// or more apart belong to different spans.
func joinSpans(observations []Observation, gap time.Duration) (joined []Span) {
	open := map[string]int{}
	for _, observation := range observations {
		number := observation.Incarnation
		if observation.Kind == "lead" {
			number = observation.Term
		} else if observation.Kind != "act" {
			continue
		}
		key := observation.Kind + observation.Name + fmt.Sprint(number, observation.Process)
		if i, ok := open[key]; ok && observation.At-joined[i].To < gap {
			joined[i].To = observation.At
			continue
		}
		open[key] = len(joined)
		joined = append(joined, Span{Name: observation.Name, Kind: observation.Kind, Number: number,
			Process: observation.Process, From: observation.At, To: observation.At})
	}
	for i := range joined {
		joined[i].FromMs, joined[i].ToMs = milliseconds(joined[i].From), milliseconds(joined[i].To)
	}
	return joined
}

// evaluate runs the plan's checks and those of every drill on what the observer, the case servers and the callers
// saw.
func (d *drillRun) evaluate(endedAt time.Duration, calls standin.LoadCounts, exits map[string]int) *Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	result := &Result{Name: d.plan.Name, Seed: d.plan.Seed, FormedAt: d.formedAt, EndedAt: endedAt,
		Happened: d.faultEvents, Intruded: d.intrusions,
		Calls: calls, Offered: calls.Offered, Stood: calls.Established, Lost: calls.Lost, Exits: exits,
		Measured: map[string]Statistics{}, Observations: d.observer.allObservations()}
	result.Spans = joinSpans(result.Observations, 4*d.plan.BeaconInterval+300*time.Millisecond)
	for _, check := range d.plan.Checks {
		verdict := Verdict{What: check.String()}
		verdict.Why, verdict.Least = d.check(result, check)
		verdict.Holds, verdict.Unit = verdict.Why == "", "ms"
		if strings.HasPrefix(check.Kind, "limit-") || check.Kind == "sent-most" {
			verdict.Unit = "calls"
		}
		result.Verdicts = append(result.Verdicts, verdict)
	}
	// Checks of every drill.
	addInvariant := func(what, why string) {
		result.Verdicts = append(result.Verdicts, Verdict{What: what, Holds: why == "", Why: why})
	}
	why := ""
	for _, server := range d.servers {
		if n := server.Counts().Violations; n > 0 {
			why = fmt.Sprintf("case servers received %d set-ups of a call that was pending or established:%s",
				n, d.describeViolations(server))
		}
	}
	if calls.Violations > 0 {
		why = fmt.Sprintf("callers had %d second final answers", calls.Violations)
	}
	addInvariant("one final answer, one attempt at once", why)
	why = ""
	for _, event := range d.faultEvents {
		if event.Error != "" {
			why = fmt.Sprintf("%s: %s", event.What, event.Error)
		}
	}
	addInvariant("each fault was caused", why)
	why = ""
	for _, intrusion := range d.intrusions { // the kinds newer and greedy follow the protocol and must be accepted
		if intrusion.Refused == (intrusion.Kind == "newer" || intrusion.Kind == "greedy") {
			why = fmt.Sprintf("%s: %s", intrusion.Kind, intrusion.Saw)
		}
	}
	addInvariant("intruders are refused, and only they", why)
	if d.observer.malformed > 0 {
		addInvariant("what the witness hears can be read",
			fmt.Sprintf("%d datagrams could not be parsed", d.observer.malformed))
	}
	return result
}

// describeViolations returns the times of a case server's first violations, since the fleet has formed.
func (d *drillRun) describeViolations(server *standin.Server) (text string) {
	for _, violation := range server.Violations() {
		text += fmt.Sprintf(" %s at %s (the one before at %s, answered: %s, released: %s, same connection: %v)",
			violation.Call, d.sinceFormed(violation.At), d.sinceFormed(violation.ReceivedAt), d.sinceFormed(violation.AnsweredAt),
			d.sinceFormed(violation.ReleasedAt), violation.SameConn)
	}
	return text
}

// check evaluates one check. It returns why it failed, or "" if it passed, and the slack to its bound if it has one.
func (d *drillRun) check(r *Result, check Check) (why string, slack *float64) {
	interval := func(from, to string) (time.Duration, time.Duration) {
		return d.formedAt + parseDuration(from), d.formedAt + parseDuration(to)
	}
	switch check.Kind {
	case "one-acts":
		return checkOneActs(r)
	case "one-leads":
		leaders := map[uint64]string{}
		for _, observation := range r.Observations {
			if observation.Kind == "lead" {
				if earlier, ok := leaders[observation.Term]; ok && earlier != observation.Name {
					return fmt.Sprintf("%s and %s both lead in term %d", earlier, observation.Name, observation.Term), nil
				}
				leaders[observation.Term] = observation.Name
			}
		}
	case "lead-within":
		return d.checkLeadWithin(r, parseDuration(check.Args[0]))
	case "known-within":
		return d.checkKnownWithin(r, parseDuration(check.Args[0]))
	case "lost-calls":
		if r.Lost > parseInt(check.Args[0]) {
			return fmt.Sprintf("%d calls of %d had no answer", r.Lost, r.Offered), nil
		}
	case "stood-share":
		if r.Offered == 0 || r.Stood*100 < parseInt(check.Args[0])*r.Offered {
			return fmt.Sprintf("%d calls of %d were established", r.Stood, r.Offered), nil
		}
	case "acts", "silent", "leads-none":
		args := check.Args
		ids := []string{""}
		if check.Kind != "leads-none" {
			ids, _ = d.resolvePattern(args[0])
			args = args[1:]
		}
		from, to := interval(args[0], args[1])
		for _, id := range ids {
			matches := 0
			for _, observation := range r.Observations {
				if observation.At >= from && observation.At < to &&
					(observation.Kind == "act" && observation.Name == id || id == "" && observation.Kind == "lead") {
					matches++
				}
			}
			if (matches > 0) != (check.Kind == "acts") {
				return fmt.Sprintf("%s: %d times from %v to %v", id, matches, args[0], args[1]), nil
			}
		}
	case "limit-rate":
		return d.checkLimitRate(r, check)
	case "sent-most", "carries":
		from, to := interval(check.Args[1], check.Args[2])
		// A held server is checked once the command has ended and the routers have applied it.
		if held, wasHeld := d.heldSince[check.Args[0]]; wasHeld && check.Kind == "sent-most" {
			from = max(from, held+commandPropagationDelay)
		}
		return d.checkServerSetUps(r, check, from, to)
	case "billed-once":
		return d.checkBilledOnce(r, parseInt(check.Args[0]), parseInt(check.Args[1]))
	case "released-once":
		return d.checkReleasedOnce(r, parseInt(check.Args[0]), parseInt(check.Args[1]))
	case "stood-within":
		from, to := interval(check.Args[0], check.Args[1])
		tried, established := 0, 0
		for _, firstTry := range d.load.FirstTries() {
			if at := firstTry.SentAt.Sub(d.start); at >= from && at < to {
				tried++
				if firstTry.Established {
					established++
				}
			}
		}
		r.Measured["first tries that stood from "+check.Args[0]+" to "+check.Args[1]+", in percent"] =
			Statistics{N: tried, Median: 100 * float64(established) / float64(max(tried, 1))}
		if tried == 0 || established*100 < parseInt(check.Args[2])*tried {
			return fmt.Sprintf("%d of %d first tries were established", established, tried), nil
		}
	case "limit-further":
		calls, attempts := 0, 0
		for _, c := range d.callsOfClass("any") {
			calls++
			attempts += c.Received
		}
		bound := float64(parseInt(check.Args[0]))/100*float64(r.Offered) + float64(parseInt(check.Args[1]))
		slack := bound - float64(attempts-calls)
		r.Measured[fmt.Sprintf("further attempts (bound %.0f)", bound)] =
			Statistics{N: calls, Most: float64(attempts - calls)}
		if slack < 0 || attempts == calls {
			return fmt.Sprintf("%d retry attempts for %d calls, bound %.0f", attempts-calls, calls, bound), nil
		}
		return "", &slack
	case "limit-calls":
		return d.checkLimitCalls(r, check)
	case "recovers":
		return d.checkRecovers(r, d.formedAt+parseDuration(check.Args[0]), parseDuration(check.Args[1]),
			float64(parseInt(check.Args[2]))/100)
	case "limit-cold":
		index := parseInt(strings.TrimPrefix(check.Args[0], "s"))
		if index >= len(d.servers) {
			return "no such case server", nil
		}
		var times []time.Duration
		for _, c := range d.servers[index].Calls() {
			times = append(times, c.FirstInviteAt.Sub(d.start))
		}
		slices.Sort(times)
		from, to := interval(check.Args[2], check.Args[3])
		bound := float64(parseInt(check.Args[4])) + float64(parseInt(check.Args[1]))*maxSetUpJitter.Seconds()
		most, _, matches := maxBucketLevel(times, float64(parseInt(check.Args[1])), from, to)
		slack := bound - most
		r.Measured[fmt.Sprintf("set-ups to the cold %s above %s a second (bound %.0f)",
			check.Args[0], check.Args[1], bound)] = Statistics{N: matches, Most: most}
		if slack < 0 {
			return fmt.Sprintf("%.0f set-ups above %s a second, bound %.0f", most, check.Args[1], bound), nil
		}
		if matches == 0 {
			return "the cold server received no set-up", nil
		}
		return "", &slack
	case "use-rate":
		from, to := interval(check.Args[2], check.Args[3])
		matches := 0
		for _, at := range d.setUpTimes(check.Args[0]) {
			if at >= from && at < to {
				matches++
			}
		}
		want := float64(parseInt(check.Args[1])) * (to - from).Seconds() * float64(parseInt(check.Args[4])) / 100
		slack := float64(matches) - want
		r.Measured[fmt.Sprintf("set-ups a second of %s from %s to %s", check.Args[0], check.Args[2], check.Args[3])] =
			Statistics{N: matches, Median: float64(matches) / (to - from).Seconds()}
		if slack < 0 {
			return fmt.Sprintf("case servers received %d set-ups, expected at least %.0f", matches, want), nil
		}
		return "", nil
	case "exits":
		ids, _ := d.resolvePattern(check.Args[0])
		for _, id := range ids {
			if code, ended := r.Exits[id]; !ended || code == 0 {
				return fmt.Sprintf("%s has not exited by itself with an error", id), nil
			}
		}
	}
	return "", nil
}

// checkServerSetUps checks the set-ups that a case server received in an interval: sent-most bounds their number, and
// carries requires a minimum percentage of the mean over all case servers.
func (d *drillRun) checkServerSetUps(r *Result, check Check, from, to time.Duration) (string, *float64) {
	index := parseInt(strings.TrimPrefix(check.Args[0], "s"))
	if check.Args[0][0] != 's' || index >= len(d.servers) {
		return "no such case server", nil
	}
	total, received, times := 0, 0, []time.Duration(nil)
	for i, server := range d.servers {
		for _, c := range server.Calls() {
			if first := c.FirstInviteAt.Sub(d.start); first >= from && first < to {
				total++
				if i == index {
					received++
					times = append(times, (first - d.formedAt).Round(time.Millisecond))
				}
			}
		}
	}
	bound := parseInt(check.Args[3])
	r.Measured[fmt.Sprintf("set-ups to %s from %s to %s", check.Args[0], check.Args[1], check.Args[2])] =
		Statistics{N: received, Median: float64(received) / (to - from).Seconds()}
	if check.Kind == "sent-most" {
		if slack := float64(bound - received); slack >= 0 {
			return "", &slack
		}
		slices.Sort(times)
		return fmt.Sprintf("%d set-ups, at most %d allowed, the first at %v, the last at %v; checked from %v",
			received, bound, times[0], times[len(times)-1], from-d.formedAt), nil
	}
	if share := 100 * received * len(d.servers) / max(total, 1); share < bound {
		return fmt.Sprintf("%d%% of the mean of all case servers: %d of %d set-ups, %d since its start, on %d connections", share,
			received, total, d.servers[index].Counts().Received, d.servers[index].Counts().Accepted), nil
	}
	return "", nil
}

// checkOneActs checks that no router acts under an earlier incarnation after its name has acted under a later one,
// and that no incarnation is given to two processes or names.
func checkOneActs(r *Result) (string, *float64) {
	type actor struct {
		name    string
		process uint64
	}
	owner := map[uint64]actor{}
	last := map[string]Observation{}
	var gaps []time.Duration
	for _, observation := range r.Observations {
		if observation.Kind != "act" {
			continue
		}
		current := actor{observation.Name, observation.Process}
		if earlier, ok := owner[observation.Incarnation]; ok && earlier != current {
			return fmt.Sprintf("incarnation %d was given to %s (process %d) and to %s (process %d)",
				observation.Incarnation, earlier.name, earlier.process, observation.Name, observation.Process), nil
		}
		owner[observation.Incarnation] = current
		if earlier, ok := last[observation.Name]; ok && earlier.Incarnation != observation.Incarnation {
			if observation.Incarnation < earlier.Incarnation {
				return fmt.Sprintf("%s acts under incarnation %d at %v, %v after an act under incarnation %d",
					observation.Name, observation.Incarnation, (observation.At - r.FormedAt).Round(time.Millisecond),
					(observation.At - earlier.At).Round(time.Millisecond), earlier.Incarnation), nil
			}
			gaps = append(gaps, observation.At-earlier.At)
		}
		last[observation.Name] = observation
	}
	if len(owner) == 0 {
		return "no router acted", nil
	}
	if len(gaps) == 0 {
		return "", nil
	}
	stats := summarize(gaps)
	r.Measured["gap between two incarnations of a name"] = stats
	return "", &stats.Min
}

// checkLeadWithin checks that after each fault of the leading keeper another keeper leads in a later term within
// bound.
func (d *drillRun) checkLeadWithin(r *Result, bound time.Duration) (string, *float64) {
	var times []time.Duration
	for _, event := range r.Happened {
		if !event.AtLeader ||
			event.Other == nil && !slices.Contains([]string{"kill", "stop", "fill", "term"}, firstWord(event.What)) {
			continue
		}
		term, delay := uint64(0), time.Duration(-1)
		for _, observation := range r.Observations {
			if observation.Kind != "lead" {
				continue
			}
			if observation.At <= event.At {
				term = max(term, observation.Term)
			} else if observation.Name != event.Who[0] && observation.Term > term {
				delay = observation.At - event.At
				break
			}
		}
		if delay < 0 || delay > bound {
			return fmt.Sprintf("after %s (%s) at %v the next keeper leads after %v", event.What, event.Who[0],
				(event.At - r.FormedAt).Round(time.Millisecond), delay.Round(time.Millisecond)), nil
		}
		times = append(times, delay)
	}
	if len(times) == 0 {
		return "no fault targeted the leading keeper", nil
	}
	stats := summarize(times)
	r.Measured["until another keeper leads"] = stats
	slack := milliseconds(bound) - stats.Most
	return "", &slack
}

// firstWord returns s up to its first space.
func firstWord(s string) string {
	for i, c := range s {
		if c == ' ' {
			return s[:i]
		}
	}
	return s
}

// checkKnownWithin checks that each router that was killed or stopped, and had no other fault within bound, is
// reported as lost by every router that still acts when bound has passed. The time from the last act of the lost
// router to each report must not exceed bound.
func (d *drillRun) checkKnownWithin(r *Result, bound time.Duration) (string, *float64) {
	var times []time.Duration
	for i, event := range r.Happened {
		if word := firstWord(event.What); word != "kill" && word != "stop" {
			continue
		}
		for _, id := range event.Who {
			if id[0] != 'r' || slices.ContainsFunc(r.Happened[i+1:], func(later FaultEvent) bool {
				return slices.Contains(later.Who, id) && later.At < event.At+bound
			}) {
				continue
			}
			var lastAct Observation
			acted := map[string]time.Duration{}
			for _, observation := range r.Observations {
				if observation.Kind != "act" {
					continue
				}
				if observation.Name == id && observation.At <= event.At+50*time.Millisecond {
					lastAct = observation
				}
				if observation.At > event.At+bound {
					acted[observation.Name] = observation.At
				}
			}
			if lastAct.Incarnation == 0 {
				return fmt.Sprintf("%s did not act before it was lost", id), nil
			}
			for _, other := range slices.Sorted(maps.Keys(acted)) {
				if other == id {
					continue
				}
				delay := time.Duration(-1)
				for _, observation := range r.Observations {
					if observation.Kind == "lost" && observation.Name == other &&
						observation.LostName == id && observation.Incarnation == lastAct.Incarnation {
						delay = observation.At - lastAct.At
						break
					}
				}
				if delay < 0 || delay > bound {
					return fmt.Sprintf("%s reports the loss of %s (at %v) after %v", other, id,
						(event.At - r.FormedAt).Round(time.Millisecond), delay.Round(time.Millisecond)), nil
				}
				times = append(times, delay)
			}
		}
	}
	if len(times) == 0 {
		return "no router was lost for long enough, or none was left to report it", nil
	}
	stats := summarize(times)
	r.Measured["until a lost router is known"] = stats
	slack := milliseconds(bound) - stats.Most
	return "", &slack
}

// maxSetUpJitter is the most by which the delay from router to case server may vary between set-ups.
const maxSetUpJitter = 100 * time.Millisecond

// callsOfClass returns the calls of a class as the case servers saw them, by call ID. The class "any" selects all
// calls, and a class of digits selects the calls to numbers with that prefix. The attempts of a call at several
// servers are merged into one record.
func (d *drillRun) callsOfClass(class string) map[string]standin.CallRecord {
	all := map[string]standin.CallRecord{}
	for _, server := range append(d.replacedServers, d.servers...) {
		for id, call := range server.Calls() {
			if isNumber := class[0] >= '0' && class[0] <= '9'; class != "any" && call.Class != class &&
				!(isNumber && strings.HasPrefix(call.Number, class)) {
				continue
			}
			if earlier, ok := all[id]; ok {
				call.Received += earlier.Received
				if earlier.FirstInviteAt.Before(call.FirstInviteAt) {
					call.FirstInviteAt = earlier.FirstInviteAt
				}
				if !earlier.EndedAt.IsZero() && !call.EndedAt.IsZero() && earlier.EndedAt.After(call.EndedAt) ||
					earlier.EndedAt.IsZero() {
					call.EndedAt = earlier.EndedAt
				}
			}
			all[id] = call
		}
	}
	return all
}

// setUpTimes returns when the first set-up of each call of a class arrived, since start and sorted.
func (d *drillRun) setUpTimes(class string) (times []time.Duration) {
	for _, c := range d.callsOfClass(class) {
		times = append(times, c.FirstInviteAt.Sub(d.start))
	}
	slices.Sort(times)
	return times
}

// maxBucketLevel returns the maximum level of a leaky bucket that drains at rate per second and gets one unit for
// each arrival in [from, to), the time of that maximum, and the number of arrivals. The level is the most by which
// the arrivals in any time window exceed the rate.
func maxBucketLevel(times []time.Duration, rate float64, from, to time.Duration) (
	maxLevel float64, maxAt time.Duration, arrivals int,
) {
	level, last := 0.0, time.Duration(0)
	for _, at := range times {
		if at < from || at >= to {
			continue
		}
		arrivals++
		level = max(0, level-rate*(at-last).Seconds()) + 1
		last = at
		if level > maxLevel {
			maxLevel, maxAt = level, at
		}
	}
	return maxLevel, maxAt, arrivals
}

// checkLimitRate checks the rate at which calls of a class arrive at case servers: in any time window of length W
// after FROM, at most 1.01 R W + R b + n calls, plus what may arrive at 1.01 R within maxSetUpJitter. The arguments
// are the class, the limit R in calls a second, the duration b of a burst at that rate, FROM, and n, the number of
// calls allowed beyond that.
func (d *drillRun) checkLimitRate(r *Result, check Check) (string, *float64) {
	rate := float64(parseInt(check.Args[1])) * 1.01
	bound := float64(parseInt(check.Args[1]))*parseDuration(check.Args[2]).Seconds() +
		float64(parseInt(check.Args[4])) + rate*maxSetUpJitter.Seconds()
	from := d.formedAt + parseDuration(check.Args[3])
	maxLevel, maxAt, arrivals := maxBucketLevel(d.setUpTimes(check.Args[0]), rate, from, time.Duration(math.MaxInt64))
	if arrivals == 0 {
		return "no call arrived at a case server", nil
	}
	slack := bound - maxLevel
	r.Measured["over "+check.Args[1]+" a second of "+check.Args[0]+", in calls (bound "+fmt.Sprintf("%.0f", bound)+")"] =
		Statistics{N: arrivals, Most: maxLevel}
	if slack < 0 {
		return fmt.Sprintf("%.1f calls above the limit at %v, bound %.1f",
			maxLevel, (maxAt - d.formedAt).Round(time.Millisecond), bound), nil
	}
	return "", &slack
}

// checkRecovers checks that, at the latest bound after from and then until the end of the drill, at least minShare of
// the first tries in each window of half a second are established.
func (d *drillRun) checkRecovers(r *Result, from, bound time.Duration, minShare float64) (string, *float64) {
	const window = 500 * time.Millisecond
	tried, established := map[int]float64{}, map[int]float64{}
	last := 0
	for _, firstTry := range d.load.FirstTries() {
		// Tries in the last 2 s may still have been unanswered at the end.
		if at := firstTry.SentAt.Sub(d.start); at >= from && at < r.EndedAt-2*time.Second {
			i := int((at - from) / window)
			tried[i]++
			last = max(last, i)
			if firstTry.Established {
				established[i]++
			}
		}
	}
	after := time.Duration(0)
	for i := range last { // without the last window, which may be incomplete
		if established[i] < minShare*tried[i] {
			after = time.Duration(i+1) * window
		}
	}
	r.Measured["until first tries stand again"] = summarize([]time.Duration{after})
	if len(tried) == 0 || after > bound {
		return fmt.Sprintf("first tries are established again after %v", after), nil
	}
	slack := milliseconds(bound - after)
	return "", &slack
}

// checkLimitCalls checks that the number of concurrent calls of a class at case servers never exceeds a limit.
func (d *drillRun) checkLimitCalls(r *Result, check Check) (string, *float64) {
	type edge struct {
		at   time.Time
		step int
	}
	var edges []edge
	for _, c := range d.callsOfClass(check.Args[0]) {
		edges = append(edges, edge{c.FirstInviteAt, 1})
		if !c.EndedAt.IsZero() {
			edges = append(edges, edge{c.EndedAt, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.step - b.step
	})
	active, maxActive := 0, 0
	var maxAt time.Time
	for _, e := range edges {
		if active += e.step; active > maxActive {
			maxActive, maxAt = active, e.at
		}
	}
	bound := parseInt(check.Args[1])
	slack := float64(bound - maxActive)
	r.Measured["most calls of "+check.Args[0]+" at once (bound "+check.Args[1]+")"] =
		Statistics{N: len(edges), Most: float64(maxActive)}
	if maxActive > bound {
		return fmt.Sprintf("%d calls at once at %v",
			maxActive, (maxAt.Sub(d.start) - d.formedAt).Round(time.Millisecond)), nil
	}
	if maxActive == 0 {
		return "no call arrived at a case server", nil
	}
	return "", &slack
}

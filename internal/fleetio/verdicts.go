package fleetio

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/verdict"
)

// Verdicts on case servers: transport and timing for package verdict. Routers exchange evidence with their neighbours
// on links that need no keeper. Operators' holds are facts in the fleet's log.

const (
	// checkInterval is the shortest time between the loop's checks for missing answers and updates of avoidances.
	checkInterval = 25 * time.Millisecond
	// evaluationInterval is the shortest time between two evaluations by the core.
	evaluationInterval = 25 * time.Millisecond
	// HoldKeyPrefix begins the keys of operators' holds on case servers; a hold lasts at most maxHoldDuration.
	HoldKeyPrefix   = "verdict/"
	maxHoldDuration = 24 * time.Hour
)

// verdictState is the state of the verdicts that the loop and the core keep and exchange.
type verdictState struct {
	// Used by the loop.
	watch             *verdict.Watch
	nextCheck         time.Duration
	appliedEvaluation *evaluation
	clockOffset       time.Duration // Clock minus Config.Now
	// Used by the core.
	table       *verdict.Table
	links       map[string]*link // to neighbours, by name
	evaluatedAt time.Duration
	holds       map[string]operatorHold // by server
	// Used by both.
	evaluation atomic.Pointer[evaluation]
	avoided    atomic.Pointer[map[verdict.Key]bool] // servers avoided because of verdicts
}

// evaluation is the result of one evaluation by the core; immutable.
type evaluation struct {
	verdicts    []verdict.Verdict
	suspected   map[verdict.Key]time.Duration
	routerCount int
}

// operatorHold is an operator's hold on a case server: routers avoid the server until it ends.
type operatorHold struct {
	version uint64
	until   time.Duration
	why     string
}

// openVerdicts creates the state of verdicts.
func (f *Fleet) openVerdicts(now time.Duration) {
	state := &verdictState{
		watch: verdict.NewWatch(*f.cfg.Verdicts, f.cfg.Zone, f.process),
		table: verdict.NewTable(*f.cfg.Verdicts, f.cfg.Name),
		links: map[string]*link{},
		holds: map[string]operatorHold{},
	}
	state.evaluation.Store(&evaluation{routerCount: 1})
	state.avoided.Store(&map[verdict.Key]bool{})
	f.verdicts = state
}

// Called by the core.

// handleVerdictNote handles a change in the fleet: its members, this router's incarnation and operators' holds.
func (f *Fleet) handleVerdictNote(note fleet.Note) {
	state := f.verdicts
	switch note.Kind {
	case fleet.LeaseGranted:
		state.table.SetIncarnation(note.Incarnation)
		f.updateNeighbours()
	case fleet.MemberBegan, fleet.MemberLost, fleet.MemberLeft:
		f.updateNeighbours()
	case fleet.FactWritten:
		if server, ok := strings.CutPrefix(note.Name, HoldKeyPrefix); ok {
			f.applyOperatorHold(server, note)
		}
	}
}

// updateNeighbours sets the members that take part in verdicts, and opens and closes links to match the fleet's
// members.
func (f *Fleet) updateNeighbours() {
	if f.verdicts == nil {
		f.updateRouterLinks(f.wantedRouterLinks())
		return
	}
	state := f.verdicts
	var names []string
	var members []verdict.Member
	for _, m := range f.member.Machine.Members() {
		if !m.Live {
			continue
		}
		members = append(members, verdict.Member{Name: m.Name, Zone: m.Zone})
		if f.cfg.RouterAddresses[m.Name] != "" || m.Address != "" {
			names = append(names, m.Name)
		}
	}
	state.table.SetMembers(members)
	names = verdict.Neighbours(f.cfg.Name, names)
	if f.takeover != nil {
		names = append(names, f.wantedRouterLinks()...)
	}
	f.updateRouterLinks(names)
}

// applyOperatorHold applies a fact about a hold. A hold ends at the wall-clock time in the fact, but no later than its
// duration after the fact was received, so that a wrong clock can't prolong it.
func (f *Fleet) applyOperatorHold(server string, note fleet.Note) {
	state := f.verdicts
	_, why, text := DecodeOperatorValue(note.Value)
	durationText, endText, _ := strings.Cut(text, " ")
	duration, err := time.ParseDuration(durationText)
	endMillis, endErr := strconv.ParseInt(endText, 10, 64)
	if text == "" || err != nil || endErr != nil || duration <= 0 {
		delete(state.holds, server)
	} else {
		left := min(duration, maxHoldDuration, time.Until(time.UnixMilli(endMillis)))
		state.holds[server] = operatorHold{note.Number, Clock() + left, why}
	}
	var list []verdict.Verdict
	for _, server := range slices.Sorted(maps.Keys(state.holds)) {
		hold := state.holds[server]
		list = append(list, verdict.Verdict{
			Key:        verdict.Key{Server: server},
			Kind:       verdict.Held,
			Until:      hold.until,
			Reason:     hold.why,
			Confidence: 1,
			Routers:    state.table.RouterCount(),
		})
	}
	state.table.SetHolds(list)
}

// EncodeHold returns the value of a fact by which an operator holds a case server, so that routers avoid it, for a
// duration from now.
func EncodeHold(who, why string, d time.Duration, now time.Time) []byte {
	return EncodeOperatorValue(who, why, d.String()+" "+strconv.FormatInt(now.Add(d).UnixMilli(), 10))
}

// handleRouterEvent handles an event of a link to another router.
func (f *Fleet) handleRouterEvent(now time.Duration, e linkEvent) {
	state, l := f.verdicts, e.link
	switch {
	case state == nil && f.takeover == nil || !f.cfg.Settings.IsListed(l.name):
		l.cancel()
	case e.closed:
		if f.takeover != nil {
			f.updateTakeoverLinks(l, false)
		}
		if state != nil && state.links[l.name] == l {
			delete(state.links, l.name)
			state.table.LinkClosed(l.name)
		}
	case e.frame == nil: // of two links to a router, the latest is used to send; frames are received on both
		if f.takeover != nil {
			f.updateTakeoverLinks(l, true)
		}
		if state != nil {
			state.links[l.name] = l
			state.table.LinkOpened(now, l.name)
		}
	case e.frame.GetWork() != nil:
		f.receiveTakeoverFrame(now, l, e.frame.GetWork())
	case e.frame.GetTalk() != nil && state != nil:
		frame, err := verdict.ParseFrame(e.frame.GetTalk())
		if err != nil {
			f.countRefusal(l.name + ": " + err.Error())
			l.cancel()
			return
		}
		state.table.Receive(now, l.name, frame)
	case e.frame.GetTalk() != nil: // verdicts are disabled here: ignored
	default:
		f.countRefusal(l.name + ": sent a frame that it is not allowed to send")
		l.cancel()
	}
}

// tickVerdicts sends the table's frames and evaluates the evidence when that is due.
func (f *Fleet) tickVerdicts(now time.Duration) {
	state := f.verdicts
	for _, o := range state.table.Tick(now) {
		if l := state.links[o.To]; l != nil {
			f.send(l, &fleetpb.Frame{What: &fleetpb.Frame_Talk{Talk: o.Frame.Marshal()}})
		}
	}
	if now-state.evaluatedAt < evaluationInterval || !state.table.Changed() && now-state.evaluatedAt < time.Second {
		return
	}
	state.evaluatedAt = now
	previous := state.evaluation.Load()
	current := &evaluation{verdicts: state.table.Verdicts(now), routerCount: state.table.RouterCount()}
	current.suspected = state.table.Suspected()
	state.evaluation.Store(current)
	if len(current.verdicts) > 0 || len(previous.verdicts) > 0 {
		f.logVerdictChanges(previous.verdicts, current.verdicts)
		f.cfg.Wake()
	}
}

// logVerdictChanges logs the verdicts that differ between two evaluations.
func (f *Fleet) logVerdictChanges(before, after []verdict.Verdict) {
	kinds := map[verdict.Key]verdict.Kind{}
	for _, v := range before {
		kinds[v.Key] = v.Kind
	}
	for _, v := range after {
		if kinds[v.Key] != v.Kind {
			f.cfg.Log.Warn().Str("event", "verdict").Str("server", v.Server).Stringer("verdict", v.Kind).
				Strs("zones", v.Zones).Int("bad", v.Bad).Int("good", v.Good).
				Strs("sources", v.Sources).Dur("age", v.Age).
				Msgf("verdict: server %s is %s: %d of %d routers miss its answers, %d have had an answer since",
					v.Server, v.Kind, v.Bad, v.Routers, v.Good)
		}
		delete(kinds, v.Key)
	}
	for key, kind := range kinds {
		if kind != verdict.Fit {
			f.cfg.Log.Info().Str("event", "verdict").Str("server", key.Server).Stringer("verdict", verdict.Fit).
				Msgf("verdict: server %s is fit: no fault found any more", key.Server)
		}
	}
}

// report returns the marshalled report for operators.
func (t *verdictState) report(now time.Duration) []byte {
	r := t.table.Report(now, *t.avoided.Load())
	r.Zone = t.watch.Zone
	b, _ := proto.Marshal(r)
	return b
}

// Called by the loop.

// HasVerdicts reports whether this router shares verdicts with others.
func (f *Fleet) HasVerdicts() bool { return f.verdicts != nil }

// SetServers sets the case servers in use.
func (f *Fleet) SetServers(list []verdict.Server) {
	f.verdicts.watch.SetServers(Clock(), list)
}

// AttemptSent records that an attempt was sent to a case server. At is a time of Config.Now.
func (f *Fleet) AttemptSent(at time.Duration, slot uint32, server string) {
	f.verdicts.watch.AttemptSent(at+f.verdicts.clockOffset, slot, server)
}

// AttemptAnswered records that an attempt's answer was received. At is a time of Config.Now.
func (f *Fleet) AttemptAnswered(at time.Duration, slot uint32) {
	f.verdicts.watch.AttemptAnswered(at+f.verdicts.clockOffset, slot)
}

// AttemptEnded records the end of an attempt. At is a time of Config.Now.
func (f *Fleet) AttemptEnded(at time.Duration, slot uint32, outcome verdict.End) {
	f.verdicts.watch.AttemptEnded(at+f.verdicts.clockOffset, slot, outcome)
}

// updateVerdicts is the verdicts' part of a loop iteration: it detects missing answers, passes records of them to the
// core and applies the latest evaluation. It returns how long until it is due again.
func (f *Fleet) updateVerdicts(now time.Duration) time.Duration {
	state := f.verdicts
	current := state.evaluation.Load()
	if current == state.appliedEvaluation && now < state.nextCheck {
		return state.nextCheck - now
	}
	state.appliedEvaluation = current
	if f.cfg.Now != nil {
		state.clockOffset = now - f.cfg.Now()
	}
	watch := state.watch
	watch.DetectMissed(now)
	if own := watch.OwnRecords(now, current.suspected, current.routerCount); len(own) > 0 {
		select {
		case f.tasks <- func(now time.Duration) { state.table.AddOwn(now, own) }:
		default:
			f.count.Missed.Add(1) // the records are passed on when they next change
		}
	}
	avoidances := watch.UpdateAvoidances(now, current.verdicts)
	for _, one := range avoidances {
		if f.cfg.OnAvoidance != nil {
			f.cfg.OnAvoidance(one, max(one.Until-now, 0))
		}
	}
	if len(avoidances) > 0 {
		avoided := maps.Clone(*state.avoided.Load())
		for _, one := range avoidances {
			if delete(avoided, one.Key); one.Until > now {
				avoided[one.Key] = true
			}
		}
		state.avoided.Store(&avoided)
	}
	wait := watch.NextCheck(now)
	if len(current.verdicts) > 0 { // probes may become due
		wait = min(wait, 2*checkInterval)
	}
	state.nextCheck = now + max(wait, checkInterval)
	return state.nextCheck - now
}

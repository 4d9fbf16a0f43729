package fleetio

import (
	"context"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"
	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/internal/settings"
	"threadglade.example/threadglade/takeover"
	"threadglade.example/threadglade/takeover/takeoverpb"
	"threadglade.example/threadglade/verdict"
)

// Replication and takeover of calls: transport and timing for package takeover. The loop passes records to the core
// through a bounded queue, and the core returns actions, such as calls to take over, through another. Routers exchange
// takeover frames on the same links as verdicts.

const (
	maxQueuedBatches = 1024    // batches of records, and lists of actions, queued between loop and core
	maxQueuedEnds    = 1 << 14 // ends of unknown calls, queued for the core
	// maxWaitingTickets is how many loop iterations may have output that waits for replica holders. When it is reached,
	// the oldest output is sent without waiting.
	maxWaitingTickets = 4096
)

// ReadTakeover reads a (takeover ...) section; docs/operators/takeover.md describes every field. Defaults for the
// clock drift and the guarantee come from the fleet's settings. Errors are recorded with the section.
func ReadTakeover(s *settings.Section, o *Options) *takeover.Settings {
	result := takeover.DefaultSettings()
	result.ClockDrift, result.GuaranteeTTL = o.Settings.ClockDrift, o.Settings.LeaseDuration
	s.Int("holders", &result.Replicas, 1, 4)
	s.Duration("vouch", &result.GuaranteeTTL, 200*time.Millisecond, time.Minute)
	s.Duration("patience", &result.ConfirmTimeout, time.Millisecond, time.Second)
	s.Duration("remember", &result.EndTTL, time.Second, 10*time.Minute)
	s.Duration("wake", &result.ReclaimTimeout, time.Second, 10*time.Minute)
	mode := "kept"
	s.Choice("mode", &mode, "kept", "fast")
	result.NoWaitClasses = map[string]bool{}
	for _, class := range s.Strings("fast") {
		result.NoWaitClasses[class] = true
	}
	result.NoWait = mode == "fast"
	if err := result.Validate(); err != nil {
		s.Errorf("", "%v", err)
	}
	if o.Listen == "" {
		s.Errorf("", "requires (listen ...) in (fleet ...): other routers must be able to connect to replicate calls")
	}
	return &result
}

// batch is the records of one loop iteration, and what the core has to do after them.
type batch struct {
	batchID    uint64 // Actions.BatchID, if the records include the calls that these Actions adopt; 0: none
	relinquish bool   // after the records: the router has relinquished all calls
	evacuate   bool   // after the records: the router has relinquished the established calls
	first      uint64 // number of the first record
	records    []takeover.Record
}

// takeoverState is the state of replication and takeover that the loop and the core keep and exchange.
type takeoverState struct {
	settings takeover.Settings
	// Used by the loop.
	recorder           *takeover.Recorder
	waiting            []ticket
	lastTicket         uint64
	ownership          *takeover.OwnershipManager
	delayedBatches     []batch // for which the queue to the core had no room
	evacuationsStarted uint64  // the value of evacuationsRequested at the latest start of an evacuation
	// Used by the core.
	owner                *takeover.Owner
	holder               *takeover.ReplicaHolder
	incarnationSince     time.Duration // when the lease of this incarnation was granted or regained
	unconfirmedBatches   []batch       // with calls to adopt, whose records no replica holder has confirmed
	reclaimSignalled     bool          // reclaimDue has been set for this incarnation
	leaving              bool
	evacuatedIncarnation uint64 // the latest incarnation that was evacuated
	allLinks             map[string][]*link
	links                map[string]*link // the latest link to each router, which is used
	linkReported         map[string]bool  // the owner has been notified of the link in use
	// Used by both.
	batchQueue           *xsync.SPSCQueue[batch]
	actionQueue          *xsync.SPSCQueue[takeover.Actions]
	endQueue             *xsync.SPSCQueue[takeover.End] // from the loop to the core
	guaranteedUntil      atomic.Int64                   // time of Clock, see takeover.Owner.GuaranteedUntil
	confirmedRecord      atomic.Uint64                  // number up to which records are confirmed
	hasLinks             atomic.Bool                    // to any other router
	wakeCore             chan struct{}
	takenCalls           atomic.Pointer[[]string] // calls that others have taken over from this router, for the loop
	evacuationsRequested atomic.Uint64
	evacuationsDone      atomic.Uint64
	evacuatedCalls       atomic.Uint64 // established calls at the latest evacuation
	reclaimDue           atomic.Bool   // all calls that others have taken over are known: the loop reclaims the rest
	// count counts loop iterations whose output was sent without waiting any longer for a replica holder (Hurried) or
	// while none was linked (Alone), ends and calls to adopt that a full queue dropped (Missed), and flushes after which
	// batches were still delayed (Late).
	count struct{ Hurried, Alone, Missed, Late atomic.Uint64 }
}

// ticket stands for the bytes of one loop iteration: they may be sent once the inner gate has released them and a
// replica holder has confirmed the record.
type ticket struct {
	inner   uint64 // ticket of the inner gate
	record  uint64 // record to be confirmed
	lastEnd uint64 // the latest end that the bytes notify of
	since   time.Duration
}

// openTakeover creates the state of replication and takeover.
func (f *Fleet) openTakeover(now time.Duration) {
	state := &takeoverState{
		settings: *f.cfg.Takeover,
		recorder: &takeover.Recorder{
			Settings:  *f.cfg.Takeover,
			WallClock: func() int64 { return time.Now().UnixMilli() },
		},
		owner:        takeover.NewOwner(*f.cfg.Takeover, f.cfg.Name),
		allLinks:     map[string][]*link{},
		links:        map[string]*link{},
		linkReported: map[string]bool{},
		batchQueue:   xsync.NewSPSCQueue[batch](maxQueuedBatches),
		actionQueue:  xsync.NewSPSCQueue[takeover.Actions](maxQueuedBatches),
		endQueue:     xsync.NewSPSCQueue[takeover.End](maxQueuedEnds),
		wakeCore:     make(chan struct{}, 1),
	}
	state.recorder.Tenant, state.recorder.SetupTarget = f.cfg.Tenant, f.cfg.SetupTarget
	state.ownership = takeover.NewOwnershipManager(f.cfg.CallHandler, state.recorder, f.cfg.OpenCalls)
	state.holder = takeover.NewReplicaHolder(*f.cfg.Takeover, f.cfg.Name, memberLog{f})
	state.holder.OnTaken = func(calls []string) { f.queueTakenCalls(calls) }
	state.guaranteedUntil.Store(math.MaxInt64)
	state.confirmedRecord.Store(math.MaxUint64)
	state.incarnationSince = now
	f.takeover = state
}

// memberLog implements takeover.FleetLog with the part of the fleet's log that the member has received.
type memberLog struct{ fleet *Fleet }

func (l memberLog) IsOver(name string, incarnation uint64) bool {
	return l.fleet.member.Machine.IsOver(name, incarnation)
}

func (l memberLog) IsLive(name string) bool { return l.fleet.member.Machine.Member(name).GetLive() }

func (l memberLog) SuccessorOf(name string, incarnation uint64) (string, uint64, bool) {
	return l.fleet.member.Machine.SuccessorOf(name, incarnation)
}

// Called by the core.

// queueTakenCalls passes to the loop the calls that other routers have taken over from this one.
func (f *Fleet) queueTakenCalls(calls []string) {
	state := f.takeover
	list := slices.Clone(calls)
	if previous := state.takenCalls.Swap(nil); previous != nil {
		list = append(list, *previous...)
	}
	state.takenCalls.Store(&list)
	f.cfg.Wake()
}

// handleTakeoverNote handles a change in the fleet: this router's incarnation, and its replica holders and links.
func (f *Fleet) handleTakeoverNote(now time.Duration, note fleet.Note) {
	state := f.takeover
	switch note.Kind {
	case fleet.LeaseGranted, fleet.LeaseRegained:
		state.owner.SetIncarnation(note.Incarnation)
		state.incarnationSince, state.reclaimSignalled = now, false
	}
	switch note.Kind {
	case fleet.LeaseGranted, fleet.MemberBegan, fleet.MemberLost, fleet.MemberLeft, fleet.SuccessorChanged:
		f.updateReplicaHolders()
		f.updateNeighbours()
	}
}

// updateReplicaHolders sets the routers that are to hold replicas of this router's calls.
func (f *Fleet) updateReplicaHolders() {
	want := map[string]uint64{}
	m := f.member.Machine
	for _, one := range fleet.Successors(f.cfg.Name, f.cfg.Zone, m.Members(), f.takeover.settings.Replicas) {
		want[one.Name] = one.Incarnation
	}
	f.takeover.owner.SetHolders(want, m.IsOver)
}

// wantedRouterLinks returns the routers to which takeover needs links, sorted by name.
func (f *Fleet) wantedRouterLinks() (names []string) {
	state := f.takeover
	var live []string // neighbours among these pass on ends of unknown calls
	for _, m := range f.member.Machine.Members() {
		if m.Live && (f.cfg.RouterAddresses[m.Name] != "" || m.Address != "") {
			live = append(live, m.Name)
		}
	}
	names = append(verdict.Neighbours(f.cfg.Name, live),
		append(state.owner.HolderNames(), state.holder.WantedLinks()...)...)
	slices.Sort(names)
	return slices.Compact(names)
}

// receiveTakeoverFrame handles a takeover frame of another router.
func (f *Fleet) receiveTakeoverFrame(now time.Duration, l *link, data []byte) {
	state := f.takeover
	frame := &takeoverpb.Frame{}
	if state == nil || proto.Unmarshal(data, frame) != nil {
		f.countRefusal(l.name + ": sent a takeover frame that is malformed, or takeover is disabled here")
		l.cancel()
		return
	}
	if confirm := frame.GetConfirm(); confirm != nil {
		if frame.Owner == f.cfg.Name {
			state.owner.ReceiveConfirm(l.name, frame.Incarnation, confirm)
		}
		return
	}
	incarnation, ok := f.HoldsLease(now)
	if !ok {
		incarnation = 0
	}
	state.holder.Receive(now, l.name, frame, incarnation)
}

// tickTakeover processes what the loop has queued, runs the owner and the replica holder, and carries out their
// outputs.
func (f *Fleet) tickTakeover(now time.Duration) {
	state := f.takeover
	for {
		one, ok := state.batchQueue.TryDequeue()
		if !ok {
			break
		}
		state.owner.Add(one.first, one.records)
		if one.relinquish {
			f.sendTakeoverFrames(state.owner.RelinquishAll(now))
			state.unconfirmedBatches = nil
			if l := f.member.Lease(); l.IsHeld(now) {
				state.owner.SetIncarnation(l.Incarnation)
			}
		}
		if one.evacuate {
			state.evacuatedIncarnation = f.member.Lease().Incarnation
			f.sendTakeoverFrames(state.owner.Evacuate(now))
			state.unconfirmedBatches = nil
			f.member.Renounce(now)
			lease := f.member.Lease()
			f.lease.Store(&lease) // before evacuationsDone: once the loop sees that, it must see that it has no lease
			state.evacuationsDone.Store(state.evacuationsRequested.Load())
			f.cfg.Log.Warn().Str("event", "work_evacuated").
				Uint64("incarnation", state.evacuatedIncarnation).Uint64("calls", state.evacuatedCalls.Load()).
				Msgf("takeover: %d established calls are handed over to another router at an operator's request",
					state.evacuatedCalls.Load())
		}
		if one.batchID != 0 {
			state.unconfirmedBatches = append(state.unconfirmedBatches, one)
		}
	}
	var ends []takeover.End
	for {
		end, ok := state.endQueue.TryDequeue()
		if !ok {
			break
		}
		ends = append(ends, end)
	}
	state.holder.ReceiveEnds(now, "", ends)
	for name, l := range state.links {
		if !state.linkReported[name] && l != nil {
			state.linkReported[name] = true
			state.owner.SetLinked(name, true)
			state.holder.SendKnownEnds(name)
		}
	}
	incarnation := f.member.Lease().Incarnation
	if !f.member.Lease().IsHeld(now) {
		incarnation = 0
	}
	state.holder.Tick(now, incarnation)
	sends, actions := state.holder.Output()
	if !state.leaving {
		sends = append(sends, state.owner.Tick(now)...)
	}
	f.sendTakeoverFrames(sends)
	if confirmed := state.owner.Confirmed(); len(state.unconfirmedBatches) > 0 {
		state.unconfirmedBatches = slices.DeleteFunc(state.unconfirmedBatches, func(one batch) bool {
			ok := confirmed >= one.first+uint64(len(one.records))-1
			if ok {
				state.holder.ConfirmBatch(one.batchID)
			}
			return ok
		})
		sends, more := state.holder.Output() // sent before the loop acts on the confirmed batches
		f.sendTakeoverFrames(sends)
		actions.Ends = append(actions.Ends, more.Ends...)
	}
	if actions.BatchID != 0 || len(actions.Drop)+len(actions.Ends) > 0 {
		if len(actions.Adopt) > 0 {
			f.cfg.Log.Warn().Str("event", "work_taken").Int("calls", len(actions.Adopt)).
				Msgf("takeover: this router takes over %d calls of other routers, whose incarnations have ended",
					len(actions.Adopt))
		}
		if !state.actionQueue.TryEnqueue(actions) {
			state.count.Missed.Add(uint64(len(actions.Adopt)))
		}
		f.cfg.Wake()
	}
	if previous := state.confirmedRecord.Load(); previous != state.owner.Confirmed() {
		state.confirmedRecord.Store(state.owner.Confirmed())
		f.cfg.Wake()
	}
	state.guaranteedUntil.Store(int64(state.owner.GuaranteedUntil()))
	if !state.reclaimSignalled && f.allSuccessorsReported(now) {
		state.reclaimSignalled = true
		state.reclaimDue.Store(true)
		f.cfg.Wake()
	}
}

// allSuccessorsReported reports whether every router that may have taken over calls of this router's earlier
// incarnations has reported which, or ReclaimTimeout has passed.
func (f *Fleet) allSuccessorsReported(now time.Duration) bool {
	state := f.takeover
	if now-state.incarnationSince > state.settings.ReclaimTimeout {
		return true
	}
	member := f.member.Machine.Member(f.cfg.Name)
	// The lease may be granted before the log entry of its incarnation has been received.
	if n := f.member.Lease().Incarnation; n == 0 || member.GetIncarnation() != n {
		return false
	}
	for _, p := range member.GetPast() {
		if p.Successor != "" && p.Successor != f.cfg.Name && !state.holder.HasReported(p.Incarnation) {
			return false
		}
	}
	return true
}

// sendTakeoverFrames sends frames to routers; those without a link are dropped.
func (f *Fleet) sendTakeoverFrames(sends []takeover.Send) {
	for _, s := range sends {
		if l := f.takeover.links[s.To]; l != nil {
			b, _ := proto.Marshal(s.Frame)
			f.send(l, &fleetpb.Frame{What: &fleetpb.Frame_Work{Work: b}})
		}
	}
}

// nextTakeoverTick returns the time by which tickTakeover has to run if nothing happens before.
func (f *Fleet) nextTakeoverTick(now time.Duration) time.Duration {
	return min(f.takeover.owner.NextTick(), f.takeover.holder.NextTick(now))
}

// updateTakeoverLinks records that a link to a router has opened or ended. Of several links the latest is used.
func (f *Fleet) updateTakeoverLinks(l *link, open bool) {
	state := f.takeover
	list := slices.DeleteFunc(state.allLinks[l.name], func(o *link) bool { return o == l })
	if open {
		list = append(list, l)
	}
	if state.allLinks[l.name] = list; len(list) == 0 {
		delete(state.allLinks, l.name)
		delete(state.links, l.name)
		state.owner.SetLinked(l.name, false)
	} else if last := list[len(list)-1]; state.links[l.name] != last {
		state.links[l.name], state.linkReported[l.name] = last, false
	}
	state.holder.SetLinks(slices.Sorted(maps.Keys(state.links)))
	state.hasLinks.Store(len(state.links) > 0)
}

// Called by the loop.

// HasTakeover reports whether this router's calls are replicated.
func (f *Fleet) HasTakeover() bool { return f.takeover != nil }

// Recorder returns the observer that records the router's events for replication.
func (f *Fleet) Recorder() *takeover.Recorder { return f.takeover.recorder }

// updateTakeover is the takeover's part of a loop iteration: it relinquishes calls that this router may no longer
// handle and applies queued actions. It returns how long until it is due again.
func (f *Fleet) updateTakeover(now time.Duration) (wait time.Duration) {
	state := f.takeover
	wait = time.Hour
	f.CheckOwnership(now)
	if lease := f.lease.Load(); lease.IsHeld(now) {
		wait = lease.Until - now
	} else if !state.ownership.Relinquished() {
		wait = max(time.Duration(state.guaranteedUntil.Load())-now, 0)
	}
	f.applyTakeoverActions()
	return min(wait, time.Hour)
}

// CheckOwnership relinquishes this router's calls if it may no longer handle them. The loop calls it first after each
// wait, and before it acts.
func (f *Fleet) CheckOwnership(now time.Duration) {
	state := f.takeover
	if state.evacuationsStarted != state.evacuationsDone.Load() {
		// The established calls are relinquished already. The router must not act by another incarnation before the core
		// has given up this one.
		return
	}
	incarnation, ok := f.HoldsLease(now)
	if !ok {
		incarnation = 0
	}
	if !state.ownership.CheckOwnership(
		now, incarnation, f.lease.Load().Incarnation == 0, time.Duration(state.guaranteedUntil.Load()),
	) {
		return
	}
	f.cfg.Log.Warn().Str("event", "work_ceased").
		Msg("takeover: no valid lease and no guarantee by replica holders: " +
			"all calls in progress are given up for another router to take over, new calls continue")
	f.flushRecords(0, true)
}

// lapsed reports whether CheckOwnership would relinquish the calls now.
func (f *Fleet) lapsed(now time.Duration) bool {
	if f.takeover.evacuationsStarted != f.takeover.evacuationsDone.Load() {
		return false
	}
	incarnation, ok := f.HoldsLease(now)
	if !ok {
		incarnation = 0
	}
	return f.takeover.ownership.Lapsed(
		now, incarnation, f.lease.Load().Incarnation == 0, time.Duration(f.takeover.guaranteedUntil.Load()))
}

// applyTakeoverActions applies what the core has queued for the loop.
func (f *Fleet) applyTakeoverActions() {
	state := f.takeover
	for {
		actions, ok := state.actionQueue.TryDequeue()
		if !ok {
			break
		}
		state.ownership.Apply(actions)
		if actions.BatchID != 0 {
			f.flushRecords(actions.BatchID, false)
		}
	}
	state.ownership.AdoptConfirmed(state.confirmedRecord.Load())
	if ids := state.takenCalls.Swap(nil); ids != nil {
		state.ownership.MarkTaken(*ids)
	}
	if state.reclaimDue.Swap(false) {
		state.ownership.ReclaimRemaining()
	}
}

// ReceiveEnd handles the end of a call that this router's Router doesn't know, and queues it to be forwarded to other
// routers. It reports whether this router has to notify the caller.
func (f *Fleet) ReceiveEnd(id string, outcome uint8, byCaller bool) bool {
	state := f.takeover
	end := takeover.End{Call: id, Outcome: outcome, At: time.Now().UnixMilli(), ByCaller: byCaller}
	if !state.endQueue.TryEnqueue(end) {
		state.count.Missed.Add(1)
	}
	select {
	case state.wakeCore <- struct{}{}:
	default:
	}
	return state.ownership.ClaimEnd(end, state.hasLinks.Load())
}

// EstablishedCalls returns the replicated calls of this router that are established.
func (f *Fleet) EstablishedCalls() []takeover.Call { return f.takeover.recorder.EstablishedCalls() }

// AdoptFromProcess takes over an established call of the process that this one replaces.
func (f *Fleet) AdoptFromProcess(call takeover.Call) {
	if f.takeover.ownership.AdoptFromProcess(call) {
		f.flushRecords(0, false)
	}
}

// EndsRecorded reports whether the core has got the records of all ends, so that no replica holder will take a call over
// that has ended or that another process has adopted.
func (f *Fleet) EndsRecorded() bool {
	state := f.takeover
	return state.recorder.PendingEnds() == 0 && !state.recorder.HasRecords() && len(state.delayedBatches) == 0
}

// HasAdopted reports whether a call was taken over and has not ended.
func (f *Fleet) HasAdopted(id string) bool { return f.takeover.ownership.HasAdopted(id) }

// DropAdopted removes a call that was taken over from the process that this one replaces and that had ended there.
func (f *Fleet) DropAdopted(id string) { f.takeover.ownership.DropAdopted(id) }

// flushRecords queues new records for the core and returns the number of the last one that output has to wait for.
func (f *Fleet) flushRecords(batchID uint64, relinquish bool) (lastRecord uint64) {
	return f.flushBatch(batch{batchID: batchID, relinquish: relinquish})
}

// flushBatch completes a batch with the new records and queues it for the core, see flushRecords.
func (f *Fleet) flushBatch(b batch) (lastRecord uint64) {
	state := f.takeover
	state.enqueueDelayed()
	// While batches are delayed, plain records stay in the recorder: replica holders must get all records without a
	// gap.
	if b.batchID != 0 || b.relinquish || b.evacuate || len(state.delayedBatches) == 0 {
		if b.first, b.records, _ = state.recorder.Take(nil); len(b.records) == 0 &&
			b.batchID == 0 && !b.relinquish && !b.evacuate {
			return state.recorder.LastAwaited()
		}
		state.delayedBatches = append(state.delayedBatches, b)
		state.enqueueDelayed()
	}
	if len(state.delayedBatches) > 0 {
		state.count.Late.Add(1)
	}
	select {
	case state.wakeCore <- struct{}{}:
	default:
	}
	return state.recorder.LastAwaited()
}

// enqueueDelayed queues delayed batches for the core, as many as fit.
func (w *takeoverState) enqueueDelayed() {
	for len(w.delayedBatches) > 0 && w.batchQueue.TryEnqueue(w.delayedBatches[0]) {
		w.delayedBatches = w.delayedBatches[1:]
	}
}

// WrapGate returns an output gate that adds replication to an inner one, which may be nil: the bytes of a loop
// iteration are sent once the inner gate has released them and a replica holder has confirmed the records that were
// made before them, except for classes that don't wait for replication.
func (f *Fleet) WrapGate(inner loop.OutputGate) loop.OutputGate {
	return &replicationGate{f: f, inner: inner}
}

// replicationGate is the output gate of WrapGate.
type replicationGate struct {
	f           *Fleet
	inner       loop.OutputGate // nil: none
	lastRecord  uint64          // of the latest ticket, like lastInner and lastEnd
	lastInner   uint64
	lastEnd     uint64
	releasedEnd uint64 // the latest end whose notification has been released
}

// Commit implements loop.OutputGate.
func (g *replicationGate) Commit() uint64 {
	state := g.f.takeover
	var inner uint64
	if g.inner != nil {
		inner = g.inner.Commit()
	}
	lastRecord, lastEnd := g.f.flushRecords(0, false), state.recorder.LastEnd()
	// If there is nothing new to wait for, the bytes share the ticket of the iteration before.
	if lastRecord == g.lastRecord && inner == g.lastInner && lastEnd == g.lastEnd {
		return state.lastTicket
	}
	g.lastRecord, g.lastInner, g.lastEnd = lastRecord, inner, lastEnd
	state.lastTicket++
	state.waiting = append(state.waiting, ticket{inner, lastRecord, lastEnd, Clock()})
	return state.lastTicket
}

// Released implements loop.OutputGate.
func (g *replicationGate) Released() uint64 {
	state := g.f.takeover
	inner := uint64(math.MaxUint64)
	if g.inner != nil {
		inner = g.inner.Released()
	}
	confirmed, now := state.confirmedRecord.Load(), Clock()
	if g.f.lapsed(now) { // the calls are about to be relinquished: another router may have taken them over by now
		return state.lastTicket - uint64(len(state.waiting))
	}
	done := 0
	for done < len(state.waiting) && state.waiting[done].inner <= inner {
		t := &state.waiting[done]
		if t.record > confirmed {
			if now-t.since < state.settings.ConfirmTimeout && len(state.waiting) < maxWaitingTickets {
				break
			}
			state.count.Hurried.Add(1)
		} else if confirmed == math.MaxUint64 && t.record > 0 {
			state.count.Alone.Add(1)
		}
		g.releasedEnd = t.lastEnd
		done++
	}
	state.waiting = append(state.waiting[:0], state.waiting[done:]...)
	return state.lastTicket - uint64(len(state.waiting))
}

// Flushed implements loop.OutputGate: it records the ends whose notifications have been sent, so that replica holders
// learn of them.
func (g *replicationGate) Flushed() {
	state := g.f.takeover
	if g.inner != nil {
		g.inner.Flushed()
	}
	if state.recorder.RecordEnds(g.releasedEnd); state.recorder.HasRecords() {
		g.f.flushRecords(0, false)
		runtime.Gosched() // on a single CPU the core's goroutine runs at once
	}
	g.f.startEvacuation()
}

// startEvacuation hands over the established calls if an operator has requested it, once no notification of an end is
// pending. Called by the loop.
func (f *Fleet) startEvacuation() {
	state := f.takeover
	requested := state.evacuationsRequested.Load()
	if requested == state.evacuationsStarted || state.recorder.PendingEnds() > 0 || len(state.delayedBatches) > 0 {
		return
	}
	if _, ok := f.HoldsLease(Clock()); !ok {
		return
	}
	state.evacuationsStarted = requested
	state.evacuatedCalls.Store(uint64(state.ownership.Evacuate()))
	f.flushBatch(batch{evacuate: true})
}

// PollInterval implements loop.OutputGate.
func (g *replicationGate) PollInterval() time.Duration {
	p := g.f.takeover.settings.ConfirmTimeout
	if g.inner != nil {
		p = min(p, g.inner.PollInterval())
	}
	return p
}

// announceLeave notifies the replica holders that this router has stopped acting. Called by the core.
func (f *Fleet) announceLeave(now time.Duration) {
	f.tickTakeover(now)
	if f.pendingEnds != nil {
		state := f.takeover
		state.holder.ForwardEnds(f.pendingEnds)
		sends, _ := state.holder.Output()
		f.sendTakeoverFrames(sends)
	}
	f.takeover.leaving = true
	f.sendTakeoverFrames(f.takeover.owner.AnnounceLeave(now))
}

// requestEvacuation handles an operator's request to hand over the established calls. It returns the reason for a
// refusal, or an empty string. Called by the core.
func (f *Fleet) requestEvacuation(now time.Duration) (refusal string) {
	switch state := f.takeover; {
	case state == nil:
		return "nobody else has what this router has in hand: no (takeover ...) section"
	case !f.member.Lease().IsHeld(now):
		return "it has no lease: what stands could not be passed on"
	case state.owner.Unreplicated():
		return "no other router holds its work"
	case state.evacuationsRequested.Load() == state.evacuationsDone.Load(): // else a request is pending already
		state.evacuationsRequested.Add(1)
		f.cfg.Wake()
	}
	return ""
}

// takeoverReport returns the marshalled report for operators, with what is known of the call find if that isn't
// empty.
func (f *Fleet) takeoverReport(now time.Duration, find, refused string) []byte {
	report := takeover.Report(now, f.takeover.owner, f.takeover.holder)
	state := f.takeover
	report.Evacuated, report.Passed, report.Evacuating, report.Refused =
		state.evacuatedIncarnation, state.evacuatedCalls.Load(),
		state.evacuationsRequested.Load() != state.evacuationsDone.Load(), refused
	if state.evacuatedIncarnation != 0 {
		report.Successor, _, _ = memberLog{f}.SuccessorOf(f.cfg.Name, state.evacuatedIncarnation)
		report.Told = state.holder.HasReported(state.evacuatedIncarnation)
	}
	count := &f.takeover.count
	report.Counts["hurried"], report.Counts["alone"], report.Counts["missed"] =
		count.Hurried.Load(), count.Alone.Load(), count.Missed.Load()
	if find != "" {
		report.Found = takeover.FindCall(find, f.takeover.owner, f.takeover.holder)
	}
	b, _ := proto.Marshal(report)
	return b
}

// updateRouterLinks opens links to the named routers whose addresses are known, and closes links to all others.
func (f *Fleet) updateRouterLinks(names []string) {
	want := map[string]bool{}
	for _, name := range names {
		address := f.cfg.RouterAddresses[name]
		if address == "" {
			address = f.member.Machine.Member(name).GetAddress()
		}
		if address == "" || name == f.cfg.Name {
			continue
		}
		want[name+" "+address] = true
		if f.routerDials[name+" "+address] == nil {
			ctx, stop := context.WithCancel(f.ctx)
			f.routerDials[name+" "+address] = stop
			f.goroutines.Add(1)
			go f.maintainLink(ctx, name, address, routerToRouter)
		}
	}
	for key, stop := range f.routerDials {
		if !want[key] {
			stop()
			delete(f.routerDials, key)
		}
	}
}

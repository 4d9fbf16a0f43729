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

// Work in hand: the carrier of package takeover. Records go from the loop to the core by a bounded queue, what is to be taken comes back by another; between routers they go by the links that
// verdicts use, too.

const (
	workMost  = 1024    // batches of records, and lists of acts, that wait between loop and core
	heardMost = 1 << 14 // ends of unknown calls
	// waitMost turns' bytes wait for holders; beyond, they leave.
	waitMost = 4096
)

// ReadTakeover reads a (takeover ...) section; docs/operators/takeover.md has every field.
func ReadTakeover(s *settings.Section, o *Options) *takeover.Settings {
	t := takeover.DefaultSettings()
	t.ClockDrift, t.GuaranteeTTL = o.Terms.ClockDrift, o.Terms.LeaseDuration
	s.Int("holders", &t.Replicas, 1, 4)
	s.Duration("vouch", &t.GuaranteeTTL, 200*time.Millisecond, time.Minute)
	s.Duration("patience", &t.ConfirmTimeout, time.Millisecond, time.Second)
	s.Duration("remember", &t.EndTTL, time.Second, 10*time.Minute)
	s.Duration("wake", &t.ReclaimTimeout, time.Second, 10*time.Minute)
	mode := "kept"
	s.Choice("mode", &mode, "kept", "fast")
	t.NoWaitClasses = map[string]bool{}
	for _, class := range s.Strings("fast") {
		t.NoWaitClasses[class] = true
	}
	t.NoWait = mode == "fast"
	if err := t.Validate(); err != nil {
		s.Errorf("", "%v", err)
	}
	if o.Listen == "" {
		s.Errorf("", "work is held by routers that others reach: (listen ...) in (fleet ...) is missing")
	}
	return &t
}

// batch is the records of one turn.
type batch struct {
	take    uint64 // of the holder, whose calls are in the records
	cease   bool   // behind them: nothing of it is in hand any more
	passOn  bool   // behind them: nothing that stands is
	first   uint64
	records []takeover.Record
}

// work is a router's part between the loop and the core.
type work struct {
	terms takeover.Settings
	// Of the loop.
	giver   *takeover.Recorder
	waiting []ticket
	ticket  uint64
	actor   *takeover.OwnershipManager
	late    []batch // that the core has had no room for
	served  uint64  // of an operator's wants
	// Of the core.
	owner  *takeover.Owner
	holder *takeover.ReplicaHolder
	began  time.Duration // when this incarnation did
	safe   []batch       // that have been given and not confirmed
	woken  bool
	left   bool
	gone   uint64 // the incarnation that was evacuated last
	all    map[string][]*link
	links  map[string]*link // of them, the one that is used
	up     map[string]bool
	// Between them.
	records *xsync.SPSCQueue[batch]
	acts    *xsync.SPSCQueue[takeover.Actions]
	heard   *xsync.SPSCQueue[takeover.End] // by the loop
	vouched atomic.Int64                   // until when all holders vouch
	upto    atomic.Uint64
	linked  atomic.Bool // to any other router
	poke    chan struct{}
	woke    atomic.Pointer[[]string] // what was taken from this router; taken by the loop
	wanted  atomic.Uint64            // how often an operator wanted it to pass on what stands,
	done    atomic.Uint64            // and of them how often it has
	passed  atomic.Uint64            // calls that stood as it did
	awake   atomic.Bool              // no more was
	count   struct{ Hurried, Alone, Missed, Late atomic.Uint64 }
}

// ticket is one turn's bytes: they may leave once the inner gate has let them, and a holder has the record.
type ticket struct {
	inner, record uint64
	ended         uint64 // the latest end that they tell
	since         time.Duration
}

func (f *Fleet) openWork(now time.Duration) {
	w := &work{terms: *f.cfg.Work, giver: &takeover.Recorder{Settings: *f.cfg.Work, WallClock: func() int64 { return time.Now().UnixMilli() }}, owner: takeover.NewOwner(*f.cfg.Work, f.cfg.Name), all: map[string][]*link{}, links: map[string]*link{}, up: map[string]bool{},
		records: xsync.NewSPSCQueue[batch](workMost), acts: xsync.NewSPSCQueue[takeover.Actions](workMost), heard: xsync.NewSPSCQueue[takeover.End](heardMost), poke: make(chan struct{}, 1)}
	w.giver.Tenant, w.giver.SetupTarget = f.cfg.Tenant, f.cfg.Aim
	w.actor = takeover.NewOwnershipManager(f.cfg.Desk, w.giver, f.cfg.Open)
	w.holder = takeover.NewReplicaHolder(*f.cfg.Work, f.cfg.Name, logOf{f})
	w.holder.OnTaken = func(calls []string) { f.woke(calls) }
	w.vouched.Store(math.MaxInt64)
	w.upto.Store(math.MaxUint64)
	w.began = now
	f.work = w
}

// logOf is the log as the member has heard it.
type logOf struct{ f *Fleet }

func (l logOf) IsOver(name string, incarnation uint64) bool {
	return l.f.member.Machine.IsOver(name, incarnation)
}

func (l logOf) IsLive(name string) bool { return l.f.member.Machine.Member(name).GetLive() }

func (l logOf) SuccessorOf(name string, incarnation uint64) (string, uint64, bool) {
	return l.f.member.Machine.SuccessorOf(name, incarnation)
}

// ---- of the core ----

// woke gives the loop word of what was taken from this router.
func (f *Fleet) woke(calls []string) {
	w := f.work
	list := slices.Clone(calls)
	if was := w.woke.Swap(nil); was != nil {
		list = append(list, *was...)
	}
	w.woke.Store(&list)
	f.cfg.Wake()
}

// worked takes what the fleet has come to.
func (f *Fleet) worked(now time.Duration, n fleet.Note) {
	w := f.work
	switch n.Kind {
	case fleet.LeaseGranted, fleet.LeaseRegained:
		w.owner.SetIncarnation(n.Incarnation)
		w.began, w.woken = now, false
	}
	switch n.Kind {
	case fleet.LeaseGranted, fleet.MemberBegan, fleet.MemberLost, fleet.MemberLeft, fleet.SuccessorChanged:
		f.successors()
		f.neighbours()
	}
}

// successors has the owner know who is to hold its work.
func (f *Fleet) successors() {
	want := map[string]uint64{}
	m := f.member.Machine
	for _, one := range fleet.Successors(f.cfg.Name, f.cfg.Zone, m.Members(), f.work.terms.Replicas) {
		want[one.Name] = one.Incarnation
	}
	f.work.owner.SetHolders(want, m.IsOver)
}

// worksWith are routers that links are wanted to.
func (f *Fleet) worksWith() (names []string) {
	w := f.work
	var ring []string // what is heard goes round by neighbours
	for _, m := range f.member.Machine.Members() {
		if m.Live && (f.cfg.Reach[m.Name] != "" || m.Address != "") {
			ring = append(ring, m.Name)
		}
	}
	names = append(verdict.Neighbours(f.cfg.Name, ring), append(w.owner.HolderNames(), w.holder.WantedLinks()...)...)
	slices.Sort(names)
	return slices.Compact(names)
}

// work takes a frame of another router.
func (f *Fleet) hearWork(now time.Duration, l *link, b []byte) {
	w := f.work
	frame := &takeoverpb.Frame{}
	if w == nil || proto.Unmarshal(b, frame) != nil {
		f.refused(l.name + ": a word on work in hand that cannot be read")
		l.cut()
		return
	}
	if c := frame.GetConfirm(); c != nil {
		if frame.Owner == f.cfg.Name {
			w.owner.ReceiveConfirm(l.name, frame.Incarnation, c)
		}
		return
	}
	incarnation, ok := f.Holds(now)
	if !ok {
		incarnation = 0
	}
	w.holder.Receive(now, l.name, frame, incarnation)
}

// labour has the pure parts do what is due, and carries out what they want.
func (f *Fleet) labour(now time.Duration) {
	w := f.work
	for {
		b, ok := w.records.TryDequeue()
		if !ok {
			break
		}
		w.owner.Add(b.first, b.records)
		if b.cease {
			f.sendWork(w.owner.RelinquishAll(now))
			w.safe = nil
			if l := f.member.Lease(); l.IsHeld(now) {
				w.owner.SetIncarnation(l.Incarnation)
			}
		}
		if b.passOn {
			w.gone = f.member.Lease().Incarnation
			f.sendWork(w.owner.Evacuate(now))
			w.safe = nil
			f.member.Renounce(now)
			lease := f.member.Lease() // the loop has to see that it has none by the time that it sees that this is done
			f.lease.Store(&lease)
			w.done.Store(w.wanted.Load())
			f.cfg.Log.Warn().Str("event", "work_evacuated").Uint64("incarnation", w.gone).Uint64("calls", w.passed.Load()).Msgf("work in hand: %d calls that stand are passed on, as an operator wants", w.passed.Load())
		}
		if b.take != 0 {
			w.safe = append(w.safe, b)
		}
	}
	var ends []takeover.End
	for {
		e, ok := w.heard.TryDequeue()
		if !ok {
			break
		}
		ends = append(ends, e)
	}
	w.holder.ReceiveEnds(now, "", ends)
	for name, l := range w.links {
		if !w.up[name] && l != nil {
			w.up[name] = true
			w.owner.SetLinked(name, true)
			w.holder.SendKnownEnds(name)
		}
	}
	incarnation := f.member.Lease().Incarnation
	if !f.member.Lease().IsHeld(now) {
		incarnation = 0
	}
	w.holder.Tick(now, incarnation)
	sends, acts := w.holder.Output()
	if !w.left {
		sends = append(sends, w.owner.Tick(now)...)
	}
	f.sendWork(sends)
	if confirmed := w.owner.Confirmed(); len(w.safe) > 0 {
		w.safe = slices.DeleteFunc(w.safe, func(b batch) bool {
			ok := confirmed >= b.first+uint64(len(b.records))-1
			if ok {
				w.holder.ConfirmBatch(b.take)
			}
			return ok
		})
		sends, more := w.holder.Output() // before the loop acts
		f.sendWork(sends)
		acts.Ends = append(acts.Ends, more.Ends...)
	}
	if acts.BatchID != 0 || len(acts.Drop)+len(acts.Ends) > 0 {
		if len(acts.Adopt) > 0 {
			f.cfg.Log.Warn().Str("event", "work_taken").Int("calls", len(acts.Adopt)).Msgf("work in hand: %d calls of routers that are lost are this one's now", len(acts.Adopt))
		}
		if !w.acts.TryEnqueue(acts) {
			w.count.Missed.Add(uint64(len(acts.Adopt)))
		}
		f.cfg.Wake()
	}
	if was := w.upto.Load(); was != w.owner.Confirmed() {
		w.upto.Store(w.owner.Confirmed())
		f.cfg.Wake()
	}
	w.vouched.Store(int64(w.owner.GuaranteedUntil()))
	if !w.woken && f.told(now) {
		w.woken = true
		w.awake.Store(true)
		f.cfg.Wake()
	}
}

// told says whether all that may have taken work from this router have said so, or have had the time to.
func (f *Fleet) told(now time.Duration) bool {
	w := f.work
	if now-w.began > w.terms.ReclaimTimeout {
		return true
	}
	m := f.member.Machine.Member(f.cfg.Name)
	if n := f.member.Lease().Incarnation; n == 0 || m.GetIncarnation() != n { // the answer may come before the word of the log
		return false
	}
	for _, p := range m.GetPast() {
		if p.Successor != "" && p.Successor != f.cfg.Name && !w.holder.HasReported(p.Incarnation) {
			return false
		}
	}
	return true
}

func (f *Fleet) sendWork(sends []takeover.Send) {
	for _, s := range sends {
		if l := f.work.links[s.To]; l != nil {
			b, _ := proto.Marshal(s.Frame)
			f.send(l, &fleetpb.Frame{What: &fleetpb.Frame_Work{Work: b}})
		}
	}
}

// worksDue is when labour has something to do.
func (f *Fleet) worksDue(now time.Duration) time.Duration {
	return min(f.work.owner.NextTick(), f.work.holder.NextTick(now))
}

// linkedWork is told of a link to a router that has opened or ended: of several the latest is used.
func (f *Fleet) linkedWork(l *link, open bool) {
	w := f.work
	list := slices.DeleteFunc(w.all[l.name], func(o *link) bool { return o == l })
	if open {
		list = append(list, l)
	}
	if w.all[l.name] = list; len(list) == 0 {
		delete(w.all, l.name)
		delete(w.links, l.name)
		w.owner.SetLinked(l.name, false)
	} else if last := list[len(list)-1]; w.links[l.name] != last {
		w.links[l.name], w.up[l.name] = last, false
	}
	w.holder.SetLinks(slices.Sorted(maps.Keys(w.links)))
	w.linked.Store(len(w.links) > 0)
}

// ---- of the loop ----

// Works says whether work in hand is held by others.
func (f *Fleet) Works() bool { return f.work != nil }

// Giver hears the router, as its observer.
func (f *Fleet) Giver() *takeover.Recorder { return f.work.giver }

// toil is the work's part of a turn of the loop: a router that may not act any more lets go, and what was taken over comes.
func (f *Fleet) toil(now time.Duration) (wait time.Duration) {
	w := f.work
	wait = time.Hour
	f.LookAtWork(now)
	if lease := f.lease.Load(); lease.IsHeld(now) {
		wait = lease.Until - now
	} else if !w.actor.Relinquished() {
		wait = max(time.Duration(w.vouched.Load())-now, 0)
	}
	f.takeWork()
	return min(wait, time.Hour)
}

// LookAtWork is for the moment before the loop acts, and first thing after each of its waits: a router that may not act any more lets go of what is in hand.
func (f *Fleet) LookAtWork(now time.Duration) {
	w := f.work
	if w.served != w.done.Load() { // it has let go of what stands, and does not act by another incarnation before the core has left this one
		return
	}
	incarnation, ok := f.Holds(now)
	if !ok {
		incarnation = 0
	}
	if !w.actor.CheckOwnership(now, incarnation, f.lease.Load().Incarnation == 0, time.Duration(w.vouched.Load())) {
		return
	}
	f.cfg.Log.Warn().Str("event", "work_ceased").Msg("work in hand: no lease, and nobody vouches: what was in hand is another's, new calls go on")
	f.flushWork(0, true)
}

// lapsed says whether LookAtWork would let go now.
func (f *Fleet) lapsed(now time.Duration) bool {
	if f.work.served != f.work.done.Load() {
		return false
	}
	incarnation, ok := f.Holds(now)
	if !ok {
		incarnation = 0
	}
	return f.work.actor.Lapsed(now, incarnation, f.lease.Load().Incarnation == 0, time.Duration(f.work.vouched.Load()))
}

// takeWork takes what the core has come to.
func (f *Fleet) takeWork() {
	w := f.work
	for {
		acts, ok := w.acts.TryDequeue()
		if !ok {
			break
		}
		w.actor.Apply(acts)
		if acts.BatchID != 0 {
			f.flushWork(acts.BatchID, false)
		}
	}
	w.actor.AdoptConfirmed(w.upto.Load())
	if ids := w.woke.Swap(nil); ids != nil {
		w.actor.MarkTaken(*ids)
	}
	if w.awake.Swap(false) {
		w.actor.ReclaimRemaining()
	}
}

// Heard is the loop's: the end of a call that this router's Router does not know. True: it is this router's to tell.
func (f *Fleet) Heard(id string, how uint8, byCaller bool) bool {
	w := f.work
	e := takeover.End{Call: id, Outcome: how, At: time.Now().UnixMilli(), ByCaller: byCaller}
	if !w.heard.TryEnqueue(e) {
		w.count.Missed.Add(1)
	}
	select {
	case w.poke <- struct{}{}:
	default:
	}
	return w.actor.ClaimEnd(e, w.linked.Load())
}

// flushWork hands the core what has been recorded.
func (f *Fleet) flushWork(take uint64, cease bool) (kept uint64) {
	return f.flushBatch(batch{take: take, cease: cease})
}

func (f *Fleet) flushBatch(b batch) (kept uint64) {
	w := f.work
	w.hand()
	if b.take != 0 || b.cease || b.passOn || len(w.late) == 0 { // else they stay with the giver: none may be missing among those that holders have
		if b.first, b.records, _ = w.giver.Take(nil); len(b.records) == 0 && b.take == 0 && !b.cease && !b.passOn {
			return w.giver.LastAwaited()
		}
		w.late = append(w.late, b)
		w.hand()
	}
	if len(w.late) > 0 {
		w.count.Late.Add(1)
	}
	select {
	case w.poke <- struct{}{}:
	default:
	}
	return w.giver.LastAwaited()
}

// hand gives the core what it has room for.
func (w *work) hand() {
	for len(w.late) > 0 && w.records.TryEnqueue(w.late[0]) {
		w.late = w.late[1:]
	}
}

// Hold puts the work's gate before another: the bytes of a turn leave once the other lets them, and a holder has what they tell of kept classes.
func (f *Fleet) Hold(inner loop.OutputGate) loop.OutputGate { return &workGate{f: f, inner: inner} }

type workGate struct {
	f     *Fleet
	inner loop.OutputGate // nil: none
	kept  uint64          // and inner ticket, of the latest turn
	last  uint64
	ended uint64 // the latest end that was noted
	gone  uint64 // and the latest whose word has passed
}

// Commit implements loop.Gate.
func (g *workGate) Commit() uint64 {
	w := g.f.work
	var inner uint64
	if g.inner != nil {
		inner = g.inner.Commit()
	}
	kept, ended := g.f.flushWork(0, false), w.giver.LastEnd()
	if kept == g.kept && inner == g.last && ended == g.ended { // nothing has come that this turn's bytes would have to wait for beyond the turn before
		return w.ticket
	}
	g.kept, g.last, g.ended = kept, inner, ended
	w.ticket++
	w.waiting = append(w.waiting, ticket{inner, kept, ended, Clock()})
	return w.ticket
}

// Passed implements loop.Gate.
func (g *workGate) Released() uint64 {
	w := g.f.work
	inner := uint64(math.MaxUint64)
	if g.inner != nil {
		inner = g.inner.Released()
	}
	upto, now := w.upto.Load(), Clock()
	if g.f.lapsed(now) { // the next look lets go: what waits may be another's to tell by now
		return w.ticket - uint64(len(w.waiting))
	}
	done := 0
	for done < len(w.waiting) && w.waiting[done].inner <= inner {
		t := &w.waiting[done]
		if t.record > upto {
			if now-t.since < w.terms.ConfirmTimeout && len(w.waiting) < waitMost {
				break
			}
			w.count.Hurried.Add(1)
		} else if upto == math.MaxUint64 && t.record > 0 {
			w.count.Alone.Add(1)
		}
		g.gone = t.ended
		done++
	}
	w.waiting = append(w.waiting[:0], w.waiting[done:]...)
	return w.ticket - uint64(len(w.waiting))
}

// Left implements loop.Gate: now holders are told of the ends whose word has left.
func (g *workGate) Flushed() {
	w := g.f.work
	if g.inner != nil {
		g.inner.Flushed()
	}
	if w.giver.RecordEnds(g.gone); w.giver.HasRecords() {
		g.f.flushWork(0, false)
		runtime.Gosched() // on one core the core gets to run at once
	}
	g.f.evacuate()
}

// evacuate passes on what stands, if an operator wants that and the word of no end is on its way. It is the loop's.
func (f *Fleet) evacuate() {
	w := f.work
	want := w.wanted.Load()
	if want == w.served || w.giver.PendingEnds() > 0 || len(w.late) > 0 {
		return
	}
	if _, ok := f.Holds(Clock()); !ok {
		return
	}
	w.served = want
	w.passed.Store(uint64(w.actor.Evacuate()))
	f.flushBatch(batch{passOn: true})
}

// Patience implements loop.Gate.
func (g *workGate) PollInterval() time.Duration {
	p := g.f.work.terms.ConfirmTimeout
	if g.inner != nil {
		p = min(p, g.inner.PollInterval())
	}
	return p
}

// leaveWork tells holders that this router has stopped acting; it is the core's.
func (f *Fleet) leaveWork(now time.Duration) {
	f.labour(now)
	if f.owed != nil {
		w := f.work
		w.holder.ForwardEnds(f.owed)
		sends, _ := w.holder.Output()
		f.sendWork(sends)
	}
	f.work.left = true
	f.sendWork(f.work.owner.AnnounceLeave(now))
}

// wantEvacuation is the core's: an operator wants it to pass on what stands. Empty: it will.
func (f *Fleet) wantEvacuation(now time.Duration) (why string) {
	switch w := f.work; {
	case w == nil:
		return "nobody else has what this router has in hand: no (takeover ...) section"
	case !f.member.Lease().IsHeld(now):
		return "it has no lease: what stands could not be passed on"
	case w.owner.Unreplicated():
		return "no other router holds its work"
	case w.wanted.Load() == w.done.Load(): // else it is about to
		w.wanted.Add(1)
		f.cfg.Wake()
	}
	return ""
}

// reportWork is the router's to an operator.
func (f *Fleet) reportWork(now time.Duration, find, refused string) []byte {
	r := takeover.Report(now, f.work.owner, f.work.holder)
	w := f.work
	r.Evacuated, r.Passed, r.Evacuating, r.Refused = w.gone, w.passed.Load(), w.wanted.Load() != w.done.Load(), refused
	if w.gone != 0 {
		r.Successor, _, _ = logOf{f}.SuccessorOf(f.cfg.Name, w.gone)
		r.Told = w.holder.HasReported(w.gone)
	}
	c := &f.work.count
	r.Counts["hurried"], r.Counts["alone"], r.Counts["missed"] = c.Hurried.Load(), c.Alone.Load(), c.Missed.Load()
	if find != "" {
		r.Found = takeover.FindCall(find, f.work.owner, f.work.holder)
	}
	b, _ := proto.Marshal(r)
	return b
}

// reach keeps links to whom this router should have them to.
func (f *Fleet) reach(names []string) {
	want := map[string]bool{}
	for _, name := range names {
		at := f.cfg.Reach[name]
		if at == "" {
			at = f.member.Machine.Member(name).GetAddress()
		}
		if at == "" || name == f.cfg.Name {
			continue
		}
		want[name+" "+at] = true
		if f.dials[name+" "+at] == nil {
			ctx, stop := context.WithCancel(f.ctx)
			f.dials[name+" "+at] = stop
			f.done.Add(1)
			go f.follow(ctx, name, at, talks)
		}
	}
	for key, stop := range f.dials {
		if !want[key] {
			stop()
			delete(f.dials, key)
		}
	}
}

package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/quota"
	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/verdict"
)

// Calls through the fleet's routers: this file owns callers, case servers and the networks between them. Routers, decisions, watches, tables and gates are those that ship.

// Calls is what a world's callers and case servers do.
type Calls struct {
	Servers  int
	Zones    int
	Rate     float64       // set-ups a second at a router
	Serve    time.Duration // what a case server's one line takes for a set-up
	Stand    time.Duration // how long a call stands, in the mean
	Agents   int           // of each server
	Redials  int           // of callers who are refused, marked, each within a second
	Alone    bool          // nothing is shared: the same world without verdicts
	Proxies  int           // how many proxies each router takes the fleet for; 0: as many as there are
	Rates    []RateAt
	Bad      []Bad
	Liars    int              // routers that tell the opposite of what they have seen, from the beginning
	LinkLoss float64          // share of frames between neighbours that come to nothing, as where their link ends
	LinkWait time.Duration    // and how much later than others they come, at the most
	Terms    verdict.Settings // zero: the defaults
}

// RateAt changes how many set-ups come, by a factor.
type RateAt struct {
	At     time.Duration
	Factor float64
}

// Bad is trouble with one case server.
type Bad struct {
	At, For time.Duration
	Server  int
	How     string  // hang, slow, flap, replace
	By      float64 // of slow: so many times as long
	Zone    string  // only routers of that zone have it; empty: all
	Router  int     // only this one has it, counted from 1; 0: all
}

// Called is what became of a world's calls.
type Called struct {
	Offered, InTime, Late, Refused, Failed int
	Firsts, FirstsIn                       []int           // first tries by second, and of them those that stood in time
	Wasted                                 int             // set-ups that a bad server never answered
	Last                                   []time.Duration // for each trouble: from its beginning to the last set-up that another than a try sent in vain
	Again                                  []time.Duration // and from its end until the server had half of its part again
	Sent                                   [][]int         // set-ups that came to each server, by 100 ms
	Wrong                                  time.Duration   // summed over routers: fit servers left alone
	WrongMost                              time.Duration   // the longest of them at one router
	Watched                                time.Duration   // summed over routers and fit servers
	Ages                                   []time.Duration // of evidence as it came: how old it truly was
	Over                                   time.Duration   // the most by which evidence was taken to be younger than it was
	Lifts                                  []int           // routers that came back to a server that was fit again, by 100 ms
	Frames, FrameBytes                     uint64
	Cold                                   float64 // the most by which a cold server was sent more than the rule allows, in set-ups
	ColdSent                               int
}

// site is one case server.
type site struct {
	id      string
	number  int
	started time.Duration // true time; 0: long past
	busy    time.Duration // its line, until then
	open    int           // calls that stand
	level   float64       // of what a cold one was sent beyond its rule
	levelAt time.Duration
}

// desk is a router's calls: its front and trunk, and its eyes.
type desk struct {
	w       *world
	p       *process
	index   int
	zone    string
	router  *router.Router
	watch   *verdict.Watch
	table   *verdict.Table
	liar    bool
	slot    uint32
	next    uint64
	due     time.Duration
	open    map[string]*asked
	list    []verdict.Verdict
	listAt  time.Duration
	cared   map[string]time.Duration // until when it leaves a server alone
	wrongAt map[string]time.Duration // since when without a cause
	linked  map[string]bool
	talkAt  time.Duration
	overAt  int // looks for which it has left too many servers alone
}

type asked struct {
	at      time.Duration // of the first try
	redials int
	number  string
}

const unixBase = 1000 * time.Hour // of the routers' wall clocks, which are true

func (w *world) unix() time.Duration { return unixBase + w.now }

// bad is what is wrong with a server for a router now.
func (w *world) bad(s *site, d *desk) (b *Bad) {
	for i := range w.cfg.Calls.Bad {
		one := &w.cfg.Calls.Bad[i]
		if one.Server != s.number || one.How == "replace" || w.now < one.At || w.now >= one.At+one.For || one.Zone != "" && (d == nil || d.zone != one.Zone) || one.Router != 0 && (d == nil || d.index != one.Router-1) {
			continue
		}
		if one.How == "flap" && int((w.now-one.At)/time.Second)%2 == 1 {
			continue
		}
		return one
	}
	return nil
}

// openCalls gives a router its calls.
func (w *world) openCalls(p *process, index int) {
	c := w.cfg.Calls
	d := &desk{w: w, p: p, index: index, zone: fmt.Sprintf("z%d", index%max(c.Zones, 1)), open: map[string]*asked{}, cared: map[string]time.Duration{}, wrongAt: map[string]time.Duration{}, linked: map[string]bool{}, liar: index < c.Liars}
	p.desk = d
	if p.member != nil {
		p.member.Zone, p.member.Address = d.zone, "sim"
	}
	proxies := c.Proxies
	if proxies == 0 {
		proxies = w.cfg.Members
	}
	set := threadglade.Settings{Index: index, Proxies: proxies, Limits: threadglade.Limits{MaxAttempts: 6, RetryAfter: true, MaxRetryAfter: time.Second, Cancel: true},
		Rules:   threadglade.Rules{ReleaseWait: 200 * time.Millisecond, DrainGrace: time.Second, ColdCapacity: 0.2, WarmUpTime: 10 * time.Second, CollapseMultiple: 2, CollapseWindow: time.Second},
		Callers: threadglade.Callers{MarkRetries: true},
		Classes: []threadglade.Class{{Name: "x", Aim: time.Second, Deadline: 10 * time.Second, HoldingTime: c.Stand, Worth: 1, LateFactor: 0.5}}}
	for i := range c.Servers {
		set.Classes[0].Servers = append(set.Classes[0].Servers, i)
	}
	var err error
	d.router, err = router.New(router.Config{Settings: set, Seed: w.random.Uint64(), Clock: w.unix, Trunk: d, Observer: d, Admit: d.admit})
	if err != nil {
		w.broken("router: %v", err)
		return
	}
	terms := c.Terms
	if terms.Quorum == 0 {
		terms = verdict.DefaultSettings()
	}
	if !c.Alone {
		d.watch = verdict.NewWatch(terms, d.zone, w.random.Uint64())
		d.table = verdict.NewTable(terms, p.name)
		d.table.SetIncarnation(uint64(p.serial)<<16 + 1)
		d.table.OnRecord = func(now time.Duration, r *verdict.Record) { w.came(now, r) }
	}
	d.listServers()
	for _, s := range w.sites {
		d.router.ReportAgents(threadglade.Agents{Server: s.id, Free: c.Agents - s.open, Total: c.Agents})
	}
	w.arrive(d)
	if d.table != nil {
		d.join()
	}
}

// listServers tells a router which servers there are.
func (d *desk) listServers() {
	var list []threadglade.Server
	var watched []verdict.Server
	var cold []quota.Server
	for _, s := range d.w.sites {
		started := time.Duration(0)
		if s.started > 0 {
			started = unixBase + s.started
			if warm := s.started + 10*time.Second - d.w.now; warm > 0 {
				cold = append(cold, quota.Server{ID: s.id, Started: started, Warm: d.p.clock(d.w.now) + warm})
			}
		}
		list = append(list, threadglade.Server{ID: s.id, Number: s.number, Started: started})
		watched = append(watched, verdict.Server{Key: verdict.Key{Server: s.id, Started: started}, Classes: []string{"x"}})
	}
	d.router.UpdateServers(threadglade.ServerList{Servers: list})
	if d.watch != nil {
		d.watch.SetServers(d.p.clock(d.w.now), watched)
	}
	if d.p.gate != nil {
		d.p.gate.SetColdServers(d.p.clock(d.w.now), cold)
		d.parts()
	}
}

// parts tells the decisions what they may send cold servers.
func (d *desk) parts() {
	now := d.p.clock(d.w.now)
	if parts, alone, ok := d.p.gate.ColdShares(now); ok {
		d.router.ColdPart(threadglade.ColdPart{Fraction: alone})
		for _, p := range parts {
			d.router.ColdPart(threadglade.ColdPart{Server: p.ID, Started: p.Started, Fraction: p.Share, Until: d.w.unix() + d.p.gate.LeaseUntil() - now})
		}
	}
}

// arrive has callers call a router.
func (w *world) arrive(d *desk) {
	rate := w.cfg.Calls.Rate
	for _, r := range w.cfg.Calls.Rates {
		if w.now >= r.At {
			rate = w.cfg.Calls.Rate * r.Factor
		}
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), d.p, func() {
		w.invite(d, &asked{at: w.now, number: strconv.Itoa(w.random.IntN(1 << 30))})
		w.arrive(d)
	})
}

// invite is one try of a caller.
func (w *world) invite(d *desk, a *asked) {
	called := &w.res.Called
	called.Offered++
	if a.redials == 0 {
		at := int(a.at / time.Second)
		called.Firsts, called.FirstsIn = grow(called.Firsts, at), grow(called.FirstsIn, at)
		called.Firsts[at]++
	}
	d.next++
	id := d.p.name + "-" + strconv.Itoa(d.p.serial) + "-" + strconv.FormatUint(d.next, 10)
	d.open[id] = a
	d.router.Arrive(d, router.Request{ID: id, Class: "x", Number: a.number, Deadline: w.unix() + 3*time.Second, Destination: w.random.IntN(w.cfg.Calls.Servers), Retry: a.redials > 0})
	d.settle()
}

func grow(list []int, at int) []int {
	for len(list) <= at {
		list = append(list, 0)
	}
	return list
}

// settle has the router's timers come.
func (d *desk) settle() {
	at, ok := d.router.Next()
	if !ok {
		return
	}
	at -= unixBase
	if d.due > d.w.now && d.due <= at {
		return
	}
	d.due = max(at, d.w.now)
	d.w.after(d.due-d.w.now, d.p, func() { d.router.Tick(); d.settle() })
}

// admit stands before the decisions where the world has limits.
func (d *desk) admit(req router.Request) (threadglade.Reason, time.Duration) {
	if d.p.gate == nil {
		return threadglade.NoReason, 0
	}
	if ok, _, after := d.p.gate.Admit(d.p.clock(d.w.now), d.slot, req.Class, "", "", req.Retry); !ok {
		return threadglade.OverLimit, after
	}
	return threadglade.NoReason, 0
}

// Observe implements router.Observer.
func (d *desk) Observe(e router.Event) {
	now := d.p.clock(d.w.now)
	switch e.Kind {
	case router.Arrived:
		d.slot = e.Slot
	case router.Closed:
		if d.p.gate != nil {
			d.p.gate.Release(e.Slot)
		}
	}
	if d.watch == nil {
		return
	}
	switch e.Kind {
	case router.Sent:
		d.watch.AttemptSent(now, e.Slot, e.Server)
	case router.Established:
		d.watch.AttemptAnswered(now, e.Slot)
	case router.AttemptEnded:
		d.watch.AttemptEnded(now, e.Slot, verdict.EndFromOutcome(e.Outcome, e.Cause))
	}
}

// Send implements router.Trunk.
func (d *desk) Send(a router.Attempt) {
	w := d.w
	w.after(time.Millisecond, nil, func() { w.setUp(d, a, d.p.serial) })
}

// GiveUp implements router.Trunk: what the server has begun it does all the same.
func (d *desk) GiveUp(router.Attempt) {}

// Release implements router.Trunk.
func (d *desk) Release(router.Attempt, threadglade.Outcome) {}

// setUp comes to a case server.
func (w *world) setUp(d *desk, a router.Attempt, life int) {
	i := slices.IndexFunc(w.sites, func(s *site) bool { return s.id == a.Server })
	called := &w.res.Called
	back := func(after time.Duration, f func()) {
		w.after(after, d.p, func() {
			if d.p.serial == life {
				f()
				d.settle()
			}
		})
	}
	if i < 0 { // it has been replaced: nobody is there
		back(time.Millisecond, func() { d.router.Ended(a.ID, a.Index, threadglade.Unreachable, threadglade.CauseNone) })
		return
	}
	s := w.sites[i]
	slot := int(w.now / (100 * time.Millisecond))
	called.Sent[i] = grow(called.Sent[i], slot)
	called.Sent[i][slot]++
	if s.started > 0 {
		w.coldLevel(s)
	}
	serve := w.cfg.Calls.Serve
	if b := w.bad(s, d); b != nil {
		if b.How == "slow" {
			serve = time.Duration(float64(serve) * b.By)
		} else {
			called.Wasted++
			at := slices.IndexFunc(w.cfg.Calls.Bad, func(o Bad) bool { return o == *b })
			called.Last[at] = w.now - b.At
			return
		}
	}
	wait := max(s.busy-w.now, 0)
	if wait > 400*time.Millisecond {
		s.busy += serve / 5 // turning away costs, too
		back(time.Millisecond+wait/4, func() { d.router.Ended(a.ID, a.Index, threadglade.Rejected, threadglade.CauseProcessorFull) })
		return
	}
	s.busy = max(s.busy, w.now) + serve
	back(wait+serve+time.Millisecond, func() {
		d.router.Answered(a.ID, a.Index, nil)
		stands := time.Duration(w.random.ExpFloat64() * float64(w.cfg.Calls.Stand))
		s.open++
		w.after(stands, nil, func() { s.open-- })
		back(stands, func() { d.router.Ended(a.ID, a.Index, threadglade.Concluded, threadglade.CauseNone) })
	})
}

// coldLevel follows how far a cold server is above what its rule lets one fleet send it: what it can take grows from a part to all of it.
func (w *world) coldLevel(s *site) {
	age := w.now - s.started
	if age > 10*time.Second {
		return
	}
	w.res.Called.ColdSent++
	rate := 0.5 * 2 * (0.2 + 0.8*float64(age)/float64(10*time.Second)) * float64(w.cfg.Calls.Agents) / w.cfg.Calls.Stand.Seconds()
	s.level = max(0, s.level-rate*(w.now-s.levelAt).Seconds()) + 1
	s.levelAt = w.now
	w.res.Called.Cold = max(w.res.Called.Cold, s.level)
}

// Stood implements router.Front.
func (d *desk) Established(id string, _ []byte) {
	a := d.open[id]
	delete(d.open, id)
	called := &d.w.res.Called
	if d.w.now-a.at > time.Second {
		called.Late++
		return
	}
	called.InTime++
	called.FirstsIn[int(a.at/time.Second)]++
}

// Refused implements router.Front: callers may come again.
func (d *desk) Refused(id string, after time.Duration) {
	a := d.open[id]
	delete(d.open, id)
	d.w.res.Called.Refused++
	if a.redials < d.w.cfg.Calls.Redials {
		a.redials++
		d.w.after(max(after, time.Duration(d.w.random.Int64N(int64(time.Second)))), d.p, func() { d.w.invite(d, a) })
	}
}

// Failed implements router.Front.
func (d *desk) Failed(id string, _ router.Failure) {
	delete(d.open, id)
	d.w.res.Called.Failed++
}

// Released implements router.Front.
func (d *desk) Released(string, threadglade.Outcome) {}

// ---- verdicts ----

// join opens links to and from neighbours.
func (d *desk) join() {
	var names []string
	var members []verdict.Member
	for i, p := range d.w.routers() {
		names = append(names, p.name)
		members = append(members, verdict.Member{Name: p.name, Zone: fmt.Sprintf("z%d", i%max(d.w.cfg.Calls.Zones, 1))})
	}
	d.table.SetMembers(members)
	for _, name := range verdict.Neighbours(d.p.name, names) {
		other := d.w.routerNamed(name)
		d.link(other)
	}
	for _, p := range d.w.routers() { // whoever has us as a neighbour dials again
		if p != d.p && p.desk != nil && p.up && slices.Contains(verdict.Neighbours(p.name, names), d.p.name) {
			p.desk.link(d.p)
		}
	}
}

func (w *world) routers() []*process { return w.members[:w.cfg.Members] }

func (w *world) routerNamed(name string) *process {
	for _, p := range w.routers() {
		if p.name == name {
			return p
		}
	}
	return nil
}

// link is open from both sides as soon as both are up.
func (d *desk) link(p *process) {
	if p == nil || p.desk == nil || p.desk.table == nil || !p.up {
		return
	}
	d.table.LinkOpened(d.p.clock(d.w.now), p.name)
	p.desk.table.LinkOpened(p.clock(d.w.now), d.p.name)
	d.linked[p.name], p.desk.linked[d.p.name] = true, true
}

// gone ends a dead router's links.
func (w *world) goneRouter(dead *process) {
	for _, p := range w.routers() {
		if p.desk != nil && p.desk.table != nil && p.desk.linked[dead.name] {
			p.desk.table.LinkClosed(dead.name)
			delete(p.desk.linked, dead.name)
		}
	}
}

// look is a router's turn: it looks at what is overdue, talks, and heeds.
func (d *desk) look() {
	if d.table == nil {
		return
	}
	w, now := d.w, d.p.clock(d.w.now)
	d.watch.DetectMissed(now)
	own := d.watch.OwnRecords(now, d.table.Questioned(), d.table.RouterCount())
	if d.liar {
		for i := range own {
			own[i].BadAt, own[i].GoodAt = own[i].GoodAt, own[i].BadAt
			own[i].AnsweredSentAt = own[i].GoodAt
			own[i].Onset = max(own[i].BadAt-time.Second, 1)
		}
	}
	d.table.AddOwn(now, own)
	for i := range own {
		w.told[fmt.Sprint(d.p.name, d.p.serial, own[i].Seq)] = told{w.now, now - own[i].LastSeen()}
	}
	d.talk(now)
	if d.table.Changed() || now-d.listAt > time.Second {
		d.list, d.listAt = d.table.Verdicts(now), now
	}
	for _, c := range d.watch.UpdateAvoidances(now, d.list) {
		until := max(c.Until-now, 0)
		if slot := int(w.now / (100 * time.Millisecond)); until == 0 && c.Verdict == nil && w.now < d.cared[c.Server] {
			w.res.Called.Lifts = grow(w.res.Called.Lifts, slot)
			w.res.Called.Lifts[slot]++
		}
		d.router.Avoid(threadglade.Care{Server: c.Server, Started: c.Started, Until: w.unix() + until}, router.AvoidanceEvidence{})
		d.cared[c.Server] = w.now + until
	}
	alone := 0
	for _, s := range w.sites {
		w.wrong(d, s)
		if w.now < d.cared[s.id] {
			alone++
		}
	}
	if share := d.watch.Settings.MaxShare; float64(alone) > share*float64(len(w.sites)) {
		if d.overAt++; d.overAt > 40 { // what was told before has two seconds to lapse
			w.broken("%s leaves %d of %d servers alone", d.p.name, alone, len(w.sites))
		}
	} else {
		d.overAt = 0
	}
	d.settle()
}

// wrong sums the time for which a fit server is left alone. A second and a half after a trouble began or ended are for word to come.
func (w *world) wrong(d *desk, s *site) {
	w.res.Called.Watched += fleet.TickInterval
	unfit := false
	for _, b := range w.cfg.Calls.Bad {
		if b.Server == s.number && s.started <= b.At && w.now >= b.At && w.now < b.At+b.For+w.cfg.Calls.Terms.RecoverySpread+7*time.Second && (b.Zone == "" || b.Zone == d.zone) && (b.Router == 0 || b.Router-1 == d.index) {
			unfit = true
		}
	}
	if unfit || w.now >= d.cared[s.id] {
		delete(d.wrongAt, s.id)
		return
	}
	if d.wrongAt[s.id] == 0 {
		d.wrongAt[s.id] = w.now
	}
	w.res.Called.Wrong += fleet.TickInterval
	w.res.Called.WrongMost = max(w.res.Called.WrongMost, w.now-d.wrongAt[s.id]+fleet.TickInterval)
}

// talk sends what the table wants sent.
func (d *desk) talk(now time.Duration) {
	w := d.w
	for _, o := range d.table.Tick(now) {
		to := w.routerNamed(o.To)
		b := o.Frame.Marshal()
		w.res.Called.Frames++
		w.res.Called.FrameBytes += uint64(len(b))
		if w.cut[[2]*process{d.p, to}] {
			continue
		}
		if w.random.Float64() < w.cfg.Calls.LinkLoss { // links lose nothing while they last: this one has ended, and is opened again
			from := d
			w.after(500*time.Millisecond, nil, func() {
				if from.p.up && to.up {
					from.link(to)
				}
			})
			continue
		}
		wait := time.Duration(0)
		if w.cfg.Calls.LinkWait > 0 {
			wait = time.Duration(w.random.Int64N(int64(w.cfg.Calls.LinkWait)))
		}
		name := d.p.name
		w.send(d.p, to, &fleetpb.Frame{What: &fleetpb.Frame_Talk{Talk: b}}, func(f *fleetpb.Frame) {
			w.after(wait, to, func() {
				frame, err := verdict.ParseFrame(f.GetTalk())
				if err != nil {
					w.broken("a frame of evidence cannot be read: %v", err)
					return
				}
				if to.desk != nil && to.desk.table != nil {
					to.desk.table.Receive(to.clock(w.now), name, frame)
					to.desk.talkSoon()
				}
			})
		})
	}
}

// talkSoon has what has come passed on.
func (d *desk) talkSoon() {
	now := d.p.clock(d.w.now)
	wait := d.table.NextTick() - now
	if wait > fleet.TickInterval || d.talkAt > d.w.now {
		return
	}
	wait = max(wait, time.Millisecond)
	d.talkAt = d.w.now + wait
	d.w.after(wait, d.p, func() { d.talk(d.p.clock(d.w.now)) })
}

// told is when a router told something, and how old that was then.
type told struct{ at, age time.Duration }

// came notes how long evidence took, and how old it is taken to be: never younger than it is, but for what clocks drift.
func (w *world) came(now time.Duration, r *verdict.Record) {
	p := w.routerNamed(r.Observer)
	one, ok := w.told[fmt.Sprint(r.Observer, r.Incarnation>>16, r.Seq)]
	if !ok || p == nil || p.desk.liar {
		return
	}
	called := &w.res.Called
	if len(called.Ages) < 1<<20 {
		called.Ages = append(called.Ages, w.now-one.at)
	}
	truly, taken := w.now-one.at+one.age, now-r.LastSeen()
	if over := truly - taken; over > called.Over {
		called.Over = over
		if bound := time.Duration(float64(truly)*3*w.cfg.Terms.ClockDrift) + time.Millisecond; over > bound {
			w.broken("evidence of %s, %v old, is taken to be %v old", r.Observer, truly, taken)
		}
	}
}

// openSites makes the case servers, and has them replaced when the world says so.
func (w *world) openSites() {
	c := w.cfg.Calls
	for i := range c.Servers {
		w.sites = append(w.sites, &site{id: fmt.Sprintf("s%d", i), number: i})
	}
	w.res.Called.Sent = make([][]int, c.Servers)
	w.res.Called.Last = make([]time.Duration, len(c.Bad))
	for i, b := range c.Bad {
		if b.How != "replace" {
			continue
		}
		w.after(b.At, nil, func() {
			old := w.sites[b.Server]
			w.sites[b.Server] = &site{id: old.id, number: old.number, started: w.now, levelAt: w.now}
			w.trouble("replace %s", old.id)
			_ = i
			for _, p := range w.routers() {
				if p.up && p.desk != nil {
					late := time.Duration(w.random.Int64N(int64(200 * time.Millisecond)))
					w.after(late, p, func() { p.desk.listServers(); p.desk.settle() })
				}
			}
		})
	}
}

// part is the share of its part that a server was sent in the second before a time: its part is what the mean of all was.
func (c *Called) part(server int, at time.Duration) float64 {
	to := int(at / (100 * time.Millisecond))
	sum, own := 0.0, 0.0
	for i, list := range c.Sent {
		for slot := max(0, to-10); slot < to; slot++ {
			if slot < len(list) {
				sum += float64(list[slot])
				if i == server {
					own += float64(list[slot])
				}
			}
		}
	}
	if sum == 0 {
		return math.NaN()
	}
	return own * float64(len(c.Sent)) / sum
}

// Back is how long after a trouble's end a server had half of its part again.
func (c *Called) Back(b Bad, most time.Duration) time.Duration {
	for after := time.Duration(0); after < most; after += 100 * time.Millisecond {
		if c.part(b.Server, b.At+b.For+after+time.Second) >= 0.5 {
			return after
		}
	}
	return most
}

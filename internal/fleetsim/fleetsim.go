// Package fleetsim runs the pure parts of the fleet, hundreds of them, on one seeded network and clock: loss, delay, reordering, duplication, partitions,
// pauses, clocks that drift, disks that are lost. It checks the promises at every step and keeps the history. The same seed gives the same run. It must never
// stand in for a part that ships: keepers, members and machines are those of package fleet.
package fleetsim

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/quota"
)

// Config is a world.
type Config struct {
	Seed    uint64
	Keepers int
	Members int
	For     time.Duration  // true time
	Terms   fleet.Settings // names are filled in
	// Troubles a second, of each kind, and how the network is between them.
	Loss, Twice float64       // shares of messages
	Delay       time.Duration // a message takes this at least
	Spread      time.Duration // and up to so much more: messages overtake each other
	Far         time.Duration // and between keepers and members up to so much more again
	PauseMost   time.Duration // how long a pause lasts at the most
	Cuts        float64       // a process is cut off, both ways or one way
	Pauses      float64       // a process is stopped and wakes
	Kills       float64       // a process dies and starts anew: a keeper with what it had synced
	MemberKills float64       // a member's process dies and stays dead for 10 s
	Twins       float64       // a second process of a member's name starts
	Wipes       bool          // a killed keeper may lose its files: it must not come back
	Drift       float64       // clocks run within this of true time
	Islands     float64       // the leading keeper and a member are cut off together, and the keeper is stopped again and again
	Puts        float64       // facts asked for, a second
	Calls       *Calls        // nil: none
	Limits      []quota.Limit // on classes of their own names
	Steady      bool          // demand stays as first drawn
	Swing       int           // how often demand goes elsewhere, in 1,000 looks; 0: 10
	Demand      float64       // calls a second at a router, in the mean, for each limit; it swings
	Quiet       time.Duration // no trouble in the last so long: whatever can act has to
}

// Default is a rough world.
func Default(seed uint64) Config {
	return Config{Seed: seed, Keepers: 3, Members: 20, For: 60 * time.Second, Terms: fleet.DefaultSettings(), Loss: 0.01, Twice: 0.01, Delay: 500 * time.Microsecond, Spread: 5 * time.Millisecond, PauseMost: 10 * time.Second,
		Cuts: 0.5, Pauses: 0.5, Kills: 0.5, Twins: 0.3, Islands: 0.05, Drift: 0.01, Puts: 2, Quiet: 15 * time.Second}
}

// Op is one put as its member saw it; Result 0: refused, Return 0: never answered.
type Op struct {
	Client       int
	Key          string
	Expect       uint64
	Value        uint64
	Result       uint64
	Call, Return time.Duration
}

// Result of a run.
type Result struct {
	Broken   string // the first promise that did not hold; empty: all did
	At       time.Duration
	Steps    uint64
	Messages uint64
	Bytes    uint64
	Acts     uint64
	Begun    uint64
	Ops      []Op
	Sum      uint64          // over all that happened, in order: equal runs have equal sums
	Lost     []time.Duration // from a member's last act to when each other knew
	Slack    time.Duration   // the least gap between two incarnations of a name
	Lasting  int             // members that act at the end
	Trouble  []string
	Limited  map[string]*Limited
	Called   Called
	Held     []Holding
	Demands  map[string]float64 // of routers, at the end
	Heard    map[string]uint64  // versions by value, as any member heard of them
}

// Holding is the time from the first to the last act of an incarnation.
type Holding struct {
	Name        string
	Incarnation uint64
	First, Last time.Duration
}

// Limited is what became of one limit.
type Limited struct {
	Admitted, Refused int
	Level, Most       float64 // of a bucket that leaks at the limit, in calls; or calls at once
	Bound             float64
	last              time.Duration
	low               float64
	Late              int                // admitted in the last ten seconds
	By                map[string]float64 // the same by router
	Firsts, Further   int                // of retries: first tries, and further attempts and marked retries that were let through
}

type process struct {
	desk    *desk // its calls; nil: none
	gate    *quota.Limiter
	demand  float64
	further int // attempts that its decisions have been lent
	slot    uint32
	name    string
	keeper  *fleet.Keeper
	member  *fleet.Member
	stored  fleet.Stored // what it has synced
	rate    float64      // of its clock
	zero    time.Duration
	from    time.Duration // true time of its start
	up      bool
	paused  bool
	waiting []event // came while it was paused
	gone    bool    // for good
	number  uint64
	serial  int
}

// clock is the process's own time: it runs while the process is paused.
func (p *process) clock(now time.Duration) time.Duration {
	return p.zero + time.Duration(float64(now-p.from)*p.rate)
}

// link is between a member's process and a keeper, until either ends.
type link struct{ member, keeper *process }

type event struct {
	at   time.Duration
	seq  uint64
	run  func()
	to   *process
	life int // of the process it is for
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any     { old := *q; e := old[len(old)-1]; *q = old[:len(old)-1]; return e }

type world struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration
	queue   queue
	seq     uint64
	keepers []*process
	members []*process // all processes of routers, twins and earlier ones too
	byVoter map[uint64]*process
	links   map[fleet.Link]*link
	cut     map[[2]*process]bool // from, to
	res     Result
	sum     interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
	acting   map[string]uint64        // the latest incarnation that has acted, by name
	actAt    map[string]time.Duration // and when
	owner    map[uint64]*process
	lastActs map[uint64]time.Duration // by incarnation
	entries  map[uint64][]byte        // what was applied at an index, by whoever came first
	applied  map[*process]uint64
	sites    []*site
	told     map[string]told
	linked   fleet.Link
	values   uint64
}

// Run runs a world to its end, or to the first promise that does not hold.
func Run(cfg Config) *Result {
	w := &world{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 77)), byVoter: map[uint64]*process{}, links: map[fleet.Link]*link{}, cut: map[[2]*process]bool{}, sum: fnv.New64a(),
		acting: map[string]uint64{}, actAt: map[string]time.Duration{}, owner: map[uint64]*process{}, lastActs: map[uint64]time.Duration{}, entries: map[uint64][]byte{}, applied: map[*process]uint64{}, told: map[string]told{}}
	w.res.Slack, w.res.Heard, w.res.Limited = time.Hour, map[string]uint64{}, map[string]*Limited{}
	w.res.Demands = map[string]float64{}
	for _, l := range cfg.Limits {
		bound := l.Max
		if l.Kind == quota.Rate {
			bound = l.Max*l.Burst.Seconds() + float64(cfg.Members)
			if l.CutOff == quota.Floor { // a twin without a lease has its floor, too
				bound = l.Max*l.Burst.Seconds() + float64(l.MaxRouters)
			}
		}
		if l.Kind == quota.Retries {
			bound = 10 * 2 * float64(cfg.Members) // twins, too
		}
		w.res.Limited[l.Name] = &Limited{Bound: bound, By: map[string]float64{}}
	}
	t := &w.cfg.Terms
	t.Fleet, t.Members, t.Keepers = "sim", []string{"m*"}, nil
	for i := range cfg.Keepers {
		t.Keepers = append(t.Keepers, fmt.Sprintf("k%d", i))
	}
	founded, err := fleet.Bootstrap(*t, w.random)
	if err != nil {
		w.broken("founding: %v", err)
		return &w.res
	}
	for _, s := range founded {
		p := &process{name: s.Identity.Name, stored: s, number: s.Identity.Number}
		w.keepers = append(w.keepers, p)
		w.byVoter[p.number] = p
		w.start(p)
	}
	if cfg.Calls != nil {
		w.openSites()
	}
	for i := range cfg.Members {
		w.join(fmt.Sprintf("m%d", i))
	}
	if cfg.Calls != nil {
		for i, p := range w.routers() {
			w.openCalls(p, i)
		}
	}
	w.troubles()
	for w.res.Broken == "" && len(w.queue) > 0 && w.queue[0].at <= cfg.For {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if p := e.to; p != nil {
			if !p.up || p.serial != e.life {
				continue
			}
			if p.paused {
				p.waiting = append(p.waiting, e)
				continue
			}
		}
		w.res.Steps++
		e.run()
	}
	w.ending()
	w.res.Sum = w.sum.Sum64()
	for _, p := range w.members {
		w.res.Demands[p.name] = p.demand
	}
	for i := range w.res.Held {
		w.res.Held[i].Last = w.lastActs[w.res.Held[i].Incarnation]
	}
	return &w.res
}

func (w *world) note(format string, args ...any) { fmt.Fprintf(w.sum, format, args...) }

func (w *world) broken(format string, args ...any) {
	if w.res.Broken == "" {
		w.res.Broken, w.res.At = fmt.Sprintf(format, args...), w.now
	}
}

func (w *world) after(d time.Duration, to *process, run func()) {
	w.seq++
	life := 0
	if to != nil {
		life = to.serial
	}
	heap.Push(&w.queue, event{w.now + d, w.seq, run, to, life})
}

// start begins a process's life; a keeper goes on from what it had synced.
func (w *world) start(p *process) {
	p.serial++
	p.up, p.paused, p.waiting, p.from = true, false, nil, w.now
	p.rate = 1 + (w.random.Float64()*2-1)*w.cfg.Drift
	p.zero = time.Duration(w.random.Int64N(int64(time.Hour)))
	if p.number != 0 {
		k, err := fleet.NewKeeper(w.cfg.Terms, p.stored, rand.New(rand.NewPCG(w.random.Uint64(), 3)), p.clock(w.now))
		if err != nil {
			w.broken("%s does not start: %v", p.name, err)
			return
		}
		p.keeper = k
		if len(w.cfg.Limits) > 0 {
			k.Extension = quota.NewRider(w.cfg.Terms, func() *fleet.Machine { return k.Machine }, func() []quota.Limit { return w.cfg.Limits })
		}
		w.applied[p] = k.Machine.Index
	} else {
		p.member = fleet.NewMember(w.cfg.Terms, p.name, w.random.Uint64()>>1+1)
		if len(w.cfg.Limits) > 0 {
			p.gate, p.further = quota.NewLimiter(p.clock(w.now), w.cfg.Limits), 0
			p.member.ExtensionPayload = func() []byte { return p.gate.MarshalClaims(p.clock(w.now)) }
			p.member.OnExtensionPayload = func(seq uint64, until time.Duration, ride []byte) {
				if grants, ok := quota.UnmarshalGrants(ride); ok && p.gate.ApplyGrants(p.clock(w.now), seq, until, grants) {
					p.member.AskWithin(0)
				}
				if p.desk != nil {
					p.desk.parts()
				}
			}
		}
		for _, k := range w.keepers {
			w.link(p, k)
		}
	}
	var tick func()
	tick = func() {
		now := p.clock(w.now)
		if p.keeper != nil {
			p.keeper.Tick(now)
		} else {
			p.member.Tick(now)
			w.act(p)
			if p.desk != nil {
				p.desk.look()
				if p.gate != nil && p.gate.HasUnmetDemand(now) {
					p.member.AskWithin(250 * time.Millisecond)
				}
			} else {
				w.call(p)
			}
		}
		w.drive(p)
		w.after(fleet.TickInterval, p, tick)
	}
	w.after(time.Duration(w.random.Int64N(int64(fleet.TickInterval))), p, tick)
}

// link opens a link from a member's process to a keeper, as soon as both are up.
func (w *world) link(p, k *process) {
	if !p.up || !k.up {
		return
	}
	w.linked++
	w.links[w.linked] = &link{p, k}
	p.member.SetLink(p.clock(w.now), k.name, w.linked)
}

// unlink ends the links of a process that has died; the other sides notice.
func (w *world) unlink(dead *process) {
	for _, id := range slices.Sorted(maps.Keys(w.links)) {
		l := w.links[id]
		switch dead {
		case l.member:
			if l.keeper.up {
				l.keeper.keeper.RemoveLink(id)
			}
		case l.keeper:
			if l.member.up {
				l.member.member.SetLink(l.member.clock(w.now), dead.name, 0)
			}
		default:
			continue
		}
		delete(w.links, id)
	}
}

// join starts a process of a member's name.
func (w *world) join(name string) *process {
	p := &process{name: name}
	w.members = append(w.members, p)
	w.start(p)
	return p
}

// act is what a lease is for: whoever holds one acts, and the checks look at true time.
func (w *world) act(p *process) {
	l := p.member.Lease()
	if !l.IsHeld(p.clock(w.now)) {
		return
	}
	w.res.Acts++
	last := w.acting[p.name]
	if last > l.Incarnation {
		w.broken("%s acts by %d after %d has acted", p.name, l.Incarnation, last)
	}
	if was := w.owner[l.Incarnation]; was != nil && was != p {
		w.broken("incarnation %d is held by two processes, %s and %s", l.Incarnation, was.name, p.name)
	}
	if last < l.Incarnation && last != 0 {
		w.res.Slack = min(w.res.Slack, w.now-w.actAt[p.name])
	}
	if last != l.Incarnation {
		w.res.Begun++
		w.res.Held = append(w.res.Held, Holding{p.name, l.Incarnation, w.now, w.now})
		w.note("act %s %d %d\n", p.name, l.Incarnation, w.now)
	}
	w.owner[l.Incarnation], w.acting[p.name], w.actAt[p.name], w.lastActs[l.Incarnation] = p, l.Incarnation, w.now, w.now
}

// call has callers call a router: each limit counts calls of its own class. The checks look at true time and at what was admitted anywhere.
func (w *world) call(p *process) {
	if p.gate == nil {
		return
	}
	if !w.cfg.Steady && w.random.IntN(1000) < max(w.cfg.Swing, 10) || p.demand == 0 { // now and then demand goes elsewhere
		p.demand = w.cfg.Demand * w.random.ExpFloat64()
	}
	now := p.clock(w.now)
	if p.gate.HasUnmetDemand(now) {
		p.member.AskWithin(250 * time.Millisecond)
	}
	for _, l := range w.cfg.Limits {
		if l.Kind == quota.Retries {
			w.retry(p, l)
			continue
		}
		for n := p.demand * fleet.TickInterval.Seconds(); w.random.Float64() < n; n-- {
			p.slot++
			slot := p.slot % 100_000
			have := w.res.Limited[l.Name]
			if ok, _, _ := p.gate.Admit(now, slot, l.Name, "", "", false); !ok {
				have.Refused++
				continue
			}
			have.Admitted++
			if all := w.res.Limited["retries"]; all != nil { // a first try, too, that earns its part
				all.Firsts++
			}
			if w.now > w.cfg.For-10*time.Second {
				have.Late++
				have.By[p.name]++
			}
			if l.Kind == quota.Rate {
				have.Level = max(0, have.Level-l.Max*(1+w.cfg.Terms.ClockDrift)*(w.now-have.last).Seconds()) + 1
				have.last = w.now
			} else {
				have.Level++
				life := p.serial
				w.after(time.Duration(w.random.Int64N(int64(l.MaxCallDuration))), nil, func() {
					have.Level--
					if p.up && p.serial == life { // a router that has died hears of no end
						p.gate.Release(slot)
					}
				})
			}
			if have.Most = max(have.Most, have.Level); have.Level > have.Bound+1e-6 {
				w.broken("limit %s: %.2f calls over, bound %.2f", l.Name, have.Level, have.Bound)
			}
		}
	}
}

// retry has callers try at a router, of whom many try again, and its decisions make further attempts for many calls: neither are more than first tries have earned.
func (w *world) retry(p *process, l quota.Limit) {
	have, now := w.res.Limited[l.Name], p.clock(w.now)
	for n := p.demand * fleet.TickInterval.Seconds(); w.random.Float64() < n; n-- {
		p.slot++
		marked := w.random.IntN(2) == 0
		ok, _, _ := p.gate.Admit(now, p.slot%100_000, l.Name, "", "", marked)
		switch {
		case ok && !marked:
			have.Firsts++
		case ok:
			have.Further++
		default:
			have.Refused++
		}
		for w.random.IntN(3) == 0 { // an attempt of a call fails
			if p.further == 0 {
				have.Refused++
				break
			}
			p.further--
			have.Further++
		}
		p.further, _ = p.gate.LendRetries(p.further)
	}
	have.Admitted = have.Firsts + have.Further
	over := float64(have.Further) - l.Max*float64(have.Firsts) // since the beginning: never, for nothing is earned ahead of first tries
	have.low = min(have.low, over)
	have.Level = over - have.low // in the worst time until now: what each had in its bucket
	if have.Most = max(have.Most, have.Level); over > 1e-6 || have.Level > have.Bound {
		w.broken("limit %s: %.2f further attempts and retries over, %.2f in some time, bound %.2f", l.Name, over, have.Level, have.Bound)
	}
}

// send puts a message on the network: it may be lost, late, twice, or overtaken.
func (w *world) send(from, to *process, frame *fleetpb.Frame, deliver func(*fleetpb.Frame)) {
	if to == nil || w.cut[[2]*process{from, to}] || w.random.Float64() < w.cfg.Loss {
		return
	}
	b, err := proto.Marshal(frame)
	if err != nil {
		w.broken("a frame cannot be written: %v", err)
		return
	}
	times := 1
	if w.random.Float64() < w.cfg.Twice {
		times = 2
	}
	for range times {
		w.res.Messages++
		w.res.Bytes += uint64(len(b))
		d := w.cfg.Delay + time.Duration(w.random.Int64N(int64(w.cfg.Spread)+1))
		if from.member != nil || to.member != nil {
			d += time.Duration(w.random.Int64N(int64(w.cfg.Far) + 1))
		}
		w.after(d, to, func() {
			if w.cut[[2]*process{from, to}] {
				return
			}
			f := &fleetpb.Frame{}
			if proto.Unmarshal(b, f) != nil {
				w.broken("a frame cannot be read")
			}
			deliver(f)
			w.drive(to)
		})
	}
}

// drive does what a process wants done.
func (w *world) drive(p *process) {
	for p.keeper != nil {
		k := p.keeper
		o, ok := k.Output()
		if !ok {
			break
		}
		if o.Store != nil {
			p.stored.Apply(o.Store)
		}
		for _, s := range o.Outbound {
			if s.Voter != 0 {
				to := w.byVoter[s.Voter]
				w.send(p, to, s.Frame, func(f *fleetpb.Frame) { to.keeper.Receive(to.clock(w.now), p.name, f.GetRaft()) })
				continue
			}
			if l := w.links[s.Link]; l != nil && l.keeper == p {
				to := l.member
				w.send(p, to, s.Frame, func(f *fleetpb.Frame) { to.member.Receive(to.clock(w.now), p.name, f); w.act(to) })
			}
		}
		k.Advance(p.clock(w.now))
		w.agree(p)
		for _, n := range o.Notes {
			w.note("%s %s %d %d\n", p.name, n.Kind, n.Number, w.now)
		}
	}
	if p.member == nil {
		return
	}
	sends, notes := p.member.Output()
	for _, s := range sends {
		if l := w.links[s.Link]; l != nil && l.member == p {
			k, id := l.keeper, s.Link
			w.send(p, k, s.Frame, func(f *fleetpb.Frame) {
				if w.links[id] == l {
					k.keeper.HandleAsk(k.clock(w.now), id, p.name, f.GetAsk())
				}
			})
		}
	}
	for _, n := range notes {
		w.note("%s %s %s %d %d\n", p.name, n.Kind, n.Name, n.Incarnation, w.now)
		if at, acted := w.lastActs[n.Incarnation]; n.Kind == fleet.MemberLost && acted && p.from < at { // it was there to hear
			w.res.Lost = append(w.res.Lost, w.now-at)
		}
		if n.Kind == fleet.FactWritten && strings.HasPrefix(n.Name, "fact") {
			if was, ok := w.res.Heard[string(n.Value)]; ok && was != n.Number {
				w.broken("put %s was taken twice, as versions %d and %d", n.Value, was, n.Number)
			}
			w.res.Heard[string(n.Value)] = n.Number
		}
	}
}

// agree checks that keepers apply the same at each index.
func (w *world) agree(p *process) {
	m := p.keeper.Machine
	if m.Index == w.applied[p] {
		return
	}
	if m.Index < w.applied[p] {
		w.broken("%s has gone back from %d to %d", p.name, w.applied[p], m.Index)
	}
	w.applied[p] = m.Index
	s := m.State()
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	h := fnv.New64a()
	h.Write(b)
	sum := h.Sum(nil)
	if was, ok := w.entries[m.Index]; ok && string(was) != string(sum) {
		w.broken("keepers differ at index %d", m.Index)
	}
	w.entries[m.Index] = sum
	if len(w.entries) > 4096 {
		for index := range maps.Keys(w.entries) {
			if index+2048 < m.Index {
				delete(w.entries, index)
			}
		}
	}
}

// put has a member ask for a fact; keys are few, so that writers meet.
func (w *world) put(p *process) {
	key := fmt.Sprintf("fact%d", w.random.IntN(3))
	w.values++
	value := w.values
	expect := p.member.Machine.Fact(key).GetVersion()
	at := len(w.res.Ops)
	w.res.Ops = append(w.res.Ops, Op{Client: at, Key: key, Expect: expect, Value: value, Call: w.now})
	p.member.Put(p.clock(w.now), &fleet.Put{Key: key, Value: fmt.Appendf(nil, "%d", value), ExpectedVersion: expect}, func(version uint64) {
		w.res.Ops[at].Result, w.res.Ops[at].Return = version, w.now
	})
	w.drive(p)
}

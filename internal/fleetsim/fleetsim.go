// Package fleetsim is a deterministic simulation of the fleet. It runs keepers, members and routers, hundreds of
// them, on one seeded network and clock, with message loss, delay, reordering and duplication, partitions, paused
// processes, clock drift and lost disks. It checks the guarantees at every step and records the history for the
// linearizability check. Runs with equal configurations are equal. The package must not substitute its own code for
// parts that ship: keepers, members and state machines are those of package fleet.
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

// Config describes a simulated fleet, its network and its faults. Rates are events per second.
type Config struct {
	Seed     uint64
	Keepers  int
	Members  int
	Duration time.Duration  // simulated (true) time
	Settings fleet.Settings // the names of fleet, members and keepers are filled in

	LossRate            float64       // share of messages lost
	DuplicationRate     float64       // share of messages duplicated
	MinDelay            time.Duration // least delay of a message
	MaxJitter           time.Duration // greatest random addition to it, which reorders messages
	MaxMemberDelay      time.Duration // greatest further addition between keepers and members
	MaxPause            time.Duration // greatest length of a pause
	PartitionRate       float64       // rate of partitions of one process, in one direction or both
	PauseRate           float64       // rate of pauses of a process
	KillRate            float64       // rate of process crashes with restart; a keeper restarts from its synced state
	MemberKillRate      float64       // rate of crashes of members, which restart after 10 s
	DuplicateMemberRate float64       // rate of starts of a second process with a member's name
	LoseFiles           bool          // a killed keeper may lose its files; it must not start again then
	MaxClockDrift       float64       // greatest relative error of a process's clock
	// Rate of the following fault: the leading keeper and a member are isolated together, and the keeper is paused
	// repeatedly.
	IsolatedLeaderRate    float64
	PutRate               float64       // rate of puts of facts
	Calls                 *CallConfig   // nil: no calls
	Limits                []quota.Limit // each applies to the class of its own name
	SteadyDemand          bool          // each router's demand stays as first drawn
	DemandChangesPerMille int           // changes of demand per 1,000 ticks, at least 10
	Demand                float64       // mean calls per second at a router, for each limit
	// Time without faults at the end. After it every member that can hold a lease has to hold one.
	QuietPeriod time.Duration
}

// DefaultConfig returns a configuration with most kinds of faults.
func DefaultConfig(seed uint64) Config {
	return Config{Seed: seed, Keepers: 3, Members: 20, Duration: 60 * time.Second, Settings: fleet.DefaultSettings(),
		LossRate: 0.01, DuplicationRate: 0.01, MinDelay: 500 * time.Microsecond, MaxJitter: 5 * time.Millisecond,
		MaxPause: 10 * time.Second, PartitionRate: 0.5, PauseRate: 0.5, KillRate: 0.5,
		DuplicateMemberRate: 0.3, IsolatedLeaderRate: 0.05, MaxClockDrift: 0.01, PutRate: 2, QuietPeriod: 15 * time.Second}
}

// Op is one put as its member saw it. Result is the version written, 0 if the put was refused; Return is 0 if no
// answer came.
type Op struct {
	Client          int
	Key             string
	ExpectedVersion uint64
	Value           uint64
	Result          uint64
	Call, Return    time.Duration
}

// Result reports a run.
type Result struct {
	Violation    string        // the first violated guarantee; empty: none
	ViolationAt  time.Duration // when it was violated
	Steps        uint64
	Messages     uint64
	Bytes        uint64
	Acts         uint64 // times at which a member was seen to hold its lease
	Incarnations uint64 // incarnations that acted
	Ops          []Op
	Checksum     uint64 // over all events in order: equal runs have equal checksums
	// For each loss that a member noticed: the time since the last act of the lost incarnation.
	LossDetectionTimes []time.Duration
	MinIncarnationGap  time.Duration // least time between the acts of two incarnations of a name
	ActiveAtEnd        int           // names that act at the end
	Faults             []string
	Limits             map[string]*LimitResult
	Calls              CallResults
	LeasePeriods       []LeasePeriod
	FinalDemands       map[string]float64 // demand of the routers at the end, by name
	FactVersions       map[string]uint64  // versions of facts by value, as any member learned them
}

// LeasePeriod is the time from the first to the last act of an incarnation.
type LeasePeriod struct {
	Name        string
	Incarnation uint64
	First, Last time.Duration
}

// LimitResult reports how one limit was used.
type LimitResult struct {
	Admitted int
	Refused  int
	// Level of a leaky bucket that drains at the limit's rate, in calls; concurrent calls; or, for a limit of
	// retries, the excess over the budget in the worst period.
	Level            float64
	MaxLevel         float64 // greatest Level
	Bound            float64 // greatest Level allowed
	last             time.Duration
	low              float64            // least excess of retries so far
	RecentlyAdmitted int                // admitted in the last 10 s
	RecentByRouter   map[string]float64 // the same by router
	FirstTries       int                // for a limit of retries: first tries admitted
	RetriesAdmitted  int                // for a limit of retries: retry attempts and marked retries admitted
}

// process is a process of a keeper or a member, across restarts.
type process struct {
	routerSim   *routerSim // nil if no calls are simulated
	limiter     *quota.Limiter
	demand      float64
	lentRetries int // retry attempts lent to the controller and not yet used
	lastSlot    uint32
	name        string
	keeper      *fleet.Keeper
	member      *fleet.Member
	stored      fleet.Stored // state synced to disk
	clockRate   float64      // of its clock, relative to true time
	clockOffset time.Duration
	startedAt   time.Duration // true time
	up          bool
	paused      bool
	deferred    []event // events that arrived during a pause
	filesLost   bool    // permanently: the keeper cannot start again
	voterNumber uint64
	generation  int
}

// clock returns the process's own time. The clock keeps running while the process is paused.
func (p *process) clock(now time.Duration) time.Duration {
	return p.clockOffset + time.Duration(float64(now-p.startedAt)*p.clockRate)
}

// link is a connection between a member's process and a keeper. It lasts until either dies.
type link struct{ member, keeper *process }

// event is a function to be run at a time, on behalf of a process if it has a target.
type event struct {
	at         time.Duration
	seq        uint64
	run        func()
	target     *process
	generation int // of the target; the event is dropped if the process has restarted
}

// queue is a heap of events ordered by time, then by creation.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world is the state of a simulation.
type world struct {
	cfg      Config
	random   *rand.Rand
	now      time.Duration
	queue    queue
	seq      uint64
	keepers  []*process
	members  []*process // all member processes, including duplicates and dead ones
	byVoter  map[uint64]*process
	links    map[fleet.Link]*link
	blocked  map[[2]*process]bool // partitioned directions: from, to
	result   Result
	checksum interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
	latestIncarnation  map[string]uint64        // greatest incarnation that has acted, by name
	lastActAt          map[string]time.Duration // time of its last act, by name
	incarnationOwner   map[uint64]*process
	incarnationLastAct map[uint64]time.Duration // time of the last act, by incarnation
	stateHashes        map[uint64][]byte        // by index: hash of the state of the first keeper that applied it
	appliedIndex       map[*process]uint64
	servers            []*caseServer
	sentRecords        map[string]sentRecord
	lastLink           fleet.Link
	lastValue          uint64
}

// Run simulates the configured fleet to the end, or to the first violated guarantee.
func Run(config Config) *Result {
	world := &world{cfg: config, random: rand.New(rand.NewPCG(config.Seed, 77)), byVoter: map[uint64]*process{},
		links: map[fleet.Link]*link{}, blocked: map[[2]*process]bool{}, checksum: fnv.New64a(),
		latestIncarnation: map[string]uint64{}, lastActAt: map[string]time.Duration{},
		incarnationOwner: map[uint64]*process{}, incarnationLastAct: map[uint64]time.Duration{},
		stateHashes: map[uint64][]byte{}, appliedIndex: map[*process]uint64{},
		sentRecords: map[string]sentRecord{}}
	world.result.MinIncarnationGap, world.result.FactVersions, world.result.Limits = time.Hour, map[string]uint64{},
		map[string]*LimitResult{}
	world.result.FinalDemands = map[string]float64{}
	for _, l := range config.Limits {
		bound := l.Max
		if l.Kind == quota.Rate {
			bound = l.Max*l.Burst.Seconds() + float64(config.Members)
			if l.CutOff == quota.Floor { // a duplicate without a lease has its floor as well
				bound = l.Max*l.Burst.Seconds() + float64(l.MaxRouters)
			}
		}
		if l.Kind == quota.Retries {
			bound = 10 * 2 * float64(config.Members) // duplicate processes count as well
		}
		world.result.Limits[l.Name] = &LimitResult{Bound: bound, RecentByRouter: map[string]float64{}}
	}
	settings := &world.cfg.Settings
	settings.Fleet, settings.Members, settings.Keepers = "sim", []string{"m*"}, nil
	for i := range config.Keepers {
		settings.Keepers = append(settings.Keepers, fmt.Sprintf("k%d", i))
	}
	bootstrapped, err := fleet.Bootstrap(*settings, world.random)
	if err != nil {
		world.reportViolation("bootstrap: %v", err)
		return &world.result
	}
	for _, stored := range bootstrapped {
		process := &process{name: stored.Identity.Name, stored: stored, voterNumber: stored.Identity.Number}
		world.keepers = append(world.keepers, process)
		world.byVoter[process.voterNumber] = process
		world.startProcess(process)
	}
	if config.Calls != nil {
		world.createServers()
	}
	for i := range config.Members {
		world.startMember(fmt.Sprintf("m%d", i))
	}
	if config.Calls != nil {
		for i, process := range world.routers() {
			world.startRouter(process, i)
		}
	}
	world.scheduleFaults()
	for world.result.Violation == "" && len(world.queue) > 0 && world.queue[0].at <= config.Duration {
		e := heap.Pop(&world.queue).(event)
		world.now = e.at
		if process := e.target; process != nil {
			if !process.up || process.generation != e.generation {
				continue
			}
			if process.paused {
				process.deferred = append(process.deferred, e)
				continue
			}
		}
		world.result.Steps++
		e.run()
	}
	world.checkFinalState()
	world.result.Checksum = world.checksum.Sum64()
	for _, process := range world.members {
		world.result.FinalDemands[process.name] = process.demand
	}
	for i := range world.result.LeasePeriods {
		world.result.LeasePeriods[i].Last = world.incarnationLastAct[world.result.LeasePeriods[i].Incarnation]
	}
	return &world.result
}

// recordEvent adds an event to the checksum.
func (w *world) recordEvent(format string, args ...any) { fmt.Fprintf(w.checksum, format, args...) }

// reportViolation records the first violated guarantee.
func (w *world) reportViolation(format string, args ...any) {
	if w.result.Violation == "" {
		w.result.Violation, w.result.ViolationAt = fmt.Sprintf(format, args...), w.now
	}
}

// schedule runs a function after a delay. It is deferred while the target process, if any, is paused, and dropped
// if it dies.
func (w *world) schedule(d time.Duration, to *process, run func()) {
	w.seq++
	generation := 0
	if to != nil {
		generation = to.generation
	}
	heap.Push(&w.queue, event{w.now + d, w.seq, run, to, generation})
}

// startProcess starts a process, or starts it again. A keeper continues from its synced state.
func (w *world) startProcess(p *process) {
	p.generation++
	p.up, p.paused, p.deferred, p.startedAt = true, false, nil, w.now
	p.clockRate = 1 + (w.random.Float64()*2-1)*w.cfg.MaxClockDrift
	p.clockOffset = time.Duration(w.random.Int64N(int64(time.Hour)))
	if p.voterNumber != 0 {
		k, err := fleet.NewKeeper(w.cfg.Settings, p.stored, rand.New(rand.NewPCG(w.random.Uint64(), 3)), p.clock(w.now))
		if err != nil {
			w.reportViolation("%s does not start: %v", p.name, err)
			return
		}
		p.keeper = k
		if len(w.cfg.Limits) > 0 {
			k.Extension = quota.NewLeaseExtension(w.cfg.Settings, func() *fleet.Machine { return k.Machine },
				func() []quota.Limit { return w.cfg.Limits })
		}
		w.appliedIndex[p] = k.Machine.Index
	} else {
		p.member = fleet.NewMember(w.cfg.Settings, p.name, w.random.Uint64()>>1+1)
		if len(w.cfg.Limits) > 0 {
			p.limiter, p.lentRetries = quota.NewLimiter(p.clock(w.now), w.cfg.Limits), 0
			p.member.ExtensionPayload = func() []byte { return p.limiter.MarshalClaims(p.clock(w.now)) }
			p.member.OnExtensionPayload = func(seq uint64, until time.Duration, ride []byte) {
				if grants, ok := quota.UnmarshalGrants(ride); ok &&
					p.limiter.ApplyGrants(p.clock(w.now), seq, until, grants) {
					p.member.AskWithin(0)
				}
				if p.routerSim != nil {
					p.routerSim.applyColdShares()
				}
			}
		}
		for _, k := range w.keepers {
			w.openLink(p, k)
		}
	}
	var tick func()
	tick = func() {
		now := p.clock(w.now)
		if p.keeper != nil {
			p.keeper.Tick(now)
		} else {
			p.member.Tick(now)
			w.checkLease(p)
			if p.routerSim != nil {
				p.routerSim.updateVerdicts()
				if p.limiter != nil && p.limiter.HasUnmetDemand(now) {
					p.member.AskWithin(250 * time.Millisecond)
				}
			} else {
				w.generateDemand(p)
			}
		}
		w.processOutput(p)
		w.schedule(fleet.TickInterval, p, tick)
	}
	w.schedule(time.Duration(w.random.Int64N(int64(fleet.TickInterval))), p, tick)
}

// openLink connects a member's process to a keeper if both are up.
func (w *world) openLink(p, k *process) {
	if !p.up || !k.up {
		return
	}
	w.lastLink++
	w.links[w.lastLink] = &link{p, k}
	p.member.SetLink(p.clock(w.now), k.name, w.lastLink)
}

// closeLinks closes the links of a process that has died and notifies the other sides.
func (w *world) closeLinks(dead *process) {
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

// startMember starts a new process with a member's name.
func (w *world) startMember(name string) *process {
	p := &process{name: name}
	w.members = append(w.members, p)
	w.startProcess(p)
	return p
}

// checkLease lets a member act if it holds its lease by its own clock, and checks in true time that no other
// incarnation of its name acts after a later one.
func (w *world) checkLease(p *process) {
	lease := p.member.Lease()
	if !lease.IsHeld(p.clock(w.now)) {
		return
	}
	w.result.Acts++
	last := w.latestIncarnation[p.name]
	if last > lease.Incarnation {
		w.reportViolation("%s acts as incarnation %d after %d has acted", p.name, lease.Incarnation, last)
	}
	if was := w.incarnationOwner[lease.Incarnation]; was != nil && was != p {
		w.reportViolation("incarnation %d is held by two processes, %s and %s", lease.Incarnation, was.name, p.name)
	}
	if last < lease.Incarnation && last != 0 {
		w.result.MinIncarnationGap = min(w.result.MinIncarnationGap, w.now-w.lastActAt[p.name])
	}
	if last != lease.Incarnation {
		w.result.Incarnations++
		w.result.LeasePeriods = append(w.result.LeasePeriods, LeasePeriod{p.name, lease.Incarnation, w.now, w.now})
		w.recordEvent("act %s %d %d\n", p.name, lease.Incarnation, w.now)
	}
	w.incarnationOwner[lease.Incarnation], w.latestIncarnation[p.name],
		w.lastActAt[p.name], w.incarnationLastAct[lease.Incarnation] = p, lease.Incarnation, w.now, w.now
}

// generateDemand makes calls at a router, in the class of each limit, and checks the limits in true time against
// the calls that all routers have admitted.
func (w *world) generateDemand(p *process) {
	if p.limiter == nil {
		return
	}
	// Demand changes at random.
	if !w.cfg.SteadyDemand && w.random.IntN(1000) < max(w.cfg.DemandChangesPerMille, 10) || p.demand == 0 {
		p.demand = w.cfg.Demand * w.random.ExpFloat64()
	}
	now := p.clock(w.now)
	if p.limiter.HasUnmetDemand(now) {
		p.member.AskWithin(250 * time.Millisecond)
	}
	for _, l := range w.cfg.Limits {
		if l.Kind == quota.Retries {
			w.generateRetries(p, l)
			continue
		}
		for n := p.demand * fleet.TickInterval.Seconds(); w.random.Float64() < n; n-- {
			p.lastSlot++
			slot := p.lastSlot % 100_000
			limited := w.result.Limits[l.Name]
			if ok, _, _ := p.limiter.Admit(now, slot, l.Name, "", "", false); !ok {
				limited.Refused++
				continue
			}
			limited.Admitted++
			if all := w.result.Limits["retries"]; all != nil { // each first try adds to the budget of retries
				all.FirstTries++
			}
			if w.now > w.cfg.Duration-10*time.Second {
				limited.RecentlyAdmitted++
				limited.RecentByRouter[p.name]++
			}
			if l.Kind == quota.Rate {
				limited.Level = max(0, limited.Level-l.Max*(1+w.cfg.Settings.ClockDrift)*(w.now-limited.last).Seconds()) + 1
				limited.last = w.now
			} else {
				limited.Level++
				generation := p.generation
				w.schedule(time.Duration(w.random.Int64N(int64(l.MaxCallDuration))), nil, func() {
					limited.Level--
					if p.up && p.generation == generation { // a router that has restarted is not notified
						p.limiter.Release(slot)
					}
				})
			}
			if limited.MaxLevel = max(limited.MaxLevel, limited.Level); limited.Level > limited.Bound+1e-6 {
				w.reportViolation("limit %s: %.2f calls over, bound %.2f", l.Name, limited.Level, limited.Bound)
			}
		}
	}
}

// generateRetries makes first tries and marked retries at a router, and retry attempts for failed ones. It checks
// that retries do not exceed the budget that the first tries have earned.
func (w *world) generateRetries(p *process, l quota.Limit) {
	limited, now := w.result.Limits[l.Name], p.clock(w.now)
	for n := p.demand * fleet.TickInterval.Seconds(); w.random.Float64() < n; n-- {
		p.lastSlot++
		marked := w.random.IntN(2) == 0
		ok, _, _ := p.limiter.Admit(now, p.lastSlot%100_000, l.Name, "", "", marked)
		switch {
		case ok && !marked:
			limited.FirstTries++
		case ok:
			limited.RetriesAdmitted++
		default:
			limited.Refused++
		}
		for w.random.IntN(3) == 0 { // an attempt of a call fails
			if p.lentRetries == 0 {
				limited.Refused++
				break
			}
			p.lentRetries--
			limited.RetriesAdmitted++
		}
		p.lentRetries, _ = p.limiter.LendRetries(p.lentRetries)
	}
	limited.Admitted = limited.FirstTries + limited.RetriesAdmitted
	// over the whole run; never positive, as the budget is earned by first tries
	excess := float64(limited.RetriesAdmitted) - l.Max*float64(limited.FirstTries)
	limited.low = min(limited.low, excess)
	limited.Level = excess - limited.low // over the worst period until now: at most what the buckets held
	if limited.MaxLevel = max(limited.MaxLevel, limited.Level); excess > 1e-6 || limited.Level > limited.Bound {
		w.reportViolation("limit %s: %.2f retries over the budget, %.2f over the worst period, bound %.2f", l.Name,
			excess, limited.Level, limited.Bound)
	}
}

// send puts a message on the network, which may lose, delay, duplicate or reorder it.
func (w *world) send(from, to *process, frame *fleetpb.Frame, deliver func(*fleetpb.Frame)) {
	if to == nil || w.blocked[[2]*process{from, to}] || w.random.Float64() < w.cfg.LossRate {
		return
	}
	encoded, err := proto.Marshal(frame)
	if err != nil {
		w.reportViolation("a frame cannot be written: %v", err)
		return
	}
	copies := 1
	if w.random.Float64() < w.cfg.DuplicationRate {
		copies = 2
	}
	for range copies {
		w.result.Messages++
		w.result.Bytes += uint64(len(encoded))
		delay := w.cfg.MinDelay + time.Duration(w.random.Int64N(int64(w.cfg.MaxJitter)+1))
		if from.member != nil || to.member != nil {
			delay += time.Duration(w.random.Int64N(int64(w.cfg.MaxMemberDelay) + 1))
		}
		w.schedule(delay, to, func() {
			if w.blocked[[2]*process{from, to}] {
				return
			}
			received := &fleetpb.Frame{}
			if proto.Unmarshal(encoded, received) != nil {
				w.reportViolation("a frame cannot be read")
			}
			deliver(received)
			w.processOutput(to)
		})
	}
}

// processOutput stores and sends what a process has output.
func (w *world) processOutput(p *process) {
	for p.keeper != nil {
		keeper := p.keeper
		output, ok := keeper.Output()
		if !ok {
			break
		}
		if output.Store != nil {
			p.stored.Apply(output.Store)
		}
		for _, s := range output.Outbound {
			if s.Voter != 0 {
				to := w.byVoter[s.Voter]
				w.send(p, to, s.Frame, func(received *fleetpb.Frame) {
					to.keeper.Receive(to.clock(w.now), p.name, received.GetRaft())
				})
				continue
			}
			if l := w.links[s.Link]; l != nil && l.keeper == p {
				to := l.member
				w.send(p, to, s.Frame, func(received *fleetpb.Frame) {
					to.member.Receive(to.clock(w.now), p.name, received)
					w.checkLease(to)
				})
			}
		}
		keeper.Advance(p.clock(w.now))
		w.checkAgreement(p)
		for _, n := range output.Notes {
			w.recordEvent("%s %s %d %d\n", p.name, n.Kind, n.Number, w.now)
		}
	}
	if p.member == nil {
		return
	}
	sends, notes := p.member.Output()
	for _, s := range sends {
		if l := w.links[s.Link]; l != nil && l.member == p {
			keeper, id := l.keeper, s.Link
			w.send(p, keeper, s.Frame, func(received *fleetpb.Frame) {
				if w.links[id] == l {
					keeper.keeper.HandleAsk(keeper.clock(w.now), id, p.name, received.GetAsk())
				}
			})
		}
	}
	for _, n := range notes {
		w.recordEvent("%s %s %s %d %d\n", p.name, n.Kind, n.Name, n.Incarnation, w.now)
		// the observer was already running
		if at, acted := w.incarnationLastAct[n.Incarnation]; n.Kind == fleet.MemberLost && acted && p.startedAt < at {
			w.result.LossDetectionTimes = append(w.result.LossDetectionTimes, w.now-at)
		}
		if n.Kind == fleet.FactWritten && strings.HasPrefix(n.Name, "fact") {
			if was, ok := w.result.FactVersions[string(n.Value)]; ok && was != n.Number {
				w.reportViolation("put %s succeeded twice, as versions %d and %d", n.Value, was, n.Number)
			}
			w.result.FactVersions[string(n.Value)] = n.Number
		}
	}
}

// checkAgreement checks that all keepers have the same state at each index.
func (w *world) checkAgreement(p *process) {
	machine := p.keeper.Machine
	if machine.Index == w.appliedIndex[p] {
		return
	}
	if machine.Index < w.appliedIndex[p] {
		w.reportViolation("%s has gone back from %d to %d", p.name, w.appliedIndex[p], machine.Index)
	}
	w.appliedIndex[p] = machine.Index
	state := machine.State()
	encoded, _ := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	hash := fnv.New64a()
	hash.Write(encoded)
	sum := hash.Sum(nil)
	if was, ok := w.stateHashes[machine.Index]; ok && string(was) != string(sum) {
		w.reportViolation("keepers differ at index %d", machine.Index)
	}
	w.stateHashes[machine.Index] = sum
	if len(w.stateHashes) > 4096 {
		for index := range maps.Keys(w.stateHashes) {
			if index+2048 < machine.Index {
				delete(w.stateHashes, index)
			}
		}
	}
}

// putFact makes a member put a fact. There are only three keys, so that writers conflict.
func (w *world) putFact(p *process) {
	key := fmt.Sprintf("fact%d", w.random.IntN(3))
	w.lastValue++
	value := w.lastValue
	expect := p.member.Machine.Fact(key).GetVersion()
	at := len(w.result.Ops)
	w.result.Ops = append(w.result.Ops, Op{Client: at, Key: key, ExpectedVersion: expect, Value: value, Call: w.now})
	p.member.Put(p.clock(w.now), &fleet.Put{Key: key, Value: fmt.Appendf(nil, "%d", value),
		ExpectedVersion: expect}, func(version uint64) {
		w.result.Ops[at].Result, w.result.Ops[at].Return = version, w.now
	})
	w.processOutput(p)
}

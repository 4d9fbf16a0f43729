// Package fleetsim is a deterministic simulation of the fleet. It runs keepers, members and routers, hundreds of
// them, on one seeded network and clock, with message loss, delay, reordering and duplication, partitions, paused
// processes, clock drift and lost disks. It checks the guarantees at every step and records the history for the
// linearizability check. Equal configurations give equal runs. The package must not substitute its own code for
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

// Config describes a simulated fleet, its network and its faults. Rates are events per second, except LossRate and
// DuplicationRate, which are shares of the messages.
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
	LoseFiles           bool          // a killed keeper may lose its files, and must then not start again
	MaxClockDrift       float64       // greatest relative error of a process's clock
	// IsolatedLeaderRate is the rate of this fault: the leading keeper and a member are isolated together, and the
	// keeper is paused repeatedly.
	IsolatedLeaderRate    float64
	PutRate               float64       // rate at which members put facts
	Calls                 *CallConfig   // nil: no calls
	Limits                []quota.Limit // each is loaded with calls of a class that has its name
	SteadyDemand          bool          // each router's demand stays as first drawn
	DemandChangesPerMille int           // changes of demand per 1,000 ticks; below 10: 10
	Demand                float64       // mean calls per second at a router, for each limit
	// QuietPeriod is the time without faults at the end, after which every member that can hold a lease must hold one.
	QuietPeriod time.Duration
}

// DefaultConfig returns a configuration with most kinds of faults.
func DefaultConfig(seed uint64) Config {
	return Config{Seed: seed, Keepers: 3, Members: 20, Duration: 60 * time.Second, Settings: fleet.DefaultSettings(),
		LossRate: 0.01, DuplicationRate: 0.01, MinDelay: 500 * time.Microsecond, MaxJitter: 5 * time.Millisecond,
		MaxPause: 10 * time.Second, PartitionRate: 0.5, PauseRate: 0.5, KillRate: 0.5,
		DuplicateMemberRate: 0.3, IsolatedLeaderRate: 0.05, MaxClockDrift: 0.01, PutRate: 2, QuietPeriod: 15 * time.Second}
}

// Op is one put as its member saw it. Result is the version written, or 0 if the put was refused. Call and Return are
// the times of the put and of its answer; Return is 0 if no answer came.
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
	Acts         uint64 // lease checks at which the member held its lease
	Incarnations uint64 // incarnations that acted, that is, held their lease at a check
	Ops          []Op
	Checksum     uint64 // over all events in order: equal runs have equal checksums
	// LossDetectionTimes has, for each loss that a member noticed, the time since the last act of the lost incarnation.
	LossDetectionTimes []time.Duration
	MinIncarnationGap  time.Duration // least time between the acts of two incarnations of a name
	ActiveAtEnd        int           // running names that acted in the last second
	Faults             []string      // log of the injected faults
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
	// Level depends on the kind of the limit. Rate: the level, in calls, of a leaky bucket that drains at the limit's
	// rate. Calls: the number of concurrent calls. Retries: the excess over the budget in the worst period.
	Level            float64
	MaxLevel         float64            // greatest Level
	Bound            float64            // greatest Level allowed
	levelAt          time.Duration      // of a rate: when Level was updated
	minExcess        float64            // least excess of retries so far
	RecentlyAdmitted int                // admitted in the last 10 s of the run
	RecentByRouter   map[string]float64 // the same by router
	FirstTries       int                // for a limit of retries: first tries admitted
	RetriesAdmitted  int                // for a limit of retries: retry attempts and marked retries admitted
}

// process is a process of a keeper or a member, across restarts.
type process struct {
	routerSim   *routerSim // nil if no calls are simulated
	limiter     *quota.Limiter
	demand      float64
	lentRetries int // retry attempts that the limiter has lent and that are still unused
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
	generation  int // number of starts
}

// clock returns the process's own time. The clock keeps running while the process is paused.
func (p *process) clock(now time.Duration) time.Duration {
	return p.clockOffset + time.Duration(float64(now-p.startedAt)*p.clockRate)
}

// link is a connection between a member's process and a keeper. It lasts until one of them dies.
type link struct{ member, keeper *process }

// event is a scheduled function call, on behalf of a process if it has a target.
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
	sentRecords        map[string]sentRecord // by observer, its generation and the record's number
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
			if l.CutOff == quota.Floor { // a duplicate process without a lease may use its floor as well
				bound = l.Max*l.Burst.Seconds() + float64(l.MaxRouters)
			}
		}
		if l.Kind == quota.Retries {
			bound = 10 * 2 * float64(config.Members) // 10 unused retries per process, with a duplicate of each member
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

// startProcess starts or restarts a process. A keeper continues from its synced state.
func (w *world) startProcess(p *process) {
	p.generation++
	p.up, p.paused, p.deferred, p.startedAt = true, false, nil, w.now
	p.clockRate = 1 + (w.random.Float64()*2-1)*w.cfg.MaxClockDrift
	p.clockOffset = time.Duration(w.random.Int64N(int64(time.Hour)))
	if p.voterNumber != 0 {
		k, err := fleet.NewKeeper(w.cfg.Settings, p.stored, rand.New(rand.NewPCG(w.random.Uint64(), 3)), p.clock(w.now))
		if err != nil {
			w.reportViolation("%s cannot start: %v", p.name, err)
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
			p.member.OnExtensionPayload = func(seq uint64, until time.Duration, payload []byte) {
				if grants, ok := quota.UnmarshalGrants(payload); ok &&
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

// checkLease lets a member act if it holds its lease by its own clock. It checks, in the order of true time, that no
// incarnation acts after a later one of the same name, and that no two processes hold the same incarnation.
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
	if owner := w.incarnationOwner[lease.Incarnation]; owner != nil && owner != p {
		w.reportViolation("incarnation %d is held by two processes, %s and %s", lease.Incarnation, owner.name, p.name)
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

// generateDemand makes calls at a router, in the class of each limit. It checks the calls that all routers together
// have admitted, in true time, against the limits.
func (w *world) generateDemand(p *process) {
	if p.limiter == nil {
		return
	}
	// Draw the demand at the first tick, and again at random ticks.
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
			usage := w.result.Limits[l.Name]
			if ok, _, _ := p.limiter.Admit(now, slot, l.Name, "", "", false); !ok {
				usage.Refused++
				continue
			}
			usage.Admitted++
			if retries := w.result.Limits["retries"]; retries != nil { // each first try adds to the budget of retries
				retries.FirstTries++
			}
			if w.now > w.cfg.Duration-10*time.Second {
				usage.RecentlyAdmitted++
				usage.RecentByRouter[p.name]++
			}
			if l.Kind == quota.Rate {
				usage.Level = max(0, usage.Level-l.Max*(1+w.cfg.Settings.ClockDrift)*(w.now-usage.levelAt).Seconds()) + 1
				usage.levelAt = w.now
			} else {
				usage.Level++
				generation := p.generation
				w.schedule(time.Duration(w.random.Int64N(int64(l.MaxCallDuration))), nil, func() {
					usage.Level--
					if p.up && p.generation == generation { // a router that has restarted is not notified
						p.limiter.Release(slot)
					}
				})
			}
			if usage.MaxLevel = max(usage.MaxLevel, usage.Level); usage.Level > usage.Bound+1e-6 {
				w.reportViolation("limit %s: a level of %.2f calls exceeds the bound of %.2f", l.Name, usage.Level, usage.Bound)
			}
		}
	}
}

// generateRetries makes first tries and marked retries at a router, and retry attempts for failed ones. It checks
// that retries do not exceed the budget that the first tries have earned.
func (w *world) generateRetries(p *process, l quota.Limit) {
	usage, now := w.result.Limits[l.Name], p.clock(w.now)
	for n := p.demand * fleet.TickInterval.Seconds(); w.random.Float64() < n; n-- {
		p.lastSlot++
		marked := w.random.IntN(2) == 0
		ok, _, _ := p.limiter.Admit(now, p.lastSlot%100_000, l.Name, "", "", marked)
		switch {
		case ok && !marked:
			usage.FirstTries++
		case ok:
			usage.RetriesAdmitted++
		default:
			usage.Refused++
		}
		for w.random.IntN(3) == 0 { // an attempt of a call fails
			if p.lentRetries == 0 {
				usage.Refused++
				break
			}
			p.lentRetries--
			usage.RetriesAdmitted++
		}
		p.lentRetries, _ = p.limiter.LendRetries(p.lentRetries)
	}
	usage.Admitted = usage.FirstTries + usage.RetriesAdmitted
	// over the whole run; must not be positive, because first tries earn the budget
	excess := float64(usage.RetriesAdmitted) - l.Max*float64(usage.FirstTries)
	usage.minExcess = min(usage.minExcess, excess)
	usage.Level = excess - usage.minExcess // over the worst period until now: at most what the buckets held
	if usage.MaxLevel = max(usage.MaxLevel, usage.Level); excess > 1e-6 || usage.Level > usage.Bound {
		w.reportViolation("limit %s: retries exceed the budget by %.2f in the whole run, by %.2f in the worst period "+
			"(bound %.2f)", l.Name, excess, usage.Level, usage.Bound)
	}
}

// send puts a message on the network, which may lose, delay, duplicate or reorder it.
func (w *world) send(from, to *process, frame *fleetpb.Frame, deliver func(*fleetpb.Frame)) {
	if to == nil || w.blocked[[2]*process{from, to}] || w.random.Float64() < w.cfg.LossRate {
		return
	}
	encoded, err := proto.Marshal(frame)
	if err != nil {
		w.reportViolation("cannot marshal a frame: %v", err)
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
				w.reportViolation("cannot unmarshal a frame")
			}
			deliver(received)
			w.processOutput(to)
		})
	}
}

// processOutput stores the state and sends the messages that a process has output.
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
		// Only members that ran before the last act count: one that started later could not notice the loss in time.
		if at, acted := w.incarnationLastAct[n.Incarnation]; n.Kind == fleet.MemberLost && acted && p.startedAt < at {
			w.result.LossDetectionTimes = append(w.result.LossDetectionTimes, w.now-at)
		}
		if n.Kind == fleet.FactWritten && strings.HasPrefix(n.Name, "fact") {
			if previous, ok := w.result.FactVersions[string(n.Value)]; ok && previous != n.Number {
				w.reportViolation("put %s succeeded twice, as versions %d and %d", n.Value, previous, n.Number)
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
		w.reportViolation("%s went back from index %d to %d", p.name, w.appliedIndex[p], machine.Index)
	}
	w.appliedIndex[p] = machine.Index
	state := machine.State()
	encoded, _ := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	hash := fnv.New64a()
	hash.Write(encoded)
	sum := hash.Sum(nil)
	if previous, ok := w.stateHashes[machine.Index]; ok && string(previous) != string(sum) {
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

// putFact makes a member put a fact. There are only three keys, so writers conflict.
func (w *world) putFact(p *process) {
	key := fmt.Sprintf("fact%d", w.random.IntN(3))
	w.lastValue++
	value := w.lastValue
	expectedVersion := p.member.Machine.Fact(key).GetVersion()
	index := len(w.result.Ops)
	w.result.Ops = append(w.result.Ops, Op{Client: index, Key: key, ExpectedVersion: expectedVersion,
		Value: value, Call: w.now})
	p.member.Put(p.clock(w.now), &fleet.Put{Key: key, Value: fmt.Appendf(nil, "%d", value),
		ExpectedVersion: expectedVersion}, func(version uint64) {
		w.result.Ops[index].Result, w.result.Ops[index].Return = version, w.now
	})
	w.processOutput(p)
}

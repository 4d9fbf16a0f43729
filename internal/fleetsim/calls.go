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

// This file simulates callers, case servers and the networks between them and the routers. Routers, controllers,
// verdict watches and tables, and limiters are the code that ships.

// CallConfig describes the callers and case servers of a simulation.
type CallConfig struct {
	Servers      int
	Zones        int
	Rate         float64       // set-ups per second at a router
	ServiceTime  time.Duration // processing time of a set-up; each case server processes one at a time
	MeanHoldTime time.Duration // mean duration of an established call
	Agents       int           // per server
	// MaxRedials is how often a refused caller tries again, marked as a retry. The caller waits for a random time up to
	// 1 s, or for the time that the refusal advised if that is longer.
	MaxRedials   int
	NoSharing    bool // verdicts are not shared; for comparison in the same world
	Proxies      int  // number of proxies in each router's settings; 0: the number of members
	RateChanges  []RateChange
	Faults       []ServerFault
	LyingRouters int              // number of routers, from the first, that report the opposite of what they observe
	LinkLoss     float64          // share of frames between neighbours that are lost together with their link
	MaxLinkDelay time.Duration    // greatest additional delay of frames between neighbours
	Settings     verdict.Settings // zero: the defaults
}

// RateChange sets the rate of set-ups to a multiple of the configured one, from a time on.
type RateChange struct {
	At     time.Duration
	Factor float64
}

// ServerFault is a fault of one case server. A server that hangs does not answer, one that flaps hangs every other
// second, and one that is slow takes longer for each set-up. A replaced server gives way to one that has just started.
type ServerFault struct {
	At, Duration time.Duration
	Server       int
	Kind         string  // hang, slow, flap, replace
	SlowFactor   float64 // for slow: factor of the processing time
	Zone         string  // only routers of this zone are affected; empty: all
	Router       int     // only this router is affected, counted from 1; 0: all
}

// CallResults counts the calls by outcome, and reports how the routers coped with the server faults.
type CallResults struct {
	Offered          int // tries, redials included; Refused and Failed count tries as well
	InTime           int // established within 1 s of the first try
	Late             int // established later
	Refused          int
	Failed           int
	FirstTries       []int // first tries by second
	FirstTriesInTime []int // calls established in time, by second of their first try
	Wasted           int   // set-ups that a faulty server never answered
	// LastWasted has, for each fault, the time from its beginning to the last set-up that was wasted on the server.
	LastWasted []time.Duration
	// Recoveries has, for each fault, the time from its end until the server got half of its share of set-ups again.
	Recoveries         []time.Duration
	SentByServer       [][]int         // set-ups that reached each server, by 100 ms
	WrongAvoidance     time.Duration   // time for which routers avoided healthy servers, summed over routers and servers
	MaxWrongAvoidance  time.Duration   // longest time for which one router avoided a healthy server
	ObservedTime       time.Duration   // observed time, summed over routers and servers
	EvidenceDelays     []time.Duration // from the report of evidence to its arrival at another router
	MaxAgeError        time.Duration   // greatest amount by which evidence was assumed to be younger than it was
	LiftedAvoidances   []int           // avoidances that routers lifted early, by 100 ms
	Frames, FrameBytes uint64          // frames of evidence between routers, and their bytes
	MaxColdExcess      float64         // greatest excess of set-ups over the permitted rate of a cold server
	SentToCold         int             // set-ups sent to cold servers
}

// caseServer is a simulated case server.
type caseServer struct {
	id               string
	number           int
	started          time.Duration // true time; 0: long ago
	busyUntil        time.Duration // when it will have processed the set-ups it has accepted
	establishedCalls int
	coldExcess       float64 // set-ups beyond the permitted rate while the server is cold
	coldExcessAt     time.Duration
}

// routerSim connects a router to simulated callers and case servers. It is the router's Front, Trunk and Observer,
// and runs its verdict watch and table.
type routerSim struct {
	w                   *world
	p                   *process
	index               int
	zone                string
	router              *router.Router
	watch               *verdict.Watch
	table               *verdict.Table
	liar                bool
	slot                uint32 // slot of the latest arrival, which admit decides on
	lastCallID          uint64
	timerAt             time.Duration
	pending             map[string]*callerRequest // by call ID
	verdicts            []verdict.Verdict
	verdictsAt          time.Duration
	avoidedUntil        map[string]time.Duration // by server
	wronglyAvoidedSince map[string]time.Duration // by server: since when it is avoided although healthy
	linkedTo            map[string]bool
	nextSendAt          time.Duration
	checksOverShare     int // consecutive ticks with more avoided servers than allowed
}

// callerRequest is the request of one caller, across redials.
type callerRequest struct {
	firstTryAt time.Duration
	redials    int
	number     string
}

const wallClockBase = 1000 * time.Hour // start of the routers' wall clocks, which have no drift

// wallClock returns the time of the routers' wall clocks.
func (w *world) wallClock() time.Duration { return wallClockBase + w.now }

// activeFault returns the fault of a server that affects a router now, or nil.
func (w *world) activeFault(server *caseServer, r *routerSim) (found *ServerFault) {
	for i := range w.cfg.Calls.Faults {
		fault := &w.cfg.Calls.Faults[i]
		if fault.Server != server.number || fault.Kind == "replace" || w.now < fault.At ||
			w.now >= fault.At+fault.Duration || fault.Zone != "" && (r == nil || r.zone != fault.Zone) ||
			fault.Router != 0 && (r == nil || r.index != fault.Router-1) {
			continue
		}
		if fault.Kind == "flap" && int((w.now-fault.At)/time.Second)%2 == 1 {
			continue
		}
		return fault
	}
	return nil
}

// startRouter starts the router of a member process.
func (w *world) startRouter(p *process, index int) {
	calls := w.cfg.Calls
	r := &routerSim{w: w, p: p, index: index, zone: fmt.Sprintf("z%d", index%max(calls.Zones, 1)),
		pending: map[string]*callerRequest{}, avoidedUntil: map[string]time.Duration{},
		wronglyAvoidedSince: map[string]time.Duration{}, linkedTo: map[string]bool{}, liar: index < calls.LyingRouters}
	p.routerSim = r
	if p.member != nil {
		p.member.Zone, p.member.Address = r.zone, "sim"
	}
	proxies := calls.Proxies
	if proxies == 0 {
		proxies = w.cfg.Members
	}
	settings := threadglade.Settings{Index: index, Proxies: proxies,
		Limits: threadglade.Limits{MaxAttempts: 6, RetryAfter: true, MaxRetryAfter: time.Second, Cancel: true},
		Rules: threadglade.Rules{ReleaseWait: 200 * time.Millisecond, DrainGrace: time.Second, ColdCapacity: 0.2,
			WarmUpTime: 10 * time.Second, CollapseMultiple: 2, CollapseWindow: time.Second},
		Callers: threadglade.Callers{MarkRetries: true},
		Classes: []threadglade.Class{{Name: "x", Aim: time.Second, Deadline: 10 * time.Second,
			HoldingTime: calls.MeanHoldTime, Worth: 1, LateFactor: 0.5}}}
	for i := range calls.Servers {
		settings.Classes[0].Servers = append(settings.Classes[0].Servers, i)
	}
	var err error
	r.router, err = router.New(router.Config{Settings: settings, Seed: w.random.Uint64(), Clock: w.wallClock,
		Trunk: r, Observer: r, Admit: r.admit})
	if err != nil {
		w.reportViolation("router: %v", err)
		return
	}
	verdictSettings := calls.Settings
	if verdictSettings.Quorum == 0 {
		verdictSettings = verdict.DefaultSettings()
	}
	if !calls.NoSharing {
		r.watch = verdict.NewWatch(verdictSettings, r.zone, w.random.Uint64())
		r.table = verdict.NewTable(verdictSettings, p.name)
		r.table.SetIncarnation(uint64(p.generation)<<16 + 1)
		r.table.OnRecord = func(now time.Duration, record *verdict.Record) { w.checkEvidenceAge(now, record) }
	}
	r.updateServers()
	for _, s := range w.servers {
		r.router.ReportAgents(threadglade.Agents{Server: s.id, Free: calls.Agents - s.establishedCalls,
			Total: calls.Agents})
	}
	w.scheduleCall(r)
	if r.table != nil {
		r.connectNeighbours()
	}
}

// updateServers sends the current server list to the router, its watch and its limiter.
func (r *routerSim) updateServers() {
	var list []threadglade.Server
	var watched []verdict.Server
	var cold []quota.Server
	for _, s := range r.w.servers {
		started := time.Duration(0)
		if s.started > 0 {
			started = wallClockBase + s.started
			if warmUpLeft := s.started + 10*time.Second - r.w.now; warmUpLeft > 0 {
				cold = append(cold, quota.Server{ID: s.id, Started: started, Warm: r.p.clock(r.w.now) + warmUpLeft})
			}
		}
		list = append(list, threadglade.Server{ID: s.id, Number: s.number, Started: started})
		watched = append(watched, verdict.Server{Key: verdict.Key{Server: s.id, Started: started},
			Classes: []string{"x"}})
	}
	r.router.UpdateServers(threadglade.ServerList{Servers: list})
	if r.watch != nil {
		r.watch.SetServers(r.p.clock(r.w.now), watched)
	}
	if r.p.limiter != nil {
		r.p.limiter.SetColdServers(r.p.clock(r.w.now), cold)
		r.applyColdShares()
	}
}

// applyColdShares passes the router's shares of the permitted load of cold servers from the limiter to the router.
func (r *routerSim) applyColdShares() {
	now := r.p.clock(r.w.now)
	if shares, withoutLease, ok := r.p.limiter.ColdShares(now); ok {
		r.router.SetColdFraction(threadglade.ColdFraction{Fraction: withoutLease})
		for _, share := range shares {
			r.router.SetColdFraction(threadglade.ColdFraction{Server: share.ID, Started: share.Started, Fraction: share.Share,
				Until: r.w.wallClock() + r.p.limiter.LeaseUntil() - now})
		}
	}
}

// scheduleCall schedules the next first try at a router.
func (w *world) scheduleCall(r *routerSim) {
	rate := w.cfg.Calls.Rate
	for _, change := range w.cfg.Calls.RateChanges {
		if w.now >= change.At {
			rate = w.cfg.Calls.Rate * change.Factor
		}
	}
	w.schedule(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), r.p, func() {
		w.placeCall(r, &callerRequest{firstTryAt: w.now, number: strconv.Itoa(w.random.IntN(1 << 30))})
		w.scheduleCall(r)
	})
}

// placeCall sends one try of a caller to its router.
func (w *world) placeCall(r *routerSim, request *callerRequest) {
	results := &w.result.Calls
	results.Offered++
	if request.redials == 0 {
		at := int(request.firstTryAt / time.Second)
		results.FirstTries, results.FirstTriesInTime = extendTo(results.FirstTries, at),
			extendTo(results.FirstTriesInTime, at)
		results.FirstTries[at]++
	}
	r.lastCallID++
	id := r.p.name + "-" + strconv.Itoa(r.p.generation) + "-" + strconv.FormatUint(r.lastCallID, 10)
	r.pending[id] = request
	r.router.Arrive(r, router.Request{ID: id, Class: "x", Number: request.number,
		Deadline: w.wallClock() + 3*time.Second, Destination: w.random.IntN(w.cfg.Calls.Servers),
		Retry: request.redials > 0})
	r.scheduleTimer()
}

// extendTo appends zeros to a list until it has the given index.
func extendTo(list []int, at int) []int {
	for len(list) <= at {
		list = append(list, 0)
	}
	return list
}

// scheduleTimer schedules the router's next timer.
func (r *routerSim) scheduleTimer() {
	at, ok := r.router.Next()
	if !ok {
		return
	}
	at -= wallClockBase
	if r.timerAt > r.w.now && r.timerAt <= at {
		return
	}
	r.timerAt = max(at, r.w.now)
	r.w.schedule(r.timerAt-r.w.now, r.p, func() {
		r.router.Tick()
		r.scheduleTimer()
	})
}

// admit applies the limiter, if there is one, ahead of the controller.
func (r *routerSim) admit(req router.Request) (threadglade.Reason, time.Duration) {
	if r.p.limiter == nil {
		return threadglade.NoReason, 0
	}
	if ok, _, after := r.p.limiter.Admit(r.p.clock(r.w.now), r.slot, req.Class, "", "", req.Retry); !ok {
		return threadglade.OverLimit, after
	}
	return threadglade.NoReason, 0
}

// Observe implements router.Observer.
func (r *routerSim) Observe(e router.Event) {
	now := r.p.clock(r.w.now)
	switch e.Kind {
	case router.Arrived:
		r.slot = e.Slot
	case router.Closed:
		if r.p.limiter != nil {
			r.p.limiter.Release(e.Slot)
		}
	}
	if r.watch == nil {
		return
	}
	switch e.Kind {
	case router.Sent:
		r.watch.AttemptSent(now, e.Slot, e.Server)
	case router.Established:
		r.watch.AttemptAnswered(now, e.Slot)
	case router.AttemptEnded:
		r.watch.AttemptEnded(now, e.Slot, verdict.EndFromOutcome(e.Outcome, e.Cause))
	}
}

// Send implements router.Trunk.
func (r *routerSim) Send(a router.Attempt) {
	w := r.w
	w.schedule(time.Millisecond, nil, func() { w.handleSetUp(r, a, r.p.generation) })
}

// GiveUp implements router.Trunk. A server finishes a set-up that was given up.
func (r *routerSim) GiveUp(router.Attempt) {}

// Release implements router.Trunk.
func (r *routerSim) Release(router.Attempt, threadglade.Outcome) {}

// handleSetUp processes a set-up at its case server.
func (w *world) handleSetUp(r *routerSim, a router.Attempt, generation int) {
	serverIndex := slices.IndexFunc(w.servers, func(server *caseServer) bool { return server.id == a.Server })
	results := &w.result.Calls
	reply := func(after time.Duration, f func()) {
		w.schedule(after, r.p, func() {
			if r.p.generation == generation {
				f()
				r.scheduleTimer()
			}
		})
	}
	if serverIndex < 0 { // unreachable: no such server
		reply(time.Millisecond, func() {
			r.router.Ended(a.ID, a.Index, threadglade.Unreachable, threadglade.CauseNone)
		})
		return
	}
	server := w.servers[serverIndex]
	slot := int(w.now / (100 * time.Millisecond))
	results.SentByServer[serverIndex] = extendTo(results.SentByServer[serverIndex], slot)
	results.SentByServer[serverIndex][slot]++
	if server.started > 0 {
		w.trackColdExcess(server)
	}
	serviceTime := w.cfg.Calls.ServiceTime
	if fault := w.activeFault(server, r); fault != nil {
		if fault.Kind == "slow" {
			serviceTime = time.Duration(float64(serviceTime) * fault.SlowFactor)
		} else {
			results.Wasted++
			faultIndex := slices.IndexFunc(w.cfg.Calls.Faults, func(o ServerFault) bool { return o == *fault })
			results.LastWasted[faultIndex] = w.now - fault.At
			return
		}
	}
	wait := max(server.busyUntil-w.now, 0)
	if wait > 400*time.Millisecond {
		server.busyUntil += serviceTime / 5 // a rejection takes processing time as well
		reply(time.Millisecond+wait/4, func() {
			r.router.Ended(a.ID, a.Index, threadglade.Rejected, threadglade.CauseProcessorFull)
		})
		return
	}
	server.busyUntil = max(server.busyUntil, w.now) + serviceTime
	reply(wait+serviceTime+time.Millisecond, func() {
		r.router.Answered(a.ID, a.Index, nil)
		holdingTime := time.Duration(w.random.ExpFloat64() * float64(w.cfg.Calls.MeanHoldTime))
		server.establishedCalls++
		w.schedule(holdingTime, nil, func() { server.establishedCalls-- })
		reply(holdingTime, func() { r.router.Ended(a.ID, a.Index, threadglade.Concluded, threadglade.CauseNone) })
	})
}

// trackColdExcess updates how many set-ups the fleet has sent to a cold server beyond the permitted rate. That rate is
// half of the load at which the server collapses, which is twice its capacity. The capacity of a warm server is its
// agents divided by the mean holding time; it grows linearly from 0.2 of that during the warm-up of 10 s.
func (w *world) trackColdExcess(server *caseServer) {
	uptime := w.now - server.started
	if uptime > 10*time.Second {
		return
	}
	w.result.Calls.SentToCold++
	rate := 0.5 * 2 * (0.2 + 0.8*float64(uptime)/float64(10*time.Second)) *
		float64(w.cfg.Calls.Agents) / w.cfg.Calls.MeanHoldTime.Seconds()
	server.coldExcess = max(0, server.coldExcess-rate*(w.now-server.coldExcessAt).Seconds()) + 1
	server.coldExcessAt = w.now
	w.result.Calls.MaxColdExcess = max(w.result.Calls.MaxColdExcess, server.coldExcess)
}

// Established implements router.Front.
func (r *routerSim) Established(id string, _ []byte) {
	request := r.pending[id]
	delete(r.pending, id)
	results := &r.w.result.Calls
	if r.w.now-request.firstTryAt > time.Second {
		results.Late++
		return
	}
	results.InTime++
	results.FirstTriesInTime[int(request.firstTryAt/time.Second)]++
}

// Refused implements router.Front. The caller may try again.
func (r *routerSim) Refused(id string, after time.Duration) {
	request := r.pending[id]
	delete(r.pending, id)
	r.w.result.Calls.Refused++
	if request.redials < r.w.cfg.Calls.MaxRedials {
		request.redials++
		r.w.schedule(max(after, time.Duration(r.w.random.Int64N(int64(time.Second)))), r.p,
			func() { r.w.placeCall(r, request) })
	}
}

// Failed implements router.Front.
func (r *routerSim) Failed(id string, _ router.Failure) {
	delete(r.pending, id)
	r.w.result.Calls.Failed++
}

// Released implements router.Front.
func (r *routerSim) Released(string, threadglade.Outcome) {}

// ---- verdicts ----

// connectNeighbours opens the links between the router and its neighbours, and those of the routers that have it as a
// neighbour.
func (r *routerSim) connectNeighbours() {
	var names []string
	var members []verdict.Member
	for i, p := range r.w.routers() {
		names = append(names, p.name)
		members = append(members, verdict.Member{Name: p.name,
			Zone: fmt.Sprintf("z%d", i%max(r.w.cfg.Calls.Zones, 1))})
	}
	r.table.SetMembers(members)
	for _, name := range verdict.Neighbours(r.p.name, names) {
		other := r.w.routerNamed(name)
		r.connect(other)
	}
	for _, p := range r.w.routers() { // routers that have this one as a neighbour
		if p != r.p && p.routerSim != nil && p.up && slices.Contains(verdict.Neighbours(p.name, names), r.p.name) {
			p.routerSim.connect(r.p)
		}
	}
}

// routers returns the first process of each member, not the duplicates.
func (w *world) routers() []*process { return w.members[:w.cfg.Members] }

// routerNamed returns the first process of a member, or nil.
func (w *world) routerNamed(name string) *process {
	for _, p := range w.routers() {
		if p.name == name {
			return p
		}
	}
	return nil
}

// connect opens a link between two routers if both are up.
func (r *routerSim) connect(p *process) {
	if p == nil || p.routerSim == nil || p.routerSim.table == nil || !p.up {
		return
	}
	r.table.LinkOpened(r.p.clock(r.w.now), p.name)
	p.routerSim.table.LinkOpened(p.clock(r.w.now), r.p.name)
	r.linkedTo[p.name], p.routerSim.linkedTo[r.p.name] = true, true
}

// disconnect closes the links of a dead router.
func (w *world) disconnect(dead *process) {
	for _, p := range w.routers() {
		if p.routerSim != nil && p.routerSim.table != nil && p.routerSim.linkedTo[dead.name] {
			p.routerSim.table.LinkClosed(dead.name)
			delete(p.routerSim.linkedTo, dead.name)
		}
	}
}

// updateVerdicts runs once per tick: it detects overdue attempts, reports evidence to the neighbours and applies
// the verdicts.
func (r *routerSim) updateVerdicts() {
	if r.table == nil {
		return
	}
	w, now := r.w, r.p.clock(r.w.now)
	r.watch.DetectMissed(now)
	own := r.watch.OwnRecords(now, r.table.Suspected(), r.table.RouterCount())
	if r.liar {
		for i := range own {
			own[i].BadAt, own[i].GoodAt = own[i].GoodAt, own[i].BadAt
			own[i].AnsweredSentAt = own[i].GoodAt
			own[i].Onset = max(own[i].BadAt-time.Second, 1)
		}
	}
	r.table.AddOwn(now, own)
	for i := range own {
		w.sentRecords[fmt.Sprint(r.p.name, r.p.generation, own[i].Seq)] = sentRecord{w.now, now - own[i].LastSeen()}
	}
	r.sendFrames(now)
	if r.table.Changed() || now-r.verdictsAt > time.Second {
		r.verdicts, r.verdictsAt = r.table.Verdicts(now), now
	}
	for _, avoidance := range r.watch.UpdateAvoidances(now, r.verdicts) {
		until := max(avoidance.Until-now, 0)
		if slot := int(w.now / (100 * time.Millisecond)); until == 0 && avoidance.Verdict == nil &&
			w.now < r.avoidedUntil[avoidance.Server] {
			w.result.Calls.LiftedAvoidances = extendTo(w.result.Calls.LiftedAvoidances, slot)
			w.result.Calls.LiftedAvoidances[slot]++
		}
		r.router.Avoid(threadglade.Avoidance{Server: avoidance.Server, Started: avoidance.Started,
			Until: w.wallClock() + until}, router.AvoidanceEvidence{})
		r.avoidedUntil[avoidance.Server] = w.now + until
	}
	avoided := 0
	for _, s := range w.servers {
		w.trackWrongAvoidance(r, s)
		if w.now < r.avoidedUntil[s.id] {
			avoided++
		}
	}
	if share := r.watch.Settings.MaxShare; float64(avoided) > share*float64(len(w.servers)) {
		if r.checksOverShare++; r.checksOverShare > 40 { // earlier avoidances have 2 s to expire
			w.reportViolation("%s avoids %d of %d servers", r.p.name, avoided, len(w.servers))
		}
	} else {
		r.checksOverShare = 0
	}
	r.scheduleTimer()
}

// trackWrongAvoidance sums the time for which a router avoids a healthy server. A server counts as faulty for
// RecoverySpread and 7 s after the end of its fault, so that evidence of its recovery can spread. A replaced server is
// healthy at once.
func (w *world) trackWrongAvoidance(r *routerSim, server *caseServer) {
	w.result.Calls.ObservedTime += fleet.TickInterval
	faulty := false
	for _, fault := range w.cfg.Calls.Faults {
		if fault.Server == server.number && server.started <= fault.At && w.now >= fault.At &&
			w.now < fault.At+fault.Duration+w.cfg.Calls.Settings.RecoverySpread+7*time.Second &&
			(fault.Zone == "" || fault.Zone == r.zone) && (fault.Router == 0 || fault.Router-1 == r.index) {
			faulty = true
		}
	}
	if faulty || w.now >= r.avoidedUntil[server.id] {
		delete(r.wronglyAvoidedSince, server.id)
		return
	}
	if r.wronglyAvoidedSince[server.id] == 0 {
		r.wronglyAvoidedSince[server.id] = w.now
	}
	w.result.Calls.WrongAvoidance += fleet.TickInterval
	w.result.Calls.MaxWrongAvoidance = max(w.result.Calls.MaxWrongAvoidance,
		w.now-r.wronglyAvoidedSince[server.id]+fleet.TickInterval)
}

// sendFrames sends the frames of evidence that are due.
func (r *routerSim) sendFrames(now time.Duration) {
	w := r.w
	for _, output := range r.table.Tick(now) {
		to := w.routerNamed(output.To)
		encoded := output.Frame.Marshal()
		w.result.Calls.Frames++
		w.result.Calls.FrameBytes += uint64(len(encoded))
		if w.blocked[[2]*process{r.p, to}] {
			continue
		}
		// Links are reliable. A lost frame stands for a link that has closed, and that reopens after 0.5 s.
		if w.random.Float64() < w.cfg.Calls.LinkLoss {
			from := r
			w.schedule(500*time.Millisecond, nil, func() {
				if from.p.up && to.up {
					from.connect(to)
				}
			})
			continue
		}
		wait := time.Duration(0)
		if w.cfg.Calls.MaxLinkDelay > 0 {
			wait = time.Duration(w.random.Int64N(int64(w.cfg.Calls.MaxLinkDelay)))
		}
		name := r.p.name
		w.send(r.p, to, &fleetpb.Frame{What: &fleetpb.Frame_Talk{Talk: encoded}}, func(received *fleetpb.Frame) {
			w.schedule(wait, to, func() {
				frame, err := verdict.ParseFrame(received.GetTalk())
				if err != nil {
					w.reportViolation("cannot parse a frame of evidence: %v", err)
					return
				}
				if to.routerSim != nil && to.routerSim.table != nil {
					to.routerSim.table.Receive(to.clock(w.now), name, frame)
					to.routerSim.scheduleSend()
				}
			})
		})
	}
}

// scheduleSend schedules the forwarding of received evidence.
func (r *routerSim) scheduleSend() {
	now := r.p.clock(r.w.now)
	wait := r.table.NextTick() - now
	if wait > fleet.TickInterval || r.nextSendAt > r.w.now {
		return
	}
	wait = max(wait, time.Millisecond)
	r.nextSendAt = r.w.now + wait
	r.w.schedule(wait, r.p, func() { r.sendFrames(r.p.clock(r.w.now)) })
}

// sentRecord is when a router reported a record of evidence, and its age at that time.
type sentRecord struct{ sentAt, age time.Duration }

// checkEvidenceAge records how long evidence took to arrive, and checks that its assumed age is not below the
// actual one by more than clock drift explains.
func (w *world) checkEvidenceAge(now time.Duration, record *verdict.Record) {
	observer := w.routerNamed(record.Observer)
	sent, ok := w.sentRecords[fmt.Sprint(record.Observer, record.Incarnation>>16, record.Seq)]
	if !ok || observer == nil || observer.routerSim.liar {
		return
	}
	results := &w.result.Calls
	if len(results.EvidenceDelays) < 1<<20 {
		results.EvidenceDelays = append(results.EvidenceDelays, w.now-sent.sentAt)
	}
	actualAge, assumedAge := w.now-sent.sentAt+sent.age, now-record.LastSeen()
	if underestimate := actualAge - assumedAge; underestimate > results.MaxAgeError {
		results.MaxAgeError = underestimate
		if bound := time.Duration(float64(actualAge)*3*w.cfg.Settings.ClockDrift) + time.Millisecond; underestimate > bound {
			w.reportViolation("evidence of %s, %v old, is assumed to be %v old", record.Observer, actualAge,
				assumedAge)
		}
	}
}

// createServers creates the case servers and schedules their replacements.
func (w *world) createServers() {
	calls := w.cfg.Calls
	for i := range calls.Servers {
		w.servers = append(w.servers, &caseServer{id: fmt.Sprintf("s%d", i), number: i})
	}
	w.result.Calls.SentByServer = make([][]int, calls.Servers)
	w.result.Calls.LastWasted = make([]time.Duration, len(calls.Faults))
	for i, fault := range calls.Faults {
		if fault.Kind != "replace" {
			continue
		}
		w.schedule(fault.At, nil, func() {
			old := w.servers[fault.Server]
			w.servers[fault.Server] = &caseServer{id: old.id, number: old.number, started: w.now, coldExcessAt: w.now}
			w.logFault("replace %s", old.id)
			_ = i
			for _, p := range w.routers() {
				if p.up && p.routerSim != nil {
					late := time.Duration(w.random.Int64N(int64(200 * time.Millisecond)))
					w.schedule(late, p, func() {
						p.routerSim.updateServers()
						p.routerSim.scheduleTimer()
					})
				}
			}
		})
	}
}

// loadShare returns the set-ups sent to a server in the second before a time, relative to the mean of all servers.
func (c *CallResults) loadShare(server int, at time.Duration) float64 {
	to := int(at / (100 * time.Millisecond))
	sum, own := 0.0, 0.0
	for i, list := range c.SentByServer {
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
	return own * float64(len(c.SentByServer)) / sum
}

// RecoveryTime returns the time from a fault's end until the server got half of the mean load again, or limit if that
// took longer.
func (c *CallResults) RecoveryTime(fault ServerFault, limit time.Duration) time.Duration {
	for after := time.Duration(0); after < limit; after += 100 * time.Millisecond {
		if c.loadShare(fault.Server, fault.At+fault.Duration+after+time.Second) >= 0.5 {
			return after
		}
	}
	return limit
}

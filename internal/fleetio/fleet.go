// Package fleetio connects a process to its fleet. It implements the links between processes, the storage of a keeper,
// and the core: one goroutine beside the event loop that does the I/O of the packages fleet, verdict and takeover and
// calls them at the times that they set. The event loop reads the lease, exchanges data with the core through bounded
// queues, and never blocks on the core. This package must never decide which process may act: the leases of package
// fleet alone determine that.
package fleetio

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	crand "crypto/rand"

	"github.com/puzpuzpuz/xsync/v4"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"
	"google.golang.org/grpc"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/quota"
	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/takeover"
	"threadglade.example/threadglade/verdict"
)

// maxQueuedNotes is how many notes may be queued for the loop. Further ones are dropped and counted as missed, since
// the state that they report can be read at any time.
const maxQueuedNotes = 4096

// Config is the configuration of Open.
type Config struct {
	Options
	FS     durable.FS
	Name   string // of this process, unique in the fleet
	Member bool   // routes calls and therefore holds a lease
	Wake   func() // has the loop run an iteration soon; called on any goroutine
	Log    zerolog.Logger
	// OnNote is called on the loop with each note; may be nil.
	OnNote func(fleet.Note)
	// OnColdShares is called on the loop with this router's shares of the calls that cold case servers may be sent,
	// how long from now they are valid, and the share that applies without a lease; may be nil.
	OnColdShares func(shares []quota.ColdShare, validFor time.Duration, withoutLease float64)
	// SetRetryLender is called on the loop with the function that lends retry attempts under the fleet's limit; may
	// be nil.
	SetRetryLender func(lend func(left int) (lent int, limited bool))
	// OnAvoidance is called on the loop with a server to be avoided according to the routers' common evidence, and for
	// how long from now; 0 ends the avoidance. May be nil.
	OnAvoidance func(avoidance verdict.Avoidance, duration time.Duration)
	// Now is the clock of the times passed to AttemptSent, AttemptAnswered and AttemptEnded; nil: Clock.
	Now func() time.Duration
	// CallHandler, OpenCalls, Tenant and SetupTarget are used by takeover only; the functions are called on the loop.
	CallHandler takeover.CallHandler
	OpenCalls   []string                         // calls established before the start whose ends are unknown
	Tenant      func(router.Event) string        // tenant of a call
	SetupTarget func(class string) time.Duration // set-up time to aim at, by class
	// Limits are the fleet-wide limits of the settings; nil: this process neither divides nor enforces limits.
	Limits []quota.Limit
	// MaxConnections is the number of connections accepted for links that may be open at a time; 0: 8192.
	MaxConnections int
}

// Fleet is one process's connection to its fleet: a keeper, a member, or both. Unless said otherwise, methods are
// called by the event loop only.
type Fleet struct {
	cfg      Config
	process  uint64        // random number of this process, not 0
	keeper   *fleet.Keeper // nil: not a keeper
	member   *fleet.Member // nil: only a keeper
	voters   map[string]uint64
	store    *store
	server   *grpc.Server
	listener *linkListener // nil: it accepts no links
	address  string

	ctx            context.Context
	cancel         context.CancelFunc
	stop           chan struct{}
	goroutines     sync.WaitGroup // those of maintainLink
	coreDone       chan struct{}  // closed when the core has ended
	inbox          chan linkEvent
	queuedBytes    *semaphore.Weighted          // bytes of the frames in inbox
	tasks          chan func(now time.Duration) // run by the core
	links          *xsync.Map[fleet.Link, *link]
	lastLinkID     atomic.Uint64
	acceptedLinks  atomic.Int64 // open at present
	lastRefusalLog atomic.Int64 // Unix seconds
	count          counters

	voterLinks map[uint64]*link // used by the core: links dialled to other keepers, by raft ID

	// Shared by the core and the loop.
	lease       atomic.Pointer[fleet.Lease]
	noteQueue   *xsync.SPSCQueue[fleet.Note]
	grantQueue  *xsync.SPSCQueue[grantBatch]
	limiter     *limiterState                 // nil: no limits
	verdicts    *verdictState                 // nil: no verdicts
	takeover    *takeoverState                // nil: calls are not replicated
	routerDials map[string]context.CancelFunc // used by the core: ends links to other routers, by name and address
	pendingEnds []takeover.End                // ends to forward when this router closes

	// Used by the loop, except as noted.
	beacon           *net.UDPConn
	nextBeacon       time.Duration
	beaconCount      uint64
	leaderBeacon     *net.UDPConn  // used by the core; connected to the same address
	nextLeaderBeacon time.Duration // used by the core
	halted           atomic.Bool   // set by the core
}

// Open connects a process to its fleet and starts the core. It returns an error if, for example, a keeper's directory
// is missing, damaged or another keeper's. The process must then not run without its fleet.
func Open(cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg:         cfg,
		stop:        make(chan struct{}),
		coreDone:    make(chan struct{}),
		inbox:       make(chan linkEvent, maxQueuedEvents),
		queuedBytes: semaphore.NewWeighted(maxQueuedBytes),
		tasks:       make(chan func(time.Duration), 64),
		links:       xsync.NewMap[fleet.Link, *link](),
		voterLinks:  map[uint64]*link{},
		noteQueue:   xsync.NewSPSCQueue[fleet.Note](maxQueuedNotes),
		routerDials: map[string]context.CancelFunc{},
	}
	if f.cfg.Wake == nil {
		f.cfg.Wake = func() {}
	}
	f.lease.Store(&fleet.Lease{})
	f.ctx, f.cancel = context.WithCancel(context.Background())
	var seed [32]byte
	crand.Read(seed[:])
	f.process = binary.BigEndian.Uint64(seed[:])>>1 + 1
	now := Clock()
	if cfg.IsKeeper(cfg.Name) {
		if err := f.openKeeper(rand.New(rand.NewChaCha8(seed)), now); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	if cfg.Member {
		if !cfg.Settings.IsListed(cfg.Name) {
			return nil, fmt.Errorf("fleet: %q is not one of the members listed in the settings", cfg.Name)
		}
		f.member = fleet.NewMember(cfg.Settings, cfg.Name, f.process)
	}
	if cfg.Limits != nil {
		if f.keeper != nil {
			machine := func() *fleet.Machine { return f.keeper.Machine }
			f.keeper.Extension = quota.NewLeaseExtension(cfg.Settings, machine, func() []quota.Limit {
				return effectiveLimits(cfg.Limits, machine().Facts())
			})
		}
		if f.member != nil {
			f.grantQueue = xsync.NewSPSCQueue[grantBatch](maxQueuedGrants)
			f.limiter = &limiterState{Limiter: quota.NewLimiter(now, cfg.Limits)}
			f.limiter.claims.Store(&[]byte{})
			f.member.ExtensionPayload = func() []byte { return *f.limiter.claims.Load() }
			f.member.OnExtensionPayload = f.receiveGrants
		}
	}
	if cfg.Verdicts != nil && f.member != nil {
		f.openVerdicts(now)
	}
	if cfg.Takeover != nil && f.member != nil {
		f.openTakeover(now)
	}
	if cfg.Beacon.IsValid() {
		var err error
		if f.beacon, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(cfg.Beacon)); err == nil {
			f.leaderBeacon, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(cfg.Beacon))
		}
		if err != nil {
			return nil, fmt.Errorf("fleet: beacon: %w", err)
		}
	}
	if f.keeper != nil || (f.verdicts != nil || f.takeover != nil) && cfg.Listen != "" {
		listen := cfg.Listen
		if listen == "" {
			listen = cfg.Addresses[cfg.Name]
		}
		if err := f.listen(listen); err != nil {
			return nil, err
		}
	}
	if f.member != nil {
		f.member.Zone = cfg.Zone
		if f.member.Address = cfg.Address; cfg.Address == "" {
			f.member.Address = f.address
		}
	}
	if f.keeper != nil {
		cfg.Log.Info().Str("event", "fleet_keeping").Str("address", f.address).Msgf(
			"fleet %s: keeper %s is listening on %s, log index %d",
			cfg.Settings.Fleet, cfg.Name, f.address, f.keeper.Machine.Index)
	}
	for _, name := range cfg.Settings.Keepers {
		if f.keeper != nil && name != cfg.Name {
			f.goroutines.Add(1)
			go f.maintainLink(f.ctx, name, cfg.Addresses[name], keeperToKeeper)
		}
		if f.member != nil {
			f.goroutines.Add(1)
			go f.maintainLink(f.ctx, name, cfg.Addresses[name], routerToKeeper)
		}
	}
	go f.runCore()
	return f, nil
}

// openKeeper locks and reads the keeper's directory and creates the keeper from it.
func (f *Fleet) openKeeper(random *rand.Rand, now time.Duration) error {
	opened, contents, err := openStore(f.cfg.FS, f.cfg.Dir)
	if errors.Is(err, ErrNoFiles) && fleet.Mutated() == "files-forgotten" {
		err = f.recreateKeeperFiles()
		if err == nil {
			opened, contents, err = openStore(f.cfg.FS, f.cfg.Dir)
		}
	}
	if err != nil {
		return err
	}
	if f.keeper, err = fleet.NewKeeper(f.cfg.Settings, contents.Stored, random, now); err == nil &&
		contents.Identity.Name != f.cfg.Name {
		err = fmt.Errorf("%s: the files are those of keeper %s, this is keeper %s",
			f.cfg.Dir, contents.Identity.Name, f.cfg.Name)
	}
	if err == nil {
		err = opened.openLog(f.keeper, contents.Scan, f.cfg.MaxSegmentBytes)
	}
	if err != nil {
		opened.close()
		return err
	}
	for _, torn := range contents.Torn {
		f.cfg.Log.Warn().Str("event", "fleet_torn").
			Msgf("fleet: incomplete write ignored, cut off by a crash and never acknowledged: %s", torn)
	}
	f.store, f.voters = opened, f.keeper.Voters()
	return nil
}

// recreateKeeperFiles implements the mutant files-forgotten: a keeper that has lost its files starts with those of a
// new fleet.
func (f *Fleet) recreateKeeperFiles() error {
	list, err := fleet.Bootstrap(f.cfg.Settings, rand.New(rand.NewPCG(1, 1))) // the seed that drills use
	for _, state := range list {
		if err == nil && state.Identity.Name == f.cfg.Name {
			err = CreateKeeperFiles(f.cfg.FS, f.cfg.Dir, state)
		}
	}
	return err
}

// runCore is the core: the one goroutine that runs the keeper, the member, the verdicts and the takeover.
func (f *Fleet) runCore() {
	defer close(f.coreDone)
	tick := time.NewTimer(fleet.TickInterval)
	defer tick.Stop()
	var wakeCore chan struct{}
	if f.takeover != nil {
		wakeCore = f.takeover.wakeCore
	}
	for {
		wait := fleet.TickInterval
		if f.keeper == nil { // a process that isn't a keeper wakes up only when something is due
			wait = min(max(f.member.NextTick()-Clock(), time.Millisecond), time.Second)
		}
		if f.verdicts != nil {
			wait = min(wait, max(f.verdicts.table.NextTick()-Clock(), time.Millisecond))
		}
		if f.takeover != nil {
			wait = min(wait, max(f.nextTakeoverTick(Clock())-Clock(), time.Millisecond))
		}
		tick.Reset(wait)
		select {
		case <-f.stop:
			return
		case e := <-f.inbox:
			f.handleEvent(Clock(), e)
			for range 256 { // events that have arrived meanwhile share one write to the disk
				select {
				case e := <-f.inbox:
					f.handleEvent(Clock(), e)
					continue
				default:
				}
				break
			}
		case task := <-f.tasks:
			task(Clock())
		case <-wakeCore:
		case <-tick.C:
		}
		now := Clock()
		if f.keeper != nil {
			f.keeper.Tick(now)
		}
		if f.member != nil {
			f.member.Tick(now)
		}
		if f.verdicts != nil {
			f.tickVerdicts(now)
		}
		if f.takeover != nil {
			f.tickTakeover(now)
		}
		f.applyOutputs()
	}
}

// handleEvent passes an event of a link to the part that handles it.
func (f *Fleet) handleEvent(now time.Duration, e linkEvent) {
	defer f.queuedBytes.Release(e.bytes)
	l := e.link
	switch {
	case l.betweenRouters:
		f.handleRouterEvent(now, e)
	case e.dialled && l.betweenKeepers && e.frame == nil:
		if number := f.voters[l.name]; e.closed {
			if f.voterLinks[number] == l {
				delete(f.voterLinks, number)
				f.keeper.ReportUnreachable(l.name)
			}
		} else {
			f.voterLinks[number] = l
		}
	case e.dialled && !l.betweenKeepers && e.frame == nil:
		id := l.id
		if e.closed {
			id = 0
		}
		f.member.SetLink(now, l.name, id)
	case e.dialled && !l.betweenKeepers:
		f.member.Receive(now, l.name, e.frame)
	case e.dialled: // a keeper sends nothing to another keeper on a link that it hasn't dialled itself
	case f.keeper == nil && (e.closed || e.frame == nil):
	case f.keeper == nil && e.frame.GetInquiry() != nil:
		f.send(l, &fleetpb.Frame{What: &fleetpb.Frame_Report{
			Report: f.report(now, l, e.frame.GetInquiry(), &fleetpb.Report{
				Seq:  e.frame.GetInquiry().Seq,
				Name: f.cfg.Name,
			}),
		}})
	case f.keeper == nil:
		f.countRefusal(fmt.Sprintf("%s: sent a frame for keepers, but this process is not a keeper", l.name))
		l.cancel()
	case e.closed:
		f.keeper.RemoveLink(l.id)
	case e.frame == nil:
	case l.betweenKeepers && e.frame.GetRaft() != nil:
		f.count.Raft.Add(1)
		if err := f.keeper.Receive(now, l.name, e.frame.GetRaft()); err != nil {
			f.countRefusal(err.Error())
			l.cancel()
		}
	case !l.betweenKeepers && l.name == "" && e.frame.GetAsk().GetPut() != nil: // from an operator
		f.keeper.HandleAsk(now, l.id, "", &fleetpb.Ask{
			Seq:     e.frame.GetAsk().Seq,
			Process: uint64(l.id),
			Known:   ^uint64(0),
			Put:     e.frame.GetAsk().Put,
		})
	case !l.betweenKeepers && l.name != "" && e.frame.GetAsk() != nil:
		f.keeper.HandleAsk(now, l.id, l.name, e.frame.GetAsk())
	case e.frame.GetInquiry() != nil:
		f.send(l, &fleetpb.Frame{What: &fleetpb.Frame_Report{
			Report: f.report(now, l, e.frame.GetInquiry(), f.keeper.Report(e.frame.GetInquiry().Seq)),
		}})
	default:
		f.countRefusal(fmt.Sprintf("%s: sent a frame that it is not allowed to send", l.name))
		l.cancel()
	}
}

// report adds to a report what this process knows beyond the keeper's state, and carries out a request to evacuate.
func (f *Fleet) report(now time.Duration, l *link, inquiry *fleetpb.Inquiry, report *fleetpb.Report) *fleetpb.Report {
	refused := ""
	if inquiry.Evacuate && l.name == "" && f.member != nil { // only operators may request it
		refused = f.requestEvacuation(now)
	}
	report.Sent, report.Received, report.Refused, report.Dropped =
		f.count.Sent.Load(), f.count.Received.Load(), f.count.Refused.Load(), f.count.Dropped.Load()
	if f.verdicts != nil {
		report.Talk = f.verdicts.report(now)
	}
	if f.takeover != nil {
		report.Work = f.takeoverReport(now, inquiry.Find, refused)
	}
	return report
}

// applyOutputs carries out the outputs of the keeper and the member until there are none left: it stores, sends, and
// publishes notes and the lease.
func (f *Fleet) applyOutputs() {
	for f.keeper != nil {
		output, ok := f.keeper.Output()
		if !ok {
			break
		}
		if output.Store != nil && !f.halted.Load() {
			if err := f.store.write(output.Store); err != nil {
				if fleet.Mutated() != "deaf-to-disk" {
					f.halted.Store(true)
					output.Outbound = nil
				}
				f.keeper.Halt(err)
			}
		}
		for _, s := range output.Outbound {
			l, _ := f.links.Load(s.Link)
			if s.Voter != 0 {
				l = f.voterLinks[s.Voter]
			}
			if l != nil {
				f.send(l, s.Frame)
			}
		}
		f.keeper.Advance(Clock())
		f.publishNotes(output.Notes)
	}
	if f.keeper != nil && f.leaderBeacon != nil {
		if term, leads := f.keeper.LeaderTerm(); leads {
			if now := Clock(); now >= f.nextLeaderBeacon {
				f.nextLeaderBeacon = now + f.cfg.BeaconInterval
				fmt.Fprintf(f.leaderBeacon, "lead %s %d", f.cfg.Name, term)
			}
		}
	}
	if f.member != nil {
		sends, notes := f.member.Output()
		for _, s := range sends {
			if l, ok := f.links.Load(s.Link); ok {
				f.send(l, s.Frame)
			}
		}
		if lease := f.member.Lease(); lease != *f.lease.Load() {
			f.lease.Store(&lease)
		}
		f.publishNotes(notes)
	}
}

// publishNotes logs notes, passes them to the parts of the core and queues them for the loop.
func (f *Fleet) publishNotes(notes []fleet.Note) {
	for _, note := range notes {
		f.logNote(note)
		if f.limiter != nil && note.Kind == fleet.FactWritten && strings.HasPrefix(note.Name, quota.OperatorKeyPrefix) {
			limits := effectiveLimits(f.cfg.Limits, f.member.Machine.Facts())
			f.limiter.newLimits.Store(&limits)
			f.limiter.limitsChanged.Store(true)
		}
		if f.verdicts != nil {
			f.handleVerdictNote(note)
		}
		if f.takeover != nil {
			f.handleTakeoverNote(Clock(), note)
		}
		if f.member != nil && !f.noteQueue.TryEnqueue(note) {
			f.count.Missed.Add(1)
		}
	}
	if f.member != nil && len(notes) > 0 {
		f.cfg.Wake()
	}
}

// logNote logs a change in the fleet.
func (f *Fleet) logNote(note fleet.Note) {
	logger := f.cfg.Log
	switch note.Kind {
	case fleet.LeaseGranted:
		logger.Info().Str("event", "fleet_granted").Uint64("incarnation", note.Incarnation).
			Msgf("fleet: lease granted: this router acts as %s, incarnation %d", note.Name, note.Incarnation)
	case fleet.LeaseRegained:
		logger.Info().Str("event", "fleet_regained").Uint64("incarnation", note.Incarnation).
			Msgf("fleet: lease regained, incarnation %d", note.Incarnation)
	case fleet.LeaseExpired:
		logger.Warn().Str("event", "fleet_cut_off").Uint64("incarnation", note.Incarnation).
			Msgf("fleet: the lease of incarnation %d expired before a keeper renewed it: "+
				"calls continue, but this router does nothing on behalf of the fleet", note.Incarnation)
	case fleet.IncarnationEnded:
		logger.Warn().Str("event", "fleet_ended").Uint64("incarnation", note.Incarnation).
			Msgf("fleet: incarnation %d has ended, requesting a new one", note.Incarnation)
	case fleet.NameInUse:
		logger.Warn().Str("event", "fleet_waits").Msgf("fleet: no lease yet: %s", note.Text)
	case fleet.MemberLost:
		logger.Warn().Str("event", "fleet_lost").Str("member", note.Name).Uint64("incarnation", note.Incarnation).
			Msgf("fleet: router %s is lost: the lease of its incarnation %d has expired", note.Name, note.Incarnation)
	case fleet.LeadershipGained:
		logger.Info().Str("event", "fleet_leads").Uint64("term", note.Number).
			Msgf("fleet: keeper %s is the leader, term %d", note.Name, note.Number)
	case fleet.LeadershipLost:
		logger.Info().Str("event", "fleet_follows").Uint64("term", note.Number).
			Msgf("fleet: keeper %s is no longer the leader, term %d", note.Name, note.Number)
	case fleet.KeeperHalted:
		logger.Error().Str("event", "fleet_halted").Str("why", note.Text).
			Msgf("fleet: keeper %s has halted permanently, its disk failed: %s", note.Name, note.Text)
	case fleet.MemberBegan, fleet.MemberLeft, fleet.SuccessorChanged, fleet.FactWritten:
		logger.Debug().Str("event", "fleet_"+note.Kind.String()).Str("name", note.Name).
			Uint64("incarnation", note.Incarnation).Uint64("number", note.Number).
			Msgf("fleet: %s %s", note.Name, note.Kind)
	}
}

// HoldsLease returns this router's incarnation and whether its lease allows it to act at now, a time of Clock. Safe
// for concurrent use.
func (f *Fleet) HoldsLease(now time.Duration) (incarnation uint64, ok bool) {
	l := f.lease.Load()
	return l.Incarnation, l.IsHeld(now)
}

// Update is called at the start of each loop iteration: it handles queued notes, updates limits, verdicts and
// takeover, and sends the beacon if the lease allows it. It returns how long until it is due again.
func (f *Fleet) Update() time.Duration {
	for {
		note, ok := f.noteQueue.TryDequeue()
		if !ok {
			break
		}
		if f.beacon != nil && note.Kind == fleet.MemberLost {
			fmt.Fprintf(f.beacon, "lost %s %s %d", f.cfg.Name, note.Name, note.Incarnation)
		}
		if f.cfg.OnNote != nil {
			f.cfg.OnNote(note)
		}
	}
	if f.limiter == nil && f.beacon == nil && f.verdicts == nil && f.takeover == nil { // nothing depends on the time
		return time.Hour
	}
	wait, now := time.Hour, Clock()
	if f.takeover != nil {
		wait = f.updateTakeover(now)
	}
	if f.limiter != nil {
		wait = min(wait, f.updateLimits(now))
	}
	if f.verdicts != nil {
		wait = min(wait, f.updateVerdicts(now))
	}
	if f.beacon == nil {
		return wait
	}
	if now >= f.nextBeacon {
		f.nextBeacon = now + f.cfg.BeaconInterval
		// The lease is checked right before the act. If the process is stopped between the two, the act is late by at
		// most the length of the stop, and still carries its incarnation.
		if incarnation, ok := f.HoldsLease(Clock()); ok {
			f.beaconCount++
			fmt.Fprintf(f.beacon, "act %s %d %d %d", f.cfg.Name, incarnation, f.process, f.beaconCount)
		}
	}
	return min(wait, max(f.nextBeacon-now, 0))
}

// WriteFact requests that a fact be written to the fleet's log; done is called on the core's goroutine with the
// fact's version, or 0 if it was refused. It returns false, and never calls done, if the core is too busy. Safe for
// concurrent use.
func (f *Fleet) WriteFact(p fleet.Put, done func(version uint64)) bool {
	task := func(now time.Duration) {
		if f.member == nil || !f.member.Put(now, &p, done) {
			done(0)
		}
	}
	select {
	case f.tasks <- task:
		return true
	default:
		return false
	}
}

// Leave gives up the lease while the process continues to handle its calls in progress: a new process has been started
// in its place, and gets its name as soon as the log has recorded the end of this incarnation. From now on fleet-wide
// limits admit no call here. Safe for concurrent use.
func (f *Fleet) Leave() {
	if f.member == nil {
		return
	}
	select {
	case f.tasks <- f.member.Leave:
	default: // the lease expires by itself
	}
}

// Halted reports whether this keeper has stopped because its disk failed. Safe for concurrent use.
func (f *Fleet) Halted() bool { return f.halted.Load() }

// Address returns the address that this process listens on for links, empty if it doesn't.
func (f *Fleet) Address() string { return f.address }

// Counters returns the fleet's counters as text, to be printed with the process's others.
func (f *Fleet) Counters() string {
	c := &f.count
	l := f.lease.Load()
	extra := ""
	if f.limiter != nil {
		extra = fmt.Sprintf(" Limits:%+v", f.limiter.Count)
	}
	if f.takeover != nil {
		c := &f.takeover.count
		extra += fmt.Sprintf(" Work:{Records:%d Dropped:%d Hurried:%d Alone:%d Ceased:%d Adopted:%d Again:%d "+
			"Evacuated:%d Late:%d Missed:%d}",
			f.takeover.recorder.Count.Records, f.takeover.recorder.Count.Dropped, c.Hurried.Load(), c.Alone.Load(),
			f.takeover.ownership.Count.Ceased, f.takeover.ownership.Count.Adopted, f.takeover.ownership.Count.Again,
			f.takeover.ownership.Count.Evacuated, c.Late.Load(), c.Missed.Load())
	}
	if f.verdicts != nil {
		extra += fmt.Sprintf(" Verdicts:%+v", f.verdicts.watch.Count)
	}
	return fmt.Sprintf("{Incarnation:%d Sent:%d Received:%d Raft:%d Refused:%d Evicted:%d Dropped:%d Missed:%d Links:%d%s}",
		l.Incarnation, c.Sent.Load(), c.Received.Load(), c.Raft.Load(), c.Refused.Load(), c.Evicted.Load(),
		c.Dropped.Load(), c.Missed.Load(), f.links.Size(), extra)
}

// SetPendingEnds sets the ends of calls whose callers this router couldn't notify; Close forwards them to a linked
// router, which notifies the callers instead.
func (f *Fleet) SetPendingEnds(list []takeover.End) { f.pendingEnds = list }

// Close leaves the fleet, ends the core and all links, and closes a keeper's directory. The process must have stopped
// acting, and the loop must not call the Fleet any more.
func (f *Fleet) Close() error {
	left := make(chan struct{})
	if f.member != nil {
		select {
		case f.tasks <- func(now time.Duration) {
			if f.takeover != nil {
				f.announceLeave(now)
			}
			f.member.Leave(now)
			close(left)
		}:
			select {
			case <-left:
				time.Sleep(100 * time.Millisecond) // lets the messages be sent
			case <-time.After(300 * time.Millisecond):
			}
		default:
		}
	}
	close(f.stop)
	f.cancel()
	<-f.coreDone
	if f.server != nil {
		f.server.Stop()
	}
	f.goroutines.Wait()
	if f.beacon != nil {
		f.beacon.Close()
		f.leaderBeacon.Close()
	}
	if f.store != nil {
		return f.store.close()
	}
	return nil
}

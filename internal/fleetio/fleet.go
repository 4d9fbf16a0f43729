// Package fleetio carries the fleet: links between processes, a keeper's folder, and one goroutine beside the loop that drives the pure parts of package
// fleet by the clock. The loop reads the lease and a bounded queue of notes, and never waits. It must never decide who acts.
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
	"google.golang.org/grpc"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/quota"
	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/takeover"
	"threadglade.example/threadglade/verdict"
)

// notesMost notes wait for the loop; what does not fit is counted and told again by nobody, for the state is there to be looked at.
const notesMost = 4096

// Config is what a process of a fleet needs.
type Config struct {
	Options
	FS     durable.FS
	Name   string
	Member bool   // it routes calls: it holds a lease
	Wake   func() // has the loop take a turn; from any goroutine
	Log    zerolog.Logger
	Facts  func(fleet.Note) // hears each note on the loop; nil: nobody
	// Parts hears, on the loop, of this router's parts of what cold case servers may be sent, for how long from now they hold, and what it has without; nil: nobody.
	Parts func(parts []quota.ColdShare, hold time.Duration, alone float64)
	// Further has the decisions told, on the loop, of further attempts that they are lent; nil: nobody.
	Further func(lend func(left int) (lent int, limited bool))
	// Care hears, on the loop, of a server that is to be left alone for what all routers know, and for how long from now; 0: no more. Now is the clock that the times of
	// Sent, Answered and AttemptEnded are on.
	Care func(c verdict.Avoidance, hold time.Duration)
	Now  func() time.Duration
	// Work in hand, all on the loop: what does as it decides, and calls of before a start whose ends are not known.
	Desk   takeover.CallHandler
	Open   []string
	Tenant func(router.Event) string // whose call it is
	Aim    func(class string) time.Duration
	Limits []quota.Limit // of the settings; nil: this process divides and holds none
}

// Fleet is a process's part of its fleet.
type Fleet struct {
	cfg     Config
	process uint64
	keeper  *fleet.Keeper // nil: none
	member  *fleet.Member // nil: it only keeps
	voters  map[string]uint64
	store   *store
	server  *grpc.Server
	address string

	ctx      context.Context
	cancel   context.CancelFunc
	stop     chan struct{}
	done     sync.WaitGroup
	core     chan struct{} // closed when the core has ended
	inbox    chan event
	tasks    chan func(now time.Duration)
	links    *xsync.Map[fleet.Link, *link]
	numbers  atomic.Uint64
	accepted atomic.Int64
	said     atomic.Int64
	count    counters

	peers map[uint64]*link // of the core: links to other keepers, by number

	// Between the core and the loop.
	lease  atomic.Pointer[fleet.Lease]
	notes  *xsync.SPSCQueue[fleet.Note]
	shares *xsync.SPSCQueue[shares]
	gate   *gate                         // nil: no limits
	talk   *talk                         // nil: no verdicts
	work   *work                         // nil: nobody else has what is in hand
	dials  map[string]context.CancelFunc // of the core: links to other routers, by name and address
	owed   []takeover.End                // callers that this router could not tell, as it ends

	// Of the loop.
	beacon  *net.UDPConn
	next    time.Duration
	beacons uint64
	lead    *net.UDPConn // of the core: the same address
	leadAt  time.Duration
	failed  atomic.Bool
}

// Open starts a process's part. A keeper whose folder is missing or damaged is an error, and nothing has started.
func Open(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, stop: make(chan struct{}), core: make(chan struct{}), inbox: make(chan event, inboxMost), tasks: make(chan func(time.Duration), 64),
		links: xsync.NewMap[fleet.Link, *link](), peers: map[uint64]*link{}, notes: xsync.NewSPSCQueue[fleet.Note](notesMost), dials: map[string]context.CancelFunc{}}
	if f.cfg.Wake == nil {
		f.cfg.Wake = func() {}
	}
	f.lease.Store(&fleet.Lease{})
	f.ctx, f.cancel = context.WithCancel(context.Background())
	var seed [32]byte
	crand.Read(seed[:])
	f.process = binary.BigEndian.Uint64(seed[:])>>1 + 1
	now := Clock()
	if cfg.Keeper(cfg.Name) {
		if err := f.keep(rand.New(rand.NewChaCha8(seed)), now); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	if cfg.Member {
		if !cfg.Terms.IsListed(cfg.Name) {
			return nil, fmt.Errorf("fleet: %q is not among the members that the settings list", cfg.Name)
		}
		f.member = fleet.NewMember(cfg.Terms, cfg.Name, f.process)
	}
	if cfg.Limits != nil {
		if f.keeper != nil {
			machine := func() *fleet.Machine { return f.keeper.Machine }
			f.keeper.Extension = quota.NewRider(cfg.Terms, machine, func() []quota.Limit { return inForce(cfg.Limits, machine().Facts()) })
		}
		if f.member != nil {
			f.shares = xsync.NewSPSCQueue[shares](sharesMost)
			f.gate = &gate{Limiter: quota.NewLimiter(now, cfg.Limits)}
			f.gate.said.Store(&[]byte{})
			f.member.ExtensionPayload = func() []byte { return *f.gate.said.Load() }
			f.member.OnExtensionPayload = f.rode
		}
	}
	if cfg.Verdicts != nil && f.member != nil {
		f.openTalk(now)
	}
	if cfg.Work != nil && f.member != nil {
		f.openWork(now)
	}
	if cfg.Beacon.IsValid() {
		var err error
		if f.beacon, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(cfg.Beacon)); err == nil {
			f.lead, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(cfg.Beacon))
		}
		if err != nil {
			return nil, fmt.Errorf("fleet: beacon: %w", err)
		}
	}
	if f.keeper != nil || (f.talk != nil || f.work != nil) && cfg.Listen != "" {
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
		cfg.Log.Info().Str("event", "fleet_keeping").Str("address", f.address).Msgf("fleet %s: keeper %s on %s, log at %d", cfg.Terms.Fleet, cfg.Name, f.address, f.keeper.Machine.Index)
	}
	for _, name := range cfg.Terms.Keepers {
		if f.keeper != nil && name != cfg.Name {
			f.done.Add(1)
			go f.follow(f.ctx, name, cfg.Addresses[name], rafts)
		}
		if f.member != nil {
			f.done.Add(1)
			go f.follow(f.ctx, name, cfg.Addresses[name], asks)
		}
	}
	go f.run()
	return f, nil
}

// keep opens a keeper's folder.
func (f *Fleet) keep(random *rand.Rand, now time.Duration) error {
	s, c, err := openStore(f.cfg.FS, f.cfg.Dir)
	if errors.Is(err, ErrNoFiles) && fleet.Mutated() == "files-forgotten" {
		err = f.refound()
		if err == nil {
			s, c, err = openStore(f.cfg.FS, f.cfg.Dir)
		}
	}
	if err != nil {
		return err
	}
	if f.keeper, err = fleet.NewKeeper(f.cfg.Terms, c.Stored, random, now); err == nil && c.Identity.Name != f.cfg.Name {
		err = fmt.Errorf("%s: the files of keeper %s, this is %s", f.cfg.Dir, c.Identity.Name, f.cfg.Name)
	}
	if err == nil {
		err = s.begin(f.keeper, c.Scan, f.cfg.Roll)
	}
	if err != nil {
		s.close()
		return err
	}
	for _, torn := range c.Torn {
		f.cfg.Log.Warn().Str("event", "fleet_torn").Msgf("fleet: cut off by a crash, and never answered for: %s", torn)
	}
	f.store, f.voters = s, f.keeper.Voters()
	return nil
}

// refound is the fault of a keeper that forgets that its files are lost.
func (f *Fleet) refound() error {
	list, err := fleet.Bootstrap(f.cfg.Terms, rand.New(rand.NewPCG(1, 1))) // as drills found their fleets
	for _, s := range list {
		if err == nil && s.Identity.Name == f.cfg.Name {
			err = Found(f.cfg.FS, f.cfg.Dir, s)
		}
	}
	return err
}

// run is the core: the one goroutine that drives the pure parts.
func (f *Fleet) run() {
	defer close(f.core)
	tick := time.NewTimer(fleet.TickInterval)
	defer tick.Stop()
	var poke chan struct{}
	if f.work != nil {
		poke = f.work.poke
	}
	for {
		wait := fleet.TickInterval
		if f.keeper == nil { // a router alone wakes only for what is due
			wait = min(max(f.member.NextTick()-Clock(), time.Millisecond), time.Second)
		}
		if f.talk != nil {
			wait = min(wait, max(f.talk.table.NextTick()-Clock(), time.Millisecond))
		}
		if f.work != nil {
			wait = min(wait, max(f.worksDue(Clock())-Clock(), time.Millisecond))
		}
		tick.Reset(wait)
		select {
		case <-f.stop:
			return
		case e := <-f.inbox:
			f.take(Clock(), e)
			for range 256 { // what has come meanwhile shares one write
				select {
				case e := <-f.inbox:
					f.take(Clock(), e)
					continue
				default:
				}
				break
			}
		case task := <-f.tasks:
			task(Clock())
		case <-poke:
		case <-tick.C:
		}
		now := Clock()
		if f.keeper != nil {
			f.keeper.Tick(now)
		}
		if f.member != nil {
			f.member.Tick(now)
		}
		if f.talk != nil {
			f.converse(now)
		}
		if f.work != nil {
			f.labour(now)
		}
		f.drive()
	}
}

// take gives an event to the part that it is for.
func (f *Fleet) take(now time.Duration, e event) {
	l := e.link
	switch {
	case l.talks:
		f.talked(now, e)
	case e.out && l.peer && e.frame == nil:
		if number := f.voters[l.name]; e.gone {
			if f.peers[number] == l {
				delete(f.peers, number)
				f.keeper.ReportUnreachable(l.name)
			}
		} else {
			f.peers[number] = l
		}
	case e.out && !l.peer && e.frame == nil:
		id := l.id
		if e.gone {
			id = 0
		}
		f.member.SetLink(now, l.name, id)
	case e.out && !l.peer:
		f.member.Receive(now, l.name, e.frame)
	case e.out: // another keeper says nothing on a link that it did not dial
	case f.keeper == nil && (e.gone || e.frame == nil):
	case f.keeper == nil && e.frame.GetInquiry() != nil:
		f.send(l, &fleetpb.Frame{What: &fleetpb.Frame_Report{Report: f.report(now, l, e.frame.GetInquiry(), &fleetpb.Report{Seq: e.frame.GetInquiry().Seq, Name: f.cfg.Name})}})
	case f.keeper == nil:
		f.refused(fmt.Sprintf("%s: this process keeps nothing", l.name))
		l.cut()
	case e.gone:
		f.keeper.RemoveLink(l.id)
	case e.frame == nil:
	case l.peer && e.frame.GetRaft() != nil:
		f.count.Raft.Add(1)
		if err := f.keeper.Receive(now, l.name, e.frame.GetRaft()); err != nil {
			f.refused(err.Error())
			l.cut()
		}
	case !l.peer && l.name == "" && e.frame.GetAsk().GetPut() != nil: // an operator's word
		f.keeper.HandleAsk(now, l.id, "", &fleetpb.Ask{Seq: e.frame.GetAsk().Seq, Process: uint64(l.id), Known: ^uint64(0), Put: e.frame.GetAsk().Put})
	case !l.peer && l.name != "" && e.frame.GetAsk() != nil:
		f.keeper.HandleAsk(now, l.id, l.name, e.frame.GetAsk())
	case e.frame.GetInquiry() != nil:
		f.send(l, &fleetpb.Frame{What: &fleetpb.Frame_Report{Report: f.report(now, l, e.frame.GetInquiry(), f.keeper.Report(e.frame.GetInquiry().Seq))}})
	default:
		f.refused(fmt.Sprintf("%s: a frame that is not its to send", l.name))
		l.cut()
	}
}

// report completes what an operator is told.
func (f *Fleet) report(now time.Duration, l *link, q *fleetpb.Inquiry, r *fleetpb.Report) *fleetpb.Report {
	refused := ""
	if q.Evacuate && l.name == "" && f.member != nil { // an operator's word
		refused = f.wantEvacuation(now)
	}
	r.Sent, r.Received, r.Refused, r.Dropped = f.count.Sent.Load(), f.count.Received.Load(), f.count.Refused.Load(), f.count.Dropped.Load()
	if f.talk != nil {
		r.Talk = f.talk.report(now)
	}
	if f.work != nil {
		r.Work = f.reportWork(now, q.Find, refused)
	}
	return r
}

// drive has done what the pure parts want, until they want nothing more.
func (f *Fleet) drive() {
	for f.keeper != nil {
		o, ok := f.keeper.Output()
		if !ok {
			break
		}
		if o.Store != nil && !f.failed.Load() {
			if err := f.store.write(o.Store); err != nil {
				if fleet.Mutated() != "deaf-to-disk" {
					f.failed.Store(true)
					o.Outbound = nil
				}
				f.keeper.Halt(err)
			}
		}
		for _, s := range o.Outbound {
			l, _ := f.links.Load(s.Link)
			if s.Voter != 0 {
				l = f.peers[s.Voter]
			}
			if l != nil {
				f.send(l, s.Frame)
			}
		}
		f.keeper.Advance(Clock())
		f.tell(o.Notes)
	}
	if f.keeper != nil && f.lead != nil {
		if term, leads := f.keeper.LeaderTerm(); leads {
			if now := Clock(); now >= f.leadAt {
				f.leadAt = now + f.cfg.Every
				fmt.Fprintf(f.lead, "lead %s %d", f.cfg.Name, term)
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
		f.tell(notes)
	}
}

// tell logs notes and queues them for the loop.
func (f *Fleet) tell(notes []fleet.Note) {
	for _, n := range notes {
		f.log(n)
		if f.gate != nil && n.Kind == fleet.FactWritten && strings.HasPrefix(n.Name, quota.OperatorKeyPrefix) {
			list := inForce(f.cfg.Limits, f.member.Machine.Facts())
			f.gate.limits.Store(&list)
			f.gate.changed.Store(true)
		}
		if f.talk != nil {
			f.noted(n)
		}
		if f.work != nil {
			f.worked(Clock(), n)
		}
		if f.member != nil && !f.notes.TryEnqueue(n) {
			f.count.Missed.Add(1)
		}
	}
	if f.member != nil && len(notes) > 0 {
		f.cfg.Wake()
	}
}

func (f *Fleet) log(n fleet.Note) {
	l := f.cfg.Log
	switch n.Kind {
	case fleet.LeaseGranted:
		l.Info().Str("event", "fleet_granted").Uint64("incarnation", n.Incarnation).Msgf("fleet: acts as %s by incarnation %d", n.Name, n.Incarnation)
	case fleet.LeaseRegained:
		l.Info().Str("event", "fleet_regained").Uint64("incarnation", n.Incarnation).Msgf("fleet: holds its lease again, incarnation %d", n.Incarnation)
	case fleet.LeaseExpired:
		l.Warn().Str("event", "fleet_cut_off").Uint64("incarnation", n.Incarnation).Msgf("fleet: no keeper has renewed the lease of incarnation %d in time: calls go on, nothing is done for the fleet", n.Incarnation)
	case fleet.IncarnationEnded:
		l.Warn().Str("event", "fleet_ended").Uint64("incarnation", n.Incarnation).Msgf("fleet: incarnation %d is over, a new one is asked for", n.Incarnation)
	case fleet.NameInUse:
		l.Warn().Str("event", "fleet_waits").Msgf("fleet: no lease yet: %s", n.Text)
	case fleet.MemberLost:
		l.Warn().Str("event", "fleet_lost").Str("member", n.Name).Uint64("incarnation", n.Incarnation).Msgf("fleet: %s is lost, incarnation %d", n.Name, n.Incarnation)
	case fleet.LeadershipGained:
		l.Info().Str("event", "fleet_leads").Uint64("term", n.Number).Msgf("fleet: %s leads, term %d", n.Name, n.Number)
	case fleet.LeadershipLost:
		l.Info().Str("event", "fleet_follows").Uint64("term", n.Number).Msgf("fleet: %s leads no more, term %d", n.Name, n.Number)
	case fleet.KeeperHalted:
		l.Error().Str("event", "fleet_halted").Str("why", n.Text).Msgf("fleet: keeper %s has stopped for good, its disk failed: %s", n.Name, n.Text)
	case fleet.MemberBegan, fleet.MemberLeft, fleet.SuccessorChanged, fleet.FactWritten:
		l.Debug().Str("event", "fleet_"+n.Kind.String()).Str("name", n.Name).Uint64("incarnation", n.Incarnation).Uint64("number", n.Number).Msgf("fleet: %s %s", n.Name, n.Kind)
	}
}

// Holds is the look at the lease for whoever acts: the incarnation it may act by, now.
func (f *Fleet) Holds(now time.Duration) (incarnation uint64, ok bool) {
	l := f.lease.Load()
	return l.Incarnation, l.IsHeld(now)
}

// Turn is the loop's: first thing in each turn it takes what the fleet has come to, acts if the lease allows it, and says how long nothing more will be due.
func (f *Fleet) Turn() time.Duration {
	for {
		n, ok := f.notes.TryDequeue()
		if !ok {
			break
		}
		if f.beacon != nil && n.Kind == fleet.MemberLost {
			fmt.Fprintf(f.beacon, "lost %s %s %d", f.cfg.Name, n.Name, n.Incarnation)
		}
		if f.cfg.Facts != nil {
			f.cfg.Facts(n)
		}
	}
	if f.gate == nil && f.beacon == nil && f.talk == nil && f.work == nil { // nothing that needs a look at the clock
		return time.Hour
	}
	wait, now := time.Hour, Clock()
	if f.work != nil {
		wait = f.toil(now)
	}
	if f.gate != nil {
		wait = min(wait, f.turn(now))
	}
	if f.talk != nil {
		wait = min(wait, f.heed(now))
	}
	if f.beacon == nil {
		return wait
	}
	if now >= f.next {
		f.next = now + f.cfg.Every
		// The look and the act are next to each other: what a pause between them can still do is its own length, and the number is in the act.
		if incarnation, ok := f.Holds(Clock()); ok {
			f.beacons++
			fmt.Fprintf(f.beacon, "act %s %d %d %d", f.cfg.Name, incarnation, f.process, f.beacons)
		}
	}
	return min(wait, max(f.next-now, 0))
}

// Write asks for a fact, from any goroutine; done is called beside the loop with its version, 0 if it was refused.
func (f *Fleet) Write(p fleet.Put, done func(version uint64)) bool {
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

// Yield leaves the fleet while the process goes on with what it has: another has taken its place, and takes its name as soon as the log has the word.
// It admits nothing from now on that the fleet divides.
func (f *Fleet) Yield() {
	if f.member == nil {
		return
	}
	select {
	case f.tasks <- f.member.Leave:
	default: // its lease ends by itself
	}
}

// Failed says whether this keeper has halted.
func (f *Fleet) Failed() bool { return f.failed.Load() }

// Address is where a keeper listens.
func (f *Fleet) Address() string { return f.address }

// Counters are printed with the process's others.
func (f *Fleet) Counters() string {
	c := &f.count
	l := f.lease.Load()
	more := ""
	if f.gate != nil {
		more = fmt.Sprintf(" Limits:%+v", f.gate.Count)
	}
	if f.work != nil {
		c := &f.work.count
		more += fmt.Sprintf(" Work:{Records:%d Dropped:%d Hurried:%d Alone:%d Ceased:%d Adopted:%d Again:%d Evacuated:%d Late:%d Missed:%d}", f.work.giver.Count.Records, f.work.giver.Count.Dropped, c.Hurried.Load(), c.Alone.Load(), f.work.actor.Count.Ceased, f.work.actor.Count.Adopted, f.work.actor.Count.Again, f.work.actor.Count.Evacuated, c.Late.Load(), c.Missed.Load())
	}
	if f.talk != nil {
		more += fmt.Sprintf(" Verdicts:%+v", f.talk.watch.Count)
	}
	return fmt.Sprintf("{Incarnation:%d Sent:%d Received:%d Raft:%d Refused:%d Dropped:%d Missed:%d Links:%d%s}", l.Incarnation, c.Sent.Load(), c.Received.Load(), c.Raft.Load(),
		c.Refused.Load(), c.Dropped.Load(), c.Missed.Load(), f.links.Size(), more)
}

// Owe names callers that the router could not tell of their calls' ends, for another to do as it closes.
func (f *Fleet) Owe(list []takeover.End) { f.owed = list }

// Close leaves the fleet. The process must have stopped acting.
func (f *Fleet) Close() error {
	left := make(chan struct{})
	if f.member != nil {
		select {
		case f.tasks <- func(now time.Duration) {
			if f.work != nil {
				f.leaveWork(now)
			}
			f.member.Leave(now)
			close(left)
		}:
			select {
			case <-left:
				time.Sleep(100 * time.Millisecond) // for the word to go out
			case <-time.After(300 * time.Millisecond):
			}
		default:
		}
	}
	close(f.stop)
	f.cancel()
	<-f.core
	if f.server != nil {
		f.server.Stop()
	}
	f.done.Wait()
	if f.beacon != nil {
		f.beacon.Close()
		f.lead.Close()
	}
	if f.store != nil {
		return f.store.close()
	}
	return nil
}

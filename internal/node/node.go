// Package node puts one call router together: it reads what the platform tells a call router, joins the loop, the
// router, the SIP front and trunk and the server list, and ends them in order. It owns the process's limits and
// its signals. It must never decide about a call or touch a message.
package node

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/callcontrol"
	"threadglade.example/threadglade/internal/fleetio"
	"threadglade.example/threadglade/internal/ledgerio"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/internal/mgmt"
	"threadglade.example/threadglade/internal/registry"
	"threadglade.example/threadglade/internal/sip"
	"threadglade.example/threadglade/internal/traceio"
	"threadglade.example/threadglade/ledger"
	"threadglade.example/threadglade/lifecycle"
	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/trace"
)

const (
	// stayFor is how long a router that was told to end still takes what callers send it.
	stayFor = 750 * time.Millisecond
	// partFor is how long idle callers have to hear that their connections end: a set-up that crosses a close within 50 ms is sent again.
	partFor = 60 * time.Millisecond
	// lookEvery is how often an ending process looks whether it may go.
	lookEvery = 20 * time.Millisecond
	// flushFor is how long answers that were given may still wait for callers who read slowly, at the end.
	flushFor = 500 * time.Millisecond
	// memoryPart of the limit is the most that the collector lets the heap come to.
	memoryPart = 0.7
)

// Node is one running call router.
type Node struct {
	Loop   *loop.Loop
	Router *router.Router
	// Reload, if set, reads the settings of what was added to the node anew. It runs beside the loop, for it may take long;
	// what it returns puts them in force and runs on the loop.
	Reload func() (apply func(), err error)
	config Config
	clock  router.Clock
	log    zerolog.Logger
	front  *sip.Front
	second *callcontrol.Front // nil where it is off
	trunk  *sip.Trunk
	names  *registry.Client
	listen *loop.Listener
	other  *loop.Listener // of the second front; nil where it is off
	turn   turnover
	life   *lifecycle.Process
	door   *mgmt.Server      // nil where it is off
	ledger *ledgerio.Carrier // nil where it is off
	trace  *traceio.Recorder // nil where it is off
	fleet  *fleetio.Fleet    // nil where it is off
}

// Logger writes one event a line with the time, the level and the router's name: as text for people or, with asJSON, as
// one JSON object.
func Logger(w io.Writer, name string, level zerolog.Level, asJSON bool) zerolog.Logger {
	if !asJSON {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: "15:04:05.000", TimeLocation: time.UTC,
			PartsOrder:    []string{zerolog.TimestampFieldName, "router", zerolog.LevelFieldName, zerolog.MessageFieldName},
			FieldsExclude: []string{"router"}, FormatPartValueByName: func(v any, _ string) string { return fmt.Sprint(v) }}
	}
	return zerolog.New(w).Level(level).With().Str("router", name).Logger().Hook(stamp{})
}

// stamp puts the time on an event, to the millisecond and in UTC.
type stamp struct{}

func (stamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format("2006-01-02T15:04:05.000Z07:00"))
}

// New opens the sockets of a call router. Nothing is served before Run.
func New(c Config, clock router.Clock, log zerolog.Logger) (*Node, error) {
	l, err := loop.New()
	if err != nil {
		return nil, err
	}
	n := &Node{Loop: l, clock: clock, log: log, config: c, life: &lifecycle.Process{}}
	inherited, err := n.ask()
	if err != nil {
		return nil, err
	}
	n.trunk = sip.NewTrunk(sip.TrunkConfig{Loop: l, Clock: clock, ConnectTimeout: c.ConnectTimeout, FreeField: c.Free,
		TotalField: c.Total, Log: log, ReportLoads: c.Product.Trace != nil})
	rc := router.Config{Settings: c.Settings, Seed: c.Seed, Clock: clock, Trunk: n.trunk, Log: log,
		OnUnknownServerRelease: n.orphan, OnUnknownCallerRelease: n.stray}
	if c.Product.Ledger != nil {
		if err := n.openLedger(&rc); err != nil {
			return nil, err
		}
	}
	if c.Product.Trace != nil {
		if err := n.openTrace(&rc); err != nil {
			return nil, err
		}
	}
	if c.Product.Limits != nil {
		n.openLimits(&rc)
	}
	if c.Product.Fleet != nil && c.Product.Fleet.Verdicts != nil {
		rc.Observer = observe(rc.Observer, watcher{n})
	}
	if c.Product.Fleet != nil && c.Product.Fleet.Work != nil {
		rc.Observer = observe(rc.Observer, giver{n})
	}
	if n.Router, err = router.New(rc); err != nil {
		return nil, err
	}
	if n.ledger != nil {
		n.tickLedger()
	}
	n.front = sip.NewFront(sip.FrontConfig{Router: n.Router, Clock: clock, MaxDescriptors: c.Sockets, Settings: c.Settings, Process: n.life})
	n.front.Start()
	n.trunk.Start(n.Router)
	if n.trace != nil {
		n.trace.List(c.Cursor, len(c.Servers))
	}
	n.list(c.Servers, true)
	if n.names, err = registry.Follow(l, c.Resolver, c.Cursor, clock, n.Router.Schedule, rand.New(rand.NewPCG(c.Seed, 1)).Float64, log,
		func(serial uint32, servers []sip.Server) {
			if n.trace != nil {
				n.trace.List(serial, len(servers))
			}
			n.list(servers, false)
		}); err != nil {
		return nil, err
	}
	n.life.ServersListed()
	if err = n.open(inherited); err != nil {
		return nil, err
	}
	n.life.Listening()
	if c.Mgmt.IsValid() {
		if n.door, err = mgmt.Open(mgmt.Config{Loop: l, Addr: c.Mgmt, Clock: clock, Schedule: n.Router.Schedule, Process: operated{n}, Log: log}); err != nil {
			return nil, err
		}
		log.Info().Str("event", "mgmt_serving").Stringer("address", n.door.Addr()).Msgf("operators' door on %s", n.door.Addr())
	}
	if c.Product.Fleet != nil {
		if err = n.openFleet(); err != nil {
			return nil, err
		}
	}
	log.Info().Str("event", "serving").Stringer("address", n.listen.Addr()).Int("me", c.Settings.Index).Msgf("serving on %s: %d servers known, list %d, name service %s", n.listen.Addr(), len(c.Servers), c.Cursor, c.Resolver)
	return n, nil
}

// operated is the node as its operators' door knows it.
type operated struct{ n *Node }

func (o operated) Ready() (bool, string) {
	// Who stands by will have all callers at once: it first hears from the case servers what they have free.
	if n := o.n; n.turn.successor.InStandby() && n.life.Ready() && n.clock() < n.turn.began+reachWithin && !n.trunk.AllReached() {
		return false, "standing by, case servers are not reached yet"
	}
	return o.n.life.Ready(), o.n.life.State().String()
}

func (o operated) Drain() error {
	changed, err := o.n.life.Drain(o.n.clock())
	if changed {
		o.n.log.Info().Str("event", "draining").Int("open", o.n.Router.OpenRequests()).
			Msgf("told to drain: %d requests open, %d connections", o.n.Router.OpenRequests(), o.n.front.Counters().Open)
	}
	return err
}

func (o operated) Resume() error {
	changed, err := o.n.life.Resume()
	if changed {
		o.n.log.Info().Str("event", "resumed").Msg("told to resume: ready again")
	}
	return err
}

// Leaving says whether callers are told to go elsewhere. It is for the loop's own goroutine.
func (n *Node) Leaving() bool { return n.life.Leaving() }

// Door is where operators call; the zero value where they cannot.
func (n *Node) Door() netip.AddrPort {
	if n.door == nil {
		return netip.AddrPort{}
	}
	return n.door.Addr()
}

// Addr is where callers connect.
func (n *Node) Addr() netip.AddrPort { return n.listen.Addr() }

// CallControl opens the second front and returns where it listens.
func (n *Node) CallControl(c callcontrol.Config, classes []threadglade.Class, verify callcontrol.Verify) (netip.AddrPort, error) {
	if err := n.front.ReserveForFront(c.Sockets); err != nil {
		return netip.AddrPort{}, fmt.Errorf("call control: sockets: %w", err)
	}
	n.second = callcontrol.New(c, classes, n.Router, n.clock, verify, n.log)
	open := n.Loop.Listen
	if n.config.Handover != "" {
		open = n.Loop.ListenShared
	}
	listen, err := open(c.Addr, n.second.Accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	listen.SetPaused(n.turn.successor.InStandby())
	n.other = listen
	n.log.Info().Str("event", "callcontrol_serving").Msgf("call control on %s", listen.Addr())
	return listen.Addr(), nil
}

// list hands on the whole list. The router hears first: what is cut at a server that is gone is not sent there
// again.
func (n *Node) list(servers []sip.Server, stored bool) {
	ev := threadglade.ServerList{Stored: stored}
	for _, s := range servers {
		ev.Servers = append(ev.Servers, s.Server)
		if !stored {
			n.log.Info().Str("event", "server_listed").Str("server", s.ID).Int("state", int(s.State)).Msgf("list: server %s number %d state %d started %d", s.ID, s.Number, s.State, s.Started.Milliseconds())
		}
	}
	n.Router.UpdateServers(ev)
	if n.fleet != nil && n.fleet.Limited() {
		n.cold(servers)
	}
	if n.fleet != nil && n.fleet.Watches() {
		n.watched(servers)
	}
	n.front.ReserveForServers(len(servers))
	n.trunk.UpdateServers(servers)
}

// Run serves until Shutdown has been called and nothing is owed any more.
func (n *Node) Run() error {
	due := n.Router.Tick
	if n.fleet != nil { // the look at the lease comes first in each turn
		due = func() time.Duration { return min(n.fleet.Turn(), n.Router.Tick()) }
	}
	n.Loop.SetClock(n.clock)
	n.Loop.SetBeforeWait(n.trunk.Flush)
	err := n.Loop.Run(due)
	n.log.Info().Str("event", "counters").Msgf("counters %s", n.Counters())
	n.Loop.Close()
	if n.fleet != nil {
		if n.fleet.Works() {
			n.owe()
		}
		err = errors.Join(err, n.fleet.Close())
	}
	if n.ledger != nil {
		err = errors.Join(err, n.ledger.Close())
	}
	if n.trace != nil {
		err = errors.Join(err, n.trace.Close())
	}
	return err
}

// Shutdown ends Run once nothing is owed, and not before callers have had time to turn elsewhere. Where another process stands by, it is asked to
// take the callers.
func (n *Node) Shutdown() {
	n.log.Info().Str("event", "ending").Msgf("told to end: %d requests open", n.Router.OpenRequests())
	n.life.End(n.clock())
	earliest := n.clock() + stayFor
	latest := earliest + flushFor
	n.handOver()
	closing, resting, parting := false, false, false
	var look func()
	look = func() {
		if n.Router.OpenRequests() > 0 {
			latest = max(latest, n.clock()+flushFor)
		}
		over := n.Router.OpenRequests() == 0 && n.clock() >= earliest && (!n.front.HasUnsent() && !n.front.HasUnread() || n.clock() >= latest)
		switch {
		case n.turn.elder.HandedOver():
			over = n.handed()
		case over && !closing: // what has been accepted for this process is taken, and what it has sent already is read in the turn after this,
			closing, over = true, false
			n.listen.DrainBacklog()
			n.listen.Close()
			earliest = n.clock() + lookEvery
		case over && !resting && n.turn.path != "": // where another process serves beside this one, releases that are on their way to this one are heard,
			resting, over = true, false
			n.trunk.HalfCloseAll()
		case over && resting && !parting && n.trunk.HalfClosing():
			over = false
		case over && !parting: // and idle callers hear the end before it comes
			parting, over = true, false
			n.life.BeginClosing()
			n.front.CloseIdle()
			earliest = n.clock() + partFor
		}
		if over {
			if n.second != nil {
				n.second.Close()
			}
			n.Loop.Stop()
			return
		}
		n.Router.Schedule(n.clock()+lookEvery, look)
	}
	look()
}

// Apply takes a configuration that was read anew, whole or, with an error, not at all. The name service is followed to its new address
// at once and the list goes on by its number; limits hold from now on, and settings for the requests that come from now on. Calls,
// servers and connections stay as they are, and what a running router cannot change is named in the log and waits for the next start.
func (n *Node) Apply(c Config) error {
	old := n.config
	if err := c.Follows(old); err != nil {
		return err
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if err := n.names.Move(c.Resolver); err != nil {
		return err
	}
	n.names.Known(c.Cursor, c.Servers)
	n.front.SetMaxDescriptors(c.Sockets)
	if !reflect.DeepEqual(c.Settings, old.Settings) {
		n.change(c.Settings)
	}
	for name, same := range map[string]bool{"name": c.Name == old.Name, "listen": c.Listen == old.Listen, "mgmt": c.Mgmt == old.Mgmt,
		"seed": c.Seed == old.Seed, "settings.limits.connectTimeoutMs": c.ConnectTimeout == old.ConnectTimeout,
		"settings.report.fields": c.Free == old.Free && c.Total == old.Total} {
		if !same {
			n.log.Warn().Str("event", "config_waits").Str("field", name).Msgf("configuration: %s has changed, which takes a restart", name)
		}
	}
	if n.trace != nil {
		n.trace.Reload()
	}
	// What cannot change now is compared with what is in force the next time, too.
	n.config.Resolver, n.config.MemoryMB, n.config.Sockets, n.config.Settings, n.config.tree = c.Resolver, c.MemoryMB, c.Sockets, c.Settings, c.tree
	n.log.Info().Str("event", "config_taken").Msgf("configuration read anew: name service %s, %d MB, %d sockets", c.Resolver, c.MemoryMB, c.Sockets)
	return nil
}

// change puts settings in force that were found good, everywhere in one step of the loop.
func (n *Node) change(set threadglade.Settings) {
	if err := n.Router.Change(set); err != nil {
		return
	}
	n.front.UpdateSettings(set)
	if n.second != nil {
		n.second.Change(set.Classes)
	}
	if n.ledger != nil {
		n.ledger.SetClasses(ledger.Classes(set.Classes))
	}
	if n.trace != nil {
		n.trace.SetClasses(trace.Classes(set.Classes))
	}
	var names []string
	for _, class := range set.Classes {
		names = append(names, class.Name)
	}
	n.log.Info().Str("event", "settings_taken").Strs("classes", names).Int("attempts", set.Limits.MaxAttempts).
		Msgf("settings in force: %d classes, at most %d attempts", len(names), set.Limits.MaxAttempts)
}

// reload reads the configuration that the environment names, and the settings; a bad one is logged, and the old one stays.
// It runs beside the loop.
func (n *Node) reload() {
	c, err := LoadConfig()
	var apply func()
	if err == nil && n.Reload != nil {
		apply, err = n.Reload()
	}
	n.Loop.Post(func() {
		if err == nil {
			if err = n.Apply(c); err == nil {
				Limit(c)
			}
		}
		if err != nil {
			n.log.Error().Str("event", "config_bad").Msgf("configuration not taken, the old one stays: %v", err)
			return
		}
		if apply != nil {
			apply()
		}
	})
}

// Counters prints all counters on one line.
func (n *Node) Counters() string {
	f, t, d := n.front.Counters(), n.trunk.Counters(), n.names.Counters()
	text := fmt.Sprintf("%v front=%+v trunk=%+v names=%+v", n.Router.Counters(), f, t, d)
	if n.door != nil {
		text += fmt.Sprintf(" mgmt=%+v", n.door.Counters())
	}
	if n.turn.path != "" {
		text += fmt.Sprintf(" handover=%+v", n.turn.counters())
	}
	if n.second != nil {
		text += fmt.Sprintf(" callcontrol=%+v", n.second.Counters())
	}
	if n.ledger != nil {
		text += fmt.Sprintf(" ledger=%+v", n.ledger.Counters())
	}
	if n.trace != nil {
		text += fmt.Sprintf(" trace=%+v", n.trace.Counters())
	}
	if n.fleet != nil {
		text += " fleet=" + n.fleet.Counters()
	}
	return text
}

// Outside counts what went to case servers and to the name service. It is for the loop's own goroutine.
func (n *Node) Outside() (sip.TrunkCounters, registry.Counters) {
	return n.trunk.Counters(), n.names.Counters()
}

// Limit keeps the process within one core and its memory.
func Limit(c Config) {
	runtime.GOMAXPROCS(1)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(c.MemoryMB) * (1 << 20)))
	}
}

// Signals has SIGTERM and SIGINT end the node, SIGHUP read the configuration anew, SIGUSR1 print the counters and,
// where there is a trace, SIGUSR2 write out what its memory holds.
func (n *Node) Signals() {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	if n.trace != nil {
		signal.Notify(signals, syscall.SIGUSR2)
	}
	go func() {
		ending := false
		for s := range signals {
			switch {
			case s == syscall.SIGUSR1:
				n.Loop.Post(func() { n.log.Info().Str("event", "counters").Msgf("counters %s", n.Counters()) })
			case s == syscall.SIGUSR2:
				n.Loop.Post(func() { n.trace.Dump("SIGUSR2") })
			case s == syscall.SIGHUP:
				n.reload()
			case !ending:
				ending = true
				n.Loop.Post(n.Shutdown)
			}
		}
	}()
}

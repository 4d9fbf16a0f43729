// Package node assembles one call router: it reads the platform's configuration, connects the event loop, the router,
// the SIP front and trunk, the server list and the optional subsystems, and shuts them down in order. It sets the
// limits of the process and handles its signals. It makes no decisions about calls and doesn't parse messages.
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

// heapLimitFraction is the fraction of the memory limit that is set as the soft limit of the Go runtime.
const heapLimitFraction = 0.7

// Node is one running call router. While Run is executing, its other methods must be called on the event loop's
// goroutine.
type Node struct {
	Loop   *loop.Loop
	Router *router.Router
	// Reload, if set, reads the product's settings again at SIGHUP. It runs off the loop, because it may take long;
	// the function that it returns applies them and runs on the loop.
	Reload              func() (apply func(), err error)
	config              Config
	clock               router.Clock
	log                 zerolog.Logger
	front               *sip.Front
	callControl         *callcontrol.Front // nil if disabled
	trunk               *sip.Trunk
	nameService         *registry.Client
	listener            *loop.Listener
	callControlListener *loop.Listener // nil if disabled
	handover            handoverState
	releases            *releaseForwarder
	transfer            *callTransfer
	process             *lifecycle.Process
	management          *mgmt.Server       // nil if disabled
	ledger              *ledgerio.Recorder // nil if disabled
	trace               *traceio.Recorder  // nil if disabled
	fleet               *fleetio.Fleet     // nil if disabled
}

// NewLogger returns a logger that writes one event a line with the time, the level and the router's name: as plain
// text or, with asJSON, as one JSON object.
func NewLogger(w io.Writer, name string, level zerolog.Level, asJSON bool) zerolog.Logger {
	if !asJSON {
		w = zerolog.ConsoleWriter{
			Out:           w,
			NoColor:       true,
			TimeFormat:    "15:04:05.000",
			TimeLocation:  time.UTC,
			PartsOrder:    []string{zerolog.TimestampFieldName, "router", zerolog.LevelFieldName, zerolog.MessageFieldName},
			FieldsExclude: []string{"router"},

			FormatPartValueByName: func(v any, _ string) string { return fmt.Sprint(v) },
		}
	}
	return zerolog.New(w).Level(level).With().Str("router", name).Logger().Hook(timestampHook{})
}

// timestampHook adds the time in UTC to an event, to the millisecond.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format("2006-01-02T15:04:05.000Z07:00"))
}

// New assembles a call router and opens its sockets, its files and, if another process of the router serves, the link
// to it. Nothing is served before Run.
func New(cfg Config, clock router.Clock, log zerolog.Logger) (*Node, error) {
	eventLoop, err := loop.New()
	if err != nil {
		return nil, err
	}
	n := &Node{Loop: eventLoop, clock: clock, log: log, config: cfg, process: &lifecycle.Process{}}
	n.releases = &releaseForwarder{node: n, pending: map[string]*forwardedRelease{}, callerReleases: map[string]bool{},
		orphans: map[string]*orphanQueue{}}
	n.transfer = &callTransfer{node: n, offered: map[string]bool{}, adopted: map[string]callOffer{}}
	inherited, err := n.requestStandby()
	if err != nil {
		return nil, err
	}
	n.trunk = sip.NewTrunk(sip.TrunkConfig{
		Loop:           eventLoop,
		Clock:          clock,
		ConnectTimeout: cfg.ConnectTimeout,
		FreeField:      cfg.FreeField,
		TotalField:     cfg.TotalField,
		Log:            log,
		ReportLoads:    cfg.Product.Trace != nil,
	})
	routerConfig := router.Config{Settings: cfg.Settings, Seed: cfg.Seed, Clock: clock, Trunk: n.trunk, Log: log,
		OnUnknownServerRelease: n.onUnknownServerRelease, OnUnknownCallerRelease: n.onUnknownCallerRelease,
		OnIDUsed: n.onIDUsed, OnIDReusable: n.onIDReusable}
	if cfg.Product.Ledger != nil {
		if err := n.openLedger(&routerConfig); err != nil {
			return nil, err
		}
	}
	if cfg.Product.Trace != nil {
		if err := n.openTrace(&routerConfig); err != nil {
			return nil, err
		}
	}
	if cfg.Product.Limits != nil {
		n.openLimits(&routerConfig)
	}
	if cfg.Product.Fleet != nil && cfg.Product.Fleet.Verdicts != nil {
		routerConfig.Observer = joinObservers(routerConfig.Observer, verdictObserver{n})
	}
	if cfg.Product.Fleet != nil && cfg.Product.Fleet.Takeover != nil {
		routerConfig.Observer = joinObservers(routerConfig.Observer, takeoverObserver{n})
	}
	if n.Router, err = router.New(routerConfig); err != nil {
		return nil, err
	}
	if n.ledger != nil {
		n.tickLedger()
	}
	n.front = sip.NewFront(sip.FrontConfig{
		Router:         n.Router,
		Clock:          clock,
		MaxDescriptors: cfg.Sockets,
		Settings:       cfg.Settings,
		Process:        n.process,
	})
	n.front.Start()
	n.trunk.Start(n.Router)
	if n.trace != nil {
		n.trace.RecordList(cfg.Cursor, len(cfg.Servers))
	}
	n.updateServers(cfg.Servers, true)
	if n.nameService, err = registry.Watch(eventLoop, cfg.Resolver, cfg.Cursor, clock, n.Router.Schedule,
		rand.New(rand.NewPCG(cfg.Seed, 1)).Float64, log,
		func(serial uint32, servers []sip.Server) {
			if n.trace != nil {
				n.trace.RecordList(serial, len(servers))
			}
			n.updateServers(servers, false)
		}); err != nil {
		return nil, err
	}
	n.process.ServersListed()
	if err = n.openListener(inherited); err != nil {
		return nil, err
	}
	n.process.Listening()
	if cfg.Mgmt.IsValid() {
		if n.management, err = mgmt.Open(mgmt.Config{
			Loop:     eventLoop,
			Addr:     cfg.Mgmt,
			Clock:    clock,
			Schedule: n.Router.Schedule,
			Process:  managedProcess{n},
			Log:      log,
		}); err != nil {
			return nil, err
		}
		log.Info().Str("event", "mgmt_serving").Stringer("address", n.management.Addr()).
			Msgf("management server listening on %s", n.management.Addr())
	}
	if cfg.Product.Fleet != nil {
		if err = n.openFleet(); err != nil {
			return nil, err
		}
	}
	log.Info().Str("event", "serving").Stringer("address", n.listener.Addr()).Int("me", cfg.Settings.Index).
		Msgf("serving on %s: %d servers known, list %d, name service %s",
			n.listener.Addr(), len(cfg.Servers), cfg.Cursor, cfg.Resolver)
	return n, nil
}

// managedProcess implements mgmt.Process, the view that the management server has of the node.
type managedProcess struct{ n *Node }

// Ready implements mgmt.Process.
func (p managedProcess) Ready() (bool, string) {
	// A process in standby takes over all callers at once, so it first has to learn the free capacity of the case
	// servers.
	if n := p.n; n.handover.asNewProcess.InStandby() && n.process.Ready() &&
		n.clock() < n.handover.standbySince+standbyReachTimeout && !n.trunk.AllReached() {
		return false, "standing by, case servers are not reached yet"
	}
	return p.n.process.Ready(), p.n.process.State().String()
}

// Drain implements mgmt.Process.
func (p managedProcess) Drain() error {
	changed, err := p.n.process.Drain(p.n.clock())
	if changed {
		p.n.log.Info().Str("event", "draining").Int("open", p.n.Router.OpenRequests()).
			Msgf("draining: %d open requests, %d connections",
				p.n.Router.OpenRequests(), p.n.front.Counters().Open)
	}
	return err
}

// Resume implements mgmt.Process.
func (p managedProcess) Resume() error {
	changed, err := p.n.process.Resume()
	if changed {
		p.n.log.Info().Str("event", "resumed").Msg("resumed: ready again")
	}
	return err
}

// Leaving reports whether callers are told to use another router.
func (n *Node) Leaving() bool { return n.process.Leaving() }

// ManagementAddr returns the address of the management server, or the zero value if there is none.
func (n *Node) ManagementAddr() netip.AddrPort {
	if n.management == nil {
		return netip.AddrPort{}
	}
	return n.management.Addr()
}

// Addr returns the address that callers connect to.
func (n *Node) Addr() netip.AddrPort { return n.listener.Addr() }

// OpenCallControl opens the call control front and returns the address that it listens on.
func (n *Node) OpenCallControl(
	cfg callcontrol.Config, classes []threadglade.Class, verify callcontrol.VerifyFunc,
) (netip.AddrPort, error) {
	if err := n.front.ReserveForFront(cfg.MaxSockets); err != nil {
		return netip.AddrPort{}, fmt.Errorf("call control: sockets: %w", err)
	}
	n.callControl = callcontrol.New(cfg, classes, n.process, n.Router, n.clock, verify, n.log)
	if n.handover.oldProcessLink != nil {
		n.callControl.SetOldProcess(oldProcessCalls{n})
	}
	listen := n.Loop.Listen
	switch {
	case n.handover.asNewProcess.InStandby():
		listen = n.Loop.BindShared
	case n.config.HandoverDir != "":
		listen = n.Loop.ListenShared
	}
	listener, err := listen(cfg.Addr, n.callControl.Accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	n.callControlListener = listener
	n.log.Info().Str("event", "callcontrol_serving").Msgf("call control listening on %s", listener.Addr())
	return listener.Addr(), nil
}

// updateServers distributes the whole list of case servers. The router is notified first, so that calls cut off at a
// removed server are not sent there again. isStored is true for the list in the configuration and false for one from
// the name service.
func (n *Node) updateServers(servers []sip.Server, isStored bool) {
	event := threadglade.ServerList{Stored: isStored}
	for _, s := range servers {
		event.Servers = append(event.Servers, s.Server)
		if !isStored {
			n.log.Info().Str("event", "server_listed").Str("server", s.ID).Int("state", int(s.State)).
				Msgf("list: server %s number %d state %d started %d", s.ID, s.Number, s.State, s.Started.Milliseconds())
		}
	}
	n.Router.UpdateServers(event)
	if n.fleet != nil && n.fleet.HasLimits() {
		n.reportColdServers(servers)
	}
	if n.fleet != nil && n.fleet.HasVerdicts() {
		n.reportMonitoredServers(servers)
	}
	n.front.ReserveForServers(len(servers))
	n.trunk.UpdateServers(servers)
}

// Run serves until Shutdown has been called and no answers are pending any more, then closes the subsystems.
func (n *Node) Run() error {
	tick := n.Router.Tick
	if n.fleet != nil { // each loop iteration checks the lease first
		tick = func() time.Duration { return min(n.fleet.Update(), n.Router.Tick()) }
	}
	n.Loop.SetClock(n.clock)
	n.Loop.SetBeforeWait(n.trunk.Flush)
	err := n.Loop.Run(tick)
	n.log.Info().Str("event", "counters").Msgf("counters %s", n.Counters())
	n.Loop.Close()
	if n.fleet != nil {
		if n.fleet.HasTakeover() {
			n.reportPendingEnds()
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

// Apply puts a configuration that was read again in force, completely or, with an error, not at all. The new address
// of the name service is used at once; as before, only lists with a newer serial are accepted. Limits apply from now
// on, settings to requests that arrive from now on. Calls, servers and connections stay as they are. Changes that need
// a restart are logged.
func (n *Node) Apply(cfg Config) error {
	old := n.config
	if err := cfg.CheckCanReplace(old); err != nil {
		return err
	}
	if err := cfg.Settings.Validate(); err != nil {
		return err
	}
	if err := n.nameService.SetResolver(cfg.Resolver); err != nil {
		return err
	}
	n.nameService.UpdateIfNewer(cfg.Cursor, cfg.Servers)
	n.front.SetMaxDescriptors(cfg.Sockets)
	if !reflect.DeepEqual(cfg.Settings, old.Settings) {
		n.applySettings(cfg.Settings)
	}
	for name, unchanged := range map[string]bool{
		"name":                             cfg.Name == old.Name,
		"listen":                           cfg.Listen == old.Listen,
		"mgmt":                             cfg.Mgmt == old.Mgmt,
		"seed":                             cfg.Seed == old.Seed,
		"settings.limits.connectTimeoutMs": cfg.ConnectTimeout == old.ConnectTimeout,
		"settings.report.fields":           cfg.FreeField == old.FreeField && cfg.TotalField == old.TotalField,
	} {
		if !unchanged {
			n.log.Warn().Str("event", "config_waits").Str("field", name).
				Msgf("configuration: the change of %s takes effect after a restart", name)
		}
	}
	if n.trace != nil {
		n.trace.RecordReload()
	}
	// Fields that need a restart keep their values in force, so that the next reload is compared with those.
	n.config.Resolver, n.config.MemoryMB, n.config.Sockets, n.config.Settings, n.config.keyTree =
		cfg.Resolver, cfg.MemoryMB, cfg.Sockets, cfg.Settings, cfg.keyTree
	n.log.Info().Str("event", "config_taken").
		Msgf("configuration read anew: name service %s, %d MB, %d sockets", cfg.Resolver, cfg.MemoryMB, cfg.Sockets)
	return nil
}

// applySettings puts validated settings in force in all subsystems, within one loop iteration.
func (n *Node) applySettings(settings threadglade.Settings) {
	if err := n.Router.Change(settings); err != nil {
		return
	}
	n.front.UpdateSettings(settings)
	if n.callControl != nil {
		n.callControl.SetClasses(settings.Classes)
	}
	if n.ledger != nil {
		n.ledger.SetClasses(ledger.ConvertClasses(settings.Classes))
	}
	if n.trace != nil {
		n.trace.SetClasses(trace.ConvertClasses(settings.Classes))
	}
	var names []string
	for _, class := range settings.Classes {
		names = append(names, class.Name)
	}
	n.log.Info().Str("event", "settings_taken").Strs("classes", names).Int("attempts", settings.Limits.MaxAttempts).
		Msgf("settings in force: %d classes, at most %d attempts", len(names), settings.Limits.MaxAttempts)
}

// reloadConfig reads the configuration and the product's settings again and applies them on the loop. An error is
// logged, and the old configuration stays. It runs off the loop's goroutine.
func (n *Node) reloadConfig() {
	cfg, err := LoadConfig()
	var apply func()
	if err == nil && n.Reload != nil {
		apply, err = n.Reload()
	}
	n.Loop.Post(func() {
		if err == nil {
			if err = n.Apply(cfg); err == nil {
				ApplyProcessLimits(cfg)
			}
		}
		if err != nil {
			n.log.Error().Str("event", "config_bad").Msgf("configuration rejected, keeping the current one: %v", err)
			return
		}
		if apply != nil {
			apply()
		}
	})
}

// Counters formats all counters on one line.
func (n *Node) Counters() string {
	front, trunk, nameService := n.front.Counters(), n.trunk.Counters(), n.nameService.Counters()
	text := fmt.Sprintf("%v front=%+v trunk=%+v names=%+v", n.Router.Counters(), front, trunk, nameService)
	if n.management != nil {
		text += fmt.Sprintf(" mgmt=%+v", n.management.Counters())
	}
	if n.handover.socketPath != "" {
		text += fmt.Sprintf(" handover=%+v releases=%+v", n.handover.counters(), n.releases.count)
	}
	if n.callControl != nil {
		text += fmt.Sprintf(" callcontrol=%+v", n.callControl.Counters())
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

// UpstreamCounters returns the counters of the trunk to the case servers and of the name service client.
func (n *Node) UpstreamCounters() (sip.TrunkCounters, registry.Counters) {
	return n.trunk.Counters(), n.nameService.Counters()
}

// ApplyProcessLimits restricts the process to one core and sets the soft memory limit of the Go runtime.
func ApplyProcessLimits(c Config) {
	runtime.GOMAXPROCS(1)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(c.MemoryMB) * (1 << 20)))
	}
}

// HandleSignals starts a goroutine that handles signals: SIGTERM and SIGINT shut the node down, SIGHUP reloads the
// configuration, SIGUSR1 logs the counters and, if tracing is on, SIGUSR2 writes the trace records in memory to a
// file.
func (n *Node) HandleSignals() {
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
				n.Loop.Post(func() { n.trace.DumpFlight("SIGUSR2") })
			case s == syscall.SIGHUP:
				n.reloadConfig()
			case !ending:
				ending = true
				n.Loop.Post(n.Shutdown)
			}
		}
	}()
}

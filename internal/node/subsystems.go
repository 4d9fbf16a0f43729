package node

import (
	"fmt"
	"io"
	"maps"
	"os/signal"
	"reflect"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/callcontrol"
	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/fleetio"
	"threadglade.example/threadglade/internal/ledgerio"
	"threadglade.example/threadglade/internal/settings"
	"threadglade.example/threadglade/internal/sip"
	"threadglade.example/threadglade/internal/traceio"
	"threadglade.example/threadglade/ledger"
	"threadglade.example/threadglade/quota"
	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/takeover"
	"threadglade.example/threadglade/trace"
	"threadglade.example/threadglade/verdict"
)

// ledgerTickInterval is the interval at which the ledger checks whether a period is over.
const ledgerTickInterval = 250 * time.Millisecond

// ProductSettings are the product's own settings, from its settings file. A subsystem that they don't mention is off;
// the platform starts the process without a settings file.
type ProductSettings struct {
	LogLevel    zerolog.Level
	LogJSON     bool                // write logs as JSON
	CallControl *callcontrol.Config // nil if disabled
	Ledger      *ledgerio.Options   // nil if disabled
	Trace       *traceio.Options    // nil if disabled
	Fleet       *fleetio.Options    // nil if disabled
	Limits      []quota.Limit       // limits of the whole fleet; nil if disabled
}

// DefaultProductSettings returns the settings that apply without a settings file.
func DefaultProductSettings() ProductSettings { return ProductSettings{LogLevel: zerolog.InfoLevel} }

// LoadProductSettings reads the settings file for the router of the given name. The error names file, line and field.
func LoadProductSettings(path, router string) (ProductSettings, error) {
	s, err := settings.Load(path)
	if err != nil {
		return ProductSettings{}, err
	}
	return readProductSettings(s, router)
}

func readProductSettings(s *settings.Section, router string) (ProductSettings, error) {
	p := DefaultProductSettings()
	log := s.Sub("log")
	level, form := p.LogLevel.String(), "text"
	log.Choice("level", &level, "debug", "info", "warn", "error")
	log.Choice("form", &form, "text", "json")
	p.LogLevel, _ = zerolog.ParseLevel(level)
	p.LogJSON = form == "json"
	if sub := s.Sub("callcontrol"); sub != nil {
		c := callcontrol.Read(sub)
		p.CallControl = &c
	}
	if sub := s.Sub("ledger"); sub != nil {
		o := ledgerio.ReadSettings(sub, router)
		p.Ledger = &o
	}
	if sub := s.Sub("trace"); sub != nil {
		o := traceio.ReadOptions(sub)
		p.Trace = &o
	}
	if sub := s.Sub("fleet"); sub != nil {
		o := fleetio.ReadSettings(sub)
		if o.IsKeeper(router) && o.Dir == "" {
			sub.Errorf("directory", "is missing: %s is a keeper", router)
		}
		if router != "" && !o.Settings.IsListed(router) && len(o.Settings.Members) > 0 {
			sub.Errorf("members", "%q is not among them", router)
		}
		p.Fleet = &o
	}
	if sub := s.Sub("limits"); sub != nil {
		if p.Fleet == nil {
			sub.Errorf("", "fleet-wide limits require a (fleet ...) section")
		}
		p.Limits = append([]quota.Limit{}, fleetio.ReadLimits(sub)...)
	}
	if sub := s.Sub("takeover"); sub != nil {
		if p.Fleet == nil {
			sub.Errorf("", "takeover of calls in progress requires a (fleet ...) section")
		} else {
			p.Fleet.Takeover = fleetio.ReadTakeover(sub, p.Fleet)
		}
	}
	if sub := s.Sub("verdicts"); sub != nil {
		if p.Fleet == nil {
			sub.Errorf("", "verdicts of a fleet require a (fleet ...) section")
		} else {
			p.Fleet.Verdicts = fleetio.ReadVerdicts(sub, p.Fleet.Settings.ClockDrift)
		}
	}
	return p, s.Finish()
}

// Describe writes the settings, defaults included, in the syntax of the settings file.
func (p ProductSettings) Describe(w io.Writer) {
	form := "text"
	if p.LogJSON {
		form = "json"
	}
	fmt.Fprintf(w, "(threadglade\n  (log (level %s) (form %s))", p.LogLevel, form)
	quote := func(list []string) (text string) {
		for _, s := range list {
			text += fmt.Sprintf(" %q", s)
		}
		return text
	}
	if c := p.CallControl; c != nil {
		fmt.Fprintf(w, "\n  (callcontrol (listen %q) (origins%s) (trust-domain %q) (audience %q)\n"+
			"    (allowed-ids%s) (workload-api %q) (grace-ms %d) (sockets %d))",
			c.Listen, quote(c.Origins), c.TrustDomain, c.Audience, quote(c.AllowedIDs), c.WorkloadAPI, c.GraceMs, c.MaxSockets)
	}
	if o := p.Ledger; o != nil {
		when := "go-on"
		if o.RefuseUnbillable {
			when = "refuse"
		}
		ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
		fmt.Fprintf(w, "\n  (ledger (directory %q) (period %q) (grace %q) (unknown-after %q)\n"+
			"    (sync %q) (patience %q) (keep %q) (segment-kb %d) (when-unwritable %s)",
			o.Dir, ms(o.Settings.Length), ms(o.Settings.Grace), ms(o.Settings.UnknownTimeout),
			o.SyncInterval, o.DiskTimeout, o.Retention, o.MaxSegmentBytes>>10, when)
		if o.ExportDir != "" {
			fmt.Fprintf(w, " (export %q)", o.ExportDir)
		}
		tenants, networks := o.Tenants.Size()
		fmt.Fprintf(w, ")\n  ; %d tenants, %d networks, precedence %s\n",
			tenants, networks, strings.Join(o.Tenants.Precedence(), ", "))
	}
	if o := p.Trace; o != nil {
		fmt.Fprintf(w, "\n  (trace (block %q)", o.MaxBlockDelay)
		if o.Dir != "" {
			fmt.Fprintf(w, " (directory %q) (file-mb %d) (file-span %q) (total-mb %d)",
				o.Dir, o.FileBytes>>20, o.FileSpan, o.TotalBytes>>20)
		}
		if o.FlightSpan > 0 {
			fmt.Fprintf(w, "\n    (flight %q) (flight-records %d) (flight-directory %q)",
				o.FlightSpan, o.FlightRecords, o.FlightDir)
		}
		if o.FlightTrigger > 0 {
			fmt.Fprintf(w, " (trigger %d)", o.FlightTrigger)
		}
		fmt.Fprint(w, ")")
	}
	if o := p.Fleet; o != nil {
		o.Describe(w)
		if v := o.Verdicts; v != nil {
			fmt.Fprintf(w, "  (verdicts (quorum %d) (share-percent %.0f) (silence %q) (late %q) (hold %q)"+
				" (trial %q) (return %q))\n",
				v.Quorum, 100*v.MaxShare, v.MinResponseTimeout, v.LateThreshold, v.EvidenceTTL, v.ProbeInterval, v.RecoverySpread)
		}
	}
	if p.Fleet != nil && p.Fleet.Takeover != nil {
		t := p.Fleet.Takeover
		mode := "kept"
		if t.NoWait {
			mode = "fast"
		}
		fmt.Fprintf(w, "  (takeover (mode %s) (holders %d) (vouch %q) (patience %q) (remember %q) (wake %q)",
			mode, t.Replicas, t.GuaranteeTTL, t.ConfirmTimeout, t.EndTTL, t.ReclaimTimeout)
		if len(t.NoWaitClasses) > 0 {
			fmt.Fprintf(w, " (fast%s)", quote(slices.Sorted(maps.Keys(t.NoWaitClasses))))
		}
		fmt.Fprintln(w, ")")
	}
	for _, l := range p.Limits {
		fmt.Fprintf(w, "  ; limit %q: %s %g, cut off %s\n", l.Name, l.Kind, l.Max, l.CutOff)
	}
	fmt.Fprintln(w, ")")
}

// fleetDescriptorShare is the divisor of the file descriptors for the part that connections of the fleet's other
// processes may hold. Callers hold at most a third.
const fleetDescriptorShare = 4

// openFleet joins the fleet and connects it with the loop, the router and the ledger.
func (n *Node) openFleet() (err error) {
	if n.config.Product.Fleet.IsKeeper(n.config.Name) {
		// With the signal ignored, a write beyond the file size limit fails with an error: the keeper stops voting,
		// and the process goes on.
		signal.Ignore(syscall.SIGXFSZ)
	}
	cfg := fleetio.Config{
		Options:        *n.config.Product.Fleet,
		FS:             n.fileSystem(),
		Name:           n.config.Name,
		Member:         true,
		Wake:           n.Loop.Wake,
		Log:            n.log,
		Limits:         n.config.Product.Limits,
		OnColdShares:   n.setColdStartShares,
		SetRetryLender: n.setRetryBudget,
		OnAvoidance:    n.avoidServer,
		Now:            n.clock,
	}
	if !cfg.IsKeeper(cfg.Name) { // a keeper has connections of all members
		cfg.MaxConnections = n.config.Sockets / fleetDescriptorShare
	}
	if cfg.Takeover != nil {
		n.configureTakeover(&cfg)
	}
	n.fleet, err = fleetio.Open(cfg)
	if err == nil && n.fleet.HasTakeover() {
		n.Loop.SetAfterWait(func() { n.fleet.CheckOwnership(fleetio.Clock()) })
		if n.ledger != nil {
			n.Loop.SetOutputGate(n.fleet.WrapGate(n.ledger))
		} else {
			n.Loop.SetOutputGate(n.fleet.WrapGate(nil))
		}
	}
	if err == nil && n.fleet.HasLimits() {
		n.reportColdServers(n.config.Servers)
	}
	if err == nil && n.fleet.HasVerdicts() {
		n.reportMonitoredServers(n.config.Servers)
	}
	return err
}

// setColdStartShares sets the fraction of the load on recently started case servers that this router may send. Shares
// expire after ttl; defaultShare applies to servers without a share.
func (n *Node) setColdStartShares(shares []quota.ColdShare, ttl time.Duration, defaultShare float64) {
	n.Router.SetColdFraction(threadglade.ColdFraction{Fraction: defaultShare})
	for _, share := range shares {
		n.Router.SetColdFraction(threadglade.ColdFraction{
			Server:   share.ID,
			Started:  share.Started,
			Fraction: share.Share,
			Until:    n.clock() + ttl,
		})
	}
}

// setRetryBudget has the router ask borrow how many retry attempts it may make.
func (n *Node) setRetryBudget(borrow func(int) (int, bool)) {
	n.Router.UpdateRetryBudget(func(left int) threadglade.RetryBudget {
		borrowed, limited := borrow(left)
		return threadglade.RetryBudget{Limited: limited, Remaining: borrowed}
	})
}

// reportColdServers notifies the fleet of case servers that started recently and are still within their warm-up time.
func (n *Node) reportColdServers(servers []sip.Server) {
	var list []quota.Server
	now, warmUpTime := n.clock(), n.config.Settings.Rules.WarmUpTime
	for _, s := range servers {
		if warmUpLeft := s.Started + warmUpTime - now; s.Started > 0 && warmUpLeft > 0 {
			list = append(list, quota.Server{ID: s.ID, Started: s.Started, Warm: warmUpLeft})
		}
	}
	n.fleet.SetColdServers(list)
}

// avoidServer has the router avoid a server for the time ttl, on evidence that all routers of the fleet have
// collected.
func (n *Node) avoidServer(avoidance verdict.Avoidance, ttl time.Duration) {
	evidence := router.AvoidanceEvidence{Verdict: "fit"}
	if v := avoidance.Verdict; v != nil {
		evidence = router.AvoidanceEvidence{
			Verdict:        v.Kind.String(),
			Sources:        strings.Join(v.Sources, " "),
			Age:            v.Age,
			MissingAnswers: v.Bad,
			Routers:        v.Routers,
		}
		if v.Kind == verdict.Held {
			evidence.Sources = v.Reason
		}
	}
	n.Router.Avoid(threadglade.Avoidance{
		Server:  avoidance.Server,
		Started: avoidance.Started,
		Until:   n.clock() + ttl,
	}, evidence)
}

// reportMonitoredServers notifies the fleet which case servers are up and which classes they serve.
func (n *Node) reportMonitoredServers(servers []sip.Server) {
	var list []verdict.Server
	for _, s := range servers {
		if s.State != threadglade.Up {
			continue
		}
		server := verdict.Server{Key: verdict.Key{Server: s.ID, Started: s.Started}}
		for _, class := range n.config.Settings.Classes {
			if slices.Contains(class.Servers, s.Number) {
				server.Classes = append(server.Classes, class.Name)
			}
		}
		list = append(list, server)
	}
	n.fleet.SetServers(list)
}

// verdictObserver reports the start and the result of attempts to the fleet's failure detection.
type verdictObserver struct{ n *Node }

// Observe implements router.Observer.
func (o verdictObserver) Observe(e router.Event) {
	f := o.n.fleet
	if f == nil { // the fleet is opened last
		return
	}
	switch e.Kind {
	case router.Sent:
		f.AttemptSent(e.At, e.Slot, e.Server)
	case router.Established:
		f.AttemptAnswered(e.At, e.Slot)
	case router.AttemptEnded:
		f.AttemptEnded(e.At, e.Slot, verdict.EndFromOutcome(e.Outcome, e.Cause))
	}
}

// takeoverObserver replicates the state of owned calls to the replica holders.
type takeoverObserver struct{ n *Node }

// Observe implements router.Observer.
func (o takeoverObserver) Observe(e router.Event) {
	if f := o.n.fleet; f != nil {
		f.Recorder().Observe(e)
	}
}

// configureTakeover sets the callbacks by which the fleet hands over this router's calls and takes over those of
// others.
func (n *Node) configureTakeover(c *fleetio.Config) {
	if n.ledger != nil {
		c.OpenCalls = n.ledger.SuspendOpenCalls()
	}
	c.CallHandler = takeoverHandler{n}
	if o := n.config.Product.Ledger; o != nil {
		c.Tenant = func(e router.Event) string { return o.Tenants.Tenant(e.Tenant, e.Identity, e.Caller, e.Number) }
	}
	c.SetupTarget = func(class string) time.Duration {
		for i := range n.config.Settings.Classes {
			if n.config.Settings.Classes[i].Name == class {
				return n.config.Settings.Classes[i].Aim
			}
		}
		return 0
	}
}

// takeoverHandler implements takeover.CallHandler for the node.
type takeoverHandler struct{ n *Node }

// RelinquishAll implements takeover.CallHandler. It also closes the connections to the case servers, unread.
func (h takeoverHandler) RelinquishAll() []string {
	established := h.n.Router.RelinquishAll()
	h.n.trunk.RelinquishAll()
	return established
}

// RelinquishEstablished implements takeover.CallHandler. Connections to the case servers stay open.
func (h takeoverHandler) RelinquishEstablished() []string {
	established := h.n.Router.RelinquishEstablished()
	h.n.trunk.RelinquishEstablished()
	return established
}

// RetractEnds implements takeover.CallHandler. It withdraws the unsent releases and answers of calls that another
// router owns from now on. A caller whose call was about to be reported as established is notified that it failed,
// and the call is released.
func (h takeoverHandler) RetractEnds() (retracted []takeover.End) {
	failed := map[string]bool{}
	for _, item := range h.n.Loop.RecallAll() {
		id, outcome, isAnswer, fromFront := h.n.front.HandleRecalled(item)
		if !fromFront { // a set-up, which was abandoned with its connection
			continue
		}
		h.n.Router.Forget(id)
		switch {
		case isAnswer:
			failed[id] = true
			h.n.onUnknownCallerRelease(id)
			retracted = append(retracted, takeover.End{Call: id, Outcome: uint8(threadglade.Cancelled), ByCaller: true})
		case !failed[id]:
			retracted = append(retracted, takeover.End{Call: id, Outcome: uint8(outcome)})
		}
	}
	return retracted
}

// Adopt implements takeover.CallHandler: it adds an established call to the ledger and cancels any other at its
// server.
func (h takeoverHandler) Adopt(t takeover.Call) bool {
	if !t.Established { // its caller no longer waits for the answer
		h.n.trunk.CancelAndRelease(t.Server, t.ID, "0")
		return false
	}
	h.n.transfer.remember(callOffer{Call: t})
	return h.n.ledger == nil || h.n.ledger.Adopt(ledger.TakenOverCall{
		ID:            t.ID,
		Tenant:        t.Tenant,
		Class:         t.Class,
		Server:        t.Server,
		Attempt:       t.Attempt,
		Retry:         t.Retry,
		InTime:        t.InTime,
		EstablishedAt: t.EstablishedAt,
	})
}

// Drop implements takeover.CallHandler: it removes a call that is in another router's ledger from this one's.
func (h takeoverHandler) Drop(id string) {
	h.n.transfer.forget(id)
	if h.n.ledger != nil {
		h.n.ledger.RemoveCall(id)
	}
}

// EndCall implements takeover.CallHandler. For a call that was taken over it closes the ledger entry and notifies the
// caller unless the caller released it.
func (h takeoverHandler) EndCall(e takeover.End, taken bool) {
	outcome := threadglade.Outcome(e.Outcome)
	if !taken {
		h.n.trunk.EndCall(e.Call, outcome, e.ByCaller)
		return
	}
	if h.n.ledger != nil {
		h.n.ledger.Observe(router.Event{
			Kind:    router.UnknownServerRelease,
			At:      h.n.clock(),
			Call:    e.Call,
			Outcome: outcome,
		})
	}
	if !e.ByCaller {
		h.n.transfer.releaseToCaller(e.Call, outcome)
	}
	h.n.transfer.forget(e.Call)
}

// NotifyCaller implements takeover.CallHandler.
func (h takeoverHandler) NotifyCaller(e takeover.End) {
	h.n.front.ReleaseToCaller(e.Call, threadglade.Outcome(e.Outcome))
}

// RequestReports implements takeover.CallHandler. It reconnects to all case servers: on a new connection a server
// reports again what an earlier process didn't receive.
func (h takeoverHandler) RequestReports() { h.n.trunk.Reconnect() }

// MarkTaken implements takeover.CallHandler: it removes calls that another router has taken over from the ledger.
func (h takeoverHandler) MarkTaken(ids []string) {
	for _, id := range ids {
		h.Drop(id)
	}
}

// ReclaimRemaining implements takeover.CallHandler: it resumes the ledger for the calls of an earlier process that no
// router has taken over.
func (h takeoverHandler) ReclaimRemaining() {
	if h.n.ledger != nil {
		h.n.ledger.ResumeOpenCalls(nil)
	}
}

// reportPendingEnds passes the fleet the releases that could not be sent to callers, for another router to send.
func (n *Node) reportPendingEnds() {
	var list []takeover.End
	for _, o := range n.front.PendingReleases() {
		list = append(list, takeover.End{Call: o.ID, Outcome: uint8(o.Outcome), NotifyCaller: true})
	}
	n.fleet.SetPendingEnds(list)
}

// limiter admits requests against the router's shares of the fleet's limits, before the router decides about them,
// and returns the capacity of calls that are over.
type limiter struct {
	n    *Node
	slot uint32                                                   // of the last request that arrived
	next func(router.Request) (threadglade.Reason, time.Duration) // asked first; nil if there is none
}

// Observe implements router.Observer.
func (l *limiter) Observe(e router.Event) {
	switch e.Kind {
	case router.Arrived:
		l.slot = e.Slot
	case router.Closed:
		l.n.fleet.Release(e.Slot)
	}
}

// admit implements router.Config.Admit.
func (l *limiter) admit(request router.Request) (threadglade.Reason, time.Duration) {
	if l.next != nil {
		if reason, retryAfter := l.next(request); reason != threadglade.NoReason {
			return reason, retryAfter
		}
	}
	tenant := request.Tenant
	if o := l.n.config.Product.Ledger; o != nil {
		tenant = o.Tenants.Tenant(request.Tenant, request.Identity, request.Caller, request.Number)
	}
	if ok, _, retryAfter := l.n.fleet.Admit(l.slot, request.Class, tenant, request.Number, request.Retry); !ok {
		return threadglade.OverLimit, retryAfter
	}
	return threadglade.NoReason, 0
}

// openLimits has the router check the fleet's limits before it admits a request.
func (n *Node) openLimits(routerConfig *router.Config) {
	l := &limiter{n: n, next: routerConfig.Admit}
	routerConfig.Observer, routerConfig.Admit = joinObservers(routerConfig.Observer, l), l.admit
}

// openLedger opens the ledger and registers it as observer of the router and as output gate of the loop.
func (n *Node) openLedger(routerConfig *router.Config) (err error) {
	n.ledger, err = ledgerio.Open(ledgerio.Config{
		Options:   *n.config.Product.Ledger,
		FS:        n.fileSystem(),
		Classes:   ledger.ConvertClasses(n.config.Settings.Classes),
		WallClock: func() int64 { return time.Now().UnixMilli() },
		Clock:     n.clock,
		WakeLoop:  n.Loop.Wake,
		Log:       n.log,
	})
	if err != nil {
		return err
	}
	routerConfig.Observer = joinObservers(routerConfig.Observer, n.ledger)
	if n.config.Product.Ledger.RefuseUnbillable {
		routerConfig.Admit = n.ledger.Admit
	}
	n.Loop.SetOutputGate(n.ledger)
	return nil
}

// openTrace starts a trace recorder and registers it as observer of the router.
func (n *Node) openTrace(routerConfig *router.Config) (err error) {
	cfg := traceio.Config{
		Options: *n.config.Product.Trace,
		FS:      n.fileSystem(),
		Router:  n.config.Name,
		Build:   buildVersion(),
		Classes: trace.ConvertClasses(n.config.Settings.Classes),
		Clock:   n.clock,
		Log:     n.log,
	}
	if n.config.Product.Ledger != nil {
		cfg.Tenants = n.config.Product.Ledger.Tenants
	}
	if n.trace, err = traceio.NewRecorder(cfg); err == nil {
		routerConfig.Observer = joinObservers(routerConfig.Observer, n.trace)
	}
	return err
}

func (n *Node) fileSystem() durable.FS {
	if n.config.FS == nil {
		return durable.OS{}
	}
	return n.config.FS
}

// buildVersion returns the version of the main module, which trace files name, or "" if unknown.
func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return ""
}

// joinObservers returns an observer that notifies first, which may be nil, and then second.
func joinObservers(first, second router.Observer) router.Observer {
	if first == nil {
		return second
	}
	return observers{first, second}
}

type observers [2]router.Observer

// Observe implements router.Observer.
func (o observers) Observe(e router.Event) {
	o[0].Observe(e)
	o[1].Observe(e)
}

// tickLedger has the ledger close the periods that are over, and schedules its next call.
func (n *Node) tickLedger() {
	n.ledger.Tick()
	n.Router.Schedule(n.clock()+ledgerTickInterval, n.tickLedger)
}

// ApplyProductSettings applies settings that were read again, as far as a running router can: those of the call
// control front and the tenants' tables. Changes that need a restart are logged.
func (n *Node) ApplyProductSettings(p ProductSettings) {
	old := n.config.Product
	warnRestartNeeded := func(section string) {
		n.log.Warn().Str("event", "config_waits").Str("field", section).
			Msgf("configuration: the change of %s takes effect after a restart", section)
	}
	if p.LogLevel != old.LogLevel || p.LogJSON != old.LogJSON {
		warnRestartNeeded("log")
	}
	switch {
	case (p.CallControl == nil) != (old.CallControl == nil):
		warnRestartNeeded("callcontrol")
	case p.CallControl != nil && n.callControl != nil:
		n.callControl.Reconfigure(*p.CallControl)
	}
	switch {
	case (p.Ledger == nil) != (old.Ledger == nil):
		warnRestartNeeded("ledger")
	case p.Ledger != nil:
		n.ledger.SetTenants(p.Ledger.Tenants)
		if n.trace != nil {
			n.trace.SetTenants(p.Ledger.Tenants)
		}
		tenants, networks := p.Ledger.Tenants.Size()
		n.log.Info().Str("event", "ledger_tenants").Msgf("ledger: %d tenants, %d networks", tenants, networks)
		updated, previous := *p.Ledger, *old.Ledger
		updated.Tenants, previous.Tenants = nil, nil
		if updated != previous {
			warnRestartNeeded("ledger")
		}
	}
	if !reflect.DeepEqual(p.Fleet, old.Fleet) {
		warnRestartNeeded("fleet")
	}
	if !reflect.DeepEqual(p.Limits, old.Limits) {
		warnRestartNeeded("limits")
	}
	if (p.Trace == nil) != (old.Trace == nil) || p.Trace != nil && *p.Trace != *old.Trace {
		warnRestartNeeded("trace")
	}
}

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

// ledgerEvery is how often the ledger looks whether a period is over.
const ledgerEvery = 250 * time.Millisecond

// Product is the product's own settings. What they do not mention is off; the platform's run line names none.
type Product struct {
	Level       zerolog.Level
	JSON        bool                // logs are JSON
	CallControl *callcontrol.Config // nil: off
	Ledger      *ledgerio.Options   // nil: off
	Trace       *traceio.Options    // nil: off
	Fleet       *fleetio.Options    // nil: off
	Limits      []quota.Limit       // of the whole fleet; nil: off
}

// DefaultProduct is what holds without a settings file.
func DefaultProduct() Product { return Product{Level: zerolog.InfoLevel} }

// LoadProduct reads the settings file of a router of that name. The error names file, line and field.
func LoadProduct(path, router string) (Product, error) {
	s, err := settings.Load(path)
	if err != nil {
		return Product{}, err
	}
	return readProduct(s, router)
}

func readProduct(s *settings.Section, router string) (Product, error) {
	p := DefaultProduct()
	log := s.Sub("log")
	level, form := p.Level.String(), "text"
	log.Choice("level", &level, "debug", "info", "warn", "error")
	log.Choice("form", &form, "text", "json")
	p.Level, _ = zerolog.ParseLevel(level)
	p.JSON = form == "json"
	if sub := s.Sub("callcontrol"); sub != nil {
		c := callcontrol.Read(sub)
		p.CallControl = &c
	}
	if sub := s.Sub("ledger"); sub != nil {
		o := ledgerio.Read(sub, router)
		p.Ledger = &o
	}
	if sub := s.Sub("trace"); sub != nil {
		o := traceio.Read(sub)
		p.Trace = &o
	}
	if sub := s.Sub("fleet"); sub != nil {
		o := fleetio.Read(sub)
		if o.Keeper(router) && o.Dir == "" {
			sub.Errorf("directory", "is missing: %s is a keeper", router)
		}
		if router != "" && !o.Terms.IsListed(router) && len(o.Terms.Members) > 0 {
			sub.Errorf("members", "%q is not among them", router)
		}
		p.Fleet = &o
	}
	if sub := s.Sub("limits"); sub != nil {
		if p.Fleet == nil {
			sub.Errorf("", "limits of a fleet want a (fleet ...) section")
		}
		p.Limits = append([]quota.Limit{}, fleetio.ReadLimits(sub)...)
	}
	if sub := s.Sub("takeover"); sub != nil {
		if p.Fleet == nil {
			sub.Errorf("", "work in hand is held in a fleet: a (fleet ...) section is wanted")
		} else {
			p.Fleet.Work = fleetio.ReadTakeover(sub, p.Fleet)
		}
	}
	if sub := s.Sub("verdicts"); sub != nil {
		if p.Fleet == nil {
			sub.Errorf("", "verdicts of a fleet want a (fleet ...) section")
		} else {
			p.Fleet.Verdicts = fleetio.ReadVerdicts(sub, p.Fleet.Terms.ClockDrift)
		}
	}
	return p, s.Finish()
}

// Describe prints the settings as they are in force, in the form of the file.
func (p Product) Describe(w io.Writer) {
	form := "text"
	if p.JSON {
		form = "json"
	}
	fmt.Fprintf(w, "(threadglade\n  (log (level %s) (form %s))", p.Level, form)
	quote := func(list []string) (text string) {
		for _, s := range list {
			text += fmt.Sprintf(" %q", s)
		}
		return text
	}
	if c := p.CallControl; c != nil {
		fmt.Fprintf(w, "\n  (callcontrol (listen %q) (origins%s) (trust-domain %q) (audience %q)\n    (allowed-ids%s) (workload-api %q) (grace-ms %d) (sockets %d))",
			c.Listen, quote(c.Origins), c.TrustDomain, c.Audience, quote(c.Allowed), c.WorkloadAPI, c.GraceMs, c.Sockets)
	}
	if o := p.Ledger; o != nil {
		when := "go-on"
		if o.Refuse {
			when = "refuse"
		}
		ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
		fmt.Fprintf(w, "\n  (ledger (directory %q) (period %q) (grace %q) (unknown-after %q)\n    (sync %q) (patience %q) (keep %q) (segment-kb %d) (when-unwritable %s)",
			o.Dir, ms(o.Terms.Length), ms(o.Terms.Grace), ms(o.Terms.UnknownAfter), o.Sync, o.Patience, o.Keep, o.Roll>>10, when)
		if o.Export != "" {
			fmt.Fprintf(w, " (export %q)", o.Export)
		}
		tenants, networks := o.Tenants.Size()
		fmt.Fprintf(w, ")\n  ; %d tenants, %d networks, precedence %s\n", tenants, networks, strings.Join(o.Tenants.Precedence(), ", "))
	}
	if o := p.Trace; o != nil {
		fmt.Fprintf(w, "\n  (trace (block %q)", o.Block)
		if o.Dir != "" {
			fmt.Fprintf(w, " (directory %q) (file-mb %d) (file-span %q) (total-mb %d)", o.Dir, o.FileBytes>>20, o.FileSpan, o.Total>>20)
		}
		if o.Flight > 0 {
			fmt.Fprintf(w, "\n    (flight %q) (flight-records %d) (flight-directory %q)", o.Flight, o.Records, o.FlightDir)
		}
		if o.Trigger > 0 {
			fmt.Fprintf(w, " (trigger %d)", o.Trigger)
		}
		fmt.Fprint(w, ")")
	}
	if o := p.Fleet; o != nil {
		o.Describe(w)
		if v := o.Verdicts; v != nil {
			fmt.Fprintf(w, "  (verdicts (quorum %d) (share-percent %.0f) (silence %q) (late %q) (hold %q) (trial %q) (return %q))\n", v.Quorum, 100*v.MaxShare, v.MinResponseTimeout, v.LateThreshold, v.EvidenceTTL, v.ProbeInterval, v.RecoverySpread)
		}
	}
	if p.Fleet != nil && p.Fleet.Work != nil {
		t := p.Fleet.Work
		mode := "kept"
		if t.NoWait {
			mode = "fast"
		}
		fmt.Fprintf(w, "  (takeover (mode %s) (holders %d) (vouch %q) (patience %q) (remember %q) (wake %q)", mode, t.Replicas, t.GuaranteeTTL, t.ConfirmTimeout, t.EndTTL, t.ReclaimTimeout)
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

// openFleet joins the router to its fleet.
func (n *Node) openFleet() (err error) {
	if n.config.Product.Fleet.Keeper(n.config.Name) {
		signal.Ignore(syscall.SIGXFSZ) // a limit on files is an error of the write, which stops the vote and not the process
	}
	c := fleetio.Config{Options: *n.config.Product.Fleet, FS: n.files(), Name: n.config.Name, Member: true, Wake: n.Loop.Wake, Log: n.log,
		Limits: n.config.Product.Limits, Parts: n.parts, Further: n.further, Care: n.care, Now: n.clock}
	if c.Work != nil {
		n.takeover(&c)
	}
	n.fleet, err = fleetio.Open(c)
	if err == nil && n.fleet.Works() {
		n.Loop.SetAfterWait(func() { n.fleet.LookAtWork(fleetio.Clock()) })
		if n.ledger != nil {
			n.Loop.SetOutputGate(n.fleet.Hold(n.ledger))
		} else {
			n.Loop.SetOutputGate(n.fleet.Hold(nil))
		}
	}
	if err == nil && n.fleet.Limited() {
		n.cold(n.config.Servers)
	}
	if err == nil && n.fleet.Watches() {
		n.watched(n.config.Servers)
	}
	return err
}

// parts tells the decisions what this router may send of what case servers that have just started may be sent.
func (n *Node) parts(parts []quota.ColdShare, hold time.Duration, alone float64) {
	n.Router.ColdPart(threadglade.ColdPart{Fraction: alone})
	for _, p := range parts {
		n.Router.ColdPart(threadglade.ColdPart{Server: p.ID, Started: p.Started, Fraction: p.Share, Until: n.clock() + hold})
	}
}

// further has the decisions told how many further attempts they may make.
func (n *Node) further(lend func(int) (int, bool)) {
	n.Router.UpdateRetryBudget(func(left int) threadglade.Further {
		lent, limited := lend(left)
		return threadglade.Further{Limited: limited, Remaining: lent}
	})
}

// cold tells the fleet which case servers have just started.
func (n *Node) cold(servers []sip.Server) {
	var list []quota.Server
	now, warm := n.clock(), n.config.Settings.Rules.WarmUpTime
	for _, s := range servers {
		if left := s.Started + warm - now; s.Started > 0 && left > 0 {
			list = append(list, quota.Server{ID: s.ID, Started: s.Started, Warm: left})
		}
	}
	n.fleet.Cold(list)
}

// care has the decisions leave a server alone for what all routers know of it.
func (n *Node) care(c verdict.Avoidance, hold time.Duration) {
	word := router.AvoidanceEvidence{Verdict: "fit"}
	if v := c.Verdict; v != nil {
		word = router.AvoidanceEvidence{Verdict: v.Kind.String(), Sources: strings.Join(v.Sources, " "), Age: v.Age, MissingAnswers: v.Bad, Routers: v.Routers}
		if v.Kind == verdict.Held {
			word.Sources = v.Reason
		}
	}
	n.Router.Avoid(threadglade.Care{Server: c.Server, Started: c.Started, Until: n.clock() + hold}, word)
}

// watched tells the fleet which case servers are up, and what they may take.
func (n *Node) watched(servers []sip.Server) {
	var list []verdict.Server
	for _, s := range servers {
		if s.State != threadglade.Up {
			continue
		}
		one := verdict.Server{Key: verdict.Key{Server: s.ID, Started: s.Started}}
		for _, class := range n.config.Settings.Classes {
			if slices.Contains(class.Servers, s.Number) {
				one.Classes = append(one.Classes, class.Name)
			}
		}
		list = append(list, one)
	}
	n.fleet.Listed(list)
}

// watcher has the fleet see what becomes of attempts.
type watcher struct{ n *Node }

// Observe implements router.Observer.
func (w watcher) Observe(e router.Event) {
	f := w.n.fleet
	if f == nil { // not open yet
		return
	}
	switch e.Kind {
	case router.Sent:
		f.Sent(e.At, e.Slot, e.Server)
	case router.Established:
		f.Answered(e.At, e.Slot)
	case router.AttemptEnded:
		f.AttemptEnded(e.At, e.Slot, verdict.EndFromOutcome(e.Outcome, e.Cause))
	}
}

// giver has others hold what is in hand.
type giver struct{ n *Node }

// Observe implements router.Observer.
func (g giver) Observe(e router.Event) {
	if f := g.n.fleet; f != nil {
		f.Giver().Observe(e)
	}
}

// takeover joins what is in hand to the fleet: what is let go, and what is taken.
func (n *Node) takeover(c *fleetio.Config) {
	if n.ledger != nil {
		c.Open = n.ledger.Sleep()
	}
	c.Desk = desk{n}
	if o := n.config.Product.Ledger; o != nil {
		c.Tenant = func(e router.Event) string { return o.Tenants.Tenant(e.Tenant, e.Identity, e.Caller, e.Number) }
	}
	c.Aim = func(class string) time.Duration {
		for i := range n.config.Settings.Classes {
			if n.config.Settings.Classes[i].Name == class {
				return n.config.Settings.Classes[i].Aim
			}
		}
		return 0
	}
}

// desk is the node as takeover's Actor knows it.
type desk struct{ n *Node }

func (d desk) RelinquishAll() []string {
	standing := d.n.Router.RelinquishAll()
	d.n.trunk.RelinquishAll()
	return standing
}

func (d desk) RelinquishEstablished() []string {
	standing := d.n.Router.RelinquishEstablished()
	d.n.trunk.RelinquishEstablished()
	return standing
}

// Unsay takes back what waits to be told of calls that are another's from now on. Whoever was to hear that a call stands hears that it failed, and the call is released.
func (d desk) RetractEnds() (unsaid []takeover.End) {
	failed := map[string]bool{}
	for _, what := range d.n.Loop.RecallAll() {
		id, how, answer, mine := d.n.front.HandleRecalled(what)
		if !mine { // a set-up: it was given up with its connection
			continue
		}
		d.n.Router.Forget(id)
		switch {
		case answer:
			failed[id] = true
			d.n.stray(id)
			unsaid = append(unsaid, takeover.End{Call: id, Outcome: uint8(threadglade.Cancelled), ByCaller: true})
		case !failed[id]:
			unsaid = append(unsaid, takeover.End{Call: id, Outcome: uint8(how)})
		}
	}
	return unsaid
}

func (d desk) Adopt(t takeover.Call) bool {
	if !t.Established { // nobody waits for its answer any more
		d.n.trunk.CancelAndRelease(t.Server, t.ID, "0")
		return false
	}
	return d.n.ledger == nil || d.n.ledger.Adopt(ledger.Taken{ID: t.ID, Tenant: t.Tenant, Class: t.Class, Server: t.Server, Attempt: t.Attempt, Retry: t.Retry, InTime: t.InTime, Stood: t.EstablishedAt})
}

func (d desk) Drop(id string) {
	if d.n.ledger != nil {
		d.n.ledger.Drop(id)
	}
}

func (d desk) EndCall(e takeover.End, taken bool) {
	how := threadglade.Outcome(e.Outcome)
	if !taken {
		d.n.trunk.EndCall(e.Call, how, e.ByCaller)
		return
	}
	if d.n.ledger != nil {
		d.n.ledger.Observe(router.Event{Kind: router.UnknownServerRelease, At: d.n.clock(), Call: e.Call, Outcome: how})
	}
	if !e.ByCaller {
		d.n.front.ReleaseToCaller(e.Call, how)
	}
}

func (d desk) NotifyCaller(e takeover.End) {
	d.n.front.ReleaseToCaller(e.Call, threadglade.Outcome(e.Outcome))
}

func (d desk) RequestReports() { d.n.trunk.Reconnect() }

func (d desk) MarkTaken(ids []string) {
	for _, id := range ids {
		d.Drop(id)
	}
}

func (d desk) ReclaimRemaining() {
	if d.n.ledger != nil {
		d.n.ledger.Wake(nil)
	}
}

// owe names the callers that could not be told of their calls' ends.
func (n *Node) owe() {
	var list []takeover.End
	for _, o := range n.front.PendingReleases() {
		list = append(list, takeover.End{Call: o.ID, Outcome: uint8(o.Outcome), NotifyCaller: true})
	}
	n.fleet.Owe(list)
}

// limiter stands before the decisions where the fleet has limits: it asks the router's own shares, and hears when calls are over.
type limiter struct {
	n    *Node
	slot uint32 // of the request that has arrived last
	then func(router.Request) (threadglade.Reason, time.Duration)
}

// Observe implements router.Observer.
func (l *limiter) Observe(e router.Event) {
	switch e.Kind {
	case router.Arrived:
		l.slot = e.Slot
	case router.Closed:
		l.n.fleet.Over(e.Slot)
	}
}

func (l *limiter) admit(req router.Request) (threadglade.Reason, time.Duration) {
	if l.then != nil {
		if why, after := l.then(req); why != threadglade.NoReason {
			return why, after
		}
	}
	tenant := req.Tenant
	if o := l.n.config.Product.Ledger; o != nil {
		tenant = o.Tenants.Tenant(req.Tenant, req.Identity, req.Caller, req.Number)
	}
	if ok, _, after := l.n.fleet.Admit(l.slot, req.Class, tenant, req.Number, req.Retry); !ok {
		return threadglade.OverLimit, after
	}
	return threadglade.NoReason, 0
}

// openLimits puts the fleet's limits before the router.
func (n *Node) openLimits(rc *router.Config) {
	l := &limiter{n: n, then: rc.Admit}
	rc.Observer, rc.Admit = observe(rc.Observer, l), l.admit
}

// openLedger opens the ledger and puts it before the router and the loop.
func (n *Node) openLedger(rc *router.Config) (err error) {
	n.ledger, err = ledgerio.Open(ledgerio.Config{Options: *n.config.Product.Ledger, FS: n.files(), Classes: ledger.Classes(n.config.Settings.Classes),
		Wall: func() int64 { return time.Now().UnixMilli() }, Clock: n.clock, Nudge: n.Loop.Wake, Log: n.log})
	if err != nil {
		return err
	}
	rc.Observer = observe(rc.Observer, n.ledger)
	if n.config.Product.Ledger.Refuse {
		rc.Admit = n.ledger.Admit
	}
	n.Loop.SetOutputGate(n.ledger)
	return nil
}

// openTrace has a recorder hear the router.
func (n *Node) openTrace(rc *router.Config) (err error) {
	c := traceio.Config{Options: *n.config.Product.Trace, FS: n.files(), Router: n.config.Name, Build: build(), Classes: trace.Classes(n.config.Settings.Classes),
		Clock: n.clock, Log: n.log}
	if n.config.Product.Ledger != nil {
		c.Tenants = n.config.Product.Ledger.Tenants
	}
	if n.trace, err = traceio.Record(c); err == nil {
		rc.Observer = observe(rc.Observer, n.trace)
	}
	return err
}

func (n *Node) files() durable.FS {
	if n.config.FS == nil {
		return durable.OS{}
	}
	return n.config.FS
}

// build names the program in files.
func build() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return ""
}

// observe joins observers.
func observe(one, other router.Observer) router.Observer {
	if one == nil {
		return other
	}
	return observers{one, other}
}

type observers [2]router.Observer

func (o observers) Observe(e router.Event) {
	o[0].Observe(e)
	o[1].Observe(e)
}

// tickLedger has the ledger close what is due.
func (n *Node) tickLedger() {
	n.ledger.Tick()
	n.Router.Schedule(n.clock()+ledgerEvery, n.tickLedger)
}

// ApplyProduct puts settings that were read anew in force, as far as a running router can: who is let in, the tenants' tables.
// What waits for a restart is named in the log.
func (n *Node) ApplyProduct(p Product) {
	old := n.config.Product
	waits := func(what string) {
		n.log.Warn().Str("event", "config_waits").Str("field", what).Msgf("configuration: %s has changed, which takes a restart", what)
	}
	if p.Level != old.Level || p.JSON != old.JSON {
		waits("log")
	}
	switch {
	case (p.CallControl == nil) != (old.CallControl == nil):
		waits("callcontrol")
	case p.CallControl != nil && n.second != nil:
		n.second.Reconfigure(*p.CallControl)
	}
	switch {
	case (p.Ledger == nil) != (old.Ledger == nil):
		waits("ledger")
	case p.Ledger != nil:
		n.ledger.SetTenants(p.Ledger.Tenants)
		if n.trace != nil {
			n.trace.SetTenants(p.Ledger.Tenants)
		}
		tenants, networks := p.Ledger.Tenants.Size()
		n.log.Info().Str("event", "ledger_tenants").Msgf("ledger: %d tenants, %d networks", tenants, networks)
		now, was := *p.Ledger, *old.Ledger
		now.Tenants, was.Tenants = nil, nil
		if now != was {
			waits("ledger")
		}
	}
	if !reflect.DeepEqual(p.Fleet, old.Fleet) {
		waits("fleet")
	}
	if !reflect.DeepEqual(p.Limits, old.Limits) {
		waits("limits")
	}
	if (p.Trace == nil) != (old.Trace == nil) || p.Trace != nil && *p.Trace != *old.Trace {
		waits("trace")
	}
}

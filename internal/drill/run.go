package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/fleetio"
	"threadglade.example/threadglade/internal/standin"
)

const (
	formTimeout      = 20 * time.Second // until a keeper leads and every router acts
	exitTimeout      = 3 * time.Second  // from SIGTERM until a process is killed
	maxReportedLogs  = 6                // processes whose log is part of the error if a fleet does not form
	fleetName        = "drill"
	serverListSerial = 7
)

// Options are the options of a run.
type Options struct {
	Program string                           // path of the program that all processes run
	Env     []string                         // added to the processes' environment
	Dir     string                           // for the processes' logs and files and for the result
	Logf    func(format string, args ...any) // reports progress; may be nil
}

// drillRun is the state of one run.
type drillRun struct {
	heldSince       map[string]time.Duration // by case server: when the operator's command that holds it ended
	plan            *Plan
	options         Options
	start           time.Time     // of the observer's clock
	formedAt        time.Duration // since start; faults are timed from here
	observer        *observer
	nameServices    map[string]*standin.NameService // by the childProcess.id of the router
	servers         []*standin.Server
	replacedServers []*standin.Server
	replacedAt      string // time of the latest replacement in Unix milliseconds
	processes       map[string]*childProcess
	processOrder    []string
	links           map[[2]string]*link // by IDs of the connecting and the listening side
	faultEvents     []FaultEvent
	callOnly        []string // routers that callers connect to; nil: all
	lastLeader      string   // what "leader" resolved to last
	load            *standin.Load
	floods          []*standin.Load
	intrusions      []Intrusion
	stopFuncs       []context.CancelFunc // end floods and flapping links
	usageBefore     usage
	intruders       sync.WaitGroup // intruders that run while later faults are injected
	mu              sync.Mutex     // protects links, callOnly, intrusions and faultEvents
}

// ResourceUsage is the consumption of a fleet per second, counting the processes that ran during the whole drill.
type ResourceUsage struct {
	LinkBytes            float64 // bytes over all links of the fleet
	KeeperCPU, RouterCPU float64 // CPU milliseconds of one process, mean
}

// Run carries out a drill and evaluates its checks. An error means that it could not be carried out. Checks that
// failed are in the result.
func Run(ctx context.Context, plan *Plan, opt Options) (*Result, error) {
	if opt.Logf == nil {
		opt.Logf = func(string, ...any) {}
	}
	dir, err := filepath.Abs(opt.Dir)
	if err != nil {
		return nil, err
	}
	opt.Dir = dir
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	run := &drillRun{plan: plan, options: opt, start: time.Now(), heldSince: map[string]time.Duration{},
		nameServices: map[string]*standin.NameService{}, processes: map[string]*childProcess{}, links: map[[2]string]*link{}}
	defer run.close()
	if err := run.prepare(); err != nil {
		return nil, err
	}
	for _, id := range run.processOrder {
		if err := run.launch(run.processes[id]); err != nil {
			return nil, err
		}
	}
	if err := run.waitFormed(ctx); err != nil {
		return nil, err
	}
	run.formedAt = time.Since(run.start)
	run.usageBefore = run.measureUsage()
	opt.Logf("the fleet has formed in %v", run.formedAt.Round(time.Millisecond))
	calls, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	if plan.CallRate > 0 && plan.Routers > 0 {
		run.startCallers(calls)
	}
	for _, f := range plan.Faults {
		if err := run.waitUntil(ctx, f.At); err != nil {
			return nil, err
		}
		run.injectFault(f)
	}
	if err := run.waitUntil(ctx, plan.Duration); err != nil {
		return nil, err
	}
	for _, stop := range run.stopFuncs {
		stop()
	}
	run.intruders.Wait()
	endedAt := time.Since(run.start)
	usageAfter := run.measureUsage()
	run.heal(run.processOrder, run.processOrder)
	for _, p := range run.processes { // no process may be suspended while callers wait for their last answers
		if p.running() {
			p.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	stopCalls()
	var counts standin.LoadCounts
	if run.load != nil {
		counts = run.load.Wait()
	}
	for _, flood := range run.floods {
		counts.Violations += flood.Wait().Violations
	}
	exits := map[string]int{}
	for id, p := range run.processes {
		if p.cmd != nil && !p.running() && !p.killed {
			exits[id] = p.exitCode
		}
	}
	run.stopAll()
	r := run.evaluate(endedAt, counts, exits)
	r.Use = usageAfter.since(run.usageBefore, endedAt-run.formedAt)
	return r, nil
}

// waitUntil waits until a time after the fleet has formed.
func (d *drillRun) waitUntil(ctx context.Context, at time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(d.start.Add(d.formedAt + at))):
		return nil
	}
}

// prepare creates stand-ins, links, folders and settings.
func (d *drillRun) prepare() (err error) {
	if d.observer, err = newObserver(d.start); err != nil {
		return err
	}
	for i := range d.plan.Servers {
		server, err := standin.NewServer(standin.ServerConfig{ID: fmt.Sprintf("s%d", i), Number: i,
			Seed: uint64(d.plan.Seed), AnswerDelay: d.plan.AnswerDelay, HoldTime: d.plan.HoldTime, FreeAgents: d.plan.Agents})
		if err != nil {
			return err
		}
		d.servers = append(d.servers, server)
	}
	fleetSettings := fleet.Settings{Fleet: fleetName}
	for i := range d.plan.Keepers {
		id := fmt.Sprintf("k%d", i+1)
		fleetSettings.Keepers = append(fleetSettings.Keepers, id)
		d.processOrder = append(d.processOrder, id)
		d.processes[id] = &childProcess{id: id, name: id, listenAddr: standin.FreeAddr(),
			dir: filepath.Join(d.options.Dir, id)}
	}
	for i := range d.plan.Routers {
		id := fmt.Sprintf("r%d", i+1)
		d.processOrder = append(d.processOrder, id)
		d.processes[id] = &childProcess{id: id, name: id, listenAddr: standin.FreeAddr(),
			dir: filepath.Join(d.options.Dir, id)}
		if d.plan.Zones > 0 {
			d.processes[id].neighbourAddr = standin.FreeAddr()
		}
	}
	bootstrapped, err := fleet.Bootstrap(fleetSettings, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return err
	}
	for _, keeper := range bootstrapped {
		p := d.processes[keeper.Identity.Name]
		if err := os.RemoveAll(p.dir); err != nil {
			return err
		}
		if err := fleetio.CreateKeeperFiles(durable.OS{}, filepath.Join(p.dir, "log"), keeper); err != nil {
			return err
		}
	}
	for _, id := range d.processOrder {
		if id[0] == 'r' { // remove the files of an earlier run
			if err := os.RemoveAll(d.processes[id].dir); err != nil {
				return err
			}
		}
		if err := d.writeSettings(d.processes[id]); err != nil {
			return err
		}
	}
	return nil
}

// linkBetween returns the link from one process to another and creates it on first use.
func (d *drillRun) linkBetween(from, to string, addr func() string) (*link, error) {
	key := [2]string{from, to}
	if l := d.links[key]; l != nil {
		return l, nil
	}
	l, err := newLink(uint64(d.plan.Seed)*1000+uint64(len(d.links))*2, addr)
	if err == nil {
		d.links[key] = l
	}
	return l, err
}

// waitFormed waits until a keeper leads and each router acts. Its error has the end of some processes' logs.
func (d *drillRun) waitFormed(ctx context.Context) error {
	for time.Since(d.start) < formTimeout && ctx.Err() == nil {
		anyExited := slices.ContainsFunc(d.processOrder, func(id string) bool { return !d.processes[id].running() })
		if anyExited {
			break
		}
		acting := map[string]bool{}
		for _, observation := range d.observer.allObservations() {
			acting[observation.Kind+observation.Name] = true
		}
		actingRouters := 0
		for _, id := range d.processOrder {
			if acting["act"+id] {
				actingRouters++
			}
		}
		if actingRouters == d.plan.Routers && d.observer.leader() != "" {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	var b strings.Builder
	for i, id := range d.processOrder {
		if i < maxReportedLogs || !d.processes[id].running() && b.Len() < 4096 {
			fmt.Fprintf(&b, "\n%s: %s", id, d.processes[id].log.tail(400))
		}
	}
	return fmt.Errorf("the fleet has not formed within %v:%s", time.Since(d.start).Round(time.Second), b.String())
}

// behaviours has the behaviours of case servers by the name that a drill file gives them.
var behaviours = map[string]standin.Behaviour{
	"fit": {}, "hang": {Hang: true}, "slow4": {DelayFactor: 4}, "slow40": {DelayFactor: 40},
	"full": {RejectShare: 1}, "full-half": {RejectShare: 0.5},
}

// startCallers starts the callers, which have a link of their own to each router.
func (d *drillRun) startCallers(ctx context.Context) {
	var next atomic.Uint64
	// A router accepts 400 set-ups a second from one connection, so callers that redial need more connections.
	d.load = standin.StartLoad(ctx, standin.LoadConfig{Connections: (2 + min(d.plan.Redials, 6)) * d.plan.Routers,
		Seed: uint64(d.plan.Seed), Rate: float64(d.plan.CallRate), Staggered: d.plan.StaggeredLoad,
		Classes:    []string{"voice", "data"},
		MaxRedials: d.plan.Redials, MaxRedialDelay: time.Second, RecordFirstTries: true, RecordOutcomes: true,
		NumberPrefixes: d.plan.Numbers, Servers: d.plan.Servers,
		Target: func() string {
			d.mu.Lock()
			defer d.mu.Unlock()
			id := fmt.Sprintf("r%d", next.Add(1)%uint64(d.plan.Routers)+1)
			if len(d.callOnly) > 0 {
				id = d.callOnly[next.Load()%uint64(len(d.callOnly))]
			}
			return d.links[[2]string{"c0", id}].addr()
		}})
}

// close ends all processes, links and stand-ins.
func (d *drillRun) close() {
	for _, stop := range d.stopFuncs {
		stop()
	}
	d.stopAll()
	for _, l := range d.links {
		l.close()
	}
	for _, nameService := range d.nameServices {
		nameService.Close()
	}
	for _, server := range append(d.servers, d.replacedServers...) {
		server.Close()
	}
	if d.observer != nil {
		d.observer.conn.Close()
	}
}

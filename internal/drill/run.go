package drill

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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

// FaultEvent is a fault that was injected.
type FaultEvent struct {
	At       time.Duration `json:"at"`              // since the observer's start
	What     string        `json:"what"`            // as in the drill file
	Who      []string      `json:"who"`             // what the first argument's pattern resolved to
	Other    []string      `json:"other,omitempty"` // the same of the second argument
	AtLeader bool          `json:"lead,omitempty"`  // its target was the leading keeper
	Error    string        `json:"error,omitempty"` // why it could not be injected
}

// childProcess is a router or keeper of the drill. It may be started several times.
type childProcess struct {
	id, name      string // the ID r1+ is a second process of the name r1
	cmd           *exec.Cmd
	log           *logBuffer
	exited        chan struct{}
	exitCode      int
	killed        bool // signalled by the drill to end
	listenAddr    string
	neighbourAddr string // where a router accepts links from other routers; empty without zones
	dir           string
	env           []string
	args          []string
	killStep      string // file operation at which the next process kills itself; in test builds only
}

func (p *childProcess) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// logBuffer writes a process's log to its file and keeps the first megabyte in memory.
type logBuffer struct {
	mu     sync.Mutex
	file   *os.File
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buffer.Len() < 1<<20 {
		l.buffer.Write(b)
	}
	return l.file.Write(b)
}

// tail returns the last n bytes that are kept.
func (l *logBuffer) tail(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := l.buffer.String()
	return text[max(0, len(text)-n):]
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

// usage is the resource consumption of the running processes so far.
type usage struct {
	cpuTimes  map[string]time.Duration // by ID and PID
	linkBytes uint64                   // over the fleet's links
}

// measureUsage reads the CPU times of the running processes and the byte counters of the fleet's links.
func (d *drillRun) measureUsage() usage {
	total := usage{cpuTimes: map[string]time.Duration{}}
	for id, p := range d.processes {
		if !p.running() {
			continue
		}
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		var user, system int64 // fields 14 and 15, in ticks of 10 ms; field 2 is a name in brackets
		fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
		if len(fields) > 12 {
			fmt.Sscan(fields[11], &user)
			fmt.Sscan(fields[12], &system)
		}
		total.cpuTimes[fmt.Sprint(id, " ", p.cmd.Process.Pid)] = time.Duration(user+system) * 10 * time.Millisecond
	}
	for key, l := range d.links {
		if key[1][0] == 'k' || key[0][0] == 'r' && key[1][0] == 'r' {
			for _, direction := range []*linkDirection{l.forward, l.backward} {
				direction.update(func(l *linkDirection) { total.linkBytes += l.bytesCarried })
			}
		}
	}
	return total
}

// ResourceUsage is the consumption of a fleet per second, counting the processes that ran during the whole drill.
type ResourceUsage struct {
	LinkBytes            float64 // bytes over all links of the fleet
	KeeperCPU, RouterCPU float64 // CPU milliseconds of one process, mean
}

// since returns the consumption per second between two measurements that are span apart.
func (u usage) since(before usage, span time.Duration) ResourceUsage {
	result := ResourceUsage{LinkBytes: float64(u.linkBytes-before.linkBytes) / span.Seconds()}
	processCount := map[byte]float64{}
	cpuSum := map[byte]float64{}
	for id, cpu := range u.cpuTimes {
		if earlier, ok := before.cpuTimes[id]; ok {
			processCount[id[0]]++
			cpuSum[id[0]] += float64((cpu - earlier).Microseconds()) / 1000 / span.Seconds()
		}
	}
	result.KeeperCPU, result.RouterCPU = cpuSum['k']/max(processCount['k'], 1), cpuSum['r']/max(processCount['r'], 1)
	return result
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

// writeSettings writes the settings of a process and sets its arguments and environment. For a router it also starts
// a name service and writes the node's configuration.
func (d *drillRun) writeSettings(p *childProcess) error {
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "(threadglade\n  (log (level debug) (form json))\n  "+
		"(fleet (name %q) (lease %q) (renew %q) (members \"r*\") (beacon %q) (beacon-every %q) (file-kb 64)\n",
		fleetName, d.plan.Lease, d.plan.RenewInterval, d.observer.conn.LocalAddr(), d.plan.BeaconInterval)
	keeper := strings.HasPrefix(p.id, "k")
	if keeper {
		fmt.Fprintf(&b, "    (directory %q) (listen %q)\n", filepath.Join(p.dir, "log"), p.listenAddr)
	}
	for i := range d.plan.Keepers {
		id := fmt.Sprintf("k%d", i+1)
		addr := p.listenAddr
		if id != p.id {
			to := d.processes[id]
			l, err := d.linkBetween(p.id, id, func() string { return to.listenAddr })
			if err != nil {
				return err
			}
			addr = l.addr()
		}
		fmt.Fprintf(&b, "    (keeper %q (address %q))\n", id, addr)
	}
	if p.neighbourAddr != "" {
		fmt.Fprintf(&b, "    (listen %q) (zone \"z%d\")\n", p.neighbourAddr, parseInt(p.name[1:])%d.plan.Zones)
		for i := range d.plan.Routers {
			to := d.processes[fmt.Sprintf("r%d", i+1)]
			if to.name == p.name {
				continue
			}
			l, err := d.linkBetween(p.id, to.id, func() string { return to.neighbourAddr })
			if err != nil {
				return err
			}
			fmt.Fprintf(&b, "    (reach %q (address %q))\n", to.name, l.addr())
		}
	}
	fmt.Fprintf(&b, ")\n%s", d.plan.Settings)
	if !keeper {
		if p.neighbourAddr != "" {
			b.WriteString("  (verdicts)\n")
		}
		b.WriteString(strings.ReplaceAll(d.plan.RouterSettings, "$DIR", p.dir))
		fmt.Fprintf(&b, "  (trace (directory %q) (file-mb 8) (total-mb 64))\n", filepath.Join(p.dir, "trace"))
	}
	b.WriteString(")\n")
	path := filepath.Join(p.dir, "settings.edn")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return err
	}
	p.env = append(slices.Clone(d.options.Env), "FLEET_WALL="+filepath.Join(p.dir, "wall"))
	if keeper {
		p.args = []string{"fleet", "keeper", "--settings", path, "--name", p.name}
		return nil
	}
	var list []standin.Entry
	for i, server := range d.servers {
		entry := server.Entry()
		l, err := d.linkBetween(p.id, fmt.Sprintf("s%d", i), func() string { return server.Entry().Addr.String() })
		if err != nil {
			return err
		}
		entry.Addr = netip.MustParseAddrPort(l.addr())
		list = append(list, entry)
	}
	names, err := standin.NewNameService(serverListSerial, false)
	if err != nil {
		return err
	}
	names.SetServers(serverListSerial, list)
	d.nameServices[p.id] = names
	if _, err := d.linkBetween("c0", p.id, func() string { return p.listenAddr }); err != nil {
		return err
	}
	config := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(config,
		standin.RouterConfig(p.name, p.listenAddr, names.Addr(), serverListSerial, list), 0o600); err != nil {
		return err
	}
	p.env = append(p.env, "NODE_CONFIG="+config)
	if !strings.HasSuffix(p.id, "+") && parseInt(p.name[1:]) <= d.plan.Liars { // has an effect in test builds only
		p.env = append(p.env, "VERDICT_MUTANT=liar")
	}
	p.args = []string{"serve", "--settings", path}
	return nil
}

// launch starts a process.
func (d *drillRun) launch(p *childProcess) error {
	if p.running() {
		return fmt.Errorf("%s is already running", p.id)
	}
	f, err := os.OpenFile(filepath.Join(p.dir, "log.json"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.log, p.exited, p.killed = &logBuffer{file: f}, make(chan struct{}), false
	p.cmd = exec.Command(d.options.Program, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	if p.killStep != "" {
		p.cmd.Env = append(p.cmd.Env, "KILL="+p.killStep)
		p.killStep = ""
	}
	p.cmd.Stderr, p.cmd.Stdout = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		p.cmd = nil
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		p.exitCode = cmd.ProcessState.ExitCode()
		f.Close()
		close(ended)
	}(p.cmd, p.exited)
	return nil
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

// startFlood adds callers that call numbers with a prefix at one router, at a rate per second, until the end of the
// drill.
func (d *drillRun) startFlood(ids []string, number string, rate int) error {
	if d.load == nil || len(ids) != 1 || d.links[[2]string{"c0", ids[0]}] == nil {
		return fmt.Errorf("no router to call")
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stopFuncs = append(d.stopFuncs, stop)
	l := d.links[[2]string{"c0", ids[0]}]
	d.floods = append(d.floods, standin.StartLoad(ctx, standin.LoadConfig{Target: l.addr, Connections: 2 + rate/300,
		Seed: uint64(d.plan.Seed) + 1000 + uint64(len(d.floods)), Rate: float64(rate),
		Classes: []string{"voice", "data"}, NumberPrefixes: []string{number}, Servers: d.plan.Servers}))
	return nil
}

// behaviours has the behaviours of case servers by the name that a drill file gives them.
var behaviours = map[string]standin.Behaviour{
	"fit": {}, "hang": {Hang: true}, "slow4": {DelayFactor: 4}, "slow40": {DelayFactor: 40},
	"full": {RejectShare: 1}, "full-half": {RejectShare: 0.5},
}

// setBehaviour changes the behaviour of case servers.
func (d *drillRun) setBehaviour(ids []string, name string) error {
	b, ok := behaviours[name]
	if !ok {
		return fmt.Errorf("unknown behaviour %q, expected one of %s",
			name, strings.Join(slices.Sorted(mapKeys(behaviours)), ", "))
	}
	for _, id := range ids {
		index := parseInt(strings.TrimPrefix(id, "s"))
		if id[0] != 's' || index >= len(d.servers) {
			return fmt.Errorf("no case server %q", id)
		}
		d.servers[index].SetBehaviour(b)
	}
	return nil
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

// resolvePattern returns the IDs of the processes and stand-ins that a pattern matches, and whether it is "leader".
func (d *drillRun) resolvePattern(pattern string) (ids []string, isLeader bool) {
	switch {
	case pattern == "leader":
		d.lastLeader = d.observer.leader()
		return []string{d.lastLeader}, true
	case pattern == "was-leader":
		return []string{d.lastLeader}, false
	case pattern == "all":
		return slices.Clone(d.processOrder), false
	case strings.HasSuffix(pattern, "*"):
		if pattern == "s*" {
			for i := range d.servers {
				ids = append(ids, fmt.Sprintf("s%d", i))
			}
		}
		for _, id := range d.processOrder {
			if id[0] == pattern[0] {
				ids = append(ids, id)
			}
		}
		return ids, false
	}
	return strings.Split(pattern, "&"), false
}

// replaceServers replaces case servers by new ones without any load history, under names of their own: s1 becomes
// s1x. Every router's name service lists them at once.
func (d *drillRun) replaceServers(ids []string) error {
	for _, id := range ids {
		index := parseInt(strings.TrimPrefix(id, "s"))
		if id[0] != 's' || index >= len(d.servers) {
			return fmt.Errorf("no case server %q", id)
		}
		old := d.servers[index]
		server, err := standin.NewServer(standin.ServerConfig{ID: id + "x", Number: index,
			Seed: uint64(d.plan.Seed) + 99, AnswerDelay: d.plan.AnswerDelay, HoldTime: d.plan.HoldTime,
			FreeAgents: d.plan.Agents})
		if err != nil {
			return err
		}
		d.servers[index] = server
		d.replacedServers = append(d.replacedServers, old)
		d.replacedAt = strconv.FormatInt(time.Now().UnixMilli(), 10)
	}
	for from, names := range d.nameServices {
		var list []standin.Entry
		for i, server := range d.servers {
			entry := server.Entry()
			l, err := d.linkBetween(from, entry.ID, func() string { return server.Entry().Addr.String() })
			if err != nil {
				return err
			}
			if entry.Addr = netip.MustParseAddrPort(l.addr()); entry.ID != fmt.Sprintf("s%d", i) {
				entry.Started = d.replacedAt
			}
			list = append(list, entry)
		}
		names.SetServers(0, list)
	}
	return nil
}

// eachLink calls visit for every link between one of first and one of others. forward is the direction from first to
// others, and backward the opposite one, whichever side connected.
func (d *drillRun) eachLink(first, others []string, visit func(l *link, forward, backward *linkDirection)) {
	for key, l := range d.links {
		switch {
		case slices.Contains(first, key[0]) && slices.Contains(others, key[1]):
			visit(l, l.forward, l.backward)
		case slices.Contains(first, key[1]) && slices.Contains(others, key[0]):
			visit(l, l.backward, l.forward)
		}
	}
}

// heal removes the faults of all links between first and others, and of those between first and the callers and the
// case servers s0 to s3.
func (d *drillRun) heal(first, others []string) {
	d.eachLink(first, append(slices.Clone(others), "c0", "s0", "s1", "s2", "s3"), func(
		_ *link, forward, backward *linkDirection,
	) {
		for _, direction := range []*linkDirection{forward, backward} {
			direction.update(func(d *linkDirection) {
				d.blocked, d.stallHalfway, d.delay, d.jitter, d.bytesPerSecond = false, false, 0, 0, 0
			})
		}
	})
}

// injectFault injects a fault and records it, with an error if it could not be injected.
func (d *drillRun) injectFault(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	event := FaultEvent{What: f.String()}
	if form := faultForms[f.Kind]; form != "" && form[0] == 'p' {
		event.Who, event.AtLeader = d.resolvePattern(f.Args[0])
	}
	if form := faultForms[f.Kind]; len(form) > 1 && form[1] == 'p' {
		event.Other, _ = d.resolvePattern(f.Args[1])
		if event.AtLeader { // the leader is not cut off from itself
			event.Other = slices.DeleteFunc(event.Other, func(id string) bool { return slices.Contains(event.Who, id) })
		}
	}
	event.At = time.Since(d.start)
	var err error
	eachProcess := func(action func(p *childProcess) error) {
		for _, id := range event.Who {
			p := d.processes[id]
			if p == nil {
				err = fmt.Errorf("no process %q", id)
			} else if actionErr := action(p); actionErr != nil {
				err = fmt.Errorf("%s: %w", id, actionErr)
			}
		}
	}
	signal := func(sig syscall.Signal) {
		eachProcess(func(p *childProcess) error {
			if !p.running() {
				return fmt.Errorf("not running")
			}
			p.killed = p.killed || sig == syscall.SIGKILL || sig == syscall.SIGTERM
			return p.cmd.Process.Signal(sig)
		})
	}
	updateBoth := func(set func(*linkDirection)) {
		d.eachLink(event.Who, event.Other, func(_ *link, forward, backward *linkDirection) {
			forward.update(set)
			backward.update(set)
		})
	}
	switch f.Kind {
	case "kill":
		signal(syscall.SIGKILL)
	case "stop":
		signal(syscall.SIGSTOP)
	case "wake":
		signal(syscall.SIGCONT)
	case "term":
		signal(syscall.SIGTERM)
	case "start":
		eachProcess(func(p *childProcess) error {
			if p.killed && p.exited != nil {
				select {
				case <-p.exited:
				case <-time.After(exitTimeout):
				}
			}
			return d.launch(p)
		})
	case "twin":
		eachProcess(d.startTwin)
	case "wipe":
		eachProcess(func(p *childProcess) error { return os.RemoveAll(filepath.Join(p.dir, "log")) })
	case "damage":
		eachProcess(corruptNewestFile)
	case "fill":
		eachProcess(func(p *childProcess) error { return p.limitFileSize(1) })
	case "empty":
		eachProcess(func(p *childProcess) error { return p.limitFileSize(unix.RLIM_INFINITY) })
	case "load":
		if d.load != nil {
			d.load.SetRate(float64(parseInt(f.Args[0])))
		}
	case "replace":
		err = d.replaceServers(event.Who)
	case "flood":
		err = d.startFlood(event.Who, f.Args[1], parseInt(f.Args[2]))
	case "behave":
		err = d.setBehaviour(event.Who, f.Args[1])
	case "hold-server", "release-server":
		args := []string{"fleet", "verdicts", "release", f.Args[0]}
		if f.Kind == "hold-server" {
			args = []string{"fleet", "verdicts", "hold", f.Args[0], "--for", f.Args[1]}
		}
		err = d.runCommand(append(args, "--why", "drill"))
		if f.Kind == "hold-server" {
			d.heldSince[f.Args[0]] = time.Since(d.start)
		}
	case "limit-set", "limit-unset":
		err = d.runCommand(append([]string{"fleet", "limits", strings.TrimPrefix(f.Kind, "limit-")},
			append(slices.Clone(f.Args), "--why", "drill")...))
	case "evacuate":
		eachProcess(func(p *childProcess) error { return d.runCommand([]string{"fleet", "evacuate", p.name}) })
	case "call-only":
		d.callOnly = event.Who
		d.eachLink([]string{"c0"}, d.processOrder, func(l *link, _, _ *linkDirection) { l.reset() })
	case "dying":
		name := " fleet-" // prefix of the name of the file that the operation is on
		if f.Args[1] == "syncdir" {
			name = " log"
		}
		eachProcess(func(p *childProcess) error {
			p.killStep = f.Args[1] + name + " " + f.Args[2]
			return nil
		})
	case "step":
		eachProcess(func(p *childProcess) error {
			return os.WriteFile(filepath.Join(p.dir, "wall"),
				fmt.Appendf(nil, "%d\n", int(parseDuration(f.Args[1]).Seconds())), 0o600)
		})
	case "cut":
		updateBoth(func(direction *linkDirection) { direction.blocked = true })
	case "cut-to":
		d.eachLink(event.Who, event.Other, func(_ *link, forward, _ *linkDirection) {
			forward.update(func(direction *linkDirection) { direction.blocked = true })
		})
	case "heal":
		d.heal(event.Who, event.Other)
	case "heal-all":
		d.heal(d.processOrder, d.processOrder)
	case "delay":
		updateBoth(func(direction *linkDirection) {
			direction.delay, direction.jitter = parseDuration(f.Args[2]), parseDuration(f.Args[3])
		})
	case "slow":
		updateBoth(func(direction *linkDirection) { direction.bytesPerSecond = parseInt(f.Args[2]) })
	case "reset":
		d.eachLink(event.Who, event.Other, func(l *link, _, _ *linkDirection) { l.reset() })
	case "stall":
		updateBoth(func(direction *linkDirection) { direction.stallHalfway = true })
	case "flap":
		d.startFlapping(event.Who, event.Other, parseDuration(f.Args[2]))
	case "intrude":
		event.Who, _ = d.resolvePattern(f.Args[1])
		if p := d.processes[event.Who[0]]; p != nil {
			addr := p.listenAddr
			if p.neighbourAddr != "" {
				addr = p.neighbourAddr
			}
			if f.Args[0] == "greedy" { // runs while later faults are injected
				d.intruders.Add(1)
				go func() {
					defer d.intruders.Done()
					intrusion := attemptIntrusion(f.Args[0], addr)
					intrusion.At = event.At
					d.mu.Lock()
					d.intrusions = append(d.intrusions, intrusion)
					d.mu.Unlock()
				}()
				break
			}
			intrusion := attemptIntrusion(f.Args[0], addr)
			intrusion.At = event.At
			d.intrusions = append(d.intrusions, intrusion)
		} else {
			err = fmt.Errorf("no process %q", f.Args[1])
		}
	}
	if err != nil {
		event.Error = err.Error()
	}
	d.options.Logf("%8v %s %v %s", (event.At - d.formedAt).Round(time.Millisecond), event.What, event.Who, event.Error)
	d.faultEvents = append(d.faultEvents, event)
}

// runCommand runs an operator's command of the program, with the settings of keeper k1.
func (d *drillRun) runCommand(args []string) error {
	cmd := exec.Command(d.options.Program,
		append(args, "--settings", filepath.Join(d.processes["k1"].dir, "settings.edn"))...)
	cmd.Env = append(os.Environ(), d.options.Env...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// startTwin starts a second process of the same name, with a folder and links of its own.
func (d *drillRun) startTwin(p *childProcess) error {
	id := p.id + "+"
	twin := d.processes[id]
	if twin == nil {
		twin = &childProcess{id: id, name: p.name, listenAddr: standin.FreeAddr(), neighbourAddr: p.neighbourAddr,
			dir: filepath.Join(d.options.Dir, p.id+"-twin")}
		d.processes[id] = twin
		if err := d.writeSettings(twin); err != nil {
			return err
		}
	}
	return d.launch(twin)
}

// corruptNewestFile flips a bit in the newest of a keeper's files.
func corruptNewestFile(p *childProcess) error {
	paths, err := filepath.Glob(filepath.Join(p.dir, "log", "*.tgl"))
	if err != nil || len(paths) == 0 {
		return fmt.Errorf("no *.tgl files in the keeper's log folder: %v", err)
	}
	newest := slices.Max(paths)
	data, err := os.ReadFile(newest)
	if err != nil {
		return err
	}
	data[100] ^= 0x40
	return os.WriteFile(newest, data, 0o600)
}

// limitFileSize sets RLIMIT_FSIZE of the running process. A limit of one byte looks like a full disk to it.
func (p *childProcess) limitFileSize(maxBytes uint64) error {
	if !p.running() {
		return fmt.Errorf("not running")
	}
	var limits unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &limits); err != nil {
		return err
	}
	limits.Cur = min(maxBytes, limits.Max)
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limits, nil)
}

// startFlapping alternately blocks and unblocks the links between first and others, for half a period each, until
// the end of the drill.
func (d *drillRun) startFlapping(first, others []string, period time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	d.stopFuncs = append(d.stopFuncs, stop)
	var directions []*linkDirection
	d.eachLink(first, others, func(_ *link, forward, backward *linkDirection) {
		directions = append(directions, forward, backward)
	})
	go func() {
		for blocked := true; ctx.Err() == nil; blocked = !blocked {
			for _, direction := range directions {
				direction.update(func(d *linkDirection) { d.blocked = blocked })
			}
			select {
			case <-ctx.Done():
			case <-time.After(period / 2):
			}
		}
		for _, direction := range directions {
			direction.update(func(d *linkDirection) { d.blocked = false })
		}
	}()
}

// stopAll sends SIGTERM to all processes, kills those that have not exited after exitTimeout, and waits for them.
func (d *drillRun) stopAll() {
	for _, p := range d.processes {
		if p.running() {
			p.killed = true
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	timeout := time.After(exitTimeout)
	for _, p := range d.processes {
		if p.cmd == nil {
			continue
		}
		select {
		case <-p.exited:
		case <-timeout:
			p.cmd.Process.Kill()
			<-p.exited
			timeout = time.After(0)
		}
	}
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

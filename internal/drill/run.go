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
	// formWithin is how long a fleet may take until its drill begins.
	formWithin = 20 * time.Second
	// endWithin is how long processes have to end by themselves, at the end.
	endWithin  = 3 * time.Second
	toldMost   = 6 // processes' last words are told where a fleet does not form
	fleetName  = "drill"
	listSerial = 7
)

// Options of a run.
type Options struct {
	Program string // of this project
	Env     []string
	Dir     string // for logs, files and what comes out
	Say     func(format string, args ...any)
}

// Happened is a fault that was caused.
type Happened struct {
	At    time.Duration `json:"at"`
	What  string        `json:"what"`
	Who   []string      `json:"who"`             // after patterns are resolved: the first argument's
	Other []string      `json:"other,omitempty"` // the second's
	Lead  bool          `json:"lead,omitempty"`  // it was aimed at the leading keeper
	Error string        `json:"error,omitempty"`
}

// proc is one real process.
type proc struct {
	id, name string // r1+ is a second process of r1
	cmd      *exec.Cmd
	log      *lines
	ended    chan struct{}
	code     int
	killed   bool // by the drill
	listen   string
	talks    string // where a router hears its neighbours
	dir      string
	env      []string
	args     []string
	dying    string // at which step of its files its next life ends, in a build for tests
}

func (p *proc) runs() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// lines is a process's log.
type lines struct {
	mu sync.Mutex
	f  *os.File
	b  bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.b.Len() < 1<<20 {
		l.b.Write(b)
	}
	return l.f.Write(b)
}

func (l *lines) tail(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := l.b.String()
	return text[max(0, len(text)-n):]
}

// stage is everything of one run.
type stage struct {
	held    map[string]time.Duration // case servers by when the operator's command that holds them had ended
	plan    *Plan
	opt     Options
	start   time.Time // of the witness's clock
	zero    time.Duration
	witness *witness
	names   map[string]*standin.NameService // by router's process
	servers []*standin.Server
	gone    []*standin.Server // replaced
	began   string            // Unix milliseconds, of the latest replacement
	procs   map[string]*proc
	order   []string
	wires   map[[2]string]*wire // from, to
	happen  []Happened
	only    []string // routers that callers connect to; nil: all
	led     string   // whom "leader" meant last
	load    *standin.Load
	floods  []*standin.Load
	intrud  []Intrusion
	flaps   []context.CancelFunc
	before  use
	aside   sync.WaitGroup // intruders at work
	mu      sync.Mutex
}

// use is what the processes that run have used so far.
type use struct {
	cpu   map[string]time.Duration
	bytes uint64 // over the fleet's links
}

func (s *stage) use() use {
	u := use{cpu: map[string]time.Duration{}}
	for id, p := range s.procs {
		if !p.runs() {
			continue
		}
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		var user, system int64 // in ticks of 10 ms, the 14th and 15th field; the second is a name in brackets
		fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
		if len(fields) > 12 {
			fmt.Sscan(fields[11], &user)
			fmt.Sscan(fields[12], &system)
		}
		u.cpu[fmt.Sprint(id, " ", p.cmd.Process.Pid)] = time.Duration(user+system) * 10 * time.Millisecond
	}
	for key, w := range s.wires {
		if key[1][0] == 'k' || key[0][0] == 'r' && key[1][0] == 'r' {
			for _, one := range []*way{w.out, w.in} {
				one.set(func(w *way) { u.bytes += w.bytes })
			}
		}
	}
	return u
}

// Use is what a fleet used a second, of processes that lived through the drill.
type Use struct {
	LinkBytes            float64 // over all links of the fleet
	KeeperCPU, RouterCPU float64 // milliseconds a second, of one process, in the mean
}

func (u use) since(before use, span time.Duration) Use {
	r := Use{LinkBytes: float64(u.bytes-before.bytes) / span.Seconds()}
	n := map[byte]float64{}
	sum := map[byte]float64{}
	for id, cpu := range u.cpu {
		if was, ok := before.cpu[id]; ok {
			n[id[0]]++
			sum[id[0]] += float64((cpu - was).Microseconds()) / 1000 / span.Seconds()
		}
	}
	r.KeeperCPU, r.RouterCPU = sum['k']/max(n['k'], 1), sum['r']/max(n['r'], 1)
	return r
}

// Run carries a drill out and judges it. An error means that it could not be carried out; what did not hold is in the result.
func Run(ctx context.Context, plan *Plan, opt Options) (*Result, error) {
	if opt.Say == nil {
		opt.Say = func(string, ...any) {}
	}
	dir, err := filepath.Abs(opt.Dir)
	if err != nil {
		return nil, err
	}
	opt.Dir = dir
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	s := &stage{plan: plan, opt: opt, start: time.Now(), held: map[string]time.Duration{}, names: map[string]*standin.NameService{}, procs: map[string]*proc{}, wires: map[[2]string]*wire{}}
	defer s.close()
	if err := s.set(); err != nil {
		return nil, err
	}
	for _, id := range s.order {
		if err := s.launch(s.procs[id]); err != nil {
			return nil, err
		}
	}
	if err := s.form(ctx); err != nil {
		return nil, err
	}
	s.zero = time.Since(s.start)
	s.before = s.use()
	opt.Say("the fleet has formed in %v", s.zero.Round(time.Millisecond))
	calls, hangUp := context.WithCancel(ctx)
	defer hangUp()
	if plan.Load > 0 && plan.Routers > 0 {
		s.call(calls)
	}
	for _, f := range plan.Faults {
		if err := s.until(ctx, f.At); err != nil {
			return nil, err
		}
		s.fault(f)
	}
	if err := s.until(ctx, plan.For); err != nil {
		return nil, err
	}
	for _, stop := range s.flaps {
		stop()
	}
	s.aside.Wait()
	over := time.Since(s.start)
	after := s.use()
	s.heal(s.order, s.order)
	for _, p := range s.procs { // nothing is stopped while callers wait for their last answers
		if p.runs() {
			p.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	hangUp()
	var counts standin.LoadCounts
	if s.load != nil {
		counts = s.load.Wait()
	}
	for _, one := range s.floods {
		counts.Odd += one.Wait().Odd
	}
	exits := map[string]int{}
	for id, p := range s.procs {
		if p.cmd != nil && !p.runs() && !p.killed {
			exits[id] = p.code
		}
	}
	s.endAll()
	r := s.judge(over, counts, exits)
	r.Use = after.since(s.before, over-s.zero)
	return r, nil
}

func (s *stage) until(ctx context.Context, at time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(s.start.Add(s.zero + at))):
		return nil
	}
}

// set makes stand-ins, wires, folders and settings.
func (s *stage) set() (err error) {
	if s.witness, err = newWitness(s.start); err != nil {
		return err
	}
	for i := range s.plan.Servers {
		one, err := standin.NewServer(standin.ServerConfig{ID: fmt.Sprintf("s%d", i), Number: i, Seed: uint64(s.plan.Seed), AnswerDelay: s.plan.Answer,
			HoldTime: s.plan.Stand, FreeAgents: s.plan.Agents})
		if err != nil {
			return err
		}
		s.servers = append(s.servers, one)
	}
	terms := fleet.Settings{Fleet: fleetName}
	for i := range s.plan.Keepers {
		id := fmt.Sprintf("k%d", i+1)
		terms.Keepers = append(terms.Keepers, id)
		s.order = append(s.order, id)
		s.procs[id] = &proc{id: id, name: id, listen: standin.FreeAddr(), dir: filepath.Join(s.opt.Dir, id)}
	}
	for i := range s.plan.Routers {
		id := fmt.Sprintf("r%d", i+1)
		s.order = append(s.order, id)
		s.procs[id] = &proc{id: id, name: id, listen: standin.FreeAddr(), dir: filepath.Join(s.opt.Dir, id)}
		if s.plan.Zones > 0 {
			s.procs[id].talks = standin.FreeAddr()
		}
	}
	founded, err := fleet.Bootstrap(terms, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return err
	}
	for _, one := range founded {
		p := s.procs[one.Identity.Name]
		if err := os.RemoveAll(p.dir); err != nil {
			return err
		}
		if err := fleetio.CreateKeeperFiles(durable.OS{}, filepath.Join(p.dir, "log"), one); err != nil {
			return err
		}
	}
	for _, id := range s.order {
		if id[0] == 'r' { // what an earlier run has left is none of this one's
			if err := os.RemoveAll(s.procs[id].dir); err != nil {
				return err
			}
		}
		if err := s.settings(s.procs[id]); err != nil {
			return err
		}
	}
	return nil
}

// wire makes the link from a process to another, once.
func (s *stage) wire(from, to string, addr func() string) (*wire, error) {
	key := [2]string{from, to}
	if w := s.wires[key]; w != nil {
		return w, nil
	}
	w, err := newWire(uint64(s.plan.Seed)*1000+uint64(len(s.wires))*2, addr)
	if err == nil {
		s.wires[key] = w
	}
	return w, err
}

// settings writes what a process is started with.
func (s *stage) settings(p *proc) error {
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "(threadglade\n  (log (level debug) (form json))\n  (fleet (name %q) (lease %q) (renew %q) (members \"r*\") (beacon %q) (beacon-every %q) (file-kb 64)\n", fleetName,
		s.plan.Lease, s.plan.Renew, s.witness.conn.LocalAddr(), s.plan.Every)
	keeper := strings.HasPrefix(p.id, "k")
	if keeper {
		fmt.Fprintf(&b, "    (directory %q) (listen %q)\n", filepath.Join(p.dir, "log"), p.listen)
	}
	for i := range s.plan.Keepers {
		id := fmt.Sprintf("k%d", i+1)
		addr := p.listen
		if id != p.id {
			to := s.procs[id]
			w, err := s.wire(p.id, id, func() string { return to.listen })
			if err != nil {
				return err
			}
			addr = w.addr()
		}
		fmt.Fprintf(&b, "    (keeper %q (address %q))\n", id, addr)
	}
	if p.talks != "" {
		fmt.Fprintf(&b, "    (listen %q) (zone \"z%d\")\n", p.talks, count(p.name[1:])%s.plan.Zones)
		for i := range s.plan.Routers {
			to := s.procs[fmt.Sprintf("r%d", i+1)]
			if to.name == p.name {
				continue
			}
			w, err := s.wire(p.id, to.id, func() string { return to.talks })
			if err != nil {
				return err
			}
			fmt.Fprintf(&b, "    (reach %q (address %q))\n", to.name, w.addr())
		}
	}
	fmt.Fprintf(&b, ")\n%s", s.plan.More)
	if !keeper {
		if p.talks != "" {
			b.WriteString("  (verdicts)\n")
		}
		b.WriteString(strings.ReplaceAll(s.plan.Own, "$DIR", p.dir))
		fmt.Fprintf(&b, "  (trace (directory %q) (file-mb 8) (total-mb 64))\n", filepath.Join(p.dir, "trace"))
	}
	b.WriteString(")\n")
	path := filepath.Join(p.dir, "settings.edn")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return err
	}
	p.env = append(slices.Clone(s.opt.Env), "FLEET_WALL="+filepath.Join(p.dir, "wall"))
	if keeper {
		p.args = []string{"fleet", "keeper", "--settings", path, "--name", p.name}
		return nil
	}
	var list []standin.Entry
	for i, one := range s.servers {
		e := one.Entry()
		w, err := s.wire(p.id, fmt.Sprintf("s%d", i), func() string { return one.Entry().Addr.String() })
		if err != nil {
			return err
		}
		e.Addr = netip.MustParseAddrPort(w.addr())
		list = append(list, e)
	}
	names, err := standin.NewNameService(listSerial, false)
	if err != nil {
		return err
	}
	names.SetServers(listSerial, list)
	s.names[p.id] = names
	if _, err := s.wire("c0", p.id, func() string { return p.listen }); err != nil {
		return err
	}
	config := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(config, standin.RouterConfig(p.name, p.listen, names.Addr(), listSerial, list), 0o600); err != nil {
		return err
	}
	p.env = append(p.env, "NODE_CONFIG="+config)
	if !strings.HasSuffix(p.id, "+") && count(p.name[1:]) <= s.plan.Liars { // in a build for tests
		p.env = append(p.env, "VERDICT_MUTANT=liar")
	}
	p.args = []string{"serve", "--settings", path}
	return nil
}

// launch starts a process.
func (s *stage) launch(p *proc) error {
	if p.runs() {
		return fmt.Errorf("%s runs already", p.id)
	}
	f, err := os.OpenFile(filepath.Join(p.dir, "log.json"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.log, p.ended, p.killed = &lines{f: f}, make(chan struct{}), false
	p.cmd = exec.Command(s.opt.Program, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	if p.dying != "" {
		p.cmd.Env = append(p.cmd.Env, "KILL="+p.dying)
		p.dying = ""
	}
	p.cmd.Stderr, p.cmd.Stdout = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		p.cmd = nil
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		p.code = cmd.ProcessState.ExitCode()
		f.Close()
		close(ended)
	}(p.cmd, p.ended)
	return nil
}

// form waits until a keeper leads and each router acts.
func (s *stage) form(ctx context.Context) error {
	for time.Since(s.start) < formWithin && ctx.Err() == nil {
		ended := slices.ContainsFunc(s.order, func(id string) bool { return !s.procs[id].runs() })
		if ended {
			break
		}
		acts := map[string]bool{}
		for _, one := range s.witness.all() {
			acts[one.What+one.Who] = true
		}
		n := 0
		for _, id := range s.order {
			if acts["act"+id] {
				n++
			}
		}
		if n == s.plan.Routers && s.witness.leader() != "" {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	var b strings.Builder
	for i, id := range s.order {
		if i < toldMost || !s.procs[id].runs() && b.Len() < 4096 {
			fmt.Fprintf(&b, "\n%s: %s", id, s.procs[id].log.tail(400))
		}
	}
	return fmt.Errorf("the fleet has not formed within %v:%s", time.Since(s.start).Round(time.Second), b.String())
}

// flood has callers call numbers that begin so at one router, so often a second, beside the others and until the drill is over.
func (s *stage) flood(ids []string, number string, rate int) error {
	if s.load == nil || len(ids) != 1 || s.wires[[2]string{"c0", ids[0]}] == nil {
		return fmt.Errorf("no router to call")
	}
	ctx, stop := context.WithCancel(context.Background())
	s.flaps = append(s.flaps, stop)
	w := s.wires[[2]string{"c0", ids[0]}]
	s.floods = append(s.floods, standin.StartLoad(ctx, standin.LoadConfig{Target: w.addr, Connections: 2 + rate/300, Seed: uint64(s.plan.Seed) + 1000 + uint64(len(s.floods)), Rate: float64(rate), Classes: []string{"voice", "data"},
		NumberPrefixes: []string{number}, Servers: s.plan.Servers}))
	return nil
}

// behaviours of case servers by name.
var behaviours = map[string]standin.Behaviour{"fit": {}, "hang": {Hang: true}, "slow4": {DelayFactor: 4}, "slow40": {DelayFactor: 40}, "full": {RejectShare: 1}, "full-half": {RejectShare: 0.5}}

func (s *stage) behave(ids []string, how string) error {
	b, ok := behaviours[how]
	if !ok {
		return fmt.Errorf("%q is none of %s", how, strings.Join(slices.Sorted(mapKeys(behaviours)), ", "))
	}
	for _, id := range ids {
		at := count(strings.TrimPrefix(id, "s"))
		if id[0] != 's' || at >= len(s.servers) {
			return fmt.Errorf("no case server %q", id)
		}
		s.servers[at].SetBehaviour(b)
	}
	return nil
}

// call has callers at work, through links of their own to each router.
func (s *stage) call(ctx context.Context) {
	var turn atomic.Uint64
	// A router takes 400 set-ups a second from one connection: who redials wants more of them.
	s.load = standin.StartLoad(ctx, standin.LoadConfig{Connections: (2 + min(s.plan.Redials, 6)) * s.plan.Routers, Seed: uint64(s.plan.Seed), Rate: float64(s.plan.Load), Classes: []string{"voice", "data"}, MaxRedials: s.plan.Redials, MaxRedialDelay: time.Second, RecordFirstTries: true, RecordOutcomes: true,
		NumberPrefixes: s.plan.Numbers, Servers: s.plan.Servers,
		Target: func() string {
			s.mu.Lock()
			defer s.mu.Unlock()
			id := fmt.Sprintf("r%d", turn.Add(1)%uint64(s.plan.Routers)+1)
			if len(s.only) > 0 {
				id = s.only[turn.Load()%uint64(len(s.only))]
			}
			return s.wires[[2]string{"c0", id}].addr()
		}})
}

// resolve turns a pattern into processes and stand-ins.
func (s *stage) resolve(pattern string) (ids []string, lead bool) {
	switch {
	case pattern == "leader":
		s.led = s.witness.leader()
		return []string{s.led}, true
	case pattern == "was-leader":
		return []string{s.led}, false
	case pattern == "all":
		return slices.Clone(s.order), false
	case strings.HasSuffix(pattern, "*"):
		if pattern == "s*" {
			for i := range s.servers {
				ids = append(ids, fmt.Sprintf("s%d", i))
			}
		}
		for _, id := range s.order {
			if id[0] == pattern[0] {
				ids = append(ids, id)
			}
		}
		return ids, false
	}
	return strings.Split(pattern, "&"), false
}

// replace puts new case servers in the place of others, cold, under names of their own: s1 becomes s1x. Every router's name service says so at once.
func (s *stage) replace(ids []string) error {
	for _, id := range ids {
		at := count(strings.TrimPrefix(id, "s"))
		if id[0] != 's' || at >= len(s.servers) {
			return fmt.Errorf("no case server %q", id)
		}
		old := s.servers[at]
		one, err := standin.NewServer(standin.ServerConfig{ID: id + "x", Number: at, Seed: uint64(s.plan.Seed) + 99, AnswerDelay: s.plan.Answer, HoldTime: s.plan.Stand, FreeAgents: s.plan.Agents})
		if err != nil {
			return err
		}
		s.servers[at] = one
		s.gone = append(s.gone, old)
		s.began = strconv.FormatInt(time.Now().UnixMilli(), 10)
	}
	for from, names := range s.names {
		var list []standin.Entry
		for i, one := range s.servers {
			e := one.Entry()
			w, err := s.wire(from, e.ID, func() string { return one.Entry().Addr.String() })
			if err != nil {
				return err
			}
			if e.Addr = netip.MustParseAddrPort(w.addr()); e.ID != fmt.Sprintf("s%d", i) {
				e.Started = s.began
			}
			list = append(list, e)
		}
		names.SetServers(0, list)
	}
	return nil
}

// between calls f for every link from one of the first to one of the others: toward is the way that carries from a to b, and back the other.
func (s *stage) between(first, others []string, f func(w *wire, toward, back *way)) {
	for key, w := range s.wires {
		switch {
		case slices.Contains(first, key[0]) && slices.Contains(others, key[1]):
			f(w, w.out, w.in)
		case slices.Contains(first, key[1]) && slices.Contains(others, key[0]):
			f(w, w.in, w.out)
		}
	}
}

func (s *stage) heal(first, others []string) {
	s.between(first, append(slices.Clone(others), "c0", "s0", "s1", "s2", "s3"), func(_ *wire, toward, back *way) {
		for _, one := range []*way{toward, back} {
			one.set(func(w *way) { w.shut, w.half, w.delay, w.spread, w.rate = false, false, 0, 0, 0 })
		}
	})
}

// fault causes one.
func (s *stage) fault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := Happened{What: f.String()}
	if form := faultForms[f.What]; form != "" && form[0] == 'p' {
		h.Who, h.Lead = s.resolve(f.Args[0])
	}
	if form := faultForms[f.What]; len(form) > 1 && form[1] == 'p' {
		h.Other, _ = s.resolve(f.Args[1])
		if h.Lead { // whoever leads is not cut off from itself
			h.Other = slices.DeleteFunc(h.Other, func(id string) bool { return slices.Contains(h.Who, id) })
		}
	}
	h.At = time.Since(s.start)
	var err error
	each := func(do func(p *proc) error) {
		for _, id := range h.Who {
			p := s.procs[id]
			if p == nil {
				err = fmt.Errorf("no process %q", id)
			} else if bad := do(p); bad != nil {
				err = fmt.Errorf("%s: %w", id, bad)
			}
		}
	}
	signal := func(sig syscall.Signal) {
		each(func(p *proc) error {
			if !p.runs() {
				return fmt.Errorf("does not run")
			}
			p.killed = p.killed || sig == syscall.SIGKILL || sig == syscall.SIGTERM
			return p.cmd.Process.Signal(sig)
		})
	}
	both := func(set func(*way)) {
		s.between(h.Who, h.Other, func(_ *wire, toward, back *way) { toward.set(set); back.set(set) })
	}
	switch f.What {
	case "kill":
		signal(syscall.SIGKILL)
	case "stop":
		signal(syscall.SIGSTOP)
	case "wake":
		signal(syscall.SIGCONT)
	case "term":
		signal(syscall.SIGTERM)
	case "start":
		each(func(p *proc) error {
			if p.killed && p.ended != nil {
				select {
				case <-p.ended:
				case <-time.After(endWithin):
				}
			}
			return s.launch(p)
		})
	case "twin":
		each(s.twin)
	case "wipe":
		each(func(p *proc) error { return os.RemoveAll(filepath.Join(p.dir, "log")) })
	case "damage":
		each(damage)
	case "fill":
		each(func(p *proc) error { return p.limit(1) })
	case "empty":
		each(func(p *proc) error { return p.limit(unix.RLIM_INFINITY) })
	case "load":
		if s.load != nil {
			s.load.SetRate(float64(count(f.Args[0])))
		}
	case "replace":
		err = s.replace(h.Who)
	case "flood":
		err = s.flood(h.Who, f.Args[1], count(f.Args[2]))
	case "behave":
		err = s.behave(h.Who, f.Args[1])
	case "hold-server", "release-server":
		args := []string{"fleet", "verdicts", "release", f.Args[0]}
		if f.What == "hold-server" {
			args = []string{"fleet", "verdicts", "hold", f.Args[0], "--for", f.Args[1]}
		}
		err = s.command(append(args, "--why", "drill"))
		if f.What == "hold-server" {
			s.held[f.Args[0]] = time.Since(s.start)
		}
	case "limit-set", "limit-unset":
		err = s.command(append([]string{"fleet", "limits", strings.TrimPrefix(f.What, "limit-")}, append(slices.Clone(f.Args), "--why", "drill")...))
	case "evacuate":
		each(func(p *proc) error { return s.command([]string{"fleet", "evacuate", p.name}) })
	case "call-only":
		s.only = h.Who
		s.between([]string{"c0"}, s.order, func(w *wire, _, _ *way) { w.reset() })
	case "dying":
		name := " fleet-" // what the step's file begins with
		if f.Args[1] == "syncdir" {
			name = " log"
		}
		each(func(p *proc) error { p.dying = f.Args[1] + name + " " + f.Args[2]; return nil })
	case "step":
		each(func(p *proc) error {
			return os.WriteFile(filepath.Join(p.dir, "wall"), fmt.Appendf(nil, "%d\n", int(span(f.Args[1]).Seconds())), 0o600)
		})
	case "cut":
		both(func(w *way) { w.shut = true })
	case "cut-to":
		s.between(h.Who, h.Other, func(_ *wire, toward, _ *way) { toward.set(func(w *way) { w.shut = true }) })
	case "heal":
		s.heal(h.Who, h.Other)
	case "heal-all":
		s.heal(s.order, s.order)
	case "delay":
		both(func(w *way) { w.delay, w.spread = span(f.Args[2]), span(f.Args[3]) })
	case "slow":
		both(func(w *way) { w.rate = count(f.Args[2]) })
	case "reset":
		s.between(h.Who, h.Other, func(w *wire, _, _ *way) { w.reset() })
	case "stall":
		both(func(w *way) { w.half = true })
	case "flap":
		s.flap(h.Who, h.Other, span(f.Args[2]))
	case "intrude":
		h.Who, _ = s.resolve(f.Args[1])
		if p := s.procs[h.Who[0]]; p != nil {
			addr := p.listen
			if p.talks != "" {
				addr = p.talks
			}
			if f.Args[0] == "greedy" { // it goes on beside what follows
				s.aside.Add(1)
				go func() {
					defer s.aside.Done()
					in := intrude(f.Args[0], addr)
					in.At = h.At
					s.mu.Lock()
					s.intrud = append(s.intrud, in)
					s.mu.Unlock()
				}()
				break
			}
			in := intrude(f.Args[0], addr)
			in.At = h.At
			s.intrud = append(s.intrud, in)
		} else {
			err = fmt.Errorf("no process %q", f.Args[1])
		}
	}
	if err != nil {
		h.Error = err.Error()
	}
	s.opt.Say("%8v %s %v %s", (h.At - s.zero).Round(time.Millisecond), h.What, h.Who, h.Error)
	s.happen = append(s.happen, h)
}

// command is an operator's, by this program.
func (s *stage) command(args []string) error {
	cmd := exec.Command(s.opt.Program, append(args, "--settings", filepath.Join(s.procs["k1"].dir, "settings.edn"))...)
	cmd.Env = append(os.Environ(), s.opt.Env...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// twin starts a second process of the same name, with a folder and links of its own.
func (s *stage) twin(p *proc) error {
	id := p.id + "+"
	other := s.procs[id]
	if other == nil {
		other = &proc{id: id, name: p.name, listen: standin.FreeAddr(), talks: p.talks, dir: filepath.Join(s.opt.Dir, p.id+"-twin")}
		s.procs[id] = other
		if err := s.settings(other); err != nil {
			return err
		}
	}
	return s.launch(other)
}

// damage changes one byte in the newest of a keeper's files.
func damage(p *proc) error {
	names, err := filepath.Glob(filepath.Join(p.dir, "log", "*.tgl"))
	if err != nil || len(names) == 0 {
		return fmt.Errorf("no files: %v", err)
	}
	path := slices.Max(names)
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	b[100] ^= 0x40
	return os.WriteFile(path, b, 0o600)
}

// limit is a full disk, as far as a process can tell: no write of it goes past the first byte of a file.
func (p *proc) limit(most uint64) error {
	if !p.runs() {
		return fmt.Errorf("does not run")
	}
	var now unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &now); err != nil {
		return err
	}
	now.Cur = min(most, now.Max)
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &now, nil)
}

// flap cuts and heals by turns until the drill is over.
func (s *stage) flap(first, others []string, period time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	s.flaps = append(s.flaps, stop)
	var ways []*way
	s.between(first, others, func(_ *wire, toward, back *way) { ways = append(ways, toward, back) })
	go func() {
		for shut := true; ctx.Err() == nil; shut = !shut {
			for _, one := range ways {
				one.set(func(w *way) { w.shut = shut })
			}
			select {
			case <-ctx.Done():
			case <-time.After(period / 2):
			}
		}
		for _, one := range ways {
			one.set(func(w *way) { w.shut = false })
		}
	}()
}

func (s *stage) endAll() {
	for _, p := range s.procs {
		if p.runs() {
			p.killed = true
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	late := time.After(endWithin)
	for _, p := range s.procs {
		if p.cmd == nil {
			continue
		}
		select {
		case <-p.ended:
		case <-late:
			p.cmd.Process.Kill()
			<-p.ended
			late = time.After(0)
		}
	}
}

func (s *stage) close() {
	for _, stop := range s.flaps {
		stop()
	}
	s.endAll()
	for _, w := range s.wires {
		w.close()
	}
	for _, n := range s.names {
		n.Close()
	}
	for _, one := range append(s.servers, s.gone...) {
		one.Close()
	}
	if s.witness != nil {
		s.witness.conn.Close()
	}
}

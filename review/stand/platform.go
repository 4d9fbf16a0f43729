package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

// Site holds the figures of a site file that a router's settings carry.
type Site struct {
	Classes     []Class
	ClearWaitMs int
	MaxAttempts int
	DrainMs     int
	ColdFrom    float64
	WarmMs      int
	Multiple    float64
	OverloadMs  int
	MarksRetry  bool
	Zones       []string // case servers lie in them by turns
}

// Class is one class of a site.
type Class struct {
	Name                      string
	AimMs, DeadlineMs, HoldMs int
	Worth, LateWorth          float64
}

// LahoreKarachi has the figures of the site lahore-karachi.
var LahoreKarachi = Site{
	Classes: []Class{{"status-check", 1200, 9000, 10900, 1, 0.25}, {"fee-record", 2000, 9000, 16300, 3, 0.1},
		{"plan-update", 2500, 9000, 7600, 1, 0.1}},
	ClearWaitMs: 200, MaxAttempts: 6, DrainMs: 1000, ColdFrom: 0.37, WarmMs: 14000, Multiple: 3, OverloadMs: 2000,
	MarksRetry: true, Zones: []string{"lahore", "karachi"},
}

// Platform starts call routers and holds the folder that they share.
type Platform struct {
	rec    *Record
	root   string // of the repository
	dir    string // temporary folder
	tmp    string // TMPDIR of the router's processes, in it
	name   string // of the router
	Listen string
	config string
	Flags  string // added to the run command
	procs  []*Router
}

// Router is a running process of a call router.
type Router struct {
	Label string
	Mgmt  string
	cmd   *exec.Cmd
	log   *os.File
	done  chan struct{}
	err   error
}

// NewPlatform makes the temporary folder and the configuration of one router. root is the repository's.
func NewPlatform(rec *Record, root string, site Site, resolver string, servers []standin.Entry) (*Platform, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	p := &Platform{rec: rec, root: root, dir: dir, tmp: filepath.Join(dir, "tmp"), name: "n0", Listen: FreePort(),
		config: filepath.Join(dir, "config.json")}
	if err := p.EmptyTemp(); err != nil {
		return nil, err
	}
	var members []map[string]any
	var cells []int
	for _, e := range servers {
		cells = append(cells, e.Number)
		members = append(members, map[string]any{"id": e.ID, "host_port": e.Addr.String(), "locality": site.Zones[e.Number%len(site.Zones)],
			"flavor": "std", "cell": e.Number, "phase": "in_service", "size": 1, "up_since_ms": 0})
	}
	var classes []any
	var pools [][]int
	var width, hold []int
	for _, c := range site.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "aimMs": c.AimMs, "deadlineMs": c.DeadlineMs,
			"gain": c.Worth, "lateWorth": c.LateWorth, "repeat": "free", "stream": true})
		pools, width, hold = append(pools, cells), append(width, 1), append(hold, c.HoldMs)
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": p.name, "listen": p.Listen, "seed": "8c1f30d27a5be964", "resolver": resolver,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"cursor": 1, "cmds": []any{map[string]any{"cursor": 1,
			"nodes": map[string]any{"revision": 1, "complete": true, "members": members}}}},
		"settings": map[string]any{
			"me": 0, "replicasOfMe": 1, "classes": classes, "clientHabits": map[string]any{"marksRetry": site.MarksRetry},
			"domain": map[string]any{"allowedPools": pools, "classWidth": width, "clearWaitMs": site.ClearWaitMs,
				"holdingMs": hold, "networkForm": "skills"},
			"limits": map[string]any{"cancel": true, "connectTimeoutMs": 500, "idleCloseMs": 600000,
				"maxAttempts": site.MaxAttempts, "maxRetryAfterMs": 2000, "retryAfter": true},
			"report": map[string]any{"fields": []string{"x0", "x1"}, "source": "inline"},
			"rules": map[string]any{"coldFrom": site.ColdFrom, "drainGraceMs": site.DrainMs, "fallMultiple": site.Multiple,
				"overloadForMs": site.OverloadMs, "warmWithinMs": site.WarmMs},
		},
	}, "", " ")
	if err != nil {
		return nil, err
	}
	platformsMu.Lock()
	defer platformsMu.Unlock()
	if platforms = append(platforms, p); len(platforms) == 1 {
		go endAtSignal()
	}
	return p, os.WriteFile(p.config, text, 0o600)
}

// platforms holds all platforms, so that a case that is ended from outside leaves no process behind.
var (
	platformsMu sync.Mutex
	platforms   []*Platform
)

// endAtSignal ends the case at SIGTERM or SIGINT.
func endAtSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	platformsMu.Lock()
	for _, p := range platforms {
		p.Close()
	}
	platforms[0].rec.Close()
	os.Exit(2)
}

// Write writes a file into the platform's folder and returns its path.
func (p *Platform) Write(name, text string) (string, error) {
	path := filepath.Join(p.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// EmptyTemp empties TMPDIR, as the platform does before each start that is not a new version beside a running process.
func (p *Platform) EmptyTemp() error {
	if err := os.RemoveAll(p.tmp); err != nil {
		return err
	}
	return os.Mkdir(p.tmp, 0o700)
}

// Start starts a process with the run command of the deploy file. With mgmt it gets an operators' address, and the
// folder TMPDIR that all processes of the router share.
func (p *Platform) Start(label string, mgmt bool) (*Router, error) {
	run, err := deployCommand(filepath.Join(p.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	return p.StartCommand(label, run+p.Flags, mgmt)
}

// StartCommand starts a process with a command, from the repository's root.
func (p *Platform) StartCommand(label, run string, mgmt bool) (*Router, error) {
	var err error
	r := &Router{Label: label, done: make(chan struct{})}
	r.cmd = exec.Command("/bin/sh", "-c", run)
	r.cmd.Dir = p.root
	r.cmd.Env = append(os.Environ(), "NODE_NAME="+p.name, "NODE_LISTEN="+p.Listen, "NODE_CONFIG="+p.config, "TMPDIR="+p.tmp)
	if mgmt {
		r.Mgmt = FreePort()
		r.cmd.Env = append(r.cmd.Env, "NODE_MGMT="+r.Mgmt)
	}
	if r.log, err = os.Create(filepath.Join(p.dir, label+".log")); err != nil {
		return nil, err
	}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	p.rec.Printf("platform: %s started: %s", label, run)
	p.procs = append(p.procs, r)
	go func() {
		r.err = r.cmd.Wait()
		p.rec.Printf("platform: %s has ended: %v", label, r.cmd.ProcessState)
		close(r.done)
	}()
	return r, nil
}

// deployCommand returns the run command of the deploy file.
func deployCommand(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			run, _, _ := strings.Cut(rest, `"`)
			return run, nil
		}
	}
	return "", fmt.Errorf("%s has no run command", path)
}

// Signal sends a signal to a process.
func (p *Platform) Signal(r *Router, s syscall.Signal) {
	p.rec.Printf("platform: %v to %s", s, r.Label)
	r.cmd.Process.Signal(s)
}

// Ended reports whether a process has ended.
func (r *Router) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// AwaitEnd waits for a process to end.
func (r *Router) AwaitEnd(limit time.Duration) bool {
	select {
	case <-r.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// AwaitTest waits until the router at the callers' address passes a test, as the front does.
func (p *Platform) AwaitTest(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp4", p.Listen, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		conn.Write(standin.Request("OPTIONS", "ping", "00000000000000aa", ""))
		b := make([]byte, 64)
		n, _ := conn.Read(b)
		conn.Close()
		if strings.HasPrefix(string(b[:n]), "SIP/2.0 200") {
			return true
		}
	}
	return false
}

// AwaitReady asks a process at its operators' address until it says yes.
func (p *Platform) AwaitReady(r *Router, limit time.Duration) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		answer, err := client.Get("http://" + r.Mgmt + "/-/ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode/100 == 2 {
			p.rec.Printf("platform: %s says that it is ready", r.Label)
			return true
		}
	}
	return false
}

// Close ends all processes, adds their logs to the record and removes the folder.
func (p *Platform) Close() {
	for _, r := range p.procs {
		if !r.Ended() {
			r.cmd.Process.Signal(syscall.SIGKILL)
			r.AwaitEnd(5 * time.Second)
		}
		r.log.Close()
		if text, err := os.ReadFile(r.log.Name()); err == nil {
			for line := range strings.Lines(string(text)) {
				p.rec.Printf("log of %s: %s", r.Label, strings.TrimSuffix(line, "\n"))
			}
		}
	}
	os.RemoveAll(p.dir)
}

// Program stand2 runs the cases of the second independent review: the stand-ins for callers, case servers and the name
// service, and the processes of the router that each case needs. It is started by the scripts review/6 to review/10.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
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

// maxRunTime bounds a run, including the end of all processes.
const maxRunTime = 110 * time.Second

// errNotRun marks errors because of which a case could not run.
var errNotRun = errors.New("the case could not run")

// bench is one run of a case.
type bench struct {
	trouble bool
	root    string // of the repository
	tmp     string // temporary folder of this run
	start   time.Time
	mu      sync.Mutex
	record  *os.File
	procs   []*process
	broken  []string
}

// process is a process of the router.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    *syncBuffer
	exited chan struct{}
}

// syncBuffer is a buffer for the log of a process.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

// contains reports whether the log has a text.
func (s *syncBuffer) contains(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(s.b.String(), text)
}

// tail returns the last bytes of the log.
func (s *syncBuffer) tail(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := s.b.String()
	return text[max(0, len(text)-n):]
}

var cases = map[string]func(*bench) error{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER TROUBLE, which is 0 for a run without the disruption")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3] != "0"))
}

// runCase runs a case and returns the exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
func runCase(run func(*bench) error, folder string, trouble bool) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b := &bench{trouble: trouble, root: root, start: time.Now()}
	if b.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.record.Close()
	b.note("with the disruption: %v", trouble)
	if b.tmp, err = os.MkdirTemp("", "review2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(b.tmp)
	defer b.stopAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- run(b) }()
	select {
	case err = <-done:
	case <-time.After(maxRunTime):
		err = fmt.Errorf("%w: it took longer than %v", errNotRun, maxRunTime)
	case s := <-signals:
		err = fmt.Errorf("%w: %v", errNotRun, s)
	}
	if err != nil {
		b.note("NOT RUN: %v", err)
		for _, p := range b.procs {
			b.note("log of %s:\n%s", p.name, p.log.tail(3000))
		}
		fmt.Println("not run:", err)
		return 2
	}
	if len(b.broken) > 0 {
		b.note("RULE BROKEN, %d times", len(b.broken))
		fmt.Printf("broken, %d times; first: %s\n", len(b.broken), b.broken[0])
		return 1
	}
	b.note("RULE HELD")
	fmt.Println("held")
	return 0
}

// note writes a line to the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%9.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (b *bench) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.note("BROKEN: %s", text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, text)
}

// write writes a file into the temporary folder and returns its path.
func (b *bench) write(name string, text []byte) string {
	path := filepath.Join(b.tmp, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		panic(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		panic(err)
	}
	return path
}

// serve starts a router with the run line of the deploy file; settings, if not empty, is the path of its settings file.
func (b *bench) serve(name, config, settings string, env ...string) (*process, error) {
	line := "exec bin/threadglade serve"
	if settings != "" {
		line += " --settings " + settings
	}
	p, err := b.launch(name, line, append([]string{"NODE_CONFIG=" + config, "TMPDIR=" + b.tmp}, env...)...)
	if err != nil {
		return nil, err
	}
	return p, b.await(15*time.Second, name+" serves", func() bool { return p.log.contains("serving on") })
}

// launch starts a program by a command line.
func (b *bench) launch(name, line string, env ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command("/bin/sh", "-c", line), log: &syncBuffer{}, exited: make(chan struct{})}
	p.cmd.Dir = b.root
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	b.note("started %s, process %d: %s", name, p.cmd.Process.Pid, line)
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	b.procs = append(b.procs, p)
	return p, nil
}

// await waits until a condition holds.
func (b *bench) await(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: waited %v in vain until %s", errNotRun, limit, what)
		}
	}
	return nil
}

// signal sends a signal to a process.
func (b *bench) signal(p *process, s syscall.Signal) {
	b.note("%v to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

// stopAll ends all processes of the run.
func (b *bench) stopAll() {
	for _, p := range b.procs {
		select {
		case <-p.exited:
		default:
			p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

// class is a class of calls in the settings.
type class struct {
	name, repeat  string
	aim, deadline int // ms
}

// site holds what the cases vary of the platform's configuration.
type site struct {
	classes     []class
	maxAttempts int
	drainGrace  int // ms
	releaseWait int // ms
	holding     int // ms
	me, routers int
}

// config returns the configuration of a router.
func (s site) config(name, listen, resolver string, serial uint32, servers []*caseServer) []byte {
	members, cells := []any{}, []int{}
	for _, one := range servers {
		cells = append(cells, one.number)
		members = append(members, map[string]any{"id": one.id, "host_port": one.addr(), "locality": "east",
			"flavor": "std", "cell": one.number, "phase": "in_service", "size": 1, "up_since_ms": 0})
	}
	var classes []any
	var pools [][]int
	var holding, width []int
	for _, c := range s.classes {
		classes = append(classes, map[string]any{"name": c.name, "aimMs": c.aim, "deadlineMs": c.deadline, "gain": 1,
			"lateWorth": 0.1, "repeat": c.repeat, "group": "all", "windowMs": 5000, "stream": true})
		pools, holding, width = append(pools, cells), append(holding, s.holding), append(width, 1)
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "seed": "8c1f30d27a5be964", "resolver": resolver,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"cursor": serial, "cmds": []any{map[string]any{"cursor": serial,
			"nodes": map[string]any{"revision": 1, "complete": true, "members": members}}}},
		"settings": map[string]any{
			"me": s.me, "replicasOfMe": max(s.routers, 1), "classes": classes,
			"domain": map[string]any{"allowedPools": pools, "clearWaitMs": s.releaseWait, "holdingMs": holding,
				"classWidth": width, "networkForm": "skills", "selfNo": -1},
			"limits": map[string]any{"cancel": true, "connectTimeoutMs": 500, "maxAttempts": s.maxAttempts,
				"maxRetryAfterMs": 2000, "mayDuplicate": false, "retryAfter": true},
			"clientHabits": map[string]any{"marksRetry": true},
			"report":       map[string]any{"fields": []string{"idle", "circuits", "latency_ms", "max_rate"}, "source": "inline"},
			"rules": map[string]any{"coldFrom": 0.37, "drainGraceMs": s.drainGrace, "fallMultiple": 3,
				"graceToAnswerMs": 20, "overloadForMs": 2000, "warmWithinMs": 14000},
		},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	return text
}

// newNames starts a name service with the list of the servers.
func newNames(servers []*caseServer) (*standin.NameService, error) {
	names, err := standin.NewNameService(7, false)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	var list []standin.Entry
	for _, s := range servers {
		list = append(list, s.entry())
	}
	names.SetServers(7, list)
	return names, nil
}

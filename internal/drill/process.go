package drill

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

// This file starts and stops the processes of a run, writes their settings and measures what they use.

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
	killsItself   bool   // the process was started with a killStep
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
	if p.killsItself = p.killStep != ""; p.killsItself {
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

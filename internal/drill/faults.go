package drill

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"threadglade.example/threadglade/internal/standin"
)

// This file injects the faults of a plan into the processes, links and stand-ins of a run.

// FaultEvent is a fault that was injected.
type FaultEvent struct {
	At       time.Duration `json:"at"`              // since the observer's start
	What     string        `json:"what"`            // as in the drill file
	Who      []string      `json:"who"`             // what the first argument's pattern resolved to
	Other    []string      `json:"other,omitempty"` // the same of the second argument
	AtLeader bool          `json:"lead,omitempty"`  // its target was the leading keeper
	Error    string        `json:"error,omitempty"` // why it could not be injected
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
			if (p.killed || p.killsItself) && p.exited != nil {
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

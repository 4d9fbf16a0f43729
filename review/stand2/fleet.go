package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

// fleetOf is three routers, each of which is a keeper too, with the defaults of the operators' pages for lease and
// takeover, and two case servers.
type fleetOf struct {
	b       *bench
	names   *standin.NameService
	servers []*caseServer
	routers []*process
	listens []string
	configs []string
	paths   []string
	callers *callers // of the first router
}

// newFleet starts the fleet and waits until each router has its lease.
func newFleet(b *bench, s site, plan func(string, standin.Message) behaviour) (*fleetOf, error) {
	f := &fleetOf{b: b}
	for i := range 2 {
		server, err := newCaseServer(b, i, plan)
		if err != nil {
			return nil, err
		}
		f.servers = append(f.servers, server)
	}
	var err error
	if f.names, err = newNames(f.servers); err != nil {
		return nil, err
	}
	var listen []string
	for range 3 {
		listen = append(listen, standin.FreeAddr())
	}
	keepers := ""
	for i := range 3 {
		keepers += fmt.Sprintf("    (keeper \"n%d\" (address %q))\n", i, listen[i])
	}
	settings := func(i int) string {
		return fmt.Sprintf("(threadglade\n  (log (level info) (form text))\n  (fleet\n    (name \"review\")\n"+
			"    (directory %q)\n    (lease 3s) (renew 1s) (drift-percent 1)\n%s    (members \"n*\")\n"+
			"    (zone \"z%d\") (listen %q))\n  (takeover))\n",
			filepath.Join(b.tmp, "fleet", fmt.Sprintf("n%d", i)), keepers, i, listen[i])
	}
	var paths []string
	for i := range 3 {
		paths = append(paths, b.write(fmt.Sprintf("n%d.edn", i), []byte(settings(i))))
	}
	found := exec.Command("/bin/sh", "-c", "exec bin/threadglade fleet found --settings "+paths[0]+" -o "+
		filepath.Join(b.tmp, "fleet"))
	found.Dir = b.root
	if out, err := found.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: fleet found: %w: %s", errNotRun, err, out)
	}
	for i := range 3 {
		name, listen := fmt.Sprintf("n%d", i), standin.FreeAddr()
		s.me, s.routers = i, 3
		config := b.write(name+".json", s.config(name, listen, f.names.Addr(), 7, f.servers))
		p, err := b.serve(name, config, paths[i])
		if err != nil {
			return nil, err
		}
		f.routers, f.listens, f.configs = append(f.routers, p), append(f.listens, listen), append(f.configs, config)
	}
	for i, p := range f.routers {
		if err := b.await(20*time.Second, p.name+" has its lease and two holders", func() bool {
			return strings.Contains(f.work(paths[i]), fmt.Sprintf("n%d", (i+1)%3)) && p.log.contains("lease")
		}); err != nil {
			return nil, err
		}
	}
	f.callers, f.paths = newCallers(b, f.listens[0]), paths
	time.Sleep(3 * time.Second) // the links between all routers are up
	b.note("the fleet has formed")
	return f, nil
}

// work returns what the command for operators says of the work in hand.
func (f *fleetOf) work(settings string) string {
	cmd := exec.Command("/bin/sh", "-c", "exec bin/threadglade fleet work --settings "+settings)
	cmd.Dir = f.b.root
	out, _ := cmd.CombinedOutput()
	return string(out)
}

// killTwo kills two of the three routers at once: fewer than the seven in ten that the fleet pages name.
func (f *fleetOf) killTwo() {
	f.b.note("two of three call routers are killed at once")
	for _, p := range f.routers[1:] {
		f.b.signal(p, syscall.SIGKILL)
	}
}

// restartTwo starts the two routers again, under their names and addresses.
func (f *fleetOf) restartTwo() error {
	for i := 1; i < 3; i++ {
		p, err := f.b.serve(fmt.Sprintf("n%d", i), f.configs[i], f.paths[i])
		if err != nil {
			return err
		}
		f.routers[i] = p
	}
	return nil
}

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

func init() { cases["8"] = droppedByUpgrade }

// keepersOf starts three keepers and returns their entries in the settings, once the fleet is founded.
func keepersOf(b *bench) (list string, err error) {
	for i := range 3 {
		list += fmt.Sprintf("    (keeper \"k%d\" (address %q))\n", i, standin.FreeAddr())
	}
	var paths []string
	for i := range 3 {
		paths = append(paths, b.write(fmt.Sprintf("k%d.edn", i), []byte(fmt.Sprintf("(threadglade\n  (fleet\n"+
			"    (name \"review\") (directory %q)\n    (lease 3s) (renew 1s) (drift-percent 1)\n%s    (members \"n*\")))\n",
			filepath.Join(b.tmp, "fleet", fmt.Sprintf("k%d", i)), list))))
	}
	found := exec.Command("/bin/sh", "-c", "exec bin/threadglade fleet found --settings "+paths[0]+" -o "+
		filepath.Join(b.tmp, "fleet"))
	found.Dir = b.root
	if out, err := found.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: fleet found: %w: %s", errNotRun, err, out)
	}
	for i, path := range paths {
		name := fmt.Sprintf("k%d", i)
		line := "exec bin/threadglade fleet keeper --settings " + path + " --name " + name
		if _, err := b.launch(name, line); err != nil {
			return "", err
		}
	}
	return list, nil
}

// droppedByUpgrade: what has stood and was released by its case server is released towards its caller, also if a new
// version takes a router of a fleet over.
func droppedByUpgrade(b *bench) error {
	s := site{classes: []class{{"status-check", "free", 1200, 9000}}, maxAttempts: 6, drainGrace: 1000,
		releaseWait: 200, holding: 6000}
	var servers []*caseServer
	for i := range 2 {
		server, err := newCaseServer(b, i, func(string, standin.Message) behaviour {
			return behaviour{delay: 400 * time.Millisecond, hold: 6 * time.Second}
		})
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	names, err := newNames(servers)
	if err != nil {
		return err
	}
	keepers, err := keepersOf(b)
	if err != nil {
		return err
	}
	var configs, settings, folders, listens []string
	for i := range 3 {
		name := fmt.Sprintf("n%d", i)
		s.me, s.routers = i, 3
		listens, folders = append(listens, standin.FreeAddr()), append(folders, filepath.Join(b.tmp, "tmp-"+name))
		if err := os.MkdirAll(folders[i], 0o755); err != nil {
			return err
		}
		configs = append(configs, b.write(name+".json", s.config(name, listens[i], names.Addr(), 7, servers)))
		settings = append(settings, b.write(name+".edn", []byte(fmt.Sprintf("(threadglade\n  (log (level info) (form text))\n"+
			"  (fleet\n    (name \"review\")\n    (lease 3s) (renew 1s) (drift-percent 1)\n%s    (members \"n*\")\n"+
			"    (zone \"z%d\") (listen \"127.0.0.1:0\"))\n  (takeover))\n", keepers, i))))
	}
	start := func(i int, name string) (*process, error) {
		addr := standin.FreeAddr()
		p, err := b.serve(name, configs[i], settings[i], "NODE_MGMT="+addr, "TMPDIR="+folders[i])
		if err != nil {
			return nil, err
		}
		return p, b.await(newProcessGiven, name+" is ready", func() bool { return mgmt("GET", addr, "/-/ready") == 200 })
	}
	var old *process
	for i := range 3 {
		p, err := start(i, fmt.Sprintf("n%d", i))
		if err != nil {
			return err
		}
		if err := b.await(15*time.Second, p.name+" has its lease", func() bool {
			return p.log.contains("event=fleet_granted")
		}); err != nil {
			return err
		}
		if i == 0 {
			old = p
		}
	}
	time.Sleep(4 * time.Second) // the links between all routers are up
	c := newCallers(b, listens[0])
	began := time.Now()
	load := func(until time.Duration) error {
		for i := 0; time.Since(began) < until; i++ {
			if _, err := c.invite("status-check", newID()[:10], i%2, 3*time.Second); err != nil {
				return err
			}
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	}
	if err := load(2 * time.Second); err != nil {
		return err
	}
	if b.trouble {
		if _, err := start(0, "n0, new version"); err != nil {
			return err
		}
	}
	if err := load(2*time.Second + newProcessGiven); err != nil {
		return err
	}
	if b.trouble {
		b.signal(old, syscall.SIGTERM)
	}
	if err := load(2*time.Second + newProcessGiven + killedAfter); err != nil {
		return err
	}
	killedAt := time.Now()
	if b.trouble {
		b.signal(old, syscall.SIGKILL)
	}
	time.Sleep(22 * time.Second)
	ended, refused := 0, 0
	for _, id := range c.ids() {
		call := c.call(id)
		for _, server := range servers {
			seen, ok := server.call(id)
			if ok && call.status == 503 && seen.refusedAt.IsZero() {
				refused++
			}
			// No release is owed for what stands in the old process at SIGKILL.
			if !ok || seen.releasedAt.IsZero() || call.status != 200 || call.sentAt.Before(killedAt) &&
				seen.releasedAt.After(killedAt) {
				continue
			}
			ended++
			if call.endedAt.IsZero() {
				b.breaks("%s was released by %s; its caller, whose connection is open, is not told %v later", id, server.id,
					time.Since(seen.releasedAt).Round(time.Millisecond))
			}
		}
	}
	b.note("%d calls stood and were released by a case server; %d set-ups were refused with 503 after they had arrived there",
		ended, refused)
	return nil
}

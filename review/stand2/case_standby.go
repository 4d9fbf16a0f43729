package main

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

const (
	newProcessGiven = 6 * time.Second // to say yes, before the old one gets SIGTERM
	killedAfter     = 5700 * time.Millisecond
)

func init() { cases["6"] = endHeardInStandby }

// endHeardInStandby: what has stood and was released by its case server is released towards its caller, also while a
// new version stands by.
func endHeardInStandby(b *bench) error {
	s := site{classes: []class{{"status-check", "free", 1200, 9000}}, maxAttempts: 6, drainGrace: 1000,
		releaseWait: 200, holding: 6000}
	var servers []*caseServer
	for i := range 2 {
		server, err := newCaseServer(b, i, func(string, standin.Message) behaviour {
			return behaviour{delay: 50 * time.Millisecond, hold: 6 * time.Second}
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
	listen, shared := standin.FreeAddr(), filepath.Join(b.tmp, "shared")
	if err := os.MkdirAll(shared, 0o755); err != nil {
		return err
	}
	config := b.write("n0.json", s.config("n0", listen, names.Addr(), 7, servers))
	start := func(name string) (*process, error) {
		addr := standin.FreeAddr()
		p, err := b.serve(name, config, "", "NODE_MGMT="+addr, "TMPDIR="+shared)
		if err != nil {
			return nil, err
		}
		return p, b.await(newProcessGiven, name+" is ready", func() bool { return mgmt("GET", addr, "/-/ready") == 200 })
	}
	old, err := start("old")
	if err != nil {
		return err
	}
	c := newCallers(b, listen)
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
	if err := load(3 * time.Second); err != nil {
		return err
	}
	if b.trouble {
		b.note("s0 resets its connections")
		servers[0].closeConns()
	}
	if err := load(3500 * time.Millisecond); err != nil {
		return err
	}
	if b.trouble {
		if _, err := start("new"); err != nil {
			return err
		}
	}
	if err := load(3500*time.Millisecond + newProcessGiven); err != nil {
		return err
	}
	if b.trouble {
		b.signal(old, syscall.SIGTERM)
	}
	if err := load(3500*time.Millisecond + newProcessGiven + killedAfter); err != nil {
		return err
	}
	if b.trouble {
		b.signal(old, syscall.SIGKILL)
	}
	killedAt := time.Now()
	// Longer than the 5 s after both processes ran, the last call, and the 8 s for its release.
	time.Sleep(16 * time.Second)
	ended := 0
	for _, id := range c.ids() {
		call := c.call(id)
		for _, server := range servers {
			seen, ok := server.call(id)
			if !ok || seen.releasedAt.IsZero() || call.status != 200 {
				continue
			}
			ended++
			if call.endedAt.IsZero() {
				b.breaks("%s was released by %s, %v before the old process got SIGKILL; its caller is not told %v later",
					id, server.id, killedAt.Sub(seen.releasedAt).Round(time.Millisecond),
					time.Since(seen.releasedAt).Round(time.Millisecond))
			}
		}
	}
	b.note("%d calls stood and were released by a case server", ended)
	return nil
}

package main

import (
	"time"

	"threadglade.example/threadglade/internal/standin"
)

func init() { cases["9"] = releaseIntoSilence }

// releaseIntoSilence: a call whose release by its caller the router has answered with 200 is not left standing at its case
// server, also if a connection to that server falls silent.
func releaseIntoSilence(b *bench) error {
	s := site{classes: []class{{"status-check", "free", 1200, 9000}}, maxAttempts: 6, drainGrace: 1000,
		releaseWait: 200, holding: 8000}
	var servers, listed []*caseServer
	var paths []*path
	for i := range 2 {
		server, err := newCaseServer(b, i, func(string, standin.Message) behaviour {
			return behaviour{delay: 50 * time.Millisecond, hold: time.Minute} // the callers end their calls
		})
		if err != nil {
			return err
		}
		go server.reportEvery(700 * time.Millisecond) // the site has reports refreshed every 110 to 720 ms
		front, err := newPath(server.addr())
		if err != nil {
			return err
		}
		servers, paths = append(servers, server), append(paths, front)
		listed = append(listed, &caseServer{id: server.id, number: i, address: front.addr})
	}
	names, err := newNames(listed)
	if err != nil {
		return err
	}
	listen := standin.FreeAddr()
	if _, err := b.serve("n0", b.write("n0.json", s.config("n0", listen, names.Addr(), 7, listed)), ""); err != nil {
		return err
	}
	c := newCallers(b, listen)
	began, silent := time.Now(), false
	for i := 0; time.Since(began) < 24*time.Second; i++ {
		id, err := c.invite("status-check", newID()[:10], i%2, 3*time.Second)
		if err != nil {
			return err
		}
		time.AfterFunc(8*time.Second, func() { c.hangUp(id) })
		if b.trouble && !silent && time.Since(began) > 14*time.Second {
			silent = true
			b.note("the open connection to s0 falls silent")
			paths[0].freeze()
		}
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * 25 * time.Millisecond)))
	}
	time.Sleep(20 * time.Second)
	released := 0
	for _, id := range c.ids() {
		call := c.call(id)
		for _, server := range servers {
			seen, ok := server.call(id)
			if !ok || seen.answeredAt.IsZero() || call.heardAt.IsZero() {
				continue
			}
			released++
			if seen.byeAt.IsZero() {
				b.breaks("%s: its caller's release was answered with 200; it is left standing at %s, which is not told %v later",
					id, server.id, time.Since(call.hungUpAt).Round(time.Millisecond))
			}
		}
	}
	b.note("%d calls were released by their callers and these releases answered with 200", released)
	return nil
}

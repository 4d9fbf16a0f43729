package main

import (
	"time"

	"threadglade.example/threadglade/internal/standin"
)

const (
	// These are the figures of the site texas-seat-res, and of fogpont-hu-main.
	drainGrace  = 250
	releaseWait = 300
	// connectionLate is how late connections come up: less than the 1 s that the fleet pages name.
	connectionLate = 450 * time.Millisecond
)

func init() { cases["10"] = sentToDraining }

// sentToDraining: nothing new goes to a case server later than the grace and 50 ms after the router was told that it
// drains.
func sentToDraining(b *bench) error {
	s := site{classes: []class{{"seat-lookup", "free", 2000, 9000}}, maxAttempts: 4, drainGrace: drainGrace,
		releaseWait: releaseWait, holding: 3000}
	var servers []*caseServer
	for i := range 4 {
		server, err := newCaseServer(b, i, func(string, standin.Message) behaviour {
			return behaviour{delay: 20 * time.Millisecond, hold: 3 * time.Second}
		})
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	names, err := newToldNames(b, 7, entries(servers))
	if err != nil {
		return err
	}
	listen := standin.FreeAddr()
	if _, err = b.serve("n0", b.write("n0.json", s.config("n0", listen, names.addr(), 7, servers)), ""); err != nil {
		return err
	}
	c := newCallers(b, listen)
	start, first := time.Now(), 0
	load := func(until time.Duration) error {
		for next := time.Now(); time.Since(start) < until; time.Sleep(time.Until(next)) {
			next = next.Add(20 * time.Millisecond)
			if _, err := c.invite("seat-lookup", newID()[:10], first, 3*time.Second); err != nil {
				return err
			}
		}
		return nil
	}
	serial := uint32(7)
	for _, drains := range servers[:2] { // half of the case servers
		first = drains.number // where calls go shifts
		if err := load(time.Since(start) + 2*time.Second); err != nil {
			return err
		}
		if b.trouble {
			if err := drains.closeAndDelay(connectionLate); err != nil {
				return err
			}
		}
		if err := load(time.Since(start) + 60*time.Millisecond); err != nil {
			return err
		}
		list := entries(servers)
		for i := range list {
			list[i].Draining = list[i].Number <= drains.number
		}
		serial++
		names.set(serial, list)
		if err := load(time.Since(start) + 2*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	limit := (drainGrace + 50) * time.Millisecond
	for i, server := range servers[:2] {
		told := names.toldAt(uint32(8 + i))
		if told.IsZero() {
			return errNotRun
		}
		for _, id := range c.ids() {
			seen, _ := server.call(id)
			for _, at := range seen.arrivedAt {
				if after := at.Sub(told); after > limit {
					b.breaks("set-up of %s arrived at %s %v after the router was told that it drains; the limit is %v", id,
						server.id, after.Round(time.Millisecond), limit)
				}
			}
		}
	}
	return nil
}

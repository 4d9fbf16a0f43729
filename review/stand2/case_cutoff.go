package main

import (
	"time"

	"threadglade.example/threadglade/internal/standin"
)

func init() { cases["8"] = endsNeverTold }

// endsNeverTold: a call that stood and was released by its case server is released towards its caller, also after its
// router was cut off from the rest of the fleet.
func endsNeverTold(b *bench) error {
	s := site{classes: []class{{"status-check", "free", 1200, 9000}}, maxAttempts: 6, drainGrace: 1000,
		releaseWait: 200, holding: 6000}
	f, err := newFleet(b, s, false, func(string, standin.Message) behaviour {
		return behaviour{delay: 50 * time.Millisecond, hold: 6 * time.Second}
	})
	if err != nil {
		return err
	}
	start := time.Now()
	cut, healed := false, false
	for i := 0; time.Since(start) < 14*time.Second; i++ {
		if b.trouble && !cut && time.Since(start) > 4*time.Second {
			cut = true
			f.cutOff(true)
		}
		if cut && !healed && time.Since(start) > 4*time.Second+partitionFor {
			healed = true
			f.cutOff(false)
		}
		if _, err := f.callers.invite("status-check", newID()[:10], i%2, 3*time.Second); err != nil {
			return err
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / setupsPerSecond)))
	}
	time.Sleep(25 * time.Second)
	ended := 0
	for _, id := range f.callers.ids() {
		call := f.callers.call(id)
		for _, server := range f.servers {
			seen, ok := server.call(id)
			if !ok || call.status != 200 || seen.releasedAt.IsZero() && seen.byeAt.IsZero() {
				continue
			}
			ended++
			switch {
			case !call.endedAt.IsZero():
			case seen.byeAt.IsZero():
				b.breaks("%s was released by %s; its caller, whose connection is open, is not told %v later", id, server.id,
					time.Since(seen.releasedAt).Round(time.Millisecond))
			default:
				b.breaks("%s was released at %s by a router; its caller, whose connection is open, is not told %v later", id,
					server.id, time.Since(seen.byeAt).Round(time.Millisecond))
			}
		}
	}
	b.note("%d calls stood and are over", ended)
	return nil
}

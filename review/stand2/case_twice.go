package main

import (
	"time"

	"threadglade.example/threadglade/internal/standin"
)

const (
	setupsPerSecond = 20
	killAfter       = 4 * time.Second // from the first set-up
	// routersBackAfter is within the 1.1 to 6.4 s after which routers come back (users/USER.md).
	routersBackAfter = 6 * time.Second
)

func init() {
	cases["7"] = refusedAlthoughSent
}

// load sends set-ups to the fleet's first router for a while. Two of three routers are killed at killAfter and come
// back routersBackAfter later, unless the run is one without trouble.
func (f *fleetOf) load(class string, d, within time.Duration) error {
	start, killed, back := time.Now(), false, false
	for i := 0; time.Since(start) < d; i++ {
		if f.b.trouble && !killed && time.Since(start) >= killAfter {
			killed = true
			f.killTwo()
		}
		if killed && !back && time.Since(start) >= killAfter+routersBackAfter {
			back = true
			go f.restartTwo()
		}
		if _, err := f.callers.invite(class, newID()[:10], i%2, within); err != nil {
			return err
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / setupsPerSecond)))
	}
	return nil
}

// refusedAlthoughSent: no set-up of a class that may be sent only once is refused while it may have run.
func refusedAlthoughSent(b *bench) error {
	s := site{classes: []class{{"booking", "single_shot", 2000, 9000}}, maxAttempts: 6, drainGrace: 1000,
		releaseWait: 200, holding: 5000}
	f, err := newFleet(b, s, func(string, standin.Message) behaviour {
		return behaviour{delay: 400 * time.Millisecond, hold: 5 * time.Second}
	})
	if err != nil {
		return err
	}
	// A refused caller dials again, with a new id and for the same booking.
	f.callers.onEnd = func(id string, status int) {
		if call := f.callers.call(id); status == 503 || status == 480 {
			time.AfterFunc(500*time.Millisecond, func() {
				f.callers.invite(call.class, call.number, 0, 3*time.Second, "Repeat-Mark", "1")
			})
		}
	}
	if err := f.load("booking", 12*time.Second, 3*time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	sent := map[string]int{} // set-ups of a booking that arrived at case servers
	for _, id := range f.callers.ids() {
		call := f.callers.call(id)
		for _, server := range f.servers {
			if seen, ok := server.call(id); ok {
				sent[call.number]++
				if (call.status == 503 || call.status == 480) && seen.refusedAt.IsZero() {
					b.breaks("%s was refused with %d %v after its set-up had arrived at %s, which had not refused it",
						id, call.status, call.answeredAt.Sub(seen.arrivedAt[0]).Round(time.Millisecond), server.id)
				}
			}
		}
	}
	twice := 0
	for _, n := range sent {
		if n > 1 {
			twice++
		}
	}
	b.note("%d set-ups, %d bookings of which a second set-up arrived at a case server", len(f.callers.ids()), twice)
	return nil
}

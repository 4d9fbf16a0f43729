package threadglade

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// twins follows a Controller with clones: one goes on as the original does, the others are sent on other ways first.
type twins struct {
	world *world
	twin  *Controller
	other *rand.Rand
	count int
}

// follow is called with each event before the original hears it.
func (w *twins) follow(e Event) {
	w.world.t.Helper()
	c, now := w.world.c, w.world.now
	if w.count++; w.count%50 == 1 {
		w.twin = c.Clone()
	}
	if w.count%10 == 0 { // a clone of its own is sent another way; the twin shows whether the original was touched
		stray, busy := c.Clone(), maps.Clone(c.busy)
		for i := range 20 {
			id := fmt.Sprint("stray", i)
			if n := len(w.world.order); n > 0 && i%2 == 0 {
				id = w.world.order[n-1-w.other.IntN(min(n, 40))]
			}
			switch w.other.IntN(6) {
			case 0:
				stray.Handle(now, Arrival{Call: id, Class: w.world.set.Classes[0].Name, Tenant: "left", Number: fmt.Sprint("n", w.other.IntN(900)), TimeLeft: 900 * ms, Destination: 1})
			case 1:
				stray.Handle(now, Stood{Call: id, After: 5 * ms})
			case 2:
				stray.Handle(now, Ended{Call: id, Attempt: w.other.IntN(3), Outcome: Outcome(w.other.IntN(8)), Cause: Cause(w.other.IntN(5))})
			case 3:
				stray.Handle(now, ServerList{Servers: []Server{{ID: "s0", Number: 1, State: ServerState(w.other.IntN(3)), Started: now}}})
			case 4:
				stray.Handle(now, Agents{Server: "s0", Free: w.other.IntN(9), Total: 40})
			default:
				stray.Handle(now+1e9, Due{Token: int64(w.other.IntN(99))})
			}
		}
		if !maps.Equal(busy, c.busy) {
			w.world.t.Fatalf("at %v a clone changes the numbers that rest", now)
		}
	}
}

// TestCloneGoesOnAlike: over random histories a clone answers every event as the original does, whatever is done to other clones.
func TestCloneGoesOnAlike(t *testing.T) {
	tenants := settings()
	tenants.Tenants = []Tenant{{Name: "left", Quota: 5, Share: 0.5}}
	guarded := settings()
	guarded.Classes[0].Repeat = RepeatNever
	unmarked := settings()
	unmarked.Callers.MarkRetries = false
	for name, set := range map[string]Settings{"two": settings(), "tenants": tenants, "guarded": guarded, "unmarked": unmarked} {
		for seed := range uint64(3) {
			plain := play(t, set, seed)
			w := &twins{other: rand.New(rand.NewPCG(seed, 9))}
			followed := playWith(t, set, seed, func(x *world, e Event) func([]Action) {
				w.world = x
				w.follow(e)
				twin := w.twin.Handle(x.now, e)
				return func(actions []Action) {
					if have, want := fmt.Sprintf("%#v", twin), fmt.Sprintf("%#v", actions); have != want {
						t.Fatalf("%s %d: at %v %#v has the clone do\n%s\nand the original\n%s", name, seed, x.now, e, have, want)
					}
				}
			})
			if len(plain) != len(followed) {
				t.Fatalf("%s %d: cloning changes the original", name, seed)
			}
			for i := range plain {
				if plain[i] != followed[i] {
					t.Fatalf("%s %d: cloning changes the original: %s is %s", name, seed, plain[i], followed[i])
				}
			}
		}
	}
}

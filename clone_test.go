package threadglade

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// cloneChecker compares a Controller with a clone that gets the same events. Further clones get other events, to
// show that they share nothing with the original.
type cloneChecker struct {
	run    *randomRun
	clone  *Controller
	random *rand.Rand
	events int
}

// beforeEvent is called with each event before the original handles it.
func (w *cloneChecker) beforeEvent(e Event) {
	w.run.t.Helper()
	c, now := w.run.c, w.run.now
	if w.events++; w.events%50 == 1 {
		w.clone = c.Clone()
	}
	if w.events%10 == 0 { // the comparison shows whether another clone's events touch the original
		otherClone, busy := c.Clone(), maps.Clone(c.busyNumbers)
		for i := range 20 {
			id := fmt.Sprint("stray", i)
			if n := len(w.run.order); n > 0 && i%2 == 0 {
				id = w.run.order[n-1-w.random.IntN(min(n, 40))]
			}
			switch w.random.IntN(6) {
			case 0:
				otherClone.Handle(now, Arrival{Call: id, Class: w.run.settings.Classes[0].Name, Tenant: "left",
					Number: fmt.Sprint("n", w.random.IntN(900)), TimeLeft: 900 * ms, Destination: 1})
			case 1:
				otherClone.Handle(now, Established{Call: id, Latency: 5 * ms})
			case 2:
				otherClone.Handle(now, Ended{Call: id, Attempt: w.random.IntN(3), Outcome: Outcome(w.random.IntN(8)),
					Cause: Cause(w.random.IntN(5))})
			case 3:
				otherClone.Handle(now, ServerList{Servers: []Server{
					{ID: "s0", Number: 1, State: ServerState(w.random.IntN(3)), Started: now}}})
			case 4:
				otherClone.Handle(now, Agents{Server: "s0", Free: w.random.IntN(9), Total: 40})
			default:
				otherClone.Handle(now+1e9, Due{Token: int64(w.random.IntN(99))})
			}
		}
		if !maps.Equal(busy, c.busyNumbers) {
			w.run.t.Fatalf("at %v a clone changed the busy numbers of the original", now)
		}
	}
}

// TestCloneBehavesLikeTheOriginal checks over random events that a clone returns the same actions as the original,
// whatever other clones handle.
func TestCloneBehavesLikeTheOriginal(t *testing.T) {
	tenants := settings()
	tenants.Tenants = []Tenant{{Name: "left", Quota: 5, Share: 0.5}}
	guarded := settings()
	guarded.Classes[0].Repeat = RepeatNever
	unmarked := settings()
	unmarked.Callers.MarkRetries = false
	for name, set := range map[string]Settings{"two": settings(), "tenants": tenants, "guarded": guarded,
		"unmarked": unmarked} {
		for seed := range uint64(3) {
			uncloned := runRandomEvents(t, set, seed)
			checker := &cloneChecker{random: rand.New(rand.NewPCG(seed, 9))}
			cloned := runObservedEvents(t, set, seed, func(run *randomRun, e Event) func([]Action) {
				checker.run = run
				checker.beforeEvent(e)
				cloneActions := checker.clone.Handle(run.now, e)
				return func(actions []Action) {
					if have, want := fmt.Sprintf("%#v", cloneActions), fmt.Sprintf("%#v", actions); have != want {
						t.Fatalf("%s %d: at %v, for %#v the clone returns\n%s\nand the original\n%s",
							name, seed, run.now, e, have, want)
					}
				}
			})
			if len(uncloned) != len(cloned) {
				t.Fatalf("%s %d: cloning changes the original", name, seed)
			}
			for i := range uncloned {
				if uncloned[i] != cloned[i] {
					t.Fatalf("%s %d: cloning changed the original: got %s, want %s", name, seed, cloned[i], uncloned[i])
				}
			}
		}
	}
}

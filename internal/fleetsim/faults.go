package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"threadglade.example/threadglade/fleet"
)

// scheduleFaults schedules the faults and the puts. Each kind is a Poisson process of its own and stops when the quiet
// period at the end begins.
func (w *world) scheduleFaults() {
	repeat := func(rate float64, do func()) {
		if rate <= 0 {
			return
		}
		var next func()
		next = func() {
			if w.now < w.cfg.Duration-w.cfg.QuietPeriod {
				do()
				w.schedule(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), nil, next)
			}
		}
		w.schedule(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), nil, next)
	}
	randomProcess := func() *process { // a keeper or a member with equal probability
		if w.random.IntN(2) == 0 {
			return w.keepers[w.random.IntN(len(w.keepers))]
		}
		return w.members[w.random.IntN(len(w.members))]
	}
	randomUpTo := func(limit time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(limit))) }
	repeat(w.cfg.PartitionRate, func() {
		p, direction := randomProcess(), w.random.IntN(3)
		var keys [][2]*process
		for _, other := range slices.Concat(w.keepers, w.members) {
			if other != p && w.random.IntN(4) != 0 {
				if direction != 0 {
					keys = append(keys, [2]*process{p, other})
				}
				if direction != 1 {
					keys = append(keys, [2]*process{other, p})
				}
			}
		}
		w.logFault("cut %s, way %d, %d links", p.name, direction, len(keys))
		for _, key := range keys {
			w.blocked[key] = true
		}
		w.schedule(randomUpTo(8*time.Second), nil, func() {
			for _, key := range keys {
				delete(w.blocked, key)
			}
		})
	})
	repeat(w.cfg.PauseRate, func() { w.pause(randomProcess(), randomUpTo(w.cfg.MaxPause)) })
	repeat(w.cfg.IsolatedLeaderRate, func() {
		leaderIndex := slices.IndexFunc(w.keepers, func(k *process) bool {
			_, leads := k.keeper.LeaderTerm()
			return k.up && leads
		})
		member := w.members[w.random.IntN(len(w.members))]
		if leaderIndex < 0 || !member.up || member.paused {
			return
		}
		leader := w.keepers[leaderIndex]
		w.logFault("island of %s and %s", leader.name, member.name)
		for _, k := range w.keepers {
			for _, p := range []*process{leader, member} {
				if k != leader {
					for _, key := range [][2]*process{{k, p}, {p, k}} {
						w.blocked[key] = true
						w.schedule(7*time.Second, nil, func() { delete(w.blocked, key) })
					}
				}
			}
		}
		w.startMember(member.name)
		for i := range 8 { // the pauses delay the moment at which the leader notices that it has no followers
			w.schedule(time.Duration(i)*600*time.Millisecond, nil, func() { w.pause(leader, 540*time.Millisecond) })
		}
	})
	repeat(w.cfg.KillRate, func() {
		p := randomProcess()
		if !p.up || p.filesLost {
			return
		}
		w.logFault("kill %s", p.name)
		p.up, p.paused, p.deferred = false, false, nil
		w.closeLinks(p)
		w.disconnect(p)
		if w.cfg.LoseFiles && p.voterNumber != 0 && w.random.IntN(2) == 0 && w.intactKeepers() == len(w.keepers) {
			p.filesLost, p.stored = true, fleet.Stored{} // without its files it must not start again
			if _, err := fleet.NewKeeper(w.cfg.Settings, p.stored, w.random, 0); err == nil {
				w.reportViolation("a keeper started without its files")
			}
			w.logFault("wipe %s", p.name)
			return
		}
		w.schedule(randomUpTo(6*time.Second), nil, func() { w.restart(p) })
	})
	repeat(w.cfg.MemberKillRate, func() {
		if p := w.members[w.random.IntN(len(w.members))]; p.up {
			w.logFault("kill %s", p.name)
			p.up = false
			w.closeLinks(p)
			w.disconnect(p)
			w.schedule(10*time.Second, nil, func() { w.restart(p) })
		}
	})
	repeat(w.cfg.DuplicateMemberRate, func() {
		p := w.members[w.random.IntN(len(w.members))]
		running := 0
		for _, member := range w.members {
			if member.name == p.name && member.up {
				running++
			}
		}
		if running < 2 {
			w.logFault("twin %s", p.name)
			w.startMember(p.name)
		}
	})
	repeat(w.cfg.PutRate, func() {
		if p := w.members[w.random.IntN(len(w.members))]; p.up && !p.paused {
			w.putFact(p)
		}
	})
}

// pause suspends a process for a time.
func (w *world) pause(p *process, d time.Duration) {
	if p.paused || !p.up {
		return
	}
	p.paused = true
	generation := p.generation
	w.logFault("pause %s %v", p.name, d)
	w.schedule(d, nil, func() {
		if p.generation == generation && p.up {
			w.resume(p)
		}
	})
}

// logFault adds a fault to the log and to the checksum.
func (w *world) logFault(format string, args ...any) {
	text := fmt.Sprintf("%8.3f ", w.now.Seconds()) + fmt.Sprintf(format, args...)
	w.result.Faults = append(w.result.Faults, text)
	w.recordEvent("%s\n", text)
}

// intactKeepers returns the number of keepers that have their files.
func (w *world) intactKeepers() (n int) {
	for _, k := range w.keepers {
		if !k.filesLost {
			n++
		}
	}
	return n
}

// resume ends a pause. The process then receives all deferred events at once.
func (w *world) resume(p *process) {
	p.paused = false
	for _, e := range p.deferred {
		w.schedule(0, p, e.run)
	}
	p.deferred = nil
}

// restart starts a dead process again, unless its files are lost.
func (w *world) restart(p *process) {
	if p.up || p.filesLost {
		return
	}
	w.startProcess(p)
	if p.routerSim != nil {
		w.startRouter(p, p.routerSim.index)
	}
	if p.keeper != nil {
		for _, m := range w.members {
			w.openLink(m, p)
		}
	}
}

// checkFinalState checks that after the quiet period each name with a running process has acted within the last
// second. The check applies only if a majority of the keepers still have their files.
func (w *world) checkFinalState() {
	if w.result.Violation != "" || w.cfg.QuietPeriod < 12*time.Second {
		return
	}
	names := map[string]bool{}
	for _, p := range w.members {
		if p.up {
			names[p.name] = true
		}
	}
	for name := range names {
		if w.now-w.lastActAt[name] < time.Second {
			w.result.ActiveAtEnd++
		}
	}
	if intact := w.intactKeepers(); intact*2 > len(w.keepers) && w.result.ActiveAtEnd != len(names) {
		w.reportViolation("after %v without faults, %d of %d names hold their lease", w.cfg.QuietPeriod,
			w.result.ActiveAtEnd, len(names))
	}
}

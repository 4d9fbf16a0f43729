package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"threadglade.example/threadglade/fleet"
)

// troubles draws what goes wrong, and when: each kind comes by a Poisson process of its own until the quiet at the end.
func (w *world) troubles() {
	every := func(rate float64, do func()) {
		if rate <= 0 {
			return
		}
		var next func()
		next = func() {
			if w.now < w.cfg.For-w.cfg.Quiet {
				do()
				w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), nil, next)
			}
		}
		w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), nil, next)
	}
	any := func() *process { // keepers as often as all members together
		if w.random.IntN(2) == 0 {
			return w.keepers[w.random.IntN(len(w.keepers))]
		}
		return w.members[w.random.IntN(len(w.members))]
	}
	upTo := func(most time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(most))) }
	every(w.cfg.Cuts, func() {
		p, way := any(), w.random.IntN(3)
		var keys [][2]*process
		for _, other := range slices.Concat(w.keepers, w.members) {
			if other != p && w.random.IntN(4) != 0 {
				if way != 0 {
					keys = append(keys, [2]*process{p, other})
				}
				if way != 1 {
					keys = append(keys, [2]*process{other, p})
				}
			}
		}
		w.trouble("cut %s, way %d, %d links", p.name, way, len(keys))
		for _, key := range keys {
			w.cut[key] = true
		}
		w.after(upTo(8*time.Second), nil, func() {
			for _, key := range keys {
				delete(w.cut, key)
			}
		})
	})
	every(w.cfg.Pauses, func() { w.pause(any(), upTo(w.cfg.PauseMost)) })
	every(w.cfg.Islands, func() {
		at := slices.IndexFunc(w.keepers, func(k *process) bool { _, leads := k.keeper.LeaderTerm(); return k.up && leads })
		m := w.members[w.random.IntN(len(w.members))]
		if at < 0 || !m.up || m.paused {
			return
		}
		old := w.keepers[at]
		w.trouble("island of %s and %s", old.name, m.name)
		for _, k := range w.keepers {
			for _, p := range []*process{old, m} {
				if k != old {
					for _, key := range [][2]*process{{k, p}, {p, k}} {
						w.cut[key] = true
						w.after(7*time.Second, nil, func() { delete(w.cut, key) })
					}
				}
			}
		}
		w.join(m.name)
		for i := range 8 { // stopped again and again, it takes long to find out that nobody follows it
			w.after(time.Duration(i)*600*time.Millisecond, nil, func() { w.pause(old, 540*time.Millisecond) })
		}
	})
	every(w.cfg.Kills, func() {
		p := any()
		if !p.up || p.gone {
			return
		}
		w.trouble("kill %s", p.name)
		p.up, p.paused, p.waiting = false, false, nil
		w.unlink(p)
		w.goneRouter(p)
		if w.cfg.Wipes && p.number != 0 && w.random.IntN(2) == 0 && w.whole() == len(w.keepers) {
			p.gone, p.stored = true, fleet.Stored{} // its files are lost: by them alone it could have come back
			if _, err := fleet.NewKeeper(w.cfg.Terms, p.stored, w.random, 0); err == nil {
				w.broken("a keeper without files starts")
			}
			w.trouble("wipe %s", p.name)
			return
		}
		w.after(upTo(6*time.Second), nil, func() { w.again(p) })
	})
	every(w.cfg.MemberKills, func() {
		if p := w.members[w.random.IntN(len(w.members))]; p.up {
			w.trouble("kill %s", p.name)
			p.up = false
			w.unlink(p)
			w.goneRouter(p)
			w.after(10*time.Second, nil, func() { w.again(p) })
		}
	})
	every(w.cfg.Twins, func() {
		p := w.members[w.random.IntN(len(w.members))]
		running := 0
		for _, m := range w.members {
			if m.name == p.name && m.up {
				running++
			}
		}
		if running < 2 {
			w.trouble("twin %s", p.name)
			w.join(p.name)
		}
	})
	every(w.cfg.Puts, func() {
		if p := w.members[w.random.IntN(len(w.members))]; p.up && !p.paused {
			w.put(p)
		}
	})
}

// pause stops a process for a while.
func (w *world) pause(p *process, d time.Duration) {
	if p.paused || !p.up {
		return
	}
	p.paused = true
	life := p.serial
	w.trouble("pause %s %v", p.name, d)
	w.after(d, nil, func() {
		if p.serial == life && p.up {
			w.wake(p)
		}
	})
}

func (w *world) trouble(format string, args ...any) {
	text := fmt.Sprintf("%8.3f ", w.now.Seconds()) + fmt.Sprintf(format, args...)
	w.res.Trouble = append(w.res.Trouble, text)
	w.note("%s\n", text)
}

// whole is how many keepers have their files.
func (w *world) whole() (n int) {
	for _, k := range w.keepers {
		if !k.gone {
			n++
		}
	}
	return n
}

// wake has a process go on with what came while it was stopped, all at once.
func (w *world) wake(p *process) {
	p.paused = false
	for _, e := range p.waiting {
		w.after(0, p, e.run)
	}
	p.waiting = nil
}

// again starts a process anew.
func (w *world) again(p *process) {
	if p.up || p.gone {
		return
	}
	w.start(p)
	if p.desk != nil {
		w.openCalls(p, p.desk.index)
	}
	if p.keeper != nil {
		for _, m := range w.members {
			w.link(m, p)
		}
	}
}

// ending judges what holds at the end, after the quiet: whoever is up, and the first of its name, acts.
func (w *world) ending() {
	if w.res.Broken != "" || w.cfg.Quiet < 12*time.Second {
		return
	}
	names := map[string]bool{}
	for _, p := range w.members {
		if p.up {
			names[p.name] = true
		}
	}
	for name := range names {
		if w.now-w.actAt[name] < time.Second {
			w.res.Lasting++
		}
	}
	if up := w.whole(); up*2 > len(w.keepers) && w.res.Lasting != len(names) {
		w.broken("after %v without trouble %d names of %d act", w.cfg.Quiet, w.res.Lasting, len(names))
	}
}

package router

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"threadglade.example/threadglade"
)

// This file owns copies of a Router and the canonical form of its state, with which every order of events can be tried from
// one state. It must never change the Router that it copies, or be called while that is at work.

// ErrBusy is why a Router cannot be cloned: it is at work, or has a timer that somebody else set, whose function cannot be copied.
var ErrBusy = errors.New("router: it is at work, or holds a timer that is not its own")

// Clone returns a copy that goes on exactly as the original would and shares nothing with it that either changes. The copy
// has the clock, trunk, observer and hooks of cfg and the original's settings and randomness; front tells what stands in for
// each front.
func (r *Router) Clone(cfg Config, front func(Front) Front) (*Router, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || len(r.queue) > 0 {
		return nil, ErrBusy
	}
	cfg.Settings, cfg.Seed = *r.inForce, r.cfg.Seed
	d := &Router{cfg: cfg, control: r.control.Clone(), inForce: r.inForce, calls: make(map[string]*call, len(r.calls)), servers: make(map[string]*server, len(r.servers)),
		over: maps.Clone(r.over), overAt: slices.Clone(r.overAt), lapsing: r.lapsing, strays: r.strays, second: r.second, foreign: r.foreign, count: r.count,
		slots: slices.Clone(r.slots), slot: r.slot, timers: slices.Clone(r.timers), order: r.order, taken: r.taken}
	d.open.Store(r.open.Load())
	copies := map[*call]*call{}
	of := func(c *call) *call {
		if c == nil || copies[c] != nil {
			return copies[c]
		}
		n := *c // descriptions are replaced, never written to
		n.front = front(c.front)
		copies[c] = &n
		return &n
	}
	for id, c := range r.calls {
		d.calls[id] = of(c)
	}
	for id, s := range r.servers {
		n := *s
		d.servers[id] = &n
	}
	for i := range d.timers {
		if d.timers[i].kind == timerOther {
			return nil, ErrBusy
		}
		d.timers[i].call = of(d.timers[i].call)
	}
	return d, nil
}

// AppendState appends a canonical form of all that decisions of the Router and its Controller depend on, times as ages at now: two
// Routers whose forms are the same go on alike.
func (r *Router) AppendState(b []byte, now time.Duration) []byte {
	b = r.control.AppendState(b, now)
	text := func(s string) { b = append(binary.AppendUvarint(b, uint64(len(s))), s...) }
	number := func(n int64) { b = binary.AppendVarint(b, n) }
	flag := func(is bool) {
		if is {
			number(1)
		} else {
			number(0)
		}
	}
	number(int64(len(r.calls)))
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		c := r.calls[id]
		text(id)
		number(int64(c.Deadline - now))
		number(int64(c.attempts))
		text(c.attempt.Server)
		flag(c.out)
		flag(c.standing)
		flag(c.final)
		flag(c.left)
		number(int64(max(0, c.hold-now)))
	}
	number(int64(len(r.servers)))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		s := r.servers[id]
		text(id)
		number(int64(s.state))
		if s.state != threadglade.Up { // of one that is up the next word counts
			number(int64(min(now-s.told, r.inForce.Rules.DrainGrace+rememberFor)))
		}
	}
	number(int64(len(r.over)))
	for _, id := range slices.Sorted(maps.Keys(r.over)) {
		text(id)
		flag(r.over[id].answered)
	}
	list := slices.Clone(r.timers)
	slices.SortFunc(list, func(a, b timer) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) })
	for i := range list {
		t := &list[i]
		if id, live := r.live(t); live {
			number(int64(t.at - now))
			number(int64(t.kind))
			text(id)
		}
	}
	return b
}

// Draw has the Controller's random choices drawn from a source instead of from the seed.
func (r *Router) Draw(from rand.Source) { r.control.Draw(from) }

// live says whether a timer can still change anything, and for which call.
func (r *Router) live(t *timer) (id string, live bool) {
	switch t.kind {
	case timerOther:
		return "", true
	case timerLapse: // it only forgets
		return "", false
	case timerDue:
		return r.control.TimerOf(t.number)
	case timerAttempt:
		return t.call.ID, t.call.out && t.call.attempt.Index == int(t.number)
	}
	return t.call.ID, !t.call.final
}

// NextLive tells when the next timer is due that can still change anything; false if there is none.
func (r *Router) NextLive() (at time.Duration, is bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.timers {
		t := &r.timers[i]
		if is && t.at >= at {
			continue
		}
		if _, live := r.live(t); live {
			at, is = t.at, true
		}
	}
	return at, is
}

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

// This file copies a Router and encodes its state in canonical form, so that a model checker can explore every order
// of events from one state. It must never change the original. Its functions must not be called while the original
// processes a step.

// ErrBusy is returned by Clone if the Router is processing a step, or holds a timer set by Schedule, whose
// callback can't be copied.
var ErrBusy = errors.New("router: cannot clone while a step is processed or a timer with a callback is set")

// Clone returns a copy that behaves exactly as the original would and shares no mutable state with it. The copy
// has the clock, trunk, observer and hooks of cfg, and the settings and the random state of the original. front
// returns the replacement for each front. The error is ErrBusy or nil.
func (r *Router) Clone(cfg Config, front func(Front) Front) (*Router, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || len(r.queue) > 0 {
		return nil, ErrBusy
	}
	cfg.Settings, cfg.Seed = *r.settings, r.cfg.Seed
	clone := &Router{
		cfg:             cfg,
		controller:      r.controller.Clone(),
		settings:        r.settings,
		calls:           make(map[string]*callState, len(r.calls)),
		servers:         make(map[string]*serverState, len(r.servers)),
		endedCalls:      maps.Clone(r.endedCalls),
		endedOrder:      slices.Clone(r.endedOrder),
		expiryScheduled: r.expiryScheduled,
		unknown:         r.unknown,
		counters:        r.counters,
		freeSlots:       slices.Clone(r.freeSlots),
		highestSlot:     r.highestSlot,
		timers:          slices.Clone(r.timers),
		timerOrder:      r.timerOrder,
		snapshot:        r.snapshot,
	}
	clone.unknown.waiting = slices.Clone(r.unknown.waiting)
	clone.openRequests.Store(r.openRequests.Load())
	copies := map[*callState]*callState{}
	copyCall := func(original *callState) *callState {
		if original == nil || copies[original] != nil {
			return copies[original]
		}
		copied := *original // descriptions may be shared: they are replaced, never written to
		copied.front = front(original.front)
		copies[original] = &copied
		return &copied
	}
	for id, original := range r.calls {
		clone.calls[id] = copyCall(original)
	}
	for id, server := range r.servers {
		copied := *server
		clone.servers[id] = &copied
	}
	for i := range clone.timers {
		if clone.timers[i].kind == timerExternal {
			return nil, ErrBusy
		}
		clone.timers[i].call = copyCall(clone.timers[i].call)
	}
	return clone, nil
}

// AppendState appends to b a canonical form of all state that decisions of the Router and its Controller depend
// on, with times relative to now. Two Routers with the same form behave the same from then on.
func (r *Router) AppendState(b []byte, now time.Duration) []byte {
	b = r.controller.AppendState(b, now)
	appendText := func(text string) { b = append(binary.AppendUvarint(b, uint64(len(text))), text...) }
	appendNumber := func(n int64) { b = binary.AppendVarint(b, n) }
	appendFlag := func(flag bool) {
		if flag {
			appendNumber(1)
		} else {
			appendNumber(0)
		}
	}
	appendNumber(int64(len(r.calls)))
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		call := r.calls[id]
		appendText(id)
		appendNumber(int64(call.Deadline - now))
		appendNumber(int64(call.attempts))
		appendText(call.attempt.Server)
		appendFlag(call.pending)
		appendFlag(call.established)
		appendFlag(call.settled)
		appendFlag(call.callerLeft)
		appendFlag(call.mayHaveRun)
		appendNumber(int64(max(0, call.retryNotBefore-now)))
	}
	appendNumber(int64(len(r.servers)))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		server := r.servers[id]
		appendText(id)
		appendNumber(int64(server.state))
		if server.state != threadglade.Up { // since has no effect for a server that is up
			appendNumber(int64(min(now-server.since, r.settings.Rules.DrainGrace+endedCallTTL)))
		}
	}
	appendNumber(int64(len(r.endedCalls)))
	for _, id := range slices.Sorted(maps.Keys(r.endedCalls)) {
		appendText(id)
		appendFlag(r.endedCalls[id].reusable)
	}
	timers := slices.Clone(r.timers)
	slices.SortFunc(timers, func(a, b timer) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	for i := range timers {
		pending := &timers[i]
		if id, isLive := r.isLive(pending); isLive {
			appendNumber(int64(pending.at - now))
			appendNumber(int64(pending.kind))
			appendText(id)
		}
	}
	return b
}

// SetRandomSource makes the Controller take its random choices from source instead of the seeded generator.
func (r *Router) SetRandomSource(source rand.Source) { r.controller.SetRandomSource(source) }

// isLive reports whether a timer can still have an effect, and for which call.
func (r *Router) isLive(t *timer) (id string, isLive bool) {
	switch t.kind {
	case timerExternal:
		return "", true
	case timerExpiry, timerUnknownRelease: // they have no effect on decisions
		return "", false
	case timerController:
		return r.controller.TimerCall(t.number)
	case timerAttempt:
		return t.call.ID, t.call.pending && t.call.attempt.Index == int(t.number)
	}
	return t.call.ID, !t.call.settled
}

// NextActiveTimer returns when the first timer is due that can still have an effect; false if there is none.
func (r *Router) NextActiveTimer() (at time.Duration, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.timers {
		t := &r.timers[i]
		if found && t.at >= at {
			continue
		}
		if _, isLive := r.isLive(t); isLive {
			at, found = t.at, true
		}
	}
	return at, found
}

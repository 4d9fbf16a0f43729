package threadglade

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// This file copies a Controller, so that a model checker can explore every order of events from one state. Copying
// must not change the original.

// randomness is the random number generator of a Controller, with its state so that a clone can continue from it.
type randomness struct {
	*rand.Rand
	pcg *rand.PCG // nil with an external source
}

func newRandomness(seed uint64) randomness {
	pcg := rand.NewPCG(seed, 0)
	return randomness{rand.New(pcg), pcg}
}

func (r randomness) clone() randomness {
	if r.pcg == nil {
		return r
	}
	pcg := *r.pcg
	return randomness{rand.New(&pcg), &pcg}
}

// SetRandomSource replaces the seeded generator with a source for all further random choices. Clones share the
// source.
func (c *Controller) SetRandomSource(from rand.Source) { c.random = randomness{Rand: rand.New(from)} }

// Clone returns a copy that behaves exactly as the original would. The two share only settings and classes, which
// never change, and a source given to SetRandomSource.
func (c *Controller) Clone() *Controller {
	copied := *c
	servers, calls := map[*serverState]*serverState{}, map[*callState]*callState{}
	var copyCall func(*callState) *callState
	copyServer := func(server *serverState) *serverState {
		if server == nil || servers[server] != nil {
			return servers[server]
		}
		duplicate := *server
		servers[server] = &duplicate
		duplicate.overdue = nil
		for _, call := range server.overdue {
			duplicate.overdue = append(duplicate.overdue, copyCall(call))
		}
		return &duplicate
	}
	copyCall = func(call *callState) *callState {
		if calls[call] != nil {
			return calls[call]
		}
		duplicate := *call
		calls[call] = &duplicate
		duplicate.countedBy, duplicate.server = copyServer(call.countedBy), copyServer(call.server)
		return &duplicate
	}
	copied.random, copied.actions = c.random.clone(), nil
	copied.servers, copied.byID = make([]*serverState, len(c.servers)), make(map[string]*serverState, len(c.byID))
	for i, server := range c.servers {
		copied.servers[i] = copyServer(server)
	}
	for id, server := range c.byID {
		copied.byID[id] = copyServer(server)
	}
	copied.remembered = copyServer(c.remembered)
	copied.calls = make(map[string]*callState, len(c.calls))
	copied.timers = make(map[int64]*callState, len(c.timers))
	copied.waiting = make([]*callState, len(c.waiting))
	for id, call := range c.calls {
		copied.calls[id] = copyCall(call)
	}
	for token, call := range c.timers {
		copied.timers[token] = copyCall(call)
	}
	for i, call := range c.waiting {
		copied.waiting[i] = copyCall(call)
	}
	copied.tenants = make(map[string]*tenant, len(c.tenants))
	for name, t := range c.tenants {
		duplicate := *t
		copied.tenants[name] = &duplicate
	}
	copied.firstTries = maps.Clone(c.firstTries)
	copied.busyNumbers = maps.Clone(c.busyNumbers)
	copied.firstTryOrder = slices.Clone(c.firstTryOrder)
	return &copied
}

package threadglade

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// This file copies a Controller, so that a model checker can try every order of events from one state. Copying must
// not change the original.

// randomness is the random number generator of a Controller, with its state so that a clone can continue from it.
type randomness struct {
	*rand.Rand
	pcg *rand.PCG // nil with an external source
}

func newRandomness(seed uint64) randomness {
	pcg := rand.NewPCG(seed, 0)
	return randomness{rand.New(pcg), pcg}
}

func (d randomness) clone() randomness {
	if d.pcg == nil {
		return d
	}
	pcg := *d.pcg
	return randomness{rand.New(&pcg), &pcg}
}

// SetRandomSource replaces the seeded generator with a source for all further random choices. Clones share the
// source.
func (c *Controller) SetRandomSource(from rand.Source) { c.random = randomness{Rand: rand.New(from)} }

// Clone returns a copy that behaves exactly as the original would. The two share only settings and classes, which
// never change, and a source given to SetRandomSource.
func (c *Controller) Clone() *Controller {
	copied := *c
	servers, calls := map[*server]*server{}, map[*call]*call{}
	var copyCall func(*call) *call
	copyServer := func(s *server) *server {
		if s == nil || servers[s] != nil {
			return servers[s]
		}
		n := *s
		servers[s] = &n
		n.overdue = nil
		for _, k := range s.overdue {
			n.overdue = append(n.overdue, copyCall(k))
		}
		return &n
	}
	copyCall = func(k *call) *call {
		if calls[k] != nil {
			return calls[k]
		}
		n := *k
		calls[k] = &n
		n.countedAt, n.server = copyServer(k.countedAt), copyServer(k.server)
		return &n
	}
	copied.random, copied.actions = c.random.clone(), nil
	copied.servers, copied.byID = make([]*server, len(c.servers)), make(map[string]*server, len(c.byID))
	for i, s := range c.servers {
		copied.servers[i] = copyServer(s)
	}
	for id, s := range c.byID {
		copied.byID[id] = copyServer(s)
	}
	copied.remembered = copyServer(c.remembered)
	copied.calls = make(map[string]*call, len(c.calls))
	copied.timers = make(map[int64]*call, len(c.timers))
	copied.waiting = make([]*call, len(c.waiting))
	for id, k := range c.calls {
		copied.calls[id] = copyCall(k)
	}
	for token, k := range c.timers {
		copied.timers[token] = copyCall(k)
	}
	for i, k := range c.waiting {
		copied.waiting[i] = copyCall(k)
	}
	copied.tenants = make(map[string]*tenant, len(c.tenants))
	for name, t := range c.tenants {
		n := *t
		copied.tenants[name] = &n
	}
	copied.firstTries = maps.Clone(c.firstTries)
	copied.busyNumbers = maps.Clone(c.busyNumbers)
	copied.firstTryOrder = slices.Clone(c.firstTryOrder)
	return &copied
}

package threadglade

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// This file owns copies of a Controller, with which every order of events can be tried from one state. It must never decide
// anything or change the Controller that it copies.

// draws is a Controller's randomness in a form that a copy can go on from.
type draws struct {
	*rand.Rand
	pcg *rand.PCG // nil where somebody else draws
}

func newDraws(seed uint64) draws {
	pcg := rand.NewPCG(seed, 0)
	return draws{rand.New(pcg), pcg}
}

func (d draws) clone() draws {
	if d.pcg == nil {
		return d
	}
	pcg := *d.pcg
	return draws{rand.New(&pcg), &pcg}
}

// Draw has all random choices from now on drawn from a source instead of from the seed. Copies share it.
func (c *Controller) Draw(from rand.Source) { c.random = draws{Rand: rand.New(from)} }

// Clone returns a copy that goes on exactly as the original would and shares nothing with it that either changes. Settings and
// classes, which never change, are shared.
func (c *Controller) Clone() *Controller {
	d := *c
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
		n.measured, n.at = copyServer(k.measured), copyServer(k.at)
		return &n
	}
	d.random, d.actions = c.random.clone(), nil
	d.servers, d.byID = make([]*server, len(c.servers)), make(map[string]*server, len(c.byID))
	for i, s := range c.servers {
		d.servers[i] = copyServer(s)
	}
	for id, s := range c.byID {
		d.byID[id] = copyServer(s)
	}
	d.remembered = copyServer(c.remembered)
	d.calls, d.timers, d.waiting = make(map[string]*call, len(c.calls)), make(map[int64]*call, len(c.timers)), make([]*call, len(c.waiting))
	for id, k := range c.calls {
		d.calls[id] = copyCall(k)
	}
	for token, k := range c.timers {
		d.timers[token] = copyCall(k)
	}
	for i, k := range c.waiting {
		d.waiting[i] = copyCall(k)
	}
	d.tenants = make(map[string]*tenant, len(c.tenants))
	for name, t := range c.tenants {
		n := *t
		d.tenants[name] = &n
	}
	d.tried, d.busy, d.tries = maps.Clone(c.tried), maps.Clone(c.busy), slices.Clone(c.tries)
	return &d
}

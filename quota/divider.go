package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// lookEvery is how often demands are weighed anew, and spare the part that a router is given beyond its demand.
	lookEvery = 200 * time.Millisecond
	spare     = 0.1
	idleBelow = 0.01
	// flightMost answers may be on their way to a router before nothing more is raised for it.
	flightMost = 32
	// ghostsMost lives that are over keep places; beyond that new places are not given out, for they could not be kept.
	ghostsMost = 8192
)

// Divider is the leading keeper's part: it knows for each limit the most that each router may have in force, and grants what keeps their sum within it. Its methods are for one goroutine.
type Divider struct {
	limits  map[string]*Limit
	wait    time.Duration // K: after it a lease is over on any clock
	drift   float64
	blind   time.Duration // until then others' grants may be in force that it does not know of
	office  bool
	lives   map[string]*life
	active  map[string]*active // by the name that claims have
	ghosts  int
	now     time.Duration // when it was asked last
	Granted uint64
	Refused uint64 // claims of limits that are not, or beyond activeMost
}

// active is one limit, or one value of a limit that holds for each, of which somebody has something.
type active struct {
	*Limit
	name   string
	lives  map[*life]*portion
	sum    float64 // of what may be in force above the floors, of lives
	ghosts []ghost
	looked time.Duration
}

// life is one router's incarnation.
type life struct {
	name        string
	incarnation uint64
	process     uint64
	portions    map[string]*portion
	ceilings    map[string]float64 // of limits of Calls, as the log has them
	heard       bool               // by this Divider
	asked       time.Duration
}

// portion is what a life has of one limit.
type portion struct {
	of                 *active
	demand, held, used float64
	target             float64
	flight             []granted // answers that it has not confirmed, or not yet passed over
}

type granted struct {
	seq   uint64
	share float64
}

// bound is the most that may be in force.
func (p *portion) bound() float64 {
	most := p.held
	for _, f := range p.flight {
		most = max(most, f.share)
	}
	return most
}

// change does something to a portion and keeps the limit's sum.
func (p *portion) change(f func()) {
	before := above(p.of.Limit, p.bound())
	f()
	p.of.sum += above(p.of.Limit, p.bound()) - before
}

// ghost is the places of a life that is over.
type ghost struct {
	name        string
	incarnation uint64
	process     uint64
	places      float64
	until       time.Duration
}

// limitOf is the limit that a name in a claim stands for, itself or one of each; nil: there is none.
func (d *Divider) limitOf(name string) *Limit {
	base, _, each := strings.Cut(name, "/")
	l := d.limits[base]
	if l == nil || each != (l.Each != EachNone) || len(name) > 2*NameMost+1 {
		return nil
	}
	return l
}

// find is what is active of a name; nil: nothing can be.
func (d *Divider) find(name string) *active {
	a := d.active[name]
	if a == nil {
		l := d.limitOf(name)
		if l == nil || len(d.active) >= activeMost {
			d.Refused++
			return nil
		}
		a = &active{Limit: l, name: name, lives: map[*life]*portion{}}
		d.active[name] = a
	}
	return a
}

// portion is a life's of a limit, begun if it has none.
func (a *active) portion(l *life) *portion {
	p := a.lives[l]
	if p == nil {
		p = &portion{of: a}
		a.lives[l], l.portions[a.name] = p, p
	}
	return p
}

// drop takes a life's portion away.
func (d *Divider) drop(l *life, a *active) {
	if p := a.lives[l]; p != nil {
		a.sum -= above(a.Limit, p.bound())
		delete(a.lives, l)
		delete(l.portions, a.name)
	}
	d.tidy(a)
}

// tidy forgets a limit that nobody has anything of.
func (d *Divider) tidy(a *active) {
	if len(a.lives) == 0 && len(a.ghosts) == 0 {
		delete(d.active, a.name)
	}
}

// NewDivider makes one out of office; wait is K of the fleet's terms.
func NewDivider(limits []Limit, wait time.Duration, drift float64) *Divider {
	d := &Divider{wait: wait, drift: drift, limits: map[string]*Limit{}}
	d.Change(limits)
	return d
}

// Change puts other limits in force. Shares of a limit that has become smaller are lowered as their holders ask; those of one that is gone end with their holders' next answers.
func (d *Divider) Change(limits []Limit) {
	clear(d.limits)
	for _, l := range limits {
		if l.Kind == Cold {
			l.Each, l.Most = eachServer, 1
		}
		if l.Kind != Retries { // nothing of theirs is divided
			d.limits[l.Name] = &l
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.active)) {
		a := d.active[name]
		if l := d.limitOf(name); l != nil && l.Kind == a.Kind {
			a.Limit, a.looked = l, 0
			a.count()
			continue
		}
		for l := range a.lives {
			d.drop(l, a)
		}
		d.ghosts -= len(a.ghosts)
		delete(d.active, name)
	}
}

// count sums anew.
func (a *active) count() {
	a.sum = 0
	for _, p := range a.lives {
		a.sum += above(a.Limit, p.bound())
	}
}

// Office begins a term: of what went before only the log's ceilings are known, by router, and which of them live.
func (d *Divider) Office(now time.Duration, ceilings map[string][]Ceiling, live map[string]uint64) {
	d.office, d.blind, d.lives, d.active, d.ghosts = true, now+d.wait, map[string]*life{}, map[string]*active{}, 0
	if mutant == "forgetful-leader" {
		d.blind = now
	}
	for _, name := range slices.Sorted(maps.Keys(ceilings)) {
		for _, c := range ceilings[name] {
			if mutant == "no-ceiling" {
				continue
			}
			if live[name] == c.Incarnation {
				l := d.life(now, name, c.Incarnation, c.Process)
				l.ceilings[c.Limit] = c.Most
				if a := d.find(c.Limit); a != nil {
					p := a.portion(l)
					p.change(func() { p.held = c.Most })
				}
				continue
			}
			if a := d.find(c.Limit); a != nil {
				d.bury(now, a, &life{name: name, incarnation: c.Incarnation, process: c.Process}, c.Most)
				d.tidy(a)
			}
		}
	}
}

// Resign ends it.
func (d *Divider) Resign() { d.office, d.lives, d.active, d.ghosts = false, nil, nil, 0 }

// life is a router's by its incarnation; whatever it had by another is over.
func (d *Divider) life(now time.Duration, name string, incarnation, process uint64) *life {
	l := d.lives[name]
	if l != nil && l.incarnation != incarnation {
		d.Over(now, name, l.incarnation)
		l = nil
	}
	if l == nil {
		l = &life{name: name, incarnation: incarnation, process: process, portions: map[string]*portion{}, ceilings: map[string]float64{}}
		d.lives[name] = l
	}
	return l
}

// bury keeps the places of a life's calls until they can stand no more.
func (d *Divider) bury(now time.Duration, a *active, l *life, places float64) {
	if a.Kind != Calls || places <= 0 || mutant == "places-free" {
		return
	}
	a.ghosts = append(a.ghosts, ghost{l.name, l.incarnation, l.process, min(places, a.Most), now + time.Duration(float64(a.Longest)*(1+d.drift)/(1-d.drift))})
	d.ghosts++
}

// Over says that an incarnation's lease is certainly over: its shares are, its calls may stand on.
func (d *Divider) Over(now time.Duration, name string, incarnation uint64) {
	l := d.lives[name]
	if !d.office || l == nil || l.incarnation != incarnation {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(l.portions)) {
		p := l.portions[name]
		d.bury(now, p.of, l, p.bound())
		p.of.looked = 0
		d.drop(l, p.of)
	}
	delete(d.lives, name)
}

// divided is the part of a limit that is given out.
func (d *Divider) divided(l *Limit) float64 {
	if mutant == "floor-on-top" {
		return l.Most
	}
	return l.divided()
}

// above is what counts of a share against the part that is given out.
func above(l *Limit, share float64) float64 { return max(0, share-l.floor()) }

// out is what may be in force above the floors, with what is kept for lives that are over.
func (a *active) out() float64 {
	sum := a.sum
	for _, g := range a.ghosts {
		sum += above(a.Limit, g.places)
	}
	return sum
}

// laid drops ghosts whose calls can stand no more, and those that a function names.
func (d *Divider) laid(now time.Duration, a *active, and func(ghost) bool) (places float64) {
	n := len(a.ghosts)
	a.ghosts = slices.DeleteFunc(a.ghosts, func(g ghost) bool {
		if now >= g.until {
			return true
		}
		if and != nil && and(g) {
			places += g.places
			return true
		}
		return false
	})
	d.ghosts -= n - len(a.ghosts)
	return places
}

// Asked takes a router's claims with its ask for a lease, and returns the shares that go with the answer. wanted are ceilings that have to be in the log before
// more can be granted: the router asks again.
func (d *Divider) Asked(now time.Duration, name string, incarnation, process, seq, taken uint64, claims []Claim, ceilings []Ceiling) (grants []Grant, wanted []Ceiling) {
	if !d.office {
		return nil, nil
	}
	l := d.life(now, name, incarnation, process)
	first := !l.heard
	l.heard, l.asked, d.now = true, now, max(now, d.now)
	clear(l.ceilings)
	for _, c := range ceilings {
		if c.Incarnation == incarnation {
			l.ceilings[c.Limit] = c.Most
		}
	}
	said := make(map[string]Claim, len(claims))
	for _, c := range claims {
		said[c.Limit] = c
		if len(l.portions) >= EachMost+LimitsMost && l.portions[c.Limit] == nil {
			d.Refused++ // whatever a router claims, it leaves room for others
		} else if a := d.find(c.Limit); a != nil {
			a.portion(l)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.portions)) {
		p := l.portions[name]
		a, c := p.of, said[name]
		earlier := 0.0
		if first { // its calls of an earlier life of this process are in what it says it has
			earlier = d.laid(now, a, func(g ghost) bool { return g.name == l.name && g.process == process })
		} else {
			d.laid(now, a, nil)
		}
		p.change(func() {
			known := p.bound()
			p.flight = slices.DeleteFunc(p.flight, func(f granted) bool { return f.seq <= taken })
			p.demand, p.used, p.held = sane(c.Demand, a.demandMost()), sane(c.Used, a.Most), sane(c.Held, a.Most)
			if now >= d.blind { // whatever it says, it has no more than it was given
				p.held = min(p.held, max(known, earlier))
			}
		})
		if p.demand == 0 && p.bound() == 0 {
			d.drop(l, a)
			continue
		}
		d.look(now, a)
		want, ceiling := d.want(now, l, p)
		if ceiling > 0 {
			wanted = append(wanted, Ceiling{name, incarnation, process, ceiling})
		}
		p.change(func() {
			if mutant == "share-too-early" {
				p.flight, p.held = nil, want
			}
			if mutant == "last-answer-only" {
				p.flight, p.held = nil, min(p.held, want)
			}
			p.flight = append(p.flight, granted{seq, want})
		})
		grants = append(grants, Grant{name, want})
		d.Granted++
	}
	return grants, wanted
}

// want is the share that a life is granted now; ceiling is what the log has to keep before it can have as much as it should, 0: nothing.
func (d *Divider) want(now time.Duration, l *life, p *portion) (want, ceiling float64) {
	a := p.of
	want = p.target
	if math.Abs(want-p.held) < 0.02*p.held && (p.demand <= p.held || a.Kind == Cold) {
		want = p.held // not worth moving
	}
	switch free := d.divided(a.Limit) - a.out(); {
	case now < d.blind: // what it has, at the most
		want = min(want, p.held)
	case len(p.flight) >= flightMost:
		want = min(want, p.bound())
	case want > p.bound():
		want = min(want, max(p.bound(), a.floor())+max(free, 0))
	}
	if a.Kind == Calls && want > l.ceilings[a.name] {
		if d.ghosts < ghostsMost && now >= d.blind {
			ceiling = min(a.Most, math.Ceil(max(want, 1.5*l.ceilings[a.name])))
		}
		want = min(want, l.ceilings[a.name])
	}
	return want, ceiling
}

// demandMost bounds what a router may claim to want.
func (l *Limit) demandMost() float64 {
	if l.Kind == Cold {
		return 1e6
	}
	return l.Most
}

func sane(x, most float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, most)
}

// look weighs a limit's demands, now and then: by water level, equal weights, with something spare.
func (d *Divider) look(now time.Duration, a *active) {
	if now < a.looked+lookEvery && a.looked != 0 {
		return
	}
	a.looked = now
	a.count()
	room := d.divided(a.Limit) - a.out() + a.sum
	all := make([]*portion, 0, len(a.lives))
	for _, p := range a.lives {
		if p.target = 0; a.Each != EachNone && p.demand < idleBelow { // of what holds for each, nobody keeps what he has no calls for
			continue
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *portion) int { return cmp.Compare(a.demand, b.demand) })
	room = max(room, 0)
	if a.Kind == Cold { // by weight: whoever has more of the calls
		sum := 0.0
		for _, p := range all {
			sum += p.demand
		}
		for _, p := range all {
			p.target = a.floor() + room*p.demand/sum
		}
		return
	}
	for i, p := range all { // the least demand first: none gets less than an equal part of what is left unless it wants less
		p.target = min(above(a.Limit, p.demand*(1+spare)), room/float64(len(all)-i))
		room -= p.target
	}
	for _, p := range all {
		p.target += a.floor() + room/float64(len(all))
	}
}

// keeps says whether the log has to keep a ceiling.
func (d *Divider) keeps(name string, c Ceiling) bool {
	if l := d.lives[name]; l != nil && l.incarnation == c.Incarnation {
		return true
	}
	a := d.active[c.Limit]
	return a != nil && slices.ContainsFunc(a.ghosts, func(g ghost) bool { return g.name == name && g.incarnation == c.Incarnation })
}

// Kept is the ceilings of a router that the log has to hold from now on: those that still count, with those wanted.
func (d *Divider) Kept(name string, have, wanted []Ceiling) (list []Ceiling) {
	for _, c := range have {
		if d.keeps(name, c) && !slices.ContainsFunc(wanted, func(w Ceiling) bool { return w.Limit == c.Limit && w.Incarnation == c.Incarnation }) {
			list = append(list, c)
		}
	}
	return append(list, wanted...)
}

// Standing is one limit as the Divider has it, for people.
type Standing struct {
	Limit
	Out, Kept, Used, Demand float64  // may be in force; kept for lives that are over; admitted; wanted
	Holders                 []Holder // the largest share first
}

// Holder is what one router has of a limit: what may be in force, what it admits and what is wanted of it, and for how long that has been known.
type Holder struct {
	Name               string
	Share, Used, Wants float64
	Age                time.Duration
}

// Standings lists them; of limits that hold for each, what is active.
func (d *Divider) Standings() (list []Standing) {
	for _, name := range slices.Sorted(maps.Keys(d.limits)) {
		if d.active[name] == nil && d.limits[name].Each == EachNone {
			list = append(list, Standing{Limit: *d.limits[name]})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.active)) {
		a := d.active[name]
		s := Standing{Limit: *a.Limit}
		s.Name = name
		for l, p := range a.lives {
			s.Out, s.Used, s.Demand = s.Out+p.bound(), s.Used+p.used, s.Demand+p.demand
			s.Holders = append(s.Holders, Holder{l.name, p.bound(), p.used, p.demand, d.now - l.asked})
		}
		slices.SortFunc(s.Holders, func(a, b Holder) int { return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name)) })
		for _, g := range a.ghosts {
			s.Kept += g.places
		}
		list = append(list, s)
	}
	return list
}

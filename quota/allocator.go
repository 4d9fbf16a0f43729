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
	// reallocationInterval is the shortest time between two computations of a limit's target shares.
	reallocationInterval = 200 * time.Millisecond
	// headroomFraction is how much more than its demand a router is granted, as a fraction of the demand.
	headroomFraction = 0.1
	// minActiveDemand is the demand below which a limit, or one value of it, counts as unused by a router.
	minActiveDemand = 0.01
	// maxUnconfirmedGrants bounds the unconfirmed answers to a router. At the bound its share is not raised.
	maxUnconfirmedGrants = 32
	// maxReservations bounds the reservations for calls of ended incarnations. At the bound no ceiling is raised,
	// because the calls that it would allow could not be reserved later.
	maxReservations = 8192
)

// Allocator divides the limits among the routers; it runs at the leading keeper. For each limit it tracks the largest
// share that each router may have in force, and grants shares whose sum stays within the limit. It is not safe for
// concurrent use.
type Allocator struct {
	limits           map[string]*Limit
	leaseWait        time.Duration // K: a lease granted this long ago has expired on every clock
	maxDrift         float64       // bound on how far a clock's rate is from true time
	recoveryUntil    time.Duration // until then, unknown grants of earlier leaders may be in force
	leading          bool
	routers          map[string]*router     // by router name
	allocations      map[string]*allocation // by the limit's name in claims
	reservationCount int                    // of all allocations
	lastRequest      time.Duration          // time of the latest claims of any router
	Granted          uint64                 // grants made
	Refused          uint64                 // claims of unknown limits, or beyond a bound on allocations or allotments
}

// allocation is the state of a limit, or of one value of a limit per field, that has allotments or reservations.
type allocation struct {
	*Limit
	name          string // as in claims: NAME, or NAME/VALUE
	allotments    map[*router]*allotment
	inForce       float64 // sum over the allotments of what may be in force above the floor
	reservations  []reservation
	reallocatedAt time.Duration
}

// router is one incarnation of a router.
type router struct {
	name        string
	incarnation uint64
	process     uint64
	allotments  map[string]*allotment // by the limit's name in claims
	ceilings    map[string]float64    // of limits of kind Calls, as committed to the log
	hasReported bool                  // since this allocator began to lead
	lastRequest time.Duration
}

// allotment is one router's share of one limit.
type allotment struct {
	allocation  *allocation
	demand      float64        // as in the latest claim
	held        float64        // in force at the router: as claimed, but at most what it was granted
	used        float64        // as in the latest claim
	target      float64        // share computed by reallocate
	unconfirmed []pendingGrant // grants that may be in force although the router has not confirmed them
}

// pendingGrant is a share sent in the answer with number seq.
type pendingGrant struct {
	seq   uint64
	share float64
}

// maxInForce returns the largest share that may be in force at the router: the one it holds or an unconfirmed one.
func (a *allotment) maxInForce() float64 {
	highest := a.held
	for _, grant := range a.unconfirmed {
		highest = max(highest, grant.share)
	}
	return highest
}

// update calls modify, which may change the allotment, and adjusts the allocation's sum to match.
func (a *allotment) update(modify func()) {
	before := aboveFloor(a.allocation.Limit, a.maxInForce())
	modify()
	a.allocation.inForce += aboveFloor(a.allocation.Limit, a.maxInForce()) - before
}

// reservation is capacity kept for the calls of an ended incarnation until they must have ended.
type reservation struct {
	name        string
	incarnation uint64
	process     uint64
	calls       float64
	until       time.Duration
}

// limitFor returns the limit that a name in a claim refers to, or nil if there is none. The name is NAME or, for a
// limit per field, NAME/VALUE.
func (a *Allocator) limitFor(name string) *Limit {
	base, _, hasValue := strings.Cut(name, "/")
	limit := a.limits[base]
	if limit == nil || hasValue != (limit.PerField != FieldNone) || len(name) > 2*MaxNameLength+1 {
		return nil
	}
	return limit
}

// allocationFor returns the allocation of a name and creates it if needed. It returns nil, and counts a refusal, if
// no such limit exists or there are too many allocations.
func (a *Allocator) allocationFor(name string) *allocation {
	alloc := a.allocations[name]
	if alloc == nil {
		limit := a.limitFor(name)
		if limit == nil || len(a.allocations) >= maxAllocations {
			a.Refused++
			return nil
		}
		alloc = &allocation{Limit: limit, name: name, allotments: map[*router]*allotment{}}
		a.allocations[name] = alloc
	}
	return alloc
}

// allotmentFor returns a router's allotment and creates an empty one if needed.
func (a *allocation) allotmentFor(r *router) *allotment {
	share := a.allotments[r]
	if share == nil {
		share = &allotment{allocation: a}
		a.allotments[r], r.allotments[a.name] = share, share
	}
	return share
}

// removeAllotment removes a router's allotment, and the allocation if that leaves it empty.
func (a *Allocator) removeAllotment(r *router, alloc *allocation) {
	if share := alloc.allotments[r]; share != nil {
		alloc.inForce -= aboveFloor(alloc.Limit, share.maxInForce())
		delete(alloc.allotments, r)
		delete(r.allotments, alloc.name)
	}
	a.removeIfEmpty(alloc)
}

// removeIfEmpty removes an allocation that has neither allotments nor reservations.
func (a *Allocator) removeIfEmpty(alloc *allocation) {
	if len(alloc.allotments) == 0 && len(alloc.reservations) == 0 {
		delete(a.allocations, alloc.name)
	}
}

// NewAllocator returns an allocator that does not lead yet. wait is the time after which a lease has expired on every
// clock; drift bounds the relative rate error of any clock.
func NewAllocator(limits []Limit, wait time.Duration, drift float64) *Allocator {
	a := &Allocator{leaseWait: wait, maxDrift: drift, limits: map[string]*Limit{}}
	a.SetLimits(limits)
	return a
}

// SetLimits replaces the limits. The next answer to each router lowers its shares of limits that became smaller, and
// ends its shares of removed limits.
func (a *Allocator) SetLimits(limits []Limit) {
	clear(a.limits)
	for _, l := range limits {
		if l.Kind == Cold {
			l.PerField, l.Max = fieldServer, 1
		}
		if l.Kind != Retries { // each router enforces them by itself
			a.limits[l.Name] = &l
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.allocations)) {
		alloc := a.allocations[name]
		if l := a.limitFor(name); l != nil && l.Kind == alloc.Kind {
			alloc.Limit, alloc.reallocatedAt = l, 0
			alloc.recomputeInForce()
			continue
		}
		for r := range alloc.allotments {
			a.removeAllotment(r, alloc)
		}
		a.reservationCount -= len(alloc.reservations)
		delete(a.allocations, name)
	}
}

// recomputeInForce recomputes inForce from the allotments.
func (a *allocation) recomputeInForce() {
	a.inForce = 0
	for _, share := range a.allotments {
		a.inForce += aboveFloor(a.Limit, share.maxInForce())
	}
}

// StartTerm begins a term as leader. All that is known of earlier terms is the committed ceilings and the incarnations
// of the live routers, both by router name. Until leaseWait has passed, no share is raised, because grants of earlier
// leaders may still be in force.
func (a *Allocator) StartTerm(now time.Duration, ceilings map[string][]Ceiling, live map[string]uint64) {
	a.leading, a.recoveryUntil, a.routers, a.allocations, a.reservationCount =
		true, now+a.leaseWait, map[string]*router{}, map[string]*allocation{}, 0
	if mutant == "forgetful-leader" {
		a.recoveryUntil = now
	}
	for _, name := range slices.Sorted(maps.Keys(ceilings)) {
		for _, c := range ceilings[name] {
			if mutant == "no-ceiling" {
				continue
			}
			if live[name] == c.Incarnation {
				r := a.routerFor(now, name, c.Incarnation, c.Process)
				r.ceilings[c.Limit] = c.Max
				if alloc := a.allocationFor(c.Limit); alloc != nil {
					share := alloc.allotmentFor(r)
					share.update(func() { share.held = c.Max })
				}
				continue
			}
			if alloc := a.allocationFor(c.Limit); alloc != nil {
				a.reserve(now, alloc, &router{name: name, incarnation: c.Incarnation, process: c.Process}, c.Max)
				a.removeIfEmpty(alloc)
			}
		}
	}
}

// EndTerm ends the term as leader and discards its state.
func (a *Allocator) EndTerm() {
	a.leading, a.routers, a.allocations, a.reservationCount = false, nil, nil, 0
}

// routerFor returns the state of a router's incarnation and creates it if needed. It ends any other incarnation of
// the router.
func (a *Allocator) routerFor(now time.Duration, name string, incarnation, process uint64) *router {
	r := a.routers[name]
	if r != nil && r.incarnation != incarnation {
		a.EndIncarnation(now, name, r.incarnation)
		r = nil
	}
	if r == nil {
		r = &router{
			name: name, incarnation: incarnation, process: process,
			allotments: map[string]*allotment{}, ceilings: map[string]float64{},
		}
		a.routers[name] = r
	}
	return r
}

// reserve keeps capacity for calls of an ended incarnation until the longest of them must have ended on any clock.
func (a *Allocator) reserve(now time.Duration, alloc *allocation, r *router, calls float64) {
	if alloc.Kind != Calls || calls <= 0 || mutant == "places-free" {
		return
	}
	alloc.reservations = append(alloc.reservations, reservation{
		r.name, r.incarnation, r.process, min(calls, alloc.Max),
		now + time.Duration(float64(alloc.MaxCallDuration)*(1+a.maxDrift)/(1-a.maxDrift)),
	})
	a.reservationCount++
}

// EndIncarnation reports that an incarnation's lease has expired on every clock. Its shares end; capacity for its
// calls, which may still be established, is reserved.
func (a *Allocator) EndIncarnation(now time.Duration, name string, incarnation uint64) {
	r := a.routers[name]
	if !a.leading || r == nil || r.incarnation != incarnation {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.allotments)) {
		share := r.allotments[name]
		a.reserve(now, share.allocation, r, share.maxInForce())
		share.allocation.reallocatedAt = 0
		a.removeAllotment(r, share.allocation)
	}
	delete(a.routers, name)
}

// divisible returns the part of a limit that is divided by leases: all but the floors.
func (a *Allocator) divisible(l *Limit) float64 {
	if mutant == "floor-on-top" {
		return l.Max
	}
	return l.divisible()
}

// aboveFloor returns the part of a share that counts against the divisible part of the limit.
func aboveFloor(l *Limit, share float64) float64 { return max(0, share-l.floor()) }

// totalInForce returns what may be in force above the floors, including reservations.
func (a *allocation) totalInForce() float64 {
	sum := a.inForce
	for _, res := range a.reservations {
		sum += aboveFloor(a.Limit, res.calls)
	}
	return sum
}

// releaseReservations removes the expired reservations and those for which alsoIf, if not nil, returns true. It
// returns the calls of the latter.
func (a *Allocator) releaseReservations(
	now time.Duration, alloc *allocation, alsoIf func(reservation) bool,
) (released float64) {
	before := len(alloc.reservations)
	alloc.reservations = slices.DeleteFunc(alloc.reservations, func(res reservation) bool {
		if now >= res.until {
			return true
		}
		if alsoIf != nil && alsoIf(res) {
			released += res.calls
			return true
		}
		return false
	})
	a.reservationCount -= before - len(alloc.reservations)
	return released
}

// Allocate processes the claims that came with a router's lease request and returns the shares for the answer. process
// identifies the router's process, which keeps its calls when its incarnation changes. seq is the number of the
// answer, appliedSeq that of the answer whose shares the router has in force, and ceilings are the router's ceilings
// in the log. newCeilings have to be committed to the log before later requests can be granted more. An allocator that
// does not lead returns nothing.
func (a *Allocator) Allocate(
	now time.Duration, name string, incarnation, process, seq, appliedSeq uint64, claims []Claim, ceilings []Ceiling,
) (grants []Grant, newCeilings []Ceiling) {
	if !a.leading {
		return nil, nil
	}
	r := a.routerFor(now, name, incarnation, process)
	first := !r.hasReported
	r.hasReported, r.lastRequest, a.lastRequest = true, now, max(now, a.lastRequest)
	clear(r.ceilings)
	for _, ceiling := range ceilings {
		if ceiling.Incarnation == incarnation {
			r.ceilings[ceiling.Limit] = ceiling.Max
		}
	}
	claimByLimit := make(map[string]Claim, len(claims))
	for _, claim := range claims {
		claimByLimit[claim.Limit] = claim
		if len(r.allotments) >= MaxValues+MaxLimits && r.allotments[claim.Limit] == nil {
			a.Refused++ // one router cannot use up maxAllocations
		} else if alloc := a.allocationFor(claim.Limit); alloc != nil {
			alloc.allotmentFor(r)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.allotments)) {
		share := r.allotments[name]
		alloc, claim := share.allocation, claimByLimit[name]
		inherited := 0.0
		if first { // the claim includes the calls of earlier incarnations of the same process
			inherited = a.releaseReservations(now, alloc, func(res reservation) bool {
				return res.name == r.name && res.process == process
			})
		} else {
			a.releaseReservations(now, alloc, nil)
		}
		share.update(func() {
			known := share.maxInForce()
			share.unconfirmed = slices.DeleteFunc(share.unconfirmed, func(pending pendingGrant) bool {
				return pending.seq <= appliedSeq
			})
			share.demand, share.used, share.held =
				clamp(claim.Demand, alloc.maxDemand()), clamp(claim.Used, alloc.Max), clamp(claim.Held, alloc.Max)
			if now >= a.recoveryUntil { // whatever the router claims, it holds no more than it was granted
				share.held = min(share.held, max(known, inherited))
			}
		})
		if share.demand == 0 && share.maxInForce() == 0 {
			a.removeAllotment(r, alloc)
			continue
		}
		a.reallocate(now, alloc)
		next, ceiling := a.nextShare(now, r, share)
		if ceiling > 0 {
			newCeilings = append(newCeilings, Ceiling{name, incarnation, process, ceiling})
		}
		share.update(func() {
			if mutant == "share-too-early" {
				share.unconfirmed, share.held = nil, next
			}
			if mutant == "last-answer-only" {
				share.unconfirmed, share.held = nil, min(share.held, next)
			}
			share.unconfirmed = append(share.unconfirmed, pendingGrant{seq, next})
		})
		grants = append(grants, Grant{name, next})
		a.Granted++
	}
	return grants, newCeilings
}

// nextShare returns the share to grant to a router now. If the committed ceiling keeps it below its target, ceiling
// is the value to commit so that a later grant can be larger; otherwise it is 0.
func (a *Allocator) nextShare(now time.Duration, r *router, share *allotment) (next, ceiling float64) {
	alloc := share.allocation
	next = share.target
	if math.Abs(next-share.held) < 0.02*share.held && (share.demand <= share.held || alloc.Kind == Cold) {
		next = share.held // avoids a new share for a change of less than 2 %
	}
	switch free := a.divisible(alloc.Limit) - alloc.totalInForce(); {
	case now < a.recoveryUntil: // no more than the router holds
		next = min(next, share.held)
	case len(share.unconfirmed) >= maxUnconfirmedGrants:
		next = min(next, share.maxInForce())
	case next > share.maxInForce():
		next = min(next, max(share.maxInForce(), alloc.floor())+max(free, 0))
	}
	if alloc.Kind == Calls && next > r.ceilings[alloc.name] {
		if a.reservationCount < maxReservations && now >= a.recoveryUntil {
			ceiling = min(alloc.Max, math.Ceil(max(next, 1.5*r.ceilings[alloc.name])))
		}
		next = min(next, r.ceilings[alloc.name])
	}
	return next, ceiling
}

// maxDemand returns the largest demand that a router may claim. The demand for a cold server is the router's call
// rate, not a part of the limit.
func (l *Limit) maxDemand() float64 {
	if l.Kind == Cold {
		return 1e6
	}
	return l.Max
}

// clamp limits a value to the range from 0 to limit. NaN becomes 0.
func clamp(value, limit float64) float64 {
	if !(value > 0) {
		return 0
	}
	return min(value, limit)
}

// reallocate computes the target shares of a limit, at most once per reallocationInterval. Shares are max-min fair
// with equal weights, plus headroom; those for a cold server are proportional to demand.
func (a *Allocator) reallocate(now time.Duration, alloc *allocation) {
	if now < alloc.reallocatedAt+reallocationInterval && alloc.reallocatedAt != 0 {
		return
	}
	alloc.reallocatedAt = now
	alloc.recomputeInForce()
	available := a.divisible(alloc.Limit) - alloc.totalInForce() + alloc.inForce
	eligible := make([]*allotment, 0, len(alloc.allotments))
	for _, share := range alloc.allotments {
		// With a limit per field, a router without calls of a value gets no share for that value.
		if share.target = 0; alloc.PerField != FieldNone && share.demand < minActiveDemand {
			continue
		}
		eligible = append(eligible, share)
	}
	slices.SortFunc(eligible, func(a, b *allotment) int { return cmp.Compare(a.demand, b.demand) })
	available = max(available, 0)
	if alloc.Kind == Cold { // in proportion to the routers' call rates
		totalDemand := 0.0
		for _, share := range eligible {
			totalDemand += share.demand
		}
		for _, share := range eligible {
			share.target = alloc.floor() + available*share.demand/totalDemand
		}
		return
	}
	// In order of demand, each gets what it demands, but no more than an equal part of what is left.
	for i, share := range eligible {
		share.target = min(
			aboveFloor(alloc.Limit, share.demand*(1+headroomFraction)), available/float64(len(eligible)-i))
		available -= share.target
	}
	for _, share := range eligible {
		share.target += alloc.floor() + available/float64(len(eligible))
	}
}

// needsCeiling reports whether a ceiling has to stay in the log: its incarnation is live or has a reservation.
func (a *Allocator) needsCeiling(name string, ceiling Ceiling) bool {
	if r := a.routers[name]; r != nil && r.incarnation == ceiling.Incarnation {
		return true
	}
	alloc := a.allocations[ceiling.Limit]
	return alloc != nil && slices.ContainsFunc(alloc.reservations, func(res reservation) bool {
		return res.name == name && res.incarnation == ceiling.Incarnation
	})
}

// RequiredCeilings returns the ceilings of a router that the log has to store from now on: the stored ones that are
// still needed and not replaced, followed by the added ones.
func (a *Allocator) RequiredCeilings(name string, stored, added []Ceiling) (list []Ceiling) {
	for _, c := range stored {
		if a.needsCeiling(name, c) && !slices.ContainsFunc(added, func(other Ceiling) bool {
			return other.Limit == c.Limit && other.Incarnation == c.Incarnation
		}) {
			list = append(list, c)
		}
	}
	return append(list, added...)
}

// AllocationStatus describes the allocation of one limit, for reports.
type AllocationStatus struct {
	Limit
	InForce  float64       // sum of the shares that may be in force
	Reserved float64       // reserved for calls of ended incarnations
	Used     float64       // as claimed by the routers
	Demand   float64       // as claimed by the routers
	Shares   []ShareStatus // in descending order of Share
}

// ShareStatus describes one router's share of a limit.
type ShareStatus struct {
	Name   string        // of the router
	Share  float64       // the largest that may be in force
	Used   float64       // as claimed
	Demand float64       // as claimed
	Age    time.Duration // of the router's latest claims
}

// Status lists the limits without an allocation and then the allocations, both sorted by name. Of limits per field,
// only the allocated values are listed.
func (a *Allocator) Status() (list []AllocationStatus) {
	for _, name := range slices.Sorted(maps.Keys(a.limits)) {
		if a.allocations[name] == nil && a.limits[name].PerField == FieldNone {
			list = append(list, AllocationStatus{Limit: *a.limits[name]})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.allocations)) {
		alloc := a.allocations[name]
		s := AllocationStatus{Limit: *alloc.Limit}
		s.Name = name
		for r, share := range alloc.allotments {
			s.InForce, s.Used, s.Demand = s.InForce+share.maxInForce(), s.Used+share.used, s.Demand+share.demand
			s.Shares = append(s.Shares, ShareStatus{
				r.name, share.maxInForce(), share.used, share.demand, a.lastRequest - r.lastRequest,
			})
		}
		slices.SortFunc(s.Shares, func(a, b ShareStatus) int {
			return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name))
		})
		for _, res := range alloc.reservations {
			s.Reserved += res.calls
		}
		list = append(list, s)
	}
	return list
}

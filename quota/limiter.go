package quota

import (
	"math"
	"strconv"
	"time"
)

const (
	// rateTimeConstant is the time constant of the exponential smoothing of arrival and admission rates.
	rateTimeConstant = 400 * time.Millisecond
	// maxRetryDelay bounds the retry delay that a refused caller is given.
	maxRetryDelay = 2 * time.Second
	// maxSlots bounds the slots of admitted calls. A call with a larger slot is refused by any limit that it matches.
	maxSlots = 1 << 20
	// maxEarnedRetries bounds the retries that first tries have earned and that are still unused.
	maxEarnedRetries = 10
	// maxLentRetries bounds the earned retries that are lent to routing decisions for retry attempts.
	maxLentRetries = 4
	// idleTimeout is how long the state of a tenant, number or class is kept after its last call.
	idleTimeout = 10 * time.Second
)

// Limiter admits calls at one router within the shares that it has in force. It is not safe for concurrent use.
type Limiter struct {
	states        []*limitState
	freeIndexes   []uint16                    // unused entries of states; indexes here and below start at 1
	configured    []uint16                    // the limits that each call is checked against, as indexes into states
	perValue      []map[string]uint16         // parallel to configured: the active values of a limit per field
	leaseUntil    time.Duration               // when the lease, and the shares with it, expire
	appliedSeq    uint64                      // number of the latest answer applied
	slots         [][maxMatchingLimits]uint16 // by slot: the limits of kind Calls that count the call; 0 ends the list
	matched       [maxMatchingLimits]uint16   // the limits that the call in Admit matches
	matchedCount  int                         // entries used of matched
	lastSweep     time.Duration               // when Claims last removed idle states
	createdAt     time.Duration
	hasRetryLimit bool       // a limit of kind Retries is, or has been, in force
	allCalls      limitState // arrival rate of all calls: the demand for shares of cold servers
	Count         Counters
}

// Counters are a limiter's totals since its creation.
type Counters struct {
	Admitted, Refused uint64 // calls that matched a limit
	Unplaced          uint64 // refused because the slots, or the states for tenants, numbers or classes, are used up
}

// limitState is the state of one limit, or of one value of a limit per field, at a router.
type limitState struct {
	Limit
	share        float64       // granted with the lease
	tokens       float64       // in the bucket, of kinds Rate and Retries
	tokensAt     time.Duration // when tokens was computed
	openCalls    int           // calls that are counted
	arrivals     float64       // since measuredAt, not yet in arrivalRate
	arrivalRate  float64       // per second, smoothed
	lentRetries  int           // of Retries: lent to routing decisions, as of the latest LendRetries
	admittedRate float64       // per second, smoothed
	measuredAt   time.Duration // of arrivalRate and admittedRate
	lastCall     time.Duration // when the latest call arrived
	warmAt       time.Duration // of Cold: when the server is warm
	server       Server        // of Cold
	refused      uint64
	retired      bool   // replaced or removed, kept to count its open calls; or the template of a limit per field
	value        string // of a limit per field
}

// key returns the limit's name in claims and grants.
func (s *limitState) key() string {
	if s.PerField != FieldNone {
		return s.Name + "/" + s.value
	}
	return s.Name
}

// NewLimiter returns a limiter without shares.
func NewLimiter(now time.Duration, limits []Limit) *Limiter {
	l := &Limiter{createdAt: now}
	l.SetLimits(now, limits)
	return l
}

// SetLimits replaces the limits. Open calls are still counted. A limit whose name, kind and field do not change keeps
// its share, reduced to the new limit if that is smaller.
func (l *Limiter) SetLimits(now time.Duration, limits []Limit) {
	previous := map[string][]*limitState{}
	for _, state := range l.states {
		if state != nil && !state.retired {
			state.retired = true
			previous[state.Name] = append(previous[state.Name], state)
		}
	}
	l.configured, l.perValue = nil, nil
	for _, limit := range limits {
		l.hasRetryLimit = l.hasRetryLimit || limit.Kind == Retries
		if limit.Kind == Cold {
			limit.PerField, limit.Max = fieldServer, 1
		}
		index, indexByValue := uint16(0), map[string]uint16(nil)
		if limit.PerField != FieldNone {
			indexByValue = map[string]uint16{}
		}
		for _, state := range previous[limit.Name] {
			if state.Kind != limit.Kind || state.PerField != limit.PerField {
				continue
			}
			state.refill(now, l.leaseUntil)
			state.Limit, state.retired, state.share = limit, false, min(state.share, limit.Max)
			for i, other := range l.states {
				if other == state && indexByValue != nil {
					indexByValue[state.value] = uint16(i + 1)
				} else if other == state {
					index = uint16(i + 1)
				}
			}
		}
		if indexByValue == nil && index == 0 {
			index = l.addState(&limitState{Limit: limit, tokensAt: now, measuredAt: now})
		}
		l.configured, l.perValue = append(l.configured, index), append(l.perValue, indexByValue)
		if indexByValue != nil { // the template for the limit's values; it counts no calls itself
			l.configured[len(l.configured)-1] = l.addState(&limitState{Limit: limit, retired: true})
		}
	}
	l.removeIdle(now)
}

// addState stores a state and returns its index, or 0 if there are too many states.
func (l *Limiter) addState(state *limitState) uint16 {
	if n := len(l.freeIndexes); n > 0 {
		index := l.freeIndexes[n-1]
		l.freeIndexes, l.states[index-1] = l.freeIndexes[:n-1], state
		return index
	}
	if len(l.states) >= math.MaxUint16 {
		return 0
	}
	l.states = append(l.states, state)
	return uint16(len(l.states))
}

// removeIdle removes the states of idle tenants, numbers, classes and servers, and of removed limits without open
// calls.
func (l *Limiter) removeIdle(now time.Duration) {
	inUse := map[uint16]bool{}
	for i, indexByValue := range l.perValue {
		inUse[l.configured[i]] = true
		for value, index := range indexByValue {
			state := l.states[index-1]
			if state.Kind == Cold && now < state.warmAt {
				inUse[index] = true
				continue
			}
			if state.openCalls == 0 && state.share == 0 && state.arrivalRate < 0.001 &&
				now > state.lastCall+idleTimeout {
				delete(indexByValue, value)
				continue
			}
			inUse[index] = true
		}
	}
	for i, state := range l.states {
		if index := uint16(i + 1); state != nil && !inUse[index] && state.openCalls == 0 {
			l.states[i] = nil
			l.freeIndexes = append(l.freeIndexes, index)
		}
	}
}

// stateFor returns the index and the state that the i-th configured limit has for a call. For a limit per field it is
// the state of the call's value, created if needed, or nil if there are too many values.
func (l *Limiter) stateFor(now time.Duration, i int, class, tenant, number string) (uint16, *limitState) {
	base := l.states[l.configured[i]-1]
	if l.perValue[i] == nil {
		return l.configured[i], base
	}
	value := base.PerField.valueOf(class, tenant, number)
	index := l.perValue[i][value]
	if index == 0 {
		if len(l.perValue[i]) >= MaxValues {
			return 0, nil
		}
		// No call of this value has arrived for at least idleTimeout, or since the limiter was created. In that time,
		// its bucket was filled at the rate of the share that a router has without a lease.
		state := &limitState{
			Limit: base.Limit, value: value, tokensAt: max(l.createdAt, now-idleTimeout),
			measuredAt: now, lastCall: now,
		}
		if index = l.addState(state); index == 0 {
			return 0, nil
		}
		l.perValue[i][value] = index
	}
	return index, l.states[index-1]
}

// bucketCapacity returns the capacity of a share's token bucket: one call, so that the smallest share admits calls,
// and the share's burst.
func (s *limitState) bucketCapacity(share float64) float64 {
	if share <= 0 {
		return 0
	}
	return 1 + share*s.Burst.Seconds()
}

// shareAt returns the share in force at a time.
func (s *limitState) shareAt(now, leaseUntil time.Duration) float64 {
	if now < leaseUntil || mutant == "share-for-ever" {
		return max(s.share, s.floor())
	}
	return s.shareWithoutLease()
}

// refill fills the token bucket up to now: at the rate of the granted share until the lease expires, and at that of
// the share without a lease from then on.
func (s *limitState) refill(now, leaseUntil time.Duration) {
	if s.Kind != Rate || now <= s.tokensAt {
		return
	}
	fill := func(to time.Duration, share float64) {
		if to > s.tokensAt {
			s.tokens = min(s.tokens+share*(to-s.tokensAt).Seconds(), s.bucketCapacity(share))
			s.tokensAt = to
		}
	}
	fill(min(now, leaseUntil), s.shareAt(s.tokensAt, leaseUntil))
	fill(now, s.shareAt(now, leaseUntil))
	s.tokens = min(s.tokens, s.bucketCapacity(s.shareAt(now, leaseUntil)))
}

// updateRates brings the smoothed rates up to now and adds arrivals and admitted calls to them.
func (s *limitState) updateRates(now time.Duration, arrivals, admitted float64) {
	arrivals += s.arrivals
	s.arrivals = 0
	decay := math.Exp(-float64(now-s.measuredAt) / float64(rateTimeConstant))
	s.arrivalRate = s.arrivalRate*decay + arrivals/rateTimeConstant.Seconds()
	s.admittedRate = s.admittedRate*decay + admitted/rateTimeConstant.Seconds()
	s.measuredAt = now
}

// Admit reports whether a call is admitted now, and counts it. slot is a small number that identifies the call among
// the open ones. The call has to be within every limit that it matches; otherwise none of them counts it as admitted.
// For a refused call it returns the name of an exhausted limit and the time after which a retry may succeed. It
// allocates memory only for new slots and for new values of limits per field.
func (l *Limiter) Admit(
	now time.Duration, slot uint32, class, tenant, number string, retry bool,
) (ok bool, limitedBy string, retryAfter time.Duration) {
	l.matchedCount = 0
	l.allCalls.arrivals++
	var exhausted *limitState
	for i, index := range l.configured {
		base := l.states[index-1]
		if !base.matches(class, tenant, number) {
			continue
		}
		if l.matchedCount == maxMatchingLimits {
			break
		}
		index, state := l.stateFor(now, i, class, tenant, number)
		if state == nil {
			l.Count.Unplaced++
			l.Count.Refused++
			return false, base.Name, maxRetryDelay
		}
		l.matched[l.matchedCount] = index
		l.matchedCount++
		share := state.shareAt(now, l.leaseUntil)
		switch {
		case state.Kind == Retries:
			if retry && state.tokens < 1 && exhausted == nil {
				exhausted = state
			}
		case state.Kind == Rate:
			state.refill(now, l.leaseUntil)
			if state.tokens < 1 && exhausted == nil {
				exhausted = state
				if share > 0 {
					retryAfter = time.Duration((1 - state.tokens) / share * float64(time.Second))
				}
			}
		case float64(state.openCalls+1) > share && exhausted == nil:
			exhausted = state
		}
	}
	if l.matchedCount == 0 {
		return true, "", 0
	}
	if exhausted == nil && !l.recordSlot(slot) {
		l.Count.Unplaced++
		exhausted = l.states[l.matched[0]-1]
	}
	for _, i := range l.matched[:l.matchedCount] {
		state := l.states[i-1]
		state.lastCall = now
		if exhausted != nil {
			state.updateRates(now, 1, 0)
			continue
		}
		state.updateRates(now, 1, 1)
		switch {
		case state.Kind == Calls:
			state.openCalls++
		case state.Kind == Rate || retry:
			state.tokens--
		default: // a first try earns a fraction of a retry
			state.tokens = min(state.tokens+state.Max, float64(maxEarnedRetries-state.lentRetries))
		}
	}
	if exhausted != nil {
		exhausted.refused++
		l.Count.Refused++
		if retryAfter <= 0 || retryAfter > maxRetryDelay {
			retryAfter = maxRetryDelay
		}
		return false, exhausted.Name, retryAfter
	}
	l.Count.Admitted++
	return true, "", 0
}

// HasRetryLimit reports whether a limit of kind Retries is, or has been, in force. It stays true after the limit is
// removed, because the routing decisions have to be notified of the removal, too.
func (l *Limiter) HasRetryLimit() bool { return l.hasRetryLimit }

// LendRetries returns how many retry attempts the routing decisions may make from now on. left is the number of lent
// retries that are still unused. Earned retries are lent a few at a time and leave the token bucket when they are
// lent. Only limits that count all calls apply, because routing decisions do not ask the limiter about each attempt.
// limited is false if there is no such limit.
func (l *Limiter) LendRetries(left int) (lent int, limited bool) {
	lent = maxLentRetries
	for _, index := range l.configured {
		if state := l.states[index-1]; state.Kind == Retries &&
			state.Class == "" && state.Tenant == "" && state.Number == "" {
			limited, state.lentRetries = true, left
			lent = min(lent, left+int(state.tokens))
		}
	}
	if !limited || lent <= left {
		return max(left, 0), limited
	}
	for _, index := range l.configured {
		if state := l.states[index-1]; state.Kind == Retries &&
			state.Class == "" && state.Tenant == "" && state.Number == "" {
			if mutant != "lent-for-nothing" {
				state.tokens -= float64(lent - left)
			}
			state.lentRetries = lent
		}
	}
	return lent, true
}

// recordSlot records which limits of kind Calls count a call. It returns false if the slot is out of range.
func (l *Limiter) recordSlot(slot uint32) bool {
	if int(slot) >= maxSlots {
		return false
	}
	for int(slot) >= len(l.slots) {
		l.slots = append(l.slots, [maxMatchingLimits]uint16{})
	}
	count := 0
	l.slots[slot] = [maxMatchingLimits]uint16{}
	for _, index := range l.matched[:l.matchedCount] {
		if l.states[index-1].Kind == Calls {
			l.slots[slot][count] = index
			count++
		}
	}
	return true
}

// Release reports that an admitted call has ended.
func (l *Limiter) Release(slot uint32) {
	if int(slot) >= len(l.slots) {
		return
	}
	for _, index := range l.slots[slot] {
		if index == 0 {
			break
		}
		l.states[index-1].openCalls--
	}
	l.slots[slot] = [maxMatchingLimits]uint16{}
}

// Claims returns the claims to send with a lease request, and the number of the latest answer applied. Limits with
// neither demand nor share are omitted. It also removes idle states, at most once per idleTimeout.
func (l *Limiter) Claims(now time.Duration) (claims []Claim, appliedSeq uint64) {
	l.allCalls.updateRates(now, 0, 0)
	for _, state := range l.states {
		if state == nil || state.retired || state.Kind == Retries {
			continue
		}
		state.updateRates(now, 0, 0)
		claim := Claim{Limit: state.key(), Demand: state.arrivalRate, Used: state.admittedRate}
		if now < l.leaseUntil {
			claim.Held = state.share
		}
		if state.Kind == Cold { // shares of a cold server are proportional to the routers' call rates
			claim.Demand, claim.Used = 0, 0
			if now < state.warmAt {
				claim.Demand = max(l.allCalls.arrivalRate, 1)
			}
		}
		if state.Kind == Calls {
			// Recently refused calls count as demand, too.
			claim.Demand, claim.Used =
				float64(state.openCalls)+max(state.arrivalRate-state.admittedRate, 0), float64(state.openCalls)
			claim.Held = max(claim.Held, float64(state.openCalls))
		}
		if claim.Demand > minActiveDemand || claim.Held > 0 {
			claims = append(claims, claim)
		}
	}
	if now > l.lastSweep+idleTimeout {
		l.lastSweep = now
		l.removeIdle(now)
	}
	return claims, l.appliedSeq
}

// Server is a case server that has just started.
type Server struct {
	ID      string
	Started time.Duration // as in the server list
	Warm    time.Duration // when it is warm, on the limiter's clock
}

// SetColdServers sets the servers that have just started. Others no longer count as cold.
func (l *Limiter) SetColdServers(now time.Duration, servers []Server) {
	for i, index := range l.configured {
		if l.states[index-1].Kind != Cold {
			continue
		}
		for _, stateIndex := range l.perValue[i] {
			l.states[stateIndex-1].warmAt = 0
		}
		for _, server := range servers {
			value := server.ID + "@" + strconv.FormatInt(server.Started.Milliseconds(), 10)
			stateIndex := l.perValue[i][value]
			if stateIndex == 0 {
				if stateIndex = l.addState(&limitState{
					Limit: l.states[index-1].Limit, value: value, tokensAt: now, measuredAt: now, lastCall: now,
				}); stateIndex == 0 {
					continue
				}
				l.perValue[i][value] = stateIndex
			}
			l.states[stateIndex-1].warmAt, l.states[stateIndex-1].server = server.Warm, server
		}
	}
}

// ColdShare is the fraction, from 0 to 1, of a cold server's permitted load that the router may send.
type ColdShare struct {
	Server
	Share float64
}

// ColdShares returns the shares of cold servers, valid until LeaseUntil, and the share that the router has without a
// lease. ok reports whether a limit of kind Cold is in force.
func (l *Limiter) ColdShares(now time.Duration) (shares []ColdShare, withoutLease float64, ok bool) {
	for i, index := range l.configured {
		base := l.states[index-1]
		if base.Kind != Cold {
			continue
		}
		ok, withoutLease = true, base.shareWithoutLease()
		for _, stateIndex := range l.perValue[i] {
			if state := l.states[stateIndex-1]; now < state.warmAt {
				shares = append(shares, ColdShare{state.server, state.shareAt(now, l.leaseUntil)})
			}
		}
	}
	return shares, withoutLease, ok
}

// HasUnmetDemand reports whether calls were refused recently because a share was too small, or a cold server's share
// has not been granted yet. The router then renews its lease sooner.
func (l *Limiter) HasUnmetDemand(now time.Duration) bool {
	for _, state := range l.states {
		if state != nil && !state.retired && state.Kind == Cold && state.share == 0 && now < state.warmAt {
			return true
		}
		if state != nil && !state.retired && state.Kind < Retries && state.arrivalRate-state.admittedRate > 0.5 &&
			state.arrivalRate > state.admittedRate*1.05 && now < state.measuredAt+rateTimeConstant {
			return true
		}
	}
	return false
}

// ApplyGrants puts the shares of answer seq in force until the lease that it renews expires. Shares of limits that
// are not in grants end. An answer that is not newer than the latest one applied is ignored. It reports whether a
// share decreased: the allocator gives the difference to other routers only once this router has confirmed it.
func (l *Limiter) ApplyGrants(now time.Duration, seq uint64, until time.Duration, grants []Grant) (decreased bool) {
	if seq <= l.appliedSeq {
		return false
	}
	l.appliedSeq = seq
	shares := make(map[string]float64, len(grants))
	for _, grant := range grants {
		shares[grant.Limit] = grant.Share
	}
	for _, state := range l.states {
		if state == nil || state.retired {
			continue
		}
		state.refill(now, l.leaseUntil)
		previous := 0.0
		if now < l.leaseUntil {
			previous = state.share
		}
		state.share = clamp(shares[state.key()], state.Max)
		decreased = decreased || state.share < previous
		if mutant == "full-bucket" && state.share > previous {
			state.tokens = state.bucketCapacity(state.share)
		}
		if state.Kind == Rate {
			state.tokens = min(state.tokens, state.bucketCapacity(state.shareAt(now, until)))
		}
	}
	l.leaseUntil = until
	return decreased
}

// LeaseUntil returns when the lease, and the shares with it, expire.
func (l *Limiter) LeaseUntil() time.Duration { return l.leaseUntil }

// LimiterStatus describes one limit at a router, for reports.
type LimiterStatus struct {
	Limit
	Value             string  // value of a limit per field
	Share             float64 // in force
	ShareWithoutLease float64 // without a lease
	Tokens            float64 // in the bucket
	Demand            float64 // arrivals per second, smoothed
	Used              float64 // admitted calls per second, smoothed
	OpenCalls         int     // counted by the limit
	Refused           uint64
}

// Status lists the limits in force.
func (l *Limiter) Status(now time.Duration) (list []LimiterStatus) {
	for _, state := range l.states {
		if state != nil && !state.retired {
			state.refill(now, l.leaseUntil)
			state.updateRates(now, 0, 0)
			list = append(list, LimiterStatus{
				state.Limit, state.value, state.shareAt(now, l.leaseUntil), state.shareWithoutLease(),
				state.tokens, state.arrivalRate, state.admittedRate, state.openCalls, state.refused,
			})
		}
	}
	return list
}

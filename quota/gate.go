package quota

import (
	"math"
	"strconv"
	"time"
)

// measureOver is the time over which demand is smoothed, and adviseMost the longest advice on when to come back.
const (
	measureOver = 400 * time.Millisecond
	adviseMost  = 2 * time.Second
	// slotsMost open calls are counted one by one; a call beyond is refused by any limit that it meets.
	slotsMost = 1 << 20
	// retriesMost is what first tries can earn ahead, and lentMost what of it waits with the decisions for further attempts.
	retriesMost = 10
	lentMost    = 4
	// idleFor is how long what holds for each tenant, number or class is kept after its last call.
	idleFor = 10 * time.Second
)

// Gate is a router's part: it admits by the shares that the router has now. Its methods are for one goroutine.
type Gate struct {
	limits  []*held
	free    []uint16            // places in limits that serve again
	plain   []uint16            // limits that are looked at for each call
	each    []map[string]uint16 // beside plain: what is active of a limit that holds for each value; nil: another
	until   time.Duration       // the shares end, with the lease
	taken   uint64              // sequence of the answer that was taken last
	slots   [][matchMost]uint16
	match   [matchMost]uint16
	met     int
	swept   time.Duration
	born    time.Duration
	retries bool // a limit of them is, or has been, in force
	all     held // of which only what came is measured: all calls, where servers' parts are asked for by them
	Count   Counters
}

// Counters of a Gate.
type Counters struct {
	Admitted, Refused uint64 // of calls that met a limit
	Unplaced          uint64 // refused for want of a slot, or of room for another tenant, number or class
}

// held is one limit as a router has it.
type held struct {
	Limit
	share   float64 // by lease
	tokens  float64
	at      time.Duration // of tokens
	open    int           // calls counted
	came    float64       // since it was measured
	arrived float64       // smoothed, a second
	lent    int           // of Retries: with the decisions, when last looked at
	passed  float64
	seen    time.Duration // of both
	last    time.Duration // when a call came
	until   time.Duration // of Cold: when the server is warm
	server  Server
	refused uint64
	old     bool   // taken away or replaced; it only counts calls that came under it
	by      string // the value that it holds for
}

// name is what claims and grants call it.
func (h *held) name() string {
	if h.Each != EachNone {
		return h.Name + "/" + h.by
	}
	return h.Name
}

// NewGate makes a gate without shares.
func NewGate(now time.Duration, limits []Limit) *Gate {
	g := &Gate{born: now}
	g.Change(now, limits)
	return g
}

// Change puts other limits in force. What is open goes on to be counted; a limit of the same name and kind keeps its share, cut to the new one's size.
func (g *Gate) Change(now time.Duration, limits []Limit) {
	was := map[string][]*held{}
	for _, h := range g.limits {
		if h != nil && !h.old {
			h.old = true
			was[h.Name] = append(was[h.Name], h)
		}
	}
	g.plain, g.each = nil, nil
	for _, l := range limits {
		g.retries = g.retries || l.Kind == Retries
		if l.Kind == Cold {
			l.Each, l.Most = eachServer, 1
		}
		at, by := uint16(0), map[string]uint16(nil)
		if l.Each != EachNone {
			by = map[string]uint16{}
		}
		for _, h := range was[l.Name] {
			if h.Kind != l.Kind || h.Each != l.Each {
				continue
			}
			h.settle(now, g.until)
			h.Limit, h.old, h.share = l, false, min(h.share, l.Most)
			for i, one := range g.limits {
				if one == h && by != nil {
					by[h.by] = uint16(i + 1)
				} else if one == h {
					at = uint16(i + 1)
				}
			}
		}
		if by == nil && at == 0 {
			at = g.add(&held{Limit: l, at: now, seen: now})
		}
		g.plain, g.each = append(g.plain, at), append(g.each, by)
		if by != nil { // the limit itself, which no call is counted by
			g.plain[len(g.plain)-1] = g.add(&held{Limit: l, old: true})
		}
	}
	g.sweep(now)
}

// add finds a place for a limit.
func (g *Gate) add(h *held) uint16 {
	if n := len(g.free); n > 0 {
		at := g.free[n-1]
		g.free, g.limits[at-1] = g.free[:n-1], h
		return at
	}
	if len(g.limits) >= math.MaxUint16 {
		return 0
	}
	g.limits = append(g.limits, h)
	return uint16(len(g.limits))
}

// sweep frees the places of what is idle: tenants, numbers and classes that come and go, limits that are gone.
func (g *Gate) sweep(now time.Duration) {
	inUse := map[uint16]bool{}
	for i, by := range g.each {
		inUse[g.plain[i]] = true
		for value, at := range by {
			h := g.limits[at-1]
			if h.Kind == Cold && now < h.until {
				inUse[at] = true
				continue
			}
			if h.open == 0 && h.share == 0 && h.arrived < 0.001 && now > h.last+idleFor {
				delete(by, value)
				continue
			}
			inUse[at] = true
		}
	}
	for i, h := range g.limits {
		if at := uint16(i + 1); h != nil && !inUse[at] && h.open == 0 {
			g.limits[i] = nil
			g.free = append(g.free, at)
		}
	}
}

// one is the limit that a plain one comes to for a call; nil: there is no room for another value.
func (g *Gate) one(now time.Duration, i int, class, tenant, number string) (uint16, *held) {
	l := g.limits[g.plain[i]-1]
	if g.each[i] == nil {
		return g.plain[i], l
	}
	value := l.Each.value(class, tenant, number)
	at := g.each[i][value]
	if at == 0 {
		if len(g.each[i]) >= EachMost {
			return 0, nil
		}
		// Nothing has come of it for so long: what a router has alone has filled its bucket meanwhile.
		h := &held{Limit: l.Limit, by: value, at: max(g.born, now-idleFor), seen: now, last: now}
		if at = g.add(h); at == 0 {
			return 0, nil
		}
		g.each[i][value] = at
	}
	return at, g.limits[at-1]
}

// capacity is what a bucket of a share holds: one call, so that the smallest share is of use, and the share's burst.
func (h *held) capacity(share float64) float64 {
	if share <= 0 {
		return 0
	}
	return 1 + share*h.Burst.Seconds()
}

// now is the share in force.
func (h *held) now(now, until time.Duration) float64 {
	if now < until || mutant == "share-for-ever" {
		return max(h.share, h.floor())
	}
	return h.alone()
}

// settle brings the bucket up to a time: by the share while the lease ran, by what a router has alone after it.
func (h *held) settle(now, until time.Duration) {
	if h.Kind != Rate || now <= h.at {
		return
	}
	fill := func(to time.Duration, share float64) {
		if to > h.at {
			h.tokens = min(h.tokens+share*(to-h.at).Seconds(), h.capacity(share))
			h.at = to
		}
	}
	fill(min(now, until), h.now(h.at, until))
	fill(now, h.now(now, until))
	h.tokens = min(h.tokens, h.capacity(h.now(now, until)))
}

// measure smooths what came and what was admitted.
func (h *held) measure(now time.Duration, came, passed float64) {
	came += h.came
	h.came = 0
	keep := math.Exp(-float64(now-h.seen) / float64(measureOver))
	h.arrived = h.arrived*keep + came/measureOver.Seconds()
	h.passed = h.passed*keep + passed/measureOver.Seconds()
	h.seen = now
}

// Admit asks whether a call may come in now; slot is a small number that no other open call has. Every limit that it meets has to have room, or none counts it.
// Refused, it says by which limit, and when it would be worth coming back. It allocates nothing but room for slots, tenants and numbers that were not there before.
func (g *Gate) Admit(now time.Duration, slot uint32, class, tenant, number string, retry bool) (ok bool, by string, after time.Duration) {
	g.met = 0
	g.all.came++
	var full *held
	for i, at := range g.plain {
		l := g.limits[at-1]
		if !l.matches(class, tenant, number) {
			continue
		}
		if g.met == matchMost {
			break
		}
		at, h := g.one(now, i, class, tenant, number)
		if h == nil {
			g.Count.Unplaced++
			g.Count.Refused++
			return false, l.Name, adviseMost
		}
		g.match[g.met] = at
		g.met++
		share := h.now(now, g.until)
		switch {
		case h.Kind == Retries:
			if retry && h.tokens < 1 && full == nil {
				full = h
			}
		case h.Kind == Rate:
			h.settle(now, g.until)
			if h.tokens < 1 && full == nil {
				full = h
				if share > 0 {
					after = time.Duration((1 - h.tokens) / share * float64(time.Second))
				}
			}
		case float64(h.open+1) > share && full == nil:
			full = h
		}
	}
	if g.met == 0 {
		return true, "", 0
	}
	if full == nil && !g.place(slot) {
		g.Count.Unplaced++
		full = g.limits[g.match[0]-1]
	}
	for _, i := range g.match[:g.met] {
		h := g.limits[i-1]
		h.last = now
		if full != nil {
			h.measure(now, 1, 0)
			continue
		}
		h.measure(now, 1, 1)
		switch {
		case h.Kind == Calls:
			h.open++
		case h.Kind == Rate || retry:
			h.tokens--
		default: // a first try earns its part of a retry
			h.tokens = min(h.tokens+h.Most, float64(retriesMost-h.lent))
		}
	}
	if full != nil {
		full.refused++
		g.Count.Refused++
		if after <= 0 || after > adviseMost {
			after = adviseMost
		}
		return false, full.Name, after
	}
	g.Count.Admitted++
	return true, "", 0
}

// Retries says whether a limit of retries is in force, or the decisions have to hear that it is no more.
func (g *Gate) Retries() bool { return g.retries }

// Lend says how many further attempts the decisions may make from now on, of which left are left of those lent before: what first tries have earned is lent a
// little at a time, and what was spent has left the bucket already. Only limits that count all calls bound them, for the decisions do not ask for each; limited is false
// where there is none.
func (g *Gate) Lend(left int) (lend int, limited bool) {
	lend = lentMost
	for _, at := range g.plain {
		if h := g.limits[at-1]; h.Kind == Retries && h.Class == "" && h.Tenant == "" && h.Number == "" {
			limited, h.lent = true, left
			lend = min(lend, left+int(h.tokens))
		}
	}
	if !limited || lend <= left {
		return max(left, 0), limited
	}
	for _, at := range g.plain {
		if h := g.limits[at-1]; h.Kind == Retries && h.Class == "" && h.Tenant == "" && h.Number == "" {
			if mutant != "lent-for-nothing" {
				h.tokens -= float64(lend - left)
			}
			h.lent = lend
		}
	}
	return lend, true
}

// place remembers which limits count a call until it is over.
func (g *Gate) place(slot uint32) bool {
	if int(slot) >= slotsMost {
		return false
	}
	for int(slot) >= len(g.slots) {
		g.slots = append(g.slots, [matchMost]uint16{})
	}
	n := 0
	g.slots[slot] = [matchMost]uint16{}
	for _, at := range g.match[:g.met] {
		if g.limits[at-1].Kind == Calls {
			g.slots[slot][n] = at
			n++
		}
	}
	return true
}

// Over says that a call that was admitted has come to its end.
func (g *Gate) Over(slot uint32) {
	if int(slot) >= len(g.slots) {
		return
	}
	for _, i := range g.slots[slot] {
		if i == 0 {
			break
		}
		g.limits[i-1].open--
	}
	g.slots[slot] = [matchMost]uint16{}
}

// Claims is what the router says as it asks. Limits that it has no use for are left out: only what is active travels.
func (g *Gate) Claims(now time.Duration) (claims []Claim, taken uint64) {
	g.all.measure(now, 0, 0)
	for _, h := range g.limits {
		if h == nil || h.old || h.Kind == Retries {
			continue
		}
		h.measure(now, 0, 0)
		c := Claim{Limit: h.name(), Demand: h.arrived, Used: h.passed}
		if now < g.until {
			c.Held = h.share
		}
		if h.Kind == Cold { // whoever has more calls has more for a server that can take few
			c.Demand, c.Used = 0, 0
			if now < h.until {
				c.Demand = max(g.all.arrived, 1)
			}
		}
		if h.Kind == Calls {
			// What was refused of late wanted a place, too.
			c.Demand, c.Used = float64(h.open)+max(h.arrived-h.passed, 0), float64(h.open)
			c.Held = max(c.Held, float64(h.open))
		}
		if c.Demand > idleBelow || c.Held > 0 {
			claims = append(claims, c)
		}
	}
	if now > g.swept+idleFor {
		g.swept = now
		g.sweep(now)
	}
	return claims, g.taken
}

// Server is a case server that has just started.
type Server struct {
	ID      string
	Started time.Duration // as the list says
	Warm    time.Duration // when it is warm, on the gate's clock
}

// Cold names the servers that have just started; others are forgotten.
func (g *Gate) Cold(now time.Duration, servers []Server) {
	for i, at := range g.plain {
		if g.limits[at-1].Kind != Cold {
			continue
		}
		for _, one := range g.each[i] {
			g.limits[one-1].until = 0
		}
		for _, s := range servers {
			value := s.ID + "@" + strconv.FormatInt(s.Started.Milliseconds(), 10)
			one := g.each[i][value]
			if one == 0 {
				if one = g.add(&held{Limit: g.limits[at-1].Limit, by: value, at: now, seen: now, last: now}); one == 0 {
					continue
				}
				g.each[i][value] = one
			}
			g.limits[one-1].until, g.limits[one-1].server = s.Warm, s
		}
	}
}

// Part is what the router may send of what a cold server may be sent.
type Part struct {
	Server
	Part float64
}

// Parts lists them, to hold until Until; alone is what the router has without a lease. ok: the fleet divides them.
func (g *Gate) Parts(now time.Duration) (parts []Part, alone float64, ok bool) {
	for i, at := range g.plain {
		l := g.limits[at-1]
		if l.Kind != Cold {
			continue
		}
		ok, alone = true, l.alone()
		for _, one := range g.each[i] {
			if h := g.limits[one-1]; now < h.until {
				parts = append(parts, Part{h.server, h.now(now, g.until)})
			}
		}
	}
	return parts, alone, ok
}

// Wanting says whether more came of late than there is a share for: the router then asks sooner.
func (g *Gate) Wanting(now time.Duration) bool {
	for _, h := range g.limits {
		if h != nil && !h.old && h.Kind == Cold && h.share == 0 && now < h.until {
			return true
		}
		if h != nil && !h.old && h.Kind < Retries && h.arrived-h.passed > 0.5 && h.arrived > h.passed*1.05 && now < h.seen+measureOver {
			return true
		}
	}
	return false
}

// Take puts an answer's shares in force, until the lease that it renews is over. An answer that is older than the last one taken is void. What it does not name is gone.
// It says whether anything became less, which the Divider waits to hear.
func (g *Gate) Take(now time.Duration, seq uint64, until time.Duration, grants []Grant) (less bool) {
	if seq <= g.taken {
		return false
	}
	g.taken = seq
	shares := make(map[string]float64, len(grants))
	for _, one := range grants {
		shares[one.Limit] = one.Share
	}
	for _, h := range g.limits {
		if h == nil || h.old {
			continue
		}
		h.settle(now, g.until)
		was := 0.0
		if now < g.until {
			was = h.share
		}
		h.share = sane(shares[h.name()], h.Most)
		less = less || h.share < was
		if mutant == "full-bucket" && h.share > was {
			h.tokens = h.capacity(h.share)
		}
		if h.Kind == Rate {
			h.tokens = min(h.tokens, h.capacity(h.now(now, until)))
		}
	}
	g.until = until
	return less
}

// Until is when its shares end.
func (g *Gate) Until() time.Duration { return g.until }

// View is one limit as a router has it, for people.
type View struct {
	Limit
	By                                 string // the value that it holds for, where it holds for each
	Share, Alone, Tokens, Demand, Used float64
	Open                               int
	Refused                            uint64
}

// Views lists them.
func (g *Gate) Views(now time.Duration) (list []View) {
	for _, h := range g.limits {
		if h != nil && !h.old {
			h.settle(now, g.until)
			h.measure(now, 0, 0)
			list = append(list, View{h.Limit, h.by, h.now(now, g.until), h.alone(), h.tokens, h.arrived, h.passed, h.open, h.refused})
		}
	}
	return list
}

package fleetio

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/settings"
	"threadglade.example/threadglade/quota"
)

// Limits: the carrier of package quota. What divides them rides on leases; which there are stands in the settings and, above them, in the log as operators' words.

const (
	// claimEvery is how often the loop says anew what it has, and hurryEvery how often a router asks whose share does not do.
	claimEvery = 100 * time.Millisecond
	hurryEvery = 250 * time.Millisecond
	pacedBytes = 32 << 10
	sharesMost = 256 // answers that wait for the loop
)

// ReadLimits reads a (limits ...) section; docs/operators/quota.md has every field.
func ReadLimits(s *settings.Section) (list []quota.Limit) {
	s.EachSection("limit", func(one *settings.Section) {
		l := readLimit(one)
		if slices.ContainsFunc(list, func(o quota.Limit) bool { return o.Name == l.Name }) {
			one.Errorf("", "limit %q stands twice", l.Name)
		}
		list = append(list, l)
	})
	if len(list) > quota.MaxLimits {
		s.Errorf("", "%d limits, %d at the most", len(list), quota.MaxLimits)
	}
	return list
}

func readLimit(s *settings.Section) quota.Limit {
	l := quota.Limit{Name: s.Label(), Burst: 200 * time.Millisecond, MaxCallDuration: 10 * time.Minute}
	number := func(field string, v *float64) bool {
		var text string
		if !s.String(field, &text) {
			return false
		}
		x, err := strconv.ParseFloat(text, 64)
		if err != nil {
			s.Errorf(field, "%q is no number", text)
		}
		*v = x
		return true
	}
	if number("rate", &l.Max) {
		l.Kind = quota.Rate
	}
	if number("calls", &l.Max) {
		if l.Kind != 0 {
			s.Errorf("calls", "one of rate and calls is wanted")
		}
		l.Kind = quota.Calls
	}
	if number("retries", &l.Max) {
		if l.Kind != 0 {
			s.Errorf("retries", "stands beside another kind")
		}
		l.Kind = quota.Retries
	}
	cold := "no"
	if s.Choice("cold", &cold, "yes", "no"); cold == "yes" {
		if l.Kind != 0 {
			s.Errorf("cold", "stands beside another kind")
		}
		l.Kind, l.Max = quota.Cold, 1
	}
	s.Duration("burst", &l.Burst, 0, time.Minute)
	s.Duration("longest", &l.MaxCallDuration, time.Second, 24*time.Hour)
	mode := "closed"
	s.Choice("cut-off", &mode, "closed", "floor", "open")
	l.CutOff = map[string]quota.CutOff{"closed": quota.Closed, "floor": quota.Floor, "open": quota.Open}[mode]
	number("floor", &l.Floor)
	number("cap", &l.Cap)
	s.Int("routers", &l.MaxRouters, 1, 100_000)
	var each string
	if s.Choice("each", &each, "tenant", "number", "class"); each != "" {
		l.PerField = quota.ParseField(each)
	}
	s.String("class", &l.Class)
	s.String("tenant", &l.Tenant)
	s.String("number", &l.Number)
	if err := l.Validate(); err != nil {
		s.Errorf("", "%v", err)
	}
	return l
}

// ParseLimit reads one limit as operators say it: (limit "name" ...).
func ParseLimit(name, text string) (quota.Limit, error) {
	s, err := settings.ParseAs(name, text, "limit")
	if err != nil {
		return quota.Limit{}, err
	}
	l := readLimit(s)
	return l, s.Finish()
}

// Word is what stands in the log for a limit that operators have set: who, why, and the limit as text; an empty one takes it away.
func Word(who, why, text string) []byte { return []byte(who + "\n" + why + "\n" + text) }

// Words reads one.
func Words(b []byte) (who, why, text string) {
	parts := strings.SplitN(string(b), "\n", 3)
	for len(parts) < 3 {
		parts = append(parts, "")
	}
	return parts[0], parts[1], parts[2]
}

// inForce is the settings' limits with the operators' words above them.
func inForce(base []quota.Limit, facts []*fleetpb.Fact) []quota.Limit {
	by := map[string]quota.Limit{}
	for _, l := range base {
		by[l.Name] = l
	}
	for _, f := range facts {
		name, ok := strings.CutPrefix(f.Key, quota.OperatorKeyPrefix)
		if !ok {
			continue
		}
		_, _, text := Words(f.Value)
		l, err := ParseLimit(f.Key, text)
		if text == "" {
			delete(by, name)
		} else if err == nil && l.Name == name { // what cannot be read was refused before it came here; by another version it changes nothing
			by[name] = l
		}
	}
	var list []quota.Limit
	for _, name := range slices.Sorted(maps.Keys(by)) {
		if len(list) < quota.MaxLimits {
			list = append(list, by[name])
		}
	}
	return list
}

// gate is a router's part, between the loop and the core.
type gate struct {
	*quota.Limiter // of the loop
	next           time.Duration
	said           atomic.Pointer[[]byte] // claims, as the core sends them
	limits         atomic.Pointer[[]quota.Limit]
	changed        atomic.Bool
}

// shares are an answer's, on their way to the loop.
type shares struct {
	seq    uint64
	until  time.Duration
	grants []quota.Grant
}

// rode gives an answer's shares to the loop. It is the core's.
func (f *Fleet) rode(seq uint64, until time.Duration, ride []byte) {
	grants, ok := quota.UnmarshalGrants(ride)
	if !ok {
		return
	}
	if !f.shares.TryEnqueue(shares{seq, until, grants}) {
		f.count.Missed.Add(1) // as an answer that was lost: it counts as on its way
		return
	}
	f.cfg.Wake()
}

// turn is the gate's part of a turn of the loop: shares that have come are taken, and what the router has is said anew.
func (f *Fleet) turn(now time.Duration) time.Duration {
	g := f.gate
	if g.changed.Swap(false) {
		g.SetLimits(now, *g.limits.Load())
		f.tellParts(now)
	}
	less := false
	for {
		s, ok := f.shares.TryDequeue()
		if !ok {
			break
		}
		less = g.ApplyGrants(now, s.seq, s.until, s.grants) || less
		f.tellParts(now)
	}
	if f.cfg.Further != nil && g.HasRetryLimit() {
		f.cfg.Further(g.LendRetries)
	}
	if now < g.next && !less {
		return g.next - now
	}
	said := g.MarshalClaims(now)
	g.said.Store(&said)
	pause := claimEvery * time.Duration(1+len(said)/pacedBytes) // thousands of tenants are said less often
	g.next = now + pause
	while := hurryEvery
	if less { // who is given what this router gave back waits for the word of it
		while = 0
	}
	if less || g.HasUnmetDemand(now) {
		select {
		case f.tasks <- func(time.Duration) { f.member.AskWithin(while) }:
		default:
		}
	}
	return pause
}

// Cold is the loop's: these case servers have just started, and are warm after some time from now each.
func (f *Fleet) Cold(servers []quota.Server) {
	now := Clock()
	for i := range servers {
		servers[i].Warm += now
	}
	f.gate.SetColdServers(now, servers)
	f.tellParts(now)
}

// tellParts tells the decisions this router's parts of what cold servers may be sent, and for how long from now they hold.
func (f *Fleet) tellParts(now time.Duration) {
	if f.cfg.Parts == nil {
		return
	}
	if parts, alone, ok := f.gate.ColdShares(now); ok {
		f.cfg.Parts(parts, f.gate.LeaseUntil()-now, alone)
	}
}

// Limited says whether the process has limits of the fleet.
func (f *Fleet) Limited() bool { return f.gate != nil }

// Admit is the loop's: whether a call may come in by this router's shares, now. Refused, it says by which limit and when to come back.
func (f *Fleet) Admit(slot uint32, class, tenant, number string, retry bool) (ok bool, by string, after time.Duration) {
	return f.gate.Admit(Clock(), slot, class, tenant, number, retry)
}

// Over is the loop's: an admitted call has come to its end.
func (f *Fleet) Over(slot uint32) { f.gate.Release(slot) }

// Limits are the loop's to look at.
func (f *Fleet) Limits() []quota.LimiterStatus { return f.gate.Status(Clock()) }

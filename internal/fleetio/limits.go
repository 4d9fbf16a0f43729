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

// Fleet-wide limits: transport and timing for package quota. Claims and grants are carried by lease renewals. The
// limits are defined in the settings; facts that operators write to the fleet's log override them.

const (
	// claimInterval is how often the loop updates the claims that the core sends, and unmetDemandInterval the
	// shortest time between lease renewals while the router's share doesn't meet its demand.
	claimInterval       = 100 * time.Millisecond
	unmetDemandInterval = 250 * time.Millisecond
	claimPacingBytes    = 32 << 10 // each full claimPacingBytes of claims add one claimInterval between updates
	maxQueuedGrants     = 256      // grant batches queued for the loop
)

// ReadLimits reads a (limits ...) section; docs/operators/quota.md describes every field. Errors are recorded with
// the section.
func ReadLimits(s *settings.Section) (list []quota.Limit) {
	s.EachSection("limit", func(section *settings.Section) {
		l := readLimit(section)
		if slices.ContainsFunc(list, func(o quota.Limit) bool { return o.Name == l.Name }) {
			section.Errorf("", "limit %q is defined twice", l.Name)
		}
		list = append(list, l)
	})
	if len(list) > quota.MaxLimits {
		s.Errorf("", "%d limits, at most %d are allowed", len(list), quota.MaxLimits)
	}
	return list
}

// readLimit reads one (limit "name" ...) section.
func readLimit(s *settings.Section) quota.Limit {
	limit := quota.Limit{Name: s.Label(), Burst: 200 * time.Millisecond, MaxCallDuration: 10 * time.Minute}
	readNumber := func(field string, target *float64) bool {
		var text string
		if !s.String(field, &text) {
			return false
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			s.Errorf(field, "%q is no number", text)
		}
		*target = value
		return true
	}
	if readNumber("rate", &limit.Max) {
		limit.Kind = quota.Rate
	}
	if readNumber("calls", &limit.Max) {
		if limit.Kind != 0 {
			s.Errorf("calls", "cannot be combined with rate")
		}
		limit.Kind = quota.Calls
	}
	if readNumber("retries", &limit.Max) {
		if limit.Kind != 0 {
			s.Errorf("retries", "cannot be combined with rate or calls")
		}
		limit.Kind = quota.Retries
	}
	cold := "no"
	if s.Choice("cold", &cold, "yes", "no"); cold == "yes" {
		if limit.Kind != 0 {
			s.Errorf("cold", "cannot be combined with rate, calls or retries")
		}
		limit.Kind, limit.Max = quota.Cold, 1
	}
	s.Duration("burst", &limit.Burst, 0, time.Minute)
	s.Duration("longest", &limit.MaxCallDuration, time.Second, 24*time.Hour)
	mode := "closed"
	s.Choice("cut-off", &mode, "closed", "floor", "open")
	limit.CutOff = map[string]quota.CutOff{"closed": quota.Closed, "floor": quota.Floor, "open": quota.Open}[mode]
	readNumber("floor", &limit.Floor)
	readNumber("cap", &limit.Cap)
	s.Int("routers", &limit.MaxRouters, 1, 100_000)
	var each string
	if s.Choice("each", &each, "tenant", "number", "class"); each != "" {
		limit.PerField = quota.ParseField(each)
	}
	s.String("class", &limit.Class)
	s.String("tenant", &limit.Tenant)
	s.String("number", &limit.Number)
	if err := limit.Validate(); err != nil {
		s.Errorf("", "%v", err)
	}
	return limit
}

// ParseLimit parses the text of one limit, (limit "name" ...); errors refer to the text by the given name.
func ParseLimit(name, text string) (quota.Limit, error) {
	s, err := settings.ParseAs(name, text, "limit")
	if err != nil {
		return quota.Limit{}, err
	}
	l := readLimit(s)
	return l, s.Finish()
}

// EncodeOperatorValue returns the value of a fact that an operator writes: who, why and a text, separated by
// newlines. An empty text withdraws what the key stands for.
func EncodeOperatorValue(who, why, text string) []byte { return []byte(who + "\n" + why + "\n" + text) }

// DecodeOperatorValue splits a value of EncodeOperatorValue; parts that are missing are empty.
func DecodeOperatorValue(b []byte) (who, why, text string) {
	parts := strings.SplitN(string(b), "\n", 3)
	for len(parts) < 3 {
		parts = append(parts, "")
	}
	return parts[0], parts[1], parts[2]
}

// effectiveLimits returns the limits of the settings, overridden by operators' facts, sorted by name.
func effectiveLimits(base []quota.Limit, facts []*fleetpb.Fact) []quota.Limit {
	byName := map[string]quota.Limit{}
	for _, limit := range base {
		byName[limit.Name] = limit
	}
	for _, fact := range facts {
		name, ok := strings.CutPrefix(fact.Key, quota.OperatorKeyPrefix)
		if !ok {
			continue
		}
		_, _, text := DecodeOperatorValue(fact.Value)
		limit, err := ParseLimit(fact.Key, text)
		if text == "" {
			delete(byName, name)
		} else if err == nil && limit.Name == name {
			// Texts that can't be parsed are ignored: the commands refuse to write them, so they come from another version
			// of the program.
			byName[name] = limit
		}
	}
	var list []quota.Limit
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if len(list) < quota.MaxLimits {
			list = append(list, byName[name])
		}
	}
	return list
}

// limiterState is a router's limiter and what the loop and the core exchange about it.
type limiterState struct {
	*quota.Limiter                               // used by the loop only
	nextClaims     time.Duration                 // when the loop updates claims next, by Clock
	claims         atomic.Pointer[[]byte]        // marshalled by the loop, sent by the core
	newLimits      atomic.Pointer[[]quota.Limit] // limits in effect, set by the core before limitsChanged
	limitsChanged  atomic.Bool
}

// grantBatch is the grants of one lease answer, queued for the loop.
type grantBatch struct {
	seq    uint64        // of the answer
	until  time.Duration // end of the lease, by Clock
	grants []quota.Grant
}

// receiveGrants queues the grants of a lease answer for the loop. Called by the core.
func (f *Fleet) receiveGrants(seq uint64, until time.Duration, payload []byte) {
	grants, ok := quota.UnmarshalGrants(payload)
	if !ok {
		return
	}
	if !f.grantQueue.TryEnqueue(grantBatch{seq, until, grants}) {
		f.count.Missed.Add(1) // like a lost answer: its grants count as in flight
		return
	}
	f.cfg.Wake()
}

// updateLimits is the limiter's part of a loop iteration: it applies queued limits and grants and updates the claims.
// It returns how long until it is due again.
func (f *Fleet) updateLimits(now time.Duration) time.Duration {
	limiter := f.limiter
	if limiter.limitsChanged.Swap(false) {
		limiter.SetLimits(now, *limiter.newLimits.Load())
		f.reportColdShares(now)
	}
	reduced := false
	for {
		batch, ok := f.grantQueue.TryDequeue()
		if !ok {
			break
		}
		reduced = limiter.ApplyGrants(now, batch.seq, batch.until, batch.grants) || reduced
		f.reportColdShares(now)
	}
	if f.cfg.SetRetryLender != nil && limiter.HasRetryLimit() {
		f.cfg.SetRetryLender(limiter.LendRetries)
	}
	if now < limiter.nextClaims && !reduced {
		return limiter.nextClaims - now
	}
	claims := limiter.MarshalClaims(now)
	limiter.claims.Store(&claims)
	// Claims of thousands of tenants are sent less often.
	interval := claimInterval * time.Duration(1+len(claims)/claimPacingBytes)
	limiter.nextClaims = now + interval
	delay := unmetDemandInterval
	if reduced { // other routers wait for what this router has given back
		delay = 0
	}
	if reduced || limiter.HasUnmetDemand(now) {
		select {
		case f.tasks <- func(time.Duration) { f.member.AskWithin(delay) }:
		default:
		}
	}
	return interval
}

// SetColdServers sets the case servers that have just started. Warm of each is the time from now until it is warm,
// and is changed in place to a time of Clock. Called by the loop.
func (f *Fleet) SetColdServers(servers []quota.Server) {
	now := Clock()
	for i := range servers {
		servers[i].Warm += now
	}
	f.limiter.SetColdServers(now, servers)
	f.reportColdShares(now)
}

// reportColdShares passes on this router's shares of the calls that cold servers may be sent, and for how long from
// now they are valid.
func (f *Fleet) reportColdShares(now time.Duration) {
	if f.cfg.OnColdShares == nil {
		return
	}
	if shares, withoutLease, ok := f.limiter.ColdShares(now); ok {
		f.cfg.OnColdShares(shares, f.limiter.LeaseUntil()-now, withoutLease)
	}
}

// HasLimits reports whether this router enforces fleet-wide limits.
func (f *Fleet) HasLimits() bool { return f.limiter != nil }

// Admit reports whether this router's shares allow a call now. If not, it names the limit and returns how long to
// wait before a retry. Called by the loop.
func (f *Fleet) Admit(slot uint32, class, tenant, number string, retry bool) (
	ok bool, limitedBy string, retryAfter time.Duration,
) {
	return f.limiter.Admit(Clock(), slot, class, tenant, number, retry)
}

// Release frees the part of the limits that an admitted call has used, at its end. Called by the loop.
func (f *Fleet) Release(slot uint32) { f.limiter.Release(slot) }

// LimitStatus returns the state of each limit. Called by the loop.
func (f *Fleet) LimitStatus() []quota.LimiterStatus { return f.limiter.Status(Clock()) }

package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestShares connects an Allocator and Limiters by a network that loses, delays and reorders answers, under random
// demand, with incarnations that end and leaders that change. The sum of the shares in force, and the number of open
// calls, must never exceed the limit.
func TestShares(t *testing.T) {
	const leaseWait = 3060 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		limits := []Limit{
			{Name: "r", Kind: Rate, Max: 30, Burst: 100 * time.Millisecond, Class: "r"},
			{Name: "c", Kind: Calls, Max: 10, MaxCallDuration: 5 * time.Second, Class: "c"},
		}
		allocator := NewAllocator(limits, leaseWait, 0.01)
		ceilings := map[string][]Ceiling{}
		allocator.StartTerm(0, ceilings, nil)
		type router struct {
			name        string
			limiter     *Limiter
			incarnation uint64
			process     uint64
			seq         uint64
			renewedAt   time.Duration // of its lease, at the keeper
			open        []uint32
			slot        uint32
		}
		type answer struct {
			to          *router
			incarnation uint64
			seq         uint64
			until       time.Duration
			grants      []Grant
		}
		var routers []*router
		for i := range 4 {
			routers = append(routers, &router{
				name: fmt.Sprint("r", i), limiter: NewLimiter(0, limits),
				incarnation: uint64(i + 1), process: uint64(i + 1),
			})
		}
		nextIncarnation := uint64(10)
		var inFlight []answer
		for step := range rapid.IntRange(20, 200).Draw(t, "steps") {
			now := time.Duration(step) * 100 * time.Millisecond
			r := rapid.SampledFrom(routers).Draw(t, "router")
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2: // the router renews its lease
				r.seq++
				claims, appliedSeq := r.limiter.Claims(now)
				grants, added := allocator.Allocate(
					now, r.name, r.incarnation, r.process, r.seq, appliedSeq, claims, ceilings[r.name])
				if list := allocator.RequiredCeilings(r.name, ceilings[r.name], added); len(added) > 0 ||
					len(list) < len(ceilings[r.name]) {
					ceilings[r.name] = list
				}
				r.renewedAt = now
				inFlight = append(inFlight, answer{r, r.incarnation, r.seq, now + 3*time.Second, grants})
			case 3, 4, 5: // an answer arrives, possibly out of order
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, min(len(inFlight)-1, 2)).Draw(t, "which")
					if a := inFlight[i]; a.incarnation == a.to.incarnation && a.until > now {
						a.to.limiter.ApplyGrants(now, a.seq, a.until, a.grants)
					}
					inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
				}
			case 6, 7, 8: // calls arrive
				for range rapid.IntRange(1, 20).Draw(t, "calls") {
					class := rapid.SampledFrom([]string{"r", "c"}).Draw(t, "class")
					r.slot++
					if ok, _, retryAfter := r.limiter.Admit(now, r.slot, class, "", "", false); ok && class == "c" {
						r.open = append(r.open, r.slot)
					} else if !ok {
						require.Positive(t, retryAfter)
					}
				}
			case 9: // a call ends
				if len(r.open) > 0 {
					r.limiter.Release(r.open[0])
					r.open = r.open[1:]
				}
			case 10: // a lease expires: the incarnation ends, the process keeps running
				if now >= r.renewedAt+leaseWait {
					allocator.EndIncarnation(now, r.name, r.incarnation)
					nextIncarnation++
					r.incarnation = nextIncarnation
				}
			case 11: // the leader changes
				if rapid.IntRange(0, 3).Draw(t, "leader") == 0 {
					inFlight = nil
					live := map[string]uint64{}
					for _, one := range routers {
						live[one.name] = one.incarnation
						one.renewedAt = now
					}
					allocator = NewAllocator(limits, leaseWait, 0.01)
					allocator.StartTerm(now, ceilings, live)
				}
			}
			var rate, calls float64
			for _, one := range routers {
				for _, v := range one.limiter.Status(now) {
					if v.Kind == Rate {
						rate += v.Share
						require.LessOrEqual(t, v.Tokens, 1+v.Share*v.Burst.Seconds()+1e-9)
					} else {
						calls += max(v.Share, float64(v.OpenCalls))
					}
				}
			}
			require.LessOrEqual(t, rate, 30+1e-6, "step %d", step)
			require.LessOrEqual(t, calls, 10+1e-6, "step %d", step)
		}
	})
}

// TestGreedy has one router claim an absurd demand. The others must still get equal shares.
func TestGreedy(t *testing.T) {
	allocator := NewAllocator([]Limit{{Name: "r", Kind: Rate, Max: 30}}, time.Second, 0.01)
	allocator.StartTerm(0, nil, nil)
	share := map[string]float64{}
	appliedSeq := map[string]uint64{}
	for step := range 200 {
		now := 2*time.Second + time.Duration(step)*50*time.Millisecond
		for i, demand := range []float64{1e300, 20, 20} {
			name := fmt.Sprint(i)
			seq := uint64(step + 1)
			grants, _ := allocator.Allocate(
				now, name, uint64(i+1), uint64(i+1), seq, appliedSeq[name],
				[]Claim{{Limit: "r", Demand: demand, Held: share[name]}}, nil)
			appliedSeq[name], share[name] = seq, grants[0].Share
		}
	}
	for name, s := range share {
		require.InDelta(t, 10, s, 0.5, name)
	}
}

// TestAllocations checks that Admit and Release allocate no memory in the steady state.
func TestAllocations(t *testing.T) {
	limiter := NewLimiter(0, []Limit{
		{Name: "r", Kind: Rate, Max: 1e6, Burst: time.Second},
		{Name: "c", Kind: Calls, Max: 1e6, MaxCallDuration: time.Second},
	})
	limiter.ApplyGrants(0, 1, time.Hour, []Grant{{"r", 1e6}, {"c", 1e6}})
	now := time.Second
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		if ok, _, _ := limiter.Admit(now, 7, "a", "b", "c", false); !ok {
			panic("refused")
		}
		limiter.Release(7)
	}))
}

// TestTenants has thousands of tenants call for a while under one limit per tenant. Only active ones may be claimed,
// tables must stay within their bounds, and idle tenants must be removed at the router and at the keeper.
func TestTenants(t *testing.T) {
	limits := []Limit{{
		Name: "each", Kind: Rate, Max: 10, Burst: time.Second, PerField: FieldTenant,
		CutOff: Floor, Floor: 0.5, MaxRouters: 2,
	}}
	allocator := NewAllocator(limits, time.Second, 0.01)
	allocator.StartTerm(0, nil, nil)
	limiter := NewLimiter(0, limits)
	now, seq := 20*time.Second, uint64(0)
	renew := func() int {
		seq++
		claims, appliedSeq := limiter.Claims(now)
		grants, _ := allocator.Allocate(now, "r1", 1, 1, seq, appliedSeq, claims, nil)
		limiter.ApplyGrants(now, seq, now+3*time.Second, grants)
		return len(claims)
	}
	for i := range MaxValues + 100 {
		now += 100 * time.Microsecond
		ok, limitedBy, _ := limiter.Admit(now, 1, "voice", fmt.Sprint("t", i), "", false)
		require.Equal(t, i < MaxValues, ok, "a floor admits a tenant's first call, a full table refuses it")
		require.Equal(t, map[bool]string{true: "", false: "each"}[ok], limitedBy)
		limiter.Release(1)
	}
	require.Greater(t, renew(), 1000)
	require.Greater(t, len(allocator.allocations), 1000)
	for range 300 { // no further calls
		now += 100 * time.Millisecond
		renew()
	}
	require.Zero(t, renew())
	require.Zero(t, len(allocator.allocations))
	require.Zero(t, len(limiter.perValue[0]))
	require.LessOrEqual(t, len(limiter.states), MaxValues+2)
	ok, _, _ := limiter.Admit(now, 1, "voice", "t1", "", false)
	require.True(t, ok)
	require.NotZero(t, renew())
	ok, _, _ = limiter.Admit(now, 1, "voice", "", "", false)
	require.True(t, ok, "the empty tenant counts as a tenant")
}

// TestChange lowers a limit below the share in force, removes it and adds it again. No change may increase the share
// in force; a lowered limit must lower it with the next renewals.
func TestChange(t *testing.T) {
	limit := Limit{Name: "c", Kind: Calls, Max: 20, MaxCallDuration: time.Second}
	allocator, limiter := NewAllocator([]Limit{limit}, time.Second, 0.01), NewLimiter(0, []Limit{limit})
	allocator.StartTerm(0, nil, nil)
	now, seq := 2*time.Second, uint64(0)
	var ceilings []Ceiling
	renew := func() float64 {
		now += 300 * time.Millisecond
		seq++
		claims, appliedSeq := limiter.Claims(now)
		grants, added := allocator.Allocate(now, "r1", 1, 1, seq, appliedSeq, claims, ceilings)
		ceilings = allocator.RequiredCeilings("r1", ceilings, added)
		limiter.ApplyGrants(now, seq, now+3*time.Second, grants)
		if len(grants) == 0 {
			return 0
		}
		return grants[0].Share
	}
	slot := uint32(0)
	admit := func() (n int) {
		for range 40 {
			if ok, _, _ := limiter.Admit(now, slot, "", "", "", false); ok {
				slot++
				n++
			}
		}
		return n
	}
	for range 4 {
		admit()
		renew()
	}
	admit()
	require.Equal(t, uint32(20), slot)
	lower := limit
	lower.Max = 5
	allocator.SetLimits([]Limit{lower})
	limiter.SetLimits(now, []Limit{lower})
	require.LessOrEqual(t, renew(), 5.0)
	require.Zero(t, admit(), "twenty calls are established")
	for i := range uint32(18) {
		limiter.Release(i)
	}
	renew()
	require.Equal(t, 3, admit())
	allocator.SetLimits(nil)
	limiter.SetLimits(now, nil)
	require.Zero(t, renew())
	require.Equal(t, 40, admit(), "no limit")
	allocator.SetLimits([]Limit{limit})
	limiter.SetLimits(now, []Limit{limit})
	require.Zero(t, admit(), "no share yet")
}

// TestRetries checks that marked retries are limited to their fraction of first tries, with and without a lease.
func TestRetries(t *testing.T) {
	limiter := NewLimiter(0, []Limit{{Name: "again", Kind: Retries, Max: 0.1}})
	now, first, retries := time.Second, 0, 0
	for i := range 5000 {
		now += time.Millisecond
		if i%5 == 0 { // grants don't concern this kind of limit
			limiter.ApplyGrants(now, uint64(i+1), now+time.Second, nil)
		}
		if ok, _, _ := limiter.Admit(now, 1, "", "", "", false); ok {
			first++
		}
		if ok, limitedBy, retryAfter := limiter.Admit(now, 1, "", "", "", true); ok {
			retries++
		} else {
			require.Equal(t, "again", limitedBy)
			require.Positive(t, retryAfter)
		}
		if i == 2000 { // first tries stop: only the earned retries are left
			before := retries
			for range 1000 {
				if ok, _, _ := limiter.Admit(now, 1, "", "", "", true); ok {
					retries++
				}
			}
			require.LessOrEqual(t, retries-before, maxEarnedRetries)
		}
	}
	require.Equal(t, 5000, first)
	require.LessOrEqual(t, retries, 500+maxEarnedRetries)
	require.Greater(t, retries, 450)
	claims, _ := limiter.Claims(now)
	require.Empty(t, claims, "retries are not divided")
}

// TestCold divides the load of a server that has just started by the routers' call rates. The shares must never sum
// to more than the whole, and a router must have none without a lease or once the server is warm.
func TestCold(t *testing.T) {
	limits := []Limit{{Name: "cold", Kind: Cold}}
	allocator := NewAllocator(limits, 3*time.Second, 0.01)
	allocator.StartTerm(0, nil, nil)
	var limiters []*Limiter
	for range 5 {
		limiters = append(limiters, NewLimiter(0, limits))
	}
	coldShare := func(limiter *Limiter, now time.Duration) float64 {
		shares, withoutLease, ok := limiter.ColdShares(now)
		require.True(t, ok)
		require.Zero(t, withoutLease)
		if len(shares) == 0 {
			return 0
		}
		return shares[0].Share
	}
	server := Server{"s1", 5 * time.Second, 20 * time.Second}
	for step := range 150 {
		now := 4*time.Second + time.Duration(step)*100*time.Millisecond
		for i, limiter := range limiters {
			for range 1 + 2*i { // the last router has nine times the calls of the first
				limiter.Admit(now, 1, "", "", "", false)
			}
			if step == 10 {
				limiter.SetColdServers(now, []Server{server})
				require.Zero(t, coldShare(limiter, now))
			}
			if step%3 == 0 && !(i == 4 && step > 60) { // the last router is cut off after step 60
				seq := uint64(step + 1)
				claims, appliedSeq := limiter.Claims(now)
				grants, _ := allocator.Allocate(
					now, fmt.Sprint(i), uint64(i+1), uint64(i+1), seq, appliedSeq, claims, nil)
				limiter.ApplyGrants(now, seq, now+3*time.Second, grants)
			}
		}
		if step == 95 {
			allocator.EndIncarnation(now, "4", 5)
		}
		sum := 0.0
		for _, limiter := range limiters {
			sum += coldShare(limiter, now)
		}
		require.LessOrEqual(t, sum, 1+1e-9, "step %d", step)
		switch {
		case step == 50:
			require.Greater(t, sum, 0.95)
			require.Greater(t, coldShare(limiters[4], now), 5*coldShare(limiters[0], now))
		case step > 92 && step < 95:
			require.Zero(t, coldShare(limiters[4], now), "its lease has expired")
		case step == 140:
			require.Greater(t, sum, 0.95, "the others have its share")
		}
	}
	require.Zero(t, coldShare(limiters[0], 20*time.Second), "warm")
}

// BenchmarkAdmit measures Admit and Release with many limits, of which one counts the call.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var limits []Limit
			var grants []Grant
			for i := range n {
				limits = append(limits, Limit{
					Name: fmt.Sprint(i), Kind: Rate, Max: 1e9, Burst: time.Second, Tenant: fmt.Sprint("t", i),
				})
				grants = append(grants, Grant{fmt.Sprint(i), 1e9})
			}
			limiter := NewLimiter(0, limits)
			limiter.ApplyGrants(0, 1, time.Hour, grants)
			now := time.Second
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				limiter.Admit(now, 1, "voice", "t0", "92", false)
				limiter.Release(1)
			}
		})
	}
}

// BenchmarkTenants measures Admit and Release, and the encoding of claims, which routers do every 100 ms or less
// often, with 10,000 active tenants under one limit per tenant.
func BenchmarkTenants(b *testing.B) {
	limits := []Limit{{Name: "each", Kind: Rate, Max: 1e6, Burst: time.Second, PerField: FieldTenant}}
	limiter := NewLimiter(0, limits)
	names, now := make([]string, 10_000), time.Second
	var grants []Grant
	for i := range names {
		names[i] = fmt.Sprint("t", i)
		limiter.Admit(now, 1, "voice", names[i], "92", false)
		grants = append(grants, Grant{"each/" + names[i], 1e6})
	}
	limiter.ApplyGrants(now, 1, time.Hour, grants)
	b.Run("admit", func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			i++
			now += time.Microsecond
			limiter.Admit(now, 1, "voice", names[i%len(names)], "92", false)
			limiter.Release(1)
		}
	})
	b.Run("say", func(b *testing.B) {
		size := 0
		for b.Loop() {
			size = len(limiter.MarshalClaims(now))
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

// BenchmarkAllocator measures the leading keeper's work for one lease request of each of 300 routers, with 10,000
// active limits, of which each router claims the given number.
func BenchmarkAllocator(b *testing.B) {
	for _, each := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(each), func(b *testing.B) {
			allocator := NewAllocator(
				[]Limit{{Name: "each", Kind: Rate, Max: 10, PerField: FieldTenant}}, time.Second, 0.01)
			allocator.StartTerm(0, nil, nil)
			claims := make([][]Claim, 300)
			for r := range claims {
				for i := range each {
					claims[r] = append(claims[r], Claim{
						Limit: fmt.Sprint("each/t", (r*33+i*97)%10_000), Demand: float64(i%7 + 1),
					})
				}
			}
			now, seq := 2*time.Second, uint64(0)
			for b.Loop() {
				now += time.Second
				seq++
				for r := range claims {
					grants, _ := allocator.Allocate(
						now, fmt.Sprint("r", r), uint64(r+1), uint64(r+1), seq, seq-1, claims[r], nil)
					for i, g := range grants {
						claims[r][i].Limit, claims[r][i].Held = g.Limit, g.Share
					}
				}
			}
			b.ReportMetric(float64(len(allocator.allocations)), "active")
		})
	}
}

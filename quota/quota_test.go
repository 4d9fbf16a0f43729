package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestShares has a Divider and gates talk by a network that loses, delays and doubles what they say, under random demand, lives that end and leaders that change: the shares in force, and the calls that
// are open, never come to more than the limit.
func TestShares(t *testing.T) {
	const k = 3060 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		limits := []Limit{{Name: "r", Kind: Rate, Most: 30, Burst: 100 * time.Millisecond, Class: "r"}, {Name: "c", Kind: Calls, Most: 10, Longest: 5 * time.Second, Class: "c"}}
		d := NewDivider(limits, k, 0.01)
		ceilings := map[string][]Ceiling{}
		d.Office(0, ceilings, nil)
		type router struct {
			name        string
			gate        *Gate
			incarnation uint64
			process     uint64
			seq         uint64
			granted     time.Duration // when its lease was last renewed at the keeper
			open        []uint32
			slot        uint32
		}
		type answer struct {
			to     *router
			life   uint64
			seq    uint64
			until  time.Duration
			grants []Grant
		}
		var routers []*router
		for i := range 4 {
			routers = append(routers, &router{name: fmt.Sprint("r", i), gate: NewGate(0, limits), incarnation: uint64(i + 1), process: uint64(i + 1)})
		}
		next := uint64(10)
		var way []answer
		for step := range rapid.IntRange(20, 200).Draw(t, "steps") {
			now := time.Duration(step) * 100 * time.Millisecond
			r := rapid.SampledFrom(routers).Draw(t, "router")
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2: // it asks, and is granted its lease
				r.seq++
				claims, taken := r.gate.Claims(now)
				grants, wanted := d.Asked(now, r.name, r.incarnation, r.process, r.seq, taken, claims, ceilings[r.name])
				if list := d.Kept(r.name, ceilings[r.name], wanted); len(wanted) > 0 || len(list) < len(ceilings[r.name]) {
					ceilings[r.name] = list
				}
				r.granted = now
				way = append(way, answer{r, r.incarnation, r.seq, now + 3*time.Second, grants})
			case 3, 4, 5: // an answer arrives, not always the first
				if len(way) > 0 {
					i := rapid.IntRange(0, min(len(way)-1, 2)).Draw(t, "which")
					if a := way[i]; a.life == a.to.incarnation && a.until > now {
						a.to.gate.Take(now, a.seq, a.until, a.grants)
					}
					way = append(way[:i:i], way[i+1:]...)
				}
			case 6, 7, 8: // calls
				for range rapid.IntRange(1, 20).Draw(t, "calls") {
					class := rapid.SampledFrom([]string{"r", "c"}).Draw(t, "class")
					r.slot++
					if ok, _, after := r.gate.Admit(now, r.slot, class, "", "", false); ok && class == "c" {
						r.open = append(r.open, r.slot)
					} else if !ok {
						require.Positive(t, after)
					}
				}
			case 9:
				if len(r.open) > 0 {
					r.gate.Over(r.open[0])
					r.open = r.open[1:]
				}
			case 10: // a lease runs out: the life is over, the process goes on
				if now >= r.granted+k {
					d.Over(now, r.name, r.incarnation)
					next++
					r.incarnation = next
				}
			case 11: // another leads
				if rapid.IntRange(0, 3).Draw(t, "leader") == 0 {
					way = nil
					live := map[string]uint64{}
					for _, one := range routers {
						live[one.name] = one.incarnation
						one.granted = now
					}
					d = NewDivider(limits, k, 0.01)
					d.Office(now, ceilings, live)
				}
			}
			var rate, calls float64
			for _, one := range routers {
				for _, v := range one.gate.Views(now) {
					if v.Kind == Rate {
						rate += v.Share
						require.LessOrEqual(t, v.Tokens, 1+v.Share*v.Burst.Seconds()+1e-9)
					} else {
						calls += max(v.Share, float64(v.Open))
					}
				}
			}
			require.LessOrEqual(t, rate, 30+1e-6, "step %d", step)
			require.LessOrEqual(t, calls, 10+1e-6, "step %d", step)
		}
	})
}

// TestGreedy has one router claim absurd demand: the others get their equal part all the same.
func TestGreedy(t *testing.T) {
	d := NewDivider([]Limit{{Name: "r", Kind: Rate, Most: 30}}, time.Second, 0.01)
	d.Office(0, nil, nil)
	share := map[string]float64{}
	taken := map[string]uint64{}
	for step := range 200 {
		now := 2*time.Second + time.Duration(step)*50*time.Millisecond
		for i, demand := range []float64{1e300, 20, 20} {
			name := fmt.Sprint(i)
			seq := uint64(step + 1)
			grants, _ := d.Asked(now, name, uint64(i+1), uint64(i+1), seq, taken[name], []Claim{{Limit: "r", Demand: demand, Held: share[name]}}, nil)
			taken[name], share[name] = seq, grants[0].Share
		}
	}
	for name, s := range share {
		require.InDelta(t, 10, s, 0.5, name)
	}
}

// TestAllocations holds that an admission allocates nothing, with a limit and with none.
func TestAllocations(t *testing.T) {
	g := NewGate(0, []Limit{{Name: "r", Kind: Rate, Most: 1e6, Burst: time.Second}, {Name: "c", Kind: Calls, Most: 1e6, Longest: time.Second}})
	g.Take(0, 1, time.Hour, []Grant{{"r", 1e6}, {"c", 1e6}})
	now := time.Second
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		if ok, _, _ := g.Admit(now, 7, "a", "b", "c", false); !ok {
			panic("refused")
		}
		g.Over(7)
	}))
}

// TestTenants has thousands of tenants come and go under one limit for each: only the active ones travel, tables stay within their bounds, and what is idle is forgotten on both sides.
func TestTenants(t *testing.T) {
	limits := []Limit{{Name: "each", Kind: Rate, Most: 10, Burst: time.Second, Each: EachTenant, CutOff: Floor, Floor: 0.5, Routers: 2}}
	d := NewDivider(limits, time.Second, 0.01)
	d.Office(0, nil, nil)
	g := NewGate(0, limits)
	now, seq := 20*time.Second, uint64(0)
	ask := func() int {
		seq++
		claims, taken := g.Claims(now)
		grants, _ := d.Asked(now, "r1", 1, 1, seq, taken, claims, nil)
		g.Take(now, seq, now+3*time.Second, grants)
		return len(claims)
	}
	for i := range EachMost + 100 {
		now += 100 * time.Microsecond
		ok, by, _ := g.Admit(now, 1, "voice", fmt.Sprint("t", i), "", false)
		require.Equal(t, i < EachMost, ok, "a floor lets a tenant's first call in, and a full table turns it away")
		require.Equal(t, map[bool]string{true: "", false: "each"}[ok], by)
		g.Over(1)
	}
	require.Greater(t, ask(), 1000)
	require.Greater(t, len(d.active), 1000)
	for range 300 { // nobody calls any more
		now += 100 * time.Millisecond
		ask()
	}
	require.Zero(t, ask())
	require.Zero(t, len(d.active))
	require.Zero(t, len(g.each[0]))
	require.LessOrEqual(t, len(g.limits), EachMost+2)
	ok, _, _ := g.Admit(now, 1, "voice", "t1", "", false)
	require.True(t, ok)
	require.NotZero(t, ask())
	ok, _, _ = g.Admit(now, 1, "voice", "", "", false)
	require.True(t, ok, "no tenant is one, too")
}

// TestChange lowers a limit below what is out, takes it away and brings it back: what is in force never grows by it, and comes down as its holders ask.
func TestChange(t *testing.T) {
	limit := Limit{Name: "c", Kind: Calls, Most: 20, Longest: time.Second}
	d, g := NewDivider([]Limit{limit}, time.Second, 0.01), NewGate(0, []Limit{limit})
	d.Office(0, nil, nil)
	now, seq := 2*time.Second, uint64(0)
	var kept []Ceiling
	ask := func() float64 {
		now += 300 * time.Millisecond
		seq++
		claims, taken := g.Claims(now)
		grants, wanted := d.Asked(now, "r1", 1, 1, seq, taken, claims, kept)
		kept = d.Kept("r1", kept, wanted)
		g.Take(now, seq, now+3*time.Second, grants)
		if len(grants) == 0 {
			return 0
		}
		return grants[0].Share
	}
	slot := uint32(0)
	admit := func() (n int) {
		for range 40 {
			if ok, _, _ := g.Admit(now, slot, "", "", "", false); ok {
				slot++
				n++
			}
		}
		return n
	}
	for range 4 {
		admit()
		ask()
	}
	admit()
	require.Equal(t, uint32(20), slot)
	lower := limit
	lower.Most = 5
	d.Change([]Limit{lower})
	g.Change(now, []Limit{lower})
	require.LessOrEqual(t, ask(), 5.0)
	require.Zero(t, admit(), "twenty stand")
	for i := range uint32(18) {
		g.Over(i)
	}
	ask()
	require.Equal(t, 3, admit())
	d.Change(nil)
	g.Change(now, nil)
	require.Zero(t, ask())
	require.Equal(t, 40, admit(), "no limit")
	d.Change([]Limit{limit})
	g.Change(now, []Limit{limit})
	require.Zero(t, admit(), "no share yet")
}

// TestRetries holds callers' marked retries to their part of first tries, whatever the lease does.
func TestRetries(t *testing.T) {
	g := NewGate(0, []Limit{{Name: "again", Kind: Retries, Most: 0.1}})
	now, first, retries := time.Second, 0, 0
	for i := range 5000 {
		now += time.Millisecond
		if i%5 == 0 { // what answers bring is not for it
			g.Take(now, uint64(i+1), now+time.Second, nil)
		}
		if ok, _, _ := g.Admit(now, 1, "", "", "", false); ok {
			first++
		}
		if ok, by, after := g.Admit(now, 1, "", "", "", true); ok {
			retries++
		} else {
			require.Equal(t, "again", by)
			require.Positive(t, after)
		}
		if i == 2000 { // first tries stop: what they have earned is all that is left
			before := retries
			for range 1000 {
				if ok, _, _ := g.Admit(now, 1, "", "", "", true); ok {
					retries++
				}
			}
			require.LessOrEqual(t, retries-before, retriesMost)
		}
	}
	require.Equal(t, 5000, first)
	require.LessOrEqual(t, retries, 500+retriesMost)
	require.Greater(t, retries, 450)
	claims, _ := g.Claims(now)
	require.Empty(t, claims, "nothing of it is divided")
}

// TestCold divides what a server that has just started may be sent by the routers' calls: never more than all of it, nothing without a lease, and nothing once it is warm or starts anew.
func TestCold(t *testing.T) {
	limits := []Limit{{Name: "cold", Kind: Cold}}
	d := NewDivider(limits, 3*time.Second, 0.01)
	d.Office(0, nil, nil)
	var gates []*Gate
	for range 5 {
		gates = append(gates, NewGate(0, limits))
	}
	part := func(g *Gate, now time.Duration) float64 {
		parts, alone, ok := g.Parts(now)
		require.True(t, ok)
		require.Zero(t, alone)
		if len(parts) == 0 {
			return 0
		}
		return parts[0].Part
	}
	server := Server{"s1", 5 * time.Second, 20 * time.Second}
	for step := range 150 {
		now := 4*time.Second + time.Duration(step)*100*time.Millisecond
		for i, g := range gates {
			for range 1 + 2*i { // the last has nine times the calls of the first
				g.Admit(now, 1, "", "", "", false)
			}
			if step == 10 {
				g.Cold(now, []Server{server})
				require.Zero(t, part(g, now))
			}
			if step%3 == 0 && !(i == 4 && step > 60) { // the last is cut off then
				seq := uint64(step + 1)
				claims, taken := g.Claims(now)
				grants, _ := d.Asked(now, fmt.Sprint(i), uint64(i+1), uint64(i+1), seq, taken, claims, nil)
				g.Take(now, seq, now+3*time.Second, grants)
			}
		}
		if step == 95 {
			d.Over(now, "4", 5)
		}
		sum := 0.0
		for _, g := range gates {
			sum += part(g, now)
		}
		require.LessOrEqual(t, sum, 1+1e-9, "step %d", step)
		switch {
		case step == 50:
			require.Greater(t, sum, 0.95)
			require.Greater(t, part(gates[4], now), 5*part(gates[0], now))
		case step > 92 && step < 95:
			require.Zero(t, part(gates[4], now), "its lease is over")
		case step == 140:
			require.Greater(t, sum, 0.95, "the others have its part")
		}
	}
	require.Zero(t, part(gates[0], 20*time.Second), "warm")
}

// BenchmarkAdmit measures an admission among many limits, of which one or none counts the call.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var limits []Limit
			var grants []Grant
			for i := range n {
				limits = append(limits, Limit{Name: fmt.Sprint(i), Kind: Rate, Most: 1e9, Burst: time.Second, Tenant: fmt.Sprint("t", i)})
				grants = append(grants, Grant{fmt.Sprint(i), 1e9})
			}
			g := NewGate(0, limits)
			g.Take(0, 1, time.Hour, grants)
			now := time.Second
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				g.Admit(now, 1, "voice", "t0", "92", false)
				g.Over(1)
			}
		})
	}
}

// BenchmarkTenants measures an admission, and what a router says each 100 ms, with 10,000 tenants active under one limit for each.
func BenchmarkTenants(b *testing.B) {
	limits := []Limit{{Name: "each", Kind: Rate, Most: 1e6, Burst: time.Second, Each: EachTenant}}
	g := NewGate(0, limits)
	names, now := make([]string, 10_000), time.Second
	var grants []Grant
	for i := range names {
		names[i] = fmt.Sprint("t", i)
		g.Admit(now, 1, "voice", names[i], "92", false)
		grants = append(grants, Grant{"each/" + names[i], 1e6})
	}
	g.Take(now, 1, time.Hour, grants)
	b.Run("admit", func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			i++
			now += time.Microsecond
			g.Admit(now, 1, "voice", names[i%len(names)], "92", false)
			g.Over(1)
		}
	})
	b.Run("say", func(b *testing.B) {
		size := 0
		for b.Loop() {
			size = len(g.Say(now))
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

// BenchmarkDivider measures the leading keeper's work for one ask of each of 300 routers with 10,000 limits active, of which so many at each router.
func BenchmarkDivider(b *testing.B) {
	for _, each := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(each), func(b *testing.B) {
			d := NewDivider([]Limit{{Name: "each", Kind: Rate, Most: 10, Each: EachTenant}}, time.Second, 0.01)
			d.Office(0, nil, nil)
			claims := make([][]Claim, 300)
			for r := range claims {
				for i := range each {
					claims[r] = append(claims[r], Claim{Limit: fmt.Sprint("each/t", (r*33+i*97)%10_000), Demand: float64(i%7 + 1)})
				}
			}
			now, seq := 2*time.Second, uint64(0)
			for b.Loop() {
				now += time.Second
				seq++
				for r := range claims {
					grants, _ := d.Asked(now, fmt.Sprint("r", r), uint64(r+1), uint64(r+1), seq, seq-1, claims[r], nil)
					for i, g := range grants {
						claims[r][i].Limit, claims[r][i].Held = g.Limit, g.Share
					}
				}
			}
			b.ReportMetric(float64(len(d.active)), "active")
		})
	}
}

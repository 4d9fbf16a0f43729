package fleetsim

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/quota"
	"threadglade.example/threadglade/verdict"
)

// calm is a world without troubles but those that a test names.
func calm(seed uint64, members int) Config {
	cfg := Default(seed)
	cfg.Members, cfg.Cuts, cfg.Pauses, cfg.Kills, cfg.Twins, cfg.Islands, cfg.Loss, cfg.Twice, cfg.Puts, cfg.Quiet = members, 0, 0, 0, 0, 0, 0, 0, 0, 0
	cfg.Keepers, cfg.For = 1, 45*time.Second
	return cfg
}

// served is a world of calls: 36 servers at half of what they can take.
func served(seed uint64, members, servers int, rate float64, bad ...Bad) Config {
	cfg := calm(seed, members)
	cfg.Calls = &Calls{Servers: servers, Zones: 3, Rate: rate, Stand: 2 * time.Second, Agents: 1000, Terms: verdict.DefaultSettings(), Bad: bad}
	cfg.Calls.Serve = min(time.Duration(0.5*float64(servers)/(float64(members)*rate)*float64(time.Second)), 30*time.Millisecond)
	return cfg
}

func size(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// TestLook prints what becomes of one trouble, shared and alone: VERDICT_MEMBERS, VERDICT_SERVERS, VERDICT_HOW.
func TestLook(t *testing.T) {
	how := os.Getenv("VERDICT_HOW")
	if how == "" {
		t.Skip("by command")
	}
	members, servers := size("VERDICT_MEMBERS", 60), size("VERDICT_SERVERS", 36)
	for _, alone := range []bool{true, false} {
		cfg := served(1, members, servers, float64(size("VERDICT_RATE", 20)), Bad{At: 10 * time.Second, For: 15 * time.Second, Server: 1, How: how, By: 4})
		cfg.Calls.Alone = alone
		began := time.Now()
		r := Run(cfg)
		require.Empty(t, r.Broken)
		c := r.Called
		slices.Sort(c.Ages)
		age := func(q int) time.Duration {
			if len(c.Ages) == 0 {
				return 0
			}
			return c.Ages[min(len(c.Ages)-1, len(c.Ages)*q/100)].Round(time.Millisecond)
		}
		t.Logf("alone %v: offered %d in time %d late %d refused %d failed %d; wasted %d, last after %v, back after %v; wrong %v most %v of %v; ages p50 %v p99 %v; frames %d bytes %d; took %v", alone, c.Offered, c.InTime, c.Late,
			c.Refused, c.Failed, c.Wasted, c.Last, c.Back(cfg.Calls.Bad[0], 15*time.Second), c.Wrong, c.WrongMost, c.Watched, age(50), age(99), c.Frames, c.FrameBytes, time.Since(began).Round(time.Millisecond))
		line := ""
		for i := 90; i < 320; i += 10 {
			n := 0
			for k := i; k < i+10 && k < len(c.Sent[1]); k++ {
				n += c.Sent[1][k]
			}
			line += fmt.Sprint(" ", n)
		}
		t.Log("set-ups to the bad one, by second from 9 s:", line)
	}
}

// troublesOf are what a case server does in TestVerdicts, each with what has to hold.
var troublesOf = []struct {
	name   string
	bad    []Bad
	change func(*Calls)
	less   float64 // wasted set-ups are at most this part of those alone; 0: not asked
}{
	{"hang", []Bad{{At: 5 * time.Second, For: 10 * time.Second, Server: 1, How: "hang"}}, nil, 0.5},
	{"flap", []Bad{{At: 5 * time.Second, For: 10 * time.Second, Server: 1, How: "flap"}}, nil, 0.9},
	{"slow", []Bad{{At: 5 * time.Second, For: 10 * time.Second, Server: 1, How: "slow", By: 4}}, nil, 0},
	{"zone", []Bad{{At: 5 * time.Second, For: 10 * time.Second, Server: 1, How: "hang", Zone: "z1"}}, nil, 0.9},
	{"router", []Bad{{At: 5 * time.Second, For: 10 * time.Second, Server: 1, How: "hang", Router: 3}, {At: 5 * time.Second, For: 10 * time.Second, Server: 2, How: "hang", Router: 4}}, nil, 0},
	{"replaced", []Bad{{At: 5 * time.Second, For: 2 * time.Second, Server: 1, How: "hang"}, {At: 7 * time.Second, Server: 1, How: "replace"}}, nil, 0},
	{"half", []Bad{{At: 5 * time.Second, For: 8 * time.Second, Server: 0, How: "hang"}, {At: 5 * time.Second, For: 8 * time.Second, Server: 1, How: "hang"}, {At: 5 * time.Second, For: 8 * time.Second, Server: 2, How: "hang"},
		{At: 5 * time.Second, For: 8 * time.Second, Server: 3, How: "hang"}, {At: 5 * time.Second, For: 8 * time.Second, Server: 4, How: "hang"}}, nil, 0.8},
	{"liars", []Bad{{At: 5 * time.Second, For: 10 * time.Second, Server: 1, How: "hang"}}, func(c *Calls) { c.Liars = 2 }, 0.6},
	{"links", []Bad{{At: 5 * time.Second, For: 10 * time.Second, Server: 1, How: "hang"}}, func(c *Calls) { c.LinkLoss, c.LinkWait = 0.5, 2*time.Second }, 1},
}

// TestVerdicts plays each trouble shared and alone in the same worlds: what is shared wastes less, answers no fewer calls, leaves no fit server alone for long, and takes nothing for younger
// than it is. VERDICT_SEEDS, VERDICT_MEMBERS and VERDICT_SERVERS make it larger.
func TestVerdicts(t *testing.T) {
	seeds, members, servers := size("VERDICT_SEEDS", 2), size("VERDICT_MEMBERS", 40), size("VERDICT_SERVERS", 12)
	for _, one := range troublesOf {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			var in, wasted [2]int
			var offered [2]int
			var wrong, most, watched time.Duration
			var ages []time.Duration
			for seed := range uint64(seeds) {
				for i, alone := range []bool{true, false} {
					cfg := served(seed+1, members, servers, 8, one.bad...)
					cfg.For, cfg.Calls.Alone = 22*time.Second, alone
					if one.change != nil {
						one.change(cfg.Calls)
					}
					r := Run(cfg)
					require.Empty(t, r.Broken, "seed %d", seed+1)
					c := &r.Called
					in[i], wasted[i], offered[i] = in[i]+c.InTime, wasted[i]+c.Wasted, offered[i]+c.Offered
					wrong, watched, most = wrong+c.Wrong, watched+c.Watched, max(most, c.WrongMost)
					ages = append(ages, c.Ages...)
				}
			}
			slices.Sort(ages)
			at := func(q int) time.Duration {
				if len(ages) == 0 {
					return 0
				}
				return ages[min(len(ages)-1, len(ages)*q/100)].Round(time.Millisecond)
			}
			part := func(i int) float64 { return float64(in[i]) / float64(offered[i]) }
			t.Logf("in time %.4f alone, %.4f shared; wasted %d and %d; wrongly left alone %.6f of the time, %v at the longest; evidence came p50 %v p99 %v, bound %v", part(0), part(1), wasted[0], wasted[1],
				float64(wrong)/float64(max(watched, 1)), most, at(50), at(99), verdict.DefaultSettings().MaxStaleness(members, 6*time.Millisecond))
			require.Greater(t, part(1), part(0)-0.004)
			if one.less > 0 {
				require.Less(t, float64(wasted[1]), one.less*float64(wasted[0])+0.5)
			}
			if one.name != "links" {
				require.LessOrEqual(t, at(99), time.Duration(verdict.Hops(members))*(verdict.DefaultSettings().FlushInterval+6*time.Millisecond))
			}
			require.Less(t, float64(wrong), 0.001*float64(watched)+1)
			require.Less(t, most, 3*time.Second)
		})
	}
}

// TestManyServers: where each router has a call for a server only now and then, one that was gone is tried and taken back all the same.
func TestManyServers(t *testing.T) {
	cfg := served(1, 40, 100, 5, Bad{At: 5 * time.Second, For: 8 * time.Second, Server: 1, How: "hang"})
	cfg.For = 40 * time.Second
	r := Run(cfg)
	require.Empty(t, r.Broken)
	back := r.Called.Back(cfg.Calls.Bad[0], 20*time.Second)
	t.Logf("wasted %d, back after %v, wrongly left alone %v at the longest", r.Called.Wasted, back, r.Called.WrongMost)
	require.Less(t, back, 10*time.Second)
	require.Less(t, r.Called.WrongMost, 5*time.Second)
}

// TestColdFleet: a replaced server is sent no more by 300 routers, each of which takes itself for the only one, than its rule allows one alone and a call a router; without the division far
// more. FLEET_MEMBERS makes it smaller or larger.
func TestColdFleet(t *testing.T) {
	members := size("FLEET_MEMBERS", 300)
	over := map[bool]float64{}
	for _, divided := range []bool{true, false} {
		cfg := served(1, members, 6, 2, Bad{At: 24 * time.Second, Server: 1, How: "replace"})
		cfg.For, cfg.Calls.Alone, cfg.Calls.Proxies, cfg.Calls.Agents, cfg.Calls.Serve = 36*time.Second, true, 1, members/2, time.Millisecond
		if divided {
			cfg.Limits = []quota.Limit{{Name: "new", Kind: quota.Cold, Max: 1}}
		}
		r := Run(cfg)
		require.Empty(t, r.Broken)
		c := &r.Called
		over[divided] = c.Cold
		line := ""
		for i := 240; i < 330; i += 10 {
			n := 0
			for k := i; k < i+10; k++ {
				n += c.Sent[1][k]
			}
			line += fmt.Sprint(" ", n)
		}
		t.Logf("divided %v: %.0f set-ups above the rule at the most, %d sent in 10 s; by second:%s; %d of %d in time", divided, c.Cold, c.ColdSent, line, c.InTime, c.Offered)
		require.Positive(t, c.ColdSent)
	}
	require.LessOrEqual(t, over[true], float64(members))
	require.Greater(t, over[false], 2*over[true])
}

// TestStormFleet: five times what is usual comes to 300 routers for 4 s, far above their limit, and whoever is refused calls again up to 20 times. With a budget of retries first tries soon
// stand as before it, without one they do not while redials last.
func TestStormFleet(t *testing.T) {
	members := size("FLEET_MEMBERS", 300)
	after := map[bool]time.Duration{}
	for _, budget := range []bool{true, false} {
		cfg := served(1, members, 6, 2)
		cfg.For, cfg.Calls.Alone, cfg.Calls.Serve, cfg.Calls.Redials = 48*time.Second, true, 500*time.Microsecond, 20
		cfg.Calls.Rates = []RateAt{{24 * time.Second, 5}, {28 * time.Second, 1}}
		cfg.Limits = []quota.Limit{{Name: "all", Kind: quota.Rate, Max: 2.6 * float64(members), Burst: time.Second}}
		if budget {
			cfg.Limits = append(cfg.Limits, quota.Limit{Name: "again", Kind: quota.Retries, Max: 0.1})
		}
		r := Run(cfg)
		require.Empty(t, r.Broken)
		c := &r.Called
		line := ""
		part := func(i int) float64 { return float64(c.FirstsIn[i]) / float64(max(c.Firsts[i], 1)) }
		before := (part(20) + part(21) + part(22)) / 3
		for i := 22; i < 46; i++ {
			line += fmt.Sprintf(" %.2f", part(i))
			if i >= 28 && part(i) < 0.95*before {
				after[budget] = time.Duration(i+1-28) * time.Second
			}
		}
		t.Logf("budget %v: first tries stand again %v after the storm; part in time by second from 22 s:%s; %d tries", budget, after[budget], line, c.Offered)
	}
	require.LessOrEqual(t, after[true], 3*time.Second)
	require.Greater(t, after[false], after[true]+5*time.Second)
}

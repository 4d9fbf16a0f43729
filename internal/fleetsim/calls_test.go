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

// faultFreeConfig returns a configuration without faults.
func faultFreeConfig(seed uint64, members int) Config {
	cfg := DefaultConfig(seed)
	cfg.Members, cfg.PartitionRate, cfg.PauseRate, cfg.KillRate, cfg.DuplicateMemberRate,
		cfg.IsolatedLeaderRate, cfg.LossRate, cfg.DuplicationRate, cfg.PutRate, cfg.QuietPeriod =
		members, 0, 0, 0, 0, 0, 0, 0, 0, 0
	cfg.Keepers, cfg.Duration = 1, 45*time.Second
	return cfg
}

// callConfig returns a configuration with calls that load the servers to half of their capacity, or to less where a
// set-up would otherwise take longer than 30 ms.
func callConfig(seed uint64, members, servers int, rate float64, faults ...ServerFault) Config {
	cfg := faultFreeConfig(seed, members)
	cfg.Calls = &CallConfig{Servers: servers, Zones: 3, Rate: rate, MeanHoldTime: 2 * time.Second, Agents: 1000,
		Settings: verdict.DefaultSettings(), Faults: faults}
	cfg.Calls.ServiceTime = min(time.Duration(0.5*float64(servers)/(float64(members)*rate)*float64(time.Second)),
		30*time.Millisecond)
	return cfg
}

// envInt returns the integer in an environment variable, or a default.
func envInt(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

// TestPrintServerFault prints the effect of one server fault, with and without shared verdicts. VERDICT_HOW sets
// the kind of fault; VERDICT_MEMBERS, VERDICT_SERVERS and VERDICT_RATE set the size. It is skipped unless
// VERDICT_HOW is set.
func TestPrintServerFault(t *testing.T) {
	kind := os.Getenv("VERDICT_HOW")
	if kind == "" {
		t.Skip("set VERDICT_HOW to run it")
	}
	members, servers := envInt("VERDICT_MEMBERS", 60), envInt("VERDICT_SERVERS", 36)
	for _, noSharing := range []bool{true, false} {
		cfg := callConfig(1, members, servers, float64(envInt("VERDICT_RATE", 20)),
			ServerFault{At: 10 * time.Second, Duration: 15 * time.Second, Server: 1, Kind: kind, SlowFactor: 4})
		cfg.Calls.NoSharing = noSharing
		began := time.Now()
		r := Run(cfg)
		require.Empty(t, r.Violation)
		c := r.Calls
		slices.Sort(c.EvidenceDelays)
		percentile := func(percent int) time.Duration {
			if len(c.EvidenceDelays) == 0 {
				return 0
			}
			return c.EvidenceDelays[min(len(c.EvidenceDelays)-1, len(c.EvidenceDelays)*percent/100)].Round(time.Millisecond)
		}
		t.Logf("not shared %v: offered %d in time %d late %d refused %d failed %d; wasted %d, last after %v, "+
			"recovered after %v; wrongly avoided %v, longest %v, of %v; ages p50 %v p99 %v; frames %d bytes %d; took %v",
			noSharing, c.Offered, c.InTime, c.Late, c.Refused, c.Failed, c.Wasted, c.LastWasted,
			c.RecoveryTime(cfg.Calls.Faults[0], 15*time.Second), c.WrongAvoidance, c.MaxWrongAvoidance, c.ObservedTime,
			percentile(50), percentile(99), c.Frames, c.FrameBytes, time.Since(began).Round(time.Millisecond))
		line := ""
		for i := 90; i < 320; i += 10 {
			n := 0
			for k := i; k < i+10 && k < len(c.SentByServer[1]); k++ {
				n += c.SentByServer[1][k]
			}
			line += fmt.Sprint(" ", n)
		}
		t.Log("set-ups to the faulty server, by second from 9 s:", line)
	}
}

// serverFaults are the cases of TestVerdicts.
var serverFaults = []struct {
	name          string
	faults        []ServerFault
	change        func(*CallConfig)
	maxWasteRatio float64 // greatest ratio of wasted set-ups to those without sharing; 0: not checked
}{
	{"hang", []ServerFault{{At: 5 * time.Second, Duration: 10 * time.Second, Server: 1, Kind: "hang"}}, nil, 0.5},
	{"flap", []ServerFault{{At: 5 * time.Second, Duration: 10 * time.Second, Server: 1, Kind: "flap"}}, nil, 0.9},
	{"slow", []ServerFault{{At: 5 * time.Second, Duration: 10 * time.Second, Server: 1, Kind: "slow", SlowFactor: 4}},
		nil, 0},
	{"zone", []ServerFault{{At: 5 * time.Second, Duration: 10 * time.Second, Server: 1, Kind: "hang", Zone: "z1"}},
		nil, 0.9},
	{"router", []ServerFault{{At: 5 * time.Second, Duration: 10 * time.Second, Server: 1, Kind: "hang", Router: 3},
		{At: 5 * time.Second, Duration: 10 * time.Second, Server: 2, Kind: "hang", Router: 4}}, nil, 0},
	{"replaced", []ServerFault{{At: 5 * time.Second, Duration: 2 * time.Second, Server: 1, Kind: "hang"},
		{At: 7 * time.Second, Server: 1, Kind: "replace"}}, nil, 0},
	{"half", []ServerFault{{At: 5 * time.Second, Duration: 8 * time.Second, Server: 0, Kind: "hang"},
		{At: 5 * time.Second, Duration: 8 * time.Second, Server: 1, Kind: "hang"},
		{At: 5 * time.Second, Duration: 8 * time.Second, Server: 2, Kind: "hang"},
		{At: 5 * time.Second, Duration: 8 * time.Second, Server: 3, Kind: "hang"},
		{At: 5 * time.Second, Duration: 8 * time.Second, Server: 4, Kind: "hang"}}, nil, 0.8},
	{"liars", []ServerFault{{At: 5 * time.Second, Duration: 10 * time.Second, Server: 1, Kind: "hang"}},
		func(c *CallConfig) { c.LyingRouters = 2 }, 0.6},
	{"links", []ServerFault{{At: 5 * time.Second, Duration: 10 * time.Second, Server: 1, Kind: "hang"}},
		func(c *CallConfig) { c.LinkLoss, c.MaxLinkDelay = 0.5, 2*time.Second }, 1},
}

// TestVerdicts runs each server fault with and without shared verdicts in the same worlds. Sharing must waste fewer
// set-ups, must not lower the share of calls answered in time by more than 0.004, must not avoid a healthy server
// for 3 s or longer, and must not assume evidence to be younger than it is. VERDICT_SEEDS, VERDICT_MEMBERS and
// VERDICT_SERVERS change the size.
func TestVerdicts(t *testing.T) {
	seeds, members, servers := envInt("VERDICT_SEEDS", 2), envInt("VERDICT_MEMBERS", 40), envInt("VERDICT_SERVERS", 12)
	for _, testCase := range serverFaults {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			var inTime, wasted [2]int
			var offered [2]int
			var wronglyAvoided, longest, observed time.Duration
			var delays []time.Duration
			for seed := range uint64(seeds) {
				for i, noSharing := range []bool{true, false} {
					cfg := callConfig(seed+1, members, servers, 8, testCase.faults...)
					cfg.Duration, cfg.Calls.NoSharing = 22*time.Second, noSharing
					if testCase.change != nil {
						testCase.change(cfg.Calls)
					}
					r := Run(cfg)
					require.Empty(t, r.Violation, "seed %d", seed+1)
					c := &r.Calls
					inTime[i], wasted[i], offered[i] = inTime[i]+c.InTime, wasted[i]+c.Wasted, offered[i]+c.Offered
					wronglyAvoided, observed, longest = wronglyAvoided+c.WrongAvoidance,
						observed+c.ObservedTime, max(longest, c.MaxWrongAvoidance)
					delays = append(delays, c.EvidenceDelays...)
				}
			}
			slices.Sort(delays)
			percentile := func(percent int) time.Duration {
				if len(delays) == 0 {
					return 0
				}
				return delays[min(len(delays)-1, len(delays)*percent/100)].Round(time.Millisecond)
			}
			inTimeShare := func(i int) float64 { return float64(inTime[i]) / float64(offered[i]) }
			t.Logf("in time %.4f not shared, %.4f shared; wasted %d and %d; "+
				"wrongly avoided %.6f of the time, %v at the longest; "+
				"evidence arrived p50 %v p99 %v, bound %v", inTimeShare(0), inTimeShare(1), wasted[0], wasted[1],
				float64(wronglyAvoided)/float64(max(observed, 1)), longest, percentile(50), percentile(99),
				verdict.DefaultSettings().MaxStaleness(members, 6*time.Millisecond))
			require.Greater(t, inTimeShare(1), inTimeShare(0)-0.004)
			if testCase.maxWasteRatio > 0 {
				require.Less(t, float64(wasted[1]), testCase.maxWasteRatio*float64(wasted[0])+0.5)
			}
			if testCase.name != "links" {
				require.LessOrEqual(t, percentile(99),
					time.Duration(verdict.Hops(members))*(verdict.DefaultSettings().FlushInterval+6*time.Millisecond))
			}
			require.Less(t, float64(wronglyAvoided), 0.001*float64(observed)+1)
			require.Less(t, longest, 3*time.Second)
		})
	}
}

// TestManyServers checks that a recovered server is probed and used again even where each router rarely has a call
// for it.
func TestManyServers(t *testing.T) {
	cfg := callConfig(1, 40, 100, 5, ServerFault{At: 5 * time.Second, Duration: 8 * time.Second, Server: 1, Kind: "hang"})
	cfg.Duration = 40 * time.Second
	r := Run(cfg)
	require.Empty(t, r.Violation)
	recoveryTime := r.Calls.RecoveryTime(cfg.Calls.Faults[0], 20*time.Second)
	t.Logf("wasted %d, recovered after %v, wrongly avoided %v at the longest", r.Calls.Wasted, recoveryTime,
		r.Calls.MaxWrongAvoidance)
	require.Less(t, recoveryTime, 10*time.Second)
	require.Less(t, r.Calls.MaxWrongAvoidance, 5*time.Second)
}

// TestColdServerShares guards against overload of a replaced server by 300 routers, each of which is configured as if
// it were the only one. With shares of a cold limit they exceed the permitted rate by at most one call per router;
// without them the excess is more than twice as high. FLEET_MEMBERS changes the number of routers.
func TestColdServerShares(t *testing.T) {
	members := envInt("FLEET_MEMBERS", 300)
	maxExcess := map[bool]float64{}
	for _, divided := range []bool{true, false} {
		cfg := callConfig(1, members, 6, 2, ServerFault{At: 24 * time.Second, Server: 1, Kind: "replace"})
		cfg.Duration, cfg.Calls.NoSharing, cfg.Calls.Proxies, cfg.Calls.Agents, cfg.Calls.ServiceTime =
			36*time.Second, true, 1, members/2, time.Millisecond
		if divided {
			cfg.Limits = []quota.Limit{{Name: "new", Kind: quota.Cold, Max: 1}}
		}
		r := Run(cfg)
		require.Empty(t, r.Violation)
		c := &r.Calls
		maxExcess[divided] = c.MaxColdExcess
		line := ""
		for i := 240; i < 330; i += 10 {
			n := 0
			for k := i; k < i+10; k++ {
				n += c.SentByServer[1][k]
			}
			line += fmt.Sprint(" ", n)
		}
		t.Logf("divided %v: at most %.0f set-ups above the permitted rate, %d sent in 10 s; by second:%s; %d of %d in time",
			divided, c.MaxColdExcess, c.SentToCold, line, c.InTime, c.Offered)
		require.Positive(t, c.SentToCold)
	}
	require.LessOrEqual(t, maxExcess[true], float64(members))
	require.Greater(t, maxExcess[false], 2*maxExcess[true])
}

// TestRetryBudgetAfterOverload guards against an overload that retries sustain. 300 routers get five times the
// usual rate for 4 s, far above their limit, and refused callers try again up to 20 times. With a retry budget
// first tries succeed as before within 3 s of the overload; without one it takes over 5 s longer.
func TestRetryBudgetAfterOverload(t *testing.T) {
	members := envInt("FLEET_MEMBERS", 300)
	recoveryTime := map[bool]time.Duration{}
	for _, budget := range []bool{true, false} {
		cfg := callConfig(1, members, 6, 2)
		cfg.Duration, cfg.Calls.NoSharing, cfg.Calls.ServiceTime, cfg.Calls.MaxRedials =
			48*time.Second, true, 500*time.Microsecond, 20
		cfg.Calls.RateChanges = []RateChange{{24 * time.Second, 5}, {28 * time.Second, 1}}
		cfg.Limits = []quota.Limit{{Name: "all", Kind: quota.Rate, Max: 2.6 * float64(members), Burst: time.Second}}
		if budget {
			cfg.Limits = append(cfg.Limits, quota.Limit{Name: "again", Kind: quota.Retries, Max: 0.1})
		}
		r := Run(cfg)
		require.Empty(t, r.Violation)
		c := &r.Calls
		line := ""
		inTimeShare := func(i int) float64 { return float64(c.FirstTriesInTime[i]) / float64(max(c.FirstTries[i], 1)) }
		before := (inTimeShare(20) + inTimeShare(21) + inTimeShare(22)) / 3
		for i := 22; i < 46; i++ {
			line += fmt.Sprintf(" %.2f", inTimeShare(i))
			if i >= 28 && inTimeShare(i) < 0.95*before {
				recoveryTime[budget] = time.Duration(i+1-28) * time.Second
			}
		}
		t.Logf("budget %v: first tries succeed again %v after the overload; share in time by second from 22 s:%s; %d tries",
			budget, recoveryTime[budget], line, c.Offered)
	}
	require.LessOrEqual(t, recoveryTime[true], 3*time.Second)
	require.Greater(t, recoveryTime[false], recoveryTime[true]+5*time.Second)
}

//go:build mutant

package fleetsim

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/quota"
	"threadglade.example/threadglade/verdict"
)

// TestMutants checks that the simulation finds mutants of package fleet that violate its guarantees, within 100
// seeds. Mutants of disks and wall clocks are left to the drills.
func TestMutants(t *testing.T) {
	defer fleet.Mutate("")
	for _, mutant := range []string{"lease-from-answer", "no-look", "eager-begin", "no-quorum", "forget-leases"} {
		t.Run(mutant, func(t *testing.T) {
			for seed := uint64(1); seed <= 100; seed++ {
				cfg := Default(seed)
				cfg.Twins = 2
				switch mutant {
				case "lease-from-answer":
					cfg.Far = 1200e6
				case "no-quorum":
					cfg.Terms.LeaseDuration, cfg.Terms.RenewInterval, cfg.Islands = 1e9, 300e6, 0.1
				}
				fleet.Mutate(mutant)
				r := Run(cfg)
				if r.Broken == "" {
					continue
				}
				t.Logf("seed %d: %s at %v", seed, r.Broken, r.At)
				fleet.Mutate("")
				require.Empty(t, Run(cfg).Broken, "the same world without the fault")
				return
			}
			require.Fail(t, "the fault is not found")
		})
	}
}

// TestVerdictMutants checks that the simulation finds mutants of package verdict that make routers avoid too few or
// too many servers, or return to a server all at once.
func TestVerdictMutants(t *testing.T) {
	defer verdict.Mutate("")
	trouble := func(name string) Config {
		for _, one := range serverFaults {
			if one.name == name {
				cfg := callConfig(1, 40, 12, 8, one.faults...)
				cfg.For = 22 * time.Second
				return cfg
			}
		}
		panic(name)
	}
	many := trouble("half")
	for i := 5; i < 9; i++ {
		many.Calls.Bad = append(many.Calls.Bad,
			Bad{At: 5 * time.Second, For: 8 * time.Second, Server: i, How: "hang"})
	}
	short := callConfig(3, 60, 12, 8,
		Bad{At: 5 * time.Second, For: 3 * time.Second, Server: 1, How: "hang"})
	short.For = 18 * time.Second
	for mutant, one := range map[string]struct {
		cfg   Config
		holds func(r *Result) bool
	}{
		"one-router":  {trouble("router"), func(r *Result) bool { return r.Called.Wrong < time.Second }},
		"one-zone":    {trouble("zone"), func(r *Result) bool { return r.Called.Wrong < time.Second }},
		"old-life":    {trouble("replaced"), func(r *Result) bool { return r.Called.Wrong < time.Second }},
		"no-share":    {many, func(*Result) bool { return true }},
		"young":       {trouble("hang"), func(*Result) bool { return true }},
		"try-at-will": {trouble("hang"), func(r *Result) bool { return r.Called.Wasted < 60 }},
		"all-at-once": {short, func(r *Result) bool { return slices.Max(append(r.Called.Lifts, 0)) <= 12 }},
	} {
		t.Run(mutant, func(t *testing.T) {
			verdict.Mutate("")
			r := Run(one.cfg)
			require.True(t, r.Broken == "" && one.holds(r), "the same world without the fault: %s", r.Broken)
			verdict.Mutate(mutant)
			r = Run(one.cfg)
			require.False(t, r.Broken == "" && one.holds(r), "the fault is not found")
			t.Logf("%s; wrongly avoided %v, wasted %d, most at once %d", r.Broken, r.Called.Wrong,
				r.Called.Wasted, slices.Max(append(r.Called.Lifts, 0)))
		})
	}
}

// TestQuotaMutants checks that the simulation finds mutants of package quota that exceed limits, within 200 seeds.
func TestQuotaMutants(t *testing.T) {
	defer quota.Mutate("")
	for mutant := range quota.Mutants {
		t.Run(mutant, func(t *testing.T) {
			for seed := uint64(1); seed <= 200; seed++ {
				cfg := Default(seed)
				cfg.Limits, cfg.Demand, cfg.Puts, cfg.Members = bindingLimits(cfg.Members), 8, 0, 8
				cfg.For, cfg.Quiet = 40*time.Second, 5*time.Second
				switch mutant {
				case "floor-on-top":
					cfg.Limits = bindingLimits(cfg.Members)[3:]
					cfg.Limits[0].MaxRouters = cfg.Members
					cfg.Twins, cfg.Islands, cfg.Cuts = 0, 0, 0.1
				case "last-answer-only", "share-too-early":
					cfg.Far, cfg.Swing = 250*time.Millisecond, 10
				case "forgetful-leader", "no-ceiling", "places-free":
					cfg.Kills, cfg.Swing = 1.5, 10
					cfg.Limits[2].MaxCallDuration, cfg.MemberKills = 30*time.Second, 0.5
				}
				for i := range cfg.Limits {
					if cfg.Limits[i].Kind != quota.Retries {
						cfg.Limits[i].Burst = 50 * time.Millisecond
						cfg.Limits[i].Max *= 4
					}
				}
				cfg.Demand *= 8
				quota.Mutate(mutant)
				r := Run(cfg)
				if r.Broken == "" {
					continue
				}
				t.Logf("seed %d: %s at %v", seed, r.Broken, r.At)
				quota.Mutate("")
				require.Empty(t, Run(cfg).Broken, "the same world without the fault")
				return
			}
			require.Fail(t, "the fault is not found")
		})
	}
}

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
				cfg := DefaultConfig(seed)
				cfg.DuplicateMemberRate = 2
				switch mutant {
				case "lease-from-answer":
					cfg.MaxMemberDelay = 1200e6
				case "no-quorum":
					cfg.Settings.LeaseDuration, cfg.Settings.RenewInterval, cfg.IsolatedLeaderRate = 1e9, 300e6, 0.1
				}
				fleet.Mutate(mutant)
				r := Run(cfg)
				if r.Violation == "" {
					continue
				}
				t.Logf("seed %d: %s at %v", seed, r.Violation, r.ViolationAt)
				fleet.Mutate("")
				require.Empty(t, Run(cfg).Violation, "a violation without the mutant")
				return
			}
			require.Fail(t, "the mutant is not found")
		})
	}
}

// TestVerdictMutants checks that the simulation finds mutants of package verdict that make routers avoid too few or
// too many servers, or return to a server all at once.
func TestVerdictMutants(t *testing.T) {
	defer verdict.Mutate("")
	faultConfig := func(name string) Config {
		for _, testCase := range serverFaults {
			if testCase.name == name {
				cfg := callConfig(1, 40, 12, 8, testCase.faults...)
				cfg.Duration = 22 * time.Second
				return cfg
			}
		}
		panic(name)
	}
	manyHang := faultConfig("half")
	for i := 5; i < 9; i++ {
		manyHang.Calls.Faults = append(manyHang.Calls.Faults,
			ServerFault{At: 5 * time.Second, Duration: 8 * time.Second, Server: i, Kind: "hang"})
	}
	short := callConfig(3, 60, 12, 8,
		ServerFault{At: 5 * time.Second, Duration: 3 * time.Second, Server: 1, Kind: "hang"})
	short.Duration = 18 * time.Second
	for mutant, testCase := range map[string]struct {
		cfg              Config
		meetsRequirement func(r *Result) bool
	}{
		"one-router":  {faultConfig("router"), func(r *Result) bool { return r.Calls.WrongAvoidance < time.Second }},
		"one-zone":    {faultConfig("zone"), func(r *Result) bool { return r.Calls.WrongAvoidance < time.Second }},
		"old-life":    {faultConfig("replaced"), func(r *Result) bool { return r.Calls.WrongAvoidance < time.Second }},
		"no-share":    {manyHang, func(*Result) bool { return true }},
		"young":       {faultConfig("hang"), func(*Result) bool { return true }},
		"try-at-will": {faultConfig("hang"), func(r *Result) bool { return r.Calls.Wasted < 60 }},
		"all-at-once": {short, func(r *Result) bool { return slices.Max(append(r.Calls.LiftedAvoidances, 0)) <= 12 }},
	} {
		t.Run(mutant, func(t *testing.T) {
			verdict.Mutate("")
			r := Run(testCase.cfg)
			require.True(t, r.Violation == "" && testCase.meetsRequirement(r), "a violation without the mutant: %s",
				r.Violation)
			verdict.Mutate(mutant)
			r = Run(testCase.cfg)
			require.False(t, r.Violation == "" && testCase.meetsRequirement(r), "the mutant is not found")
			t.Logf("%s; wrongly avoided %v, wasted %d, most at once %d", r.Violation, r.Calls.WrongAvoidance,
				r.Calls.Wasted, slices.Max(append(r.Calls.LiftedAvoidances, 0)))
		})
	}
}

// TestQuotaMutants checks that the simulation finds mutants of package quota that exceed limits, within 200 seeds.
func TestQuotaMutants(t *testing.T) {
	defer quota.Mutate("")
	for mutant := range quota.Mutants {
		t.Run(mutant, func(t *testing.T) {
			for seed := uint64(1); seed <= 200; seed++ {
				cfg := DefaultConfig(seed)
				cfg.Limits, cfg.Demand, cfg.PutRate, cfg.Members = bindingLimits(cfg.Members), 8, 0, 8
				cfg.Duration, cfg.QuietPeriod = 40*time.Second, 5*time.Second
				switch mutant {
				case "floor-on-top":
					cfg.Limits = bindingLimits(cfg.Members)[3:]
					cfg.Limits[0].MaxRouters = cfg.Members
					cfg.DuplicateMemberRate, cfg.IsolatedLeaderRate, cfg.PartitionRate = 0, 0, 0.1
				case "last-answer-only", "share-too-early":
					cfg.MaxMemberDelay, cfg.DemandChangesPerMille = 250*time.Millisecond, 10
				case "forgetful-leader", "no-ceiling", "places-free":
					cfg.KillRate, cfg.DemandChangesPerMille = 1.5, 10
					cfg.Limits[2].MaxCallDuration, cfg.MemberKillRate = 30*time.Second, 0.5
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
				if r.Violation == "" {
					continue
				}
				t.Logf("seed %d: %s at %v", seed, r.Violation, r.ViolationAt)
				quota.Mutate("")
				require.Empty(t, Run(cfg).Violation, "a violation without the mutant")
				return
			}
			require.Fail(t, "the mutant is not found")
		})
	}
}

package fleetsim

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/quota"
)

// factRegister is the sequential model of a fact under compare-and-set: a put succeeds if the fact has the version
// that it expects.
var factRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
		byKey := map[string][]porcupine.Operation{}
		var keys []string
		for _, op := range history {
			key := op.Input.(Op).Key
			if byKey[key] == nil {
				keys = append(keys, key)
			}
			byKey[key] = append(byKey[key], op)
		}
		slices.Sort(keys)
		for _, key := range keys {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		op, version := input.(Op), state.(uint64)
		return version == op.ExpectedVersion && output.(uint64) > version, output
	},
	Equal: func(a, b any) bool { return a == b },
}

// leaseHolder is the sequential model of a name's lease: no incarnation acts after a later one.
var leaseHolder = porcupine.Model{
	Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
		byName := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(LeasePeriod).Name
			byName[name] = append(byName[name], op)
		}
		for _, part := range byName {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		number := input.(LeasePeriod).Incarnation
		return number >= state.(uint64), number
	},
	Equal: func(a, b any) bool { return a == b },
}

// leaseOperations returns the first and the last act of each incarnation as instantaneous operations.
func leaseOperations(r *Result) (list []porcupine.Operation) {
	for i, period := range r.LeasePeriods {
		for _, at := range []time.Duration{period.First, period.Last} {
			list = append(list, porcupine.Operation{ClientId: i, Input: period, Call: int64(at), Return: int64(at) + 1})
		}
	}
	return list
}

// factOperations returns the puts that succeeded: those whose writer got the version, and those whose answer was
// lost but whose version a member learned. The latter may have taken effect at any time until the end. A put that
// no member has learned of can have no successor, as a successor has to state its version.
func factOperations(r *Result, endTime time.Duration) (list []porcupine.Operation) {
	for _, op := range r.Ops {
		seenVersion := r.FactVersions[fmt.Sprint(op.Value)]
		if op.Return == 0 {
			op.Result, op.Return = seenVersion, endTime
		}
		if op.Result != 0 {
			list = append(list, porcupine.Operation{ClientId: op.Client, Input: op, Output: op.Result,
				Call: int64(op.Call), Return: int64(op.Return)})
		}
	}
	return list
}

// runAndCheck runs a configuration and checks the guarantees and the linearizability of the history.
func runAndCheck(t testing.TB, cfg Config) *Result {
	r := Run(cfg)
	if r.Violation != "" {
		for _, fault := range r.Faults {
			t.Log(fault)
		}
	}
	require.Empty(t, r.Violation, "seed %d at %v; FLEET_SEED=%d runs it alone", cfg.Seed, r.ViolationAt, cfg.Seed)
	// Each version of a fact is replaced at most once: no two successful puts expected the same version.
	replacedBy := map[string]uint64{}
	for _, op := range r.Ops {
		if op.Result != 0 {
			key := fmt.Sprint(op.Key, op.ExpectedVersion)
			require.Zero(t, replacedBy[key], "seed %d: two puts of %s succeeded for version %d", cfg.Seed, op.Key,
				op.ExpectedVersion)
			replacedBy[key] = op.Result
		}
	}
	for _, op := range r.Ops {
		if seenVersion := r.FactVersions[fmt.Sprint(op.Value)]; op.Return != 0 && seenVersion != 0 {
			require.Equal(t, op.Result, seenVersion,
				"seed %d: put %d was answered with another version than others learned", cfg.Seed, op.Value)
		}
	}
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(factRegister, factOperations(r, cfg.Duration),
		20*time.Second), "seed %d: the facts' history is not linearizable", cfg.Seed)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(leaseHolder, leaseOperations(r),
		20*time.Second), "seed %d: the lease holders' acts are not linearizable", cfg.Seed)
	return r
}

// TestWorlds runs several seeds with all kinds of faults together. FLEET_SEED runs one seed alone.
func TestWorlds(t *testing.T) {
	first, n := uint64(1), 24
	if s, err := strconv.ParseUint(os.Getenv("FLEET_SEED"), 10, 64); err == nil {
		first, n = s, 1
	}
	for i := range n {
		t.Run(fmt.Sprint(first+uint64(i)), func(t *testing.T) {
			t.Parallel()
			cfg := DefaultConfig(first + uint64(i))
			switch i % 4 {
			case 1:
				cfg.Keepers, cfg.LoseFiles = 5, true
			case 2:
				cfg.LossRate, cfg.DuplicationRate, cfg.MaxJitter = 0.1, 0.1, 60*time.Millisecond
			case 3:
				cfg.Keepers, cfg.Members, cfg.PauseRate, cfg.KillRate = 5, 100, 2, 2
			}
			r := runAndCheck(t, cfg)
			require.Positive(t, r.Acts)
			require.Positive(t, r.Incarnations)
		})
	}
}

// TestSameSeedSameRun checks that the configuration with its seed determines the run.
func TestSameSeedSameRun(t *testing.T) {
	cfg := DefaultConfig(5)
	one, other := Run(cfg), Run(cfg)
	require.Equal(t, one.Checksum, other.Checksum)
	require.Equal(t, one.Steps, other.Steps)
	cfg.Seed = 6
	require.NotEqual(t, one.Checksum, Run(cfg).Checksum)
}

// TestLossDetectionTime checks the bound on the time until members notice a loss, while the leading keeper stays
// and the network is intact.
func TestLossDetectionTime(t *testing.T) {
	cfg := DefaultConfig(3)
	cfg.Members, cfg.PartitionRate, cfg.PauseRate, cfg.KillRate, cfg.DuplicateMemberRate,
		cfg.IsolatedLeaderRate, cfg.LossRate = 60, 0, 0, 0, 0, 0, 0
	cfg.Duration, cfg.QuietPeriod = 40*time.Second, 0
	cfg.MemberKillRate = 0.5
	r := runAndCheck(t, cfg)
	require.NotEmpty(t, r.LossDetectionTimes)
	require.LessOrEqual(t, slices.Max(r.LossDetectionTimes),
		cfg.Settings.LossDetectionTime()+time.Duration(float64(cfg.Settings.LeaseDuration)*0.01))
	t.Logf("%d losses detected, at most %v after the last act; bound %v", len(r.LossDetectionTimes),
		slices.Max(r.LossDetectionTimes), cfg.Settings.LossDetectionTime())
}

// bindingLimits returns limits of each kind that are well below the demand.
func bindingLimits(members int) []quota.Limit {
	return []quota.Limit{
		{Name: "rate", Class: "rate", Kind: quota.Rate, Max: float64(2 * members), Burst: 200 * time.Millisecond},
		// less than one call per second at each router
		{Name: "slow", Class: "slow", Kind: quota.Rate, Max: float64(members) / 5, Burst: 200 * time.Millisecond},
		{Name: "calls", Class: "calls", Kind: quota.Calls, Max: float64(3 * members),
			MaxCallDuration: 8 * time.Second},
		{Name: "floor", Class: "floor", Kind: quota.Rate, Max: float64(4 * members), Burst: 200 * time.Millisecond,
			CutOff: quota.Floor, Floor: 0.5, MaxRouters: 4 * members},
		{Name: "retries", Kind: quota.Retries, Max: 0.2},
	}
}

// TestLimits runs several seeds with all kinds of faults together: no limit exceeds its bound.
func TestLimits(t *testing.T) {
	for i := range uint64(16) {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			cfg := DefaultConfig(100 + i)
			cfg.Limits, cfg.Demand, cfg.PutRate = bindingLimits(cfg.Members), 8, 0.2
			if i%4 == 3 {
				cfg.LossRate, cfg.DuplicationRate, cfg.MaxMemberDelay = 0.1, 0.1, 200*time.Millisecond
			}
			for name, l := range runAndCheck(t, cfg).Limits {
				require.Positive(t, l.Admitted, name)
				require.Positive(t, l.Refused, name)
			}
		})
	}
}

// TestLimitUtilization compares the routers with a central limiter, without faults, with changing and with steady
// demand above the limit. With steady demand they use at least 0.95 of the limit, and divide it nearly as max-min
// fairness would.
func TestLimitUtilization(t *testing.T) {
	for _, steady := range []bool{false, true} {
		cfg := DefaultConfig(7)
		cfg.PartitionRate, cfg.PauseRate, cfg.KillRate, cfg.DuplicateMemberRate, cfg.IsolatedLeaderRate,
			cfg.LossRate, cfg.DuplicationRate, cfg.PutRate = 0, 0, 0, 0, 0, 0, 0, 0
		cfg.Duration, cfg.QuietPeriod, cfg.SteadyDemand = 30*time.Second, 0, steady
		cfg.Limits, cfg.Demand = bindingLimits(cfg.Members)[:1], 40
		cfg.Limits[0].Max *= 5
		r := runAndCheck(t, cfg)
		usage := r.Limits["rate"]
		utilization := float64(usage.RecentlyAdmitted) / (10 * cfg.Limits[0].Max)
		var sum, squares float64 // Jain's fairness index: 1 if all are equal
		for name, n := range usage.RecentByRouter {
			if steady { // relative to a central limiter's share
				n /= 10 * maxMinFairShares(cfg.Limits[0].Max, r.FinalDemands)[name]
			}
			sum, squares = sum+n, squares+n*n
		}
		jain := sum * sum / (float64(cfg.Members) * squares)
		t.Logf("steady %v: %.3f of the limit used, Jain's index of the routers %.3f", steady, utilization, jain)
		if steady {
			require.Greater(t, jain, 0.98)
			require.GreaterOrEqual(t, utilization, 0.95)
			continue
		}
		require.Greater(t, jain, 0.85)
		require.Greater(t, utilization, 0.9)
	}
}

// maxMinFairShares divides a rate among demands by max-min fairness.
func maxMinFairShares(rate float64, demands map[string]float64) map[string]float64 {
	share := map[string]float64{}
	names := slices.SortedFunc(maps.Keys(demands), func(a, b string) int {
		return cmp.Compare(demands[a], demands[b])
	})
	for i, name := range names {
		share[name] = min(demands[name], rate/float64(len(names)-i))
		rate -= share[name]
	}
	return share
}

// BenchmarkFleet measures the total messages and bytes per second of a fleet without faults, once all members hold
// leases.
func BenchmarkFleet(b *testing.B) {
	for _, members := range []int{10, 60, 300, 1000} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			for b.Loop() {
				cfg := DefaultConfig(1)
				cfg.Keepers, cfg.Members, cfg.PartitionRate, cfg.PauseRate, cfg.KillRate, cfg.DuplicateMemberRate, cfg.PutRate,
					cfg.IsolatedLeaderRate, cfg.LossRate, cfg.DuplicationRate = 5, members, 0, 0, 0, 0, 0, 0, 0, 0
				cfg.QuietPeriod = 0
				cfg.Duration = 15 * time.Second // all members hold leases by then
				warmUp := Run(cfg)
				cfg.Duration = 45 * time.Second
				r := Run(cfg)
				if r.Violation != "" {
					b.Fatal(r.Violation)
				}
				b.ReportMetric(float64(r.Messages-warmUp.Messages)/30, "messages/s")
				b.ReportMetric(float64(r.Bytes-warmUp.Bytes)/30, "bytes/s")
				b.ReportMetric(float64(warmUp.Messages), "messages-to-begin")
			}
		})
	}
}

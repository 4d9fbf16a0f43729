//go:build mutant

package takeover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMutants: each built-in fault breaks a promise in one of the random worlds at the latest, and none is broken without.
func TestMutants(t *testing.T) {
	defer Mutate("")
	for name := range Mutants {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= uint64(size("TAKEOVER_SEEDS", 60)); seed++ {
				Mutate(name)
				w, _ := play(t, seed, 40)
				Mutate("")
				if w.broken != "" {
					w, _ = play(t, seed, 40)
					require.Empty(t, w.broken, "seed %d without the fault", seed)
					t.Logf("found by seed %d", seed)
					return
				}
			}
			require.Fail(t, "the fault is not found")
		})
	}
}

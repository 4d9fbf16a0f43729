//go:build mutant

package verdict

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMutants checks that the faults in merging and expiry are found. Those in avoidance are found by the fleet
// simulation.
func TestMutants(t *testing.T) {
	defer Mutate("")
	bad := Record{
		Observer: "r1", Incarnation: 1, Seq: 1, Key: Key{"s0", 0},
		Onset: time.Hour - time.Second, BadAt: time.Hour,
	}
	good := Record{Observer: "r1", Incarnation: 1, Seq: 2, Key: Key{"s0", 0}, GoodAt: time.Hour}
	for mutant, holds := range map[string]func() bool{
		"older-wins": func() bool {
			table := NewTable(DefaultSettings(), "me")
			table.merge(time.Hour, "o", good)
			table.merge(time.Hour, "o", bad)
			return !table.records[recordID{"r1", bad.Key}].isBad()
		},
		"for-ever": func() bool {
			table := NewTable(DefaultSettings(), "me")
			table.merge(time.Hour, "o", bad)
			table.Tick(time.Hour + DefaultSettings().EvidenceTTL + time.Second)
			return len(table.records) == 0
		},
		"crossed-answers": func() bool {
			table := NewTable(DefaultSettings(), "me")
			table.SetMembers(makeMembers(6, 3))
			for i := range 3 {
				crossed := time.Duration(i) * 4 * ms
				table.merge(time.Hour, "o", Record{
					Observer: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i), Incarnation: 1, Seq: 1, Key: bad.Key,
					Onset: bad.Onset + crossed, GoodAt: bad.Onset + 2*crossed, BadAt: bad.BadAt,
				})
			}
			return table.Verdicts(time.Hour)[0].Kind == Gone
		},
	} {
		Mutate("")
		require.True(t, holds(), mutant)
		Mutate(mutant)
		require.False(t, holds(), "%s is not found", mutant)
	}
}

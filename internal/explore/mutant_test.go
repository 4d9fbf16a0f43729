//go:build mutant

package explore

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/router"
)

// violatedProperty maps each mutant to the beginning of the property that it violates. docs/design/explore.md has the
// same table.
var violatedProperty = map[string]string{
	"early-resend":   "the wait before a resend",
	"attempt-more":   "attempts are bounded",
	"deaf-to-leave":  "no answer over an attempt",
	"no-give-up":     "no answer over an attempt",
	"any-end":        "no answer over an attempt",
	"lost-release":   "a release reaches the caller once",
	"lost-timer":     "the backstop is not needed",
	"table-leak":     "tables return to zero",
	"miscount":       "tables",
	"told-refused":   "what may have run",
	"deaf-to-drain":  "nothing new after a drain",
	"second-answer":  "one final answer",
	"release-twice":  "a release reaches the server once",
	"send-twice":     "one attempt at once",
	"wrong-server":   "only listed servers",
	"give-up-twice":  "an attempt is given up once",
	"told-twice":     "a release reaches the caller once",
	"left-told":      "one final answer",
	"left-out":       "no answer over an attempt",
	"panic":          "the backstop is not needed",
	"silent-overdue": "nothing is forgotten",
}

// TestMutants checks that the exploration finds every mutant, and reports the property that it violates. One call is
// enough for all of them but deaf-to-drain, which needs two.
func TestMutants(t *testing.T) {
	defer router.Mutate("")
	for _, name := range slices.Sorted(maps.Keys(router.Mutants)) {
		router.Mutate(name)
		res := Result{}
		for _, w := range Worlds() {
			w.Calls = 1
			if name == "deaf-to-drain" {
				w.Calls = 2
			}
			w.Attempts = 2
			r, err := Run(w, Limits{MaxStates: 300_000})
			require.NoError(t, err)
			if r.Violation != "" && (res.Violation == "" || len(r.Path) < len(res.Path)) {
				res = r
			}
		}
		t.Logf("%-15s %-8s %2d steps  %s", name, res.World, len(res.Path), res.Violation)
		assert.NotEmpty(t, res.Violation, "%s: no world finds it", name)
		assert.True(t, strings.HasPrefix(res.Violation, violatedProperty[name]), "%s: %s", name, res.Violation)
	}
}

//go:build mutant

package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// failureRecorder is a require.TestingT that records whether a test fails.
type failureRecorder struct{ failed bool }

func (v *failureRecorder) Errorf(string, ...any) { v.failed = true }
func (v *failureRecorder) FailNow()              { panic(v) }

// testFails reports whether a test fails.
func testFails(test func(require.TestingT)) (failed bool) {
	v := &failureRecorder{}
	defer func() {
		if p := recover(); p != nil {
			failed = true
		}
	}()
	test(v)
	return v.failed
}

// TestMutants guards against a check that misses an injected fault, or that fails without one.
func TestMutants(t *testing.T) {
	defer Mutate("")
	require.False(t, testFails(checkTakenOver))
	for name := range Mutants {
		Mutate(name)
		require.True(t, testFails(checkTakenOver), "%s is not detected", name)
	}
}

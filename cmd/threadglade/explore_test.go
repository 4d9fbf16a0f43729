package main

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/explore"
)

// TestExplore checks the output of the explore command, and its exit codes when a bound is reached and on invalid
// arguments.
func TestExplore(t *testing.T) {
	t.Parallel()
	text, code := runTool(t, "explore", "--world", "cancel", "--calls", "1", "--json")
	require.Zero(t, code, text)
	var r explore.Result
	require.NoError(t, json.Unmarshal([]byte(text), &r))
	require.True(t, r.Complete)
	require.Greater(t, r.Transitions, r.Distinct)
	text, code = runTool(t, "explore", "--states", "1000")
	require.Equal(t, exitFinding, code)
	require.Contains(t, text, "a bound was reached")
	text, code = runTool(t, "explore", "--list")
	require.Zero(t, code)
	require.Contains(t, text, "one attempt at once: ")
	for _, args := range [][]string{{"--world", "moon"}, {"--draw", "some"}, {"--mutant", "moon"}, {"--calls", "99"},
		{"--colour"}, {"more"}} {
		text, code = runTool(t, append([]string{"explore"}, args...)...)
		require.Equal(t, exitUsage, code, "%v: %s", args, text)
	}
}

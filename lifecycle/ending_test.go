package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against calls that are taken and can't be answered before the process is killed: min(longest deadline, 3 s) and
// 0.7 s after it was told to end. Whatever the settings, a call that arrives within 0.7 s is taken, one that is taken
// later has its class's aim left, and the last answer is due before the kill.
func TestCallsOfEndingProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Process
		told := time.Hour
		draw := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(1, most).Draw(t, name)) * ms
		}
		longest := draw("longest deadline", 10_000)
		aim := min(draw("aim", 10_000), longest)
		after := draw("arrives after", 12_000)
		_, isEnding := p.LastAnswerAt(longest)
		require.False(t, isEnding)
		require.False(t, p.RefusesCall(told, aim, longest))
		p.End(told)
		last, isEnding := p.LastAnswerAt(longest)
		require.True(t, isEnding)
		require.Less(t, last, told+min(longest, 3*time.Second)+700*ms)
		refuses := p.RefusesCall(told+after, aim, longest)
		require.Equal(t, after >= 700*ms && told+after+aim > last, refuses)
		require.False(t, refuses && after < 700*ms)
	})
}

// A client moves to the new process as soon as that costs it no call, and with established calls once this process takes
// no more of its calls or may be killed soon. Without a new process it stays.
func TestShouldMove(t *testing.T) {
	var p Process
	now, longest := time.Hour, 5*time.Second
	shouldMove := func(client ClientState) bool { return p.ShouldMove(now, longest, client) }
	p.End(now)
	require.False(t, shouldMove(ClientState{CallRefused: true}))
	p.HandedOver()
	require.True(t, shouldMove(ClientState{}))
	require.False(t, shouldMove(ClientState{EstablishedCalls: 1}))
	require.True(t, shouldMove(ClientState{EstablishedCalls: 1, CallRefused: true}))
	require.False(t, shouldMove(ClientState{PendingCalls: 1, CallRefused: true}))
	now += 3600 * ms
	require.True(t, shouldMove(ClientState{EstablishedCalls: 1}))
	require.False(t, shouldMove(ClientState{PendingCalls: 1}))
}

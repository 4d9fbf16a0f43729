package silence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against taking a slow server for a silent one. While reports arrive with the jitter seen so far, the
// connection never counts as silent, whatever waits on it. When they stop and a set-up waits, it counts as silent
// soon after the longest interval has passed.
func TestSlowIsNotSilent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Reports
		var l Line
		now, longest := time.Hour, time.Duration(0)
		l.Opened(now)
		l.Told(now, &r)
		period := time.Duration(rapid.IntRange(100, 1000).Draw(t, "period")) * ms
		for range rapid.IntRange(keptIntervals, 30).Draw(t, "reports") {
			for step := range 4 { // a set-up waits all the time
				l.Asked(now + time.Duration(step)*period/4)
				require.False(t, l.Silent(now+time.Duration(step)*period/4, &r))
			}
			next := period + time.Duration(rapid.IntRange(0, 20).Draw(t, "late in %"))*period/100
			require.False(t, l.Silent(now+next, &r))
			now += next
			longest = max(longest, next)
			l.Heard(now)
			l.Told(now, &r)
		}
		require.False(t, l.Silent(now+time.Hour, &r), "no set-up waits")
		l.Asked(now)
		require.False(t, l.Silent(now+min(period, After), &r))
		timeout := max(minTimeout, time.Duration(timeoutMargin*float64(longest)))
		require.True(t, l.Silent(now+timeout+2*ms, &r) || longest > After/2)
		require.True(t, l.Silent(now+After+2*ms, &r))
		l.Heard(now + time.Minute)
		require.False(t, l.Silent(now+time.Minute, &r))
	})
}

// Without known report intervals only MaxSilence applies. A connection counts as unresponsive only if nothing
// arrives on it after the other connection was opened.
func TestUnknownIntervals(t *testing.T) {
	var r Reports
	var one, other Line
	one.Opened(time.Hour)
	one.Asked(time.Hour)
	require.False(t, one.Silent(2*time.Hour, &r))
	require.False(t, one.Quiet(time.Hour+After))
	require.True(t, one.Quiet(time.Hour+After+1))
	require.False(t, one.Spoke())
	other.Opened(time.Hour + After)
	require.True(t, one.Mute(&other))
	one.Heard(time.Hour + After + 1)
	require.False(t, one.Mute(&other))
	require.True(t, one.Spoke())
}

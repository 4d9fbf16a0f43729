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
		var r ReportIntervals
		var l Connection
		now, longest := time.Hour, time.Duration(0)
		l.Opened(now)
		l.ReportReceived(now, &r)
		period := time.Duration(rapid.IntRange(100, 1000).Draw(t, "period")) * ms
		for range rapid.IntRange(keptIntervals, 30).Draw(t, "reports") {
			for step := range 4 { // a set-up waits all the time
				l.SetupSent(now + time.Duration(step)*period/4)
				require.False(t, l.MissedReport(now+time.Duration(step)*period/4, &r))
			}
			next := period + time.Duration(rapid.IntRange(0, 20).Draw(t, "late in %"))*period/100
			require.False(t, l.MissedReport(now+next, &r))
			now += next
			longest = max(longest, next)
			l.Received(now)
			l.ReportReceived(now, &r)
		}
		require.False(t, l.MissedReport(now+time.Hour, &r), "counts as silent although no set-up waits")
		l.SetupSent(now)
		require.False(t, l.MissedReport(now+min(period, MaxSilence), &r))
		timeout := max(minTimeout, time.Duration(timeoutMargin*float64(longest)))
		require.True(t, l.MissedReport(now+timeout+2*ms, &r) || longest > MaxSilence/2)
		require.True(t, l.MissedReport(now+MaxSilence+2*ms, &r))
		l.Received(now + time.Minute)
		require.False(t, l.MissedReport(now+time.Minute, &r))
	})
}

// Without known report intervals only MaxSilence applies. A connection counts as unresponsive only if nothing
// arrives on it after the other connection was opened.
func TestUnknownIntervals(t *testing.T) {
	var r ReportIntervals
	var one, other Connection
	one.Opened(time.Hour)
	one.SetupSent(time.Hour)
	require.False(t, one.MissedReport(2*time.Hour, &r))
	require.False(t, one.NeedsProbe(time.Hour+MaxSilence))
	require.True(t, one.NeedsProbe(time.Hour+MaxSilence+1))
	require.False(t, one.HasReceived())
	other.Opened(time.Hour + MaxSilence)
	require.True(t, one.Unresponsive(&other))
	one.Received(time.Hour + MaxSilence + 1)
	require.False(t, one.Unresponsive(&other))
	require.True(t, one.HasReceived())
}

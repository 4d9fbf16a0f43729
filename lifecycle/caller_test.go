package lifecycle

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against clients that hold a connection without completing a message. Whatever the timing of its bytes, a
// caller without a complete first message times out within 2.75 s; one that stops sending does so 0.7 s after its
// last byte, but not before 2 s. A caller whose message is complete in time may stay idle.
func TestCallerTimeouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c CallerConn
		now := time.Hour
		c.Connected(now)
		lastReceived, completeAt := now, now+time.Duration(rapid.IntRange(0, 5000).Draw(t, "complete after"))*ms
		for now < time.Hour+6*time.Second {
			now += time.Duration(rapid.IntRange(20, 900).Draw(t, "pause")) * ms
			timedOut := c.TimedOut(now)
			age, pause := now-time.Hour, now-lastReceived
			require.Equal(t, age >= 2*time.Second && (pause >= 700*ms || age >= 2750*ms), timedOut)
			if timedOut {
				return
			}
			lastReceived = now
			c.Received(now)
			if now >= completeAt {
				c.MessageValid()
				c.MessageComplete()
				require.False(t, c.TimedOut(now+time.Hour), "an idle connection with a valid message timed out")
				c.MessageBegun(now)
				require.True(t, c.TimedOut(now+2*time.Second))
				require.True(t, c.BeginClose(now) && !c.BeginClose(now))
				c.MessageComplete()
				require.True(t, c.TimedOut(now+lingerTimeout))
				return
			}
			c.MessageBegun(now)
		}
		require.Fail(t, "never timed out")
	})
}

// ClosesBefore is one total order: connections that are closing, those without a valid message, those with one;
// among equals, the one that has been silent longest comes first.
func TestCloseOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*CallerConn
		for range rapid.IntRange(2, 20).Draw(t, "connections") {
			c := &CallerConn{}
			c.Connected(time.Hour)
			c.Received(time.Hour + time.Duration(rapid.IntRange(0, 50).Draw(t, "received after"))*ms)
			if rapid.Bool().Draw(t, "valid message") {
				c.MessageValid()
			}
			if rapid.Bool().Draw(t, "closing") {
				c.BeginClose(time.Hour)
			}
			all = append(all, c)
		}
		first := slices.MinFunc(all, func(a, b *CallerConn) int {
			switch {
			case a.ClosesBefore(b):
				return -1
			case b.ClosesBefore(a):
				return 1
			}
			return 0
		})
		for _, c := range all {
			require.False(t, c.Closing() && !first.Closing())
			require.False(t, !c.Closing() && !c.HasValidMessage() && !first.Closing() && first.HasValidMessage())
			if c.Closing() == first.Closing() && (c.Closing() || c.HasValidMessage() == first.HasValidMessage()) {
				require.LessOrEqual(t, first.LastReceived(), c.LastReceived())
			}
		}
	})
}

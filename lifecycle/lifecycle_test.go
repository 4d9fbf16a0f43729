package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func newServingProcess() *Process {
	p := &Process{}
	p.Listening()
	p.ServersListed()
	return p
}

// A process is ready from when it listens and knows its servers until it drains or shuts down. A shutdown can't
// be undone.
func TestStates(t *testing.T) {
	p := &Process{}
	require.Equal(t, Starting, p.State())
	p.Listening()
	require.False(t, p.Ready())
	p.ServersListed()
	require.True(t, p.Ready())
	for _, want := range []bool{true, false} {
		changed, err := p.Drain(time.Hour)
		require.NoError(t, err)
		require.Equal(t, want, changed)
		require.Equal(t, Draining, p.State())
		require.True(t, p.Leaving())
	}
	changed, err := p.Resume()
	require.True(t, changed && err == nil && p.Ready())
	p.End(2 * time.Hour)
	_, err = p.Drain(3 * time.Hour)
	require.ErrorIs(t, err, ErrEnding)
	_, err = p.Resume()
	require.ErrorIs(t, err, ErrEnding)
	require.True(t, p.Leaving())
	p.SetSuccessor(true)
	require.False(t, p.Leaving())
}

// Guards the promises of a drain, however connections are used. After 4 s no connection is left that is idle or
// whose set-ups arrived in the last 2 s. None is closed while a set-up is pending, none before drainSettleDelay,
// and none before or after a drain.
func TestDrainPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, began := newServingProcess(), time.Hour
		c := ConnState{SpreadPosition: rapid.Float64Range(0, 1).Draw(t, "spread position"),
			ConnectedAt:     began - time.Duration(rapid.IntRange(-300, 5000).Draw(t, "connected before"))*ms,
			LastForReleases: rapid.Bool().Draw(t, "last for releases")}
		c.LastReceived = c.ConnectedAt
		require.False(t, p.ShouldClose(began, c))
		p.Drain(began)
		type setUp struct{ came, answered time.Duration }
		var pending []setUp
		closed := false
		for now := began; now <= began+4*time.Second && !closed; now += 20 * ms {
			for i := 0; i < len(pending); {
				if now >= pending[i].answered || p.ShouldEndSetup(now, pending[i].came) {
					pending = append(pending[:i], pending[i+1:]...)
					if c.OpenSetups = len(pending); p.ShouldCloseAnswered(now, c) {
						closed = true
					}
					continue
				}
				i++
			}
			if c.OpenSetups = len(pending); now%(100*ms) == 0 && p.ShouldClose(now, c) {
				require.Zero(t, c.OpenSetups)
				require.GreaterOrEqual(t, now, began+drainSettleDelay)
				closed = true
			}
			if !closed && now >= c.ConnectedAt && rapid.IntRange(0, 5).Draw(t, "set-up") == 0 {
				c.LastReceived = now
				if !p.RefusesSetup(now, c) {
					pending = append(pending,
						setUp{now, now + time.Duration(rapid.IntRange(1, 9000).Draw(t, "duration"))*ms})
				}
			}
		}
		for _, s := range pending {
			require.True(t, closed || s.came < began+2*time.Second, "a connection with a recent set-up is left")
		}
		require.True(t, closed || len(pending) > 0, "an idle connection is left")
		p.Resume()
		require.False(t, p.ShouldClose(began+5*time.Second, ConnState{}))
	})
}

// Guards against two processes serving at once, or none, in a hot restart. Whatever the order of events on both
// sides, at most one process serves while they are connected, and the new one does as soon as the old one is gone.
func TestOneProcessServes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var old OldProcess
		var next NewProcess
		now, connected := time.Hour, old.AcceptSuccessor()
		next.StandBy()
		require.False(t, old.AcceptSuccessor(), "a second successor was accepted")
		var requested, tookOver bool // messages in transit
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				requested = old.RequestTakeover(now) || requested
			case 1:
				if requested && connected && next.TakeOver() {
					tookOver = true
				}
			case 2:
				if tookOver {
					old.ConfirmTakeover(now)
				}
			case 3:
				now += time.Duration(rapid.IntRange(1, 200).Draw(t, "wait")) * ms
			case 4:
				if connected && rapid.IntRange(0, 9).Draw(t, "break") == 0 {
					connected = false
					if next.OldProcessLost() {
						require.True(t, next.TakeOver())
					}
				}
			}
			require.False(t, old.HandedOver() && next.InStandby(), "callers handed over to a process in standby")
			if !connected {
				require.False(t, next.InStandby())
				require.False(t, next.OldProcessAlive())
			}
			if !requested && connected {
				require.True(t, next.InStandby(), "took over without being asked")
			}
		}
		if old.RequestTakeover(now) {
			require.False(t, old.ConfirmTakeover(now+takeoverTimeout), "confirmed after the timeout")
		}
	})
}

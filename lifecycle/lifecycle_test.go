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
	p.Listed()
	return p
}

// A process is ready from when it listens and knows its servers until it drains or shuts down. A shutdown can't
// be undone.
func TestStates(t *testing.T) {
	p := &Process{}
	require.Equal(t, Starting, p.State())
	p.Listening()
	require.False(t, p.Ready())
	p.Listed()
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
	p.Succeeded(true)
	require.False(t, p.Leaving())
}

// Guards the promises of a drain, however connections are used. After 4 s no connection is left that is idle or
// whose set-ups arrived in the last 2 s. None is closed while a set-up is pending, none before drainSettleDelay,
// and none before or after a drain.
func TestDrainPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, began := newServingProcess(), time.Hour
		c := Conn{Share: rapid.Float64Range(0, 1).Draw(t, "share"),
			Since: began - time.Duration(rapid.IntRange(-300, 5000).Draw(t, "since"))*ms,
			Last:  rapid.Bool().Draw(t, "last")}
		c.Heard = c.Since
		require.False(t, p.Letting(began, c))
		p.Drain(began)
		type setUp struct{ came, answered time.Duration }
		var open []setUp
		gone := false
		for now := began; now <= began+4*time.Second && !gone; now += 20 * ms {
			for i := 0; i < len(open); {
				if now >= open[i].answered || p.Overstays(now, open[i].came) {
					open = append(open[:i], open[i+1:]...)
					if c.Open = len(open); p.LettingAnswered(now, c) {
						gone = true
					}
					continue
				}
				i++
			}
			if c.Open = len(open); now%(100*ms) == 0 && p.Letting(now, c) {
				require.Zero(t, c.Open)
				require.GreaterOrEqual(t, now, began+drainSettleDelay)
				gone = true
			}
			if !gone && now >= c.Since && rapid.IntRange(0, 5).Draw(t, "set-up") == 0 {
				c.Heard = now
				if !p.Turning(now, c) {
					open = append(open, setUp{now, now + time.Duration(rapid.IntRange(1, 9000).Draw(t, "takes"))*ms})
				}
			}
		}
		for _, s := range open {
			require.True(t, gone || s.came < began+2*time.Second, "a recent set-up is left")
		}
		require.True(t, gone || len(open) > 0, "an idle connection is left")
		p.Resume()
		require.False(t, p.Letting(began+5*time.Second, Conn{}))
	})
}

// Guards against two processes serving at once, or none, in a hot restart. Whatever the order of events on both
// sides, at most one process decides while they are connected, and the new one does as soon as the old one is
// gone.
func TestOneProcessServes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var old Elder
		var next Successor
		now, linked := time.Hour, old.Welcome()
		next.Wait()
		require.False(t, old.Welcome(), "a third process has to wait")
		var take, taken bool // messages in transit
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				take = old.Ask(now) || take
			case 1:
				if take && linked && next.Take() {
					taken = true
				}
			case 2:
				if taken {
					old.Taken(now)
				}
			case 3:
				now += time.Duration(rapid.IntRange(1, 200).Draw(t, "wait")) * ms
			case 4:
				if linked && rapid.IntRange(0, 9).Draw(t, "break") == 0 {
					linked = false
					if next.Lost() {
						require.True(t, next.Take())
					}
				}
			}
			require.False(t, old.Handing() && next.Standby(), "callers handed over to a process in standby")
			if !linked {
				require.False(t, next.Standby())
				require.False(t, next.Elder())
			}
			if !take && linked {
				require.True(t, next.Standby(), "took over without being asked")
			}
		}
		if old.Ask(now) {
			require.False(t, old.Taken(now+takeoverTimeout), "too late")
		}
	})
}

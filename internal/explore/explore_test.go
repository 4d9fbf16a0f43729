package explore

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that each run takes the same random walks; -rapid.seed sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		flag.Set("rapid.seed", "20261201")
	}
	os.Exit(m.Run())
}

func findWorld(t *testing.T, name string) World {
	w, err := FindWorld(name)
	require.NoError(t, err)
	return w
}

// TestWorlds explores reduced worlds completely: every property holds in every state, and the counts do not depend
// on the number of workers.
func TestWorlds(t *testing.T) {
	for _, w := range Worlds() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			w.Calls, w.Attempts = 1, 2
			one, err := Run(w, Limits{Workers: 1})
			require.NoError(t, err)
			require.Empty(t, one.Violation, strings.Join(one.Path, "\n"))
			require.True(t, one.Complete)
			four, err := Run(w, Limits{Workers: 4})
			require.NoError(t, err)
			one.Duration, four.Duration = 0, 0
			require.Greater(t, one.Distinct, int64(100))
			require.Equal(t, one, four)
			w.RandomValue = ^uint64(0)
			other, err := Run(w, Limits{})
			require.NoError(t, err)
			require.Empty(t, other.Violation, strings.Join(other.Path, "\n"))
		})
	}
}

// TestStricterRulesAreViolated checks that the exploration finds violations, with short paths to them: it requires
// more of the router than the router's settings do.
func TestStricterRulesAreViolated(t *testing.T) {
	for _, c := range []struct {
		world, violation string
		requirements     Requirements
		maxSteps         int
	}{
		{"drain", "the wait before a resend", Requirements{ReleaseWait: releaseWait + time.Millisecond}, 4},
		{"drain", "attempts are bounded", Requirements{Attempts: 1}, 3},
		{"small", "an answer in time", Requirements{AnswerGrace: -time.Millisecond}, 0},
	} {
		w := findWorld(t, c.world)
		w.Calls, w.Requirements = 1, c.requirements
		res, err := Run(w, Limits{})
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(res.Violation, c.violation), "%s: %q", c.violation, res.Violation)
		if c.maxSteps > 0 {
			require.LessOrEqual(t, len(res.Path), c.maxSteps, strings.Join(res.Path, "\n"))
		}
	}
}

// TestClone takes random walks through all worlds: a clone behaves like the original, and events of the clone do
// not change the original.
func TestClone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := rapid.SampledFrom(Worlds()).Draw(t, "world")
		w.Attempts, w.Calls = 6, 3
		m, err := newModel(&w)
		require.NoError(t, err)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			steps := m.nextSteps()
			if len(steps) == 0 {
				break
			}
			cloned, err := m.clone()
			require.NoError(t, err)
			before := m.appendState(nil)
			require.Equal(t, before, cloned.appendState(nil))
			diverged, err := m.clone()
			require.NoError(t, err)
			for range 3 {
				if others := diverged.nextSteps(); len(others) > 0 {
					others[rapid.IntRange(0, len(others)-1).Draw(t, "stray")].apply(diverged)
				}
			}
			require.Equal(t, before, m.appendState(nil), "events of a clone changed the original")
			s := steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]
			s.apply(m)
			s.apply(cloned)
			m.checkProperties()
			require.Empty(t, m.violation)
			require.Equal(t, m.appendState(nil), cloned.appendState(nil), "the clone and the original differ after: %s",
				s.description)
		}
	})
}

// TestBounds checks that a bound ends an exploration and that the result is then marked incomplete.
func TestBounds(t *testing.T) {
	res, err := Run(findWorld(t, "small"), Limits{MaxStates: 2000})
	require.NoError(t, err)
	require.False(t, res.Complete)
	require.Empty(t, res.Violation)
	require.Less(t, res.Distinct, int64(20_000))
	_, err = FindWorld("nowhere")
	require.ErrorIs(t, err, ErrUnknownWorld)
}

// TestTwoCalls explores two calls completely, with coarse time.
func TestTwoCalls(t *testing.T) {
	w := findWorld(t, "cold")
	w.CoarseTime = true
	res, err := Run(w, Limits{})
	require.NoError(t, err)
	require.Empty(t, res.Violation, strings.Join(res.Path, "\n"))
	require.True(t, res.Complete)
	require.Greater(t, res.Distinct, int64(10_000))
}

// TestEqualFormsBehaveAlike checks that two states with equal canonical forms have equal successors. A form that
// omitted part of the state would make the search skip states that it has not explored.
func TestEqualFormsBehaveAlike(t *testing.T) {
	for _, w := range Worlds() {
		w.CoarseTime = true
		first, err := newModel(&w)
		require.NoError(t, err)
		seen := map[string]node{string(first.appendState(nil)): {first, nil}}
		compared := 0
		for frontier := []node{{first, nil}}; len(frontier) > 0 && len(seen) < 12_000; frontier = frontier[1:] {
			n := frontier[0]
			for _, s := range n.model.nextSteps() {
				m, err := n.model.clone()
				require.NoError(t, err)
				s.apply(m)
				reached := node{m, &eventTrace{s.description, n.trace}}
				form := string(m.appendState(nil))
				known, found := seen[form]
				if !found {
					seen[form] = reached
					frontier = append(frontier, reached)
					continue
				}
				one, other := known.model.nextSteps(), m.nextSteps()
				require.Equal(t, len(one), len(other))
				for i := range one {
					a, err := known.model.clone()
					require.NoError(t, err)
					b, err := m.clone()
					require.NoError(t, err)
					one[i].apply(a)
					other[i].apply(b)
					compared++
					require.True(t, string(a.appendState(nil)) == string(b.appendState(nil)),
						"%s: states of equal form differ after: %s\nfirst path:\n%s\nsecond path:\n%s\n%+v\n%+v",
						w.Name, one[i].description,
						strings.Join(known.trace.events(), "\n"), strings.Join(reached.trace.events(), "\n"),
						a.router, b.router)
				}
			}
		}
		require.Greater(t, compared, 1000, w.Name)
	}
}

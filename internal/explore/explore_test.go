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

// The same walks are taken each time; -rapid.seed gives others.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		flag.Set("rapid.seed", "20261201")
	}
	os.Exit(m.Run())
}

func world(t *testing.T, name string) World {
	w, err := Find(name)
	require.NoError(t, err)
	return w
}

// TestWorlds explores small worlds to the end: every property holds in every state, and the counts do not depend on the workers.
func TestWorlds(t *testing.T) {
	for _, w := range Worlds() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			w.Calls, w.Attempts = 1, 2
			one, err := Run(w, Limits{Workers: 1})
			require.NoError(t, err)
			require.Empty(t, one.Broken, strings.Join(one.Path, "\n"))
			require.True(t, one.Complete)
			four, err := Run(w, Limits{Workers: 4})
			require.NoError(t, err)
			one.Took, four.Took = 0, 0
			require.Greater(t, one.Distinct, int64(100))
			require.Equal(t, one, four)
			w.Draw = ^uint64(0)
			other, err := Run(w, Limits{})
			require.NoError(t, err)
			require.Empty(t, other.Broken, strings.Join(other.Path, "\n"))
		})
	}
}

// TestFinds holds the router to stricter rules than its settings say: each is seen to be broken, by a shortest way.
func TestFinds(t *testing.T) {
	for _, c := range []struct {
		world, want string
		rules       Rules
		steps       int
	}{
		{"drain", "the wait before a resend", Rules{ReleaseWait: releaseWait + time.Millisecond}, 4},
		{"drain", "attempts are bounded", Rules{Attempts: 1}, 3},
		{"small", "an answer in time", Rules{Late: -time.Millisecond}, 0},
	} {
		w := world(t, c.world)
		w.Calls, w.Rules = 1, c.rules
		res, err := Run(w, Limits{})
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(res.Broken, c.want), "%s: %q", c.want, res.Broken)
		if c.steps > 0 {
			require.LessOrEqual(t, len(res.Path), c.steps, strings.Join(res.Path, "\n"))
		}
	}
}

// TestClone: a clone goes on as the original does and leaves no trace in it, over random walks of all worlds.
func TestClone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := rapid.SampledFrom(Worlds()).Draw(t, "world")
		w.Attempts, w.Calls = 6, 3
		m, err := newModel(&w)
		require.NoError(t, err)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			list := m.next()
			if len(list) == 0 {
				break
			}
			twin, err := m.clone()
			require.NoError(t, err)
			before := m.state(nil)
			require.Equal(t, before, twin.state(nil))
			stray, err := m.clone()
			require.NoError(t, err)
			for range 3 {
				if others := stray.next(); len(others) > 0 {
					others[rapid.IntRange(0, len(others)-1).Draw(t, "stray")].do(stray)
				}
			}
			require.Equal(t, before, m.state(nil), "a clone changes the original")
			s := list[rapid.IntRange(0, len(list)-1).Draw(t, "step")]
			s.do(m)
			s.do(twin)
			m.check()
			require.Empty(t, m.broken)
			require.Equal(t, m.state(nil), twin.state(nil), "the clone goes another way at %s", s.what)
		}
	})
}

// TestBounds: a bound ends an exploration, which then says that it is not complete.
func TestBounds(t *testing.T) {
	res, err := Run(world(t, "small"), Limits{States: 2000})
	require.NoError(t, err)
	require.False(t, res.Complete)
	require.Empty(t, res.Broken)
	require.Less(t, res.Distinct, int64(20_000))
	_, err = Find("nowhere")
	require.ErrorIs(t, err, ErrUnknown)
}

// TestTwoCalls explores two calls to the end, with events where time has brought something about.
func TestTwoCalls(t *testing.T) {
	w := world(t, "cold")
	w.Coarse = true
	res, err := Run(w, Limits{})
	require.NoError(t, err)
	require.Empty(t, res.Broken, strings.Join(res.Path, "\n"))
	require.True(t, res.Complete)
	require.Greater(t, res.Distinct, int64(10_000))
}

// TestForm: two states of the same form go on alike, whatever comes next. A form that left something out would hide orders of events.
func TestForm(t *testing.T) {
	for _, w := range Worlds() {
		w.Coarse = true
		first, err := newModel(&w)
		require.NoError(t, err)
		seen := map[string]node{string(first.state(nil)): {first, nil}}
		compared := 0
		for frontier := []node{{first, nil}}; len(frontier) > 0 && len(seen) < 12_000; frontier = frontier[1:] {
			n := frontier[0]
			for _, s := range n.m.next() {
				m, err := n.m.clone()
				require.NoError(t, err)
				s.do(m)
				here := node{m, &trail{s.what, n.from}}
				form := string(m.state(nil))
				known, is := seen[form]
				if !is {
					seen[form] = here
					frontier = append(frontier, here)
					continue
				}
				one, other := known.m.next(), m.next()
				require.Equal(t, len(one), len(other))
				for i := range one {
					a, err := known.m.clone()
					require.NoError(t, err)
					b, err := m.clone()
					require.NoError(t, err)
					one[i].do(a)
					other[i].do(b)
					compared++
					require.True(t, string(a.state(nil)) == string(b.state(nil)), "%s: after %s\none way\n%s\nthe other\n%s\n%+v\n%+v", w.Name, one[i].what,
						strings.Join(known.from.path(), "\n"), strings.Join(here.from.path(), "\n"), a.r, b.r)
				}
			}
		}
		require.Greater(t, compared, 1000, w.Name)
	}
}

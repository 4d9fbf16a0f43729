package verdict

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// makeMembers returns n routers spread over a number of zones.
func makeMembers(n, zones int) (list []Member) {
	for i := range n {
		list = append(list, Member{fmt.Sprint("r", i), fmt.Sprint("z", i%zones)})
	}
	return list
}

// drawRecord draws a record of some router with observations of the last two seconds before now.
func drawRecord(t *rapid.T, now time.Duration, members []Member) Record {
	m := rapid.SampledFrom(members).Draw(t, "observer")
	ago := func(name string) time.Duration {
		return now - time.Duration(rapid.IntRange(1, 2000).Draw(t, name))*ms
	}
	r := Record{
		Observer:    m.Name,
		Zone:        m.Zone,
		Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")),
		Seq:         uint64(rapid.IntRange(1, 20).Draw(t, "seq")),
		Key:         Key{rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "server"), 0},
	}
	if rapid.Bool().Draw(t, "missed") {
		r.BadAt = ago("bad")
		r.Onset = r.BadAt - 300*ms
		r.Missed = 1
	}
	if rapid.Bool().Draw(t, "answered") || r.BadAt == 0 {
		r.GoodAt, r.Good = ago("good"), 1
	}
	if r.GoodAt > r.Onset {
		r.Onset = 0
	}
	r.AnsweredSentAt = r.GoodAt
	return r
}

// TestMerge checks that the records held and the verdicts do not depend on the order of arrival or on duplicates.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = time.Hour
		members := makeMembers(6, 2)
		seen := map[string]Record{} // a sequence number identifies one record
		var list []Record
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			r := drawRecord(t, now, members)
			key := fmt.Sprint(r.Observer, r.Incarnation, r.Seq, r.Server)
			if previous, ok := seen[key]; ok {
				r = previous
			}
			seen[key] = r
			list = append(list, r)
		}
		fill := func(order []int) *Table {
			table := NewTable(DefaultSettings(), "me")
			table.SetMembers(members)
			for _, i := range order {
				table.merge(now, "other", list[i])
			}
			return table
		}
		var order []int
		for i := range list {
			order = append(order, i)
		}
		one := fill(order)
		other := fill(append(
			rapid.Permutation(order).Draw(t, "order"),
			rapid.SliceOf(rapid.SampledFrom(order)).Draw(t, "again")...,
		))
		require.Equal(t, len(one.records), len(other.records))
		for i, r := range one.records {
			require.Equal(t, *r, *other.records[i])
		}
		require.Equal(t, one.Verdicts(now), other.Verdicts(now))
	})
}

// TestZonesAreIndependent checks that evidence of one router or one zone never makes routers of other zones avoid a
// server, and that a single router that misses answers yields a bad link.
func TestZonesAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = time.Hour
		members := makeMembers(rapid.IntRange(4, 12).Draw(t, "routers"), rapid.IntRange(2, 3).Draw(t, "zones"))
		table := NewTable(DefaultSettings(), "me")
		table.SetMembers(members)
		zone := rapid.SampledFrom([]string{"z0", "z1"}).Draw(t, "zone")
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			r := drawRecord(t, now, members)
			if r.Zone != zone && r.Onset != 0 { // the other zones get answers
				r.Onset, r.BadAt, r.GoodAt, r.AnsweredSentAt = 0, 0, now-ms, now-2*ms
			}
			table.merge(now, "other", r)
		}
		for _, v := range table.Verdicts(now) {
			require.NotEqual(t, Gone, v.Kind)
			for _, m := range members {
				require.False(t, m.Zone != zone && v.excludes(m.Zone), "%v", v)
			}
		}
	})
	table := NewTable(DefaultSettings(), "me")
	table.SetMembers(makeMembers(6, 3))
	table.merge(time.Hour, "o", Record{
		Observer: "r1", Zone: "z1", Incarnation: 1, Seq: 1, Key: Key{"s0", 0},
		Onset: time.Hour - 400*ms, BadAt: time.Hour,
	})
	table.merge(time.Hour, "o", Record{
		Observer: "r2", Zone: "z2", Incarnation: 1, Seq: 1, Key: Key{"s0", 0},
		GoodAt: time.Hour - 10*ms, AnsweredSentAt: time.Hour - 20*ms,
	})
	v := table.Verdicts(time.Hour)
	require.Len(t, v, 1)
	require.Equal(t, BadLink, v[0].Kind)
	require.Equal(t, []string{"r1"}, v[0].Sources)
}

// TestAnswersInTransit checks that answers that were in transit when a server failed do not keep it from being
// avoided: of three routers that miss answers, two had one a few milliseconds after the onset, to an attempt sent
// before. Answers that other routers get later count against the verdict.
func TestAnswersInTransit(t *testing.T) {
	const onset = time.Hour - 600*ms
	table := NewTable(DefaultSettings(), "me")
	table.SetMembers(makeMembers(6, 3))
	for i, r := range []Record{
		{Onset: onset, GoodAt: onset - 5*ms, AnsweredSentAt: onset - 9*ms},
		{Onset: onset + 4*ms, GoodAt: onset + 20*ms, AnsweredSentAt: onset - ms},
		{Onset: onset + 9*ms, GoodAt: onset + 25*ms, AnsweredSentAt: onset + ms},
	} {
		r.Observer, r.Zone = fmt.Sprint("r", i), fmt.Sprint("z", i)
		r.Incarnation, r.Seq, r.Key, r.BadAt = 1, 1, Key{"s0", 0}, time.Hour
		table.merge(time.Hour, "o", r)
	}
	require.Equal(t, Gone, table.Verdicts(time.Hour)[0].Kind)
	for i := 3; i < 5; i++ {
		table.merge(time.Hour, "o", Record{
			Observer: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3), Incarnation: 1, Seq: 2, Key: Key{"s0", 0},
			GoodAt: onset + 60*ms, AnsweredSentAt: onset + 30*ms,
		})
	}
	require.Equal(t, BadLink, table.Verdicts(time.Hour)[0].Kind)
}

// TestBounds checks that a neighbour that sends too many records cannot exceed the limits, and that all records
// expire.
func TestBounds(t *testing.T) {
	settings := DefaultSettings()
	table := NewTable(settings, "me")
	now := time.Hour
	for i := range 200 {
		for k := range 3 * maxSuspected {
			table.merge(now, "liar", Record{
				Observer: fmt.Sprint("r", i), Incarnation: 1, Seq: 1, Key: Key{fmt.Sprint("s", k), 0},
				Onset: now - time.Second, BadAt: now,
			})
		}
	}
	require.LessOrEqual(t, len(table.byServer), maxSuspected)
	require.LessOrEqual(t, len(table.records), maxRecords)
	require.Positive(t, table.Count.Refused)
	require.NotEmpty(t, table.Verdicts(now))
	table.Tick(now + settings.EvidenceTTL + time.Second)
	require.Empty(t, table.Verdicts(now+settings.EvidenceTTL+time.Second))
	require.Empty(t, table.records)
	table.merge(now+2*settings.EvidenceTTL, "late", Record{
		Observer: "r1", Incarnation: 9, Seq: 9, Key: Key{"s", 0},
		Onset: now, BadAt: now,
	})
	require.Empty(t, table.records, "expired evidence from a router that was suspended is not accepted")
}

// newWatch returns a Watch of servers of one class.
func newWatch(seed uint64, servers int) *Watch {
	w := NewWatch(DefaultSettings(), "z0", seed)
	var list []Server
	for i := range servers {
		list = append(list, Server{Key{fmt.Sprint("s", i), 0}, []string{"x"}})
	}
	w.SetServers(0, list)
	return w
}

// goneVerdict returns a verdict that no router gets answers of the server.
func goneVerdict(server string, since time.Duration, routers int) Verdict {
	return Verdict{Key: Key{server, 0}, Kind: Gone, Bad: 10, Routers: routers, Since: since}
}

// TestMissedAnswers checks that overdue answers are detected without any event, and that an unanswered attempt does
// not count if a later one was answered.
func TestMissedAnswers(t *testing.T) {
	w := newWatch(1, 2)
	now := time.Second
	w.AttemptSent(now, 1, "s0")
	w.AttemptSent(now+10*ms, 2, "s0")
	w.AttemptAnswered(now+30*ms, 2)
	w.DetectMissed(now + time.Second)
	require.Empty(t, w.OwnRecords(now+time.Second, nil, 3), "a later attempt was answered")
	w.AttemptSent(now+time.Second, 3, "s0")
	w.DetectMissed(now + time.Second + 100*ms)
	require.Empty(t, w.OwnRecords(now+time.Second+100*ms, nil, 3))
	w.DetectMissed(now + time.Second + 251*ms)
	own := w.OwnRecords(now+time.Second+251*ms, nil, 3)
	require.Len(t, own, 1)
	require.True(t, own[0].isBad())
	require.Equal(t, now+time.Second, own[0].Onset)
	w.AttemptEnded(now+2*time.Second, 3, Alive)
	own = w.OwnRecords(now+2*time.Second, map[Key]time.Duration{{"s0", 0}: now}, 3)
	require.Len(t, own, 1, "a changed opinion is reported at once")
	require.False(t, own[0].isBad())
	w.SetServers(0, []Server{{Key{"s0", time.Minute}, []string{"x"}}})
	w.AttemptEnded(now+3*time.Second, 3, Missed)
	own = w.OwnRecords(now+3*time.Second, map[Key]time.Duration{{"s0", time.Minute}: now}, 3)
	require.Empty(t, own, "the new incarnation has not been observed yet")
}

// TestMaxShare checks that a router avoids no more than the permitted share of a class, whatever the verdicts.
func TestMaxShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "servers")
		w := newWatch(uint64(rapid.IntRange(1, 100).Draw(t, "seed")), n)
		avoidUntil := map[string]time.Duration{}
		now := time.Hour
		for range 40 {
			var list []Verdict
			for i := range n {
				if rapid.Bool().Draw(t, "gone") {
					list = append(list, goneVerdict(fmt.Sprint("s", i), now-time.Second, 50))
				}
			}
			for _, c := range w.UpdateAvoidances(now, list) {
				avoidUntil[c.Server] = c.Until
			}
			if 2*len(list) <= n {
				continue // earlier avoidances may have to expire first
			}
			later := now + w.Settings.RecoverySpread + avoidTTL
			w.UpdateAvoidances(later, list)
			for _, c := range w.UpdateAvoidances(later+avoidTTL, list) {
				require.LessOrEqual(t, c.Until, later+avoidTTL, "%s", c.Server)
			}
			now = later + avoidTTL
		}
	})
}

// TestProbesAndReturns checks that, of 300 routers that avoid a server, about one per ProbeInterval probes it with one
// call, and that their returns after its recovery are spread over RecoverySpread.
func TestProbesAndReturns(t *testing.T) {
	const n = 300
	var watches []*Watch
	for i := range n {
		watches = append(watches, newWatch(uint64(i+1), 4))
	}
	now := time.Hour
	verdicts := []Verdict{goneVerdict("s0", now-time.Second, n)}
	probes := 0
	until := make([]time.Duration, n)
	step := func(list []Verdict) (using int) {
		now += 25 * ms
		for i, w := range watches {
			w.AttemptSent(now, 2, "s2") // calls to other servers continue
			w.AttemptAnswered(now, 2)
			for _, c := range w.UpdateAvoidances(now, list) {
				until[i] = c.Until
			}
			if until[i] <= now {
				using++
			}
		}
		return using
	}
	step(verdicts)
	for i := range until {
		require.Greater(t, until[i], now)
	}
	for range 400 { // ten seconds
		step(verdicts)
		for i, w := range watches {
			if until[i] <= now { // it may probe: it has a call at once, which is missed
				w.AttemptSent(now, 1, "s0")
				probes++
				w.UpdateAvoidances(now, verdicts)
				until[i] = now + avoidTTL
				w.AttemptEnded(now, 1, Missed)
			}
		}
	}
	require.Greater(t, probes, 4)
	require.Less(t, probes, 40, "at most 20 probes in ten seconds are intended, plus random variation")
	maxReturns, using := 0, step(nil)
	for range 120 {
		before := using
		using = step(nil)
		maxReturns = max(maxReturns, using-before)
	}
	require.Equal(t, n, using)
	require.Less(t, maxReturns, n/10, "in 25 ms")
}

// TestOwnEvidence checks that a router disregards a verdict if it has had an answer itself since the others began to
// miss theirs, and that an operator's hold applies regardless of the router's own evidence.
func TestOwnEvidence(t *testing.T) {
	w := newWatch(1, 4)
	now := time.Hour
	w.AttemptSent(now-100*ms, 1, "s0")
	w.AttemptAnswered(now-50*ms, 1)
	require.Empty(t, w.UpdateAvoidances(now, []Verdict{goneVerdict("s0", now-200*ms, 5)}))
	require.NotEmpty(t, w.UpdateAvoidances(now, []Verdict{goneVerdict("s0", now-10*ms, 5)}))
	held := Verdict{Key: Key{Server: "s1"}, Kind: Held, Until: now + 300*ms}
	changes := w.UpdateAvoidances(now, []Verdict{held})
	require.NotEmpty(t, changes)
	until := changes[len(changes)-1].Until
	require.Equal(t, now+300*ms, until, "an operator's hold applies until its end, whatever the router has observed")
}

// TestFrames checks that frames survive encoding without any age becoming smaller, and that invalid frames are
// refused.
func TestFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = time.Hour
		r := timesToAges(drawRecord(t, now, makeMembers(3, 2)), now)
		f := Frame{Stamp: 5, Echo: 6, EchoDelay: 7, Records: []Record{r}}
		got, err := ParseFrame(f.Marshal())
		require.NoError(t, err)
		require.Len(t, got.Records, 1)
		for _, pair := range [][2]time.Duration{
			{r.GoodAt, got.Records[0].GoodAt},
			{r.BadAt, got.Records[0].BadAt},
			{r.Onset, got.Records[0].Onset},
		} {
			require.Equal(t, pair[0] < 0, pair[1] < 0)
			require.GreaterOrEqual(t, pair[1], pair[0])
			require.Less(t, pair[1]-pair[0], 2*time.Microsecond)
		}
		ParseFrame(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"))
	})
	for _, f := range []Frame{{}, {Stamp: 1, EchoDelay: -1}, {Stamp: 1, Records: make([]Record, maxFrameRecords+1)}} {
		_, err := ParseFrame(f.Marshal())
		require.Error(t, err)
	}
}

// TestNeighbours checks that every router is reached within Hops links, and that one that leaves changes few links.
func TestNeighbours(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 60, 300} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("r", i))
		}
		adjacent := map[string]map[string]bool{}
		for _, a := range names {
			adjacent[a] = map[string]bool{}
		}
		for _, a := range names {
			for _, b := range Neighbours(a, names) {
				adjacent[a][b], adjacent[b][a] = true, true
			}
		}
		reached, frontier := map[string]bool{names[0]: true}, []string{names[0]}
		hops := 0
		for len(reached) < n {
			hops++
			var next []string
			for _, a := range frontier {
				for b := range adjacent[a] {
					if !reached[b] {
						reached[b] = true
						next = append(next, b)
					}
				}
			}
			frontier = next
			require.NotEmpty(t, frontier)
		}
		require.LessOrEqual(t, hops, Hops(n))
		if n == 300 {
			changed := 0
			for _, a := range names[1:] {
				before, after := Neighbours(a, names), Neighbours(a, names[1:])
				for _, b := range after {
					if !slices.Contains(before, b) {
						changed++
					}
				}
			}
			require.Less(t, changed, 2*300, "of about 2700 links")
		}
	}
}

// BenchmarkWatch measures the cost of one call: an attempt sent and answered.
func BenchmarkWatch(b *testing.B) {
	w := newWatch(1, 36)
	now := time.Hour
	b.ReportAllocs()
	for b.Loop() {
		now += ms
		w.AttemptSent(now, 1, "s3")
		w.AttemptAnswered(now+20*ms, 1)
	}
}

// BenchmarkVerdicts measures deriving the verdict on one server from the records of 300 routers.
func BenchmarkVerdicts(b *testing.B) {
	table := NewTable(DefaultSettings(), "me")
	table.SetMembers(makeMembers(300, 3))
	now := time.Hour
	for i, m := range makeMembers(300, 3) {
		r := Record{Observer: m.Name, Zone: m.Zone, Incarnation: 1, Seq: 1, Key: Key{"s0", 0}, GoodAt: now - time.Second}
		if i%2 == 0 {
			r.Onset, r.BadAt = now-900*ms, now
		}
		table.merge(now, "o", r)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.invalidate(Key{"s0", 0}) // new evidence has arrived
		table.Verdicts(now)
	}
}

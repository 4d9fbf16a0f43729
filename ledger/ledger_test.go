package ledger

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

const minute = int64(60_000)

var (
	testSettings = Settings{Router: "n0", Length: minute, Grace: 10_000, UnknownTimeout: 90_000}
	testClasses  = map[string]Class{"voice": {Aim: time.Second, WorthMilli: 3000, LateWorthMilli: 500}}
)

// TestMain fixes the seed of the random tests, unless -rapid.seed gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		flag.Set("rapid.seed", "20261201")
	}
	os.Exit(m.Run())
}

// harness runs a Keeper as a router process does. It simulates the clocks and keeps the entries taken so far.
type harness struct {
	keeper     *Keeper
	wallMs     int64         // time of day, in milliseconds since the Unix epoch
	clock      time.Duration // the router's clock
	entries    []Entry
	maxEntries int
}

func newHarness(t require.TestingT, maxEntries int) *harness {
	d, err := NewDirectory(nil, []Rule{
		{Tenant: "lda", Numbers: []string{"92"}},
		{Tenant: "kda", Networks: []string{"10.4.0.0/16"}},
	})
	require.NoError(t, err)
	h := &harness{wallMs: 1_000 * minute, maxEntries: maxEntries}
	h.entries = NewInitializedState(testSettings).Checkpoint()
	h.startKeeper(d)
	return h
}

func (h *harness) state(t require.TestingT) *State {
	state := NewState()
	for i := range h.entries {
		require.NoError(t, state.Apply(&h.entries[i]))
	}
	return state
}

func (h *harness) startKeeper(d *Directory) {
	state := NewState()
	for i := range h.entries {
		if err := state.Apply(&h.entries[i]); err != nil {
			panic(err)
		}
	}
	h.keeper = NewKeeper(KeeperConfig{Classes: testClasses, Tenants: d, WallClock: func() int64 { return h.wallMs },
		MaxEntries: h.maxEntries}, state)
}

// crash starts a new Keeper from the entries taken so far.
func (h *harness) crash() { h.startKeeper(h.keeper.cfg.Tenants) }

func (h *harness) takeEntries() { h.entries = append(h.entries, h.keeper.Take(nil)...) }

func (h *harness) advance(ms int64) {
	h.wallMs += ms
	h.clock += time.Duration(ms) * time.Millisecond
}

func (h *harness) observe(kind router.Kind, call string, event router.Event) {
	event.Kind, event.Call, event.At = kind, call, h.clock
	h.keeper.Observe(event)
}

func (h *harness) arrive(call string) {
	h.observe(router.Arrived, call, router.Event{Class: "voice", Number: "92421"})
}

// establish sets up a call at s0.
func (h *harness) establish(call string) {
	h.arrive(call)
	h.observe(router.Sent, call, router.Event{Server: "s0"})
	h.observe(router.Established, call, router.Event{Server: "s0"})
}

func (h *harness) finish(call string, outcome threadglade.Outcome) {
	h.observe(router.Ended, call, router.Event{Outcome: outcome})
	h.observe(router.Closed, call, router.Event{})
}

// statements collects the entries as an exporter does.
func (h *harness) statements(t require.TestingT) (list []*Statement, c *Collector) {
	c = NewCollector(func(s *Statement) error { list = append(list, s); return nil })
	for i := range h.entries {
		require.NoError(t, c.Add(&h.entries[i]))
	}
	return list, c
}

// total sums up the usage in statements, late usage included, and the usage that no statement contains yet.
func total(list []*Statement, c *Collector) (u Usage) {
	open, late := c.Pending()
	for _, s := range append(list, open...) {
		for _, v := range s.Totals {
			u.Add(v)
		}
		for _, m := range s.Late {
			for _, v := range m {
				u.Add(v)
			}
		}
	}
	for _, m := range late {
		for _, v := range m {
			u.Add(v)
		}
	}
	return u
}

// TestCallOutcomes guards against a wrong count, or a count in the wrong period, for each way a call can end.
func TestCallOutcomes(t *testing.T) {
	lda := Key{"lda", "voice"}
	for name, c := range map[string]struct {
		run  func(h *harness)
		want map[int64]map[string]int64 // by the period's start in minutes since the test's start
	}{
		"established and concluded": {func(h *harness) {
			h.establish("a")
			h.advance(1234)
			h.finish("a", threadglade.Concluded)
		}, map[int64]map[string]int64{0: {"offered": 1, "stood_in_time": 1, "concluded": 1, "held_ms": 1234,
			"worth_milli": 3000}}},
		"counted in the period in which it ends": {func(h *harness) {
			h.establish("a")
			h.advance(2*minute + 500)
			h.finish("a", threadglade.Cancelled)
		}, map[int64]map[string]int64{2: {"offered": 1, "stood_in_time": 1, "concluded": 1, "held_ms": 2*minute + 500,
			"worth_milli": 3000}}},
		"established late and cut": {func(h *harness) {
			h.arrive("a")
			h.observe(router.Sent, "a", router.Event{Server: "s0"})
			h.observe(router.AttemptEnded, "a", router.Event{Outcome: threadglade.Rejected})
			h.advance(1001)
			h.observe(router.Sent, "a", router.Event{Server: "s1", Attempt: 1})
			h.observe(router.Established, "a", router.Event{})
			h.finish("a", threadglade.Cut)
		}, map[int64]map[string]int64{0: {"offered": 1, "stood_late": 1, "rejected": 1, "cut": 1}}},
		"established late": {func(h *harness) {
			h.arrive("a")
			h.observe(router.Sent, "a", router.Event{Server: "s0"})
			h.advance(1001)
			h.observe(router.Established, "a", router.Event{})
			h.finish("a", threadglade.Concluded)
		}, map[int64]map[string]int64{0: {"offered": 1, "stood_late": 1, "concluded": 1, "worth_milli": 500}}},
		"repeat, refused without an attempt": {func(h *harness) {
			h.observe(router.Arrived, "a", router.Event{Class: "voice", Number: "921", Retry: true})
			h.observe(router.Refused, "a", router.Event{})
			h.observe(router.Closed, "a", router.Event{})
		}, map[int64]map[string]int64{0: {"offered": 1, "repeats": 1, "refused": 1}}},
		"abandoned with an attempt in flight": {func(h *harness) {
			h.arrive("a")
			h.observe(router.Sent, "a", router.Event{Server: "s0"})
			h.observe(router.CallerLeft, "a", router.Event{})
			h.observe(router.AttemptEnded, "a", router.Event{Outcome: threadglade.Cancelled})
			h.observe(router.Closed, "a", router.Event{})
		}, map[int64]map[string]int64{0: {"offered": 1, "left": 1, "cancelled": 1}}},
		"established at a server, but the answer was lost": {func(h *harness) {
			h.arrive("a")
			h.observe(router.Sent, "a", router.Event{Server: "s0"})
			h.observe(router.OrphanedCall, "a", router.Event{})
			h.observe(router.Failed, "a", router.Event{})
			h.observe(router.AttemptEnded, "a", router.Event{Outcome: threadglade.Cancelled})
			h.observe(router.Closed, "a", router.Event{})
		}, map[int64]map[string]int64{0: {"offered": 1, "failed": 1, "ghosts": 1, "cancelled": 1}}},
		"never ends": {func(h *harness) {
			h.establish("a")
			h.advance(minute)
		}, nil},
		"established before a crash, released after it": {func(h *harness) {
			h.establish("a")
			h.takeEntries()
			h.crash()
			h.advance(minute)
			h.observe(router.UnknownServerRelease, "a", router.Event{Outcome: threadglade.Concluded})
			// The server repeats the release on its next connection.
			h.observe(router.UnknownServerRelease, "a", router.Event{Outcome: threadglade.Concluded})
		}, map[int64]map[string]int64{1: {"offered": 1, "stood_in_time": 1, "recovered": 1, "concluded": 1,
			"held_ms": minute, "worth_milli": 3000}}},
		"answer not recorded before a crash, released after it": {func(h *harness) {
			h.arrive("a")
			h.observe(router.Sent, "a", router.Event{Server: "s0"})
			h.takeEntries()
			h.crash()
			h.observe(router.UnknownServerRelease, "a", router.Event{Outcome: threadglade.Cut})
		}, map[int64]map[string]int64{0: {"offered": 1, "stood_late": 1, "recovered": 1, "cut": 1}}},
		"released by its caller after a crash": {func(h *harness) {
			h.establish("a")
			h.takeEntries()
			h.crash()
			h.observe(router.UnknownCallerRelease, "a", router.Event{Outcome: threadglade.Cancelled})
		}, map[int64]map[string]int64{0: {"offered": 1, "stood_in_time": 1, "recovered": 1, "concluded": 1,
			"worth_milli": 3000}}},
		"never released after a crash": {func(h *harness) {
			h.establish("a")
			h.takeEntries()
			h.crash()
			h.takeEntries()
			h.crash() // the call survives a second restart
			h.advance(90_000)
			h.keeper.Tick()
			// The call has been closed as unknown by now.
			h.observe(router.UnknownServerRelease, "a", router.Event{Outcome: threadglade.Concluded})
		}, map[int64]map[string]int64{1: {"offered": 1, "unknown": 1, "lost": 1}}},
		"release of an unknown call": {func(h *harness) {
			h.observe(router.UnknownServerRelease, "z", router.Event{Outcome: threadglade.Concluded})
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 0)
			c.run(h)
			h.takeEntries()
			list, collect := h.statements(t)
			open, late := collect.Pending()
			require.Empty(t, late)
			have := map[int64]map[string]int64{}
			for _, s := range append(list, open...) {
				if s.Totals[lda] != nil {
					have[s.From/minute-1000] = s.Totals[lda].Map()
				}
			}
			if c.want == nil {
				c.want = map[int64]map[string]int64{}
			}
			require.Equal(t, c.want, have)
		})
	}
}

// TestClock guards against periods stated twice or skipped, and calls counted twice or not at all, when the time of day
// jumps by up to 90 minutes.
func TestClock(t *testing.T) {
	h := newHarness(t, 0)
	calls := 0
	call := func() {
		id := fmt.Sprint(calls)
		calls++
		h.establish(id)
		h.finish(id, threadglade.Concluded)
		h.keeper.Tick()
		h.takeEntries()
	}
	for _, jump := range []int64{0, minute, 60 * minute, -60 * minute, minute, minute, -60 * minute, 30_000,
		90 * minute, minute, minute} {
		h.wallMs += jump
		call()
		if jump < 0 { // a restart while the clock is behind
			h.crash()
			call()
		}
	}
	h.advance(3 * minute)
	h.keeper.Tick()
	h.takeEntries()
	list, c := h.statements(t)
	last := list[0].From
	for i, s := range list {
		require.Equal(t, last, s.From)
		require.EqualValues(t, i+1, s.Sequence)
		last = s.To
	}
	require.Equal(t, testSettings.PeriodStart(h.keeper.Now()-testSettings.Grace), last)
	require.Less(t, len(list), 15, "periods without usage share a statement")
	sum := total(list, c)
	require.EqualValues(t, calls, sum[Offered])
}

// TestSpill guards against lost counts and lost open calls while the entry buffer is full: the totals kept instead have
// to add up, and open calls have to survive a restart.
func TestSpill(t *testing.T) {
	h := newHarness(t, 40)
	h.establish("before")
	h.takeEntries()
	for i := range 100 {
		id := fmt.Sprint(i)
		h.establish(id)
		if i%10 != 0 {
			h.finish(id, threadglade.Concluded)
		}
	}
	require.LessOrEqual(t, h.keeper.Counters().Waiting, 45)
	require.NotZero(t, h.keeper.Counters().Spilled)
	h.finish("before", threadglade.Concluded)
	h.advance(2 * minute) // longer than the grace: spilled totals become late usage
	h.keeper.Tick()
	h.takeEntries()
	require.Len(t, h.state(t).Calls, 10)
	h.crash()
	for i := range 10 {
		h.observe(router.UnknownServerRelease, fmt.Sprint(10*i), router.Event{Outcome: threadglade.Concluded})
	}
	h.takeEntries()
	list, c := h.statements(t)
	sum := total(list, c)
	require.EqualValues(t, 101, sum[Offered])
	require.EqualValues(t, 101, sum[EstablishedInTime])
	require.EqualValues(t, 10, sum[Recovered])
	_, late := c.Pending()
	require.NotEmpty(t, late)
	require.Empty(t, h.state(t).Calls)
}

// TestTakenOver guards against double counting when routers take over calls. Of three calls open at a crash, another
// router has taken over one, and a release arrives for two before that is known. A fourth call is taken over from
// another router, a fifth is relinquished while it is established. Each must be counted once, or not at all if it is
// another router's.
func TestTakenOver(t *testing.T) { checkTakenOver(t) }

func checkTakenOver(t require.TestingT) {
	h := newHarness(t, 0)
	ids := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	for _, id := range ids {
		h.establish(id)
	}
	h.takeEntries()
	h.crash()
	require.Equal(t, ids, h.keeper.SuspendOpenCalls())
	h.observe(router.UnknownServerRelease, ids[0], router.Event{Outcome: threadglade.Concluded})
	h.observe(router.UnknownServerRelease, ids[1], router.Event{Outcome: threadglade.Concluded})
	require.Zero(t, h.keeper.Counters().Recovered, "it is not known yet which router they belong to")
	h.keeper.ResumeOpenCalls([]string{ids[1]})
	require.Equal(t, uint64(1), h.keeper.Counters().Recovered)
	h.observe(router.UnknownServerRelease, ids[2], router.Event{Outcome: threadglade.Cut})

	taken := TakenOverCall{ID: "00000000000000b1", Tenant: "kda", Class: "voice", Server: "s9", InTime: true,
		EstablishedAt: h.wallMs - 500}
	require.True(t, h.keeper.Adopt(taken))
	require.False(t, h.keeper.Adopt(taken), "it is in the ledger already")
	h.takeEntries()
	h.crash() // a call taken over has to survive a crash, too
	h.observe(router.UnknownServerRelease, taken.ID, router.Event{Outcome: threadglade.Concluded})

	h.establish("00000000000000c1")
	h.observe(router.Relinquished, "00000000000000c1", router.Event{})
	h.finish("00000000000000c1", threadglade.Cancelled) // sent when the router relinquishes the call: not its end
	h.takeEntries()
	require.Len(t, h.state(t).Calls, 1)
	h.keeper.RemoveCall(CallKey("00000000000000c1"))
	h.takeEntries()
	require.Empty(t, h.state(t).Calls)
	h.advance(2 * minute)
	h.keeper.Tick()
	h.takeEntries()
	list, c := h.statements(t)
	u := total(list, c)
	require.NoError(t, u.CheckBalance())
	require.Equal(t, int64(3), u[Offered], "two calls of its own and the one taken over")
	require.Equal(t, int64(3), u[EstablishedInTime])
	require.Equal(t, int64(2), u[Concluded])
	require.Equal(t, int64(1), u[Cut])
	require.Zero(t, u[Unknown])
}

// TestTrim guards against losing the names of open calls, or keeping others, when a restart compacts the names.
func TestTrim(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 50 {
		id := fmt.Sprint(i)
		h.arrive(id)
		h.observe(router.Sent, id, router.Event{Server: "s" + id})
		h.observe(router.Established, id, router.Event{})
		if i != 30 {
			h.finish(id, threadglade.Concluded)
		}
	}
	h.takeEntries()
	state := h.state(t)
	require.Len(t, state.Names, 53)
	state.CompactNames()
	require.ElementsMatch(t, []string{"", "lda", "voice", "s30"}, state.Names)
	again := NewState()
	for _, e := range state.Checkpoint() {
		require.NoError(t, again.Apply(&e))
	}
	c := again.Calls[CallKey("30")]
	require.Equal(t, []string{"lda", "voice", "s30"},
		[]string{again.Name(c.Tenant), again.Name(c.Class), again.Name(c.Server)})
}

// TestHistories runs random calls, waits, clock jumps and crashes, and compares the totals with an independent count.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, rapid.SampledFrom([]int{0, 15}).Draw(t, "maxEntries"))
		var offered, establishedCount, recovered int64
		next := 0
		// Calls of this process that are established or unanswered, and calls of earlier processes.
		established, pending, earlier := map[string]bool{}, map[string]bool{}, map[string]bool{}
		pick := func(m map[string]bool) string {
			ids := make([]string, 0, len(m))
			for id := range m {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			id := rapid.SampledFrom(ids).Draw(t, "call")
			delete(m, id)
			return id
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 3:
				id := fmt.Sprint(next)
				next++
				offered++
				h.arrive(id)
				h.observe(router.Sent, id, router.Event{Server: "s0"})
				pending[id] = true
			case action == 3 && len(pending) > 0:
				id := pick(pending)
				h.observe(router.Established, id, router.Event{})
				establishedCount++
				established[id] = true
			case action == 4 && len(pending) > 0:
				id := pick(pending)
				h.observe(router.AttemptEnded, id, router.Event{Outcome: threadglade.TimedOut})
				h.observe(router.Failed, id, router.Event{})
				h.observe(router.Closed, id, router.Event{})
			case action == 5 && len(established) > 0:
				h.finish(pick(established), threadglade.Concluded)
			case action == 6 && len(earlier) > 0:
				h.observe(router.UnknownServerRelease, pick(earlier), router.Event{Outcome: threadglade.Concluded})
				recovered++
			case action == 7:
				h.advance(rapid.Int64Range(0, minute).Draw(t, "ms"))
				h.wallMs += rapid.SampledFrom([]int64{0, 0, 0, 60 * minute, -60 * minute}).Draw(t, "jump")
				h.keeper.Tick()
				for id := range earlier {
					if h.keeper.earlier[CallKey(id)] == nil {
						delete(earlier, id) // closed as unknown
					}
				}
			case action == 8:
				h.takeEntries()
			case action == 9:
				h.takeEntries()
				for id := range established {
					earlier[id] = true
					establishedCount--
				}
				for id := range pending {
					earlier[id] = true
				}
				clear(established)
				clear(pending)
				h.crash()
			}
		}
		h.takeEntries()
		list, c := h.statements(t)
		sum := total(list, c)
		require.Equal(t, offered-int64(len(established)+len(pending)+len(earlier)), sum[Offered], "%v", sum.Map())
		require.Equal(t, establishedCount-int64(len(established))+recovered,
			sum[EstablishedInTime]+sum[EstablishedLate])
		require.Equal(t, recovered, sum[Recovered])
		require.NoError(t, sum.CheckBalance())
		// The checkpoint restores the same state.
		state, again := h.state(t), NewState()
		for _, e := range state.Checkpoint() {
			require.NoError(t, again.Apply(&e))
		}
		again.Entries, state.freeCalls = state.Entries, nil
		require.Equal(t, state, again)
		last := int64(0)
		for i, s := range list {
			if i > 0 {
				require.Equal(t, last, s.From)
			}
			last = s.To
		}
	})
}

func drawEntry(t *rapid.T) Entry {
	e := Entry{
		Kind:     EntryKind(rapid.IntRange(int(KindCheckpointBegin), int(KindUsedPeriod)).Draw(t, "kind")),
		At:       rapid.Int64Min(0).Draw(t, "at"),
		Call:     rapid.Uint64().Draw(t, "call"),
		Tenant:   rapid.Uint32().Draw(t, "tenant"),
		Class:    rapid.Uint32().Draw(t, "class"),
		Attempt:  rapid.Uint32().Draw(t, "attempt"),
		Retry:    rapid.Bool().Draw(t, "retry"),
		Text:     rapid.String().Draw(t, "text"),
		Period:   rapid.Int64().Draw(t, "period"),
		Sequence: rapid.Uint64().Draw(t, "sequence"),
	}
	for f := range e.Usage {
		e.Usage[f] = rapid.Int64().Draw(t, "usage")
	}
	return e
}

// TestEntryForm guards against entries that are decoded differently from how they were encoded.
func TestEntryForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "entries")
		var b []byte
		for i := range list {
			b = list[i].Append(b)
		}
		have := []Entry{}
		require.NoError(t, Decode(b, func(e *Entry) error { have = append(have, *e); return nil }))
		require.Equal(t, list, have)
	})
}

// FuzzDecode guards against panics on malformed entries.
func FuzzDecode(f *testing.F) {
	f.Add((&Entry{Kind: KindEnd, Call: 7, Usage: Usage{Offered: 1, Abandoned: 1}}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		state := NewState()
		Decode(b, state.Apply)
	})
}

// drawExport returns a random export whose figures balance, and its calls.
func drawExport(t *rapid.T) (*Export, []uint64) {
	s := &Statement{Sequence: uint64(rapid.IntRange(1, 4).Draw(t, "sequence")), Totals: map[Key]*Usage{},
		Late: map[int64]map[Key]*Usage{}}
	s.From = minute * (1000 + int64(s.Sequence))
	s.To = s.From + minute
	for range rapid.IntRange(0, 3).Draw(t, "lines") {
		n := rapid.Int64Range(1, 9).Draw(t, "n")
		s.Totals[Key{rapid.SampledFrom([]string{"lda", "kda"}).Draw(t, "tenant"), "voice"}] =
			&Usage{Offered: n, Refused: n}
	}
	if rapid.Bool().Draw(t, "late") {
		s.Late[minute*1000] = map[Key]*Usage{{"lda", "voice"}: {Offered: 1, Abandoned: 1}}
	}
	s.Calls = rapid.SliceOfDistinct(rapid.Uint64Range(0, 50), rapid.ID).Draw(t, "calls")
	slices.Sort(s.Calls)
	e, calls := NewExport(Settings{Router: rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "router"), Length: minute},
		s, nil)
	e.Encode(calls, func(uint16, []byte) error { return nil })
	return e, calls
}

func drawMerged(t *rapid.T) Merged {
	m := Merged{}
	for range rapid.IntRange(0, 4).Draw(t, "exports") {
		e, _ := drawExport(t)
		m = Join(m, Merge(e))
	}
	return m
}

// TestJoin guards against a result that depends on the order, grouping or repetition of joins.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMerged(t), drawMerged(t), drawMerged(t)
		requireSame := func(x, y Merged) {
			require.Equal(t, x.Exports(), y.Exports())
			require.Equal(t, x.Rows(), y.Rows())
			require.Equal(t, x.Findings(), y.Findings())
		}
		requireSame(Join(a, b), Join(b, a))
		requireSame(Join(Join(a, b), c), Join(a, Join(b, c)))
		requireSame(Join(a, a), a)
		requireSame(Join(a, Merged{}), a)
	})
}

type frameList struct {
	kinds    []uint16
	payloads [][]byte
}

func (f *frameList) put(kind uint16, b []byte) error {
	f.kinds, f.payloads = append(f.kinds, kind), append(f.payloads, bytes.Clone(b))
	return nil
}

func (f *frameList) reader() func() (uint16, []byte, error) {
	i := -1
	return func() (uint16, []byte, error) {
		if i++; i >= len(f.kinds) {
			return 0, nil, io.EOF
		}
		return f.kinds[i], f.payloads[i], nil
	}
}

// TestExportForm guards against exports that are decoded differently, encoding that is not deterministic, and flipped
// bits that go undetected.
func TestExportForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, calls := drawExport(t)
		var one, two frameList
		require.NoError(t, e.Encode(calls, one.put))
		require.NoError(t, e.Encode(calls, two.put))
		require.Equal(t, one, two)
		decodedCalls := []uint64{}
		decoded, err := DecodeExport(one.reader(), func(part []uint64) error {
			decodedCalls = append(decodedCalls, part...)
			return nil
		})
		require.NoError(t, err)
		require.Equal(t, e, decoded)
		require.Equal(t, calls, decodedCalls)
		i := rapid.IntRange(0, len(one.payloads)-1).Draw(t, "frame")
		j := rapid.IntRange(0, len(one.payloads[i])-1).Draw(t, "byte")
		one.payloads[i][j] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		_, err = DecodeExport(one.reader(), nil)
		require.Error(t, err)
	})
}

// TestFindings guards against missing and false findings for gaps, duplicates, overlaps and corrections, and for calls
// listed by two exports.
func TestFindings(t *testing.T) {
	export := func(router string, seq, from, to int64, calls ...uint64) *Export {
		e, c := NewExport(Settings{Router: router, Length: minute}, &Statement{Sequence: uint64(seq),
			From: from * minute, To: to * minute,
			Totals: map[Key]*Usage{{"lda", "voice"}: {Offered: seq, Abandoned: seq}}, Calls: calls}, nil)
		require.NoError(t, e.Encode(c, func(uint16, []byte) error { return nil }))
		return e
	}
	kinds := func(list ...*Export) (kinds []string) {
		m := Merged{}
		for _, e := range list {
			m = Join(m, Merge(e))
		}
		for _, f := range m.Findings() {
			kinds = append(kinds, f.Kind)
		}
		return kinds
	}
	require.Empty(t, kinds(export("n0", 1, 10, 11), export("n0", 2, 11, 15), export("n1", 7, 11, 12),
		export("n0", 2, 11, 15)))
	require.Equal(t, []string{"gap"}, kinds(export("n0", 1, 10, 11), export("n0", 3, 12, 13)))
	require.Equal(t, []string{"gap"}, kinds(export("n0", 1, 10, 11), export("n0", 2, 12, 13)))
	require.Equal(t, []string{"twice"}, kinds(export("n0", 1, 10, 11), export("n0", 1, 10, 12)))
	require.Equal(t, []string{"overlap"}, kinds(export("n0", 1, 10, 12), export("n0", 2, 11, 12)))
	corrected := export("n0", 2, 11, 12)
	corrected.Corrections = []Correction{{Number: 1, Period: 3 * minute, Tenant: "lda", Class: "voice",
		Field: "left", Delta: -1}}
	require.Equal(t, []string{"stray"}, kinds(export("n0", 1, 10, 11), corrected))

	var duplicates []string
	n, err := FindDuplicateCalls(
		[]CallSource{&callParts{{1, 5}, {9}}, &callParts{{2, 3}, {5, 7}}, &callParts{}, &callParts{{9}}},
		func(call uint64, one, other int) {
			duplicates = append(duplicates, fmt.Sprint(call, min(one, other), max(one, other)))
		})
	require.NoError(t, err)
	require.EqualValues(t, 8, n)
	require.Equal(t, []string{"5 0 1", "9 0 3"}, duplicates)
}

type callParts [][]uint64

func (l *callParts) Next() (part []uint64, err error) {
	if len(*l) > 0 {
		part, *l = (*l)[0], (*l)[1:]
	}
	return part, nil
}

// TestDirectory guards against wrong tenants, wrong precedence, accepted conflicting rules and allocating look-ups.
func TestDirectory(t *testing.T) {
	rules := []Rule{
		{
			Tenant:     "lda",
			Networks:   []string{"10.4.0.0/16", "fd00::/8"},
			Identities: []string{"spiffe://b.example/lda/*"},
			Numbers:    []string{"9242"},
		},
		{
			Tenant:     "kda",
			Networks:   []string{"10.4.7.0/24", "10.4.0.9"},
			Identities: []string{"spiffe://b.example/lda/kda"},
			Numbers:    []string{"92421"},
		},
	}
	d, err := NewDirectory(nil, rules)
	require.NoError(t, err)
	addr := netip.MustParseAddr
	for _, c := range []struct {
		stated, identity, caller, number, want string
	}{
		{"", "", "10.4.8.1", "", "lda"},
		{"", "", "10.4.7.1", "", "kda"},
		{"", "", "10.4.0.9", "", "kda"},
		{"", "", "::ffff:10.4.7.1", "", "kda"},
		{"", "", "fd00::1", "", "lda"},
		{"", "", "10.5.0.1", "", Unassigned},
		{"", "spiffe://b.example/lda/x", "10.4.7.1", "", "lda"},
		{"", "spiffe://b.example/lda/kda", "10.4.8.1", "", "kda"},
		{"", "spiffe://b.example/ldax", "10.4.7.1", "", "kda"},
		{"", "", "10.5.0.1", "92429", "lda"},
		{"", "", "10.5.0.1", "924211", "kda"},
		{"own", "spiffe://b.example/lda/x", "10.4.7.1", "9242", "own"},
	} {
		require.Equal(t, c.want, d.Tenant(c.stated, c.identity, addr(c.caller), c.number), "%v", c)
	}
	d, err = NewDirectory([]Source{ByNumber, ByNetwork}, rules)
	require.NoError(t, err)
	require.Equal(t, "kda", d.Tenant("own", "spiffe://b.example/lda/x", addr("10.4.8.1"), "92421"))
	for field, bad := range map[string][]Rule{
		"networks":   {rules[0], {Tenant: "x", Networks: []string{"10.4.0.0/16"}}},
		"identities": {{Tenant: "x", Identities: []string{"http://x"}}},
		"numbers":    {rules[0], {Tenant: "x", Numbers: []string{"9242"}}},
		"name":       {{Tenant: "x"}, {Tenant: "x"}},
	} {
		_, err := NewDirectory(nil, bad)
		var rule *RuleError
		require.True(t, errors.As(err, &rule), field)
		require.Equal(t, field, rule.Field)
	}
	_, err = NewDirectory(nil, []Rule{{Tenant: "x", Networks: []string{"10.4.0.1/16"}}})
	require.ErrorContains(t, err, "did you mean 10.4.0.0/16?")
	_, err = NewDirectory([]Source{"moon"}, nil)
	require.ErrorContains(t, err, "precedence")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		d.Tenant("", "spiffe://b.example/lda/x", addr("10.4.8.1"), "92421")
	}))
}

func manyRules(tenants int) (rules []Rule) {
	for i := range tenants {
		r := Rule{Tenant: fmt.Sprintf("t%05d", i), Numbers: []string{fmt.Sprintf("92%05d", i)}}
		for j := range 10 {
			r.Networks = append(r.Networks, fmt.Sprintf("10.%d.%d.%d/32", i>>8, i&255, j))
		}
		rules = append(rules, r)
	}
	return rules
}

// BenchmarkDirectory measures building a directory and looking up tenants.
func BenchmarkDirectory(b *testing.B) {
	for _, n := range []int{10, 10_000} {
		rules := manyRules(n)
		b.Run(fmt.Sprintf("load %d tenants", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := NewDirectory(nil, rules); err != nil {
					b.Fatal(err)
				}
			}
		})
		d, _ := NewDirectory(nil, rules)
		addr := netip.MustParseAddr("10.0.5.3")
		b.Run(fmt.Sprintf("network among %d tenants", n), func(b *testing.B) {
			for b.Loop() {
				d.Tenant("", "", addr, "")
			}
		})
		b.Run(fmt.Sprintf("number among %d tenants", n), func(b *testing.B) {
			for b.Loop() {
				d.Tenant("", "", netip.Addr{}, "920000512")
			}
		})
	}
}

// BenchmarkKeeper measures recording one call and encoding and applying its entries.
func BenchmarkKeeper(b *testing.B) {
	h := newHarness(b, 0)
	state := h.state(b)
	var out []Entry
	var buf []byte
	id := make([]string, 1024)
	for i := range id {
		id[i] = FormatCallKey(uint64(i))
	}
	bytes, i := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		h.establish(id[i&1023])
		h.finish(id[i&1023], threadglade.Concluded)
		if i++; i%10 == 0 {
			out = h.keeper.Take(out)
			buf = buf[:0]
			for j := range out {
				buf = out[j].Append(buf)
				state.Apply(&out[j])
			}
			bytes += len(buf)
		}
	}
	b.ReportMetric(float64(bytes)/float64(i), "bytes/call")
}

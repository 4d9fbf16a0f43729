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
	terms   = Terms{Router: "n0", Length: minute, Grace: 10_000, UnknownAfter: 90_000}
	classes = map[string]Class{"voice": {Aim: time.Second, WorthMilli: 3000, LateMilli: 500}}
)

// The same histories are drawn each time; -rapid.seed gives others.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		flag.Set("rapid.seed", "20261201")
	}
	os.Exit(m.Run())
}

// bench keeps a keeper as a process would, with its clock and the entries that it has given away.
type bench struct {
	keeper  *Keeper
	wall    int64         // time of day
	clock   time.Duration // the router's
	entries []Entry
	most    int
}

func newBench(t require.TestingT, most int) *bench {
	d, err := NewDirectory(nil, []Rule{{Tenant: "lda", Numbers: []string{"92"}}, {Tenant: "kda", Networks: []string{"10.4.0.0/16"}}})
	require.NoError(t, err)
	b := &bench{wall: 1_000 * minute, most: most}
	b.entries = StartBook(terms).Checkpoint()
	b.start(d)
	return b
}

func (b *bench) book(t require.TestingT) *Book {
	book := NewBook()
	for i := range b.entries {
		require.NoError(t, book.Apply(&b.entries[i]))
	}
	return book
}

func (b *bench) start(d *Directory) {
	book := NewBook()
	for i := range b.entries {
		if err := book.Apply(&b.entries[i]); err != nil {
			panic(err)
		}
	}
	b.keeper = NewKeeper(KeeperConfig{Classes: classes, Tenants: d, Wall: func() int64 { return b.wall }, Most: b.most}, book)
}

// crash begins another life with what was taken.
func (b *bench) crash() { b.start(b.keeper.cfg.Tenants) }

func (b *bench) take() { b.entries = append(b.entries, b.keeper.Take(nil)...) }

func (b *bench) wait(ms int64) {
	b.wall += ms
	b.clock += time.Duration(ms) * time.Millisecond
}

func (b *bench) tell(kind router.Kind, call string, more router.Event) {
	more.Kind, more.Call, more.At = kind, call, b.clock
	b.keeper.Observe(more)
}

func (b *bench) arrive(call string) {
	b.tell(router.Arrived, call, router.Event{Class: "voice", Number: "92421"})
}

// stand sets a call up at s0.
func (b *bench) stand(call string) {
	b.arrive(call)
	b.tell(router.Sent, call, router.Event{Server: "s0"})
	b.tell(router.Established, call, router.Event{Server: "s0"})
}

func (b *bench) finish(call string, how threadglade.Outcome) {
	b.tell(router.Ended, call, router.Event{Outcome: how})
	b.tell(router.Closed, call, router.Event{})
}

// statements reads the entries as an exporter does.
func (b *bench) statements(t require.TestingT) (list []*Statement, c *Collector) {
	c = NewCollector(func(s *Statement) error { list = append(list, s); return nil })
	for i := range b.entries {
		require.NoError(t, c.Take(&b.entries[i]))
	}
	return list, c
}

// total is all that was stated, stated late, or not yet.
func total(list []*Statement, c *Collector) (u Usage) {
	open, late := c.Unstated()
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

// TestEdges has a call in every way that it can go and asks for what is counted, and in which period.
func TestEdges(t *testing.T) {
	lda := Key{"lda", "voice"}
	for name, c := range map[string]struct {
		play func(b *bench)
		want map[int64]map[string]int64 // by minutes since the start
	}{
		"stands and is concluded": {func(b *bench) {
			b.stand("a")
			b.wait(1234)
			b.finish("a", threadglade.Concluded)
		}, map[int64]map[string]int64{0: {"offered": 1, "stood_in_time": 1, "concluded": 1, "held_ms": 1234, "worth_milli": 3000}}},
		"belongs to the period in which it ends, of three": {func(b *bench) {
			b.stand("a")
			b.wait(2*minute + 500)
			b.finish("a", threadglade.Cancelled)
		}, map[int64]map[string]int64{2: {"offered": 1, "stood_in_time": 1, "concluded": 1, "held_ms": 2*minute + 500, "worth_milli": 3000}}},
		"stands late and is cut": {func(b *bench) {
			b.arrive("a")
			b.tell(router.Sent, "a", router.Event{Server: "s0"})
			b.tell(router.AttemptEnded, "a", router.Event{Outcome: threadglade.Rejected})
			b.wait(1001)
			b.tell(router.Sent, "a", router.Event{Server: "s1", Attempt: 1})
			b.tell(router.Established, "a", router.Event{})
			b.finish("a", threadglade.Cut)
		}, map[int64]map[string]int64{0: {"offered": 1, "stood_late": 1, "rejected": 1, "cut": 1}}},
		"stands late": {func(b *bench) {
			b.arrive("a")
			b.tell(router.Sent, "a", router.Event{Server: "s0"})
			b.wait(1001)
			b.tell(router.Established, "a", router.Event{})
			b.finish("a", threadglade.Concluded)
		}, map[int64]map[string]int64{0: {"offered": 1, "stood_late": 1, "concluded": 1, "worth_milli": 500}}},
		"is refused without an attempt, as a repeat": {func(b *bench) {
			b.tell(router.Arrived, "a", router.Event{Class: "voice", Number: "921", Retry: true})
			b.tell(router.Refused, "a", router.Event{})
			b.tell(router.Closed, "a", router.Event{})
		}, map[int64]map[string]int64{0: {"offered": 1, "repeats": 1, "refused": 1}}},
		"is left with an attempt out": {func(b *bench) {
			b.arrive("a")
			b.tell(router.Sent, "a", router.Event{Server: "s0"})
			b.tell(router.CallerLeft, "a", router.Event{})
			b.tell(router.AttemptEnded, "a", router.Event{Outcome: threadglade.Cancelled})
			b.tell(router.Closed, "a", router.Event{})
		}, map[int64]map[string]int64{0: {"offered": 1, "left": 1, "cancelled": 1}}},
		"stood where its answer was lost": {func(b *bench) {
			b.arrive("a")
			b.tell(router.Sent, "a", router.Event{Server: "s0"})
			b.tell(router.OrphanedCall, "a", router.Event{})
			b.tell(router.Failed, "a", router.Event{})
			b.tell(router.AttemptEnded, "a", router.Event{Outcome: threadglade.Cancelled})
			b.tell(router.Closed, "a", router.Event{})
		}, map[int64]map[string]int64{0: {"offered": 1, "failed": 1, "ghosts": 1, "cancelled": 1}}},
		"never ends": {func(b *bench) { b.stand("a"); b.wait(minute) }, nil},
		"stood before a crash, released after it": {func(b *bench) {
			b.stand("a")
			b.take()
			b.crash()
			b.wait(minute)
			b.tell(router.UnknownServerRelease, "a", router.Event{Outcome: threadglade.Concluded})
			b.tell(router.UnknownServerRelease, "a", router.Event{Outcome: threadglade.Concluded}) // again, on the next connection
		}, map[int64]map[string]int64{1: {"offered": 1, "stood_in_time": 1, "recovered": 1, "concluded": 1, "held_ms": minute, "worth_milli": 3000}}},
		"answered as the crash came, released after it": {func(b *bench) {
			b.arrive("a")
			b.tell(router.Sent, "a", router.Event{Server: "s0"})
			b.take()
			b.crash()
			b.tell(router.UnknownServerRelease, "a", router.Event{Outcome: threadglade.Cut})
		}, map[int64]map[string]int64{0: {"offered": 1, "stood_late": 1, "recovered": 1, "cut": 1}}},
		"released by its caller after a crash": {func(b *bench) {
			b.stand("a")
			b.take()
			b.crash()
			b.tell(router.UnknownCallerRelease, "a", router.Event{Outcome: threadglade.Cancelled})
		}, map[int64]map[string]int64{0: {"offered": 1, "stood_in_time": 1, "recovered": 1, "concluded": 1, "worth_milli": 3000}}},
		"cut off by a crash for good": {func(b *bench) {
			b.stand("a")
			b.take()
			b.crash()
			b.take()
			b.crash() // and once more
			b.wait(90_000)
			b.keeper.Tick()
			b.tell(router.UnknownServerRelease, "a", router.Event{Outcome: threadglade.Concluded}) // after it was closed
		}, map[int64]map[string]int64{1: {"offered": 1, "unknown": 1, "lost": 1}}},
		"a release of nobody's call": {func(b *bench) {
			b.tell(router.UnknownServerRelease, "z", router.Event{Outcome: threadglade.Concluded})
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 0)
			c.play(b)
			b.take()
			list, collect := b.statements(t)
			open, late := collect.Unstated()
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

// TestClock has the time of day jump by an hour: no time is stated twice or skipped, and every call once.
func TestClock(t *testing.T) {
	b := newBench(t, 0)
	calls := 0
	call := func() {
		id := fmt.Sprint(calls)
		calls++
		b.stand(id)
		b.finish(id, threadglade.Concluded)
		b.keeper.Tick()
		b.take()
	}
	for _, jump := range []int64{0, minute, 60 * minute, -60 * minute, minute, minute, -60 * minute, 30_000, 90 * minute, minute, minute} {
		b.wall += jump
		call()
		if jump < 0 { // a restart while the clock is behind
			b.crash()
			call()
		}
	}
	b.wait(3 * minute)
	b.keeper.Tick()
	b.take()
	list, c := b.statements(t)
	last := list[0].From
	for i, s := range list {
		require.Equal(t, last, s.From)
		require.EqualValues(t, i+1, s.Sequence)
		last = s.To
	}
	require.Equal(t, terms.Start(b.keeper.Now()-terms.Grace), last)
	require.Less(t, len(list), 15, "periods without use are stated together")
	sum := total(list, c)
	require.EqualValues(t, calls, sum[Offered])
}

// TestSpill lets entries pile up: totals stand in for them and come to the same, and calls that were out are known to
// the next life.
func TestSpill(t *testing.T) {
	b := newBench(t, 40)
	b.stand("before")
	b.take()
	for i := range 100 {
		id := fmt.Sprint(i)
		b.stand(id)
		if i%10 != 0 {
			b.finish(id, threadglade.Concluded)
		}
	}
	require.LessOrEqual(t, b.keeper.Counters().Waiting, 45)
	require.NotZero(t, b.keeper.Counters().Spilled)
	b.finish("before", threadglade.Concluded)
	b.wait(2 * minute) // longer than the grace: what was spilled is stated late
	b.keeper.Tick()
	b.take()
	require.Len(t, b.book(t).Calls, 10)
	b.crash()
	for i := range 10 {
		b.tell(router.UnknownServerRelease, fmt.Sprint(10*i), router.Event{Outcome: threadglade.Concluded})
	}
	b.take()
	list, c := b.statements(t)
	sum := total(list, c)
	require.EqualValues(t, 101, sum[Offered])
	require.EqualValues(t, 101, sum[StoodInTime])
	require.EqualValues(t, 10, sum[Recovered])
	_, late := c.Unstated()
	require.NotEmpty(t, late)
	require.Empty(t, b.book(t).Calls)
}

// TestTaken: of three calls open at a crash another router has taken one; of the two others the end of one came while that was not known. A fourth is taken over from another, a fifth let go while it
// stood. Each is counted once, or not at all where it is another's.
func TestTaken(t *testing.T) { taken(t) }

func taken(t require.TestingT) {
	b := newBench(t, 0)
	ids := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	for _, id := range ids {
		b.stand(id)
	}
	b.take()
	b.crash()
	require.Equal(t, ids, b.keeper.Sleep())
	b.tell(router.UnknownServerRelease, ids[0], router.Event{Outcome: threadglade.Concluded})
	b.tell(router.UnknownServerRelease, ids[1], router.Event{Outcome: threadglade.Concluded})
	require.Zero(t, b.keeper.Counters().Recovered, "nobody knows yet whose they are")
	b.keeper.Wake([]string{ids[1]})
	require.Equal(t, uint64(1), b.keeper.Counters().Recovered)
	b.tell(router.UnknownServerRelease, ids[2], router.Event{Outcome: threadglade.Cut})

	taken := Taken{ID: "00000000000000b1", Tenant: "kda", Class: "voice", Server: "s9", InTime: true, Stood: b.wall - 500}
	require.True(t, b.keeper.Adopt(taken))
	require.False(t, b.keeper.Adopt(taken), "it is in the books")
	b.take()
	b.crash() // what was taken over outlives this router, too
	b.tell(router.UnknownServerRelease, taken.ID, router.Event{Outcome: threadglade.Concluded})

	b.stand("00000000000000c1")
	b.tell(router.Relinquished, "00000000000000c1", router.Event{})
	b.finish("00000000000000c1", threadglade.Cancelled) // as its router lets go: no end
	b.take()
	require.Len(t, b.book(t).Calls, 1)
	b.keeper.Drop(CallKey("00000000000000c1"))
	b.take()
	require.Empty(t, b.book(t).Calls)
	b.wait(2 * minute)
	b.keeper.Tick()
	b.take()
	list, c := b.statements(t)
	u := total(list, c)
	require.NoError(t, u.Balance())
	require.Equal(t, int64(3), u[Offered], "two of its own and the one taken over")
	require.Equal(t, int64(3), u[StoodInTime])
	require.Equal(t, int64(2), u[Concluded])
	require.Equal(t, int64(1), u[Cut])
	require.Zero(t, u[Unknown])
}

// TestTrim: a new life keeps the names of calls that are open, and no others.
func TestTrim(t *testing.T) {
	b := newBench(t, 0)
	for i := range 50 {
		id := fmt.Sprint(i)
		b.arrive(id)
		b.tell(router.Sent, id, router.Event{Server: "s" + id})
		b.tell(router.Established, id, router.Event{})
		if i != 30 {
			b.finish(id, threadglade.Concluded)
		}
	}
	b.take()
	book := b.book(t)
	require.Len(t, book.Names, 53)
	book.Trim()
	require.ElementsMatch(t, []string{"", "lda", "voice", "s30"}, book.Names)
	again := NewBook()
	for _, e := range book.Checkpoint() {
		require.NoError(t, again.Apply(&e))
	}
	c := again.Calls[CallKey("30")]
	require.Equal(t, []string{"lda", "voice", "s30"}, []string{again.Name(c.Tenant), again.Name(c.Class), again.Name(c.Server)})
}

// TestHistories plays random calls, waits, clock jumps and crashes, and compares with a count on the side.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t, rapid.SampledFrom([]int{0, 15}).Draw(t, "most"))
		var offered, stood, before int64
		next := 0
		up, out, old := map[string]bool{}, map[string]bool{}, map[string]bool{} // standing, unanswered, of lives before
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
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 3:
				id := fmt.Sprint(next)
				next++
				offered++
				b.arrive(id)
				b.tell(router.Sent, id, router.Event{Server: "s0"})
				out[id] = true
			case what == 3 && len(out) > 0:
				id := pick(out)
				b.tell(router.Established, id, router.Event{})
				stood++
				up[id] = true
			case what == 4 && len(out) > 0:
				id := pick(out)
				b.tell(router.AttemptEnded, id, router.Event{Outcome: threadglade.TimedOut})
				b.tell(router.Failed, id, router.Event{})
				b.tell(router.Closed, id, router.Event{})
			case what == 5 && len(up) > 0:
				b.finish(pick(up), threadglade.Concluded)
			case what == 6 && len(old) > 0:
				b.tell(router.UnknownServerRelease, pick(old), router.Event{Outcome: threadglade.Concluded})
				before++
			case what == 7:
				b.wait(rapid.Int64Range(0, minute).Draw(t, "ms"))
				b.wall += rapid.SampledFrom([]int64{0, 0, 0, 60 * minute, -60 * minute}).Draw(t, "jump")
				b.keeper.Tick()
				for id := range old {
					if b.keeper.old[CallKey(id)] == nil {
						delete(old, id) // closed as unknown
					}
				}
			case what == 8:
				b.take()
			case what == 9:
				b.take()
				for id := range up {
					old[id] = true
					stood--
				}
				for id := range out {
					old[id] = true
				}
				clear(up)
				clear(out)
				b.crash()
			}
		}
		b.take()
		list, c := b.statements(t)
		sum := total(list, c)
		require.Equal(t, offered-int64(len(up)+len(out)+len(old)), sum[Offered], "%v", sum.Map())
		require.Equal(t, stood-int64(len(up))+before, sum[StoodInTime]+sum[StoodLate])
		require.Equal(t, before, sum[Recovered])
		require.NoError(t, sum.Balance())
		// A book made anew of its own checkpoint is the same.
		book, again := b.book(t), NewBook()
		for _, e := range book.Checkpoint() {
			require.NoError(t, again.Apply(&e))
		}
		again.Entries, book.free = book.Entries, nil
		require.Equal(t, book, again)
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
	e := Entry{Kind: EntryKind(rapid.IntRange(int(Begin), int(Used)).Draw(t, "kind")), At: rapid.Int64Min(0).Draw(t, "at"),
		Call: rapid.Uint64().Draw(t, "call"), Tenant: rapid.Uint32().Draw(t, "tenant"), Class: rapid.Uint32().Draw(t, "class"),
		Attempt: rapid.Uint32().Draw(t, "attempt"), Retry: rapid.Bool().Draw(t, "retry"), Text: rapid.String().Draw(t, "text"),
		Period: rapid.Int64().Draw(t, "period"), Sequence: rapid.Uint64().Draw(t, "sequence")}
	for f := range e.Usage {
		e.Usage[f] = rapid.Int64().Draw(t, "usage")
	}
	return e
}

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

func FuzzDecode(f *testing.F) {
	f.Add((&Entry{Kind: End, Call: 7, Usage: Usage{Offered: 1, Left: 1}}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		book := NewBook()
		Decode(b, book.Apply)
	})
}

// drawExport makes an export that adds up.
func drawExport(t *rapid.T) (*Export, []uint64) {
	s := &Statement{Sequence: uint64(rapid.IntRange(1, 4).Draw(t, "sequence")), Totals: map[Key]*Usage{}, Late: map[int64]map[Key]*Usage{}}
	s.From = minute * (1000 + int64(s.Sequence))
	s.To = s.From + minute
	for range rapid.IntRange(0, 3).Draw(t, "lines") {
		n := rapid.Int64Range(1, 9).Draw(t, "n")
		s.Totals[Key{rapid.SampledFrom([]string{"lda", "kda"}).Draw(t, "tenant"), "voice"}] = &Usage{Offered: n, Refused: n}
	}
	if rapid.Bool().Draw(t, "late") {
		s.Late[minute*1000] = map[Key]*Usage{{"lda", "voice"}: {Offered: 1, Left: 1}}
	}
	s.Calls = rapid.SliceOfDistinct(rapid.Uint64Range(0, 50), rapid.ID).Draw(t, "calls")
	slices.Sort(s.Calls)
	e, calls := NewExport(Terms{Router: rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "router"), Length: minute}, s, nil)
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

// TestJoin: exports may be brought together in any order, in any grouping, and any number of times.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMerged(t), drawMerged(t), drawMerged(t)
		same := func(x, y Merged) {
			require.Equal(t, x.Exports(), y.Exports())
			require.Equal(t, x.Rows(), y.Rows())
			require.Equal(t, x.Findings(), y.Findings())
		}
		same(Join(a, b), Join(b, a))
		same(Join(Join(a, b), c), Join(a, Join(b, c)))
		same(Join(a, a), a)
		same(Join(a, Merged{}), a)
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

// TestExportForm: what is written is read back, the same content is the same bytes, and no changed byte goes unnoticed.
func TestExportForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, calls := drawExport(t)
		var one, two frameList
		require.NoError(t, e.Encode(calls, one.put))
		require.NoError(t, e.Encode(calls, two.put))
		require.Equal(t, one, two)
		read := []uint64{}
		back, err := DecodeExport(one.reader(), func(part []uint64) error { read = append(read, part...); return nil })
		require.NoError(t, err)
		require.Equal(t, e, back)
		require.Equal(t, calls, read)
		i := rapid.IntRange(0, len(one.payloads)-1).Draw(t, "frame")
		j := rapid.IntRange(0, len(one.payloads[i])-1).Draw(t, "byte")
		one.payloads[i][j] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		_, err = DecodeExport(one.reader(), nil)
		require.Error(t, err)
	})
}

// TestFindings: what is wrong among exports is reported, with names.
func TestFindings(t *testing.T) {
	export := func(router string, seq, from, to int64, calls ...uint64) *Export {
		e, c := NewExport(Terms{Router: router, Length: minute}, &Statement{Sequence: uint64(seq), From: from * minute, To: to * minute,
			Totals: map[Key]*Usage{{"lda", "voice"}: {Offered: seq, Left: seq}}, Calls: calls}, nil)
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
	require.Empty(t, kinds(export("n0", 1, 10, 11), export("n0", 2, 11, 15), export("n1", 7, 11, 12), export("n0", 2, 11, 15)))
	require.Equal(t, []string{"gap"}, kinds(export("n0", 1, 10, 11), export("n0", 3, 12, 13)))
	require.Equal(t, []string{"gap"}, kinds(export("n0", 1, 10, 11), export("n0", 2, 12, 13)))
	require.Equal(t, []string{"twice"}, kinds(export("n0", 1, 10, 11), export("n0", 1, 10, 12)))
	require.Equal(t, []string{"overlap"}, kinds(export("n0", 1, 10, 12), export("n0", 2, 11, 12)))
	mend := export("n0", 2, 11, 12)
	mend.Corrections = []Correction{{Number: 1, Period: 3 * minute, Tenant: "lda", Class: "voice", Field: "left", Delta: -1}}
	require.Equal(t, []string{"stray"}, kinds(export("n0", 1, 10, 11), mend))

	var claims []string
	n, err := Claims([]CallSource{&list{{1, 5}, {9}}, &list{{2, 3}, {5, 7}}, &list{}, &list{{9}}}, func(call uint64, one, other int) {
		claims = append(claims, fmt.Sprint(call, min(one, other), max(one, other)))
	})
	require.NoError(t, err)
	require.EqualValues(t, 8, n)
	require.Equal(t, []string{"5 0 1", "9 0 3"}, claims)
}

type list [][]uint64

func (l *list) Next() (part []uint64, err error) {
	if len(*l) > 0 {
		part, *l = (*l)[0], (*l)[1:]
	}
	return part, nil
}

func TestDirectory(t *testing.T) {
	rules := []Rule{{Tenant: "lda", Networks: []string{"10.4.0.0/16", "fd00::/8"}, Identities: []string{"spiffe://b.example/lda/*"}, Numbers: []string{"9242"}},
		{Tenant: "kda", Networks: []string{"10.4.7.0/24", "10.4.0.9"}, Identities: []string{"spiffe://b.example/lda/kda"}, Numbers: []string{"92421"}}}
	d, err := NewDirectory(nil, rules)
	require.NoError(t, err)
	addr := netip.MustParseAddr
	for _, c := range []struct {
		stated, identity, caller, number, want string
	}{
		{"", "", "10.4.8.1", "", "lda"}, {"", "", "10.4.7.1", "", "kda"}, {"", "", "10.4.0.9", "", "kda"},
		{"", "", "::ffff:10.4.7.1", "", "kda"}, {"", "", "fd00::1", "", "lda"}, {"", "", "10.5.0.1", "", Unassigned},
		{"", "spiffe://b.example/lda/x", "10.4.7.1", "", "lda"}, {"", "spiffe://b.example/lda/kda", "10.4.8.1", "", "kda"},
		{"", "spiffe://b.example/ldax", "10.4.7.1", "", "kda"}, {"", "", "10.5.0.1", "92429", "lda"},
		{"", "", "10.5.0.1", "924211", "kda"}, {"own", "spiffe://b.example/lda/x", "10.4.7.1", "9242", "own"},
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
	require.ErrorContains(t, err, "10.4.0.0/16 is meant")
	_, err = NewDirectory([]Source{"moon"}, nil)
	require.ErrorContains(t, err, "precedence")
	require.Zero(t, testing.AllocsPerRun(100, func() { d.Tenant("", "spiffe://b.example/lda/x", addr("10.4.8.1"), "92421") }))
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

// BenchmarkKeeper is one call's whole life in the books, on the loop's side and on the writer's.
func BenchmarkKeeper(b *testing.B) {
	w := newBench(b, 0)
	book := w.book(b)
	var out []Entry
	var buf []byte
	id := make([]string, 1024)
	for i := range id {
		id[i] = CallText(uint64(i))
	}
	bytes, i := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		w.stand(id[i&1023])
		w.finish(id[i&1023], threadglade.Concluded)
		if i++; i%10 == 0 {
			out = w.keeper.Take(out)
			buf = buf[:0]
			for j := range out {
				buf = out[j].Append(buf)
				book.Apply(&out[j])
			}
			bytes += len(buf)
		}
	}
	b.ReportMetric(float64(bytes)/float64(i), "bytes/call")
}

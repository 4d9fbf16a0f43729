package trace

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"threadglade.example/threadglade"
)

// The same records are drawn each time; -rapid.seed gives others.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		flag.Set("rapid.seed", "20261201")
	}
	os.Exit(m.Run())
}

func drawRecord(t *rapid.T) Record {
	r := Record{Kind: Kind(rapid.IntRange(1, int(kinds)-1).Draw(t, "kind")), Carried: rapid.Bool().Draw(t, "carried"), At: rapid.Int64().Draw(t, "at")}
	for _, s := range layout[r.Kind].texts {
		r.S[s] = rapid.OneOf(rapid.StringMatching("[0-9a-f]{16}"), rapid.String()).Draw(t, "text")
	}
	for _, f := range layout[r.Kind].figures {
		r.N[f] = rapid.Int64().Draw(t, "figure")
	}
	return r
}

// TestBlock: what is written is read back, and any damaged byte is an error or other records, never a panic.
func TestBlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 40).Draw(t, "records")
		b := NewEncoder().Encode(list)
		require.Equal(t, Inform(list), b.Info)
		have, err := NewDecoder().Decode(b.Strings, b.Columns)
		require.NoError(t, err)
		require.Equal(t, list, append([]Record{}, have...))
		part := &b.Strings
		if rapid.Bool().Draw(t, "columns") {
			part = &b.Columns
		}
		(*part)[rapid.IntRange(0, len(*part)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		NewDecoder().Decode(b.Strings, b.Columns)
	})
}

// TestSlots: a slot only saves a look-up. One that serves several calls, in one block and in the next, tells each its own id.
func TestSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, d := NewEncoder(), NewDecoder()
		for range rapid.IntRange(1, 3).Draw(t, "blocks") {
			var list []Record
			for range rapid.IntRange(0, 30).Draw(t, "records") {
				r := Record{Kind: rapid.SampledFrom([]Kind{Request, Decision, Answer, Release}).Draw(t, "kind")}
				slot := uint32(rapid.IntRange(0, 3).Draw(t, "slot"))
				r.S[Call] = fmt.Sprintf("%016x", rapid.IntRange(0, 5).Draw(t, "call"))
				e.Add(&r, slot)
				list = append(list, r)
			}
			require.Equal(t, len(list), e.Len())
			b := e.Block()
			have, err := d.Decode(b.Strings, b.Columns)
			require.NoError(t, err)
			require.Equal(t, list, append([]Record(nil), have...))
		}
	})
}

func FuzzDecode(f *testing.F) {
	rec := Record{Kind: Request, At: 5}
	rec.S[Call] = "00112233445566ff"
	b := NewEncoder().Encode([]Record{rec, {Kind: Gap, At: 6}})
	f.Add(b.Strings, b.Columns)
	f.Fuzz(func(t *testing.T, strs, columns []byte) {
		if list, err := NewDecoder().Decode(strs, columns); err == nil {
			for i := range list {
				Story(list[i : i+1])
			}
		}
	})
}

func FuzzIndex(f *testing.F) {
	x := Index{}
	x.Add(BlockInfo{From: 1, To: 2, Count: 1, Names: map[string][]string{ByClass: {"a"}}})
	b, _ := x.Append()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if x, err := ReadIndex(b); err == nil {
			x.Find(Selection{Class: "a"})
		}
	})
}

// player writes the records of scripted routers.
type player struct {
	list []Record
	next int
}

func (p *player) add(r Record) { p.list = append(p.list, r) }

// call has a router take a call, send it and hear the answer, or not.
func (p *player) call(router, server string, at int64, took int64, end End, outcome threadglade.Outcome) string {
	p.next++
	id := fmt.Sprintf("%016x", p.next)
	r := Record{Kind: Request, At: at}
	r.S[Call], r.S[Class], r.S[Tenant], r.S[Router], r.S[Number] = id, "voice", "lda", router, id
	p.add(r)
	d := r
	d.Kind, d.N[Act], d.N[Reason], d.S[Server] = Decision, int64(Sent), int64(threadglade.FirstChoice), server
	d.N[LoadAgeMs], d.N[FreeAgeMs], d.N[RateMilli] = -1, -1, -1
	p.add(d)
	a := d
	a.At, a.N = at+took, [figures]int64{}
	if end != EndStood {
		a.Kind, a.N[Outcome], a.N[TookUs] = AttemptEnd, int64(outcome), took
		p.add(a)
	}
	a.Kind, a.N[Final], a.N[TookUs] = Answer, int64(end), took
	p.add(a)
	if end == EndStood {
		a.Kind, a.At, a.N[Outcome], a.N[TookUs] = Release, a.At+2_000_000, int64(outcome), 2_000_000
		p.add(a)
	}
	return id
}

func (p *player) lists(router string, serial int64, at int64) {
	r := Record{Kind: List, At: at}
	r.S[Router], r.N[Serial] = router, serial
	p.add(r)
}

func (p *player) sorted() []Record {
	slices.SortStableFunc(p.list, func(a, b Record) int { return int(a.At/1000 - b.At/1000) })
	return p.list
}

var meta = Meta{Classes: []ClassMeta{{Name: "voice", AimMs: 1000, Worth: 1, Late: 0.2}}}

const second = int64(1_000_000)

// TestWhy scripts five troubles and asks why: the right one comes first each time.
func TestWhy(t *testing.T) {
	script := func(trouble func(p *player, i int, at int64, server string) bool) *player {
		p := &player{}
		for _, router := range []string{"n0", "n1"} {
			p.lists(router, 7, second)
		}
		for i := range 2000 { // 40 s at 50 a second; trouble from 20 s on
			at, server := 2*second+int64(i)*20_000, fmt.Sprintf("s%d", i%3)
			if at >= 22*second && trouble(p, i, at, server) {
				continue
			}
			p.call(fmt.Sprintf("n%d", i%2), server, at, 60_000+int64(i%7)*5000, EndStood, threadglade.Concluded)
		}
		return p
	}
	down := func(p *player, routers ...string) {
		for _, router := range routers {
			r := Record{Kind: Listed, At: 23 * second}
			r.S[Router], r.S[Server], r.N[State] = router, "s1", int64(threadglade.Draining)
			p.add(r)
			p.lists(router, 8, 23*second)
		}
	}
	for name, c := range map[string]struct {
		kind, who string
		play      func() *player
	}{
		"slow server": {"slow", "s1", func() *player {
			return script(func(p *player, i int, at int64, server string) bool {
				if server != "s1" {
					return false
				}
				p.call(fmt.Sprintf("n%d", i%2), server, at, 900_000+int64(i%9)*100_000, EndStood, threadglade.Concluded)
				return true
			})
		}},
		"silent server": {"silent", "s1", func() *player {
			return script(func(p *player, i int, at int64, server string) bool {
				if server != "s1" {
					return false
				}
				p.call(fmt.Sprintf("n%d", i%2), server, at, 2_000_000, EndFailed, threadglade.TimedOut)
				return true
			})
		}},
		"burst": {"burst", "", func() *player {
			return script(func(p *player, i int, at int64, server string) bool {
				for j := range 2 {
					p.call("n0", fmt.Sprintf("s%d", (i+j)%3), at+int64(j), 700_000, EndStood, threadglade.Concluded)
				}
				p.call("n1", server, at, 1_500_000, EndRefused, threadglade.Rejected)
				return true
			})
		}},
		"draining": {"draining", "s1", func() *player {
			p := script(func(p *player, i int, at int64, server string) bool {
				if server != "s1" || at < 25*second {
					return false
				}
				if at < 28*second {
					p.call("n0", server, at, 100_000, EndFailed, threadglade.Cut)
				} else {
					p.call("n0", "s2", at, 80_000, EndStood, threadglade.Concluded)
				}
				return true
			})
			down(p, "n0", "n1")
			return p
		}},
		"stale list": {"stale", "n1", func() *player {
			p := script(func(p *player, i int, at int64, server string) bool {
				if server != "s1" || i%2 == 0 {
					return false
				}
				p.call("n1", server, at, 100_000, EndFailed, threadglade.Unreachable)
				return true
			})
			down(p, "n0")
			return p
		}},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewInquiry(meta, 22*second, 42*second)
			list := c.play().sorted()
			for i := range list {
				q.Take(&list[i])
			}
			v := q.Verdict()
			require.NotEmpty(t, v.Causes)
			require.Equal(t, c.kind, v.Causes[0].Kind, "%+v", v.Causes)
			require.Equal(t, c.who, v.Causes[0].Name, "%+v", v.Causes)
			require.InDelta(t, 23*second, v.Causes[0].First, float64(3*second), "the first sign")
			require.Less(t, v.ServiceDuring, v.ServiceBefore)
		})
	}
	// A quiet time has no cause.
	q := NewInquiry(meta, 22*second, 42*second)
	list := script(func(*player, int, int64, string) bool { return false }).sorted()
	for i := range list {
		q.Take(&list[i])
	}
	require.Empty(t, q.Verdict().Causes)
}

type source struct{ list []Record }

func (s *source) Next() (*Record, error) {
	if len(s.list) == 0 {
		return nil, io.EOF
	}
	r := &s.list[0]
	s.list = s.list[1:]
	return r, nil
}

// TestClocks has routers whose clocks are 90 s apart, drift, and step back an hour: the estimate is right within its bounds, calls
// stay in order, and no repeat comes before the answer that it follows.
func TestClocks(t *testing.T) {
	const day = 1_700_000_000 * second
	wrong := map[string]func(true_ int64) int64{
		"n0": func(at int64) int64 { return at },
		"n1": func(at int64) int64 { return at + 90*second + (at-day)*80/1_000_000 },
		"n2": func(at int64) int64 { // steps back an hour in the middle
			if at >= day+300*second {
				return at - 3600*second
			}
			return at - 5*second
		},
	}
	lists := map[string][]Record{}
	truth := map[string]int64{}
	for i, router := range []string{"n0", "n1", "n2"} {
		p := &player{next: i << 32}
		for serial := range int64(40) { // each list comes to each router within 0.3 s
			p.lists(router, serial+1, day+serial*15*second+int64(i)*100_000+serial*7919%50_000)
		}
		for n := range int64(600) {
			at := day + n*second + int64(i)*1000
			id := p.call(router, "s0", at, 100_000, EndRefused, threadglade.Rejected)
			truth[id] = at
			for k := range p.list {
				if p.list[k].S[Call] == id {
					p.list[k].S[Number] = fmt.Sprintf("%d", n)
					p.list[k].N[Retry] = int64(min(i, 1)) // tried first at n0, then 101 ms later at n1, then at n2
					if p.list[k].Kind == Request || p.list[k].Kind == Answer || p.list[k].Kind == AttemptEnd || p.list[k].Kind == Decision {
						p.list[k].At += int64(i) * 101_000
					}
				}
			}
			truth[id] += int64(i) * 101_000
		}
		list := p.sorted()
		for k := range list {
			list[k].At = wrong[router](list[k].At)
		}
		lists[router] = list
	}
	seen := NewSightings()
	for _, router := range []string{"n0", "n1", "n2"} {
		for k := range lists[router] {
			seen.Take(1, &lists[router][k])
		}
	}
	clocks := seen.Estimate()
	require.Len(t, clocks, 4)
	for _, c := range clocks {
		require.False(t, c.Guess)
		require.LessOrEqual(t, c.Low, c.Offset)
		require.GreaterOrEqual(t, c.High, c.Offset)
		if c.Router == "n1" {
			require.InDelta(t, -80, c.Drift, 5)
			require.InDelta(t, -90*second, c.Offset, 0.4e6)
		}
	}
	m := NewMerger(clocks)
	total := 0
	for _, router := range []string{"n0", "n1", "n2"} {
		total += len(lists[router])
		require.NoError(t, m.Add(router, 1, &source{slices.Clone(lists[router])}, io.EOF))
	}
	last, answered, got := int64(0), map[string]int64{}, 0
	perRouter := map[string][]string{}
	for {
		r, err := m.Next(io.EOF)
		if err == io.EOF {
			break
		}
		got++
		require.GreaterOrEqual(t, r.At, last, "out of order")
		last = r.At
		if at, known := truth[r.S[Call]]; known && r.Kind == Request {
			require.InDelta(t, at, r.At, 1.0e6, "%s", r.S[Router])
		}
		number := r.S[Number]
		switch {
		case r.Kind == Request && r.S[Router] != "n0":
			require.Contains(t, answered, number, "a repeat of %s at %s before the answer that it follows", number, r.S[Router])
		case r.Kind == Answer:
			answered[number] = r.At
		}
		perRouter[r.S[Router]] = append(perRouter[r.S[Router]], fmt.Sprint(r.S[Call], r.Kind))
	}
	require.Equal(t, total, got)
	for router, order := range perRouter {
		var want []string
		for _, r := range lists[router] {
			want = append(want, fmt.Sprint(r.S[Call], r.Kind))
		}
		require.Equal(t, want, order, "the order of one router is that of its file")
	}
}

// TestStory tells a call's life in sentences that name what was known.
func TestStory(t *testing.T) {
	p := &player{}
	p.call("n0", "s1", 1_700_000_000*second, 80_000, EndStood, threadglade.Concluded)
	held := p.list[1]
	held.N[Act], held.N[Reason], held.N[RateMilli], held.N[LambdaMilli], held.N[LoadAgeMs], held.N[LatencyUs], held.N[QpsMilli], held.N[Out], held.N[OldestMs] =
		int64(Held), int64(threadglade.Gapped), 4500, 6000, 130, 240_000, 9000, 3, 210
	story := strings.Join(Story(slices.Insert(p.list, 1, held)), "\n")
	for _, want := range []string{"router n0 took call 0000000000000001 of class voice", "It waited, for s1 did not take it: its admission rate was used up (s1: admission rate 4.5/s, calls for it 6.0/s, 3 set-ups unanswered, the oldest for 210 ms, reported 130 ms ago a wait of 240 ms and room for 9.0/s)",
		"Attempt 1 went to s1: it is the call's first choice", "s1 answered, the call stands, 80 ms after it came", "was released after 2.0 s"} {
		require.Contains(t, story, want)
	}
}

// TestSummary sums up by each dimension; the sums agree.
func TestSummary(t *testing.T) {
	p := &player{}
	for i := range 100 {
		end, outcome := EndStood, threadglade.Concluded
		if i%4 == 0 {
			end, outcome = EndRefused, threadglade.Rejected
		}
		p.call("n0", fmt.Sprintf("s%d", i%3), int64(i)*second, 50_000, end, outcome)
	}
	for _, by := range []string{"", ByClass, ByTenant, ByServer, ByReason} {
		s, err := NewSummary(meta, by, 0)
		require.NoError(t, err)
		for i := range p.list {
			s.Take(&p.list[i])
		}
		var offered, stood, refused int64
		earned := 0.0
		for _, g := range s.Groups() {
			offered, stood, refused, earned = offered+g.Offered, stood+g.Stood, refused+g.Refused, earned+g.Earned
			if g.Stood > 0 {
				require.InDelta(t, 50, g.P50Ms, 1)
			}
		}
		require.EqualValues(t, []int64{100, 75, 25}, []int64{offered, stood, refused}, by)
		require.Equal(t, 75.0, earned)
	}
	_, err := NewSummary(meta, "moon", 0)
	require.ErrorContains(t, err, "by")
}

// TestHide: the same value becomes the same hash by one key, another by another, and names of servers and classes stay.
func TestHide(t *testing.T) {
	h, err := NewHider(bytes.Repeat([]byte("k"), 16))
	require.NoError(t, err)
	other, err := NewHider(bytes.Repeat([]byte("o"), 16))
	require.NoError(t, err)
	for _, c := range []struct {
		t     Text
		value string
	}{{Call, "00112233445566ff"}, {Number, "924211"}, {Identity, "spiffe://b.example/x"}, {Caller, "10.4.0.9"}} {
		hidden := h.Hide(c.t, c.value)
		require.NotEqual(t, c.value, hidden)
		require.Equal(t, hidden, h.Hide(c.t, c.value))
		require.NotEqual(t, hidden, other.Hide(c.t, c.value))
	}
	require.Equal(t, "s0", h.Hide(Server, "s0"))
	require.Empty(t, h.Hide(Number, ""))
	_, err = NewHider([]byte("short"))
	require.Error(t, err)
}

func many(n int) []Record {
	p := &player{}
	for i := range n / 4 {
		p.call("", fmt.Sprintf("s%d", i%3), 1_700_000_000*second+int64(i)*17_000, 60_000+int64(i*7919%40_000), EndStood, threadglade.Concluded)
	}
	return p.sorted()
}

// BenchmarkBlocks writes and reads blocks of ordinary calls.
func BenchmarkBlocks(b *testing.B) {
	list := many(BlockRecords)
	enc, dec := NewEncoder(), NewDecoder()
	block := enc.Encode(list)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			enc.Encode(list)
		}
		b.ReportMetric(float64(b.N)*float64(len(list))/b.Elapsed().Seconds(), "records/s")
		b.ReportMetric(float64(len(block.Strings)+len(block.Columns))/float64(len(list)/4), "bytes/call")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := dec.Decode(block.Strings, block.Columns); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.N)*float64(len(list))/b.Elapsed().Seconds(), "records/s")
	})
}

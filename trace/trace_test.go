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

// TestMain fixes the seed, so that each run draws the same records; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		flag.Set("rapid.seed", "20261201")
	}
	os.Exit(m.Run())
}

// drawRecord draws a record of any kind, with values in the columns of that kind.
func drawRecord(t *rapid.T) Record {
	r := Record{Kind: Kind(rapid.IntRange(1, int(kindCount)-1).Draw(t, "kind")),
		Carried: rapid.Bool().Draw(t, "carried"), At: rapid.Int64().Draw(t, "at")}
	for _, s := range layout[r.Kind].texts {
		r.Texts[s] = rapid.OneOf(rapid.StringMatching("[0-9a-f]{16}"), rapid.String()).Draw(t, "text")
	}
	for _, f := range layout[r.Kind].figures {
		r.Figures[f] = rapid.Int64().Draw(t, "figure")
	}
	return r
}

// TestBlock checks that records survive encoding and decoding, and that a flipped bit leads to an error or to other
// records, never to a panic.
func TestBlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 40).Draw(t, "records")
		b := NewEncoder().Encode(list)
		require.Equal(t, DescribeBlock(list), b.Info)
		decoded, err := NewDecoder().Decode(b.Strings, b.Columns)
		require.NoError(t, err)
		require.Equal(t, list, append([]Record{}, decoded...))
		part := &b.Strings
		if rapid.Bool().Draw(t, "columns") {
			part = &b.Columns
		}
		(*part)[rapid.IntRange(0, len(*part)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		NewDecoder().Decode(b.Strings, b.Columns)
	})
}

// TestSlots checks that slots don't change the result: a slot that is reused by several calls, within a block and
// across blocks, must yield the ID of each.
func TestSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, d := NewEncoder(), NewDecoder()
		for range rapid.IntRange(1, 3).Draw(t, "blocks") {
			var list []Record
			for range rapid.IntRange(0, 30).Draw(t, "records") {
				r := Record{Kind: rapid.SampledFrom([]Kind{Request, Decision, Answer, Release}).Draw(t, "kind")}
				slot := uint32(rapid.IntRange(0, 3).Draw(t, "slot"))
				r.Texts[Call] = fmt.Sprintf("%016x", rapid.IntRange(0, 5).Draw(t, "call"))
				e.Add(&r, slot)
				list = append(list, r)
			}
			require.Equal(t, len(list), e.Len())
			b := e.Block()
			decoded, err := d.Decode(b.Strings, b.Columns)
			require.NoError(t, err)
			require.Equal(t, list, append([]Record(nil), decoded...))
		}
	})
}

// FuzzDecode checks that malformed blocks never cause a panic, in decoding or in describing what was decoded.
func FuzzDecode(f *testing.F) {
	rec := Record{Kind: Request, At: 5}
	rec.Texts[Call] = "00112233445566ff"
	b := NewEncoder().Encode([]Record{rec, {Kind: Gap, At: 6}})
	f.Add(b.Strings, b.Columns)
	f.Fuzz(func(t *testing.T, strs, columns []byte) {
		if list, err := NewDecoder().Decode(strs, columns); err == nil {
			for i := range list {
				DescribeCall(list[i : i+1])
			}
		}
	})
}

// FuzzIndex checks that a malformed index never causes a panic.
func FuzzIndex(f *testing.F) {
	x := Index{}
	x.Add(BlockInfo{From: 1, To: 2, Count: 1, Names: map[string][]string{ByClass: {"a"}}})
	b, _ := x.Encode()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if x, err := DecodeIndex(b); err == nil {
			x.Find(Selection{Class: "a"})
		}
	})
}

// recordScript builds the records of scripted routers.
type recordScript struct {
	records []Record
	nextID  int
}

func (p *recordScript) add(r Record) { p.records = append(p.records, r) }

// addCall adds the records of a call that a router receives and sends to a server, and returns its ID. The answer
// comes took microseconds after at; a call that is not established has an AttemptEnd with the outcome, others a
// Release.
func (p *recordScript) addCall(router, server string, at int64, took int64, end AnswerResult,
	outcome threadglade.Outcome) string {
	p.nextID++
	id := fmt.Sprintf("%016x", p.nextID)
	r := Record{Kind: Request, At: at}
	r.Texts[Call], r.Texts[Class], r.Texts[Tenant], r.Texts[Router], r.Texts[Number] = id, "voice", "lda", router, id
	p.add(r)
	d := r
	d.Kind, d.Figures[ActionCode], d.Figures[Reason], d.Texts[Server] =
		Decision, int64(ActionSent), int64(threadglade.FirstChoice), server
	d.Figures[LoadAgeMs], d.Figures[FreeAgeMs], d.Figures[RateMilli] = -1, -1, -1
	p.add(d)
	a := d
	a.At, a.Figures = at+took, [figureCount]int64{}
	if end != AnswerEstablished {
		a.Kind, a.Figures[Outcome], a.Figures[ElapsedUs] = AttemptEnd, int64(outcome), took
		p.add(a)
	}
	a.Kind, a.Figures[FinalAnswer], a.Figures[ElapsedUs] = Answer, int64(end), took
	p.add(a)
	if end == AnswerEstablished {
		a.Kind, a.At, a.Figures[Outcome], a.Figures[ElapsedUs] = Release, a.At+2_000_000, int64(outcome), 2_000_000
		p.add(a)
	}
	return id
}

// addList adds the arrival of a server list.
func (p *recordScript) addList(router string, serial int64, at int64) {
	r := Record{Kind: List, At: at}
	r.Texts[Router], r.Figures[Serial] = router, serial
	p.add(r)
}

// sorted returns the records by time, to the millisecond.
func (p *recordScript) sorted() []Record {
	slices.SortStableFunc(p.records, func(a, b Record) int { return int(a.At/1000 - b.At/1000) })
	return p.records
}

var meta = Meta{Classes: []ClassMeta{{Name: "voice", AimMs: 1000, Worth: 1, LateWorth: 0.2}}}

const second = int64(1_000_000)

// TestDiagnosis checks that the diagnosis ranks the right cause first for each of five scripted faults.
func TestDiagnosis(t *testing.T) {
	// fault is called for each request of the faulty period. To replace the ordinary call, it adds records and returns
	// true.
	script := func(fault func(p *recordScript, i int, at int64, server string) bool) *recordScript {
		p := &recordScript{}
		for _, router := range []string{"n0", "n1"} {
			p.addList(router, 7, second)
		}
		for i := range 2000 { // 40 s at 50 calls per second, with the fault in the last 20 s
			at, server := 2*second+int64(i)*20_000, fmt.Sprintf("s%d", i%3)
			if at >= 22*second && fault(p, i, at, server) {
				continue
			}
			p.addCall(fmt.Sprintf("n%d", i%2), server, at, 60_000+int64(i%7)*5000, AnswerEstablished,
				threadglade.Concluded)
		}
		return p
	}
	drainS1 := func(p *recordScript, routers ...string) {
		for _, router := range routers {
			r := Record{Kind: ListEntry, At: 23 * second}
			r.Texts[Router], r.Texts[Server], r.Figures[State] = router, "s1", int64(threadglade.Draining)
			p.add(r)
			p.addList(router, 8, 23*second)
		}
	}
	for name, c := range map[string]struct {
		kind, name string // of the first cause
		records    func() *recordScript
	}{
		"slow server": {"slow", "s1", func() *recordScript {
			return script(func(p *recordScript, i int, at int64, server string) bool {
				if server != "s1" {
					return false
				}
				p.addCall(fmt.Sprintf("n%d", i%2), server, at, 900_000+int64(i%9)*100_000, AnswerEstablished,
					threadglade.Concluded)
				return true
			})
		}},
		"silent server": {"silent", "s1", func() *recordScript {
			return script(func(p *recordScript, i int, at int64, server string) bool {
				if server != "s1" {
					return false
				}
				p.addCall(fmt.Sprintf("n%d", i%2), server, at, 2_000_000, AnswerFailed, threadglade.TimedOut)
				return true
			})
		}},
		"burst": {"burst", "", func() *recordScript {
			return script(func(p *recordScript, i int, at int64, server string) bool {
				for j := range 2 {
					p.addCall("n0", fmt.Sprintf("s%d", (i+j)%3), at+int64(j), 700_000, AnswerEstablished,
						threadglade.Concluded)
				}
				p.addCall("n1", server, at, 1_500_000, AnswerRefused, threadglade.Rejected)
				return true
			})
		}},
		"draining": {"draining", "s1", func() *recordScript {
			p := script(func(p *recordScript, i int, at int64, server string) bool {
				if server != "s1" || at < 25*second {
					return false
				}
				if at < 28*second {
					p.addCall("n0", server, at, 100_000, AnswerFailed, threadglade.Cut)
				} else {
					p.addCall("n0", "s2", at, 80_000, AnswerEstablished, threadglade.Concluded)
				}
				return true
			})
			drainS1(p, "n0", "n1")
			return p
		}},
		"stale list": {"stale", "n1", func() *recordScript {
			p := script(func(p *recordScript, i int, at int64, server string) bool {
				if server != "s1" || i%2 == 0 {
					return false
				}
				p.addCall("n1", server, at, 100_000, AnswerFailed, threadglade.Unreachable)
				return true
			})
			drainS1(p, "n0")
			return p
		}},
	} {
		t.Run(name, func(t *testing.T) {
			diagnoser := NewDiagnoser(meta, 22*second, 42*second)
			list := c.records().sorted()
			for i := range list {
				diagnoser.Add(&list[i])
			}
			diagnosis := diagnoser.Diagnosis()
			require.NotEmpty(t, diagnosis.Causes)
			require.Equal(t, c.kind, diagnosis.Causes[0].Kind, "%+v", diagnosis.Causes)
			require.Equal(t, c.name, diagnosis.Causes[0].Name, "%+v", diagnosis.Causes)
			require.InDelta(t, 23*second, diagnosis.Causes[0].FirstSign, float64(3*second), "the first sign")
			require.Less(t, diagnosis.ServiceDuring, diagnosis.ServiceBefore)
		})
	}
	// Without a fault, the diagnosis must find no cause.
	diagnoser := NewDiagnoser(meta, 22*second, 42*second)
	list := script(func(*recordScript, int, int64, string) bool { return false }).sorted()
	for i := range list {
		diagnoser.Add(&list[i])
	}
	require.Empty(t, diagnoser.Diagnosis().Causes)
}

// source is a Source of records in memory.
type source struct{ list []Record }

func (s *source) Next() (*Record, error) {
	if len(s.list) == 0 {
		return nil, io.EOF
	}
	r := &s.list[0]
	s.list = s.list[1:]
	return r, nil
}

// TestClockEstimates merges routers whose clocks are 90 s apart, drift, and step back an hour. The estimates must be
// right within their bounds, the records of a router must stay in order, and no retry may come before the answer that
// it follows.
func TestClockEstimates(t *testing.T) {
	const baseTime = 1_700_000_000 * second
	routerClocks := map[string]func(trueTime int64) int64{
		"n0": func(at int64) int64 { return at },
		"n1": func(at int64) int64 { return at + 90*second + (at-baseTime)*80/1_000_000 },
		"n2": func(at int64) int64 { // steps back an hour in the middle
			if at >= baseTime+300*second {
				return at - 3600*second
			}
			return at - 5*second
		},
	}
	lists := map[string][]Record{}
	trueTimes := map[string]int64{}
	for i, router := range []string{"n0", "n1", "n2"} {
		p := &recordScript{nextID: i << 32}
		for serial := range int64(40) { // each list reaches all routers within 0.3 s
			p.addList(router, serial+1, baseTime+serial*15*second+int64(i)*100_000+serial*7919%50_000)
		}
		for n := range int64(600) {
			at := baseTime + n*second + int64(i)*1000
			id := p.addCall(router, "s0", at, 100_000, AnswerRefused, threadglade.Rejected)
			trueTimes[id] = at
			for k := range p.records {
				if p.records[k].Texts[Call] == id {
					p.records[k].Texts[Number] = fmt.Sprintf("%d", n)
					// tried first at n0, then 101 ms later at n1, then at n2
					p.records[k].Figures[Retry] = int64(min(i, 1))
					if p.records[k].Kind == Request || p.records[k].Kind == Answer ||
						p.records[k].Kind == AttemptEnd || p.records[k].Kind == Decision {
						p.records[k].At += int64(i) * 101_000
					}
				}
			}
			trueTimes[id] += int64(i) * 101_000
		}
		list := p.sorted()
		for k := range list {
			list[k].At = routerClocks[router](list[k].At)
		}
		lists[router] = list
	}
	estimator := NewClockEstimator()
	for _, router := range []string{"n0", "n1", "n2"} {
		for k := range lists[router] {
			estimator.Add(1, &lists[router][k])
		}
	}
	clocks := estimator.Estimate()
	require.Len(t, clocks, 4)
	for _, c := range clocks {
		require.False(t, c.Assumed)
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
		if at, known := trueTimes[r.Texts[Call]]; known && r.Kind == Request {
			require.InDelta(t, at, r.At, 1.0e6, "%s", r.Texts[Router])
		}
		number := r.Texts[Number]
		switch {
		case r.Kind == Request && r.Texts[Router] != "n0":
			require.Contains(t, answered, number, "retry of %s at %s before the answer that it follows", number,
				r.Texts[Router])
		case r.Kind == Answer:
			answered[number] = r.At
		}
		perRouter[r.Texts[Router]] = append(perRouter[r.Texts[Router]], fmt.Sprint(r.Texts[Call], r.Kind))
	}
	require.Equal(t, total, got)
	for router, order := range perRouter {
		var want []string
		for _, r := range lists[router] {
			want = append(want, fmt.Sprint(r.Texts[Call], r.Kind))
		}
		require.Equal(t, want, order, "the order of a router's records has changed")
	}
}

// TestDescribeCall checks that the account of a call states its course and, at each decision, what was known of the
// server.
func TestDescribeCall(t *testing.T) {
	p := &recordScript{}
	p.addCall("n0", "s1", 1_700_000_000*second, 80_000, AnswerEstablished, threadglade.Concluded)
	held := p.records[1]
	held.Figures[ActionCode], held.Figures[Reason], held.Figures[RateMilli], held.Figures[LambdaMilli],
		held.Figures[LoadAgeMs], held.Figures[LatencyUs], held.Figures[QPSMilli], held.Figures[InFlight],
		held.Figures[OldestPendingMs] =
		int64(ActionHeld), int64(threadglade.Gapped), 4500, 6000, 130, 240_000, 9000, 3, 210
	text := strings.Join(DescribeCall(slices.Insert(p.records, 1, held)), "\n")
	for _, want := range []string{"router n0 received call 0000000000000001 of class voice",
		"It waited, because s1 did not take it: its admission rate was used up (s1: admission rate 4.5/s, arrival rate 6.0/s, 3 set-ups unanswered, the oldest for 210 ms, 130 ms ago it reported a latency of 240 ms and a capacity of 9.0/s)",
		"Attempt 1 went to s1: it is the call's first choice",
		"s1 answered and the call was established, 80 ms after the request",
		"was released after 2.0 s"} {
		require.Contains(t, text, want)
	}
}

// TestSummary checks that the totals are the same for every dimension.
func TestSummary(t *testing.T) {
	p := &recordScript{}
	for i := range 100 {
		end, outcome := AnswerEstablished, threadglade.Concluded
		if i%4 == 0 {
			end, outcome = AnswerRefused, threadglade.Rejected
		}
		p.addCall("n0", fmt.Sprintf("s%d", i%3), int64(i)*second, 50_000, end, outcome)
	}
	for _, by := range []string{"", ByClass, ByTenant, ByServer, ByReason} {
		s, err := NewSummary(meta, by, 0)
		require.NoError(t, err)
		for i := range p.records {
			s.Add(&p.records[i])
		}
		var offered, stood, refused int64
		earned := 0.0
		for _, g := range s.Groups() {
			offered, stood, refused, earned =
				offered+g.Offered, stood+g.Stood, refused+g.Refused, earned+g.Earned
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

// TestAnonymizer checks that a value has one hash per key, differs between keys, and that names of servers stay
// readable.
func TestAnonymizer(t *testing.T) {
	anonymizer, err := NewAnonymizer(bytes.Repeat([]byte("k"), 16))
	require.NoError(t, err)
	other, err := NewAnonymizer(bytes.Repeat([]byte("o"), 16))
	require.NoError(t, err)
	for _, c := range []struct {
		t     Text
		value string
	}{{Call, "00112233445566ff"}, {Number, "924211"}, {Identity, "spiffe://b.example/x"}, {Caller, "10.4.0.9"}} {
		hidden := anonymizer.Anonymize(c.t, c.value)
		require.NotEqual(t, c.value, hidden)
		require.Equal(t, hidden, anonymizer.Anonymize(c.t, c.value))
		require.NotEqual(t, hidden, other.Anonymize(c.t, c.value))
	}
	require.Equal(t, "s0", anonymizer.Anonymize(Server, "s0"))
	require.Empty(t, anonymizer.Anonymize(Number, ""))
	_, err = NewAnonymizer([]byte("short"))
	require.Error(t, err)
}

// ordinaryCalls returns n records of calls that are established and concluded, four for each call.
func ordinaryCalls(n int) []Record {
	p := &recordScript{}
	for i := range n / 4 {
		p.addCall("", fmt.Sprintf("s%d", i%3), 1_700_000_000*second+int64(i)*17_000, 60_000+int64(i*7919%40_000),
			AnswerEstablished, threadglade.Concluded)
	}
	return p.sorted()
}

// BenchmarkBlocks measures encoding and decoding of blocks of ordinary calls.
func BenchmarkBlocks(b *testing.B) {
	list := ordinaryCalls(BlockRecords)
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

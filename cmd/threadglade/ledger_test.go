package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/durable/durabletest"
	"threadglade.example/threadglade/internal/ledgerio"
	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/ledger"
)

// books is the settings of a ledger with short periods.
func books(dir, out, more string) string {
	return fmt.Sprintf(`(threadglade
  (log (level info) (form text))
  (ledger (directory %q) (export %q) (period 1s) (grace 200ms) (unknown-after 2s) (sync 50ms) (keep 2s) (segment-kb 64) %s
    (tenant "lda" (numbers "92" "93"))
    (tenant "kda" (numbers "94"))))`, dir, out, more)
}

func tenantOf(number string) string {
	switch {
	case strings.HasPrefix(number, "92"), strings.HasPrefix(number, "93"):
		return "lda"
	case strings.HasPrefix(number, "94"):
		return "kda"
	}
	return ledger.Unassigned
}

// tally is what case servers saw, in the ledger's terms.
type tally struct {
	stood    map[uint64]bool
	byKey    map[ledger.Key]int64
	received int64
	crossed  int // answered as the router gave the attempt up: released at once, stands nowhere
	odd      int
	held     time.Duration
}

func (s *stage) tally(loads ...*standin.Load) *tally {
	t := &tally{stood: map[uint64]bool{}, byKey: map[ledger.Key]int64{}}
	for _, one := range s.servers {
		t.odd += one.Counts().Odd
		for id, c := range one.Calls() {
			t.received += int64(c.Received)
			if !c.Answered {
				continue
			}
			hung := false
			for _, l := range loads {
				hung = hung || l.HungUp(id)
			}
			if c.ByCaller && !hung {
				t.crossed++
				continue
			}
			key := ledger.CallKey(id)
			require.False(s.t, t.stood[key], "%s stood twice", id)
			t.stood[key] = true
			t.byKey[ledger.Key{Tenant: tenantOf(c.Number), Class: c.Class}]++
			t.held += c.Held
		}
	}
	return t
}

// compare has the merged exports agree with what the case servers saw: the same calls, each once, by tenant and class.
func (s *stage) compare(outs []string, loads ...*standin.Load) ledger.Usage {
	var files []string
	for _, out := range outs {
		list, err := filepath.Glob(filepath.Join(out, "*.tgx"))
		require.NoError(s.t, err)
		files = append(files, list...)
	}
	r, _, err := mergeFiles(durable.OS{}, files)
	require.NoError(s.t, err)
	require.Empty(s.t, r.Findings)
	saw, stated := s.tally(loads...), map[uint64]bool{}
	for _, path := range files {
		_, err := ledgerio.ReadExport(durable.OS{}, path, func(calls []uint64) error {
			for _, c := range calls {
				require.False(s.t, stated[c], "%s is stated twice", ledger.FormatCallKey(c))
				stated[c] = true
			}
			return nil
		})
		require.NoError(s.t, err)
	}
	for c := range saw.stood {
		require.True(s.t, stated[c], "%s stood at a case server and is stated nowhere", ledger.FormatCallKey(c))
	}
	require.Equal(s.t, len(saw.stood), len(stated), "calls are stated that stood nowhere")
	byKey := map[ledger.Key]int64{}
	for _, row := range r.Rows {
		if n := row.Mended[ledger.EstablishedInTime] + row.Mended[ledger.EstablishedLate]; n > 0 {
			byKey[row.Key] += n
		}
	}
	require.Equal(s.t, saw.byKey, byKey)
	u := r.Total
	require.NoError(s.t, u.CheckBalance())
	require.Zero(s.t, saw.odd)
	// Set-ups that a case server got are among the attempts; those that it may not have got are told apart.
	require.LessOrEqual(s.t, saw.received, u.Attempts())
	require.GreaterOrEqual(s.t, saw.received, u.Attempts()-u[ledger.Lost]-u[ledger.Unreachable]-u[ledger.NotSent]-u[ledger.Cut])
	return u
}

// TestKilled has a router under load killed 56 times, at any moment and at each named step of appending, closing, exporting
// and compacting. What it has stated in the end is what the case servers counted: no call is lost or there twice, and no
// period either.
func TestKilled(t *testing.T) {
	t.Parallel()
	s := newStage(t, 3, standin.ServerConfig{Seed: 3, AnswerWithin: [2]time.Duration{time.Millisecond, 6 * time.Millisecond},
		Hold: [2]time.Duration{10 * time.Millisecond, 400 * time.Millisecond}, Reject: 0.05, Cut: 0.05})
	listen := port(t)
	dir, out := filepath.Join(s.dir, "ledger"), filepath.Join(s.dir, "out")
	env := s.config("n0", listen)
	args := []string{"serve", "--settings", s.file("settings", books(dir, out, "(patience 250ms)"))}
	steps := []string{ // WHAT NAME COUNT
		"write journal 0", "write journal 3", "write journal 40", "write journal 200", "sync journal 0", "sync journal 2", "rename journal 0", "syncdir ledger 0", "syncdir ledger 1",
		"create exports 0", "write exports 0", "write exports 1", "write exports 2", "sync exports 0", "sync exports 1", "rename exports 0",
		"create tgx 0", "write tgx 0", "write tgx 2", "sync tgx 0", "rename tgx 0", "rename tgx 1", "syncdir out 0", "remove journal 0", "remove journal 1",
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 6, Seed: 5, Rate: 600,
		Classes: []string{"voice", "data"}, Numbers: []string{"92", "93", "94", "95"}, HangUp: 0.2, HangUpIn: 100 * time.Millisecond, Repeats: 0.1})
	random := rand.New(rand.NewPCG(11, 1))
	byStep, steady := 0, 0
	for life := range 56 {
		more := append([]string(nil), env...)
		wait := time.Duration(40+random.IntN(160)) * time.Millisecond
		if life%2 == 1 {
			more, wait = append(more, "KILL="+steps[life/2%len(steps)]), 1500*time.Millisecond
		}
		c := start(t, more, args...)
		c.await(t)
		select {
		case <-c.ended:
			byStep++
			require.Equal(t, syscall.SIGKILL, c.cmd.ProcessState.Sys().(syscall.WaitStatus).Signal(), c.log())
		case <-time.After(wait):
			steady++
		}
		c.kill()
	}
	require.Greater(t, byStep, 20, "processes that died at their step")
	last := start(t, env, args...)
	last.await(t)
	time.Sleep(300 * time.Millisecond) // some calls of a life that is not cut short
	cancel()
	counts := load.Wait()
	s.quiet()
	time.Sleep(2300 * time.Millisecond) // what is open from before is closed as unknown
	last.end(t)
	text, code := tool(t, "ledger", "verify", dir)
	require.Zero(t, code, text)
	time.Sleep(1300 * time.Millisecond) // the last period and its grace
	text, code = tool(t, "ledger", "export", dir, "--to", out)
	require.Zero(t, code, text)
	u := s.compare([]string{out}, load)
	t.Logf("%d lives ended at a step, %d between; callers saw %+v; stated %v", byStep, steady, counts, u.Map())
	require.NotZero(t, u[ledger.Recovered])
	require.GreaterOrEqual(t, u[ledger.EstablishedInTime]+u[ledger.EstablishedLate], int64(counts.Stood), "every call that stood for its caller")
	require.Less(t, int(u[ledger.EstablishedLate]), int(u[ledger.EstablishedInTime]))
	names, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Less(t, len(names), 50, "what was exported is removed")
}

// TestAcknowledged has a router under load killed again and again, and asks of each release that was answered, a case server's or a caller's, whether the call's end is written down. Only
// a life whose log says that the disk does not keep up may have answered one that it had only in memory.
func TestAcknowledged(t *testing.T) {
	t.Parallel()
	s := newStage(t, 3, standin.ServerConfig{Seed: 8, AnswerWithin: [2]time.Duration{time.Millisecond, 6 * time.Millisecond}, Hold: [2]time.Duration{50 * time.Millisecond, 1500 * time.Millisecond}})
	listen := port(t)
	dir, out := filepath.Join(s.dir, "ledger"), filepath.Join(s.dir, "out")
	env := s.config("n0", listen)
	args := []string{"serve", "--settings", s.file("settings", strings.Replace(books(dir, out, ""), "(unknown-after 2s)", "(unknown-after 4s)", 1))}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 6, Seed: 6, Rate: 1500, Classes: []string{"voice", "data"}, Numbers: []string{"92"}, HangUp: 0.9, HangUpIn: 200 * time.Millisecond})
	troubled := 0
	var bad [][2]time.Time
	random := rand.New(rand.NewPCG(12, 1))
	for range 12 {
		began := time.Now()
		c := start(t, env, args...)
		c.await(t)
		time.Sleep(time.Duration(150+random.IntN(350)) * time.Millisecond)
		c.kill()
		if strings.Contains(c.log(), "ledger_trouble") {
			troubled++
			bad = append(bad, [2]time.Time{began, time.Now()})
		}
	}
	last := start(t, env, args...)
	last.await(t)
	time.Sleep(700 * time.Millisecond)
	cancel()
	load.Wait()
	s.quiet()
	time.Sleep(4300 * time.Millisecond)
	last.end(t)
	time.Sleep(1300 * time.Millisecond)
	_, code := tool(t, "ledger", "export", dir, "--to", out)
	require.Zero(t, code)
	files, err := filepath.Glob(filepath.Join(out, "*.tgx"))
	require.NoError(t, err)
	unknown, stated := map[string]bool{}, map[uint64]bool{}
	for _, path := range files {
		e, err := ledgerio.ReadExport(durable.OS{}, path, func(calls []uint64) error {
			for _, c := range calls {
				stated[c] = true
			}
			return nil
		})
		require.NoError(t, err)
		for _, c := range e.Unknown {
			unknown[c.Call] = true
		}
	}
	calls, ends, lost, unstated := 0, 0, 0, 0
	var open []string
	troubledAt := func(at time.Time) bool {
		return slices.ContainsFunc(bad, func(life [2]time.Time) bool {
			return !at.Before(life[0]) && at.Before(life[1].Add(10*time.Millisecond))
		})
	}
	for _, one := range s.servers {
		for id, c := range one.Calls() {
			calls++
			if c.Answered && !stated[ledger.CallKey(id)] {
				unstated++
				if !troubledAt(c.First) && !troubledAt(c.Last) {
					open = append(open, fmt.Sprintf("%s, set up at %v, stood and is stated nowhere", id, c.First))
				}
			}
			acked := slices.DeleteFunc([]time.Time{c.Heard, load.Heard(id)}, time.Time.IsZero)
			if len(acked) == 0 {
				continue
			}
			ends++
			in := slices.ContainsFunc(acked, troubledAt)
			switch {
			case unknown[id] && in: // the disk was in trouble: calls go on without, as the page says
				lost++
			case unknown[id]:
				open = append(open, fmt.Sprintf("%s answered at %v, released by its caller %v", id, acked, c.ByCaller))
			}
		}
	}
	t.Logf("%d lives with the disk in trouble; %d calls, %d ends acknowledged, %d calls unknown, %d of both in those lives; %d stood and are stated nowhere; %d of either in other lives\n%s", troubled, calls, ends, len(unknown), lost, unstated, len(open), strings.Join(open, "\n"))
	require.Empty(t, open)
}

// TestTwoRouters has refused and failed calls tried again at another router, and both routers' exports merged by the command.
func TestTwoRouters(t *testing.T) {
	t.Parallel()
	s := newStage(t, 2, standin.ServerConfig{Seed: 4, AnswerWithin: [2]time.Duration{time.Millisecond, 3 * time.Millisecond},
		Hold: [2]time.Duration{50 * time.Millisecond, 200 * time.Millisecond}, Reject: 0.3})
	var loads []*standin.Load
	var outs []string
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	var routers []*child
	for i := range 2 {
		name, listen := fmt.Sprintf("n%d", i), port(t)
		dir, out := filepath.Join(s.dir, name), filepath.Join(s.dir, name+"-out")
		c := start(t, s.config(name, listen), "serve", "--settings", s.file(name+".sexp", books(dir, out, "")))
		c.await(t)
		routers, outs = append(routers, c), append(outs, out)
		loads = append(loads, standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 3, Seed: uint64(20 + i), Rate: 200,
			Classes: []string{"voice", "data"}, Numbers: []string{"92", "94", "96"}, Repeats: 0.3}))
	}
	stood := 0
	for _, l := range loads {
		stood += l.Wait().Stood
	}
	s.quiet()
	time.Sleep(1500 * time.Millisecond)
	for i, c := range routers {
		c.end(t)
		text, code := tool(t, "ledger", "export", filepath.Join(s.dir, fmt.Sprintf("n%d", i)), "--to", outs[i])
		require.Zero(t, code, text)
	}
	u := s.compare(outs, loads...)
	require.EqualValues(t, stood, u[ledger.EstablishedInTime]+u[ledger.EstablishedLate])
	require.NotZero(t, u[ledger.Repeats])
	saw := s.tally(loads...)
	require.InDelta(t, saw.held.Milliseconds(), u[ledger.HeldMs], 0.05*float64(saw.held.Milliseconds())+20)

	// The command: figures, report, and what it says of a missing and a copied file.
	csv, html := filepath.Join(s.dir, "all.csv"), filepath.Join(s.dir, "all.html")
	text, code := tool(t, "ledger", "merge", "--json", "--csv", csv, "--html", html, outs[0], outs[1], outs[0])
	require.Zero(t, code, text)
	var m merged
	require.NoError(t, json.Unmarshal([]byte(text), &m))
	require.EqualValues(t, u.Map(), m.Total)
	require.NotZero(t, m.Copies)
	page, err := os.ReadFile(html)
	require.NoError(t, err)
	require.Contains(t, string(page), "Nothing is missing")
	lines, err := os.ReadFile(csv)
	require.NoError(t, err)
	require.Equal(t, len(m.Rows)+1, strings.Count(string(lines), "\n"))
	files, _ := filepath.Glob(filepath.Join(outs[0], "*.tgx"))
	require.Greater(t, len(files), 2)
	require.NoError(t, os.Remove(files[1]))
	text, code = tool(t, "ledger", "merge", outs[0], outs[1])
	require.Equal(t, exitFinding, code, text)
	require.Contains(t, text, "gap: n0 statements 2 to 2 are missing")
}

// TestCorrect: a closed period is never touched; what is corrected goes out with the next export and names it.
func TestCorrect(t *testing.T) {
	t.Parallel()
	s := newStage(t, 2, standin.ServerConfig{Seed: 4, Hold: [2]time.Duration{20 * time.Millisecond, 30 * time.Millisecond}})
	listen, dir, out := port(t), filepath.Join(s.dir, "ledger"), filepath.Join(s.dir, "out")
	args := []string{"serve", "--settings", s.file("settings", books(dir, out, `(precedence number)`))}
	env := s.config("n0", listen)
	c := start(t, env, args...)
	c.await(t)
	ctx, cancel := context.WithCancel(t.Context())
	load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 1, Most: 20, Rate: 400, Classes: []string{"voice"}, Numbers: []string{"92"}})
	load.Wait()
	cancel()
	s.quiet()
	require.Eventually(t, func() bool { return strings.Contains(c.log(), "ledger_exported") }, 5*time.Second, 20*time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	c.end(t)
	files, _ := filepath.Glob(filepath.Join(out, "*.tgx"))
	before := map[string][]byte{}
	period := ""
	for _, path := range files {
		before[path], _ = os.ReadFile(path)
		if e, err := ledgerio.ReadExport(durable.OS{}, path, nil); err == nil && len(e.Lines) > 0 && period == "" {
			period = utc(e.From)
		}
	}
	fix := []string{"ledger", "correct", dir, "--tenant", "lda", "--class", "voice", "--field", "held_ms", "--delta", "-250", "--reason", "ticket 7", "--by", "desk 4", "--period"}
	text, code := tool(t, append(fix, period)...)
	require.Zero(t, code, text)
	text, code = tool(t, append(fix, utc(time.Now().Truncate(time.Second).UnixMilli()))...)
	require.Equal(t, exitFinding, code)
	require.Contains(t, text, "is not exported yet")
	_, code = tool(t, append(fix, "yesterday")...)
	require.Equal(t, exitUsage, code)
	time.Sleep(1300 * time.Millisecond)
	text, code = tool(t, "ledger", "export", dir, "--to", out)
	require.Zero(t, code, text)
	for path, b := range before {
		now, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, b, now, "an export was changed")
	}
	text, code = tool(t, "ledger", "merge", "--json", out)
	require.Zero(t, code, text)
	var m merged
	require.NoError(t, json.Unmarshal([]byte(text), &m))
	found := false
	for _, row := range m.Rows {
		if row.Period == period && row.Tenant == "lda" {
			found = true
			require.Equal(t, row.Stated["held_ms"]-250, row.Mended["held_ms"])
		}
	}
	require.True(t, found, text)
	text, code = tool(t, "ledger", "show", dir, "--tenant", "lda")
	require.Zero(t, code)
	require.Contains(t, text, "corrected")

	// A second process leaves the folder alone, and so does another router.
	one := start(t, env, args...)
	one.await(t)
	_, code = tool(t, "ledger", "verify", dir) // beside a running router
	require.Zero(t, code)
	two := start(t, s.config("n1", port(t)), args...)
	<-two.ended
	require.Equal(t, 1, two.cmd.ProcessState.ExitCode())
	require.Contains(t, two.log(), "locked by another process")
	one.end(t)
	two = start(t, s.config("n1", port(t)), args...)
	<-two.ended
	require.Contains(t, two.log(), "is the ledger of n0")

	// Damage is named with file and offset, by every command and by serve; a torn tail is a note.
	segments, _ := filepath.Glob(filepath.Join(dir, "journal-*.tgl"))
	path := segments[len(segments)-1]
	good, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, append(good, 1, 2, 3), 0o600))
	text, code = tool(t, "ledger", "verify", dir)
	require.Zero(t, code, text)
	require.Contains(t, text, "note: cut off by a crash")
	bad := append([]byte(nil), good...)
	bad[len(bad)/2] ^= 4
	require.NoError(t, os.WriteFile(path, bad, 0o600))
	for _, args := range [][]string{{"verify", dir}, {"show", dir}, {"export", dir, "--to", out}} {
		text, code = tool(t, append([]string{"ledger"}, args...)...)
		require.Equal(t, exitFinding, code, args)
		require.Contains(t, text, filepath.Base(path)+": offset ")
	}
	two = start(t, env, args...)
	<-two.ended
	require.Equal(t, 1, two.cmd.ProcessState.ExitCode())
	require.Contains(t, two.log(), filepath.Base(path)+": offset ")
}

// TestUsage: a wrong command line ends with 2.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{"ledger"}, {"ledger", "verify"}, {"ledger", "show", "x", "--nonsense"}, {"ledger", "export", "x"},
		{"ledger", "merge"}, {"ledger", "correct", "x", "--period", "2026-12-01T00:00:00Z"}} {
		text, code := tool(t, args...)
		require.Equal(t, exitUsage, code, "%v: %s", args, text)
	}
	text, code := tool(t, "ledger", "verify", t.TempDir())
	require.Equal(t, exitFinding, code)
	require.Contains(t, text, "is no ledger")
}

// TestReload: the tenants' tables are replaced at SIGHUP while calls run; a bad file changes nothing and is named; logs are JSON
// where the settings say so.
func TestReload(t *testing.T) {
	t.Parallel()
	s := newStage(t, 2, standin.ServerConfig{Hold: [2]time.Duration{5 * time.Millisecond, 9 * time.Millisecond}})
	listen, dir := port(t), filepath.Join(s.dir, "ledger")
	text := fmt.Sprintf("(threadglade\n (log (form json))\n (ledger (directory %q)\n  (tenant \"one\" (numbers \"92\"))))", dir)
	path := s.file("settings", text)
	c := start(t, s.config("n0", listen), "serve", "--settings", path)
	c.await(t)
	ctx, cancel := context.WithCancel(t.Context())
	load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 2, Rate: 300, Classes: []string{"voice"}, Numbers: []string{"92"}})
	hup := func(text, logged string) {
		s.file("settings", text)
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, c.cmd.Process.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool { return strings.Contains(c.log(), logged) }, 5*time.Second, 5*time.Millisecond, c.log)
		time.Sleep(100 * time.Millisecond)
	}
	hup(text[:len(text)-2]+"\n  (tenent \"x\")))", `settings:5: threadglade ledger: unknown field \"tenent\"`)
	hup(strings.Replace(text, `"one"`, `"two"`, 1), "ledger_tenants")
	cancel()
	n := load.Wait()
	require.Zero(t, n.Failed+n.Lost+n.Odd)
	s.quiet()
	c.end(t)
	for _, line := range strings.Split(strings.TrimSpace(c.log()), "\n") {
		require.True(t, json.Valid([]byte(line)), line)
	}
	v, err := ledgerio.Inspect(durable.OS{}, dir)
	require.NoError(t, err)
	one, two := v.Pending[0].Totals[ledger.Key{Tenant: "one", Class: "voice"}], v.Pending[0].Totals[ledger.Key{Tenant: "two", Class: "voice"}]
	require.EqualValues(t, n.Offered, one[ledger.Offered]+two[ledger.Offered])
	require.NotZero(t, one[ledger.Offered])
	require.NotZero(t, two[ledger.Offered])
}

// TestSlowDisk has each write hang in the system for 3 s while the router has one core: no answer is later than the patience and what a
// busy machine adds, and all is written in the end.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	s := newStage(t, 2, standin.ServerConfig{Hold: [2]time.Duration{5 * time.Millisecond, 9 * time.Millisecond}})
	listen, dir, out := port(t), filepath.Join(s.dir, "ledger"), filepath.Join(s.dir, "out")
	c := start(t, append(s.config("n0", listen), "KILL=slow journal 20"), "serve", "--settings", s.file("settings", books(dir, out, "")))
	c.await(t)
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 2, Rate: 200, Classes: []string{"voice"}, Numbers: []string{"92"}, Record: true})
	n := load.Wait()
	require.Zero(t, n.Failed+n.Lost+n.Odd)
	require.Greater(t, n.Offered, 600)
	require.Less(t, slices.Max(n.Latency), time.Second, "an answer waited for the disk")
	require.Contains(t, c.log(), "ledger_trouble")
	c.kill()
	c = start(t, s.config("n0", listen), "serve", "--settings", filepath.Join(s.dir, "settings"))
	c.await(t)
	time.Sleep(300 * time.Millisecond)
	c.end(t)
	text, code := tool(t, "ledger", "verify", dir)
	require.Zero(t, code, text)
}

// TestMergeFindings: a call that two routers claim, and a file of a later version, are findings of the command.
func TestMergeFindings(t *testing.T) {
	dir := t.TempDir()
	for _, router := range []string{"n0", "n1"} {
		e, calls := ledger.NewExport(ledger.Settings{Router: router, Length: 60_000}, &ledger.Statement{Sequence: 1, From: 60_000, To: 120_000, Calls: []uint64{7, 9}}, nil)
		require.NoError(t, ledgerio.WriteExport(durable.OS{}, filepath.Join(dir, e.FileName()), e, calls))
	}
	text, code := tool(t, "ledger", "merge", dir)
	require.Equal(t, exitFinding, code)
	require.Contains(t, text, "claim:  call 0000000000000007 stood in n0's statement 1 and in n1's statement 1")
	files, _ := filepath.Glob(filepath.Join(dir, "*.tgx"))
	b, err := os.ReadFile(files[0])
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files[0], durabletest.WithNextVersion(b), 0o600))
	text, code = tool(t, "ledger", "merge", dir)
	require.Equal(t, exitFinding, code)
	require.Contains(t, text, "newer: ")
	require.Contains(t, text, "version 2, this program reads up to 1")
	require.NotContains(t, text, "claim")
}

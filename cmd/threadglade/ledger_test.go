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

// ledgerSettings returns the settings of a ledger with short periods; more is added to its section.
func ledgerSettings(dir, out, more string) string {
	return fmt.Sprintf(`(threadglade
  (log (level info) (form text))
  (ledger (directory %q) (export %q) (period 1s) (grace 200ms) (unknown-after 2s) (sync 50ms) (keep 2s) (segment-kb 64) %s
    (tenant "lda" (numbers "92" "93"))
    (tenant "kda" (numbers "94"))))`, dir, out, more)
}

// tenantOf returns the tenant of a number according to ledgerSettings.
func tenantOf(number string) string {
	switch {
	case strings.HasPrefix(number, "92"), strings.HasPrefix(number, "93"):
		return "lda"
	case strings.HasPrefix(number, "94"):
		return "kda"
	}
	return ledger.Unassigned
}

// observedCalls is what the case servers observed, in terms that can be compared with a ledger.
type observedCalls struct {
	established      map[uint64]bool
	establishedByKey map[ledger.Key]int64
	received         int64
	crossed          int // answered as the router gave up the attempt: released at once and not established
	odd              int
	held             time.Duration
}

// observe collects what the case servers observed of the calls of loads. A call may be established only once.
func (s *testbed) observe(loads ...*standin.Load) *observedCalls {
	observed := &observedCalls{established: map[uint64]bool{}, establishedByKey: map[ledger.Key]int64{}}
	for _, one := range s.servers {
		observed.odd += one.Counts().Violations
		for id, c := range one.Calls() {
			observed.received += int64(c.Received)
			if !c.Answered {
				continue
			}
			hungUp := false
			for _, l := range loads {
				hungUp = hungUp || l.IsReleased(id)
			}
			if c.ReleasedByCaller && !hungUp {
				observed.crossed++
				continue
			}
			key := ledger.CallKey(id)
			require.False(s.t, observed.established[key], "%s was established twice", id)
			observed.established[key] = true
			observed.establishedByKey[ledger.Key{Tenant: tenantOf(c.Number), Class: c.Class}]++
			observed.held += c.HoldTime
		}
	}
	return observed
}

// compareExports requires the merged exports in the directories outs to agree with what the case servers observed: the
// same calls, each once, by tenant and class. It returns the total usage.
func (s *testbed) compareExports(outs []string, loads ...*standin.Load) ledger.Usage {
	var files []string
	for _, out := range outs {
		list, err := filepath.Glob(filepath.Join(out, "*.tgx"))
		require.NoError(s.t, err)
		files = append(files, list...)
	}
	r, _, err := mergeExportFiles(durable.OS{}, files)
	require.NoError(s.t, err)
	require.Empty(s.t, r.Findings)
	observed, stated := s.observe(loads...), map[uint64]bool{}
	for _, path := range files {
		_, err := ledgerio.ReadExport(durable.OS{}, path, func(calls []uint64) error {
			for _, c := range calls {
				require.False(s.t, stated[c], "%s is in two statements", ledger.FormatCallKey(c))
				stated[c] = true
			}
			return nil
		})
		require.NoError(s.t, err)
	}
	for c := range observed.established {
		require.True(s.t, stated[c], "%s was established at a case server but is in no statement", ledger.FormatCallKey(c))
	}
	require.Equal(s.t, len(observed.established), len(stated), "statements list calls that were not established")
	statedByKey := map[ledger.Key]int64{}
	for _, row := range r.Rows {
		if n := row.Mended[ledger.EstablishedInTime] + row.Mended[ledger.EstablishedLate]; n > 0 {
			statedByKey[row.Key] += n
		}
	}
	require.Equal(s.t, observed.establishedByKey, statedByKey)
	u := r.Total
	require.NoError(s.t, u.CheckBalance())
	require.Zero(s.t, observed.odd)
	// Every set-up that a case server received is an attempt; attempts that it may not have received have outcomes of
	// their own.
	require.LessOrEqual(s.t, observed.received, u.Attempts())
	require.GreaterOrEqual(s.t, observed.received,
		u.Attempts()-u[ledger.Lost]-u[ledger.Unreachable]-u[ledger.NotSent]-u[ledger.Cut])
	return u
}

// TestLedgerSurvivesKills kills a router under load 56 times, at random moments and at each named step of appending,
// closing, exporting and compacting. In the end its statements must equal what the case servers counted: no call and
// no period is lost or duplicated.
func TestLedgerSurvivesKills(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, 3, standin.ServerConfig{Seed: 3,
		AnswerDelay: [2]time.Duration{time.Millisecond, 6 * time.Millisecond},
		HoldTime:    [2]time.Duration{10 * time.Millisecond, 400 * time.Millisecond}, RejectShare: 0.05, CutShare: 0.05})
	listen := freeAddress(t)
	dir, out := filepath.Join(s.dir, "ledger"), filepath.Join(s.dir, "out")
	env := s.writeConfig("n0", listen)
	args := []string{"serve", "--settings", s.writeFile("settings", ledgerSettings(dir, out, "(patience 250ms)"))}
	steps := []string{ // values of KILL: OPERATION NAME COUNT
		"write journal 0", "write journal 3", "write journal 40", "write journal 200", "sync journal 0",
		"sync journal 2", "rename journal 0", "syncdir ledger 0", "syncdir ledger 1",
		"create exports 0", "write exports 0", "write exports 1", "write exports 2", "sync exports 0", "sync exports 1",
		"rename exports 0",
		"create tgx 0", "write tgx 0", "write tgx 2", "sync tgx 0", "rename tgx 0", "rename tgx 1", "syncdir out 0",
		"remove journal 0", "remove journal 1",
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 6, Seed: 5,
		Rate:    600,
		Classes: []string{"voice", "data"}, NumberPrefixes: []string{"92", "93", "94", "95"}, HangUpShare: 0.2,
		HangUpDelay: 100 * time.Millisecond, RepeatShare: 0.1})
	random := rand.New(rand.NewPCG(11, 1))
	killedAtStep, killedByTimer := 0, 0
	for run := range 56 {
		more := append([]string(nil), env...)
		wait := time.Duration(40+random.IntN(160)) * time.Millisecond
		if run%2 == 1 {
			more, wait = append(more, "KILL="+steps[run/2%len(steps)]), 1500*time.Millisecond
		}
		c := startChild(t, more, args...)
		c.waitReady(t)
		select {
		case <-c.exited:
			killedAtStep++
			require.Equal(t, syscall.SIGKILL, c.cmd.ProcessState.Sys().(syscall.WaitStatus).Signal(), c.log())
		case <-time.After(wait):
			killedByTimer++
		}
		c.kill()
	}
	require.Greater(t, killedAtStep, 20, "processes killed at their step")
	last := startChild(t, env, args...)
	last.waitReady(t)
	time.Sleep(300 * time.Millisecond) // some calls of a process that isn't killed
	cancel()
	counts := load.Wait()
	s.waitIdle()
	time.Sleep(2300 * time.Millisecond) // calls still open from killed processes are closed as unknown
	last.terminate(t)
	text, code := runTool(t, "ledger", "verify", dir)
	require.Zero(t, code, text)
	time.Sleep(1300 * time.Millisecond) // until the last period and its grace time are over
	text, code = runTool(t, "ledger", "export", dir, "--to", out)
	require.Zero(t, code, text)
	u := s.compareExports([]string{out}, load)
	t.Logf("%d processes killed at a step, %d at a random time; callers saw %+v; stated %v", killedAtStep,
		killedByTimer, counts, u.Map())
	require.NotZero(t, u[ledger.Recovered])
	require.GreaterOrEqual(t, u[ledger.EstablishedInTime]+u[ledger.EstablishedLate], int64(counts.Established),
		"every call that was established for its caller")
	require.Less(t, int(u[ledger.EstablishedLate]), int(u[ledger.EstablishedInTime]))
	names, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Less(t, len(names), 50, "exported segments are removed")
}

// TestAcknowledgedReleasesAreStored kills a router under load again and again. The end of every call whose release
// was answered, to a case server or to a caller, must be in the ledger. Only a process that has logged that the disk
// doesn't keep up may have answered a release that it had only in memory.
func TestAcknowledgedReleasesAreStored(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, 3, standin.ServerConfig{Seed: 8,
		AnswerDelay: [2]time.Duration{time.Millisecond, 6 * time.Millisecond},
		HoldTime:    [2]time.Duration{50 * time.Millisecond, 1500 * time.Millisecond}})
	listen := freeAddress(t)
	dir, out := filepath.Join(s.dir, "ledger"), filepath.Join(s.dir, "out")
	env := s.writeConfig("n0", listen)
	args := []string{"serve", "--settings", s.writeFile("settings", strings.Replace(ledgerSettings(dir, out, ""),
		"(unknown-after 2s)", "(unknown-after 4s)", 1))}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 6, Seed: 6,
		Rate: 1500, Classes: []string{"voice", "data"}, NumberPrefixes: []string{"92"}, HangUpShare: 0.9,
		HangUpDelay: 200 * time.Millisecond})
	troubledRuns := 0
	var troubledSpans [][2]time.Time
	random := rand.New(rand.NewPCG(12, 1))
	for range 12 {
		start := time.Now()
		c := startChild(t, env, args...)
		c.waitReady(t)
		time.Sleep(time.Duration(150+random.IntN(350)) * time.Millisecond)
		c.kill()
		if strings.Contains(c.log(), "ledger_trouble") {
			troubledRuns++
			troubledSpans = append(troubledSpans, [2]time.Time{start, time.Now()})
		}
	}
	last := startChild(t, env, args...)
	last.waitReady(t)
	time.Sleep(700 * time.Millisecond)
	cancel()
	load.Wait()
	s.waitIdle()
	time.Sleep(4300 * time.Millisecond)
	last.terminate(t)
	time.Sleep(1300 * time.Millisecond)
	_, code := runTool(t, "ledger", "export", dir, "--to", out)
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
		return slices.ContainsFunc(troubledSpans, func(run [2]time.Time) bool {
			return !at.Before(run[0]) && at.Before(run[1].Add(10*time.Millisecond))
		})
	}
	for _, one := range s.servers {
		for id, c := range one.Calls() {
			calls++
			if c.Answered && !stated[ledger.CallKey(id)] {
				unstated++
				if !troubledAt(c.FirstInviteAt) && !troubledAt(c.EndedAt) {
					open = append(open, fmt.Sprintf("%s, set up at %v, was established but is in no statement", id,
						c.FirstInviteAt))
				}
			}
			acked := slices.DeleteFunc([]time.Time{c.ReleaseAckedAt, load.ReleaseAckedAt(id)}, time.Time.IsZero)
			if len(acked) == 0 {
				continue
			}
			ends++
			troubled := slices.ContainsFunc(acked, troubledAt)
			switch {
			// while the disk is too slow, calls continue without waiting for it, as documented
			case unknown[id] && troubled:
				lost++
			case unknown[id]:
				open = append(open, fmt.Sprintf("%s answered at %v, released by its caller %v", id, acked, c.ReleasedByCaller))
			}
		}
	}
	t.Logf("disk too slow in %d processes; %d calls, %d ends acknowledged, %d unknown, %d of them acknowledged by these "+
		"processes; %d established but in no statement; %d of either in other processes\n%s",
		troubledRuns, calls, ends, len(unknown), lost, unstated, len(open), strings.Join(open, "\n"))
	require.Empty(t, open)
}

// TestTwoRouters has callers at two routers, some of whose set-ups are marked as repeats, and merges the exports of
// both routers with the merge command.
func TestTwoRouters(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, 2, standin.ServerConfig{Seed: 4,
		AnswerDelay: [2]time.Duration{time.Millisecond, 3 * time.Millisecond},
		HoldTime:    [2]time.Duration{50 * time.Millisecond, 200 * time.Millisecond}, RejectShare: 0.3})
	var loads []*standin.Load
	var outs []string
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	var routers []*child
	for i := range 2 {
		name, listen := fmt.Sprintf("n%d", i), freeAddress(t)
		dir, out := filepath.Join(s.dir, name), filepath.Join(s.dir, name+"-out")
		c := startChild(t, s.writeConfig(name, listen), "serve", "--settings",
			s.writeFile(name+".sexp", ledgerSettings(dir, out, "")))
		c.waitReady(t)
		routers, outs = append(routers, c), append(outs, out)
		loads = append(loads, standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen },
			Connections: 3, Seed: uint64(20 + i), Rate: 200,
			Classes: []string{"voice", "data"}, NumberPrefixes: []string{"92", "94", "96"}, RepeatShare: 0.3}))
	}
	stood := 0
	for _, l := range loads {
		stood += l.Wait().Established
	}
	s.waitIdle()
	time.Sleep(1500 * time.Millisecond)
	for i, c := range routers {
		c.terminate(t)
		text, code := runTool(t, "ledger", "export", filepath.Join(s.dir, fmt.Sprintf("n%d", i)), "--to", outs[i])
		require.Zero(t, code, text)
	}
	u := s.compareExports(outs, loads...)
	require.EqualValues(t, stood, u[ledger.EstablishedInTime]+u[ledger.EstablishedLate])
	require.NotZero(t, u[ledger.Repeats])
	observed := s.observe(loads...)
	require.InDelta(t, observed.held.Milliseconds(), u[ledger.HeldMs], 0.05*float64(observed.held.Milliseconds())+20)

	// The merge command: its figures, its report, and its findings on a missing and a copied file.
	csv, html := filepath.Join(s.dir, "all.csv"), filepath.Join(s.dir, "all.html")
	text, code := runTool(t, "ledger", "merge", "--json", "--csv", csv, "--html", html, outs[0], outs[1], outs[0])
	require.Zero(t, code, text)
	var m mergeResult
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
	text, code = runTool(t, "ledger", "merge", outs[0], outs[1])
	require.Equal(t, exitFinding, code, text)
	require.Contains(t, text, "gap: n0 statements 2 to 2 are missing")
}

// TestCorrect checks that a correction leaves exported files unchanged and goes into the next export, under the
// period it corrects. It also checks that a ledger's directory is locked and bound to its router, and that damage is
// reported with file and offset.
func TestCorrect(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, 2, standin.ServerConfig{Seed: 4,
		HoldTime: [2]time.Duration{20 * time.Millisecond, 30 * time.Millisecond}})
	listen, dir, out := freeAddress(t), filepath.Join(s.dir, "ledger"), filepath.Join(s.dir, "out")
	args := []string{"serve", "--settings", s.writeFile("settings", ledgerSettings(dir, out, `(precedence number)`))}
	env := s.writeConfig("n0", listen)
	c := startChild(t, env, args...)
	c.waitReady(t)
	ctx, cancel := context.WithCancel(t.Context())
	load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 1, MaxInvites: 20,
		Rate: 400, Classes: []string{"voice"}, NumberPrefixes: []string{"92"}})
	load.Wait()
	cancel()
	s.waitIdle()
	require.Eventually(t, func() bool { return strings.Contains(c.log(), "ledger_exported") }, 5*time.Second,
		20*time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	c.terminate(t)
	files, _ := filepath.Glob(filepath.Join(out, "*.tgx"))
	before := map[string][]byte{}
	period := ""
	for _, path := range files {
		before[path], _ = os.ReadFile(path)
		if e, err := ledgerio.ReadExport(durable.OS{}, path, nil); err == nil && len(e.Lines) > 0 && period == "" {
			period = formatMillis(e.From)
		}
	}
	correctArgs := []string{"ledger", "correct", dir, "--tenant", "lda", "--class", "voice", "--field", "held_ms",
		"--delta", "-250", "--reason", "ticket 7", "--by", "desk 4", "--period"}
	text, code := runTool(t, append(correctArgs, period)...)
	require.Zero(t, code, text)
	text, code = runTool(t, append(correctArgs, formatMillis(time.Now().Truncate(time.Second).UnixMilli()))...)
	require.Equal(t, exitFinding, code)
	require.Contains(t, text, "is not exported yet")
	_, code = runTool(t, append(correctArgs, "yesterday")...)
	require.Equal(t, exitUsage, code)
	time.Sleep(1300 * time.Millisecond)
	text, code = runTool(t, "ledger", "export", dir, "--to", out)
	require.Zero(t, code, text)
	for path, b := range before {
		now, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, b, now, "an export was changed")
	}
	text, code = runTool(t, "ledger", "merge", "--json", out)
	require.Zero(t, code, text)
	var m mergeResult
	require.NoError(t, json.Unmarshal([]byte(text), &m))
	found := false
	for _, row := range m.Rows {
		if row.Period == period && row.Tenant == "lda" {
			found = true
			require.Equal(t, row.Stated["held_ms"]-250, row.Corrected["held_ms"])
		}
	}
	require.True(t, found, text)
	text, code = runTool(t, "ledger", "show", dir, "--tenant", "lda")
	require.Zero(t, code)
	require.Contains(t, text, "corrected")

	// The directory is locked by the process that uses it, and belongs to one router.
	one := startChild(t, env, args...)
	one.waitReady(t)
	_, code = runTool(t, "ledger", "verify", dir) // beside a running router
	require.Zero(t, code)
	two := startChild(t, s.writeConfig("n1", freeAddress(t)), args...)
	<-two.exited
	require.Equal(t, 1, two.cmd.ProcessState.ExitCode())
	require.Contains(t, two.log(), "locked by another process")
	one.terminate(t)
	two = startChild(t, s.writeConfig("n1", freeAddress(t)), args...)
	<-two.exited
	require.Contains(t, two.log(), "is the ledger of n0")

	// Every command and serve report damage with file and offset; a torn tail is only a note.
	segments, _ := filepath.Glob(filepath.Join(dir, "journal-*.tgl"))
	path := segments[len(segments)-1]
	good, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, append(good, 1, 2, 3), 0o600))
	text, code = runTool(t, "ledger", "verify", dir)
	require.Zero(t, code, text)
	require.Contains(t, text, "note: cut off by a crash")
	bad := append([]byte(nil), good...)
	bad[len(bad)/2] ^= 4
	require.NoError(t, os.WriteFile(path, bad, 0o600))
	for _, args := range [][]string{{"verify", dir}, {"show", dir}, {"export", dir, "--to", out}} {
		text, code = runTool(t, append([]string{"ledger"}, args...)...)
		require.Equal(t, exitFinding, code, args)
		require.Contains(t, text, filepath.Base(path)+": offset ")
	}
	two = startChild(t, env, args...)
	<-two.exited
	require.Equal(t, 1, two.cmd.ProcessState.ExitCode())
	require.Contains(t, two.log(), filepath.Base(path)+": offset ")
}

// TestUsage checks that an invalid command line exits with exitUsage, and a directory without a ledger with
// exitFinding.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{"ledger"}, {"ledger", "verify"}, {"ledger", "show", "x", "--nonsense"},
		{"ledger", "export", "x"},
		{"ledger", "merge"}, {"ledger", "correct", "x", "--period", "2026-12-01T00:00:00Z"}} {
		text, code := runTool(t, args...)
		require.Equal(t, exitUsage, code, "%v: %s", args, text)
	}
	text, code := runTool(t, "ledger", "verify", t.TempDir())
	require.Equal(t, exitFinding, code)
	require.Contains(t, text, "is no ledger")
}

// TestReload replaces the tenants' tables by SIGHUP under load. An invalid file changes nothing and is logged with
// file and line. Logs are JSON if the settings say so.
func TestReload(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, 2, standin.ServerConfig{HoldTime: [2]time.Duration{5 * time.Millisecond, 9 * time.Millisecond}})
	listen, dir := freeAddress(t), filepath.Join(s.dir, "ledger")
	text := fmt.Sprintf("(threadglade\n (log (form json))\n (ledger (directory %q)\n  (tenant \"one\" (numbers \"92\"))))",
		dir)
	path := s.writeFile("settings", text)
	c := startChild(t, s.writeConfig("n0", listen), "serve", "--settings", path)
	c.waitReady(t)
	ctx, cancel := context.WithCancel(t.Context())
	load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 2,
		Rate: 300, Classes: []string{"voice"}, NumberPrefixes: []string{"92"}})
	reload := func(text, logged string) {
		s.writeFile("settings", text)
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, c.cmd.Process.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool { return strings.Contains(c.log(), logged) }, 5*time.Second,
			5*time.Millisecond, c.log)
		time.Sleep(100 * time.Millisecond)
	}
	reload(text[:len(text)-2]+"\n  (tenent \"x\")))", `settings:5: threadglade ledger: unknown field \"tenent\"`)
	reload(strings.Replace(text, `"one"`, `"two"`, 1), "ledger_tenants")
	cancel()
	n := load.Wait()
	require.Zero(t, n.Failed+n.Lost+n.Violations)
	s.waitIdle()
	c.terminate(t)
	for _, line := range strings.Split(strings.TrimSpace(c.log()), "\n") {
		require.True(t, json.Valid([]byte(line)), line)
	}
	v, err := ledgerio.Inspect(durable.OS{}, dir)
	require.NoError(t, err)
	one, two := v.Pending[0].Totals[ledger.Key{Tenant: "one", Class: "voice"}],
		v.Pending[0].Totals[ledger.Key{Tenant: "two", Class: "voice"}]
	require.EqualValues(t, n.Offered, one[ledger.Offered]+two[ledger.Offered])
	require.NotZero(t, one[ledger.Offered])
	require.NotZero(t, two[ledger.Offered])
}

// TestSlowDisk has each write block in the kernel for 3 s, on a router with one core. No answer may be later than the
// patience plus what a busy machine adds, and the ledger is complete in the end.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, 2, standin.ServerConfig{HoldTime: [2]time.Duration{5 * time.Millisecond, 9 * time.Millisecond}})
	listen, dir, out := freeAddress(t), filepath.Join(s.dir, "ledger"), filepath.Join(s.dir, "out")
	c := startChild(t, append(s.writeConfig("n0", listen), "KILL=slow journal 20"), "serve", "--settings",
		s.writeFile("settings", ledgerSettings(dir, out, "")))
	c.waitReady(t)
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	load := standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen }, Connections: 2,
		Rate: 200, Classes: []string{"voice"}, NumberPrefixes: []string{"92"}, RecordOutcomes: true})
	n := load.Wait()
	require.Zero(t, n.Failed+n.Lost+n.Violations)
	require.Greater(t, n.Offered, 600)
	require.Less(t, slices.Max(n.Latency), time.Second, "an answer waited for the disk")
	require.Contains(t, c.log(), "ledger_trouble")
	c.kill()
	c = startChild(t, s.writeConfig("n0", listen), "serve", "--settings", filepath.Join(s.dir, "settings"))
	c.waitReady(t)
	time.Sleep(300 * time.Millisecond)
	c.terminate(t)
	text, code := runTool(t, "ledger", "verify", dir)
	require.Zero(t, code, text)
}

// TestMergeFindings checks that merge reports a call that two routers claim and a file of a newer version as
// findings.
func TestMergeFindings(t *testing.T) {
	dir := t.TempDir()
	for _, router := range []string{"n0", "n1"} {
		e, calls := ledger.NewExport(ledger.Settings{Router: router, Length: 60_000},
			&ledger.Statement{Sequence: 1, From: 60_000, To: 120_000, Calls: []uint64{7, 9}}, nil)
		require.NoError(t, ledgerio.WriteExport(durable.OS{}, filepath.Join(dir, e.FileName()), e, calls))
	}
	text, code := runTool(t, "ledger", "merge", dir)
	require.Equal(t, exitFinding, code)
	require.Contains(t, text, "claim:  call 0000000000000007 stood in n0's statement 1 and in n1's statement 1")
	files, _ := filepath.Glob(filepath.Join(dir, "*.tgx"))
	b, err := os.ReadFile(files[0])
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files[0], durabletest.WithNextVersion(b), 0o600))
	text, code = runTool(t, "ledger", "merge", dir)
	require.Equal(t, exitFinding, code)
	require.Contains(t, text, "newer: ")
	require.Contains(t, text, "version 2, this program reads up to 1")
	require.NotContains(t, text, "claim")
}

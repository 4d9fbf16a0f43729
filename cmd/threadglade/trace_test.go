package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/internal/traceio"
	"threadglade.example/threadglade/trace"
)

// TestTrace records traces of two routers under load, of which one is killed, and runs every trace command on the
// files. What is read back must equal what callers and case servers counted.
func TestTrace(t *testing.T) {
	t.Parallel()
	s := newTestbed(t, 2, standin.ServerConfig{Seed: 9,
		AnswerDelay: [2]time.Duration{time.Millisecond, 5 * time.Millisecond},
		HoldTime:    [2]time.Duration{50 * time.Millisecond, 300 * time.Millisecond}, RejectShare: 0.1})
	start := time.Now()
	var loads []*standin.Load
	var routers []*child
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 2 {
		name, listen := fmt.Sprintf("n%d", i), freeAddress(t)
		dir := filepath.Join(s.dir, name)
		c := startChild(t, s.writeConfig(name, listen), "serve", "--settings", s.writeFile(name+".sexp", fmt.Sprintf(
			`(threadglade (trace (directory %q) (block 200ms) (flight 5s) (flight-directory %q)))`, dir,
			dir+"-flight")))
		c.waitReady(t)
		routers = append(routers, c)
		loads = append(loads, standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen },
			Connections: 3, Seed: uint64(40 + i), Rate: 250,
			Classes: []string{"voice", "data"}, NumberPrefixes: []string{"92", "94"}, RepeatShare: 0.2, RecordOutcomes: true}))
	}
	time.Sleep(1200 * time.Millisecond)
	require.NoError(t, routers[0].cmd.Process.Signal(syscall.SIGUSR2))
	time.Sleep(300 * time.Millisecond)
	cancel()
	offered := 0
	for _, l := range loads {
		n := l.Wait()
		require.Zero(t, n.Lost)
		offered += n.Offered
	}
	s.waitIdle()
	time.Sleep(700 * time.Millisecond)
	routers[0].terminate(t)
	routers[1].kill() // so that its file has no index
	find := func(dir string) []string {
		list, err := filepath.Glob(filepath.Join(s.dir, dir, "*"+traceio.Extension))
		require.NoError(t, err)
		require.Len(t, list, 1)
		return list
	}
	one, two, flight := find("n0")[0], find("n1")[0], find("n0-flight")[0]
	run := func(args ...string) string {
		text, code := runTool(t, append([]string{"trace"}, args...)...)
		require.Zero(t, code, "%v: %s", args, text)
		return text
	}
	require.Contains(t, run("verify", one), "good")
	require.Contains(t, run("verify", two), "note: cut off by a crash")
	require.Contains(t, run("verify", flight), "good")
	require.Contains(t, run("info", one), "router n0")

	all := filepath.Join(s.dir, "all.tgt")
	require.Contains(t, run("merge", one, two, "-o", all), "lists")
	// The merged trace has every call of the callers with its answer, and every set-up that a server received.
	ends, sent := map[string]string{}, 0
	var first string
	file, err := traceio.Open(durable.OS{}, all)
	require.NoError(t, err)
	last := int64(0)
	require.NoError(t, file.Each(trace.Selection{}, func(r *trace.Record) error {
		require.GreaterOrEqual(t, r.At, last)
		last = r.At
		switch r.Kind {
		case trace.Answer:
			require.NotContains(t, ends, r.Texts[trace.Call], "two final answers")
			ends[r.Texts[trace.Call]] = trace.AnswerResult(r.Figures[trace.FinalAnswer]).String()
		case trace.Decision:
			if trace.Action(r.Figures[trace.ActionCode]) == trace.ActionSent {
				sent++
			}
		case trace.AttemptEnd:
			if first == "" {
				first = r.Texts[trace.Call]
			}
		}
		return nil
	}))
	file.Close()
	require.Len(t, ends, offered)
	for _, l := range loads {
		for call, end := range l.Outcomes() {
			require.Equal(t, end, ends[call])
		}
	}
	received := 0
	for _, one := range s.servers {
		received += one.Counts().Received
	}
	require.Equal(t, received, sent)

	explanation := run("explain", all, first)
	require.Contains(t, explanation, "Attempt 1 went to s")
	require.Contains(t, explanation, "rejected, processor full")
	var groups []*trace.Group
	require.NoError(t, json.Unmarshal([]byte(run("summary", all, "--by", "class", "--json")), &groups))
	require.Len(t, groups, 2)
	require.EqualValues(t, offered, groups[0].Offered+groups[1].Offered)
	require.Contains(t, run("summary", all, "--by", "reason", "--every", "500ms"), "first choice")

	middle := start.Add(700 * time.Millisecond).UTC().Format(time.RFC3339Nano)
	a, b := filepath.Join(s.dir, "a.tgt"), filepath.Join(s.dir, "b.tgt")
	var halves [2]traceio.CutResult
	require.NoError(t, json.Unmarshal([]byte(run("cut", all, "--to", middle, "-o", a, "--json")), &halves[0]))
	require.NoError(t, json.Unmarshal([]byte(run("cut", all, "--from", middle, "-o", b, "--json")), &halves[1]))
	var m struct{ Records int64 }
	require.NoError(t, json.Unmarshal([]byte(run("verify", all, "--json")), &m))
	require.Equal(t, m.Records, halves[0].Records+halves[1].Records-halves[1].Carried)
	require.NotZero(t, halves[1].Carried)

	key, hidden := s.writeFile("key", strings.Repeat("k", 32)), filepath.Join(s.dir, "hidden.tgt")
	run("anonymise", all, "-o", hidden, "--key", key)
	plain := run("export", hidden, "--to", "jsonl")
	raw, err := os.ReadFile(hidden)
	require.NoError(t, err)
	for call := range ends {
		require.NotContains(t, plain, call)
		require.NotContains(t, string(raw), call)
	}
	require.NotContains(t, plain, "127.0.0.1")

	spans := run("export", all, "--to", "otlp-json")
	require.Equal(t, offered, strings.Count(spans, `"name":"call"`))
	require.True(t, json.Valid([]byte(spans[:strings.IndexByte(spans, '\n')])))
	page := filepath.Join(s.dir, "page.html")
	run("report", all, "-o", page)
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	require.GreaterOrEqual(t, strings.Count(string(text), "<svg"), 2)
	run("why", all, "--from", middle, "--to", time.Now().UTC().Format(time.RFC3339Nano))

	// Findings and invalid arguments have their exit codes.
	out, code := runTool(t, "trace", "explain", all, "none")
	require.Equal(t, exitFinding, code)
	require.Contains(t, out, "no call none")
	for _, args := range [][]string{{}, {"info"}, {"cut", all}, {"cut", all, "-o", a, "--from", "noon"},
		{"summary", all, "--by", "moon"}, {"export", all, "--to", "xml"}, {"why", all}} {
		_, code := runTool(t, append([]string{"trace"}, args...)...)
		require.Equal(t, exitUsage, code, "%v", args)
	}
	raw[len(raw)/2] ^= 1
	require.NoError(t, os.WriteFile(hidden, raw, 0o600))
	out, code = runTool(t, "trace", "verify", hidden)
	require.Equal(t, exitFinding, code)
	require.Contains(t, out, "hidden.tgt: offset ")
}

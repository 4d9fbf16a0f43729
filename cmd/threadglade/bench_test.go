package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/ledgerio"
	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/internal/traceio"
	"threadglade.example/threadglade/ledger"
	"threadglade.example/threadglade/trace"
)

// These benchmarks take too long for CI. docs/design/ledger.md quotes their results:
//
//	go test ./cmd/threadglade -run '^$' -bench Serve -benchtime 1x -timeout 20m
//
// The environment variable OTHER is the path of another build of the program, which the mode other measures with
// everything off. MODES lists the modes to measure: off, ledger, trace, fleet, verdicts, kept, fast (the last two
// replicate calls in progress to two more routers of the fleet) and other.

// measurement is the result of one measured run of a router.
type measurement struct {
	callsPerSecond   float64
	cpuMicrosPerCall float64 // CPU time of the router's process
	p50, p99         time.Duration
	bytesPerCall     float64 // written to the ledger or the trace
}

// measure runs a router in a mode under load for a span of time. rate is in calls per second; at 0 the callers make as
// many calls as the router can handle.
func measure(b *testing.B, program, mode string, rate float64, span time.Duration) measurement {
	s := newTestbed(b, 3, standin.ServerConfig{Seed: 1, HoldTime: [2]time.Duration{time.Millisecond, 3 * time.Millisecond},
		FreeAgents: 1 << 19})
	listen, args := freeAddress(b), []string{"serve"}
	dir := filepath.Join(s.dir, "ledger")
	switch mode {
	case "ledger":
		args = append(args, "--settings",
			s.writeFile("settings",
				fmt.Sprintf(`(threadglade (ledger (directory %q) (period 1m) (tenant "lda" (numbers "92"))))`, dir)))
	case "trace":
		args = append(args, "--settings", s.writeFile("settings", fmt.Sprintf(`(threadglade (trace (directory %q)))`,
			dir)))
	case "fleet":
		args = append(args, "--settings", s.startKeepers(b, "", ""))
	case "verdicts": // on top of the fleet
		args = append(args, "--settings", s.startKeepers(b, fmt.Sprintf(`(listen %q) (zone "a")`, freeAddress(b)),
			`(verdicts)`))
	case "kept", "fast": // on top of the fleet
		args = append(args, "--settings", s.startKeepers(b, fmt.Sprintf(`(listen %q) (zone "a")`, freeAddress(b)),
			`(takeover (mode `+mode+`))`, "b", "c"))
	}
	c := startProgram(b, program, s.writeConfig("n0", listen), args...)
	c.waitReady(b)
	if mode == "kept" || mode == "fast" {
		time.Sleep(3 * time.Second) // until the other routers hold a replica
	}
	ctx, cancel := context.WithTimeout(b.Context(), span)
	defer cancel()
	cfg := standin.LoadConfig{Target: func() string { return listen }, Connections: 64, Window: 6, Rate: rate, Seed: 2,
		Classes: []string{"voice"}, NumberPrefixes: []string{"92"}, RecordOutcomes: rate > 0}
	start := time.Now()
	n := standin.StartLoad(ctx, cfg).Wait()
	took := time.Since(start)
	if n.Violations+n.Failed+n.Lost > 0 {
		s.waitIdle()
		c.terminate(b)
		b.Log(c.log())
	}
	require.Zero(b, n.Violations+n.Failed+n.Lost, "%s: %+v", mode,
		struct{ Odd, Failed, Lost, Refused int }{n.Violations, n.Failed, n.Lost, n.Refused})
	s.waitIdle()
	c.terminate(b)
	use := c.cmd.ProcessState.SysUsage().(*syscall.Rusage)
	cpu := time.Duration(use.Utime.Nano() + use.Stime.Nano())
	result := measurement{callsPerSecond: float64(n.Established) / took.Seconds(),
		cpuMicrosPerCall: float64(cpu.Microseconds()) / float64(n.Established)}
	if len(n.Latency) > 0 {
		slices.Sort(n.Latency)
		result.p50, result.p99 = n.Latency[len(n.Latency)/2], n.Latency[len(n.Latency)*99/100]
	}
	switch mode {
	case "ledger":
		v, err := ledgerio.Inspect(fileSystem, dir)
		require.NoError(b, err)
		result.bytesPerCall = float64(v.Bytes) / float64(n.Established)
	case "trace":
		files, err := filepath.Glob(filepath.Join(dir, "*"+traceio.Extension))
		require.NoError(b, err)
		requests, size := 0, int64(0)
		for _, path := range files {
			f, err := traceio.Open(fileSystem, path)
			require.NoError(b, err)
			require.NoError(b, f.Each(trace.Selection{}, func(r *trace.Record) error {
				if r.Kind == trace.Request {
					requests++
				}
				return nil
			}))
			size += f.Size()
			f.Close()
		}
		require.Equal(b, n.Offered, requests, "the trace is complete")
		result.bytesPerCall = float64(size) / float64(requests)
	}
	return result
}

// startKeepers starts three keepers, and one more router in each of zones, and returns the path of the settings of a
// router of their fleet. fleetFields is added to its (fleet ...) section; otherSections follows that section, also in
// the settings of the routers in zones.
func (s *testbed) startKeepers(b *testing.B, fleetFields, otherSections string, zones ...string) string {
	var section strings.Builder
	for i := range 3 {
		fmt.Fprintf(&section, `(keeper "k%d" (address %q))`, i, freeAddress(b))
	}
	text := `(threadglade (fleet (name "bench") (members "n*") (directory %q) ` + section.String() + `))`
	path := s.writeFile("fleet", fmt.Sprintf(text, ""))
	out := filepath.Join(s.dir, "founded")
	output, code := runTool(b, "fleet", "found", "--settings", path, "-o", out)
	require.Zero(b, code, output)
	for i := range 3 {
		name := fmt.Sprintf("k%d", i)
		k := startProgram(b, os.Args[0], nil, "fleet", "keeper", "--name", name, "--settings",
			s.writeFile(name, fmt.Sprintf(text, filepath.Join(out, name))))
		b.Cleanup(k.kill)
	}
	for i, zone := range zones {
		name := fmt.Sprintf("n%d", i+1)
		other := startProgram(b, os.Args[0], s.writeConfig(name, freeAddress(b)), "serve", "--settings",
			s.writeFile(name, fmt.Sprintf(`(threadglade (fleet (name "bench") (members "n*") `+section.String()+` (listen %q) (zone %q)) %s)`,
				freeAddress(b), zone, otherSections)))
		b.Cleanup(other.kill)
	}
	return s.writeFile("router",
		fmt.Sprintf(`(threadglade (fleet (name "bench") (members "n*") `+section.String()+` %s) %s)`, fleetFields,
			otherSections))
}

// median sorts list and returns its median.
func median(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
}

// BenchmarkServe measures a router on real sockets in each of the modes in turn, and reports the medians and their
// ratios to the first mode.
func BenchmarkServe(b *testing.B) {
	for _, rate := range []float64{0, 2000} {
		name := "as many as go"
		if rate > 0 {
			name = fmt.Sprintf("%v a second", rate)
		}
		b.Run(name, func(b *testing.B) {
			const pairs = 5
			modes := strings.Fields(cmp.Or(os.Getenv("MODES"), "off ledger trace"))
			calls, cpu, p50, p99 := make([][]float64, len(modes)), make([][]float64, len(modes)),
				make([][]float64, len(modes)), make([][]float64, len(modes))
			bytes := make([]float64, len(modes))
			for range pairs {
				for i, mode := range modes {
					program := os.Args[0]
					if mode == "other" {
						program = os.Getenv("OTHER")
					}
					result := measure(b, program, mode, rate, 4*time.Second)
					calls[i], cpu[i] = append(calls[i], result.callsPerSecond), append(cpu[i], result.cpuMicrosPerCall)
					p50[i], p99[i] = append(p50[i], float64(result.p50.Microseconds())),
						append(p99[i], float64(result.p99.Microseconds()))
					bytes[i] = result.bytesPerCall
				}
			}
			for i, mode := range modes {
				b.ReportMetric(median(calls[i]), "calls/s-"+mode)
				b.ReportMetric(median(cpu[i]), "us-cpu/call-"+mode)
				if rate > 0 {
					b.ReportMetric(median(p50[i]), "us-p50-"+mode)
					b.ReportMetric(median(p99[i]), "us-p99-"+mode)
				}
			}
			for i, mode := range modes[1:] {
				b.ReportMetric(median(calls[i+1])/median(calls[0]), "ratio-"+mode)
				if bytes[i+1] > 0 {
					b.ReportMetric(bytes[i+1], "bytes/call-"+mode)
				}
			}
		})
	}
}

// BenchmarkMerge runs the merge command on the exports of eight routers with a million calls each, and reports its
// time and peak memory.
func BenchmarkMerge(b *testing.B) {
	const routers, periods, calls = 8, 10, 100_000
	dir := b.TempDir()
	random := rand.New(rand.NewPCG(1, 2))
	for r := range routers {
		for p := range periods {
			s := &ledger.Statement{Sequence: uint64(p + 1), From: int64(p) * 3_600_000, To: int64(p+1) * 3_600_000,
				Totals: map[ledger.Key]*ledger.Usage{}}
			for t := range 1000 {
				s.Totals[ledger.Key{Tenant: fmt.Sprintf("t%04d", t), Class: "voice"}] =
					&ledger.Usage{ledger.Offered: calls / 1000, ledger.EstablishedInTime: calls / 1000}
			}
			for range calls {
				s.Calls = append(s.Calls, random.Uint64())
			}
			slices.Sort(s.Calls)
			e, list := ledger.NewExport(ledger.Settings{Router: fmt.Sprintf("n%d", r), Length: 3_600_000}, s, nil)
			require.NoError(b, ledgerio.WriteExport(fileSystem, filepath.Join(dir, e.FileName()), e, list))
		}
	}
	for b.Loop() {
		cmd := exec.Command(os.Args[0], "ledger", "merge", "--json", dir)
		cmd.Env = append(os.Environ(), "CHILD=1")
		start := time.Now()
		_, err := cmd.Output()
		require.NoError(b, err)
		b.ReportMetric(time.Since(start).Seconds(), "s")
		b.ReportMetric(float64(cmd.ProcessState.SysUsage().(*syscall.Rusage).Maxrss)/1024, "MB")
	}
}

// BenchmarkTraceFiles generates the traces of eight routers for an hour, 2,000,000 calls in all, whose clocks are up
// to 90 s apart, and reports the time and peak memory of the trace commands on them.
func BenchmarkTraceFiles(b *testing.B) {
	const routers, calls, hour = 8, 250_000, int64(3600_000_000)
	dir := b.TempDir()
	random := rand.New(rand.NewPCG(3, 4))
	base := time.Date(2026, 12, 1, 14, 0, 0, 0, time.UTC).UnixMicro()
	var files []string
	var size int64
	for n := range routers {
		name := fmt.Sprintf("n%d", n)
		path := filepath.Join(dir, name+traceio.Extension)
		files = append(files, path)
		meta := trace.Meta{Router: name, Incarnation: 1, Part: 1, Classes: []trace.ClassMeta{{Name: "voice", AimMs: 1200,
			Worth: 1, LateWorth: 0.2}}}
		require.NoError(b, durable.WriteFile(fileSystem, path, func(out io.Writer) error {
			w, err := traceio.NewWriter(out, meta)
			require.NoError(b, err)
			var later []trace.Record
			list := int64(0)
			for i := range calls {
				at := base + int64(n)*12_857_000 + int64(i)*hour/calls // by the router's own clock
				for len(later) > 0 && later[0].At <= at {
					require.NoError(b, w.Add(&later[0], 0))
					later = later[1:]
				}
				if serial := int64(i) * 240 / calls; serial > list || i == 0 { // a server list every 15 s
					list = serial
					r := trace.Record{Kind: trace.List, At: at + int64(random.IntN(150_000))}
					r.Figures[trace.Serial] = serial + 1
					require.NoError(b, w.Add(&r, 0))
				}
				r := trace.Record{Kind: trace.Request, At: at}
				r.Texts[trace.Call], r.Texts[trace.Class], r.Texts[trace.Tenant], r.Texts[trace.Front] =
					fmt.Sprintf("%016x", random.Uint64()), "voice", "lda", "sip"
				number := fmt.Sprintf("%016x", random.Uint64())
				r.Texts[trace.Number], r.Texts[trace.Caller], r.Figures[trace.DeadlineMs], r.Figures[trace.Destination] =
					number, "10.4.7.9", 3000, int64(i%3)
				require.NoError(b, w.Add(&r, 0))
				r.Texts[trace.Server], r.Kind, r.Figures[trace.ActionCode], r.Figures[trace.Reason] =
					fmt.Sprintf("s%d", i%3), trace.Decision, int64(trace.ActionSent), int64(threadglade.FirstChoice)
				r.Figures[trace.LambdaMilli], r.Figures[trace.RateMilli], r.Figures[trace.FreeAgeMs], r.Figures[trace.Free] =
					16_000+int64(random.IntN(2000)), -1, int64(random.IntN(600)), int64(400+random.IntN(50))
				require.NoError(b, w.Add(&r, 0))
				r.Kind, r.At, r.Figures[trace.ElapsedUs], r.Figures[trace.FinalAnswer] =
					trace.Answer, at+20_000+int64(random.IntN(60_000)), int64(20_000+random.IntN(60_000)),
					int64(trace.AnswerEstablished)
				require.NoError(b, w.Add(&r, 0))
				r.Kind, r.At, r.Figures[trace.ElapsedUs] = trace.Release, r.At+9_000_000, 9_000_000+int64(random.IntN(1000))
				later = append(later, r)
			}
			for i := range later {
				require.NoError(b, w.Add(&later[i], 0))
			}
			require.NoError(b, w.Close())
			size += w.Offset()
			return nil
		}))
	}
	all := filepath.Join(dir, "all"+traceio.Extension)
	runTrace := func(metric string, args ...string) {
		cmd := exec.Command(os.Args[0], append([]string{"trace"}, args...)...)
		cmd.Env = append(os.Environ(), "CHILD=1")
		start := time.Now()
		text, err := cmd.CombinedOutput()
		require.NoError(b, err, string(text))
		b.ReportMetric(time.Since(start).Seconds(), "s-"+metric)
		b.ReportMetric(float64(cmd.ProcessState.SysUsage().(*syscall.Rusage).Maxrss)/1024, "MB-"+metric)
	}
	for b.Loop() {
		b.ReportMetric(float64(size)/routers/calls, "bytes/call")
		runTrace("merge", append([]string{"merge", "-o", all}, files...)...)
		runTrace("verify", "verify", all)
		runTrace("cut", "cut", all, "--from", "2026-12-01T14:30:00Z", "--to", "2026-12-01T14:30:10Z", "-o",
			filepath.Join(dir, "cut.tgt"))
		runTrace("cut-one", "cut", files[0], "--from", "2026-12-01T14:30:00Z", "--to", "2026-12-01T14:30:10Z", "-o",
			filepath.Join(dir, "cut.tgt"))
		runTrace("why", "why", all, "--from", "2026-12-01T14:30:00Z", "--to", "2026-12-01T14:31:00Z")
		runTrace("info", "info", all)
	}
}

// BenchmarkTraceLoad has eight routers record an hour's load of a site, compressed in time: about 2,000,000 calls on
// real sockets. The traces are merged and compared with what callers and case servers counted. The environment
// variable SPAN is the duration of the load.
func BenchmarkTraceLoad(b *testing.B) {
	span, err := time.ParseDuration(cmp.Or(os.Getenv("SPAN"), "160s"))
	require.NoError(b, err)
	const routers, rate = 8, 1570.0
	for b.Loop() {
		s := newTestbed(b, 3, standin.ServerConfig{Seed: 1,
			HoldTime: [2]time.Duration{20 * time.Millisecond, 60 * time.Millisecond}, FreeAgents: 1 << 19})
		ctx, cancel := context.WithTimeout(b.Context(), span)
		var loads []*standin.Load
		var children []*child
		for i := range routers {
			name, listen := fmt.Sprintf("n%d", i), freeAddress(b)
			c := startChild(b, s.writeConfig(name, listen), "serve", "--settings",
				s.writeFile(name+".sexp", fmt.Sprintf(`(threadglade (trace (directory %q)))`,
					filepath.Join(s.dir, name))))
			c.waitReady(b)
			children = append(children, c)
			loads = append(loads, standin.StartLoad(ctx, standin.LoadConfig{Target: func() string { return listen },
				Connections: 8, Rate: rate, Seed: uint64(i + 1),
				Classes: []string{"voice", "data"}, NumberPrefixes: []string{"92", "94"}, RepeatShare: 0.1}))
		}
		offered := 0
		for _, l := range loads {
			n := l.Wait()
			require.Zero(b, n.Lost+n.Violations)
			offered += n.Offered
		}
		cancel()
		s.waitIdle()
		received := 0
		for _, one := range s.servers {
			received += one.Counts().Received
		}
		for _, c := range children {
			c.terminate(b)
		}
		files, err := filepath.Glob(filepath.Join(s.dir, "n*", "*"+traceio.Extension))
		require.NoError(b, err)
		all, size := filepath.Join(s.dir, "all.tgt"), int64(0)
		for _, path := range files {
			info, err := os.Stat(path)
			require.NoError(b, err)
			size += info.Size()
		}
		text, code := runTool(b, append([]string{"trace", "merge", "-o", all}, files...)...)
		require.Zero(b, code, text)
		requests, sent, answers, uncertain, gaps := 0, 0, 0, 0, int64(0)
		f, err := traceio.Open(fileSystem, all)
		require.NoError(b, err)
		require.NoError(b, f.Each(trace.Selection{}, func(r *trace.Record) error {
			switch {
			case r.Kind == trace.Request:
				requests++
			case r.Kind == trace.Answer:
				answers++
			case r.Kind == trace.Decision && trace.Action(r.Figures[trace.ActionCode]) == trace.ActionSent:
				sent++
			case r.Kind == trace.AttemptEnd:
				switch threadglade.Outcome(r.Figures[trace.Outcome]) {
				case threadglade.Unreachable, threadglade.NotSent, threadglade.Cut, threadglade.Cancelled,
					threadglade.TimedOut:
					uncertain++ // the server may not have received all of it
				}
			case r.Kind == trace.Gap:
				gaps += r.Figures[trace.Count]
			}
			return nil
		}))
		f.Close()
		b.ReportMetric(float64(offered), "calls")
		b.ReportMetric(float64(size)/float64(offered), "bytes/call")
		b.ReportMetric(float64(gaps), "dropped")
		require.Zero(b, gaps)
		require.Equal(b, []int{offered, offered}, []int{requests, answers})
		b.ReportMetric(float64(sent-received), "set-ups-not-seen")
		b.ReportMetric(float64(uncertain), "set-ups-without-answer")
		require.GreaterOrEqual(b, sent, received)
		require.LessOrEqual(b, sent-uncertain, received)
	}
}

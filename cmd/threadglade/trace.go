package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/traceio"
	"threadglade.example/threadglade/trace"
)

// traceCommand returns the group of commands that work on trace files.
func traceCommand() *cobra.Command {
	root := &cobra.Command{Use: "trace", Short: "Work with trace files, the record of routing decisions",
		Long: "Work with trace files, the record of routing decisions and their reasons. No router has to be running.\n\n" +
			"Exit status: 0 success, 1 failure or a problem found, 2 invalid command line."}
	asJSON := root.PersistentFlags().Bool("json", false, "print JSON")
	add := newCommandAdder(root,
		"trace: expected info, verify, cut, merge, anonymise, summary, explain, why, report or export; see --help")

	add(&cobra.Command{Use: "info FILE...", Short: "Print the origin, size, time span and names of trace files",
		Args: cobra.MinimumNArgs(1)},
		func(cmd *cobra.Command, args []string) error { return traceInfo(cmd.OutOrStdout(), args, *asJSON) })
	add(&cobra.Command{Use: "verify FILE",
		Short: "Check every byte of a file; a tail cut off by a crash is only noted", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error { return traceVerify(cmd.OutOrStdout(), args[0], *asJSON) })

	var out, from, to, key string
	var s trace.Selection
	addTimeFlags := func(cmd *cobra.Command) {
		cmd.Flags().StringVar(&from, "from", "", "start of the time range, inclusive (2026-12-01T14:00:00Z)")
		cmd.Flags().StringVar(&to, "to", "", "end of the time range, exclusive")
	}
	addOutputFlag := func(cmd *cobra.Command) {
		cmd.Flags().StringVarP(&out, "output", "o", "", "output file")
		cmd.MarkFlagRequired("output")
	}
	cut := add(&cobra.Command{Use: "cut FILE --from T --to T -o OUT",
		Short: "Extract a time range, or the calls of a class, tenant, server, outcome or ID", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			if err := parseSelectionTimes(&s, from, to); err != nil {
				return usageError(err)
			}
			c, err := traceio.CutFile(durable.OS{}, args[0], out, s)
			if err != nil {
				return err
			}
			return writeResult(cmd.OutOrStdout(), *asJSON, c, func(w io.Writer) {
				fmt.Fprintf(w, "%d records, %d of them from before the time range; of %d blocks, %d were read and %d copied\n",
					c.Records, c.Carried, c.TotalBlocks, c.BlocksRead, c.BlocksCopied)
			})
		})
	addTimeFlags(cut)
	addOutputFlag(cut)
	cut.Flags().StringVar(&s.Class, "class", "", "only calls of this class")
	cut.Flags().StringVar(&s.Tenant, "tenant", "", "only calls of this tenant")
	cut.Flags().StringVar(&s.Server, "server", "", "only calls that involve this server, and its own reports")
	cut.Flags().StringVar(&s.Outcome, "outcome", "", "only calls with this outcome or an attempt with it")
	cut.Flags().StringVar(&s.Call, "call", "", "only the call with this ID")

	merge := add(&cobra.Command{Use: "merge FILE... -o OUT",
		Short: "Merge the files of several routers and correct the offsets of their clocks", Args: cobra.MinimumNArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			debug.SetMemoryLimit(mergeMemoryLimitBytes * 2)
			clocks, records, err := traceio.MergeFiles(durable.OS{}, args, out)
			if err != nil {
				return err
			}
			return writeResult(cmd.OutOrStdout(), *asJSON, map[string]any{"records": records, "clocks": clocks},
				func(w io.Writer) {
					for _, c := range clocks {
						fmt.Fprintln(w, c)
						if c.Assumed {
							fmt.Fprintln(w, "  no event in common with another router: the offset is a guess")
						}
					}
					fmt.Fprintf(w, "%d records\n", records)
				})
		})
	addOutputFlag(merge)

	anonymise := add(&cobra.Command{Use: "anonymise FILE -o OUT --key FILE",
		Short: "Replace numbers, IDs, addresses and identities with keyed hashes", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(key)
			if err != nil {
				return usageError(err)
			}
			n, err := traceio.AnonymizeFile(durable.OS{}, args[0], out, text)
			if err != nil {
				return err
			}
			return writeResult(cmd.OutOrStdout(), *asJSON, map[string]any{"blocks": n},
				func(w io.Writer) { fmt.Fprintf(w, "%d blocks\n", n) })
		})
	addOutputFlag(anonymise)
	anonymise.Flags().StringVar(&key, "key", "", "file with the key, at least 16 bytes")
	anonymise.MarkFlagRequired("key")

	var by, every string
	summary := add(&cobra.Command{Use: "summary FILE", Short: "Print totals by class, tenant, server or reason",
		Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			var d time.Duration
			if every != "" {
				var err error
				if d, err = time.ParseDuration(every); err != nil || d < time.Millisecond {
					return usageError(fmt.Errorf("--every: %q is not a duration of at least 1ms", every))
				}
			}
			return traceSummary(cmd.OutOrStdout(), args[0], by, d, *asJSON)
		})
	summary.Flags().StringVar(&by, "by", "", "group by class, tenant, server or reason")
	summary.Flags().StringVar(&every, "every", "", "also group by time, in intervals of this length (10s)")

	add(&cobra.Command{Use: "explain FILE CALL", Short: "Explain what happened to a call, and why",
		Args: cobra.ExactArgs(2)},
		func(cmd *cobra.Command, args []string) error {
			return traceExplain(cmd.OutOrStdout(), args[0], args[1], *asJSON)
		})

	why := add(&cobra.Command{Use: "why FILE --from T --to T",
		Short: "Rank the possible causes of a drop in service against the time before", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			var s trace.Selection
			if err := parseSelectionTimes(&s, from, to); err != nil {
				return usageError(err)
			}
			if s.From == 0 || s.To == 0 {
				return usageError(errors.New("why: --from and --to are required"))
			}
			return traceWhy(cmd.OutOrStdout(), args[0], s.From, s.To, *asJSON)
		})
	addTimeFlags(why)

	report := add(&cobra.Command{Use: "report FILE -o OUT.html", Short: "Write an HTML report with plots",
		Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return traceReport(args[0], out)
		})
	addOutputFlag(report)

	var form string
	export := add(&cobra.Command{Use: "export FILE --to jsonl|otlp-json",
		Short: "Export records as JSON lines, or calls as OpenTelemetry traces", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return traceExport(cmd.OutOrStdout(), args[0], form)
		})
	export.Flags().StringVar(&form, "to", "", "output format, jsonl or otlp-json")
	export.MarkFlagRequired("to")
	return root
}

// parseSelectionTimes parses the flags --from and --to into s; an empty one leaves its end open.
func parseSelectionTimes(s *trace.Selection, from, to string) error {
	for text, at := range map[*string]*int64{&from: &s.From, &to: &s.To} {
		if *text == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339Nano, *text)
		if err != nil {
			return fmt.Errorf("%q is not a time such as 2026-12-01T14:00:00.5Z", *text)
		}
		*at = t.UnixMicro()
	}
	return s.Validate()
}

// formatMicros formats a Unix time in microseconds as UTC.
func formatMicros(us int64) string {
	return time.UnixMicro(us).UTC().Format("2006-01-02T15:04:05.000Z")
}

// fileInfo is the output of trace info for a file.
type fileInfo struct {
	Path    string              `json:"path"`
	Meta    trace.Meta          `json:"meta"`
	Bytes   int64               `json:"bytes"`
	Blocks  int                 `json:"blocks"`
	Records int                 `json:"records"`
	From    string              `json:"from,omitempty"`
	To      string              `json:"to,omitempty"`
	Names   map[string][]string `json:"names"`
	Torn    string              `json:"torn,omitempty"`
}

// traceInfo prints the origin, size, time span and names of trace files.
func traceInfo(w io.Writer, files []string, asJSON bool) error {
	var list []fileInfo
	for _, path := range files {
		t, err := traceio.Open(durable.OS{}, path)
		if err != nil {
			return err
		}
		info := fileInfo{Path: path, Meta: t.Meta, Bytes: t.Size(), Blocks: len(t.Index.Blocks),
			Names: map[string][]string{}, Torn: t.Truncation}
		var from, to int64
		for n, b := range t.Index.Blocks {
			info.Records += b.Count
			if n == 0 || b.From < from {
				from = b.From
			}
			to = max(to, b.To)
		}
		if info.Records > 0 {
			info.From, info.To = formatMicros(from), formatMicros(to)
		}
		for _, d := range trace.Dimensions {
			info.Names[d] = t.Index.Names(d)
		}
		t.Close()
		list = append(list, info)
	}
	return writeResult(w, asJSON, list, func(w io.Writer) {
		for _, info := range list {
			source := "router " + info.Meta.Router
			if info.Meta.Router == "" {
				source = fmt.Sprintf("merged from %d clocks", len(info.Meta.Clocks))
			}
			fmt.Fprintf(w, "%s: %s, part %d, %d records in %d blocks, %d bytes, %s to %s\n", info.Path, source,
				info.Meta.Part, info.Records, info.Blocks, info.Bytes, info.From, info.To)
			for _, d := range trace.Dimensions {
				names := info.Names[d]
				if len(names) > 12 {
					names = append(slices.Clone(names[:12]), fmt.Sprintf("and %d more", len(names)-12))
				}
				fmt.Fprintf(w, "  %s: %s\n", d, strings.Join(names, ", "))
			}
			for _, c := range info.Meta.Clocks {
				fmt.Fprintln(w, " ", c)
			}
			if info.Torn != "" {
				fmt.Fprintln(w, "  note: cut off by a crash:", info.Torn)
			}
		}
	})
}

// traceVerify checks every byte of a trace file.
func traceVerify(w io.Writer, path string, asJSON bool) error {
	t, records, err := traceio.Verify(durable.OS{}, path)
	if err != nil {
		if asJSON {
			writeResult(w, true, map[string]any{"good": false, "error": err.Error()}, nil)
			return exitError{exitFinding, nil}
		}
		return err
	}
	return writeResult(w, asJSON, map[string]any{"good": true, "records": records, "blocks": len(t.Index.Blocks),
		"torn": t.Truncation}, func(w io.Writer) {
		fmt.Fprintf(w, "good: %d records in %d blocks\n", records, len(t.Index.Blocks))
		if t.Truncation != "" {
			fmt.Fprintln(w, "note: cut off by a crash:", t.Truncation)
		}
	})
}

// traceSummary prints figures of a trace grouped by a dimension and, if every is above 0, by time.
func traceSummary(w io.Writer, path, by string, every time.Duration, asJSON bool) error {
	t, err := traceio.Open(durable.OS{}, path)
	if err != nil {
		return err
	}
	defer t.Close()
	s, err := trace.NewSummary(t.Meta, by, every.Microseconds())
	if err != nil {
		return usageError(err)
	}
	if err := t.Each(trace.Selection{}, func(r *trace.Record) error { s.Add(r); return nil }); err != nil {
		return err
	}
	groups := s.Groups()
	return writeResult(w, asJSON, groups, func(w io.Writer) {
		tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(tab, "from\tname\toffered\tstood\tlate\trefused\tfailed\tleft\tcut\tattempts\ttimed out\trejected\tworth\tearned\tp50 ms\tp90\tp99\treasons\t")
		for _, g := range groups {
			at, reasons := "all", []string{}
			if g.From > 0 {
				at = formatMicros(g.From)
			}
			for name, n := range g.Reasons {
				reasons = append(reasons, fmt.Sprintf("%s %d", name, n))
			}
			slices.Sort(reasons)
			fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t\n", at,
				g.Name, g.Offered, g.Stood, g.Late, g.Refused,
				g.Failed, g.Left, g.Cut, g.Attempts, g.Timeouts, g.Rejects, g.Worth, g.Earned, g.P50Ms, g.P90Ms,
				g.P99Ms, strings.Join(reasons, "; "))
		}
		tab.Flush()
	})
}

// traceExplain prints in sentences what happened to a call and why. Besides the call's own records, it uses those on
// the case servers that the same router avoided when the call arrived, and on changes of these until it was answered.
func traceExplain(w io.Writer, path, call string, asJSON bool) error {
	t, err := traceio.Open(durable.OS{}, path)
	if err != nil {
		return err
	}
	defer t.Close()
	var list []trace.Record
	// avoidances holds the latest avoidance record before the call for each router and server.
	avoidances, found, answered := map[string]trace.Record{}, false, false
	if err := t.Each(trace.Selection{}, func(r *trace.Record) error {
		switch {
		case r.Texts[trace.Call] == call:
			if !found {
				found = true
				for _, key := range slices.Sorted(maps.Keys(avoidances)) {
					if c := avoidances[key]; c.Texts[trace.Router] == r.Texts[trace.Router] {
						list = append(list, c)
					}
				}
			}
			list = append(list, *r)
			answered = answered || r.Kind == trace.Answer
		case r.Kind == trace.Avoidance && !found:
			avoidances[r.Texts[trace.Router]+" "+r.Texts[trace.Server]] = *r
		case r.Kind == trace.Avoidance && !answered && r.Texts[trace.Router] == list[len(list)-1].Texts[trace.Router]:
			list = append(list, *r)
		}
		return nil
	}); err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("%s: no call %s", path, call)
	}
	lines := trace.DescribeCall(list)
	return writeResult(w, asJSON, lines, func(w io.Writer) {
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
	})
}

// rankCauses ranks the possible causes of a drop in service between two Unix times in microseconds.
func rankCauses(path string, from, to int64) (trace.Diagnosis, error) {
	t, err := traceio.Open(durable.OS{}, path)
	if err != nil {
		return trace.Diagnosis{}, err
	}
	defer t.Close()
	diagnoser := trace.NewDiagnoser(t.Meta, from, to)
	err = t.Each(trace.Selection{From: diagnoser.BaselineStart(), To: to},
		func(r *trace.Record) error { diagnoser.Add(r); return nil })
	return diagnoser.Diagnosis(), err
}

// traceWhy prints the ranked causes of a drop in service.
func traceWhy(w io.Writer, path string, from, to int64, asJSON bool) error {
	diagnosis, err := rankCauses(path, from, to)
	if err != nil {
		return err
	}
	return writeResult(w, asJSON, diagnosis, func(w io.Writer) {
		fmt.Fprintf(w, "service %.2f, before %.2f; %d requests, before %d; worth lost %.1f\n", diagnosis.ServiceDuring,
			diagnosis.ServiceBefore, diagnosis.RequestsDuring, diagnosis.RequestsBefore, diagnosis.Lost)
		if len(diagnosis.Causes) == 0 {
			fmt.Fprintln(w, "no cause stands out")
		}
		for i, c := range diagnosis.Causes {
			fmt.Fprintf(w, "%d. %s (%.2f), first sign %s\n", i+1, c.Text, c.Score, formatMicros(c.FirstSign))
		}
		for _, finding := range diagnosis.SharedFindings {
			fmt.Fprintf(w,
				"   %s was found %s by %d routers of %d, on evidence at most %.0f ms old, from %s on; %d decisions changed\n",
				finding.Server, finding.Found, finding.Affected, finding.Others, float64(finding.MaxAgeUs)/1000,
				formatMicros(finding.FirstApplied), finding.ChangedDecisions)
		}
		for _, c := range diagnosis.Changes[:min(8, len(diagnosis.Changes))] {
			fmt.Fprintf(w, "   by %s %q: lost %.1f, before %.1f, %.0f%% of the loss\n", c.Dimension, c.Name, c.LostDuring,
				c.LostBefore, 100*c.LossShare)
		}
	})
}

// traceReport writes an HTML page with plots of a trace.
func traceReport(path, out string) error {
	t, err := traceio.Open(durable.OS{}, path)
	if err != nil {
		return err
	}
	defer t.Close()
	r, err := trace.NewPage(t.Meta, t.Index)
	if err != nil {
		return err
	}
	if err := t.Each(trace.Selection{}, func(rec *trace.Record) error { r.Add(rec); return nil }); err != nil {
		return err
	}
	return durable.WriteFile(durable.OS{}, out, r.WriteHTML)
}

// traceExport writes a trace as JSON lines or as OpenTelemetry spans.
func traceExport(w io.Writer, path, form string) error {
	if form != "jsonl" && form != "otlp-json" {
		return usageError(fmt.Errorf("--to: %q is neither jsonl nor otlp-json", form))
	}
	t, err := traceio.Open(durable.OS{}, path)
	if err != nil {
		return err
	}
	defer t.Close()
	b := bufio.NewWriterSize(w, 64<<10)
	spans := trace.NewSpanWriter(b)
	write := spans.Add
	if form == "jsonl" {
		write = func(r *trace.Record) error { return trace.WriteJSON(b, r) }
	}
	if err := t.Each(trace.Selection{}, write); err != nil {
		return err
	}
	return errors.Join(spans.Close(), b.Flush())
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/ledgerio"
	"threadglade.example/threadglade/ledger"
)

// mergeMemoryLimitBytes is the soft memory limit of a ledger merge: the garbage collector runs more often before the
// heap grows beyond it. A trace merge has twice this limit.
const mergeMemoryLimitBytes = 40 << 20

// maxListedClaims is how many of the calls that several statements claim are listed individually.
const maxListedClaims = 100

// ledgerCommand returns the group of commands that work on usage ledgers and their exports.
func ledgerCommand() *cobra.Command {
	root := &cobra.Command{Use: "ledger", Short: "Work with usage ledgers and their exports",
		Long: "Work with ledgers, the files of the tenants' usage, and their exports. No router has to be running.\n\n" +
			"Exit status: 0 success, 1 failure or a problem found, 2 invalid command line."}
	asJSON := root.PersistentFlags().Bool("json", false, "print JSON")
	add := newCommandAdder(root, "ledger: expected verify, show, export, correct or merge; see --help")

	add(&cobra.Command{Use: "verify DIR", Short: "Check every byte of a ledger", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return verifyLedger(cmd.OutOrStdout(), args[0], *asJSON)
		})

	var tenant, period string
	show := add(&cobra.Command{Use: "show DIR", Short: "Print the usage in a ledger, including open periods",
		Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return showLedger(cmd.OutOrStdout(), args[0], tenant, period, *asJSON)
		})
	show.Flags().StringVar(&tenant, "tenant", "", "only this tenant")
	show.Flags().StringVar(&period, "period", "", "only the period that contains this time (2026-12-01T14:00:00Z)")

	var to string
	var keep time.Duration
	export := add(&cobra.Command{Use: "export DIR --to OUT",
		Short: "Export every closed period that has not been exported yet", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return exportLedger(cmd.OutOrStdout(), args[0], to, keep, *asJSON)
		})
	export.Flags().StringVar(&to, "to", "", "directory for the exports")
	export.Flags().DurationVar(&keep, "keep", ledgerio.Defaults().Retention,
		"how long exported periods are kept in the ledger")
	export.MarkFlagRequired("to")

	var c ledger.Correction
	var at string
	correct := add(&cobra.Command{Use: "correct DIR",
		Short: "Correct a figure of an exported period; the next export contains the correction",
		Args:  cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			t, err := parseTime(at)
			if err != nil {
				return usageError(err)
			}
			c.Period, c.At = t.UnixMilli(), time.Now().UnixMilli()
			if err := c.Validate(); err != nil {
				return usageError(err)
			}
			entry, err := ledgerio.AddCorrection(durable.OS{}, args[0], c)
			if err != nil {
				return err
			}
			c.Entry, c.Origin = entry, "operator"
			return writeResult(cmd.OutOrStdout(), *asJSON, c, func(w io.Writer) {
				fmt.Fprintf(w, "correction %d: %s of %s, %s, %s by %+d\n", entry, c.Field, c.Tenant, c.Class,
					formatMillis(c.Period), c.Delta)
			})
		})
	correct.Flags().StringVar(&at, "period", "", "start of the period (2026-12-01T14:00:00Z)")
	correct.Flags().StringVar(&c.Tenant, "tenant", "", "tenant of the figure")
	correct.Flags().StringVar(&c.Class, "class", "", "class of the figure")
	correct.Flags().StringVar(&c.Field, "field", "", "figure to correct, such as held_ms")
	correct.Flags().Int64Var(&c.Delta, "delta", 0, "amount to add; may be negative")
	correct.Flags().StringVar(&c.Reason, "reason", "", "reason of the correction")
	correct.Flags().StringVar(&c.By, "by", "", "who makes the correction")
	for _, name := range []string{"period", "tenant", "class", "field", "delta", "reason", "by"} {
		correct.MarkFlagRequired(name)
	}

	var csv, html string
	merge := add(&cobra.Command{Use: "merge FILE...",
		Short: "Merge exports, or directories of them, and report missing and duplicate ones",
		Args:  cobra.MinimumNArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return mergeExports(cmd.OutOrStdout(), args, csv, html, *asJSON)
		})
	merge.Flags().StringVar(&csv, "csv", "", "write the totals to this CSV file")
	merge.Flags().StringVar(&html, "html", "", "write a report to this HTML file")
	return root
}

// usageError marks an error as one of the command line; nil stays nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return exitError{exitUsage, err}
}

// writeResult prints v as JSON, or calls text to print it as text.
func writeResult(w io.Writer, asJSON bool, v any, text func(io.Writer)) error {
	if !asJSON {
		text(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(v)
}

// formatMillis formats a Unix time in milliseconds as UTC.
func formatMillis(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z") }

// parseTime parses the RFC 3339 time of a --period flag.
func parseTime(text string) (time.Time, error) {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("--period: %q is not a time such as 2026-12-01T14:00:00Z", text)
	}
	return t, nil
}

// verifyResult is the output of ledger verify.
type verifyResult struct {
	Good              bool     `json:"good"`
	Error             string   `json:"error,omitempty"`
	Router            string   `json:"router,omitempty"`
	PeriodMs          int64    `json:"period_ms,omitempty"`
	Segments          int      `json:"segments"`
	Bytes             int64    `json:"bytes"`
	Entries           uint64   `json:"entries"`
	OpenCalls         int      `json:"open_calls"`
	Statements        uint64   `json:"statements"`
	ClosedTo          string   `json:"closed_to,omitempty"`
	Exported          uint64   `json:"exported"`
	ExportedTo        string   `json:"exported_to,omitempty"`
	ExportInterrupted bool     `json:"export_interrupted"`
	Corrections       int      `json:"corrections"`
	Notes             []string `json:"notes"`
}

// verifyLedger checks every byte of a ledger and prints a summary.
func verifyLedger(w io.Writer, dir string, asJSON bool) error {
	v, err := ledgerio.Inspect(durable.OS{}, dir)
	if err != nil {
		if asJSON {
			writeResult(w, true, verifyResult{Error: err.Error(), Notes: []string{}}, nil)
			return exitError{exitFinding, nil}
		}
		return err
	}
	r := verifyResult{Good: true, Router: v.Settings.Router, PeriodMs: v.Settings.Length, Segments: v.Segments,
		Bytes: v.Bytes, Entries: v.State.Entries,
		OpenCalls: len(v.State.Calls), Statements: v.State.Sequence, Exported: v.Exported, ExportInterrupted: v.ExportInterrupted,
		Corrections: len(v.Corrections), Notes: []string{}}
	if v.State.Closed > 0 {
		r.ClosedTo = formatMillis(v.State.Closed)
	}
	if v.ExportedTo > 0 {
		r.ExportedTo = formatMillis(v.ExportedTo)
	}
	for _, t := range v.Torn {
		r.Notes = append(r.Notes, "cut off by a crash, ignored: "+t)
	}
	if v.ExportInterrupted {
		r.Notes = append(r.Notes, "an export was interrupted; the next one completes it")
	}
	return writeResult(w, asJSON, r, func(w io.Writer) {
		fmt.Fprintf(w, "good: ledger of %s with periods of %v, %d segments, %d bytes, %d entries\n", r.Router,
			time.Duration(r.PeriodMs)*time.Millisecond,
			r.Segments, r.Bytes, r.Entries)
		upTo := func(n uint64, at string) string {
			if at == "" {
				return "nothing"
			}
			return fmt.Sprintf("%d up to %s", n, at)
		}
		fmt.Fprintf(w, "%d calls open; closed: %s; exported: %s; %d corrections\n", r.OpenCalls,
			upTo(r.Statements, r.ClosedTo),
			upTo(r.Exported, r.ExportedTo), r.Corrections)
		for _, n := range r.Notes {
			fmt.Fprintln(w, "note:", n)
		}
	})
}

// showRow is a row in the output of ledger show.
type showRow struct {
	Period string           `json:"period"`
	State  string           `json:"state"` // exported, closed, open, late or corrected
	Tenant string           `json:"tenant"`
	Class  string           `json:"class"`
	Usage  map[string]int64 `json:"usage"`
	usage  ledger.Usage
}

// showLedger prints the usage in a ledger, restricted to a tenant and a period if these are not empty.
func showLedger(w io.Writer, dir, tenant, period string, asJSON bool) error {
	v, err := ledgerio.Inspect(durable.OS{}, dir)
	if err != nil {
		return err
	}
	periodStart := int64(-1)
	if period != "" {
		t, err := parseTime(period)
		if err != nil {
			return usageError(err)
		}
		periodStart = v.Settings.PeriodStart(t.UnixMilli())
	}
	list := []showRow{}
	add := func(from int64, state string, key ledger.Key, u ledger.Usage) {
		if (tenant == "" || tenant == key.Tenant) && (periodStart < 0 || periodStart == from) {
			list = append(list, showRow{formatMillis(from), state, key.Tenant, key.Class, u.Map(), u})
		}
	}
	addTotals := func(from int64, state string, m map[ledger.Key]*ledger.Usage) {
		keys := slices.SortedFunc(maps.Keys(m), func(a, b ledger.Key) int {
			return strings.Compare(a.Tenant+"\x00"+a.Class, b.Tenant+"\x00"+b.Class)
		})
		for _, key := range keys {
			add(from, state, key, *m[key])
		}
	}
	addLate := func(m map[int64]map[ledger.Key]*ledger.Usage) {
		for _, from := range slices.Sorted(maps.Keys(m)) {
			addTotals(from, "late", m[from])
		}
	}
	for _, s := range v.Statements {
		state := "closed"
		if s.Sequence <= v.Exported {
			state = "exported"
		}
		addTotals(s.From, state, s.Totals)
		addLate(s.Late)
	}
	for _, s := range v.Pending {
		addTotals(s.From, "open", s.Totals)
	}
	addLate(v.Late)
	for _, c := range v.Corrections {
		var u ledger.Usage
		f, _ := ledger.ParseField(c.Field) // validated when the ledger was read
		u[f] = c.Delta
		add(c.Period, "corrected", ledger.Key{Tenant: c.Tenant, Class: c.Class}, u)
	}
	return writeResult(w, asJSON, list, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "period\tstate\ttenant\tclass\toffered\trepeats\tin time\tlate\trefused\tfailed\tleft\tunknown\tattempts\theld ms\tworth\t")
		for _, s := range list {
			u := &s.usage
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", s.Period, s.State,
				s.Tenant, s.Class, u[ledger.Offered],
				u[ledger.Repeats], u[ledger.EstablishedInTime], u[ledger.EstablishedLate], u[ledger.Refused], u[ledger.Failed],
				u[ledger.Abandoned],
				u[ledger.Unknown], u.Attempts(), u[ledger.HeldMs], float64(u[ledger.WorthMilli])/1000)
		}
		t.Flush()
	})
}

// exportLedger closes the periods that are due, exports every closed period to the directory to, and removes exported
// segments older than keep from the ledger.
func exportLedger(w io.Writer, dir, to string, keep time.Duration, asJSON bool) error {
	wall := func() int64 { return time.Now().UnixMilli() }
	if _, err := ledgerio.CloseDuePeriods(durable.OS{}, dir, wall); err != nil {
		return err
	}
	list, err := ledgerio.Export(durable.OS{}, dir, to)
	if list == nil {
		list = []ledgerio.ExportedFile{}
	}
	writeResult(w, asJSON, list, func(w io.Writer) {
		for _, e := range list {
			fmt.Fprintf(w, "statement %d, %s to %s: %s %.12s\n", e.Sequence, formatMillis(e.From), formatMillis(e.To),
				e.Path, e.ID)
		}
		if len(list) == 0 && err == nil {
			fmt.Fprintln(w, "no period to export")
		}
	})
	if err != nil {
		return err
	}
	_, err = ledgerio.Compact(durable.OS{}, dir, keep, wall())
	return err
}

// mergeResult is the output of ledger merge.
type mergeResult struct {
	Files       int              `json:"files"`
	Exports     int              `json:"exports"`
	Copies      int              `json:"copies"` // files with the same export as another file
	CallsListed uint64           `json:"calls_listed"`
	Findings    []ledger.Finding `json:"findings"`
	Rows        []mergeResultRow `json:"rows"`
	Total       map[string]int64 `json:"total"`
}

// mergeResultRow is the usage of a tenant and class in a period, as stated and with corrections applied.
type mergeResultRow struct {
	Period    string           `json:"period"`
	Tenant    string           `json:"tenant"`
	Class     string           `json:"class"`
	Stated    map[string]int64 `json:"stated"`
	Corrected map[string]int64 `json:"mended"`
}

// mergeExportFiles merges export files, or directories of them, and returns the report and the number of duplicate
// files. It keeps the usage lines of all files in memory, but reads each file's call list through a small buffer.
func mergeExportFiles(f durable.FS, files []string) (ledger.Report, int, error) {
	all, copies := ledger.Merged{}, 0
	var paths []string
	var names []string
	var findings []ledger.Finding
	for i := 0; i < len(files); i++ {
		path := files[i]
		// a directory is replaced by its exports
		if within, err := filepath.Glob(filepath.Join(path, "*.tgx")); err == nil && len(within) > 0 {
			files = append(files[:i:i], append(within, files[i+1:]...)...)
			path = files[i]
		}
		e, err := ledgerio.ReadExport(f, path, nil)
		var damage *durable.DamageError
		switch {
		case errors.Is(err, durable.ErrNewerVersion):
			findings = append(findings, ledger.Finding{Kind: "newer", Text: err.Error()})
			continue
		case errors.As(err, &damage):
			findings = append(findings, ledger.Finding{Kind: "damaged", Text: err.Error()})
			continue
		case err != nil:
			return ledger.Report{}, 0, err
		case all.Has(e.ID):
			copies++
			continue
		}
		all = ledger.Join(all, ledger.Merge(e))
		paths, names = append(paths, path), append(names, fmt.Sprintf("%s's statement %d", e.Router, e.Sequence))
	}
	findings = append(findings, all.Findings()...)
	var sources []ledger.CallSource
	buffer := min(64<<10, max(4<<10, (16<<20)/max(1, len(paths))))
	for _, path := range paths {
		src, file, err := ledgerio.OpenCallList(f, path, buffer)
		if err != nil {
			return ledger.Report{}, 0, err
		}
		defer file.Close()
		sources = append(sources, src)
	}
	claims := 0
	calls, err := ledger.FindDuplicateCalls(sources, func(call uint64, one, other int) {
		if claims++; claims <= maxListedClaims {
			findings = append(findings, ledger.Finding{Kind: "claim", Text: fmt.Sprintf("call %s stood in %s and in %s",
				ledger.FormatCallKey(call), names[one], names[other])})
		}
	})
	if err != nil {
		return ledger.Report{}, 0, err
	}
	if claims > maxListedClaims {
		findings = append(findings, ledger.Finding{Kind: "claim",
			Text: fmt.Sprintf("and %d more calls", claims-maxListedClaims)})
	}
	return ledger.Report{Made: time.Now().UTC(), Exports: all.Exports(), Rows: all.Rows(), Total: all.Total(),
		Findings: findings, Calls: calls}, copies, nil
}

// mergeExports merges export files, prints the totals and findings, and writes them to the files csv and html if
// these are not empty. Findings lead to exitFinding.
func mergeExports(w io.Writer, files []string, csv, html string, asJSON bool) error {
	debug.SetMemoryLimit(mergeMemoryLimitBytes)
	r, copies, err := mergeExportFiles(durable.OS{}, files)
	if err != nil {
		return err
	}
	for path, write := range map[string]func(io.Writer) error{csv: r.CSV, html: r.HTML} {
		if path != "" {
			if err := durable.WriteFile(durable.OS{}, path, write); err != nil {
				return err
			}
		}
	}
	m := mergeResult{Files: len(files), Exports: len(r.Exports), Copies: copies, CallsListed: r.Calls,
		Findings: append([]ledger.Finding{}, r.Findings...),
		Rows:     []mergeResultRow{}, Total: r.Total.Map()}
	for _, row := range r.Rows {
		m.Rows = append(m.Rows, mergeResultRow{formatMillis(row.Period), row.Tenant, row.Class, row.Stated.Map(),
			row.Mended.Map()})
	}
	err = writeResult(w, asJSON, m, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "period\ttenant\tclass\toffered\tin time\tlate\trefused\tfailed\tleft\tunknown\tattempts\theld ms\tworth\tcorrected\t")
		for _, row := range r.Rows {
			u, corrected := &row.Mended, ""
			if row.Mended != row.Stated {
				corrected = "yes"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t\n", formatMillis(row.Period),
				row.Tenant, row.Class, u[ledger.Offered],
				u[ledger.EstablishedInTime], u[ledger.EstablishedLate], u[ledger.Refused], u[ledger.Failed], u[ledger.Abandoned],
				u[ledger.Unknown],
				u.Attempts(), u[ledger.HeldMs], float64(u[ledger.WorthMilli])/1000, corrected)
		}
		t.Flush()
		fmt.Fprintf(w, "%d files, %d statements, %d copies, %d calls listed, %d findings\n", m.Files, m.Exports,
			m.Copies, m.CallsListed, len(m.Findings))
		for _, f := range m.Findings {
			fmt.Fprintf(w, "%s: %s %s\n", f.Kind, f.Router, f.Text)
		}
	})
	if err == nil && len(r.Findings) > 0 {
		err = exitError{exitFinding, nil}
	}
	return err
}

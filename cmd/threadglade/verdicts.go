package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/fleetio"
	"threadglade.example/threadglade/verdict/verdictpb"
)

// Limits of queries to routers.
const (
	maxConcurrentQueries = 32
	queryTimeout         = 2 * time.Second // for the answer of each router
)

// addVerdicts adds the commands that show and explain the routers' verdicts on case servers, and that hold a case
// server out of use.
func addVerdicts(root *cobra.Command) {
	var path, why, at string
	var asJSON, watch bool
	var duration time.Duration
	group := &cobra.Command{Use: "verdicts --settings FILE",
		Short: "Show the routers' shared verdicts on case servers and where routers disagree"}
	root.AddCommand(group)
	add := newCommandAdder(group, "")
	group.PersistentFlags().StringVar(&path, "settings", "",
		"path of the threadglade settings file, with a (fleet ...) section")
	group.MarkPersistentFlagRequired("settings")
	group.PersistentFlags().StringVar(&at, "at", "",
		"query only this router, given by its name or address; an address needs no keeper")
	group.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	group.Flags().BoolVar(&watch, "watch", false, "print every second until interrupted")
	group.Args = cobra.NoArgs
	group.RunE = func(cmd *cobra.Command, _ []string) error {
		for {
			err := showVerdicts(cmd.Context(), cmd.OutOrStdout(), path, at, asJSON)
			var e exitError
			if err != nil && !errors.As(err, &e) {
				err = exitError{exitFinding, err}
			}
			if !watch {
				return err
			}
			time.Sleep(time.Second)
		}
	}
	add(&cobra.Command{Use: "explain SERVER",
		Short: "Show what each router has observed of a case server, and how long ago", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return explainVerdict(cmd.Context(), cmd.OutOrStdout(), path, at, args[0])
		})
	hold := add(&cobra.Command{Use: "hold SERVER --for 10m --why TEXT",
		Short: "Make all routers avoid a case server for a time, through the fleet's log", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			if duration <= 0 || duration > 24*time.Hour {
				return usageError(errors.New("--for: must be above 0 and at most 24h, so that every hold ends"))
			}
			return putFact(cmd.Context(), cmd.OutOrStdout(), path, fleetio.HoldKeyPrefix+args[0], "server "+args[0],
				func(who string) []byte {
					return fleetio.EncodeHold(who, strings.ReplaceAll(why, "\n", " "), duration, time.Now())
				})
		})
	hold.Flags().DurationVar(&duration, "for", 0, "duration of the hold, at most 24h")
	hold.MarkFlagRequired("for")
	release := add(&cobra.Command{Use: "release SERVER --why TEXT", Short: "End the hold of a case server",
		Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return putFact(cmd.Context(), cmd.OutOrStdout(), path, fleetio.HoldKeyPrefix+args[0], "server "+args[0],
				func(who string) []byte {
					return fleetio.EncodeOperatorValue(who, strings.ReplaceAll(why, "\n", " "), "")
				})
		})
	for _, cmd := range []*cobra.Command{hold, release} {
		cmd.Flags().StringVar(&why, "why", "", "reason, recorded in the fleet's log with the user's name")
		cmd.MarkFlagRequired("why")
	}
}

// verdictReport is a router's report on its verdicts.
type verdictReport struct {
	router string
	*verdictpb.Report
}

// queryVerdicts queries all live routers, or the one named at, for their verdicts. unresponsive lists the routers
// without a usable report, each with the reason.
func queryVerdicts(ctx context.Context, path, at string) (list []verdictReport, unresponsive []string, err error) {
	reports, unresponsive, err := queryFleet(ctx, path, at, "")
	if err != nil {
		return nil, nil, err
	}
	for _, r := range reports {
		report := &verdictpb.Report{}
		if r.Talk == nil || proto.Unmarshal(r.Talk, report) != nil {
			unresponsive = append(unresponsive, r.Name+" (it does not share verdicts)")
			continue
		}
		list = append(list, verdictReport{r.Name, report})
	}
	if len(list) == 0 {
		return nil, unresponsive, exitError{exitFinding,
			fmt.Errorf("no router that answers shares verdicts: %s", strings.Join(unresponsive, "; "))}
	}
	return list, unresponsive, nil
}

// queryFleet queries all live routers, or the one named at; find is a call to look for. unresponsive lists the
// routers that do not answer, each with the error.
func queryFleet(ctx context.Context, path, at, find string) (list []*fleetpb.Report, unresponsive []string, err error) {
	return queryRouters(ctx, path, at, func(ctx context.Context, name, address string) (*fleetpb.Report, error) {
		return fleetio.Inquire(ctx, name, address, find)
	})
}

// queryRouters is queryFleet with ask as the query; ask gets the fleet's name and the router's address. at is a
// router's name or address; an address needs no keeper.
func queryRouters(
	ctx context.Context, path, at string,
	ask func(ctx context.Context, name, address string) (*fleetpb.Report, error),
) (list []*fleetpb.Report, unresponsive []string, err error) {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return nil, nil, err
	}
	addresses := map[string]string{}
	if strings.Contains(at, ":") {
		addresses[at] = at
	} else {
		r, _, err := leaderReport(ctx, o)
		if err != nil {
			return nil, nil, fmt.Errorf(
				"%w; to query a single router without a keeper, give its address in place of its name or with --at", err)
		}
		for _, m := range r.GetState().GetMembers() {
			if m.Live && (at == "" || at == m.Name) {
				if addresses[m.Name] = m.Address; o.RouterAddresses[m.Name] != "" {
					addresses[m.Name] = o.RouterAddresses[m.Name]
				}
			}
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan bool, maxConcurrentQueries)
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		wg.Go(func() {
			slots <- true
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			var r *fleetpb.Report
			err := errors.New("no address")
			if addresses[name] != "" {
				r, err = ask(ctx, o.Settings.Fleet, addresses[name])
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unresponsive = append(unresponsive, fmt.Sprintf("%s (%v)", name, err))
				return
			}
			list = append(list, r)
		})
	}
	wg.Wait()
	slices.Sort(unresponsive)
	slices.SortFunc(list, func(a, b *fleetpb.Report) int { return strings.Compare(a.Name, b.Name) })
	return list, unresponsive, nil
}

// serverSummary is the verdicts of all routers on a case server.
type serverSummary struct {
	Server      string   `json:"server"`
	Verdict     string   `json:"verdict"` // the verdict that most routers have
	Zones       []string `json:"zones,omitempty"`
	Bad         uint32   `json:"bad"`
	Good        uint32   `json:"good"`
	Sources     []string `json:"sources"`
	AgeMs       float64  `json:"age_ms"` // age of the oldest evidence that a router uses
	Routers     int      `json:"routers"`
	HeededBy    int      `json:"heeding"`
	Disagreeing []string `json:"disagree,omitempty"` // routers with another verdict, as "router: verdict"
	Why         string   `json:"why,omitempty"`
	LeftSecs    float64  `json:"left_s,omitempty"`
}

// summarizeServers combines the routers' verdicts by server, in the order of the servers' names.
func summarizeServers(list []verdictReport) (all []serverSummary) {
	byServer := map[string]map[string][]verdictReport{}
	for _, r := range list {
		for _, v := range r.Verdicts {
			if byServer[v.Server] == nil {
				byServer[v.Server] = map[string][]verdictReport{}
			}
			byServer[v.Server][v.Kind] = append(byServer[v.Server][v.Kind], r)
		}
	}
	for _, server := range slices.Sorted(maps.Keys(byServer)) {
		kinds := slices.SortedFunc(maps.Keys(byServer[server]),
			func(a, b string) int { return len(byServer[server][b]) - len(byServer[server][a]) })
		summary := serverSummary{Server: server, Verdict: kinds[0], Routers: len(list)}
		for i, kind := range kinds {
			for _, r := range byServer[server][kind] {
				v := r.Verdicts[slices.IndexFunc(r.Verdicts,
					func(v *verdictpb.Verdict) bool { return v.Server == server })]
				if v.Heeded {
					summary.HeededBy++
				}
				if i > 0 {
					summary.Disagreeing = append(summary.Disagreeing, r.router+": "+kind)
					continue
				}
				summary.Zones, summary.Sources, summary.Why = v.Zones, v.Sources, v.Why
				summary.Bad, summary.Good, summary.AgeMs, summary.LeftSecs = max(summary.Bad, v.Bad),
					max(summary.Good, v.Good),
					max(summary.AgeMs, float64(v.Age)/1000), float64(v.Left)/1e6
			}
		}
		all = append(all, summary)
	}
	return all
}

// showVerdicts prints a row, or a JSON object, for each server that some router has a verdict on.
func showVerdicts(ctx context.Context, w io.Writer, path, at string, asJSON bool) error {
	list, unresponsive, err := queryVerdicts(ctx, path, at)
	if err != nil {
		return err
	}
	all := summarizeServers(list)
	if asJSON {
		for _, summary := range all {
			b, _ := json.Marshal(summary)
			fmt.Fprintln(w, string(b))
		}
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "server\tverdict\tmiss its answers\tanswered since\tseen by\tage\theeded by\tdisagree\t")
	for _, summary := range all {
		verdict := summary.Verdict
		if len(summary.Zones) > 0 {
			verdict += " from " + strings.Join(summary.Zones, ", ")
		}
		if summary.Why != "" {
			verdict += fmt.Sprintf(" for %.0f s: %s", summary.LeftSecs, summary.Why)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%.0f ms\t%d of %d\t%s\t\n", summary.Server, verdict, summary.Bad,
			summary.Good, strings.Join(summary.Sources, " "), summary.AgeMs, summary.HeededBy, summary.Routers,
			strings.Join(summary.Disagreeing, ", "))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(all) == 0 {
		fmt.Fprintln(w, "no router reports a problem with any case server")
	}
	for _, router := range unresponsive {
		fmt.Fprintln(w, "no answer: "+router)
	}
	return nil
}

// explainVerdict prints what each router has observed of a server, according to the first router with a verdict on
// it.
func explainVerdict(ctx context.Context, w io.Writer, path, at, server string) error {
	list, _, err := queryVerdicts(ctx, path, at)
	if err != nil {
		return err
	}
	// A record has ages in microseconds plus 1; 0 means never.
	formatAge := func(n uint64) string {
		if n == 0 {
			return "never"
		}
		return fmt.Sprintf("%.0f ms", float64(n-1)/1000)
	}
	for _, r := range list {
		for _, v := range r.Verdicts {
			if v.Server != server {
				continue
			}
			fmt.Fprintf(w, "%s is %s according to %s (zone %q): %d routers miss its answers, %d have had one since, "+
				"confidence %.2f, newest evidence %.0f ms old\n",
				server, v.Kind, r.router, r.Zone, v.Bad, v.Good,
				v.Confidence, float64(v.Age)/1000)
			if v.Why != "" {
				fmt.Fprintf(w, "  held by an operator for %.0f s more: %s\n", float64(v.Left)/1e6, v.Why)
			}
			t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
			fmt.Fprintln(t, "router\tzone\tlast answer\tlast missed\tlast late\tunanswered since\tgood\tlate\tmissed\trefused\tfull\t")
			for _, record := range v.Records {
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", record.Observer, record.Zone,
					formatAge(record.GoodAt), formatAge(record.Bad), formatAge(record.LateAt), formatAge(record.Onset),
					record.Good, record.Late, record.Silent, record.Refused, record.Full)
			}
			return t.Flush()
		}
	}
	fmt.Fprintf(w, "no router reports a problem with %s\n", server)
	return nil
}

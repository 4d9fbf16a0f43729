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

// askedAtOnce routers are asked beside each other, and each has so long to answer.
const (
	askedAtOnce  = 32
	answerWithin = 2 * time.Second
)

// addVerdicts adds what operators see and say of case servers.
func addVerdicts(root *cobra.Command) {
	var path, why, at string
	var asJSON, watch bool
	var span time.Duration
	group := &cobra.Command{Use: "verdicts --settings FILE", Short: "What the routers together find case servers to be, and whether any disagrees"}
	root.AddCommand(group)
	add := tools(group, "")
	group.PersistentFlags().StringVar(&path, "settings", "", "file of the product's own settings, with a (fleet ...) section")
	group.MarkPersistentFlagRequired("settings")
	group.PersistentFlags().StringVar(&at, "at", "", "ask this router alone, by its name or address; works without any keeper where it is an address")
	group.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	group.Flags().BoolVar(&watch, "watch", false, "each second, until interrupted")
	group.Args = cobra.NoArgs
	group.RunE = func(cmd *cobra.Command, _ []string) error {
		for {
			err := showVerdicts(cmd.Context(), cmd.OutOrStdout(), path, at, asJSON)
			var e exit
			if err != nil && !errors.As(err, &e) {
				err = exit{exitFinding, err}
			}
			if !watch {
				return err
			}
			time.Sleep(time.Second)
		}
	}
	add(&cobra.Command{Use: "explain SERVER", Short: "Which router has seen what of a case server, and how old that is", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return explainVerdict(cmd.Context(), cmd.OutOrStdout(), path, at, args[0])
		})
	hold := add(&cobra.Command{Use: "hold SERVER --for 10m --why TEXT", Short: "Have all routers leave a case server alone for a time, through the log", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			if span <= 0 || span > 24*time.Hour {
				return usage(errors.New("--for: a time above 0, and 24h at the most: a word always ends"))
			}
			return sayFact(cmd.Context(), cmd.OutOrStdout(), path, fleetio.HoldKeyPrefix+args[0], "server "+args[0], func(who string) []byte {
				return fleetio.EncodeHold(who, strings.ReplaceAll(why, "\n", " "), span, time.Now())
			})
		})
	hold.Flags().DurationVar(&span, "for", 0, "how long, 24h at the most")
	hold.MarkFlagRequired("for")
	release := add(&cobra.Command{Use: "release SERVER --why TEXT", Short: "Take such a word back", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return sayFact(cmd.Context(), cmd.OutOrStdout(), path, fleetio.HoldKeyPrefix+args[0], "server "+args[0], func(who string) []byte {
				return fleetio.EncodeOperatorValue(who, strings.ReplaceAll(why, "\n", " "), "")
			})
		})
	for _, cmd := range []*cobra.Command{hold, release} {
		cmd.Flags().StringVar(&why, "why", "", "stands in the log beside who said it")
		cmd.MarkFlagRequired("why")
	}
}

// said is what one router says.
type said struct {
	router string
	*verdictpb.Report
}

// askRouters asks all routers that live, or one, what they have found.
func askRouters(ctx context.Context, path, at string) (list []said, mute []string, err error) {
	reports, mute, err := askFleet(ctx, path, at, "")
	if err != nil {
		return nil, nil, err
	}
	for _, r := range reports {
		one := &verdictpb.Report{}
		if r.Talk == nil || proto.Unmarshal(r.Talk, one) != nil {
			mute = append(mute, r.Name+" (it judges alone)")
			continue
		}
		list = append(list, said{r.Name, one})
	}
	if len(list) == 0 {
		return nil, mute, exit{exitFinding, fmt.Errorf("no router that answers judges together with others: %s", strings.Join(mute, "; "))}
	}
	return list, mute, nil
}

// askFleet asks all routers that live, or one; find is a call to look for. Mute are those that do not answer.
func askFleet(ctx context.Context, path, at, find string) (list []*fleetpb.Report, mute []string, err error) {
	return askRouter(ctx, path, at, func(ctx context.Context, name, address string) (*fleetpb.Report, error) {
		return fleetio.Inquire(ctx, name, address, find)
	})
}

// askRouter is askFleet with another question, of the fleet of that name.
func askRouter(ctx context.Context, path, at string, ask func(ctx context.Context, name, address string) (*fleetpb.Report, error)) (list []*fleetpb.Report, mute []string, err error) {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return nil, nil, err
	}
	address := map[string]string{}
	if strings.Contains(at, ":") {
		address[at] = at
	} else {
		r, _, err := leading(ctx, o)
		if err != nil {
			return nil, nil, fmt.Errorf("%w; a router's address, by --at or in place of its name, asks that router alone", err)
		}
		for _, m := range r.GetState().GetMembers() {
			if m.Live && (at == "" || at == m.Name) {
				if address[m.Name] = m.Address; o.RouterAddresses[m.Name] != "" {
					address[m.Name] = o.RouterAddresses[m.Name]
				}
			}
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	turns := make(chan bool, askedAtOnce)
	for _, name := range slices.Sorted(maps.Keys(address)) {
		wg.Go(func() {
			turns <- true
			defer func() { <-turns }()
			ctx, cancel := context.WithTimeout(ctx, answerWithin)
			defer cancel()
			var r *fleetpb.Report
			err := errors.New("no address")
			if address[name] != "" {
				r, err = ask(ctx, o.Settings.Fleet, address[name])
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				mute = append(mute, fmt.Sprintf("%s (%v)", name, err))
				return
			}
			list = append(list, r)
		})
	}
	wg.Wait()
	slices.Sort(mute)
	slices.SortFunc(list, func(a, b *fleetpb.Report) int { return strings.Compare(a.Name, b.Name) })
	return list, mute, nil
}

// judged is one server as the routers see it.
type judged struct {
	Server   string   `json:"server"`
	Verdict  string   `json:"verdict"` // of most routers
	Zones    []string `json:"zones,omitempty"`
	Bad      uint32   `json:"bad"`
	Good     uint32   `json:"good"`
	Sources  []string `json:"sources"`
	AgeMs    float64  `json:"age_ms"` // the oldest that a router goes by
	Routers  int      `json:"routers"`
	Heeding  int      `json:"heeding"`
	Others   []string `json:"disagree,omitempty"` // router: verdict
	Why      string   `json:"why,omitempty"`
	LeftSecs float64  `json:"left_s,omitempty"`
}

// together joins what routers say, by server.
func together(list []said) (all []judged) {
	by := map[string]map[string][]said{}
	for _, r := range list {
		for _, v := range r.Verdicts {
			if by[v.Server] == nil {
				by[v.Server] = map[string][]said{}
			}
			by[v.Server][v.Kind] = append(by[v.Server][v.Kind], r)
		}
	}
	for _, server := range slices.Sorted(maps.Keys(by)) {
		kinds := slices.SortedFunc(maps.Keys(by[server]), func(a, b string) int { return len(by[server][b]) - len(by[server][a]) })
		j := judged{Server: server, Verdict: kinds[0], Routers: len(list)}
		for i, kind := range kinds {
			for _, r := range by[server][kind] {
				v := r.Verdicts[slices.IndexFunc(r.Verdicts, func(v *verdictpb.Verdict) bool { return v.Server == server })]
				if v.Heeded {
					j.Heeding++
				}
				if i > 0 {
					j.Others = append(j.Others, r.router+": "+kind)
					continue
				}
				j.Zones, j.Sources, j.Why = v.Zones, v.Sources, v.Why
				j.Bad, j.Good, j.AgeMs, j.LeftSecs = max(j.Bad, v.Bad), max(j.Good, v.Good), max(j.AgeMs, float64(v.Age)/1000), float64(v.Left)/1e6
			}
		}
		all = append(all, j)
	}
	return all
}

func showVerdicts(ctx context.Context, w io.Writer, path, at string, asJSON bool) error {
	list, mute, err := askRouters(ctx, path, at)
	if err != nil {
		return err
	}
	all := together(list)
	if asJSON {
		for _, j := range all {
			b, _ := json.Marshal(j)
			fmt.Fprintln(w, string(b))
		}
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "server\tverdict\tmiss its answers\tanswered since\tseen by\tage\theeded by\tdisagree\t")
	for _, j := range all {
		found := j.Verdict
		if len(j.Zones) > 0 {
			found += " from " + strings.Join(j.Zones, ", ")
		}
		if j.Why != "" {
			found += fmt.Sprintf(" for %.0f s: %s", j.LeftSecs, j.Why)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%.0f ms\t%d of %d\t%s\t\n", j.Server, found, j.Bad, j.Good, strings.Join(j.Sources, " "), j.AgeMs, j.Heeding, j.Routers, strings.Join(j.Others, ", "))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(all) == 0 {
		fmt.Fprintln(w, "nobody finds fault with any case server")
	}
	for _, m := range mute {
		fmt.Fprintln(w, "no answer: "+m)
	}
	return nil
}

// explainVerdict tells what each router has seen of a server, as one router holds it.
func explainVerdict(ctx context.Context, w io.Writer, path, at, server string) error {
	list, _, err := askRouters(ctx, path, at)
	if err != nil {
		return err
	}
	ms := func(n uint64) string {
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
			fmt.Fprintf(w, "%s is %s, as %s (zone %q) holds it: %d routers miss its answers, %d have had one since, confidence %.2f, newest evidence %.0f ms old\n", server, v.Kind, r.router, r.Zone, v.Bad, v.Good,
				v.Confidence, float64(v.Age)/1000)
			if v.Why != "" {
				fmt.Fprintf(w, "  an operator's word for %.0f s more: %s\n", float64(v.Left)/1e6, v.Why)
			}
			t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
			fmt.Fprintln(t, "router\tzone\tlast answer\tlast missed\tlast late\tunanswered since\tgood\tlate\tmissed\trefused\tfull\t")
			for _, one := range v.Records {
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", one.Observer, one.Zone, ms(one.GoodAt), ms(one.Bad), ms(one.LateAt), ms(one.Onset), one.Good, one.Late, one.Silent, one.Refused, one.Full)
			}
			return t.Flush()
		}
	}
	fmt.Fprintf(w, "nobody finds fault with %s\n", server)
	return nil
}

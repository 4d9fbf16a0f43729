package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/fleetio"
	"threadglade.example/threadglade/quota/quotapb"
)

// maxShownHolders is how many of the routers that hold a share of a limit its row lists by name.
const maxShownHolders = 3

// addLimits adds the commands that show, set, unset and explain the fleet's limits.
func addLimits(root *cobra.Command) {
	var path, why string
	var asJSON, watch bool
	group := &cobra.Command{Use: "limits --settings FILE",
		Short: "Show the limits of the whole fleet, and manage them through its log"}
	root.AddCommand(group)
	add := newCommandAdder(group, "")
	group.PersistentFlags().StringVar(&path, "settings", "",
		"path of the threadglade settings file, with a (fleet ...) section")
	group.MarkPersistentFlagRequired("settings")
	group.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	group.Flags().BoolVar(&watch, "watch", false, "print every second until interrupted")
	group.Args = cobra.NoArgs
	group.RunE = func(cmd *cobra.Command, _ []string) error {
		for {
			err := showLimits(cmd.Context(), cmd.OutOrStdout(), path, asJSON)
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
	set := add(&cobra.Command{Use: "set NAME FIELDS --why TEXT",
		Short: `Set a limit in the fleet's log, as in: set lda '(rate 50) (tenant "lda")' --why "agreed"`,
		Args:  cobra.ExactArgs(2)},
		func(cmd *cobra.Command, args []string) error {
			text := fmt.Sprintf("(limit %q %s)", args[0], args[1])
			if _, err := fleetio.ParseLimit("limit", text); err != nil {
				return usageError(err)
			}
			return putLimit(cmd.Context(), cmd.OutOrStdout(), path, args[0], why, text)
		})
	unset := add(&cobra.Command{Use: "unset NAME --why TEXT",
		Short: "Remove a limit through the fleet's log, even one from the settings", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return putLimit(cmd.Context(), cmd.OutOrStdout(), path, args[0], why, "")
		})
	var class, number string
	explain := add(&cobra.Command{Use: "explain TENANT",
		Short: "Show which limits apply to a call of a tenant, and whether they would refuse it now",
		Args:  cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return explainLimits(cmd.Context(), cmd.OutOrStdout(), path, class, args[0], number)
		})
	explain.Flags().StringVar(&class, "class", "", "class of the call")
	explain.Flags().StringVar(&number, "number", "", "number that is called")
	for _, cmd := range []*cobra.Command{set, unset} {
		cmd.Flags().StringVar(&why, "why", "", "reason, recorded in the fleet's log with the user's name")
		cmd.MarkFlagRequired("why")
	}
}

// leaderReport queries all keepers and returns the leader's report and address.
func leaderReport(ctx context.Context, o fleetio.Options) (*fleetpb.Report, string, error) {
	reports, _ := queryKeepers(ctx, o)
	for _, r := range reports {
		if r != nil && r.Leader == r.Name && !r.Halted {
			return r, o.Addresses[r.Name], nil
		}
	}
	return nil, "", errors.New("no keeper that answers is the leader")
}

// limitStandings returns the leading keeper's report, and from it the state of every limit: how much of it is used and
// which routers hold which shares.
func limitStandings(ctx context.Context, path string) ([]*quotapb.Standing, *fleetpb.Report, error) {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return nil, nil, err
	}
	r, _, err := leaderReport(ctx, o)
	if err != nil {
		return nil, nil, err
	}
	var all quotapb.Standings
	if err := proto.Unmarshal(r.Ride, &all); err != nil {
		return nil, nil, err
	}
	return all.Standings, r, nil
}

// showLimits prints a row, or a JSON object, for each limit.
func showLimits(ctx context.Context, w io.Writer, path string, asJSON bool) error {
	all, r, err := limitStandings(ctx, path)
	if err != nil {
		return err
	}
	setBy := map[string]string{}
	for _, f := range r.GetState().GetFacts() {
		if name, ok := strings.CutPrefix(f.Key, "limit/"); ok {
			who, why, _ := fleetio.DecodeOperatorValue(f.Value)
			setBy[name] = who + ": " + why
		}
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if !asJSON {
		fmt.Fprintln(t, "limit\tkind\tmost\tcounts\tcut off\tgiven out\theld by\tkept\tused\trefused\tcertain\tset by\t")
	}
	for _, s := range all {
		counts := strings.TrimSpace(fmt.Sprintf("%s %s %s", s.Class, s.Tenant, s.Number))
		if counts == "" {
			counts = "all"
		}
		if asJSON {
			b, _ := json.Marshal(map[string]any{"refused": max(s.Demand-s.Used, 0), "held": s.Held, "limit": s.Limit,
				"kind": s.Kind, "most": s.Most, "cut_off": s.CutOff, "out": s.Out, "kept": s.Kept, "used": s.Used,
				"wanted": s.Demand, "routers": s.Holders, "set_by": setBy[s.Limit]})
			fmt.Fprintln(w, string(b))
			continue
		}
		// A router's share is known as of its last request, so the oldest of these bounds how stale the row is.
		held, oldest := "", int64(0)
		for i, h := range s.Held {
			if oldest = max(oldest, h.AgeMs); i < maxShownHolders {
				held += fmt.Sprintf("%s %.1f ", h.Router, h.Share)
			}
		}
		if more := int(s.Holders) - maxShownHolders; more > 0 {
			held += fmt.Sprintf("and %d more", more)
		}
		certain := "never"
		if s.Holders > 0 {
			certain = fmt.Sprintf("%d ms ago", oldest)
		}
		fmt.Fprintf(t, "%s\t%s\t%g\t%s\t%s\t%.1f\t%s\t%.1f\t%.1f\t%.1f\t%s\t%s\t\n", s.Limit, s.Kind, s.Most, counts,
			s.CutOff, s.Out, held, s.Kept, s.Used, max(s.Demand-s.Used, 0), certain, setBy[s.Limit])
	}
	return t.Flush()
}

// explainLimits prints the state of each limit that applies to such a call and whether it would refuse the call now.
func explainLimits(ctx context.Context, w io.Writer, path, class, tenant, number string) error {
	all, _, err := limitStandings(ctx, path)
	if err != nil {
		return err
	}
	matched := 0
	for _, s := range all {
		base, value, perValue := strings.Cut(s.Limit, "/")
		if s.Class != "" && s.Class != class || s.Tenant != "" && s.Tenant != tenant ||
			s.Number != "" && !strings.HasPrefix(number, s.Number) ||
			perValue && value != tenant && value != class && value != number {
			continue
		}
		matched++
		unit := "calls in progress"
		if s.Kind == "rate" {
			unit = "set-ups per second"
		}
		fmt.Fprintf(w, "%s (of %s): %g %s in the fleet, %.1f used, %.1f requested, %.1f granted to %d routers, "+
			"%.1f reserved for calls of lost routers\n",
			s.Limit, base, s.Most, unit, s.Used, s.Demand, s.Out, s.Holders, s.Kept)
		switch {
		case s.Kept > 0 && s.Demand > s.Used*1.05+0.5:
			fmt.Fprintln(w, "  more is requested than admitted, and capacity is reserved for calls of lost routers that may "+
				"still be in progress: it is freed within the limit's (longest ...)")
		case s.Demand > s.Most:
			fmt.Fprintln(w, "  more is requested than the limit allows: every router refuses calls beyond it")
		case s.Demand > s.Used*1.05+0.5:
			fmt.Fprintln(w, "  more is requested than admitted, within the limit: shares are moving between routers, or a "+
				"router without a lease refuses calls; look for fleet_cut_off in its log")
		default:
			fmt.Fprintln(w, "  a router that holds its lease would admit a call")
		}
	}
	if matched == 0 {
		fmt.Fprintln(w, "no limit applies to such a call, or none that does is active")
	}
	return nil
}

// putLimit writes an operator's setting of a limit into the fleet's log; an empty text removes the limit.
func putLimit(ctx context.Context, w io.Writer, path, name, why, text string) error {
	why = strings.ReplaceAll(why, "\n", " ")
	return putFact(ctx, w, path, "limit/"+name, "limit "+name,
		func(who string) []byte { return fleetio.EncodeOperatorValue(who, why, text) })
}

// putFact writes an operator's fact into the fleet's log through the leading keeper. encode gets the operator's user
// name. It fails if the fact has changed since the keeper's report was read.
func putFact(ctx context.Context, w io.Writer, path, key, label string, encode func(who string) []byte) error {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	r, addr, err := leaderReport(ctx, o)
	if err != nil {
		return err
	}
	who := "uid " + fmt.Sprint(os.Getuid())
	if u, err := user.Current(); err == nil {
		who = u.Username
	}
	put := &fleetpb.Put{Key: key, Value: encode(strings.ReplaceAll(who, "\n", " "))}
	for _, f := range r.GetState().GetFacts() {
		if f.Key == put.Key {
			put.Expect = f.Version
		}
	}
	version, err := fleetio.PutFact(ctx, o.Settings.Fleet, addr, put)
	if err != nil {
		return err
	}
	if version == 0 {
		return errors.New("not written: the value has changed meanwhile, the new one is too long, or the keeper is no " +
			"longer the leader; check the current state and try again")
	}
	fmt.Fprintf(w, "%s: version %d\n", label, version)
	return nil
}

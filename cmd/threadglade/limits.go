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

// shownMost holders of a limit are named in a line.
const shownMost = 3

// addLimits adds what operators see and say of the fleet's limits.
func addLimits(root *cobra.Command) {
	var path, why string
	var asJSON, watch bool
	group := &cobra.Command{Use: "limits --settings FILE", Short: "Limits of the whole fleet: given out, kept, used, wanted, by the leading keeper"}
	root.AddCommand(group)
	add := tools(group, "")
	group.PersistentFlags().StringVar(&path, "settings", "", "file of the product's own settings, with a (fleet ...) section")
	group.MarkPersistentFlagRequired("settings")
	group.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	group.Flags().BoolVar(&watch, "watch", false, "each second, until interrupted")
	group.Args = cobra.NoArgs
	group.RunE = func(cmd *cobra.Command, _ []string) error {
		for {
			err := showLimits(cmd.Context(), cmd.OutOrStdout(), path, asJSON)
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
	set := add(&cobra.Command{Use: "set NAME FIELDS --why TEXT", Short: `Set a limit through the log, as in: set lda '(rate 50) (tenant "lda")' --why "agreed"`, Args: cobra.ExactArgs(2)},
		func(cmd *cobra.Command, args []string) error {
			text := fmt.Sprintf("(limit %q %s)", args[0], args[1])
			if _, err := fleetio.ParseLimit("limit", text); err != nil {
				return usage(err)
			}
			return sayLimit(cmd.Context(), cmd.OutOrStdout(), path, args[0], why, text)
		})
	unset := add(&cobra.Command{Use: "unset NAME --why TEXT", Short: "Take a limit away through the log, one of the settings, too", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return sayLimit(cmd.Context(), cmd.OutOrStdout(), path, args[0], why, "")
		})
	var class, number string
	explain := add(&cobra.Command{Use: "explain TENANT", Short: "Which limits a tenant's call meets, and what would have it refused now", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return explainLimits(cmd.Context(), cmd.OutOrStdout(), path, class, args[0], number)
		})
	explain.Flags().StringVar(&class, "class", "", "of the call")
	explain.Flags().StringVar(&number, "number", "", "that it calls")
	for _, cmd := range []*cobra.Command{set, unset} {
		cmd.Flags().StringVar(&why, "why", "", "stands in the log beside who said it")
		cmd.MarkFlagRequired("why")
	}
}

// leading asks all keepers and returns the report of the one that leads, and its address.
func leading(ctx context.Context, o fleetio.Options) (*fleetpb.Report, string, error) {
	reports, _ := askKeepers(ctx, o)
	for _, r := range reports {
		if r != nil && r.Leader == r.Name && !r.Halted {
			return r, o.Addresses[r.Name], nil
		}
	}
	return nil, "", errors.New("no keeper that answers leads")
}

// standings are the limits as the leading keeper divides them, and its report.
func standings(ctx context.Context, path string) ([]*quotapb.Standing, *fleetpb.Report, error) {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return nil, nil, err
	}
	r, _, err := leading(ctx, o)
	if err != nil {
		return nil, nil, err
	}
	var all quotapb.Standings
	if err := proto.Unmarshal(r.Ride, &all); err != nil {
		return nil, nil, err
	}
	return all.Standings, r, nil
}

func showLimits(ctx context.Context, w io.Writer, path string, asJSON bool) error {
	all, r, err := standings(ctx, path)
	if err != nil {
		return err
	}
	words := map[string]string{}
	for _, f := range r.GetState().GetFacts() {
		if name, ok := strings.CutPrefix(f.Key, "limit/"); ok {
			who, why, _ := fleetio.DecodeOperatorValue(f.Value)
			words[name] = who + ": " + why
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
			b, _ := json.Marshal(map[string]any{"refused": max(s.Demand-s.Used, 0), "held": s.Held, "limit": s.Limit, "kind": s.Kind, "most": s.Most, "cut_off": s.CutOff, "out": s.Out, "kept": s.Kept, "used": s.Used, "wanted": s.Demand, "routers": s.Holders, "set_by": words[s.Limit]})
			fmt.Fprintln(w, string(b))
			continue
		}
		// A share is certain as of its holder's last ask; the oldest of them says how far the line is to be believed.
		held, oldest := "", int64(0)
		for i, h := range s.Held {
			if oldest = max(oldest, h.AgeMs); i < shownMost {
				held += fmt.Sprintf("%s %.1f ", h.Router, h.Share)
			}
		}
		if more := int(s.Holders) - shownMost; more > 0 {
			held += fmt.Sprintf("and %d more", more)
		}
		certain := "never"
		if s.Holders > 0 {
			certain = fmt.Sprintf("%d ms ago", oldest)
		}
		fmt.Fprintf(t, "%s\t%s\t%g\t%s\t%s\t%.1f\t%s\t%.1f\t%.1f\t%.1f\t%s\t%s\t\n", s.Limit, s.Kind, s.Most, counts, s.CutOff, s.Out, held, s.Kept, s.Used, max(s.Demand-s.Used, 0), certain, words[s.Limit])
	}
	return t.Flush()
}

// explainLimits tells of each limit that a call meets how it stands.
func explainLimits(ctx context.Context, w io.Writer, path, class, tenant, number string) error {
	all, _, err := standings(ctx, path)
	if err != nil {
		return err
	}
	met := 0
	for _, s := range all {
		base, value, each := strings.Cut(s.Limit, "/")
		if s.Class != "" && s.Class != class || s.Tenant != "" && s.Tenant != tenant || s.Number != "" && !strings.HasPrefix(number, s.Number) ||
			each && value != tenant && value != class && value != number {
			continue
		}
		met++
		unit := "calls at once"
		if s.Kind == "rate" {
			unit = "set-ups a second"
		}
		fmt.Fprintf(w, "%s (of %s): %g %s in the fleet, %.1f used, %.1f wanted, %.1f with %d routers, %.1f kept for calls of lost routers\n", s.Limit, base, s.Most, unit, s.Used, s.Demand, s.Out, s.Holders, s.Kept)
		switch {
		case s.Kept > 0 && s.Demand > s.Used*1.05+0.5:
			fmt.Fprintln(w, "  more is wanted than admitted, and places are kept for calls that may still stand: they come back within the limit's (longest ...)")
		case s.Demand > s.Most:
			fmt.Fprintln(w, "  more is wanted than the limit allows: calls beyond it are refused everywhere")
		case s.Demand > s.Used*1.05+0.5:
			fmt.Fprintln(w, "  more is wanted than admitted, within the limit: shares are moving, or a router without a lease refuses; see its log for fleet_cut_off")
		default:
			fmt.Fprintln(w, "  a call has room, at a router that holds its lease")
		}
	}
	if met == 0 {
		fmt.Fprintln(w, "no limit counts such a call, or none of it is active")
	}
	return nil
}

// sayLimit writes an operator's word on a limit.
func sayLimit(ctx context.Context, w io.Writer, path, name, why, text string) error {
	why = strings.ReplaceAll(why, "\n", " ")
	return sayFact(ctx, w, path, "limit/"+name, "limit "+name, func(who string) []byte { return fleetio.EncodeOperatorValue(who, why, text) })
}

// sayFact writes an operator's word into the log.
func sayFact(ctx context.Context, w io.Writer, path, key, label string, word func(who string) []byte) error {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	r, addr, err := leading(ctx, o)
	if err != nil {
		return err
	}
	who := "uid " + fmt.Sprint(os.Getuid())
	if u, err := user.Current(); err == nil {
		who = u.Username
	}
	put := &fleetpb.Put{Key: key, Value: word(strings.ReplaceAll(who, "\n", " "))}
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
		return errors.New("not taken: another word came first, it is longer than a fact may be, or the keeper leads no more; look and say it again")
	}
	fmt.Fprintf(w, "%s: version %d\n", label, version)
	return nil
}

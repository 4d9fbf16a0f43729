package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/fleetio"
	"threadglade.example/threadglade/takeover/takeoverpb"
)

// addWork adds the commands that show which routers hold replicas of which calls in progress.
func addWork(root *cobra.Command) {
	var path, at string
	var asJSON, watch bool
	group := &cobra.Command{Use: "work --settings FILE",
		Short: "Show which routers replicate whose calls in progress, and which calls were taken over", Args: cobra.NoArgs}
	root.AddCommand(group)
	add := newCommandAdder(group, "")
	group.PersistentFlags().StringVar(&path, "settings", "",
		"path of the threadglade settings file, with a (fleet ...) section")
	group.MarkPersistentFlagRequired("settings")
	group.PersistentFlags().StringVar(&at, "at", "",
		"query only this router, given by its name or address; an address needs no keeper")
	group.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	group.Flags().BoolVar(&watch, "watch", false, "print every second until interrupted")
	group.RunE = func(cmd *cobra.Command, _ []string) error {
		for {
			err := showWork(cmd.Context(), cmd.OutOrStdout(), path, at, asJSON)
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
	add(&cobra.Command{Use: "find CALL", Short: "Show which routers have a call, replicate it or have taken it over",
		Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			list, unresponsive, err := queryWork(cmd.Context(), path, at, args[0])
			if err != nil {
				return err
			}
			found := false
			for _, r := range list {
				for _, where := range r.Found {
					found = true
					fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", r.name, where)
				}
			}
			if len(unresponsive) > 0 {
				fmt.Fprintf(cmd.OutOrStdout(), "no answer: %s\n", strings.Join(unresponsive, "; "))
			}
			if !found {
				return exitError{exitFinding, fmt.Errorf("no router that answers knows of call %s", args[0])}
			}
			return nil
		})
}

// addEvacuate adds the command that makes a router hand its established calls over to another.
func addEvacuate(root *cobra.Command) {
	var path string
	var wait time.Duration
	cmd := &cobra.Command{Use: "evacuate ROUTER --settings FILE",
		Short: "Make a router hand over its established calls, and wait until another router has them",
		Args:  cobra.ExactArgs(1)}
	cmd.Flags().StringVar(&path, "settings", "", "path of the threadglade settings file, with a (fleet ...) section")
	cmd.MarkFlagRequired("settings")
	cmd.Flags().DurationVar(&wait, "wait", 30*time.Second, "how long to wait until another router has the calls")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return evacuate(cmd.Context(), cmd.OutOrStdout(), path, args[0], wait)
	}
	root.AddCommand(cmd)
}

// evacuate requests the evacuation once and then polls until another router has confirmed the calls, or wait has
// passed.
func evacuate(ctx context.Context, w io.Writer, path, router string, wait time.Duration) error {
	if _, _, err := fleetSettings(path, ""); err != nil {
		return err
	}
	start, lastEvacuated := time.Now(), uint64(0)
	query := func(evacuate bool) (*takeoverpb.Report, error) {
		reports, unresponsive, err := queryRouters(ctx, path, router,
			func(ctx context.Context, name, address string) (*fleetpb.Report, error) {
				if evacuate {
					return fleetio.Evacuate(ctx, name, address)
				}
				return fleetio.Inquire(ctx, name, address, "")
			})
		if err != nil {
			return nil, exitError{exitFinding, err}
		}
		report := &takeoverpb.Report{}
		switch {
		case len(reports) == 0 && len(unresponsive) > 0:
			return nil, exitError{exitFinding, fmt.Errorf("no answer: %s", strings.Join(unresponsive, "; "))}
		case len(reports) == 0:
			return nil, exitError{exitFinding, fmt.Errorf("no live router is called %s", router)}
		case reports[0].Work == nil || proto.Unmarshal(reports[0].Work, report) != nil:
			return nil, exitError{exitFinding,
				fmt.Errorf("%s: its calls are not replicated: its settings have no (takeover ...) section", router)}
		case report.Refused != "":
			return nil, exitError{exitFinding, fmt.Errorf("%s: %s", router, report.Refused)}
		}
		return report, nil
	}
	r, err := query(false)
	if err != nil {
		return err
	}
	lastEvacuated = r.Evacuated
	if r, err = query(true); err != nil {
		return err
	}
	for status := ""; ; {
		switch {
		case err != nil: // for example, the log doesn't list the router as live between its two incarnations
			status = err.Error()
		case r.Evacuated == lastEvacuated:
			status = "the router still has call ends to send and hands its calls over only when it has none: " +
				"drain it first (docs/operators/door.md)"
		case r.Told:
			fmt.Fprintf(w, "%s: handed over %d established calls of incarnation %d to %s in %v\n", router,
				r.Passed, r.Evacuated, r.Successor, time.Since(start).Round(time.Millisecond))
			return nil
		case r.Successor == "":
			status = fmt.Sprintf("%d calls of incarnation %d were given up, but no router can take them over yet", r.Passed,
				r.Evacuated)
		default:
			status = fmt.Sprintf("%d calls of incarnation %d were given up, but %s has not confirmed yet that it has them",
				r.Passed,
				r.Evacuated, r.Successor)
		}
		if time.Since(start) > wait {
			return exitError{exitFinding, fmt.Errorf("%s: not done within %v: %s", router, wait, status)}
		}
		time.Sleep(100 * time.Millisecond)
		r, err = query(false)
	}
}

// workReport is a router's report on replicas of calls in progress.
type workReport struct {
	name string
	*takeoverpb.Report
}

// queryWork queries all live routers, or the one named at, about their calls in progress; find is a call to look for.
// unresponsive lists the routers without a usable report, each with the reason.
func queryWork(ctx context.Context, path, at, find string) (list []workReport, unresponsive []string, err error) {
	reports, unresponsive, err := queryFleet(ctx, path, at, find)
	if err != nil {
		return nil, nil, err
	}
	for _, r := range reports {
		report := &takeoverpb.Report{}
		if r.Work == nil || proto.Unmarshal(r.Work, report) != nil {
			unresponsive = append(unresponsive, r.Name+" (its calls are not replicated)")
			continue
		}
		list = append(list, workReport{r.Name, report})
	}
	if len(list) == 0 {
		return nil, unresponsive, exitError{exitFinding,
			fmt.Errorf("no router that answers has its calls replicated: %s", strings.Join(unresponsive, "; "))}
	}
	return list, unresponsive, nil
}

// showWork prints a row for each router, or one JSON object, and notes on incidents.
func showWork(ctx context.Context, w io.Writer, path, at string, asJSON bool) error {
	list, unresponsive, err := queryWork(ctx, path, at, "")
	if err != nil {
		return err
	}
	if asJSON {
		out := map[string]any{"mute": unresponsive}
		for _, r := range list {
			out[r.name] = r.Report
		}
		return json.NewEncoder(w).Encode(out)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "router\tincarnation\tin hand\trecords\tconfirmed\theld by\tholds for\ttaken from\t")
	for _, r := range list {
		by, held, taken := []string{}, []string{}, []string{}
		for _, h := range r.Holders {
			by = append(by, fmt.Sprintf("%s (%d behind)", h.Name, r.Number-min(h.Number, r.Number)))
		}
		for _, h := range r.Held {
			text := fmt.Sprintf("%s.%d: %d", h.Name, h.Incarnation, h.Calls)
			if h.Successor != "" {
				text += ", goes to " + h.Successor
			}
			held = append(held, text)
		}
		for _, h := range r.Taken {
			taken = append(taken, fmt.Sprintf("%s.%d: %d", h.Name, h.Incarnation, h.Calls))
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", r.name, r.Incarnation, r.Calls, r.Number, r.Confirmed,
			strings.Join(by, ", "), strings.Join(held, "; "), strings.Join(taken, "; "))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range list {
		c := r.Counts
		if c["hurried"]+c["alone"]+c["missed"]+c["lost"]+c["full"] > 0 {
			fmt.Fprintf(w, "%s: %d batches of output did not wait for a replica, %d had no router to replicate to, "+
				"%d records were dropped, %d calls lost, %d replica updates rejected for lack of space\n",
				r.name, c["hurried"], c["alone"], c["missed"], c["lost"], c["full"])
		}
	}
	if len(unresponsive) > 0 {
		fmt.Fprintf(w, "no answer: %s\n", strings.Join(unresponsive, "; "))
	}
	return nil
}

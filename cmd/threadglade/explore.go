package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"threadglade.example/threadglade/internal/explore"
)

// exploreCommand returns the command that explores all event orders of a small world.
func exploreCommand() *cobra.Command {
	root := &cobra.Command{Use: "explore",
		Short: "Try the router's decisions on every order of events in a small world", Args: cobra.NoArgs,
		Long: "Try the router's own code on every order of events that a small world allows, and check the rules at each step.\n" +
			"Exit code 0: they hold, or --list; 1: one does not, with a shortest way there, or a bound was reached first; 2: usage."}
	var world, mutant, draw string
	var list, asJSON, coarse bool
	var calls, servers, attempts int
	var limits explore.Limits
	root.Flags().StringVar(&world, "world", explore.Worlds()[0].Name, "which world")
	root.Flags().StringVar(&mutant, "mutant", "",
		"build a fault into the router (a build with -tags mutant, which is never to serve)")
	root.Flags().StringVar(&draw, "draw", "least", "what every random draw gives: least or most")
	root.Flags().BoolVar(&list, "list", false,
		"name the worlds, the properties and, in a build that has them, the mutants")
	root.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	root.Flags().IntVar(&calls, "calls", 0, "calls in it; 0: as the world has it")
	root.Flags().IntVar(&servers, "servers", 0, "case servers in it")
	root.Flags().IntVar(&attempts, "attempts", 0, "attempts that a call may take")
	root.Flags().BoolVar(&coarse, "coarse", false,
		"let events come only where time has brought something about, or 0.1 s has gone by: far fewer states")
	root.Flags().IntVar(&limits.Workers, "workers", 0, "states worked on at once; 0: as many as there are processors")
	root.Flags().Int64Var(&limits.MaxStates, "states", 1_000_000,
		"end after so many distinct states, which bounds the memory to some 8 kB each; 0: no bound")
	root.Flags().DurationVar(&limits.MaxDuration, "time", 10*time.Minute, "end after about this time; 0: no bound")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.RunE = func(cmd *cobra.Command, _ []string) error {
		if list {
			return writeResult(cmd.OutOrStdout(), asJSON,
				map[string]any{"worlds": explore.Worlds(), "properties": explore.Properties, "mutants": mutants},
				printWorlds)
		}
		w, err := explore.FindWorld(world)
		if err != nil {
			return usageError(fmt.Errorf("%w: %q; see --list", err, world))
		}
		for _, n := range []struct {
			flag   string
			value  int
			target *int
			limit  int
		}{{"calls", calls, &w.Calls, 16}, {"servers", servers, &w.Servers, 16},
			{"attempts", attempts, &w.Attempts, 6}} {
			if n.value < 0 || n.value > n.limit {
				return usageError(fmt.Errorf("--%s: %d is not within 1 and %d", n.flag, n.value, n.limit))
			}
			if n.value > 0 {
				*n.target = n.value
			}
		}
		w.CoarseTime = w.CoarseTime || coarse
		switch draw {
		case "least":
		case "most":
			w.RandomValue = ^uint64(0)
		default:
			return usageError(fmt.Errorf("--draw: %q is neither least nor most", draw))
		}
		if mutant != "" {
			if mutants[mutant] == "" {
				return usageError(fmt.Errorf("--mutant: this build has no %q; one with -tags mutant names its own by --list",
					mutant))
			}
			mutate(mutant)
		}
		res, err := explore.Run(w, limits)
		if err != nil {
			return err
		}
		if err := writeResult(cmd.OutOrStdout(), asJSON, res,
			func(out io.Writer) { printResult(out, res) }); err != nil {
			return err
		}
		switch {
		case res.Violation != "":
			return exitError{exitFinding, errors.New("a property does not hold")}
		case !res.Complete:
			return exitError{exitFinding, errors.New("a bound was reached before all states were")}
		}
		return nil
	}
	return root
}

// printWorlds prints the worlds, the properties and the mutants of this build.
func printWorlds(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "world\tcalls\tservers\tattempts\t")
	for _, w := range explore.Worlds() {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\n", w.Name, w.Calls, w.Servers, w.Attempts, w.Description)
	}
	t.Flush()
	fmt.Fprintln(out, "\nproperties")
	for _, p := range explore.Properties {
		fmt.Fprintln(out, "  "+p)
	}
	if len(mutants) > 0 {
		fmt.Fprintln(out, "\nmutants")
		for _, name := range slices.Sorted(maps.Keys(mutants)) {
			fmt.Fprintf(out, "  %-15s %s\n", name, mutants[name])
		}
	}
}

// printResult prints the figures of an exploration and the path to a broken property, if there is one.
func printResult(out io.Writer, r explore.Result) {
	fmt.Fprintf(out, "world %s: %d distinct states, %d transitions, %d ends, depth %d, at most %d at one depth, %v, %.0f transitions a second\n",
		r.World, r.Distinct,
		r.Transitions, r.FinalStates, r.Depth, r.MaxWidth, r.Duration.Round(time.Millisecond),
		float64(r.Transitions)/r.Duration.Seconds())
	if r.Violation != "" {
		fmt.Fprintln(out, "broken:", r.Violation)
		for i, what := range r.Path {
			fmt.Fprintf(out, "  %2d %s\n", i+1, what)
		}
	}
}

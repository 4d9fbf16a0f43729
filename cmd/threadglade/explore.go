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
		Short: "Model-check the router's decisions on every order of events in a small world", Args: cobra.NoArgs,
		Long: "Run the router's own code on every order of events that a small world allows, and check its properties\n" +
			"after each step. A violation is printed with a shortest sequence of events that leads to it.\n\n" +
			"Exit status: 0 all properties hold, 1 one is violated or a bound was reached first, 2 invalid command line."}
	var world, mutant, draw string
	var list, asJSON, coarse bool
	var calls, servers, attempts int
	var limits explore.Limits
	root.Flags().StringVar(&world, "world", explore.Worlds()[0].Name, "world to explore; see --list")
	root.Flags().StringVar(&mutant, "mutant", "",
		"inject this fault into the router (only in a build with -tags mutant, which must never serve calls)")
	root.Flags().StringVar(&draw, "draw", "least", "result of every random draw: least or most")
	root.Flags().BoolVar(&list, "list", false,
		"list the worlds, the properties and, in a build that has them, the mutants")
	root.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	root.Flags().IntVar(&calls, "calls", 0, "number of calls; 0: as defined by the world")
	root.Flags().IntVar(&servers, "servers", 0, "number of case servers; 0: as defined by the world")
	root.Flags().IntVar(&attempts, "attempts", 0, "maximum number of attempts of a call; 0: as defined by the world")
	root.Flags().BoolVar(&coarse, "coarse", false,
		"let events occur only once time has had an effect or 0.1 s has passed: far fewer states")
	root.Flags().IntVar(&limits.Workers, "workers", 0,
		"number of states processed in parallel; 0: as many as there are processors")
	root.Flags().Int64Var(&limits.MaxStates, "states", 1_000_000,
		"stop after this many distinct states, which bounds memory at about 8 kB for each; 0: no bound")
	root.Flags().DurationVar(&limits.MaxDuration, "time", 10*time.Minute, "stop after about this time; 0: no bound")
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
		for _, override := range []struct {
			flag   string
			value  int
			target *int
			limit  int
		}{{"calls", calls, &w.Calls, 16}, {"servers", servers, &w.Servers, 16},
			{"attempts", attempts, &w.Attempts, 6}} {
			if override.value < 0 || override.value > override.limit {
				return usageError(fmt.Errorf("--%s: %d is not between 0 and %d", override.flag, override.value, override.limit))
			}
			if override.value > 0 {
				*override.target = override.value
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
				return usageError(fmt.Errorf(
					"--mutant: this build has no mutant %q; in a build with -tags mutant, --list shows them", mutant))
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
			return exitError{exitFinding, errors.New("a bound was reached before all states were explored")}
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
		for i, event := range r.Path {
			fmt.Fprintf(out, "  %2d %s\n", i+1, event)
		}
	}
}

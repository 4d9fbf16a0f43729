package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"threadglade.example/threadglade/internal/drill"
)

// addDrill adds the command that runs a fleet of real processes of this program and injects faults between them.
func addDrill(add func(*cobra.Command, func(*cobra.Command, []string) error) *cobra.Command) {
	var out string
	var seed int
	var check bool
	cmd := add(&cobra.Command{Use: "drill FILE -o DIR",
		Short: "Run a fleet of this program with injected faults and check what callers and case servers observe",
		Args:  cobra.ExactArgs(1),
		Long: "Start a fleet of this program on loopback, inject the faults listed in FILE between its processes, and\n" +
			"check what simulated callers and case servers observe. DIR receives index.html, timeline.svg, verdict.json\n" +
			"and a directory for each process, with its log.\n\n" +
			"Exit status: 0 all checks passed, 1 a check failed or the drill could not run, 2 invalid command line or FILE."},
		func(cmd *cobra.Command, args []string) error {
			plan, err := drill.Load(args[0])
			if err != nil {
				return usageError(err)
			}
			if cmd.Flags().Changed("seed") {
				plan.Seed = seed
			}
			w := cmd.OutOrStdout()
			if check {
				fmt.Fprintf(w, "%s: %d keepers, %d routers, %d faults, %d checks, %v\n", plan.Name,
					plan.Keepers, plan.Routers, len(plan.Faults), len(plan.Checks), plan.Duration)
				return nil
			}
			if out == "" {
				return usageError(errors.New("fleet drill: -o DIR is required"))
			}
			program, err := os.Executable()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			r, err := drill.Run(ctx, plan, drill.Options{Program: program, Dir: out,
				Logf: func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }})
			if err != nil {
				return err
			}
			if err := r.Write(out); err != nil {
				return err
			}
			for _, v := range r.Verdicts {
				text := "holds"
				if !v.Holds {
					text = "DOES NOT HOLD: " + v.Why
				}
				if v.Least != nil {
					text += fmt.Sprintf(" (slack %.0f %s)", *v.Least, v.Unit)
				}
				fmt.Fprintf(w, "%-45s %s\n", v.What, text)
			}
			for name, statistics := range r.Measured {
				fmt.Fprintf(w, "%s: %d times, least %.0f ms, median %.0f, p99 %.0f, most %.0f\n", name, statistics.N,
					statistics.Min, statistics.Median, statistics.P99, statistics.Most)
			}
			fmt.Fprintf(w, "the fleet's links carried %.0f bytes a second; CPU: a keeper %.1f ms a second, a router %.1f\n",
				r.Use.LinkBytes, r.Use.KeeperCPU, r.Use.RouterCPU)
			fmt.Fprintf(w, "%d calls offered, %d stood, %d without an answer\n", r.Offered, r.Stood, r.Lost)
			if !r.OK() {
				return errors.New("a check of the drill failed")
			}
			return nil
		})
	cmd.Flags().StringVarP(&out, "out", "o", "", "output directory")
	cmd.Flags().IntVar(&seed, "seed", 0, "random seed, instead of the one in the file")
	cmd.Flags().BoolVar(&check, "check", false, "only validate the file")
}

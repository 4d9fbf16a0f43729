// Command threadglade is the call router and its tools. Its sub-commands are:
//
//   - serve runs the router, and check validates its configuration (serve.go);
//   - ledger works on usage ledgers and their exports (ledger.go);
//   - trace works on trace files, the record of routing decisions (trace.go);
//   - explore model-checks the router's decisions (explore.go);
//   - fleet runs a keeper and inspects, controls and drills a fleet
//     (fleet.go, limits.go, verdicts.go, work.go, drill.go);
//   - version prints the build.
//
// This package only parses arguments and prints results; decisions belong to the packages that it calls.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Exit codes of the ledger, trace, explore and fleet commands.
const (
	exitFinding = 1 // the command ran and reports a problem
	exitUsage   = 2 // the command line is invalid
)

// exitError sets the exit code of the process. A nil err means that the error has been reported already.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func (e exitError) Unwrap() error { return e.err }

func main() { os.Exit(run(os.Args[1:])) }

// run executes a command line, without the program's name, and returns its exit code.
func run(args []string) int {
	root := &cobra.Command{Use: "threadglade", Short: "Call router between callers and case servers",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(serveCommand(), checkCommand(), ledgerCommand(), traceCommand(), exploreCommand(), fleetCommand(),
		&cobra.Command{Use: "version", Short: "Print the version of the build", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "threadglade", version()) }},
	)
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	var exitErr exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exitErr):
		if exitErr.err != nil {
			fmt.Fprintln(os.Stderr, "threadglade:", exitErr.err)
		}
		return exitErr.code
	}
	fmt.Fprintln(os.Stderr, "threadglade:", err)
	// These groups wrap the errors of their commands in exitError; any other error comes from parsing the command line.
	if len(args) > 0 && (args[0] == "ledger" || args[0] == "trace" || args[0] == "explore" || args[0] == "fleet") {
		return exitUsage
	}
	return 1
}

// newCommandAdder returns a function that adds a command to the group root. Invalid arguments of such a command exit
// with exitUsage, and errors of the command itself with exitFinding unless they carry their own code. Running the
// group without a command fails with hint.
func newCommandAdder(
	root *cobra.Command, hint string,
) func(*cobra.Command, func(*cobra.Command, []string) error) *cobra.Command {
	root.RunE = func(*cobra.Command, []string) error { return usageError(errors.New(hint)) }
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	return func(cmd *cobra.Command, f func(*cobra.Command, []string) error) *cobra.Command {
		args := cmd.Args
		cmd.Args = func(cmd *cobra.Command, list []string) error { return usageError(args(cmd, list)) }
		cmd.RunE = func(cmd *cobra.Command, list []string) error {
			err := f(cmd, list)
			var e exitError
			if err != nil && !errors.As(err, &e) {
				err = exitError{exitFinding, err}
			}
			return err
		}
		root.AddCommand(cmd)
		return cmd
	}
}

// version returns the module version, VCS revision and Go version of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown)"
	}
	text := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}

// Command threadglade is the call router: serve runs it, check reads its configuration, version names the build.
// This file owns the command line and must never hold anything else.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"threadglade.example/threadglade/internal/callcontrol"
	"threadglade.example/threadglade/internal/identity"
	"threadglade.example/threadglade/internal/node"
	"threadglade.example/threadglade/router"
)

func main() {
	root := &cobra.Command{Use: "threadglade", Short: "A call router between callers and case servers",
		SilenceUsage: true, SilenceErrors: true}
	second := ""
	serveCmd := &cobra.Command{Use: "serve", Short: "Route calls until SIGTERM", Args: cobra.NoArgs,
		Long: "Route calls until SIGTERM. The configuration is the JSON file that NODE_CONFIG names; NODE_LISTEN,\n" +
			"if set, overrides the address in it. SIGUSR1 prints the counters.",
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), second) }}
	serveCmd.Flags().StringVar(&second, "callcontrol", "", "file that switches on call control over WebSocket")
	root.AddCommand(serveCmd,
		&cobra.Command{Use: "check", Short: "Read the configuration and say what it holds", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				c, err := node.LoadConfig()
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: listen %s, name service %s, %d servers at list %d, %d classes, %d routers\n",
					c.Name, c.Listen, c.Resolver, len(c.Servers), c.Cursor, len(c.Settings.Classes), c.Settings.Proxies)
				return nil
			}},
		&cobra.Command{Use: "version", Short: "Name the build", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "threadglade", version()) }},
	)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "threadglade:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, second string) error {
	var callers callcontrol.Config
	var verifier *identity.Verifier
	if second != "" {
		var err error
		if callers, err = callcontrol.Load(second); err != nil {
			return err
		}
	}
	c, err := node.LoadConfig()
	if err != nil {
		return err
	}
	node.Limit(c)
	log := node.Logger(os.Stderr, c.Name, zerolog.InfoLevel, false)
	n, err := node.New(c, router.SystemClock(), log)
	if err != nil {
		return err
	}
	if second != "" {
		if verifier, err = identity.New(callers.Identity(), log); err != nil {
			return err
		}
		if err = verifier.Watch(ctx, callers.WorkloadAPI); err != nil {
			return err
		}
		if _, err = n.CallControl(callers, c.Settings.Classes, verifier.Verify); err != nil {
			return err
		}
		n.Reload = func() error {
			callers, err := callcontrol.Load(second)
			if err != nil {
				return err
			}
			if err := verifier.Reconfigure(callers.Identity()); err != nil {
				return err
			}
			n.ReloadCallControl(callers)
			return nil
		}
	}
	n.Signals()
	return n.Run()
}

// version is what the build knows of itself.
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

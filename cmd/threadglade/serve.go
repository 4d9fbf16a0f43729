package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"threadglade.example/threadglade/internal/callcontrol"
	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/identity"
	"threadglade.example/threadglade/internal/node"
	"threadglade.example/threadglade/router"
)

// fileSystem is the file system of routers and keepers; tests replace it.
var fileSystem durable.FS = durable.OS{}

// settingsFiles are the settings files named on the command line; an empty path means that the file is not used.
type settingsFiles struct{ settings, callcontrol string }

// addFlags defines the flags that name the files.
func (f *settingsFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.settings, "settings", "",
		"path of the threadglade settings file; without it the defaults apply")
	cmd.Flags().StringVar(&f.callcontrol, "callcontrol", "",
		"deprecated: path of a file that only configures call control; use a (callcontrol ...) section in --settings")
}

// load reads the files for the router called name. Settings that no file sets keep their defaults.
func (f *settingsFiles) load(name string) (p node.ProductSettings, err error) {
	p = node.DefaultProductSettings()
	if f.settings != "" {
		if p, err = node.LoadProductSettings(f.settings, name); err != nil {
			return p, err
		}
	}
	if f.callcontrol != "" {
		if p.CallControl != nil {
			return p, errors.New("call control is configured by both --settings and --callcontrol; remove --callcontrol")
		}
		c, err := callcontrol.Load(f.callcontrol)
		if err != nil {
			return p, err
		}
		p.CallControl = &c
	}
	return p, nil
}

// serveCommand returns the command that runs the router.
func serveCommand() *cobra.Command {
	var f settingsFiles
	cmd := &cobra.Command{Use: "serve", Short: "Run the router until SIGTERM", Args: cobra.NoArgs,
		Long: "Run the router until SIGTERM.\n\n" +
			"The environment variable NODE_CONFIG names the JSON file with the configuration. NODE_LISTEN and NODE_MGMT,\n" +
			"if set, override the addresses in it. SIGHUP reloads the configuration and the settings; SIGUSR1 logs the\n" +
			"counters.",
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), f) }}
	f.addFlags(cmd)
	return cmd
}

// checkCommand returns the command that validates the configuration and prints a summary of it.
func checkCommand() *cobra.Command {
	var f settingsFiles
	var against string
	cmd := &cobra.Command{Use: "check", Short: "Validate the configuration and print a summary of it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := node.LoadConfig()
			if err != nil {
				return err
			}
			if against != "" {
				text, err := os.ReadFile(against)
				if err != nil {
					return err
				}
				old, err := node.ReadConfig(text, "", "")
				if err != nil {
					return fmt.Errorf("%s: %w", against, err)
				}
				if err := c.CheckCanReplace(old); err != nil {
					return err
				}
			}
			p, err := f.load(c.Name)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(),
				"%s: listen %s, name service %s, %d servers in list %d, %d classes, router %d of %d\n",
				c.Name, c.Listen, c.Resolver, len(c.Servers), c.Cursor, len(c.Settings.Classes), c.Settings.Index,
				c.Settings.Proxies)
			if c.Mgmt.IsValid() {
				fmt.Fprintf(cmd.OutOrStdout(), "management server on %s\n", c.Mgmt)
			}
			p.Describe(cmd.OutOrStdout())
			return nil
		}}
	f.addFlags(cmd)
	cmd.Flags().StringVar(&against, "against", "",
		"path of the current configuration; fail if the new one lacks a key of it, as a reload by SIGHUP does")
	return cmd
}

// serve runs the router until a signal stops it.
func serve(ctx context.Context, f settingsFiles) error {
	c, err := node.LoadConfig()
	if err != nil {
		return err
	}
	if c.Product, err = f.load(c.Name); err != nil {
		return err
	}
	node.ApplyProcessLimits(c)
	log := node.NewLogger(os.Stderr, c.Name, c.Product.LogLevel, c.Product.LogJSON)
	if f.callcontrol != "" {
		log.Warn().Str("event", "deprecated").
			Msg("--callcontrol is deprecated: move the file into a (callcontrol ...) section of --settings")
	}
	c.FS = fileSystem
	n, err := node.New(c, router.SystemClock(), log)
	if err != nil {
		return err
	}
	var verifier *identity.Verifier
	if callers := c.Product.CallControl; callers != nil {
		if verifier, err = identity.New(callers.Identity(), log); err != nil {
			return err
		}
		if err = verifier.Watch(ctx, callers.WorkloadAPI); err != nil {
			return err
		}
		if _, err = n.OpenCallControl(*callers, c.Settings.Classes, verifier.Verify); err != nil {
			return err
		}
	}
	n.Reload = func() (func(), error) {
		p, err := f.load(c.Name)
		if err != nil {
			return nil, err
		}
		if verifier != nil && p.CallControl != nil {
			if _, err := identity.New(p.CallControl.Identity(), log); err != nil {
				return nil, err
			}
		}
		return func() {
			if verifier != nil && p.CallControl != nil {
				// identity.New has accepted these settings above.
				verifier.Reconfigure(p.CallControl.Identity())
			}
			n.ApplyProductSettings(p)
		}, nil
	}
	n.HandleSignals()
	return n.Run()
}

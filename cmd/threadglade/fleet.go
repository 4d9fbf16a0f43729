package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/fleetio"
	"threadglade.example/threadglade/internal/node"
)

// fleetCommand returns the group of commands that run a keeper and inspect and control a fleet.
func fleetCommand() *cobra.Command {
	root := &cobra.Command{Use: "fleet",
		Short: "Run a keeper, inspect and control a fleet, and run drills",
		Long: "Run a keeper of a fleet's log, inspect and control a fleet, and run drills with injected faults.\n\n" +
			"Exit status: 0 success, 1 failure or a problem found, 2 invalid command line."}
	add := newCommandAdder(root,
		"fleet: expected keeper, found, status, members, limits, verdicts, work, evacuate, log or drill; see --help")
	var name, path, out string
	keeper := add(&cobra.Command{Use: "keeper --settings FILE --name NAME",
		Short: "Run a keeper of the fleet's log, without routing calls, until SIGTERM", Args: cobra.NoArgs},
		func(cmd *cobra.Command, _ []string) error { return runKeeper(path, name) })
	keeper.Flags().StringVar(&path, "settings", "", "path of the threadglade settings file, with a (fleet ...) section")
	keeper.Flags().StringVar(&name, "name", "", "name of this keeper in the settings")
	keeper.MarkFlagRequired("settings")
	keeper.MarkFlagRequired("name")

	found := add(&cobra.Command{Use: "found --settings FILE -o DIR",
		Short: "Create a new fleet: draw an ID and write a directory for each keeper (once per fleet)", Args: cobra.NoArgs},
		func(cmd *cobra.Command, _ []string) error { return foundFleet(cmd.OutOrStdout(), path, out) })
	found.Flags().StringVar(&path, "settings", "", "path of the threadglade settings file, with a (fleet ...) section")
	found.Flags().StringVarP(&out, "out", "o", "",
		"directory in which each keeper's directory is created, under its name")
	found.MarkFlagRequired("settings")
	found.MarkFlagRequired("out")

	var asJSON, watch bool
	var interval time.Duration
	status := add(&cobra.Command{Use: "status --settings FILE", Short: "Show the state of each keeper",
		Args: cobra.NoArgs},
		func(cmd *cobra.Command, _ []string) error {
			for {
				err := fleetStatus(cmd.Context(), cmd.OutOrStdout(), path, asJSON)
				if !watch {
					return err
				}
				time.Sleep(interval)
			}
		})
	status.Flags().BoolVar(&watch, "watch", false, "print repeatedly until interrupted")
	status.Flags().DurationVar(&interval, "every", time.Second, "interval of --watch")
	members := add(&cobra.Command{Use: "members --settings FILE",
		Short: "List the routers of the fleet, as known to the leading keeper", Args: cobra.NoArgs},
		func(cmd *cobra.Command, _ []string) error {
			return fleetMembers(cmd.Context(), cmd.OutOrStdout(), path, asJSON)
		})
	for _, cmd := range []*cobra.Command{status, members} {
		cmd.Flags().StringVar(&path, "settings", "", "path of the threadglade settings file, with a (fleet ...) section")
		cmd.MarkFlagRequired("settings")
		cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	}

	logs := &cobra.Command{Use: "log", Short: "Read a keeper's directory; the keeper does not have to be running"}
	root.AddCommand(logs)
	addLog := newCommandAdder(logs, "fleet log: expected show or verify; see --help")
	show := addLog(&cobra.Command{Use: "show DIR", Short: "Print a keeper's snapshot and entries",
		Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return showLog(cmd.OutOrStdout(), args[0], asJSON, true)
		})
	show.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	addLog(&cobra.Command{Use: "verify DIR", Short: "Check every byte of a keeper's directory", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return showLog(cmd.OutOrStdout(), args[0], false, false)
		})
	addDrill(add)
	addLimits(root)
	addVerdicts(root)
	addWork(root)
	addEvacuate(root)
	return root
}

// fleetSettings reads a settings file and returns it with its (fleet ...) section, which must exist. If name isn't
// empty, it must be one of the keepers.
func fleetSettings(path, name string) (node.ProductSettings, fleetio.Options, error) {
	p, err := node.LoadProductSettings(path, "")
	if err == nil && p.Fleet == nil {
		err = fmt.Errorf("%s: no (fleet ...) section", path)
	}
	if err != nil {
		return p, fleetio.Options{}, usageError(err)
	}
	if name != "" && !p.Fleet.IsKeeper(name) {
		return p, *p.Fleet, usageError(fmt.Errorf("%s: no keeper is called %q", path, name))
	}
	return p, *p.Fleet, nil
}

// runKeeper runs the keeper called name until SIGTERM or SIGINT; SIGUSR1 logs its counters.
func runKeeper(path, name string) error {
	p, o, err := fleetSettings(path, name)
	if err != nil {
		return err
	}
	if o.Dir == "" {
		return usageError(fmt.Errorf("%s: fleet directory: is missing", path))
	}
	signal.Ignore(syscall.SIGXFSZ) // a file size limit then fails the write, which halts the keeper and not the process
	log := node.NewLogger(os.Stderr, name, p.LogLevel, p.LogJSON)
	keeper, err := fleetio.Open(fleetio.Config{Options: o, FS: fileSystem, Name: name, Log: log, Limits: p.Limits})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for s := range signals {
		if s != syscall.SIGUSR1 {
			break
		}
		log.Info().Str("event", "counters").Msgf("counters fleet=%s", keeper.Counters())
	}
	return keeper.Close()
}

// foundFleet draws the keepers' identities and creates a directory for each below out.
func foundFleet(w io.Writer, path, out string) error {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return err
	}
	list, err := fleet.Bootstrap(o.Settings, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for _, s := range list {
		if err == nil {
			err = fleetio.CreateKeeperFiles(fileSystem, filepath.Join(out, s.Identity.Name), s)
		}
	}
	if err == nil {
		fmt.Fprintf(w, "fleet %s created: %d directories in %s; move each to the (directory ...) of its keeper's settings\n",
			o.Settings.Fleet, len(list), out)
	}
	return err
}

// queryKeepers queries all keepers concurrently. Both results are in the order of the keepers' names in the settings;
// a keeper that has not answered has a nil report and an error.
func queryKeepers(ctx context.Context, o fleetio.Options) ([]*fleetpb.Report, []error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	reports, errs := make([]*fleetpb.Report, len(o.Settings.Keepers)), make([]error, len(o.Settings.Keepers))
	var wg sync.WaitGroup
	for i, name := range o.Settings.Keepers {
		wg.Go(func() { reports[i], errs[i] = fleetio.Inquire(ctx, o.Settings.Fleet, o.Addresses[name], "") })
	}
	wg.Wait()
	return reports, errs
}

// fleetStatus prints a row, or a JSON object, for each keeper. It fails if no keeper that answers is the leader.
func fleetStatus(ctx context.Context, w io.Writer, path string, asJSON bool) error {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return err
	}
	reports, errs := queryKeepers(ctx, o)
	leads := 0
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if !asJSON {
		fmt.Fprintln(t, "keeper\tleader\tterm\tagreed\tapplied\tlive\tfacts\tsent\treceived\trefused\tdropped\t")
	}
	for i, r := range reports {
		if r != nil && r.Leader == r.Name && !r.Halted {
			leads++
		}
		switch {
		case asJSON && r != nil:
			b, _ := protojson.Marshal(r)
			fmt.Fprintln(w, string(b))
		case asJSON:
			b, _ := json.Marshal(map[string]string{"name": o.Settings.Keepers[i], "error": errs[i].Error()})
			fmt.Fprintln(w, string(b))
		case r == nil:
			fmt.Fprintf(t, "%s\t(no answer)\t\n", o.Settings.Keepers[i])
		default:
			live := 0
			for _, m := range r.GetState().GetMembers() {
				if m.Live {
					live++
				}
			}
			note := ""
			if r.Halted {
				note = "halted: its disk failed"
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Name, r.Leader, r.Term, r.Commit,
				r.Applied, live, len(r.GetState().GetFacts()), r.Sent, r.Received, r.Refused, r.Dropped, note)
		}
	}
	t.Flush()
	for i, err := range errs {
		if err != nil && !asJSON {
			fmt.Fprintf(w, "%s: %v\n", o.Settings.Keepers[i], err)
		}
	}
	if leads == 0 {
		return errors.New("no keeper that answers is the leader")
	}
	return nil
}

// fleetMembers prints the routers of the fleet as the leading keeper knows them.
func fleetMembers(ctx context.Context, w io.Writer, path string, asJSON bool) error {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return err
	}
	reports, _ := queryKeepers(ctx, o)
	for _, r := range reports {
		if r == nil || r.Leader != r.Name {
			continue
		}
		t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		if !asJSON {
			fmt.Fprintln(t, "router\tincarnation\tstate\t")
		}
		for _, m := range r.GetState().GetMembers() {
			state := "lost"
			switch {
			case m.Live:
				state = "live"
			case m.Left:
				state = "left"
			}
			if asJSON {
				b, _ := json.Marshal(map[string]any{"name": m.Name, "incarnation": m.Incarnation, "state": state})
				fmt.Fprintln(w, string(b))
				continue
			}
			fmt.Fprintf(t, "%s\t%d\t%s\t\n", m.Name, m.Incarnation, state)
		}
		return t.Flush()
	}
	return errors.New("no keeper that answers is the leader")
}

// showLog reads and checks a keeper's directory and prints a summary. With printEntries it also prints the snapshot
// and the entries.
func showLog(w io.Writer, dir string, asJSON, printEntries bool) error {
	contents, err := fleetio.Load(fileSystem, dir)
	if err != nil {
		return err
	}
	state := &fleetpb.State{}
	if err := proto.Unmarshal(contents.Snapshot.Data, state); err != nil {
		return fmt.Errorf("%s: snapshot: %w", dir, err)
	}
	base := contents.Snapshot.Metadata.GetIndex()
	printEntry := func(index, term uint64, m proto.Message) {
		b, _ := protojson.Marshal(m)
		if asJSON {
			fmt.Fprintf(w, "{\"index\":%d,\"term\":%d,\"what\":%s}\n", index, term, b)
			return
		}
		fmt.Fprintf(w, "%8d %4d %s\n", index, term, b)
	}
	if printEntries {
		printEntry(base, contents.Snapshot.Metadata.GetTerm(), state)
	}
	for _, e := range contents.Entries {
		entry := &fleetpb.Entry{}
		if err := proto.Unmarshal(e.Data, entry); err != nil {
			return fmt.Errorf("%s: entry %d: %w", dir, e.GetIndex(), err)
		}
		if printEntries {
			printEntry(e.GetIndex(), e.GetTerm(), entry)
		}
	}
	if !asJSON {
		fmt.Fprintf(w, "keeper %s of fleet %s: snapshot at %d, %d entries after it, committed up to at least %d, term %d; "+
			"%d files, %d frames, %d bytes\n",
			contents.Identity.Name, contents.Identity.Fleet,
			base, len(contents.Entries), contents.HardState.GetCommit(), contents.HardState.GetTerm(),
			contents.Segments, contents.Frames, contents.Bytes)
		for _, torn := range contents.Torn {
			fmt.Fprintln(w, "cut off by a crash, ignored:", torn)
		}
	}
	return nil
}

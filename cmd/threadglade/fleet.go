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

func fleetCommand() *cobra.Command {
	root := &cobra.Command{Use: "fleet", Short: "Keep a fleet's log, look at a fleet, and cause faults between its processes",
		Long: "Keep a fleet's log, look at a fleet, and cause faults between its processes.\nExit code 0: good, 1: a finding, 2: usage."}
	add := tools(root, "fleet: keeper, found, status, members, limits, log or drill is wanted; see --help")
	var name, path, out string
	keeper := add(&cobra.Command{Use: "keeper --settings FILE --name NAME", Short: "Keep the fleet's log without calls, until SIGTERM", Args: cobra.NoArgs},
		func(cmd *cobra.Command, _ []string) error { return keep(path, name) })
	keeper.Flags().StringVar(&path, "settings", "", "file of the product's own settings")
	keeper.Flags().StringVar(&name, "name", "", "which of the keepers it is")
	keeper.MarkFlagRequired("settings")
	keeper.MarkFlagRequired("name")

	found := add(&cobra.Command{Use: "found --settings FILE -o DIR", Short: "Draw the keepers' numbers and write a folder for each, once in a fleet's life", Args: cobra.NoArgs},
		func(cmd *cobra.Command, _ []string) error { return found(cmd.OutOrStdout(), path, out) })
	found.Flags().StringVar(&path, "settings", "", "file of the product's own settings")
	found.Flags().StringVarP(&out, "out", "o", "", "where the folders go, one a keeper's name")
	found.MarkFlagRequired("settings")
	found.MarkFlagRequired("out")

	var asJSON, watch bool
	var every time.Duration
	status := add(&cobra.Command{Use: "status --settings FILE", Short: "Ask each keeper how it stands", Args: cobra.NoArgs},
		func(cmd *cobra.Command, _ []string) error {
			for {
				err := fleetStatus(cmd.Context(), cmd.OutOrStdout(), path, asJSON)
				if !watch {
					return err
				}
				time.Sleep(every)
			}
		})
	status.Flags().BoolVar(&watch, "watch", false, "again and again until interrupted")
	status.Flags().DurationVar(&every, "every", time.Second, "how often, with --watch")
	members := add(&cobra.Command{Use: "members --settings FILE", Short: "List who acts in the fleet, by the leading keeper", Args: cobra.NoArgs},
		func(cmd *cobra.Command, _ []string) error {
			return fleetMembers(cmd.Context(), cmd.OutOrStdout(), path, asJSON)
		})
	for _, cmd := range []*cobra.Command{status, members} {
		cmd.Flags().StringVar(&path, "settings", "", "file of the product's own settings, with a (fleet ...) section")
		cmd.MarkFlagRequired("settings")
		cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	}

	logs := &cobra.Command{Use: "log", Short: "Read a keeper's folder; no keeper need be running"}
	root.AddCommand(logs)
	addLog := tools(logs, "fleet log: show or verify is wanted; see --help")
	show := addLog(&cobra.Command{Use: "show DIR", Short: "Print a keeper's snapshot and entries", Args: cobra.ExactArgs(1)},
		func(cmd *cobra.Command, args []string) error {
			return showLog(cmd.OutOrStdout(), args[0], asJSON, true)
		})
	show.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	addLog(&cobra.Command{Use: "verify DIR", Short: "Check every byte of a keeper's folder", Args: cobra.ExactArgs(1)},
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

// fleetSettings reads the (fleet ...) section alone out of a whole settings file.
func fleetSettings(path, name string) (node.ProductSettings, fleetio.Options, error) {
	p, err := node.LoadProductSettings(path, "")
	if err == nil && p.Fleet == nil {
		err = fmt.Errorf("%s: no (fleet ...) section", path)
	}
	if err != nil {
		return p, fleetio.Options{}, usage(err)
	}
	if name != "" && !p.Fleet.IsKeeper(name) {
		return p, *p.Fleet, usage(fmt.Errorf("%s: %q is no keeper there", path, name))
	}
	return p, *p.Fleet, nil
}

func keep(path, name string) error {
	p, o, err := fleetSettings(path, name)
	if err != nil {
		return err
	}
	if o.Dir == "" {
		return usage(fmt.Errorf("%s: fleet directory: is missing", path))
	}
	signal.Ignore(syscall.SIGXFSZ) // a limit on files is an error of the write, which stops the vote and not the process
	log := node.NewLogger(os.Stderr, name, p.LogLevel, p.LogJSON)
	f, err := fleetio.Open(fleetio.Config{Options: o, FS: fileSystem, Name: name, Log: log, Limits: p.Limits})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for s := range signals {
		if s != syscall.SIGUSR1 {
			break
		}
		log.Info().Str("event", "counters").Msgf("counters fleet=%s", f.Counters())
	}
	return f.Close()
}

func found(w io.Writer, path, out string) error {
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
		fmt.Fprintf(w, "fleet %s founded: %d folders below %s; each keeper's goes to where its settings' (directory ...) says\n", o.Settings.Fleet, len(list), out)
	}
	return err
}

// askKeepers asks all keepers at once; a nil report stands where one has not answered.
func askKeepers(ctx context.Context, o fleetio.Options) ([]*fleetpb.Report, []error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	reports, errs := make([]*fleetpb.Report, len(o.Settings.Keepers)), make([]error, len(o.Settings.Keepers))
	var all sync.WaitGroup
	for i, name := range o.Settings.Keepers {
		all.Go(func() { reports[i], errs[i] = fleetio.Inquire(ctx, o.Settings.Fleet, o.Addresses[name], "") })
	}
	all.Wait()
	return reports, errs
}

func fleetStatus(ctx context.Context, w io.Writer, path string, asJSON bool) error {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return err
	}
	reports, errs := askKeepers(ctx, o)
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
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Name, r.Leader, r.Term, r.Commit, r.Applied, live, len(r.GetState().GetFacts()), r.Sent, r.Received, r.Refused, r.Dropped, note)
		}
	}
	t.Flush()
	for i, err := range errs {
		if err != nil && !asJSON {
			fmt.Fprintf(w, "%s: %v\n", o.Settings.Keepers[i], err)
		}
	}
	if leads == 0 {
		return errors.New("no keeper that answers leads")
	}
	return nil
}

func fleetMembers(ctx context.Context, w io.Writer, path string, asJSON bool) error {
	_, o, err := fleetSettings(path, "")
	if err != nil {
		return err
	}
	reports, _ := askKeepers(ctx, o)
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
	return errors.New("no keeper that answers leads")
}

// showLog reads a keeper's folder; with all it prints what it finds there.
func showLog(w io.Writer, dir string, asJSON, all bool) error {
	c, err := fleetio.Load(fileSystem, dir)
	if err != nil {
		return err
	}
	state := &fleetpb.State{}
	if err := proto.Unmarshal(c.Snapshot.Data, state); err != nil {
		return fmt.Errorf("%s: snapshot: %w", dir, err)
	}
	base := c.Snapshot.Metadata.GetIndex()
	line := func(index, term uint64, m proto.Message) {
		b, _ := protojson.Marshal(m)
		if asJSON {
			fmt.Fprintf(w, "{\"index\":%d,\"term\":%d,\"what\":%s}\n", index, term, b)
			return
		}
		fmt.Fprintf(w, "%8d %4d %s\n", index, term, b)
	}
	if all {
		line(base, c.Snapshot.Metadata.GetTerm(), state)
	}
	for _, e := range c.Entries {
		entry := &fleetpb.Entry{}
		if err := proto.Unmarshal(e.Data, entry); err != nil {
			return fmt.Errorf("%s: entry %d: %w", dir, e.GetIndex(), err)
		}
		if all {
			line(e.GetIndex(), e.GetTerm(), entry)
		}
	}
	if !asJSON {
		fmt.Fprintf(w, "keeper %s of fleet %s: snapshot at %d, %d entries after it, agreed on up to %d at least, term %d; %d files, %d frames, %d bytes\n", c.Identity.Name, c.Identity.Fleet,
			base, len(c.Entries), c.HardState.GetCommit(), c.HardState.GetTerm(), c.Segments, c.Frames, c.Bytes)
		for _, torn := range c.Torn {
			fmt.Fprintln(w, "cut off by a crash, counts for nothing:", torn)
		}
	}
	return nil
}

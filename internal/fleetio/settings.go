package fleetio

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/internal/settings"
	"threadglade.example/threadglade/takeover"
	"threadglade.example/threadglade/verdict"
)

// Options are what the settings say of the fleet.
type Options struct {
	Terms     fleet.Settings
	Dir       string             // a keeper's folder
	Addresses map[string]string  // of keepers
	Listen    string             // where this process listens: a keeper, if not at its own address; a router, for its neighbours
	Address   string             // where other routers reach this one, if not where it listens
	Zone      string             // of this process
	Reach     map[string]string  // routers that this process reaches elsewhere than at their addresses
	Verdicts  *verdict.Settings  // nil: routers judge alone
	Work      *takeover.Settings // nil: nobody else has what is in hand
	Beacon    netip.AddrPort     // who hears what this process acts as; the zero value: nobody
	Every     time.Duration      // how often
	Roll      int64              // size in bytes at which a keeper begins a new file
}

// Keeper says whether a process of that name is a keeper.
func (o *Options) Keeper(name string) bool { return o.Addresses[name] != "" }

// Read reads a (fleet ...) section; docs/operators/fleet-floor.md has every field. What is wrong is noted with the section and reported by its Finish.
func Read(s *settings.Section) Options {
	o := Options{Terms: fleet.DefaultSettings(), Addresses: map[string]string{}, Reach: map[string]string{}, Every: time.Second, Roll: 4 << 20}
	t := &o.Terms
	s.String("name", &t.Fleet)
	s.String("directory", &o.Dir)
	s.String("listen", &o.Listen)
	s.String("address", &o.Address)
	s.String("zone", &o.Zone)
	if len(o.Zone) > 64 {
		s.Errorf("zone", "a zone has up to 64 bytes")
	}
	s.Duration("lease", &t.LeaseDuration, 200*time.Millisecond, time.Minute)
	s.Duration("renew", &t.RenewInterval, 50*time.Millisecond, 30*time.Second)
	percent := int(t.ClockDrift*100 + 0.5)
	s.Int("drift-percent", &percent, 0, 10)
	t.ClockDrift = float64(percent) / 100
	kb := int(o.Roll >> 10)
	s.Int("file-kb", &kb, 64, 1<<20)
	o.Roll = int64(kb) << 10
	s.Duration("beacon-every", &o.Every, 5*time.Millisecond, time.Minute)
	address := func(field, text string) (a netip.AddrPort) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || !a.Addr().IsLoopback() && !a.Addr().IsPrivate() || a.Port() == 0 && field != "listen" {
			s.Errorf(field, "%q is no address:port of a loopback or private network", text)
		}
		return a
	}
	if o.Listen != "" {
		address("listen", o.Listen)
	}
	if o.Address != "" {
		address("address", o.Address)
	}
	s.EachSection("reach", func(r *settings.Section) {
		name, at := r.Label(), ""
		if !r.String("address", &at) {
			r.Errorf("address", "is missing")
			return
		}
		address("reach", at)
		o.Reach[name] = at
	})
	var beacon string
	if s.String("beacon", &beacon) {
		o.Beacon = address("beacon", beacon)
	}
	t.Members = s.Strings("members")
	s.EachSection("keeper", func(k *settings.Section) {
		name, at := k.Label(), ""
		if !k.String("address", &at) {
			k.Errorf("address", "is missing")
			return
		}
		address("keeper", at)
		t.Keepers = append(t.Keepers, name)
		o.Addresses[name] = at
	})
	if err := t.Validate(); err != nil {
		s.Errorf("", "%v", err)
	}
	return o
}

// ReadVerdicts reads a (verdicts ...) section; docs/operators/verdict.md has every field.
func ReadVerdicts(s *settings.Section, drift float64) *verdict.Settings {
	t := verdict.DefaultSettings()
	t.MaxClockDrift = drift
	s.Int("quorum", &t.Quorum, 2, 100)
	percent := int(t.MaxShare*100 + 0.5)
	s.Int("share-percent", &percent, 1, 100)
	t.MaxShare = float64(percent) / 100
	s.Duration("silence", &t.MinResponseTimeout, 10*time.Millisecond, 10*time.Second)
	s.Duration("late", &t.LateThreshold, 10*time.Millisecond, time.Minute)
	s.Duration("hold", &t.EvidenceTTL, time.Second, 10*time.Minute)
	s.Duration("trial", &t.ProbeInterval, 10*time.Millisecond, time.Minute)
	s.Duration("return", &t.RecoverySpread, 0, time.Minute)
	if err := t.Validate(); err != nil {
		s.Errorf("", "%v", err)
	}
	return &t
}

// Describe prints the section as it is in force.
func (o *Options) Describe(w io.Writer) {
	t := o.Terms
	fmt.Fprintf(w, "\n  (fleet (name %q) (lease %q) (renew %q) (drift-percent %.0f) (file-kb %d)", t.Fleet, t.LeaseDuration, t.RenewInterval, t.ClockDrift*100, o.Roll>>10)
	if o.Dir != "" {
		fmt.Fprintf(w, " (directory %q)", o.Dir)
	}
	if o.Listen != "" {
		fmt.Fprintf(w, " (listen %q)", o.Listen)
	}
	if o.Zone != "" {
		fmt.Fprintf(w, " (zone %q)", o.Zone)
	}
	if o.Address != "" {
		fmt.Fprintf(w, " (address %q)", o.Address)
	}
	if o.Beacon.IsValid() {
		fmt.Fprintf(w, " (beacon %q) (beacon-every %q)", o.Beacon, o.Every)
	}
	for _, name := range t.Keepers {
		fmt.Fprintf(w, "\n    (keeper %q (address %q))", name, o.Addresses[name])
	}
	fmt.Fprint(w, "\n    (members")
	for _, m := range t.Members {
		fmt.Fprintf(w, " %q", m)
	}
	fmt.Fprintf(w, ")) ; a lost router is known within %v, keepers wait %v", t.LossDetectionTime(), t.RegrantDelay().Round(time.Millisecond))
	fmt.Fprintln(w)
}

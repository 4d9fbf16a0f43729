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

// Options are the fleet's settings for one process.
type Options struct {
	Settings  fleet.Settings
	Dir       string            // a keeper's directory
	Addresses map[string]string // keepers' addresses by name
	// Listen is the address that this process listens on: for a keeper the default is its own address in Addresses,
	// for a router empty means that other routers can't connect to it.
	Listen          string
	Address         string             // address that other routers connect to; empty: the address listened on
	Zone            string             // zone of this process
	RouterAddresses map[string]string  // addresses that override those advertised by other routers, by router name
	Verdicts        *verdict.Settings  // nil: each router relies on its own evidence about case servers
	Takeover        *takeover.Settings // nil: calls are not replicated
	Beacon          netip.AddrPort     // where to send a UDP datagram for each act under a lease; zero value: none
	BeaconInterval  time.Duration      // interval between beacon datagrams
	MaxSegmentBytes int64              // size in bytes at which a keeper begins a new segment
}

// IsKeeper reports whether the process of that name is a keeper.
func (o *Options) IsKeeper(name string) bool { return o.Addresses[name] != "" }

// ReadSettings reads a (fleet ...) section; docs/operators/fleet-floor.md describes every field. Errors are recorded
// with the section and returned by its Finish.
func ReadSettings(s *settings.Section) Options {
	options := Options{
		Settings:        fleet.DefaultSettings(),
		Addresses:       map[string]string{},
		RouterAddresses: map[string]string{},
		BeaconInterval:  time.Second,
		MaxSegmentBytes: 4 << 20,
	}
	fleetSettings := &options.Settings
	s.String("name", &fleetSettings.Fleet)
	s.String("directory", &options.Dir)
	s.String("listen", &options.Listen)
	s.String("address", &options.Address)
	s.String("zone", &options.Zone)
	if len(options.Zone) > 64 {
		s.Errorf("zone", "is longer than 64 bytes")
	}
	s.Duration("lease", &fleetSettings.LeaseDuration, 200*time.Millisecond, time.Minute)
	s.Duration("renew", &fleetSettings.RenewInterval, 50*time.Millisecond, 30*time.Second)
	percent := int(fleetSettings.ClockDrift*100 + 0.5)
	s.Int("drift-percent", &percent, 0, 10)
	fleetSettings.ClockDrift = float64(percent) / 100
	kb := int(options.MaxSegmentBytes >> 10)
	s.Int("file-kb", &kb, 64, 1<<20)
	options.MaxSegmentBytes = int64(kb) << 10
	s.Duration("beacon-every", &options.BeaconInterval, 5*time.Millisecond, time.Minute)
	address := func(field, text string) (a netip.AddrPort) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || !a.Addr().IsLoopback() && !a.Addr().IsPrivate() ||
			a.Port() == 0 && field != "listen" {
			s.Errorf(field, "%q is not an address:port of a loopback or private network", text)
		}
		return a
	}
	if options.Listen != "" {
		address("listen", options.Listen)
	}
	if options.Address != "" {
		address("address", options.Address)
	}
	s.EachSection("reach", func(r *settings.Section) {
		name, at := r.Label(), ""
		if !r.String("address", &at) {
			r.Errorf("address", "is missing")
			return
		}
		address("reach", at)
		options.RouterAddresses[name] = at
	})
	var beacon string
	if s.String("beacon", &beacon) {
		options.Beacon = address("beacon", beacon)
	}
	fleetSettings.Members = s.Strings("members")
	s.EachSection("keeper", func(k *settings.Section) {
		name, at := k.Label(), ""
		if !k.String("address", &at) {
			k.Errorf("address", "is missing")
			return
		}
		address("keeper", at)
		fleetSettings.Keepers = append(fleetSettings.Keepers, name)
		options.Addresses[name] = at
	})
	if err := fleetSettings.Validate(); err != nil {
		s.Errorf("", "%v", err)
	}
	return options
}

// ReadVerdicts reads a (verdicts ...) section; docs/operators/verdict.md describes every field. Drift is the largest
// relative difference between the clocks of two processes. Errors are recorded with the section.
func ReadVerdicts(s *settings.Section, drift float64) *verdict.Settings {
	result := verdict.DefaultSettings()
	result.MaxClockDrift = drift
	s.Int("quorum", &result.Quorum, 2, 100)
	percent := int(result.MaxShare*100 + 0.5)
	s.Int("share-percent", &percent, 1, 100)
	result.MaxShare = float64(percent) / 100
	s.Duration("silence", &result.MinResponseTimeout, 10*time.Millisecond, 10*time.Second)
	s.Duration("late", &result.LateThreshold, 10*time.Millisecond, time.Minute)
	s.Duration("hold", &result.EvidenceTTL, time.Second, 10*time.Minute)
	s.Duration("trial", &result.ProbeInterval, 10*time.Millisecond, time.Minute)
	s.Duration("return", &result.RecoverySpread, 0, time.Minute)
	if err := result.Validate(); err != nil {
		s.Errorf("", "%v", err)
	}
	return &result
}

// Describe writes the effective settings in the syntax of a (fleet ...) section.
func (o *Options) Describe(w io.Writer) {
	fleetSettings := o.Settings
	fmt.Fprintf(w, "\n  (fleet (name %q) (lease %q) (renew %q) (drift-percent %.0f) (file-kb %d)",
		fleetSettings.Fleet, fleetSettings.LeaseDuration, fleetSettings.RenewInterval, fleetSettings.ClockDrift*100,
		o.MaxSegmentBytes>>10)
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
		fmt.Fprintf(w, " (beacon %q) (beacon-every %q)", o.Beacon, o.BeaconInterval)
	}
	for _, name := range fleetSettings.Keepers {
		fmt.Fprintf(w, "\n    (keeper %q (address %q))", name, o.Addresses[name])
	}
	fmt.Fprint(w, "\n    (members")
	for _, m := range fleetSettings.Members {
		fmt.Fprintf(w, " %q", m)
	}
	fmt.Fprintf(w, ")) ; a lost router is detected within %v, keepers grant its name again after %v",
		fleetSettings.LossDetectionTime(), fleetSettings.RegrantDelay().Round(time.Millisecond))
	fmt.Fprintln(w)
}

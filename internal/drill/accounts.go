package drill

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/ledgerio"
	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/ledger"
)

// This file checks that established calls were billed and released. The evidence is what callers and case servers
// saw, and the ledger files that the routers of a drill have written.

// establishedCalls returns the IDs of the calls that were established for their callers and released at a case
// server.
func (d *drillRun) establishedCalls() map[string]bool {
	outcomes := d.load.Outcomes()
	established := map[string]bool{}
	for _, server := range append(slices.Clone(d.servers), d.replacedServers...) {
		for id, c := range server.Calls() {
			if c.Released && outcomes[id] == "stood" {
				established[id] = true
			}
		}
	}
	return established
}

// checkBilledOnce checks that each call that was established for its caller is in the ledger of exactly one router,
// as an established call. Up to maxMissing calls may be in no ledger and up to maxDuplicate in two.
func (d *drillRun) checkBilledOnce(r *Result, maxMissing, maxDuplicate int) (string, *float64) {
	if d.load == nil {
		return "there are no callers", nil
	}
	// The routers whose ledger has a call as established, with an unknown outcome, or as still open.
	counted, unknown, open := map[uint64][]string{}, map[uint64][]string{}, map[uint64][]string{}
	dirs, _ := filepath.Glob(filepath.Join(d.options.Dir, "r*", "ledger"))
	for _, dir := range dirs {
		countedHere, unknownHere, openHere, err := ledgerio.ReadCallStates(durable.OS{}, dir)
		if err != nil {
			return err.Error(), nil
		}
		name := filepath.Base(filepath.Dir(dir))
		for _, group := range []struct {
			from map[uint64]bool
			to   map[uint64][]string
		}{{countedHere, counted}, {unknownHere, unknown}, {openHere, open}} {
			for call := range group.from {
				group.to[call] = append(group.to[call], name)
			}
		}
	}
	var missing, duplicate []string
	established := d.establishedCalls()
	for id := range established {
		key := ledger.CallKey(id)
		switch n := len(counted[key]); {
		case n == 0:
			missing = append(missing, fmt.Sprintf("%s unknown at %v open at %v", id, unknown[key], open[key]))
		case n > 1 || len(unknown[key]) > 0:
			duplicate = append(duplicate, fmt.Sprintf("%s counted by %v, unknown at %v", id, counted[key], unknown[key]))
		}
	}
	slices.Sort(missing)
	slices.Sort(duplicate)
	r.Measured["calls that stood and ended"] = Statistics{N: len(established)}
	r.Measured["of them in nobody's books"] = Statistics{N: len(missing)}
	r.Measured["of them in two books"] = Statistics{N: len(duplicate)}
	switch {
	case len(dirs) == 0:
		return "no router has a ledger", nil
	case len(established) == 0:
		return "no call was established", nil
	case len(duplicate) > maxDuplicate:
		return fmt.Sprintf("%d of %d calls are in two ledgers: %v",
			len(duplicate), len(established), duplicate[:min(3, len(duplicate))]), nil
	case len(missing) > maxMissing:
		return fmt.Sprintf("%d of %d calls are in no ledger, %d may be: %v",
			len(missing), len(established), maxMissing, missing[:min(3, len(missing))]), nil
	}
	slack := float64(maxMissing - len(missing))
	return "", &slack
}

// notifyWindow is the longest time between a caller's receipt of a release and the loss of the router that sent it, for
// which a second release of that call, by another router, is no fault. A router sends the release first and has its
// replica holders record it then, so a loss in between leaves others unaware of it (docs/design/takeover.md). That
// takes an iteration of the event loop and the delays of two links; the rest is for a busy machine.
const notifyWindow = 100 * time.Millisecond

// checkReleasedOnce checks that each established call that ended was released towards its caller exactly once. Up to
// maxMissing calls may not have been released and up to maxDuplicate twice. A further release does not count if the
// router that sent the one before was lost at that moment.
func (d *drillRun) checkReleasedOnce(r *Result, maxMissing, maxDuplicate int) (string, *float64) {
	if d.load == nil {
		return "there are no callers", nil
	}
	releases, established := d.load.Releases(), d.establishedCalls()
	missing, duplicate, repeated := 0, 0, 0
	example := ""
	for id := range established {
		switch received := releases[id]; {
		case len(received) == 0:
			missing++
			example = id + d.describeReleasesSent(id)
		case len(received) > 1 && d.lostWhileReleasing(received[:len(received)-1]):
			repeated++
		case len(received) > 1:
			duplicate++
			example = id + d.describeReleases(received)
		}
	}
	r.Measured["callers who never heard of the end"] = Statistics{N: missing}
	r.Measured["callers who heard of it twice"] = Statistics{N: duplicate}
	r.Measured["callers who heard of it again as their router was lost saying so"] = Statistics{N: repeated}
	if len(established) == 0 || duplicate > maxDuplicate || missing > maxMissing {
		return fmt.Sprintf("of %d calls %d were released twice, %d never, %d may be: %s",
			len(established), duplicate, missing, maxMissing, example), nil
	}
	slack := float64(maxMissing - missing)
	return "", &slack
}

// describeReleasesSent returns when case servers sent the releases of a call and on which connections, since the fleet has
// formed.
func (d *drillRun) describeReleasesSent(id string) (text string) {
	for _, server := range append(slices.Clone(d.servers), d.replacedServers...) {
		call, known := server.Calls()[id]
		if !known {
			continue
		}
		text += fmt.Sprintf(" ended at %s, acknowledged: %s", d.sinceFormed(call.EndedAt), d.sinceFormed(call.ReleaseAckedAt))
		for _, release := range call.ReleasesSent {
			text += fmt.Sprintf(", sent at %s on the connection from %s to %s", d.sinceFormed(release.At),
				d.sinceFormed(release.ConnOpenedAt), d.sinceFormed(release.ConnEndedAt))
		}
	}
	return text
}

// sinceFormed returns how long after the fleet has formed a time was, and "never" for the zero time.
func (d *drillRun) sinceFormed(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return (at.Sub(d.start) - d.formedAt).Round(time.Millisecond).String()
}

// lostWhileReleasing reports whether each of the releases came from a router that was killed or stopped within
// notifyWindow of it.
func (d *drillRun) lostWhileReleasing(received []standin.ReceivedRelease) bool {
	for _, release := range received {
		sender, at := d.routerAt(release.Addr), release.At.Sub(d.start)
		if !slices.ContainsFunc(d.faultEvents, func(event FaultEvent) bool {
			return slices.Contains([]string{"kill", "stop"}, firstWord(event.What)) &&
				slices.Contains(event.Who, sender) && (event.At-at).Abs() <= notifyWindow
		}) {
			return false
		}
	}
	return true
}

// routerAt returns the ID of the router that callers reach at an address, or "" if there is none. d.mu must be held.
func (d *drillRun) routerAt(addr string) string {
	for ends, link := range d.links {
		if ends[0] == "c0" && link.addr() == addr {
			return ends[1]
		}
	}
	return ""
}

// describeReleases returns from which router each release came and when, since the fleet has formed.
func (d *drillRun) describeReleases(received []standin.ReceivedRelease) (text string) {
	for _, release := range received {
		text += fmt.Sprintf(", from %s at %s", d.routerAt(release.Addr), d.sinceFormed(release.At))
	}
	return text
}

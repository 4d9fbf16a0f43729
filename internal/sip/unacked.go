package sip

import (
	"slices"
	"time"

	"threadglade.example/threadglade"
)

// This file tracks releases that were written to a connection of a caller or a case server and are not acknowledged
// yet, so that they can be sent again on another connection if this one closes. It must never write anything itself
// or grow with the connection's age.

const (
	// unackedReleaseTTL is how long after it was written an unacknowledged release counts as lost if its connection
	// closes. The platform's rules allow a release that much time, so a later close is no sign of its loss.
	unackedReleaseTTL = time.Second
	// maxUnackedReleases is the number of releases tracked per connection.
	maxUnackedReleases = 256
)

// unackedReleases holds the unacknowledged releases of one connection, oldest first.
type unackedReleases []releaseRecord

// add tracks a release written at now. It drops expired releases, and the oldest ones above the limit.
func (u *unackedReleases) add(id string, outcome threadglade.Outcome, now time.Duration) {
	for len(*u) > 0 && (now-(*u)[0].since > unackedReleaseTTL || len(*u) >= maxUnackedReleases) {
		*u = (*u)[1:]
	}
	*u = append(*u, releaseRecord{id, outcome, now})
}

// acknowledge removes a release that was answered.
func (u *unackedReleases) acknowledge(id []byte) {
	if i := slices.IndexFunc(*u, func(release releaseRecord) bool { return release.id == string(id) }); i >= 0 {
		*u = slices.Delete(*u, i, i+1)
	}
}

// takeLost removes all releases as the connection closes and returns those that may not have been read.
func (u *unackedReleases) takeLost(now time.Duration) []releaseRecord {
	recent := slices.DeleteFunc(*u, func(release releaseRecord) bool {
		return now-release.since > unackedReleaseTTL
	})
	*u = nil
	return recent
}

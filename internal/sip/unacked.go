package sip

import (
	"slices"
	"time"

	"threadglade.example/threadglade"
)

// This file tracks releases that were written to a connection of a caller or a case server and are not acknowledged
// yet, so that they can be sent again on another connection. A release that its peer has read already does no harm
// there. It must never write anything itself or grow with the connection's age.

const (
	// releaseTTL is how long a release is owed: it waits that long for a connection, and is tracked that long on one on
	// which it is not acknowledged. Acknowledgements are optional, so a peer that sends none must not be told for ever.
	releaseTTL = 30 * time.Second
	// maxUnackedReleases is the number of releases tracked per connection: 5 s of the rate of a whole router on its
	// busiest day, which is more than it takes to notice that the connection is silent.
	maxUnackedReleases = 2000
)

// releaseRecord is a release that waits for a connection or for its acknowledgement, since the given time.
type releaseRecord struct {
	id      string
	outcome threadglade.Outcome
	since   time.Duration
}

// expired reports whether the release has waited too long.
func (r releaseRecord) expired(now time.Duration) bool { return now-r.since >= releaseTTL }

// unackedReleases holds the unacknowledged releases of one connection. The zero value is empty.
type unackedReleases struct {
	releases map[string]trackedRelease // by call ID
	order    []trackedID               // in which they were written; some may be acknowledged
	count    uint64                    // releases tracked so far
}

// trackedRelease is a release with its number among those of the connection.
type trackedRelease struct {
	releaseRecord
	number uint64
}

// trackedID identifies a trackedRelease.
type trackedID struct {
	id     string
	number uint64
}

// add tracks a release that was written. It returns how many older ones are not tracked any more because of that, 0
// or 1.
func (u *unackedReleases) add(release releaseRecord) (dropped int) {
	if u.releases == nil {
		u.releases = map[string]trackedRelease{}
	}
	u.count++
	u.releases[release.id] = trackedRelease{release, u.count}
	u.order = append(u.order, trackedID{release.id, u.count})
	if len(u.releases) > maxUnackedReleases {
		u.skipAcknowledged()
		u.removeOldest()
		dropped = 1
	}
	if len(u.order) > 2*maxUnackedReleases {
		u.order = slices.DeleteFunc(u.order, func(tracked trackedID) bool { return !u.isTracked(tracked) })
	}
	return dropped
}

// isTracked reports whether a release has not been acknowledged or written again.
func (u *unackedReleases) isTracked(tracked trackedID) bool {
	release, known := u.releases[tracked.id]
	return known && release.number == tracked.number
}

// skipAcknowledged removes the entries of acknowledged releases from the start of the order.
func (u *unackedReleases) skipAcknowledged() {
	for len(u.order) > 0 && !u.isTracked(u.order[0]) {
		u.order = u.order[1:]
	}
}

// removeOldest removes the release at the start of the order.
func (u *unackedReleases) removeOldest() {
	delete(u.releases, u.order[0].id)
	u.order = u.order[1:]
}

// acknowledge removes a release that was answered. It returns false if it was not tracked.
func (u *unackedReleases) acknowledge(id []byte) bool {
	if _, known := u.releases[string(id)]; !known {
		return false
	}
	if delete(u.releases, string(id)); len(u.releases) == 0 {
		u.order = nil
	}
	return true
}

// expire removes the oldest releases that have expired and returns their number.
func (u *unackedReleases) expire(now time.Duration) (count int) {
	for u.skipAcknowledged(); len(u.order) > 0 && u.releases[u.order[0].id].expired(now); u.skipAcknowledged() {
		u.removeOldest()
		count++
	}
	return count
}

// take removes all releases and returns them in the order in which they were written, as the connection has closed or
// carries nothing any more.
func (u *unackedReleases) take() (list []releaseRecord) {
	for _, tracked := range u.order {
		if u.isTracked(tracked) {
			list = append(list, u.releases[tracked.id].releaseRecord)
		}
	}
	u.releases, u.order = nil, nil
	return list
}

// lateSince reports whether the oldest unacknowledged release was written at the given time or before.
func (u *unackedReleases) lateSince(at time.Duration) bool {
	u.skipAcknowledged()
	return len(u.order) > 0 && u.releases[u.order[0].id].since <= at
}

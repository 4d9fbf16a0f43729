package router

import (
	"time"

	"threadglade.example/threadglade"
)

// This file passes on callers' releases of calls that this router never knew. They belong to an earlier process of the
// router, so they arrive in numbers after a restart, when callers catch up on what they could not release meanwhile.
// Clients can also invent IDs, and each such release goes to all servers, so the rate is limited and excess releases
// wait. One that is accepted is passed on; one for which there is no room is not accepted, so that its caller is not
// told that it was.

const (
	// maxUnknownReleaseRate is the rate per second at which releases of unknown calls are passed on to the servers. It is
	// several times what a whole router carries on its busiest day.
	maxUnknownReleaseRate = 400
	// unknownReleaseInterval is how often waiting releases are passed on.
	unknownReleaseInterval = 20 * time.Millisecond
	// maxWaitingReleases bounds the releases that wait: all of them are passed on within 5 s, while the platform allows
	// 8 s from the end of a call.
	maxWaitingReleases = 2000
)

// unknownReleases are the releases of unknown calls that were accepted.
type unknownReleases struct {
	waiting     []string      // IDs of calls, oldest first
	windowStart time.Duration // when the current interval began
	passedOn    int           // in the interval that began at windowStart
	allowance   int           // may be passed on beyond maxUnknownReleaseRate
}

// mayPassOn reports whether a release may be passed on now, and counts it if so.
func (u *unknownReleases) mayPassOn(now time.Duration) bool {
	const perInterval = int(maxUnknownReleaseRate * unknownReleaseInterval / time.Second)
	if now-u.windowStart >= unknownReleaseInterval {
		u.windowStart, u.passedOn = now, 0
	}
	switch {
	case u.passedOn < perInterval:
		u.passedOn++
	case u.allowance > 0:
		u.allowance--
	default:
		return false
	}
	return true
}

// releaseUnknown accepts a caller's release of an unknown call and passes it on, now or later. If too many wait, it
// calls refuse, which returns false if the release must be accepted nevertheless.
func (r *Router) releaseUnknown(id string, refuse func() bool) {
	u := &r.unknown
	if len(u.waiting) >= maxWaitingReleases && refuse() {
		r.counters.ReleasesRefused++
		return
	}
	r.counters.Orphans++
	r.rememberEnded(id, false)
	r.observeRelease(UnknownCallerRelease, id, threadglade.Cancelled)
	if len(u.waiting) == 0 && u.mayPassOn(r.cfg.Clock()) {
		r.cfg.OnUnknownCallerRelease(id)
		return
	}
	if u.waiting = append(u.waiting, id); len(u.waiting) == 1 {
		r.addTimer(timer{at: r.cfg.Clock() + unknownReleaseInterval, kind: timerUnknownRelease})
	}
}

// passOnWaiting passes on as many waiting releases as the rate allows, and sets a timer if any are left.
func (r *Router) passOnWaiting() {
	u := &r.unknown
	for len(u.waiting) > 0 && u.mayPassOn(r.cfg.Clock()) {
		r.passOnOldest()
	}
	if len(u.waiting) > 0 {
		r.addTimer(timer{at: r.cfg.Clock() + unknownReleaseInterval, kind: timerUnknownRelease})
	}
}

// passOnOldest passes on the release that has waited longest.
func (r *Router) passOnOldest() {
	id := r.unknown.waiting[0]
	if r.unknown.waiting = r.unknown.waiting[1:]; len(r.unknown.waiting) == 0 {
		r.unknown.waiting = nil
	}
	r.cfg.OnUnknownCallerRelease(id)
}

// PassOnReleases passes on all releases of unknown calls that wait, whatever their rate, for a process that is about to
// exit.
func (r *Router) PassOnReleases() {
	r.serialize(nil, func([]byte) {
		for len(r.unknown.waiting) > 0 {
			r.passOnOldest()
		}
	})
}

// AllowReleasesOfOtherProcess lets the given number of releases of another process's calls pass on without waiting, in
// addition to maxUnknownReleaseRate.
func (r *Router) AllowReleasesOfOtherProcess(calls int) {
	r.serialize(nil, func([]byte) { r.unknown.allowance += calls })
}

package node

import (
	"slices"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/handover"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/internal/sip"
)

// This file handles releases of calls that this process doesn't know. During a hot restart a case server or a caller may
// send the release of a call of one process to the other one, which acknowledges it. That one then owes the release: it
// passes it on to the other process, until one of them has taken it over, and otherwise handles it itself.

const (
	// frameServerRelease passes a server's release on to the other process: the outcome (1 byte), the length of the
	// server's ID (1 byte), that ID, the call's ID. frameServerReleaseResult answers it: whether the other process has
	// taken it over (1 byte), the call's ID.
	frameServerRelease       = sip.FirstOwnerFrame + 5
	frameServerReleaseResult = sip.FirstOwnerFrame + 6
	// frameOwedRelease passes on a release that this process owes to a server: the length of the server's ID (1 byte),
	// that ID, the call's ID.
	frameOwedRelease = sip.FirstOwnerFrame + 7
	// frameCallerReleaseTaken answers sip.FrameCallerRelease to the new process: the old one has taken the release over.
	frameCallerReleaseTaken = sip.FirstOwnerFrame + 8
	// maxForwardedReleases bounds the releases whose result is awaited. Further ones are not acknowledged, so that
	// servers send them again.
	maxForwardedReleases = 2000
	// maxOrphanRate is the rate per second at which releases by one server of calls that nobody knows are handled, so
	// that a server can't flood callers; it is several times what a whole router carries on its busiest day. Further
	// ones wait, at most maxWaitingOrphans of a server, and are looked at every orphanInterval; beyond that they are not
	// acknowledged.
	maxOrphanRate     = 1000
	maxWaitingOrphans = 2000
	orphanInterval    = 20 * time.Millisecond
	// orphanQueueTTL is how long an unused queue is kept: the time in which its rate makes up for a burst.
	orphanQueueTTL = time.Second
	// forwardTimeout is how long the other process has to answer. The platform allows a release 1 s.
	forwardTimeout = 500 * time.Millisecond
)

// serverRelease is a server's release of a call.
type serverRelease struct {
	server, id string
	outcome    threadglade.Outcome
}

// forwardedRelease is a release that another process was asked to take over.
type forwardedRelease struct {
	serverRelease
	target *handover.Link // to the process that was asked
	next   []*handover.Link
}

// orphanQueue holds the releases by one server of calls that nobody knows.
type orphanQueue struct {
	bucket   loop.Bucket
	lastUsed time.Duration
	waiting  []serverRelease // oldest first
}

// releaseForwarder passes releases on to the other processes of this router.
type releaseForwarder struct {
	node    *Node
	pending map[string]*forwardedRelease // by servers, by call ID
	// callerReleases are the IDs of calls whose caller's release the old process has not taken over yet.
	callerReleases map[string]bool
	orphans        map[string]*orphanQueue // by server ID
	count          forwardCounters
}

// forwardCounters counts servers' releases of calls that this process doesn't know.
type forwardCounters struct {
	Forwarded   uint64 // passed on to another process
	Taken       uint64 // taken over by it
	Unconfirmed uint64 // handled here since the other process didn't answer in time
	Refused     uint64 // not acknowledged, as too many waited
}

// onUnknownServerRelease handles a server's release of a call that this process doesn't know. It returns false if it
// can't be accepted now, so that it must not be acknowledged.
func (n *Node) onUnknownServerRelease(server, id string, outcome threadglade.Outcome) bool {
	if n.callControl != nil && n.callControl.EndAdopted(id, outcome) {
		return true
	}
	return n.releases.forward(serverRelease{server, id, outcome}, nil)
}

// handleOrphan handles a release of a call that no process of this router knows, now or, if its server sends too many of
// them, later.
func (f *releaseForwarder) handleOrphan(r serverRelease) {
	if f.claimAdopted(r) {
		return
	}
	queue := f.orphans[r.server]
	if queue == nil {
		queue = &orphanQueue{bucket: loop.Bucket{Rate: maxOrphanRate, Burst: maxOrphanRate}}
		f.orphans[r.server] = queue
		f.scheduleOrphans(r.server, queue)
	}
	queue.lastUsed = f.node.clock()
	queue.waiting = append(queue.waiting, r)
	f.handleWaiting(queue)
}

// handleWaiting handles as many releases of a queue as its rate allows.
func (f *releaseForwarder) handleWaiting(queue *orphanQueue) {
	now := f.node.clock()
	for len(queue.waiting) > 0 && queue.bucket.Take(now) {
		r := queue.waiting[0]
		queue.waiting = queue.waiting[1:]
		f.releaseOrphan(r)
	}
}

// scheduleOrphans handles the waiting releases of a server at intervals, until none has come for so long that its rate
// starts anew.
func (f *releaseForwarder) scheduleOrphans(server string, queue *orphanQueue) {
	f.node.Router.Schedule(f.node.clock()+orphanInterval, func() {
		if len(queue.waiting) == 0 && f.node.clock()-queue.lastUsed >= orphanQueueTTL {
			delete(f.orphans, server)
			return
		}
		f.handleWaiting(queue)
		f.scheduleOrphans(server, queue)
	})
}

// isIdle reports whether no release waits.
func (f *releaseForwarder) isIdle() bool {
	for _, queue := range f.orphans {
		if len(queue.waiting) > 0 {
			return false
		}
	}
	return len(f.pending) == 0
}

// releaseOrphan notifies the owner or, if there is none, the caller of the end of a call that no process of this router
// knows.
func (f *releaseForwarder) releaseOrphan(r serverRelease) {
	n := f.node
	if n.fleet != nil && n.fleet.HasTakeover() && !n.fleet.ReceiveEnd(r.id, uint8(r.outcome), false) {
		return // the owner of the call is notified and notifies the caller
	}
	n.transfer.releaseToCaller(r.id, r.outcome)
}

// targets returns the links to the other processes that may know a call, except for the one a release came from.
func (f *releaseForwarder) targets(from *handover.Link) (links []*handover.Link) {
	t := &f.node.handover
	if t.oldProcessLink != nil && t.oldProcessLink != from {
		links = append(links, t.oldProcessLink)
	}
	if t.newProcessLink != nil && t.newProcessLink != from && t.asOldProcess.HandedOver() {
		links = append(links, t.newProcessLink)
	}
	return links
}

// forward asks the other processes, except for the one that the release came from, to take it over, one after the other.
// If there is none, the release is handled here. It returns false if too many releases wait.
func (f *releaseForwarder) forward(r serverRelease, from *handover.Link) bool {
	links, queue := f.targets(from), f.orphans[r.server]
	switch {
	case f.pending[r.id] != nil: // the server repeats itself
		return true
	case len(f.pending) >= maxForwardedReleases, queue != nil && len(queue.waiting) >= maxWaitingOrphans:
		f.count.Refused++
		return false
	case len(links) == 0:
		f.handleOrphan(r)
		return true
	}
	forwarded := &forwardedRelease{serverRelease: r, next: links}
	f.pending[r.id] = forwarded
	f.count.Forwarded++
	f.askNext(forwarded)
	return true
}

// askNext asks the next process to take the release over. If none is left, the release is handled here.
func (f *releaseForwarder) askNext(forwarded *forwardedRelease) {
	for len(forwarded.next) > 0 {
		target := forwarded.next[0]
		forwarded.target, forwarded.next = target, forwarded.next[1:]
		payload := append([]byte{byte(forwarded.outcome), byte(len(forwarded.server))}, forwarded.server...)
		if !sendFrame(target, frameServerRelease, append(payload, forwarded.id...)) {
			continue
		}
		f.node.Router.Schedule(f.node.clock()+forwardTimeout, func() {
			if f.pending[forwarded.id] == forwarded && forwarded.target == target {
				f.count.Unconfirmed++
				f.askNext(forwarded)
			}
		})
		return
	}
	delete(f.pending, forwarded.id)
	f.handleOrphan(forwarded.serverRelease)
}

// linkLost asks the next process to take over the releases that the one behind a lost link did not.
func (f *releaseForwarder) linkLost(lost *handover.Link) {
	for _, forwarded := range f.pending {
		forwarded.next = slices.DeleteFunc(forwarded.next, func(link *handover.Link) bool { return link == lost })
		if forwarded.target == lost {
			f.askNext(forwarded)
		}
	}
	if f.node.handover.oldProcessLink == nil {
		for id := range f.callerReleases {
			delete(f.callerReleases, id)
			f.node.trunk.ReleaseAtAllServers(id)
		}
	}
}

// forwardCallerRelease passes a caller's release on to the old process, which releases the call. It returns false if
// this process has to release it: without an old process, or if too many releases wait. The call may also be one of the
// new process, which ignores the release otherwise.
func (f *releaseForwarder) forwardCallerRelease(id string) bool {
	t := &f.node.handover
	if t.asOldProcess.HandedOver() {
		sendFrame(t.newProcessLink, sip.FrameCallerRelease, []byte(id))
	}
	if len(f.callerReleases) >= maxForwardedReleases || !sendFrame(t.oldProcessLink, sip.FrameCallerRelease, []byte(id)) {
		return false
	}
	f.callerReleases[id] = true
	return true
}

// receiveCallerRelease handles a caller's release that another process doesn't know.
func (f *releaseForwarder) receiveCallerRelease(from *handover.Link, id string) {
	n := f.node
	if from == n.handover.oldProcessLink {
		n.Router.ReleaseIfEstablished(id)
		return
	}
	if n.Router.Release(id) {
		sendFrame(from, frameCallerReleaseTaken, []byte(id))
	}
}

// handleFrame handles a frame about a release. It returns false if the frame is of another kind or malformed.
func (f *releaseForwarder) handleFrame(from *handover.Link, kind byte, payload []byte) bool {
	switch {
	case kind == frameServerRelease && len(payload) > 2+int(payload[1]):
		idStart := 2 + int(payload[1])
		f.receive(from, serverRelease{string(payload[2:idStart]), string(payload[idStart:]),
			threadglade.Outcome(payload[0])})
	case kind == frameServerReleaseResult && len(payload) > 1:
		f.receiveResult(from, string(payload[1:]), payload[0] != 0)
	case kind == frameOwedRelease && len(payload) > 1+int(payload[0]):
		idStart := 1 + int(payload[0])
		f.node.trunk.ReleaseAt(string(payload[1:idStart]), string(payload[idStart:]))
	case kind == sip.FrameCallerRelease && len(payload) > 0:
		f.receiveCallerRelease(from, string(payload))
	case kind == frameCallerReleaseTaken:
		delete(f.callerReleases, string(payload))
	default:
		return false
	}
	return true
}

// receive handles a release that another process doesn't know, and answers whether it was taken over.
func (f *releaseForwarder) receive(from *handover.Link, r serverRelease) {
	n := f.node
	n.trunk.ReleaseIfKnown(r.server, r.id, r.outcome, func(known bool) {
		known = known || n.callControl != nil && n.callControl.EndAdopted(r.id, r.outcome) ||
			len(f.targets(from)) > 0 && f.forward(r, from) || f.claimAdopted(r) || f.claimForCallers(from, r)
		result := byte(0)
		if known {
			result = 1
		}
		sendFrame(from, frameServerReleaseResult, append([]byte{result}, r.id...))
	})
}

// claimForCallers handles a release of a call that no process knows if the process in standby has heard it, since callers
// are connected here. It returns false otherwise.
func (f *releaseForwarder) claimForCallers(from *handover.Link, r serverRelease) bool {
	t := &f.node.handover
	if from != t.newProcessLink || t.asOldProcess.HandedOver() {
		return false
	}
	f.handleOrphan(r)
	return true
}

// claimAdopted handles a release of a call that this router has taken over. It returns false if there is none.
func (f *releaseForwarder) claimAdopted(r serverRelease) bool {
	if fleet := f.node.fleet; fleet == nil || !fleet.HasTakeover() || !fleet.HasAdopted(r.id) {
		return false
	}
	f.releaseOrphan(r)
	return true
}

// receiveResult handles the answer of a process that was asked to take a release over.
func (f *releaseForwarder) receiveResult(from *handover.Link, id string, taken bool) {
	forwarded := f.pending[id]
	switch {
	case forwarded == nil || forwarded.target != from:
	case taken:
		f.count.Taken++
		delete(f.pending, id)
	default:
		f.askNext(forwarded)
	}
}

// passOnOwed passes the releases that this process still owes to servers on to the new process. It returns false while
// they have not been sent.
func (n *Node) passOnOwed() bool {
	link := n.handover.newProcessLink
	if link == nil {
		return true
	}
	for _, owed := range n.trunk.TakeOwedReleases() {
		payload := append([]byte{byte(len(owed.Server))}, owed.Server...)
		if !sendFrame(link, frameOwedRelease, append(payload, owed.ID...)) {
			n.log.Warn().Str("event", "releases_lost").Int("count", 1).
				Msgf("the release of call %s at server %s could not be passed on", owed.ID, owed.Server)
		}
	}
	return link.Unsent() == 0
}

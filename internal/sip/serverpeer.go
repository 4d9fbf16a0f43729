package sip

import (
	"slices"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/silence"
)

// This file holds a case server as the trunk knows it: its connections, the attempts and releases that wait for one, and
// whether it can be reached.

const (
	// redialDelay is the minimum interval between two attempts to connect to a server.
	redialDelay = 250 * time.Millisecond
	// deadServerTimeout is how long a server must be unreachable before its calls are considered cut.
	deadServerTimeout = 2 * time.Second
	// maxPendingReleases is the number of releases that may wait for a connection to an unreachable server.
	maxPendingReleases = 2 * maxUnackedReleases
	// maxReplacedConns limits the connections to a server that doesn't read: while it has this many replaced ones, no
	// further connection is opened. With the current one and one being opened it has at most four.
	maxReplacedConns = 2
)

// serverPeer is a server and the connections to it.
type serverPeer struct {
	trunk             *Trunk
	server            Server
	removed           bool
	conn              *serverConn   // for new set-ups; nil while there is none
	dialing           *serverConn   // being opened; nil: none
	mustReconnect     bool          // a new connection is needed although the current one works
	replaced          []*serverConn // former connections that are still open
	lastDial          time.Duration
	lastReceived      time.Duration   // when data last arrived on any of its connections; 0: never
	unreachableSince  time.Duration   // when it became unreachable; 0: it is reachable
	pending           []*outboundLeg  // attempts that wait for a connection
	pendingReleases   []releaseRecord // releases that wait for a connection
	legCount          int             // its attempts in Trunk.legs
	malformedLoggedAt time.Duration   // when an unusable connection was last logged; 0: never
	reportIntervals   silence.ReportIntervals
	// acknowledgesReleases is whether it has ever acknowledged a release, which is optional.
	acknowledgesReleases bool
}

// handleRestart cuts the attempts and closes the connection of the server's previous incarnation.
func (p *serverPeer) handleRestart(startedAt time.Duration) {
	p.cutLegs(func(leg *outboundLeg) bool { return leg.conn != nil && leg.conn.openedAt < startedAt })
	if p.conn != nil && p.conn.openedAt < startedAt {
		p.closeConns()
	}
	if p.conn == nil {
		p.connect()
	}
}

// forgetIncarnation forgets what concerns the process of the server before the one that started at the given time:
// releases of its calls, how it sends reports and acknowledgements, and that it could not be reached. Attempts that wait
// for a connection are ended as never sent, as the rate that they were allowed by is not that of a server that has just
// started.
func (p *serverPeer) forgetIncarnation(startedAt time.Duration) {
	isMoot := func(release releaseRecord) bool { return release.since < startedAt }
	before := len(p.pendingReleases)
	p.pendingReleases = slices.DeleteFunc(p.pendingReleases, isMoot)
	p.trunk.counters.Moot += uint64(before - len(p.pendingReleases))
	for _, conn := range p.openConns() {
		if conn.openedAt < startedAt {
			p.trunk.counters.Moot += uint64(len(conn.unacked.take()))
			conn.cancelled = nil
		}
	}
	p.reportIntervals, p.acknowledgesReleases, p.unreachableSince = silence.ReportIntervals{}, false, 0
	p.failPending()
}

// releaseConnected releases the established calls of a server that is removed on their own connections, as far as these
// are open: another process may have answered at the address of the server after that had gone.
func (p *serverPeer) releaseConnected() {
	for _, leg := range p.trunk.legs {
		if leg.peer == p && leg.established && leg.conn.conn.Open() && !leg.conn.peerClosed {
			p.trunk.counters.Releases++
			leg.conn.write(appendBye(p.trunk.buf[:0], leg.ID, 2, threadglade.Cancelled))
		}
	}
}

// finishConns closes the connections to a server that is removed in such a way that it can read what was written last.
func (p *serverPeer) finishConns() {
	conns := append(p.replaced, p.conn)
	p.conn, p.replaced = nil, nil
	if p.dialing != nil {
		dialing := p.dialing
		p.dialing = nil
		dialing.conn.Close(loop.ErrClosedLocally)
	}
	for _, conn := range conns {
		if conn == nil {
			continue
		}
		conn.halfClose()
		conn.unusable = true // only releases count that the server has sent before
		p.trunk.router.Schedule(p.trunk.cfg.Clock()+peerCloseTimeout, func() { conn.conn.Close(loop.ErrClosedLocally) })
	}
}

// closeConns closes all connections to the server.
func (p *serverPeer) closeConns() {
	conns := append(p.replaced, p.conn, p.dialing)
	p.conn, p.dialing, p.replaced = nil, nil, nil
	for _, conn := range conns {
		if conn != nil {
			conn.conn.Close(loop.ErrClosedLocally)
		}
	}
}

// openConns returns a new list of the connections to the server that have opened, the current one first.
func (p *serverPeer) openConns() []*serverConn {
	if p.conn == nil {
		return slices.Clone(p.replaced)
	}
	return append([]*serverConn{p.conn}, p.replaced...)
}

// retire takes the current connection out of use. It stays open for the attempts that are pending on it.
func (p *serverPeer) retire() {
	if p.conn != nil {
		p.replaced = append(p.replaced, p.conn)
		p.conn = nil
	}
}

// closeUnused closes replaced connections that have no pending attempts any more.
func (p *serverPeer) closeUnused() {
	if len(p.replaced) == 0 {
		return
	}
	used := map[*serverConn]bool{}
	for _, leg := range p.trunk.legs {
		used[leg.conn] = !leg.established || used[leg.conn]
	}
	conns := p.replaced
	p.replaced = nil
	for _, conn := range conns {
		now := p.trunk.cfg.Clock()
		switch {
		case used[conn] && conn.conn.Open(), conn.unusable && conn.deadline > now, conn.closeDeadline > now:
			p.replaced = append(p.replaced, conn)
		case conn.closeDeadline == 0 && !conn.unusable && conn.conn.Open():
			// Releases of established calls may be on their way, so it is half-closed until the server closes too.
			conn.halfClose()
			p.replaced = append(p.replaced, conn)
		default:
			conn.conn.Close(loop.ErrClosedLocally)
		}
	}
}

// cutLegs ends the server's matching attempts as cut and returns their number. Unanswered ones are cancelled on the
// wire at once, because the delay before the next attempt begins now.
func (p *serverPeer) cutLegs(match func(*outboundLeg) bool) (count int) {
	for _, leg := range p.trunk.legs {
		if leg.peer == p && match(leg) {
			p.trunk.cancelLeg(leg)
			p.trunk.endLeg(leg, threadglade.Cut, threadglade.CauseNone)
			count++
		}
	}
	p.closeUnused()
	return count
}

// cutUnreachable ends the attempts at a server that can't be reached as cut and returns their number. Those that wait
// for a connection have their own, shorter timeout. The server may only be cut off and keep its calls, whose callers are
// told that they are over, so these are released once it is reached.
func (p *serverPeer) cutUnreachable() int {
	now := p.trunk.cfg.Clock()
	for _, leg := range p.trunk.legs {
		if leg.peer == p && leg.established {
			p.queueRelease(releaseRecord{leg.ID, threadglade.Cancelled, now})
		}
	}
	return p.cutLegs(func(leg *outboundLeg) bool { return leg.conn != nil })
}

// check closes unused connections and those with an incomplete message, fails attempts that have waited too long for
// a connection, opens one if there is none, the current one is silent or the server is unreachable, and cuts its calls
// after deadServerTimeout.
func (p *serverPeer) check(now time.Duration) {
	p.closeUnused()
	for _, conn := range p.openConns() {
		p.trunk.counters.Expired += uint64(conn.unacked.expire(now))
		conn.cancelled.expire(now)
		if conn.deadline > 0 && now >= conn.deadline && !conn.unusable {
			conn.closeCorrupt(errCorrupt)
		}
	}
	if p.dialing != nil && now-p.lastDial >= p.trunk.cfg.ConnectTimeout {
		p.dialing.conn.Close(loop.ErrDialTimeout)
	}
	for _, leg := range append([]*outboundLeg(nil), p.pending...) {
		if now >= leg.connectDeadline {
			p.trunk.endLeg(leg, threadglade.Unreachable, threadglade.CauseNone)
		}
	}
	if p.dialing == nil && now-p.lastDial >= redialDelay {
		switch {
		case p.conn == nil, p.unreachableSince > 0, p.mustReconnect:
			p.connect()
		case p.legCount > 0 && p.conn.silence.NeedsProbe(now) ||
			p.conn.silence.MissedReport(now, &p.reportIntervals) ||
			p.conn.silence.NeedsProbe(now) && p.conn.awaitsAcknowledgement(now):
			p.trunk.counters.Silent++
			p.connect()
		}
	}
	if p.unreachableSince > 0 && now-p.unreachableSince > deadServerTimeout && p.legCount > 0 {
		if n := p.cutUnreachable(); n > 0 {
			p.trunk.cfg.Log.Warn().Str("event", "server_dead").Str("server", p.server.ID).Int("cut", n).
				Msgf("server %s has been unreachable for %v, %d attempts cut", p.server.ID, deadServerTimeout, n)
		}
	}
}

// connect opens a connection, which replaces the current one once it is established.
func (p *serverPeer) connect() {
	isNeeded := !p.trunk.closing || len(p.pending)+len(p.pendingReleases) > 0
	if p.dialing != nil || p.removed || !isNeeded {
		return
	}
	p.trunk.counters.Dials++
	p.lastDial = p.trunk.cfg.Clock()
	p.dialing = &serverConn{peer: p}
	p.dialing.conn = p.trunk.cfg.Loop.Dial(p.server.Addr, p.dialing)
}

// sendPending queues the attempts that wait for a connection for the next Flush.
func (p *serverPeer) sendPending() {
	p.trunk.unsent = append(p.trunk.unsent, p.pending...)
	p.pending = nil
}

// release sends a release of a call that is over, on the current connection or on the next.
func (p *serverPeer) release(id string) {
	p.sendRelease(releaseRecord{id, threadglade.Cancelled, p.trunk.cfg.Clock()})
}

// sendRelease sends a release on the current connection, or on the next if there is none.
func (p *serverPeer) sendRelease(release releaseRecord) {
	if p.conn != nil {
		p.conn.sendRelease(release)
	} else {
		p.queueRelease(release)
	}
}

// takeOwedReleases removes the releases that wait for a connection or an acknowledgement, and returns them.
func (p *serverPeer) takeOwedReleases() []releaseRecord {
	owed := p.pendingReleases
	p.pendingReleases = nil
	for _, conn := range p.openConns() {
		owed = append(owed, conn.unacked.take()...)
	}
	return owed
}

// forgetReleases stops tracking releases of an ID under which a new attempt is sent, which they must not end.
func (p *serverPeer) forgetReleases(id string) {
	for _, conn := range p.openConns() {
		conn.unacked.acknowledge([]byte(id))
	}
}

// queueRelease keeps a release for the next connection, unless maxPendingReleases wait already.
func (p *serverPeer) queueRelease(release releaseRecord) {
	switch {
	case p.removed:
	case len(p.pendingReleases) >= maxPendingReleases:
		p.trunk.counters.Dropped++
	default:
		p.pendingReleases = append(p.pendingReleases, release)
	}
}

// markUnreachable records that a connection to the server did not open. A server that has sent data since that
// connection was tried is reachable all the same.
func (p *serverPeer) markUnreachable(now time.Duration) {
	if p.unreachableSince > 0 || p.lastReceived > p.lastDial {
		return
	}
	p.unreachableSince = now
	p.trunk.cfg.Log.Warn().Str("event", "server_lost").Str("server", p.server.ID).
		Msgf("server %s is unreachable", p.server.ID)
}

// markReachable records that a connection to the server has opened, or that data has arrived on one.
func (p *serverPeer) markReachable() {
	if p.unreachableSince == 0 {
		return
	}
	p.unreachableSince = 0
	p.trunk.cfg.Log.Info().Str("event", "server_reached").Str("server", p.server.ID).
		Msgf("server %s is reachable again", p.server.ID)
}

// failPending fails the attempts that wait for a connection.
func (p *serverPeer) failPending() {
	for _, leg := range append([]*outboundLeg(nil), p.pending...) {
		p.trunk.endLeg(leg, threadglade.Unreachable, threadglade.CauseNone)
	}
}

// awaitConn makes an attempt wait until there is a connection, or until the server reads again if it has stopped, for
// at most the connect timeout. The attempt is not written yet, so it can be withdrawn without a CANCEL.
func (p *serverPeer) awaitConn(leg *outboundLeg) {
	trunk := p.trunk
	leg.connectDeadline = trunk.cfg.Clock() + trunk.cfg.ConnectTimeout
	p.pending = append(p.pending, leg)
	trunk.router.Schedule(leg.connectDeadline, func() {
		if trunk.legs[leg.ID] == leg && leg.conn == nil {
			trunk.endLeg(leg, threadglade.Unreachable, threadglade.CauseNone)
		}
	})
	if p.conn == nil || len(p.replaced) < maxReplacedConns { // no more to a server that reads on none
		p.connect()
	}
}

// sendInvite writes an attempt's INVITE on the current connection, or has it wait if that is not possible.
func (p *serverPeer) sendInvite(leg *outboundLeg) {
	trunk := p.trunk
	now := trunk.cfg.Clock()
	if p.conn.conn.Blocked() {
		trunk.counters.Blocked++
		p.awaitConn(leg)
		return
	}
	p.forgetReleases(leg.ID)
	p.withdrawEarlier(leg)
	leg.conn, leg.sentAt = p.conn, now
	leg.conn.silence.SetupSent(now)
	trunk.counters.Invites++
	b := appendRequest(trunk.buf[:0], "INVITE", leg.Number, leg.ID, 1, "INVITE").addHeader("Call-Kind", leg.Class)
	b = b.addIntHeader("Answer-Within", max(1, int64((leg.Deadline-now)/time.Millisecond))).addBody(leg.Description)
	trunk.buf = b
	written := false
	if leg.conn.conn.Gated() { // it can be taken back while the output gate holds it
		written = leg.conn.conn.WriteRecallable(b, leg)
	} else {
		written = leg.conn.conn.Write(b)
	}
	if !written {
		// Nothing was sent, so the server can't run it: the attempt uses the next connection.
		trunk.counters.Unsent++
		p.conn, leg.conn = nil, nil
		p.awaitConn(leg)
		return
	}
	if leg.conn.conn.Blocked() {
		leg.conn.partialSetup = leg
	}
}

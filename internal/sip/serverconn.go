package sip

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/silence"
)

// This file holds one connection to a case server and handles the messages that arrive on it.

const (
	// partialMessageTimeout is how long a message of a server may take from its first byte to its last. Servers write
	// a message at once, so one that stops short will not be continued, nor will anything else arrive on that
	// connection.
	partialMessageTimeout = 200 * time.Millisecond
	// peerCloseTimeout is how long the server has to close a connection after it was half-closed here.
	peerCloseTimeout = 500 * time.Millisecond
	// malformedLogInterval is the minimum interval between two log events about unusable connections of one server.
	malformedLogInterval = time.Second
	// maxAgents is the largest number of agents that is accepted in a server's report.
	maxAgents = 1 << 20
)

// errCorrupt closes a connection on which a message arrived truncated or with a wrong length, so that the start of
// the next message is unknown.
var errCorrupt = errors.New("corrupt message")

// errUnresponsive closes a connection that is silent while its server sends on a newer one: no answer will arrive on
// it.
var errUnresponsive = errors.New("silent connection")

// serverConn is one connection to a server. It implements loop.Handler, loop.PeerCloseHandler and loop.Drainer.
type serverConn struct {
	peer          *serverPeer
	conn          *loop.Conn
	openedAt      time.Duration
	silence       silence.Connection
	deadline      time.Duration // of the message in progress, or if unusable of the server's close; 0: none
	unusable      bool          // a corrupt message arrived on it, or it was found unresponsive
	peerClosed    bool          // the server has closed it; earlier messages may still be unread
	closeDeadline time.Duration // of the server's close, once half-closed as unused; 0: it was not
	predecessor   *serverConn   // the connection that it replaces because of its silence; nil: none
	partialSetup  *outboundLeg  // last set-up, written in part as the server doesn't read; nil: none
	unacked       unackedReleases
	cancelled     cancelledAttempts
	msg           message
}

// Opened implements loop.Handler.
func (c *serverConn) Opened(*loop.Conn) {
	peer := c.peer
	now := peer.trunk.cfg.Clock()
	c.openedAt = now
	c.silence.Opened(now)
	peer.trunk.counters.Opened++
	if peer.dialing != c {
		c.conn.Close(loop.ErrClosedLocally)
		return
	}
	peer.markReachable()
	replaced := peer.conn
	if replaced != nil && replaced.silence.MissedReport(now, &peer.reportIntervals) {
		c.predecessor = replaced
	}
	peer.retire()
	peer.dialing, peer.conn, peer.mustReconnect = nil, c, false
	if replaced != nil && replaced.mayHaveLostReleases(now) {
		replaced.resendUnacked()
	}
	hasSetups := len(peer.pending) > 0
	peer.sendPending()
	pending := peer.pendingReleases
	peer.pendingReleases = nil
	for _, release := range pending {
		c.sendRelease(release)
	}
	if peer.trunk.closing && !hasSetups { // it was only opened for releases
		peer.retire()
		c.halfClose()
	}
}

// halfClose shuts down the write side of the connection, unless that has happened or it can't be used any more. The
// server has peerCloseTimeout to close its side.
func (c *serverConn) halfClose() {
	if c.closeDeadline == 0 && !c.unusable && c.conn.Open() {
		c.closeDeadline = c.peer.trunk.cfg.Clock() + peerCloseTimeout
		c.conn.CloseWrite()
	}
}

// PeerClosed implements loop.PeerCloseHandler: the server has closed the connection and reads nothing more from it.
// What it sent before is still handled.
func (c *serverConn) PeerClosed(*loop.Conn) {
	if c.peerClosed = true; c.peer.conn == c {
		c.peer.retire()
		c.peer.connect()
	}
}

// Drained implements loop.Drainer: the server reads again.
func (c *serverConn) Drained(*loop.Conn) {
	c.partialSetup = nil
	if c.peer.conn == c {
		c.peer.sendPending()
	}
}

// sendRelease sends a release on the connection, or queues it for the next one if nothing can be written here any
// more.
func (c *serverConn) sendRelease(release releaseRecord) {
	trunk := c.peer.trunk
	trunk.counters.Releases++
	if trunk.buf = appendBye(trunk.buf[:0], release.id, 2, release.outcome); c.conn.Write(trunk.buf) {
		trunk.counters.Expired += uint64(c.unacked.add(release))
		return
	}
	c.peer.queueRelease(release)
}

// resendUnacked sends the releases again that the server has not acknowledged on this connection, on the current one
// or, if there is none, on the next.
func (c *serverConn) resendUnacked() {
	peer, trunk := c.peer, c.peer.trunk
	trunk.counters.Expired += uint64(c.unacked.expire(trunk.cfg.Clock()))
	for _, release := range c.unacked.take() {
		trunk.counters.Retold++
		peer.sendRelease(release)
	}
}

// mayHaveLostReleases reports whether a release on the connection is unacknowledged and nothing has arrived here for
// so long since that the connection may have become silent. A server that has never acknowledged one proves nothing
// by that.
func (c *serverConn) mayHaveLostReleases(now time.Duration) bool {
	isSilent := c.silence.NeedsProbe(now) || c.silence.MissedReport(now, &c.peer.reportIntervals)
	return isSilent && c.unacked.lateSince(now)
}

// awaitsAcknowledgement reports whether a release has been unacknowledged for so long, by a server that acknowledges
// releases, that the connection may have become silent.
func (c *serverConn) awaitsAcknowledgement(now time.Duration) bool {
	return c.peer.acknowledgesReleases && c.unacked.lateSince(now-silence.MaxSilence)
}

// Closed implements loop.Handler. For a connection that never opened it reports the failed attempt to connect.
func (c *serverConn) Closed(_ *loop.Conn, err error) {
	peer := c.peer
	now := peer.trunk.cfg.Clock()
	if peer.dialing == c {
		peer.dialing = nil
		peer.trunk.counters.DialsFailed++
		peer.markUnreachable(now)
		if err == unix.ECONNREFUSED || err == unix.ECONNRESET {
			peer.failPending()
		}
		// The server can't be reached, so the silent connection leads to a machine that sends nothing any more.
		if peer.conn != nil && peer.conn.silence.NeedsProbe(now) {
			peer.trunk.cfg.Log.Warn().Str("event", "server_silent").Str("server", peer.server.ID).
				Msgf("server %s is silent", peer.server.ID)
			peer.retire()
		}
		return
	}
	peer.trunk.counters.Closed++
	peer.replaced = slices.DeleteFunc(peer.replaced, func(other *serverConn) bool { return other == c })
	// The server has given up attempts that were pending on it; established calls go on.
	c.cutPending()
	if peer.conn == c {
		peer.conn = nil
		peer.connect()
	}
	if peer.trunk.closing && c.closeDeadline > 0 && err == loop.ErrEOF {
		return // the server has read all that was written before the half-close
	}
	c.resendUnacked()
	c.resolveCancelledOnClose(err)
}

// Data implements loop.Handler: it handles the message at the start of b and returns its length. On a connection that
// is closing because it is unusable it only looks for releases.
func (c *serverConn) Data(_ *loop.Conn, b []byte) int {
	trunk := c.peer.trunk
	now := trunk.cfg.Clock()
	c.silence.Received(now)
	c.peer.lastReceived = now
	c.peer.markReachable()
	if c.unusable {
		return c.salvageReleases(b)
	}
	if predecessor := c.predecessor; predecessor != nil { // the server sends, and on this connection
		if c.predecessor = nil; predecessor.silence.Unresponsive(&c.silence) && predecessor.conn.Open() &&
			!predecessor.unusable {
			trunk.counters.Mute++
			predecessor.beginClose(errUnresponsive)
		}
	}
	n, err := parse(b, &c.msg)
	switch {
	case err != nil:
	case n == 0:
		if c.deadline == 0 {
			c.deadline = now + partialMessageTimeout
		}
		return 0
	case !startsMessage(b[n:]):
		err = errCorrupt
	default:
		c.deadline = 0
		if len(c.msg.headers) > 0 {
			trunk.counters.Messages++
			err = c.handleMessage(&c.msg)
		}
	}
	if err != nil {
		c.closeCorrupt(err)
		return c.salvageReleases(b)
	}
	return n
}

// closeCorrupt closes a connection on which a malformed or truncated message arrived, as what follows can't be parsed
// either, and opens another one. Set-ups pending on it may have been established, so their outcome is Cut. The
// connection is half-closed until the server closes too, because releases of established calls may be on their way.
func (c *serverConn) closeCorrupt(err error) {
	c.peer.trunk.counters.Malformed++
	c.beginClose(err)
	c.peer.connect()
}

// beginClose half-closes a connection on which no answers can arrive any more, and cuts the attempts pending on it.
func (c *serverConn) beginClose(err error) {
	peer, trunk, now := c.peer, c.peer.trunk, c.peer.trunk.cfg.Clock()
	if peer.malformedLoggedAt == 0 || now-peer.malformedLoggedAt >= malformedLogInterval {
		peer.malformedLoggedAt = now
		trunk.cfg.Log.Warn().Str("event", "server_spoilt").Str("server", peer.server.ID).
			Msgf("server %s: %v, connection closed", peer.server.ID, err)
	}
	c.unusable, c.deadline = true, now+peerCloseTimeout
	c.conn.CloseWrite()
	if peer.conn == c {
		peer.retire()
	}
	c.resendUnacked()
	c.releaseUnanswered()
	c.releaseCancelled()
	trunk.counters.Cut += uint64(c.cutPending())
}

// releaseUnanswered releases the attempts that are pending on a connection that carries no answers any more, on the
// next connection: the server may have answered them, and they are established there then. An attempt that it answers
// later is released once it can't be answered any more.
func (c *serverConn) releaseUnanswered() {
	peer, trunk := c.peer, c.peer.trunk
	for _, leg := range trunk.legs {
		if leg.conn != c || leg.established {
			continue
		}
		id := leg.ID
		peer.release(id)
		trunk.router.Schedule(leg.Deadline, func() {
			if current := trunk.legs[id]; current == nil || current.peer != peer {
				peer.release(id)
			}
		})
	}
}

// salvageReleases handles a release among the bytes of an unusable connection, and returns how many bytes to discard.
// It keeps the last bytes if a release may begin there.
func (c *serverConn) salvageReleases(b []byte) int {
	const prefix = "BYE sip:"
	start := bytes.Index(b, []byte(prefix))
	if start < 0 {
		return max(0, len(b)-len(prefix)+1)
	}
	n, err := parse(b[start:], &c.msg)
	switch {
	case err != nil:
		return start + len(prefix)
	case n > 0 && isCallID(c.msg.callID):
		c.peer.trunk.counters.Salvaged++
		if c.handleRelease(&c.msg) {
			c.acknowledgeRelease(&c.msg)
		}
	}
	return start + n
}

// cutPending ends the pending attempts of the connection as cut and returns their number. The server has given them
// up, or does so when the connection closes.
func (c *serverConn) cutPending() (count int) {
	trunk := c.peer.trunk
	for _, leg := range trunk.legs {
		if leg.conn == c && !leg.established {
			trunk.endLeg(leg, threadglade.Cut, threadglade.CauseNone)
			count++
		}
	}
	return count
}

// acknowledgeRelease answers a release, on the current connection if nothing can be written on this one any more.
func (c *serverConn) acknowledgeRelease(m *message) {
	if !c.conn.Open() && c.peer.conn != nil {
		c = c.peer.conn
	}
	c.write(appendReply(c.peer.trunk.buf[:0], 200, m))
}

// write writes a message that was appended to the trunk's buffer.
func (c *serverConn) write(b messageBuffer) {
	c.peer.trunk.buf = b
	c.conn.Write(b)
}

// handleMessage handles a well-formed message. An error means that the connection can't be used any more.
func (c *serverConn) handleMessage(m *message) error {
	trunk := c.peer.trunk
	switch string(m.method) {
	case "":
		if string(m.cseqMethod) == "INVITE" && m.status >= 200 {
			return c.handleInviteResponse(m)
		}
		if string(m.cseqMethod) == "BYE" {
			if c.unacked.acknowledge(m.callID) {
				c.peer.acknowledgesReleases = true
			}
		}
	case "NOTIFY":
		c.handleStateReport(m)
	case "BYE":
		if c.handleRelease(m) { // what is acknowledged is owed from then on
			c.acknowledgeRelease(m)
		}
	case "OPTIONS":
		c.write(appendReply(trunk.buf[:0], 200, m))
	case "ACK":
	default:
		c.write(appendReply(trunk.buf[:0], 501, m))
	}
	return nil
}

// handleInviteResponse handles the final answer to a set-up that was sent on a connection to this server. A positive
// answer that crossed the CANCEL means that the call is established at the server, so it is acknowledged and
// released. Neither Call-ID nor CSeq tells attempts of one call apart, as case servers answer with CSeq 1 whatever
// was sent; but an answer comes on the connection of its set-up.
func (c *serverConn) handleInviteResponse(m *message) error {
	trunk := c.peer.trunk
	id := string(m.callID)
	leg := trunk.legs[id]
	crossed := c.cancelled.contains(id)
	isRetried := leg != nil && leg.peer == c.peer && leg.conn != nil
	isCurrent := isRetried && (leg.conn == c || !crossed)
	if crossed && (!isCurrent || m.status == 487) {
		c.cancelled.resolve(id)
	}
	if !isCurrent && !crossed { // a duplicate, or an answer to nothing that was sent
		trunk.counters.Unknown++
		return nil
	}
	if isCurrent && !leg.established && m.status < 300 && !isValidDescription(m.body) {
		return errCorrupt
	}
	c.write(appendRequest(trunk.buf[:0], "ACK", id, id, m.cseq, "ACK").addBody(nil))
	switch {
	case m.status == 487: // to a cancelled attempt
	case m.status >= 300:
		if isCurrent && !leg.established {
			c.reportLoad(m)
			outcome, cause := refusalOutcome(m.status, m.headerValue("fail-word"))
			trunk.endLeg(leg, outcome, cause)
		}
	case isCurrent && !leg.established:
		leg.established = true
		trunk.router.Answered(id, leg.Index, m.body)
	case isCurrent:
	case isRetried: // released by withdrawEarlier, before the present attempt was sent
		trunk.counters.Crossed++
	default:
		trunk.counters.Crossed++
		c.write(appendBye(trunk.buf[:0], id, m.cseq+1, threadglade.Cancelled))
	}
	return nil
}

// failWordCauses maps the values of the Fail-Word header to causes.
var failWordCauses = map[string]threadglade.Cause{"blocked": threadglade.CauseNoAgent,
	"bounced": threadglade.CauseSentBack, "far_swamped": threadglade.CauseSentBack,
	"swamped": threadglade.CauseProcessorFull, "occupied": threadglade.CauseLinesBusy}

// refusalOutcome maps the status and the Fail-Word header of a refusal to an outcome and its cause.
func refusalOutcome(status int, failWord []byte) (threadglade.Outcome, threadglade.Cause) {
	cause := failWordCauses[string(failWord)]
	switch status {
	case 503:
		return threadglade.Rejected, cause
	case 480:
		return threadglade.NotSent, cause
	case 504:
		return threadglade.Cut, cause
	}
	return threadglade.Faulted, cause
}

// handleRelease handles the release of an established call, which may arrive on any connection to its server. It
// returns false if the release can't be accepted now and must not be acknowledged.
func (c *serverConn) handleRelease(m *message) (accepted bool) {
	trunk := c.peer.trunk
	c.reportLoad(m)
	outcome := threadglade.Cut
	if isNormalClearing(m.headerValue("reason")) {
		outcome = threadglade.Concluded
	}
	id := string(m.callID)
	if leg := trunk.legs[id]; leg != nil && leg.peer == c.peer && leg.established {
		trunk.endLeg(leg, outcome, threadglade.CauseNone)
		return true
	}
	return trunk.router.UnmatchedRelease(c.peer.server.ID, id, outcome)
}

// isNormalClearing reports whether a Reason header has the Q.850 cause 16, normal call clearing.
func isNormalClearing(reason []byte) bool {
	for i := 0; i+8 <= len(reason); i++ {
		if string(reason[i:i+8]) == "cause=16" {
			return i+8 == len(reason) || reason[i+8] < '0' || reason[i+8] > '9'
		}
	}
	return false
}

// reportLoad passes a message's load report on to the router, if TrunkConfig.ReportLoads is set.
func (c *serverConn) reportLoad(m *message) {
	if !c.peer.trunk.cfg.ReportLoads {
		return
	}
	report := m.headerValue("link-state")
	latencyMs, hasLatency := parseField(report, "latency_ms")
	rate, hasRate := parseField(report, "qps")
	if !hasRate {
		rate, hasRate = parseField(report, "max_rate")
	}
	if (hasLatency || hasRate) && latencyMs >= 0 && latencyMs < 1e6 && rate < 1e9 { // false for NaN
		c.peer.trunk.router.ReportLoad(c.peer.server.ID, time.Duration(latencyMs*float64(time.Millisecond)), rate)
	}
}

// handleStateReport passes a report of free and total agents on to the router.
func (c *serverConn) handleStateReport(m *message) {
	trunk := c.peer.trunk
	c.reportLoad(m)
	report := m.headerValue("link-state")
	free, hasFree := parseField(report, trunk.cfg.FreeField)
	total, hasTotal := parseField(report, trunk.cfg.TotalField)
	if !hasFree || !hasTotal {
		free, hasFree = parseField(report, "x0")
		total, hasTotal = parseField(report, "x1")
	}
	if hasFree && hasTotal {
		c.silence.ReportReceived(trunk.cfg.Clock(), &c.peer.reportIntervals)
	}
	if hasFree && hasTotal && free >= 0 && total >= free && total <= maxAgents { // false for NaN
		trunk.counters.States++
		trunk.router.ReportAgents(threadglade.Agents{Server: c.peer.server.ID, Free: int(free), Total: int(total)})
	}
}

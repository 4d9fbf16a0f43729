package sip

import (
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/lifecycle"
)

// This file holds one connection of callers and handles the messages that arrive on it.

// recallable identifies a message that the loop may take back while the output gate holds it: a release, or, if
// routing is set, the answer that a call is established.
type recallable struct {
	conn    *callerConn
	id      string
	outcome threadglade.Outcome
	routing messageBuffer
}

// HandleRecalled handles a message that the loop has taken back before it was sent, and returns its call and outcome.
// known is false if the message is not the front's. answer is true if it was the answer that a call is established:
// the caller is then sent a 500 instead, because the call may be established at the server.
func (f *Front) HandleRecalled(message any) (id string, outcome threadglade.Outcome, answer, known bool) {
	r, known := message.(*recallable)
	switch {
	case !known:
		return "", outcome, false, false
	case r.routing == nil:
		f.counters.Releases--
		r.conn.unacked.acknowledge([]byte(r.id))
		return r.id, r.outcome, false, true
	}
	r.conn.reply(append(appendResponse(f.buf[:0], 500), r.routing...).addBody(nil))
	return r.id, r.outcome, true, true
}

// sendRelease sends a release on the connection. It returns false if nothing can be written there any more.
func (c *callerConn) sendRelease(id string, outcome threadglade.Outcome) bool {
	if c.front.buf = appendBye(c.front.buf[:0], id, 1, outcome); !c.writeRecallable(c.front.buf, id, outcome, nil) {
		return false
	}
	c.front.counters.Releases++
	c.front.counters.Expired += uint64(c.unacked.add(releaseRecord{id, outcome, c.front.clock()}))
	return true
}

// writeRecallable writes a message that can be taken back while the output gate holds it, if there is one.
func (c *callerConn) writeRecallable(b messageBuffer, id string, outcome threadglade.Outcome,
	routing messageBuffer) bool {
	if !c.conn.Gated() {
		return c.conn.Write(b)
	}
	return c.conn.WriteRecallable(b, &recallable{c, id, outcome, routing})
}

// appendBye appends a release.
func appendBye(b messageBuffer, id string, cseq int, outcome threadglade.Outcome) messageBuffer {
	cause := "Q.850;cause=41"
	if outcome == threadglade.Concluded || outcome == threadglade.Cancelled {
		cause = "Q.850;cause=16"
	}
	return appendRequest(b, "BYE", id, id, cseq, "BYE").addHeader("Reason", cause).addBody(nil)
}

// callerConn is the connection of one caller. It implements loop.Handler and loop.PeerCloseHandler.
type callerConn struct {
	front            *Front
	conn             *loop.Conn
	setups           map[string]*inboundLeg // pending set-ups by call ID; nil while there is none
	lifetime         lifecycle.CallerConn   // timeouts
	lastReceived     time.Duration
	spreadPosition   float64         // position in the order of a drain, from 0 to 1
	hasSentCalls     bool            // a message other than OPTIONS, a health check, has arrived
	peerClosed       bool            // the caller has closed it; earlier messages may still be unread
	unacked          unackedReleases // releases that the caller may not have read
	unusableMessages int
	setupRate        loop.Bucket
	handOverID       uint32          // number under which it was handed over to the successor; 0: it was not
	oldProcessSetups map[string]bool // call IDs of set-ups pending in the old process; nil while there is none
	oldProcess       ProcessLink     // link to the old process
	oldProcessID     uint32          // number under which the old process handed it over
	msg              message
}

// connState returns the state by which the lifecycle decides whether to close the connection.
func (c *callerConn) connState() lifecycle.ConnState {
	isLast := c.front.process.Leaving()
	for other := range c.front.conns {
		if !isLast {
			break
		}
		isLast = other == c || !other.canReceiveReleases()
	}
	return lifecycle.ConnState{
		OpenSetups: len(c.setups) + len(c.oldProcessSetups), ConnectedAt: c.lifetime.ConnectedAt(),
		LastReceived: c.lifetime.LastReceived(), SpreadPosition: c.spreadPosition, LastForReleases: isLast,
	}
}

// Opened implements loop.Handler. Callers' connections are open from the start.
func (c *callerConn) Opened(*loop.Conn) {}

// canReceiveReleases reports whether releases may be sent on the connection: only if calls were sent on it. A client
// that only sends health checks, or nothing yet, may never read them.
func (c *callerConn) canReceiveReleases() bool {
	return c.conn.Open() && c.hasSentCalls && !c.peerClosed
}

// sendPendingReleases sends the releases that wait for a connection.
func (c *callerConn) sendPendingReleases() {
	pending := c.front.pendingReleases
	c.front.pendingReleases = nil
	for _, release := range pending {
		if !release.expired(c.front.clock()) {
			c.front.release(c, release.id, release.outcome)
		}
	}
}

// Closed implements loop.Handler.
func (c *callerConn) Closed(*loop.Conn, error) {
	delete(c.front.conns, c)
	c.notifyOldProcess()
	c.cancelSetups()
	c.resendUnacked()
}

// PeerClosed implements loop.PeerCloseHandler: the caller has closed the connection. No set-up is started for it any
// more; releases that it sent before and that are still unread are handled.
func (c *callerConn) PeerClosed(*loop.Conn) {
	c.peerClosed = true
	c.notifyOldProcess()
	c.cancelSetups()
}

// resendUnacked sends the releases that the caller may not have read before the connection closed on other ones.
func (c *callerConn) resendUnacked() {
	c.front.counters.Expired += uint64(c.unacked.expire(c.front.clock()))
	for _, release := range c.unacked.take() {
		c.front.counters.Retold++
		c.front.releaseFrom(c.conn.Remote().Addr(), release.id, release.outcome)
	}
}

// Data implements loop.Handler: it handles the message at the start of b and returns its length.
func (c *callerConn) Data(_ *loop.Conn, b []byte) int {
	c.lastReceived = c.front.clock()
	c.lifetime.Received(c.lastReceived)
	n, err := parse(b, &c.msg)
	if err == nil && n > 0 && !startsMessage(b[n:]) { // its Content-Length was wrong
		n, err = 0, errFraming
	}
	switch {
	case err == errFraming:
		c.rejectMessage(400)
		c.finish()
		return len(b)
	case err != nil:
		c.rejectMessage(400)
		return n
	case n == 0:
		c.lifetime.MessageBegun(c.lastReceived)
		return 0
	}
	if len(c.msg.headers) > 0 { // otherwise it was white space between messages
		c.front.counters.Messages++
		if len(c.oldProcessSetups) == 0 || !c.handleOldProcessSetup(&c.msg, b[:n]) {
			c.handleMessage(&c.msg)
		}
		c.lifetime.MessageComplete()
	}
	return n
}

// rejectMessage answers an unusable message. After maxUnusableMessages it closes the connection.
func (c *callerConn) rejectMessage(status int) {
	c.front.counters.Malformed++
	if string(c.msg.method) != "ACK" {
		c.reply(appendReply(c.front.buf[:0], status, &c.msg))
	}
	if c.unusableMessages++; c.unusableMessages > maxUnusableMessages {
		c.finish()
	}
}

// finish closes the connection in such a way that the caller can read the last answer.
func (c *callerConn) finish() {
	if c.lifetime.BeginClose(c.front.clock()) {
		c.conn.Finish()
		c.notifyOldProcess()
		c.cancelSetups()
	}
}

// cancelSetups cancels the pending set-ups of the connection.
func (c *callerConn) cancelSetups() {
	setups := c.setups
	c.setups = nil
	for id, leg := range setups {
		c.front.router.Cancel(leg, id)
	}
}

// reply writes a message that doesn't end a set-up.
func (c *callerConn) reply(b messageBuffer) { c.writeFinal("", b, nil) }

// writeFinal writes the final answer to a set-up, or any other message if id is empty. If routing is set, the answer
// is that the call is established, which can be taken back.
func (c *callerConn) writeFinal(id string, b, routing messageBuffer) {
	switch c.front.buf = b; {
	case c.handOverID > 0:
		c.replyViaSuccessor(id, b)
		return
	case c.peerClosed: // the peer would answer with a reset, which discards what is still unread here
		return
	}
	if routing != nil {
		c.writeRecallable(b, id, threadglade.Cancelled, routing)
		return
	}
	c.conn.Write(b)
}

// handleMessage handles a well-formed message.
func (c *callerConn) handleMessage(m *message) {
	c.lifetime.MessageValid()
	if !c.hasSentCalls && string(m.method) != "OPTIONS" {
		if c.hasSentCalls = true; len(c.front.pendingReleases) > 0 {
			c.sendPendingReleases()
		}
	}
	switch string(m.method) {
	case "":
		if string(m.cseqMethod) == "BYE" {
			c.unacked.acknowledge(m.callID)
		}
	case "INVITE":
		if !c.handleInvite(m) {
			c.rejectMessage(400)
		}
	case "ACK":
	case "CANCEL":
		c.reply(appendReply(c.front.buf[:0], 200, m))
		// A set-up can only be cancelled on its own connection: others may send its ID by mistake or on purpose.
		id := string(m.callID)
		if leg := c.setups[id]; leg != nil {
			delete(c.setups, id)
			c.front.router.Cancel(leg, id)
			c.writeFinal(id, append(appendResponse(c.front.buf[:0], 487), leg.routing...).addBody(nil), nil)
		}
	case "BYE":
		status := 200
		if isCallID(m.callID) && !c.front.router.Release(string(m.callID)) {
			status = 503
		}
		c.reply(appendReply(c.front.buf[:0], status, m))
	case "OPTIONS":
		status := 200
		if c.front.process.Leaving() { // so that the client sends its calls to another router
			status = 503
		}
		c.reply(appendReply(c.front.buf[:0], status, m))
	default:
		c.rejectMessage(501)
	}
}

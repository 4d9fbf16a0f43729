package sip

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"threadglade.example/threadglade"
)

// This file tracks attempts that were cancelled before their answer. A positive answer may cross the CANCEL: then the
// call is established at the server and has to be released there. An attempt is resolved once its final answer has
// arrived, on the connection of its set-up.

// cancelledAttemptTTL is how long a cancelled attempt is remembered, in case its answer crosses the CANCEL.
const cancelledAttemptTTL = 15 * time.Second

// cancelledAttempts holds the unresolved attempts of one connection, by call ID. The zero value is empty.
type cancelledAttempts map[string]unresolvedAttempts

// unresolvedAttempts are the unresolved attempts of a call on one connection.
type unresolvedAttempts struct {
	count int
	since time.Duration // when the latest was cancelled
}

// add records that an attempt was cancelled.
func (a *cancelledAttempts) add(id string, now time.Duration) {
	if *a == nil {
		*a = cancelledAttempts{}
	}
	(*a)[id] = unresolvedAttempts{(*a)[id].count + 1, now}
}

// resolve records the final answer to an attempt.
func (a cancelledAttempts) resolve(id string) {
	attempts := a[id]
	if attempts.count--; attempts.count > 0 {
		a[id] = attempts
	} else {
		delete(a, id)
	}
}

// contains reports whether an attempt of the call is unresolved.
func (a cancelledAttempts) contains(id string) bool {
	_, known := a[id]
	return known
}

// expire forgets the attempts that were cancelled cancelledAttemptTTL ago.
func (a cancelledAttempts) expire(now time.Duration) {
	for id, attempts := range a {
		if now-attempts.since >= cancelledAttemptTTL {
			delete(a, id)
		}
	}
}

// releaseCancelled releases the cancelled attempts that are unresolved on a connection that carries no answers any more,
// on the next connection, and forgets them. One whose call is tried again at the server was released by withdrawEarlier.
func (c *serverConn) releaseCancelled() {
	peer, trunk := c.peer, c.peer.trunk
	for id := range c.cancelled {
		if leg := trunk.legs[id]; leg == nil || leg.peer != peer || leg.conn == nil {
			trunk.counters.Unresolved++
			peer.release(id)
		}
	}
	c.cancelled = nil
}

// resolveCancelledOnClose handles the unresolved attempts of a connection that was closed with the given error.
func (c *serverConn) resolveCancelledOnClose(err error) {
	if err == unix.ECONNRESET { // a process that dies resets its connections and cuts its calls
		c.cancelled = nil
	}
	c.releaseCancelled()
}

// withdrawEarlier makes sure that an attempt that is about to be sent on the current connection is the only one of its
// call at the server. One that is unresolved on another connection may still be pending or established, as nothing
// orders what two connections carry.
func (p *serverPeer) withdrawEarlier(leg *outboundLeg) {
	if !slices.ContainsFunc(p.replaced, func(conn *serverConn) bool { return conn.cancelled.contains(leg.ID) }) {
		return
	}
	trunk := p.trunk
	trunk.counters.Unresolved++
	p.conn.write(appendRequest(trunk.buf[:0], "CANCEL", leg.Number, leg.ID, 1, "CANCEL").addBody(nil))
	p.conn.write(appendBye(trunk.buf[:0], leg.ID, 2, threadglade.Cancelled))
}

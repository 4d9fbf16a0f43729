package sip

import (
	"bytes"
	"hash/maphash"
	"slices"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

// This file holds a caller's side of a set-up: how it is read, and how the router answers it.

// inboundLeg is the caller's side of a set-up. It implements router.Front.
type inboundLeg struct {
	conn      *callerConn
	arrivedAt time.Duration
	routing   messageBuffer // headers that answers copy from the INVITE
	checksum  uint64        // of number, class and description; tells a repeat from another set-up with the same ID
}

// handleInvite handles a set-up. It returns false if the set-up is invalid. Everything that a case server might fail
// on is validated here, because an error or a close of its connection would affect other callers.
func (c *callerConn) handleInvite(m *message) bool {
	class := c.front.classes[string(m.headerValue("call-kind"))]
	called := userPart(m.uri)
	withinMs, ok := parseNumber(m.headerValue("answer-within"))
	within := time.Duration(withinMs) * time.Millisecond
	repeatMark := string(m.headerValue("repeat-mark"))
	// A set-up may not wait longer than its class's deadline.
	if !ok || class == nil || within <= 0 || within > class.Deadline || !isCallID(m.callID) || !isDialable(called) ||
		repeatMark != "" && repeatMark != "0" && repeatMark != "1" ||
		!isValidDescription(m.body) || len(m.body) > maxDescriptionSize {
		return false
	}
	destination, ok := parseRoutingData(m.headerValue("routing-data"), class)
	if !ok {
		return false
	}
	if c.peerClosed {
		c.front.counters.Forsaken++
		return true
	}
	id := string(m.callID)
	checksum := maphash.Bytes(c.front.hashSeed, m.body) ^ maphash.Bytes(c.front.hashSeed, called) ^
		maphash.String(c.front.hashSeed, class.Name)
	if leg := c.setups[id]; leg != nil {
		return leg.checksum == checksum // a repeat of a pending set-up gets no answer of its own
	}
	flooded := !c.setupRate.Take(c.lastReceived)
	if flooded || c.front.process.RefusesSetup(c.lastReceived, c.connState()) {
		if flooded {
			c.front.counters.Flooded++
		} else {
			c.front.counters.Drained++
		}
		b := appendResponse(c.front.buf[:0], 503).addRouting(m)
		if c.front.floodRetryAfter > 0 {
			b = b.addIntHeader("Come-Back-Ms", c.front.floodRetryAfter.Milliseconds())
		}
		c.reply(b.addBody(nil))
		return true
	}
	leg := &inboundLeg{
		conn: c, arrivedAt: c.lastReceived, routing: messageBuffer(nil).addRouting(m), checksum: checksum,
	}
	if c.setups == nil {
		c.setups = map[string]*inboundLeg{}
	}
	c.setups[id] = leg
	c.front.router.Arrive(leg, router.Request{ID: id, Class: class.Name, Tenant: string(m.headerValue("charged-party")),
		Number: string(called), Description: m.body, Destination: destination, Retry: repeatMark == "1",
		Deadline: c.lastReceived + within - callerClockMargin, Caller: c.conn.Remote().Addr(), Front: "sip"})
	return true
}

// parseRoutingData parses the Routing-Data header and returns the requested server, or -1. It returns false if a
// value is not a whole number, or names a server or a number of circuits that the class does not have.
func parseRoutingData(text []byte, class *threadglade.Class) (destination int, ok bool) {
	destination = -1
	if text == nil {
		return destination, true
	}
	for entry := range bytes.SplitSeq(text, []byte(";")) {
		name, value, _ := bytes.Cut(entry, []byte(":"))
		digits, negative := bytes.CutPrefix(bytes.TrimSpace(value), []byte("-"))
		n, ok := parseNumber(digits)
		if negative {
			n = -n
		}
		switch string(bytes.TrimSpace(name)) {
		case "dest":
			destination = n
			ok = ok && (n == -1 || slices.Contains(class.Servers, n) || len(class.Servers) == 0 && n >= 0)
		case "width":
			ok = ok && n > 0 && (class.Circuits == 0 || n == class.Circuits)
		case "via":
			ok = ok && n >= -1
		case "again":
			ok = ok && (n == 0 || n == 1)
		}
		if !ok {
			return 0, false
		}
	}
	return destination, true
}

// sendFinal sends the final answer, and closes the connection if a drain or shutdown was waiting for it.
func (l *inboundLeg) sendFinal(id string, b, routing messageBuffer) {
	if delete(l.conn.setups, id); len(l.conn.setups) == 0 {
		l.conn.setups = nil
	}
	l.conn.front.counters.Answers++
	l.conn.writeFinal(id, b, routing)
	if l.conn.front.process.ShouldCloseAnswered(l.conn.front.clock(), l.conn.connState()) &&
		!l.conn.lifetime.Closing() {
		l.conn.front.counters.Let++
		l.conn.finish()
	}
}

// Established implements router.Front.
func (l *inboundLeg) Established(id string, description []byte) {
	l.sendFinal(id, append(appendResponse(l.conn.front.buf[:0], 200), l.routing...).addBody(description), l.routing)
	l.routing = nil
}

// Refused implements router.Front.
func (l *inboundLeg) Refused(id string, retryAfter time.Duration) {
	b := append(appendResponse(l.conn.front.buf[:0], 503), l.routing...)
	if retryAfter > 0 {
		b = b.addIntHeader("Come-Back-Ms", int64((retryAfter+time.Millisecond-1)/time.Millisecond))
	}
	l.sendFinal(id, b.addBody(nil), nil)
}

// Failed implements router.Front.
func (l *inboundLeg) Failed(id string, reason router.Failure) {
	status := 500
	if reason == router.DuplicateID { // another request with that ID goes on
		l.conn.front.counters.Malformed++
		status = 400
	}
	l.sendFinal(id, append(appendResponse(l.conn.front.buf[:0], status), l.routing...).addBody(nil), nil)
}

// Released implements router.Front.
func (l *inboundLeg) Released(id string, outcome threadglade.Outcome) {
	l.conn.front.release(l.conn, id, outcome)
}

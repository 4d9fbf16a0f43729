package callcontrol

import (
	"errors"
	"slices"
	"time"

	"threadglade.example/threadglade/internal/identity"
	"threadglade.example/threadglade/internal/loop"
)

// This file holds one WebSocket connection: its handshake, frames and time limits.

// socket is one WebSocket connection.
type socket struct {
	front        *Front
	conn         *loop.Conn
	caller       identity.Caller // ID is empty until the handshake is complete
	lastReceived time.Duration   // when data last arrived
	deadline     time.Duration   // for the handshake, message or close in progress; 0: none
	pingSent     bool            // since lastReceived
	closing      bool            // a close frame has been sent, or the connection is being finished
	assembler    assembler
	placeRate    loop.Bucket // limits the calls placed
	callRefused  bool        // a call was refused because the process ends
}

// Accept accepts a connection, or returns nil if there are too many or the front is closing. At the limit, the
// connection whose handshake has been pending longest is closed to make room.
func (f *Front) Accept(c *loop.Conn) loop.Handler {
	if len(f.sockets) >= f.cfg.MaxSockets && !f.closing {
		var oldest *socket
		for s := range f.sockets {
			if s.caller.ID == "" && (oldest == nil || s.deadline < oldest.deadline) {
				oldest = s
			}
		}
		if oldest != nil {
			f.counters.Late++
			oldest.conn.Close(errHandshake)
		}
	}
	if len(f.sockets) >= f.cfg.MaxSockets || f.closing {
		f.counters.Turned++
		return nil
	}
	f.counters.Accepted++
	now := f.clock()
	s := &socket{front: f, conn: c, lastReceived: now, deadline: now + messageTimeout,
		placeRate: loop.Bucket{Rate: maxPlaceRate, Burst: maxPlaceBurst}}
	f.sockets[s] = true
	return s
}

// sweep enforces the sockets' time limits: it closes sockets whose handshake, message or close is overdue, that don't
// read, that are idle or whose token has expired, and pings silent ones. Sockets have no timers of their own, which
// could outlive them.
func (f *Front) sweep() {
	now := f.clock()
	for s := range f.sockets {
		idle := now - s.lastReceived
		switch {
		case s.deadline > 0 && now >= s.deadline, s.conn.Unsent() > maxUnsentBytes, idle >= idleTimeout:
			f.counters.Late++
			s.conn.Close(loop.ErrSlowPeer)
		case s.caller.ID == "" || s.closing:
		case now >= time.Duration(s.caller.Expires.UnixNano()):
			// A token authenticates its caller only until it expires.
			s.close(closePolicyViolation, "token has expired")
		case idle >= pingIdleTimeout && !s.pingSent:
			s.pingSent = true
			s.writeFrame(opPing, nil)
		}
	}
	f.moveClients(now)
	f.passOnDetached()
	f.router.Schedule(now+sweepInterval, f.sweep)
}

// logFault logs a client's fault, at most once in faultLogInterval, as a faulty client can repeat it at will.
func (f *Front) logFault(event, format string, args ...any) {
	if now := f.clock(); f.lastFaultLog == 0 || now-f.lastFaultLog >= faultLogInterval {
		f.lastFaultLog = now
		f.log.Warn().Str("event", event).Msgf(format, args...)
	}
}

// Opened implements loop.Handler.
func (s *socket) Opened(*loop.Conn) {}

// Closed detaches the socket's calls, which stay with their identity: set-ups go on until their deadline, and
// established calls wait for a client to attach.
func (s *socket) Closed(*loop.Conn, error) {
	delete(s.front.sockets, s)
	for _, c := range s.front.calls {
		if c.socket == s {
			c.detach()
		}
	}
}

// Data implements loop.Handler: it processes the handshake, then one frame at a time, and returns the bytes consumed.
func (s *socket) Data(_ *loop.Conn, b []byte) int {
	s.lastReceived, s.pingSent = s.front.clock(), false
	if s.caller.ID == "" {
		return s.handleHandshake(b)
	}
	f, n, err := parseFrame(b)
	if err != nil {
		s.failProtocol(err)
		return len(b)
	}
	if n > 0 {
		s.handleFrame(f)
	}
	switch {
	case s.closing:
	case n == 0 || s.assembler.pending: // a frame or a message is incomplete
		if s.deadline == 0 {
			s.deadline = s.lastReceived + messageTimeout
		}
	default:
		s.deadline = 0
	}
	return n
}

// handleHandshake answers the opening handshake and authenticates the caller. It returns the bytes consumed.
func (s *socket) handleHandshake(b []byte) int {
	h, n, err := parseHandshake(b)
	if err == nil && n == 0 {
		return 0
	}
	accept, validKey := acceptKey(h.key)
	switch {
	case err != nil, !h.upgrade, !validKey:
		s.reject("400 Bad Request", "")
		return len(b)
	case h.version != "13":
		s.reject("426 Upgrade Required", "Sec-WebSocket-Version: 13\r\n")
		return len(b)
	case h.origin != "" && !slices.Contains(s.front.cfg.Origins, h.origin):
		s.reject("403 Forbidden", "")
		return len(b)
	}
	caller, err := s.front.verify(h.token)
	if err != nil {
		s.front.counters.Unauthorised++
		s.front.logFault("callcontrol_turned", "call control: connection from %s rejected: %v", s.conn.Remote(), err)
		if errors.Is(err, identity.ErrNoBundle) {
			s.reject("503 Service Unavailable", "Retry-After: 1\r\n")
		} else {
			s.reject("401 Unauthorized", "WWW-Authenticate: Bearer\r\n")
		}
		return len(b)
	}
	s.caller, s.deadline = caller, 0
	protocol := ""
	if slices.Contains(h.protocols, subprotocol) {
		protocol = "Sec-WebSocket-Protocol: " + subprotocol + "\r\n"
	}
	s.conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Accept: " + accept + "\r\n" + protocol + "\r\n"))
	return n
}

// reject answers the handshake with an HTTP error and ends the connection.
func (s *socket) reject(status, headers string) {
	s.conn.Write([]byte("HTTP/1.1 " + status + "\r\n" + headers + "Connection: close\r\nContent-Length: 0\r\n\r\n"))
	s.finishConnection()
}

// finishConnection ends the connection gracefully: what has been sent still reaches the client, which has closeTimeout
// to close its side.
func (s *socket) finishConnection() {
	s.closing, s.deadline = true, s.front.clock()+closeTimeout
	s.conn.Finish()
}

// writeFrame sends one frame.
func (s *socket) writeFrame(op byte, payload []byte) {
	s.front.writeBuffer = appendFrame(s.front.writeBuffer[:0], op, payload)
	s.conn.Write(s.front.writeBuffer)
}

// failProtocol closes the connection because of a protocol error.
func (s *socket) failProtocol(err *protocolError) {
	s.front.counters.Faults++
	s.front.logFault("callcontrol_fault", "call control: %s: %v", s.caller.ID, err)
	s.close(err.code, err.reason)
}

// close starts the closing handshake. The client's close frame or closeTimeout completes it.
func (s *socket) close(code int, reason string) {
	if s.closing || !s.conn.Open() {
		return
	}
	s.closing = true
	s.writeFrame(opClose, closePayload(code, reason))
	s.deadline = s.front.clock() + closeTimeout
}

// handleFrame processes one frame from the client.
func (s *socket) handleFrame(f frame) {
	switch f.op {
	case opPing:
		if !s.closing {
			s.writeFrame(opPong, f.payload)
		}
	case opPong:
	case opClose:
		code, err := closeCode(f.payload)
		switch {
		case s.closing:
		case err != nil:
			s.close(err.code, err.reason)
		case code == closeNoStatus:
			s.writeFrame(opClose, nil)
		default:
			s.writeFrame(opClose, closePayload(code, ""))
		}
		s.finishConnection()
	default:
		if s.closing {
			return
		}
		text, complete, err := s.assembler.add(f)
		if err != nil {
			s.failProtocol(err)
		} else if complete {
			s.front.counters.Messages++
			s.handleMessage(text)
		}
	}
}

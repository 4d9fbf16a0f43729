package sip

import (
	"encoding/binary"
	"net/netip"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
)

// This file implements the frames that the fronts of two processes exchange during a hot restart. The old process
// hands its callers' connections over and sends its remaining answers through the successor. The successor forwards
// the callers' messages about set-ups of the old process. Neither may answer a set-up of the other, except that the
// successor fails the pending set-ups of an old process that has died.

// Kinds of frames between the fronts of two processes. Later kinds are free for the owner of the front.
const (
	frameConn       = 16 + iota // to the successor, with the descriptor of a connection
	frameAnswer                 // to the successor: bytes to write on a connection
	frameRelease                // to the successor: a release to send on any connection
	frameCancel                 // to the old process: a caller's CANCEL of one of its set-ups
	frameConnClosed             // to the old process: a connection with such set-ups has closed
	// FrameCallerRelease passes on, in either direction, a caller's release of a call that is unknown to the sender. Its
	// payload is the call's ID. The owner of the front handles it.
	FrameCallerRelease
	// FirstOwnerFrame is the first kind that the fronts don't use.
	FirstOwnerFrame
)

// frameUnackedRelease passes on, to the successor, a release that the caller has not acknowledged on the connection that
// was handed over last: the outcome (1 byte), how long ago it was written in ms (4 bytes), the call's ID.
const frameUnackedRelease = 48

// ProcessLink sends frames to the other process.
type ProcessLink interface {
	// Send sends a frame. fd is a descriptor to pass along, or -1. It returns false if the frame can't be sent.
	Send(kind byte, payload []byte, fd int, keep bool) bool
}

// handOverRetryInterval is the interval of further attempts to hand over connections that had to stay, for example
// because of unsent bytes.
const handOverRetryInterval = 10 * time.Millisecond

// callIDSize is the length in bytes of a call's ID in frames.
const callIDSize = 16

// ---- old process ----

// HandOver hands the callers' connections over to the successor, those with unsent bytes once they are written, and
// answers through the successor from then on.
func (f *Front) HandOver(link ProcessLink) {
	f.successor = link
	pending := f.pendingReleases
	f.pendingReleases = nil
	for _, release := range pending {
		f.release(nil, release.id, release.outcome)
	}
	f.handOverConns()
}

// handOverConns hands over the connections that can be, and schedules itself again until none is left.
func (f *Front) handOverConns() {
	if f.successor == nil {
		return
	}
	for conn := range f.conns {
		f.handOverConn(conn)
	}
	if len(f.conns) > 0 {
		f.router.Schedule(f.clock()+handOverRetryInterval, f.handOverConns)
	}
}

// handOverConn sends one connection to the successor: the descriptor, the state, the IDs of pending set-ups and the
// bytes that were read and not parsed yet. It does nothing if the connection can't be handed over now.
func (f *Front) handOverConn(conn *callerConn) {
	// A closing connection ends by itself. One with set-ups of this process's own predecessor has to wait for their
	// answers.
	if conn.lifetime.Closing() || len(conn.oldProcessSetups) > 0 {
		return
	}
	fd, unread, ok := conn.conn.Detach()
	if !ok {
		return
	}
	delete(f.conns, conn)
	f.counters.Passed++
	f.handedOver++
	frame := binary.BigEndian.AppendUint32(nil, f.handedOver)
	flags := byte(0)
	if conn.lifetime.HasValidMessage() {
		flags |= 1
	}
	if conn.hasSentCalls {
		flags |= 2
	}
	frame = binary.BigEndian.AppendUint16(append(frame, flags, byte(min(conn.unusableMessages, 255))),
		uint16(len(conn.setups)))
	for id := range conn.setups {
		frame = append(frame, id...)
	}
	conn.handOverID = f.handedOver
	if len(conn.setups) > 0 {
		f.handedOverSetups[conn.handOverID] = conn
	}
	if !f.successor.Send(frameConn, append(frame, unread...), fd, false) {
		conn.cancelSetups()
		return
	}
	now := f.clock()
	for _, release := range conn.unacked.take() {
		payload := binary.BigEndian.AppendUint32([]byte{byte(release.outcome)}, uint32((now-release.since)/time.Millisecond))
		f.successor.Send(frameUnackedRelease, append(payload, release.id...), -1, false)
	}
}

// replyViaSuccessor sends a message on a connection that was handed over. callID identifies the set-up if the message
// is its final answer, and is empty otherwise.
func (c *callerConn) replyViaSuccessor(callID string, b messageBuffer) {
	payload := binary.BigEndian.AppendUint32(nil, c.handOverID)
	payload = append(append(payload, byte(len(callID))), callID...)
	if c.front.successor != nil {
		c.front.successor.Send(frameAnswer, append(payload, b...), -1, false)
	}
	if len(c.setups) == 0 {
		delete(c.front.handedOverSetups, c.handOverID)
	}
}

// HandleSuccessorFrame handles a frame from the successor. It returns false if the frame is malformed.
func (f *Front) HandleSuccessorFrame(kind byte, payload []byte) bool {
	if len(payload) < 4 {
		return false
	}
	conn := f.handedOverSetups[binary.BigEndian.Uint32(payload)]
	switch {
	case kind == frameConnClosed && conn != nil:
		delete(f.handedOverSetups, conn.handOverID)
		conn.cancelSetups()
	case kind == frameCancel && conn != nil:
		if n, err := parse(payload[4:], &conn.msg); err == nil && n > 0 {
			conn.handleMessage(&conn.msg)
		}
	case kind != frameConnClosed && kind != frameCancel:
		return false
	}
	return true
}

// SuccessorLost handles the loss of the successor: the connections that were handed over have closed with it, so
// their set-ups are cancelled.
func (f *Front) SuccessorLost() {
	f.successor = nil
	for id, conn := range f.handedOverSetups {
		delete(f.handedOverSetups, id)
		conn.cancelSetups()
	}
}

// HandedOverPending returns the number of connections that were handed over and have set-ups pending in this process.
func (f *Front) HandedOverPending() int { return len(f.handedOverSetups) }

// ---- successor ----

// HandleOldProcessFrame handles a frame from the old process. It returns false if the frame is malformed. If it
// returns true the front owns fd.
func (f *Front) HandleOldProcessFrame(l *loop.Loop, kind byte, payload []byte, fd int, oldProcess ProcessLink) bool {
	switch {
	case kind == frameConn && fd >= 0 && len(payload) >= 8:
		return f.adopt(l, payload, fd, oldProcess)
	case fd >= 0:
		return false
	case kind == frameAnswer && len(payload) >= 5 && len(payload) >= 5+int(payload[4]):
		conn := f.oldProcessSetups[binary.BigEndian.Uint32(payload)]
		if conn == nil {
			return true // it has closed in the meantime
		}
		callID := string(payload[5 : 5+int(payload[4])])
		conn.conn.Write(payload[5+len(callID):])
		f.counters.Answers++
		conn.oldProcessAnswered(callID)
	case kind == frameUnackedRelease && len(payload) > 5 && isCallID(payload[5:]):
		age := time.Duration(binary.BigEndian.Uint32(payload[1:])) * time.Millisecond
		f.adoptUnacked(releaseRecord{string(payload[5:]), threadglade.Outcome(payload[0]), f.clock() - age})
	case kind == frameRelease && len(payload) > 2:
		outcome, n := threadglade.Outcome(payload[0]), int(payload[1])
		if len(payload) < 2+n || !isCallID(payload[2+n:]) {
			return false
		}
		from, _ := netip.AddrFromSlice(payload[2 : 2+n])
		f.releaseFrom(from, string(payload[2+n:]), outcome)
	default:
		return false
	}
	return true
}

// adopt takes over a connection of the old process. It returns false if the frame is malformed.
func (f *Front) adopt(l *loop.Loop, payload []byte, fd int, oldProcess ProcessLink) bool {
	id, flags, unusableMessages, setupCount := binary.BigEndian.Uint32(payload), payload[4], payload[5],
		int(binary.BigEndian.Uint16(payload[6:]))
	rest := payload[8:]
	if len(rest) < setupCount*callIDSize {
		return false
	}
	now := f.clock()
	f.counters.Adopted++
	l.Adopt(fd, append([]byte(nil), rest[setupCount*callIDSize:]...), func(loopConn *loop.Conn) loop.Handler {
		conn := f.newCallerConn(loopConn, now)
		if conn.hasSentCalls, conn.unusableMessages = flags&2 != 0, int(unusableMessages); flags&1 != 0 {
			conn.lifetime.Inherited(len(rest) > setupCount*callIDSize)
		}
		if setupCount > 0 {
			conn.oldProcess, conn.oldProcessID, conn.oldProcessSetups = oldProcess, id,
				make(map[string]bool, setupCount)
			for i := range setupCount {
				conn.oldProcessSetups[string(rest[i*callIDSize:(i+1)*callIDSize])] = true
			}
			f.oldProcessSetups[id] = conn
		}
		f.lastAdopted = conn
		return conn
	})
	for conn := range f.conns { // releases may be waiting for a connection
		if len(f.pendingReleases) > 0 && conn.canReceiveReleases() {
			conn.sendPendingReleases()
		}
	}
	return true
}

// adoptUnacked tracks a release that the old process wrote on the connection that was taken over last. If that one has
// closed, the release is sent on another one.
func (f *Front) adoptUnacked(release releaseRecord) {
	switch conn := f.lastAdopted; {
	case conn == nil:
	case conn.conn.Open():
		f.counters.Expired += uint64(conn.unacked.add(release))
	default:
		f.counters.Retold++
		f.releaseFrom(conn.conn.Remote().Addr(), release.id, release.outcome)
	}
}

// oldProcessAnswered records that a set-up of the old process has its final answer.
func (c *callerConn) oldProcessAnswered(callID string) {
	if delete(c.oldProcessSetups, callID); len(c.oldProcessSetups) == 0 {
		delete(c.front.oldProcessSetups, c.oldProcessID)
		c.oldProcessSetups, c.oldProcess = nil, nil
	}
}

// handleOldProcessSetup handles a message about a set-up of the old process that arrived on this connection: it
// forwards a CANCEL and ignores a repeated INVITE. It returns false if the message has to be handled here.
func (c *callerConn) handleOldProcessSetup(m *message, raw []byte) bool {
	if !c.oldProcessSetups[string(m.callID)] {
		return false
	}
	if string(m.method) == "CANCEL" {
		c.oldProcess.Send(frameCancel, append(binary.BigEndian.AppendUint32(nil, c.oldProcessID), raw...), -1, false)
	}
	return string(m.method) == "CANCEL" || string(m.method) == "INVITE" // a repeat gets no answer of its own
}

// notifyOldProcess notifies the old process that the connection has closed, if set-ups of it are pending.
func (c *callerConn) notifyOldProcess() {
	if len(c.oldProcessSetups) > 0 {
		c.oldProcess.Send(frameConnClosed, binary.BigEndian.AppendUint32(nil, c.oldProcessID), -1, false)
		delete(c.front.oldProcessSetups, c.oldProcessID)
		c.oldProcessSetups, c.oldProcess = nil, nil
	}
}

// OldProcessLost answers the pending set-ups of an old process that has died with 500, the failure after which the
// caller can't know whether the call was established.
func (f *Front) OldProcessLost() {
	for _, conn := range f.oldProcessSetups {
		for callID := range conn.oldProcessSetups {
			f.counters.Answers++
			response := append(appendResponse(f.buf[:0], 500), "Call-ID: "...)
			conn.reply(append(append(response, callID...), "\r\nCSeq: 1 INVITE\r\n"...).addBody(nil))
		}
		conn.oldProcessSetups, conn.oldProcess = nil, nil
	}
	clear(f.oldProcessSetups)
}

package sip

import (
	"encoding/binary"
	"net/netip"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
)

// This file owns what two fronts of one router tell each other while one process takes another's place: the elder passes its callers'
// connections on and goes on answering through the successor, which sends back what callers say of set-ups that are the elder's. It must never
// answer a set-up in the other's place, but for an elder that has died.

// Kinds of frames between two fronts, and the first that is the owner's own.
const (
	frameConn    = 16 + iota // elder to successor, with the connection
	frameAnswer              // elder to successor: bytes for a connection
	frameRelease             // elder to successor: a release, for any connection
	frameCancel              // successor to elder: a caller has given up a set-up of the elder's
	frameGone                // successor to elder: a connection with such set-ups has ended
	frameBye                 // successor to elder: a caller's release of a call that the successor does not know
	FrameOwner
)

// Across is the way to the other process.
type Across interface {
	Send(kind byte, payload []byte, fd int, keep bool) bool
}

// passEvery is how often connections are tried again that could not be passed on yet, because something waited to be written on them.
const passEvery = 10 * time.Millisecond

const idSize = 16

// ---- elder ----

// Pass passes the callers' connections on, those that cannot be yet as soon as they can, and answers through the other process from then on.
func (f *Front) Pass(to Across) {
	f.across = to
	owed := f.owed
	f.owed = nil
	for _, o := range owed {
		f.release(nil, o.id, o.how)
	}
	f.passMore()
}

func (f *Front) passMore() {
	if f.across == nil {
		return
	}
	for k := range f.conns {
		f.pass(k)
	}
	if len(f.conns) > 0 {
		f.router.Schedule(f.clock()+passEvery, f.passMore)
	}
}

func (f *Front) pass(k *caller) {
	if k.lifetime.Closing() || len(k.there) > 0 { // it ends by itself; or set-ups on it are those of a process before this one
		return
	}
	fd, in, ok := k.conn.Detach()
	if !ok {
		return
	}
	delete(f.conns, k)
	f.count.Passed++
	f.passed++
	b := binary.BigEndian.AppendUint32(nil, f.passed)
	flags := byte(0)
	if k.lifetime.HasValidMessage() {
		flags |= 1
	}
	if k.calls {
		flags |= 2
	}
	b = binary.BigEndian.AppendUint16(append(b, flags, byte(min(k.strikes, 255))), uint16(len(k.open)))
	for id := range k.open {
		b = append(b, id...)
	}
	k.passed = f.passed
	if len(k.open) > 0 {
		f.away[k.passed] = k
	}
	if !f.across.Send(frameConn, append(b, in...), fd, false) {
		k.leave()
	}
}

// send answers on a connection that was passed on; call is the set-up that has its final answer by it, if any.
func (k *caller) send(call string, b out) {
	p := binary.BigEndian.AppendUint32(nil, k.passed)
	p = append(append(p, byte(len(call))), call...)
	if k.f.across != nil {
		k.f.across.Send(frameAnswer, append(p, b...), -1, false)
	}
	if len(k.open) == 0 {
		delete(k.f.away, k.passed)
	}
}

// Hear takes a frame from the successor; false: it makes no sense.
func (f *Front) Hear(kind byte, payload []byte) bool {
	if kind == frameBye {
		if hexID(payload) {
			f.router.Release(string(payload))
		}
		return true
	}
	if len(payload) < 4 {
		return false
	}
	k := f.away[binary.BigEndian.Uint32(payload)]
	switch {
	case kind == frameGone && k != nil:
		delete(f.away, k.passed)
		k.leave()
	case kind == frameCancel && k != nil:
		if n, err := parse(payload[4:], &k.m); err == nil && n > 0 {
			k.take(&k.m)
		}
	case kind != frameGone && kind != frameCancel:
		return false
	}
	return true
}

// SuccessorGone withdraws what came by connections that were passed on: they have ended with the other process.
func (f *Front) SuccessorGone() {
	f.across = nil
	for id, k := range f.away {
		delete(f.away, id)
		k.leave()
	}
}

// Away is how many connections were passed on with set-ups that are still open here.
func (f *Front) Away() int { return len(f.away) }

// ---- successor ----

// Take takes a frame from the elder; false: it makes no sense. A descriptor is the front's.
func (f *Front) Take(l *loop.Loop, kind byte, payload []byte, fd int, elder Across) bool {
	switch {
	case kind == frameConn && fd >= 0 && len(payload) >= 8:
		return f.adopt(l, payload, fd, elder)
	case fd >= 0:
		return false
	case kind == frameAnswer && len(payload) >= 5 && len(payload) >= 5+int(payload[4]):
		k := f.there[binary.BigEndian.Uint32(payload)]
		if k == nil {
			return true // it has ended here
		}
		call := string(payload[5 : 5+int(payload[4])])
		k.conn.Write(payload[5+len(call):])
		f.count.Answers++
		k.settled(call)
	case kind == frameRelease && len(payload) > 2:
		how, n := threadglade.Outcome(payload[0]), int(payload[1])
		if len(payload) < 2+n || !hexID(payload[2+n:]) {
			return false
		}
		from, _ := netip.AddrFromSlice(payload[2 : 2+n])
		f.hand(from, string(payload[2+n:]), how)
	default:
		return false
	}
	return true
}

func (f *Front) adopt(l *loop.Loop, payload []byte, fd int, elder Across) bool {
	id, flags, strikes, n := binary.BigEndian.Uint32(payload), payload[4], payload[5], int(binary.BigEndian.Uint16(payload[6:]))
	rest := payload[8:]
	if len(rest) < n*idSize {
		return false
	}
	now := f.clock()
	f.count.Adopted++
	l.Adopt(fd, append([]byte(nil), rest[n*idSize:]...), func(c *loop.Conn) loop.Handler {
		k := f.caller(c, now)
		if k.calls, k.strikes = flags&2 != 0, int(strikes); flags&1 != 0 {
			k.lifetime.Inherited(len(rest) > n*idSize)
		}
		if n > 0 {
			k.elder, k.away, k.there = elder, id, make(map[string]bool, n)
			for i := range n {
				k.there[string(rest[i*idSize:(i+1)*idSize])] = true
			}
			f.there[id] = k
		}
		return k
	})
	for k := range f.conns { // a release that found no connection
		if len(f.owed) > 0 && k.hears() {
			k.pay()
		}
	}
	return true
}

// settled notes that a set-up of the elder's has its answer.
func (k *caller) settled(call string) {
	if delete(k.there, call); len(k.there) == 0 {
		delete(k.f.there, k.away)
		k.there, k.elder = nil, nil
	}
}

// elders takes a message about a set-up that came by this connection and is the elder's; false: it is not.
func (k *caller) elders(m *message, raw []byte) bool {
	if !k.there[string(m.callID)] {
		return false
	}
	if string(m.method) == "CANCEL" {
		k.elder.Send(frameCancel, append(binary.BigEndian.AppendUint32(nil, k.away), raw...), -1, false)
	}
	return string(m.method) == "CANCEL" || string(m.method) == "INVITE" // a repeat needs no answer of its own
}

// gone tells the elder that the connection has ended.
func (k *caller) gone() {
	if len(k.there) > 0 {
		k.elder.Send(frameGone, binary.BigEndian.AppendUint32(nil, k.away), -1, false)
		delete(k.f.there, k.away)
		k.there, k.elder = nil, nil
	}
}

// ElderGone answers what the elder left unanswered as it died: something may have run.
func (f *Front) ElderGone() {
	for _, k := range f.there {
		for call := range k.there {
			f.count.Answers++
			b := append(response(f.buf[:0], 500), "Call-ID: "...)
			k.answer(append(append(b, call...), "\r\nCSeq: 1 INVITE\r\n"...).body(nil))
		}
		k.there, k.elder = nil, nil
	}
	clear(f.there)
}

// Bye passes a caller's release of an unknown call on to the elder.
func Bye(to Across, id string) bool { return to.Send(frameBye, []byte(id), -1, false) }

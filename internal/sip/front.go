package sip

import (
	"fmt"
	"net/netip"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/router"
)

const (
	// answerEarly is taken off what a caller waits, for its clock runs from its send and ours from the read.
	answerEarly = 30 * time.Millisecond
	// owedFor is how long a release that found no connection waits for the next one.
	owedFor = 30 * time.Second
)

// Front answers callers.
type Front struct {
	router *router.Router
	clock  router.Clock
	most   int // connections at once
	conns  map[*caller]bool
	owed   []owed
	buf    out
	count  FrontCounters
}

// FrontCounters count what came from callers and went to them.
type FrontCounters struct {
	Accepted, Turned, Messages, Malformed, Answers, Releases, Moved uint64
}

// owed is a release without a connection to send it on.
type owed struct {
	id  string
	how threadglade.Outcome
	at  time.Duration
}

// NewFront makes a front that holds at most so many connections.
func NewFront(r *router.Router, clock router.Clock, most int) *Front {
	return &Front{router: r, clock: clock, most: max(most, 1), conns: map[*caller]bool{}}
}

// Reserve leaves some of the callers' connections to another front.
func (f *Front) Reserve(connections int) error {
	if connections >= f.most {
		return fmt.Errorf("%d of the %d connections that callers may hold", connections, f.most)
	}
	f.most -= connections
	return nil
}

// Hold changes how many connections the front holds at most; those open already stay.
func (f *Front) Hold(most int) { f.most = max(most, 1) }

// Counters returns a copy.
func (f *Front) Counters() FrontCounters { return f.count }

// Accept takes a new connection of a caller. Where there is no room, the one that has been idle longest goes.
func (f *Front) Accept(c *loop.Conn) loop.Handler {
	if len(f.conns) >= f.most {
		var idle *caller
		for k := range f.conns {
			if len(k.open) == 0 && (idle == nil || k.heard < idle.heard) {
				idle = k
			}
		}
		if idle == nil {
			f.count.Turned++
			return nil
		}
		idle.conn.Close(loop.ErrAbandoned)
	}
	f.count.Accepted++
	k := &caller{f: f, conn: c, open: map[string]*leg{}, heard: f.clock()}
	f.conns[k] = true
	return k
}

// Orphan passes on the release of a call of an earlier life of this router.
func (f *Front) Orphan(id string, how threadglade.Outcome) { f.release(nil, id, how) }

// release sends a release on the connection that the call came by, else on another one from there, else on any,
// else on the next that opens: no connection owns a call.
func (f *Front) release(on *caller, id string, how threadglade.Outcome) {
	if on == nil || !on.conn.Open() {
		var from netip.Addr
		if on != nil {
			from = on.conn.Remote().Addr()
		}
		on = nil
		for k := range f.conns {
			if k.conn.Open() && (on == nil || k.conn.Remote().Addr() == from) {
				on = k
			}
		}
		if on == nil {
			f.owed = append(f.owed, owed{id, how, f.clock()})
			return
		}
		f.count.Moved++
	}
	f.count.Releases++
	f.buf = bye(f.buf[:0], id, 1, how)
	on.conn.Write(f.buf)
}

// bye writes a release.
func bye(b out, id string, cseq int, how threadglade.Outcome) out {
	cause := "Q.850;cause=41"
	if how == threadglade.Concluded || how == threadglade.Cancelled {
		cause = "Q.850;cause=16"
	}
	return request(b, "BYE", id, id, cseq, "BYE").head("Reason", cause).body(nil)
}

// caller is one connection of a caller.
type caller struct {
	f     *Front
	conn  *loop.Conn
	open  map[string]*leg // set-ups that came by it and are owed an answer
	heard time.Duration
	m     message
}

// leg is one set-up as its caller sees it; it is the request's front.
type leg struct {
	on    *caller
	route out // what answers repeat
}

func (k *caller) Opened(*loop.Conn) {
	owed := k.f.owed
	k.f.owed = nil
	for _, o := range owed {
		if k.f.clock()-o.at < owedFor {
			k.f.release(k, o.id, o.how)
		}
	}
}

func (k *caller) Closed(*loop.Conn, error) {
	delete(k.f.conns, k)
	for id, l := range k.open {
		k.f.router.Leave(l, id)
	}
	clear(k.open)
}

func (k *caller) Data(c *loop.Conn, b []byte) int {
	k.heard = k.f.clock()
	n, err := parse(b, &k.m)
	if n == 0 && err == nil {
		return 0
	}
	if err != nil {
		k.f.count.Malformed++
		if len(k.m.callID) > 0 && k.m.status == 0 && string(k.m.method) != "ACK" {
			k.answer(reply(k.f.buf[:0], 400, &k.m))
			if err == errFrame {
				c.Finish()
				return len(b)
			}
			return n
		}
		c.Close(err)
		return len(b)
	}
	if len(k.m.headers) > 0 { // else it was white space between messages
		k.f.count.Messages++
		k.take(&k.m)
	}
	return n
}

func (k *caller) answer(b out) {
	k.f.buf = b
	k.conn.Write(b)
}

func (k *caller) take(m *message) {
	switch string(m.method) {
	case "": // answers to releases
	case "INVITE":
		k.invite(m)
	case "ACK":
	case "CANCEL":
		k.answer(reply(k.f.buf[:0], 200, m))
		id := string(m.callID)
		if l := k.open[id]; l != nil {
			k.answer(append(response(k.f.buf[:0], 487), l.route...).body(nil))
			delete(k.open, id)
		}
		k.f.router.Leave(nil, id)
	case "BYE":
		k.answer(reply(k.f.buf[:0], 200, m))
		if hexID(m.callID) {
			k.f.router.Release(string(m.callID))
		}
	case "OPTIONS":
		k.answer(reply(k.f.buf[:0], 200, m))
	default:
		k.answer(reply(k.f.buf[:0], 501, m))
	}
}

func (k *caller) invite(m *message) {
	class, within := m.get("call-kind"), m.get("answer-within")
	ms, ok := number(within)
	called := user(m.uri)
	dest := -1.0
	if data := m.get("routing-data"); data != nil {
		d, told := field(data, "dest")
		ok = ok && (told || !hasField(data, "dest"))
		if told {
			dest = d
		}
	}
	if !ok || !hexID(m.callID) || len(class) == 0 || called == nil {
		k.f.count.Malformed++
		k.answer(reply(k.f.buf[:0], 400, m))
		return
	}
	id := string(m.callID)
	if k.open[id] != nil {
		return // a repeat of one that is being worked on
	}
	l := &leg{on: k, route: out(nil).route(m)}
	k.open[id] = l
	k.f.router.Arrive(l, router.Request{ID: id, Class: string(class), Tenant: string(m.get("charged-party")),
		Number: string(called), Description: m.body, Destination: int(dest), Retry: string(m.get("repeat-mark")) == "1",
		Deadline: k.heard + time.Duration(ms)*time.Millisecond - answerEarly})
}

func hasField(text []byte, name string) bool {
	for i := 0; i+len(name) < len(text); i++ {
		if string(text[i:i+len(name)]) == name && text[i+len(name)] == ':' {
			return true
		}
	}
	return false
}

// ---- router.Front ----

func (l *leg) final(id string, b out) {
	delete(l.on.open, id)
	l.on.f.count.Answers++
	l.on.answer(b)
}

func (l *leg) Stood(id string, description []byte) {
	l.final(id, append(response(l.on.f.buf[:0], 200), l.route...).body(description))
	l.route = nil
}

func (l *leg) Refused(id string, retryAfter time.Duration) {
	b := append(response(l.on.f.buf[:0], 503), l.route...)
	if retryAfter > 0 {
		b = b.headInt("Come-Back-Ms", int64((retryAfter+time.Millisecond-1)/time.Millisecond))
	}
	l.final(id, b.body(nil))
}

func (l *leg) Failed(id string, _ router.Failure) {
	l.final(id, append(response(l.on.f.buf[:0], 500), l.route...).body(nil))
}

func (l *leg) Released(id string, how threadglade.Outcome) { l.on.f.release(l.on, id, how) }

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

// behaviour is what a case server does with a set-up.
type behaviour struct {
	delay  time.Duration // until the answer; below 0: never
	status int           // 0: the call stands
	hold   time.Duration // from the answer to the server's release
}

// caseServer is a case server. It answers set-ups as plan says, holds calls, and releases them as the protocol page
// says: on the connection of the set-up, otherwise on any open one, and on the next one that is opened.
type caseServer struct {
	b        *bench
	id       string
	number   int
	address  string
	listener net.Listener
	plan     func(id string, m standin.Message) behaviour
	mu       sync.Mutex
	conns    []*wire
	calls    map[string]*serverCall
	releases []string // to be said again on the next connection
}

// serverCall is what the server knows of a call.
type serverCall struct {
	number     string
	arrivedAt  []time.Time // of its set-ups
	conn       *wire
	pending    bool
	attempt    int
	refusedAt  time.Time // 503 or 480 to the latest set-up
	answeredAt time.Time
	cancelled  bool
	releasedAt time.Time // by the server
	byeAt      time.Time // by the router
	acked      bool      // the router has acknowledged the server's release
}

// wire is a connection that several goroutines write to.
type wire struct {
	net.Conn
	mu     sync.Mutex
	closed bool
}

// send writes a message and reports whether that was possible.
func (w *wire) send(b []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	_, err := w.Write(b)
	return err == nil
}

// shut closes the connection.
func (w *wire) shut() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.Close()
}

// reportEvery has the server send its report on each open connection every so often.
func (s *caseServer) reportEvery(interval time.Duration) {
	for range time.Tick(interval) {
		s.mu.Lock()
		conns := slices.Clone(s.conns)
		s.mu.Unlock()
		for _, w := range conns {
			w.send(report())
		}
	}
}

// newCaseServer starts a case server.
func newCaseServer(b *bench, number int, plan func(string, standin.Message) behaviour) (*caseServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	s := &caseServer{b: b, id: fmt.Sprintf("s%d", number), number: number, address: l.Addr().String(), listener: l, plan: plan,
		calls: map[string]*serverCall{}}
	go s.accept()
	return s, nil
}

func (s *caseServer) addr() string { return s.address }

// entry returns the server's entry in the list.
func (s *caseServer) entry() standin.Entry {
	return standin.Entry{ID: s.id, Number: s.number, Addr: netip.MustParseAddrPort(s.addr()), Started: "0"}
}

// report returns a report of the server's state.
func report() []byte {
	return standin.Request("NOTIFY", "state", "0000000000000000", "", "Link-State",
		"idle:400;circuits:400;latency_ms:5;max_rate:200")
}

// accept serves each connection until the listener closes.
func (s *caseServer) accept() {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(&wire{Conn: raw})
	}
}

// serve serves a connection until it ends; the set-ups open on it are then given up.
func (s *caseServer) serve(w *wire) {
	w.send(report())
	s.mu.Lock()
	s.conns = append(s.conns, w)
	again := s.releases
	s.releases = nil
	s.mu.Unlock()
	for _, id := range again {
		w.send(standin.Request("BYE", id, id, "", "Reason", "Q.850;cause=16"))
	}
	r := bufio.NewReader(w)
	for {
		m, err := standin.ReadMessage(r)
		if err != nil {
			break
		}
		s.handle(w, m)
	}
	w.shut()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.conns {
		if other == w {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			break
		}
	}
	for id, c := range s.calls {
		if c.conn == w && c.pending {
			c.pending, c.cancelled = false, true
			s.b.note("%s: set-up of %s given up, its connection has closed", s.id, id)
		}
	}
}

// handle handles a message of the router.
func (s *caseServer) handle(w *wire, m standin.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := m.CallID()
	c := s.calls[id]
	switch {
	case m.Method() == "INVITE" && m.Status() == 0:
		if c == nil {
			c = &serverCall{number: m.User()}
			s.calls[id] = c
		}
		c.arrivedAt = append(c.arrivedAt, time.Now())
		s.b.note("%s: set-up of %s arrived, number %s, class %s", s.id, id, m.User(), m.Header["Call-Kind"])
		c.conn, c.pending, c.cancelled = w, true, false
		c.attempt++
		p, attempt := s.plan(id, m), c.attempt
		if p.delay >= 0 {
			time.AfterFunc(p.delay, func() { s.answer(id, attempt, p) })
		}
	case m.Method() == "CANCEL" && m.Status() == 0:
		s.b.note("%s: %s cancelled", s.id, id)
		w.send(standin.Response(200, "CANCEL", id, ""))
		if c != nil && c.pending {
			c.pending, c.cancelled = false, true
			w.send(standin.Response(487, "INVITE", id, ""))
		}
	case m.Method() == "BYE" && m.Status() == 0:
		s.b.note("%s: %s released by the router", s.id, id)
		w.send(standin.Response(200, "BYE", id, ""))
		if c != nil && !c.answeredAt.IsZero() && c.releasedAt.IsZero() && c.byeAt.IsZero() {
			c.byeAt = time.Now()
		}
	case m.Method() == "BYE":
		if c != nil && !c.acked {
			c.acked = true
			s.b.note("%s: release of %s acknowledged by the router", s.id, id)
		}
	case m.Method() == "OPTIONS" && m.Status() == 0:
		w.send(standin.Response(200, "OPTIONS", id, ""))
	}
}

// answer answers a set-up that has not been given up.
func (s *caseServer) answer(id string, attempt int, p behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls[id]
	if !c.pending || c.attempt != attempt {
		return
	}
	c.pending = false
	if p.status != 0 {
		if p.status == 503 || p.status == 480 {
			c.refusedAt = time.Now()
		}
		s.b.note("%s: %s answered with %d", s.id, id, p.status)
		c.conn.send(standin.Response(p.status, "INVITE", id, "", "Fail-Word", "swamped"))
		return
	}
	c.answeredAt = time.Now()
	s.b.note("%s: %s stands", s.id, id)
	c.conn.send(standin.Response(200, "INVITE", id, id+"\r\nc=IN IP4 127.0.0.1\r\n"))
	time.AfterFunc(p.hold, func() { s.end(id) })
}

// end releases a call that stands.
func (s *caseServer) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls[id]
	if !c.byeAt.IsZero() || !c.releasedAt.IsZero() {
		return
	}
	c.releasedAt = time.Now()
	s.b.note("%s: releases %s", s.id, id)
	s.releases = append(s.releases, id)
	bye := standin.Request("BYE", id, id, "", "Reason", "Q.850;cause=16")
	if c.conn.send(bye) {
		return
	}
	for _, w := range slices.Backward(s.conns) { // any open one: here the latest
		if w.send(bye) {
			return
		}
	}
}

// call returns a copy of what the server knows of a call; false if it never saw it.
func (s *caseServer) call(id string) (serverCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[id]; c != nil {
		return *c, true
	}
	return serverCall{}, false
}

// closeConns closes the open connections.
func (s *caseServer) closeConns() {
	s.mu.Lock()
	conns := append([]*wire(nil), s.conns...)
	s.mu.Unlock()
	for _, w := range conns {
		w.shut()
	}
}

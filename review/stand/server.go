package stand

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

// agents is how many lines a case server has; calls never run short of them in a case.
const agents = 1000

// Server is a stand-in for a case server. It answers every set-up after AnswerDelay and keeps the call until EndCall, or
// a release by the call router. It reports its state once a second on every open connection, and first of all on each
// new one.
type Server struct {
	ID          string
	Number      int
	AnswerDelay time.Duration
	Hold        time.Duration // after its answer a call comes to its end by itself; 0: only by EndCall
	rec         *Record
	listener    net.Listener
	mu          sync.Mutex
	random      *rand.Rand
	conns       []*Conn // open ones, oldest first
	calls       map[string]*ServerCall
	retell      map[string]bool // releases that also go out on the next connection that is opened
	closed      bool
}

// ServerCall is what a case server knows of a call.
type ServerCall struct {
	InviteAt   []time.Time // when set-ups arrived
	conn       *Conn
	open       bool      // the set-up is unanswered
	Stands     bool      // answered, and not ended
	EndedAt    time.Time // when the server ended it; zero: it did not
	ReleasedAt time.Time // when the call router released it; zero: it did not
}

// NewServer starts a case server on a free port.
func NewServer(rec *Record, id string, number int, answerDelay time.Duration) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return StartServer(rec, id, number, answerDelay, l), nil
}

// StartServer starts a case server on a listener.
func StartServer(rec *Record, id string, number int, answerDelay time.Duration, l net.Listener) *Server {
	s := &Server{ID: id, Number: number, AnswerDelay: answerDelay, rec: rec, listener: l,
		random: rand.New(rand.NewPCG(uint64(number), 37)), calls: map[string]*ServerCall{}, retell: map[string]bool{}}
	go s.accept(l)
	go s.report()
	return s
}

// Entry is the server's entry in the list of case servers.
func (s *Server) Entry() standin.Entry {
	return standin.Entry{ID: s.ID, Number: s.Number, Addr: netip.MustParseAddrPort(s.listener.Addr().String())}
}

// Close ends the server.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	conns := append([]*Conn(nil), s.conns...)
	s.mu.Unlock()
	for _, conn := range conns {
		conn.End(false)
	}
}

// Conns returns the open connections, oldest first.
func (s *Server) Conns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Conn(nil), s.conns...)
}

// Calls returns copies of all calls.
func (s *Server) Calls() map[string]ServerCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	copies := map[string]ServerCall{}
	for id, call := range s.calls {
		copies[id] = *call
	}
	return copies
}

func (s *Server) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		s.adopt(raw)
	}
}

// adopt serves an accepted connection of a router.
func (s *Server) adopt(raw net.Conn) {
	conn := &Conn{Conn: raw}
	s.mu.Lock()
	s.rec.Printf("%s connection from %s opened", s.ID, raw.RemoteAddr())
	conn.Send(s.state())
	for id := range s.retell { // a release also goes out on the next connection that is opened
		delete(s.retell, id)
		s.rec.Printf("%s BYE %s again, on the new connection %s", s.ID, id, raw.RemoteAddr())
		conn.Send(bye(id))
	}
	s.conns = append(s.conns, conn)
	s.mu.Unlock()
	go s.serve(conn)
}

func (s *Server) state() []byte {
	return standin.Request("NOTIFY", "state", "0000000000000000", "", "Link-State",
		fmt.Sprintf("x0:%d;x1:%d", agents-len(s.calls)%agents, agents))
}

func (s *Server) report() {
	for range time.Tick(time.Second) {
		if !s.Report() {
			return
		}
	}
}

// Report sends the server's state on all open connections. It returns false if the server has been closed.
func (s *Server) Report() bool {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return false
	}
	state, conns := s.state(), append([]*Conn(nil), s.conns...)
	s.mu.Unlock()
	for _, conn := range conns {
		conn.Send(state)
	}
	return true
}

func (s *Server) serve(conn *Conn) {
	r := bufio.NewReader(conn)
	for {
		m, err := standin.ReadMessage(r)
		if err != nil {
			break
		}
		s.handle(conn, m)
	}
	conn.End(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.Printf("%s connection from %s ended", s.ID, conn.RemoteAddr())
	for i, other := range s.conns {
		if other == conn {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			break
		}
	}
	for _, call := range s.calls { // the set-ups open on it are given up
		if call.conn == conn {
			call.open = false
		}
	}
}

func bye(id string) []byte {
	return standin.Request("BYE", id, id, "", "Reason", "Q.850;cause=16")
}

func (s *Server) handle(conn *Conn, m standin.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := m.CallID()
	call := s.calls[id]
	switch {
	case m.Status() != 0:
	case m.Method() == "INVITE":
		s.rec.Printf("%s INVITE %s on %s", s.ID, id, conn.RemoteAddr())
		if call == nil {
			call = &ServerCall{}
			s.calls[id] = call
		}
		call.InviteAt = append(call.InviteAt, time.Now())
		call.conn, call.open = conn, true
		time.AfterFunc(s.AnswerDelay, func() { s.answer(id, conn) })
	case m.Method() == "CANCEL":
		s.rec.Printf("%s CANCEL %s", s.ID, id)
		if call != nil && call.open {
			call.open = false
			conn.Send(standin.Response(487, "INVITE", id, ""))
		}
	case m.Method() == "BYE":
		conn.Send(standin.Response(200, "BYE", id, ""))
		if call != nil && call.Stands {
			s.rec.Printf("%s BYE %s from the router", s.ID, id)
			call.Stands, call.ReleasedAt = false, time.Now()
		}
	}
}

func (s *Server) answer(id string, conn *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call := s.calls[id]; !s.closed && call.open && call.conn == conn {
		call.open = false
		s.rec.Printf("%s answers %s", s.ID, id)
		call.Stands = true
		if s.Hold > 0 {
			time.AfterFunc(s.Hold, func() { s.EndCall(id) })
		}
		conn.Send(standin.Response(200, "INVITE", id, id+"\r\nc=IN IP4 127.0.0.9\r\n"))
	}
}

// EndCall ends a call that stands: its release goes out on its set-up's connection, otherwise on any open one, chosen at
// random, and also on the next one that is opened. It returns false if the call doesn't stand here.
func (s *Server) EndCall(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.calls[id]
	if call == nil || !call.Stands {
		return false
	}
	call.Stands, call.EndedAt = false, time.Now()
	s.retell[id] = true
	if call.conn.Send(bye(id)) {
		s.rec.Printf("%s BYE %s on its set-up's connection %s", s.ID, id, call.conn.RemoteAddr())
		return true
	}
	for _, i := range s.random.Perm(len(s.conns)) {
		if s.conns[i].Send(bye(id)) {
			s.rec.Printf("%s BYE %s on the open connection %s (%d open)", s.ID, id, s.conns[i].RemoteAddr(), len(s.conns))
			break
		}
	}
	return true
}

package standin

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// hungAnswerDelay is the answer delay of a hung case server, far beyond the time after which its router gives up.
const hungAnswerDelay = time.Hour

// ServerConfig configures a case server.
type ServerConfig struct {
	ID          string
	Number      int
	Seed        uint64
	AnswerDelay [2]time.Duration // minimum and maximum delay of an answer
	HoldTime    [2]time.Duration // minimum and maximum duration of a call
	RejectShare float64          // share of set-ups that are rejected for overload
	CutShare    float64          // share of established calls whose release has cause 41 (cut) instead of 16
	FreeAgents  int              // free agents that it reports; 0: 1000
}

// CallRecord is what a case server has seen of one call.
type CallRecord struct {
	Received         int  // set-ups received
	Rejected         int  // set-ups rejected for overload
	Abandoned        bool // by a CANCEL, or because its connection closed
	Answered         bool
	Released         bool      // the established call has ended
	ReleasedByCaller bool      // released from the router's side
	Cut              bool      // released with cause 41 instead of 16
	ReleaseAckedAt   time.Time // when the router answered its release; zero: not yet
	Class            string
	Number           string
	HoldTime         time.Duration // from the answer to the release
	FirstInviteAt    time.Time     // when its first set-up was received
	EndedAt          time.Time     // when it last ended here, whatever the outcome; zero: it has not
	ReleasesSent     []SentRelease // in the order of their sending, at most maxReleasesSent
}

// maxReleasesSent is how many releases of a call a case server keeps details of.
const maxReleasesSent = 16

// SentRelease is a release that a case server has sent on a connection. It reached nobody if the connection had ended.
type SentRelease struct {
	At           time.Time
	ConnOpenedAt time.Time
	ConnEndedAt  time.Time // zero: it has not
}

// Server is a case server that keeps a record of every call. Its methods may be called from several goroutines.
type Server struct {
	cfg         ServerConfig
	listener    net.Listener
	mu          sync.Mutex
	random      *rand.Rand
	conns       map[*lockedConn]bool
	calls       map[string]*callState
	unacked     []release // releases that the router has not acknowledged, and recent ones that it has
	closed      bool
	hang        bool
	delayFactor float64
	counts      ServerCounts
	violations  []Violation // the first maxViolations
}

// maxViolations is how many violations a case server keeps details of.
const maxViolations = 16

// Violation is a set-up of a call that was pending or established at the case server.
type Violation struct {
	Call       string
	At         time.Time
	ReceivedAt time.Time // when the set-up before it was received
	AnsweredAt time.Time // when that was answered; zero: it is pending
	ReleasedAt time.Time // when the call it established was released by the case server; zero: it stands
	SameConn   bool      // both came on the same connection
}

// ServerCounts are totals over all calls of a case server.
type ServerCounts struct {
	Accepted   int // connections
	Received   int // set-ups
	Rejected   int // set-ups rejected for overload
	Answered   int // calls established
	Withdrawn  int // set-ups withdrawn by a CANCEL or the end of their connection
	Released   int // established calls that ended
	Violations int // protocol violations: set-ups of a call that is pending or established
}

// callState is the record of a call, with the connection of its latest set-up and the timer of its answer or release.
type callState struct {
	CallRecord
	conn       *lockedConn
	receivedAt time.Time // of its latest set-up
	answeredAt time.Time
	timer      *time.Timer
	sentOn     []*lockedConn // of each of ReleasesSent
}

// release is the release of a call, which the router must acknowledge.
type release struct {
	call   string
	cause  int
	sentAt time.Time
	acked  bool
}

// NewServer starts a case server on loopback that runs until Close.
func NewServer(cfg ServerConfig) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if cfg.FreeAgents == 0 {
		cfg.FreeAgents = 1000
	}
	s := &Server{
		cfg:      cfg,
		listener: l,
		random:   rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Number))),
		conns:    map[*lockedConn]bool{},
		calls:    map[string]*callState{},
	}
	go s.accept()
	return s, nil
}

// Entry returns the server's entry in the list of the name service.
func (s *Server) Entry() Entry {
	return Entry{ID: s.cfg.ID, Number: s.cfg.Number, Addr: netip.MustParseAddrPort(s.listener.Addr().String())}
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	for _, c := range s.calls {
		if c.timer != nil {
			c.timer.Stop()
		}
	}
}

// Behaviour is the part of a case server's behaviour that can change at run time.
type Behaviour struct {
	Hang        bool    // accept set-ups and answer none
	DelayFactor float64 // factor on the answer delay; 0: 1
	RejectShare float64 // share of set-ups that are rejected for overload
}

// SetBehaviour changes the behaviour for new set-ups. Set-ups that a hung server left unanswered stay unanswered.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hang, s.delayFactor, s.cfg.RejectShare = b.Hang, b.DelayFactor, b.RejectShare
}

// Counts returns the totals so far.
func (s *Server) Counts() ServerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Violations returns details of the first protocol violations.
func (s *Server) Violations() []Violation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// recordViolation counts a set-up of a call that is pending or established, and keeps its details.
func (s *Server) recordViolation(id string, c *callState, conn *lockedConn) {
	s.counts.Violations++
	if len(s.violations) == maxViolations {
		return
	}
	violation := Violation{Call: id, At: time.Now(), ReceivedAt: c.receivedAt, SameConn: c.conn == conn}
	if c.Answered {
		violation.AnsweredAt = c.answeredAt
	}
	if c.Released {
		violation.ReleasedAt = c.EndedAt
	}
	s.violations = append(s.violations, violation)
}

// Calls returns a copy of the record of every call, by Call-ID.
func (s *Server) Calls() map[string]CallRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]CallRecord, len(s.calls))
	for id, c := range s.calls {
		record := c.CallRecord
		record.ReleasesSent = slices.Clone(record.ReleasesSent)
		for i, conn := range c.sentOn {
			record.ReleasesSent[i].ConnOpenedAt, record.ReleasesSent[i].ConnEndedAt = conn.lifetime()
		}
		m[id] = record
	}
	return m
}

// ActiveCalls returns the number of established calls and the number of releases that the router has not acknowledged.
func (s *Server) ActiveCalls() (established, unacked int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		if c.Answered && !c.Released {
			established++
		}
	}
	for _, bye := range s.unacked {
		if !bye.acked {
			unacked++
		}
	}
	return established, unacked
}

// accept serves each new connection, which starts with a state report and the unacknowledged releases.
func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		conn := &lockedConn{Conn: raw, openedAt: time.Now()}
		s.mu.Lock()
		s.conns[conn] = true
		s.counts.Accepted++
		unacked := s.unacked
		s.unacked = nil
		s.mu.Unlock()
		conn.send(Request("NOTIFY", "state", "0000000000000000", "", "Link-State",
			fmt.Sprintf("x0:%d;x1:%d", s.cfg.FreeAgents, s.cfg.FreeAgents)))
		// A recent release is sent again on the next connection, even if it was acknowledged on another.
		for _, bye := range unacked {
			sent := conn.send(encodeBye(bye))
			s.mu.Lock()
			if sent {
				s.recordRelease(bye.call, conn)
			}
			if !bye.acked {
				s.unacked = append(s.unacked, bye)
			}
			s.mu.Unlock()
		}
		go s.serve(conn)
	}
}

// recordRelease records that a release was sent on a connection.
func (s *Server) recordRelease(id string, conn *lockedConn) {
	if c := s.calls[id]; c != nil && len(c.sentOn) < maxReleasesSent {
		c.ReleasesSent = append(c.ReleasesSent, SentRelease{At: time.Now()})
		c.sentOn = append(c.sentOn, conn)
	}
}

// encodeBye encodes the BYE of a release.
func encodeBye(bye release) []byte {
	return Request("BYE", bye.call, bye.call, "", "Reason", fmt.Sprintf("Q.850;cause=%d", bye.cause))
}

// serve handles the messages of a connection until it ends, and withdraws the set-ups pending on it.
func (s *Server) serve(conn *lockedConn) {
	r := bufio.NewReader(conn)
	for {
		m, err := ReadMessage(r)
		if err != nil {
			break
		}
		s.handle(conn, m)
	}
	conn.Close()
	conn.ended()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	for _, c := range s.calls {
		if c.conn == conn && !c.Answered && !c.Abandoned && c.timer != nil {
			c.abandon(s)
		}
	}
}

// abandon withdraws a pending set-up.
func (c *callState) abandon(s *Server) {
	c.Abandoned, c.EndedAt = true, time.Now()
	c.timer.Stop()
	s.counts.Withdrawn++
}

// randomBetween returns a random duration between the bounds of span.
func (s *Server) randomBetween(span [2]time.Duration) time.Duration {
	if span[1] <= span[0] {
		return span[0]
	}
	return span[0] + time.Duration(s.random.Int64N(int64(span[1]-span[0])))
}

// handle processes one message from the router.
func (s *Server) handle(conn *lockedConn, m Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := m.CallID()
	switch {
	case m.Method() == "INVITE" && m.Status() == 0:
		c := s.calls[id]
		if c == nil {
			c = &callState{}
			c.FirstInviteAt = time.Now()
			s.calls[id] = c
		}
		if c.Answered && c.Released && c.ReleasedByCaller { // the answer crossed a CANCEL, and the router released the call
			c.Answered, c.Released, c.ReleasedByCaller, c.timer = false, false, false, nil
		}
		if c.Answered || c.timer != nil && !c.Abandoned {
			s.recordViolation(id, c, conn)
			return
		}
		s.counts.Received++
		c.receivedAt = time.Now()
		c.Received++
		c.conn, c.Class, c.Number, c.Abandoned, c.timer = conn, m.Header["Call-Kind"], m.User(), false, nil
		if s.random.Float64() < s.cfg.RejectShare {
			s.counts.Rejected++
			c.Rejected++
			c.EndedAt = time.Now()
			conn.send(Response(503, "INVITE", id, "", "Fail-Word", "swamped"))
			return
		}
		delay := s.randomBetween(s.cfg.AnswerDelay)
		if s.delayFactor > 0 {
			delay = time.Duration(float64(delay) * s.delayFactor)
		}
		if s.hang {
			delay = hungAnswerDelay
		}
		c.timer = time.AfterFunc(delay, func() { s.answer(id, c) })
	case m.Method() == "CANCEL":
		if c := s.calls[id]; c != nil && c.timer != nil && !c.Answered && !c.Abandoned {
			c.abandon(s)
			conn.send(Response(487, "INVITE", id, ""))
		}
	case m.Method() == "BYE" && m.Status() == 0:
		conn.send(Response(200, "BYE", id, ""))
		if c := s.calls[id]; c != nil && c.Answered && !c.Released {
			c.timer.Stop()
			c.Released, c.ReleasedByCaller, c.HoldTime, c.EndedAt = true, true, time.Since(c.answeredAt), time.Now()
			s.counts.Released++
		}
	case m.Method() == "BYE":
		if c := s.calls[id]; c != nil && c.Released && !c.ReleasedByCaller && c.ReleaseAckedAt.IsZero() {
			c.ReleaseAckedAt = time.Now()
		}
		for i := range s.unacked {
			if s.unacked[i].call == id {
				s.unacked[i].acked = true
			}
		}
		for len(s.unacked) > 0 && s.unacked[0].acked && time.Since(s.unacked[0].sentAt) > time.Second {
			s.unacked = s.unacked[1:]
		}
	}
}

// answer establishes a call.
func (s *Server) answer(id string, c *callState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || c.Abandoned || c.Answered {
		return
	}
	c.Answered, c.answeredAt = true, time.Now()
	s.counts.Answered++
	c.conn.send(Response(200, "INVITE", id, id+"\r\nc=IN IP4 10.0.0.1\r\n"))
	c.timer = time.AfterFunc(s.randomBetween(s.cfg.HoldTime), func() { s.end(id, c) })
}

// end releases a call: on the connection of its set-up, or else on any open one, and again on the next one opened.
func (s *Server) end(id string, c *callState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || c.Released {
		return
	}
	c.Released, c.Cut, c.HoldTime, c.EndedAt = true, s.random.Float64() < s.cfg.CutShare,
		time.Since(c.answeredAt), time.Now()
	s.counts.Released++
	bye := release{id, 16, time.Now(), false}
	if c.Cut {
		bye.cause = 41
	}
	s.unacked = append(s.unacked, bye)
	if s.conns[c.conn] && c.conn.send(encodeBye(bye)) {
		s.recordRelease(id, c.conn)
		return
	}
	for conn := range s.conns { // sending fails on a connection that was just closed but is still in the map
		if conn.send(encodeBye(bye)) {
			s.recordRelease(id, conn)
			return
		}
	}
}

package stand

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

// Caller is a stand-in for callers on one connection at a time. It opens a new connection when one has ended. It never
// closes a connection itself.
type Caller struct {
	Name   string
	Target string
	rec    *Record
	mu     sync.Mutex
	conn   *Conn // nil while there is none
	calls  map[string]*Call
	away   bool
	closed bool
}

// Call is what a caller knows of a call.
type Call struct {
	ID         string
	SentAt     time.Time
	conn       *Conn
	AnsweredAt time.Time // zero: not yet
	Status     int       // of the final answer
	Answers    int       // final answers
	Lost       bool      // its connection ended before an answer
	ReleasedAt time.Time // first release from the router; zero: none
	Releases   int
	HungUpAt   time.Time // when the caller sent its own release; zero: it did not
	HeardAt    time.Time // when that release was answered
}

// NewCaller returns a caller that keeps one connection to the target open, and opens another when it has ended.
func NewCaller(rec *Record, name, target string) *Caller {
	c := &Caller{Name: name, Target: target, rec: rec, calls: map[string]*Call{}}
	go func() {
		for !c.isClosed() {
			if !c.isAway() && !c.Connected() {
				c.Connect()
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return c
}

func (c *Caller) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// StayAway sets whether the caller opens no new connection. One that is open stays open.
func (c *Caller) StayAway(away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = away
}

func (c *Caller) isAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.away
}

// Connected reports whether a connection is open.
func (c *Caller) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// Connect opens a connection.
func (c *Caller) Connect() bool {
	raw, err := net.DialTimeout("tcp4", c.Target, time.Second)
	if err != nil {
		return false
	}
	conn := &Conn{Conn: raw}
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	c.rec.Printf("%s connected from %s", c.Name, raw.LocalAddr())
	go c.read(conn)
	return true
}

// Disconnect closes the connection, if any.
func (c *Caller) Disconnect() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		c.rec.Printf("%s closes its connection %s", c.Name, conn.LocalAddr())
		conn.End(false)
	}
}

// Close ends the caller.
func (c *Caller) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Disconnect()
}

// Place sends a set-up. It returns false if no connection is open.
func (c *Caller) Place(id, class string, within time.Duration, destination int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return false
	}
	c.calls[id] = &Call{ID: id, SentAt: time.Now(), conn: c.conn}
	c.rec.Printf("%s INVITE %s class %s dest %d", c.Name, id, class, destination)
	return c.conn.Send(standin.Request("INVITE", "n"+id, id, id+"\r\nc=IN IP4 127.0.0.8\r\n", "Call-Kind", class,
		"Answer-Within", strconv.FormatInt(within.Milliseconds(), 10),
		"Routing-Data", fmt.Sprintf("dest:%d;width:1;via:-1", destination)))
}

// HangUp releases a call that stands, on the connection that is open now. It returns false if there is none.
func (c *Caller) HangUp(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[id]
	if c.conn == nil || call == nil {
		return false
	}
	if !c.conn.Send(standin.Request("BYE", id, id, "", "Reason", "Q.850;cause=16")) {
		return false
	}
	call.HungUpAt = time.Now()
	c.rec.Printf("%s BYE %s", c.Name, id)
	return true
}

// Calls returns copies of all calls.
func (c *Caller) Calls() map[string]Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	copies := map[string]Call{}
	for id, call := range c.calls {
		copies[id] = *call
	}
	return copies
}

func (c *Caller) read(conn *Conn) {
	r := bufio.NewReader(conn)
	for {
		m, err := standin.ReadMessage(r)
		if err != nil {
			break
		}
		c.handle(conn, m)
	}
	conn.End(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	for id, call := range c.calls {
		if call.conn == conn && call.Answers == 0 && !call.Lost {
			call.Lost = true
			c.rec.Printf("%s %s lost: its connection ended without an answer", c.Name, id)
		}
	}
	c.rec.Printf("%s connection %s ended", c.Name, conn.LocalAddr())
}

func (c *Caller) handle(conn *Conn, m standin.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := m.CallID()
	call := c.calls[id]
	switch {
	case m.Method() == "INVITE" && m.Status() >= 200:
		conn.Send(standin.Request("ACK", id, id, ""))
		c.rec.Printf("%s %s answered with %d", c.Name, id, m.Status())
		if call != nil {
			call.Answers++
			if call.Answers == 1 {
				call.AnsweredAt, call.Status = time.Now(), m.Status()
			}
		}
	case m.Method() == "BYE" && m.Status() == 0:
		conn.Send(standin.Response(200, "BYE", id, ""))
		c.rec.Printf("%s BYE %s from the router on %s (own call: %v)", c.Name, id, conn.LocalAddr(), call != nil)
		if call != nil {
			if call.Releases++; call.Releases == 1 {
				call.ReleasedAt = time.Now()
			}
		}
	case m.Method() == "BYE" && call != nil:
		call.HeardAt = time.Now()
		c.rec.Printf("%s BYE %s answered with %d", c.Name, id, m.Status())
	}
}

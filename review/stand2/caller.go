package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

// callers are the callers of one router: one connection, opened again when it has closed.
type callers struct {
	b      *bench
	target string
	mu     sync.Mutex
	conn   *wire
	calls  map[string]*callerCall
	order  []string
	onEnd  func(id string, status int) // after a final answer; may be nil
}

// callerCall is what a caller knows of its call.
type callerCall struct {
	number, class string
	sentAt        time.Time
	within        time.Duration
	answeredAt    time.Time
	status        int
	answers       int
	endedAt       time.Time // released by the router
	hungUpAt      time.Time // released by the caller
	heardAt       time.Time // the router answered the caller's release with 200
	lost          bool      // its connection ended before the answer
}

// newCallers returns callers of a router.
func newCallers(b *bench, target string) *callers {
	return &callers{b: b, target: target, calls: map[string]*callerCall{}}
}

// newID returns a new Call-ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// connect opens the connection unless it is open, and passes the test first, as the front does.
func (c *callers) connect() (*wire, error) {
	if c.conn != nil {
		return c.conn, nil
	}
	raw, err := net.DialTimeout("tcp4", c.target, time.Second)
	if err != nil {
		return nil, err
	}
	c.conn = &wire{Conn: raw}
	go c.read(c.conn)
	return c.conn, nil
}

// invite sends a set-up.
func (c *callers) invite(class, number string, dest int, within time.Duration, headers ...string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, err := c.connect()
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNotRun, err)
	}
	id := newID()
	c.calls[id] = &callerCall{number: number, class: class, sentAt: time.Now(), within: within}
	c.order = append(c.order, id)
	c.b.note("caller: set-up %s sent, number %s, class %s, first choice %d, answer within %v", id, number, class, dest, within)
	headers = append([]string{"Call-Kind", class, "Answer-Within", strconv.Itoa(int(within.Milliseconds())),
		"Routing-Data", fmt.Sprintf("dest:%d;width:1;via:-1", dest)}, headers...)
	w.send(standin.Request("INVITE", number, id, id+"\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", headers...))
	return id, nil
}

// hangUp releases a call that stands.
func (c *callers) hangUp(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[id]
	w, err := c.connect()
	if err != nil || call.status != 200 || !call.endedAt.IsZero() {
		return
	}
	c.b.note("caller: releases %s", id)
	call.hungUpAt = time.Now()
	w.send(standin.Request("BYE", id, id, "", "Reason", "Q.850;cause=16"))
}

// read handles what the router sends.
func (c *callers) read(w *wire) {
	r := bufio.NewReader(w)
	for {
		m, err := standin.ReadMessage(r)
		if err != nil {
			break
		}
		c.handle(w, m)
	}
	w.shut()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == w {
		c.conn = nil
	}
	for id, call := range c.calls {
		if call.status == 0 && !call.lost {
			call.lost = true
			c.b.note("caller: connection ended, %s unanswered", id)
		}
	}
}

// handle handles a message of the router.
func (c *callers) handle(w *wire, m standin.Message) {
	id := m.CallID()
	c.mu.Lock()
	call := c.calls[id]
	var ended func()
	switch {
	case m.Status() >= 200 && m.Method() == "INVITE" && call != nil:
		call.answers++
		w.send(standin.Request("ACK", id, id, ""))
		c.b.note("caller: %s answered with %d", id, m.Status())
		if call.status == 0 {
			call.status, call.answeredAt = m.Status(), time.Now()
			if c.onEnd != nil {
				ended = func() { c.onEnd(id, m.Status()) }
			}
		}
	case m.Status() == 200 && m.Method() == "BYE" && call != nil:
		c.b.note("caller: release of %s answered with 200", id)
		call.heardAt = time.Now()
	case m.Status() == 0 && m.Method() == "BYE":
		w.send(standin.Response(200, "BYE", id, ""))
		c.b.note("caller: %s released by the router", id)
		if call != nil && call.endedAt.IsZero() {
			call.endedAt = time.Now()
		}
	}
	c.mu.Unlock()
	if ended != nil {
		ended()
	}
}

// call returns a copy of what is known of a call.
func (c *callers) call(id string) callerCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.calls[id]
}

// ids returns the calls in the order of their set-ups.
func (c *callers) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.order...)
}

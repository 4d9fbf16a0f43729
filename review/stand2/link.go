package main

import (
	"net"
	"sync"

	"threadglade.example/threadglade/internal/standin"
)

// cuttable is a proxy in front of an address that can be cut off: what is sent then arrives nowhere, and connections
// stay open and silent.
type cuttable struct {
	addr, target string
	mu           sync.Mutex
	isCut        bool
	conns        map[net.Conn]bool
}

// newCuttable starts a proxy.
func newCuttable(target string) (*cuttable, error) {
	c := &cuttable{addr: standin.FreeAddr(), target: target, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp4", c.addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

// setCut cuts the proxy off, or heals it: the connections of before then end.
func (c *cuttable) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCut = cut; !cut {
		for conn := range c.conns {
			conn.Close()
		}
	}
}

// add adds a connection.
func (c *cuttable) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = true
}

// drops reports whether what is sent is lost.
func (c *cuttable) drops() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCut
}

// serve passes a connection on.
func (c *cuttable) serve(near net.Conn) {
	c.add(near)
	if c.drops() {
		return // it stays open and silent until the proxy heals
	}
	far, err := net.Dial("tcp4", c.target)
	if err != nil {
		near.Close()
		return
	}
	c.add(far)
	pass := func(from, to net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if c.drops() {
				return // also an end does not get through
			}
			if n > 0 {
				to.Write(buf[:n])
			}
			if err != nil {
				from.Close()
				to.Close()
				return
			}
		}
	}
	go pass(near, far)
	pass(far, near)
}

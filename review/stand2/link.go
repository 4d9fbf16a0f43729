package main

import (
	"net"
	"sync"

	"threadglade.example/threadglade/internal/standin"
)

// path is a proxy in front of an address whose connections can fall silent: they stay open, and nothing passes.
type path struct {
	addr, target string
	mu           sync.Mutex
	conns        []net.Conn // kept, so that silent ones stay open
	accepted     int        // connections so far
	frozen       int        // of these, silent ones: the first so many
}

// newPath starts a proxy.
func newPath(target string) (*path, error) {
	p := &path{addr: standin.FreeAddr(), target: target}
	l, err := net.Listen("tcp4", p.addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			if far, err := net.Dial("tcp4", p.target); err != nil {
				near.Close()
			} else {
				p.pass(near, far)
			}
		}
	}()
	return p, nil
}

// freeze has the connections of now fall silent. Later ones pass.
func (p *path) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = p.accepted
}

// isFrozen reports whether a connection is silent.
func (p *path) isFrozen(number int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return number <= p.frozen
}

// pass passes on what comes on a connection until it ends or falls silent.
func (p *path) pass(near, far net.Conn) {
	p.mu.Lock()
	p.accepted++
	number := p.accepted
	p.conns = append(p.conns, near, far)
	p.mu.Unlock()
	oneWay := func(from, to net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if p.isFrozen(number) {
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
	go oneWay(near, far)
	go oneWay(far, near)
}

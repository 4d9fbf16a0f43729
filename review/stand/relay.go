package stand

import (
	"io"
	"net"
	"sync"
)

// Relay is a proxy before a listener whose path can be cut off.
type Relay struct {
	rec    *Record
	target string
	l      *Gate
	mu     sync.Mutex
	cond   *sync.Cond
	cut    bool
	conns  []net.Conn
}

// NewRelay starts a relay to an address.
func NewRelay(rec *Record, target string) (*Relay, error) {
	l, err := NewGate()
	if err != nil {
		return nil, err
	}
	r := &Relay{rec: rec, target: target, l: l}
	r.cond = sync.NewCond(&r.mu)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r, nil
}

// Addr returns the relay's address.
func (r *Relay) Addr() string { return r.l.Addr().String() }

func (r *Relay) serve(conn net.Conn) {
	far, err := net.Dial("tcp4", r.target)
	if err != nil {
		conn.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, conn, far)
	r.mu.Unlock()
	pass := func(to, from net.Conn) {
		b := make([]byte, 16<<10)
		for {
			n, err := from.Read(b)
			r.mu.Lock()
			for r.cut { // what comes meanwhile gets no further
				r.cond.Wait()
			}
			r.mu.Unlock()
			if n > 0 {
				if _, err := to.Write(b[:n]); err != nil {
					break
				}
			}
			if err == io.EOF {
				to.(*net.TCPConn).CloseWrite()
				break
			}
			if err != nil { // a reset goes on as one
				to.(*net.TCPConn).SetLinger(0)
				to.Close()
				break
			}
		}
	}
	done := make(chan bool)
	go func() {
		pass(conn, far)
		close(done)
	}()
	pass(far, conn)
	<-done
	conn.Close()
	far.Close()
}

// Cut cuts the path off: connections stay open and silent, and new ones don't come up.
func (r *Relay) Cut() error {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.rec.Printf("relay to %s: the path is cut off", r.target)
	return r.l.Hold()
}

// Heal ends a cut: what was held back goes on, and new connections come up.
func (r *Relay) Heal() {
	r.mu.Lock()
	r.cut = false
	r.cond.Broadcast()
	r.mu.Unlock()
	r.l.Release()
	r.rec.Printf("relay to %s: the path is whole again", r.target)
}

// reset ends a cut and resets the connections of before.
func (r *Relay) reset() {
	r.mu.Lock()
	conns := r.conns
	r.conns = nil
	r.mu.Unlock()
	for _, conn := range conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	r.Heal()
}

// Close ends the relay.
func (r *Relay) Close() {
	r.l.Close()
	r.reset()
}

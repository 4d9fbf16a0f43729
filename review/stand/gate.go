package stand

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Gate is a listener whose new connections can be made to come up late, or not at all. While it is held its backlog is
// full, so that the system answers no connection request.
type Gate struct {
	*net.TCPListener
	mu      sync.Mutex
	holding bool
	fillers []net.Conn
	names   map[string]bool // addresses of the fillers
}

// NewGate listens on a free port.
func NewGate() (*Gate, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Gate{TCPListener: l.(*net.TCPListener), names: map[string]bool{}}, nil
}

// setBacklog changes the length of the listener's backlog.
func (g *Gate) setBacklog(n int) error {
	raw, err := g.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	if err := raw.Control(func(fd uintptr) { result = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return result
}

// Accept implements net.Listener. It accepts nothing while the gate is held.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		holding := g.holding
		g.mu.Unlock()
		if holding {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		g.SetDeadline(time.Now().Add(5 * time.Millisecond)) // so that it can be held at any time
		conn, err := g.TCPListener.Accept()
		if e, ok := err.(net.Error); ok && e.Timeout() {
			continue
		}
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		filler := g.names[conn.RemoteAddr().String()]
		g.mu.Unlock()
		if filler {
			conn.Close()
			continue
		}
		return conn, nil
	}
}

// Hold fills the backlog. It returns an error if new connections still come up.
func (g *Gate) Hold() error {
	g.mu.Lock()
	g.holding = true
	g.mu.Unlock()
	time.Sleep(15 * time.Millisecond) // the accept in progress ends
	if err := g.setBacklog(0); err != nil {
		return err
	}
	for range 8 {
		conn, err := net.DialTimeout("tcp4", g.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return nil // the system lets no more in
		}
		g.mu.Lock()
		g.names[conn.LocalAddr().String()] = true
		g.fillers = append(g.fillers, conn)
		g.mu.Unlock()
	}
	return fmt.Errorf("connections to %s still come up", g.Addr())
}

// Release has new connections come up again.
func (g *Gate) Release() {
	for _, conn := range g.fillers {
		conn.Close()
	}
	g.fillers = nil
	g.setBacklog(128)
	g.mu.Lock()
	g.holding = false
	g.mu.Unlock()
}

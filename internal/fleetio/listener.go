package fleetio

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// This file bounds what the connections to the address of a keeper or a router can hold before and after their first
// hello. Links carry no proof of who sends on them, so whoever reaches the address can open connections. It must never
// refuse or close a connection of one kind because of others of another kind.

const (
	// maxUnknownConns is the number of connections without an accepted hello that are open at a time.
	maxUnknownConns = 64
	// maxOperatorConns is the number of connections of operators that are open at a time.
	maxOperatorConns = 16
	// maxConnsPerName is the number of connections of one keeper or router that are open at a time: one for each purpose
	// of its links, and one more for the process that replaces it.
	maxConnsPerName = 6
	// acceptRate is the number of connections accepted per second, and acceptBurst how many at once: each takes some
	// of the processor that calls need, also if it is closed at once.
	acceptRate  = 1000
	acceptBurst = 128
	// maxHelloBytes is what a connection may send up to its accepted hello.
	maxHelloBytes = 64 << 10
	// maxOperatorBytes is what a connection of an operator may send in all: the largest fact and several inquiries.
	maxOperatorBytes = 1 << 20
)

// errTooMuchData ends a connection that sends more than it may.
var errTooMuchData = errors.New("more data than a connection of its kind may send")

// connKind is what is known of the process at the other end of a connection.
type connKind string

const (
	unknownConn  connKind = "unknown"  // it has sent no hello that was accepted
	operatorConn connKind = "operator" // its hello was accepted and has no name
	memberConn   connKind = "member"   // its hello was accepted and names a keeper or a router
)

// connGroup is the connections of one kind, and for members of one process.
type connGroup struct {
	kind connKind
	name string
}

// limit returns the number of connections of the group that may be open at a time.
func (g connGroup) limit() int {
	switch g.kind {
	case operatorConn:
		return maxOperatorConns
	case memberConn:
		return maxConnsPerName
	}
	return maxUnknownConns
}

// linkListener is a listener that bounds the connections it accepts. Where there are too many of a group, its oldest is
// closed, so that newcomers always have their turn.
type linkListener struct {
	net.Listener
	maxMembers int            // connections of keepers and routers that may be open at a time
	onClose    func(connKind) // called for each connection that was closed because of a bound
	pace       *rate.Limiter

	mu          sync.Mutex
	conns       map[string]*linkConn // by remote address
	groups      map[connGroup][]*linkConn
	memberCount int
}

// linkConn is one accepted connection.
type linkConn struct {
	net.Conn
	listener *linkListener
	group    connGroup    // guarded by the listener's lock
	left     atomic.Int64 // bytes that it may still send; of no meaning for a member's
	isMember atomic.Bool
}

// newLinkListener bounds the connections of a listener to maxConns in all.
func newLinkListener(listener net.Listener, maxConns int, onClose func(connKind)) *linkListener {
	return &linkListener{
		Listener:   listener,
		maxMembers: max(1, maxConns-maxUnknownConns-maxOperatorConns),
		onClose:    onClose,
		pace:       rate.NewLimiter(acceptRate, acceptBurst),
		conns:      map[string]*linkConn{},
		groups:     map[connGroup][]*linkConn{},
	}
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.pace.Wait(context.Background())
	conn := &linkConn{Conn: accepted, listener: l}
	conn.left.Store(maxHelloBytes)
	l.mu.Lock()
	l.conns[accepted.RemoteAddr().String()] = conn
	oldest := l.join(conn, connGroup{kind: unknownConn})
	l.mu.Unlock()
	l.evict(oldest)
	time.AfterFunc(helloTimeout, func() {
		if l.kindOf(conn) == unknownConn {
			conn.Close()
		}
	})
	return conn, nil
}

// admit records that a hello with this name was accepted on the connection from an address; an operator's has none. A
// connection carries the links of one process, so a second name is refused.
func (l *linkListener) admit(remote, name string) error {
	group := connGroup{operatorConn, ""}
	if name != "" {
		group = connGroup{memberConn, name}
	}
	l.mu.Lock()
	conn := l.conns[remote]
	switch {
	case conn == nil:
		l.mu.Unlock()
		return errors.New("the connection has ended")
	case conn.group == group:
		l.mu.Unlock()
		return nil
	case conn.group.kind != unknownConn:
		l.mu.Unlock()
		return fmt.Errorf("%.64q speaks on a connection of %.64q", name, conn.group.name)
	case group.kind == memberConn && l.memberCount >= l.maxMembers:
		l.mu.Unlock()
		return errors.New("too many connections")
	}
	l.leave(conn)
	oldest := l.join(conn, group)
	l.mu.Unlock()
	l.evict(oldest)
	return nil
}

// join adds a connection to a group. It returns the oldest connection of the group, which has to be closed, or nil if
// there are not too many. The lock must be held.
func (l *linkListener) join(conn *linkConn, group connGroup) (oldest *linkConn) {
	conn.group = group
	switch group.kind {
	case operatorConn:
		conn.left.Add(maxOperatorBytes)
	case memberConn:
		conn.isMember.Store(true)
		l.memberCount++
	}
	l.groups[group] = append(l.groups[group], conn)
	if len(l.groups[group]) <= group.limit() {
		return nil
	}
	oldest = l.groups[group][0]
	l.leave(oldest)
	return oldest
}

// leave removes a connection from its group, if it still is in it. The lock must be held.
func (l *linkListener) leave(conn *linkConn) {
	list := l.groups[conn.group]
	index := slices.Index(list, conn)
	if index < 0 {
		return
	}
	if conn.group.kind == memberConn {
		l.memberCount--
	}
	if list = slices.Delete(list, index, index+1); len(list) > 0 {
		l.groups[conn.group] = list
	} else {
		delete(l.groups, conn.group)
	}
}

// evict closes a connection because of a bound; nil: none.
func (l *linkListener) evict(conn *linkConn) {
	if conn != nil {
		l.onClose(l.kindOf(conn))
		conn.Close()
	}
}

// kindOf returns the kind of a connection.
func (l *linkListener) kindOf(conn *linkConn) connKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	return conn.group.kind
}

// forget removes a connection that is closed.
func (l *linkListener) forget(conn *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if remote := conn.RemoteAddr().String(); l.conns[remote] == conn {
		delete(l.conns, remote)
	}
	l.leave(conn)
}

// Read implements net.Conn. It fails once the connection has sent more than it may.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.left.Add(-int64(n)) < 0 && !c.isMember.Load() {
		c.listener.evict(c)
		return 0, errTooMuchData
	}
	return n, err
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

package drill

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// linkDirection is one direction of a link between two processes, with the faults that currently apply to it.
type linkDirection struct {
	mu             sync.Mutex
	cond           *sync.Cond
	blocked        bool // bytes are held back
	stallHalfway   bool // becomes blocked after half of the next chunk
	delay          time.Duration
	jitter         time.Duration // maximum random delay in addition to delay
	bytesPerSecond int           // 0: unlimited
	random         *rand.Rand
	bytesCarried   uint64
}

func newLinkDirection(seed uint64) *linkDirection {
	d := &linkDirection{random: rand.New(rand.NewPCG(seed, 11))}
	d.cond = sync.NewCond(&d.mu)
	return d
}

// update changes the faults and wakes the relays that wait in admit.
func (d *linkDirection) update(change func(*linkDirection)) {
	d.mu.Lock()
	change(d)
	d.mu.Unlock()
	d.cond.Broadcast()
}

// deliveryTime returns when a chunk that arrived now may be forwarded.
func (d *linkDirection) deliveryTime(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay := d.delay
	if d.jitter > 0 {
		delay += time.Duration(d.random.Int64N(int64(d.jitter)))
	}
	return now.Add(delay)
}

// admit waits while the direction is blocked and returns how many of n bytes may be forwarded now. It stops waiting
// when isClosed returns true.
func (d *linkDirection) admit(n int, isClosed func() bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.blocked && !isClosed() {
		d.cond.Wait()
	}
	if d.stallHalfway && n > 1 {
		d.stallHalfway, d.blocked = false, true
		n /= 2
	}
	d.bytesCarried += uint64(n)
	if d.bytesPerSecond > 0 {
		pause := time.Duration(n) * time.Second / time.Duration(d.bytesPerSecond)
		d.mu.Unlock()
		time.Sleep(pause)
		d.mu.Lock()
	}
	return n
}

// link is a TCP relay on loopback from a connecting process to a listening one, with faults for each direction.
type link struct {
	target            func() string // address of the listening process
	listener          net.Listener
	forward, backward *linkDirection // from and to the connecting process
	mu                sync.Mutex
	connections       map[*connection]bool
	closed            bool
}

// connection is one relayed TCP connection: near is the connecting process's side, far the listening one's.
type connection struct {
	near, far net.Conn
	once      sync.Once
	closed    bool
	link      *link
}

// newLink starts a relay. It calls target for each connection to get the address to relay to.
func newLink(seed uint64, target func() string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &link{target: target, listener: listener, forward: newLinkDirection(seed),
		backward: newLinkDirection(seed + 1), connections: map[*connection]bool{}}
	go relay.accept()
	return relay, nil
}

// addr returns the address to connect to.
func (l *link) addr() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			far, err := net.DialTimeout("tcp4", l.target(), 2*time.Second)
			if err != nil { // nothing listens: reset, as the kernel does for a closed port
				near.(*net.TCPConn).SetLinger(0)
				near.Close()
				return
			}
			c := &connection{near: near, far: far, link: l}
			l.mu.Lock()
			if l.closed {
				l.mu.Unlock()
				c.close(true)
				return
			}
			l.connections[c] = true
			l.mu.Unlock()
			go c.relay(near, far, l.forward)
			go c.relay(far, near, l.backward)
		}()
	}
}

// close closes both sides, with a TCP reset if reset is true.
func (c *connection) close(reset bool) {
	c.once.Do(func() {
		c.link.mu.Lock()
		c.closed = true
		delete(c.link.connections, c)
		c.link.mu.Unlock()
		if reset {
			c.near.(*net.TCPConn).SetLinger(0)
			c.far.(*net.TCPConn).SetLinger(0)
		}
		c.near.Close()
		c.far.Close()
		c.link.forward.cond.Broadcast()
		c.link.backward.cond.Broadcast()
	})
}

func (c *connection) isClosed() bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.closed
}

// chunk is a piece of data in transit.
type chunk struct {
	deliverAt time.Time
	data      []byte
}

// relay copies bytes from one side to the other, in order, with the delays and limits of the direction.
func (c *connection) relay(from, to net.Conn, direction *linkDirection) {
	chunks := make(chan chunk, 512)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				chunks <- chunk{direction.deliveryTime(time.Now()), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for next := range chunks {
		time.Sleep(time.Until(next.deliverAt))
		for len(next.data) > 0 {
			n := direction.admit(len(next.data), c.isClosed)
			if _, err := to.Write(next.data[:n]); err != nil {
				c.close(false)
				for range chunks { // drain, so that the reader can end
					continue
				}
				return
			}
			next.data = next.data[n:]
		}
	}
	direction.admit(0, c.isClosed) // the close must not overtake bytes that a blocked direction holds back
	c.close(false)
}

// reset closes all open connections with a TCP reset.
func (l *link) reset() {
	l.mu.Lock()
	var open []*connection
	for c := range l.connections {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.close(true)
	}
}

// close stops the relay and closes its connections.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listener.Close()
	l.reset()
	l.forward.update(func(direction *linkDirection) { direction.blocked = false })
	l.backward.update(func(direction *linkDirection) { direction.blocked = false })
}

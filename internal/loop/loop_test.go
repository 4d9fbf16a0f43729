package loop

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// handler calls opened and consumes no data.
type handler struct {
	opened func(*Conn)
	closed chan error
}

func (h handler) Opened(c *Conn)             { h.opened(c) }
func (h handler) Data(_ *Conn, _ []byte) int { return 0 } // no message is ever complete
func (h handler) Closed(_ *Conn, err error)  { h.closed <- err }

// runLoop runs a loop on its own goroutine until the test ends.
func runLoop(t *testing.T) *Loop {
	l, err := New()
	require.NoError(t, err)
	done := make(chan bool)
	t.Cleanup(func() {
		l.Stop()
		<-done
		l.Close()
	})
	go func() {
		l.Run(func() time.Duration { return time.Hour })
		close(done)
	}()
	return l
}

// A connection is closed when its buffers are full: if the peer never reads, or never completes its message. Without
// these limits such a peer could use up the memory.
func TestBounds(t *testing.T) {
	for want, test := range map[error]struct{ opened func(*Conn) }{
		ErrSlowPeer: {func(c *Conn) {
			for range 1024 {
				c.Write(make([]byte, maxWriteBuffer/8))
			}
		}},
		ErrTooLong: {func(*Conn) {}},
	} {
		l, closed, addr := runLoop(t), make(chan error, 1), make(chan netip.AddrPort)
		l.Post(func() {
			ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*Conn) Handler {
				return handler{test.opened, closed}
			})
			require.NoError(t, err)
			addr <- ln.Addr()
		})
		conn, err := net.Dial("tcp", (<-addr).String())
		require.NoError(t, err)
		if want == ErrTooLong {
			conn.Write(make([]byte, maxReadBuffer+1))
		}
		require.Equal(t, want, <-closed)
		_, err = io.Copy(io.Discard, conn)
		_ = err // either EOF or a reset is fine
		conn.Close()
	}
}

// If a connection is refused, the handler's Closed is called once, and not before Dial has returned.
func TestRefused(t *testing.T) {
	l, closed := runLoop(t), make(chan error, 2)
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := netip.MustParseAddrPort(unused.Addr().String())
	unused.Close()
	l.Post(func() {
		c := l.Dial(addr, handler{func(*Conn) { t.Error("opened") }, closed})
		require.Empty(t, closed)
		require.False(t, c.Open())
	})
	require.ErrorContains(t, <-closed, "refused")
	settled := make(chan bool)
	l.Post(func() { close(settled) })
	<-settled
	require.Empty(t, closed)
}

// funcHandler passes its data to a function.
type funcHandler struct {
	data   func(c *Conn, b []byte) int
	closed chan error
}

func (funcHandler) Opened(*Conn)                 {}
func (h funcHandler) Data(c *Conn, b []byte) int { return h.data(c, b) }
func (h funcHandler) Closed(_ *Conn, err error)  { h.closed <- err }

// connect returns a client connected to a new listener whose connections get the handler.
func connect(t *testing.T, l *Loop, h Handler) *net.TCPConn {
	addr := make(chan netip.AddrPort)
	l.Post(func() {
		ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*Conn) Handler { return h })
		require.NoError(t, err)
		addr <- ln.Addr()
	})
	conn, err := net.Dial("tcp", (<-addr).String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// A connection with many messages ready may deliver only a limited number per iteration, so that it doesn't starve the
// others. The remaining messages aren't lost.
func TestMessagesPerIteration(t *testing.T) {
	l, taken, firstIteration, done := runLoop(t), 0, 0, make(chan bool)
	conn := connect(t, l, funcHandler{data: func(_ *Conn, b []byte) int {
		if taken++; taken == 1 {
			l.Post(func() { firstIteration = taken })
		}
		if taken == 1000 {
			close(done)
		}
		return 1
	}, closed: make(chan error, 1)})
	resume := make(chan bool)
	l.Post(func() { <-resume }) // blocks the loop until all messages have arrived
	_, err := conn.Write(make([]byte, 1000))
	require.NoError(t, err)
	close(resume)
	<-done
	settled := make(chan bool)
	l.Post(func() { close(settled) })
	<-settled
	require.LessOrEqual(t, firstIteration, 2*maxMessagesPerConn)
}

// An answer written before Finish reaches a client that is still sending: closing the socket with unread input would
// cause a reset that discards the answer. Also, a connection without an unfinished message holds no buffer.
func TestFinishDeliversLastAnswer(t *testing.T) {
	l, closed := runLoop(t), make(chan error, 1)
	conn := connect(t, l, funcHandler{data: func(c *Conn, b []byte) int {
		if len(b) < 8 {
			return 0
		}
		require.Nil(t, c.unread)
		c.Write([]byte("no"))
		c.Finish()
		return 0
	}, closed: closed})
	_, err := conn.Write(make([]byte, 1<<20))
	require.NoError(t, err)
	text, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "no", string(text))
	conn.Close()
	require.Equal(t, ErrClosedLocally, <-closed)
}

// After CloseWrite nothing more can be written, but data that the peer sends is still delivered until the peer closes
// too.
func TestCloseWrite(t *testing.T) {
	l, closed, received := runLoop(t), make(chan error, 1), make(chan string, 9)
	conn := connect(t, l, funcHandler{data: func(c *Conn, b []byte) int {
		c.CloseWrite()
		require.False(t, c.Write([]byte("x")))
		received <- string(b)
		return len(b)
	}, closed: closed})
	conn.Write([]byte("one"))
	require.Equal(t, "one", <-received)
	text, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Empty(t, text)
	conn.Write([]byte("two"))
	require.Equal(t, "two", <-received)
	conn.Close()
	require.Equal(t, ErrEOF, <-closed)
}

// When the process is out of descriptors, a new connection is accepted with the spare one and closed. In the backlog
// it would wake the loop forever.
func TestOutOfDescriptors(t *testing.T) {
	l, addr := runLoop(t), make(chan netip.AddrPort)
	l.Post(func() {
		ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*Conn) Handler { return nil })
		require.NoError(t, err)
		addr <- ln.Addr()
	})
	to := <-addr
	client, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	var limit, low unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	low = unix.Rlimit{Cur: uint64(client) + 8, Max: limit.Max}
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &low))
	var fill []int
	for {
		fd, err := unix.Dup(client)
		if err != nil {
			break
		}
		fill = append(fill, fd)
	}
	require.NoError(t, unix.Connect(client, sockaddr(to)))
	n, _ := unix.Read(client, make([]byte, 1)) // EOF or a reset; without either the test would hang here
	for _, fd := range append(fill, client) {
		unix.Close(fd)
	}
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limit))
	require.LessOrEqual(t, n, 0)
}

// Take allows a burst at once, and then events at the rate.
func TestBucket(t *testing.T) {
	b, now, taken := Bucket{Rate: 10, Burst: 3}, time.Hour, 0
	for range 9 {
		if b.Take(now) {
			taken++
		}
	}
	require.Equal(t, 3, taken)
	require.True(t, b.Take(now+100*time.Millisecond))
	require.False(t, b.Take(now+100*time.Millisecond))
}

// DrainBacklog accepts all connections in the backlog, even more than one batch. Otherwise they would be reset when
// the listener closes.
func TestDrainBacklog(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	defer l.Close()
	accepted := 0
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*Conn) Handler {
		accepted++
		return nil
	})
	require.NoError(t, err)
	for range 2*maxBatch + 5 {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	ln.DrainBacklog()
	require.Equal(t, 2*maxBatch+5, accepted)
}

// An urgent connection is served in the middle of an iteration that is busy with other connections ahead of it.
func TestUrgent(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	defer l.Close()
	const others = 40
	served, accepted, servedBefore := 0, 0, -1
	closed := make(chan error, others+1)
	acceptPlain := func(*Conn) Handler {
		accepted++
		return funcHandler{func(_ *Conn, b []byte) int {
			served++
			return len(b)
		}, closed}
	}
	plain, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), acceptPlain)
	require.NoError(t, err)
	urgent, err := l.ListenUrgent(netip.MustParseAddrPort("127.0.0.1:0"), func(*Conn) Handler {
		accepted++
		return funcHandler{func(_ *Conn, b []byte) int {
			servedBefore = served
			return len(b)
		}, closed}
	})
	require.NoError(t, err)
	var conns []net.Conn
	for i := range others + 1 {
		to := plain.Addr()
		if i == others {
			to = urgent.Addr()
		}
		conn, err := net.Dial("tcp", to.String())
		require.NoError(t, err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	iterations := 0
	stop := time.Now().Add(5 * time.Second)
	require.NoError(t, l.Run(func() time.Duration {
		if accepted == others+1 {
			iterations++
		}
		if iterations == 5 { // no events of accepting are left; all clients write at once, the urgent one last
			for _, conn := range conns {
				conn.Write([]byte("x"))
			}
		}
		if servedBefore >= 0 && served == others || time.Now().After(stop) {
			l.Stop()
		}
		return time.Millisecond
	}))
	require.GreaterOrEqual(t, servedBefore, 0)
	require.Less(t, servedBefore, 2*eventsPerUrgentCheck)
}

// When neither a descriptor nor the spare one is available, connections stay in the backlog. The loop neither spins
// nor closes them, and accepts them once a descriptor is free.
func TestAcceptWithoutDescriptors(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	taken := make(chan bool, 1)
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*Conn) Handler {
		taken <- true
		return nil
	})
	require.NoError(t, err)
	client, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer unix.Close(client)
	var limit unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	lower := limit
	lower.Cur = 200
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &lower))
	defer unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)
	unix.Close(l.spareFD)
	l.spareFD = -1 // as if the process had used it up
	var fill []int
	for {
		fd, err := unix.Dup(client)
		if err != nil {
			break
		}
		fill = append(fill, fd)
	}
	require.NoError(t, unix.Connect(client, sockaddr(ln.Addr())))
	iterations, ended := 0, make(chan bool)
	go func() {
		defer close(ended)
		l.Run(func() time.Duration {
			iterations++
			return time.Hour
		})
	}()
	time.Sleep(300 * time.Millisecond)
	require.Empty(t, taken)
	l.Post(func() {
		for _, fd := range fill {
			unix.Close(fd)
		}
	})
	select {
	case <-taken:
	case <-time.After(time.Second):
		require.Fail(t, "the waiting connection was not accepted")
	}
	l.Stop()
	<-ended
	require.Less(t, iterations, 30)
}

// fakeGate is an OutputGate that releases the tickets up to released.
type fakeGate struct{ ticket, released, flushes uint64 }

func (g *fakeGate) Commit() uint64 {
	g.ticket++
	return g.ticket
}
func (g *fakeGate) Released() uint64            { return g.released }
func (g *fakeGate) Flushed()                    { g.flushes++ }
func (g *fakeGate) PollInterval() time.Duration { return time.Hour }

// Recall and RecallAll remove exactly the recallable messages of the current iteration and of those that the gate
// holds back. Released messages and other bytes aren't affected.
func TestRecall(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	gate := &fakeGate{}
	l.SetOutputGate(gate)
	done := make(chan bool)
	t.Cleanup(func() {
		l.Stop()
		<-done
		l.Close()
	})
	go func() {
		l.Run(func() time.Duration { return time.Hour })
		close(done)
	}()
	conns := make(chan *Conn, 2)
	addr := make(chan netip.AddrPort)
	l.Post(func() {
		ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*Conn) Handler {
			return handler{func(c *Conn) { conns <- c }, make(chan error, 1)}
		})
		require.NoError(t, err)
		addr <- ln.Addr()
	})
	to := <-addr
	var peers [2]net.Conn
	var serverConns [2]*Conn
	for i := range peers {
		peers[i], err = net.Dial("tcp", to.String())
		require.NoError(t, err)
		defer peers[i].Close()
		serverConns[i] = <-conns
	}
	runIteration := func(f func()) { // waits until the iteration has ended
		over := make(chan bool)
		l.Post(f)
		l.Post(func() { l.Post(func() { close(over) }) })
		<-over
	}
	runIteration(func() {
		serverConns[0].WriteRecallable([]byte("passed "), "p")
		gate.released = gate.ticket + 1
	})
	runIteration(func() {
		serverConns[0].Write([]byte("kept "))
		serverConns[0].WriteRecallable([]byte("one "), 1)
		serverConns[1].WriteRecallable([]byte("two "), 2)
		serverConns[0].Write([]byte("also "))
	})
	runIteration(func() {
		serverConns[0].WriteRecallable([]byte("three "), 3)
		serverConns[0].WriteRecallable([]byte("four "), 4)
		require.False(t, serverConns[0].Recall("p"), "already released")
		require.False(t, serverConns[1].Recall(3), "written on another connection")
		require.True(t, serverConns[0].Recall(3))
		require.False(t, serverConns[0].Recall(3), "already recalled")
	})
	var recalled []any
	runIteration(func() {
		serverConns[1].Write([]byte("rest."))
		serverConns[0].WriteRecallable([]byte("five "), 5)
		recalled = l.RecallAll()
		require.Empty(t, l.RecallAll(), "already recalled")
		serverConns[0].WriteRecallable([]byte("end."), 6)
	})
	require.Equal(t, []any{1, 2, 4, 5}, recalled)
	runIteration(func() { gate.released = 1 << 40 })
	for i, want := range []string{"passed kept also end.", "rest."} {
		b := make([]byte, len(want))
		peers[i].SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := io.ReadFull(peers[i], b)
		require.NoError(t, err)
		require.Equal(t, want, string(b))
	}
	runIteration(func() {
		require.Empty(t, l.recallable, "released messages are forgotten")
		require.Empty(t, l.RecallAll())
		require.NotZero(t, gate.flushes)
	})
}

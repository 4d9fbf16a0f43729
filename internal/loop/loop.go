// Package loop is a single-threaded event loop over epoll. It owns the listeners, TCP connections and UDP sockets
// in its epoll set and their buffers, and serves all of them from one goroutine through callbacks.
//
// The package starts no goroutines, never blocks on a socket and doesn't interpret the bytes it transfers. All
// callbacks run on the goroutine in Run; other goroutines may only call Post, Wake and Stop.
package loop

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxReadBuffer           = 64 << 10  // bytes buffered per connection until its handler takes them
	readChunkSize           = 16 << 10  // bytes read from one connection per loop iteration
	maxMessagesPerConn      = 16        // messages per connection and iteration, fewer if many are ready
	maxMessagesPerIteration = 256       // messages per iteration over all connections, but at least one from each
	maxWriteBuffer          = 256 << 10 // bytes queued for writing on one connection
	acceptBacklog           = 1024      // backlog of a listening socket
	// dialSendBuffer is SO_SNDBUF, in bytes, of dialed connections. The kernel reserves as much again for its own
	// bookkeeping. It is small because bytes that the kernel has accepted can't be recalled.
	dialSendBuffer        = 32 << 10
	maxBatch              = 128       // connections accepted, or datagrams read, from one socket per event
	maxEvents             = 1024      // events per epoll_wait; a small machine has about as many descriptors
	messagesPerCloseCheck = 32        // messages delivered between two checks for peers that have closed
	maxIdleWait           = time.Hour // longest epoll_wait when no timer is due
	// slowIterationThreshold is the duration from which an iteration, or a pause of the process within it, counts as
	// slow. After one, the loop reads the input that has arrived in the meantime before it releases output, because
	// that input may withdraw the output.
	slowIterationThreshold = 20 * time.Millisecond
	// maxCatchUpRounds and catchUpTimeout bound that reading, so that a flood of input can't delay everything else.
	maxCatchUpRounds = 64
	catchUpTimeout   = 50 * time.Millisecond
	// acceptRetryDelay is the pause of a listener when no descriptor is available, unless one is closed earlier.
	acceptRetryDelay = 50 * time.Millisecond
)

// Errors passed to Handler.Closed.
var (
	// ErrEOF means that the peer has closed the connection.
	ErrEOF = errors.New("connection closed by the peer")
	// ErrSlowPeer means that the peer didn't read fast enough, or that it exceeded a deadline of the connection's owner.
	ErrSlowPeer = errors.New("peer too slow")
	// ErrTooLong means that a message doesn't fit into the read buffer.
	ErrTooLong = errors.New("message longer than the read buffer")
	// ErrDialTimeout means that a dialed connection wasn't established in time.
	ErrDialTimeout = errors.New("connect timeout")
	// ErrClosedLocally means that this side has closed the connection.
	ErrClosedLocally = errors.New("connection closed locally")
)

// Handler receives the events of a connection. Data returns how many bytes it consumed; the rest is offered again
// together with the bytes that follow. The slice is only valid during the call. Closed is called exactly once, also
// for a connection that was never established.
type Handler interface {
	Opened(c *Conn)
	Data(c *Conn, b []byte) int
	Closed(c *Conn, err error)
}

// PeerCloseHandler is a Handler that is notified once, before the other events of an iteration, that the peer has
// closed or reset the connection. Data that the peer sent earlier may still be delivered afterwards.
type PeerCloseHandler interface{ PeerClosed(c *Conn) }

// Drainer is a Handler that is notified when the bytes that made Blocked return true have been written.
type Drainer interface{ Drained(c *Conn) }

// Loop is an epoll set with its listeners, connections and sockets. Its methods must be called on the goroutine in
// Run, or before Run, unless they say otherwise.
type Loop struct {
	epoll              int
	wakeFD             int     // eventfd that interrupts epoll_wait
	spareFD            int     // kept to accept and close a connection when no other descriptor is left; -1: none
	readBuf            []byte  // shared by all connections; unfinished messages are copied to the connection
	pending            []*Conn // connections with complete messages left over from the previous iteration
	sources            map[int32]source
	urgentLoop         *Loop // epoll set of urgent sources, polled before and during iterations; nil: none
	closing            []int // descriptors to close after the batch of events, so that no number is reused within it
	closeCheckEvents   []unix.EpollEvent
	messagesSinceCheck int         // messages delivered since the last check for closed peers
	messagesPerConn    int         // limit per connection in this iteration
	pausedListeners    []*Listener // not accepting for lack of descriptors
	acceptRetryAt      time.Time   // when pausedListeners accept again
	mu                 sync.Mutex
	posted             []func()
	stop               bool
	parent             *Loop // the enclosing loop of a set of urgent sources; nil otherwise
	gate               OutputGate
	afterWait          func() // called first after each wait; may be nil
	clock              func() time.Duration
	beforeWait         func()            // called last before each wait; may be nil
	lastPoll           time.Duration     // time of the last epoll_wait
	waitOverran        bool              // the latest wait took much longer than its timeout
	corked             []*Conn           // connections written to in this iteration
	gated              []gatedWrite      // writes of earlier iterations that the gate holds back, oldest first
	recallable         []recallableWrite // writes that can be recalled until they are released, oldest first
}

// OutputGate holds back the bytes that connections write until a condition is met, for example until the records of
// the calls concerned are on disk. At the end of each iteration the loop gets a ticket from Commit; the bytes of that
// iteration are written once Released returns that ticket or a later one. No method may block. The implementation
// calls Wake when it releases a ticket.
type OutputGate interface {
	Commit() (ticket uint64)
	Released() (ticket uint64) // called once per iteration, after Commit
	Flushed()                  // released bytes have been written, as far as the peers accept them
	// PollInterval is the longest wait before the loop calls Released again without a call of Wake.
	PollInterval() time.Duration
}

// gatedWrite describes the bytes that were written on a connection in one iteration and wait for its ticket. They were
// the last bytes of the connection's unsent buffer when that iteration ended.
type gatedWrite struct {
	ticket uint64
	conn   *Conn
	size   int
}

// recallableWrite describes bytes on a connection that can be recalled. offset counts the bytes that were written on
// the connection before them, over its whole lifetime.
type recallableWrite struct {
	conn   *Conn
	offset uint64
	size   int
	tag    any
}

// released reports whether the gate has released the bytes, or their connection has closed.
func (r *recallableWrite) released() bool {
	return r.conn.closed || r.offset < r.conn.sentBytes+uint64(r.conn.releasedBytes)
}

// RecallAll removes all messages written by WriteRecallable that the gate hasn't released yet, and returns their tags,
// oldest first.
func (l *Loop) RecallAll() (tags []any) {
	for i := len(l.recallable) - 1; i >= 0; i-- { // newest first, so that the offsets of the others stay valid
		if r := &l.recallable[i]; !r.released() {
			r.conn.removeUnsent(int(r.offset-r.conn.sentBytes), r.size)
			tags = append(tags, r.tag)
		}
	}
	l.recallable = nil
	slices.Reverse(tags)
	return tags
}

// Recall removes the message that was written by WriteRecallable with this tag. It returns false if the message was
// released already or doesn't exist.
func (c *Conn) Recall(tag any) bool {
	i := slices.IndexFunc(c.loop.recallable, func(r recallableWrite) bool { return r.conn == c && r.tag == tag })
	if i < 0 || c.loop.recallable[i].released() {
		return false
	}
	r := c.loop.recallable[i]
	c.removeUnsent(int(r.offset-c.sentBytes), r.size)
	c.loop.recallable = slices.Delete(c.loop.recallable, i, i+1)
	for k := range c.loop.recallable[i:] { // later messages move forward in the buffer
		if later := &c.loop.recallable[i+k]; later.conn == c {
			later.offset -= uint64(r.size)
		}
	}
	return true
}

// removeUnsent removes bytes from the unsent buffer and subtracts them from the byte count of the iteration that wrote
// them.
func (c *Conn) removeUnsent(from, n int) {
	c.unsent = slices.Delete(c.unsent, from, from+n)
	end := c.releasedBytes
	for i := range c.loop.gated {
		if write := &c.loop.gated[i]; write.conn == c {
			if end += write.size; from < end {
				write.size -= n
				return
			}
		}
	}
	c.corkedBytes -= n
}

// SetOutputGate sets the gate that holds back written bytes. It must be called before Run.
func (l *Loop) SetOutputGate(g OutputGate) { l.gate = g }

// SetAfterWait sets a function that is called after each wait, and after any other pause that the loop notices, before
// it handles further input: the process may have been stopped in the meantime. It must be called before Run.
func (l *Loop) SetAfterWait(f func()) { l.afterWait = f }

// SetClock sets the clock by which the loop detects slow iterations. It must be called before Run.
func (l *Loop) SetClock(clock func() time.Duration) { l.clock = clock }

// SetBeforeWait sets a function that is called last before each wait, after all input and due timers were handled. It
// must be called before Run.
func (l *Loop) SetBeforeWait(f func()) { l.beforeWait = f }

// Wake makes Run query the gate again. It may be called from any goroutine.
func (l *Loop) Wake() { l.Post(func() {}) }

// releaseWrites ends an iteration: it commits its writes to the gate and sends those that the gate has released.
func (l *Loop) releaseWrites() {
	ticket := l.gate.Commit()
	for _, c := range l.corked {
		l.gated = append(l.gated, gatedWrite{ticket, c, c.corkedBytes})
		c.corkedBytes = 0
	}
	clear(l.corked)
	l.corked = l.corked[:0]
	released, count := l.gate.Released(), 0
	defer l.gate.Flushed()
	if len(l.gated) == 0 {
		return
	}
	for count < len(l.gated) && l.gated[count].ticket <= released {
		c := l.gated[count].conn
		c.releasedBytes += l.gated[count].size
		count++
		if !c.closed {
			c.flush()
		}
	}
	l.gated = append(l.gated[:0], l.gated[count:]...)
	for len(l.recallable) > 0 && l.recallable[0].released() {
		l.recallable = l.recallable[1:]
	}
}

// source is a file descriptor in the epoll set.
type source interface{ ready(events uint32) }

// eventsPerUrgentCheck is the number of events handled between two checks of the urgent sources.
const eventsPerUrgentCheck = 8

// watchFunc is a source that calls a function.
type watchFunc func(events uint32)

func (w watchFunc) ready(events uint32) { w(events) }

// urgentSet returns the loop of the urgent sources and creates it on first use: an epoll set nested in this one.
func (l *Loop) urgentSet() (*Loop, error) {
	if l.urgentLoop == nil {
		epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
		if err != nil {
			return nil, fmt.Errorf("epoll: %w", err)
		}
		l.urgentLoop = &Loop{
			epoll:           epoll,
			wakeFD:          l.wakeFD,
			spareFD:         -1,
			parent:          l,
			sources:         map[int32]source{},
			readBuf:         make([]byte, maxReadBuffer+readChunkSize),
			messagesPerConn: maxMessagesPerConn,
		}
		if err := l.add(epoll, unix.EPOLLIN, watchFunc(func(uint32) { l.serveUrgent() })); err != nil {
			return nil, err
		}
	}
	return l.urgentLoop, nil
}

// serveUrgent handles the events of the urgent sources.
func (l *Loop) serveUrgent() {
	var events [eventsPerUrgentCheck]unix.EpollEvent
	n, _ := unix.EpollWait(l.urgentLoop.epoll, events[:], 0)
	for _, e := range events[:max(n, 0)] {
		if s := l.urgentLoop.sources[e.Fd]; s != nil {
			s.ready(e.Events)
		}
	}
	pending := l.urgentLoop.pending
	l.urgentLoop.pending = nil
	for _, c := range pending {
		c.pending = false
		if !c.closed && !c.finishing {
			c.deliver(copy(c.loop.readBuf, c.unread))
		}
	}
	l.urgentLoop.closeRemoved()
}

// New creates a loop without sources.
func New() (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(epoll)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{
		epoll:            epoll,
		wakeFD:           wake,
		spareFD:          -1,
		sources:          map[int32]source{},
		readBuf:          make([]byte, maxReadBuffer+readChunkSize),
		messagesPerConn:  maxMessagesPerConn,
		closeCheckEvents: make([]unix.EpollEvent, maxEvents),
	}
	l.openSpare()
	return l, l.add(wake, unix.EPOLLIN, &waker{l})
}

// Post schedules f to be called on the loop. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	if l.parent != nil {
		l.parent.Post(f)
		return
	}
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

// Stop ends Run. It may be called from any goroutine.
func (l *Loop) Stop() { l.Post(func() { l.stop = true }) }

// Run handles events until Stop. Before each wait it calls runDue, which runs the timers that are due and returns the
// time until the next one.
func (l *Loop) Run(runDue func() time.Duration) error {
	events := make([]unix.EpollEvent, maxEvents)
	l.lastPoll = l.now()
	for !l.stop {
		wait := runDue()
		if l.catchUp(events) {
			wait = runDue()
		}
		if l.beforeWait != nil {
			l.beforeWait()
		}
		if l.gate != nil {
			if l.releaseWrites(); len(l.gated) > 0 {
				wait = min(wait, l.gate.PollInterval())
			}
			if l.beforeWait != nil { // a peer may have started to read again
				l.beforeWait()
			}
			if len(l.corked) > 0 { // written by a callback for a connection that closed just now
				wait = 0
			}
		}
		l.closeRemoved()
		if l.stop {
			break
		}
		if l.urgentLoop != nil && len(l.urgentLoop.pending) > 0 {
			l.serveUrgent()
		}
		if len(l.pending) > 0 || l.urgentLoop != nil && len(l.urgentLoop.pending) > 0 {
			wait = 0
		}
		if len(l.pausedListeners) > 0 {
			wait = min(wait, acceptRetryDelay)
		}
		// Rounded up: otherwise the loop would spin until a timer that is due in less than a millisecond.
		ms := int((min(max(wait, 0), maxIdleWait) + time.Millisecond - 1) / time.Millisecond)
		waitStart := l.now()
		n, err := unix.EpollWait(l.epoll, events, ms)
		if err == unix.EINTR {
			// The process may have been stopped: input that arrived meanwhile is handled before due timers.
			n, err = unix.EpollWait(l.epoll, events, 0)
		}
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("epoll wait: %w", err)
		}
		if l.afterWait != nil {
			l.afterWait()
		}
		l.lastPoll = l.now()
		l.waitOverran = l.lastPoll-waitStart >= time.Duration(ms)*time.Millisecond+slowIterationThreshold
		l.serveEvents(events[:max(n, 0)])
		l.closeRemoved()
		l.resumeListeners()
	}
	return nil
}

func (l *Loop) now() time.Duration {
	if l.clock == nil {
		return 0
	}
	return l.clock()
}

// catchUp handles the input that has arrived during a slow iteration or while the process was stopped, before output
// is released that this input may withdraw. It returns false if there was no such delay.
func (l *Loop) catchUp(events []unix.EpollEvent) bool {
	start := l.now()
	if start-l.lastPoll < slowIterationThreshold && !l.waitOverran {
		return false
	}
	l.waitOverran = false
	if l.afterWait != nil {
		l.afterWait()
	}
	for range maxCatchUpRounds {
		n, _ := unix.EpollWait(l.epoll, events, 0)
		if l.lastPoll = l.now(); n <= 0 && len(l.pending) == 0 || l.lastPoll-start > catchUpTimeout {
			break
		}
		l.serveEvents(events[:max(n, 0)])
	}
	return true
}

// serveEvents reports closed peers first, then handles each ready source and each connection with pending messages.
func (l *Loop) serveEvents(events []unix.EpollEvent) {
	l.notifyPeerCloses(events)
	l.messagesPerConn = min(max(maxMessagesPerIteration/max(len(events)+len(l.pending), 1), 1), maxMessagesPerConn)
	for i, e := range events {
		l.checkBetweenSources(i)
		if s := l.sources[e.Fd]; s != nil {
			s.ready(e.Events)
		}
	}
	pending := l.pending
	l.pending = nil
	for i, c := range pending {
		l.checkBetweenSources(i)
		c.pending = false
		if !c.closed && !c.finishing {
			c.deliver(copy(l.readBuf, c.unread))
		}
	}
}

// checkBetweenSources runs the periodic checks that are due after the i-th source of an iteration.
func (l *Loop) checkBetweenSources(i int) {
	if l.urgentLoop != nil && i%eventsPerUrgentCheck == eventsPerUrgentCheck-1 {
		l.serveUrgent()
	}
	if l.messagesSinceCheck >= messagesPerCloseCheck {
		l.checkPeerCloses()
	}
}

// checkPeerCloses polls for connections that their peers have closed or reset, and notifies the handlers.
func (l *Loop) checkPeerCloses() {
	l.messagesSinceCheck = 0
	n, _ := unix.EpollWait(l.epoll, l.closeCheckEvents, 0)
	l.notifyPeerCloses(l.closeCheckEvents[:max(n, 0)])
}

// notifyPeerCloses calls PeerClosed for the connections that the events report as closed by their peers.
func (l *Loop) notifyPeerCloses(events []unix.EpollEvent) {
	for _, e := range events {
		if e.Events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) == 0 {
			continue
		}
		c, isConn := l.sources[e.Fd].(*Conn)
		if !isConn || !c.open || c.closed || c.finishing || c.peerCloseReported {
			continue
		}
		if h, ok := c.handler.(PeerCloseHandler); ok {
			c.peerCloseReported = true
			h.PeerClosed(c)
		}
	}
}

// resumeListeners resumes the listeners that were paused for lack of descriptors.
func (l *Loop) resumeListeners() {
	if len(l.pausedListeners) == 0 || time.Now().Before(l.acceptRetryAt) {
		return
	}
	paused := l.pausedListeners
	l.pausedListeners = nil
	for _, ln := range paused {
		ln.pauseReasons &^= pausedNoDescriptor
		ln.updateInterest()
	}
}

// openSpare reserves the spare descriptor, if one is available.
func (l *Loop) openSpare() {
	if l.spareFD < 0 {
		if fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC); err == nil {
			l.spareFD = fd
		}
	}
}

// Close closes all descriptors. It must be called after Run has returned.
func (l *Loop) Close() {
	if l.urgentLoop != nil {
		l.urgentLoop.Close()
		delete(l.sources, int32(l.urgentLoop.epoll))
	}
	for fd := range l.sources {
		unix.Close(int(fd))
	}
	clear(l.sources)
	l.closeRemoved()
	if l.spareFD >= 0 {
		unix.Close(l.spareFD)
	}
	unix.Close(l.epoll)
}

// closeRemoved closes the descriptors that were removed since the last call. Listeners that are paused for lack of
// descriptors may then accept again at once.
func (l *Loop) closeRemoved() {
	if l.urgentLoop != nil {
		l.urgentLoop.closeRemoved()
	}
	if len(l.closing) > 0 {
		l.acceptRetryAt = time.Time{}
	}
	for _, fd := range l.closing {
		unix.Close(fd)
	}
	l.closing = l.closing[:0]
}

func (l *Loop) add(fd int, events uint32, s source) error {
	l.sources[int32(fd)] = s
	return unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)})
}

// remove takes a descriptor out of the epoll set and has it closed at the end of the batch of events.
func (l *Loop) remove(fd int) {
	if _, found := l.sources[int32(fd)]; !found {
		return
	}
	delete(l.sources, int32(fd))
	unix.EpollCtl(l.epoll, unix.EPOLL_CTL_DEL, fd, nil)
	l.closing = append(l.closing, fd)
}

// waker runs the posted functions when the eventfd is signaled.
type waker struct{ loop *Loop }

func (w *waker) ready(uint32) {
	var b [8]byte
	unix.Read(w.loop.wakeFD, b[:])
	w.loop.mu.Lock()
	posted := w.loop.posted
	w.loop.posted = nil
	w.loop.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// ---- TCP ----

// Listener accepts connections on a listening socket.
type Listener struct {
	loop         *Loop
	fd           int
	accept       func(*Conn) Handler
	pauseReasons int  // bit set; 0: accepting
	bound        bool // it is only bound: Start has to be called
}

// Reasons for which a Listener doesn't accept.
const (
	pausedByOwner      = 1 << iota // by SetPaused
	pausedNoDescriptor             // no descriptor is available
)

// Listen accepts connections on an address. accept returns the handler of each connection, or nil to close it. Errors
// name the address.
func (l *Loop) Listen(addr netip.AddrPort, accept func(*Conn) Handler) (*Listener, error) {
	return l.listen(addr, false, accept)
}

// ListenUrgent is like Listen for connections that are served before all others, also in the middle of a busy
// iteration. The output gate doesn't apply to them.
func (l *Loop) ListenUrgent(addr netip.AddrPort, accept func(*Conn) Handler) (*Listener, error) {
	urgent, err := l.urgentSet()
	if err != nil {
		return nil, err
	}
	return urgent.listen(addr, false, accept)
}

// ListenShared is like Listen on an address that other processes of the same user may listen on too (SO_REUSEPORT).
func (l *Loop) ListenShared(addr netip.AddrPort, accept func(*Conn) Handler) (*Listener, error) {
	return l.listen(addr, true, accept)
}

// BindShared is like ListenShared, but connections are accepted only after Start; until then they all go to the other
// processes. (A listening socket that is paused would hold back its part of them.)
func (l *Loop) BindShared(addr netip.AddrPort, accept func(*Conn) Handler) (*Listener, error) {
	fd, err := bind(addr, true)
	if err != nil {
		return nil, err
	}
	return &Listener{loop: l, fd: fd, accept: accept, bound: true}, nil
}

// Start begins to listen after BindShared.
func (ln *Listener) Start() error {
	if !ln.bound {
		return nil
	}
	if err := unix.Listen(ln.fd, acceptBacklog); err != nil {
		return fmt.Errorf("listen on %s: %w", ln.Addr(), err)
	}
	ln.bound = false
	return ln.loop.add(ln.fd, unix.EPOLLIN, ln)
}

func (l *Loop) listen(addr netip.AddrPort, shared bool, accept func(*Conn) Handler) (*Listener, error) {
	fd, err := bind(addr, shared)
	if err != nil {
		return nil, err
	}
	if err := unix.Listen(fd, acceptBacklog); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return l.addListener(fd, accept)
}

// bind returns a stream socket that is bound to an address, with SO_REUSEPORT if the address is shared.
func bind(addr netip.AddrPort, shared bool) (fd int, err error) {
	if fd, err = socket(addr, unix.SOCK_STREAM); err != nil {
		return -1, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if shared {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			unix.Close(fd)
			return -1, fmt.Errorf("share %s: %w", addr, err)
		}
	}
	if err := unix.Bind(fd, sockaddr(addr)); err != nil {
		unix.Close(fd)
		return -1, fmt.Errorf("bind %s: %w", addr, err)
	}
	return fd, nil
}

func (l *Loop) addListener(fd int, accept func(*Conn) Handler) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, accept: accept}
	return ln, l.add(fd, unix.EPOLLIN, ln)
}

// ListenFD accepts connections on a listening socket that was inherited from another process, and takes ownership of
// the descriptor.
func (l *Loop) ListenFD(fd int, accept func(*Conn) Handler) (*Listener, error) {
	if n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || n == 0 {
		unix.Close(fd)
		return nil, errors.New("the inherited descriptor is not a listening socket")
	}
	unix.SetNonblock(fd, true)
	return l.addListener(fd, accept)
}

// SetPaused stops accepting, so that new connections stay in the backlog, or resumes it.
func (ln *Listener) SetPaused(on bool) {
	if ln.pauseReasons &^= pausedByOwner; on {
		ln.pauseReasons |= pausedByOwner
	}
	ln.updateInterest()
}

func (ln *Listener) updateInterest() {
	if _, found := ln.loop.sources[int32(ln.fd)]; !found {
		return
	}
	events := uint32(unix.EPOLLIN)
	if ln.pauseReasons != 0 {
		events = 0
	}
	unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_MOD, ln.fd, &unix.EpollEvent{Events: events, Fd: int32(ln.fd)})
}

// Descriptor returns the listening socket. It is valid until Close and stays owned by the Listener.
func (ln *Listener) Descriptor() int { return ln.fd }

// DrainBacklog accepts all connections that wait in the backlog, in as many batches as a full backlog needs.
func (ln *Listener) DrainBacklog() {
	for range acceptBacklog/maxBatch + 1 {
		ln.ready(0)
	}
}

// Addr returns the local address.
func (ln *Listener) Addr() netip.AddrPort { return localAddr(ln.fd) }

// Close closes the listening socket.
func (ln *Listener) Close() {
	if ln.bound {
		unix.Close(ln.fd)
		return
	}
	ln.loop.remove(ln.fd)
}

func (ln *Listener) ready(uint32) {
	for range maxBatch {
		fd, from, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == unix.EINTR || err == unix.ECONNABORTED {
			continue
		}
		root := ln.loop
		if root.parent != nil {
			root = root.parent
		}
		if (err == unix.EMFILE || err == unix.ENFILE) && root.spareFD >= 0 && len(root.closing) == 0 {
			// In the backlog the connection would wake the loop forever, and its client would get no response.
			// So the spare descriptor is used to accept and close it.
			unix.Close(root.spareFD)
			root.spareFD = -1
			if fd, _, err := unix.Accept(ln.fd); err == nil {
				unix.Close(fd)
			}
			root.openSpare()
			continue
		}
		if err == unix.EMFILE || err == unix.ENFILE || err == unix.ENOBUFS || err == unix.ENOMEM {
			// The backlog would wake the loop forever. Accepting resumes after acceptRetryDelay, or at the end of
			// this iteration if a descriptor was closed in it.
			ln.pauseReasons |= pausedNoDescriptor
			ln.updateInterest()
			root.pausedListeners, root.acceptRetryAt = append(root.pausedListeners, ln), time.Now().Add(acceptRetryDelay)
			return
		}
		if err != nil {
			return // usually EAGAIN: the backlog is empty
		}
		c := &Conn{loop: ln.loop, fd: fd, remote: addrPort(from), open: true}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		if c.handler = ln.accept(c); c.handler == nil {
			unix.Close(fd)
			continue
		}
		c.interest = unix.EPOLLIN | unix.EPOLLRDHUP
		if ln.loop.add(fd, c.interest, c) != nil {
			c.Close(ErrClosedLocally)
			continue
		}
		c.handler.Opened(c)
	}
}

// Conn is a TCP connection.
type Conn struct {
	loop              *Loop
	fd                int
	remote            netip.AddrPort
	handler           Handler
	open              bool // the connection has been established
	closed            bool
	interest          uint32
	unread            []byte // read, but not consumed by the handler
	unsent            []byte // written, but not yet accepted by the kernel
	pending           bool   // unread may hold complete messages: the next iteration delivers them before it reads
	finishing         bool   // input is discarded and nothing more is written, but unsent bytes still are
	writeClosed       bool   // CloseWrite was called
	peerCloseReported bool   // PeerClosed was called
	shutdownSent      bool   // the write side has been shut down
	corkedBytes       int    // bytes at the end of unsent that were written in this iteration; only with a gate
	releasedBytes     int    // bytes at the start of unsent that the gate has released
	sentBytes         uint64 // bytes passed to the kernel; only counted with a gate
}

// Dial starts to connect to an address. The handler's Opened or Closed is called after Dial has returned.
func (l *Loop) Dial(addr netip.AddrPort, h Handler) *Conn {
	c := &Conn{loop: l, fd: -1, remote: addr, handler: h}
	c.dial()
	return c
}

func (c *Conn) dial() {
	l := c.loop
	fd, err := socket(c.remote, unix.SOCK_STREAM)
	if errors.Is(err, unix.EMFILE) && len(l.closing) > 0 { // descriptors are freed at the end of this iteration
		l.Post(func() {
			if !c.closed {
				c.dial()
			}
		})
		return
	}
	if err == nil {
		c.fd = fd
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, dialSendBuffer)
		if err = unix.Connect(fd, sockaddr(c.remote)); err == nil || err == unix.EINPROGRESS {
			c.interest = unix.EPOLLOUT
			err = l.add(fd, c.interest, c)
		}
	}
	if err != nil {
		l.Post(func() { c.Close(err) })
	}
}

// Adopt serves a connection that was inherited from another process. unread holds the bytes that process has read but
// not consumed; they are offered together with the bytes that follow. accept returns the handler, or nil to close the
// connection.
func (l *Loop) Adopt(fd int, unread []byte, accept func(*Conn) Handler) *Conn {
	unix.SetNonblock(fd, true)
	c := &Conn{loop: l, fd: fd, open: true}
	if from, err := unix.Getpeername(fd); err == nil {
		c.remote = addrPort(from)
	}
	if c.handler = accept(c); c.handler == nil {
		unix.Close(fd)
		return nil
	}
	c.interest = unix.EPOLLIN | unix.EPOLLRDHUP
	if l.add(fd, c.interest, c) != nil {
		c.Close(ErrClosedLocally)
		return nil
	}
	if len(unread) > 0 {
		c.unread, c.pending = unread, true
		l.pending = append(l.pending, c)
	}
	c.handler.Opened(c)
	return c
}

// Detach removes an open connection from the loop so that another process can adopt it. It returns the descriptor,
// which the caller owns from then on, and the bytes that were read but not consumed. The handler isn't called
// afterwards. ok is false if the connection isn't open or has unsent bytes.
func (c *Conn) Detach() (fd int, unread []byte, ok bool) {
	if !c.Open() || len(c.unsent) > 0 || c.corkedBytes > 0 {
		return -1, nil, false
	}
	delete(c.loop.sources, int32(c.fd))
	unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_DEL, c.fd, nil)
	unread, c.unread, c.closed = c.unread, nil, true
	return c.fd, unread, true
}

// Watch monitors a descriptor that was opened outside this package.
type Watch struct {
	loop    *Loop
	fd      int
	events  uint32
	onReady func(events uint32)
}

// Watch calls onReady when the descriptor is ready for one of the epoll events. The loop takes ownership of the
// descriptor.
func (l *Loop) Watch(fd int, events uint32, onReady func(events uint32)) (*Watch, error) {
	w := &Watch{l, fd, events, onReady}
	return w, l.add(fd, events, w)
}

// SetEvents changes the epoll events to wait for.
func (w *Watch) SetEvents(events uint32) {
	if events != w.events {
		w.events = events
		unix.EpollCtl(w.loop.epoll, unix.EPOLL_CTL_MOD, w.fd, &unix.EpollEvent{Events: events, Fd: int32(w.fd)})
	}
}

// Close stops watching and closes the descriptor.
func (w *Watch) Close() { w.loop.remove(w.fd) }

func (w *Watch) ready(events uint32) { w.onReady(events) }

// Remote returns the peer's address.
func (c *Conn) Remote() netip.AddrPort { return c.remote }

// Open reports whether the connection can be written to.
func (c *Conn) Open() bool { return c.open && !c.closed && !c.finishing && !c.writeClosed }

// Unsent returns the number of bytes that wait to be written, including those that the gate holds back.
func (c *Conn) Unsent() int { return len(c.unsent) }

// Pending reports whether messages that were read wait for the next iteration.
func (c *Conn) Pending() bool { return c.pending && !c.closed && !c.finishing }

// Blocked reports whether released bytes wait because the peer doesn't read fast enough.
func (c *Conn) Blocked() bool { return c.writable() > 0 }

// Write sends bytes, or buffers a copy of those that the kernel doesn't accept yet. It returns false if none of them
// was sent or will be.
func (c *Conn) Write(b []byte) bool {
	if !c.Open() {
		return false
	}
	if c.loop.gate != nil {
		return c.holdWrite(b)
	}
	if len(c.unsent) == 0 {
		n, err := unix.Write(c.fd, b)
		if err != nil && err != unix.EAGAIN && err != unix.EINTR {
			// Posted, as the owner calling Write isn't prepared for a reentrant call of Closed.
			c.loop.Post(func() { c.Close(err) })
			return false
		}
		b = b[max(n, 0):]
	}
	if len(b) == 0 {
		return true
	}
	if len(c.unsent)+len(b) > maxWriteBuffer {
		c.loop.Post(func() { c.Close(ErrSlowPeer) })
		return false
	}
	c.unsent = append(c.unsent, b...)
	c.updateInterest()
	return true
}

// Gated reports whether written bytes wait for an output gate.
func (c *Conn) Gated() bool { return c.loop.gate != nil }

// WriteRecallable is like Write for a whole message that Recall and RecallAll can remove until the gate releases it.
// The tag identifies the message.
func (c *Conn) WriteRecallable(b []byte, tag any) bool {
	offset := c.sentBytes + uint64(len(c.unsent))
	if !c.Write(b) {
		return false
	}
	if c.loop.gate != nil && len(b) > 0 {
		c.loop.recallable = append(c.loop.recallable, recallableWrite{c, offset, len(b), tag})
	}
	return true
}

// holdWrite buffers bytes until the gate releases them.
func (c *Conn) holdWrite(b []byte) bool {
	if len(c.unsent)+len(b) > maxWriteBuffer {
		c.loop.Post(func() { c.Close(ErrSlowPeer) })
		return false
	}
	if c.corkedBytes == 0 && len(b) > 0 {
		c.loop.corked = append(c.loop.corked, c)
	}
	c.unsent = append(c.unsent, b...)
	c.corkedBytes += len(b)
	return true
}

// writable returns how many unsent bytes may be written now: all of them if there is no gate.
func (c *Conn) writable() int {
	if c.loop.gate == nil {
		return len(c.unsent)
	}
	return c.releasedBytes
}

// Finish ends the connection gracefully: it sends the unsent bytes, shuts down the write side, and discards input
// until the peer closes too. Closing a socket with unread input would send a reset, which can discard the last answer
// before the peer reads it. There is no timeout: the owner has to call Close if the peer takes too long.
func (c *Conn) Finish() {
	if c.finishing || c.closed {
		return
	}
	c.finishing, c.unread = true, nil
	c.shutdownWrite()
}

// CloseWrite shuts down the write side after the unsent bytes. What the peer sends until it closes too is still passed
// to the handler. There is no timeout: the owner has to call Close if the peer takes too long.
func (c *Conn) CloseWrite() {
	if c.Open() {
		c.writeClosed = true
		c.shutdownWrite()
	}
}

// shutdownWrite shuts down the write side once no bytes are unsent.
func (c *Conn) shutdownWrite() {
	if len(c.unsent) == 0 && !c.shutdownSent {
		c.shutdownSent = true
		unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

// Close closes the connection and calls the handler's Closed with err. Unsent bytes are lost.
func (c *Conn) Close(err error) {
	if c.closed {
		return
	}
	c.closed = true
	if c.fd >= 0 {
		if _, found := c.loop.sources[int32(c.fd)]; found {
			c.loop.remove(c.fd)
		} else {
			unix.Close(c.fd)
		}
	}
	c.unread, c.unsent, c.corkedBytes, c.releasedBytes = nil, nil, 0, 0
	c.handler.Closed(c, err)
}

// updateInterest waits for writability only while there are bytes to write.
func (c *Conn) updateInterest() {
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if c.writable() > 0 {
		events |= unix.EPOLLOUT
	}
	if events != c.interest {
		c.interest = events
		unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_MOD, c.fd, &unix.EpollEvent{Events: events, Fd: int32(c.fd)})
	}
}

func (c *Conn) ready(events uint32) {
	if !c.open {
		errno, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err != nil {
			c.Close(err)
			return
		}
		if errno != 0 {
			c.Close(unix.Errno(errno))
			return
		}
		c.open = true
		c.updateInterest()
		c.handler.Opened(c)
	}
	if events&unix.EPOLLOUT != 0 && !c.flush() {
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		c.read()
	}
}

// flush writes as many released bytes as the kernel accepts. It returns false if the connection has closed.
func (c *Conn) flush() bool {
	blocked := c.writable() > 0
	for c.writable() > 0 {
		n, err := unix.Write(c.fd, c.unsent[:c.writable()])
		if err == unix.EAGAIN {
			break
		}
		if err != nil && err != unix.EINTR {
			c.Close(err)
			return false
		}
		c.unsent = c.unsent[max(n, 0):]
		if c.loop.gate != nil {
			c.releasedBytes -= max(n, 0)
			c.sentBytes += uint64(max(n, 0))
		}
	}
	if len(c.unsent) == 0 {
		c.unsent = nil
		if c.finishing || c.writeClosed {
			c.shutdownWrite()
		}
	}
	c.updateInterest()
	if h, ok := c.handler.(Drainer); ok && blocked && c.writable() == 0 {
		h.Drained(c)
	}
	return !c.closed
}

// read reads a bounded number of bytes per iteration so that no connection starves the others. All connections share
// one read buffer; only incomplete messages, and those beyond the limit of an iteration, are copied to the connection.
func (c *Conn) read() {
	if c.pending {
		return // unread messages are delivered first, in serveEvents
	}
	kept := 0
	if !c.finishing {
		kept = copy(c.loop.readBuf, c.unread)
	}
	n, err := unix.Read(c.fd, c.loop.readBuf[kept:kept+readChunkSize])
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil:
		c.Close(err)
	case n == 0 && c.finishing:
		c.Close(ErrClosedLocally)
	case n == 0:
		c.Close(ErrEOF)
	case !c.finishing:
		c.deliver(kept + n)
	}
}

// deliver passes the first n bytes of the read buffer to the handler, message by message.
func (c *Conn) deliver(n int) {
	b, messages := c.loop.readBuf[:n], 0
	for ; len(b) > 0 && messages < c.loop.messagesPerConn; messages++ {
		used := c.handler.Data(c, b)
		if c.closed || c.finishing {
			return
		}
		if used <= 0 {
			break
		}
		b = b[used:]
		c.loop.messagesSinceCheck++
	}
	if len(b) == 0 {
		c.unread = nil
		return
	}
	c.unread = append(c.unread[:0], b...)
	if messages == c.loop.messagesPerConn {
		c.pending = true
		c.loop.pending = append(c.loop.pending, c)
	} else if len(c.unread) >= maxReadBuffer {
		c.Close(ErrTooLong)
	}
}

// Bucket is a leaky-bucket rate limiter that allows Rate events per second and bursts of Burst events.
type Bucket struct {
	Rate, Burst float64
	level       float64
	updated     time.Duration
}

// Take reports whether an event at the given time is within the limits, and counts it if so.
func (b *Bucket) Take(now time.Duration) bool {
	b.level = max(0, b.level-b.Rate*(now-b.updated).Seconds())
	b.updated = now
	if b.level+1 > b.Burst {
		return false
	}
	b.level++
	return true
}

// ---- UDP ----

// UDPSocket is a UDP socket that is connected to one peer.
type UDPSocket struct {
	loop    *Loop
	fd      int
	receive func(b []byte)
	buf     []byte
}

// DialUDP opens a socket that is connected to a peer. receive is called for each datagram; the slice is only valid
// during the call.
func (l *Loop) DialUDP(peer netip.AddrPort, receive func(b []byte)) (*UDPSocket, error) {
	fd, err := socket(peer, unix.SOCK_DGRAM)
	if err != nil {
		return nil, err
	}
	if err := unix.Connect(fd, sockaddr(peer)); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("connect to %s: %w", peer, err)
	}
	s := &UDPSocket{loop: l, fd: fd, receive: receive, buf: make([]byte, maxReadBuffer)}
	return s, l.add(fd, unix.EPOLLIN, s)
}

// Send sends one datagram. Errors are ignored, since datagrams may be lost anyway.
func (s *UDPSocket) Send(b []byte) { unix.Write(s.fd, b) }

// Close closes the socket.
func (s *UDPSocket) Close() { s.loop.remove(s.fd) }

func (s *UDPSocket) ready(uint32) {
	for range maxBatch {
		if s.loop.sources[int32(s.fd)] != s { // receive has closed the socket
			return
		}
		n, err := unix.Read(s.fd, s.buf)
		if err == unix.EAGAIN {
			return
		}
		if err == nil {
			s.receive(s.buf[:n])
		}
	}
}

// ---- addresses ----

func socket(addr netip.AddrPort, kind int) (int, error) {
	family := unix.AF_INET
	if addr.Addr().Is6() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	return fd, nil
}

func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is6() {
		return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
	}
	return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
}

func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port))
	}
	return netip.AddrPort{}
}

func localAddr(fd int) netip.AddrPort {
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(sa)
}

// Package handover implements the Unix socket over which a running process hands its work to a newly started process
// of the same router. The socket lies in a directory that both share. A frame has a length, a kind and at most one
// file descriptor. The package owns the framing, its limits and the check of who may connect.
//
// It doesn't decide which process serves, doesn't interpret the owner's frames, never blocks the loop (only Connect
// blocks, before the loop runs), and never trusts a length or a descriptor that it receives.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"threadglade.example/threadglade/internal/loop"
)

const (
	// Version is the version of the frame format. Processes of other versions are rejected.
	Version = 1
	// maxFrameSize and maxQueuedBytes limit the payload of a frame and the bytes queued for sending on one link.
	maxFrameSize   = 96 << 10
	maxQueuedBytes = 4 << 20
	// maxReadsPerIteration and maxFramesPerIteration limit the reads from a link in one loop iteration, so that other
	// connections have their turn; no further one is made once so many frames were handled.
	maxReadsPerIteration  = 64
	maxFramesPerIteration = 256
	readSize              = 8 << 10
	headerSize            = 6 // length (4 bytes), kind, whether a descriptor is attached
	// answerTimeout is how long a starting process waits for the answer of the serving one.
	answerTimeout  = 1500 * time.Millisecond
	kindHello      = 1
	kindWelcome    = 2
	kindBusy       = 3
	firstOwnerKind = 16 // lower kinds are reserved for this package
)

// FirstOwnerKind is the lowest frame kind that the owner of a link may use.
const FirstOwnerKind byte = firstOwnerKind

// ErrBusy means that another process is already about to take over.
var ErrBusy = errors.New("handover: another process is about to take over")

// Path returns the path of the handover socket of the named router in a directory. Characters that are unsafe in file
// names are replaced.
func Path(dir, name string) string {
	clean := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, name)
	return filepath.Join(dir, "threadglade-"+clean+".handover")
}

// socketAddress returns the socket address of a path. If the path exceeds the limit for Unix sockets, it opens the
// directory and addresses the socket through /proc/self/fd; release closes that descriptor.
func socketAddress(path string) (sa *unix.SockaddrUnix, release func(), err error) {
	if len(path) < 100 {
		return &unix.SockaddrUnix{Name: path}, func() {}, nil
	}
	dir, err := unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	return &unix.SockaddrUnix{Name: fmt.Sprintf("/proc/self/fd/%d/%s", dir, filepath.Base(path))},
		func() { unix.Close(dir) }, nil
}

// Link is one end of a connection between two processes. After Serve, its methods must only be called on the
// loop.
type Link struct {
	loop        *loop.Loop
	watch       *loop.Watch
	fd          int
	received    []byte
	receivedFDs []int // received, but not yet assigned to a frame; oldest first
	queue       []queuedFrame
	queuedBytes int // bytes in queue
	closed      bool
	onFrame     func(kind byte, payload []byte, fd int)
	onClose     func(error)
}

// queuedFrame is a frame that waits to be sent, or the remainder of one.
type queuedFrame struct {
	data   []byte
	fd     int // sent with the first byte; -1: none, or already sent
	keepFD bool
}

// Serve registers the link with the loop. It calls onFrame for each frame, with a descriptor that the callee then owns
// or -1, and onClose once when the link fails or the peer closes it.
func (k *Link) Serve(l *loop.Loop, onFrame func(kind byte, payload []byte, fd int), onClose func(error)) error {
	k.loop, k.onFrame, k.onClose = l, onFrame, onClose
	var err error
	k.watch, err = l.Watch(k.fd, unix.EPOLLIN, k.ready)
	return err
}

// Send queues a frame. fd is -1 or a descriptor to attach; unless keepFD is set, the link owns it and closes it once
// it was sent. Send returns false if the link is closed, the payload is too long or too many bytes are queued.
func (k *Link) Send(kind byte, payload []byte, fd int, keepFD bool) bool {
	if k.closed || len(payload) > maxFrameSize || k.queuedBytes+len(payload) > maxQueuedBytes {
		if fd >= 0 && !keepFD {
			unix.Close(fd)
		}
		return false
	}
	b := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload)))
	b[4] = kind
	if fd >= 0 {
		b[5] = 1
	}
	k.queue = append(k.queue, queuedFrame{append(b, payload...), fd, keepFD})
	k.queuedBytes += headerSize + len(payload)
	if len(k.queue) == 1 {
		k.flush()
	}
	return !k.closed
}

// Unsent returns the number of bytes that wait to be sent.
func (k *Link) Unsent() int { return k.queuedBytes }

// Close closes the link. Queued frames are dropped, and onClose isn't called.
func (k *Link) Close() {
	if k.closed {
		return
	}
	k.closed = true
	for _, frame := range k.queue {
		if frame.fd >= 0 && !frame.keepFD {
			unix.Close(frame.fd)
		}
	}
	for _, fd := range k.receivedFDs {
		unix.Close(fd)
	}
	k.queue, k.receivedFDs, k.received, k.queuedBytes = nil, nil, nil, 0
	if k.watch != nil {
		k.watch.Close()
	} else {
		unix.Close(k.fd)
	}
}

// fail closes the link and calls onClose with the error.
func (k *Link) fail(err error) {
	if !k.closed {
		k.Close()
		k.onClose(err)
	}
}

func (k *Link) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		k.flush()
	}
	if !k.closed && events&^unix.EPOLLOUT != 0 {
		k.read()
	}
}

// flush sends as many queued bytes as the socket accepts.
func (k *Link) flush() {
	for len(k.queue) > 0 && !k.closed {
		frame := &k.queue[0]
		var rights []byte
		if frame.fd >= 0 {
			rights = unix.UnixRights(frame.fd)
		}
		n, err := unix.SendmsgN(k.fd, frame.data, rights, nil, unix.MSG_NOSIGNAL|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN || err == unix.ETOOMANYREFS || err == unix.ENOBUFS {
			break
		}
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			k.loop.Post(func() { k.fail(err) }) // posted, as the owner calling Send isn't prepared for a reentrant onClose
			return
		}
		if frame.fd >= 0 {
			if !frame.keepFD {
				unix.Close(frame.fd)
			}
			frame.fd = -1
		}
		k.queuedBytes -= n
		if frame.data = frame.data[n:]; len(frame.data) == 0 {
			k.queue[0] = queuedFrame{}
			k.queue = k.queue[1:]
		}
	}
	if k.watch != nil {
		events := uint32(unix.EPOLLIN)
		if len(k.queue) > 0 {
			events |= unix.EPOLLOUT
		}
		k.watch.SetEvents(events)
	}
}

// read receives a bounded number of times and dispatches the complete frames.
func (k *Link) read() {
	buf, oob := make([]byte, readSize), make([]byte, unix.CmsgSpace(4*4))
	frames := 0
	for reads := 0; reads < maxReadsPerIteration && frames < maxFramesPerIteration; reads++ {
		n, err := k.receive(buf, oob)
		if err == unix.EAGAIN {
			return
		}
		if err == unix.EINTR {
			continue
		}
		if err == nil && n == 0 {
			err = loop.ErrEOF
		}
		if err != nil {
			k.fail(err)
			return
		}
		k.received = append(k.received, buf[:n]...)
		handled, err := k.dispatch()
		if frames += handled; err != nil {
			k.fail(err)
			return
		}
		if k.closed {
			return
		}
	}
}

// receive reads bytes into buf and stores the descriptors that were attached to them.
func (k *Link) receive(buf, oob []byte) (int, error) {
	n, oobn, flags, _, err := unix.Recvmsg(k.fd, buf, oob, unix.MSG_DONTWAIT|unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, err
	}
	if oobn > 0 {
		messages, err := unix.ParseSocketControlMessage(oob[:oobn])
		if err != nil {
			return 0, err
		}
		for i := range messages {
			if fds, err := unix.ParseUnixRights(&messages[i]); err == nil {
				k.receivedFDs = append(k.receivedFDs, fds...)
			}
		}
	}
	if flags&unix.MSG_CTRUNC != 0 { // attached descriptors were lost, because this process has none left
		return 0, unix.EMFILE
	}
	return n, nil
}

// dispatch calls onFrame for each complete frame and returns their number.
func (k *Link) dispatch() (frames int, err error) {
	for !k.closed {
		kind, payload, fd, rest, err := k.nextFrame()
		if err != nil || rest < 0 {
			return frames, err
		}
		frames++
		k.onFrame(kind, payload, fd)
		if !k.closed {
			k.received = k.received[rest:]
		}
	}
	return frames, nil
}

// nextFrame decodes the first received frame. rest is the offset of the frame after it, or -1 if the first one is
// incomplete.
func (k *Link) nextFrame() (kind byte, payload []byte, fd, rest int, err error) {
	if len(k.received) < headerSize {
		if len(k.received) == 0 {
			k.received = nil
		}
		return 0, nil, -1, -1, nil
	}
	size := int(binary.BigEndian.Uint32(k.received))
	if size > maxFrameSize || k.received[5] > 1 {
		return 0, nil, -1, -1, fmt.Errorf("handover: malformed frame header (payload length %d)", size)
	}
	if len(k.received) < headerSize+size {
		return 0, nil, -1, -1, nil
	}
	fd = -1
	if k.received[5] == 1 {
		if len(k.receivedFDs) == 0 {
			return 0, nil, -1, -1, errors.New("handover: frame arrived without its file descriptor")
		}
		fd, k.receivedFDs = k.receivedFDs[0], k.receivedFDs[1:]
	}
	return k.received[4], k.received[headerSize : headerSize+size], fd, headerSize + size, nil
}

// ---- serving process ----

// Listener accepts the connections of new processes that ask the serving process for a handover.
type Listener struct {
	loop         *loop.Loop
	path         string
	watch        *loop.Watch
	fd           int
	listenFD     func() int // returns the listening socket to pass on
	admit        func(*Link) bool
	onRefused    func(error)
	pendingPeers int
}

// maxPendingPeers limits the connected processes that haven't sent their hello yet.
const maxPendingPeers = 4

// Listen opens the handover socket at a path. It removes a socket that another process of this router has left there;
// any other file there is left alone and causes an error. admit decides whether a new process may take over and
// receives its link; listenFD then returns the listening socket to pass on. onRefused is called with the reason why a
// process was rejected, or with the error if its link failed before it could be admitted.
func Listen(
	l *loop.Loop,
	path string,
	listenFD func() int,
	admit func(*Link) bool,
	onRefused func(error),
) (*Listener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("handover: %s exists and is not a socket", path)
		}
		os.Remove(path)
	}
	sa, release, err := socketAddress(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer release()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err = unix.Bind(fd, sa); err == nil {
		if err = os.Chmod(path, 0o600); err == nil {
			err = unix.Listen(fd, 4)
		}
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln := &Listener{loop: l, path: path, fd: fd, listenFD: listenFD, admit: admit, onRefused: onRefused}
	ln.watch, err = l.Watch(fd, unix.EPOLLIN, ln.ready)
	return ln, err
}

// Close stops listening. It doesn't remove the path, because a successor may already have created its own socket
// there.
func (ln *Listener) Close() { ln.watch.Close() }

func (ln *Listener) ready(uint32) {
	fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return
	}
	if peer, err := unix.GetsockoptUcred(fd, unix.SOL_SOCKET, unix.SO_PEERCRED); err != nil ||
		int(peer.Uid) != os.Getuid() || ln.pendingPeers >= maxPendingPeers {
		unix.Close(fd)
		ln.onRefused(errors.New("handover: request from a process of another user, or too many requests at once"))
		return
	}
	ln.pendingPeers++
	link := &Link{fd: fd}
	onClose := func(err error) {
		ln.pendingPeers--
		ln.onRefused(err)
	}
	onHello := func(kind byte, payload []byte, fd int) {
		if fd >= 0 {
			unix.Close(fd)
		}
		ln.pendingPeers--
		if kind != kindHello || len(payload) != 4 || binary.BigEndian.Uint32(payload) != Version {
			link.Close()
			ln.onRefused(errors.New("handover: request is malformed or of another protocol version"))
			return
		}
		link.onFrame, link.onClose = func(byte, []byte, int) {}, func(error) {}
		if !ln.admit(link) {
			link.Send(kindBusy, nil, -1, false)
			link.loop.Post(func() { link.Close() })
			return
		}
		if link.Send(kindWelcome, nil, ln.listenFD(), true); link.closed {
			link.onClose(unix.EPIPE)
		}
	}
	if link.Serve(ln.loop, onHello, onClose) != nil {
		unix.Close(fd)
		ln.pendingPeers--
	}
}

// SetHandlers replaces the functions that were passed to Serve.
func (k *Link) SetHandlers(onFrame func(kind byte, payload []byte, fd int), onClose func(error)) {
	k.onFrame, k.onClose = onFrame, onClose
}

// ---- starting process ----

// Connect asks the serving process for a handover. It blocks for at most answerTimeout and must be called before the
// loop runs. It returns the link and the listening socket of that process, or neither and no error if there is no
// socket at the path. The error is ErrBusy if another process is about to take over; any other error gives the reason
// why a handover isn't possible.
func Connect(path string) (*Link, int, error) {
	if _, err := os.Lstat(path); err != nil {
		return nil, -1, nil
	}
	sa, release, err := socketAddress(path)
	if err != nil {
		return nil, -1, fmt.Errorf("handover: %w", err)
	}
	defer release()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, -1, fmt.Errorf("handover: %w", err)
	}
	if err := unix.Connect(fd, sa); err != nil {
		unix.Close(fd)
		return nil, -1, fmt.Errorf("handover: connect to %s: %w", path, err)
	}
	link := &Link{fd: fd}
	link.Send(kindHello, binary.BigEndian.AppendUint32(nil, Version), -1, false)
	buf, oob := make([]byte, headerSize), make([]byte, unix.CmsgSpace(4*4))
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); {
		unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, int(time.Until(deadline)/time.Millisecond)+1)
		// At most one header: the bytes after it are read on the loop.
		n, err := link.receive(buf[:headerSize-len(link.received)], oob)
		if err == unix.EAGAIN || err == unix.EINTR {
			continue
		}
		if err != nil || n == 0 {
			link.Close()
			return nil, -1, fmt.Errorf("handover: %s: connection closed before an answer: %v", path, err)
		}
		link.received = append(link.received, buf[:n]...)
		kind, _, listenFD, rest, err := link.nextFrame()
		if err != nil {
			link.Close()
			return nil, -1, err
		}
		if rest < 0 {
			if len(link.received) == headerSize {
				break // neither kind of answer has a payload
			}
			continue
		}
		link.received = nil
		switch {
		case kind == kindWelcome && listenFD >= 0:
			return link, listenFD, nil
		case kind == kindBusy:
			link.Close()
			return nil, -1, ErrBusy
		}
		break
	}
	link.Close()
	return nil, -1, fmt.Errorf("handover: %s: no valid answer from a process of this version", path)
}

// Package handover is the socket between two processes that are one router to their callers: a Unix socket in the folder that they share, frames with a
// length, a kind and at most one descriptor. It owns the framing, its bounds and who may speak. It must never decide who serves, know what a frame
// means, block the loop, or trust a length or a descriptor that it was sent.
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
	// Version is that of the frames. A process of another version is not spoken to.
	Version = 1
	// frameMost bytes are in a frame, and queueMost may wait to be sent.
	frameMost = 96 << 10
	queueMost = 4 << 20
	// turnMost frames or reads are worked on in one turn of the loop.
	turnMost = 64
	headSize = 6 // length, kind, whether there is a descriptor
	// answerWithin is how long a starting process waits for the one that serves.
	answerWithin = 1500 * time.Millisecond
	hello        = 1
	welcome      = 2
	busy         = 3
	kindsFrom    = 16 // kinds of frames that are the owner's begin here
)

// First is the least kind that an owner may give a frame.
const First byte = kindsFrom

// ErrBusy is why nobody hands over now: another process is about to take over.
var ErrBusy = errors.New("handover: another process is about to take over")

// Path is where the process of a router's name listens in a folder.
func Path(dir, name string) string {
	clean := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, name)
	return filepath.Join(dir, "threadglade-"+clean+".handover")
}

// address opens a path's folder where the path is too long for a socket's name, and names it by that.
func address(path string) (sa *unix.SockaddrUnix, done func(), err error) {
	if len(path) < 100 {
		return &unix.SockaddrUnix{Name: path}, func() {}, nil
	}
	dir, err := unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	return &unix.SockaddrUnix{Name: fmt.Sprintf("/proc/self/fd/%d/%s", dir, filepath.Base(path))}, func() { unix.Close(dir) }, nil
}

// Link is one end of the socket, on the loop.
type Link struct {
	l     *loop.Loop
	watch *loop.Watch
	fd    int
	in    []byte
	fds   []int // that have come, oldest first
	out   []parcel
	size  int // bytes that wait in out
	ended bool
	frame func(kind byte, payload []byte, fd int)
	gone  func(error)
}

// parcel is a frame that waits, or the rest of one.
type parcel struct {
	b    []byte
	fd   int // goes with its first byte; -1: none, or it has gone
	keep bool
}

// Serve has a link call frame for each frame, with a descriptor that is the owner's then or -1, and gone once at its end.
func (k *Link) Serve(l *loop.Loop, frame func(kind byte, payload []byte, fd int), gone func(error)) error {
	k.l, k.frame, k.gone = l, frame, gone
	var err error
	k.watch, err = l.Watch(k.fd, unix.EPOLLIN, k.ready)
	return err
}

// Send queues a frame. A descriptor is the link's then and is closed once it has gone, unless keep. False: the link has ended, or too much waits.
func (k *Link) Send(kind byte, payload []byte, fd int, keep bool) bool {
	if k.ended || len(payload) > frameMost || k.size+len(payload) > queueMost {
		if fd >= 0 && !keep {
			unix.Close(fd)
		}
		return false
	}
	b := make([]byte, headSize, headSize+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload)))
	b[4] = kind
	if fd >= 0 {
		b[5] = 1
	}
	k.out = append(k.out, parcel{append(b, payload...), fd, keep})
	k.size += headSize + len(payload)
	if len(k.out) == 1 {
		k.flush()
	}
	return !k.ended
}

// Unsent is how many bytes wait to be sent.
func (k *Link) Unsent() int { return k.size }

// Close ends the link; what waits is dropped, and gone is not called.
func (k *Link) Close() {
	if k.ended {
		return
	}
	k.ended = true
	for _, p := range k.out {
		if p.fd >= 0 && !p.keep {
			unix.Close(p.fd)
		}
	}
	for _, fd := range k.fds {
		unix.Close(fd)
	}
	k.out, k.fds, k.in, k.size = nil, nil, nil, 0
	if k.watch != nil {
		k.watch.Close()
	} else {
		unix.Close(k.fd)
	}
}

func (k *Link) fail(err error) {
	if !k.ended {
		k.Close()
		k.gone(err)
	}
}

func (k *Link) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		k.flush()
	}
	if !k.ended && events&^unix.EPOLLOUT != 0 {
		k.read()
	}
}

func (k *Link) flush() {
	for len(k.out) > 0 && !k.ended {
		p := &k.out[0]
		var rights []byte
		if p.fd >= 0 {
			rights = unix.UnixRights(p.fd)
		}
		n, err := unix.SendmsgN(k.fd, p.b, rights, nil, unix.MSG_NOSIGNAL|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN || err == unix.ETOOMANYREFS || err == unix.ENOBUFS {
			break
		}
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			k.l.Post(func() { k.fail(err) }) // the owner may be in the middle of its own work
			return
		}
		if p.fd >= 0 {
			if !p.keep {
				unix.Close(p.fd)
			}
			p.fd = -1
		}
		k.size -= n
		if p.b = p.b[n:]; len(p.b) == 0 {
			k.out[0] = parcel{}
			k.out = k.out[1:]
		}
	}
	if k.watch != nil {
		want := uint32(unix.EPOLLIN)
		if len(k.out) > 0 {
			want |= unix.EPOLLOUT
		}
		k.watch.Want(want)
	}
}

func (k *Link) read() {
	buf, oob := make([]byte, 32<<10), make([]byte, unix.CmsgSpace(4*4))
	for range turnMost {
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
		k.in = append(k.in, buf[:n]...)
		if err := k.frames(); err != nil {
			k.fail(err)
			return
		}
		if k.ended {
			return
		}
	}
}

// receive reads bytes and takes what descriptors came with them.
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
				k.fds = append(k.fds, fds...)
			}
		}
	}
	if flags&unix.MSG_CTRUNC != 0 { // no descriptor was to be had for what came
		return 0, unix.EMFILE
	}
	return n, nil
}

// frames hands on what is whole.
func (k *Link) frames() error {
	for !k.ended {
		kind, payload, fd, rest, err := k.next()
		if err != nil || rest < 0 {
			return err
		}
		k.frame(kind, payload, fd)
		if !k.ended {
			k.in = k.in[rest:]
		}
	}
	return nil
}

// next is the frame at the beginning of in; rest is where the following one begins, -1 where none is whole.
func (k *Link) next() (kind byte, payload []byte, fd, rest int, err error) {
	if len(k.in) < headSize {
		if len(k.in) == 0 {
			k.in = nil
		}
		return 0, nil, -1, -1, nil
	}
	size := int(binary.BigEndian.Uint32(k.in))
	if size > frameMost || k.in[5] > 1 {
		return 0, nil, -1, -1, fmt.Errorf("handover: no frame, or one of %d bytes", size)
	}
	if len(k.in) < headSize+size {
		return 0, nil, -1, -1, nil
	}
	fd = -1
	if k.in[5] == 1 {
		if len(k.fds) == 0 {
			return 0, nil, -1, -1, errors.New("handover: a frame without its descriptor")
		}
		fd, k.fds = k.fds[0], k.fds[1:]
	}
	return k.in[4], k.in[headSize : headSize+size], fd, headSize + size, nil
}

// ---- the process that serves ----

// Door is where a new process asks the one that serves.
type Door struct {
	l       *loop.Loop
	path    string
	watch   *loop.Watch
	fd      int
	listen  func() int // the descriptor to pass on
	welcome func(*Link) bool
	refused func(error)
	waiting int
}

// waitingMost processes may be asking at once.
const waitingMost = 4

// Listen opens the door at a path. What another process of this router has left there is taken away; anything else is left alone and an error. For one
// that asks and is welcome, listen gives the listening socket to pass on; refused hears why one is not spoken to.
func Listen(l *loop.Loop, path string, listen func() int, welcome func(*Link) bool, refused func(error)) (*Door, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("handover: %s is no socket", path)
		}
		os.Remove(path)
	}
	sa, done, err := address(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer done()
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
	d := &Door{l: l, path: path, fd: fd, listen: listen, welcome: welcome, refused: refused}
	d.watch, err = l.Watch(fd, unix.EPOLLIN, d.ready)
	return d, err
}

// Close stops answering. The path is left: a successor may have put its own door there.
func (d *Door) Close() { d.watch.Close() }

func (d *Door) ready(uint32) {
	fd, _, err := unix.Accept4(d.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return
	}
	if peer, err := unix.GetsockoptUcred(fd, unix.SOL_SOCKET, unix.SO_PEERCRED); err != nil || int(peer.Uid) != os.Getuid() || d.waiting >= waitingMost {
		unix.Close(fd)
		d.refused(errors.New("handover: a process of another user asked, or too many do"))
		return
	}
	d.waiting++
	k := &Link{fd: fd}
	leave := func(err error) {
		d.waiting--
		d.refused(err)
	}
	greet := func(kind byte, payload []byte, fd int) {
		if fd >= 0 {
			unix.Close(fd)
		}
		d.waiting--
		if kind != hello || len(payload) != 4 || binary.BigEndian.Uint32(payload) != Version {
			k.Close()
			d.refused(errors.New("handover: a process of another version asked"))
			return
		}
		k.frame, k.gone = func(byte, []byte, int) {}, func(error) {}
		if !d.welcome(k) {
			k.Send(busy, nil, -1, false)
			k.l.Post(func() { k.Close() })
			return
		}
		if k.Send(welcome, nil, d.listen(), true); k.ended {
			k.gone(unix.EPIPE)
		}
	}
	if k.Serve(d.l, greet, leave) != nil {
		unix.Close(fd)
		d.waiting--
	}
}

// Take over: Hear sets who hears the frames of a link from now on.
func (k *Link) Hear(frame func(kind byte, payload []byte, fd int), gone func(error)) {
	k.frame, k.gone = frame, gone
}

// ---- the process that starts ----

// Ask asks the process that serves, if there is one, before the loop runs: the link to it and its listening socket. No link and no error: nobody is
// there. ErrBusy: another process will take over. Any other error says why whoever is there cannot be spoken to.
func Ask(path string) (*Link, int, error) {
	if _, err := os.Lstat(path); err != nil {
		return nil, -1, nil
	}
	sa, done, err := address(path)
	if err != nil {
		return nil, -1, fmt.Errorf("handover: %w", err)
	}
	defer done()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, -1, fmt.Errorf("handover: %w", err)
	}
	if err := unix.Connect(fd, sa); err != nil {
		unix.Close(fd)
		return nil, -1, fmt.Errorf("handover: nobody answers at %s: %w", path, err)
	}
	k := &Link{fd: fd}
	k.Send(hello, binary.BigEndian.AppendUint32(nil, Version), -1, false)
	buf, oob := make([]byte, headSize), make([]byte, unix.CmsgSpace(4*4))
	for stop := time.Now().Add(answerWithin); time.Now().Before(stop); {
		unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, int(time.Until(stop)/time.Millisecond)+1)
		// No more than one head, for what follows is for the loop.
		n, err := k.receive(buf[:headSize-len(k.in)], oob)
		if err == unix.EAGAIN || err == unix.EINTR {
			continue
		}
		if err != nil || n == 0 {
			k.Close()
			return nil, -1, fmt.Errorf("handover: %s: closed without an answer: %v", path, err)
		}
		k.in = append(k.in, buf[:n]...)
		kind, _, listen, rest, err := k.next()
		if err != nil {
			k.Close()
			return nil, -1, err
		}
		if rest < 0 {
			if len(k.in) == headSize {
				break // a frame with a payload is none of these
			}
			continue
		}
		k.in = nil
		switch {
		case kind == welcome && listen >= 0:
			return k, listen, nil
		case kind == busy:
			k.Close()
			return nil, -1, ErrBusy
		}
		break
	}
	k.Close()
	return nil, -1, fmt.Errorf("handover: %s: not answered as a process of this version does", path)
}

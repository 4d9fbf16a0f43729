package handover

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"threadglade.example/threadglade/internal/loop"
)

// linkPair returns two links over a socket pair on one loop. It collects the payloads and descriptors that the second
// link receives, and its final error.
func linkPair(t *testing.T) (l *loop.Loop, one, other *Link, got *[]string, fds *[]int, ended *error) {
	l, err := loop.New()
	require.NoError(t, err)
	t.Cleanup(l.Close)
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	one, other, got, fds, ended = &Link{fd: ends[0]}, &Link{fd: ends[1]}, &[]string{}, &[]int{}, new(error)
	require.NoError(t, one.Serve(l, func(byte, []byte, int) {}, func(error) {}))
	require.NoError(t, other.Serve(l, func(kind byte, payload []byte, fd int) {
		*got = append(*got, string(payload))
		if fd >= 0 {
			*fds = append(*fds, fd)
		}
	}, func(err error) { *ended = err }))
	return l, one, other, got, fds, ended
}

// runUntil runs the loop until done returns true, for at most 5 s.
func runUntil(t *testing.T, l *loop.Loop, done func() bool) {
	stop := time.Now().Add(5 * time.Second)
	require.NoError(t, l.Run(func() time.Duration {
		if done() || time.Now().After(stop) {
			l.Stop()
		}
		return 5 * time.Millisecond
	}))
	require.True(t, done())
}

// Frames arrive whole, in order and with their own descriptors, even if many are queued.
func TestFrames(t *testing.T) {
	l, one, _, got, fds, _ := linkPair(t)
	var want []string
	for i := range 40 {
		r, w, err := os.Pipe()
		require.NoError(t, err)
		w.Write([]byte{byte(i)})
		w.Close()
		text := string(make([]byte, i*1000)) + "x"
		want = append(want, text, "plain")
		fd, _ := unix.Dup(int(r.Fd()))
		r.Close()
		require.True(t, one.Send(FirstOwnerKind, []byte(text), fd, false))
		require.True(t, one.Send(FirstOwnerKind, []byte("plain"), -1, false))
	}
	runUntil(t, l, func() bool { return len(*got) == len(want) && one.Unsent() == 0 })
	require.Equal(t, want, *got)
	require.Len(t, *fds, 40)
	for i, fd := range *fds {
		var b [1]byte
		n, err := unix.Read(fd, b[:])
		require.True(t, err == nil && n == 1 && int(b[0]) == i)
		unix.Close(fd)
	}
	require.False(t, one.Send(FirstOwnerKind, make([]byte, maxFrameSize+1), -1, false), "frame too long")
}

// Malformed or truncated frames close the link and aren't delivered.
func TestMalformedFrames(t *testing.T) {
	for what, bytes := range map[string]string{
		"too long":              "\xff\xff\xff\xff\x10\x00",
		"no flag":               "\x00\x00\x00\x00\x10\x07",
		"no descriptor with it": "\x00\x00\x00\x00\x10\x01",
		"http":                  "GET / HTTP/1.1\r\n\r\n",
	} {
		t.Run(what, func(t *testing.T) {
			l, one, _, got, _, ended := linkPair(t)
			unix.Write(one.fd, []byte(bytes))
			runUntil(t, l, func() bool { return *ended != nil })
			require.Empty(t, *got)
		})
	}
	l, one, _, got, _, ended := linkPair(t) // truncated frame
	unix.Write(one.fd, []byte("\x00\x00\x00\x09\x10\x00abc"))
	one.Close()
	runUntil(t, l, func() bool { return *ended != nil })
	require.ErrorIs(t, *ended, loop.ErrEOF)
	require.Empty(t, *got)
}

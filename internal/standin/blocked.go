package standin

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// backlogFillers is the number of connections that fill a backlog of length 0.
const backlogFillers = 3

// BlockPort occupies an IPv4 address so that connections to it never come up, as at a machine that vanished: its socket
// accepts none and its backlog is full. release frees the address and may be
// called several times; it must be called also if there is an error.
func BlockPort(addr *net.TCPAddr) (release func(), err error) {
	var fds []int
	release = func() {
		for _, fd := range fds {
			unix.Close(fd)
		}
		fds = nil
	}
	sa := &unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return release, err
	}
	fds = append(fds, fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := errors.Join(unix.Bind(fd, sa), unix.Listen(fd, 0)); err != nil {
		return release, err
	}
	for range backlogFillers {
		client, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			return release, err
		}
		fds = append(fds, client)
		unix.Connect(client, sa)
	}
	return release, nil
}

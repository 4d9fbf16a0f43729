package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

var portNext atomic.Uint32

// Port finds a free address on loopback for a process that is to be started, below the range that outgoing connections take: between this and the start none of them can have it.
func Port() string {
	portNext.CompareAndSwap(0, rand.Uint32N(12000)+1)
	for {
		n := 18000 + portNext.Add(1)%14000
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", n))
		if err == nil {
			l.Close()
			return l.Addr().String()
		}
	}
}

package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// lastPortOffset is the offset of the last port tried, modulo the number of ports used.
var lastPortOffset atomic.Uint32

// FreeAddr returns a free address on loopback for a process that is about to start. Its port lies below the range of
// ephemeral ports, so that no outgoing connection takes it before the process listens.
func FreeAddr() string {
	lastPortOffset.CompareAndSwap(0, rand.Uint32N(12000)+1)
	for {
		n := 18000 + lastPortOffset.Add(1)%14000
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", n))
		if err == nil {
			l.Close()
			return l.Addr().String()
		}
	}
}

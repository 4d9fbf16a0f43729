package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Opcodes of RFC 6455.
const (
	opText  = 1
	opClose = 8
	opPing  = 9
	opPong  = 10
)

// webSocket is the client's end of a WebSocket.
type webSocket struct {
	net.Conn
	r  *bufio.Reader
	mu sync.Mutex
}

// dialWebSocket opens a WebSocket with a token.
func dialWebSocket(address, token string) (*webSocket, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	w := &webSocket{Conn: conn, r: bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: desk\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\nAuthorization: Bearer %s\r\n\r\n", token)
	for first := true; ; first = false {
		line, err := w.r.ReadString('\n')
		if err == nil && first && !strings.HasPrefix(line, "HTTP/1.1 101 ") {
			err = fmt.Errorf("handshake: %s", line)
		}
		if err != nil {
			conn.Close()
			return nil, err
		}
		if line == "\r\n" {
			conn.SetDeadline(time.Time{})
			return w, nil
		}
	}
}

// write writes one masked frame of at most 64 KiB.
func (w *webSocket) write(op byte, payload []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := []byte{0x80 | op}
	if len(payload) < 126 {
		b = append(b, 0x80|byte(len(payload)))
	} else {
		b = binary.BigEndian.AppendUint16(append(b, 0x80|126), uint16(len(payload)))
	}
	b = append(b, 0, 0, 0, 0) // a mask of zeros leaves the payload as it is
	_, err := w.Write(append(b, payload...))
	return err
}

// read reads one frame. The router sends unfragmented frames.
func (w *webSocket) read() (op byte, payload []byte, err error) {
	var head [2]byte
	if _, err = io.ReadFull(w.r, head[:]); err != nil {
		return 0, nil, err
	}
	size := uint64(head[1] & 0x7f)
	switch size {
	case 126:
		var n uint16
		err = binary.Read(w.r, binary.BigEndian, &n)
		size = uint64(n)
	case 127:
		err = binary.Read(w.r, binary.BigEndian, &size)
	}
	if err == nil && size > 1<<20 {
		err = fmt.Errorf("frame of %d bytes", size)
	}
	if err != nil {
		return 0, nil, err
	}
	payload = make([]byte, size)
	_, err = io.ReadFull(w.r, payload)
	return head[0] & 15, payload, err
}

// Package standin simulates the peers of the call router on loopback: case servers and callers, which speak the
// platform's SIP and record what they see, and the name service. It is for tests and load tools; the serve
// command must never use it. It shares no code with the router, so that a mistake in the router is not hidden
// by the same one here.
package standin

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Message is a received SIP message.
type Message struct {
	StartLine string
	Header    map[string]string
	Body      string
}

// ReadMessage reads one message. It returns an error at the end of the stream, and for a Content-Length that is
// missing, invalid or above 1 MiB.
func ReadMessage(r *bufio.Reader) (Message, error) {
	m := Message{Header: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return m, err
		}
		switch line = strings.TrimSuffix(line, "\r\n"); {
		case m.StartLine == "":
			m.StartLine = line
		case line == "":
			n, err := strconv.Atoi(m.Header["Content-Length"])
			if err != nil || n < 0 || n > 1<<20 {
				return m, fmt.Errorf("invalid Content-Length %q", m.Header["Content-Length"])
			}
			body := make([]byte, n)
			_, err = io.ReadFull(r, body)
			m.Body = string(body)
			return m, err
		default:
			name, value, _ := strings.Cut(line, ": ")
			m.Header[name] = value
		}
	}
}

// CallID returns the Call-ID of the message.
func (m Message) CallID() string { return m.Header["Call-ID"] }

// Status returns the status of a response, or 0 for a request.
func (m Message) Status() int {
	if rest, ok := strings.CutPrefix(m.StartLine, "SIP/2.0 "); ok {
		n, _ := strconv.Atoi(rest[:min(3, len(rest))])
		return n
	}
	return 0
}

// Method returns the method of a request, or of the request that a response answers.
func (m Message) Method() string {
	if m.Status() != 0 {
		_, method, _ := strings.Cut(m.Header["CSeq"], " ")
		return method
	}
	method, _, _ := strings.Cut(m.StartLine, " ")
	return method
}

// User returns the number called, from the start line of a request.
func (m Message) User() string {
	_, rest, _ := strings.Cut(m.StartLine, "sip:")
	user, _, _ := strings.Cut(rest, "@")
	return user
}

// Request encodes a request. Headers are pairs of a name and a value.
func Request(method, user, call, body string, headers ...string) []byte {
	b := fmt.Appendf(nil, "%s sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n",
		method, user, call, method)
	return appendHeadersAndBody(b, body, headers)
}

// Response encodes a response to a method. Its CSeq is always 1: case servers do not echo the one of the request.
func Response(status int, method, call, body string, headers ...string) []byte {
	b := fmt.Appendf(nil, "SIP/2.0 %d Whatever\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n", status, call, method)
	return appendHeadersAndBody(b, body, headers)
}

// appendHeadersAndBody appends the headers, the Content-Length and the body.
func appendHeadersAndBody(b []byte, body string, headers []string) []byte {
	for i := 0; i+1 < len(headers); i += 2 {
		b = fmt.Appendf(b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// CallID returns the Call-ID that tests use for the call of a name: the FNV-1a hash of the name in hex.
func CallID(name string) string {
	h := fnv.New64a()
	io.WriteString(h, name)
	return fmt.Sprintf("%016x", h.Sum64())
}

// lockedConn is a connection that several goroutines may write to.
type lockedConn struct {
	net.Conn
	openedAt time.Time
	mu       sync.Mutex
	endedAt  time.Time // when its peer was seen to have ended it; zero: it is open
}

// ended records that the peer has ended the connection.
func (c *lockedConn) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedAt = time.Now()
}

// lifetime returns when the connection was opened and ended.
func (c *lockedConn) lifetime() (openedAt, endedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openedAt, c.endedAt
}

// send writes a message and reports whether the write succeeded.
func (c *lockedConn) send(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Conn.Write(b)
	return err == nil
}

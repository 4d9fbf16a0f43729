// Package standin plays the other sides of the call router on loopback: case servers and callers that speak the platform's SIP
// and count what they saw, and the name service. It is for tests and load tools: what ships in serve must never import it, and
// it shares no code with what it checks, so that a mistake in one is not hidden by the same in the other.
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
)

// Message is one SIP message as it came.
type Message struct {
	Start  string
	Header map[string]string
	Body   string
}

// Read reads one message.
func Read(r *bufio.Reader) (Message, error) {
	m := Message{Header: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return m, err
		}
		switch line = strings.TrimSuffix(line, "\r\n"); {
		case m.Start == "":
			m.Start = line
		case line == "":
			n, err := strconv.Atoi(m.Header["Content-Length"])
			if err != nil || n < 0 || n > 1<<20 {
				return m, fmt.Errorf("a length of %q", m.Header["Content-Length"])
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

// Call is the id of the message's call.
func (m Message) Call() string { return m.Header["Call-ID"] }

// Status is that of a response; 0 for a request.
func (m Message) Status() int {
	if rest, ok := strings.CutPrefix(m.Start, "SIP/2.0 "); ok {
		n, _ := strconv.Atoi(rest[:min(3, len(rest))])
		return n
	}
	return 0
}

// Method is the method of a request, or the one that a response answers.
func (m Message) Method() string {
	if m.Status() != 0 {
		_, method, _ := strings.Cut(m.Header["CSeq"], " ")
		return method
	}
	method, _, _ := strings.Cut(m.Start, " ")
	return method
}

// User is the number in the first line of a request.
func (m Message) User() string {
	_, rest, _ := strings.Cut(m.Start, "sip:")
	user, _, _ := strings.Cut(rest, "@")
	return user
}

// Request writes a request; headers are name and value in turn.
func Request(method, user, call, body string, headers ...string) []byte {
	b := fmt.Appendf(nil, "%s sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n", method, user, call, method)
	return finish(b, body, headers)
}

// Response writes an answer to a method. Case servers say CSeq 1 whatever they were sent.
func Response(status int, method, call, body string, headers ...string) []byte {
	b := fmt.Appendf(nil, "SIP/2.0 %d Whatever\r\nCall-ID: %s\r\nCSeq: 1 %s\r\n", status, call, method)
	return finish(b, body, headers)
}

func finish(b []byte, body string, headers []string) []byte {
	for i := 0; i+1 < len(headers); i += 2 {
		b = fmt.Appendf(b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// CallID is the id of a call by a name.
func CallID(name string) string {
	h := fnv.New64a()
	io.WriteString(h, name)
	return fmt.Sprintf("%016x", h.Sum64())
}

// wire is one connection that several goroutines write to.
type wire struct {
	net.Conn
	mu sync.Mutex
}

func (w *wire) send(b []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.Conn.Write(b)
	return err == nil
}

// Package mgmt is the management server: a minimal HTTP/1.1 server on the event loop with one request per connection.
// It parses requests, limits their size and bounds the number of connections.
//
// It only serves readiness, drain and resume, and knows nothing about calls. It starts no goroutines, never blocks,
// and doesn't let a silent client keep others out.
package mgmt

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/router"
)

const (
	maxHeadSize = 4 << 10 // request line and headers, in bytes
	maxBodySize = 4 << 10 // body, in bytes; it is read and ignored
	// maxConnections limits open connections. The limits of the other listeners leave this number of descriptors free.
	maxConnections = 24
	// requestTimeout is the time for receiving a whole request, and lingerTimeout how long the client may keep the
	// connection open after the response.
	requestTimeout = 4 * time.Second
	lingerTimeout  = time.Second
	// sweepInterval is the interval at which expired connections are closed.
	sweepInterval = 200 * time.Millisecond
)

// Process is the process that the server controls. The server answers errors with status 409 and their text as the
// body.
type Process interface {
	// Ready reports whether the process accepts calls, and its state as text.
	Ready() (ok bool, state string)
	Drain() error
	Resume() error
}

// Config holds the dependencies of a Server.
type Config struct {
	Loop     *loop.Loop
	Addr     netip.AddrPort
	Clock    router.Clock
	Schedule func(time.Duration, func()) // runs a function on the loop at a time of Clock
	Process  Process
	Log      zerolog.Logger
}

// Server is the management server. Its methods must be called on the loop.
type Server struct {
	cfg         Config
	listener    *loop.Listener
	connections []*connection // oldest first
	counters    Counters
}

// Counters counts connections by their result. Answered requests were executed, also those for readiness that got
// status 503; Refused ones got status 404, 405 or 409. Late connections were closed before their request was complete,
// and Evicted ones to admit a new connection. Open is the number of connections that are open now.
type Counters struct {
	Accepted, Answered, Refused, Malformed, Late, Evicted uint64
	Open                                                  int
}

// Open starts to listen on the configured address. Errors name the address.
func Open(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg}
	var err error
	if s.listener, err = cfg.Loop.ListenUrgent(cfg.Addr, s.accept); err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	s.sweep()
	return s, nil
}

// Addr returns the local address.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr() }

// Counters returns the current counts.
func (s *Server) Counters() Counters {
	s.counters.Open = len(s.connections)
	return s.counters
}

// accept closes one connection if the limit is reached: the oldest that has its response, else the oldest.
func (s *Server) accept(conn *loop.Conn) loop.Handler {
	if len(s.connections) >= maxConnections {
		evicted := s.connections[0]
		for _, c := range s.connections {
			if c.answered { // the client has had a chance to read its response
				evicted = c
				break
			}
		}
		s.counters.Evicted++
		evicted.conn.Close(loop.ErrClosedLocally)
	}
	s.counters.Accepted++
	c := &connection{server: s, conn: conn, deadline: s.cfg.Clock() + requestTimeout}
	s.connections = append(s.connections, c)
	return c
}

// sweep closes expired connections and schedules the next sweep.
func (s *Server) sweep() {
	now := s.cfg.Clock()
	for i := 0; i < len(s.connections); {
		c := s.connections[i]
		if now < c.deadline {
			i++
			continue
		}
		if !c.answered {
			s.counters.Late++
		}
		c.conn.Close(loop.ErrSlowPeer)
	}
	s.cfg.Schedule(now+sweepInterval, s.sweep)
}

// connection is the loop.Handler of a connection, which carries one request.
type connection struct {
	server       *Server
	conn         *loop.Conn
	deadline     time.Duration // closed at this time
	sentContinue bool          // 100 Continue was sent
	answered     bool
}

// Opened implements loop.Handler.
func (c *connection) Opened(*loop.Conn) {}

// Closed implements loop.Handler.
func (c *connection) Closed(*loop.Conn, error) {
	for i, other := range c.server.connections {
		if other == c {
			c.server.connections = append(c.server.connections[:i], c.server.connections[i+1:]...)
			break
		}
	}
}

// Data implements loop.Handler.
func (c *connection) Data(_ *loop.Conn, b []byte) int {
	req, status := parseRequest(b)
	switch {
	case status == incomplete:
		if req.expectsContinue && !c.sentContinue {
			c.sentContinue = true
			c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return 0
	case status != 0:
		c.server.counters.Malformed++
		if status != 400 { // status 400 isn't logged: its cause may be any kind of garbage
			c.server.cfg.Log.Warn().Str("event", "mgmt_malformed").Int("status", status).
				Msgf("management server: %s: request rejected with status %d", c.conn.Remote(), status)
		}
		c.respond(status, statusTexts[status], "", false)
	default:
		c.serve(req)
	}
	return len(b)
}

// serve executes a complete request.
func (c *connection) serve(req request) {
	s, head := c.server, string(req.method) == "HEAD"
	allowed := map[string]string{"/-/ready": "GET", "/-/drain": "PUT", "/-/resume": "PUT"}[string(req.path)]
	switch {
	case allowed == "":
		s.counters.Refused++
		c.respond(404, "no such path; there are /-/ready, /-/drain and /-/resume", "", head)
		return
	case string(req.method) != allowed && !(head && allowed == "GET"):
		s.counters.Refused++
		if allowed == "GET" {
			allowed = "GET, HEAD"
		}
		c.respond(405, "method not allowed", allowed, head)
		return
	}
	var err error
	ok, text := true, ""
	switch string(req.path) {
	case "/-/ready":
		ok, text = s.cfg.Process.Ready()
	case "/-/drain":
		text, err = "draining", s.cfg.Process.Drain()
	case "/-/resume":
		text, err = "serving", s.cfg.Process.Resume()
	}
	switch {
	case err != nil:
		s.counters.Refused++
		c.respond(409, err.Error(), "", head)
	case !ok:
		s.counters.Answered++
		c.respond(503, text, "", head)
	default:
		s.counters.Answered++
		c.respond(200, text, "", head)
	}
}

// statusTexts holds the reason phrases of the statuses in use.
var statusTexts = map[int]string{
	400: "Bad Request",
	411: "Length Required",
	413: "Content Too Large",
	431: "Request Header Fields Too Large",
	505: "HTTP Version Not Supported",
	200: "OK",
	404: "Not Found",
	405: "Method Not Allowed",
	409: "Conflict",
	503: "Service Unavailable",
}

// respond writes the response and closes the connection in such a way that the client can still read it.
func (c *connection) respond(status int, text, allow string, head bool) {
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n"+
		"Cache-Control: no-store\r\nConnection: close\r\nContent-Length: %d\r\n",
		status, statusTexts[status], len(text)+1)
	if allow != "" {
		b = append(append(append(b, "Allow: "...), allow...), "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if !head {
		b = append(append(b, text...), '\n')
	}
	c.conn.Write(b)
	c.answered, c.deadline = true, c.server.cfg.Clock()+lingerTimeout
	c.conn.Finish()
}

// request is a parsed request. Its slices refer to the read buffer.
type request struct {
	method, path    []byte
	expectsContinue bool // the client waits for 100 Continue before it sends the body
}

// incomplete is the status that parseRequest returns for a request that isn't complete yet.
const incomplete = -1

// parseRequest parses one request. status is 0 for a complete request, incomplete if bytes are missing, or the HTTP
// status to reject it with.
func parseRequest(b []byte) (req request, status int) {
	b = bytes.TrimLeft(b, "\r\n")
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 && len(b) > maxHeadSize || end > maxHeadSize {
		return req, 431
	}
	requestLine := b
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		var ok bool
		if requestLine, ok = bytes.CutSuffix(b[:i], []byte("\r")); !ok {
			return req, 400
		}
	} else if end < 0 {
		if len(b) > 0 && !isToken(b[:min(len(b), 1)]) {
			return req, 400
		}
		return req, incomplete
	}
	method, rest, _ := bytes.Cut(requestLine, []byte(" "))
	target, version, ok := bytes.Cut(rest, []byte(" "))
	if !ok || !isToken(method) || len(target) == 0 || !bytes.HasPrefix(version, []byte("HTTP/")) {
		return req, 400
	}
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		if len(version) == len("HTTP/1.1") || string(version) == "HTTP/2.0" {
			return req, 505
		}
		return req, 400
	}
	if end < 0 {
		return req, incomplete
	}
	if i := bytes.Index(target, []byte("://")); i >= 0 && target[0] != '/' { // absolute form
		target = target[i+3:]
		if i := bytes.IndexByte(target, '/'); i >= 0 {
			target = target[i:]
		} else {
			target = []byte("/")
		}
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	req.method, req.path = method, path
	length := -1
	var lines []byte
	if len(requestLine)+2 < end {
		lines = b[len(requestLine)+2 : end]
	}
	for len(lines) > 0 {
		line, remaining, _ := bytes.Cut(lines, []byte("\r\n"))
		lines = remaining
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || bytes.IndexByte(line, '\n') >= 0 {
			return req, 400
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || length >= 0 && int(n) != length {
				return req, 400
			}
			length = int(n)
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			return req, 411
		case bytes.EqualFold(name, []byte("expect")):
			req.expectsContinue = bytes.EqualFold(value, []byte("100-continue"))
		}
	}
	if length > maxBodySize {
		return req, 413
	}
	if len(b) < end+4+max(length, 0) {
		return req, incomplete
	}
	return req, 0
}

// isToken reports whether b is a token of RFC 9110.
func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}

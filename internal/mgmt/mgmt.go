// Package mgmt is the operators' door: HTTP/1.1, one call a connection, on the loop. It owns the parsing of a call, its bounds
// and the room that its callers may take. It knows ready, drain and resume and nothing of calls; it must never start a goroutine,
// wait for anything, or let a caller that says nothing keep another one out.
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
	headMost = 4 << 10 // bytes of request line and headers
	bodyMost = 4 << 10 // bytes of a body, which is read and not used
	// connsMost connections are held at once; callers of the other fronts leave as many descriptors free.
	connsMost = 24
	// wholeWithin is how long a caller has for a whole call, and lingerFor how long one that has its answer may keep its side open.
	wholeWithin = 4 * time.Second
	lingerFor   = time.Second
	// sweepEvery is how often connections are looked at.
	sweepEvery = 200 * time.Millisecond
)

// Process is what the door asks and tells. Errors are refusals whose text the operator sees.
type Process interface {
	Ready() (ok bool, state string)
	Drain() error
	Resume() error
}

// Config is what a Door needs.
type Config struct {
	Loop    *loop.Loop
	Addr    netip.AddrPort
	Clock   router.Clock
	At      func(time.Duration, func())
	Process Process
	Log     zerolog.Logger
}

// Door answers operators.
type Door struct {
	cfg    Config
	listen *loop.Listener
	calls  []*call // oldest first
	count  Counters
}

// Counters count calls by what became of them. Open is what is held now.
type Counters struct {
	Accepted, Answered, Refused, Malformed, Late, Evicted uint64
	Open                                                  int
}

// Open listens. The error names the address.
func Open(cfg Config) (*Door, error) {
	d := &Door{cfg: cfg}
	var err error
	if d.listen, err = cfg.Loop.ListenUrgent(cfg.Addr, d.accept); err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	d.sweep()
	return d, nil
}

// Addr is where the door listens.
func (d *Door) Addr() netip.AddrPort { return d.listen.Addr() }

// Counters returns a copy.
func (d *Door) Counters() Counters {
	d.count.Open = len(d.calls)
	return d.count
}

func (d *Door) accept(c *loop.Conn) loop.Handler {
	if len(d.calls) >= connsMost {
		out := d.calls[0]
		for _, k := range d.calls {
			if k.done { // has its answer, or could have
				out = k
				break
			}
		}
		d.count.Evicted++
		out.conn.Close(loop.ErrAbandoned)
	}
	d.count.Accepted++
	k := &call{d: d, conn: c, by: d.cfg.Clock() + wholeWithin}
	d.calls = append(d.calls, k)
	return k
}

// sweep ends connections whose time is up.
func (d *Door) sweep() {
	now := d.cfg.Clock()
	for i := 0; i < len(d.calls); {
		k := d.calls[i]
		if now < k.by {
			i++
			continue
		}
		if !k.done {
			d.count.Late++
		}
		k.conn.Close(loop.ErrSlow)
	}
	d.cfg.At(now+sweepEvery, d.sweep)
}

// call is one connection, which brings one call.
type call struct {
	d         *Door
	conn      *loop.Conn
	by        time.Duration // when it is closed
	continued bool          // it was told to send its body
	done      bool
}

func (k *call) Opened(*loop.Conn) {}

func (k *call) Closed(*loop.Conn, error) {
	for i, other := range k.d.calls {
		if other == k {
			k.d.calls = append(k.d.calls[:i], k.d.calls[i+1:]...)
			break
		}
	}
}

func (k *call) Data(_ *loop.Conn, b []byte) int {
	r, need := parse(b)
	switch {
	case need == more:
		if r.expects && !k.continued {
			k.continued = true
			k.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return 0
	case need != 0:
		k.d.count.Malformed++
		if need != 400 { // a malformed call may hold anything
			k.d.cfg.Log.Warn().Str("event", "mgmt_malformed").Int("status", need).Msgf("operators' door: %s: status %d", k.conn.Remote(), need)
		}
		k.answer(need, texts[need], "", false)
	default:
		k.serve(r)
	}
	return len(b)
}

// serve carries a whole call out.
func (k *call) serve(r request) {
	d, head := k.d, string(r.method) == "HEAD"
	want := map[string]string{"/-/ready": "GET", "/-/drain": "PUT", "/-/resume": "PUT"}[string(r.path)]
	switch {
	case want == "":
		d.count.Refused++
		k.answer(404, "no such path; there are /-/ready, /-/drain and /-/resume", "", head)
		return
	case string(r.method) != want && !(head && want == "GET"):
		d.count.Refused++
		if want == "GET" {
			want = "GET, HEAD"
		}
		k.answer(405, "method not allowed", want, head)
		return
	}
	var err error
	ok, text := true, ""
	switch string(r.path) {
	case "/-/ready":
		ok, text = d.cfg.Process.Ready()
	case "/-/drain":
		text, err = "draining", d.cfg.Process.Drain()
	case "/-/resume":
		text, err = "serving", d.cfg.Process.Resume()
	}
	switch {
	case err != nil:
		d.count.Refused++
		k.answer(409, err.Error(), "", head)
	case !ok:
		d.count.Answered++
		k.answer(503, text, "", head)
	default:
		d.count.Answered++
		k.answer(200, text, "", head)
	}
}

var texts = map[int]string{400: "Bad Request", 411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	505: "HTTP Version Not Supported", 200: "OK", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict", 503: "Service Unavailable"}

// answer gives the one answer and ends the connection, so that it can be read.
func (k *call) answer(status int, text, allow string, head bool) {
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\nConnection: close\r\nContent-Length: %d\r\n",
		status, texts[status], len(text)+1)
	if allow != "" {
		b = append(append(append(b, "Allow: "...), allow...), "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if !head {
		b = append(append(b, text...), '\n')
	}
	k.conn.Write(b)
	k.done, k.by = true, k.d.cfg.Clock()+lingerFor
	k.conn.Finish()
}

// request is what a call asks; its slices are of the read buffer.
type request struct {
	method, path []byte
	expects      bool // waits for a 100 before it sends its body
}

// more is parse's word that the call is not whole yet.
const more = -1

// parse reads one call: 0 where it is whole, more, or the status that it is refused with.
func parse(b []byte) (r request, need int) {
	b = bytes.TrimLeft(b, "\r\n")
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 && len(b) > headMost || end > headMost {
		return r, 431
	}
	first := b
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		var whole bool
		if first, whole = bytes.CutSuffix(b[:i], []byte("\r")); !whole {
			return r, 400
		}
	} else if end < 0 {
		if len(b) > 0 && !token(b[:min(len(b), 1)]) {
			return r, 400
		}
		return r, more
	}
	method, rest, _ := bytes.Cut(first, []byte(" "))
	target, version, ok := bytes.Cut(rest, []byte(" "))
	if !ok || !token(method) || len(target) == 0 || !bytes.HasPrefix(version, []byte("HTTP/")) {
		return r, 400
	}
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		if len(version) == len("HTTP/1.1") || string(version) == "HTTP/2.0" {
			return r, 505
		}
		return r, 400
	}
	if end < 0 {
		return r, more
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
	r.method, r.path = method, path
	length := -1
	var lines []byte
	if len(first)+2 < end {
		lines = b[len(first)+2 : end]
	}
	for len(lines) > 0 {
		line, after, _ := bytes.Cut(lines, []byte("\r\n"))
		lines = after
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !token(name) || bytes.IndexByte(line, '\n') >= 0 {
			return r, 400
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || length >= 0 && int(n) != length {
				return r, 400
			}
			length = int(n)
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			return r, 411
		case bytes.EqualFold(name, []byte("expect")):
			r.expects = bytes.EqualFold(value, []byte("100-continue"))
		}
	}
	if length > bodyMost {
		return r, 413
	}
	if len(b) < end+4+max(length, 0) {
		return r, more
	}
	return r, 0
}

// token says whether b is a token of RFC 9110.
func token(b []byte) bool {
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

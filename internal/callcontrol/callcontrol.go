package callcontrol

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rs/zerolog"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/identity"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/internal/settings"
	"threadglade.example/threadglade/router"
)

const (
	// answerEarly is taken off what a caller waits, as on the SIP side: its clock runs from its send.
	answerEarly = 30 * time.Millisecond
	// pingAfter without a word from the other side draws a ping, goneAfter closes the socket.
	pingAfter = 15 * time.Second
	goneAfter = 40 * time.Second
	// closeWithin is how long the other side has to answer a close.
	closeWithin = 2 * time.Second
	// wholeWithin is how long a new connection has for its handshake, and each later message from its first byte
	// until it is whole.
	wholeWithin = 2 * time.Second
	// sweepEvery is how often sockets are looked at.
	sweepEvery = 100 * time.Millisecond
	// placesPerS calls a second, and placesAtOnce, may be placed by one socket, as on the SIP side.
	placesPerS   = 400
	placesAtOnce = 64
	// unsentMost bytes may wait for a client that does not read.
	unsentMost = 64 << 10
	// complainEvery is how often a client's fault is worth a line in the log.
	complainEvery = time.Second
	// callsMost of one identity may be known at once, descriptionMost bytes may describe one.
	callsMost       = 1000
	descriptionMost = 8 << 10
)

// Error codes of the API; -32700 to -32600 are JSON-RPC's own.
const (
	codeParse     = -32700
	codeRequest   = -32600
	codeMethod    = -32601
	codeParams    = -32602
	codeRefused   = -32001 // data.retryAfterMs says when to come back
	codeFailed    = -32002 // something may have run
	codeDeadline  = -32003 // answerWithinMs has gone by
	codeUnknown   = -32004 // no such call of this identity
	codeElsewhere = -32005 // another socket has attached to the call
	codeCancelled = -32006 // withdrawn by call.cancel
	codeTooMany   = -32007 // too many calls of this identity
)

// Config is the file that switches the front on.
type Config struct {
	Listen      string   `toml:"listen"`
	Origins     []string `toml:"origins"`
	TrustDomain string   `toml:"trust_domain"`
	Audience    string   `toml:"audience"`
	Allowed     []string `toml:"allowed_ids"`
	WorkloadAPI string   `toml:"workload_api"`
	GraceMs     int      `toml:"grace_ms"`
	Sockets     int      `toml:"sockets"`

	Addr netip.AddrPort `toml:"-"`
}

// Identity is the part of the configuration that says whom to let in.
func (c Config) Identity() identity.Config {
	return identity.Config{TrustDomain: c.TrustDomain, Audience: c.Audience, Allowed: c.Allowed, WorkloadAPI: c.WorkloadAPI}
}

// Load reads the file. The error names it and what is wrong in it.
func Load(path string) (Config, error) {
	c := Config{GraceMs: 5000, Sockets: 64}
	meta, err := toml.DecodeFile(path, &c)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return c, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if _, err := c.validate(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Read reads a (callcontrol ...) section. What is wrong is noted with the section and reported by its Finish.
func Read(s *settings.Section) Config {
	c := Config{GraceMs: 5000, Sockets: 64}
	s.String("listen", &c.Listen)
	c.Origins = s.Strings("origins")
	s.String("trust-domain", &c.TrustDomain)
	s.String("audience", &c.Audience)
	c.Allowed = s.Strings("allowed-ids")
	s.String("workload-api", &c.WorkloadAPI)
	s.Int("grace-ms", &c.GraceMs, 1, 60_000)
	s.Int("sockets", &c.Sockets, 1, 1<<20)
	if field, err := c.validate(); err != nil {
		s.Errorf(strings.ReplaceAll(field, "_", "-"), "%v", err)
	}
	return c
}

// validate checks the configuration, and names the field that is wrong in the error, too.
func (c *Config) validate() (field string, err error) {
	if c.Addr, err = netip.ParseAddrPort(c.Listen); err != nil {
		return "listen", fmt.Errorf("listen: %w", err)
	}
	if !c.Addr.Addr().IsLoopback() {
		return "listen", fmt.Errorf("listen: %s is not a loopback address; TLS ends at a local proxy", c.Listen)
	}
	if c.GraceMs < 1 || c.GraceMs > 60_000 {
		return "grace_ms", fmt.Errorf("grace_ms: %d is not within 1 and 60000", c.GraceMs)
	}
	if c.Sockets < 1 {
		return "sockets", fmt.Errorf("sockets: %d is not positive", c.Sockets)
	}
	if _, err := identity.New(c.Identity(), zerolog.Nop()); err != nil {
		field, _, _ = strings.Cut(err.Error(), ":")
		return field, err
	}
	return "", nil
}

// Verify checks a token; identity.Verifier's is the real one.
type Verify func(token string) (identity.Caller, error)

// Front serves the API.
type Front struct {
	cfg        Config
	classes    map[string]threadglade.Class
	router     *router.Router
	clock      router.Clock
	verify     Verify
	log        zerolog.Logger
	socks      map[*socket]bool
	calls      map[string]*call // by the router's id
	owned      map[string]int   // calls of each identity
	closing    bool
	buf        []byte        // what is being written
	complained time.Duration // when a client's fault was last logged
	count      Counters
}

// Counters count what came by the second front and left by it.
type Counters struct {
	Accepted, Turned, Late, Unauthorised, Messages, Faults, Flooded, Placed, Answers, Ended, Attached, Unclaimed uint64
	Sockets, Calls                                                                                               int // held now
}

// call is one call of an identity, from its placing until its end. It is the request's router.Front.
type call struct {
	f       *Front
	id      string
	owner   string
	on      *socket         // nil while nobody is attached
	waiting json.RawMessage // the request on that socket that is owed the final answer
	answer  *response       // the final answer while nobody has had it
	stands  bool
	over    bool
	how     threadglade.Outcome // how it ended, once over
	lapse   int                 // counts graces, so that only the latest one's timer acts
}

// New makes the front.
func New(cfg Config, classes []threadglade.Class, r *router.Router, clock router.Clock, verify Verify,
	log zerolog.Logger) *Front {
	f := &Front{cfg: cfg, router: r, clock: clock, verify: verify, log: log,
		socks: map[*socket]bool{}, calls: map[string]*call{}, owned: map[string]int{}}
	f.Change(classes)
	f.sweep()
	return f
}

// Change has calls that are placed from now on be checked against other classes.
func (f *Front) Change(classes []threadglade.Class) {
	f.classes = make(map[string]threadglade.Class, len(classes))
	for _, c := range classes {
		f.classes[c.Name] = c
	}
}

// Counters returns a copy.
func (f *Front) Counters() Counters {
	f.count.Sockets, f.count.Calls = len(f.socks), len(f.calls)
	return f.count
}

// Reconfigure takes a file that was read anew: pages, grace and sockets hold from now on, for new connections.
// The address stays that of the start, and no call or socket is forgotten.
func (f *Front) Reconfigure(c Config) {
	if c.Addr != f.cfg.Addr {
		f.log.Warn().Str("event", "callcontrol_listen").Msg("call control: listen has changed, which takes a restart")
		c.Addr = f.cfg.Addr
	}
	f.cfg = c
}

// Close says goodbye to every socket.
func (f *Front) Close() {
	f.closing = true
	for s := range f.socks {
		s.close(closeAway, "the router ends")
	}
}

// ---- sockets ----

// socket is one WebSocket.
type socket struct {
	f       *Front
	conn    *loop.Conn
	caller  identity.Caller // ID is empty until the handshake is done
	heard   time.Duration
	by      time.Duration // when it is closed unless the handshake, a message or the close is whole by then; 0: none is due
	pinged  bool
	closing bool // a close has been sent
	parts   assembler
	rate    loop.Bucket // of calls placed
}

// Accept takes a new connection. Where there is no room, the one that has owed its handshake longest goes.
func (f *Front) Accept(c *loop.Conn) loop.Handler {
	if len(f.socks) >= f.cfg.Sockets && !f.closing {
		var mute *socket
		for s := range f.socks {
			if s.caller.ID == "" && (mute == nil || s.by < mute.by) {
				mute = s
			}
		}
		if mute != nil {
			f.count.Late++
			mute.conn.Close(errHello)
		}
	}
	if len(f.socks) >= f.cfg.Sockets || f.closing {
		f.count.Turned++
		return nil
	}
	f.count.Accepted++
	now := f.clock()
	s := &socket{f: f, conn: c, heard: now, by: now + wholeWithin, rate: loop.Bucket{Rate: placesPerS, Burst: placesAtOnce}}
	f.socks[s] = true
	return s
}

// sweep keeps the sockets' deadlines: handshakes, messages and closes that are not whole in time, tokens that have
// expired, quiet sockets, which are pinged, and dead ones. No socket has a timer of its own that could outlive it.
func (f *Front) sweep() {
	now := f.clock()
	for s := range f.socks {
		quiet := now - s.heard
		switch {
		case s.by > 0 && now >= s.by, s.conn.Unsent() > unsentMost, quiet >= goneAfter:
			f.count.Late++
			s.conn.Close(loop.ErrSlowPeer)
		case s.caller.ID == "" || s.closing:
		case now >= time.Duration(s.caller.Expires.UnixNano()):
			// The token speaks for its caller until then and no longer.
			s.close(closePolicy, "token has expired")
		case quiet >= pingAfter && !s.pinged:
			s.pinged = true
			s.write(opPing, nil)
		}
	}
	f.router.Schedule(now+sweepEvery, f.sweep)
}

// complain logs what a client did wrong, now and then: a bad client can repeat it at will.
func (f *Front) complain(event, format string, args ...any) {
	if now := f.clock(); f.complained == 0 || now-f.complained >= complainEvery {
		f.complained = now
		f.log.Warn().Str("event", event).Msgf(format, args...)
	}
}

func (s *socket) Opened(*loop.Conn) {}

// Closed leaves the socket's calls to their identity: set-ups go on to their deadline, standing calls wait for
// somebody to attach.
func (s *socket) Closed(*loop.Conn, error) {
	delete(s.f.socks, s)
	for _, c := range s.f.calls {
		if c.on == s {
			c.detach()
		}
	}
}

func (s *socket) Data(_ *loop.Conn, b []byte) int {
	s.heard, s.pinged = s.f.clock(), false
	if s.caller.ID == "" {
		return s.open(b)
	}
	f, n, err := parseFrame(b)
	if err != nil {
		s.fault(err)
		return len(b)
	}
	if n > 0 {
		s.frame(f)
	}
	switch {
	case s.closing:
	case n == 0 || s.parts.open: // something has begun
		if s.by == 0 {
			s.by = s.heard + wholeWithin
		}
	default:
		s.by = 0
	}
	return n
}

// open takes the handshake.
func (s *socket) open(b []byte) int {
	h, n, err := parseHello(b)
	if err == nil && n == 0 {
		return 0
	}
	accept, keyed := acceptKey(h.key)
	switch {
	case err != nil, !h.upgrade, !keyed:
		s.turn("400 Bad Request", "")
		return len(b)
	case h.version != "13":
		s.turn("426 Upgrade Required", "Sec-WebSocket-Version: 13\r\n")
		return len(b)
	case h.origin != "" && !slices.Contains(s.f.cfg.Origins, h.origin):
		s.turn("403 Forbidden", "")
		return len(b)
	}
	caller, err := s.f.verify(h.bearer)
	if err != nil {
		s.f.count.Unauthorised++
		s.f.complain("callcontrol_turned", "call control: %s turned away: %v", s.conn.Remote(), err)
		if errors.Is(err, identity.ErrNoBundle) {
			s.turn("503 Service Unavailable", "Retry-After: 1\r\n")
		} else {
			s.turn("401 Unauthorized", "WWW-Authenticate: Bearer\r\n")
		}
		return len(b)
	}
	s.caller, s.by = caller, 0
	protocol := ""
	if slices.Contains(h.protocols, subprotocol) {
		protocol = "Sec-WebSocket-Protocol: " + subprotocol + "\r\n"
	}
	s.conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Accept: " + accept + "\r\n" + protocol + "\r\n"))
	return n
}

func (s *socket) turn(status, headers string) {
	s.conn.Write([]byte("HTTP/1.1 " + status + "\r\n" + headers + "Connection: close\r\nContent-Length: 0\r\n\r\n"))
	s.finish()
}

// finish ends the connection so that its last word can be read.
func (s *socket) finish() {
	s.closing, s.by = true, s.f.clock()+closeWithin
	s.conn.Finish()
}

func (s *socket) write(op byte, payload []byte) {
	s.f.buf = appendFrame(s.f.buf[:0], op, payload)
	s.conn.Write(s.f.buf)
}

func (s *socket) fault(err *fault) {
	s.f.count.Faults++
	s.f.complain("callcontrol_fault", "call control: %s: %v", s.caller.ID, err)
	s.close(err.code, err.text)
}

// close begins the closing handshake; the other side's close or a timer ends it.
func (s *socket) close(code int, reason string) {
	if s.closing || !s.conn.Open() {
		return
	}
	s.closing = true
	s.write(opClose, closePayload(code, reason))
	s.by = s.f.clock() + closeWithin
}

func (s *socket) frame(f frame) {
	switch f.op {
	case opPing:
		if !s.closing {
			s.write(opPong, f.payload)
		}
	case opPong:
	case opClose:
		code, err := closeCode(f.payload)
		switch {
		case s.closing:
		case err != nil:
			s.close(err.code, err.text)
		case code == closeNoCode:
			s.write(opClose, nil)
		default:
			s.write(opClose, closePayload(code, ""))
		}
		s.finish()
	default:
		if s.closing {
			return
		}
		text, whole, err := s.parts.add(f)
		if err != nil {
			s.fault(err)
		} else if whole {
			s.f.count.Messages++
			s.message(text)
		}
	}
}

// ---- JSON-RPC ----

type message struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Method  *string         `json:"method"`
	Params  json.RawMessage `json:"params"`
}

type response struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Result  any             `json:"result,omitempty"`
	Error   *rpcError       `json:"error,omitempty"`
}

type rpcError struct {
	Code    int            `json:"code"`
	Message string         `json:"message"`
	Data    map[string]any `json:"data,omitempty"`
}

type notification struct {
	Version string         `json:"jsonrpc"`
	Method  string         `json:"method"`
	Params  map[string]any `json:"params"`
}

var null = json.RawMessage("null")

func failure(code int, text string, data map[string]any) *response {
	return &response{Error: &rpcError{code, text, data}}
}

// send answers a request; one without an id wants no answer.
func (s *socket) send(id json.RawMessage, r *response) {
	if s == nil || id == nil || s.closing {
		return
	}
	r.Version, r.ID = "2.0", id
	s.put(r)
}

func (s *socket) put(v any) {
	text, err := json.Marshal(v)
	if err != nil {
		s.f.log.Warn().Str("event", "callcontrol_fault").Msgf("call control: %v", err)
		return
	}
	s.write(opText, text)
}

func (s *socket) message(text []byte) {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		code := codeParse
		if json.Valid(text) { // a batch, or members of the wrong kind
			code = codeRequest
		}
		s.send(null, failure(code, "not a JSON-RPC request", nil))
		return
	}
	if m.ID != nil && !validID(m.ID) {
		s.send(null, failure(codeRequest, "id must be a string, a number or null", nil))
		return
	}
	if m.Method == nil && m.ID != nil { // an answer of the client's: nothing is ever asked of it
		return
	}
	if m.Version != "2.0" || m.Method == nil {
		id := m.ID
		if id == nil {
			id = null
		}
		s.send(id, failure(codeRequest, "not a JSON-RPC 2.0 request", nil))
		return
	}
	var answer *response
	switch *m.Method {
	case "call.place":
		answer = s.place(m)
	case "call.cancel":
		answer = s.cancel(m)
	case "call.release":
		answer = s.release(m)
	case "call.attach":
		answer = s.attach(m)
	default:
		answer = failure(codeMethod, "no such method", nil)
	}
	if answer != nil {
		s.send(m.ID, answer)
	}
}

func validID(id json.RawMessage) bool {
	return id[0] == '"' || id[0] == '-' || id[0] >= '0' && id[0] <= '9' || string(id) == "null"
}

// strict reads params and takes no key that it does not know.
func strict(raw json.RawMessage, into any) error {
	if len(raw) == 0 || raw[0] != '{' {
		return errors.New("params must be an object")
	}
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// place starts a call. Its answer is the final one and comes later; call.placed tells the id at once.
func (s *socket) place(m message) *response {
	var p struct {
		Class       string `json:"class"`
		Number      string `json:"number"`
		Destination *int   `json:"destination"`
		Within      int64  `json:"answerWithinMs"`
		Description string `json:"description"`
		Retry       bool   `json:"retry"`
	}
	err := strict(m.Params, &p)
	class, known := s.f.classes[p.Class]
	switch {
	case err != nil:
	case m.ID == nil || string(m.ID) == "null":
		return failure(codeRequest, "call.place needs an id", nil)
	case !known:
		err = fmt.Errorf("class %q is unknown", p.Class)
	case !dialable(p.Number):
		err = errors.New("number must be 1 to 64 letters, digits or any of + - . _ * #")
	case p.Within < 1 || p.Within > class.Deadline.Milliseconds():
		err = errors.New("answerWithinMs is out of range")
	case p.Destination != nil && *p.Destination != -1 && len(class.Servers) > 0 && !slices.Contains(class.Servers, *p.Destination):
		err = errors.New("destination is not a server of the class")
	case len(p.Description) > descriptionMost:
		err = errors.New("description is too long")
	}
	if err != nil {
		return failure(codeParams, err.Error(), nil)
	}
	if !s.rate.Take(s.heard) {
		s.f.count.Flooded++
		return failure(codeTooMany, "too many calls at once", nil)
	}
	if s.f.owned[s.caller.ID] >= callsMost {
		return failure(codeTooMany, "too many calls", nil)
	}
	destination := -1
	if p.Destination != nil {
		destination = *p.Destination
	}
	c := &call{f: s.f, id: newID(), owner: s.caller.ID, on: s, waiting: slices.Clone(m.ID)}
	s.f.calls[c.id] = c
	s.f.owned[c.owner]++
	s.f.count.Placed++
	s.notify("call.placed", map[string]any{"call": c.id, "request": c.waiting})
	s.f.router.Arrive(c, router.Request{ID: c.id, Class: p.Class, Number: p.Number, Description: []byte(p.Description),
		Destination: destination, Retry: p.Retry,
		Deadline: s.heard + time.Duration(p.Within)*time.Millisecond - answerEarly, Caller: s.conn.Remote().Addr(),
		Identity: s.caller.ID, Front: "callcontrol"})
	return nil
}

func dialable(number string) bool {
	for _, r := range number {
		if (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && !strings.ContainsRune("+-._*#", r) {
			return false
		}
	}
	return len(number) >= 1 && len(number) <= 64
}

func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (s *socket) notify(method string, params map[string]any) {
	if !s.closing {
		s.put(notification{"2.0", method, params})
	}
}

// find reads which of its calls the caller means.
func (s *socket) find(m message) (*call, *response) {
	var p struct {
		Call string `json:"call"`
	}
	if err := strict(m.Params, &p); err != nil {
		return nil, failure(codeParams, err.Error(), nil)
	}
	c := s.f.calls[p.Call]
	if c == nil || c.owner != s.caller.ID {
		return nil, failure(codeUnknown, "no such call", nil)
	}
	return c, nil
}

// cancel withdraws a call that has no answer yet.
func (s *socket) cancel(m message) *response {
	c, bad := s.find(m)
	if bad != nil {
		return bad
	}
	if c.stands || c.answer != nil {
		return failure(codeUnknown, "the call has its answer", nil)
	}
	s.f.router.Cancel(c, c.id)
	c.on.send(c.waiting, failure(codeCancelled, "cancelled", map[string]any{"call": c.id}))
	c.forget()
	return &response{Result: map[string]any{"call": c.id}}
}

// release ends a call that stands.
func (s *socket) release(m message) *response {
	c, bad := s.find(m)
	if bad != nil {
		return bad
	}
	if !c.stands {
		return failure(codeUnknown, "the call does not stand", nil)
	}
	s.f.router.Release(c.id)
	c.forget()
	return &response{Result: map[string]any{"call": c.id}}
}

// attach gives a call to this socket. One without an answer answers here when it has it, one whose answer nobody
// has had answers now, one that stands says so; call.ended comes here from now on.
func (s *socket) attach(m message) *response {
	if m.ID == nil || string(m.ID) == "null" {
		return failure(codeRequest, "call.attach needs an id", nil)
	}
	c, bad := s.find(m)
	if bad != nil {
		return bad
	}
	s.f.count.Attached++
	if c.on != nil && c.on != s {
		c.on.send(c.waiting, failure(codeElsewhere, "attached elsewhere", map[string]any{"call": c.id}))
	} else if c.on == s && c.waiting != nil {
		return failure(codeRequest, "this socket waits for the call already", nil)
	}
	c.on, c.waiting = s, nil
	c.lapse++
	switch {
	case c.answer != nil:
		answer := c.answer
		c.answer = nil
		if c.over || !c.stands {
			c.forget()
		}
		if c.stands && c.over { // it came and went unseen
			s.send(m.ID, answer)
			s.ended(c.id, c.how)
			return nil
		}
		return answer
	case c.stands:
		return &response{Result: map[string]any{"call": c.id, "state": "standing"}}
	}
	c.waiting = slices.Clone(m.ID)
	return nil
}

func (s *socket) ended(id string, how threadglade.Outcome) {
	cause := "cut"
	if how == threadglade.Concluded {
		cause = "concluded"
	}
	s.f.count.Ended++
	s.notify("call.ended", map[string]any{"call": id, "cause": cause})
}

// ---- calls ----

// detach leaves the call to whoever attaches next, for a while.
func (c *call) detach() {
	c.on, c.waiting = nil, nil
	if c.stands || c.answer != nil {
		c.grace()
	}
}

// grace forgets a call that nobody claims and releases it if it stands.
func (c *call) grace() {
	c.lapse++
	lapse := c.lapse
	c.f.router.Schedule(c.f.clock()+time.Duration(c.f.cfg.GraceMs)*time.Millisecond, func() {
		if c.f.calls[c.id] != c || c.on != nil || c.lapse != lapse {
			return
		}
		c.f.count.Unclaimed++
		c.f.log.Info().Str("event", "callcontrol_unclaimed").Str("call", c.id).Str("identity", c.owner).
			Msgf("call control: call %s of %s was not claimed", c.id, c.owner)
		if c.stands && !c.over {
			c.f.router.Release(c.id)
		}
		c.forget()
	})
}

func (c *call) forget() {
	if c.f.calls[c.id] != c {
		return
	}
	delete(c.f.calls, c.id)
	if c.f.owned[c.owner]--; c.f.owned[c.owner] <= 0 {
		delete(c.f.owned, c.owner)
	}
}

// final gives the one answer to whoever waits, or keeps it for whoever attaches.
func (c *call) final(r *response) {
	c.f.count.Answers++
	if c.on != nil && !c.on.closing {
		c.on.send(c.waiting, r)
		c.waiting = nil
		if !c.stands {
			c.forget()
		}
		return
	}
	c.on, c.waiting, c.answer = nil, nil, r
	c.grace()
}

// Stood is called by the router.
func (c *call) Established(_ string, description []byte) {
	c.stands = true
	c.final(&response{Result: map[string]any{"call": c.id, "state": "standing", "description": string(description)}})
}

// Refused is called by the router.
func (c *call) Refused(_ string, retryAfter time.Duration) {
	c.final(failure(codeRefused, "refused", map[string]any{"call": c.id, "retryAfterMs": retryAfter.Milliseconds()}))
}

// Failed is called by the router.
func (c *call) Failed(_ string, why router.Failure) {
	if why == router.DeadlineExceeded {
		c.final(failure(codeDeadline, "deadline", map[string]any{"call": c.id}))
		return
	}
	c.final(failure(codeFailed, "failed", map[string]any{"call": c.id}))
}

// Released is called by the router.
func (c *call) Released(_ string, how threadglade.Outcome) {
	c.over, c.how = true, how
	switch {
	case c.answer != nil: // kept until the grace ends: whoever attaches hears both
	case c.on != nil:
		c.on.ended(c.id, how)
		c.forget()
	default:
		c.forget()
	}
}

// Package scenario holds the tests of the whole call router, written in a small language: a scenario is a list of
// lines "who does what", played against a real node on loopback whose clock only moves by the script. This file
// owns the language and the stand-ins for callers, case servers and the name service. It must never sleep for
// luck: every expect waits for an event, and time in the router passes only in wait.
//
//	start [flags]            start the router with the servers opened so far
//	NAME open [number=N at=sM] sN: a case server listens; others: a caller connects; wN: a WebSocket (id=, origin=, mute)
//	oN: the operators' door; "oN ask METHOD PATH" opens and asks, "oN expect STATUS [text]" wants that and the end
//	NAME send MESSAGE        SIP: METHOD or STATUS METHOD, call or #id, Header=Value..., Body=text; wN: JSON
//	NAME raw "text"          these bytes (Go syntax)
//	NAME expect MESSAGE      the next message is this one; values match as parts; "silence", "closed"
//	NAME none                nothing has come, by now; for when the router answers nobody
//	NAME close               end the connection; sN: and the listener; "sN hang": the machine vanishes
//	list [serial=N] sN[=draining|@ms]...  the name service now has this list
//	disk slow|back|full      the ledger's disk stops, takes nothing, or is as before
//	config good|bad "old" "new"...  the configuration is read anew with these parts replaced, and taken or not
//	wait DURATION            the router's clock moves on
//	halt, go                 the router's loop stands still in the middle of a turn, and goes on; meanwhile wait moves the clock alone
//	term                     the router is told to end
//	NAME answered METHOD call  among what has come by now or comes soon is a 200 for this
//	NAME reset               a caller's connection ends by a reset
//	sN older MESSAGE         send on the connection before the latest
//	sN drop                  the case server ends its connection, and listens on
//	sN deaf, sN hear         the case server does not read what comes on its connections, and reads on
//	log "text"               the clock moves on until the router has logged this
//	quiet "text"             it has not logged this since
package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"threadglade.example/threadglade/internal/callcontrol"
	"threadglade.example/threadglade/internal/durable/durabletest"
	"threadglade.example/threadglade/internal/identity"
	"threadglade.example/threadglade/internal/ledgerio"
	"threadglade.example/threadglade/internal/node"
	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/ledger"
)

const patience = 5 * time.Second // for an event that never comes

const settings = `{"me":0,"replicasOfMe":1,"discovery":"pushed","classes":[
 {"name":"voice","aimMs":1000,"deadlineMs":5000,"gain":1,"lateWorth":0.5,"repeat":"free"},
 {"name":"data","aimMs":1000,"deadlineMs":5000,"gain":1,"lateWorth":0.5,"repeat":"free"}],
 "domain":{"allowedPools":[[0,1],[0,1]],"clearWaitMs":200,"holdingMs":[2000,2000],"networkForm":"skills"},
 "limits":{"maxAttempts":6,"cancel":true,"retryAfter":true,"maxRetryAfterMs":2000,"connectTimeoutMs":500},
 "report":{"fields":["idle","circuits"]},
 "rules":{"coldFrom":0.37,"warmWithinMs":9000,"fallMultiple":3,"overloadForMs":2000,"drainGraceMs":1000}}`

// world is one play of a scenario.
type world struct {
	t     *testing.T
	node  *node.Node
	ended chan error
	clock atomic.Int64
	// accepted counts connections that server stand-ins have taken; missed are queries and answers that were lost as a name
	// service ended.
	accepted atomic.Uint64
	missed   [2]uint64
	mu       sync.Mutex
	lines    strings.Builder
	seen     int // of lines, by log
	peers    map[string]*peer
	vars     map[string]string
	names    *standin.Names
	listing  []string
	second   netip.AddrPort
	config   string // as the router was started with
	disk     *durabletest.FS
	full     atomic.Bool
	back     func()
	check    callcontrol.VerifyFunc
	settings string    // of the router; empty: those above
	halted   chan bool // closed to have the loop go on; nil: it does
}

func play(t *testing.T, script string) *world {
	t.Helper()
	return playWith(t, "", script)
}

// playWith plays a scenario with other settings than those above.
func playWith(t *testing.T, set, script string) *world {
	t.Helper()
	w := &world{t: t, settings: set, peers: map[string]*peer{}, vars: map[string]string{}, ended: make(chan error, 1)}
	w.clock.Store(int64(1_700_000_000) * int64(time.Second))
	w.check = w.verify
	w.names = nameService(t)
	t.Cleanup(w.end)
	for number, line := range strings.Split(script, "\n") {
		if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
			require.NoError(t, w.do(line), "line %d: %s\n%s", number, line, w.log())
		}
	}
	return w
}

func playAll(t *testing.T, scripts map[string]string) {
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t, script)
		})
	}
}

func (w *world) end() {
	w.goOn()
	if w.back != nil {
		w.back()
	}
	w.names.Close()
	for _, p := range w.peers {
		p.close()
	}
	if w.node != nil {
		w.node.Loop.Stop()
		require.NoError(w.t, <-w.ended)
		require.NotContains(w.t, w.log(), "controller failed")
	}
}

func (w *world) log() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines.String()
}

func (w *world) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines.Write(b)
}

func (w *world) do(line string) error {
	who, rest, _ := strings.Cut(line, " ")
	switch who {
	case "start":
		return w.start(rest)
	case "halt":
		w.halted = make(chan bool)
		stands, halted := make(chan bool), w.halted
		w.node.Loop.Post(func() { close(stands); <-halted })
		<-stands
		return nil
	case "go":
		w.goOn()
		return nil
	case "term":
		w.node.Loop.Post(w.node.Shutdown)
		return nil
	case "wait":
		d, err := time.ParseDuration(rest)
		w.advance(d)
		return err
	case "list":
		w.listing = strings.Fields(rest)
		serial := uint32(0)
		if n, _ := fmt.Sscanf(rest, "serial=%d", &serial); n == 1 {
			w.listing = w.listing[1:]
		}
		w.names.Set(serial, w.entries())
		return nil
	case "config":
		return w.reconfigure(rest)
	case "disk":
		if w.back != nil {
			w.back()
		}
		w.back = nil
		w.full.Store(rest == "full")
		if rest == "slow" {
			w.back = w.disk.Stall()
		}
		return nil
	case "quiet":
		text, err := strconv.Unquote(rest)
		if err == nil && strings.Contains(w.log()[w.seen:], text) {
			err = errors.New("logged again")
		}
		return err
	case "log":
		want, err := strconv.Unquote(rest)
		for stop := time.Now().Add(patience); err == nil; w.advance(5 * time.Millisecond) {
			if at := strings.Index(w.log()[w.seen:], want); at >= 0 {
				w.seen += at + len(want)
				return nil
			}
			if time.Now().After(stop) {
				err = fmt.Errorf("not logged: %s", want)
			}
		}
		return err
	}
	verb, rest, _ := strings.Cut(rest, " ")
	p := w.peers[who]
	if p == nil {
		p = &peer{w: w, name: who, in: make(chan any, 1000)}
		w.mu.Lock()
		w.peers[who] = p
		w.mu.Unlock()
	}
	for name, value := range w.vars {
		rest = strings.ReplaceAll(rest, "$"+name, value)
	}
	switch verb {
	case "open":
		return p.open(rest)
	case "ask":
		method, _, _ := strings.Cut(rest, " ")
		err := p.open(method)
		if err == nil {
			err = p.write([]byte(rest + " HTTP/1.1\r\nHost: door\r\n\r\n"))
		}
		return err
	case "send":
		return p.send(rest)
	case "raw":
		text, err := strconv.Unquote(rest)
		if err != nil {
			return err
		}
		return p.write([]byte(text))
	case "expect":
		return p.expect(rest)
	case "close":
		return p.leave(false)
	case "answered":
		for {
			got, err := p.next()
			if err != nil {
				return err
			}
			m, is := got.(standin.Message)
			if !is {
				return fmt.Errorf("connection ended: %v", got)
			}
			if method, call, _ := strings.Cut(rest, " "); m.Status() == 200 && m.Method() == method && m.Call() == callID(call) {
				return nil
			}
		}
	case "reset":
		return p.leave(true)
	case "drop":
		return p.drop()
	case "older":
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.older == nil {
			return errors.New("there was no connection before")
		}
		_, err := p.older.Write(text(rest))
		return err
	case "deaf":
		p.deaf.Lock()
		return nil
	case "hear":
		p.deaf.Unlock()
		return nil
	case "none":
		time.Sleep(20 * time.Millisecond)
		if len(p.in) > 0 {
			return fmt.Errorf("got %v", <-p.in)
		}
		return nil
	case "hang":
		return p.hang()
	}
	return fmt.Errorf("no verb %q", verb)
}

func (w *world) goOn() {
	if w.halted != nil {
		close(w.halted)
		w.halted = nil
	}
}

// reconfigure has the router take another configuration, as SIGHUP does.
func (w *world) reconfigure(args string) error {
	verdict, rest, _ := strings.Cut(args, " ")
	text := w.config
	for rest != "" {
		old, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return err
		}
		rest = strings.TrimSpace(rest[len(old):])
		now, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return err
		}
		rest = strings.TrimSpace(rest[len(now):])
		old, _ = strconv.Unquote(old)
		now, _ = strconv.Unquote(now)
		if !strings.Contains(text, old) {
			return fmt.Errorf("no %s in the configuration", old)
		}
		text = strings.Replace(text, old, now, 1)
	}
	c, err := node.ReadConfig([]byte(text), "", "")
	if err == nil {
		done := make(chan error, 1)
		w.node.Loop.Post(func() { done <- w.node.Apply(c) })
		err = <-done
	}
	if verdict == "bad" {
		if err == nil {
			return errors.New("a bad configuration was taken")
		}
		return nil
	}
	w.config = text
	return err
}

// advance moves the router's clock in small steps and has the loop see each. The clock never outruns the stand-ins: a query
// that the router has sent is answered, and a connection that it has opened is accepted, before the next step.
func (w *world) advance(d time.Duration) {
	if w.halted != nil {
		w.clock.Add(int64(d))
		return
	}
	for ; d > 0; d -= 5 * time.Millisecond {
		w.clock.Add(int64(min(d, 5*time.Millisecond)))
		for stop := time.Now().Add(time.Second); ; time.Sleep(50 * time.Microsecond) {
			done, met := make(chan bool), false
			w.node.Loop.Post(func() {
				trunk, names := w.node.UpstreamCounters()
				asked, told, open := w.names.Counts()
				met = w.accepted.Load() >= trunk.Opened && (!open || asked+w.missed[0] >= names.Queries &&
					names.Answers+names.Malformed+w.missed[1] >= told)
				if !met && time.Now().After(stop) { // one of them has ended meanwhile: what it missed never comes
					w.accepted.Store(max(w.accepted.Load(), trunk.Opened))
					w.missed = [2]uint64{names.Queries - min(asked, names.Queries), told - min(names.Answers+names.Malformed, told)}
				}
				close(done)
			})
			select {
			case <-done:
			case <-w.ended:
				w.ended <- nil
				return
			}
			if met {
				break
			}
		}
	}
}

func (w *world) start(flags string) error {
	var members []map[string]any
	for name, p := range w.peers {
		if p.listener != nil {
			members = append(members, map[string]any{"id": name, "host_port": p.listener.Addr().String(), "cell": p.number,
				"phase": "in_service", "up_since_ms": 0})
			w.listing = append(w.listing, name)
		}
	}
	known, _ := json.Marshal(map[string]any{"cursor": w.names.Serial(), "cmds": []any{map[string]any{"cursor": w.names.Serial(),
		"nodes": map[string]any{"complete": true, "members": members}}}})
	sockets := 300
	if strings.Contains(flags, "sockets=") {
		fmt.Sscanf(flags[strings.Index(flags, "sockets="):], "sockets=%d", &sockets)
	}
	door := ""
	if strings.Contains(flags, "door") {
		door = `"mgmt":"127.0.0.1:0",`
	}
	set := settings
	if w.settings != "" {
		set = w.settings
	}
	config := fmt.Sprintf(`{"name":"n0",`+door+`"listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"memory_mb":192,"sockets":%d},
		"resolver":%q,"known":%s,"settings":%s}`, sockets, w.names.Addr(), known, set)
	c, err := node.ReadConfig([]byte(config), "", "")
	if err != nil {
		return err
	}
	clock := func() time.Duration { return time.Duration(w.clock.Load()) }
	if strings.Contains(flags, "ledger") {
		o := ledgerio.Defaults()
		o.Dir, o.Settings.Router, o.RefuseUnbillable = "ledger", "n0", strings.Contains(flags, "refuse")
		if o.Tenants, err = ledger.NewDirectory(nil, []ledger.Rule{{Tenant: "lda", Identities: []string{"spiffe://b.example/*"}},
			{Tenant: "kda", Networks: []string{"127.0.0.0/8"}}}); err != nil {
			return err
		}
		w.disk = durabletest.New(1)
		w.disk.Plan = func(s durabletest.Step) durabletest.Fault {
			if w.full.Load() && s.Operation == "write" {
				return durabletest.Fail
			}
			return durabletest.None
		}
		c.Product.Ledger, c.FS = &o, w.disk
	}
	if w.node, err = node.New(c, clock, node.NewLogger(w, "n0", zerolog.InfoLevel, false)); err != nil {
		return err
	}
	if strings.Contains(flags, "callcontrol") {
		w.second, err = w.node.OpenCallControl(callcontrol.Config{Addr: netip.MustParseAddrPort("127.0.0.1:0"), GraceMs: 1000,
			MaxSockets: 9, Origins: []string{"https://desk.example"}}, c.Settings.Classes, w.check)
	}
	w.config = config
	w.names.Set(w.names.Serial(), w.entries())
	go func() { w.ended <- w.node.Run() }()
	return err
}

// leaving asks the router, on its loop, whether it sends callers away.
func (w *world) leaving() bool {
	answer := make(chan bool, 1)
	w.node.Loop.Post(func() { answer <- w.node.Leaving() })
	return <-answer
}

// verify stands in for SPIFFE here: the token is the identity. The real one has its own test.
func (w *world) verify(token string) (identity.Caller, error) {
	if !strings.HasPrefix(token, "desk") {
		return identity.Caller{}, errors.New("wrong token")
	}
	if token == "desk7" { // in full, as the real one tells it
		token = "spiffe://b.example/desk7"
	}
	return identity.Caller{ID: token, Expires: time.Unix(0, w.clock.Load()).Add(time.Minute)}, nil
}

// entries is the list as the name service tells it.
func (w *world) entries() (list []standin.Entry) {
	for _, entry := range w.listing {
		name, state, _ := strings.Cut(entry, "=")
		name, started, _ := strings.Cut(name, "@")
		p := w.peers[name]
		list = append(list, standin.Entry{ID: name, Number: p.number, Addr: netip.MustParseAddrPort(p.listener.Addr().String()),
			Draining: state == "draining", Started: started})
	}
	return list
}

// ---- stand-ins ----

// peer is a caller, a case server or a WebSocket client.
type peer struct {
	w        *world
	name     string
	number   int
	mu       sync.Mutex
	conn     net.Conn // the latest
	older    net.Conn // the one before
	opened   bool
	listener *net.TCPListener
	in       chan any // sipMessage, wsMessage or error
	unread   any
	fill     []int
	deaf     sync.Mutex // held while a case server does not read
}

func (p *peer) web() bool { return p.name[0] == 'w' }

func (p *peer) operator() bool { return p.name[0] == 'o' }

// readHTTP reads an answer of the operators' door.
func readHTTP(r *bufio.Reader, method string) (any, error) {
	answer, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(answer.Body)
	return fmt.Sprintf("%d %s%s", answer.StatusCode, body, answer.Header.Get("Allow")), err
}

// expectHTTP wants an answer, and nothing after it but the end.
func (p *peer) expectHTTP(want string) error {
	got, err := p.next()
	if err != nil {
		return err
	}
	text, ok := got.(string)
	status, part, _ := strings.Cut(want, " ")
	if !ok || !strings.HasPrefix(text, status) || !strings.Contains(text, part) {
		return fmt.Errorf("got %v", got)
	}
	if status[0] == '1' {
		return nil
	}
	if got, err = p.next(); err != nil {
		return err
	}
	if _, ended := got.(error); !ended {
		return fmt.Errorf("got %v after the answer", got)
	}
	return nil
}

func (p *peer) open(args string) (err error) {
	fmt.Sscanf(args, "number=%d", &p.number)
	if p.name[0] == 's' {
		at := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}
		if _, other, ok := strings.Cut(args, "at="); ok {
			at = p.w.peers[other].listener.Addr().(*net.TCPAddr)
		}
		if p.listener, err = net.ListenTCP("tcp4", at); err == nil {
			go p.accept(p.listener)
		}
		return err
	}
	p.unread, p.in = nil, make(chan any, 1000)
	to := p.w.node.Addr()
	if p.web() {
		to = p.w.second
	}
	if p.operator() {
		to = p.w.node.ManagementAddr()
	}
	conn, err := net.Dial("tcp4", to.String())
	if err != nil {
		return err
	}
	p.conn = conn
	r := bufio.NewReader(conn)
	if p.web() {
		if args != "mute" {
			if err := handshake(conn, r, args); err != nil {
				return err
			}
		}
		go p.read(r, p.in, readFrame)
		return nil
	}
	if p.operator() {
		go p.read(r, p.in, func(r *bufio.Reader) (any, error) { return readHTTP(r, args) })
		return nil
	}
	go p.read(r, p.in, readSIP)
	return nil
}

func (p *peer) accept(l *net.TCPListener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.older, p.conn = p.conn, conn
		p.mu.Unlock()
		p.w.accepted.Add(1)
		conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		go p.read(bufio.NewReader(&attentive{conn, &p.deaf}), p.in, readSIP)
	}
}

// attentive is a connection that is read while its mutex is free.
type attentive struct {
	net.Conn
	deaf *sync.Mutex
}

func (a *attentive) Read(b []byte) (int, error) {
	a.deaf.Lock()
	a.deaf.Unlock()
	return a.Conn.Read(b[:min(len(b), 4<<10)])
}

func (p *peer) read(r *bufio.Reader, in chan any, one func(*bufio.Reader) (any, error)) {
	for {
		m, err := one(r)
		if err != nil {
			in <- err
			return
		}
		in <- m
	}
}

func readSIP(r *bufio.Reader) (any, error) { return standin.Read(r) }

func (p *peer) write(b []byte) error {
	conn, err := p.connected()
	if err == nil {
		_, err = conn.Write(b)
	}
	return err
}

// connected is the latest connection; a server may not be connected yet.
func (p *peer) connected() (net.Conn, error) {
	for stop := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		conn := p.conn
		p.mu.Unlock()
		if conn != nil {
			return conn, nil
		}
		if time.Now().After(stop) {
			return nil, errors.New("no connection")
		}
	}
}

// leave ends a caller's connection.
func (p *peer) leave(reset bool) error {
	p.mu.Lock()
	conn := p.conn
	p.mu.Unlock()
	if tcp, is := conn.(*net.TCPConn); is && reset {
		tcp.SetLinger(0)
	}
	p.close()
	return p.w.known(conn)
}

// drop ends a case server's connection alone.
func (p *peer) drop() error {
	conn, err := p.connected()
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.conn = nil
	p.mu.Unlock()
	conn.Close()
	return p.w.known(conn)
}

// known waits, where the loop stands still, until the router's kernel knows of a connection's end: the crossing is there before it goes on.
func (w *world) known(conn net.Conn) error {
	if conn == nil || w.halted == nil {
		return nil
	}
	local, remote := conn.LocalAddr().(*net.TCPAddr), conn.RemoteAddr().(*net.TCPAddr)
	want := fmt.Sprintf(":%04X 0100007F:%04X ", remote.Port, local.Port)
	for stop := time.Now().Add(patience); time.Now().Before(stop); time.Sleep(time.Millisecond) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return err
		}
		_, state, there := strings.Cut(string(table), want)
		if !there || strings.HasPrefix(state, "08") || strings.HasPrefix(state, "07") { // close wait, or closed by a reset
			return nil
		}
	}
	return errors.New("the end of the connection did not come")
}

func (p *peer) close() {
	if p.listener != nil {
		p.listener.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.Close()
	}
	p.conn = nil
	for _, fd := range p.fill {
		unix.Close(fd)
	}
	p.fill = nil
}

// hang makes the machine vanish: what is open stays open and silent, and new connections never come up, since
// nobody accepts them and the backlog is full.
func (p *peer) hang() error {
	addr := p.listener.Addr().(*net.TCPAddr)
	p.listener.Close()
	sa := &unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		return err
	}
	p.fill = append(p.fill, fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := errors.Join(unix.Bind(fd, sa), unix.Listen(fd, 0)); err != nil {
		return err
	}
	for range 3 {
		one, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			return err
		}
		p.fill = append(p.fill, one)
		unix.Connect(one, sa)
	}
	return nil
}

// nameService answers every other query until the test ends.
func nameService(t *testing.T) *standin.Names {
	names, err := standin.NewNames(7, true)
	require.NoError(t, err)
	return names
}

// callID is the id of a call by its name in a script.
func callID(name string) string { return standin.CallID(name) }

// split reads a SIP message of a script.
func split(text string) (status, method, call string, headers [][2]string) {
	words := strings.Fields(text)
	if words[0][0] >= '1' && words[0][0] <= '6' {
		status, words = words[0], words[1:]
	}
	method, words = words[0], words[1:]
	if len(words) > 0 && !strings.Contains(words[0], "=") {
		call, words = callID(words[0]), words[1:]
	}
	if raw, ok := strings.CutPrefix(text[strings.Index(text, method)+len(method):], " #"); ok {
		call, _, _ = strings.Cut(raw, " ")
	}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		headers = append(headers, [2]string{name, value})
	}
	return status, method, call, headers
}

func (p *peer) send(message string) error {
	if p.web() {
		return p.write(clientFrame(true, 1, []byte(message)))
	}
	return p.write(text(message))
}

// text is a SIP message of a script as it is written.
func text(text string) []byte {
	status, method, call, headers := split(text)
	var b bytes.Buffer
	if status != "" {
		fmt.Fprintf(&b, "SIP/2.0 %s Whatever\r\n", status)
	} else {
		fmt.Fprintf(&b, "%s sip:4711@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n", method)
	}
	// Case servers say 1 whatever they were sent.
	fmt.Fprintf(&b, "Call-ID: %s\r\nCSeq: 1 %s\r\n", call, method)
	body, have := "", map[string]bool{}
	for _, h := range headers {
		have[h[0]] = true
		if h[0] == "Body" {
			body = h[1]
		} else if h[1] != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
		}
	}
	if method == "INVITE" && status == "" {
		for _, h := range [][2]string{{"Call-Kind", "voice"}, {"Answer-Within", "3000"}, {"Routing-Data", "dest:0;width:1;via:-1"}} {
			if !have[h[0]] {
				fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
			}
		}
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// next is the next message that has come.
func (p *peer) next() (any, error) {
	if m := p.unread; m != nil {
		p.unread = nil
		return m, nil
	}
	select {
	case m := <-p.in:
		return m, nil
	case <-time.After(patience):
		return nil, errors.New("nothing came")
	}
}

func (p *peer) expect(text string) error {
	if text == "closed" {
		for {
			m, err := p.next()
			if err != nil {
				return err
			}
			if _, over := m.(error); over {
				return nil
			}
		}
	}
	if p.web() {
		return p.expectWeb(text)
	}
	if p.operator() {
		return p.expectHTTP(text)
	}
	if text == "silence" { // the router answers in order: nothing came before the answer to this
		if err := p.send("OPTIONS barrier"); err != nil {
			return err
		}
		if text = "200 OPTIONS barrier"; p.w.leaving() {
			text = "503 OPTIONS barrier"
		}
	}
	status, method, call, headers := split(text)
	for {
		got, err := p.next()
		if err != nil {
			return err
		}
		m, ok := got.(standin.Message)
		if !ok && p.listener != nil {
			continue // another connection of this server has ended
		}
		if !ok {
			return fmt.Errorf("connection ended: %v", got)
		}
		words := strings.Fields(m.Start)
		is, isMethod := "", words[0]
		if words[0] == "SIP/2.0" {
			is, isMethod = words[1], strings.Fields(m.Header["CSeq"])[1]
		}
		matches := is == status && isMethod == method && (call == "" || m.Header["Call-ID"] == call)
		for _, h := range headers {
			if h[0] == "Body" {
				matches = matches && m.Body == h[1]
			} else {
				matches = matches && (h[1] == "" && m.Header[h[0]] == "" || h[1] != "" && strings.Contains(m.Header[h[0]], h[1]))
			}
		}
		if matches {
			return nil
		}
		free := isMethod == "ACK" || is == "200" && (isMethod == "BYE" || isMethod == "CANCEL")
		if !free {
			return fmt.Errorf("got %s %v %q", m.Start, m.Header, m.Body)
		}
	}
}

// Package scenario tests the whole call router with scripts in a small language. A scenario is a list of lines
// that each name a party and its action. It runs against a real node on loopback, whose clock advances only by the
// script. This file implements the language and the test doubles for callers, case servers and the name service.
// Nothing may depend on the length of a sleep: every expect waits for an event, and the router's time passes only
// in wait and log.
//
//	start [FLAGS]            start the router with the servers opened so far
//	NAME open [number=N at=sM]  sN: a case server listens, with at= on the address of sM; wN: a WebSocket client
//	                         connects (id=, origin=, or mute: no handshake); oN: an operator's HTTP client connects to
//	                         the management server; others: a caller connects
//	oN request METHOD PATH   connect to the management server and send a request
//	oN expect STATUS [TEXT]  the response has this status and contains the text, and the connection ends after it
//	NAME send MESSAGE        SIP: METHOD or STATUS METHOD, call or #id, Header=Value..., Body=text; wN: JSON
//	NAME raw "TEXT"          send these bytes (Go syntax)
//	NAME expect MESSAGE      the next message is this one; its headers contain the given values, where Header= means
//	                         none, and its body is the given one; "silence": no message precedes the answer to a
//	                         request sent now; "closed": the connection ends
//	NAME none                no message has been received by now; unlike "expect silence", this sends nothing
//	NAME answered METHOD call  a 200 to this request is received, after any other messages
//	NAME close               close the connection; sN: and the listener
//	NAME reset               end a caller's connection by a TCP reset
//	sN hang                  the machine vanishes: connections stay open, new ones do not come up
//	sN send-previous MESSAGE  send on the connection before the latest
//	sN drop                  the case server closes its connection and keeps listening
//	sN stop-reading          the case server stops reading from its connections
//	sN resume-reading        the case server reads again
//	list [serial=N] sN[=draining|@MS]...  the name service now lists these servers, with a start time in Unix ms
//	                         after @; serial is by default that of the last list plus 1
//	disk slow|full|ok        writes to the ledger's disk block, fail, or succeed again
//	config good|bad "OLD" "NEW"...  reload the configuration with these parts replaced; it is accepted (good) or
//	                         rejected (bad)
//	wait DURATION            advance the router's clock
//	halt, resume             block the router's event loop within an iteration, and resume it; in between, wait only
//	                         advances the clock
//	term                     shut the router down
//	log "TEXT"               advance the clock until the router has logged this text
//	quiet "TEXT"             the router has not logged this text since the match of the last log step
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

	"threadglade.example/threadglade/internal/callcontrol"
	"threadglade.example/threadglade/internal/durable/durabletest"
	"threadglade.example/threadglade/internal/identity"
	"threadglade.example/threadglade/internal/ledgerio"
	"threadglade.example/threadglade/internal/node"
	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/ledger"
)

// eventTimeout limits the real time that a script waits for one event.
const eventTimeout = 5 * time.Second

// defaultSettings are the router's settings in scenarios that do not bring their own.
const defaultSettings = `{"me":0,"replicasOfMe":1,"discovery":"pushed","classes":[
 {"name":"voice","aimMs":1000,"deadlineMs":5000,"gain":1,"lateWorth":0.5,"repeat":"free"},
 {"name":"data","aimMs":1000,"deadlineMs":5000,"gain":1,"lateWorth":0.5,"repeat":"free"}],
 "domain":{"allowedPools":[[0,1],[0,1]],"clearWaitMs":200,"holdingMs":[2000,2000],"networkForm":"skills"},
 "limits":{"maxAttempts":6,"cancel":true,"retryAfter":true,"maxRetryAfterMs":2000,"connectTimeoutMs":500},
 "report":{"fields":["idle","circuits"]},
 "rules":{"coldFrom":0.37,"warmWithinMs":9000,"fallMultiple":3,"overloadForMs":2000,"drainGraceMs":1000}}`

// scenarioRun is one run of a scenario.
type scenarioRun struct {
	t     *testing.T
	node  *node.Node
	ended chan error
	clock atomic.Int64
	// accepted counts the connections that case servers have accepted. lost counts the queries and the answers
	// that were lost because a name service ended.
	accepted        atomic.Uint64
	lost            [2]uint64
	mu              sync.Mutex // guards logged, and peers while they are added
	logged          strings.Builder
	logOffset       int // into logged: the end of the last match of a log step
	peers           map[string]*peer
	vars            map[string]string // call ids by the names that scripts use as $NAME
	names           *standin.NameService
	serverList      []string
	callControlAddr netip.AddrPort
	config          string // the last one that the router accepted
	disk            *durabletest.FS
	diskFull        atomic.Bool
	resumeDisk      func() // unblocks the disk; nil: it is not slow
	verifyToken     callcontrol.VerifyFunc
	settings        string    // of the router; empty: defaultSettings
	halted          chan bool // closed to resume the event loop; nil: it is running
}

// runScenario runs a scenario with the default settings and returns it for further steps.
func runScenario(t *testing.T, script string) *scenarioRun {
	t.Helper()
	return runScenarioWith(t, "", script)
}

// runScenarioWith runs a scenario with the given settings, or with the default ones if they are empty.
func runScenarioWith(t *testing.T, settings, script string) *scenarioRun {
	t.Helper()
	w := &scenarioRun{
		t:        t,
		settings: settings,
		peers:    map[string]*peer{},
		vars:     map[string]string{},
		ended:    make(chan error, 1),
	}
	w.clock.Store(int64(1_700_000_000) * int64(time.Second))
	w.verifyToken = w.verify
	w.names = startNameService(t)
	t.Cleanup(w.cleanUp)
	for number, line := range strings.Split(script, "\n") {
		if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
			require.NoError(t, w.execute(line), "line %d: %s\n%s", number, line, w.log())
		}
	}
	return w
}

// runScenarios runs each script as a parallel subtest.
func runScenarios(t *testing.T, scripts map[string]string) {
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, script)
		})
	}
}

// cleanUp stops the router and its peers, and checks that no controller has failed.
func (w *scenarioRun) cleanUp() {
	w.resumeLoop()
	if w.resumeDisk != nil {
		w.resumeDisk()
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

// log returns all that the router has logged.
func (w *scenarioRun) log() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logged.String()
}

// Write receives the router's log.
func (w *scenarioRun) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logged.Write(b)
}

// execute executes one line of a script.
func (w *scenarioRun) execute(line string) error {
	who, rest, _ := strings.Cut(line, " ")
	switch who {
	case "start":
		return w.start(rest)
	case "halt":
		w.halted = make(chan bool)
		reached, halted := make(chan bool), w.halted
		w.node.Loop.Post(func() { close(reached); <-halted })
		<-reached
		return nil
	case "resume":
		w.resumeLoop()
		return nil
	case "term":
		w.node.Loop.Post(w.node.Shutdown)
		return nil
	case "wait":
		d, err := time.ParseDuration(rest)
		w.advance(d)
		return err
	case "list":
		w.serverList = strings.Fields(rest)
		serial := uint32(0)
		if n, _ := fmt.Sscanf(rest, "serial=%d", &serial); n == 1 {
			w.serverList = w.serverList[1:]
		}
		w.names.SetServers(serial, w.entries())
		return nil
	case "config":
		return w.reconfigure(rest)
	case "disk":
		if w.resumeDisk != nil {
			w.resumeDisk()
		}
		w.resumeDisk = nil
		w.diskFull.Store(rest == "full")
		if rest == "slow" {
			w.resumeDisk = w.disk.Stall()
		}
		return nil
	case "quiet":
		text, err := strconv.Unquote(rest)
		if err == nil && strings.Contains(w.log()[w.logOffset:], text) {
			err = errors.New("logged since")
		}
		return err
	case "log":
		want, err := strconv.Unquote(rest)
		for deadline := time.Now().Add(eventTimeout); err == nil; w.advance(5 * time.Millisecond) {
			if at := strings.Index(w.log()[w.logOffset:], want); at >= 0 {
				w.logOffset += at + len(want)
				return nil
			}
			if time.Now().After(deadline) {
				err = fmt.Errorf("not logged: %s", want)
			}
		}
		return err
	}
	verb, rest, _ := strings.Cut(rest, " ")
	p := w.peers[who]
	if p == nil {
		p = &peer{run: w, name: who, received: make(chan any, 1000)}
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
	case "request":
		method, _, _ := strings.Cut(rest, " ")
		err := p.open(method)
		if err == nil {
			err = p.write([]byte(rest + " HTTP/1.1\r\nHost: router\r\n\r\n"))
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
		return p.disconnect(false)
	case "answered":
		for {
			got, err := p.next()
			if err != nil {
				return err
			}
			m, ok := got.(standin.Message)
			if !ok {
				return fmt.Errorf("connection ended: %v", got)
			}
			method, call, _ := strings.Cut(rest, " ")
			if m.Status() == 200 && m.Method() == method && m.CallID() == callID(call) {
				return nil
			}
		}
	case "reset":
		return p.disconnect(true)
	case "drop":
		return p.drop()
	case "send-previous":
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.previousConn == nil {
			return errors.New("there is no earlier connection")
		}
		_, err := p.previousConn.Write(encodeMessage(rest))
		return err
	case "stop-reading":
		p.readMutex.Lock()
		return nil
	case "resume-reading":
		p.readMutex.Unlock()
		return nil
	case "none":
		time.Sleep(20 * time.Millisecond)
		if len(p.received) > 0 {
			return fmt.Errorf("got %v", <-p.received)
		}
		return nil
	case "hang":
		return p.hang()
	}
	return fmt.Errorf("no verb %q", verb)
}

// resumeLoop resumes the event loop if it is halted.
func (w *scenarioRun) resumeLoop() {
	if w.halted != nil {
		close(w.halted)
		w.halted = nil
	}
}

// reconfigure applies a changed configuration to the router, as SIGHUP does.
func (w *scenarioRun) reconfigure(args string) error {
	verdict, rest, _ := strings.Cut(args, " ")
	text := w.config
	for rest != "" {
		old, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return err
		}
		rest = strings.TrimSpace(rest[len(old):])
		replacement, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return err
		}
		rest = strings.TrimSpace(rest[len(replacement):])
		old, _ = strconv.Unquote(old)
		replacement, _ = strconv.Unquote(replacement)
		if !strings.Contains(text, old) {
			return fmt.Errorf("no %s in the configuration", old)
		}
		text = strings.Replace(text, old, replacement, 1)
	}
	c, err := node.ReadConfig([]byte(text), "", "")
	if err == nil {
		done := make(chan error, 1)
		w.node.Loop.Post(func() { done <- w.node.Apply(c) })
		err = <-done
	}
	if verdict == "bad" {
		if err == nil {
			return errors.New("a bad configuration was accepted")
		}
		return nil
	}
	w.config = text
	return err
}

// advance advances the router's clock in steps of 5 ms, with a loop iteration after each. The clock never outruns
// the test doubles: before the next step, every query of the router has been answered and every connection that it has
// opened has been accepted.
func (w *scenarioRun) advance(d time.Duration) {
	if w.halted != nil {
		w.clock.Add(int64(d))
		return
	}
	for ; d > 0; d -= 5 * time.Millisecond {
		w.clock.Add(int64(min(d, 5*time.Millisecond)))
		for deadline := time.Now().Add(time.Second); ; time.Sleep(50 * time.Microsecond) {
			done, caughtUp := make(chan bool), false
			w.node.Loop.Post(func() {
				trunk, names := w.node.UpstreamCounters()
				queried, answered, open := w.names.Counts()
				caughtUp = w.accepted.Load() >= trunk.Opened && (!open || queried+w.lost[0] >= names.Queries &&
					names.Answers+names.Malformed+w.lost[1] >= answered)
				// A case server or name service that has ended never catches up, so its missing events count as lost.
				if !caughtUp && time.Now().After(deadline) {
					w.accepted.Store(max(w.accepted.Load(), trunk.Opened))
					w.lost = [2]uint64{
						names.Queries - min(queried, names.Queries),
						answered - min(names.Answers+names.Malformed, answered),
					}
				}
				close(done)
			})
			select {
			case <-done:
			case <-w.ended:
				w.ended <- nil
				return
			}
			if caughtUp {
				break
			}
		}
	}
}

// start starts the router with the servers opened so far. Flags are sockets=N, management (a management server),
// handover (another process may take over or run beside this one), ledger, refuse (the ledger refuses calls while its disk does not keep up) and callcontrol.
func (w *scenarioRun) start(flags string) error {
	var members []map[string]any
	for name, p := range w.peers {
		if p.listener != nil {
			members = append(members, map[string]any{"id": name, "host_port": p.listener.Addr().String(), "cell": p.number,
				"phase": "in_service", "up_since_ms": 0})
			w.serverList = append(w.serverList, name)
		}
	}
	known, _ := json.Marshal(map[string]any{"cursor": w.names.Serial(), "cmds": []any{
		map[string]any{"cursor": w.names.Serial(), "nodes": map[string]any{"complete": true, "members": members}},
	}})
	sockets := 300
	if strings.Contains(flags, "sockets=") {
		fmt.Sscanf(flags[strings.Index(flags, "sockets="):], "sockets=%d", &sockets)
	}
	management := ""
	if strings.Contains(flags, "management") {
		management = `"mgmt":"127.0.0.1:0",`
	}
	settings := defaultSettings
	if w.settings != "" {
		settings = w.settings
	}
	config := fmt.Sprintf(`{"name":"n0",`+management+`"listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",`+
		`"limits":{"memory_mb":192,"sockets":%d},
		"resolver":%q,"known":%s,"settings":%s}`, sockets, w.names.Addr(), known, settings)
	c, err := node.ReadConfig([]byte(config), "", "")
	if err != nil {
		return err
	}
	if strings.Contains(flags, "handover") {
		c.HandoverDir = w.t.TempDir()
	}
	clock := func() time.Duration { return time.Duration(w.clock.Load()) }
	if strings.Contains(flags, "ledger") {
		options := ledgerio.Defaults()
		options.Dir, options.Settings.Router, options.RefuseUnbillable = "ledger", "n0", strings.Contains(flags, "refuse")
		if options.Tenants, err = ledger.NewDirectory(nil, []ledger.Rule{
			{Tenant: "lda", Identities: []string{"spiffe://b.example/*"}},
			{Tenant: "kda", Networks: []string{"127.0.0.0/8"}},
		}); err != nil {
			return err
		}
		w.disk = durabletest.New(1)
		w.disk.Plan = func(s durabletest.Step) durabletest.Fault {
			if w.diskFull.Load() && s.Operation == "write" {
				return durabletest.Fail
			}
			return durabletest.None
		}
		c.Product.Ledger, c.FS = &options, w.disk
	}
	if w.node, err = node.New(c, clock, node.NewLogger(w, "n0", zerolog.InfoLevel, false)); err != nil {
		return err
	}
	if strings.Contains(flags, "callcontrol") {
		w.callControlAddr, err = w.node.OpenCallControl(callcontrol.Config{
			Addr:       netip.MustParseAddrPort("127.0.0.1:0"),
			GraceMs:    1000,
			MaxSockets: 9,
			Origins:    []string{"https://desk.example"},
		}, c.Settings.Classes, w.verifyToken)
	}
	w.config = config
	w.names.SetServers(w.names.Serial(), w.entries())
	go func() { w.ended <- w.node.Run() }()
	return err
}

// rejectsCallers reports whether the router rejects callers because it drains.
func (w *scenarioRun) rejectsCallers() bool {
	answer := make(chan bool, 1)
	w.node.Loop.Post(func() { answer <- w.node.Leaving() })
	return <-answer
}

// verify replaces the verification of SPIFFE tokens, which TestSPIFFE covers: the token is the identity.
func (w *scenarioRun) verify(token string) (identity.Caller, error) {
	if !strings.HasPrefix(token, "desk") {
		return identity.Caller{}, errors.New("wrong token")
	}
	if token == "desk7" { // a full SPIFFE ID, as the real verification returns it
		token = "spiffe://b.example/desk7"
	}
	return identity.Caller{ID: token, Expires: time.Unix(0, w.clock.Load()).Add(time.Minute)}, nil
}

// entries returns the current list for the name service.
func (w *scenarioRun) entries() (list []standin.Entry) {
	for _, entry := range w.serverList {
		name, state, _ := strings.Cut(entry, "=")
		name, started, _ := strings.Cut(name, "@")
		p := w.peers[name]
		list = append(list, standin.Entry{
			ID:       name,
			Number:   p.number,
			Addr:     netip.MustParseAddrPort(p.listener.Addr().String()),
			Draining: state == "draining",
			Started:  started,
		})
	}
	return list
}

// peer is a caller, a case server, a WebSocket client or an HTTP client of the management server.
type peer struct {
	run          *scenarioRun
	name         string
	number       int
	mu           sync.Mutex
	conn         net.Conn // the latest
	previousConn net.Conn // the one before conn
	listener     *net.TCPListener
	received     chan any   // standin.Message, wsMessage, string (an HTTP response) or error
	unread       any        // message to be received before the others
	releasePort  func()     // ends hang; nil: it is not in effect
	readMutex    sync.Mutex // held while a case server does not read
}

func (p *peer) isWebSocket() bool { return p.name[0] == 'w' }

func (p *peer) isOperator() bool { return p.name[0] == 'o' }

// readHTTP reads a response of the management server as its status, its body and its Allow header.
func readHTTP(r *bufio.Reader, method string) (any, error) {
	answer, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(answer.Body)
	return fmt.Sprintf("%d %s%s", answer.StatusCode, body, answer.Header.Get("Allow")), err
}

// expectHTTP expects a response and after it, unless it is informational, the end of the connection.
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

// open starts a case server or connects a client.
func (p *peer) open(args string) (err error) {
	fmt.Sscanf(args, "number=%d", &p.number)
	if p.name[0] == 's' {
		listenAddr := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}
		if _, other, ok := strings.Cut(args, "at="); ok {
			listenAddr = p.run.peers[other].listener.Addr().(*net.TCPAddr)
		}
		if p.listener, err = net.ListenTCP("tcp4", listenAddr); err == nil {
			go p.accept(p.listener)
		}
		return err
	}
	p.unread, p.received = nil, make(chan any, 1000)
	addr := p.run.node.Addr()
	if p.isWebSocket() {
		addr = p.run.callControlAddr
	}
	if p.isOperator() {
		addr = p.run.node.ManagementAddr()
	}
	conn, err := net.Dial("tcp4", addr.String())
	if err != nil {
		return err
	}
	p.conn = conn
	r := bufio.NewReader(conn)
	if p.isWebSocket() {
		if args != "mute" {
			if err := handshake(conn, r, args); err != nil {
				return err
			}
		}
		go p.read(r, p.received, readFrame)
		return nil
	}
	if p.isOperator() {
		go p.read(r, p.received, func(r *bufio.Reader) (any, error) { return readHTTP(r, args) })
		return nil
	}
	go p.read(r, p.received, readSIP)
	return nil
}

// accept reads from the connections of a case server, until its listener is closed.
func (p *peer) accept(l *net.TCPListener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.previousConn, p.conn = p.conn, conn
		p.mu.Unlock()
		p.run.accepted.Add(1)
		conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		go p.read(bufio.NewReader(&pausableConn{conn, &p.readMutex}), p.received, readSIP)
	}
}

// pausableConn is a connection whose reads block while its mutex is held.
type pausableConn struct {
	net.Conn
	readMutex *sync.Mutex
}

func (c *pausableConn) Read(b []byte) (int, error) {
	c.readMutex.Lock()
	//lint:ignore SA2001 the lock only waits until reading is resumed
	c.readMutex.Unlock()
	return c.Conn.Read(b[:min(len(b), 4<<10)])
}

// read passes on each message, and last the error that ends the connection.
func (p *peer) read(r *bufio.Reader, received chan any, readMessage func(*bufio.Reader) (any, error)) {
	for {
		m, err := readMessage(r)
		if err != nil {
			received <- err
			return
		}
		received <- m
	}
}

func readSIP(r *bufio.Reader) (any, error) { return standin.ReadMessage(r) }

func (p *peer) write(b []byte) error {
	conn, err := p.connected()
	if err == nil {
		_, err = conn.Write(b)
	}
	return err
}

// connected returns the latest connection. It waits if the router has not connected to a case server yet.
func (p *peer) connected() (net.Conn, error) {
	for deadline := time.Now().Add(eventTimeout); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		conn := p.conn
		p.mu.Unlock()
		if conn != nil {
			return conn, nil
		}
		if time.Now().After(deadline) {
			return nil, errors.New("no connection")
		}
	}
}

// disconnect closes the connection, with a TCP reset if reset is true, and the listener of a case server.
func (p *peer) disconnect(reset bool) error {
	p.mu.Lock()
	conn := p.conn
	p.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		tcp.SetLinger(0)
	}
	p.close()
	return p.run.awaitConnectionEnd(conn)
}

// drop closes the latest connection of a case server, but not its listener.
func (p *peer) drop() error {
	conn, err := p.connected()
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.conn = nil
	p.mu.Unlock()
	conn.Close()
	return p.run.awaitConnectionEnd(conn)
}

// awaitConnectionEnd waits, while the event loop is halted, until the end of a connection has reached the kernel
// at the router's end, so that the loop finds it when it resumes.
func (w *scenarioRun) awaitConnectionEnd(conn net.Conn) error {
	if conn == nil || w.halted == nil {
		return nil
	}
	local, remote := conn.LocalAddr().(*net.TCPAddr), conn.RemoteAddr().(*net.TCPAddr)
	want := fmt.Sprintf(":%04X 0100007F:%04X ", remote.Port, local.Port)
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return err
		}
		_, state, found := strings.Cut(string(table), want)
		if !found || strings.HasPrefix(state, "08") || strings.HasPrefix(state, "07") { // CLOSE_WAIT, or CLOSE after a reset
			return nil
		}
	}
	return errors.New("the end of the connection did not reach the router")
}

// close closes the listener and the latest connection.
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
	if p.releasePort != nil {
		p.releasePort()
	}
	p.releasePort = nil
}

// hang simulates a machine that vanishes: open connections stay open and silent, and new ones never come up.
func (p *peer) hang() error {
	addr := p.listener.Addr().(*net.TCPAddr)
	p.listener.Close()
	release, err := standin.BlockPort(addr)
	p.releasePort = release
	return err
}

// startNameService starts a name service that answers every other query.
func startNameService(t *testing.T) *standin.NameService {
	names, err := standin.NewNameService(7, true)
	require.NoError(t, err)
	return names
}

// callID returns the Call-ID for the name of a call in a script.
func callID(name string) string { return standin.CallID(name) }

// parseMessage parses a SIP message of a script.
func parseMessage(text string) (status, method, call string, headers [][2]string) {
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

// send sends a message of a script.
func (p *peer) send(message string) error {
	if p.isWebSocket() {
		return p.write(clientFrame(true, 1, []byte(message)))
	}
	return p.write(encodeMessage(message))
}

// encodeMessage encodes a SIP message of a script. A set-up gets default values for the headers that the script
// omits.
func encodeMessage(script string) []byte {
	status, method, call, headers := parseMessage(script)
	var b bytes.Buffer
	if status != "" {
		fmt.Fprintf(&b, "SIP/2.0 %s Whatever\r\n", status)
	} else {
		fmt.Fprintf(&b, "%s sip:4711@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n", method)
	}
	// Case servers always answer with CSeq 1, whatever the request had.
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
		for _, h := range [][2]string{
			{"Call-Kind", "voice"},
			{"Answer-Within", "3000"},
			{"Routing-Data", "dest:0;width:1;via:-1"},
		} {
			if !have[h[0]] {
				fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
			}
		}
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// next returns the next message received, and waits for it.
func (p *peer) next() (any, error) {
	if m := p.unread; m != nil {
		p.unread = nil
		return m, nil
	}
	select {
	case m := <-p.received:
		return m, nil
	case <-time.After(eventTimeout):
		return nil, errors.New("no message received")
	}
}

// expect checks that the next message matches. Acknowledgements that the script does not name are skipped.
func (p *peer) expect(text string) error {
	if text == "closed" {
		for {
			m, err := p.next()
			if err != nil {
				return err
			}
			if _, ended := m.(error); ended {
				return nil
			}
		}
	}
	if p.isWebSocket() {
		return p.expectWebSocket(text)
	}
	if p.isOperator() {
		return p.expectHTTP(text)
	}
	if text == "silence" { // the router answers in order, so nothing was sent before the answer to this request
		if err := p.send("OPTIONS barrier"); err != nil {
			return err
		}
		if text = "200 OPTIONS barrier"; p.run.rejectsCallers() {
			text = "503 OPTIONS barrier"
		}
	}
	status, method, call, headers := parseMessage(text)
	for {
		got, err := p.next()
		if err != nil {
			return err
		}
		m, ok := got.(standin.Message)
		if !ok && p.listener != nil {
			continue // the end of one of the connections of this case server
		}
		if !ok {
			return fmt.Errorf("connection ended: %v", got)
		}
		words := strings.Fields(m.StartLine)
		gotStatus, gotMethod := "", words[0]
		if words[0] == "SIP/2.0" {
			gotStatus, gotMethod = words[1], strings.Fields(m.Header["CSeq"])[1]
		}
		matches := gotStatus == status && gotMethod == method && (call == "" || m.Header["Call-ID"] == call)
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
		ignorable := gotMethod == "ACK" || gotStatus == "200" && (gotMethod == "BYE" || gotMethod == "CANCEL")
		if !ignorable {
			return fmt.Errorf("got %s %v %q", m.StartLine, m.Header, m.Body)
		}
	}
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/identity/identitytest"
	"threadglade.example/threadglade/internal/standin"
)

// killDelay is when a process may be killed after SIGTERM: the longest deadline, taken as 3 s where it is longer, and
// 0.7 s.
const killDelay = 3700 * time.Millisecond

// deskCall is what a desk knows of a call that the router has confirmed.
type deskCall struct {
	sentAt  time.Time
	answers int
	code    int // of the error; 0: established
	ended   bool
}

// desk is a client of call control that places calls on one WebSocket at a time and opens another when it has ended.
type desk struct {
	t       *testing.T
	address string
	token   string
	mu      sync.Mutex
	calls   map[string]*deskCall // confirmed calls, by their ID at the router
	sent    map[int]time.Time    // requests by their JSON-RPC ID
	callOf  map[int]string       // ID at the router by the one of the request
	refused int                  // requests that were refused before they were confirmed
	sockets int                  // WebSockets opened
}

// startDesk starts a desk that places a call every interval until ctx is done, and returns a channel that is closed once
// it has stopped placing and its last WebSocket has been read for some time more.
func startDesk(ctx context.Context, t *testing.T, address, token string, interval time.Duration) (*desk, chan bool) {
	d := &desk{t: t, address: address, token: token, calls: map[string]*deskCall{}, sent: map[int]time.Time{},
		callOf: map[int]string{}}
	done := make(chan bool)
	go func() {
		defer close(done)
		var conn *websocket.Conn
		ended := make(chan bool)
		close(ended)
		for id := 1; ctx.Err() == nil; id++ {
			select {
			case <-ended:
				if conn = d.connect(); conn == nil {
					time.Sleep(interval)
					continue
				}
				ended = make(chan bool)
				go d.read(conn, ended)
			default:
			}
			d.place(conn, id)
			time.Sleep(interval)
		}
		time.Sleep(7 * time.Second) // longer than any call takes here
	}()
	return d, done
}

// connect opens a WebSocket and asks for the calls that it has not seen the end of. It returns nil if it can't.
func (d *desk) connect() *websocket.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+d.address+"/", &websocket.DialOptions{
		HTTPHeader: http.Header{"Authorization": {"Bearer " + d.token}}})
	if err != nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sockets++
	for id, call := range d.calls {
		if !call.ended && call.code == 0 {
			conn.Write(ctx, websocket.MessageText, fmt.Appendf(nil,
				`{"jsonrpc":"2.0","id":"attach","method":"call.attach","params":{"call":%q}}`, id))
		}
	}
	return conn
}

func (d *desk) place(conn *websocket.Conn, id int) {
	d.mu.Lock()
	d.sent[id] = time.Now()
	d.mu.Unlock()
	conn.Write(context.Background(), websocket.MessageText, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,`+
		`"method":"call.place","params":{"class":"voice","number":"4711","destination":%d,"answerWithinMs":5000}}`, id, id%2))
}

// read handles the messages of a WebSocket until it ends.
func (d *desk) read(conn *websocket.Conn, ended chan bool) {
	defer close(ended)
	defer conn.CloseNow()
	for {
		_, text, err := conn.Read(context.Background())
		if err != nil {
			return
		}
		d.handle(text)
	}
}

func (d *desk) handle(text []byte) {
	var m struct {
		ID     any
		Method string
		Params struct {
			Call    string
			Request int
		}
		Error struct{ Code int }
	}
	require.NoError(d.t, json.Unmarshal(text, &m))
	d.mu.Lock()
	defer d.mu.Unlock()
	id, _ := m.ID.(float64)
	switch {
	case m.Method == "call.placed":
		d.calls[m.Params.Call] = &deskCall{sentAt: d.sent[m.Params.Request]}
		d.callOf[m.Params.Request] = m.Params.Call
	case m.Method == "call.ended":
		if call := d.calls[m.Params.Call]; call != nil {
			call.ended = true
		}
	case id > 0 && d.callOf[int(id)] == "":
		d.refused++
	case id > 0:
		call := d.calls[d.callOf[int(id)]]
		call.answers++
		call.code = m.Error.Code
	}
}

// startCallControl starts a router whose call control listens at the returned address, and returns a valid token.
func startCallControl(t *testing.T, u *upgradeTest) (address, token string) {
	api, key := identitytest.New(t), identitytest.Key(t)
	go func() { // each process has a stream of its own
		for t.Context().Err() == nil {
			select {
			case api.Bundles <- identitytest.Bundle(t, key):
			case <-t.Context().Done():
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	address = freeAddress(t)
	id := "spiffe://" + identitytest.Domain + "/desk/1"
	u.serveArgs = []string{"--settings", u.testbed.writeFile("callcontrol.edn", fmt.Sprintf(`(threadglade (callcontrol
  (listen %q) (trust-domain %q) (audience "threadglade") (allowed-ids %q) (workload-api %q)))`,
		address, identitytest.Domain, id, api.Address))}
	return address, identitytest.Token(t, key, id, "threadglade", time.Now().Add(time.Hour))
}

// TestUpgradeCallControl guards against calls that an old process takes on its open WebSockets and never answers, since
// it is killed, and against calls whose end nobody tells the client after that. A desk goes on placing calls on one
// WebSocket during an upgrade: each call that is confirmed to it has one final answer, it is moved to the new process in
// time, and it is told of the end of each established call.
func TestUpgradeCallControl(t *testing.T) {
	t.Parallel()
	u := newUpgrade(t)
	u.testbed = newTestbed(t, 2, standin.ServerConfig{Seed: 9,
		AnswerDelay: [2]time.Duration{300 * time.Millisecond, 400 * time.Millisecond},
		HoldTime:    [2]time.Duration{5 * time.Second, 6 * time.Second}})
	u.env = u.testbed.writeConfig("n0", u.listen)
	address, token := startCallControl(t, u)
	old := u.start()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	d, done := startDesk(ctx, t, address, token, 25*time.Millisecond)
	require.Eventually(t, func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.calls) > 40 }, 10*time.Second,
		10*time.Millisecond, old.log())
	next := u.start()
	toldAt := time.Now()
	require.NoError(t, old.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(time.Until(toldAt.Add(killDelay)))
	old.kill()
	time.Sleep(time.Second)
	stop()
	<-done
	d.mu.Lock()
	defer d.mu.Unlock()
	unanswered, untold, byNext := 0, 0, 0
	for id, call := range d.calls {
		excused := call.sentAt.Before(toldAt.Add(700 * time.Millisecond))
		if call.answers != 1 && !excused {
			unanswered++
			t.Logf("call %s, sent %v after SIGTERM, has %d answers", id, call.sentAt.Sub(toldAt), call.answers)
		}
		if call.answers == 1 && call.code == 0 && !call.ended {
			untold++
			t.Logf("call %s, sent %v after SIGTERM, was established, and its end not told", id, call.sentAt.Sub(toldAt))
		}
		if call.sentAt.After(toldAt.Add(killDelay)) && call.answers == 1 && call.code == 0 {
			byNext++
		}
	}
	t.Logf("%d calls confirmed, %d requests refused, %d WebSockets", len(d.calls), d.refused, d.sockets)
	require.Zero(t, unanswered, "%s\n%s", old.log(), next.log())
	require.Zero(t, untold, "%s\n%s", old.log(), next.log())
	require.Greater(t, byNext, 10, "the desk was not served by the new process")
	require.Equal(t, 2, d.sockets)
}

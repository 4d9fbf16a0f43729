package scenario

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/identity"
	"threadglade.example/threadglade/internal/identity/identitytest"
)

// wsMessage is a WebSocket frame as the client received it.
type wsMessage struct {
	op   byte
	text string
}

// handshake opens a WebSocket. The token is id=, sent as a subprotocol, as browsers do, if origin= is given.
func handshake(conn net.Conn, r *bufio.Reader, args string) error {
	id, origin := "desk1", ""
	for _, field := range strings.Fields(args) {
		switch name, value, _ := strings.Cut(field, "="); name {
		case "id":
			id = value
		case "origin":
			origin = "Origin: " + value + "\r\n"
		}
	}
	auth := "Authorization: Bearer " + id + "\r\n"
	if origin != "" {
		auth = origin + "Sec-WebSocket-Protocol: callcontrol.v1, bearer." + id + "\r\n"
	}
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n"+
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n%s\r\n", auth)
	status, accepted := "", ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		switch line = strings.TrimSpace(line); {
		case status == "":
			status = line
		case line == "":
			if status != "HTTP/1.1 101 Switching Protocols" {
				return errors.New(status)
			}
			if accepted != "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=" { // the example of RFC 6455
				return errors.New("wrong accept key " + accepted)
			}
			return nil
		case strings.HasPrefix(line, "Sec-WebSocket-Accept: "):
			accepted = line[22:]
		}
	}
}

// clientFrame encodes a masked frame.
func clientFrame(fin bool, op byte, payload []byte) []byte {
	b := []byte{op, 0x80}
	if fin {
		b[0] |= 0x80
	}
	if len(payload) < 126 {
		b[1] |= byte(len(payload))
	} else {
		b[1] |= 126
		b = binary.BigEndian.AppendUint16(b, uint16(len(payload)))
	}
	mask := [4]byte{1, 2, 3, 4}
	b = append(b, mask[:]...)
	for i, c := range payload {
		b = append(b, c^mask[i&3])
	}
	return b
}

// readFrame reads an unmasked frame, as servers send them.
func readFrame(r *bufio.Reader) (any, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:2]); err != nil {
		return nil, err
	}
	size := int(head[1])
	if size == 126 {
		if _, err := io.ReadFull(r, head[2:]); err != nil {
			return nil, err
		}
		size = int(binary.BigEndian.Uint16(head[2:]))
	}
	payload := make([]byte, size)
	_, err := io.ReadFull(r, payload)
	return wsMessage{head[0] & 15, string(payload)}, err
}

// expectWebSocket checks that the next message contains all words of text. A close frame counts as the text "close
// CODE", a ping as "ping TEXT" and a pong as "pong TEXT". "as NAME" keeps the call id of the message in a variable.
func (p *peer) expectWebSocket(text string) error {
	if text == "silence" {
		if err := p.write(clientFrame(true, 9, []byte("barrier"))); err != nil {
			return err
		}
		text = "pong barrier"
	}
	got, err := p.next()
	if err != nil {
		return err
	}
	m, ok := got.(wsMessage)
	if !ok {
		return fmt.Errorf("connection ended: %v", got)
	}
	words := strings.Fields(text)
	received := m.text
	switch m.op {
	case 8:
		received = fmt.Sprintf("close %d", binary.BigEndian.Uint16([]byte(m.text)))
	case 9:
		received = "ping " + received
	case 10:
		received = "pong " + received
	}
	for i, word := range words {
		if word == "as" {
			var v struct{ Params, Result struct{ Call string } }
			if err := json.Unmarshal([]byte(m.text), &v); err != nil {
				return err
			}
			p.run.vars[words[i+1]] = v.Params.Call + v.Result.Call
			break
		}
		if !strings.Contains(received, word) {
			return fmt.Errorf("got %s", received)
		}
	}
	return nil
}

// clientConnected starts the router with two case servers and a WebSocket client.
const clientConnected = `
s0 open number=0
s1 open number=1
start callcontrol
w1 open id=desk1
`

// callPlaced is clientConnected with a call that is pending at the first server.
const callPlaced = clientConnected + `
w1 send {"jsonrpc":"2.0","id":1,"method":"call.place","params":{"class":"voice","number":"4711","destination":0,"answerWithinMs":3000,"description":"offer"}}
w1 expect call.placed "request":1 as c
s0 expect INVITE Call-Kind=voice Answer-Within=2970 Body=offer
`

// callControlScenarios are the scenarios of WebSocket clients, by name.
var callControlScenarios = map[string]string{
	"a call is established and ends, and the client is told": callPlaced + `
s0 send 200 INVITE #$c Body=answer
w1 expect "id":1 "state":"standing" "description":"answer" $c
s0 send BYE #$c Reason=Q.850;cause=16
w1 expect call.ended "cause":"concluded" $c
w1 expect silence`,

	"refusal, failure and timeout have different codes": callPlaced + `
s0 send 503 INVITE #$c Fail-Word=swamped
w1 expect "id":1 -32001 "retryAfterMs":100
w1 send {"jsonrpc":"2.0","id":"x","method":"call.place","params":{"class":"voice","number":"1","destination":1,"answerWithinMs":900}}
w1 expect call.placed as c
s1 expect INVITE #$c
wait 900ms
s1 expect CANCEL #$c
w1 expect "id":"x" -32003
w1 send {"jsonrpc":"2.0","id":3,"method":"call.place","params":{"class":"data","number":"1","destination":1,"answerWithinMs":5000}}
w1 expect call.placed as c
s0 expect INVITE #$c
s0 send 486 INVITE #$c Fail-Word=occupied
w1 expect "id":3 -32002`,

	"invalid requests get an error": clientConnected + `
w1 send {
w1 expect "id":null -32700
w1 send [{"jsonrpc":"2.0","id":1,"method":"call.place"}]
w1 expect "id":null -32600
w1 send {"jsonrpc":"1.0","id":1,"method":"call.place"}
w1 expect "id":1 -32600
w1 send {"jsonrpc":"2.0","id":{},"method":"call.place"}
w1 expect "id":null -32600
w1 send {"jsonrpc":"2.0","id":1,"method":"call.hold"}
w1 expect "id":1 -32601
w1 send {"jsonrpc":"2.0","id":1,"method":"call.place","params":{"class":"fax","number":"1","answerWithinMs":9}}
w1 expect "id":1 -32602 class
w1 send {"jsonrpc":"2.0","id":1,"method":"call.place","params":{"class":"voice","number":"1@x\r\nA: b","answerWithinMs":9}}
w1 expect "id":1 -32602 number
w1 send {"jsonrpc":"2.0","id":1,"method":"call.place","params":{"class":"voice","number":"1","answerWithinMs":0}}
w1 expect "id":1 -32602 answerWithinMs
w1 send {"jsonrpc":"2.0","id":1,"method":"call.place","params":{"class":"voice","number":"1","answerWithinMs":9,"via":1}}
w1 expect "id":1 -32602 via
w1 send {"jsonrpc":"2.0","id":1,"method":"call.release","params":{"call":"0"}}
w1 expect "id":1 -32004
w1 send {"jsonrpc":"2.0","method":"call.release","params":{"call":"0"}}
w1 expect silence`,

	"cancel and release": callPlaced + `
w1 send {"jsonrpc":"2.0","id":2,"method":"call.cancel","params":{"call":"$c"}}
w1 expect "id":1 -32006
w1 expect "id":2 "result"
s0 expect CANCEL #$c
w1 send {"jsonrpc":"2.0","id":3,"method":"call.place","params":{"class":"voice","number":"4711","destination":0,"answerWithinMs":3000}}
w1 expect call.placed as d
s0 expect INVITE #$d
s0 send 200 INVITE #$d Body=x
w1 expect "id":3 standing
w1 send {"jsonrpc":"2.0","id":4,"method":"call.cancel","params":{"call":"$d"}}
w1 expect "id":4 -32004
w1 send {"jsonrpc":"2.0","id":5,"method":"call.release","params":{"call":"$d"}}
w1 expect "id":5 "result"
s0 expect BYE #$d Reason=cause=16
w1 expect silence`,

	// If the socket closes during a set-up, the set-up continues. Its answer goes once to the same identity when that
	// attaches, and to no other identity.
	"the socket closes during the set-up": callPlaced + `
w1 close
w2 open id=desk2
w2 send {"jsonrpc":"2.0","id":1,"method":"call.attach","params":{"call":"$c"}}
w2 expect "id":1 -32004
s0 send 200 INVITE #$c Body=answer
s0 expect ACK
w3 open id=desk1
w3 send {"jsonrpc":"2.0","id":1,"method":"call.attach","params":{"call":"$c"}}
w3 expect "id":1 standing "description":"answer"
w3 send {"jsonrpc":"2.0","id":2,"method":"call.attach","params":{"call":"$c"}}
w3 expect "id":2 standing
wait 2s
w3 expect silence
s0 send BYE #$c Reason=Q.850;cause=41
w3 expect call.ended "cause":"cut"
w3 expect silence`,

	"attach before the answer, which is sent once": callPlaced + `
w2 open id=desk1
w2 send {"jsonrpc":"2.0","id":9,"method":"call.attach","params":{"call":"$c"}}
w1 expect "id":1 -32005
s0 send 503 INVITE #$c Fail-Word=swamped
w2 expect "id":9 -32001
w1 expect silence
w2 send {"jsonrpc":"2.0","id":10,"method":"call.attach","params":{"call":"$c"}}
w2 expect "id":10 -32004`,

	"a set-up without a socket continues until its deadline": callPlaced + `
w1 close
wait 2900ms
s0 expect silence
wait 100ms
s0 expect CANCEL #$c
wait 900ms
w2 open id=desk1
w2 send {"jsonrpc":"2.0","id":1,"method":"call.attach","params":{"call":"$c"}}
w2 expect "id":1 -32003`,

	// After its socket has closed, an established call is released unless its identity attaches within the grace
	// period.
	"the socket closes during an established call": callPlaced + `
s0 send 200 INVITE #$c Body=x
w1 expect standing
w1 close
wait 900ms
w2 open id=desk1
w2 send {"jsonrpc":"2.0","id":1,"method":"call.attach","params":{"call":"$c"}}
w2 expect "id":1 standing
wait 2s
s0 expect silence
w2 close
log "was not claimed"
s0 expect BYE #$c Reason=cause=16`,

	// If a server drains and goes while a call is pending there, the call moves on to another server and gets
	// exactly one answer.
	"the server drains while a set-up is pending": callPlaced + `
list s0=draining s1
log "state 1"
list s1
log "s0 was removed, 1 attempts cut"
wait 220ms
s1 expect INVITE #$c
s1 send 200 INVITE #$c Body=x
w1 expect "id":1 standing
w1 expect silence`,

	// RFC 6455: fragments with a ping between them, the pong, and the closing handshake.
	"fragments": clientConnected + `
w1 raw "\x01\x83\x01\x02\x03\x04\x7a\x20\x69"
w1 raw "\x89\x82\x01\x02\x03\x04\x69\x6b"
w1 expect pong hi
w1 raw "\x80\x83\x01\x02\x03\x04\x72\x6d\x6d"
w1 expect -32700
w1 raw "\x88\x82\x00\x00\x00\x00\x03\xe8"
w1 expect close 1000
w1 expect closed`,

	"an unmasked frame":    clientConnected + "w1 raw \"\\x81\\x01a\"\nw1 expect close 1002",
	"a reserved bit":       clientConnected + "w1 raw \"\\xc1\\x80\\x00\\x00\\x00\\x00\"\nw1 expect close 1002",
	"a stray continuation": clientConnected + "w1 raw \"\\x80\\x80\\x00\\x00\\x00\\x00\"\nw1 expect close 1002",
	"a fragmented ping":    clientConnected + "w1 raw \"\\x09\\x80\\x00\\x00\\x00\\x00\"\nw1 expect close 1002",
	"a length in a longer form than needed": clientConnected + "w1 raw \"\\x81\\xfe\\x00\\x01\\x00\\x00\\x00\\x00a\"\n" +
		"w1 expect close 1002",
	"binary": clientConnected + "w1 raw \"\\x82\\x80\\x00\\x00\\x00\\x00\"\nw1 expect close 1003",
	"text that is not UTF-8": clientConnected + "w1 raw \"\\x81\\x81\\x00\\x00\\x00\\x00\\xff\"\n" +
		"w1 expect close 1007",
	"a message that is too large": clientConnected + "w1 raw \"\\x81\\xff\\x00\\x00\\x00\\x00\\x00\\x01\\x00\\x00\"\n" +
		"w1 expect close 1009",
	"a reserved close code": clientConnected + "w1 raw \"\\x88\\x82\\x00\\x00\\x00\\x00\\x03\\xed\"\n" +
		"w1 expect close 1002",
	"a browser with an allowed origin": clientConnected +
		"w2 open id=desk2 origin=https://desk.example\nw2 expect silence",
	"a token that expires": clientConnected + "wait 12s\nw1 expect silence\nwait 12s\n" +
		"w1 expect silence\nwait 12s\nw1 expect silence\nwait 12s\nw1 expect silence\nwait 13s\n" +
		"w1 expect close 1008\nwait 3s\nw1 expect closed",
	// A socket whose handshake or message stays incomplete is closed 2 s after its start; an idle socket is not.
	"a client without a handshake": clientConnected + "w2 open mute\nwait 1900ms\nw1 expect silence\nwait 200ms\n" +
		"w2 expect closed\nw1 expect silence",
	"an incomplete frame": clientConnected + "w1 raw \"\\x81\"\nwait 1900ms\nw1 raw \"\\x84\"\nwait 200ms\n" +
		"w1 expect closed",
	"an incomplete message": clientConnected +
		"w1 raw \"\\x01\\x80\\x00\\x00\\x00\\x00\"\nwait 2100ms\nw1 expect closed",
	"values out of range": clientConnected + `
w1 send {"jsonrpc":"2.0","id":1,"method":"call.place","params":{"class":"voice","number":"1","answerWithinMs":5001}}
w1 expect "id":1 -32602 answerWithinMs
w1 send {"jsonrpc":"2.0","id":2,"method":"call.place","params":{"class":"voice","number":"1","answerWithinMs":9,"destination":7}}
w1 expect "id":2 -32602 destination`,
	"a client that does not answer a ping": clientConnected + "wait 20s\nw1 expect ping\nwait 25s\nw1 expect closed",
}

// TestCallControl runs the scenarios of WebSocket clients.
func TestCallControl(t *testing.T) { runScenarios(t, callControlScenarios) }

// TestUnauthorizedClients checks that wrong tokens and origins that are not allowed are rejected.
func TestUnauthorizedClients(t *testing.T) {
	w := runScenario(t, clientConnected)
	require.ErrorContains(t, w.execute("w2 open id=thief"), "401")
	require.ErrorContains(t, w.execute("w3 open id=desk1 origin=https://elsewhere.example"), "403")
}

// TestIndependentClient connects a WebSocket client of another project. It finds a misreading of the protocol that the
// front shares with the test client of this package.
func TestIndependentClient(t *testing.T) {
	w := runScenario(t, clientConnected)
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	c, _, err := websocket.Dial(ctx, "ws://"+w.callControlAddr.String()+"/", &websocket.DialOptions{
		Subprotocols: []string{"callcontrol.v1", "bearer.desk9"},
		HTTPHeader:   http.Header{"Origin": {"https://desk.example"}},
	})
	require.NoError(t, err)
	require.Equal(t, "callcontrol.v1", c.Subprotocol())
	require.NoError(t, c.Write(ctx, websocket.MessageText, []byte(`{"jsonrpc":"2.0","id":1,`+
		`"method":"call.place","params":{"class":"voice",`+
		`"number":"4711","destination":0,"answerWithinMs":3000,"description":"`+strings.Repeat("d", 5000)+`"}}`)))
	_, text, err := c.Read(ctx)
	require.NoError(t, err)
	require.Contains(t, string(text), "call.placed")
	require.NoError(t, w.execute("s0 expect INVITE Body="+strings.Repeat("d", 5000)))
	go c.Read(ctx) // answers the ping
	require.NoError(t, c.Ping(ctx))
	require.NoError(t, c.Close(websocket.StatusNormalClosure, "done"))
}

// TestSPIFFE connects with real tokens. Before the Workload API has delivered a bundle, all get 503. After it, a valid
// token is accepted; an expired one, one of another identity and a missing one get 401.
func TestSPIFFE(t *testing.T) {
	api, k, updated := identitytest.New(t), identitytest.Key(t), make(chan bool, 9)
	id := "spiffe://" + identitytest.Domain + "/desk/7"
	v, err := identity.New(identity.Config{
		TrustDomain: identitytest.Domain,
		Audience:    "threadglade",
		WorkloadAPI: api.Address,
		AllowedIDs:  []string{id},
	}, zerolog.New(logNotifier(updated)))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	require.NoError(t, v.Watch(ctx, api.Address))
	w := runScenario(t, "s0 open number=0")
	w.verifyToken = v.Verify
	require.NoError(t, w.execute("start callcontrol"))
	good := identitytest.Token(t, k, id, "threadglade", time.Now().Add(time.Hour))
	require.ErrorContains(t, w.execute("w0 open id="+good), "503")
	api.Bundles <- identitytest.Bundle(t, k)
	<-updated
	require.NoError(t, w.execute("w1 open id="+good))
	require.NoError(t, w.execute("w1 expect silence"))
	require.NoError(t, w.execute("w2 open origin=https://desk.example id="+good))
	for name, bad := range map[string]string{
		"expired": identitytest.Token(t, k, id, "threadglade", time.Now().Add(-time.Hour)),
		"other":   identitytest.Token(t, k, id+"7", "threadglade", time.Now().Add(time.Hour)),
		"none":    "",
	} {
		require.ErrorContains(t, w.execute("w3 open id="+bad), "401", name)
	}
}

// logNotifier sends a value for every log event.
type logNotifier chan bool

// Write notifies of one log event.
func (n logNotifier) Write(b []byte) (int, error) { n <- true; return len(b), nil }

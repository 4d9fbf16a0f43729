package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"
	"github.com/spiffe/go-spiffe/v2/bundle/jwtbundle"
	"github.com/spiffe/go-spiffe/v2/proto/spiffe/workload"
	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"google.golang.org/grpc"
)

const (
	trustDomain = "branch.example"
	deskID      = "spiffe://branch.example/desk/1"
)

// identityProvider is a Workload API with one authority.
type identityProvider struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	address string
	key     *ecdsa.PrivateKey
	bundle  []byte
}

// newIdentityProvider starts a Workload API on loopback.
func newIdentityProvider() (*identityProvider, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	bundle := jwtbundle.New(spiffeid.RequireTrustDomainFromString(trustDomain))
	if err := bundle.AddJWTAuthority("k1", key.Public()); err != nil {
		return nil, err
	}
	text, err := bundle.Marshal()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &identityProvider{address: "tcp://" + l.Addr().String(), key: key, bundle: text}
	server := grpc.NewServer()
	workload.RegisterSpiffeWorkloadAPIServer(server, p)
	go server.Serve(l)
	return p, nil
}

// FetchJWTBundles implements the Workload API.
func (p *identityProvider) FetchJWTBundles(_ *workload.JWTBundlesRequest,
	s grpc.ServerStreamingServer[workload.JWTBundlesResponse]) error {
	if err := s.Send(&workload.JWTBundlesResponse{Bundles: map[string][]byte{"spiffe://" + trustDomain: p.bundle}}); err != nil {
		return err
	}
	<-s.Context().Done()
	return nil
}

// token returns a token of the desk.
func (p *identityProvider) token() (string, error) {
	s, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.ES256, Key: jose.JSONWebKey{Key: p.key, KeyID: "k1"}}, nil)
	if err != nil {
		return "", err
	}
	return jwt.Signed(s).Claims(jwt.Claims{Subject: deskID, Audience: jwt.Audience{"threadglade"},
		Expiry: jwt.NewNumericDate(time.Now().Add(time.Hour)), IssuedAt: jwt.NewNumericDate(time.Now())}).Serialize()
}

// settings returns the section of the settings for call control.
func (p *identityProvider) settings(listen string) string {
	return fmt.Sprintf("(threadglade\n  (log (level info) (form text))\n  (callcontrol (listen %q) (trust-domain %q)\n"+
		"    (audience \"threadglade\") (allowed-ids \"spiffe://branch.example/desk/*\") (workload-api %q)\n"+
		"    (grace-ms 5000) (sockets 64)))\n", listen, trustDomain, p.address)
}

// deskCall is what a desk knows of a call that the router has confirmed.
type deskCall struct {
	answers []string // final answers
	unknown int      // answers to call.attach that there is no such call
	ended   bool
}

// desk is a client of call control.
type desk struct {
	b       *bench
	address string
	token   string
	mu      sync.Mutex
	conn    *webSocket
	calls   map[string]*deskCall // by the router's ID
	callOf  map[string]string    // the router's ID by the one of the request
	refused int
	order   []string
}

// connect opens a WebSocket.
func (d *desk) connect() error {
	conn, err := dialWebSocket(d.address, d.token)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.conn = conn
	d.mu.Unlock()
	d.b.note("desk: WebSocket opened")
	go d.read(conn)
	return nil
}

// send sends a request.
func (d *desk) send(id, method string, params any) {
	text, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": method, "params": params})
	if err != nil {
		panic(err) // plain values always encode
	}
	d.mu.Lock()
	conn := d.conn
	d.mu.Unlock()
	d.b.note("desk: sent %s", text)
	if err := conn.write(opText, text); err != nil {
		d.b.note("desk: that failed: %v", err)
	}
}

// place places a call.
func (d *desk) place(request, class string, dest int, within time.Duration) {
	d.send(request, "call.place", map[string]any{"class": class, "number": newID()[:10], "destination": dest,
		"answerWithinMs": within.Milliseconds()})
}

// drop closes the WebSocket, as a browser does that reloads its page.
func (d *desk) drop() {
	d.b.note("desk: closes its WebSocket")
	d.mu.Lock()
	conn := d.conn
	d.mu.Unlock()
	conn.write(opClose, []byte{0x03, 0xe9}) // 1001, going away
}

// read handles the messages of a WebSocket until it ends.
func (d *desk) read(conn *webSocket) {
	for {
		op, text, err := conn.read()
		switch {
		case err != nil:
			d.b.note("desk: WebSocket ended: %v", err)
			conn.Close()
			return
		case op == opClose:
			d.b.note("desk: received a close frame")
			conn.write(opClose, text)
			conn.Close()
			return
		case op == opPing:
			conn.write(opPong, text)
		case op == opText:
			d.b.note("desk: received %s", text)
			d.handle(text)
		}
	}
}

// handle handles a message.
func (d *desk) handle(text []byte) {
	var m struct {
		ID     any
		Method string
		Params struct{ Call, Request string }
		Result struct{ Call, State string }
		Error  struct {
			Code int
			Data struct{ Call string }
		}
	}
	if json.Unmarshal(text, &m) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	request, _ := m.ID.(string)
	switch id := d.callOf[request]; {
	case m.Method == "call.placed":
		d.calls[m.Params.Call], d.callOf[m.Params.Request] = &deskCall{}, m.Params.Call
		d.order = append(d.order, m.Params.Call)
	case m.Method == "call.ended":
		if call := d.calls[m.Params.Call]; call != nil {
			call.ended = true
		}
	case id == "":
		if m.Error.Code != 0 {
			d.refused++
		}
	case m.Error.Code == -32004: // no such call
		d.calls[id].unknown++
	case m.Error.Code == -32005, m.Error.Code == -32600: // attached elsewhere, or attached here already
	default:
		d.calls[id].answers = append(d.calls[id].answers, string(text))
	}
}

// newDesk returns a desk that has a token, and the settings of a router for it.
func newDesk(b *bench, address string) (*desk, string, error) {
	provider, err := newIdentityProvider()
	if err != nil {
		return nil, "", errors.Join(errNotRun, err)
	}
	token, err := provider.token()
	if err != nil {
		return nil, "", errors.Join(errNotRun, err)
	}
	return &desk{b: b, address: address, token: token, calls: map[string]*deskCall{}, callOf: map[string]string{}},
		provider.settings(address), nil
}

// attach asks for a call whose answer is missing.
func (d *desk) attach(call string) {
	request := "attach " + newID()
	d.mu.Lock()
	d.callOf[request] = call
	d.mu.Unlock()
	d.send(request, "call.attach", map[string]any{"call": call})
}

// unanswered returns the calls without a final answer.
func (d *desk) unanswered() (list []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range d.order {
		if len(d.calls[id].answers) == 0 {
			list = append(list, id)
		}
	}
	return list
}

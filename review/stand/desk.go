package stand

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
	audience    = "threadglade"
)

// Authority is a stand-in for the issuer of identities and its Workload API.
type Authority struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	Address string // of the Workload API
	key     *ecdsa.PrivateKey
	bundle  []byte
	server  *grpc.Server
}

// NewAuthority starts a Workload API on loopback that gives out one trust bundle.
func NewAuthority() (*Authority, error) {
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
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Authority{Address: "tcp://" + listener.Addr().String(), key: key, bundle: text, server: grpc.NewServer()}
	workload.RegisterSpiffeWorkloadAPIServer(a.server, a)
	go a.server.Serve(listener)
	return a, nil
}

// Close ends the Workload API.
func (a *Authority) Close() { a.server.Stop() }

// FetchJWTBundles implements the Workload API.
func (a *Authority) FetchJWTBundles(_ *workload.JWTBundlesRequest,
	s grpc.ServerStreamingServer[workload.JWTBundlesResponse]) error {
	if err := s.Send(&workload.JWTBundlesResponse{
		Bundles: map[string][]byte{"spiffe://" + trustDomain: a.bundle}}); err != nil {
		return err
	}
	<-s.Context().Done()
	return nil
}

// Token returns a JWT-SVID of a desk that is valid for an hour.
func (a *Authority) Token(desk string) (string, error) {
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.ES256, Key: jose.JSONWebKey{Key: a.key, KeyID: "k1"}}, nil)
	if err != nil {
		return "", err
	}
	return jwt.Signed(signer).Claims(jwt.Claims{Subject: "spiffe://" + trustDomain + "/desk/" + desk,
		Audience: jwt.Audience{audience}, IssuedAt: jwt.NewNumericDate(time.Now()),
		Expiry: jwt.NewNumericDate(time.Now().Add(time.Hour))}).Serialize()
}

// CallControlSettings is a settings file that switches call control on at an address.
func (a *Authority) CallControlSettings(listen string) string {
	return fmt.Sprintf(`(threadglade
  (callcontrol (listen %q) (origins "https://desk.branch.example") (trust-domain %q) (audience %q)
    (allowed-ids "spiffe://branch.example/desk/*") (workload-api %q) (grace-ms 5000) (sockets 64)))
`, listen, trustDomain, audience, a.Address)
}

// Desk is a stand-in for a branch desk's tool, which speaks call control over one WebSocket at a time.
type Desk struct {
	rec    *Record
	token  string
	mu     sync.Mutex
	socket *webSocket // nil while none is open
	next   int
	asked  map[string]*DeskCall // by the id of the request
}

// DeskCall is what a desk knows of a call.
type DeskCall struct {
	Call       string // the router's id; empty until call.placed has come
	SentAt     time.Time
	PlacedAt   time.Time
	Answers    int    // final answers
	Answer     string // the first one
	AnsweredAt time.Time
	Attached   bool // call.attach was sent for it
	Ended      bool // call.ended has come
}

// NewDesk returns a desk without a WebSocket.
func NewDesk(rec *Record, token string) *Desk {
	return &Desk{rec: rec, token: token, asked: map[string]*DeskCall{}}
}

// Connect opens a WebSocket.
func (d *Desk) Connect(address string) error {
	socket, err := dialWebSocket(address, d.token)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.socket = socket
	d.mu.Unlock()
	d.rec.Printf("desk: WebSocket open")
	go func() {
		for {
			text, err := socket.read()
			if err != nil {
				d.rec.Printf("desk: WebSocket ended: %v", err)
				break
			}
			d.handle(text)
		}
		socket.conn.Close()
		d.mu.Lock()
		if d.socket == socket {
			d.socket = nil
		}
		d.mu.Unlock()
	}()
	return nil
}

// Connected reports whether the WebSocket is open.
func (d *Desk) Connected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.socket != nil
}

// Close ends the WebSocket.
func (d *Desk) Close() {
	d.mu.Lock()
	socket := d.socket
	d.socket = nil
	d.mu.Unlock()
	if socket != nil {
		socket.conn.Close()
	}
}

func (d *Desk) write(v any) bool {
	text, _ := json.Marshal(v)
	if d.socket == nil {
		return false
	}
	d.rec.Printf("desk -> %s", text)
	return d.socket.write(opText, text) == nil
}

// Place asks for a call. It returns false if no WebSocket is open.
func (d *Desk) Place(class, number string, within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.socket == nil {
		return false
	}
	d.next++
	id := fmt.Sprintf("p%d", d.next)
	d.asked[id] = &DeskCall{SentAt: time.Now()}
	return d.write(map[string]any{"jsonrpc": "2.0", "id": id, "method": "call.place", "params": map[string]any{
		"class": class, "number": number, "destination": d.next % 2, "answerWithinMs": within.Milliseconds(),
		"description": id + "\r\nc=IN IP4 127.0.0.8\r\n"}})
}

// Attach asks for all calls that were placed and have no final answer here. It returns how many they are.
func (d *Desk) Attach() (count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, call := range d.asked {
		if call.Call != "" && call.Answers == 0 && !call.Attached {
			call.Attached = true
			count++
			d.write(map[string]any{"jsonrpc": "2.0", "id": "a" + id[1:], "method": "call.attach",
				"params": map[string]any{"call": call.Call}})
		}
	}
	return count
}

// Calls returns copies of all calls, by the id of their request.
func (d *Desk) Calls() map[string]DeskCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	copies := map[string]DeskCall{}
	for id, call := range d.asked {
		copies[id] = *call
	}
	return copies
}

func (d *Desk) handle(text []byte) {
	var m struct {
		ID     any    `json:"id"`
		Method string `json:"method"`
		Params struct {
			Call    string `json:"call"`
			Request string `json:"request"`
		} `json:"params"`
		Result json.RawMessage `json:"result"`
		Error  json.RawMessage `json:"error"`
	}
	d.rec.Printf("desk <- %s", text)
	if json.Unmarshal(text, &m) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case m.Method == "call.placed":
		if call := d.asked[m.Params.Request]; call != nil {
			call.Call, call.PlacedAt = m.Params.Call, time.Now()
		}
	case m.Method == "call.ended":
		for _, call := range d.asked {
			call.Ended = call.Ended || call.Call == m.Params.Call
		}
	default:
		id, _ := m.ID.(string)
		if len(id) < 2 {
			return
		}
		call := d.asked["p"+id[1:]]
		if call == nil {
			return
		}
		if call.Answers++; call.Answers == 1 {
			call.AnsweredAt, call.Answer = time.Now(), string(m.Result)
			if len(m.Error) > 0 {
				call.Answer = string(m.Error)
			}
		}
	}
}

// Kinds of WebSocket frames, RFC 6455.
const (
	opText  = 1
	opClose = 8
	opPing  = 9
	opPong  = 10
)

// webSocket is the client's side of a WebSocket whose server sends each message in one frame.
type webSocket struct {
	conn net.Conn
	r    *bufio.Reader
	mu   sync.Mutex // guards writing
}

// dialWebSocket opens a WebSocket with a token.
func dialWebSocket(address, token string) (*webSocket, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	key := make([]byte, 16)
	rand.Read(key)
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: desk\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"+
		"Sec-WebSocket-Key: %s\r\nSec-WebSocket-Protocol: callcontrol.v1\r\nAuthorization: Bearer %s\r\n\r\n",
		base64.StdEncoding.EncodeToString(key), token)
	r := bufio.NewReader(conn)
	answer, err := http.ReadResponse(r, nil)
	if err == nil && answer.StatusCode != http.StatusSwitchingProtocols {
		err = errors.New(answer.Status)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return &webSocket{conn: conn, r: r}, nil
}

// write sends one frame.
func (w *webSocket) write(op byte, payload []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := []byte{0x80 | op}
	if len(payload) < 126 {
		b = append(b, 0x80|byte(len(payload)))
	} else {
		b = binary.BigEndian.AppendUint16(append(b, 0x80|126), uint16(len(payload)))
	}
	mask := make([]byte, 4)
	rand.Read(mask)
	b = append(b, mask...)
	for i, c := range payload {
		b = append(b, c^mask[i%4])
	}
	w.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := w.conn.Write(b)
	return err
}

// read returns the next text message. It answers pings, and the server's close, which it returns as io.EOF.
func (w *webSocket) read() ([]byte, error) {
	for {
		var head [2]byte
		if _, err := io.ReadFull(w.r, head[:]); err != nil {
			return nil, err
		}
		size := uint64(head[1] & 0x7f)
		switch size {
		case 126:
			var n [2]byte
			if _, err := io.ReadFull(w.r, n[:]); err != nil {
				return nil, err
			}
			size = uint64(binary.BigEndian.Uint16(n[:]))
		case 127:
			return nil, errors.New("frame of more than 64 KiB")
		}
		payload := make([]byte, size)
		if _, err := io.ReadFull(w.r, payload); err != nil {
			return nil, err
		}
		switch head[0] & 0x0f {
		case opText:
			return payload, nil
		case opPing:
			w.write(opPong, payload)
		case opClose:
			w.write(opClose, payload)
			return nil, io.EOF
		}
	}
}

// Package callcontrol is the second front: JSON-RPC 2.0 over WebSocket on the same loop as SIP. codec.go is the
// WebSocket protocol (RFC 6455), callcontrol.go the calls and who they belong to. It owns the sockets' state and
// the identities' claims on calls. It must never decide about a call, give one a better or worse chance than a
// SIP caller has, let one identity see another's calls, or trust a length, an origin or a token unchecked.
package callcontrol

import (
	"bytes"
	"crypto/sha1"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strings"
	"unicode/utf8"
)

// Close codes of RFC 6455, section 7.4.1.
const (
	closeNormal   = 1000
	closeAway     = 1001
	closeProtocol = 1002
	closeKind     = 1003
	closeNoCode   = 1005 // never on the wire
	closeText     = 1007
	closePolicy   = 1008
	closeTooBig   = 1009
)

const (
	opMore  = 0
	opText  = 1
	opBin   = 2
	opClose = 8
	opPing  = 9
	opPong  = 10
)

const (
	messageMost = 32 << 10
	helloMost   = 8 << 10
)

// fault is a breach of the protocol with the close code that answers it.
type fault struct {
	code int
	text string
}

func (f *fault) Error() string { return f.text }

var errHello = errors.New("malformed handshake")

// frame is one frame; payload is a slice of the read buffer, unmasked in place.
type frame struct {
	fin     bool
	op      byte
	payload []byte
}

// parseFrame reads one masked frame from the start of b; n is 0 while it is not all there.
func parseFrame(b []byte) (f frame, n int, err *fault) {
	if len(b) < 2 {
		return f, 0, nil
	}
	f.fin, f.op = b[0]&0x80 != 0, b[0]&15
	size, at := uint64(b[1]&0x7f), 2
	control := f.op >= opClose
	switch {
	case b[0]&0x70 != 0:
		return f, 0, &fault{closeProtocol, "reserved bit set"}
	case f.op > opBin && !control || f.op > opPong:
		return f, 0, &fault{closeProtocol, "unknown opcode"}
	case b[1]&0x80 == 0:
		return f, 0, &fault{closeProtocol, "frame is not masked"}
	case control && (!f.fin || size > 125):
		return f, 0, &fault{closeProtocol, "malformed control frame"}
	case size == 126:
		if len(b) < 4 {
			return f, 0, nil
		}
		size, at = uint64(binary.BigEndian.Uint16(b[2:])), 4
		if size < 126 {
			return f, 0, &fault{closeProtocol, "length is not in its shortest form"}
		}
	case size == 127:
		if len(b) < 10 {
			return f, 0, nil
		}
		size, at = binary.BigEndian.Uint64(b[2:]), 10
		if size < 1<<16 || size > 1<<63-1 {
			return f, 0, &fault{closeProtocol, "length is not in its shortest form"}
		}
	}
	if size > messageMost {
		return f, 0, &fault{closeTooBig, "message too big"}
	}
	end := at + 4 + int(size)
	if len(b) < end {
		return f, 0, nil
	}
	mask := [4]byte(b[at:])
	f.payload = b[at+4 : end]
	for i := range f.payload {
		f.payload[i] ^= mask[i&3]
	}
	return f, end, nil
}

// appendFrame writes one whole unmasked frame.
func appendFrame(b []byte, op byte, payload []byte) []byte {
	b = append(b, 0x80|op)
	switch n := len(payload); {
	case n < 126:
		b = append(b, byte(n))
	case n < 1<<16:
		b = binary.BigEndian.AppendUint16(append(b, 126), uint16(n))
	default:
		b = binary.BigEndian.AppendUint64(append(b, 127), uint64(n))
	}
	return append(b, payload...)
}

// assembler puts fragments together.
type assembler struct {
	open  bool // a fragmented message has begun
	parts []byte
}

// add takes a data frame and returns the message that it completes; whole is false while one is incomplete.
func (a *assembler) add(f frame) (text []byte, whole bool, err *fault) {
	switch {
	case f.op == opBin:
		return nil, false, &fault{closeKind, "only text is spoken here"}
	case f.op == opText && a.open:
		return nil, false, &fault{closeProtocol, "new message within a fragmented one"}
	case f.op == opMore && !a.open:
		return nil, false, &fault{closeProtocol, "continuation of nothing"}
	}
	text = f.payload
	if f.op == opMore || !f.fin {
		if len(a.parts)+len(f.payload) > messageMost {
			return nil, false, &fault{closeTooBig, "message too big"}
		}
		a.parts = append(a.parts, f.payload...)
		a.open = !f.fin
		if a.open {
			return nil, false, nil
		}
		text, a.parts = a.parts, nil
	}
	if !utf8.Valid(text) {
		return nil, false, &fault{closeText, "text is not UTF-8"}
	}
	return text, true, nil
}

// closeCode reads the payload of a close frame.
func closeCode(payload []byte) (int, *fault) {
	switch {
	case len(payload) == 0:
		return closeNoCode, nil
	case len(payload) == 1:
		return 0, &fault{closeProtocol, "malformed close"}
	}
	code := int(binary.BigEndian.Uint16(payload))
	switch {
	case code < 1000, code >= 1004 && code <= 1006, code >= 1015 && code < 3000, code >= 5000:
		return 0, &fault{closeProtocol, "close code is not for the wire"}
	case !utf8.Valid(payload[2:]):
		return 0, &fault{closeText, "reason is not UTF-8"}
	}
	return code, nil
}

func closePayload(code int, reason string) []byte {
	return append(binary.BigEndian.AppendUint16(nil, uint16(code)), reason[:min(len(reason), 120)]...)
}

// ---- the opening handshake ----

// hello is the request that opens a WebSocket.
type hello struct {
	key       string
	origin    string
	bearer    string   // token from Authorization or from a subprotocol
	protocols []string // offered, without the one that carries a token
	version   string
	upgrade   bool
}

const (
	subprotocol  = "callcontrol.v1"
	bearerPrefix = "bearer."
)

// parseHello reads the HTTP request at the start of b; n is 0 while it is not all there.
func parseHello(b []byte) (h hello, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > helloMost {
			return h, 0, errHello
		}
		return h, 0, nil
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	start := strings.Split(lines[0], " ")
	if end > helloMost || len(start) != 3 || start[0] != "GET" || start[2] != "HTTP/1.1" {
		return h, 0, errHello
	}
	upgrade, connection, host, keys := false, false, false, 0
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return h, 0, errHello
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "host":
			host = value != ""
		case "upgrade":
			upgrade = upgrade || listed(value, "websocket")
		case "connection":
			connection = connection || listed(value, "upgrade")
		case "sec-websocket-key":
			h.key, keys = value, keys+1
		case "sec-websocket-version":
			h.version = value
		case "origin":
			h.origin = value
		case "authorization":
			if scheme, token, ok := strings.Cut(value, " "); ok && strings.EqualFold(scheme, "bearer") {
				h.bearer = strings.TrimSpace(token)
			}
		case "sec-websocket-protocol":
			for one := range strings.SplitSeq(value, ",") {
				one = strings.TrimSpace(one)
				if token, ok := strings.CutPrefix(one, bearerPrefix); ok {
					if h.bearer == "" {
						h.bearer = token
					}
				} else {
					h.protocols = append(h.protocols, one)
				}
			}
		}
	}
	if !host || keys > 1 {
		return h, 0, errHello
	}
	h.upgrade = upgrade && connection
	return h, end + 4, nil
}

func listed(value, want string) bool {
	for one := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.TrimSpace(one), want) {
			return true
		}
	}
	return false
}

// acceptKey answers the key of a handshake; false if it is none.
func acceptKey(key string) (string, bool) {
	raw, err := base64.StdEncoding.DecodeString(key)
	if err != nil || len(raw) != 16 {
		return "", false
	}
	sum := sha1.Sum([]byte(key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return base64.StdEncoding.EncodeToString(sum[:]), true
}

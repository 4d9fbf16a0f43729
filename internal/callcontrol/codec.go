// Package callcontrol serves the call control API, JSON-RPC 2.0 over WebSocket, as a second front beside SIP on the
// same event loop. codec.go implements the WebSocket protocol (RFC 6455), socket.go a connection, requests.go what clients
// ask for, call.go the calls and their owners, handover.go and ending.go the end of a process.
// The package holds the state of the sockets and records which identity each call belongs to. It must never decide
// whether or where a call is sent, treat a call better or worse than a SIP caller's, let one identity see another's
// calls, or use a length, an origin or a token that it hasn't checked.
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
	closeNormal          = 1000
	closeGoingAway       = 1001
	closeProtocolError   = 1002
	closeUnsupportedData = 1003
	closeNoStatus        = 1005 // never sent: stands for a close frame without a code
	closeInvalidPayload  = 1007
	closePolicyViolation = 1008
	closeMessageTooBig   = 1009
)

// Opcodes of RFC 6455, section 5.2.
const (
	opContinuation = 0
	opText         = 1
	opBinary       = 2
	opClose        = 8
	opPing         = 9
	opPong         = 10
)

// Limits of what a client may send.
const (
	maxMessageBytes   = 32 << 10
	maxHandshakeBytes = 8 << 10
)

// protocolError is a violation of the WebSocket protocol, with the close code to answer it with.
type protocolError struct {
	code   int
	reason string
}

// Error implements error.
func (e *protocolError) Error() string { return e.reason }

// errHandshake is returned for an opening handshake that is not a valid HTTP request.
var errHandshake = errors.New("malformed handshake")

// frame is one WebSocket frame. Its payload is a slice of the read buffer, unmasked in place.
type frame struct {
	fin     bool
	op      byte
	payload []byte
}

// parseFrame parses one masked frame from the start of b and returns its size in bytes, 0 while it is incomplete.
func parseFrame(b []byte) (f frame, n int, err *protocolError) {
	if len(b) < 2 {
		return f, 0, nil
	}
	f.fin, f.op = b[0]&0x80 != 0, b[0]&15
	size, at := uint64(b[1]&0x7f), 2
	control := f.op >= opClose
	switch {
	case b[0]&0x70 != 0:
		return f, 0, &protocolError{closeProtocolError, "reserved bit set"}
	case f.op > opBinary && !control || f.op > opPong:
		return f, 0, &protocolError{closeProtocolError, "unknown opcode"}
	case b[1]&0x80 == 0:
		return f, 0, &protocolError{closeProtocolError, "frame is not masked"}
	case control && (!f.fin || size > 125):
		return f, 0, &protocolError{closeProtocolError, "malformed control frame"}
	case size == 126:
		if len(b) < 4 {
			return f, 0, nil
		}
		size, at = uint64(binary.BigEndian.Uint16(b[2:])), 4
		if size < 126 {
			return f, 0, &protocolError{closeProtocolError, "length is not in its shortest form"}
		}
	case size == 127:
		if len(b) < 10 {
			return f, 0, nil
		}
		size, at = binary.BigEndian.Uint64(b[2:]), 10
		if size < 1<<16 || size > 1<<63-1 {
			return f, 0, &protocolError{closeProtocolError, "length is not in its shortest form"}
		}
	}
	if size > maxMessageBytes {
		return f, 0, &protocolError{closeMessageTooBig, "message too big"}
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

// appendFrame appends one unfragmented, unmasked frame to b.
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

// assembler reassembles fragmented messages.
type assembler struct {
	pending   bool // a fragmented message is incomplete
	fragments []byte
}

// add adds a data frame and returns the message that it completes. complete is false while more fragments are due.
func (a *assembler) add(f frame) (text []byte, complete bool, err *protocolError) {
	switch {
	case f.op == opBinary:
		return nil, false, &protocolError{closeUnsupportedData, "only text is spoken here"}
	case f.op == opText && a.pending:
		return nil, false, &protocolError{closeProtocolError, "new message within a fragmented one"}
	case f.op == opContinuation && !a.pending:
		return nil, false, &protocolError{closeProtocolError, "continuation of nothing"}
	}
	text = f.payload
	if f.op == opContinuation || !f.fin {
		if len(a.fragments)+len(f.payload) > maxMessageBytes {
			return nil, false, &protocolError{closeMessageTooBig, "message too big"}
		}
		a.fragments = append(a.fragments, f.payload...)
		a.pending = !f.fin
		if a.pending {
			return nil, false, nil
		}
		text, a.fragments = a.fragments, nil
	}
	if !utf8.Valid(text) {
		return nil, false, &protocolError{closeInvalidPayload, "text is not UTF-8"}
	}
	return text, true, nil
}

// closeCode returns the code in the payload of a close frame, closeNoStatus if there is none.
func closeCode(payload []byte) (int, *protocolError) {
	switch {
	case len(payload) == 0:
		return closeNoStatus, nil
	case len(payload) == 1:
		return 0, &protocolError{closeProtocolError, "malformed close"}
	}
	code := int(binary.BigEndian.Uint16(payload))
	switch {
	case code < 1000, code >= 1004 && code <= 1006, code >= 1015 && code < 3000, code >= 5000:
		return 0, &protocolError{closeProtocolError, "close code is not for the wire"}
	case !utf8.Valid(payload[2:]):
		return 0, &protocolError{closeInvalidPayload, "reason is not UTF-8"}
	}
	return code, nil
}

// closePayload returns the payload of a close frame. The reason is cut to fit into a control frame.
func closePayload(code int, reason string) []byte {
	return append(binary.BigEndian.AppendUint16(nil, uint16(code)), reason[:min(len(reason), 120)]...)
}

// ---- the opening handshake ----

// handshake is the HTTP request that opens a WebSocket.
type handshake struct {
	key       string
	origin    string
	token     string   // token from Authorization or from a subprotocol
	protocols []string // offered subprotocols, without the one that carries a token
	version   string
	upgrade   bool
}

// Subprotocols: the API's own, and the prefix of the one in which a browser, which can't set headers, sends its token.
const (
	subprotocol  = "callcontrol.v1"
	bearerPrefix = "bearer."
)

// parseHandshake parses the HTTP request at the start of b and returns its size in bytes, 0 while it is incomplete.
func parseHandshake(b []byte) (h handshake, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > maxHandshakeBytes {
			return h, 0, errHandshake
		}
		return h, 0, nil
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	start := strings.Split(lines[0], " ")
	if end > maxHandshakeBytes || len(start) != 3 || start[0] != "GET" || start[2] != "HTTP/1.1" {
		return h, 0, errHandshake
	}
	upgrade, connection, host, keys := false, false, false, 0
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return h, 0, errHandshake
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "host":
			host = value != ""
		case "upgrade":
			upgrade = upgrade || hasToken(value, "websocket")
		case "connection":
			connection = connection || hasToken(value, "upgrade")
		case "sec-websocket-key":
			h.key, keys = value, keys+1
		case "sec-websocket-version":
			h.version = value
		case "origin":
			h.origin = value
		case "authorization":
			if scheme, token, ok := strings.Cut(value, " "); ok && strings.EqualFold(scheme, "bearer") {
				h.token = strings.TrimSpace(token)
			}
		case "sec-websocket-protocol":
			for item := range strings.SplitSeq(value, ",") {
				item = strings.TrimSpace(item)
				if token, ok := strings.CutPrefix(item, bearerPrefix); ok {
					if h.token == "" {
						h.token = token
					}
				} else {
					h.protocols = append(h.protocols, item)
				}
			}
		}
	}
	if !host || keys > 1 {
		return h, 0, errHandshake
	}
	h.upgrade = upgrade && connection
	return h, end + 4, nil
}

// hasToken reports whether a comma-separated header value contains a token, ignoring case.
func hasToken(value, want string) bool {
	for item := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.TrimSpace(item), want) {
			return true
		}
	}
	return false
}

// acceptKey returns the Sec-WebSocket-Accept value for a key, or false if the key is invalid.
func acceptKey(key string) (string, bool) {
	raw, err := base64.StdEncoding.DecodeString(key)
	if err != nil || len(raw) != 16 {
		return "", false
	}
	sum := sha1.Sum([]byte(key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return base64.StdEncoding.EncodeToString(sum[:]), true
}

package callcontrol

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

// This file handles the JSON-RPC requests of clients.

// message is a JSON-RPC request or notification from the client.
type message struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Method  *string         `json:"method"`
	Params  json.RawMessage `json:"params"`
}

// response is a JSON-RPC response.
type response struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Result  any             `json:"result,omitempty"`
	Error   *rpcError       `json:"error,omitempty"`
}

// rpcError is the error object of a JSON-RPC response.
type rpcError struct {
	Code    int            `json:"code"`
	Message string         `json:"message"`
	Data    map[string]any `json:"data,omitempty"`
}

// notification is a JSON-RPC notification to the client.
type notification struct {
	Version string         `json:"jsonrpc"`
	Method  string         `json:"method"`
	Params  map[string]any `json:"params"`
}

// nullID answers a request whose ID cannot be read.
var nullID = json.RawMessage("null")

// errorResponse returns an error response without an ID.
func errorResponse(code int, text string, data map[string]any) *response {
	return &response{Error: &rpcError{code, text, data}}
}

// respond sends the response to the request with the given ID. A nil ID belongs to a notification, which gets none.
func (s *socket) respond(id json.RawMessage, r *response) {
	if s == nil || id == nil || s.closing {
		return
	}
	r.Version, r.ID = "2.0", id
	s.writeJSON(r)
}

// writeJSON sends a value as a JSON text message.
func (s *socket) writeJSON(v any) {
	text, err := json.Marshal(v)
	if err != nil {
		s.front.log.Warn().Str("event", "callcontrol_fault").Msgf("call control: %v", err)
		return
	}
	s.writeFrame(opText, text)
}

// handleMessage processes one JSON-RPC message.
func (s *socket) handleMessage(text []byte) {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		code := codeParseError
		if json.Valid(text) { // a batch, or members of the wrong type
			code = codeInvalidRequest
		}
		s.respond(nullID, errorResponse(code, "not a JSON-RPC request", nil))
		return
	}
	if m.ID != nil && !validID(m.ID) {
		s.respond(nullID, errorResponse(codeInvalidRequest, "id must be a string, a number or null", nil))
		return
	}
	if m.Method == nil && m.ID != nil { // a response, although clients are never sent requests
		return
	}
	if m.Version != "2.0" || m.Method == nil {
		id := m.ID
		if id == nil {
			id = nullID
		}
		s.respond(id, errorResponse(codeInvalidRequest, "not a JSON-RPC 2.0 request", nil))
		return
	}
	s.handleRequest(m)
}

// handleRequest carries out a request or notification and sends the response, unless it is to be sent later.
func (s *socket) handleRequest(m message) {
	var answer *response
	switch *m.Method {
	case "call.place":
		answer = s.placeCall(m)
	case "call.cancel":
		answer = s.cancelCall(m)
	case "call.release":
		answer = s.releaseCall(m)
	case "call.attach":
		answer = s.attachCall(m)
	default:
		answer = errorResponse(codeMethodNotFound, "no such method", nil)
	}
	if answer != nil {
		s.respond(m.ID, answer)
	}
}

// validID reports whether a raw JSON-RPC ID is a string, a number or null.
func validID(id json.RawMessage) bool {
	return id[0] == '"' || id[0] == '-' || id[0] >= '0' && id[0] <= '9' || string(id) == "null"
}

// decodeParams decodes params, which must be an object without unknown keys.
func decodeParams(raw json.RawMessage, into any) error {
	if len(raw) == 0 || raw[0] != '{' {
		return errors.New("params must be an object")
	}
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// placeCall starts a call. It returns an error response or nil: the request is answered when the call's final answer
// is known, while the notification call.placed carries the call's ID at once.
func (s *socket) placeCall(m message) *response {
	var p struct {
		Class       string `json:"class"`
		Number      string `json:"number"`
		Destination *int   `json:"destination"`
		Within      int64  `json:"answerWithinMs"`
		Description string `json:"description"`
		Retry       bool   `json:"retry"`
	}
	err := decodeParams(m.Params, &p)
	class, known := s.front.classes[p.Class]
	switch {
	case err != nil:
	case m.ID == nil || string(m.ID) == "null":
		return errorResponse(codeInvalidRequest, "call.place needs an id", nil)
	case !known:
		err = fmt.Errorf("class %q is unknown", p.Class)
	case !validNumber(p.Number):
		err = errors.New("number must be 1 to 64 letters, digits or any of + - . _ * #")
	case p.Within < 1 || p.Within > class.Deadline.Milliseconds():
		err = errors.New("answerWithinMs is out of range")
	case p.Destination != nil && *p.Destination != -1 && len(class.Servers) > 0 &&
		!slices.Contains(class.Servers, *p.Destination):
		err = errors.New("destination is not a server of the class")
	case len(p.Description) > maxDescriptionBytes:
		err = errors.New("description is too long")
	}
	if err != nil {
		return errorResponse(codeInvalidParams, err.Error(), nil)
	}
	if !s.placeRate.Take(s.lastReceived) {
		s.front.counters.Flooded++
		return errorResponse(codeTooManyCalls, "too many calls at once", nil)
	}
	if s.front.callCounts[s.caller.ID] >= maxCallsPerIdentity {
		return errorResponse(codeTooManyCalls, "too many calls", nil)
	}
	if s.front.process.RefusesCall(s.lastReceived, class.Aim, s.front.longest) {
		return s.refuseCall()
	}
	destination := -1
	if p.Destination != nil {
		destination = *p.Destination
	}
	deadline := s.front.answerDeadline(s.lastReceived + time.Duration(p.Within)*time.Millisecond - answerMargin)
	c := &call{front: s.front, id: newID(), owner: s.caller.ID, socket: s, requestID: slices.Clone(m.ID),
		deadline: deadline}
	s.front.calls[c.id] = c
	s.front.callCounts[c.owner]++
	s.front.counters.Placed++
	s.notify("call.placed", map[string]any{"call": c.id, "request": c.requestID})
	s.front.router.Arrive(c, router.Request{ID: c.id, Class: p.Class, Number: p.Number,
		Description: []byte(p.Description), Destination: destination, Retry: p.Retry,
		Deadline: deadline, Caller: s.conn.Remote().Addr(), Identity: s.caller.ID, Front: "callcontrol"})
	return nil
}

// validNumber reports whether a number has a valid length and no characters other than those allowed.
func validNumber(number string) bool {
	for _, r := range number {
		if (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && !strings.ContainsRune("+-._*#", r) {
			return false
		}
	}
	return len(number) >= 1 && len(number) <= 64
}

// newID returns a random call ID.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// notify sends a notification unless the socket is closing.
func (s *socket) notify(method string, params map[string]any) {
	if !s.closing {
		s.writeJSON(notification{"2.0", method, params})
	}
}

// findCall returns the call of the socket's identity that the message names, or an error response, or neither if the
// message is handled again once the old process has passed the call on or doesn't know it.
func (s *socket) findCall(m message) (*call, *response) {
	var p struct {
		Call string `json:"call"`
	}
	if err := decodeParams(m.Params, &p); err != nil {
		return nil, errorResponse(codeInvalidParams, err.Error(), nil)
	}
	c := s.front.calls[p.Call]
	switch {
	case c == nil && s.deferRequest(m, p.Call):
		return nil, nil
	case c == nil || c.owner != s.caller.ID:
		return nil, errorResponse(codeUnknownCall, "no such call", nil)
	case c.passedOn: // its client has to ask for it at the new process
		return nil, s.refuseCall()
	}
	return c, nil
}

// cancelCall withdraws a call that has no final answer yet.
func (s *socket) cancelCall(m message) *response {
	c, failed := s.findCall(m)
	if c == nil {
		return failed
	}
	if c.established || c.undelivered != nil {
		return errorResponse(codeUnknownCall, "the call has its answer", nil)
	}
	c.socket.respond(c.requestID, errorResponse(codeCancelled, "cancelled", map[string]any{"call": c.id}))
	c.withdraw()
	return &response{Result: map[string]any{"call": c.id}}
}

// releaseCall releases an established call.
func (s *socket) releaseCall(m message) *response {
	c, failed := s.findCall(m)
	if c == nil {
		return failed
	}
	if !c.established {
		return errorResponse(codeUnknownCall, "the call does not stand", nil)
	}
	if !s.front.router.Release(c.id) {
		return errorResponse(codeRefused, "refused: too many releases wait, try again",
			map[string]any{"retryAfterMs": releaseRetryAfter.Milliseconds()})
	}
	c.remove()
	return &response{Result: map[string]any{"call": c.id}}
}

// attachCall attaches a call to this socket, which receives call.ended from now on. The request is answered with the
// final answer: at once if it is known and was not delivered, otherwise when it is known. For a call whose answer was
// delivered it reports that the call is established.
func (s *socket) attachCall(m message) *response {
	if m.ID == nil || string(m.ID) == "null" {
		return errorResponse(codeInvalidRequest, "call.attach needs an id", nil)
	}
	c, failed := s.findCall(m)
	if c == nil {
		return failed
	}
	s.front.counters.Attached++
	if c.socket != nil && c.socket != s {
		c.socket.respond(c.requestID, attachedElsewhere(c.id))
	} else if c.socket == s && c.requestID != nil {
		return errorResponse(codeInvalidRequest, "this socket waits for the call already", nil)
	}
	c.socket, c.requestID = s, nil
	c.graceNumber++
	switch {
	case c.undelivered != nil:
		answer := c.undelivered
		c.undelivered = nil
		if c.ended || !c.established {
			c.remove()
		}
		if c.established && c.ended { // established and ended while no socket was attached
			s.respond(m.ID, answer)
			s.notifyEnded(c.id, c.outcome)
			return nil
		}
		return answer
	case c.established:
		return &response{Result: map[string]any{"call": c.id, "state": "standing"}}
	}
	c.requestID = slices.Clone(m.ID)
	return nil
}

// attachedElsewhere returns the error response to a request that waits on a socket while another one attaches to its call.
func attachedElsewhere(id string) *response {
	return errorResponse(codeAttachedElsewhere, "attached elsewhere", map[string]any{"call": id})
}

// notifyEnded notifies the client that an established call has ended.
func (s *socket) notifyEnded(id string, outcome threadglade.Outcome) {
	cause := "cut"
	if outcome == threadglade.Concluded {
		cause = "concluded"
	}
	s.front.counters.Ended++
	s.notify("call.ended", map[string]any{"call": id, "cause": cause})
}

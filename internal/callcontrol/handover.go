package callcontrol

import (
	"encoding/json"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

// This file passes calls from a process that was told to end to the new process of the router. WebSockets are not handed
// over: clients connect to the new process and ask for their calls there. A call whose client has no socket at the old
// process is passed on at once, the others when their socket ends or when the client asks for them at the new process.
// The old process goes on with the set-up and with the established call; it passes the final answer and the end on.

const (
	// claimTimeout is how long a request for a call that is unknown here waits for the old process to pass it on.
	claimTimeout = 300 * time.Millisecond
	// maxDeferredRequests bounds the requests that wait for the old process.
	maxDeferredRequests = 1000
	// adoptedAnswerMargin is how long after the deadline of a call the old process's answer is awaited.
	adoptedAnswerMargin = 20 * time.Millisecond
)

// NewProcess is the process that takes over, as the old process sees it.
type NewProcess interface {
	// PassOn passes on an established call of an identity whose final answer was delivered. It returns false if there
	// is no process that could take it.
	PassOn(id, identity string) bool
	// PassOnEnd passes on that an established call that was passed on has ended. It returns false if that can't be sent
	// now.
	PassOnEnd(id string, outcome threadglade.Outcome) bool
	// Send sends a message for Front.HandleOldProcessMessage. It returns false if it can't be sent.
	Send(message []byte) bool
}

// OldProcess is the process that is replaced, as the new process sees it.
type OldProcess interface {
	// Send sends a message for Front.HandleNewProcessMessage. It returns false if it can't be sent.
	Send(message []byte) bool
}

// messageKind is the kind of a handoverMessage.
type messageKind string

const (
	// To the new process.
	messageCall    messageKind = "call"    // passes a call on: unanswered, or with an answer that was not delivered
	messageAnswer  messageKind = "answer"  // the final answer of a call that was passed on unanswered
	messageUnknown messageKind = "unknown" // there is no such call to pass on
	// To the old process.
	messageClaim  messageKind = "claim"  // a client of the new process asks for a call
	messageCancel messageKind = "cancel" // a client has withdrawn a call that was passed on, or can't be answered any more
)

// handoverMessage is a message about a call between the fronts of two processes, encoded as JSON.
type handoverMessage struct {
	Kind        messageKind          `json:"kind"`
	Call        string               `json:"call"`
	Identity    string               `json:"identity,omitempty"`    // of messageCall and messageClaim
	Due         time.Duration        `json:"due,omitempty"`         // until an unanswered call's deadline
	Established bool                 `json:"established,omitempty"` // the answer is that the call is established
	Answer      *response            `json:"answer,omitempty"`      // the final answer
	Ended       *threadglade.Outcome `json:"ended,omitempty"`       // of an established call that has ended since
}

// encode returns the message as JSON.
func (m handoverMessage) encode() []byte {
	text, err := json.Marshal(m)
	if err != nil { // its fields hold only values that were decoded from JSON, or strings and numbers
		return nil
	}
	return text
}

// ---- old process ----

// HandOver passes calls on to a new process from now on.
func (f *Front) HandOver(newProcess NewProcess) {
	f.newProcess = newProcess
	f.passOnDetached()
}

// NewProcessLost keeps the calls here that are still in progress, as the new process has gone.
func (f *Front) NewProcessLost() {
	f.newProcess = nil
	for _, c := range f.calls {
		if c.passedOn {
			c.passedOn = false
			c.keepForClient()
		}
	}
}

// passOnDetached passes on the calls that have no socket here.
func (f *Front) passOnDetached() {
	if f.newProcess == nil {
		return
	}
	for _, c := range f.calls {
		if c.socket == nil && c.passOn() && c.ended {
			c.passOnEnd()
		}
	}
}

// passOnEnd passes on that the call has ended. If the link is full, it is tried again at the next sweep.
func (c *call) passOnEnd() {
	if c.front.newProcess.PassOnEnd(c.id, c.outcome) {
		c.remove()
	}
}

// passOnCalls passes on the calls of a socket that is about to be closed and that have no request waiting on it. They
// stay with the router here, which passes their answers and ends on too.
func (f *Front) passOnCalls(s *socket) {
	for _, c := range f.calls {
		if c.socket == s && c.requestID == nil && c.passOn() {
			c.socket = nil
		}
	}
}

// passOn passes the call on to the new process, once. It returns false if the call stays here.
func (c *call) passOn() bool {
	f := c.front
	if f.newProcess == nil || c.passedOn {
		return c.passedOn
	}
	if c.established && c.undelivered == nil {
		c.passedOn = f.newProcess.PassOn(c.id, c.owner)
		return c.passedOn
	}
	m := handoverMessage{Kind: messageCall, Call: c.id, Identity: c.owner, Established: c.established,
		Answer: c.undelivered, Due: max(c.deadline-f.clock(), 0)}
	if c.ended {
		m.Ended = &c.outcome
	}
	if c.passedOn = f.newProcess.Send(m.encode()); !c.passedOn {
		return false
	}
	c.undelivered = nil
	if c.ended || m.Answer != nil && !c.established { // nothing of it is left here
		c.remove()
	}
	return true
}

// passOnAnswer passes the final answer of a call on. It returns false if the call stays here.
func (c *call) passOnAnswer(r *response) bool {
	m := handoverMessage{Kind: messageAnswer, Call: c.id, Established: c.established, Answer: r}
	if c.passedOn = c.front.newProcess != nil && c.front.newProcess.Send(m.encode()); !c.passedOn {
		return false
	}
	if !c.established {
		c.remove()
	}
	return true
}

// HandleNewProcessMessage handles a message from the new process. It returns false if it is malformed.
func (f *Front) HandleNewProcessMessage(text []byte) bool {
	var m handoverMessage
	if json.Unmarshal(text, &m) != nil {
		return false
	}
	switch m.Kind {
	case messageClaim:
		f.handleClaim(m)
	case messageCancel:
		if c := f.calls[m.Call]; c != nil && c.passedOn {
			c.withdraw()
		}
	default:
		return false
	}
	return true
}

// handleClaim passes a call on that a client of the new process asks for, also if its socket is still open here. A call
// that is unknown here may be one of this process's own old process.
func (f *Front) handleClaim(m handoverMessage) {
	c := f.calls[m.Call]
	switch {
	case c == nil && f.claim(m.Call, m.Identity):
		return
	case c != nil && c.owner == m.Identity && !c.passedOn:
		if c.socket != nil {
			c.socket.respond(c.requestID, attachedElsewhere(c.id))
			c.socket, c.requestID = nil, nil
		}
		if c.passOn() {
			return
		}
	case c != nil && c.passedOn: // on its way
		return
	}
	if f.newProcess != nil {
		f.newProcess.Send(handoverMessage{Kind: messageUnknown, Call: m.Call}.encode())
	}
}

// ---- new process ----

// SetOldProcess sets the process that this one replaces and whose calls clients may ask for here.
func (f *Front) SetOldProcess(oldProcess OldProcess) { f.oldProcess = oldProcess }

// OldProcessLost fails the calls whose answer was awaited from the old process: they may be established at a server.
func (f *Front) OldProcessLost() {
	f.oldProcess = nil
	for _, c := range f.calls {
		if c.awaitsOldProcess {
			c.awaitsOldProcess = false
			c.Failed(c.id, router.GivenUp)
		}
	}
	for id := range f.deferred {
		f.handleDeferred(id)
	}
}

// HandleOldProcessMessage handles a message from the old process. It returns false if it is malformed.
func (f *Front) HandleOldProcessMessage(text []byte) bool {
	var m handoverMessage
	if json.Unmarshal(text, &m) != nil {
		return false
	}
	switch m.Kind {
	case messageCall:
		f.adopt(m)
	case messageAnswer:
		f.handleAdoptedAnswer(m)
	case messageUnknown:
		f.handleDeferred(m.Call)
		if f.newProcess != nil { // it may have asked for the call
			f.newProcess.Send(text)
		}
	default:
		return false
	}
	return true
}

// AdoptCall takes over an established call of an identity from an old process.
func (f *Front) AdoptCall(id, identity string) {
	f.adopt(handoverMessage{Call: id, Identity: identity, Established: true,
		Answer: &response{Result: map[string]any{"call": id, "state": "standing"}}})
}

// adopt takes over a call from an old process. Unless a client attaches to it within GraceMs, counted from its answer,
// it is removed, and released if it is established. The limit of calls of an identity applies to those that it places,
// so it may hold twice as many here for a while.
func (f *Front) adopt(m handoverMessage) {
	if f.calls[m.Call] != nil {
		if m.Answer != nil { // it was passed on unanswered before
			f.handleAdoptedAnswer(m)
		}
		return
	}
	c := &call{front: f, id: m.Call, owner: m.Identity, established: m.Established, undelivered: m.Answer,
		awaitsOldProcess: m.Answer == nil, deadline: f.clock() + m.Due}
	if m.Ended != nil {
		c.ended, c.outcome = true, *m.Ended
	}
	f.calls[c.id] = c
	f.callCounts[c.owner]++
	f.counters.Adopted++
	if c.awaitsOldProcess {
		c.scheduleAnswerBackstop()
	}
	c.keepForClient()
	f.handleDeferred(c.id)
}

// scheduleAnswerBackstop answers the call after its deadline in case the old process doesn't.
func (c *call) scheduleAnswerBackstop() {
	c.front.router.Schedule(c.deadline+adoptedAnswerMargin, func() {
		if c.front.calls[c.id] != c || !c.awaitsOldProcess || c.passedOn {
			return
		}
		c.cancelAtOldProcess()
		c.Failed(c.id, router.DeadlineExceeded)
	})
}

// cancelAtOldProcess withdraws the call at the old process, whose answer is not awaited any more.
func (c *call) cancelAtOldProcess() {
	c.awaitsOldProcess = false
	if c.front.oldProcess != nil {
		c.front.oldProcess.Send(handoverMessage{Kind: messageCancel, Call: c.id}.encode())
	}
}

// handleAdoptedAnswer handles the final answer of a call that was taken over unanswered. If nobody awaits it any more and
// the call is established, it is released.
func (f *Front) handleAdoptedAnswer(m handoverMessage) {
	c := f.calls[m.Call]
	if c == nil || !c.awaitsOldProcess {
		if m.Established && (c == nil || !c.established) {
			f.releaseUntilAccepted(m.Call)
		}
		return
	}
	c.awaitsOldProcess, c.established = false, m.Established
	c.deliverAnswer(m.Answer)
}

// releaseUntilAccepted releases a call that stands, again after releaseRetryAfter while the router has no room for it.
func (f *Front) releaseUntilAccepted(id string) {
	if !f.router.Release(id) {
		f.router.Schedule(f.clock()+releaseRetryAfter, func() { f.releaseUntilAccepted(id) })
	}
}

// EndAdopted notifies the client of the end of a call that was adopted. It returns false if there is no such call.
func (f *Front) EndAdopted(id string, outcome threadglade.Outcome) bool {
	c := f.calls[id]
	if c == nil || !c.established || c.ended {
		return false
	}
	c.Released(id, outcome)
	return true
}

// deferredRequest is a client's request for a call that the old process may pass on.
type deferredRequest struct {
	socket  *socket
	message message
}

// deferRequest keeps a request until the old process has passed the call on or doesn't know it. It returns false if the
// call is certainly unknown.
func (s *socket) deferRequest(m message, id string) bool {
	f := s.front
	if f.resolving == id || f.deferredCount >= maxDeferredRequests || !f.claim(id, s.caller.ID) {
		return false
	}
	f.deferred[id] = append(f.deferred[id], deferredRequest{s, m})
	f.deferredCount++
	f.router.Schedule(f.clock()+claimTimeout, func() { f.handleDeferred(id) })
	return true
}

// claim asks the old process for a call of an identity. It returns false if there is none.
func (f *Front) claim(id, identity string) bool {
	return f.oldProcess != nil &&
		f.oldProcess.Send(handoverMessage{Kind: messageClaim, Call: id, Identity: identity}.encode())
}

// handleDeferred handles the requests that waited for a call to be passed on.
func (f *Front) handleDeferred(id string) {
	requests := f.deferred[id]
	delete(f.deferred, id)
	f.deferredCount -= len(requests)
	f.resolving = id
	for _, request := range requests {
		if f.sockets[request.socket] && !request.socket.closing {
			request.socket.handleRequest(request.message)
		}
	}
	f.resolving = ""
}

package callcontrol

import (
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/lifecycle"
)

// This file serves clients of a process that was told to end. WebSockets are not handed over to a new process: their
// clients are answered here and then connect again. Their established calls are passed on to the new process, where they
// attach to them.

// CallOwner passes established calls on to the process that takes over.
type CallOwner interface {
	// PassOn passes a call of an identity on. It returns false if there is no process that could take it.
	PassOn(id, identity string) bool
	// PassOnEnd passes on that a call that was passed on has ended.
	PassOnEnd(id string, outcome threadglade.Outcome)
}

// HandOver passes established calls on to a new process from now on, as their sockets are closed.
func (f *Front) HandOver(newProcess CallOwner) { f.newProcess = newProcess }

// passOnCalls passes on the established calls of a socket that is about to be closed. They stay with the router here,
// whose releases are passed on too.
func (f *Front) passOnCalls(s *socket) {
	for _, c := range f.calls {
		if c.socket == s && c.established && !c.ended && f.newProcess != nil {
			c.passedOn = f.newProcess.PassOn(c.id, c.owner)
		}
	}
}

// AdoptCall takes over an established call of an identity from an old process. Unless a client attaches to it within
// GraceMs, it is released. Calls beyond the limit of an identity are not adopted.
func (f *Front) AdoptCall(id, identity string) {
	if f.calls[id] != nil || f.callCounts[identity] >= maxCallsPerIdentity {
		return
	}
	c := &call{front: f, id: id, owner: identity, established: true,
		undelivered: &response{Result: map[string]any{"call": id, "state": "standing"}}}
	f.calls[id] = c
	f.callCounts[identity]++
	f.counters.Adopted++
	c.startGracePeriod()
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

// answerDeadline returns the time by which a call has to be answered: its own deadline, or earlier if the process ends.
func (f *Front) answerDeadline(deadline time.Duration) time.Duration {
	if last, isEnding := f.process.LastAnswerAt(f.longest); isEnding {
		return min(deadline, max(last-answerMargin, f.clock()))
	}
	return deadline
}

// refuseCall refuses a call that may not be answered before the process ends. The client may try again as soon as it has
// connected to the new process or, if there is none, once this one has ended.
func (s *socket) refuseCall() *response {
	s.front.counters.Departing++
	s.callRefused = true
	retryAfter := time.Duration(0)
	if last, _ := s.front.process.LastAnswerAt(s.front.longest); !s.front.process.HasHandedOver() {
		retryAfter = max(0, last-s.lastReceived)
	}
	return errorResponse(codeRefused, "refused: the router ends, connect again",
		map[string]any{"retryAfterMs": retryAfter.Milliseconds()})
}

// moveClients closes the connections whose clients have to connect to the new process.
func (f *Front) moveClients(now time.Duration) {
	if !f.process.HasHandedOver() {
		return
	}
	clients := make(map[*socket]lifecycle.ClientState, len(f.sockets))
	for _, c := range f.calls {
		client := clients[c.socket]
		if c.established {
			client.EstablishedCalls++
		} else {
			client.PendingCalls++
		}
		clients[c.socket] = client
	}
	for s := range f.sockets {
		client := clients[s]
		client.CallRefused = s.callRefused
		if s.caller.ID != "" && !s.closing && f.process.ShouldMove(now, f.longest, client) {
			f.counters.Moved++
			f.passOnCalls(s)
			s.close(closeGoingAway, "the router ends")
		}
	}
}

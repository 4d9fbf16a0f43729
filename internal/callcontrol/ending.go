package callcontrol

import (
	"time"

	"threadglade.example/threadglade/lifecycle"
)

// This file serves clients of a process that was told to end. Their WebSockets are not handed over to a new process: they
// are answered here and then connect again.

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

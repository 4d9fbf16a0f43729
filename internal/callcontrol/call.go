package callcontrol

import (
	"encoding/json"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

// This file holds one call, from call.place until its end.

// call is one call of an identity, from call.place until its end. It is the router.Front of its request.
type call struct {
	front            *Front
	id               string
	owner            string
	socket           *socket         // nil while no socket is attached
	requestID        json.RawMessage // ID of the request on that socket that is to receive the final answer; nil: none
	undelivered      *response       // the final answer, until it has been sent to a client
	established      bool
	ended            bool
	outcome          threadglade.Outcome // valid once ended is set
	deadline         time.Duration       // of the final answer
	passedOn         bool                // a new process has taken it over
	awaitsOldProcess bool                // it was taken over unanswered, and the old process is to answer it
	graceNumber      int                 // numbers the grace periods, so that only the latest one's timer takes effect
}

// detach removes the call's socket.
func (c *call) detach() {
	c.socket, c.requestID = nil, nil
	c.keepForClient()
}

// keepForClient keeps a call without a socket for its client: a new process takes it over, or, if there is none, it waits
// GraceMs for another socket to attach once it has its final answer.
func (c *call) keepForClient() {
	if !c.passOn() && (c.established || c.undelivered != nil) {
		c.startGracePeriod()
	}
}

// withdraw gives the call up on behalf of its client: it is cancelled, or released if it is established.
func (c *call) withdraw() {
	switch {
	case c.established:
		c.front.releaseUntilAccepted(c.id)
	case c.awaitsOldProcess:
		c.cancelAtOldProcess()
	default:
		c.front.router.Cancel(c, c.id)
	}
	c.remove()
}

// startGracePeriod removes the call after GraceMs unless a socket attaches, and releases it if it is established.
func (c *call) startGracePeriod() {
	c.graceNumber++
	number := c.graceNumber
	c.front.router.Schedule(c.front.clock()+time.Duration(c.front.cfg.GraceMs)*time.Millisecond, func() {
		if c.front.calls[c.id] != c || c.socket != nil || c.passedOn || c.graceNumber != number {
			return
		}
		c.front.counters.Unclaimed++
		c.front.log.Info().Str("event", "callcontrol_unclaimed").Str("call", c.id).Str("identity", c.owner).
			Msgf("call control: call %s of %s was not claimed", c.id, c.owner)
		_, isEnding := c.front.process.LastAnswerAt(c.front.longest)
		if c.established && !c.ended && !isEnding { // of a process that ends, established calls go on without it
			c.front.releaseUntilAccepted(c.id)
		}
		c.remove()
	})
}

// remove deletes the call from the front.
func (c *call) remove() {
	if c.front.calls[c.id] != c {
		return
	}
	delete(c.front.calls, c.id)
	if c.front.callCounts[c.owner]--; c.front.callCounts[c.owner] <= 0 {
		delete(c.front.callCounts, c.owner)
	}
}

// deliverAnswer sends the final answer to the attached socket, or keeps it for the next socket that attaches.
func (c *call) deliverAnswer(r *response) {
	c.front.counters.Answers++
	if c.passedOn && c.passOnAnswer(r) {
		return
	}
	if c.socket != nil && !c.socket.closing {
		c.socket.respond(c.requestID, r)
		c.requestID = nil
		if !c.established {
			c.remove()
		}
		return
	}
	c.socket, c.requestID, c.undelivered = nil, nil, r
	c.keepForClient()
}

// Established implements router.Front.
func (c *call) Established(_ string, description []byte) {
	c.established = true
	c.deliverAnswer(&response{Result: map[string]any{"call": c.id, "state": "standing",
		"description": string(description)}})
}

// Refused implements router.Front.
func (c *call) Refused(_ string, retryAfter time.Duration) {
	c.deliverAnswer(errorResponse(codeRefused, "refused", map[string]any{"call": c.id,
		"retryAfterMs": retryAfter.Milliseconds()}))
}

// Failed implements router.Front.
func (c *call) Failed(_ string, reason router.Failure) {
	if reason == router.DeadlineExceeded {
		c.deliverAnswer(errorResponse(codeDeadlineExceeded, "deadline", map[string]any{"call": c.id}))
		return
	}
	c.deliverAnswer(errorResponse(codeFailed, "failed", map[string]any{"call": c.id}))
}

// Released implements router.Front.
func (c *call) Released(_ string, outcome threadglade.Outcome) {
	c.ended, c.outcome = true, outcome
	switch {
	case c.passedOn:
		c.passOnEnd()
	case c.undelivered != nil: // kept for the grace period: a socket that attaches receives the answer and call.ended
	case c.socket != nil:
		c.socket.notifyEnded(c.id, outcome)
		c.remove()
	default:
		c.remove()
	}
}

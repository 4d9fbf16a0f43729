package threadglade

import "time"

// This file reports why the Controller decided as it did and what it knows of servers. It changes nothing that a
// decision depends on.

var reasonNames = [...]string{"", "first choice", "remembered", "drawn", "gapped", "resting", "on trial", "hopeless",
	"budget spent", "not up", "not skilled", "no server", "unknown class", "out of time", "number busy", "crowded out",
	"returned", "own fault",
	"no further attempt", "overtaken", "unbillable", "over limit", "shared verdict", "spared", "taken over"}

// String returns the name of the reason in traces and logs.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// sendReason returns why the call is sent to the server.
func (c *Controller) sendReason(call *callState, server *serverState) Reason {
	firstChoice := c.serverByNumber(call.Destination)
	switch drawn := c.redrawn; {
	case firstChoice == server:
		return FirstChoice
	case firstChoice != nil && firstChoice != call.server &&
		c.now < firstChoice.avoidUntil && c.now >= firstChoice.coolDownUntil:
		c.redrawn = false
		return Avoided
	case drawn && server == c.remembered:
		c.redrawn = false
		return Drawn
	}
	return Remembered
}

// arrivalRefusal returns why a call is refused on arrival.
func (c *Controller) arrivalRefusal(call *callState) Reason {
	switch {
	case call.class == nil:
		return UnknownClass
	case call.TimeLeft <= 0:
		return OutOfTime
	}
	return NumberBusy
}

// endRefusal returns why a call is refused after a failed attempt.
func endRefusal(ended Ended) Reason {
	if ended.Outcome == Faulted {
		return CallFaulted
	}
	return ServerRejected
}

// blockReason returns what keeps the first-choice server, or without one the remembered server, from taking the
// call now.
func (c *Controller) blockReason(call *callState) Reason {
	server := c.serverByNumber(call.Destination)
	if server == nil || call.redirected {
		server = c.remembered
	}
	if server == nil {
		for _, other := range c.servers {
			if other.Number == call.Destination {
				return NotUp
			}
		}
		return NoServer
	}
	switch {
	case server.State != Up:
		return NotUp
	case !c.servesClass(server, call.class):
		return NotSkilled
	case c.now < server.coolDownUntil:
		return InCoolDown
	case c.now < server.avoidUntil:
		return SharedVerdict
	case len(server.overdue) > 0 && c.now < server.probeAt ||
		server.probation > 0 && server.inFlight-len(server.overdue) >= server.probation:
		return OnProbation
	case c.wouldBeLate(server, call):
		return WouldBeLate
	case c.inGap(server):
		return Gapped
	case server.credit < 1: // as of the last check; checking again would add credit
		return ShareExhausted
	}
	return ServerRejected
}

// RetryBudget returns what remains of the budget set by the latest RetryBudget event.
func (c *Controller) RetryBudget() RetryBudget {
	return RetryBudget{c.retryBudget.Limited, max(c.retryBudget.Remaining, 0)}
}

// BlockReason returns why a call without a pending attempt or final answer is waiting, and the ID of its
// first-choice server. waits is false if no such call is known.
func (c *Controller) BlockReason(id string) (server string, why Reason, waits bool) {
	call := c.calls[id]
	if call == nil || call.inFlight || call.closed || call.retryAt > 0 || call.class == nil {
		return "", NoReason, false
	}
	return c.FirstChoiceServer(call.Destination), c.blockReason(call), true
}

// FirstChoiceServer returns the ID of the running server of a number, or "" if there is none.
func (c *Controller) FirstChoiceServer(number int) string {
	if server := c.serverByNumber(number); server != nil {
		return server.ID
	}
	return ""
}

// Phase is the state of a server as seen by its admission control.
type Phase int

// Phases of a server. The numbers are stored in trace files.
const (
	Uncontrolled Phase = iota // no overload rejection for a while: no gap
	Climbing                  // the rate climbs or follows the arrival rate
	CutBack                   // the last interval with answers had overload rejections: the rate was cut
	CoolDown                  // in cool-down after a failure
	Probation                 // on probation after unanswered set-ups: few are sent
)

var phaseNames = [...]string{"uncontrolled", "climbing", "cut back", "resting", "on trial"}

// String returns the name of the phase in traces.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// View is what the Controller knows of a server.
type View struct {
	Phase    Phase
	Rate     float64       // admission rate r, calls a second; -1 while uncontrolled
	Lambda   float64       // arrival rate λ, calls a second
	InFlight int           // unanswered set-ups of this proxy
	CoolDown time.Duration // time left of its cool-down
}

// View returns what the Controller knows of a server, or false if the server is unknown.
func (c *Controller) View(id string) (View, bool) {
	server := c.byID[id]
	if server == nil {
		return View{}, false
	}
	view := View{
		Rate: -1, Lambda: server.lambda(), InFlight: server.inFlight,
		CoolDown: max(0, server.coolDownUntil-c.now),
	}
	switch {
	case server.active && server.climbIntervals == 0 && server.rejectionRatio > 0 && server.gap > 0:
		view.Phase = CutBack
	case server.active:
		view.Phase = Climbing
	}
	if server.active {
		view.Rate = server.rate
	}
	switch {
	case view.CoolDown > 0:
		view.Phase = CoolDown
	case server.probation > 0:
		view.Phase = Probation
	}
	return view, true
}

package threadglade

import "time"

// This file reports why the Controller decided as it did and what it knew. It changes nothing that a decision
// depends on.

var reasonNames = [...]string{"", "first choice", "remembered", "drawn", "gapped", "resting", "on trial", "hopeless",
	"budget spent", "not up", "not skilled", "no server", "unknown class", "out of time", "number busy", "crowded out",
	"returned", "own fault",
	"no further attempt", "overtaken", "unbillable", "over limit", "shared verdict", "spared", "taken over"}

// String returns the text that traces and logs have for the reason.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// sendReason returns why the call is sent to the server.
func (c *Controller) sendReason(k *call, s *server) Reason {
	firstChoice := c.serverByNumber(k.Destination)
	switch drawn := c.redrawn; {
	case firstChoice == s:
		return FirstChoice
	case firstChoice != nil && firstChoice != k.server &&
		c.now < firstChoice.avoidUntil && c.now >= firstChoice.coolDownUntil:
		c.redrawn = false
		return Avoided
	case drawn && s == c.remembered:
		c.redrawn = false
		return Drawn
	}
	return Remembered
}

// arrivalRefusal returns why a call is refused on arrival.
func (c *Controller) arrivalRefusal(k *call) Reason {
	switch {
	case k.class == nil:
		return UnknownClass
	case k.TimeLeft <= 0:
		return OutOfTime
	}
	return NumberBusy
}

// endRefusal returns why a call is refused after a failed attempt.
func endRefusal(e Ended) Reason {
	if e.Outcome == Faulted {
		return CallFaulted
	}
	return ServerRejected
}

// blockReason returns what keeps the first-choice server, or without one the remembered server, from taking the
// call now.
func (c *Controller) blockReason(k *call) Reason {
	s := c.serverByNumber(k.Destination)
	if s == nil || k.redirected {
		s = c.remembered
	}
	if s == nil {
		for _, other := range c.servers {
			if other.Number == k.Destination {
				return NotUp
			}
		}
		return NoServer
	}
	switch {
	case s.State != Up:
		return NotUp
	case !c.servesClass(s, k.class):
		return NotSkilled
	case c.now < s.coolDownUntil:
		return InCoolDown
	case c.now < s.avoidUntil:
		return SharedVerdict
	case len(s.overdue) > 0 && c.now < s.probeAt || s.probation > 0 && s.inFlight-len(s.overdue) >= s.probation:
		return OnProbation
	case c.wouldBeLate(s, k):
		return WouldBeLate
	case c.inGap(s):
		return Gapped
	case s.credit < 1: // as of the last check; checking again would add credit
		return ShareExhausted
	}
	return ServerRejected
}

// RetryBudget returns what remains of the budget set by the latest Further.
func (c *Controller) RetryBudget() Further {
	return Further{c.retryBudget.Limited, max(c.retryBudget.Remaining, 0)}
}

// BlockReason returns why a call waits that has neither a pending attempt nor its final answer, and its
// first-choice server. It returns false if the call is not known to wait.
func (c *Controller) BlockReason(id string) (server string, why Reason, waits bool) {
	k := c.calls[id]
	if k == nil || k.inFlight || k.closed || k.retryAt > 0 || k.class == nil {
		return "", NoReason, false
	}
	return c.FirstChoiceServer(k.Destination), c.blockReason(k), true
}

// FirstChoiceServer returns the ID of the running server of a number, or "" if there is none.
func (c *Controller) FirstChoiceServer(number int) string {
	if s := c.serverByNumber(number); s != nil {
		return s.ID
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

// String returns the text that traces have for the phase.
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
	s := c.byID[id]
	if s == nil {
		return View{}, false
	}
	view := View{Rate: -1, Lambda: s.lambda(), InFlight: s.inFlight, CoolDown: max(0, s.coolDownUntil-c.now)}
	switch {
	case s.active && s.climbIntervals == 0 && s.rejectionRatio > 0 && s.gap > 0:
		view.Phase = CutBack
	case s.active:
		view.Phase = Climbing
	}
	if s.active {
		view.Rate = s.rate
	}
	switch {
	case view.CoolDown > 0:
		view.Phase = CoolDown
	case s.probation > 0:
		view.Phase = Probation
	}
	return view, true
}

package threadglade

import "time"

// This file tells why the Controller decided as it did, and what it knew. It reads the Controller and changes nothing that a
// decision depends on: with it or without, the actions are the same.

var reasonNames = [...]string{"", "first choice", "remembered", "drawn", "gapped", "resting", "on trial", "hopeless", "budget spent",
	"not up", "not skilled", "no server", "unknown class", "out of time", "number busy", "crowded out", "returned", "own fault",
	"no further attempt", "overtaken", "unbillable", "over limit", "shared verdict", "spared", "taken over"}

func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// chosen is why a server is sent the call.
func (c *Controller) chosen(k *call, s *server) Reason {
	first := c.numbered(k.Destination)
	switch drawn := c.drawn; {
	case first == s:
		return FirstChoice
	case first != nil && first != k.at && c.now < first.cared && c.now >= first.barred:
		c.drawn = false
		return Spared
	case drawn && s == c.remembered:
		c.drawn = false
		return Drawn
	}
	return Remembered
}

// unfit is why a call is refused as it comes.
func (c *Controller) unfit(k *call) Reason {
	switch {
	case k.class == nil:
		return UnknownClass
	case k.TimeLeft <= 0:
		return OutOfTime
	}
	return NumberBusy
}

// returned is why a call is refused whose attempt has ended.
func returned(e Ended) Reason {
	if e.Outcome == Faulted {
		return OwnFault
	}
	return Returned
}

// obstacle is what keeps the call's first choice, or where there is none the remembered server, from taking it now.
func (c *Controller) obstacle(k *call) Reason {
	s := c.numbered(k.Destination)
	if s == nil || k.turned {
		s = c.remembered
	}
	if s == nil {
		for _, one := range c.servers {
			if one.Number == k.Destination {
				return NotUp
			}
		}
		return NoServer
	}
	switch {
	case s.State != Up:
		return NotUp
	case !c.skilled(s, k.class):
		return NotSkilled
	case c.now < s.barred:
		return Resting
	case c.now < s.cared:
		return SharedVerdict
	case len(s.overdue) > 0 && c.now < s.probe || s.trial > 0 && s.out-len(s.overdue) >= s.trial:
		return OnTrial
	case c.hopeless(s, k):
		return Hopeless
	case c.stopped(s):
		return Gapped
	case s.credit < 1: // as of the last look: looking again would add to it
		return BudgetSpent
	}
	return Returned
}

// FurtherLeft is what is left of the further attempts that it was told of.
func (c *Controller) FurtherLeft() Further { return Further{c.further.Limited, max(c.further.Left, 0)} }

// Obstacle is why a call waits that has neither an attempt out nor its answer, and the server of its first choice; false if it
// is not known to wait.
func (c *Controller) Obstacle(id string) (server string, why Reason, waits bool) {
	k := c.calls[id]
	if k == nil || k.out || k.closed || k.resume > 0 || k.class == nil {
		return "", NoReason, false
	}
	return c.Choice(k.Destination), c.obstacle(k), true
}

// Choice is the running server of a number; empty if there is none.
func (c *Controller) Choice(number int) string {
	if s := c.numbered(number); s != nil {
		return s.ID
	}
	return ""
}

// Phase is what a server's control does.
type Phase int

// Phases. The numbers stand in trace files.
const (
	Uncontrolled Phase = iota // no return for a while: no gap
	Climbing                  // the rate rises or follows the calls
	CutBack                   // the last interval with answers had returns: the rate was cut
	Rests                     // it failed and is left alone
	Tried                     // its set-ups are unanswered: few are sent
)

var phaseNames = [...]string{"uncontrolled", "climbing", "cut back", "resting", "on trial"}

func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// View is what the Controller knows of a server.
type View struct {
	Phase  Phase
	Rate   float64 // r, calls a second; -1 while uncontrolled
	Lambda float64 // λ, calls a second
	Out    int     // set-ups unanswered
	Rest   time.Duration
}

// View returns what is known of a server; false if it is not known.
func (c *Controller) View(id string) (View, bool) {
	s := c.byID[id]
	if s == nil {
		return View{}, false
	}
	v := View{Rate: -1, Lambda: s.lambda(), Out: s.out, Rest: max(0, s.barred-c.now)}
	switch {
	case s.active && s.climbing == 0 && s.ratio > 0 && s.gap > 0:
		v.Phase = CutBack
	case s.active:
		v.Phase = Climbing
	}
	if s.active {
		v.Rate = s.rate
	}
	switch {
	case v.Rest > 0:
		v.Phase = Rests
	case s.trial > 0:
		v.Phase = Tried
	}
	return v, true
}

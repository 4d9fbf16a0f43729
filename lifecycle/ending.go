package lifecycle

import "time"

// This file decides about the calls of clients that stay with a process that was told to end, because their connections
// can't be handed over to another process. Such a process may be killed after a while, and what it has taken and not
// answered by then is lost.

const (
	// maxTerminationDeadline is the longest deadline of a class that a process is given to answer its calls. With longer
	// ones it may be killed before they have passed.
	maxTerminationDeadline = 3 * time.Second
	// terminationExtension is added to the deadline before the process may be killed. A call that arrives within it
	// after the process was told to end has its whole deadline.
	terminationExtension = 700 * time.Millisecond
	// terminationMargin is the time from the last answer to the moment at which the process may be killed.
	terminationMargin = 100 * time.Millisecond
)

// LastAnswerAt returns when a process that was told to end must have answered all calls, given the longest deadline of
// its classes. It returns false if the process isn't ending.
func (p *Process) LastAnswerAt(longestDeadline time.Duration) (time.Duration, bool) {
	if !p.ending {
		return 0, false
	}
	return p.leavingSince + min(longestDeadline, maxTerminationDeadline) + terminationExtension - terminationMargin, true
}

// RefusesCall reports whether a call that arrives now is refused because the process may have to end before it is
// answered. aim is the time in which calls of its class are answered, longestDeadline the longest deadline of all
// classes.
func (p *Process) RefusesCall(now, aim, longestDeadline time.Duration) bool {
	last, isEnding := p.LastAnswerAt(longestDeadline)
	return isEnding && now >= p.leavingSince+terminationExtension && now+aim > last
}

// HandedOver records that a new process has taken over the callers whose connections could be handed over.
func (p *Process) HandedOver() { p.handedOver = true }

// HasHandedOver reports whether a new process has taken over the callers.
func (p *Process) HasHandedOver() bool { return p.handedOver }

// ClientState describes the connection of a client that can't be handed over.
type ClientState struct {
	PendingCalls     int // without a final answer
	EstablishedCalls int
	CallRefused      bool // one of its calls was refused because the process ends
}

// ShouldMove reports whether the connection is closed now so that its client connects to the new process. One with
// pending calls stays until they are answered here, one with established calls until the client places another call
// that this process can't take, or until this process may be killed soon.
func (p *Process) ShouldMove(now, longestDeadline time.Duration, client ClientState) bool {
	last, _ := p.LastAnswerAt(longestDeadline)
	return p.handedOver && client.PendingCalls == 0 &&
		(client.EstablishedCalls == 0 || client.CallRefused || now >= last)
}

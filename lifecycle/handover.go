package lifecycle

import "time"

const (
	// takeoverTimeout is how long a process that is shutting down waits for the new process to confirm that it
	// accepts callers.
	takeoverTimeout = 300 * time.Millisecond
)

// OldProcess is the side of a hot restart that serves callers and may have a successor. It decides to whom
// callers are handed over and when. The zero value has no successor. It is not safe for concurrent use.
type OldProcess struct {
	hasSuccessor bool
	requestedAt  time.Duration // when the successor was asked to take over; 0: not yet
	confirmed    bool          // the successor has confirmed that it accepts callers
}

// AcceptSuccessor reports whether a process that asks to become the successor is accepted. Only one is accepted at
// a time. Any other has to wait until that one is lost, and is too late once callers are being handed over.
func (p *OldProcess) AcceptSuccessor() bool {
	if p.hasSuccessor {
		return false
	}
	p.hasSuccessor = true
	return true
}

// SuccessorLost records that the successor is gone.
func (p *OldProcess) SuccessorLost() { *p = OldProcess{} }

// RequestTakeover begins the handover when the process is told to shut down. It returns false if there is no
// successor or the successor was already asked to take over.
func (p *OldProcess) RequestTakeover(now time.Duration) bool {
	if !p.hasSuccessor || p.requestedAt > 0 {
		return false
	}
	p.requestedAt = now
	return true
}

// AwaitingTakeover reports whether the successor's confirmation is still awaited. Until then this process serves as
// before.
func (p *OldProcess) AwaitingTakeover(now time.Duration) bool {
	return p.requestedAt > 0 && !p.confirmed && now < p.requestedAt+takeoverTimeout
}

// ConfirmTakeover records the successor's confirmation that it accepts callers. It returns false if the successor was
// not asked to take over, or if the confirmation came too late.
func (p *OldProcess) ConfirmTakeover(now time.Duration) bool {
	if !p.AwaitingTakeover(now) {
		return false
	}
	p.confirmed = true
	return true
}

// HandedOver reports whether the successor now accepts the callers.
func (p *OldProcess) HandedOver() bool { return p.confirmed }

// NewProcess is the side of a hot restart that serves once the old process is told to shut down, or dies. The
// zero value has no old process and serves. It is not safe for concurrent use.
type NewProcess struct {
	standby         bool // the old process serves
	oldProcessAlive bool // the old process still runs
}

// StandBy records that an old process has accepted this one as its successor.
func (p *NewProcess) StandBy() { p.standby, p.oldProcessAlive = true, true }

// InStandby reports whether the old process still serves. While it does, no callers are accepted here, and messages
// of servers about calls unknown here are left to the old process.
func (p *NewProcess) InStandby() bool { return p.standby }

// OldProcessAlive reports whether the old process still runs, with calls of its own.
func (p *NewProcess) OldProcessAlive() bool { return p.oldProcessAlive }

// TakeOver makes this process serve. It returns false if it already does.
func (p *NewProcess) TakeOver() bool {
	wasStandby := p.standby
	p.standby = false
	return wasStandby
}

// OldProcessLost records that the old process is gone, and returns whether this process must take over because of
// it.
func (p *NewProcess) OldProcessLost() (mustTakeOver bool) {
	p.oldProcessAlive = false
	return p.standby
}

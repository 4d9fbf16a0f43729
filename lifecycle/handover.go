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

// AcceptSuccessor reports whether a process that asks to become the successor is accepted. There is one successor
// at a time; any other has to wait, and has come too late once the callers are being handed over.
func (e *OldProcess) AcceptSuccessor() bool {
	if e.hasSuccessor {
		return false
	}
	e.hasSuccessor = true
	return true
}

// SuccessorLost records that the successor is gone.
func (e *OldProcess) SuccessorLost() { *e = OldProcess{} }

// RequestTakeover begins the handover when the process is told to shut down. It returns false if there is no
// successor or it was asked before.
func (e *OldProcess) RequestTakeover(now time.Duration) bool {
	if !e.hasSuccessor || e.requestedAt > 0 {
		return false
	}
	e.requestedAt = now
	return true
}

// AwaitingTakeover reports whether the successor's confirmation is still pending. Until then this process serves as
// before.
func (e *OldProcess) AwaitingTakeover(now time.Duration) bool {
	return e.requestedAt > 0 && !e.confirmed && now < e.requestedAt+takeoverTimeout
}

// ConfirmTakeover records the successor's confirmation that it accepts callers. It returns false if it was not
// asked to, or if the confirmation came too late.
func (e *OldProcess) ConfirmTakeover(now time.Duration) bool {
	if !e.AwaitingTakeover(now) {
		return false
	}
	e.confirmed = true
	return true
}

// HandedOver reports whether the successor now accepts the callers.
func (e *OldProcess) HandedOver() bool { return e.confirmed }

// NewProcess is the side of a hot restart that serves once the old process is told to shut down, or dies. The
// zero value has no old process and serves. It is not safe for concurrent use.
type NewProcess struct {
	standby         bool // the old process decides
	oldProcessAlive bool // the old process still runs
}

// StandBy records that an old process has accepted this one as its successor.
func (h *NewProcess) StandBy() { h.standby, h.oldProcessAlive = true, true }

// InStandby reports whether the old process still decides. Until it doesn't, no callers are accepted here, and
// messages of servers about calls unknown here are left to the old process.
func (h *NewProcess) InStandby() bool { return h.standby }

// OldProcessAlive reports whether the old process still runs, with calls of its own.
func (h *NewProcess) OldProcessAlive() bool { return h.oldProcessAlive }

// TakeOver makes this process serve. It returns false if it already does.
func (h *NewProcess) TakeOver() bool {
	wasStandby := h.standby
	h.standby = false
	return wasStandby
}

// OldProcessLost records that the old process is gone. It returns whether this process has to take over because
// of that.
func (h *NewProcess) OldProcessLost() (mustTakeOver bool) {
	h.oldProcessAlive = false
	return h.standby
}

// Package lifecycle holds the state of the router's process as operators see it (starting, ready, draining,
// ending, replaced by a new process) and derives from it which connections of callers may be closed, when, and
// which set-ups are refused. It is a pure state machine over events and absolute times, and its types are not
// safe for concurrent use. It must never do I/O, read a clock, depend on a message format or choose a server.
package lifecycle

import (
	"errors"
	"time"
)

const (
	// drainSettleDelay is how long after the start of a drain callers may still open connections. The front polls
	// readiness ten times a second and stops sending callers 0.2 s after it saw the router not ready; the rest is
	// slack. A caller whose connection was closed earlier would reconnect here.
	drainSettleDelay = 400 * time.Millisecond
	// idleCloseSpread is the period over which idle connections are closed, so that their callers don't all
	// reconnect elsewhere at once.
	idleCloseSpread = 1200 * time.Millisecond
	// setupRefusalDelay is how long after the start of a drain set-ups are accepted on remaining connections.
	// Later ones would hardly be answered in time.
	setupRefusalDelay = 3 * time.Second
	// recentSetupFrom and recentSetupEndDelay count from the start of a drain. 4 s after it, no connection may be
	// left whose set-up arrived in the last 2 s. Set-ups that arrive from recentSetupFrom on and are still pending
	// at recentSetupEndDelay are therefore ended then.
	recentSetupFrom     = 1900 * time.Millisecond
	recentSetupEndDelay = 3800 * time.Millisecond
	// lastConnCloseDelay is how long, from the start of a drain, the last connection on which releases of
	// established calls can arrive is kept.
	lastConnCloseDelay = 3600 * time.Millisecond
	// newConnIdleTimeout is how long a connection that was opened during a drain may be idle.
	newConnIdleTimeout = 300 * time.Millisecond
)

// State is the state of the process.
type State int

// The states of a process.
const (
	Starting State = iota // not yet able to serve
	Serving               // accepts callers
	Draining              // drained by an operator, who may also resume it
	Ending                // shutting down, which can't be undone
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"starting", "serving", "draining", "ending"}[s]
}

// ErrEnding is returned when a process that was told to shut down is asked to drain or to resume.
var ErrEnding = errors.New("the process is ending")

// Process holds the lifecycle state of one process. The zero value is Starting.
type Process struct {
	listening, serversListed bool
	draining                 bool
	ending                   bool
	hasSuccessor             bool          // a new process accepts the callers
	handedOver               bool          // the new process has taken over the callers
	closingIdle              bool          // no new callers arrive: connections are closed once they are idle
	leavingSince             time.Duration // when the current drain or shutdown began
	changes                  uint64
}

// Listening records that callers can connect.
func (p *Process) Listening() { p.listening = true }

// ServersListed records that the list of case servers is known.
func (p *Process) ServersListed() { p.serversListed = true }

// State returns the current state.
func (p *Process) State() State {
	switch {
	case p.ending:
		return Ending
	case p.draining:
		return Draining
	case p.listening && p.serversListed:
		return Serving
	}
	return Starting
}

// Ready reports whether callers may be sent here.
func (p *Process) Ready() bool { return p.State() == Serving }

// Leaving reports whether callers that probe the router are sent elsewhere: the process is draining, or shutting
// down without a successor.
func (p *Process) Leaving() bool { return p.draining || p.ending && !p.hasSuccessor }

// SetSuccessor sets whether a new process accepts the callers of this one when it shuts down.
func (p *Process) SetSuccessor(hasSuccessor bool) { p.hasSuccessor = hasSuccessor }

// Drain begins a drain. changed is false if one is already under way, which continues unchanged. The error is
// ErrEnding or nil.
func (p *Process) Drain(now time.Duration) (changed bool, err error) {
	if p.ending {
		return false, ErrEnding
	}
	if p.draining {
		return false, nil
	}
	p.draining, p.leavingSince = true, now
	p.changes++
	return true, nil
}

// Resume ends a drain, at any time. changed is false if there was none. The error is ErrEnding or nil.
func (p *Process) Resume() (changed bool, err error) {
	if p.ending {
		return false, ErrEnding
	}
	changed = p.draining
	p.draining = false
	if changed {
		p.changes++
	}
	return changed, nil
}

// End records that the process was told to shut down, which can't be undone.
func (p *Process) End(now time.Duration) {
	if !p.ending {
		p.ending, p.leavingSince = true, now
		p.changes++
	}
}

// Changes returns the number of drains, resumes and shutdowns so far. Deferred work compares it to tell whether the
// state that it was started for still holds.
func (p *Process) Changes() uint64 { return p.changes }

// ConnState describes a caller's connection.
type ConnState struct {
	OpenSetups      int           // pending set-ups on it
	ConnectedAt     time.Duration // when it was accepted
	LastReceived    time.Duration // when data last arrived on it
	SpreadPosition  float64       // its position within idleCloseSpread, from 0 to 1
	LastForReleases bool          // releases of established calls can't arrive on any other connection
}

// BeginClosing records that a process that is shutting down no longer accepts new callers. From then on idle
// connections are closed at once and the others when their set-ups are answered. It has no effect in other states.
func (p *Process) BeginClosing() { p.closingIdle = p.ending }

// ShouldClose reports whether the connection is to be closed now because the process is draining or shutting
// down. In a drain, connections are closed once callers are sent elsewhere, each at its position in the spread. A
// connection with a pending set-up is never closed.
func (p *Process) ShouldClose(now time.Duration, conn ConnState) bool {
	if p.closingIdle {
		return conn.OpenSetups == 0
	}
	if !p.draining || p.ending || conn.OpenSetups > 0 {
		return false
	}
	if conn.LastForReleases && now < p.leavingSince+lastConnCloseDelay {
		return false
	}
	if conn.ConnectedAt > p.leavingSince { // it may be about to send its first set-up
		return now >= max(conn.LastReceived, conn.ConnectedAt)+newConnIdleTimeout && now >= p.leavingSince+drainSettleDelay
	}
	return now >= p.leavingSince+drainSettleDelay+time.Duration(conn.SpreadPosition*float64(idleCloseSpread))
}

// ShouldCloseAnswered is ShouldClose for a connection whose last pending set-up was just answered. It doesn't
// wait for the connection's position in the spread.
func (p *Process) ShouldCloseAnswered(now time.Duration, conn ConnState) bool {
	return p.closingIdle && conn.OpenSetups == 0 ||
		p.draining && !p.ending && conn.OpenSetups == 0 && now >= p.leavingSince+drainSettleDelay &&
			!(conn.LastForReleases && now < p.leavingSince+lastConnCloseDelay)
}

// RefusesSetup reports whether a set-up that arrives now on the connection is refused because it would keep the
// connection open too long.
func (p *Process) RefusesSetup(now time.Duration, conn ConnState) bool {
	return p.draining && !p.ending && now >= p.leavingSince+setupRefusalDelay
}

// ShouldEndSetup reports whether a set-up that arrived at arrivedAt and is still pending has to end now for its
// connection to be closed in time.
func (p *Process) ShouldEndSetup(now, arrivedAt time.Duration) bool {
	return p.draining && !p.ending && arrivedAt >= p.leavingSince+recentSetupFrom &&
		now >= p.leavingSince+recentSetupEndDelay
}

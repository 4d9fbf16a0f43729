// Package lifecycle owns the state of the router's process as its operators see it: starting, ready, draining, ending,
// replaced; and what follows from it for callers' connections: which may be closed, when, and what is turned away. It is a
// pure state machine of events and absolute times. It must never do I/O, read a clock, know a message or choose a server.
package lifecycle

import (
	"errors"
	"time"
)

const (
	// settle is how long after a drain began callers may still come on new connections: the front looks ten times a second and
	// stops 0.2 s after it has seen a no; the rest is slack. A connection closed before would come straight back.
	settle = 400 * time.Millisecond
	// spread is the time over which idle connections are closed, so that their callers do not turn elsewhere at once.
	spread = 1200 * time.Millisecond
	// busyUntil is how long after a drain began set-ups are taken on connections that are still there; later ones would hardly be
	// answered in time.
	busyUntil = 3 * time.Second
	// youngFrom and youngUntil: 4 s after a drain began no connection may be left with a set-up of the last 2 s. Those that came from youngFrom
	// on and are still open at youngUntil end there.
	youngFrom  = 1900 * time.Millisecond
	youngUntil = 3800 * time.Millisecond
	// lastUntil is how long the last connection that callers have is kept for the releases of calls that stand.
	lastUntil = 3600 * time.Millisecond
	// quiet is how long a connection that has come during a drain may say nothing.
	quiet = 300 * time.Millisecond
)

// State is what the process is at.
type State int

// States.
const (
	Starting State = iota // not yet able to serve
	Serving
	Draining // asked to by an operator; serving again when asked to
	Ending   // told to end; it will
)

func (s State) String() string {
	return [...]string{"starting", "serving", "draining", "ending"}[s]
}

// ErrEnding is why a process that was told to end cannot be drained or brought back.
var ErrEnding = errors.New("the process is ending")

// Process is the state of one process. The zero value is starting.
type Process struct {
	listening, listed bool
	drained           bool
	ending            bool
	succeeded         bool          // another process takes the callers
	closing           bool          // no caller comes any more
	since             time.Duration // when the present drain or end began
	changes           uint64
}

// Listening says that callers can connect.
func (p *Process) Listening() { p.listening = true }

// Listed says that the list of case servers is known.
func (p *Process) Listed() { p.listed = true }

// State is the present state.
func (p *Process) State() State {
	switch {
	case p.ending:
		return Ending
	case p.drained:
		return Draining
	case p.listening && p.listed:
		return Serving
	}
	return Starting
}

// Ready says whether callers may be sent here.
func (p *Process) Ready() bool { return p.State() == Serving }

// Leaving says whether callers who ask are told to go elsewhere: the process drains, or ends and nobody takes its place.
func (p *Process) Leaving() bool { return p.drained || p.ending && !p.succeeded }

// Succeeded says whether another process takes the callers of one that ends.
func (p *Process) Succeeded(yes bool) { p.succeeded = yes }

// Drain begins a drain; one that has begun goes on as it is. changed is false where nothing has changed.
func (p *Process) Drain(now time.Duration) (changed bool, err error) {
	if p.ending {
		return false, ErrEnding
	}
	if p.drained {
		return false, nil
	}
	p.drained, p.since = true, now
	p.changes++
	return true, nil
}

// Resume ends a drain at any moment of it.
func (p *Process) Resume() (changed bool, err error) {
	if p.ending {
		return false, ErrEnding
	}
	changed = p.drained
	p.drained = false
	if changed {
		p.changes++
	}
	return changed, nil
}

// End says that the process was told to end. There is no way back.
func (p *Process) End(now time.Duration) {
	if !p.ending {
		p.ending, p.since = true, now
		p.changes++
	}
}

// Changes counts drains, resumes and the end: whoever acts on a state later asks whether it is still the same.
func (p *Process) Changes() uint64 { return p.changes }

// Conn is what is known of a caller's connection.
type Conn struct {
	Open  int           // set-ups on it that are owed an answer
	Since time.Duration // when it was accepted
	Heard time.Duration // when it last sent something
	Share float64       // its place in the spread, from 0 to 1
	Last  bool          // releases of calls that stand have no other way
}

// Closing says that a process that ends takes no new callers any more: what is idle goes, and the rest as it is answered.
func (p *Process) Closing() { p.closing = p.ending }

// Letting says whether the connection is to be closed now because the process drains: once callers have somewhere else to go,
// in its place of the spread, and never while it is owed an answer.
func (p *Process) Letting(now time.Duration, c Conn) bool {
	if p.closing {
		return c.Open == 0
	}
	if !p.drained || p.ending || c.Open > 0 {
		return false
	}
	if c.Last && now < p.since+lastUntil {
		return false
	}
	if c.Since > p.since { // it may be about to send its first set-up
		return now >= max(c.Heard, c.Since)+quiet && now >= p.since+settle
	}
	return now >= p.since+settle+time.Duration(c.Share*float64(spread))
}

// LettingAnswered is Letting for a connection whose last open set-up was answered just now: it has had its time.
func (p *Process) LettingAnswered(now time.Duration, c Conn) bool {
	return p.closing && c.Open == 0 || p.drained && !p.ending && c.Open == 0 && now >= p.since+settle && !(c.Last && now < p.since+lastUntil)
}

// Turning says whether a set-up that comes now on the connection is turned away because it would hold the connection too long.
func (p *Process) Turning(now time.Duration, c Conn) bool {
	return p.drained && !p.ending && now >= p.since+busyUntil
}

// Overstays says whether a set-up that came at a time and is still open has to end now for its connection to be free in time.
func (p *Process) Overstays(now, came time.Duration) bool {
	return p.drained && !p.ending && came >= p.since+youngFrom && now >= p.since+youngUntil
}

// Package silence decides when a connection to a case server says nothing any more although its server lives: from when the server told its
// state on it, what waits on it, and what came at all. It is pure state over events and absolute times; it must never do I/O, read a clock, send
// anything to find out, or take a slow server for a silent one.
package silence

import (
	"slices"
	"time"
)

const (
	// After is how long a connection may say nothing where its server's reports are not known.
	After = 1500 * time.Millisecond
	// least and margin: a server tells its state on every open connection at its own intervals, and one that is past the longest of the latest kept
	// of them by the margin has missed a report, whatever else is slow.
	least  = 300 * time.Millisecond
	margin = 1.3
	kept   = 8
)

// Reports is how far apart a server's reports are, over all of its connections. The zero value knows of none.
type Reports struct {
	apart [kept]time.Duration // the latest times between two on one connection
	count int
}

// Within is how long a connection on which reports used to come may say nothing while something waits on it; false while too few are known.
func (r *Reports) Within() (time.Duration, bool) {
	if r.count < kept {
		return 0, false
	}
	return min(After, max(least, time.Duration(margin*float64(slices.Max(r.apart[:]))))), true
}

// Line is what is known of one connection. It begins with Opened.
type Line struct {
	opened, heard, asked, told time.Duration // told: 0 is never
}

// Opened begins a connection.
func (l *Line) Opened(now time.Duration) { *l = Line{opened: now, heard: now} }

// Heard says that something came.
func (l *Line) Heard(now time.Duration) { l.heard = now }

// Spoke says whether anything has come since it opened.
func (l *Line) Spoke() bool { return l.heard > l.opened }

// Asked says that a set-up was sent: the first since something came is what waits longest.
func (l *Line) Asked(now time.Duration) {
	if l.asked <= l.heard {
		l.asked = max(now, l.heard+1)
	}
}

// Told says that a report of the server came.
func (l *Line) Told(now time.Duration, r *Reports) {
	if l.told > 0 {
		r.apart[r.count%kept] = now - l.told
		r.count++
	}
	l.told = now
}

// Quiet says whether nothing has come for so long that a new connection has to show that the server is there.
func (l *Line) Quiet(now time.Duration) bool { return now-l.heard > After }

// Silent says whether the connection has missed a report while a set-up waits on it.
func (l *Line) Silent(now time.Duration, r *Reports) bool {
	within, known := r.Within()
	return known && l.told > 0 && l.asked > l.heard && now-l.asked > within
}

// Mute says whether a connection that was silent as another one opened has said nothing since: the server speaks on that, so no answer will come on this.
func (l *Line) Mute(other *Line) bool { return l.heard <= other.opened }

// Package silence detects connections to a case server that no longer deliver data although the server is alive.
// The decision is based on when data and state reports last arrived on the connection and on whether a set-up is
// waiting for an answer on it. The package is pure state over events and absolute times. It must never do I/O,
// read a clock, send probes, or mistake a slow server for a silent one. Its types are not safe for concurrent
// use.
package silence

import (
	"slices"
	"time"
)

const (
	// MaxSilence is how long a connection may be silent when the report intervals of its server are not known.
	MaxSilence = 1500 * time.Millisecond
	// minTimeout is the lower bound of ReportIntervals.Timeout.
	minTimeout = 300 * time.Millisecond
	// timeoutMargin is the factor by which a report interval may exceed the longest recent one. A server reports
	// its state on every open connection at its own intervals, so a report that is later than that was lost,
	// however slow the server is otherwise.
	timeoutMargin = 1.3
	// keptIntervals is how many of the latest intervals are kept. The timeout is unknown until there are that
	// many.
	keptIntervals = 8
)

// ReportIntervals holds the latest intervals between a server's state reports, over all of its connections. The zero
// value holds none.
type ReportIntervals struct {
	intervals [keptIntervals]time.Duration // ring buffer; each between two reports on the same connection
	count     int
}

// Timeout returns how long a connection that has carried reports may be silent while a set-up waits on it. It
// returns false while too few intervals are known.
func (r *ReportIntervals) Timeout() (time.Duration, bool) {
	if r.count < keptIntervals {
		return 0, false
	}
	return min(MaxSilence, max(minTimeout, time.Duration(timeoutMargin*float64(slices.Max(r.intervals[:]))))), true
}

// Connection tracks the traffic of one connection to a server. Opened initializes it.
type Connection struct {
	opened       time.Duration
	lastReceived time.Duration // when data last arrived; when it was opened if none has
	pendingSince time.Duration // when the longest waiting set-up was sent; if not after lastReceived, none waits
	lastReport   time.Duration // when the latest state report arrived; 0: none has
}

// Opened resets the state for a connection opened at now.
func (c *Connection) Opened(now time.Duration) { *c = Connection{opened: now, lastReceived: now} }

// Received records that data arrived.
func (c *Connection) Received(now time.Duration) { c.lastReceived = now }

// HasReceived reports whether any data has arrived since the connection was opened.
func (c *Connection) HasReceived() bool { return c.lastReceived > c.opened }

// SetupSent records that a set-up was sent. The first one since data last arrived is the one that waits longest.
func (c *Connection) SetupSent(now time.Duration) {
	if c.pendingSince <= c.lastReceived {
		c.pendingSince = max(now, c.lastReceived+1)
	}
}

// ReportReceived records a state report of the server and adds its distance from the previous one to the server's
// intervals.
func (c *Connection) ReportReceived(now time.Duration, reports *ReportIntervals) {
	if c.lastReport > 0 {
		reports.intervals[reports.count%keptIntervals] = now - c.lastReport
		reports.count++
	}
	c.lastReport = now
}

// NeedsProbe reports whether nothing has arrived for so long that a new connection must be opened to verify that the
// server is reachable.
func (c *Connection) NeedsProbe(now time.Duration) bool { return now-c.lastReceived > MaxSilence }

// MissedReport reports whether the connection has missed a state report while a set-up waits on it.
func (c *Connection) MissedReport(now time.Duration, reports *ReportIntervals) bool {
	timeout, known := reports.Timeout()
	return known && c.lastReport > 0 && c.pendingSince > c.lastReceived && now-c.pendingSince > timeout
}

// Unresponsive reports whether nothing has arrived on the connection since another one to the same server was opened
// because of its silence. The server sends on the other one, so no answer will arrive on this one.
func (c *Connection) Unresponsive(other *Connection) bool { return c.lastReceived <= other.opened }

package lifecycle

import "time"

const (
	// messageTimeout is how long a caller has to complete its first message after connecting, and each later
	// message after its first byte. It is far longer than any message takes, and short enough that silent clients
	// don't hold file descriptors for long. An idle connection that has delivered a valid message is not closed.
	messageTimeout = 2 * time.Second
	// slowMessageExtension is added to messageTimeout while bytes of the message keep arriving with pauses
	// shorter than maxSlowMessagePause, as from a caller on a slow path. Callers that send nothing or stop in the
	// middle only have messageTimeout. All of them are closed within 3 s of connecting.
	slowMessageExtension = 750 * time.Millisecond
	maxSlowMessagePause  = 700 * time.Millisecond
	// lingerTimeout is how long the peer may continue to send after it was notified that the connection is being
	// closed.
	lingerTimeout = 2500 * time.Millisecond
)

// CallerConn tracks the timeouts of a caller's connection, and its rank when connections must be closed to free file
// descriptors. Connected initializes it. It is not safe for concurrent use.
type CallerConn struct {
	connectedAt     time.Duration
	lastReceived    time.Duration // when data last arrived; when it connected if none has
	deadline        time.Duration // of the message in progress, or of the close; 0: no message has begun
	hasValidMessage bool          // a valid message has arrived
	closing         bool          // the peer was notified of the close
}

// Connected resets the state for a connection accepted at now.
func (c *CallerConn) Connected(now time.Duration) {
	*c = CallerConn{connectedAt: now, lastReceived: now, deadline: now + messageTimeout}
}

// Inherited records that the connection was taken over from another process, where it had delivered a valid message.
// messageBegun is true if another message has arrived in part.
func (c *CallerConn) Inherited(messageBegun bool) {
	c.hasValidMessage = true
	if !messageBegun {
		c.deadline = 0
	}
}

// Received records that bytes arrived.
func (c *CallerConn) Received(now time.Duration) { c.lastReceived = now }

// MessageBegun records that a message has arrived in part, which starts its timeout unless one is running.
func (c *CallerConn) MessageBegun(now time.Duration) {
	if c.deadline == 0 {
		c.deadline = now + messageTimeout
	}
}

// MessageValid records that a valid message was received.
func (c *CallerConn) MessageValid() { c.hasValidMessage = true }

// MessageComplete stops the message timeout, so that the next message has its own. It has no effect before a valid
// message was received or once the connection is closing.
func (c *CallerConn) MessageComplete() {
	if c.hasValidMessage && !c.closing {
		c.deadline = 0
	}
}

// BeginClose records that the peer was notified of the close and starts the linger timeout. It returns false if
// that has happened before.
func (c *CallerConn) BeginClose(now time.Duration) bool {
	if c.closing {
		return false
	}
	c.closing, c.deadline = true, now+lingerTimeout
	return true
}

// Closing reports whether the peer was notified of the close.
func (c *CallerConn) Closing() bool { return c.closing }

// HasValidMessage reports whether a valid message was received.
func (c *CallerConn) HasValidMessage() bool { return c.hasValidMessage }

// ConnectedAt returns when the caller connected.
func (c *CallerConn) ConnectedAt() time.Duration { return c.connectedAt }

// LastReceived returns when data last arrived.
func (c *CallerConn) LastReceived() time.Duration { return c.lastReceived }

// TimedOut reports whether the connection has exceeded its deadline. A message whose bytes keep arriving is given
// slowMessageExtension more.
func (c *CallerConn) TimedOut(now time.Duration) bool {
	slow := !c.closing && now < c.deadline+slowMessageExtension && now-c.lastReceived < maxSlowMessagePause
	return c.deadline > 0 && now >= c.deadline && !slow
}

// ClosesBefore reports whether the connection is to be closed before another one when file descriptors run out and
// neither has a pending set-up: first those that are closing, then those without a valid message, and among equals the
// one that has been silent longest.
func (c *CallerConn) ClosesBefore(other *CallerConn) bool {
	if rank, otherRank := c.closeRank(), other.closeRank(); rank != otherRank {
		return rank < otherRank
	}
	return c.lastReceived < other.lastReceived
}

// closeRank returns the rank in which connections are closed, lowest first.
func (c *CallerConn) closeRank() int {
	switch {
	case c.closing:
		return 0
	case !c.hasValidMessage:
		return 1
	}
	return 2
}

package lifecycle

import "time"

const (
	// wholeWithin is how long a caller has from connecting for its first message, and for each later one from its first byte until it is whole: far
	// longer than any message takes, short enough that those who say nothing hold a descriptor no longer. An idle connection that has spoken stays.
	wholeWithin = 2 * time.Second
	// slowMore is how much longer a message may take whose bytes keep coming, at least every slowPause: a caller on a slow path. Whoever says
	// nothing, or stops in the middle, has wholeWithin; all of them hear their end within 3 s of connecting.
	slowMore  = 750 * time.Millisecond
	slowPause = 700 * time.Millisecond
	// lingerFor is how long a connection that was told its end may go on sending.
	lingerFor = 2500 * time.Millisecond
)

// Caller is what decides how long a caller's connection may stay and who goes first where there is no room. It begins with Came.
type Caller struct {
	since, heard time.Duration
	by           time.Duration // when it goes unless a message is whole by then; 0: none has begun
	spoke, over  bool
}

// Came begins a connection.
func (c *Caller) Came(now time.Duration) {
	*c = Caller{since: now, heard: now, by: now + wholeWithin}
}

// Known says that the connection has come from another process, where it has spoken; within is whether a message has begun.
func (c *Caller) Known(within bool) {
	c.spoke = true
	if !within {
		c.by = 0
	}
}

// Heard says that bytes have come.
func (c *Caller) Heard(now time.Duration) { c.heard = now }

// Begun says that a message is not whole yet.
func (c *Caller) Begun(now time.Duration) {
	if c.by == 0 {
		c.by = now + wholeWithin
	}
}

// Spoke says that a usable message was whole.
func (c *Caller) Spoke() { c.spoke = true }

// Whole says that a message has ended: the next has its own time. It needs a usable one to have come.
func (c *Caller) Whole() {
	if c.spoke && !c.over {
		c.by = 0
	}
}

// Over says that the connection was told its end, which it has a while to take; false: it was already.
func (c *Caller) Over(now time.Duration) bool {
	if c.over {
		return false
	}
	c.over, c.by = true, now+lingerFor
	return true
}

// Ended says whether it was told its end, Spoken whether a usable message has come; Since is when it connected and Last when it last sent something.
func (c *Caller) Ended() bool          { return c.over }
func (c *Caller) Spoken() bool         { return c.spoke }
func (c *Caller) Since() time.Duration { return c.since }
func (c *Caller) Last() time.Duration  { return c.heard }

// Late says whether its time is up. A message that is past it but keeps coming has a little more.
func (c *Caller) Late(now time.Duration) bool {
	slow := !c.over && now < c.by+slowMore && now-c.heard < slowPause
	return c.by > 0 && now >= c.by && !slow
}

// Before says which of two connections without a set-up goes first where there is no room: one that was told its end, else one that has not spoken,
// and among equals the one silent longest.
func (c *Caller) Before(other *Caller) bool {
	if a, b := c.standing(), other.standing(); a != b {
		return a < b
	}
	return c.heard < other.heard
}

func (c *Caller) standing() int {
	switch {
	case c.over:
		return 0
	case !c.spoke:
		return 1
	}
	return 2
}

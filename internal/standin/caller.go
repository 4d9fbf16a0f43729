package standin

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// LoadConfig configures the call load that Load puts on a router.
type LoadConfig struct {
	Target      func() string // returns the address to dial; called for each connection
	Connections int
	Seed        uint64
	// Rate is the number of set-ups per second over all connections, sent by the clock regardless of the answers
	// (open loop). At 0, each connection keeps Window set-ups pending instead (closed loop).
	Rate float64
	// Staggered spreads the set-ups of the connections evenly over time in an open loop. Otherwise connections that
	// open at the same time send their set-ups at the same moments, in bursts of Connections set-ups.
	Staggered      bool
	Window         int // set-ups pending per connection in a closed loop; 0: 16
	MaxInvites     int // total number of set-ups; 0: no limit until the context ends
	Classes        []string
	NumberPrefixes []string      // prefixes of the called numbers
	Servers        int           // calls request case servers numbered from 0 to Servers-1; 0: 2
	AnswerTimeout  time.Duration // answer timeout that callers send; 0: 3 s
	HangUpShare    float64       // share of established calls that their callers release
	HangUpDelay    time.Duration // delay of that release after the answer
	RepeatShare    float64       // share of first set-ups that are marked as repeats
	RecordOutcomes bool          // keep the outcome of each call
	// MaxRedials is how often a refused caller calls again, marked as a repeat. A redial follows the refusal
	// by a random delay between half of MaxRedialDelay and MaxRedialDelay.
	MaxRedials       int
	MaxRedialDelay   time.Duration
	RecordFirstTries bool // keep the first try of each caller
}

// FirstTry is the first try of a caller: when it was sent and whether the call was established.
type FirstTry struct {
	SentAt      time.Time
	Established bool
}

// ReceivedRelease is a release that a caller received.
type ReceivedRelease struct {
	At   time.Time
	Addr string // address that the caller's connection was dialed to
}

// LoadCounts are totals over all callers.
type LoadCounts struct {
	Offered     int             // set-ups sent
	Established int             // calls established
	Refused     int             // set-ups answered with 503 or 480
	Failed      int             // set-ups answered with another final status
	Lost        int             // set-ups that were pending when their connection ended
	Released    int             // calls released from the router's side
	Cut         int             // of those, calls released with another cause than normal clearing
	HungUp      int             // calls released by their callers
	Violations  int             // protocol violations: final answers to set-ups that are not pending
	Latency     []time.Duration // of final answers; kept with RecordOutcomes
}

// Load is a set of callers that send set-ups to a router. Its methods may be called from several goroutines.
type Load struct {
	cfg            LoadConfig
	mu             sync.Mutex
	counts         LoadCounts
	outcomes       map[string]string            // by call; kept with RecordOutcomes
	releaseAckedAt map[string]time.Time         // when the release by the caller was answered, by call
	releases       map[string][]ReceivedRelease // by call, earliest first; kept with RecordOutcomes
	released       map[string]bool              // calls for which a release was received or sent
	conns          map[*callerConn]bool
	redials        map[string]int       // redials before this set-up, by pending call
	firstTries     map[string]*FirstTry // by call
	rateBits       atomic.Uint64        // current rate, as the bits of a float64
	lastID         uint64
	idPrefix       uint64
	done           sync.WaitGroup
}

// callerConn is one connection of callers.
type callerConn struct {
	load    *Load
	conn    *lockedConn
	random  *rand.Rand
	mu      sync.Mutex
	pending map[string]time.Time // when each set-up without a final answer was sent, by call
	window  chan bool            // in a closed loop, one token for each set-up that may be sent
}

// StartLoad starts callers that send set-ups until the context ends. Wait waits for the last answers.
func StartLoad(ctx context.Context, cfg LoadConfig) *Load {
	if cfg.AnswerTimeout == 0 {
		cfg.AnswerTimeout = 3 * time.Second
	}
	if cfg.Window == 0 {
		cfg.Window = 16
	}
	if cfg.Servers == 0 {
		cfg.Servers = 2
	}
	load := &Load{
		cfg:            cfg,
		outcomes:       map[string]string{},
		releaseAckedAt: map[string]time.Time{},
		releases:       map[string][]ReceivedRelease{},
		released:       map[string]bool{},
		conns:          map[*callerConn]bool{},
		redials:        map[string]int{},
		firstTries:     map[string]*FirstTry{},
		idPrefix:       rand.New(rand.NewPCG(cfg.Seed, 1)).Uint64() &^ 0xffffffff,
	}
	load.SetRate(cfg.Rate)
	for i := range cfg.Connections {
		load.done.Add(1)
		go load.runConnection(ctx, i)
	}
	return load
}

// SetRate changes the number of set-ups per second over all connections, in an open loop.
func (l *Load) SetRate(rate float64) { l.rateBits.Store(math.Float64bits(rate)) }

// FirstTries returns the first tries of all callers, which are kept with RecordFirstTries or MaxRedials.
func (l *Load) FirstTries() (list []FirstTry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, try := range l.firstTries {
		list = append(list, *try)
	}
	return list
}

// Wait waits until all connections have ended and returns the totals.
func (l *Load) Wait() LoadCounts {
	l.done.Wait()
	return l.Counts()
}

// Counts returns the totals so far.
func (l *Load) Counts() LoadCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// IsReleased reports whether a call was released by either side, as far as its caller knows.
func (l *Load) IsReleased(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released[id]
}

// ReleaseAckedAt returns when the caller's release of a call was answered, or the zero time if it was not.
func (l *Load) ReleaseAckedAt(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.releaseAckedAt[id]
}

// Releases returns the releases that callers received, by call and earliest first; they are kept with RecordOutcomes.
func (l *Load) Releases() map[string][]ReceivedRelease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.releases)
}

// Outcomes returns the outcome of each call: stood, refused, failed or lost. They are kept with RecordOutcomes.
func (l *Load) Outcomes() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcomes := make(map[string]string, len(l.outcomes))
	for id, outcome := range l.outcomes {
		outcomes[id] = outcome
	}
	return outcomes
}

// runConnection connects and sends set-ups until the context ends, and reconnects after a disconnect.
func (l *Load) runConnection(ctx context.Context, number int) {
	defer l.done.Done()
	random := rand.New(rand.NewPCG(l.cfg.Seed, uint64(number)+100))
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", l.cfg.Target(), time.Second)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		caller := &callerConn{
			load:    l,
			conn:    &lockedConn{Conn: conn},
			random:  random,
			pending: map[string]time.Time{},
			window:  make(chan bool, l.cfg.Window),
		}
		for range l.cfg.Window {
			caller.window <- true
		}
		l.mu.Lock()
		l.conns[caller] = true
		l.mu.Unlock()
		disconnected := make(chan bool)
		go func() { caller.readMessages(); close(disconnected) }()
		phase := 0.0
		if l.cfg.Staggered {
			phase = float64(number) / float64(l.cfg.Connections)
		}
		if !caller.sendInvites(ctx, phase, disconnected) {
			caller.awaitPending(disconnected)
			conn.Close()
			<-disconnected
			return
		}
		conn.Close()
		<-disconnected
	}
}

// awaitPending waits up to 2 s for the answers to pending set-ups.
func (c *callerConn) awaitPending(disconnected chan bool) {
	for range 100 {
		c.mu.Lock()
		pending := len(c.pending)
		c.mu.Unlock()
		if pending == 0 {
			break
		}
		select {
		case <-disconnected:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// sendInvites sends set-ups until the connection or the context ends, or enough were sent. It returns true if the
// connection ended first. phase is the fraction of the first interval between set-ups that counts as past, in an open
// loop.
func (c *callerConn) sendInvites(ctx context.Context, phase float64, disconnected chan bool) bool {
	cfg := &c.load.cfg
	var tick <-chan time.Time
	due := phase
	last := time.Now()
	if cfg.Rate > 0 {
		t := time.NewTicker(2 * time.Millisecond)
		defer t.Stop()
		tick = t.C
	}
	for {
		if cfg.Rate > 0 {
			select {
			case <-ctx.Done():
				return false
			case <-disconnected:
				return true
			case now := <-tick:
				due += now.Sub(last).Seconds() * math.Float64frombits(c.load.rateBits.Load()) / float64(cfg.Connections)
				last = now
			}
			for ; due >= 1; due-- {
				if !c.sendInvite(0) {
					return false
				}
			}
			continue
		}
		select {
		case <-ctx.Done():
			return false
		case <-disconnected:
			return true
		case <-c.window:
			if !c.sendInvite(0) {
				return false
			}
		}
	}
}

// sendInvite sends the set-up of a caller that has redialed the given number of times, this one included. It returns
// false without sending if MaxInvites set-ups were sent.
func (c *callerConn) sendInvite(redials int) bool {
	l := c.load
	l.mu.Lock()
	if l.cfg.MaxInvites > 0 && l.counts.Offered >= l.cfg.MaxInvites {
		l.mu.Unlock()
		return false
	}
	l.counts.Offered++
	l.lastID++
	id := fmt.Sprintf("%016x", l.idPrefix+l.lastID)
	if l.cfg.MaxRedials > 0 {
		l.redials[id] = redials
	}
	if redials == 0 && (l.cfg.MaxRedials > 0 || l.cfg.RecordFirstTries) {
		l.firstTries[id] = &FirstTry{SentAt: time.Now()}
	}
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	class := l.cfg.Classes[c.random.IntN(len(l.cfg.Classes))]
	number := "4711"
	if len(l.cfg.NumberPrefixes) > 0 {
		number = l.cfg.NumberPrefixes[c.random.IntN(len(l.cfg.NumberPrefixes))] + strconv.Itoa(c.random.IntN(1000))
	}
	headers := []string{
		"Call-Kind", class,
		"Answer-Within", strconv.Itoa(int(l.cfg.AnswerTimeout.Milliseconds())),
		"Routing-Data", "dest:" + strconv.Itoa(c.random.IntN(l.cfg.Servers)) + ";width:1;via:-1",
	}
	if redials > 0 || c.random.Float64() < l.cfg.RepeatShare {
		headers = append(headers, "Repeat-Mark", "1")
	}
	c.pending[id] = time.Now()
	c.conn.send(Request("INVITE", number, id, id+"\r\nc=IN IP4 10.4.7.9\r\n", headers...))
	return true
}

// readMessages handles messages from the router until the connection ends. Set-ups still pending then are lost.
func (c *callerConn) readMessages() {
	r := bufio.NewReader(c.conn)
	for {
		m, err := ReadMessage(r)
		if err != nil {
			break
		}
		c.handle(m)
	}
	c.load.mu.Lock()
	delete(c.load.conns, c)
	c.load.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.pending {
		c.load.recordOutcome(id, "lost", 0)
	}
	clear(c.pending)
}

// handle processes one message from the router.
func (c *callerConn) handle(m Message) {
	id := m.CallID()
	switch {
	case m.Method() == "INVITE" && m.Status() >= 200:
		c.mu.Lock()
		sentAt, pending := c.pending[id]
		delete(c.pending, id)
		c.mu.Unlock()
		if !pending {
			c.load.mu.Lock()
			c.load.counts.Violations++
			c.load.mu.Unlock()
			return
		}
		c.conn.send(Request("ACK", id, id, ""))
		switch m.Status() {
		case 200:
			c.load.recordOutcome(id, "stood", time.Since(sentAt))
			if rand.Float64() < c.load.cfg.HangUpShare {
				time.AfterFunc(c.load.cfg.HangUpDelay, func() { c.load.hangUp(id) })
			}
		case 503, 480:
			c.load.recordOutcome(id, "refused", time.Since(sentAt))
			c.load.scheduleRedial(id)
		default:
			c.load.recordOutcome(id, "failed", time.Since(sentAt))
		}
		select {
		case c.window <- true:
		default:
		}
	case m.Method() == "BYE" && m.Status() == 200:
		c.load.mu.Lock()
		c.load.releaseAckedAt[id] = time.Now()
		c.load.mu.Unlock()
	case m.Method() == "BYE" && m.Status() == 0:
		c.conn.send(Response(200, "BYE", id, ""))
		c.load.mu.Lock()
		c.load.released[id] = true // the caller has nothing left to release
		if c.load.cfg.RecordOutcomes {
			release := ReceivedRelease{time.Now(), c.conn.RemoteAddr().String()}
			c.load.releases[id] = append(c.load.releases[id], release)
		}
		c.load.counts.Released++
		if m.Header["Reason"] != "Q.850;cause=16" {
			c.load.counts.Cut++
		}
		c.load.mu.Unlock()
	}
}

// scheduleRedial lets a refused caller call again, on any connection.
func (l *Load) scheduleRedial(id string) {
	l.mu.Lock()
	redials := l.redials[id] + 1
	delete(l.redials, id)
	l.mu.Unlock()
	if redials > l.cfg.MaxRedials {
		return
	}
	time.AfterFunc(time.Duration((0.5+rand.Float64()/2)*float64(l.cfg.MaxRedialDelay)), func() {
		l.mu.Lock()
		var conn *callerConn
		for conn = range l.conns {
			break
		}
		l.mu.Unlock()
		if conn != nil {
			conn.sendInvite(redials)
		}
	})
}

// hangUp releases an established call. It uses any connection, as a call is not bound to the one of its set-up.
func (l *Load) hangUp(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released[id] {
		return
	}
	for c := range l.conns {
		l.released[id] = true
		l.counts.HungUp++
		c.conn.send(Request("BYE", id, id, "", "Reason", "Q.850;cause=16"))
		return
	}
}

// recordOutcome counts the outcome of a call, and keeps it with RecordOutcomes.
func (l *Load) recordOutcome(id, outcome string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch outcome {
	case "stood":
		l.counts.Established++
		if try := l.firstTries[id]; try != nil {
			try.Established = true
		}
	case "refused":
		l.counts.Refused++
	case "failed":
		l.counts.Failed++
	case "lost":
		l.counts.Lost++
	}
	if l.cfg.RecordOutcomes {
		l.outcomes[id] = outcome
		if latency > 0 {
			l.counts.Latency = append(l.counts.Latency, latency)
		}
	}
}

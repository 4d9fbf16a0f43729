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

// LoadConfig says what callers ask of a router.
type LoadConfig struct {
	Target      func() string // where to connect; asked for each connection
	Connections int
	Seed        uint64
	// Rate is set-ups a second over all connections, by the clock whatever the answers (open loop). 0: each connection
	// keeps Window set-ups unanswered instead (closed loop).
	Rate     float64
	Window   int
	Most     int // set-ups in all; 0: until the context ends
	Classes  []string
	Numbers  []string // beginnings of the numbers called
	Servers  int      // calls ask for the case servers numbered below; 0: 2
	Within   time.Duration
	HangUp   float64 // share of standing calls that their callers release
	HangUpIn time.Duration
	Repeats  float64 // share of set-ups that are marked as repeats
	Record   bool    // keep what became of each call
	// Redials is how often a caller who is refused calls again, marked as a repeat, each time within RedialIn.
	Redials  int
	RedialIn time.Duration
	Firsts   bool // keep each first try
}

// Try is a caller's first try: when, and whether the call stood.
type Try struct {
	At    time.Time
	Stood bool
}

// LoadCounts are totals of what callers saw. Odd counts what breaks the rules: a second final answer.
type LoadCounts struct {
	Offered, Stood, Refused, Failed, Lost, Released, Cut, HungUp, Odd int
	Latency                                                           []time.Duration // of final answers, where recorded
}

// Load is callers at work.
type Load struct {
	cfg    LoadConfig
	mu     sync.Mutex
	count  LoadCounts
	ends   map[string]string    // call to what became of it, where recorded
	acked  map[string]time.Time // when releases of callers were answered
	byes   map[string]int       // releases that came, by call, where recorded
	hung   map[string]bool      // calls whose callers have released them, or tried to
	conns  map[*callerConn]bool
	tries  map[string]int // redials that came before a call that is open
	firsts map[string]*Try
	rate   atomic.Uint64 // bits of Rate in force
	next   uint64
	prefix uint64
	done   sync.WaitGroup
}

// callerConn is one connection of callers.
type callerConn struct {
	l      *Load
	w      *wire
	random *rand.Rand
	mu     sync.Mutex
	open   map[string]time.Time // unanswered
	room   chan bool            // one for each set-up that may be sent, in a closed loop
}

// StartLoad has callers call until the context ends; Wait waits for the last answers.
func StartLoad(ctx context.Context, cfg LoadConfig) *Load {
	if cfg.Within == 0 {
		cfg.Within = 3 * time.Second
	}
	if cfg.Window == 0 {
		cfg.Window = 16
	}
	if cfg.Servers == 0 {
		cfg.Servers = 2
	}
	l := &Load{cfg: cfg, ends: map[string]string{}, acked: map[string]time.Time{}, byes: map[string]int{}, hung: map[string]bool{}, conns: map[*callerConn]bool{}, tries: map[string]int{}, firsts: map[string]*Try{}, prefix: rand.New(rand.NewPCG(cfg.Seed, 1)).Uint64() &^ 0xffffffff}
	l.SetRate(cfg.Rate)
	for i := range cfg.Connections {
		l.done.Add(1)
		go l.connection(ctx, i)
	}
	return l
}

// SetRate changes how many set-ups a second come from now on.
func (l *Load) SetRate(rate float64) { l.rate.Store(math.Float64bits(rate)) }

// Firsts returns all first tries, where callers redial or they are to be kept.
func (l *Load) Firsts() (list []Try) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.firsts {
		list = append(list, *t)
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
	return l.count
}

// HungUp tells whether a call was released, by whichever side, as far as its caller knows.
func (l *Load) HungUp(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hung[id]
}

// Heard tells when a caller's release of a call was answered; zero: it was not.
func (l *Load) Heard(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked[id]
}

// Byes tells how many releases came of each call.
func (l *Load) Byes() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.byes)
}

// Ends tells what became of each call: stood, refused, failed or lost.
func (l *Load) Ends() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := make(map[string]string, len(l.ends))
	for id, end := range l.ends {
		m[id] = end
	}
	return m
}

// connection connects again and again until the context ends.
func (l *Load) connection(ctx context.Context, number int) {
	defer l.done.Done()
	random := rand.New(rand.NewPCG(l.cfg.Seed, uint64(number)+100))
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", l.cfg.Target(), time.Second)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := &callerConn{l: l, w: &wire{Conn: conn}, random: random, open: map[string]time.Time{}, room: make(chan bool, l.cfg.Window)}
		for range l.cfg.Window {
			c.room <- true
		}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		gone := make(chan bool)
		go func() { c.read(); close(gone) }()
		if !c.call(ctx, gone) {
			c.drain(gone)
			conn.Close()
			<-gone
			return
		}
		conn.Close()
		<-gone
	}
}

// drain waits for the last answers and releases.
func (c *callerConn) drain(gone chan bool) {
	for range 100 {
		c.mu.Lock()
		left := len(c.open)
		c.mu.Unlock()
		if left == 0 {
			break
		}
		select {
		case <-gone:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// call sends set-ups; true if the connection ended before the context.
func (c *callerConn) call(ctx context.Context, gone chan bool) bool {
	cfg := &c.l.cfg
	var tick <-chan time.Time
	var due float64
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
			case <-gone:
				return true
			case now := <-tick:
				due += now.Sub(last).Seconds() * math.Float64frombits(c.l.rate.Load()) / float64(cfg.Connections)
				last = now
			}
			for ; due >= 1; due-- {
				if !c.invite(0) {
					return false
				}
			}
			continue
		}
		select {
		case <-ctx.Done():
			return false
		case <-gone:
			return true
		case <-c.room:
			if !c.invite(0) {
				return false
			}
		}
	}
}

// invite sends one set-up, after so many redials; false if there have been enough.
func (c *callerConn) invite(redials int) bool {
	l := c.l
	l.mu.Lock()
	if l.cfg.Most > 0 && l.count.Offered >= l.cfg.Most {
		l.mu.Unlock()
		return false
	}
	l.count.Offered++
	l.next++
	id := fmt.Sprintf("%016x", l.prefix+l.next)
	if l.cfg.Redials > 0 {
		l.tries[id] = redials
	}
	if redials == 0 && (l.cfg.Redials > 0 || l.cfg.Firsts) {
		l.firsts[id] = &Try{At: time.Now()}
	}
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	class := l.cfg.Classes[c.random.IntN(len(l.cfg.Classes))]
	number := "4711"
	if len(l.cfg.Numbers) > 0 {
		number = l.cfg.Numbers[c.random.IntN(len(l.cfg.Numbers))] + strconv.Itoa(c.random.IntN(1000))
	}
	headers := []string{"Call-Kind", class, "Answer-Within", strconv.Itoa(int(l.cfg.Within.Milliseconds())), "Routing-Data", "dest:" + strconv.Itoa(c.random.IntN(l.cfg.Servers)) + ";width:1;via:-1"}
	if redials > 0 || c.random.Float64() < l.cfg.Repeats {
		headers = append(headers, "Repeat-Mark", "1")
	}
	c.open[id] = time.Now()
	c.w.send(Request("INVITE", number, id, id+"\r\nc=IN IP4 10.4.7.9\r\n", headers...))
	return true
}

// read takes what the router sends until the connection ends; what is unanswered then is lost.
func (c *callerConn) read() {
	r := bufio.NewReader(c.w)
	for {
		m, err := Read(r)
		if err != nil {
			break
		}
		c.take(m)
	}
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.open {
		c.l.final(id, "lost", 0)
	}
	clear(c.open)
}

func (c *callerConn) take(m Message) {
	id := m.Call()
	switch {
	case m.Method() == "INVITE" && m.Status() >= 200:
		c.mu.Lock()
		at, open := c.open[id]
		delete(c.open, id)
		c.mu.Unlock()
		if !open {
			c.l.mu.Lock()
			c.l.count.Odd++
			c.l.mu.Unlock()
			return
		}
		c.w.send(Request("ACK", id, id, ""))
		switch m.Status() {
		case 200:
			c.l.final(id, "stood", time.Since(at))
			if rand.Float64() < c.l.cfg.HangUp {
				time.AfterFunc(c.l.cfg.HangUpIn, func() { c.l.hangUp(id) })
			}
		case 503, 480:
			c.l.final(id, "refused", time.Since(at))
			c.l.redial(id)
		default:
			c.l.final(id, "failed", time.Since(at))
		}
		select {
		case c.room <- true:
		default:
		}
	case m.Method() == "BYE" && m.Status() == 200:
		c.l.mu.Lock()
		c.l.acked[id] = time.Now()
		c.l.mu.Unlock()
	case m.Method() == "BYE" && m.Status() == 0:
		c.w.send(Response(200, "BYE", id, ""))
		c.l.mu.Lock()
		c.l.hung[id] = true // nothing is left to hang up
		if c.l.cfg.Record {
			c.l.byes[id]++
		}
		c.l.count.Released++
		if m.Header["Reason"] != "Q.850;cause=16" {
			c.l.count.Cut++
		}
		c.l.mu.Unlock()
	}
}

// redial has a refused caller call again, by any connection.
func (l *Load) redial(id string) {
	l.mu.Lock()
	tries := l.tries[id] + 1
	delete(l.tries, id)
	l.mu.Unlock()
	if tries > l.cfg.Redials {
		return
	}
	time.AfterFunc(time.Duration((0.5+rand.Float64()/2)*float64(l.cfg.RedialIn)), func() {
		l.mu.Lock()
		var any *callerConn
		for any = range l.conns {
			break
		}
		l.mu.Unlock()
		if any != nil {
			any.invite(tries)
		}
	})
}

// hangUp releases a call that stands, by any connection: none owns it.
func (l *Load) hangUp(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hung[id] {
		return
	}
	for c := range l.conns {
		l.hung[id] = true
		l.count.HungUp++
		c.w.send(Request("BYE", id, id, "", "Reason", "Q.850;cause=16"))
		return
	}
}

// final notes what became of a call.
func (l *Load) final(id, end string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch end {
	case "stood":
		l.count.Stood++
		if t := l.firsts[id]; t != nil {
			t.Stood = true
		}
	case "refused":
		l.count.Refused++
	case "failed":
		l.count.Failed++
	case "lost":
		l.count.Lost++
	}
	if l.cfg.Record {
		l.ends[id] = end
		if took > 0 {
			l.count.Latency = append(l.count.Latency, took)
		}
	}
}

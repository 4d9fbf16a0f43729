// Package explore tries the real Router with the real Controller on every order of events that a small world allows, and checks
// the rules at each step. model.go owns the world: callers and case servers as the router's Front and Trunk, the events that may
// come next, and the properties; explore.go owns the search. It must never stand a model in for the code that it checks, read a
// clock, or draw anything: who draws for the Controller is part of the world.
package explore

import (
	"encoding/binary"
	"fmt"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

// World is what an exploration allows: how many of everything, and what callers, servers and the list may do.
type World struct {
	Name     string
	About    string
	Calls    int
	Servers  int
	Attempts int  // that the settings allow one call
	Leave    bool // callers may give requests up
	Release  bool // callers may release calls that stand
	Stale    bool // answers and ends may come of attempts that are over, and releases of calls that do not stand
	Lists    int  // changes of the list: drains, removals, restarts and returns
	Coarse   bool // events come only where time has brought something about, or a tenth of a second has gone by
	Lates    int  // timers that may be served 3 ms late
	Idles    int  // times that 1.1 s may pass with nothing to do
	Cold     bool // servers have just started
	Unlisted int  // of the servers, that the list does not name at first
	Endings  []Ending
	Draw     uint64 // what every random draw gives: 0 the least, ^0 the most
	Rules    Rules
}

// Ending is how a set-up may end unanswered.
type Ending struct {
	Outcome threadglade.Outcome
	Cause   threadglade.Cause
}

// Rules are the figures that the properties hold the router to. They are those of its settings, but for tests that see a property fail.
type Rules struct {
	ReleaseWait time.Duration // between an attempt that may still hold something and the next
	DrainGrace  time.Duration // after word of a drain
	Attempts    int
	Late        time.Duration // how long after its deadline a request may be answered
}

var endings = []Ending{{threadglade.Rejected, threadglade.CauseProcessorFull}, {threadglade.Rejected, threadglade.CauseNoAgent},
	{threadglade.Faulted, threadglade.CauseNone}, {threadglade.Faulted, threadglade.CauseLinesBusy},
	{threadglade.Unreachable, threadglade.CauseNone}, {threadglade.Cut, threadglade.CauseNone}}

// Worlds are those that the command knows. The first is the one of CI.
func Worlds() []World {
	few := []Ending{endings[0], endings[4], endings[5]}
	return []World{
		{Name: "drain", About: "a list that drains, removes and restarts servers while calls are out", Calls: 2, Servers: 2, Attempts: 3, Lists: 1, Idles: 1, Lates: 1, Endings: few},
		{Name: "small", About: "every way in which a set-up may end", Calls: 2, Servers: 2, Attempts: 2, Lates: 1, Endings: endings},
		{Name: "cancel", About: "callers that leave and release, servers that answer late and twice", Calls: 2, Servers: 2, Attempts: 2, Leave: true, Release: true, Stale: true, Lates: 1, Endings: few},
		{Name: "list", About: "a server that the list names only later, or never", Calls: 2, Servers: 2, Attempts: 3, Unlisted: 1, Lists: 1, Lates: 1, Endings: few},
		{Name: "cold", About: "servers that have just started", Calls: 2, Servers: 2, Attempts: 2, Cold: true, Lists: 1, Lates: 1, Endings: few},
	}
}

const (
	began       = 1_700_000_000 * time.Second
	aim         = 500 * time.Millisecond
	within      = 1000 * time.Millisecond // what a caller waits
	releaseWait = 200 * time.Millisecond
	drainGrace  = time.Second
	coarse      = 100 * time.Millisecond
	answerLate  = 5 * time.Millisecond // the router's own backstop after a deadline
)

func (w *World) settings() threadglade.Settings {
	s := threadglade.Settings{Proxies: 1, Limits: threadglade.Limits{MaxAttempts: w.Attempts, MaxRetryAfter: time.Second, RetryAfter: true, Cancel: true},
		Rules:   threadglade.Rules{ReleaseWait: releaseWait, DrainGrace: drainGrace, ColdCapacity: 0.37, WarmUpTime: 9 * time.Second, CollapseMultiple: 3, CollapseWindow: 2 * time.Second},
		Callers: threadglade.Callers{MarkRetries: true}}
	class := threadglade.Class{Name: "voice", Aim: aim, Deadline: 2 * within, HoldingTime: time.Second, Worth: 1, LateFactor: 0.5, Repeat: threadglade.RepeatFree}
	for n := range w.Servers {
		class.Servers = append(class.Servers, n)
	}
	s.Classes = []threadglade.Class{class}
	return s
}

func (w *World) rules() Rules {
	r := w.Rules
	if r.ReleaseWait == 0 {
		r.ReleaseWait = releaseWait
	}
	if r.DrainGrace == 0 {
		r.DrainGrace = drainGrace
	}
	if r.Attempts == 0 {
		r.Attempts = w.Attempts
	}
	if r.Late == 0 {
		r.Late = answerLate
	}
	return r
}

// phase is what a caller knows of its call.
type phase uint8

const (
	unborn phase = iota
	waiting
	stands
	answered // refused or failed
	left
	ended // stood, and was released by one side
)

type caller struct {
	phase    phase
	deadline time.Duration
	sends    int
	out      int // one more than the server of the attempt that is out; 0: none
	index    int // of the latest attempt
	server   int // of the latest attempt
	hold     time.Duration
	mayHold  bool // an attempt may have run
}

type caseServer struct {
	state   threadglade.ServerState
	told    time.Duration // when it was first told to be anything but up
	started time.Duration
	listed  bool
}

// model is one state of a world.
type model struct {
	w       *World
	rules   Rules
	now     time.Duration
	r       *router.Router
	calls   []caller
	servers []caseServer
	lists   int // that may still come
	lates   int
	idles   int
	broken  string // the property that does not hold, with what shows it
}

// constant draws the same for ever.
type constant uint64

func (c constant) Uint64() uint64 { return uint64(c) }

func newModel(w *World) (*model, error) {
	m := &model{w: w, rules: w.rules(), now: began, calls: make([]caller, w.Calls), servers: make([]caseServer, w.Servers), lists: w.Lists, lates: w.Lates, idles: w.Idles}
	r, err := router.New(m.config(w.settings()))
	if err != nil {
		return nil, err
	}
	m.r = r
	r.SetRandomSource(constant(w.Draw))
	for i := range m.servers {
		m.servers[i].listed = i < w.Servers-w.Unlisted
		if w.Cold {
			m.servers[i].started = began - time.Second
		}
	}
	m.list()
	return m, nil
}

func (m *model) config(s threadglade.Settings) router.Config {
	return router.Config{Settings: s, Seed: 1, Clock: func() time.Duration { return m.now }, Trunk: (*trunk)(m)}
}

func (m *model) clone() (*model, error) {
	n := *m
	n.calls, n.servers = append([]caller(nil), m.calls...), append([]caseServer(nil), m.servers...)
	var err error
	n.r, err = m.r.Clone(n.config(m.w.settings()), func(router.Front) router.Front { return (*front)(&n) })
	return &n, err
}

func (m *model) breaks(format string, args ...any) {
	if m.broken == "" {
		m.broken = fmt.Sprintf(format, args...)
	}
}

func callID(i int) string    { return fmt.Sprintf("%016x", i+1) }
func serverID(i int) string  { return fmt.Sprintf("s%d", i) }
func callOf(id string) int   { var n int; fmt.Sscanf(id, "%x", &n); return n - 1 }
func serverOf(id string) int { var n int; fmt.Sscanf(id, "s%d", &n); return n }

func (m *model) list() {
	var list threadglade.ServerList
	for i, s := range m.servers {
		if s.listed && s.state != threadglade.Removed {
			list.Servers = append(list.Servers, threadglade.Server{ID: serverID(i), Number: i, State: s.state, Started: s.started})
		}
	}
	m.r.UpdateServers(list)
}

// ---- the router's two sides ----

// trunk is the case servers. The rules about attempts are checked where they arrive.
type trunk model

func (t *trunk) Send(a router.Attempt) {
	m := (*model)(t)
	c, to := &m.calls[callOf(a.ID)], serverOf(a.Server)
	s := m.servers[to]
	switch {
	case c.phase != waiting:
		m.breaks("one final answer: %s is sent to %s after its answer", a.ID, a.Server)
	case c.out > 0:
		m.breaks("one attempt at once: %s is sent to %s while it is out at %s", a.ID, a.Server, serverID(c.out-1))
	case c.sends >= m.rules.Attempts:
		m.breaks("attempts are bounded: %s is sent for the %dth time", a.ID, c.sends+1)
	case m.now < c.hold:
		m.breaks("the wait before a resend: %s is sent %v before it is over", a.ID, c.hold-m.now)
	case !s.listed:
		m.breaks("only listed servers: %s is sent to %s", a.ID, a.Server)
	case s.state != threadglade.Up && m.now-s.told > m.rules.DrainGrace:
		m.breaks("nothing new after a drain: %s is sent to %s %v after word of it", a.ID, a.Server, m.now-s.told)
	}
	c.sends++
	c.out, c.index, c.server = to+1, a.Index, to
}

func (t *trunk) GiveUp(a router.Attempt) {
	m := (*model)(t)
	c := &m.calls[callOf(a.ID)]
	if c.out == 0 || c.index != a.Index {
		m.breaks("an attempt is given up once: %s has none out", a.ID)
	}
	c.out, c.mayHold, c.hold = 0, true, m.now+m.rules.ReleaseWait
}

func (t *trunk) Release(a router.Attempt, _ threadglade.Outcome) {
	m := (*model)(t)
	c := &m.calls[callOf(a.ID)]
	if c.phase != stands {
		m.breaks("a release reaches the server once: %s does not stand", a.ID)
	}
	c.phase = ended
}

// front is the callers.
type front model

func (f *front) final(id, how string) *caller {
	m := (*model)(f)
	c := &m.calls[callOf(id)]
	switch {
	case c.phase != waiting:
		m.breaks("one final answer: %s is %s as well", id, how)
	case m.now > c.deadline+m.rules.Late:
		m.breaks("an answer in time: %s is %s %v after its deadline", id, how, m.now-c.deadline)
	}
	return c
}

func (f *front) Established(id string, _ []byte) { f.final(id, "answered").phase = stands }

func (f *front) Refused(id string, _ time.Duration) {
	c := f.final(id, "refused")
	if c.mayHold {
		(*model)(f).breaks("what may have run is not told as refused: %s", id)
	}
	if c.out > 0 {
		(*model)(f).breaks("no answer over an attempt: %s is refused while it is out", id)
	}
	c.phase = answered
}

func (f *front) Failed(id string, _ router.Failure) {
	f.final(id, "failed").phase = answered
}

func (f *front) Released(id string, _ threadglade.Outcome) {
	m := (*model)(f)
	c := &m.calls[callOf(id)]
	if c.phase != stands {
		m.breaks("a release reaches the caller once: %s does not stand", id)
	}
	c.phase = ended
}

// ---- what may come next ----

// step is one event of the world.
type step struct {
	what string
	do   func(*model)
}

// next lists the events that may come in a state. Calls come in order: which is which makes no difference.
func (m *model) next() (list []step) {
	add := func(do func(*model), format string, args ...any) {
		list = append(list, step{fmt.Sprintf(format, args...), do})
	}
	if m.finished() {
		return nil
	}
	busy := false
	for i := range m.calls {
		c, id := m.calls[i], callID(i)
		switch {
		case c.phase == unborn:
			if i == 0 || m.calls[i-1].phase != unborn {
				for _, retry := range []bool{false, true}[:1+i%2] {
					add(func(m *model) {
						c := &m.calls[i]
						c.phase, c.deadline = waiting, m.now+within
						m.r.Arrive((*front)(m), router.Request{ID: id, Class: "voice", Number: "1", Deadline: c.deadline, Destination: 0, Retry: retry})
					}, "call %d arrives (retry %v)", i, retry)
				}
			}
			continue
		case c.phase == waiting || c.phase == stands:
			busy = true
		}
		if c.phase == waiting && m.w.Leave {
			add(func(m *model) {
				m.calls[i].phase = left
				m.r.Cancel((*front)(m), id)
			}, "caller %d leaves", i)
		}
		if c.out > 0 {
			add(func(m *model) { m.calls[i].out = 0; m.r.Answered(id, c.index, nil) }, "s%d answers call %d", c.server, i)
			for _, e := range m.w.Endings {
				add(func(m *model) {
					c := &m.calls[i]
					c.out = 0
					if e.Outcome == threadglade.Cut {
						c.hold = m.now + m.rules.ReleaseWait
					}
					c.mayHold = c.mayHold || e.Outcome == threadglade.Cut
					m.r.Ended(id, c.index, e.Outcome, e.Cause)
				}, "s%d ends call %d: outcome %d, cause %d", c.server, i, e.Outcome, e.Cause)
			}
		}
		if c.phase == stands {
			add(func(m *model) { m.r.Ended(id, c.index, threadglade.Concluded, 0) }, "s%d releases call %d", c.server, i)
			if m.w.Release {
				add(func(m *model) { m.r.Release(id) }, "caller %d releases", i)
			}
		}
		if m.w.Stale && c.out > 0 && c.index > 0 {
			add(func(m *model) { m.r.Ended(id, c.index-1, threadglade.Cut, 0) }, "s%d ends the attempt of call %d before the present one again", c.server, i)
		}
		if m.w.Stale && c.sends > 0 && c.out == 0 {
			add(func(m *model) { m.r.Answered(id, c.index, nil) }, "s%d answers call %d again", c.server, i)
			if c.phase != stands {
				add(func(m *model) { m.r.Ended(id, c.index, threadglade.Cut, 0) }, "s%d ends call %d again", c.server, i)
			}
			if c.phase == left || c.phase == answered || c.phase == ended {
				add(func(m *model) { m.r.UnmatchedRelease(id, threadglade.Concluded) }, "s%d releases call %d, which does not stand", c.server, i)
			}
		}
	}
	if m.lists > 0 {
		for i := range m.servers {
			for _, to := range []threadglade.ServerState{threadglade.Up, threadglade.Draining, threadglade.Removed} {
				s := m.servers[i]
				if to == s.state && to != threadglade.Up || !s.listed && to != threadglade.Up {
					continue
				}
				add(func(m *model) {
					s := &m.servers[i]
					if to != threadglade.Up && s.state == threadglade.Up {
						s.told = m.now
					}
					if to == threadglade.Up { // it is back, or another process
						s.started = m.now
					}
					s.state, s.listed = to, true
					m.lists--
					m.list()
				}, "the list has s%d in state %d", i, to)
			}
		}
	}
	if m.idles > 0 && !busy {
		add(func(m *model) {
			m.now += 1100 * time.Millisecond
			m.idles--
			m.r.Tick()
		}, "1.1 s pass")
	}
	if at, is := m.r.NextActiveTimer(); is && busy {
		add(func(m *model) {
			m.now = max(m.now, at)
			m.r.Tick()
			for from, was := m.now, m.r.Counters(); m.w.Coarse && m.broken == "" && m.now < from+coarse; {
				next, is := m.r.NextActiveTimer()
				have := m.r.Counters()
				if !is || have.Attempts != was.Attempts || have.Refused+have.Failed != was.Refused+was.Failed || have.Ends != was.Ends {
					return
				}
				m.now = max(m.now, next)
				m.r.Tick()
				m.check()
			}
		}, "time goes on to the next timer")
		if m.lates > 0 {
			add(func(m *model) {
				m.now = max(m.now, at) + 3*time.Millisecond
				m.lates--
				m.r.Tick()
			}, "time goes on to the next timer, which is served 3 ms late")
		}
	}
	return list
}

// finished says that nothing can come that the properties speak of: every call is over, and no word comes of those.
func (m *model) finished() bool {
	for i := range m.calls {
		if c := &m.calls[i]; m.w.Stale || c.out > 0 || c.phase == unborn || c.phase == waiting || c.phase == stands {
			return false
		}
	}
	return true
}

// check looks at a state between two events.
func (m *model) check() {
	owed, standing, open := 0, false, false
	for i := range m.calls {
		c := &m.calls[i]
		standing = standing || c.phase == stands
		open = open || c.phase == stands || c.out > 0
		if c.out > 0 && c.phase != waiting {
			m.breaks("no answer over an attempt: %s is answered or has left, and is out at %s", callID(i), serverID(c.out-1))
		}
		if c.phase != waiting {
			continue
		}
		owed++
		if m.now > c.deadline+m.rules.Late {
			m.breaks("an answer in time: %s has none %v after its deadline", callID(i), m.now-c.deadline)
		}
		if at, is := m.r.NextActiveTimer(); !is || at > c.deadline+answerLate {
			m.breaks("nothing is forgotten: %s waits and no timer is set before its deadline", callID(i))
		}
	}
	if n := m.r.Counters(); n.Stopped+n.Overdue+n.Faults > 0 {
		m.breaks("the backstop is not needed: the router stopped %d sends, answered %d requests itself and caught %d faults", n.Stopped, n.Overdue, n.Faults)
	}
	if have := m.r.OpenRequests(); have != owed {
		m.breaks("tables: %d answers are owed, the router counts %d", owed, have)
	}
	if n := m.r.Counters().Calls; n == 0 && standing {
		m.breaks("a release reaches the caller once: a call stands that the router has forgotten")
	}
	if n := m.r.Counters().Calls; owed == 0 && !open && n != 0 {
		m.breaks("tables return to zero: %d calls are held with nothing owed", n)
	}
}

// state is the canonical form of a state.
func (m *model) state(b []byte) []byte {
	if m.finished() {
		return append(b, 0xff)
	}
	for _, c := range m.calls {
		b = append(b, byte(c.phase))
		if !m.w.Stale && c.out == 0 && c.phase > stands {
			continue // it is over, and no word comes of it
		}
		b = append(b, byte(c.sends), byte(c.out), byte(c.index), byte(c.server))
		may := byte(0)
		if c.mayHold {
			may = 1
		}
		b = append(b, may)
		if c.phase == waiting {
			b = binary.AppendVarint(b, int64(c.deadline-m.now))
			b = binary.AppendVarint(b, int64(max(0, c.hold-m.now)))
		}
	}
	for _, s := range m.servers {
		word := byte(s.state)
		if !s.listed {
			word = 0xff
		}
		b = append(b, word)
		if s.state != threadglade.Up {
			b = binary.AppendVarint(b, int64(min(m.now-s.told, m.rules.DrainGrace+1)))
		}
	}
	return m.r.AppendState(append(b, byte(m.lists), byte(m.lates), byte(m.idles)), m.now)
}

// Properties are what is checked, a sentence each; what breaks one begins as it does.
var Properties = []string{
	"one final answer: a call gets exactly one, and none once its caller has left",
	"an answer in time: it comes before its deadline, or by the backstop right after",
	"one attempt at once: a call is out at one server at most",
	"attempts are bounded: a call is sent no more often than the settings allow",
	"the wait before a resend: nothing is sent within 200 ms of an attempt that may still hold something",
	"nothing new after a drain: nothing is sent to a server 1 s after word that it drains or is gone",
	"only listed servers: nothing is sent to a server that no list has named",
	"an attempt is given up once: and only while it is out",
	"no answer over an attempt: once a call is answered or has left it is out nowhere",
	"what may have run is not told as refused: it has failed",
	"a release reaches the server once: and only of a call that stands",
	"a release reaches the caller once: and only of a call that stands",
	"nothing is forgotten: a call that waits has a timer set before its deadline",
	"the backstop is not needed: the Controller keeps the rules by itself, and does not fail",
	"tables: the router counts the answers that are owed",
	"tables return to zero: no call is held when nothing is owed and nothing stands",
}

// Package explore is an explicit-state model checker for the router. It runs the real Router with the real
// Controller on every order of events that a small world allows and checks the properties after each event.
// model.go defines the worlds, the callers and case servers (the router's Front and Trunk), the possible events and
// the properties; explore.go is the search. The package must not substitute a model for the code under test, read a
// clock or use a random generator: the random values that the Controller gets are part of the world.
package explore

import (
	"encoding/binary"
	"fmt"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

// World describes what an exploration allows: the numbers of calls, servers and attempts, and the events that
// callers, servers and the server list may cause.
type World struct {
	Name           string
	Description    string `json:"About"`
	Calls          int
	Servers        int
	Attempts       int  // per call, as the settings allow
	CallersCancel  bool `json:"Leave"`   // callers may cancel requests
	CallersRelease bool `json:"Release"` // callers may release established calls
	// Servers may answer or end attempts that are over, and release calls that are not established.
	StaleMessages bool `json:"Stale"`
	ListChanges   int  `json:"Lists"` // changes of the server list: drains, removals, restarts and returns
	// One step of time runs all timers due within 100 ms, or until a timer has an effect. This reduces the number of
	// states.
	CoarseTime      bool `json:"Coarse"`
	LateTimers      int  `json:"Lates"`    // timers that may run 3 ms late
	IdlePeriods     int  `json:"Idles"`    // periods of 1.1 s that may pass without an active call
	ColdServers     bool `json:"Cold"`     // the servers have just started
	UnlistedServers int  `json:"Unlisted"` // servers that are missing from the first server list
	Endings         []Ending
	RandomValue     uint64       `json:"Draw"` // the result of every random draw: 0 is the least, ^0 the greatest
	Requirements    Requirements `json:"Rules"`
}

// Ending is one way in which a set-up may end without an answer.
type Ending struct {
	Outcome threadglade.Outcome
	Cause   threadglade.Cause
}

// Requirements are the limits that the properties check the router against. A zero field takes its value from the
// router's settings; tests set stricter values to provoke violations.
type Requirements struct {
	ReleaseWait time.Duration // least time between an attempt that may still hold resources and the next one
	DrainGrace  time.Duration // how long attempts may still be sent to a server after the notice of its drain
	Attempts    int           // greatest number of attempts per call
	AnswerGrace time.Duration `json:"Late"` // how long after its deadline a request may be answered
}

var allEndings = []Ending{{threadglade.Rejected, threadglade.CauseProcessorFull},
	{threadglade.Rejected, threadglade.CauseNoAgent},
	{threadglade.Faulted, threadglade.CauseNone}, {threadglade.Faulted, threadglade.CauseLinesBusy},
	{threadglade.Unreachable, threadglade.CauseNone}, {threadglade.Cut, threadglade.CauseNone}}

// Worlds returns the predefined worlds. CI explores the first one.
func Worlds() []World {
	someEndings := []Ending{allEndings[0], allEndings[4], allEndings[5]}
	return []World{
		{Name: "drain", Description: "a list that drains, removes and restarts servers while calls are out", Calls: 2,
			Servers: 2, Attempts: 3, ListChanges: 1, IdlePeriods: 1, LateTimers: 1, Endings: someEndings},
		{Name: "small", Description: "every way in which a set-up may end", Calls: 2, Servers: 2, Attempts: 2, LateTimers: 1,
			Endings: allEndings},
		{Name: "cancel", Description: "callers that leave and release, servers that answer late and twice", Calls: 2,
			Servers: 2, Attempts: 2, CallersCancel: true, CallersRelease: true, StaleMessages: true,
			LateTimers: 1, Endings: someEndings},
		{Name: "list", Description: "a server that the list names only later, or never", Calls: 2, Servers: 2,
			Attempts: 3, UnlistedServers: 1, ListChanges: 1, LateTimers: 1, Endings: someEndings},
		{Name: "cold", Description: "servers that have just started", Calls: 2, Servers: 2, Attempts: 2, ColdServers: true,
			ListChanges: 1, LateTimers: 1, Endings: someEndings},
	}
}

const (
	startTime      = 1_700_000_000 * time.Second
	answerTarget   = 500 * time.Millisecond
	callerTimeout  = 1000 * time.Millisecond // how long a caller waits
	releaseWait    = 200 * time.Millisecond
	drainGrace     = time.Second
	coarseInterval = 100 * time.Millisecond
	answerGrace    = 5 * time.Millisecond // the router's backstop answers this long after a deadline
)

// settings returns the router's settings for this world.
func (w *World) settings() threadglade.Settings {
	s := threadglade.Settings{Proxies: 1, Limits: threadglade.Limits{MaxAttempts: w.Attempts,
		MaxRetryAfter: time.Second, RetryAfter: true, Cancel: true},
		Rules: threadglade.Rules{ReleaseWait: releaseWait, DrainGrace: drainGrace, ColdCapacity: 0.37,
			WarmUpTime: 9 * time.Second, CollapseMultiple: 3, CollapseWindow: 2 * time.Second},
		Callers: threadglade.Callers{MarkRetries: true}}
	class := threadglade.Class{Name: "voice", Aim: answerTarget, Deadline: 2 * callerTimeout,
		HoldingTime: time.Second, Worth: 1, LateFactor: 0.5, Repeat: threadglade.RepeatFree}
	for n := range w.Servers {
		class.Servers = append(class.Servers, n)
	}
	s.Classes = []threadglade.Class{class}
	return s
}

// effectiveRequirements returns the requirements with zero fields filled in.
func (w *World) effectiveRequirements() Requirements {
	required := w.Requirements
	if required.ReleaseWait == 0 {
		required.ReleaseWait = releaseWait
	}
	if required.DrainGrace == 0 {
		required.DrainGrace = drainGrace
	}
	if required.Attempts == 0 {
		required.Attempts = w.Attempts
	}
	if required.AnswerGrace == 0 {
		required.AnswerGrace = answerGrace
	}
	return required
}

// phase is the state of a call as its caller sees it.
type phase uint8

const (
	notArrived phase = iota
	waiting
	established
	rejected // refused or failed
	cancelled
	released // was established, then released by either side
)

// call is the state of a call and of its latest attempt, as its caller and the servers see them.
type call struct {
	phase         phase
	deadline      time.Duration
	sends         int
	pendingAt     int           // one more than the server of the pending attempt; 0: none
	attemptIndex  int           // of the latest attempt
	attemptServer int           // of the latest attempt
	resendAfter   time.Duration // no attempt may be sent before this time
	mayHaveRun    bool          // an attempt may have been processed
}

// caseServer is a case server as the server list describes it.
type caseServer struct {
	state     threadglade.ServerState
	drainedAt time.Duration // when the list first reported it as not up
	started   time.Duration
	listed    bool
}

// model is one state of a world.
type model struct {
	world           *World
	requirements    Requirements
	now             time.Duration
	router          *router.Router
	calls           []call
	servers         []caseServer
	listChangesLeft int // this and the next two: what is left of the world's budgets
	lateTimersLeft  int
	idlePeriodsLeft int
	violation       string // the first violated property, with details
}

// constantSource is a random source that always returns the same value.
type constantSource uint64

func (c constantSource) Uint64() uint64 { return uint64(c) }

// newModel returns the initial state of a world.
func newModel(w *World) (*model, error) {
	m := &model{world: w, requirements: w.effectiveRequirements(), now: startTime, calls: make([]call, w.Calls),
		servers: make([]caseServer, w.Servers), listChangesLeft: w.ListChanges, lateTimersLeft: w.LateTimers,
		idlePeriodsLeft: w.IdlePeriods}
	r, err := router.New(m.config(w.settings()))
	if err != nil {
		return nil, err
	}
	m.router = r
	r.SetRandomSource(constantSource(w.RandomValue))
	for i := range m.servers {
		m.servers[i].listed = i < w.Servers-w.UnlistedServers
		if w.ColdServers {
			m.servers[i].started = startTime - time.Second
		}
	}
	m.updateServers()
	return m, nil
}

func (m *model) config(s threadglade.Settings) router.Config {
	return router.Config{Settings: s, Seed: 1, Clock: func() time.Duration { return m.now }, Trunk: (*trunk)(m)}
}

// clone returns an independent copy of the state, router included.
func (m *model) clone() (*model, error) {
	n := *m
	n.calls, n.servers = append([]call(nil), m.calls...), append([]caseServer(nil), m.servers...)
	var err error
	n.router, err = m.router.Clone(n.config(m.world.settings()),
		func(router.Front) router.Front { return (*front)(&n) })
	return &n, err
}

// reportViolation records a violation unless there is one already.
func (m *model) reportViolation(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

func callID(i int) string   { return fmt.Sprintf("%016x", i+1) }
func serverID(i int) string { return fmt.Sprintf("s%d", i) }

func callIndex(id string) int {
	var n int
	fmt.Sscanf(id, "%x", &n)
	return n - 1
}

func serverIndex(id string) int {
	var n int
	fmt.Sscanf(id, "s%d", &n)
	return n
}

// updateServers sends the current server list to the router.
func (m *model) updateServers() {
	var list threadglade.ServerList
	for i, s := range m.servers {
		if s.listed && s.state != threadglade.Removed {
			list.Servers = append(list.Servers, threadglade.Server{ID: serverID(i), Number: i, State: s.state,
				Started: s.started})
		}
	}
	m.router.UpdateServers(list)
}

// ---- trunk and front of the router ----

// trunk implements router.Trunk for the case servers. Send checks the properties of attempts.
type trunk model

// Send implements router.Trunk.
func (t *trunk) Send(a router.Attempt) {
	m := (*model)(t)
	c, index := &m.calls[callIndex(a.ID)], serverIndex(a.Server)
	s := m.servers[index]
	switch {
	case c.phase != waiting:
		m.reportViolation("one final answer: %s is sent to %s after its answer", a.ID, a.Server)
	case c.pendingAt > 0:
		m.reportViolation("one attempt at once: %s is sent to %s while it is out at %s", a.ID, a.Server,
			serverID(c.pendingAt-1))
	case c.sends >= m.requirements.Attempts:
		m.reportViolation("attempts are bounded: %s is sent for the %dth time", a.ID, c.sends+1)
	case m.now < c.resendAfter:
		m.reportViolation("the wait before a resend: %s is sent %v before it is over", a.ID, c.resendAfter-m.now)
	case !s.listed:
		m.reportViolation("only listed servers: %s is sent to %s", a.ID, a.Server)
	case s.state != threadglade.Up && m.now-s.drainedAt > m.requirements.DrainGrace:
		m.reportViolation("nothing new after a drain: %s is sent to %s %v after word of it", a.ID, a.Server,
			m.now-s.drainedAt)
	}
	c.sends++
	c.pendingAt, c.attemptIndex, c.attemptServer = index+1, a.Index, index
}

// GiveUp implements router.Trunk.
func (t *trunk) GiveUp(a router.Attempt) {
	m := (*model)(t)
	c := &m.calls[callIndex(a.ID)]
	if c.pendingAt == 0 || c.attemptIndex != a.Index {
		m.reportViolation("an attempt is given up once: %s has none out", a.ID)
	}
	c.pendingAt, c.mayHaveRun, c.resendAfter = 0, true, m.now+m.requirements.ReleaseWait
}

// Release implements router.Trunk.
func (t *trunk) Release(a router.Attempt, _ threadglade.Outcome) {
	m := (*model)(t)
	c := &m.calls[callIndex(a.ID)]
	if c.phase != established {
		m.reportViolation("a release reaches the server once: %s does not stand", a.ID)
	}
	c.phase = released
}

// front implements router.Front for the callers.
type front model

// finalAnswer checks the properties of a final answer and returns its call.
func (f *front) finalAnswer(id, how string) *call {
	m := (*model)(f)
	c := &m.calls[callIndex(id)]
	switch {
	case c.phase != waiting:
		m.reportViolation("one final answer: %s is %s as well", id, how)
	case m.now > c.deadline+m.requirements.AnswerGrace:
		m.reportViolation("an answer in time: %s is %s %v after its deadline", id, how, m.now-c.deadline)
	}
	return c
}

// Established implements router.Front.
func (f *front) Established(id string, _ []byte) { f.finalAnswer(id, "answered").phase = established }

// Refused implements router.Front.
func (f *front) Refused(id string, _ time.Duration) {
	c := f.finalAnswer(id, "refused")
	if c.mayHaveRun {
		(*model)(f).reportViolation("what may have run is not told as refused: %s", id)
	}
	if c.pendingAt > 0 {
		(*model)(f).reportViolation("no answer over an attempt: %s is refused while it is out", id)
	}
	c.phase = rejected
}

// Failed implements router.Front.
func (f *front) Failed(id string, _ router.Failure) {
	f.finalAnswer(id, "failed").phase = rejected
}

// Released implements router.Front.
func (f *front) Released(id string, _ threadglade.Outcome) {
	m := (*model)(f)
	c := &m.calls[callIndex(id)]
	if c.phase != established {
		m.reportViolation("a release reaches the caller once: %s does not stand", id)
	}
	c.phase = released
}

// ---- possible events ----

// step is a possible event.
type step struct {
	description string
	apply       func(*model)
}

// nextSteps lists the events that are possible in a state. Calls arrive in order of their index: they are
// interchangeable.
func (m *model) nextSteps() (steps []step) {
	add := func(do func(*model), format string, args ...any) {
		steps = append(steps, step{fmt.Sprintf(format, args...), do})
	}
	if m.finished() {
		return nil
	}
	active := false
	for i := range m.calls {
		c, id := m.calls[i], callID(i)
		switch {
		case c.phase == notArrived:
			if i == 0 || m.calls[i-1].phase != notArrived {
				for _, retry := range []bool{false, true}[:1+i%2] { // only calls with an odd index may be retries
					add(func(m *model) {
						c := &m.calls[i]
						c.phase, c.deadline = waiting, m.now+callerTimeout
						m.router.Arrive((*front)(m), router.Request{ID: id, Class: "voice", Number: "1",
							Deadline: c.deadline, Destination: 0, Retry: retry})
					}, "call %d arrives (retry %v)", i, retry)
				}
			}
			continue
		case c.phase == waiting || c.phase == established:
			active = true
		}
		if c.phase == waiting && m.world.CallersCancel {
			add(func(m *model) {
				m.calls[i].phase = cancelled
				m.router.Cancel((*front)(m), id)
			}, "caller %d leaves", i)
		}
		if c.pendingAt > 0 {
			add(func(m *model) {
				m.calls[i].pendingAt = 0
				m.router.Answered(id, c.attemptIndex, nil)
			}, "s%d answers call %d", c.attemptServer, i)
			for _, e := range m.world.Endings {
				add(func(m *model) {
					c := &m.calls[i]
					c.pendingAt = 0
					if e.Outcome == threadglade.Cut {
						c.resendAfter = m.now + m.requirements.ReleaseWait
					}
					c.mayHaveRun = c.mayHaveRun || e.Outcome == threadglade.Cut
					m.router.Ended(id, c.attemptIndex, e.Outcome, e.Cause)
				}, "s%d ends call %d: outcome %d, cause %d", c.attemptServer, i, e.Outcome, e.Cause)
			}
		}
		if c.phase == established {
			add(func(m *model) {
				m.router.Ended(id, c.attemptIndex, threadglade.Concluded, 0)
			}, "s%d releases call %d", c.attemptServer, i)
			if m.world.CallersRelease {
				add(func(m *model) { m.router.Release(id) }, "caller %d releases", i)
			}
		}
		if m.world.StaleMessages && c.pendingAt > 0 && c.attemptIndex > 0 {
			add(func(m *model) {
				m.router.Ended(id, c.attemptIndex-1, threadglade.Cut, 0)
			}, "s%d ends the attempt of call %d before the present one again", c.attemptServer, i)
		}
		if m.world.StaleMessages && c.sends > 0 && c.pendingAt == 0 {
			add(func(m *model) { m.router.Answered(id, c.attemptIndex, nil) }, "s%d answers call %d again",
				c.attemptServer, i)
			if c.phase != established {
				add(func(m *model) {
					m.router.Ended(id, c.attemptIndex, threadglade.Cut, 0)
				}, "s%d ends call %d again", c.attemptServer, i)
			}
			if c.phase == cancelled || c.phase == rejected || c.phase == released {
				add(func(m *model) {
					m.router.UnmatchedRelease("", id, threadglade.Concluded)
				}, "s%d releases call %d, which does not stand", c.attemptServer, i)
			}
		}
	}
	if m.listChangesLeft > 0 {
		for i := range m.servers {
			for _, newState := range []threadglade.ServerState{threadglade.Up, threadglade.Draining, threadglade.Removed} {
				s := m.servers[i]
				if newState == s.state && newState != threadglade.Up || !s.listed && newState != threadglade.Up {
					continue
				}
				add(func(m *model) {
					s := &m.servers[i]
					if newState != threadglade.Up && s.state == threadglade.Up {
						s.drainedAt = m.now
					}
					if newState == threadglade.Up { // the server has returned or was restarted
						s.started = m.now
					}
					s.state, s.listed = newState, true
					m.listChangesLeft--
					m.updateServers()
				}, "the list has s%d in state %d", i, newState)
			}
		}
	}
	if m.idlePeriodsLeft > 0 && !active {
		add(func(m *model) {
			m.now += 1100 * time.Millisecond
			m.idlePeriodsLeft--
			m.router.Tick()
		}, "1.1 s pass")
	}
	if at, ok := m.router.NextActiveTimer(); ok && active {
		add(func(m *model) {
			m.now = max(m.now, at)
			m.router.Tick()
			// With coarse time, run the timers of the next 100 ms as well, until one has an effect.
			for from, initial := m.now, m.router.Counters(); m.world.CoarseTime && m.violation == "" &&
				m.now < from+coarseInterval; {
				next, ok := m.router.NextActiveTimer()
				current := m.router.Counters()
				if !ok || current.Attempts != initial.Attempts ||
					current.Refused+current.Failed != initial.Refused+initial.Failed || current.Ends != initial.Ends {
					return
				}
				m.now = max(m.now, next)
				m.router.Tick()
				m.checkProperties()
			}
		}, "time goes on to the next timer")
		if m.lateTimersLeft > 0 {
			add(func(m *model) {
				m.now = max(m.now, at) + 3*time.Millisecond
				m.lateTimersLeft--
				m.router.Tick()
			}, "time goes on to the next timer, which is served 3 ms late")
		}
	}
	return steps
}

// finished reports whether no further event can violate a property: every call is over and no late message can
// arrive.
func (m *model) finished() bool {
	for i := range m.calls {
		if c := &m.calls[i]; m.world.StaleMessages || c.pendingAt > 0 || c.phase == notArrived || c.phase == waiting ||
			c.phase == established {
			return false
		}
	}
	return true
}

// checkProperties checks the properties that must hold between two events.
func (m *model) checkProperties() {
	unanswered, anyEstablished, anyOpen := 0, false, false
	for i := range m.calls {
		c := &m.calls[i]
		anyEstablished = anyEstablished || c.phase == established
		anyOpen = anyOpen || c.phase == established || c.pendingAt > 0
		if c.pendingAt > 0 && c.phase != waiting {
			m.reportViolation("no answer over an attempt: %s is answered or has left, and is out at %s", callID(i),
				serverID(c.pendingAt-1))
		}
		if c.phase != waiting {
			continue
		}
		unanswered++
		if m.now > c.deadline+m.requirements.AnswerGrace {
			m.reportViolation("an answer in time: %s has none %v after its deadline", callID(i), m.now-c.deadline)
		}
		if at, ok := m.router.NextActiveTimer(); !ok || at > c.deadline+answerGrace {
			m.reportViolation("nothing is forgotten: %s waits and no timer is set before its deadline", callID(i))
		}
	}
	if n := m.router.Counters(); n.Stopped+n.Overdue+n.Faults > 0 {
		m.reportViolation("the backstop is not needed: the router stopped %d sends, answered %d requests itself "+
			"and caught %d faults", n.Stopped, n.Overdue, n.Faults)
	}
	if reported := m.router.OpenRequests(); reported != unanswered {
		m.reportViolation("tables: %d answers are owed, the router counts %d", unanswered, reported)
	}
	if n := m.router.Counters().Calls; n == 0 && anyEstablished {
		m.reportViolation("a release reaches the caller once: a call stands that the router has forgotten")
	}
	if n := m.router.Counters().Calls; unanswered == 0 && !anyOpen && n != 0 {
		m.reportViolation("tables return to zero: %d calls are held with nothing owed", n)
	}
}

// appendState appends the canonical form of the state to b. States with equal forms behave alike.
func (m *model) appendState(b []byte) []byte {
	if m.finished() {
		return append(b, 0xff)
	}
	for _, c := range m.calls {
		b = append(b, byte(c.phase))
		if !m.world.StaleMessages && c.pendingAt == 0 && c.phase > established {
			continue // the call is over and no late message about it can arrive
		}
		b = append(b, byte(c.sends), byte(c.pendingAt), byte(c.attemptIndex), byte(c.attemptServer))
		mayHaveRun := byte(0)
		if c.mayHaveRun {
			mayHaveRun = 1
		}
		b = append(b, mayHaveRun)
		if c.phase == waiting {
			b = binary.AppendVarint(b, int64(c.deadline-m.now))
			b = binary.AppendVarint(b, int64(max(0, c.resendAfter-m.now)))
		}
	}
	for _, s := range m.servers {
		state := byte(s.state)
		if !s.listed {
			state = 0xff
		}
		b = append(b, state)
		if s.state != threadglade.Up {
			b = binary.AppendVarint(b, int64(min(m.now-s.drainedAt, m.requirements.DrainGrace+1)))
		}
	}
	return m.router.AppendState(append(b, byte(m.listChangesLeft), byte(m.lateTimersLeft), byte(m.idlePeriodsLeft)),
		m.now)
}

// Properties lists the checked properties, one sentence each. The message of a violation begins with the words before
// the colon.
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

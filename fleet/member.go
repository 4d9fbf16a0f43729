package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"threadglade.example/threadglade/fleet/fleetpb"
)

// This file implements a router's side of the lease protocol: it asks the leading keeper for a lease, renews it and
// follows the replicated state. It decides when to ask, which keeper to ask, and from when a granted lease counts.

const (
	// retryInterval is how long the member waits for an answer before it asks another keeper, and the interval at
	// which it asks while it has no lease.
	retryInterval = 300 * time.Millisecond
	// maxTrackedAsks limits the asks whose answers are accepted; an answer to an older one is ignored.
	maxTrackedAsks = 16
	// maxPendingPuts limits the facts that wait for their answers.
	maxPendingPuts = 64
)

// Put is a router's request to write a fact.
type Put struct {
	Key             string
	Value           []byte
	ExpectedVersion uint64
	seq             uint64
	askedAt         time.Duration
	done            func(version uint64)
}

// Member is a router's side of the lease protocol. It is not safe for concurrent use.
type Member struct {
	Settings Settings
	Name     string
	Process  uint64 // random ID of this process
	Address  string // at which other routers reach this one; empty: they can't
	Zone     string
	Machine  *Machine
	// ExtensionPayload returns the lease extension's payload for the next ask; nil: there is no extension.
	ExtensionPayload func() []byte
	// OnExtensionPayload receives the payload of an answer, with the number of the ask and the end of the lease. It is
	// not called for answers to asks from before the member switched to this keeper. nil: there is no extension.
	OnExtensionPayload func(seq uint64, until time.Duration, payload []byte)

	lease          Lease
	holdsLease     bool            // the lease was valid when it was last checked
	links          map[string]Link // links to keepers, by name
	target         string          // the keeper that it asks
	askedAt        map[uint64]time.Duration
	seq            uint64
	lastTarget     string // the keeper that it asked last
	lastTargetSeq  uint64 // seq of the first ask to lastTarget; extension payloads answering earlier asks are dropped
	lastAskAt      time.Duration
	nextAskAt      time.Duration // when the next ask is due
	answerDeadline time.Duration // by when an answer has to arrive; 0: no ask is pending
	pendingPuts    []*Put
	reportedWait   string // the reason for having no lease that was last reported
	hasLeft        bool
	renounced      uint64 // the incarnation that it has given up and that the log has not ended yet; 0: none
	outbound       []Outbound
	notes          []Note
}

// NewMember returns the member of a router that has just started; process is the random ID of its process.
func NewMember(settings Settings, name string, process uint64) *Member {
	return &Member{
		Settings: settings, Name: name, Process: process, Machine: NewMachine(&fleetpb.State{Fleet: settings.Fleet}),
		links: map[string]Link{}, askedAt: map[uint64]time.Duration{},
	}
}

// Lease returns the lease that was last granted, which may have expired: callers check Lease.IsHeld at the moment of
// each action.
func (m *Member) Lease() Lease { return m.lease }

// SetLink sets the link to a keeper. It has to be called when a link has opened or, with 0, when it has closed.
func (m *Member) SetLink(now time.Duration, keeper string, link Link) {
	if link == 0 {
		delete(m.links, keeper)
		if m.target == keeper {
			m.switchTarget("")
			m.nextAskAt = min(m.nextAskAt, now)
		}
		return
	}
	m.links[keeper] = link
	if m.target == "" {
		m.switchTarget(keeper)
		m.nextAskAt = now
	}
}

// switchTarget selects the keeper to ask: the one named to if it is linked, else the next linked one by name.
func (m *Member) switchTarget(to string) {
	if m.links[to] != 0 {
		m.target = to
		return
	}
	names := slices.Sorted(maps.Keys(m.links))
	if len(names) == 0 {
		m.target = ""
		return
	}
	at, _ := slices.BinarySearch(names, m.target+"\x00")
	m.target = names[at%len(names)]
}

// Put requests that a fact is written. done receives its version, or 0 if the write was refused; it is called by
// Receive. Put returns false if too many requests are pending.
func (m *Member) Put(now time.Duration, p *Put, done func(version uint64)) bool {
	if len(m.pendingPuts) >= maxPendingPuts {
		return false
	}
	m.seq++
	p.seq, p.done, p.askedAt = m.seq, done, now
	m.pendingPuts = append(m.pendingPuts, p)
	m.sendPut(p)
	return true
}

func (m *Member) sendPut(p *Put) {
	m.sendAsk(&fleetpb.Ask{
		Seq: p.seq, Process: m.Process, Incarnation: m.lease.Incarnation, Known: ^uint64(0),
		Put: &fleetpb.Put{Key: p.Key, Value: p.Value, Expect: p.ExpectedVersion},
	})
}

func (m *Member) sendAsk(a *fleetpb.Ask) {
	if link := m.links[m.target]; link != 0 {
		m.outbound = append(m.outbound, Outbound{Link: link, Frame: &fleetpb.Frame{What: &fleetpb.Frame_Ask{Ask: a}}})
	}
}

// Leave ends the router's incarnation for good. The router must have stopped acting before. The request is sent once;
// if it is lost, the lease expires.
func (m *Member) Leave(now time.Duration) {
	m.hasLeft = true
	incarnation := m.lease.Incarnation
	m.lease.Until, m.holdsLease = 0, false
	m.seq++
	m.sendAsk(&fleetpb.Ask{
		Seq: m.seq, Process: m.Process, Incarnation: incarnation, Leave: true, Known: ^uint64(0),
	})
}

// Renounce gives up the router's incarnation and asks for a new one as soon as the log has ended it. The router must
// have stopped acting by it before. Renounce returns false if there is no incarnation to give up.
func (m *Member) Renounce(now time.Duration) bool {
	if m.lease.Incarnation == 0 || m.hasLeft {
		return false
	}
	m.renounced = m.lease.Incarnation
	m.lease, m.holdsLease = Lease{}, false
	clear(m.askedAt) // answers to earlier asks don't apply to the next incarnation
	m.answerDeadline, m.nextAskAt = 0, now
	return true
}

// sendRenounce requests the end of the renounced incarnation. It is repeated until the log has ended the incarnation:
// until then, an ask for a lease would be answered with it.
func (m *Member) sendRenounce(now time.Duration) {
	m.seq++
	m.sendAsk(&fleetpb.Ask{
		Seq: m.seq, Process: m.Process, Incarnation: m.renounced, Leave: true, Known: m.Machine.Index,
	})
	m.lastAskAt, m.nextAskAt = now, now+retryInterval
	if m.answerDeadline == 0 {
		m.answerDeadline = now + retryInterval
	}
}

// Tick reports an expired lease and sends the asks that are due. It has to be called every TickInterval, or at the
// times that NextTick returns.
func (m *Member) Tick(now time.Duration) {
	if m.holdsLease && now >= m.lease.Until {
		m.holdsLease = false
		m.notes = append(m.notes, Note{Kind: LeaseExpired, Name: m.Name, Incarnation: m.lease.Incarnation})
	}
	if m.hasLeft {
		return
	}
	if m.answerDeadline != 0 && now >= m.answerDeadline {
		m.switchTarget("")
		m.answerDeadline, m.nextAskAt = 0, now
	}
	for _, p := range m.pendingPuts {
		if now >= p.askedAt+retryInterval {
			p.askedAt = now
			m.sendPut(p)
		}
	}
	if now < m.nextAskAt || m.links[m.target] == 0 {
		return
	}
	if m.renounced != 0 {
		m.sendRenounce(now)
		return
	}
	m.seq++
	m.askedAt[m.seq] = now // the lease counts from before the ask is sent
	delete(m.askedAt, m.seq-maxTrackedAsks)
	if m.lastTarget != m.target {
		m.lastTarget, m.lastTargetSeq = m.target, m.seq
	}
	m.lastAskAt = now
	ask := &fleetpb.Ask{Seq: m.seq, Process: m.Process, Incarnation: m.lease.Incarnation, Known: m.Machine.Index}
	if !m.holdsLease { // keepers use them only to start a new incarnation
		ask.Address, ask.Zone = m.Address, m.Zone
	}
	if m.ExtensionPayload != nil {
		ask.Ride = m.ExtensionPayload()
	}
	m.sendAsk(ask)
	if m.answerDeadline == 0 {
		m.answerDeadline = now + retryInterval
	}
	m.nextAskAt = now + m.Settings.RenewInterval
	if !m.holdsLease {
		m.nextAskAt = now + retryInterval
	}
}

// AskWithin moves the next ask forward so that it is due no later than interval after the last one.
func (m *Member) AskWithin(interval time.Duration) {
	m.nextAskAt = min(m.nextAskAt, m.lastAskAt+interval)
}

// NextTick returns the time at which the next Tick has something to do, unless a frame is received or another method
// is called before.
func (m *Member) NextTick() time.Duration {
	at := time.Duration(math.MaxInt64)
	if m.holdsLease {
		at = m.lease.Until
	}
	if m.hasLeft {
		return at
	}
	if m.links[m.target] != 0 {
		at = min(at, m.nextAskAt)
	}
	if m.answerDeadline != 0 {
		at = min(at, m.answerDeadline)
	}
	for _, p := range m.pendingPuts {
		at = min(at, p.askedAt+retryInterval)
	}
	return at
}

// Receive handles a frame from a keeper.
func (m *Member) Receive(now time.Duration, keeper string, f *fleetpb.Frame) {
	switch {
	case f.GetAnswer() != nil:
		m.receiveAnswer(now, keeper, f.GetAnswer())
	case f.GetWord() != nil:
		m.receiveWord(f.GetWord())
	}
}

// receiveAnswer handles the answer to a put, a refusal, or the grant of a lease.
func (m *Member) receiveAnswer(now time.Duration, keeper string, a *fleetpb.Answer) {
	if a.Why == "put" {
		for i, p := range m.pendingPuts {
			if p.seq == a.Seq {
				m.pendingPuts = slices.Delete(m.pendingPuts, i, i+1)
				p.done(a.Result)
				break
			}
		}
		return
	}
	asked, known := m.askedAt[a.Seq]
	if !known || m.hasLeft {
		return
	}
	delete(m.askedAt, a.Seq)
	if a.Incarnation == 0 {
		if a.Leader != "" && a.Leader != keeper && m.links[a.Leader] != 0 {
			m.switchTarget(a.Leader)
			m.answerDeadline, m.nextAskAt = 0, now
		} else if a.Leader == keeper {
			m.answerDeadline = 0
		}
		if a.Leader == keeper && a.Why == "over" && m.lease.Incarnation != 0 {
			m.notes = append(m.notes, Note{Kind: IncarnationEnded, Name: m.Name, Incarnation: m.lease.Incarnation})
			m.lease, m.holdsLease = Lease{}, false
			clear(m.askedAt) // answers to earlier asks don't apply to the next incarnation
			m.nextAskAt = now
		}
		if a.Leader == keeper && a.Why != "over" && m.reportedWait == "" {
			m.reportedWait = a.Why
			m.notes = append(m.notes, Note{Kind: NameInUse, Name: m.Name, Text: a.Why})
		}
		return
	}
	if m.lease.Incarnation != 0 && a.Incarnation != m.lease.Incarnation {
		return
	}
	m.answerDeadline, m.target, m.reportedWait = 0, keeper, ""
	until := asked + m.Settings.LeaseDuration
	if mutant == "lease-from-answer" {
		until = now + m.Settings.LeaseDuration
	}
	previous := m.lease
	m.lease = Lease{a.Incarnation, max(until, previous.Until)}
	if m.OnExtensionPayload != nil && keeper == m.lastTarget && a.Seq >= m.lastTargetSeq {
		m.OnExtensionPayload(a.Seq, m.lease.Until, a.Ride)
	}
	if m.holdsLease || now >= m.lease.Until {
		return
	}
	m.holdsLease = true
	m.nextAskAt = min(m.nextAskAt, asked+m.Settings.RenewInterval)
	kind := LeaseGranted
	if previous.Incarnation == a.Incarnation {
		kind = LeaseRegained
	}
	m.notes = append(m.notes, Note{Kind: kind, Name: m.Name, Incarnation: a.Incarnation})
}

// receiveWord applies a state or changes of the log. Changes that would leave a gap, and those that are already known,
// have no effect: the next ask tells the keeper the index up to which this member knows the log.
func (m *Member) receiveWord(w *fleetpb.Word) {
	defer func() {
		if own := m.Machine.Member(m.Name); m.renounced != 0 &&
			(own.GetIncarnation() > m.renounced || own.GetIncarnation() == m.renounced && !own.Live) {
			m.renounced, m.answerDeadline, m.nextAskAt = 0, 0, 0
		}
	}()
	switch {
	case w.State != nil && w.Index > m.Machine.Index:
		previous := m.Machine
		m.Machine = NewMachine(w.State)
		for _, member := range m.Machine.Members() {
			m.noteMemberChange(previous.Member(member.Name), member)
		}
		for _, f := range w.State.Facts {
			if previous.Fact(f.Key).GetVersion() != f.Version {
				m.notes = append(m.notes, factNote(f))
			}
		}
	case w.State == nil && w.Base <= m.Machine.Index:
		known := m.Machine.Index // one entry may have changed several members
		for _, c := range w.Changes {
			if c.Index <= known {
				continue
			}
			var before *fleetpb.Member
			if c.Member != nil {
				before = m.Machine.Member(c.Member.Name)
			}
			m.Machine.Index = c.Index
			m.Machine.recordChange(c.Member, c.Fact)
			if c.Member != nil {
				m.noteMemberChange(before, c.Member)
			}
			if c.Fact != nil {
				m.notes = append(m.notes, factNote(c.Fact))
			}
		}
		m.Machine.Index = max(m.Machine.Index, w.Index)
	}
}

// factNote returns the note of a changed fact.
func factNote(f *fleetpb.Fact) Note {
	return Note{Kind: FactWritten, Name: f.Key, Number: f.Version, Value: f.Value, Incarnation: f.Incarnation}
}

// noteMemberChange adds a note about the difference between two states of a member; before may be nil. The end of this
// router's own incarnation also ends its lease.
func (m *Member) noteMemberChange(before, after *fleetpb.Member) {
	if before.GetIncarnation() == after.Incarnation && before.GetLive() == after.Live {
		if before.GetSuccessor() != after.Successor ||
			before.GetSuccessorIncarnation() != after.SuccessorIncarnation {
			m.notes = append(m.notes, Note{
				Kind: SuccessorChanged, Name: after.Name, Incarnation: after.Incarnation, Text: after.Successor,
			})
		}
		return
	}
	if after.Name == m.Name && after.Process == m.Process {
		if !after.Live && after.Incarnation == m.lease.Incarnation && !m.hasLeft {
			m.notes = append(m.notes, Note{Kind: IncarnationEnded, Name: m.Name, Incarnation: after.Incarnation})
			m.lease, m.holdsLease = Lease{}, false
			clear(m.askedAt)
			m.nextAskAt = 0
		}
		return
	}
	n := Note{Kind: MemberBegan, Name: after.Name, Incarnation: after.Incarnation}
	if !after.Live {
		n.Text = after.Successor
		if n.Kind = MemberLost; after.Left {
			n.Kind = MemberLeft
		}
	}
	m.notes = append(m.notes, n)
}

// Output returns the frames to send and the notes to deliver, and forgets them.
func (m *Member) Output() (sends []Outbound, notes []Note) {
	sends, notes, m.outbound, m.notes = m.outbound, m.notes, nil, nil
	return sends, notes
}

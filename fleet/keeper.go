package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet/fleetpb"
)

// Keepers agree on the log: this file owns one keeper's part of it, which is raft's, and, while it leads, the leases. Raft's ticks are absolute
// times here; when to stand for election is drawn by the keeper itself, so that a seed decides it.

const (
	// TickEvery is the time between two looks at the clock, and of raft's tick.
	TickEvery = 50 * time.Millisecond
	// heartbeat and election are in ticks: a leader that is not heard of for election to twice as long is replaced.
	heartbeat = 2
	election  = 12
	// catchUp ticks at most are made up for after a pause: time went by, but nobody's messages were heard in it.
	catchUp = 2
	// asksMost asks wait for one round, and entriesMost bytes of proposals for the log.
	asksMost    = 8192
	entriesMost = 8 << 20
	// compactAt entries are kept before the older ones are dropped, keepBack of them for keepers that were away.
	compactAt, keepBack = 4096, 1024
	messageMost         = 512 << 10
)

// Stored is what a keeper's folder holds.
type Stored struct {
	Identity *fleetpb.Identity
	Snapshot *raftpb.Snapshot
	Hard     *raftpb.HardState
	Entries  []*raftpb.Entry // after the snapshot
}

// Write adds to what a folder holds what a keeper wants stored. The error names the entry that cannot follow.
func (s *Stored) Write(o *Store) error {
	if o.Snapshot != nil {
		s.Snapshot, s.Entries = o.Snapshot, nil
	}
	for _, e := range o.Entries {
		if s.Snapshot == nil {
			return errors.New("an entry stands before any snapshot")
		}
		base := s.Snapshot.Metadata.GetIndex()
		at := e.GetIndex() - base - 1
		if e.GetIndex() <= base || at > uint64(len(s.Entries)) {
			return fmt.Errorf("entry %d stands where %d is the most", e.GetIndex(), base+uint64(len(s.Entries))+1)
		}
		s.Entries = append(s.Entries[:at:at], e)
	}
	if !raft.IsEmptyHardState(o.Hard) {
		s.Hard = o.Hard
	}
	return nil
}

// Found draws numbers for the keepers of a new fleet and returns what each one's folder begins with, in the order of the terms.
func Found(t Terms, random *rand.Rand) ([]Stored, error) {
	state := &fleetpb.State{Fleet: t.Fleet, Index: 1}
	conf := &raftpb.ConfState{}
	for _, name := range t.Keepers {
		number := random.Uint64()>>1 + 1
		state.Voters = append(state.Voters, &fleetpb.Voter{Name: name, Number: number})
		conf.Voters = append(conf.Voters, number)
	}
	data, err := proto.Marshal(state)
	if err != nil {
		return nil, err
	}
	var list []Stored
	for _, v := range state.Voters {
		list = append(list, Stored{Identity: &fleetpb.Identity{Fleet: t.Fleet, Name: v.Name, Number: v.Number},
			Snapshot: &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(uint64(1))}},
			Hard:     &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}})
	}
	return list, nil
}

// grant is a live incarnation as the leading keeper counts its lease.
type grant struct {
	over   time.Duration // when it has run out on any clock
	ending bool          // its end, or what follows it, is proposed: it is not renewed any more
}

// ask is a member's, waiting for a round.
type ask struct {
	link Link
	name string
	*fleetpb.Ask
}

// round is asks that one confirmation of the term answers.
type round struct {
	number uint64
	asks   []ask
	index  uint64 // to be applied first; 0: not confirmed yet
}

// feed is a link that hears words.
type feed struct {
	name  string
	sent  uint64
	wants bool
}

// proposal of a member that waits for its entry.
type proposal struct {
	link Link
	seq  uint64
}

// Rider is what rides on leases: it answers a member's words in the same moment as its lease is renewed, and only while the term is confirmed.
type Rider interface {
	Office(now time.Duration) // this keeper leads from now on
	Resign()
	Renewed(now time.Duration, name string, incarnation, process, seq uint64, ride []byte) []byte
	Over(now time.Duration, name string, incarnation uint64) // its lease is certainly over
	Applied(now time.Duration, e *fleetpb.Entry)             // an entry has changed the machine
	Puts() []*fleetpb.Put                                    // facts that the leading keeper has to write
	Report() []byte
}

// OwnPrefix begins the keys of facts that leading keepers write for their riders, and nobody else may.
const OwnPrefix = "keeper/"

// Keeper is one keeper. Its methods are for one goroutine.
type Keeper struct {
	Terms   Terms
	Machine *Machine
	Rider   Rider // nil: none
	self    *fleetpb.Identity
	voters  map[string]uint64
	names   map[uint64]string
	random  *rand.Rand
	rn      *raft.RawNode
	store   *raft.MemoryStorage
	conf    *raftpb.ConfState
	ready   *raft.Ready
	halted  bool

	ticked  time.Duration
	stand   time.Duration // when it stands for election, unless it hears from a leader
	leads   bool          // raft says so
	office  uint64        // the term that it holds office in: its own first entry is applied; 0: none
	grants  map[string]*grant
	waiting []ask
	rounds  []*round
	rounded uint64
	feeds   map[Link]*feed
	props   map[uint64]proposal
	sends   []Send
	notes   []Note
}

// quiet is raft's logger: what matters is told by notes.
var quiet = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// NewKeeper goes on from what its folder holds.
func NewKeeper(t Terms, s Stored, random *rand.Rand, now time.Duration) (*Keeper, error) {
	if s.Identity == nil || s.Snapshot == nil || s.Hard == nil {
		return nil, errors.New("the folder is not one of a founded keeper")
	}
	if s.Identity.Fleet != t.Fleet {
		return nil, fmt.Errorf("the folder is one of fleet %q, the settings say %q", s.Identity.Fleet, t.Fleet)
	}
	state := &fleetpb.State{}
	if err := proto.Unmarshal(s.Snapshot.Data, state); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	k := &Keeper{Terms: t, Machine: NewMachine(state), self: s.Identity, random: random, store: raft.NewMemoryStorage(), conf: s.Snapshot.Metadata.ConfState,
		voters: map[string]uint64{}, names: map[uint64]string{}, ticked: now, feeds: map[Link]*feed{}, props: map[uint64]proposal{}, rounded: random.Uint64() >> 1}
	for _, v := range state.Voters {
		k.voters[v.Name], k.names[v.Number] = v.Number, v.Name
	}
	if k.names[s.Identity.Number] != s.Identity.Name {
		return nil, fmt.Errorf("keeper %q is not of this fleet's founding", s.Identity.Name)
	}
	if !slices.Contains(t.Keepers, s.Identity.Name) {
		return nil, fmt.Errorf("keeper %q is not in the settings", s.Identity.Name)
	}
	if err := errors.Join(k.store.ApplySnapshot(s.Snapshot), k.store.SetHardState(s.Hard), k.store.Append(s.Entries)); err != nil {
		return nil, err
	}
	var err error
	k.rn, err = raft.NewRawNode(&raft.Config{ID: s.Identity.Number, ElectionTick: election, HeartbeatTick: heartbeat, Storage: k.store, Applied: state.Index,
		MaxSizePerMsg: messageMost, MaxCommittedSizePerReady: messageMost, MaxUncommittedEntriesSize: entriesMost, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: quiet})
	k.patience(now)
	return k, err
}

// patience draws anew when it stands for election.
func (k *Keeper) patience(now time.Duration) {
	k.stand = now + election*TickEvery + time.Duration(k.random.Int64N(int64(election*TickEvery)))
}

// Voters are the keepers' numbers by the founding.
func (k *Keeper) Voters() map[string]uint64 { return k.voters }

// Name is the keeper's.
func (k *Keeper) Name() string { return k.self.Name }

// Leads says whether it is in office, and in which term.
func (k *Keeper) Leads() (uint64, bool) { return k.office, k.office != 0 }

// Report tells an operator how it stands.
func (k *Keeper) Report(seq uint64) *fleetpb.Report {
	st := k.rn.BasicStatus()
	s := k.Machine.State()
	s.Done = nil
	var ride []byte
	if k.Rider != nil {
		ride = k.Rider.Report()
	}
	return &fleetpb.Report{Ride: ride, Seq: seq, Name: k.self.Name, Leader: k.names[st.Lead], Term: st.GetTerm(), Commit: st.GetCommit(), Applied: k.Machine.Index, Halted: k.halted, State: s}
}

// Tick is due every TickEvery.
func (k *Keeper) Tick(now time.Duration) {
	if k.halted {
		return
	}
	n := int((now - k.ticked) / TickEvery)
	if n > 0 {
		k.ticked += time.Duration(n) * TickEvery
	}
	for range min(n, catchUp) {
		if k.leads {
			k.rn.Tick()
		} else {
			k.rn.TickQuiesced()
		}
	}
	if n > catchUp+election { // it was stopped: what it would have heard meanwhile is unknown
		k.patience(now)
	}
	if !k.leads && now >= k.stand {
		k.rn.Campaign()
		k.patience(now)
	}
	if k.office != 0 {
		k.lapse(now)
		k.round(now)
	}
}

// lapse ends incarnations whose leases have run out.
func (k *Keeper) lapse(now time.Duration) {
	var over []string
	for name, g := range k.grants {
		if !g.ending && now >= g.over && k.Machine.Member(name).GetLive() {
			over = append(over, name)
		}
	}
	slices.Sort(over)
	for _, name := range over {
		end := &fleetpb.End{Name: name, Incarnation: k.Machine.Member(name).Incarnation}
		k.grants[name].ending = k.propose(&fleetpb.Entry{Id: k.random.Uint64(), What: &fleetpb.Entry_End{End: end}}) == nil
	}
}

func (k *Keeper) propose(e *fleetpb.Entry) error {
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	return k.rn.Propose(b)
}

// round has the asks that wait confirmed by a majority: that this keeper leads now.
func (k *Keeper) round(now time.Duration) {
	if len(k.waiting) == 0 || len(k.rounds) > 64 {
		return
	}
	k.rounded++
	r := &round{number: k.rounded, asks: k.waiting}
	k.waiting = nil
	if mutant == "no-quorum" {
		r.index = 1
		k.rounds = append(k.rounds, r)
		k.answer(now)
		return
	}
	k.rounds = append(k.rounds, r)
	k.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, r.number))
}

// Hear takes a keeper's message to another. Who sent it has been checked as the link opened.
func (k *Keeper) Hear(now time.Duration, from string, b []byte) error {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		return fmt.Errorf("a message of keeper %s: %w", from, err)
	}
	if m.GetFrom() != k.voters[from] || m.GetTo() != k.self.Number || raft.IsLocalMsg(m.GetType()) || m.GetType() == raftpb.MessageType_MsgProp {
		return fmt.Errorf("a message of keeper %s that is not its own to send", from)
	}
	if k.halted {
		return nil
	}
	if term := k.rn.BasicStatus().GetTerm(); m.GetTerm() >= term {
		switch m.GetType() {
		case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
			k.patience(now)
		}
	}
	return k.rn.Step(m)
}

// Ask takes a member's ask that came on a link.
func (k *Keeper) Ask(now time.Duration, link Link, name string, a *fleetpb.Ask) {
	if k.halted {
		return
	}
	if k.office == 0 {
		k.reply(link, &fleetpb.Answer{Seq: a.Seq, Leader: k.names[k.rn.BasicStatus().Lead], Why: "this keeper does not lead"})
		return
	}
	if a.Known != ^uint64(0) {
		f := k.feeds[link]
		if f == nil {
			f = &feed{name: name, wants: true}
			k.feeds[link] = f
		}
		f.sent = a.Known // what was lost on the way goes out again
		k.feed(link, f)
	}
	if p := a.Put; p != nil {
		p.Name, p.Incarnation = name, a.Incarnation
		if strings.HasPrefix(p.Key, OwnPrefix) {
			k.reply(link, &fleetpb.Answer{Seq: a.Seq, Why: "put"})
			return
		}
		k.put(link, a.Seq, a.Process, p)
		return
	}
	if len(k.waiting) < asksMost {
		k.waiting = append(k.waiting, ask{link, name, a})
	}
}

// put proposes a member's fact; process and seq make its number, so that one asked twice counts once.
func (k *Keeper) put(link Link, seq, process uint64, p *fleetpb.Put) {
	id := process ^ seq*0x9e3779b97f4a7c15
	if result, known := k.Machine.Result(id); known {
		k.reply(link, &fleetpb.Answer{Seq: seq, Result: result, Why: "put"})
		return
	}
	if len(k.props) >= asksMost || k.propose(&fleetpb.Entry{Id: id, What: &fleetpb.Entry_Put{Put: p}}) != nil {
		return // the member asks again
	}
	k.props[id] = proposal{link, seq}
}

func (k *Keeper) reply(link Link, a *fleetpb.Answer) {
	k.sends = append(k.sends, Send{Link: link, Frame: &fleetpb.Frame{What: &fleetpb.Frame_Answer{Answer: a}}})
}

// feed sends a link what it has not heard.
func (k *Keeper) feed(link Link, f *feed) {
	if w := k.Machine.Since(f.sent); w != nil {
		f.sent = w.Index
		k.sends = append(k.sends, Send{Link: link, Frame: &fleetpb.Frame{What: &fleetpb.Frame_Word{Word: w}}})
	}
}

// Gone is told that a link has ended.
func (k *Keeper) Gone(link Link) { delete(k.feeds, link) }

// Unreachable is told that messages to another keeper do not go out.
func (k *Keeper) Unreachable(name string) {
	if !k.halted {
		k.rn.ReportUnreachable(k.voters[name])
		k.rn.ReportSnapshot(k.voters[name], raft.SnapshotFailure)
	}
}

// Halt stops it for good: its disk has failed. It says nothing any more, neither vote nor answer.
func (k *Keeper) Halt(why error) {
	if mutant == "deaf-to-disk" {
		return
	}
	k.halted, k.office, k.leads = true, 0, false
	k.sends = nil
	k.notes = append(k.notes, Note{Kind: Halted, Name: k.self.Name, Text: why.Error()})
}

// Output is what a keeper wants done, in this order: written down and synced, sent, told. Then Done is called; or Halt, if it could not be written.
type Output struct {
	Store *Store // nil: nothing
	Send  []Send
	Notes []Note
}

// Store is what has to last before anything is sent.
type Store struct {
	Snapshot *raftpb.Snapshot // nil: none
	Entries  []*raftpb.Entry  // replace those of their indexes and all after
	Hard     *raftpb.HardState
	Sync     bool // it has to outlast a crash of the machine before anything is sent; else only commits have moved on
}

// Output returns what is to be done; ok is false if there is nothing.
func (k *Keeper) Output() (o Output, ok bool) {
	if !k.halted && k.rn.HasReady() {
		rd := k.rn.Ready()
		k.ready = &rd
		s := &Store{Entries: rd.Entries, Hard: rd.HardState, Sync: rd.MustSync || !raft.IsEmptySnap(rd.Snapshot)}
		if !raft.IsEmptySnap(rd.Snapshot) {
			s.Snapshot = rd.Snapshot
		}
		if s.Snapshot != nil || len(s.Entries) > 0 || !raft.IsEmptyHardState(s.Hard) {
			o.Store = s
		}
		for _, m := range rd.Messages {
			b, err := proto.Marshal(m)
			if err != nil {
				continue
			}
			o.Send = append(o.Send, Send{Voter: m.GetTo(), Frame: &fleetpb.Frame{What: &fleetpb.Frame_Raft{Raft: b}}})
		}
	}
	o.Send = append(o.Send, k.sends...)
	o.Notes, k.sends, k.notes = k.notes, nil, nil
	return o, k.ready != nil || len(o.Send) > 0 || len(o.Notes) > 0
}

// Done follows each Output whose Store lasts now: entries that were agreed on are applied.
func (k *Keeper) Done(now time.Duration) {
	rd := k.ready
	if rd == nil || k.halted {
		k.ready = nil
		return
	}
	k.ready = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		k.store.ApplySnapshot(rd.Snapshot)
		state := &fleetpb.State{}
		if err := proto.Unmarshal(rd.Snapshot.Data, state); err != nil {
			k.Halt(fmt.Errorf("snapshot of the leading keeper: %w", err))
			return
		}
		k.Machine, k.conf = NewMachine(state), rd.Snapshot.Metadata.ConfState
	}
	k.store.Append(rd.Entries)
	if !raft.IsEmptyHardState(rd.HardState) {
		k.store.SetHardState(rd.HardState)
	}
	if rd.SoftState != nil {
		was := k.leads
		k.leads = rd.RaftState == raft.StateLeader
		if was && !k.leads {
			k.resign(now)
		}
	}
	term := k.rn.BasicStatus().GetTerm()
	if k.office != 0 && k.office != term {
		k.resign(now)
	}
	for _, e := range rd.CommittedEntries {
		k.apply(now, e)
		if k.leads && k.office == 0 && e.GetTerm() == term {
			k.takeOffice(now, term)
		}
	}
	if len(rd.CommittedEntries) > 0 || !raft.IsEmptySnap(rd.Snapshot) {
		for _, link := range slices.Sorted(maps.Keys(k.feeds)) { // all that was agreed on together goes out in one word
			k.feed(link, k.feeds[link])
		}
	}
	for _, rs := range rd.ReadStates {
		if len(rs.RequestCtx) == 8 {
			for _, r := range k.rounds {
				if r.number <= binary.BigEndian.Uint64(rs.RequestCtx) && r.index == 0 {
					r.index = max(rs.Index, 1)
				}
			}
		}
	}
	k.answer(now)
	k.rn.Advance(*rd)
	k.compact()
}

// takeOffice counts all leases anew: who granted them, and when, is not known to this keeper, but it was before now.
func (k *Keeper) takeOffice(now time.Duration, term uint64) {
	k.office, k.grants = term, map[string]*grant{}
	for _, m := range k.Machine.Members() {
		if m.Live {
			k.grants[m.Name] = &grant{over: now + k.Terms.Wait()}
			if mutant == "forget-leases" {
				k.grants[m.Name].over = now
			}
		}
	}
	if k.Rider != nil {
		k.Rider.Office(now)
	}
	k.notes = append(k.notes, Note{Kind: Leads, Name: k.self.Name, Number: term})
}

func (k *Keeper) resign(now time.Duration) {
	if k.office != 0 {
		k.notes = append(k.notes, Note{Kind: Follows, Name: k.self.Name, Number: k.office})
	}
	if k.office != 0 && k.Rider != nil {
		k.Rider.Resign()
	}
	k.office, k.grants, k.waiting, k.rounds = 0, nil, nil, nil
	clear(k.props)
	k.patience(now)
}

// apply takes an agreed entry.
func (k *Keeper) apply(now time.Duration, e *raftpb.Entry) {
	if e.GetType() != raftpb.EntryType_EntryNormal || len(e.Data) == 0 {
		k.Machine.Apply(e.GetIndex(), nil)
		return
	}
	entry := &fleetpb.Entry{}
	if proto.Unmarshal(e.Data, entry) != nil {
		k.Machine.Apply(e.GetIndex(), nil) // the same on every keeper: it changes nothing
		return
	}
	was := uint64(0)
	if b := entry.GetBegin(); b != nil {
		if m := k.Machine.Member(b.Name); m.GetLive() {
			was = m.Incarnation
		}
	}
	result := k.Machine.Apply(e.GetIndex(), entry)
	if k.Rider != nil && result != 0 {
		if k.office != 0 && was != 0 && was != result {
			k.Rider.Over(now, entry.GetBegin().Name, was)
		}
		if end := entry.GetEnd(); k.office != 0 && end != nil {
			k.Rider.Over(now, end.Name, end.Incarnation)
		}
		k.Rider.Applied(now, entry)
	}
	if p, mine := k.props[entry.Id]; mine {
		delete(k.props, entry.Id)
		k.reply(p.link, &fleetpb.Answer{Seq: p.seq, Result: result, Why: "put"})
	}
	if k.office != 0 {
		switch {
		case entry.GetBegin() != nil && result != 0:
			k.grants[entry.GetBegin().Name] = &grant{over: now + k.Terms.Wait()}
		case entry.GetBegin() != nil:
			if g := k.grants[entry.GetBegin().Name]; g != nil {
				g.ending = false
			}
		case entry.GetEnd() != nil && result != 0:
			delete(k.grants, entry.GetEnd().Name)
		}
	}
}

// writeFacts proposes what the rider wants in the log.
func (k *Keeper) writeFacts() {
	for _, p := range k.Rider.Puts() {
		k.propose(&fleetpb.Entry{Id: k.random.Uint64(), What: &fleetpb.Entry_Put{Put: p}})
	}
}

// answer grants what rounds have confirmed and the log has caught up with.
func (k *Keeper) answer(now time.Duration) {
	for len(k.rounds) > 0 && k.rounds[0].index != 0 && k.Machine.Index >= k.rounds[0].index {
		asks := k.rounds[0].asks
		k.rounds = k.rounds[1:]
		for _, a := range asks {
			k.decide(now, a)
		}
	}
}

// decide answers one ask: the term is confirmed, and was after the ask came.
func (k *Keeper) decide(now time.Duration, a ask) {
	m, g := k.Machine.Member(a.name), k.grants[a.name]
	mine := m.GetLive() && m.Process == a.Process && g != nil && !g.ending
	switch {
	case a.Leave:
		if mine && m.Incarnation == a.Ask.Incarnation {
			g.ending = k.propose(&fleetpb.Entry{Id: k.random.Uint64(), What: &fleetpb.Entry_End{End: &fleetpb.End{Name: a.name, Incarnation: m.Incarnation, Left: true}}}) == nil
		}
	case mine && (a.Ask.Incarnation == 0 || a.Ask.Incarnation == m.Incarnation):
		g.over = max(g.over, now+k.Terms.Wait())
		answer := &fleetpb.Answer{Seq: a.Seq, Incarnation: m.Incarnation, Leader: k.self.Name}
		if k.Rider != nil {
			answer.Ride = k.Rider.Renewed(now, a.name, m.Incarnation, a.Process, a.Seq, a.Ride)
			k.writeFacts()
		}
		k.reply(a.link, answer)
	case a.Ask.Incarnation != 0:
		k.reply(a.link, &fleetpb.Answer{Seq: a.Seq, Leader: k.self.Name, Why: "over"})
	case m.GetLive() && g != nil && now < g.over && mutant != "eager-begin":
		k.reply(a.link, &fleetpb.Answer{Seq: a.Seq, Leader: k.self.Name, Why: fmt.Sprintf("incarnation %d of %s has its lease for %v yet", m.Incarnation, a.name, (g.over - now).Round(time.Millisecond))})
	case g == nil || !g.ending || mutant == "eager-begin":
		if k.propose(&fleetpb.Entry{Id: k.random.Uint64(), What: &fleetpb.Entry_Begin{Begin: &fleetpb.Begin{Name: a.name, Process: a.Process, After: m.GetIncarnation(), Address: a.Address, Zone: a.Zone}}}) == nil {
			if g == nil {
				g = &grant{}
				k.grants[a.name] = g
			}
			g.ending = true
		}
	}
}

// compact drops entries that everybody can do without.
func (k *Keeper) compact() {
	first, _ := k.store.FirstIndex()
	if k.Machine.Index < first+compactAt {
		return
	}
	if snap, err := k.snapshot(); err == nil {
		k.store.CreateSnapshot(snap.Metadata.GetIndex(), k.conf, snap.Data)
		k.store.Compact(k.Machine.Index - keepBack)
	}
}

func (k *Keeper) snapshot() (*raftpb.Snapshot, error) {
	data, err := proto.Marshal(k.Machine.State())
	if err != nil {
		return nil, err
	}
	term, err := k.store.Term(k.Machine.Index)
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{ConfState: k.conf, Index: new(k.Machine.Index), Term: new(term)}}, err
}

// Checkpoint is everything that its folder has to hold from here on, for a new file of the log.
func (k *Keeper) Checkpoint() (Stored, error) {
	snap, err := k.snapshot()
	if err != nil {
		return Stored{}, err
	}
	s := Stored{Identity: k.self, Snapshot: snap}
	s.Hard, _, err = k.store.InitialState()
	if err != nil {
		return s, err
	}
	last, err := k.store.LastIndex()
	if err == nil && last > k.Machine.Index {
		s.Entries, err = k.store.Entries(k.Machine.Index+1, last+1, 1<<62)
	}
	return s, err
}

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

// This file implements one keeper: its raft node and, while it is the leader, the leases. Raft ticks are derived from
// absolute times. The keeper draws its election timeouts itself, from the seeded source it is given, so that a seed
// reproduces a run.

const (
	// TickInterval is the interval of calls of Tick, and the length of a raft tick.
	TickInterval = 50 * time.Millisecond
	// heartbeatTicks and electionTicks are raft's intervals. A keeper stands for election when it has received nothing
	// from a leader for a random time between electionTicks and twice as many.
	heartbeatTicks = 2
	electionTicks  = 12
	// maxCatchUpTicks limits the ticks that are made up for after a pause of the process. No messages from other
	// keepers were processed during the pause, so more ticks could time raft out although such messages are waiting to
	// be read.
	maxCatchUpTicks = 2
	// maxWaitingAsks limits the asks that wait for one confirmation round, and the puts that wait for their entries.
	maxWaitingAsks = 8192
	// maxUncommittedBytes limits proposals that are not yet committed.
	maxUncommittedBytes = 8 << 20
	// compactThreshold is the number of entries at which the log is compacted; the last retainedEntries applied ones
	// stay for keepers that were disconnected.
	compactThreshold, retainedEntries = 4096, 1024
	// maxRaftMessageBytes limits the entries of one raft message, and the committed entries applied at a time.
	maxRaftMessageBytes = 512 << 10
)

// Stored is the content of a keeper's directory.
type Stored struct {
	Identity  *fleetpb.Identity
	Snapshot  *raftpb.Snapshot
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry // after the snapshot
}

// Apply adds an update to the content as the storage would. It fails if an entry precedes the first snapshot or would
// leave a gap.
func (s *Stored) Apply(update *StoreUpdate) error {
	if update.Snapshot != nil {
		s.Snapshot, s.Entries = update.Snapshot, nil
	}
	for _, e := range update.Entries {
		if s.Snapshot == nil {
			return errors.New("an entry precedes the first snapshot")
		}
		base := s.Snapshot.Metadata.GetIndex()
		position := e.GetIndex() - base - 1
		if e.GetIndex() <= base || position > uint64(len(s.Entries)) {
			return fmt.Errorf("entry %d leaves a gap: the next index is at most %d",
				e.GetIndex(), base+uint64(len(s.Entries))+1)
		}
		s.Entries = append(s.Entries[:position:position], e)
	}
	if !raft.IsEmptyHardState(update.HardState) {
		s.HardState = update.HardState
	}
	return nil
}

// Bootstrap draws raft IDs for the keepers of a new fleet and returns the initial content of each one's directory, in
// the order of the settings. It is called once per fleet: a second call makes a different fleet.
func Bootstrap(settings Settings, random *rand.Rand) ([]Stored, error) {
	state := &fleetpb.State{Fleet: settings.Fleet, Index: 1}
	conf := &raftpb.ConfState{}
	for _, name := range settings.Keepers {
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
		list = append(list, Stored{
			Identity: &fleetpb.Identity{Fleet: settings.Fleet, Name: v.Name, Number: v.Number},
			Snapshot: &raftpb.Snapshot{
				Data:     data,
				Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(uint64(1))},
			},
			HardState: &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))},
		})
	}
	return list, nil
}

// leaseGrant is the leader's record of a live incarnation's lease.
type leaseGrant struct {
	expiresAt time.Duration // when the lease has expired on any clock
	ending    bool          // its end or the name's next incarnation is proposed: it is no longer renewed
}

// waitingAsk is a member's ask that waits for a confirmation round.
type waitingAsk struct {
	link Link
	name string
	*fleetpb.Ask
}

// confirmRound is a batch of asks that are answered once raft's read index has confirmed that this keeper still leads.
type confirmRound struct {
	number    uint64
	asks      []waitingAsk
	readIndex uint64 // has to be applied before the asks are answered; 0: not confirmed yet
}

// subscription is a link to a member that receives changes of the state machine.
type subscription struct {
	name      string
	sentIndex uint64
	wants     bool
}

// pendingPut is a member's proposed fact that waits for its entry to be applied.
type pendingPut struct {
	link Link
	seq  uint64
}

// LeaseExtension is a protocol whose payloads are carried in the messages that renew leases. It answers a member's
// payload at the moment the member's lease is renewed, hence only while the leader's term is confirmed. Its methods
// are called on the keeper's goroutine.
type LeaseExtension interface {
	// StartTerm is called when this keeper has become the leader.
	StartTerm(now time.Duration)
	// EndTerm is called when this keeper is no longer the leader.
	EndTerm()
	// HandleRenewal takes the payload of an ask whose lease has just been renewed and returns the answer's payload.
	HandleRenewal(now time.Duration, name string, incarnation, process, seq uint64, payload []byte) []byte
	// EndIncarnation is called on the leader when an incarnation has ended and its lease is certainly over.
	EndIncarnation(now time.Duration, name string, incarnation uint64)
	// HandleEntry is called after an entry has changed the state machine.
	HandleEntry(now time.Duration, e *fleetpb.Entry)
	// TakePuts returns the facts that the leader has to write, and forgets them.
	TakePuts() []*fleetpb.Put
	// Report returns the extension's part of a report to operators.
	Report() []byte
}

// LeaderKeyPrefix is the prefix of the keys of facts that only leaders may write, for their lease extensions.
const LeaderKeyPrefix = "keeper/"

// Keeper is one voter of the fleet's raft log. It is not safe for concurrent use.
type Keeper struct {
	Settings  Settings
	Machine   *Machine
	Extension LeaseExtension // nil: none

	self       *fleetpb.Identity
	voters     map[string]uint64 // raft IDs of keepers, by name
	voterNames map[uint64]string // the inverse of voters
	random     *rand.Rand
	node       *raft.RawNode
	storage    *raft.MemoryStorage
	confState  *raftpb.ConfState
	ready      *raft.Ready
	halted     bool

	lastTick      time.Duration // the time up to which ticks are counted
	electionAt    time.Duration // when it stands for election, unless a leader's message arrives before
	isLeader      bool          // raft considers this keeper the leader
	leaderTerm    uint64        // term in which it acts as leader, once an entry of the term is applied; 0: none
	grants        map[string]*leaseGrant
	waitingAsks   []waitingAsk
	rounds        []*confirmRound
	lastRound     uint64 // number of the last round; random at the start, to differ from those of earlier processes
	subscriptions map[Link]*subscription
	pendingPuts   map[uint64]pendingPut
	outbound      []Outbound
	notes         []Note
}

// discardLogger discards raft's log lines; notes report the events that matter.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// NewKeeper returns a keeper that resumes from the content of its directory. It fails if the content is incomplete,
// damaged or of another fleet, or if the keeper is not one of the bootstrap and the settings.
func NewKeeper(settings Settings, stored Stored, random *rand.Rand, now time.Duration) (*Keeper, error) {
	if stored.Identity == nil || stored.Snapshot == nil || stored.HardState == nil {
		return nil, errors.New("the directory lacks files of a bootstrapped keeper")
	}
	if stored.Identity.Fleet != settings.Fleet {
		return nil, fmt.Errorf("the directory belongs to fleet %q, but the settings are for fleet %q",
			stored.Identity.Fleet, settings.Fleet)
	}
	state := &fleetpb.State{}
	if err := proto.Unmarshal(stored.Snapshot.Data, state); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	k := &Keeper{
		Settings: settings, Machine: NewMachine(state), self: stored.Identity, random: random,
		storage: raft.NewMemoryStorage(), confState: stored.Snapshot.Metadata.ConfState,
		voters: map[string]uint64{}, voterNames: map[uint64]string{}, lastTick: now,
		subscriptions: map[Link]*subscription{}, pendingPuts: map[uint64]pendingPut{}, lastRound: random.Uint64() >> 1,
	}
	for _, v := range state.Voters {
		k.voters[v.Name], k.voterNames[v.Number] = v.Number, v.Name
	}
	if k.voterNames[stored.Identity.Number] != stored.Identity.Name {
		return nil, fmt.Errorf("keeper %q was not part of this fleet's bootstrap", stored.Identity.Name)
	}
	if !slices.Contains(settings.Keepers, stored.Identity.Name) {
		return nil, fmt.Errorf("keeper %q is not in the settings", stored.Identity.Name)
	}
	if err := errors.Join(
		k.storage.ApplySnapshot(stored.Snapshot),
		k.storage.SetHardState(stored.HardState),
		k.storage.Append(stored.Entries),
	); err != nil {
		return nil, err
	}
	var err error
	k.node, err = raft.NewRawNode(&raft.Config{
		ID: stored.Identity.Number, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: k.storage, Applied: state.Index,
		MaxSizePerMsg: maxRaftMessageBytes, MaxCommittedSizePerReady: maxRaftMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: discardLogger,
	})
	k.resetElectionTimer(now)
	return k, err
}

// resetElectionTimer draws a new time at which the keeper stands for election.
func (k *Keeper) resetElectionTimer(now time.Duration) {
	k.electionAt = now + electionTicks*TickInterval + time.Duration(k.random.Int64N(int64(electionTicks*TickInterval)))
}

// Voters returns the raft IDs of the fleet's keepers by name, as drawn at the bootstrap. The caller must not
// change the map.
func (k *Keeper) Voters() map[string]uint64 { return k.voters }

// Name returns the keeper's name.
func (k *Keeper) Name() string { return k.self.Name }

// LeaderTerm returns the raft term in which this keeper acts as leader, and whether it does.
func (k *Keeper) LeaderTerm() (uint64, bool) { return k.leaderTerm, k.leaderTerm != 0 }

// Report returns the keeper's state for operators, as the answer to the inquiry seq. The record of past proposals is
// left out.
func (k *Keeper) Report(seq uint64) *fleetpb.Report {
	st := k.node.BasicStatus()
	s := k.Machine.State()
	s.Done = nil
	var payload []byte
	if k.Extension != nil {
		payload = k.Extension.Report()
	}
	return &fleetpb.Report{
		Ride: payload, Seq: seq, Name: k.self.Name, Leader: k.voterNames[st.Lead], Term: st.GetTerm(),
		Commit: st.GetCommit(), Applied: k.Machine.Index, Halted: k.halted, State: s,
	}
}

// Tick advances raft's clock to now. It has to be called every TickInterval.
func (k *Keeper) Tick(now time.Duration) {
	if k.halted {
		return
	}
	ticks := int((now - k.lastTick) / TickInterval)
	if ticks > 0 {
		k.lastTick += time.Duration(ticks) * TickInterval
	}
	for range min(ticks, maxCatchUpTicks) {
		if k.isLeader {
			k.node.Tick()
		} else {
			k.node.TickQuiesced()
		}
	}
	if ticks > maxCatchUpTicks+electionTicks { // the process was stopped: a leader may have sent messages meanwhile
		k.resetElectionTimer(now)
	}
	if !k.isLeader && now >= k.electionAt {
		k.node.Campaign()
		k.resetElectionTimer(now)
	}
	if k.leaderTerm != 0 {
		k.endExpiredIncarnations(now)
		k.startConfirmRound(now)
	}
}

// endExpiredIncarnations proposes the end of incarnations whose leases have expired.
func (k *Keeper) endExpiredIncarnations(now time.Duration) {
	var expired []string
	for name, g := range k.grants {
		if !g.ending && now >= g.expiresAt && k.Machine.Member(name).GetLive() {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		end := &fleetpb.End{Name: name, Incarnation: k.Machine.Member(name).Incarnation}
		k.grants[name].ending = k.propose(&fleetpb.Entry{
			Id: k.random.Uint64(), What: &fleetpb.Entry_End{End: end},
		}) == nil
	}
}

// propose submits an entry to raft. It returns an error if this keeper doesn't lead or has too much uncommitted.
func (k *Keeper) propose(e *fleetpb.Entry) error {
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	return k.node.Propose(b)
}

// startConfirmRound requests a read index for the waiting asks: by granting it, a majority confirms that this keeper
// still leads. Without it, a deposed leader could renew leases.
func (k *Keeper) startConfirmRound(now time.Duration) {
	if len(k.waitingAsks) == 0 || len(k.rounds) > 64 {
		return
	}
	k.lastRound++
	r := &confirmRound{number: k.lastRound, asks: k.waitingAsks}
	k.waitingAsks = nil
	if mutant == "no-quorum" {
		r.readIndex = 1
		k.rounds = append(k.rounds, r)
		k.answerConfirmedRounds(now)
		return
	}
	k.rounds = append(k.rounds, r)
	k.node.ReadIndex(binary.BigEndian.AppendUint64(nil, r.number))
}

// Receive handles a raft message from the keeper named from, whose identity was checked when the link was opened. It
// returns an error for a malformed message, and for one that the keeper named from must not send to this one.
func (k *Keeper) Receive(now time.Duration, from string, b []byte) error {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		return fmt.Errorf("malformed message from keeper %s: %w", from, err)
	}
	if m.GetFrom() != k.voters[from] || m.GetTo() != k.self.Number || raft.IsLocalMsg(m.GetType()) ||
		m.GetType() == raftpb.MessageType_MsgProp {
		return fmt.Errorf("message from keeper %s with a wrong sender, receiver or type", from)
	}
	if k.halted {
		return nil
	}
	if term := k.node.BasicStatus().GetTerm(); m.GetTerm() >= term {
		switch m.GetType() {
		case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
			k.resetElectionTimer(now)
		}
	}
	return k.node.Step(m)
}

// HandleAsk processes an ask of the member name that arrived on link: a request for a lease, for its renewal or its
// end, or for a fact to be written. The answer comes by Output, at once or after a confirmation round; an ask that
// exceeds a limit gets none, and the member repeats it.
func (k *Keeper) HandleAsk(now time.Duration, link Link, name string, a *fleetpb.Ask) {
	if k.halted {
		return
	}
	if k.leaderTerm == 0 {
		k.reply(link, &fleetpb.Answer{
			Seq: a.Seq, Leader: k.voterNames[k.node.BasicStatus().Lead], Why: "this keeper does not lead",
		})
		return
	}
	if a.Known != ^uint64(0) {
		sub := k.subscriptions[link]
		if sub == nil {
			sub = &subscription{name: name, wants: true}
			k.subscriptions[link] = sub
		}
		sub.sentIndex = a.Known // changes that were lost in transit are sent again
		k.sendChanges(link, sub)
	}
	if p := a.Put; p != nil {
		p.Name, p.Incarnation = name, a.Incarnation
		if strings.HasPrefix(p.Key, LeaderKeyPrefix) {
			k.reply(link, &fleetpb.Answer{Seq: a.Seq, Why: "put"})
			return
		}
		k.proposePut(link, a.Seq, a.Process, p)
		return
	}
	if len(k.waitingAsks) < maxWaitingAsks {
		k.waitingAsks = append(k.waitingAsks, waitingAsk{link, name, a})
	}
}

// proposePut proposes a member's fact. The proposal's ID derives from process and seq, so that a repeated ask is
// applied only once.
func (k *Keeper) proposePut(link Link, seq, process uint64, p *fleetpb.Put) {
	id := process ^ seq*0x9e3779b97f4a7c15
	if result, known := k.Machine.Result(id); known {
		k.reply(link, &fleetpb.Answer{Seq: seq, Result: result, Why: "put"})
		return
	}
	if len(k.pendingPuts) >= maxWaitingAsks ||
		k.propose(&fleetpb.Entry{Id: id, What: &fleetpb.Entry_Put{Put: p}}) != nil {
		return // the member retries
	}
	k.pendingPuts[id] = pendingPut{link, seq}
}

func (k *Keeper) reply(link Link, a *fleetpb.Answer) {
	k.outbound = append(k.outbound, Outbound{
		Link: link, Frame: &fleetpb.Frame{What: &fleetpb.Frame_Answer{Answer: a}},
	})
}

// sendChanges sends a link the changes that were not yet sent on it.
func (k *Keeper) sendChanges(link Link, sub *subscription) {
	if w := k.Machine.ChangesSince(sub.sentIndex); w != nil {
		sub.sentIndex = w.Index
		k.outbound = append(k.outbound, Outbound{
			Link: link, Frame: &fleetpb.Frame{What: &fleetpb.Frame_Word{Word: w}},
		})
	}
}

// RemoveLink has to be called when a link is closed.
func (k *Keeper) RemoveLink(link Link) { delete(k.subscriptions, link) }

// ReportUnreachable has to be called when messages to another keeper can't be sent.
func (k *Keeper) ReportUnreachable(name string) {
	if !k.halted {
		k.node.ReportUnreachable(k.voters[name])
		k.node.ReportSnapshot(k.voters[name], raft.SnapshotFailure)
	}
}

// Halt stops the keeper for good because its disk has failed. From then on it neither votes nor answers.
func (k *Keeper) Halt(cause error) {
	if mutant == "deaf-to-disk" {
		return
	}
	k.halted, k.leaderTerm, k.isLeader = true, 0, false
	k.outbound = nil
	k.notes = append(k.notes, Note{Kind: KeeperHalted, Name: k.self.Name, Text: cause.Error()})
}

// Output is what the caller of a keeper has to do, in this order: store the update and sync it, send the frames,
// deliver the notes. Then it has to call Advance, or Halt if the update could not be stored.
type Output struct {
	Store    *StoreUpdate // nil: nothing to store
	Outbound []Outbound
	Notes    []Note
}

// StoreUpdate is the data that has to be stored before any frame of the same Output is sent.
type StoreUpdate struct {
	Snapshot  *raftpb.Snapshot // nil: none
	Entries   []*raftpb.Entry  // replace the stored ones from the first one's index on
	HardState *raftpb.HardState
	MustSync  bool // the update has to be synced to disk first; false: only the commit index has advanced
}

// Output returns the work to be done; ok is false if there is none.
func (k *Keeper) Output() (o Output, ok bool) {
	if !k.halted && k.node.HasReady() {
		rd := k.node.Ready()
		k.ready = &rd
		s := &StoreUpdate{
			Entries: rd.Entries, HardState: rd.HardState, MustSync: rd.MustSync || !raft.IsEmptySnap(rd.Snapshot),
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			s.Snapshot = rd.Snapshot
		}
		if s.Snapshot != nil || len(s.Entries) > 0 || !raft.IsEmptyHardState(s.HardState) {
			o.Store = s
		}
		for _, m := range rd.Messages {
			b, err := proto.Marshal(m)
			if err != nil {
				continue
			}
			o.Outbound = append(o.Outbound, Outbound{
				Voter: m.GetTo(), Frame: &fleetpb.Frame{What: &fleetpb.Frame_Raft{Raft: b}},
			})
		}
	}
	o.Outbound = append(o.Outbound, k.outbound...)
	o.Notes, k.outbound, k.notes = k.notes, nil, nil
	return o, k.ready != nil || len(o.Outbound) > 0 || len(o.Notes) > 0
}

// Advance applies the committed entries. It has to be called after each Output, once the Output's update is stored.
func (k *Keeper) Advance(now time.Duration) {
	ready := k.ready
	if ready == nil || k.halted {
		k.ready = nil
		return
	}
	k.ready = nil
	if !raft.IsEmptySnap(ready.Snapshot) {
		k.storage.ApplySnapshot(ready.Snapshot)
		state := &fleetpb.State{}
		if err := proto.Unmarshal(ready.Snapshot.Data, state); err != nil {
			k.Halt(fmt.Errorf("malformed snapshot from the leading keeper: %w", err))
			return
		}
		k.Machine, k.confState = NewMachine(state), ready.Snapshot.Metadata.ConfState
	}
	k.storage.Append(ready.Entries)
	if !raft.IsEmptyHardState(ready.HardState) {
		k.storage.SetHardState(ready.HardState)
	}
	if ready.SoftState != nil {
		wasLeader := k.isLeader
		k.isLeader = ready.RaftState == raft.StateLeader
		if wasLeader && !k.isLeader {
			k.stopLeading(now)
		}
	}
	term := k.node.BasicStatus().GetTerm()
	if k.leaderTerm != 0 && k.leaderTerm != term {
		k.stopLeading(now)
	}
	for _, entry := range ready.CommittedEntries {
		k.apply(now, entry)
		if k.isLeader && k.leaderTerm == 0 && entry.GetTerm() == term {
			k.startLeading(now, term)
		}
	}
	if len(ready.CommittedEntries) > 0 || !raft.IsEmptySnap(ready.Snapshot) {
		for _, link := range slices.Sorted(maps.Keys(k.subscriptions)) { // one message for all entries of a batch
			k.sendChanges(link, k.subscriptions[link])
		}
	}
	for _, readState := range ready.ReadStates {
		if len(readState.RequestCtx) == 8 {
			for _, r := range k.rounds {
				if r.number <= binary.BigEndian.Uint64(readState.RequestCtx) && r.readIndex == 0 {
					r.readIndex = max(readState.Index, 1)
				}
			}
		}
	}
	k.answerConfirmedRounds(now)
	k.node.Advance(*ready)
	k.compact()
}

// startLeading makes this keeper act as leader. It doesn't know when the leases of live incarnations were granted,
// only that it was before now, so it treats each as granted now.
func (k *Keeper) startLeading(now time.Duration, term uint64) {
	k.leaderTerm, k.grants = term, map[string]*leaseGrant{}
	for _, m := range k.Machine.Members() {
		if m.Live {
			k.grants[m.Name] = &leaseGrant{expiresAt: now + k.Settings.RegrantDelay()}
			if mutant == "forget-leases" {
				k.grants[m.Name].expiresAt = now
			}
		}
	}
	if k.Extension != nil {
		k.Extension.StartTerm(now)
	}
	k.notes = append(k.notes, Note{Kind: LeadershipGained, Name: k.self.Name, Number: term})
}

// stopLeading drops the leader's state. Waiting asks get no answer; members repeat them.
func (k *Keeper) stopLeading(now time.Duration) {
	if k.leaderTerm != 0 {
		k.notes = append(k.notes, Note{Kind: LeadershipLost, Name: k.self.Name, Number: k.leaderTerm})
	}
	if k.leaderTerm != 0 && k.Extension != nil {
		k.Extension.EndTerm()
	}
	k.leaderTerm, k.grants, k.waitingAsks, k.rounds = 0, nil, nil, nil
	clear(k.pendingPuts)
	k.resetElectionTimer(now)
}

// apply applies a committed entry to the state machine, and to the leases if this keeper leads.
func (k *Keeper) apply(now time.Duration, e *raftpb.Entry) {
	if e.GetType() != raftpb.EntryType_EntryNormal || len(e.Data) == 0 {
		k.Machine.Apply(e.GetIndex(), nil)
		return
	}
	entry := &fleetpb.Entry{}
	if proto.Unmarshal(e.Data, entry) != nil {
		k.Machine.Apply(e.GetIndex(), nil) // a malformed entry changes nothing, on every keeper alike
		return
	}
	previous := uint64(0)
	if b := entry.GetBegin(); b != nil {
		if m := k.Machine.Member(b.Name); m.GetLive() {
			previous = m.Incarnation
		}
	}
	result := k.Machine.Apply(e.GetIndex(), entry)
	if k.Extension != nil && result != 0 {
		if k.leaderTerm != 0 && previous != 0 && previous != result {
			k.Extension.EndIncarnation(now, entry.GetBegin().Name, previous)
		}
		if end := entry.GetEnd(); k.leaderTerm != 0 && end != nil {
			k.Extension.EndIncarnation(now, end.Name, end.Incarnation)
		}
		k.Extension.HandleEntry(now, entry)
	}
	if p, pending := k.pendingPuts[entry.Id]; pending {
		delete(k.pendingPuts, entry.Id)
		k.reply(p.link, &fleetpb.Answer{Seq: p.seq, Result: result, Why: "put"})
	}
	if k.leaderTerm != 0 {
		switch {
		case entry.GetBegin() != nil && result != 0:
			k.grants[entry.GetBegin().Name] = &leaseGrant{expiresAt: now + k.Settings.RegrantDelay()}
		case entry.GetBegin() != nil:
			if g := k.grants[entry.GetBegin().Name]; g != nil {
				g.ending = false
			}
		case entry.GetEnd() != nil && result != 0:
			delete(k.grants, entry.GetEnd().Name)
		}
	}
}

// proposeExtensionPuts proposes the facts that the lease extension wants written.
func (k *Keeper) proposeExtensionPuts() {
	for _, p := range k.Extension.TakePuts() {
		k.propose(&fleetpb.Entry{Id: k.random.Uint64(), What: &fleetpb.Entry_Put{Put: p}})
	}
}

// answerConfirmedRounds answers the asks of rounds that are confirmed and whose read index is applied.
func (k *Keeper) answerConfirmedRounds(now time.Duration) {
	for len(k.rounds) > 0 && k.rounds[0].readIndex != 0 && k.Machine.Index >= k.rounds[0].readIndex {
		asks := k.rounds[0].asks
		k.rounds = k.rounds[1:]
		for _, a := range asks {
			k.answerAsk(now, a)
		}
	}
}

// answerAsk answers one ask. It is called only after a majority has confirmed, since the ask arrived, that this keeper
// leads.
func (k *Keeper) answerAsk(now time.Duration, a waitingAsk) {
	member, grant := k.Machine.Member(a.name), k.grants[a.name]
	holds := member.GetLive() && member.Process == a.Process && grant != nil && !grant.ending
	switch {
	case a.Leave:
		if holds && member.Incarnation == a.Ask.Incarnation {
			grant.ending = k.propose(&fleetpb.Entry{Id: k.random.Uint64(), What: &fleetpb.Entry_End{
				End: &fleetpb.End{Name: a.name, Incarnation: member.Incarnation, Left: true},
			}}) == nil
		}
	case holds && (a.Ask.Incarnation == 0 || a.Ask.Incarnation == member.Incarnation):
		grant.expiresAt = max(grant.expiresAt, now+k.Settings.RegrantDelay())
		answer := &fleetpb.Answer{Seq: a.Seq, Incarnation: member.Incarnation, Leader: k.self.Name}
		if k.Extension != nil {
			answer.Ride = k.Extension.HandleRenewal(now, a.name, member.Incarnation, a.Process, a.Seq, a.Ride)
			k.proposeExtensionPuts()
		}
		k.reply(a.link, answer)
	case a.Ask.Incarnation != 0:
		k.reply(a.link, &fleetpb.Answer{Seq: a.Seq, Leader: k.self.Name, Why: "over"})
	case member.GetLive() && grant != nil && now < grant.expiresAt && mutant != "eager-begin":
		k.reply(a.link, &fleetpb.Answer{
			Seq: a.Seq, Leader: k.self.Name,
			Why: fmt.Sprintf("incarnation %d of %s has its lease for %v yet",
				member.Incarnation, a.name, (grant.expiresAt - now).Round(time.Millisecond)),
		})
	case grant == nil || !grant.ending || mutant == "eager-begin":
		if k.propose(&fleetpb.Entry{Id: k.random.Uint64(), What: &fleetpb.Entry_Begin{Begin: &fleetpb.Begin{
			Name: a.name, Process: a.Process, After: member.GetIncarnation(), Address: a.Address, Zone: a.Zone,
		}}}) == nil {
			if grant == nil {
				grant = &leaseGrant{}
				k.grants[a.name] = grant
			}
			grant.ending = true
		}
	}
}

// compact replaces old entries of the log by a snapshot once there are compactThreshold of them.
func (k *Keeper) compact() {
	first, _ := k.storage.FirstIndex()
	if k.Machine.Index < first+compactThreshold {
		return
	}
	if snap, err := k.snapshot(); err == nil {
		k.storage.CreateSnapshot(snap.Metadata.GetIndex(), k.confState, snap.Data)
		k.storage.Compact(k.Machine.Index - retainedEntries)
	}
}

// snapshot returns the state machine as a raft snapshot at the last applied index.
func (k *Keeper) snapshot() (*raftpb.Snapshot, error) {
	data, err := proto.Marshal(k.Machine.State())
	if err != nil {
		return nil, err
	}
	term, err := k.storage.Term(k.Machine.Index)
	return &raftpb.Snapshot{
		Data:     data,
		Metadata: &raftpb.SnapshotMetadata{ConfState: k.confState, Index: new(k.Machine.Index), Term: new(term)},
	}, err
}

// Checkpoint returns everything that the keeper's directory has to hold from now on, to start a new log file: a
// snapshot, the hard state and the entries that are not yet applied.
func (k *Keeper) Checkpoint() (Stored, error) {
	snap, err := k.snapshot()
	if err != nil {
		return Stored{}, err
	}
	s := Stored{Identity: k.self, Snapshot: snap}
	s.HardState, _, err = k.storage.InitialState()
	if err != nil {
		return s, err
	}
	last, err := k.storage.LastIndex()
	if err == nil && last > k.Machine.Index {
		s.Entries, err = k.storage.Entries(k.Machine.Index+1, last+1, 1<<62)
	}
	return s, err
}

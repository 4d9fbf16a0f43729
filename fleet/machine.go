package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet/fleetpb"
)

// Limits of the replicated state. They keep a snapshot below 3 MiB in any case, so that it fits one message.
const (
	maxNameLength       = 64   // bytes, of a name, an address and a zone
	maxMembers          = 4096 // names; above it, a new name replaces the ended one with the lowest incarnation
	maxFacts            = 1024
	maxResults          = 4096 // results of proposals that are kept to recognize repeated ones
	maxPastIncarnations = 4    // earlier incarnations that are kept for each name
	maxChanges          = 4096 // changes that are kept for members that were briefly disconnected

	// MaxKeyLength is the maximum length of a fact's key in bytes.
	MaxKeyLength = 128
	// MaxValueLength is the maximum length of a fact's value in bytes.
	MaxValueLength = 1024
)

// Machine is the state machine of the replicated log: members, facts and the results of recent proposals. Applying the
// same entries gives the same state on every process. It is not safe for concurrent use.
type Machine struct {
	Fleet           string
	Index           uint64 // of the last applied entry
	LastIncarnation uint64 // the last incarnation number that was assigned
	LastVersion     uint64 // the last version that was assigned to a fact
	voters          []*fleetpb.Voter
	members         map[string]*fleetpb.Member
	facts           map[string]*fleetpb.Fact
	results         map[uint64]uint64
	resultOrder     []uint64          // keys of results, oldest first
	changes         []*fleetpb.Change // the latest
	changesBase     uint64            // changes holds all changes after this index
}

// NewMachine returns a machine with the state of a bootstrapped fleet or of a later snapshot. It takes over the lists
// of s and their elements.
func NewMachine(s *fleetpb.State) *Machine {
	m := &Machine{
		Fleet: s.Fleet, Index: s.Index, LastIncarnation: s.Incarnations, LastVersion: s.Versions, voters: s.Voters,
		changesBase: s.Index,
		members:     map[string]*fleetpb.Member{}, facts: map[string]*fleetpb.Fact{}, results: map[uint64]uint64{},
	}
	for _, member := range s.Members {
		m.members[member.Name] = member
	}
	for _, fact := range s.Facts {
		m.facts[fact.Key] = fact
	}
	for _, done := range s.Done {
		m.results[done.Id] = done.Result
		m.resultOrder = append(m.resultOrder, done.Id)
	}
	return m
}

// State returns the state as a message for snapshots. Equal machines give equal states; the message shares its members
// and facts with the machine.
func (m *Machine) State() *fleetpb.State {
	s := &fleetpb.State{
		Fleet: m.Fleet, Index: m.Index, Incarnations: m.LastIncarnation, Versions: m.LastVersion, Voters: m.voters,
		Members: m.Members(), Facts: m.Facts(),
	}
	for _, id := range m.resultOrder {
		s.Done = append(s.Done, &fleetpb.Done{Id: id, Result: m.results[id]})
	}
	return s
}

// Member returns the latest incarnation of a name, live or not; nil if there is none.
func (m *Machine) Member(name string) *fleetpb.Member { return m.members[name] }

// Members returns the latest incarnation of each name, sorted by name.
func (m *Machine) Members() (list []*fleetpb.Member) {
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		list = append(list, m.members[name])
	}
	return list
}

// Facts returns all facts, sorted by key.
func (m *Machine) Facts() (list []*fleetpb.Fact) {
	for _, key := range slices.Sorted(maps.Keys(m.facts)) {
		list = append(list, m.facts[key])
	}
	return list
}

// Fact returns the fact of a key; nil if there is none.
func (m *Machine) Fact(key string) *fleetpb.Fact { return m.facts[key] }

// Result returns the result of a proposal: the incarnation or version, or 0 if it was refused. known is false if it
// was not applied, or so long ago that its result has been dropped.
func (m *Machine) Result(id uint64) (result uint64, known bool) {
	result, known = m.results[id]
	return result, known
}

// Apply applies the entry at an index and returns its result, as Result does; 0 if it was refused and has changed no
// member or fact. An entry whose ID was applied before changes nothing and returns the earlier result. A nil entry
// only advances the index; an index that was applied before has no effect.
func (m *Machine) Apply(index uint64, e *fleetpb.Entry) uint64 {
	if index <= m.Index {
		return 0
	}
	m.Index = index
	if e == nil {
		return 0
	}
	if result, again := m.results[e.Id]; again {
		return result
	}
	var result uint64
	switch {
	case e.GetBegin() != nil:
		result = m.applyBegin(e.GetBegin())
	case e.GetEnd() != nil:
		result = m.applyEnd(e.GetEnd())
	case e.GetPut() != nil:
		result = m.applyPut(e.GetPut())
	}
	if len(m.resultOrder) >= maxResults {
		delete(m.results, m.resultOrder[0])
		m.resultOrder = m.resultOrder[1:]
	}
	m.results[e.Id] = result
	m.resultOrder = append(m.resultOrder, e.Id)
	return result
}

// applyBegin starts the next incarnation of a name, if the entry names the latest one. A live incarnation of the same
// process continues.
func (m *Machine) applyBegin(b *fleetpb.Begin) uint64 {
	previous := m.members[b.Name]
	switch {
	case b.Name == "" || len(b.Name) > maxNameLength || len(b.Address) > maxNameLength ||
		len(b.Zone) > maxNameLength || previous.GetIncarnation() != b.After:
		return 0
	case previous.GetLive() && previous.Process == b.Process:
		return previous.Incarnation
	case previous == nil && len(m.members) >= maxMembers && !m.forgetOldestEnded():
		return 0
	}
	m.LastIncarnation++
	var past []*fleetpb.Past
	if previous != nil {
		past = append(slices.Clone(previous.Past), &fleetpb.Past{
			Incarnation: previous.Incarnation, Successor: previous.Successor,
			SuccessorIncarnation: previous.SuccessorIncarnation,
		})
		past = past[max(0, len(past)-maxPastIncarnations):]
	}
	m.recordChange(&fleetpb.Member{
		Name: b.Name, Incarnation: m.LastIncarnation, Process: b.Process, Live: true,
		Address: b.Address, Zone: b.Zone, Past: past,
	}, nil)
	return m.LastIncarnation
}

// forgetOldestEnded removes the name whose ended incarnation has the lowest number; it returns false if all are live.
func (m *Machine) forgetOldestEnded() bool {
	var oldest *fleetpb.Member
	for _, member := range m.members {
		if !member.Live && (oldest == nil || member.Incarnation < oldest.Incarnation) {
			oldest = member
		}
	}
	if oldest != nil {
		delete(m.members, oldest.Name)
	}
	return oldest != nil
}

// applyEnd ends a live incarnation and assigns its successor.
func (m *Machine) applyEnd(e *fleetpb.End) uint64 {
	previous := m.members[e.Name]
	if !previous.GetLive() || previous.Incarnation != e.Incarnation {
		return 0
	}
	ended := proto.CloneOf(previous)
	ended.Live, ended.Left = false, e.Left
	if list := Successors(previous.Name, previous.Zone, m.Members(), 1); len(list) > 0 {
		ended.Successor, ended.SuccessorIncarnation = list[0].Name, list[0].Incarnation
	}
	m.recordChange(ended, nil)
	if mutant != "successor-alone" {
		m.reassignSuccessor(ended)
	}
	return previous.Incarnation
}

// reassignSuccessor replaces an ended incarnation by its own successor wherever it was the successor of others.
func (m *Machine) reassignSuccessor(ended *fleetpb.Member) {
	for _, member := range m.Members() {
		updated := proto.CloneOf(member)
		changed := !member.Live && member.Successor == ended.Name && member.SuccessorIncarnation == ended.Incarnation
		if changed {
			updated.Successor, updated.SuccessorIncarnation = ended.Successor, ended.SuccessorIncarnation
		}
		for _, p := range updated.Past {
			if p.Successor == ended.Name && p.SuccessorIncarnation == ended.Incarnation {
				p.Successor, p.SuccessorIncarnation, changed = ended.Successor, ended.SuccessorIncarnation, true
			}
		}
		if changed {
			m.recordChange(updated, nil)
		}
	}
}

// Successors returns the first n of the routers that take over a router's calls, in order of preference. Candidates
// are the other live members that have an address; members of other zones come first if the router has a zone. The
// order is by rendezvous hashing of the names, so that few successors change as members come and go.
func Successors(name, zone string, members []*fleetpb.Member, n int) []*fleetpb.Member {
	type candidate struct {
		*fleetpb.Member
		inOtherZone bool // or the router has no zone
		weight      uint64
	}
	var list []candidate
	for _, member := range members {
		if member.Live && member.Address != "" && member.Name != name {
			list = append(list, candidate{
				member, zone == "" || member.Zone != zone, xxh3.HashString(member.Name + "\x00" + name),
			})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		switch {
		case a.inOtherZone != b.inOtherZone && a.inOtherZone:
			return -1
		case a.inOtherZone != b.inOtherZone:
			return 1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	var out []*fleetpb.Member
	for _, member := range list[:min(n, len(list))] {
		out = append(out, member.Member)
	}
	return out
}

// SuccessorOf returns the successor of an ended incarnation and the successor's incarnation; an empty name means that
// there was no candidate. over is false while the incarnation is live, and for one that the machine doesn't know.
func (m *Machine) SuccessorOf(name string, incarnation uint64) (
	successor string, successorIncarnation uint64, over bool,
) {
	member := m.members[name]
	if member.GetIncarnation() == incarnation && member != nil {
		return member.Successor, member.SuccessorIncarnation, !member.Live
	}
	for _, p := range member.GetPast() {
		if p.Incarnation == incarnation {
			return p.Successor, p.SuccessorIncarnation, true
		}
	}
	return "", 0, false
}

// IsOver reports whether an incarnation has ended, as far as the machine has applied the log.
func (m *Machine) IsOver(name string, incarnation uint64) bool {
	member := m.members[name]
	return member != nil && (member.Incarnation > incarnation || member.Incarnation == incarnation && !member.Live)
}

// applyPut writes a fact if its version is the expected one. It refuses a writer whose incarnation has ended, which is
// how such a writer is fenced.
func (m *Machine) applyPut(p *fleetpb.Put) uint64 {
	previous := m.facts[p.Key]
	writer := m.members[p.Name]
	switch {
	case p.Key == "" || len(p.Key) > MaxKeyLength || len(p.Value) > MaxValueLength,
		previous.GetVersion() != p.Expect,
		previous == nil && len(m.facts) >= maxFacts,
		p.Incarnation != 0 && (!writer.GetLive() || writer.Incarnation != p.Incarnation):
		return 0
	}
	m.LastVersion++
	m.recordChange(nil, &fleetpb.Fact{Key: p.Key, Value: p.Value, Version: m.LastVersion, Incarnation: p.Incarnation})
	return m.LastVersion
}

// recordChange stores a member or a fact and keeps the change for members that don't have it yet. When the list of
// changes is full, its oldest quarter is dropped.
func (m *Machine) recordChange(member *fleetpb.Member, fact *fleetpb.Fact) {
	if member != nil {
		m.members[member.Name] = member
	}
	if fact != nil {
		m.facts[fact.Key] = fact
	}
	if len(m.changes) >= maxChanges {
		m.changesBase = m.changes[maxChanges/4-1].Index
		m.changes = slices.Clone(m.changes[maxChanges/4:])
	}
	m.changes = append(m.changes, &fleetpb.Change{Index: m.Index, Member: member, Fact: fact})
}

// ChangesSince returns the message for members that know the state up to an index: the changes after it, or the whole
// state if not all of these are kept. nil means that there are none.
func (m *Machine) ChangesSince(known uint64) *fleetpb.Word {
	if known < m.changesBase {
		s := m.State()
		s.Done = nil // members don't need the results of proposals
		return &fleetpb.Word{Index: m.Index, State: s}
	}
	at, _ := slices.BinarySearchFunc(m.changes, known+1, func(c *fleetpb.Change, index uint64) int {
		switch {
		case c.Index < index:
			return -1
		case c.Index > index:
			return 1
		}
		return 0
	})
	if at == len(m.changes) {
		return nil
	}
	return &fleetpb.Word{Index: m.Index, Base: known, Changes: m.changes[at:]}
}

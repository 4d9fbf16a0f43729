package takeover

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"threadglade.example/threadglade/takeover/takeoverpb"
)

// This file implements the replica holder: it stores replicas of other routers' calls, hands them over to the
// successor of a router whose incarnation is over, and takes calls over when this router is the successor.

// tickInterval is how often Tick polls for replicas that wait to be handed over or taken over.
const tickInterval = 20 * time.Millisecond

// passRetryInterval is how long a handed-over replica may stay unacknowledged before it is sent again.
const passRetryInterval = 500 * time.Millisecond

// ownerKey identifies one incarnation of an owner.
type ownerKey struct {
	owner       string
	incarnation uint64
}

// replica is a copy of the calls of another router's incarnation.
type replica struct {
	ownerKey
	calls           callTable
	number          uint64        // of the latest record that is applied
	complete        bool          // calls holds a whole snapshot with all records up to number
	incoming        callTable     // snapshot that is being received; nil: none
	guaranteedUntil time.Duration // until then the replica is not handed over
	ownerLeft       bool          // the owner announced that it has stopped acting
	holders         []string      // all replica holders, as the owner last named them
	sentTo          string        // successor that the replica was sent to last, this router included
	sentAt          time.Duration // when it was sent there
}

// gatherTimeout is how long a successor waits for the replicas of all live replica holders, to take over the one with
// the highest number: one with a lower number may contain calls that are over.
const gatherTimeout = 2 * time.Second

// takeoverState is what this router has taken over from one incarnation.
type takeoverState struct {
	number     uint64               // of the replica that was taken over; 0: none was
	replicas   map[string]*replica  // received replicas by replica holder, until one is taken over
	firstAt    time.Duration        // when the first of replicas arrived
	calls      map[string]bool      // all calls taken over so far
	incoming   map[string]callTable // replicas that are being received, by replica holder
	reportedAt time.Duration        // when the owner was last sent the report of taken calls
	closed     bool                 // the report was sent: no more calls are taken, the rest are the owner's again
	settled    bool                 // the owner has dropped the taken calls from its ledger
	pendingAcks
}

// pendingAcks are the effects of a takeover that wait until the taken calls are replicated: acknowledgements to the
// routers that handed replicas over, and this router's own replicas, which are kept until then.
type pendingAcks struct {
	replies []Send
	own     []*replica
}

// mustReport reports whether the taken calls are known and the owner has not yet confirmed the report of them.
func (t *takeoverState) mustReport() bool {
	return !t.settled && len(t.replicas) == 0 && (t.number > 0 || len(t.calls) > 0)
}

// FleetLog is a replica holder's view of the fleet's replicated log.
type FleetLog interface {
	// IsOver reports whether an incarnation is over.
	IsOver(name string, incarnation uint64) bool
	// SuccessorOf returns the router that succeeds an incarnation and the successor's own incarnation number; over is
	// false if the incarnation has not ended according to the log, or the log doesn't know it.
	SuccessorOf(name string, incarnation uint64) (successor string, number uint64, over bool)
	// IsLive reports whether a router acts under the name.
	IsLive(name string) bool
}

// ReplicaHolder holds replicas of other routers' calls and takes calls over as a successor. It must be used by one
// goroutine at a time.
type ReplicaHolder struct {
	Settings      Settings
	Name          string // of this router
	Log           FleetLog
	replicas      map[ownerKey]*replica
	heldCalls     int // in all replicas, incoming ones included
	taken         map[ownerKey]*takeoverState
	takenCount    int             // total length of calls in all takeover states
	activeTaken   map[string]bool // calls taken over that have not ended
	ends          []End           // of calls that were unknown where the end was received, oldest first
	endsAt        []time.Duration // when each of ends was received
	endByCall     map[string]End  // ends by call ID
	newEnds       []End           // that the next Output returns
	links         []string        // linked routers, to which received ends are forwarded
	adopt         []Call          // that the next Output returns
	drop          []string        // that the next Output returns
	nextAcks      pendingAcks     // of the batch that the next Output returns
	batches       uint64          // number of Outputs with calls to take over
	acksByBatch   map[uint64]pendingAcks
	sends         []Send               // that the next Output returns
	reported      map[ownerKey]bool    // earlier incarnations of this router whose successors have reported
	OnTaken       func(calls []string) // receives the calls that a successor reports as taken from this router
	incomingTaken []string             // calls of a report by a successor that is being received

	// Count holds the numbers of: frames refused; frames with records not stored, for lack of room or as malformed;
	// calls taken over; taken calls dropped because a replica with a higher number lacks them; replicas sent to
	// successors; ends of unknown calls received; calls and ends lost by limits or forgotten incarnations; takeovers
	// that didn't wait for the replicas of all live replica holders.
	Count struct{ Refused, Full, Taken, Dropped, LetGo, Heard, Lost, Guessed uint64 }
}

// NewReplicaHolder returns a ReplicaHolder without replicas for the router of that name.
func NewReplicaHolder(settings Settings, name string, fleetLog FleetLog) *ReplicaHolder {
	return &ReplicaHolder{
		Settings:    settings,
		Name:        name,
		Log:         fleetLog,
		replicas:    map[ownerKey]*replica{},
		taken:       map[ownerKey]*takeoverState{},
		acksByBatch: map[uint64]pendingAcks{},
		activeTaken: map[string]bool{},
		endByCall:   map[string]End{},
		reported:    map[ownerKey]bool{},
	}
}

// Receive processes a frame of another router. Incarnation is the one by which this router acts, 0 without a lease;
// now is the time on this router's clock. Frames that are malformed or that the sender may not send are counted as
// refused.
func (h *ReplicaHolder) Receive(now time.Duration, from string, frame *takeoverpb.Frame, incarnation uint64) {
	key := ownerKey{frame.Owner, frame.Incarnation}
	reply := func(r *takeoverpb.Frame) {
		r.Owner, r.Incarnation = frame.Owner, frame.Incarnation
		h.sends = append(h.sends, Send{from, r})
	}
	switch {
	case frame.GetGive() != nil:
		if frame.Owner != from || frame.Incarnation == 0 {
			h.Count.Refused++
			return
		}
		confirm := h.receiveGive(now, key, frame.GetGive())
		confirm.Asked = frame.GetGive().Asked
		reply(&takeoverpb.Frame{What: &takeoverpb.Frame_Confirm{Confirm: confirm}})
	case frame.GetPass() != nil:
		if h.receivePass(now, from, key, frame.GetPass(), incarnation) {
			state := h.stateOf(key)
			state.replies = append(state.replies, Send{from, &takeoverpb.Frame{
				Owner:       frame.Owner,
				Incarnation: frame.Incarnation,
				What:        &takeoverpb.Frame_Passed{Passed: &takeoverpb.Passed{Number: frame.GetPass().Number}},
			}})
		}
	case frame.GetPassed() != nil:
		if held := h.replicas[key]; held != nil && held.sentTo == from && held.number <= frame.GetPassed().Number {
			h.dropReplica(held)
		}
	case frame.GetHeard() != nil:
		if len(frame.GetHeard().Ends) > maxPageRecords {
			h.Count.Refused++
			return
		}
		var list []End
		for _, e := range frame.GetHeard().Ends {
			switch {
			case len(e.Call) == 0 || len(e.Call) > maxIDLen:
			case e.Tell: // its own router cannot notify the caller any more
				h.newEnds = append(h.newEnds, End{e.Call, uint8(e.How), e.At, e.ByCaller, true})
			default:
				list = append(list, End{e.Call, uint8(e.How), e.At, e.ByCaller, false})
			}
		}
		h.ReceiveEnds(now, from, list)
	case frame.GetBack() != nil:
		if frame.Owner != h.Name || len(frame.GetBack().Calls) > maxPageRecords ||
			len(h.incomingTaken) > maxTakenCalls {
			h.incomingTaken = nil
			h.Count.Refused++
			return
		}
		if h.incomingTaken = append(h.incomingTaken, frame.GetBack().Calls...); frame.GetBack().Last {
			if h.OnTaken != nil {
				h.OnTaken(h.incomingTaken)
			}
			h.incomingTaken = nil
			h.reported[key] = true
			reply(&takeoverpb.Frame{What: &takeoverpb.Frame_Settled{Settled: &takeoverpb.Settled{}}})
		}
	case frame.GetSettled() != nil:
		if state := h.taken[key]; state != nil && from == frame.Owner {
			h.takenCount -= len(state.calls)
			state.settled = true
			clear(state.calls)
		}
	default:
		h.Count.Refused++
	}
}

// receiveGive applies records or a snapshot page that an owner sent, and returns the confirmation to send back.
func (h *ReplicaHolder) receiveGive(now time.Duration, key ownerKey, msg *takeoverpb.Give) *takeoverpb.Confirm {
	held := h.replicas[key]
	// Records of an incarnation that is over are rejected, except while this router's guarantee holds: until then the
	// owner may still act. They are confirmed with Over set, which doesn't extend the guarantee.
	over := h.Log.IsOver(key.owner, key.incarnation) && mutant != "confirm-the-dead"
	if over && (held == nil || held.sentTo != "" || now >= held.guaranteedUntil || mutant == "deaf-to-the-last") {
		return &takeoverpb.Confirm{Over: true}
	}
	if msg.Drop {
		if held != nil {
			h.dropReplica(held)
		}
		return &takeoverpb.Confirm{Dropped: true}
	}
	list, ok := decodeRecords(msg.Records)
	if held == nil && len(h.replicas) < maxOwners {
		held = &replica{ownerKey: key, calls: callTable{}}
		h.replicas[key] = held
	}
	if !ok || held == nil || h.heldCalls+len(list) > maxHeldCalls {
		h.Count.Full++
		return &takeoverpb.Confirm{Again: true}
	}
	if !over && mutant != "no-vouch" {
		held.guaranteedUntil = now + h.Settings.HolderGuaranteeTTL()
	}
	switch {
	case msg.First || msg.Last || held.incoming != nil:
		if msg.First {
			h.heldCalls -= len(held.incoming)
			held.incoming = callTable{}
		}
		if held.incoming == nil {
			return &takeoverpb.Confirm{Again: true}
		}
		before := len(held.incoming)
		for i := range list {
			held.incoming.apply(&list[i])
		}
		h.heldCalls += len(held.incoming) - before
		if msg.Last {
			h.heldCalls -= len(held.calls)
			held.calls, held.incoming, held.number, held.complete = held.incoming, nil, msg.From, true
		}
	case !held.complete || msg.From > held.number && mutant != "mind-no-gap":
		return &takeoverpb.Confirm{Again: true}
	default:
		before := len(held.calls)
		// Records that were already applied are skipped.
		skip := int(min(held.number-min(msg.From, held.number), uint64(len(list))))
		for i := range list[skip:] {
			held.calls.apply(&list[skip+i])
		}
		h.heldCalls += len(held.calls) - before
		held.number = max(held.number, msg.From+uint64(len(list)))
	}
	if len(msg.Holders) > 0 && len(msg.Holders) <= 8 {
		held.holders = msg.Holders
	}
	if msg.Leave {
		held.ownerLeft, held.guaranteedUntil = true, 0
	}
	return &takeoverpb.Confirm{Upto: held.number, Over: over}
}

// dropReplica deletes a replica.
func (h *ReplicaHolder) dropReplica(held *replica) {
	h.heldCalls -= len(held.calls) + len(held.incoming)
	delete(h.replicas, held.ownerKey)
}

// Tick hands over or takes over replicas of ended incarnations whose guarantee has expired, reports taken calls to
// owners that act again, and forgets ends after their TTL. Incarnation is the one by which this router acts, 0 without
// a lease: then nothing is handed over or taken over.
func (h *ReplicaHolder) Tick(now time.Duration, incarnation uint64) {
	for len(h.ends) > 0 && now-h.endsAt[0] > h.Settings.EndTTL {
		h.forgetOldestEnd()
	}
	if incarnation == 0 {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(h.replicas), func(a, b ownerKey) int {
		return cmp.Or(cmp.Compare(a.owner, b.owner), cmp.Compare(a.incarnation, b.incarnation))
	}) {
		held := h.replicas[key]
		successor, successorIncarnation, over := h.Log.SuccessorOf(key.owner, key.incarnation)
		switch {
		case !over && !h.Log.IsOver(key.owner, key.incarnation),
			now < held.guaranteedUntil && mutant != "let-go-early":
			continue
		case !over: // it ended so long ago that the log has forgotten its successor
			h.Count.Lost += uint64(len(held.calls))
			h.dropReplica(held)
		case successor == h.Name && successorIncarnation == incarnation || mutant == "every-holder":
			if held.sentTo != h.Name {
				held.sentTo = h.Name
				h.addReplica(now, key, h.Name,
					&replica{number: held.number, calls: maps.Clone(held.calls), holders: held.holders})
				h.stateOf(key).own = append(h.stateOf(key).own, held)
			}
		case successor != "" && successor != h.Name &&
			(held.sentTo != successor || now-held.sentAt > passRetryInterval):
			held.sentTo, held.sentAt = successor, now
			h.Count.LetGo++
			h.handOver(held)
		}
	}
	for key, state := range h.taken {
		h.takeBestReplica(now, key, state)
		// Once the log has forgotten the incarnation, its replicas are no longer handed over.
		if _, _, known := h.Log.SuccessorOf(key.owner, key.incarnation); state.settled && !known {
			delete(h.taken, key)
		}
		if state.mustReport() && h.Log.IsOver(key.owner, key.incarnation) && h.Log.IsLive(key.owner) &&
			now-state.reportedAt > passRetryInterval {
			state.reportedAt, state.closed = now, mutant != "never-closed"
			h.reportTaken(key, state)
		}
	}
}

// handOver sends a replica to the successor, preceded by the remembered ends.
func (h *ReplicaHolder) handOver(held *replica) {
	for list := range slices.Chunk(h.ends, maxPageRecords) {
		h.sends = append(h.sends, heardFrame(held.sentTo, list))
	}
	ids := slices.Sorted(maps.Keys(held.calls))
	for first := true; first || len(ids) > 0; first = false {
		count := min(len(ids), maxPageRecords)
		page := &takeoverpb.Pass{Number: held.number, First: first, Last: count == len(ids), Holders: held.holders}
		for _, id := range ids[:count] {
			page.Records = append(page.Records, encodeRecord(&Record{Pending, *held.calls[id]}))
		}
		ids = ids[count:]
		h.sends = append(h.sends, Send{held.sentTo, &takeoverpb.Frame{
			Owner:       held.owner,
			Incarnation: held.incarnation,
			What:        &takeoverpb.Frame_Pass{Pass: page},
		}})
	}
}

// receivePass processes a page of a replica that is handed over to this router as the successor. It reports whether
// the replica is now complete.
func (h *ReplicaHolder) receivePass(
	now time.Duration, from string, key ownerKey, page *takeoverpb.Pass, incarnation uint64,
) bool {
	successor, successorIncarnation, over := h.Log.SuccessorOf(key.owner, key.incarnation)
	list, ok := decodeRecords(page.Records)
	if !ok || !over || successor != h.Name || successorIncarnation != incarnation || incarnation == 0 {
		h.Count.Refused++
		return false
	}
	state := h.stateOf(key)
	if page.First {
		state.incoming[from] = callTable{}
	}
	incoming := state.incoming[from]
	if incoming == nil || len(incoming)+len(list) > maxHeldCalls {
		return false
	}
	for i := range list {
		incoming.apply(&list[i])
	}
	if !page.Last {
		return false
	}
	delete(state.incoming, from)
	h.addReplica(now, key, from, &replica{number: page.Number, calls: incoming, holders: page.Holders})
	return true
}

// addReplica stores a complete replica that a replica holder handed over.
func (h *ReplicaHolder) addReplica(now time.Duration, key ownerKey, from string, held *replica) {
	state := h.stateOf(key)
	if len(state.replicas) == 0 {
		state.firstAt = now
	}
	state.replicas[from] = held
}

// takeBestReplica takes over the replica with the highest number, once the replicas of all live replica holders have
// arrived or gatherTimeout has passed.
func (h *ReplicaHolder) takeBestReplica(now time.Duration, key ownerKey, state *takeoverState) {
	if len(state.replicas) == 0 {
		return
	}
	var best *replica
	complete := true
	for _, from := range slices.Sorted(maps.Keys(state.replicas)) {
		held := state.replicas[from]
		if best == nil || held.number > best.number {
			best = held
		}
		for _, name := range held.holders {
			complete = complete && (state.replicas[name] != nil || !h.Log.IsLive(name))
		}
	}
	if !complete && now-state.firstAt < gatherTimeout && mutant != "first-copy" {
		return
	}
	if !complete {
		h.Count.Guessed++
	}
	clear(state.replicas)
	h.takeCalls(now, key, best.number, best.calls)
	h.nextAcks.replies, h.nextAcks.own = append(h.nextAcks.replies, state.replies...),
		append(h.nextAcks.own, state.own...)
	state.replies, state.own = nil, nil
}

// stateOf returns the takeover state of an incarnation, which it creates if there is none.
func (h *ReplicaHolder) stateOf(key ownerKey) *takeoverState {
	state := h.taken[key]
	if state == nil {
		state = &takeoverState{
			calls:    map[string]bool{},
			incoming: map[string]callTable{},
			replicas: map[string]*replica{},
		}
		h.taken[key] = state
	}
	return state
}

// takeCalls takes over the calls of a replica. Of several replicas the one with the highest number is authoritative:
// a call that it lacks is over in the owner's own ledger, and is dropped if it was taken over from a replica with a
// lower number.
func (h *ReplicaHolder) takeCalls(now time.Duration, key ownerKey, number uint64, calls callTable) {
	state := h.stateOf(key)
	if state.closed || state.number > number || state.number == number && len(state.calls) > 0 {
		return
	}
	if state.number > 0 && mutant != "lower-copy" { // 0: calls came in replicas of other owners
		for id := range state.calls {
			if calls[id] == nil && h.activeTaken[id] {
				h.drop = append(h.drop, id)
				delete(h.activeTaken, id)
				delete(state.calls, id)
				h.takenCount--
				h.Count.Dropped++
			}
		}
	}
	state.number = number
	for _, id := range slices.Sorted(maps.Keys(calls)) {
		call := *calls[id]
		if state.calls[id] || h.activeTaken[id] { // already taken over, perhaps from another owner
			continue
		}
		if h.takenCount >= maxTakenCalls {
			h.Count.Lost++
			continue
		}
		state.calls[id] = true
		h.takenCount++
		for _, origin := range call.Origins { // earlier owners are notified, too
			if earlier := h.stateOf(ownerKey{origin.Owner, origin.Incarnation}); !earlier.calls[id] &&
				!earlier.closed {
				earlier.calls[id] = true
				h.takenCount++
			}
		}
		call.Origins = append(slices.Clone(call.Origins), Origin{key.owner, key.incarnation})
		call.Origins = call.Origins[max(0, len(call.Origins)-maxOrigins):]
		h.adopt = append(h.adopt, call)
		if end, ok := h.endByCall[id]; ok {
			h.newEnds = append(h.newEnds, end)
		} else if call.Established {
			h.activeTaken[id] = true
		}
		h.Count.Taken++
	}
}

// reportTaken sends an owner that acts again the report of which calls were taken from it.
func (h *ReplicaHolder) reportTaken(key ownerKey, state *takeoverState) {
	ids := slices.Sorted(maps.Keys(state.calls))
	for first := true; first || len(ids) > 0; first = false {
		count := min(len(ids), maxPageRecords)
		h.sends = append(h.sends, Send{key.owner, &takeoverpb.Frame{
			Owner:       key.owner,
			Incarnation: key.incarnation,
			What:        &takeoverpb.Frame_Back{Back: &takeoverpb.Back{Calls: ids[:count], Last: count == len(ids)}},
		}})
		ids = ids[count:]
	}
}

// SetLinks sets the routers to which links are open.
func (h *ReplicaHolder) SetLinks(names []string) { h.links = names }

// ForwardEnds asks a linked router to notify the callers of ended calls, because this router no longer can. It returns
// false if no router is linked.
func (h *ReplicaHolder) ForwardEnds(list []End) bool {
	if len(h.links) == 0 {
		return false
	}
	for part := range slices.Chunk(list, maxPageRecords) {
		h.sends = append(h.sends, heardFrame(h.links[0], part))
	}
	return true
}

// SendKnownEnds sends the remembered ends to a router whose link has just opened, which may have missed them while
// there was no link.
func (h *ReplicaHolder) SendKnownEnds(name string) {
	for list := range slices.Chunk(h.ends, maxPageRecords) {
		h.sends = append(h.sends, heardFrame(name, list))
	}
}

// ReceiveEnds takes ends of calls that were unknown to the router that received them: this router if from is empty,
// otherwise the one named from. New ones are returned by the next Output, since the calls may belong to this router,
// and are forwarded to all linked routers; repeated ones are ignored.
func (h *ReplicaHolder) ReceiveEnds(now time.Duration, from string, list []End) {
	var newEnds []End
	for _, end := range list {
		if _, ok := h.endByCall[end.Call]; ok {
			continue
		}
		if len(h.ends) >= maxRememberedEnds {
			h.Count.Lost++
			h.forgetOldestEnd()
		}
		h.endByCall[end.Call] = end
		h.ends, h.endsAt = append(h.ends, end), append(h.endsAt, now)
		h.Count.Heard++
		newEnds = append(newEnds, end)
		delete(h.activeTaken, end.Call)
	}
	// The event loop may have received an end before it learned that this router has taken the call over, so ends that
	// come from the loop are returned to it, too.
	if from != "" || mutant != "heard-before-taken" {
		h.newEnds = append(h.newEnds, newEnds...)
	}
	for part := range slices.Chunk(newEnds, maxPageRecords) {
		for _, to := range h.links {
			if to != from {
				h.sends = append(h.sends, heardFrame(to, part))
			}
		}
	}
}

// forgetOldestEnd deletes the oldest remembered end.
func (h *ReplicaHolder) forgetOldestEnd() {
	delete(h.endByCall, h.ends[0].Call)
	h.ends, h.endsAt = h.ends[1:], h.endsAt[1:]
}

// heardFrame returns a frame that informs a router of ends.
func heardFrame(to string, list []End) Send {
	msg := &takeoverpb.Heard{}
	for _, end := range list {
		msg.Ends = append(msg.Ends, &takeoverpb.End{
			Call:     end.Call,
			How:      uint32(end.Outcome),
			At:       end.At,
			ByCaller: end.ByCaller,
			Tell:     end.NotifyCaller,
		})
	}
	return Send{to, &takeoverpb.Frame{What: &takeoverpb.Frame_Heard{Heard: msg}}}
}

// Actions is what the event loop has to do, in the order of the fields.
type Actions struct {
	BatchID uint64   // batch to pass to ConfirmBatch once its calls are replicated; 0: nothing to confirm
	Adopt   []Call   // calls to take over
	Drop    []string // calls taken over that are over in their owner's ledger
	Ends    []End    // received ends of calls that may be this router's
}

// ConfirmBatch must be called when a replica holder of this router has confirmed the calls of a batch, before the
// event loop acts on them. It acknowledges the replicas to the routers that handed them over, so that no other router
// takes the calls over.
func (h *ReplicaHolder) ConfirmBatch(batchID uint64) {
	acks := h.acksByBatch[batchID]
	delete(h.acksByBatch, batchID)
	h.sends = append(h.sends, acks.replies...)
	for _, held := range acks.own {
		if h.replicas[held.ownerKey] == held {
			h.dropReplica(held)
		}
	}
}

// Output returns the frames to send and the actions for the event loop since the last call.
func (h *ReplicaHolder) Output() (sends []Send, actions Actions) {
	sends, actions = h.sends, Actions{Adopt: h.adopt, Drop: h.drop, Ends: h.newEnds}
	if len(h.adopt)+len(h.nextAcks.replies)+len(h.nextAcks.own) > 0 {
		h.batches++
		actions.BatchID = h.batches
		h.acksByBatch[h.batches], h.nextAcks = h.nextAcks, pendingAcks{}
	}
	h.sends, h.adopt, h.drop, h.newEnds = nil, nil, nil, nil
	return sends, actions
}

// NextTick returns the time by which Tick has to be called if nothing is received before.
func (h *ReplicaHolder) NextTick(now time.Duration) time.Duration {
	at := time.Duration(math.MaxInt64)
	for key, held := range h.replicas {
		if successor, _, over := h.Log.SuccessorOf(key.owner, key.incarnation); over && successor != "" {
			at = min(at, max(held.guaranteedUntil, held.sentAt+passRetryInterval, now+tickInterval))
		}
	}
	for key, state := range h.taken {
		if len(state.replicas) > 0 {
			at = min(at, now+tickInterval)
		}
		if state.mustReport() && h.Log.IsLive(key.owner) {
			at = min(at, state.reportedAt+passRetryInterval)
		}
	}
	return at
}

// WantedLinks returns the routers to which links are needed: successors for held replicas, and owners of taken calls,
// which may act again and need the report.
func (h *ReplicaHolder) WantedLinks() (list []string) {
	for key := range h.replicas {
		if successor, _, over := h.Log.SuccessorOf(key.owner, key.incarnation); over && successor != "" &&
			successor != h.Name {
			list = append(list, successor)
		}
	}
	for key, state := range h.taken {
		if state.mustReport() {
			list = append(list, key.owner)
		}
	}
	return list
}

// HasReported reports whether the successor of an earlier incarnation of this router has reported which calls it took.
func (h *ReplicaHolder) HasReported(incarnation uint64) bool {
	return h.reported[ownerKey{h.Name, incarnation}]
}

// Report returns the state of a router's Owner and ReplicaHolder for operators.
func Report(now time.Duration, owner *Owner, holder *ReplicaHolder) *takeoverpb.Report {
	report := &takeoverpb.Report{
		Incarnation: owner.incarnation,
		Number:      owner.number,
		Calls:       uint64(len(owner.calls)),
		Counts: map[string]uint64{
			"given":   owner.Count.Given,
			"whole":   owner.Count.Whole,
			"taken":   holder.Count.Taken,
			"dropped": holder.Count.Dropped,
			"let-go":  holder.Count.LetGo,
			"heard":   holder.Count.Heard,
			"lost":    holder.Count.Lost,
			"full":    holder.Count.Full,
			"guessed": holder.Count.Guessed,
			"refused": holder.Count.Refused + owner.Count.Refused,
		},
	}
	if !owner.Unreplicated() {
		report.Confirmed = owner.Confirmed()
	}
	for _, name := range owner.HolderNames() {
		state := owner.holders[name]
		report.Holders = append(report.Holders, &takeoverpb.Held{
			Name:        name,
			Incarnation: state.incarnation,
			Number:      state.confirmed,
			Whole:       state.snapshotSent,
			Vouched:     int64((state.guaranteedUntil - now) / time.Microsecond),
		})
	}
	for key, held := range holder.replicas {
		successor, _, _ := holder.Log.SuccessorOf(key.owner, key.incarnation)
		report.Held = append(report.Held, &takeoverpb.Held{
			Name:        key.owner,
			Incarnation: key.incarnation,
			Number:      held.number,
			Calls:       uint64(len(held.calls)),
			Whole:       held.complete,
			Vouched:     int64((held.guaranteedUntil - now) / time.Microsecond),
			Successor:   successor,
		})
	}
	for key, state := range holder.taken {
		report.Taken = append(report.Taken, &takeoverpb.Held{
			Name:        key.owner,
			Incarnation: key.incarnation,
			Number:      state.number,
			Calls:       uint64(len(state.calls)),
		})
	}
	for _, list := range [][]*takeoverpb.Held{report.Held, report.Taken} {
		slices.SortFunc(list, func(a, b *takeoverpb.Held) int {
			return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
		})
	}
	return report
}

// FindCall describes where a call is known at this router: as its own call in progress, in a replica, or as taken
// over.
func FindCall(id string, owner *Owner, holder *ReplicaHolder) (where []string) {
	if held := owner.calls[id]; held != nil {
		where = append(where, "in hand of "+owner.Name+" at "+held.Server)
	}
	for key, held := range holder.replicas {
		if call := held.calls[id]; call != nil {
			where = append(where, "held for "+key.owner+" at "+call.Server)
		}
	}
	for key, state := range holder.taken {
		if state.calls[id] {
			where = append(where, "taken over from "+key.owner)
		}
	}
	slices.Sort(where)
	return where
}

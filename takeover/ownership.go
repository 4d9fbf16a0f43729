package takeover

import (
	"maps"
	"slices"
	"time"
)

// This file implements the decision, made on the event loop, for which calls a router acts: which calls of other
// routers it has taken over, which of its own it may reclaim, and what happens when it receives their ends.

// CallHandler carries out the decisions of an OwnershipManager on the router's own state: its ledger, its callers and
// its connections to servers. It is called on the event loop.
type CallHandler interface {
	// RelinquishAll gives up all calls in progress and returns the IDs of those that are established.
	RelinquishAll() (established []string)
	// RelinquishEstablished gives up the established calls alone and returns their IDs.
	RelinquishEstablished() (established []string)
	// RetractEnds is called after RelinquishAll. It removes and returns the ends of calls whose notifications have not
	// been sent yet.
	RetractEnds() []End
	// Adopt enters a call that was taken over into the ledger. It returns false if the call is in the ledger already,
	// or is not established: its caller no longer waits for the answer.
	Adopt(c Call) bool
	// Drop removes from the ledger a call that is in another router's ledger.
	Drop(id string)
	// EndCall ends a call whose end another router has received. If taken is true, this router has taken the call
	// over; otherwise the call may be one of its own.
	EndCall(e End, taken bool)
	// NotifyCaller notifies a caller of the end of its call, which the call's own router can no longer do.
	NotifyCaller(e End)
	// RequestReports has the case servers report again what routers have not received from them.
	RequestReports()
	// MarkTaken is called with the IDs of calls of earlier incarnations that other routers have taken over.
	MarkTaken(ids []string)
	// ReclaimRemaining is called when all calls of earlier incarnations that others have taken over are known: the
	// remaining ones belong to this router again.
	ReclaimRemaining()
}

// OwnershipManager decides for which calls a router acts. Its methods must be called on the event loop.
type OwnershipManager struct {
	Handler      CallHandler
	Recorder     *Recorder
	incarnation  uint64 // by which the router acts, or acted last
	relinquished bool
	adopted      map[string]bool // calls taken over that have not ended
	pending      []pendingTake   // calls taken over that are not yet replicated
	pendingEnds  map[string]*End // calls that may become this router's; their ends, nil if none was received
	// Count holds the numbers of relinquishments of all calls, adopted calls, reclaimed calls and evacuations.
	Count struct{ Ceased, Adopted, Again, Evacuated uint64 }
}

// pendingTake is a list of calls taken over that are adopted once a replica holder has confirmed the records up to
// number.
type pendingTake struct {
	number uint64
	calls  []Call
}

// NewOwnershipManager returns the OwnershipManager of a router that has started. Open lists the calls of earlier
// incarnations whose ends are not known.
func NewOwnershipManager(handler CallHandler, recorder *Recorder, open []string) *OwnershipManager {
	m := &OwnershipManager{
		Handler:     handler,
		Recorder:    recorder,
		adopted:     map[string]bool{},
		pendingEnds: map[string]*End{},
	}
	for _, id := range open {
		m.pendingEnds[id] = nil
	}
	return m
}

// CheckOwnership must be called first in each loop iteration and after each wait. Incarnation is the one by which the
// router acts now, 0 without a lease; over reports whether its own incarnation has ended. A router without a lease
// relinquishes its calls when its incarnation has ended or at guaranteedUntil, when the first guarantee of a replica
// holder may expire. A router that acts by another incarnation than before relinquishes them, too. CheckOwnership
// reports whether the router has just relinquished its calls.
func (m *OwnershipManager) CheckOwnership(
	now time.Duration, incarnation uint64, over bool, guaranteedUntil time.Duration,
) bool {
	lapsed := m.Lapsed(now, incarnation, over, guaranteedUntil)
	if incarnation != 0 {
		m.incarnation = incarnation
	}
	if !lapsed {
		m.relinquished = m.relinquished && incarnation == 0
		return false
	}
	m.relinquished = incarnation == 0
	m.Count.Ceased++
	m.Recorder.StopRecording()
	for _, id := range m.Handler.RelinquishAll() {
		m.pendingEnds[id] = nil
	}
	m.releaseAdopted()
	if mutant != "late-words" {
		// Replica holders have these calls as established: the caller is notified of the end by the router that takes
		// the call over, or by this router once it knows that none has.
		for _, e := range m.Handler.RetractEnds() {
			m.pendingEnds[e.Call] = &e
		}
	}
	return true
}

// releaseAdopted gives up the calls taken over, also those not yet replicated: the routers with replicas of them will
// hand them over to this router's own successor.
func (m *OwnershipManager) releaseAdopted() {
	for id := range m.adopted {
		m.pendingEnds[id] = nil
	}
	clear(m.adopted)
	m.pending = nil
}

// Evacuate relinquishes the established calls at an operator's request and returns their number. It must be called
// while no notification of an end is pending. Set-ups that are in flight continue, and the router acts by its next
// incarnation.
func (m *OwnershipManager) Evacuate() (calls int) {
	m.Count.Evacuated++
	m.Recorder.StopRecordingEstablished()
	established := m.Handler.RelinquishEstablished()
	for _, id := range established {
		m.pendingEnds[id] = nil
	}
	calls = len(established) + len(m.adopted)
	m.releaseAdopted()
	m.relinquished = true
	return calls
}

// Lapsed reports whether CheckOwnership would relinquish the calls now. If so, no output about them may be sent before
// it has.
func (m *OwnershipManager) Lapsed(
	now time.Duration, incarnation uint64, over bool, guaranteedUntil time.Duration,
) bool {
	switch {
	case incarnation != 0:
		return !m.relinquished && m.incarnation != 0 && m.incarnation != incarnation && mutant != "old-work"
	case m.relinquished || mutant == "act-on":
		return false
	}
	return over && m.incarnation != 0 || now >= guaranteedUntil
}

// Relinquished reports whether the router has relinquished its calls and has not acquired a lease again since then.
func (m *OwnershipManager) Relinquished() bool { return m.relinquished }

// Apply applies the actions that a ReplicaHolder has output. Calls to take over are recorded; AdoptConfirmed adopts
// them once a replica holder has the records.
func (m *OwnershipManager) Apply(actions Actions) {
	if actions.BatchID != 0 {
		for _, c := range actions.Adopt {
			m.Recorder.Adopt(c)
			m.pendingEnds[c.ID] = nil
		}
		m.pending = append(m.pending, pendingTake{m.Recorder.LastNumber(), actions.Adopt})
	}
	for _, id := range actions.Drop {
		delete(m.adopted, id)
		delete(m.pendingEnds, id)
		m.Handler.Drop(id)
		m.Recorder.QueueEnd(id)
	}
	for _, end := range actions.Ends {
		m.ReceiveEnd(end)
	}
}

// AdoptConfirmed adopts the taken calls whose records, up to number, this router's own replica holders have
// confirmed.
func (m *OwnershipManager) AdoptConfirmed(number uint64) {
	for len(m.pending) > 0 && (number >= m.pending[0].number || mutant == "act-at-once") {
		list := m.pending[0].calls
		m.pending = m.pending[1:]
		for _, call := range list {
			end, present := m.pendingEnds[call.ID]
			delete(m.pendingEnds, call.ID)
			if !present { // dropped in the meantime
				continue
			}
			if !m.Handler.Adopt(call) {
				m.Recorder.QueueEnd(call.ID)
				continue
			}
			m.Count.Adopted++
			m.adopted[call.ID] = true
			if end != nil {
				m.ReceiveEnd(*end)
			}
		}
		if len(list) > 0 {
			m.Handler.RequestReports()
		}
	}
}

// MarkTaken must be called with the IDs of calls of earlier incarnations that other routers have taken over.
func (m *OwnershipManager) MarkTaken(ids []string) {
	for _, id := range ids {
		delete(m.pendingEnds, id)
	}
	m.Handler.MarkTaken(ids)
}

// ReclaimRemaining must be called when all calls that others have taken over are known. The remaining calls that this
// router has relinquished, or that were open when it started, belong to it again.
func (m *OwnershipManager) ReclaimRemaining() {
	m.Handler.ReclaimRemaining()
	for _, id := range slices.Sorted(maps.Keys(m.pendingEnds)) {
		if slices.ContainsFunc(m.pending, func(s pendingTake) bool {
			return slices.ContainsFunc(s.calls, func(c Call) bool { return c.ID == id })
		}) {
			continue
		}
		end := m.pendingEnds[id]
		delete(m.pendingEnds, id)
		m.adopted[id] = true
		m.Count.Again++
		if end != nil {
			m.ReceiveEnd(*end)
		}
	}
}

// ReceiveEnd processes the end of a call, which another router has received.
func (m *OwnershipManager) ReceiveEnd(end End) {
	if end.NotifyCaller {
		m.Handler.NotifyCaller(end)
		return
	}
	if _, pending := m.pendingEnds[end.Call]; pending {
		m.pendingEnds[end.Call] = &end
		return
	}
	m.Handler.EndCall(end, m.endAdopted(end.Call))
}

// ClaimEnd processes the end of a call that this router's own Router does not know. It reports whether this router
// has to notify the caller: it has taken the call over, or no other router is linked that could know of it.
func (m *OwnershipManager) ClaimEnd(end End, linked bool) bool {
	if _, pending := m.pendingEnds[end.Call]; pending {
		m.pendingEnds[end.Call] = &end
		return false
	}
	return m.endAdopted(end.Call) || !linked
}

// endAdopted removes a call that was taken over and has ended. It returns false if the call was not taken over.
func (m *OwnershipManager) endAdopted(id string) bool {
	adopted := m.adopted[id]
	if adopted {
		delete(m.adopted, id)
		m.Recorder.QueueEnd(id)
	}
	return adopted
}

// AdoptFromProcess adopts an established call of another process of this router, which gives it up once that is
// confirmed. It returns false if the call is adopted already.
func (m *OwnershipManager) AdoptFromProcess(call Call) bool {
	if m.adopted[call.ID] {
		return false
	}
	m.Recorder.Adopt(call)
	m.adopted[call.ID] = true
	m.Count.Adopted++
	return true
}

// DropAdopted removes an adopted call whose end another process of this router has handled.
func (m *OwnershipManager) DropAdopted(id string) { m.endAdopted(id) }

// HasAdopted reports whether a call was taken over and has not ended.
func (m *OwnershipManager) HasAdopted(id string) bool { return m.adopted[id] }

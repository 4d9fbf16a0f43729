package node

import (
	"encoding/json"
	"net/netip"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/sip"
	"threadglade.example/threadglade/takeover"
)

// This file passes the established calls of a router with takeover from a process that was told to end to the new one.
// The old process keeps its lease, and acts for its calls, until its unanswered set-ups are done. An established call is
// its own until the new process has confirmed that it has adopted it; then its replica holders learn that it has ended
// there. The lease goes to the new process once the old one has no calls left.

const (
	// frameCallOffer offers an established call to the new process (JSON, callOffer). frameCallAdopted confirms that
	// that one acts for it from now on. frameCallOver tells it that the call had ended before; both carry the call's ID.
	frameCallOffer   = sip.FirstOwnerFrame + 9
	frameCallAdopted = sip.FirstOwnerFrame + 10
	frameCallOver    = sip.FirstOwnerFrame + 11
	// maxAdoptedCalls bounds the adopted calls that are kept to be passed on. Releases of further ones go to any caller,
	// and other routers take them over once this process exits.
	maxAdoptedCalls = 1 << 16
)

// callOffer is an established call that is offered to the new process.
type callOffer struct {
	Call   takeover.Call `json:"call"`
	Caller netip.Addr    `json:"caller"`
}

// callTransfer passes established calls from the old process to the new one.
type callTransfer struct {
	node    *Node
	offered map[string]bool      // calls that were offered and not confirmed, by ID
	adopted map[string]callOffer // calls that this process has adopted, from its old process or from other routers
}

// hasTakeover reports whether this router's calls are replicated.
func (t *callTransfer) hasTakeover() bool { return t.node.fleet != nil && t.node.fleet.HasTakeover() }

// ---- old process ----

// offerCalls offers the established calls of SIP callers, whose connections the new process has, and the adopted calls.
// Calls of call control stay while their clients are connected here.
func (t *callTransfer) offerCalls() {
	n := t.node
	if !t.hasTakeover() || n.handover.newProcessLink == nil {
		return
	}
	callers := map[string]netip.Addr{}
	for _, call := range n.Router.EstablishedCalls() {
		if call.Front == "sip" {
			callers[call.ID] = call.Caller
		}
	}
	for id, offer := range t.adopted {
		if !n.fleet.HasAdopted(id) {
			delete(t.adopted, id)
		} else if !t.offer(offer) {
			return
		}
	}
	if len(callers) == 0 {
		return
	}
	for _, call := range n.fleet.EstablishedCalls() {
		if caller, ok := callers[call.ID]; ok && !t.offer(callOffer{call, caller}) {
			return
		}
	}
}

// offer offers one call, once. It returns false if the link is full; the call is offered later then.
func (t *callTransfer) offer(offer callOffer) bool {
	if t.offered[offer.Call.ID] {
		return true
	}
	payload, err := json.Marshal(offer)
	if err != nil || !sendFrame(t.node.handover.newProcessLink, frameCallOffer, payload) {
		return false
	}
	t.offered[offer.Call.ID] = true
	return true
}

// newProcessLost keeps the calls that the new process has not confirmed.
func (t *callTransfer) newProcessLost() { clear(t.offered) }

// handleNewProcessFrame handles a frame from the new process. It returns false if it is of another kind.
func (t *callTransfer) handleNewProcessFrame(kind byte, payload []byte) bool {
	if kind != frameCallAdopted {
		return false
	}
	n, id := t.node, string(payload)
	if !t.offered[id] {
		return true
	}
	delete(t.offered, id)
	_, isAdopted := t.adopted[id]
	switch {
	case n.Router.RelinquishCall(id):
		n.trunk.RelinquishCall(id)
	case isAdopted && n.fleet.HasAdopted(id):
		t.forget(id)
		n.fleet.DropAdopted(id)
	default: // it has ended here meanwhile
		sendFrame(n.handover.newProcessLink, frameCallOver, payload)
	}
	return true
}

// ---- new process ----

// handleOldProcessFrame handles a frame from the old process. It returns false if it is of another kind or malformed.
func (t *callTransfer) handleOldProcessFrame(kind byte, payload []byte) bool {
	switch {
	case !t.hasTakeover():
		return false
	case kind == frameCallOffer:
		var offer callOffer
		if json.Unmarshal(payload, &offer) != nil || offer.Call.ID == "" {
			return false
		}
		t.adopt(offer)
	case kind == frameCallOver:
		t.forget(string(payload))
		t.node.fleet.DropAdopted(string(payload))
	default:
		return false
	}
	return true
}

// adopt takes over a call of the old process.
func (t *callTransfer) adopt(offer callOffer) {
	t.remember(offer)
	t.node.fleet.AdoptFromProcess(offer.Call)
	sendFrame(t.node.handover.oldProcessLink, frameCallAdopted, []byte(offer.Call.ID))
}

// releaseToCaller sends the release of a call that is not in the Router's table to its caller.
func (t *callTransfer) releaseToCaller(id string, outcome threadglade.Outcome) {
	t.node.front.ReleaseToCallerAt(t.adopted[id].Caller, id, outcome)
	t.forget(id)
}

// remember keeps an adopted call, to be passed on to the next process.
func (t *callTransfer) remember(offer callOffer) {
	if len(t.adopted) < maxAdoptedCalls {
		t.adopted[offer.Call.ID] = offer
	}
}

// forget forgets an adopted call that is over.
func (t *callTransfer) forget(id string) { delete(t.adopted, id) }

package node

import (
	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/handover"
	"threadglade.example/threadglade/internal/sip"
)

// This file connects the call control fronts of two processes during a hot restart.

const (
	// frameClientCall passes an established call of call control on to the new process: the length of its ID (1 byte),
	// the ID, the identity. frameClientCallEnded passes its end on: the outcome (1 byte), the ID.
	frameClientCall      = sip.FirstOwnerFrame + 2
	frameClientCallEnded = sip.FirstOwnerFrame + 3
	// frameCallControl carries a message between the call control fronts, in either direction.
	frameCallControl = sip.FirstOwnerFrame + 4
)

// newProcessCalls implements callcontrol.NewProcess: it passes calls on through the link to the new process.
type newProcessCalls struct{ n *Node }

// PassOn implements callcontrol.NewProcess.
func (c newProcessCalls) PassOn(id, identity string) bool {
	payload := append(append([]byte{byte(len(id))}, id...), identity...)
	return sendFrame(c.n.handover.newProcessLink, frameClientCall, payload)
}

// PassOnEnd implements callcontrol.NewProcess.
func (c newProcessCalls) PassOnEnd(id string, outcome threadglade.Outcome) bool {
	return sendFrame(c.n.handover.newProcessLink, frameClientCallEnded, append([]byte{byte(outcome)}, id...))
}

// Send implements callcontrol.NewProcess.
func (c newProcessCalls) Send(message []byte) bool {
	return sendFrame(c.n.handover.newProcessLink, frameCallControl, message)
}

// oldProcessCalls implements callcontrol.OldProcess: it asks for calls through the link to the old process.
type oldProcessCalls struct{ n *Node }

// Send implements callcontrol.OldProcess.
func (c oldProcessCalls) Send(message []byte) bool {
	return sendFrame(c.n.handover.oldProcessLink, frameCallControl, message)
}

// sendFrame sends a frame without a descriptor. It returns false if there is no link or the frame can't be sent.
func sendFrame(link *handover.Link, kind byte, payload []byte) bool {
	return link != nil && link.Send(kind, payload, -1, false)
}

// onClientCallFrame handles a frame about a call of call control from the old process. It returns false if the frame is
// of another kind or malformed.
func (n *Node) onClientCallFrame(kind byte, payload []byte) bool {
	switch {
	case n.callControl == nil || len(payload) < 2:
		return false
	case kind == frameClientCall && len(payload) > 1+int(payload[0]):
		idEnd := 1 + int(payload[0])
		n.callControl.AdoptCall(string(payload[1:idEnd]), string(payload[idEnd:]))
	case kind == frameClientCallEnded:
		n.callControl.EndAdopted(string(payload[1:]), threadglade.Outcome(payload[0]))
	case kind == frameCallControl:
		return n.callControl.HandleOldProcessMessage(payload)
	default:
		return false
	}
	return true
}

// onClientRequestFrame handles a frame about a call of call control from the new process. It returns false if the frame
// is of another kind or malformed.
func (n *Node) onClientRequestFrame(kind byte, payload []byte) bool {
	return kind == frameCallControl && n.callControl != nil && n.callControl.HandleNewProcessMessage(payload)
}

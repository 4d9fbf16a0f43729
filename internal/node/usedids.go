package node

import (
	"slices"

	"threadglade.example/threadglade/internal/handover"
	"threadglade.example/threadglade/internal/sip"
)

// This file tells the other processes of this router which call IDs are in use during a hot restart, so that a set-up
// that comes again at another process doesn't run twice. A process in standby gets all of them as it connects, and each
// further one as it is used.

const (
	// frameUsedIDs carries IDs of calls, each of usedIDSize bytes. frameReusableID carries one that may be used again.
	frameUsedIDs    = sip.FirstOwnerFrame + 12
	frameReusableID = sip.FirstOwnerFrame + 13
	// usedIDSize is the length in bytes of a call's ID, and maxIDsPerFrame the number in a frame.
	usedIDSize     = 16
	maxIDsPerFrame = 4096
)

// otherProcessLinks returns the links to the other processes of this router, except for the given one.
func (n *Node) otherProcessLinks(except *handover.Link) (links []*handover.Link) {
	for _, link := range []*handover.Link{n.handover.oldProcessLink, n.handover.newProcessLink} {
		if link != nil && link != except {
			links = append(links, link)
		}
	}
	return links
}

// sendUsedIDs sends the IDs that are in use to the process in standby.
func (n *Node) sendUsedIDs() {
	for ids := range slices.Chunk(n.Router.UsedIDs(), maxIDsPerFrame) {
		var payload []byte
		for _, id := range ids {
			if len(id) == usedIDSize {
				payload = append(payload, id...)
			}
		}
		sendFrame(n.handover.newProcessLink, frameUsedIDs, payload)
	}
}

// onIDUsed tells the other processes that an ID is in use.
func (n *Node) onIDUsed(id string) {
	if len(id) == usedIDSize {
		n.sendToOthers(nil, frameUsedIDs, []byte(id))
	}
}

// onIDReusable tells the other processes that an ID may be used again.
func (n *Node) onIDReusable(id string) { n.sendToOthers(nil, frameReusableID, []byte(id)) }

// sendToOthers sends a frame to the other processes, except for the one that it came from.
func (n *Node) sendToOthers(from *handover.Link, kind byte, payload []byte) {
	if n.handover.oldProcessLink == nil && n.handover.newProcessLink == nil {
		return
	}
	for _, link := range n.otherProcessLinks(from) {
		sendFrame(link, kind, payload)
	}
}

// onUsedIDFrame handles a frame about IDs that another process uses. It returns false if it is of another kind or
// malformed.
func (n *Node) onUsedIDFrame(from *handover.Link, kind byte, payload []byte) bool {
	switch {
	case kind == frameUsedIDs && len(payload)%usedIDSize == 0:
		for id := range slices.Chunk(payload, usedIDSize) {
			n.Router.MarkUsed(string(id))
		}
	case kind == frameReusableID:
		n.Router.MarkReusable(string(payload))
	default:
		return false
	}
	n.sendToOthers(from, kind, payload)
	return true
}

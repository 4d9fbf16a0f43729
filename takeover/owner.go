package takeover

import (
	"maps"
	"math"
	"slices"
	"time"

	"threadglade.example/threadglade/takeover/takeoverpb"
)

// This file implements the owner's side of replication: which routers hold replicas of this router's calls, how far
// they have confirmed the records, and until when the router may act by their guarantees.

// renewalsPerGuarantee is how often a guarantee is renewed within its duration when there are no records to send.
const renewalsPerGuarantee = 3

// snapshotRetryDelay is the time from the last frame sent to a replica holder until it is sent a snapshot that it has
// asked for.
const snapshotRetryDelay = 50 * time.Millisecond

// holderState is the state of one router that has, or may have, a replica.
type holderState struct {
	name            string
	incarnation     uint64
	wanted          bool // it is chosen to hold a replica
	linked          bool
	mayHold         bool          // it may have a replica: one was sent and is not known to be dropped
	snapshotSent    bool          // a snapshot was sent since the link opened
	sentNumber      uint64        // number of the latest record sent to it
	confirmed       uint64        // number of the latest record that it has confirmed
	lastSent        time.Duration // when the latest frame was sent to it, 0 if none was
	guaranteedUntil time.Duration // until then it guarantees not to hand its replica over
	dropSent        bool          // the request to drop its replica was sent to it
}

// Owner replicates this router's calls to its replica holders. It must be used by one goroutine at a time.
type Owner struct {
	Settings    Settings
	Name        string // of this router
	incarnation uint64 // by which the router acts, 0 if by none
	calls       callTable
	number      uint64   // of the latest record
	tail        []Record // the latest records, not yet sent to replica holders
	tailStart   uint64   // number before the first record of tail
	holders     map[string]*holderState
	links       map[string]bool // linked routers
	holderNames []string        // routers chosen to hold a replica
	// Count holds the numbers of records sent, snapshots sent and confirmations refused.
	Count struct{ Given, Whole, Refused uint64 }
}

// NewOwner returns an Owner without calls.
func NewOwner(settings Settings, name string) *Owner {
	return &Owner{
		Settings: settings,
		Name:     name,
		calls:    callTable{},
		holders:  map[string]*holderState{},
		links:    map[string]bool{},
	}
}

// SetIncarnation sets the incarnation by which the router acts from now on; its replica holders get a snapshot under
// it. It has no effect until the event loop has relinquished the calls of an earlier incarnation, because the latest
// records still belong to that one.
func (o *Owner) SetIncarnation(incarnation uint64) {
	if o.incarnation != 0 && mutant != "old-work" {
		return
	}
	if incarnation != o.incarnation {
		o.incarnation = incarnation
		for _, h := range o.holders { // replicas of earlier incarnations are handed over as the log decides
			h.mayHold, h.snapshotSent, h.confirmed, h.guaranteedUntil, h.dropSent = false, false, 0, 0, false
		}
	}
}

// SetHolders sets the routers chosen to hold replicas, with their incarnations by name; over reports whether an
// incarnation has ended according to the log.
func (o *Owner) SetHolders(want map[string]uint64, over func(name string, incarnation uint64) bool) {
	o.holderNames = slices.Sorted(maps.Keys(want))
	for name, holder := range o.holders {
		if over(name, holder.incarnation) { // without a lease it can no longer hand its replica over
			delete(o.holders, name)
		} else if want[name] != 0 && !holder.wanted { // it is chosen again
			holder.wanted, holder.dropSent, holder.snapshotSent = true, false, false
		} else if holder.wanted = want[name] != 0; !holder.wanted && !holder.mayHold {
			delete(o.holders, name)
		}
	}
	for name, incarnation := range want {
		if o.holders[name] == nil {
			o.holders[name] = &holderState{name: name, incarnation: incarnation, wanted: true, linked: o.links[name]}
		}
	}
}

// HolderNames returns the routers to which links are needed.
func (o *Owner) HolderNames() []string { return slices.Sorted(maps.Keys(o.holders)) }

// SetLinked has to be called when a link to a router has opened or closed. After each call the router's replica
// starts again from a snapshot.
func (o *Owner) SetLinked(name string, linked bool) {
	o.links[name] = linked
	if h := o.holders[name]; h != nil {
		h.linked, h.snapshotSent, h.lastSent = linked, false, 0
	}
}

// Add applies records from the loop and queues them for the replica holders; first is the number of the first record.
func (o *Owner) Add(first uint64, list []Record) {
	for i := range list {
		o.calls.apply(&list[i])
	}
	o.number = first + uint64(len(list)) - 1
	if !slices.ContainsFunc(o.linkedHolders(), func(h *holderState) bool { return h.snapshotSent }) {
		o.tail, o.tailStart = nil, o.number
		return
	}
	o.tail = append(o.tail, list...)
}

// linkedHolders returns the replica holders to which there is a link, by name.
func (o *Owner) linkedHolders() (list []*holderState) {
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		if h := o.holders[name]; h.linked {
			list = append(list, h)
		}
	}
	return list
}

// Tick returns the frames to send now: new records, snapshots for replica holders that need one, and empty frames
// that renew guarantees in time.
func (o *Owner) Tick(now time.Duration) (sends []Send) {
	if o.incarnation == 0 {
		return nil
	}
	give := func(holder *holderState, msg *takeoverpb.Give) {
		msg.Asked = int64(now)
		if msg.First || len(msg.Records) == 0 {
			msg.Holders = o.holderNames
		}
		holder.lastSent = now
		sends = append(sends, Send{holder.name, &takeoverpb.Frame{
			Owner:       o.Name,
			Incarnation: o.incarnation,
			What:        &takeoverpb.Frame_Give{Give: msg},
		}})
	}
	for _, holder := range o.linkedHolders() {
		switch {
		case !holder.wanted:
			if holder.mayHold && now-holder.lastSent >= o.Settings.GuaranteeTTL/renewalsPerGuarantee {
				holder.dropSent = true
				give(holder, &takeoverpb.Give{Drop: true})
			}
		case !holder.snapshotSent && holder.lastSent != 0 && now-holder.lastSent < snapshotRetryDelay:
			// It had no room or found a gap in the records, and asked for another snapshot: wait before sending it.
		case !holder.snapshotSent:
			holder.snapshotSent, holder.mayHold, holder.sentNumber = true, true, o.number
			o.Count.Whole++
			ids := slices.Sorted(maps.Keys(o.calls))
			for first := true; first || len(ids) > 0; first = false {
				count := min(len(ids), maxPageRecords)
				msg := &takeoverpb.Give{From: o.number, First: first, Last: count == len(ids)}
				for _, id := range ids[:count] {
					msg.Records = append(msg.Records, encodeRecord(&Record{Pending, *o.calls[id]}))
				}
				ids = ids[count:]
				give(holder, msg)
			}
		case holder.sentNumber < o.number:
			for holder.sentNumber < o.number {
				from := holder.sentNumber - o.tailStart
				list := o.tail[from:min(from+maxPageRecords, uint64(len(o.tail)))]
				msg := &takeoverpb.Give{From: holder.sentNumber}
				for i := range list {
					msg.Records = append(msg.Records, encodeRecord(&list[i]))
				}
				holder.sentNumber += uint64(len(list))
				o.Count.Given += uint64(len(list))
				give(holder, msg)
			}
		case now-holder.lastSent >= o.Settings.GuaranteeTTL/renewalsPerGuarantee:
			give(holder, &takeoverpb.Give{From: holder.sentNumber})
		}
	}
	// All linked replica holders have been sent the tail; others start with a snapshot.
	o.tail, o.tailStart = o.tail[:0], o.number
	return sends
}

// NextTick returns the time by which Tick has to be called if nothing happens before.
func (o *Owner) NextTick() time.Duration {
	at := time.Duration(math.MaxInt64)
	if o.incarnation == 0 {
		return at
	}
	for _, h := range o.holders {
		switch {
		case !h.linked || !h.wanted && !h.mayHold:
		case h.wanted && !h.snapshotSent:
			at = min(at, h.lastSent+snapshotRetryDelay)
		case h.wanted && h.sentNumber < o.number:
			return 0
		default:
			at = min(at, h.lastSent+o.Settings.GuaranteeTTL/renewalsPerGuarantee)
		}
	}
	return at
}

// ReceiveConfirm processes a replica holder's confirmation. It reports whether the replica holder has learned from the
// log that the incarnation is over.
func (o *Owner) ReceiveConfirm(from string, incarnation uint64, confirm *takeoverpb.Confirm) (over bool) {
	holder := o.holders[from]
	if holder == nil || incarnation != o.incarnation || confirm.Upto > o.number {
		o.Count.Refused++
		return false
	}
	if confirm.Over { // its records count, but its guarantee is not extended
		holder.confirmed = max(holder.confirmed, confirm.Upto)
		return true
	}
	switch {
	case confirm.Dropped:
		holder.mayHold = holder.mayHold && !holder.dropSent
		if !holder.mayHold && !holder.wanted {
			delete(o.holders, from)
		}
		return false
	case confirm.Again:
		holder.snapshotSent = false
	default:
		holder.confirmed = max(holder.confirmed, confirm.Upto)
	}
	holder.guaranteedUntil = max(holder.guaranteedUntil, time.Duration(confirm.Asked)+o.Settings.GuaranteeTTL)
	return false
}

// Confirmed returns the number up to which at least one replica holder has all records, or the maximum if no replica
// holder is linked.
func (o *Owner) Confirmed() uint64 {
	if o.Unreplicated() {
		return math.MaxUint64
	}
	var most uint64
	for _, h := range o.holders {
		most = max(most, h.confirmed)
	}
	return most
}

// Unreplicated reports whether no replica holder is linked: calls then proceed without being replicated.
func (o *Owner) Unreplicated() bool {
	return o.incarnation == 0 || !slices.ContainsFunc(o.linkedHolders(), func(h *holderState) bool { return h.wanted })
}

// GuaranteedUntil returns the time until which this router may act without a lease, by the guarantees of its replica
// holders alone. It is one ConfirmTimeout before the first of the holders that may have a replica could hand it over,
// so that the router's last records still arrive there. Without any replica it is the maximum.
func (o *Owner) GuaranteedUntil() time.Duration {
	until := time.Duration(math.MaxInt64)
	for _, h := range o.holders {
		if h.mayHold {
			until = min(until, h.guaranteedUntil-o.Settings.ConfirmTimeout)
		}
	}
	return until
}

// RelinquishAll gives up all calls, which other routers may take over now, and returns the frames with the last
// records.
func (o *Owner) RelinquishAll(now time.Duration) (sends []Send) {
	sends = o.Tick(now)
	clear(o.calls)
	o.incarnation = 0
	o.tail, o.tailStart = nil, o.number
	for _, h := range o.holders {
		h.mayHold, h.snapshotSent = false, false
	}
	return sends
}

// Evacuate gives up the established calls and returns the last frames of this incarnation, after which replica
// holders need not wait for their guarantees to expire. Set-ups in flight continue under the next incarnation; in the
// replicas of this one they are recorded as ended, so that the successor doesn't cancel them.
func (o *Owner) Evacuate(now time.Duration) (sends []Send) {
	pending, number := callTable{}, o.number
	var over []Record
	for _, id := range slices.Sorted(maps.Keys(o.calls)) {
		if call := o.calls[id]; !call.Established && mutant != "withdrawn-alive" {
			pending[id] = call
			over = append(over, Record{Ended, Call{ID: id}})
		}
	}
	if len(over) > 0 {
		o.Add(o.number+1, over)
	}
	sends = o.AnnounceLeave(now)
	o.calls, o.incarnation, o.number = pending, 0, number
	o.tail, o.tailStart = nil, o.number
	for _, holder := range o.holders {
		holder.mayHold, holder.snapshotSent = false, false
	}
	return sends
}

// AnnounceLeave returns frames that notify the replica holders that the router has stopped acting: they need not wait
// for their guarantees to expire.
func (o *Owner) AnnounceLeave(now time.Duration) (sends []Send) {
	sends = o.Tick(now)
	for _, h := range o.linkedHolders() {
		if h.mayHold && h.wanted {
			sends = append(sends, Send{h.name, &takeoverpb.Frame{
				Owner:       o.Name,
				Incarnation: o.incarnation,
				What: &takeoverpb.Frame_Give{
					Give: &takeoverpb.Give{From: h.sentNumber, Asked: int64(now), Leave: true},
				},
			}})
		}
	}
	return sends
}

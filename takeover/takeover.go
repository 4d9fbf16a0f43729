// Package takeover replicates the calls in progress of a call router to other routers, and decides which router takes
// them over when the fleet's log has ended an incarnation. A Recorder turns events of calls into numbered records, an
// Owner sends them to replica holders, a ReplicaHolder keeps replicas, hands them over and takes calls over as a
// successor, and an OwnershipManager decides for which calls a router acts. Events and absolute times go in; frames to
// send and calls to take over come out. The package never answers or releases a call itself, does no I/O, starts no
// goroutine and reads no clock. docs/design/takeover.md states its guarantees and why they hold.
package takeover

import (
	"errors"
	"time"

	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/takeover/takeoverpb"
)

// Limits of received messages and of the state kept for other routers.
const (
	maxIDLen          = 64      // bytes, of a call ID
	maxTextLen        = 128     // bytes, of the name of a server, class, tenant or owner
	maxPageRecords    = 512     // records, ends or call IDs in a frame
	maxHeldCalls      = 1 << 16 // in all replicas that one router holds
	maxOwners         = 4096    // incarnations that one router holds replicas of
	maxRememberedEnds = 1 << 16 // ends of unknown calls
	maxTakenCalls     = 1 << 17 // taken calls that have yet to be reported to their owners
	maxOrigins        = 4       // earlier owners of a call that are kept
	maxSlots          = 1 << 20 // slots of router events; events of higher ones are not recorded
)

// Settings are the parameters of replication and takeover. All routers of a fleet have to agree on them.
type Settings struct {
	Replicas       int             // number of routers that hold a replica
	GuaranteeTTL   time.Duration   // V: how long a replica is not handed over after the owner has sent a frame
	ConfirmTimeout time.Duration   // how long an answer waits until a replica holder has confirmed its record
	NoWaitClasses  map[string]bool // classes whose answers do not wait
	NoWait         bool            // answers of no class wait
	ClockDrift     float64         // r: maximum relative error of the routers' clocks
	EndTTL         time.Duration   // how long ends of unknown calls are kept, to be sent to later successors
	ReclaimTimeout time.Duration   // how long a router waits after its start for reports of calls taken from it
}

// DefaultSettings returns the values that apply where the configuration sets none.
func DefaultSettings() Settings {
	return Settings{
		Replicas:       2,
		GuaranteeTTL:   3 * time.Second,
		ConfirmTimeout: 50 * time.Millisecond,
		ClockDrift:     0.01,
		EndTTL:         time.Minute,
		ReclaimTimeout: 10 * time.Second,
	}
}

// HolderGuaranteeTTL returns W = V (1+r) / (1-r): how long a replica holder keeps its guarantee by its own clock, so
// that it expires later than on the owner's clock, even if one clock is slow and the other fast by r.
func (s Settings) HolderGuaranteeTTL() time.Duration {
	return time.Duration(float64(s.GuaranteeTTL)*(1+s.ClockDrift)/(1-s.ClockDrift)) + time.Nanosecond
}

// Validate returns an error if a setting is out of range.
func (s Settings) Validate() error {
	switch {
	case s.Replicas < 1 || s.Replicas > 4:
		return errors.New("holders must be between 1 and 4")
	case s.GuaranteeTTL < 200*time.Millisecond || s.ConfirmTimeout <= 0 || s.ConfirmTimeout > s.GuaranteeTTL:
		return errors.New("vouch must be at least 200ms, patience above 0 and at most vouch")
	}
	return nil
}

// Origin is an incarnation that owned a call earlier.
type Origin struct {
	Owner       string
	Incarnation uint64
}

// Call is the state of a call in progress that is replicated to other routers.
type Call struct {
	ID, Server, Class, Tenant  string
	Attempt                    uint32
	Retry, InTime, Established bool
	AttemptedAt, EstablishedAt int64 // Unix milliseconds, when the attempt was sent and when the answer came
	Origins                    []Origin
}

// Kind is the kind of a Record.
type Kind uint8

// Kinds of records, with the fields that they carry.
const (
	Pending     Kind = iota + 1 // an attempt is in flight: all fields of Call
	Established                 // the attempt was answered, the call is established: ID, EstablishedAt, InTime
	Ended                       // the call or attempt is over: ID
)

// Record is one state change of a call.
type Record struct {
	Kind
	Call
}

// End is the end of a call that was unknown to the router that received it.
type End struct {
	Call         string
	Outcome      uint8 // a threadglade.Outcome
	At           int64 // Unix milliseconds
	ByCaller     bool  // the caller has released the call
	NotifyCaller bool  // the call is closed in its router's ledger, but the caller has yet to be notified
}

// Recorder turns the router's events into records. It must be used on the event loop.
type Recorder struct {
	Settings    Settings
	Tenant      func(e router.Event) string      // tenant of a call; nil: the tenant of the event
	SetupTarget func(class string) time.Duration // set-up time within which an answer is in time; nil: always
	WallClock   func() int64                     // Unix milliseconds

	slots       []slotState
	queued      []Record
	unsentEnds  []string // ended calls whose callers are not yet notified; replica holders keep them as established
	lastEnd     uint64   // number of the latest entry of unsentEnds; ends are numbered from 1
	lastNumber  uint64   // of the latest record
	lastAwaited uint64   // number of the latest record that an answer waits for
	Count       struct{ Records, Dropped uint64 }
}

// slotState is the state of the call in one slot of the router's events.
type slotState struct {
	call        Call // ID, Class, Tenant and Retry from its arrival, the rest once it is recorded
	arrivedAt   time.Duration
	recorded    bool
	awaitHolder bool
}

// maxQueuedRecords is the limit of records that wait to be taken; a new attempt beyond it is not recorded, and its
// call is not replicated.
const maxQueuedRecords = 1 << 16

// Observe implements router.Observer.
func (g *Recorder) Observe(event router.Event) {
	if event.Slot == 0 || event.Slot >= maxSlots {
		return
	}
	for int(event.Slot) >= len(g.slots) {
		g.slots = append(g.slots, slotState{})
	}
	slot := &g.slots[event.Slot]
	switch event.Kind {
	case router.Arrived:
		tenant := event.Tenant
		if g.Tenant != nil {
			tenant = g.Tenant(event)
		}
		*slot = slotState{
			call:        Call{ID: event.Call, Class: event.Class, Tenant: tenant, Retry: event.Retry},
			arrivedAt:   event.At,
			awaitHolder: !g.Settings.NoWait && !g.Settings.NoWaitClasses[event.Class],
		}
	case router.Sent:
		slot.call.ID, slot.call.Server, slot.call.Attempt = event.Call, event.Server, uint32(event.Attempt)
		slot.call.AttemptedAt = g.WallClock()
		if slot.recorded = g.add(Record{Pending, slot.call}, false); !slot.recorded {
			g.Count.Dropped++
		}
	case router.Established:
		if slot.recorded {
			slot.call.Established, slot.call.EstablishedAt = true, g.WallClock()
			slot.call.InTime = g.SetupTarget == nil || event.At-slot.arrivedAt <= g.SetupTarget(slot.call.Class)
			g.add(Record{Established, Call{
				ID:            event.Call,
				EstablishedAt: slot.call.EstablishedAt,
				InTime:        slot.call.InTime,
			}}, slot.awaitHolder)
		}
	case router.Closed:
		switch {
		case slot.recorded && slot.call.Established:
			g.QueueEnd(event.Call)
		case slot.recorded:
			g.add(Record{Ended, Call{ID: event.Call}}, false)
		}
		*slot = slotState{}
	}
}

func (g *Recorder) add(r Record, awaited bool) bool {
	if len(g.queued) >= maxQueuedRecords && r.Kind == Pending {
		return false
	}
	g.queued = append(g.queued, r)
	g.lastNumber++
	g.Count.Records++
	if awaited {
		g.lastAwaited = g.lastNumber
	}
	return true
}

// Adopt records a call that was taken over as this router's.
func (g *Recorder) Adopt(call Call) {
	g.add(Record{Pending, call}, false)
}

// QueueEnd queues the end of an established call. RecordEnds records it after the caller's notification has been sent:
// if replica holders dropped the call before and this router then died, no router would notify the caller. If the
// router dies between sending and recording, its successor may notify the caller a second time.
func (g *Recorder) QueueEnd(id string) {
	if mutant == "end-before-word" {
		g.add(Record{Ended, Call{ID: id}}, true)
		return
	}
	g.unsentEnds = append(g.unsentEnds, id)
	g.lastEnd++
}

// LastEnd returns the number of the latest queued end.
func (g *Recorder) LastEnd() uint64 { return g.lastEnd }

// PendingEnds returns how many queued ends are not recorded yet.
func (g *Recorder) PendingEnds() int { return len(g.unsentEnds) }

// RecordEnds records the queued ends up to a number, whose notifications have been sent.
func (g *Recorder) RecordEnds(upto uint64) {
	first := g.lastEnd - uint64(len(g.unsentEnds)) + 1
	for ; len(g.unsentEnds) > 0 && first <= upto; first++ {
		g.add(Record{Ended, Call{ID: g.unsentEnds[0]}}, false)
		g.unsentEnds = g.unsentEnds[1:]
	}
	if len(g.unsentEnds) == 0 {
		g.unsentEnds = nil
	}
}

// EstablishedCalls returns the recorded calls of this router that are established.
func (g *Recorder) EstablishedCalls() (list []Call) {
	for i := range g.slots {
		if g.slots[i].recorded && g.slots[i].call.Established {
			list = append(list, g.slots[i].call)
		}
	}
	return list
}

// StopRecordingEstablished stops recording the established calls, which another router takes over.
func (g *Recorder) StopRecordingEstablished() {
	for i := range g.slots {
		g.slots[i].recorded = g.slots[i].recorded && !g.slots[i].call.Established
	}
}

// StopRecording stops recording all calls in progress, which this router no longer owns, and drops the queued ends.
func (g *Recorder) StopRecording() {
	g.unsentEnds = nil
	for i := range g.slots {
		g.slots[i].recorded = false
	}
}

// LastAwaited returns the number of the latest record that an answer waits for.
func (g *Recorder) LastAwaited() uint64 { return g.lastAwaited }

// Take returns the records since the last call, the number of the first, and the number of the latest record that an
// answer waits for. New records are appended to next, whose contents are overwritten.
func (g *Recorder) Take(next []Record) (first uint64, list []Record, awaited uint64) {
	list = g.queued
	g.queued = next[:0]
	return g.lastNumber - uint64(len(list)) + 1, list, g.lastAwaited
}

// LastNumber returns the number of the latest record.
func (g *Recorder) LastNumber() uint64 { return g.lastNumber }

// HasRecords reports whether there are records to take.
func (g *Recorder) HasRecords() bool { return len(g.queued) > 0 }

// encodeRecord converts a record to its protobuf message.
func encodeRecord(r *Record) *takeoverpb.Record {
	call := &r.Call
	msg := &takeoverpb.Record{
		Kind:    uint32(r.Kind),
		Call:    call.ID,
		Server:  call.Server,
		Class:   call.Class,
		Tenant:  call.Tenant,
		Attempt: call.Attempt,
		Retry:   call.Retry,
		InTime:  call.InTime,
		Since:   call.AttemptedAt,
		Stood:   call.EstablishedAt,
		Stands:  call.Established,
	}
	for _, origin := range call.Origins {
		msg.Origins = append(msg.Origins, &takeoverpb.Origin{Owner: origin.Owner, Incarnation: origin.Incarnation})
	}
	return msg
}

// decodeRecords converts received records. It returns false if there are too many or one is malformed.
func decodeRecords(in []*takeoverpb.Record) (list []Record, ok bool) {
	if len(in) > maxPageRecords {
		return nil, false
	}
	for _, msg := range in {
		record := Record{Kind(msg.Kind), Call{
			ID:            msg.Call,
			Server:        msg.Server,
			Class:         msg.Class,
			Tenant:        msg.Tenant,
			Attempt:       msg.Attempt,
			Retry:         msg.Retry,
			InTime:        msg.InTime,
			AttemptedAt:   msg.Since,
			EstablishedAt: msg.Stood,
			Established:   msg.Stands,
		}}
		if record.Kind < Pending || record.Kind > Ended || record.ID == "" || len(record.ID) > maxIDLen ||
			len(record.Server) > maxTextLen || len(record.Class) > maxTextLen || len(record.Tenant) > maxTextLen ||
			len(msg.Origins) > maxOrigins {
			return nil, false
		}
		for _, origin := range msg.Origins {
			if len(origin.Owner) > maxTextLen {
				return nil, false
			}
			record.Origins = append(record.Origins, Origin{origin.Owner, origin.Incarnation})
		}
		list = append(list, record)
	}
	return list, true
}

// callTable holds calls by ID, as built from records.
type callTable map[string]*Call

// apply updates the table by a record. Established and Ended records of unknown calls are ignored.
func (t callTable) apply(r *Record) {
	switch r.Kind {
	case Pending:
		c := r.Call
		t[r.ID] = &c
	case Established:
		if c := t[r.ID]; c != nil {
			c.Established, c.EstablishedAt, c.InTime = true, r.EstablishedAt, r.InTime
		}
	case Ended:
		delete(t, r.ID)
	}
}

// Send is a frame to be sent to another router.
type Send struct {
	To    string
	Frame *takeoverpb.Frame
}

package threadglade

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

// This file encodes the state of a Controller in canonical form, by which a model checker recognises states that it
// has visited. It must cover everything that a later decision depends on: an omission would hide orders of events.

// TimerCall returns the call that a timer's token belongs to, or "" for the timer of waiting calls. It returns
// false if the timer has no effect any more.
func (c *Controller) TimerCall(token int64) (call string, live bool) {
	if token == waitingTimerToken {
		return "", true
	}
	pending := c.timers[token]
	if pending == nil || pending.closed && !pending.inFlight {
		return "", false
	}
	return pending.Call, true
}

// stateEncoder encodes a state in canonical form, with times relative to now.
type stateEncoder struct {
	buf []byte
	now time.Duration
}

func (f *stateEncoder) integers(list ...int64) {
	for _, n := range list {
		f.buf = binary.AppendVarint(f.buf, n)
	}
}

func (f *stateEncoder) text(s string) {
	f.buf = append(binary.AppendUvarint(f.buf, uint64(len(s))), s...)
}

func (f *stateEncoder) float(x float64) {
	f.buf = binary.LittleEndian.AppendUint64(f.buf, math.Float64bits(x))
}

func (f *stateEncoder) bools(list ...bool) {
	for _, is := range list {
		if is {
			f.integers(1)
		} else {
			f.integers(0)
		}
	}
}

// pastTime encodes the age of a past time; 0 means never.
func (f *stateEncoder) pastTime(t time.Duration) {
	if t == 0 {
		f.integers(-1)
	} else {
		f.integers(int64(f.now - t))
	}
}

// remaining encodes the time left until a deadline; all deadlines that have passed are equal.
func (f *stateEncoder) remaining(t time.Duration) { f.integers(int64(max(0, t-f.now))) }

func (f *stateEncoder) meter(m *meter) {
	f.integers(int64(m.spacing))
	f.bools(m.hasCall)
	f.pastTime(m.lastCall)
}

func (f *stateEncoder) server(server *serverState, startedAt time.Duration) {
	f.text(server.ID)
	f.integers(int64(server.Number), int64(server.State), int64(server.inFlight), int64(server.baseLatency),
		int64(server.failures), int64(server.faults), int64(server.lastLatency), int64(server.probation),
		int64(server.freeAgents), int64(server.totalAgents), int64(server.climbIntervals), int64(server.gap),
		int64(server.admissions), int64(server.answers), int64(server.rejections), int64(server.spanIntervals))
	f.pastTime(server.Started)
	if server.inFlight > 0 { // compared with the send times of set-ups in flight
		f.pastTime(server.answeredSentAt)
	}
	f.pastTime(server.removedAt)
	f.pastTime(server.answeredAt)
	f.pastTime(server.creditedAt)
	f.pastTime(server.lastRejection)
	f.remaining(server.coolDownUntil)
	f.remaining(server.probeAt)
	f.remaining(server.gapUntil)
	f.remaining(server.coldFractionUntil)
	f.remaining(server.avoidUntil)
	f.float(server.credit)
	f.float(server.coldFraction)
	if server.Started > 0 { // may be cold
		f.pastTime(server.turnsAt)
		f.integers(int64(server.turnAgents))
		f.float(server.turnPosition)
		f.float(server.usedTurns)
		f.bools(startedAt >= server.Started)
	}
	f.float(server.rate)
	f.float(server.climbStart)
	f.float(server.rejectionRatio)
	f.bools(server.active)
	f.meter(&server.meter)
	f.meter(&server.admissionMeter)
	f.integers(int64(len(server.overdue)))
	for _, call := range server.overdue {
		f.text(call.Call)
	}
}

func (f *stateEncoder) call(call *callState, set *Settings) {
	f.text(call.Call)
	f.text(call.Class)
	f.text(call.Tenant)
	f.text(call.Number)
	f.integers(int64(call.Destination), int64(call.attempts), int64(call.faults),
		int64(call.deadline-f.now), int64(call.aimEnd-f.now), int64(max(0, call.waitUntil-f.now)))
	f.bools(call.Retry, call.InTransit, call.inFlight, call.established, call.closed, call.mayHaveRun,
		call.late, call.lost,
		call.rejectionCounted, call.redirected, call.settings == set, call.countedAt != nil, call.server != nil)
	f.float(call.value)
	f.pastTime(call.sentAt)
	f.pastTime(call.retryAt) // 0: none
	if call.countedAt != nil {
		f.text(call.countedAt.ID)
	}
	if call.server != nil {
		f.text(call.server.ID)
	}
}

// AppendState appends a canonical form of the state to b, with times relative to now. It covers everything that
// later decisions depend on except the random numbers: two Controllers with the same settings and form make the
// same decisions for the same events and random numbers.
func (c *Controller) AppendState(b []byte, now time.Duration) []byte {
	enc := &stateEncoder{buf: b, now: now}
	enc.integers(int64(c.intervalEnd-now), int64(c.agentsInUse), int64(c.totalAgents))
	enc.pastTime(c.lastLateArrival)
	enc.remaining(c.waitingPollAt)
	enc.float(c.lossRate)
	enc.bools(c.redrawn, c.coldDivided, c.retryBudget.Limited)
	enc.float(c.unassignedFraction)
	enc.integers(int64(c.retryBudget.Remaining))
	enc.meter(&c.ownArrivals)
	enc.integers(int64(len(c.servers)))
	for _, server := range c.servers {
		enc.server(server, c.startedAt)
	}
	if enc.bools(c.remembered != nil); c.remembered != nil {
		enc.text(c.remembered.ID)
	}
	enc.integers(int64(len(c.calls)))
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		enc.call(c.calls[id], c.settings)
	}
	enc.integers(int64(len(c.waiting)))
	for _, call := range c.waiting {
		enc.text(call.Call)
		enc.bools(call.closed)
	}
	for _, name := range slices.Sorted(maps.Keys(c.tenants)) {
		enc.meter(&c.tenants[name].meter)
	}
	enc.integers(int64(len(c.firstTries)))
	for _, number := range slices.Sorted(maps.Keys(c.firstTries)) {
		enc.text(number)
		enc.pastTime(c.firstTries[number])
	}
	enc.integers(int64(len(c.firstTryOrder)))
	for _, t := range c.firstTryOrder {
		enc.text(t.number)
		enc.pastTime(t.at)
	}
	enc.integers(int64(len(c.busyNumbers)))
	for _, number := range slices.Sorted(maps.Keys(c.busyNumbers)) {
		enc.text(number)
		enc.remaining(c.busyNumbers[number].until)
		enc.integers(int64(c.busyNumbers[number].length))
	}
	return enc.buf
}

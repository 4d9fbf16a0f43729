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

// TimerCall returns the call that a timer's token belongs to, or "" for the timer of waiting calls. live is false
// if the timer no longer has an effect.
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

func (e *stateEncoder) integers(values ...int64) {
	for _, n := range values {
		e.buf = binary.AppendVarint(e.buf, n)
	}
}

func (e *stateEncoder) text(s string) {
	e.buf = append(binary.AppendUvarint(e.buf, uint64(len(s))), s...)
}

func (e *stateEncoder) float(x float64) {
	e.buf = binary.LittleEndian.AppendUint64(e.buf, math.Float64bits(x))
}

func (e *stateEncoder) bools(values ...bool) {
	for _, value := range values {
		if value {
			e.integers(1)
		} else {
			e.integers(0)
		}
	}
}

// pastTime encodes the age of a past time; 0 means never.
func (e *stateEncoder) pastTime(t time.Duration) {
	if t == 0 {
		e.integers(-1)
	} else {
		e.integers(int64(e.now - t))
	}
}

// remaining encodes the time left until a deadline; all deadlines that have passed are equal.
func (e *stateEncoder) remaining(t time.Duration) { e.integers(int64(max(0, t-e.now))) }

func (e *stateEncoder) meter(m *meter) {
	e.integers(int64(m.spacing))
	e.bools(m.hasCall)
	e.pastTime(m.lastCall)
}

func (e *stateEncoder) server(server *serverState, startedAt time.Duration) {
	e.text(server.ID)
	e.integers(int64(server.Number), int64(server.State), int64(server.inFlight), int64(server.baseLatency),
		int64(server.failures), int64(server.faults), int64(server.lastLatency), int64(server.probation),
		int64(server.freeAgents), int64(server.totalAgents), int64(server.climbIntervals), int64(server.gap),
		int64(server.admissions), int64(server.answers), int64(server.rejections), int64(server.spanIntervals))
	e.pastTime(server.Started)
	if server.inFlight > 0 { // compared with the send times of set-ups in flight
		e.pastTime(server.answeredSentAt)
	}
	e.pastTime(server.removedAt)
	e.pastTime(server.answeredAt)
	e.pastTime(server.creditedAt)
	e.pastTime(server.lastRejection)
	e.remaining(server.coolDownUntil)
	e.remaining(server.probeAt)
	e.remaining(server.gapUntil)
	e.remaining(server.coldFractionUntil)
	e.remaining(server.avoidUntil)
	e.float(server.credit)
	e.float(server.coldFraction)
	if server.Started > 0 { // may be cold
		e.pastTime(server.turnsAt)
		e.integers(int64(server.turnAgents))
		e.float(server.turnPosition)
		e.float(server.usedTurns)
		e.bools(startedAt >= server.Started)
	}
	e.float(server.rate)
	e.float(server.climbStart)
	e.float(server.rejectionRatio)
	e.bools(server.active)
	e.meter(&server.meter)
	e.meter(&server.admissionMeter)
	e.integers(int64(len(server.overdue)))
	for _, call := range server.overdue {
		e.text(call.Call)
	}
}

func (e *stateEncoder) call(call *callState, set *Settings) {
	e.text(call.Call)
	e.text(call.Class)
	e.text(call.Tenant)
	e.text(call.Number)
	e.integers(int64(call.Destination), int64(call.attempts), int64(call.faults),
		int64(call.deadline-e.now), int64(call.aimEnd-e.now), int64(max(0, call.waitUntil-e.now)))
	e.bools(call.Retry, call.InTransit, call.inFlight, call.established, call.closed, call.mayHaveRun,
		call.late, call.lost,
		call.rejectionCounted, call.redirected, call.settings == set, call.countedBy != nil, call.server != nil)
	e.float(call.value)
	e.pastTime(call.sentAt)
	e.pastTime(call.retryAt) // 0: none
	if call.countedBy != nil {
		e.text(call.countedBy.ID)
	}
	if call.server != nil {
		e.text(call.server.ID)
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
	enc.bools(c.redrawn, c.coldAssigned, c.retryBudget.Limited)
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
	for _, try := range c.firstTryOrder {
		enc.text(try.number)
		enc.pastTime(try.at)
	}
	enc.integers(int64(len(c.busyNumbers)))
	for _, number := range slices.Sorted(maps.Keys(c.busyNumbers)) {
		enc.text(number)
		enc.remaining(c.busyNumbers[number].until)
		enc.integers(int64(c.busyNumbers[number].length))
	}
	return enc.buf
}

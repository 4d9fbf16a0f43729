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
	k := c.timers[token]
	if k == nil || k.closed && !k.inFlight {
		return "", false
	}
	return k.Call, true
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

func (f *stateEncoder) server(s *server, born time.Duration) {
	f.text(s.ID)
	f.integers(int64(s.Number), int64(s.State), int64(s.inFlight), int64(s.baseLatency),
		int64(s.failures), int64(s.faults), int64(s.lastLatency), int64(s.probation),
		int64(s.freeAgents), int64(s.totalAgents), int64(s.climbIntervals), int64(s.gap),
		int64(s.admissions), int64(s.answers), int64(s.rejections), int64(s.spanIntervals))
	f.pastTime(s.Started)
	if s.inFlight > 0 { // compared with the send times of set-ups in flight
		f.pastTime(s.answeredSentAt)
	}
	f.pastTime(s.removedAt)
	f.pastTime(s.answeredAt)
	f.pastTime(s.creditedAt)
	f.pastTime(s.lastRejection)
	f.remaining(s.coolDownUntil)
	f.remaining(s.probeAt)
	f.remaining(s.gapUntil)
	f.remaining(s.coldFractionUntil)
	f.remaining(s.avoidUntil)
	f.float(s.credit)
	f.float(s.coldFraction)
	if s.Started > 0 { // may be cold
		f.pastTime(s.turnsAt)
		f.integers(int64(s.turnAgents))
		f.float(s.turnPosition)
		f.float(s.usedTurns)
		f.bools(born >= s.Started)
	}
	f.float(s.rate)
	f.float(s.climbStart)
	f.float(s.rejectionRatio)
	f.bools(s.active)
	f.meter(&s.meter)
	f.meter(&s.admissionMeter)
	f.integers(int64(len(s.overdue)))
	for _, k := range s.overdue {
		f.text(k.Call)
	}
}

func (f *stateEncoder) call(k *call, set *Settings) {
	f.text(k.Call)
	f.text(k.Class)
	f.text(k.Tenant)
	f.text(k.Number)
	f.integers(int64(k.Destination), int64(k.attempts), int64(k.faults),
		int64(k.deadline-f.now), int64(k.aimEnd-f.now), int64(max(0, k.waitUntil-f.now)))
	f.bools(k.Retry, k.InTransit, k.inFlight, k.established, k.closed, k.mayHaveRun, k.late, k.lost,
		k.rejectionCounted, k.redirected, k.settings == set, k.countedAt != nil, k.server != nil)
	f.float(k.value)
	f.pastTime(k.sentAt)
	f.pastTime(k.retryAt) // 0: none
	if k.countedAt != nil {
		f.text(k.countedAt.ID)
	}
	if k.server != nil {
		f.text(k.server.ID)
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
	for _, s := range c.servers {
		enc.server(s, c.startedAt)
	}
	if enc.bools(c.remembered != nil); c.remembered != nil {
		enc.text(c.remembered.ID)
	}
	enc.integers(int64(len(c.calls)))
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		enc.call(c.calls[id], c.settings)
	}
	enc.integers(int64(len(c.waiting)))
	for _, k := range c.waiting {
		enc.text(k.Call)
		enc.bools(k.closed)
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

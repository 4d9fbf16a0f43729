package verdict

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file records what this router observes of each server, and decides which servers it avoids because of verdicts.

const (
	// decayTime is the time constant of the exponential decay of counts. latencySamples is the number of answers over
	// which the latency is averaged.
	decayTime      = 4 * time.Second
	latencySamples = 16
	// maxResponseTimeout is the longest time after which an answer counts as missed.
	maxResponseTimeout = 2 * time.Second
	// maxSlots bounds the pending requests that are watched.
	maxSlots = 1 << 20
	// probeTimeout is how long a router whose turn it is to probe an avoided server waits for a call to probe with.
	probeTimeout = time.Second
	// minCallProbability is the lower bound assumed for the probability that a router has a call for the server within
	// probeTimeout.
	minCallProbability = 0.005
	// maxProbeBackoff is the largest factor by which the interval between probes grows while a server stays gone.
	maxProbeBackoff = 3
	// avoidTTL is how long a server is avoided without a renewal.
	avoidTTL = time.Second
	// slowCycle is the length of the cycle in which a slow server is avoided for a fraction of the time.
	slowCycle = time.Second
)

// End is the way in which an attempt ended without an established call.
type End uint8

// Ends of attempts.
const (
	Missed    End = iota + 1 // no answer in time, or the connection was lost
	Refused                  // no connection
	TooFull                  // rejected with cause "processor full"
	Alive                    // any other answer
	Withdrawn                // withdrawn by the caller's side: no evidence about the server
)

// Server is a case server that the server list shows as up.
type Server struct {
	Key
	Classes []string // classes of calls that it accepts
}

// serverState holds what this router has observed of one incarnation of a server, and whether it avoids the server.
type serverState struct {
	Server
	Record
	inFlight    []attempt     // attempts without an end, in the order sent
	meanLatency float64       // moving average, in seconds
	decayedAt   time.Duration // when the counts were last decayed
	reported    Record        // the latest record reported to the other routers
	reportedAt  time.Duration
	probeUntil  time.Duration // until when this router may send a probe; 0: none is due
	probing     bool          // a probe is in flight
	returnAt    time.Duration // when this router uses the recovered server again; 0: not chosen yet
	avoidUntil  time.Duration // end of the latest Avoidance returned
	phase       time.Duration // random offset in slowCycle, so that servers and routers differ
	drawnAt     time.Duration // when a draw last decided whether to probe; 0: none since the server became avoided
}

// attempt is a pending call set-up at a server.
type attempt struct {
	slot   uint32
	sent   time.Duration
	missed bool // its answer is overdue
}

// Watch tracks this router's attempts and decides which servers it avoids. It is not safe for concurrent use.
type Watch struct {
	Settings       Settings
	Zone           string
	random         *rand.Rand
	byID           map[string]*serverState
	bySlot         []*serverState // servers of pending attempts, by slot
	servers        []*serverState // sorted by name
	classSizes     map[string]int // servers of each class
	recentAttempts float64        // number of attempts, decaying with decayTime
	decayedAt      time.Duration  // when recentAttempts was last decayed
	seq            uint64         // of the latest record
	Count          WatchCounts
}

// WatchCounts counts the decisions of a Watch. The names of the fields are printed with the process's counters.
type WatchCounts struct {
	Cares       uint64 // servers avoided, and renewals
	Trials      uint64 // probes of avoided servers
	Returns     uint64 // servers used again
	Disregarded uint64 // verdicts disregarded because they would exclude more than MaxShare of a class
}

// NewWatch returns a Watch without servers. The seed has to differ between routers, so that their probes and returns
// do not coincide.
func NewWatch(settings Settings, zone string, seed uint64) *Watch {
	return &Watch{
		Settings:   settings,
		Zone:       zone,
		random:     rand.New(rand.NewPCG(seed, 11)),
		byID:       map[string]*serverState{},
		classSizes: map[string]int{},
	}
}

// SetServers sets the servers that are up. Observations of earlier incarnations and of removed servers are discarded.
func (w *Watch) SetServers(now time.Duration, list []Server) {
	previous := w.byID
	w.byID, w.servers = map[string]*serverState{}, nil
	clear(w.classSizes)
	for _, s := range list[:min(len(list), maxServers)] {
		state := previous[s.Server]
		if state == nil || state.Server.Key != s.Key {
			state = &serverState{decayedAt: now, phase: time.Duration(w.random.Int64N(int64(slowCycle)))}
			state.Record.Key = s.Key
		}
		state.Server = s
		w.byID[s.Server] = state
		w.servers = append(w.servers, state)
		for _, class := range s.Classes {
			w.classSizes[class]++
		}
	}
	slices.SortFunc(w.servers, func(a, b *serverState) int { return cmp.Compare(a.Server.Server, b.Server.Server) })
	for slot, state := range w.bySlot {
		if state != nil && w.byID[state.Server.Server] != state {
			w.bySlot[slot] = nil
		}
	}
}

// AttemptSent records an attempt that is about to be sent; slot is a small number that no other pending attempt has.
func (w *Watch) AttemptSent(now time.Duration, slot uint32, server string) {
	s := w.byID[server]
	if s == nil || slot >= maxSlots {
		return
	}
	for int(slot) >= len(w.bySlot) {
		w.bySlot = append(w.bySlot, nil)
	}
	w.bySlot[slot] = s
	w.decayAttempts(now)
	w.recentAttempts++
	s.inFlight = append(s.inFlight, attempt{slot: slot, sent: now})
	if s.probeUntil != 0 { // this attempt is the probe; no other is sent until it ends
		s.probeUntil, s.probing = 0, true
		w.Count.Trials++
	}
}

// removeAttempt removes and returns the pending attempt of a slot.
func (w *Watch) removeAttempt(slot uint32) (s *serverState, a attempt, ok bool) {
	if int(slot) >= len(w.bySlot) || w.bySlot[slot] == nil {
		return nil, a, false
	}
	s, w.bySlot[slot] = w.bySlot[slot], nil
	for i := range s.inFlight {
		if s.inFlight[i].slot == slot {
			a = s.inFlight[i]
			s.inFlight = slices.Delete(s.inFlight, i, i+1)
			return s, a, true
		}
	}
	return s, a, false
}

// AttemptAnswered records that the call of an attempt is established.
func (w *Watch) AttemptAnswered(now time.Duration, slot uint32) {
	s, a, ok := w.removeAttempt(slot)
	if !ok {
		return
	}
	s.decayCounts(now)
	latency := (now - a.sent).Seconds()
	if s.meanLatency == 0 {
		s.meanLatency = latency
	}
	s.Slowdown += (float32(latency/max(s.meanLatency, 1e-4)) - s.Slowdown) / 4
	s.recordAnswer(a)
	if now-a.sent > w.Settings.LateThreshold {
		s.Late++
		s.LateAt = now
		s.meanLatency += (latency - s.meanLatency) / (8 * latencySamples) // late answers change the mean only slowly
		return
	}
	s.meanLatency += (latency - s.meanLatency) / latencySamples
	s.Good++
	s.GoodAt = now
}

// recordAnswer records an answer of any kind to an attempt, which ends a series of missed answers.
func (s *serverState) recordAnswer(a attempt) {
	s.AnsweredSentAt = max(s.AnsweredSentAt, a.sent)
	s.Onset, s.probing = 0, false
}

// AttemptEnded records that an attempt has ended without an established call.
func (w *Watch) AttemptEnded(now time.Duration, slot uint32, end End) {
	s, a, ok := w.removeAttempt(slot)
	if !ok {
		return
	}
	s.decayCounts(now)
	switch end {
	case Missed:
		if !a.missed && a.sent > s.AnsweredSentAt {
			s.recordMiss(now, a, &s.Missed)
		}
		s.probing = false
	case Refused:
		s.recordMiss(now, a, &s.Refused)
		s.probing = false
	case TooFull:
		s.recordAnswer(a)
		s.Full++
		s.GoodAt = now
	case Alive:
		s.recordAnswer(a)
		s.Good++
		s.GoodAt = now
	case Withdrawn:
		s.probing = s.probing && len(s.inFlight) > 0
	}
}

// recordMiss records a missed answer or a failed connection, and counts it in count.
func (s *serverState) recordMiss(now time.Duration, a attempt, count *float32) {
	*count++
	s.BadAt = now
	if s.Onset == 0 {
		s.Onset = a.sent
	}
}

// decayCounts applies the exponential decay to the counts.
func (s *serverState) decayCounts(now time.Duration) {
	if now <= s.decayedAt {
		return
	}
	factor := float32(math.Exp(-float64(now-s.decayedAt) / float64(decayTime)))
	s.decayedAt = now
	for _, n := range []*float32{&s.Good, &s.Late, &s.Missed, &s.Refused, &s.Full} {
		*n *= factor
	}
}

// decayAttempts applies the exponential decay to the number of recent attempts.
func (w *Watch) decayAttempts(now time.Duration) {
	w.recentAttempts *= math.Exp(-float64(max(now-w.decayedAt, 0)) / float64(decayTime))
	w.decayedAt = max(now, w.decayedAt)
}

// responseTimeout returns how long an answer of the server may take before it counts as missed.
func (w *Watch) responseTimeout(s *serverState) time.Duration {
	return min(
		max(w.Settings.MinResponseTimeout, time.Duration(4*s.meanLatency*float64(time.Second))),
		maxResponseTimeout,
	)
}

// DetectMissed records overdue answers as missed. It skips attempts sent before one that was answered: the loss of
// such an attempt is no evidence that the server has failed.
func (w *Watch) DetectMissed(now time.Duration) {
	for _, s := range w.servers {
		if len(s.inFlight) == 0 {
			continue
		}
		timeout := w.responseTimeout(s)
		for i := range s.inFlight {
			a := &s.inFlight[i]
			if now-a.sent <= timeout {
				break
			}
			if a.sent <= s.AnsweredSentAt {
				continue
			}
			if !a.missed {
				a.missed = true
				s.decayCounts(now)
				s.recordMiss(now, *a, &s.Missed)
			}
			s.BadAt = now // the answer is still missing
		}
	}
}

// NextCheck returns the time from now until DetectMissed is due next if no attempt is sent or ends before.
func (w *Watch) NextCheck(now time.Duration) time.Duration {
	next := time.Hour
	for _, s := range w.servers {
		if len(s.inFlight) > 0 {
			if left := s.inFlight[0].sent + w.responseTimeout(s) - now; left > 0 {
				next = min(next, left)
			} else {
				next = min(next, w.Settings.ReportInterval)
			}
		}
	}
	return next
}

// OwnRecords returns this router's new records on servers that it suspects of a fault itself and on those that other
// routers suspect. suspected holds the latter, with the times since which answers are missing (see Table.Suspected);
// routers is the number of routers in the fleet. Servers without new observations to report are left out.
func (w *Watch) OwnRecords(now time.Duration, suspected map[Key]time.Duration, routers int) (list []Record) {
	for _, s := range w.servers {
		troubled := s.isBad() || s.Late >= 1 && now-s.LateAt < decayTime || s.Full >= 1 && now-s.GoodAt < decayTime
		since, isSuspected := suspected[s.Server.Key]
		if !troubled && !isSuspected || s.lastSeen() == 0 || now-s.lastSeen() > w.Settings.EvidenceTTL {
			continue
		}
		if !s.shouldReport(now, w.Settings, routers, since, troubled) {
			continue
		}
		s.decayCounts(now)
		r := s.Record
		w.seq++
		r.Seq, r.Zone = w.seq, w.Zone
		s.reported, s.reportedAt = r, now
		if mutant == "liar" {
			r.BadAt, r.GoodAt, r.AnsweredSentAt, r.Onset = r.GoodAt, r.BadAt, r.BadAt, max(r.GoodAt, 1)
		}
		list = append(list, r)
	}
	return list
}

// shouldReport reports whether the other routers need this router's current record on a server. They need it at once
// if the router has begun or ceased to miss answers. Otherwise they need new observations after the report interval if
// the router has had its first answer since others began to miss theirs, if its answers are late or find the server
// full, or if its last report is older than a sixth of EvidenceTTL.
func (s *serverState) shouldReport(
	now time.Duration, settings Settings, routers int, since time.Duration, troubled bool,
) bool {
	if s.reportedAt == 0 || s.isBad() != s.reported.isBad() {
		return true
	}
	if now-s.reportedAt < settings.reportInterval(routers) || s.lastSeen() == s.reported.lastSeen() {
		return false
	}
	answered, reportedAnswer := max(s.GoodAt, s.LateAt), max(s.reported.GoodAt, s.reported.LateAt)
	return answered > since && reportedAnswer <= since ||
		troubled && !s.isBad() ||
		now-s.reportedAt > settings.EvidenceTTL/6
}

// Avoidance tells the routing decisions to avoid a server until a time, or to use it again.
type Avoidance struct {
	Key
	Until   time.Duration // now or earlier: the server is usable again
	Verdict *Verdict      // the reason; nil: the server is usable again, or will be after a delay
}

// UpdateAvoidances applies the verdicts and returns the changes for the routing decisions. A router that has had an
// answer of a server since the others began to miss theirs relies on its own evidence.
func (w *Watch) UpdateAvoidances(now time.Duration, verdicts []Verdict) (changes []Avoidance) {
	excluded := map[Key]*Verdict{}
	avoided := map[string]int{}
	for i := range verdicts {
		v := &verdicts[i]
		s := w.byID[v.Server]
		if s == nil || s.Server.Key != v.Key && v.Kind != Held && mutant != "old-life" ||
			!v.excludes(w.Zone) && !(v.Kind == Slow && v.LateShare >= minLateShare) {
			continue
		}
		excluded[s.Server.Key] = v
		for _, class := range s.Classes {
			avoided[class]++
		}
	}
	withReturning := maps.Clone(avoided)
	// Recovered servers whose return is still delayed count as avoided, too. Any that exceed MaxShare return now.
	for _, s := range w.servers {
		if excluded[s.Server.Key] == nil && s.avoidUntil > now {
			for _, class := range s.Classes {
				withReturning[class]++
				if float64(withReturning[class]) > w.Settings.MaxShare*float64(w.classSizes[class]) && mutant != "no-share" {
					s.returnAt = now
				}
			}
		}
	}
	for _, s := range w.servers {
		v := excluded[s.Server.Key]
		for _, class := range s.Classes {
			if v != nil && float64(avoided[class]) > w.Settings.MaxShare*float64(w.classSizes[class]) && mutant != "no-share" {
				v = nil // with so many servers excluded, the fault is assumed to be on the routers' side
				w.Count.Disregarded++
			}
		}
		until, usable := w.avoidance(now, s, v)
		switch {
		// An avoidance is extended only if it is about to expire, or by at least a quarter of avoidTTL.
		case until > now && until > s.avoidUntil && (until-s.avoidUntil > avoidTTL/4 || s.avoidUntil-now < avoidTTL/4):
			changes = append(changes, Avoidance{s.Server.Key, until, v})
			s.avoidUntil = until
			w.Count.Cares++
		case usable && s.avoidUntil > now:
			changes = append(changes, Avoidance{s.Server.Key, now, nil})
			s.avoidUntil = now
			w.Count.Returns++
		}
	}
	return changes
}

// minLateShare is the fraction of late answers at which a slow server begins to be avoided for a fraction of the time.
const minLateShare = 0.2

// avoidance decides whether to avoid one server under the verdict v, which is nil if no verdict applies. It returns
// until when the server is to be avoided, or usable if it can be used from now on.
func (w *Watch) avoidance(now time.Duration, s *serverState, v *Verdict) (until time.Duration, usable bool) {
	if v == nil || v.Kind != Held && v.excludes(w.Zone) && s.GoodAt > v.Since+w.Settings.FlushInterval && !s.isBad() &&
		s.GoodAt != 0 {
		// Either this router has had an answer itself, on which it relies, or the server has recovered. After a
		// recovery the routers return one after the other.
		s.probeUntil, s.drawnAt = 0, 0
		answered := s.GoodAt != 0 && v != nil
		if s.avoidUntil <= now || answered {
			s.returnAt = 0
			return 0, true
		}
		if s.returnAt == 0 {
			s.returnAt = now + time.Duration(w.random.Float64()*float64(w.Settings.RecoverySpread))
			if mutant == "all-at-once" {
				s.returnAt = now
			}
		}
		if now >= s.returnAt {
			s.returnAt = 0
			return 0, true
		}
		return min(s.returnAt, now+avoidTTL), false
	}
	s.returnAt = 0
	if v.Kind == Slow {
		position := (now + s.phase) % slowCycle
		if left := time.Duration(min(v.LateShare, 0.75)*float64(slowCycle)) - position; left > 0 {
			return now + left, false
		}
		return 0, true
	}
	if v.Kind == Held {
		return min(v.Until, now+avoidTTL), false
	}
	// The server is to be avoided except for probes: each router decides at random, about once per ProbeInterval,
	// whether to send one.
	if s.probing {
		return now + avoidTTL, false
	}
	if s.probeUntil != 0 {
		if now < s.probeUntil {
			return 0, true
		}
		s.probeUntil = 0
	}
	if s.drawnAt == 0 { // spreads the routers' draws over the interval
		s.drawnAt = now - time.Duration(w.random.Int64N(int64(w.Settings.ProbeInterval)))
	}
	if now-s.drawnAt >= w.Settings.ProbeInterval {
		elapsed := now - s.drawnAt
		s.drawnAt = now
		if w.random.Float64() < w.probeProbability(now, v, min(elapsed, 4*w.Settings.ProbeInterval)) {
			s.probeUntil = now + probeTimeout
			return 0, true
		}
	}
	return now + avoidTTL, false
}

// probeProbability returns the probability with which this router probes an avoided server in the time elapsed since
// its last draw, such that all routers together probe at the intended rate. That is once per ProbeInterval at first;
// while the server stays gone, the interval grows by a factor of up to maxProbeBackoff. Once n routers have had an
// answer after v.Since, 2n routers probe per ProbeInterval.
func (w *Watch) probeProbability(now time.Duration, v *Verdict, elapsed time.Duration) float64 {
	if mutant == "try-at-will" {
		return 1
	}
	meanInterval := float64(w.Settings.ProbeInterval) * float64(max(v.Routers, 1))
	if v.Good > 0 {
		meanInterval /= 2 * float64(v.Good)
	}
	// A router that is to probe may have no call for the server within probeTimeout. To make up for that, the
	// probability is raised in proportion.
	w.decayAttempts(now)
	calls := w.recentAttempts / decayTime.Seconds() / float64(max(len(w.servers), 1)) * probeTimeout.Seconds()
	meanInterval *= max(1-math.Exp(-calls), minCallProbability)
	if v.Good == 0 {
		meanInterval *= min(max(float64(now-v.Since)/float64(8*w.Settings.ProbeInterval), 1), maxProbeBackoff)
	}
	return 1 - math.Exp(-float64(elapsed)/meanInterval)
}

package verdict

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// A router's own part: this file owns what it has seen of each server, and when it leaves one alone for what all have seen.

const (
	// decay is the time over which counts fade, and usualOver of how many answers what is usual is the mean.
	decay     = 4 * time.Second
	usualOver = 16
	// patienceMost is the longest that an answer is waited for before it is missed.
	patienceMost = 2 * time.Second
	// slotsMost open requests are watched.
	slotsMost = 1 << 20
	// trialWithin is how long a router that may try a condemned server waits for a call to do it with.
	trialWithin = time.Second
	// leastCalls is the least chance that a router is taken to have of a call for a server while its turn lasts.
	leastCalls = 0.005
	// seldom is how many times as seldom a server is tried that has long been gone.
	seldom = 3
	// careFor is how long the decisions are told to leave a server alone at a time.
	careFor = time.Second
	// cycle is the time of which a slow server is left alone for a part.
	cycle = time.Second
)

// How an attempt ended without an answer that lets the call stand.
type End uint8

// Ends.
const (
	Missed  End = iota + 1 // no answer in time, or the connection was cut
	Refused                // no connection
	TooFull                // turned away as processor full
	Alive                  // any other answer
	Given                  // withdrawn for reasons of its caller: it says nothing
)

// Server is one that the list names as up.
type Server struct {
	Key
	Classes []string // that it may take
}

// seen is what the router has seen of one life of a server.
type seen struct {
	Server
	Record
	out    []attempt // unanswered, in the order sent
	usual  float64   // age of answers, in seconds
	faded  time.Duration
	told   Record // as told last
	toldAt time.Duration
	told1  bool
	trial  time.Duration // until when its try may go out; 0: none
	trying bool          // a try is out
	back   time.Duration // when it comes back to a server that is fit again
	cared  time.Duration // until when the decisions leave it alone, as told
	phase  time.Duration
	looked time.Duration // when it last drew whether it is its turn to try
}

type attempt struct {
	slot uint32
	sent time.Duration
	miss bool
}

// Watch is a router's. Its methods are for one goroutine.
type Watch struct {
	Terms  Terms
	Zone   string
	random *rand.Rand
	byID   map[string]*seen
	slots  []*seen // by slot
	order  []*seen
	total  map[string]int // servers of each class
	sent   float64        // attempts of late, fading
	faded  time.Duration
	seq    uint64
	Count  WatchCounts
}

// WatchCounts of a Watch.
type WatchCounts struct {
	Cares, Trials, Returns uint64
	Disregarded            uint64 // verdicts that would have barred too many
}

// NewWatch makes one; the seed spreads what many routers do.
func NewWatch(t Terms, zone string, seed uint64) *Watch {
	return &Watch{Terms: t, Zone: zone, random: rand.New(rand.NewPCG(seed, 11)), byID: map[string]*seen{}, total: map[string]int{}}
}

// Listed takes which servers are up. What was seen of an earlier life of one, or of one that is gone, is forgotten.
func (w *Watch) Listed(now time.Duration, list []Server) {
	was := w.byID
	w.byID, w.order = map[string]*seen{}, nil
	clear(w.total)
	for _, s := range list[:min(len(list), serversMost)] {
		one := was[s.Server]
		if one == nil || one.Server.Key != s.Key {
			one = &seen{faded: now, phase: time.Duration(w.random.Int64N(int64(cycle)))}
			one.Record.Key = s.Key
		}
		one.Server = s
		w.byID[s.Server] = one
		w.order = append(w.order, one)
		for _, class := range s.Classes {
			w.total[class]++
		}
	}
	slices.SortFunc(w.order, func(a, b *seen) int { return cmp.Compare(a.Server.Server, b.Server.Server) })
	for slot, one := range w.slots {
		if one != nil && w.byID[one.Server.Server] != one {
			w.slots[slot] = nil
		}
	}
}

// Sent notes an attempt that is about to go out; slot is a small number that no other open request has.
func (w *Watch) Sent(now time.Duration, slot uint32, server string) {
	s := w.byID[server]
	if s == nil || slot >= slotsMost {
		return
	}
	for int(slot) >= len(w.slots) {
		w.slots = append(w.slots, nil)
	}
	w.slots[slot] = s
	w.fade(now)
	w.sent++
	s.out = append(s.out, attempt{slot: slot, sent: now})
	if s.trial != 0 { // this is the try: until it is answered there is no other
		s.trial, s.trying = 0, true
		w.Count.Trials++
	}
}

// take finds the attempt of a slot.
func (w *Watch) take(slot uint32) (s *seen, a attempt, ok bool) {
	if int(slot) >= len(w.slots) || w.slots[slot] == nil {
		return nil, a, false
	}
	s, w.slots[slot] = w.slots[slot], nil
	for i := range s.out {
		if s.out[i].slot == slot {
			a = s.out[i]
			s.out = slices.Delete(s.out, i, i+1)
			return s, a, true
		}
	}
	return s, a, false
}

// Answered notes that an attempt's call stands.
func (w *Watch) Answered(now time.Duration, slot uint32) {
	s, a, ok := w.take(slot)
	if !ok {
		return
	}
	s.fade(now)
	age := (now - a.sent).Seconds()
	if s.usual == 0 {
		s.usual = age
	}
	s.Slow += (float32(age/max(s.usual, 1e-4)) - s.Slow) / 4
	s.alive(a)
	if now-a.sent > w.Terms.Late {
		s.Late++
		s.LateAt = now
		s.usual += (age - s.usual) / (8 * usualOver) // what is usual gets used to little of it
		return
	}
	s.usual += (age - s.usual) / usualOver
	s.Good++
	s.GoodAt = now
}

// alive ends a silence.
func (s *seen) alive(a attempt) {
	s.PassedAt = max(s.PassedAt, a.sent)
	s.Onset, s.trying = 0, false
}

// Ended notes that an attempt has ended otherwise.
func (w *Watch) Ended(now time.Duration, slot uint32, how End) {
	s, a, ok := w.take(slot)
	if !ok {
		return
	}
	s.fade(now)
	switch how {
	case Missed:
		if !a.miss && a.sent > s.PassedAt {
			s.missed(now, a, &s.Silent)
		}
		s.trying = false
	case Refused:
		s.missed(now, a, &s.Refused)
		s.trying = false
	case TooFull:
		s.alive(a)
		s.Full++
		s.GoodAt = now
	case Alive:
		s.alive(a)
		s.Good++
		s.GoodAt = now
	case Given:
		s.trying = s.trying && len(s.out) > 0
	}
}

func (s *seen) missed(now time.Duration, a attempt, count *float32) {
	*count++
	s.BadAt = now
	if s.Onset == 0 {
		s.Onset = a.sent
	}
}

// fade has counts fall off with time.
func (s *seen) fade(now time.Duration) {
	if now <= s.faded {
		return
	}
	keep := float32(math.Exp(-float64(now-s.faded) / float64(decay)))
	s.faded = now
	for _, n := range []*float32{&s.Good, &s.Late, &s.Silent, &s.Refused, &s.Full} {
		*n *= keep
	}
}

func (w *Watch) fade(now time.Duration) {
	w.sent *= math.Exp(-float64(max(now-w.faded, 0)) / float64(decay))
	w.faded = max(now, w.faded)
}

// patience is how long an answer may take before it is missed.
func (w *Watch) patience(s *seen) time.Duration {
	return min(max(w.Terms.Silence, time.Duration(4*s.usual*float64(time.Second))), patienceMost)
}

// Look has answers that are overdue found missing. Whatever was overtaken by a later answer was lost alone, and says nothing of the server.
func (w *Watch) Look(now time.Duration) {
	for _, s := range w.order {
		if len(s.out) == 0 {
			continue
		}
		patience := w.patience(s)
		for i := range s.out {
			a := &s.out[i]
			if now-a.sent <= patience {
				break
			}
			if a.sent <= s.PassedAt {
				continue
			}
			if !a.miss {
				a.miss = true
				s.fade(now)
				s.missed(now, *a, &s.Silent)
			}
			s.BadAt = now // it still is
		}
	}
}

// Next is when Look has something to find, should nothing come before.
func (w *Watch) Next(now time.Duration) time.Duration {
	next := time.Hour
	for _, s := range w.order {
		if len(s.out) > 0 {
			if left := s.out[0].sent + w.patience(s) - now; left > 0 {
				next = min(next, left)
			} else {
				next = min(next, w.Terms.Slot)
			}
		}
	}
	return next
}

// Own is what the router tells of itself now: of servers in question, and of those that it has missed answers of or that answer late. Servers about which it has nothing new to say are left
// out; question says of which servers somebody misses answers, and since when; n is how many routers there are.
func (w *Watch) Own(now time.Duration, question map[Key]time.Duration, n int) (list []Record) {
	for _, s := range w.order {
		troubled := s.bad() || s.Late >= 1 && now-s.LateAt < decay || s.Full >= 1 && now-s.GoodAt < decay
		since, asked := question[s.Server.Key]
		if !troubled && !asked || s.last() == 0 || now-s.last() > w.Terms.Hold {
			continue
		}
		if !s.news(now, w.Terms, n, since, troubled) {
			continue
		}
		s.fade(now)
		r := s.Record
		w.seq++
		r.Seq, r.Zone = w.seq, w.Zone
		s.told, s.toldAt = r, now
		if mutant == "liar" {
			r.BadAt, r.GoodAt, r.PassedAt, r.Onset = r.GoodAt, r.BadAt, r.BadAt, max(r.GoodAt, 1)
		}
		list = append(list, r)
	}
	return list
}

// news says whether others have to hear what the router has seen of a server since it told last: at once if it thinks otherwise now, else a little later what speaks against what others miss,
// and what would lapse.
func (s *seen) news(now time.Duration, t Terms, n int, since time.Duration, troubled bool) bool {
	if s.toldAt == 0 || s.bad() != s.told.bad() {
		return true
	}
	if now-s.toldAt < t.slot(n) || s.last() == s.told.last() {
		return false
	}
	answered, said := max(s.GoodAt, s.LateAt), max(s.told.GoodAt, s.told.LateAt)
	return answered > since && said <= since || troubled && !s.bad() || now-s.toldAt > t.Hold/6
}

// Care is a server that the decisions are to leave alone until then.
type Care struct {
	Key
	Until   time.Duration
	Verdict *Verdict // that it rests on; nil: it is lifted
}

// Cares has verdicts heeded: it returns what the decisions have to be told. A router whose own latest word of the server is an answer goes by it.
func (w *Watch) Cares(now time.Duration, verdicts []Verdict) (cares []Care) {
	by := map[Key]*Verdict{}
	barred := map[string]int{}
	for i := range verdicts {
		v := &verdicts[i]
		s := w.byID[v.Server]
		if s == nil || s.Server.Key != v.Key && v.Kind != Held && mutant != "old-life" || !v.condemns(w.Zone) && !(v.Kind == Slow && v.Part >= slowLeast) {
			continue
		}
		by[s.Server.Key] = v
		for _, class := range s.Classes {
			barred[class]++
		}
	}
	back := maps.Clone(barred)
	for _, s := range w.order { // those that come back one after the other are left alone as well: what is too many with them comes back at once
		if by[s.Server.Key] == nil && s.cared > now {
			for _, class := range s.Classes {
				if back[class]++; float64(back[class]) > w.Terms.Share*float64(w.total[class]) && mutant != "no-share" {
					s.back = now
				}
			}
		}
	}
	for _, s := range w.order {
		v := by[s.Server.Key]
		for _, class := range s.Classes {
			if v != nil && float64(barred[class]) > w.Terms.Share*float64(w.total[class]) && mutant != "no-share" {
				v = nil // with so many unfit it is us
				w.Count.Disregarded++
			}
		}
		until, lifts := w.care(now, s, v)
		switch {
		case until > now && until > s.cared && (until-s.cared > careFor/4 || s.cared-now < careFor/4):
			cares = append(cares, Care{s.Server.Key, until, v})
			s.cared = until
			w.Count.Cares++
		case lifts && s.cared > now:
			cares = append(cares, Care{s.Server.Key, now, nil})
			s.cared = now
			w.Count.Returns++
		}
	}
	return cares
}

// slowLeast is the part of answers that come late from which on a slow server is spared.
const slowLeast = 0.2

// care is until when one server is left alone; lifts says that it is not, from now on.
func (w *Watch) care(now time.Duration, s *seen, v *Verdict) (until time.Duration, lifts bool) {
	if v == nil || v.Kind != Held && v.condemns(w.Zone) && s.GoodAt > v.Since+w.Terms.Flush && !s.bad() && s.GoodAt != 0 {
		// It has had an answer itself, or it is fit again: those that were left alone come back one after the other.
		s.trial, s.looked = 0, 0
		own := s.GoodAt != 0 && v != nil
		if s.cared <= now || own {
			s.back = 0
			return 0, true
		}
		if s.back == 0 {
			s.back = now + time.Duration(w.random.Float64()*float64(w.Terms.Return))
			if mutant == "all-at-once" {
				s.back = now
			}
		}
		if now >= s.back {
			s.back = 0
			return 0, true
		}
		return min(s.back, now+careFor), false
	}
	s.back = 0
	if v.Kind == Slow {
		at := (now + s.phase) % cycle
		if left := time.Duration(min(v.Part, 0.75)*float64(cycle)) - at; left > 0 {
			return now + left, false
		}
		return 0, true
	}
	if v.Kind == Held {
		return min(v.Until, now+careFor), false
	}
	// Condemned: of all routers one tries it in each Trial, and as many more as have had an answer since.
	if s.trying {
		return now + careFor, false
	}
	if s.trial != 0 {
		if now < s.trial {
			return 0, true
		}
		s.trial = 0
	}
	if s.looked == 0 { // not all look at the same moment
		s.looked = now - time.Duration(w.random.Int64N(int64(w.Terms.Trial)))
	}
	if now-s.looked >= w.Terms.Trial {
		span := now - s.looked
		s.looked = now
		if w.random.Float64() < w.turn(now, v, min(span, 4*w.Terms.Trial)) {
			s.trial = now + trialWithin
			return 0, true
		}
	}
	return now + careFor, false
}

// turn is the chance that this router's try comes within a span, so that all together try as often as they should: one in each Trial at first, up to three times as seldom where a server
// has long been gone, and twice as many as have had an answer since.
func (w *Watch) turn(now time.Duration, v *Verdict, span time.Duration) float64 {
	if mutant == "try-at-will" {
		return 1
	}
	each := float64(w.Terms.Trial) * float64(max(v.Others, 1))
	if v.Good > 0 {
		each /= 2 * float64(v.Good)
	}
	// Whose turn it is may have no call for the server while it lasts: so many more have theirs.
	w.fade(now)
	calls := w.sent / decay.Seconds() / float64(max(len(w.order), 1)) * trialWithin.Seconds()
	each *= max(1-math.Exp(-calls), leastCalls)
	if v.Good == 0 {
		each *= min(max(float64(now-v.Since)/float64(8*w.Terms.Trial), 1), seldom)
	}
	return 1 - math.Exp(-float64(span)/each)
}

// Package verdict has a fleet of routers judge case servers together: each tells what it has seen of a server, what all have seen is merged, aged and judged, and each router is made more
// careful by it. Watch is a router's eyes and its caution, Table what it has heard and concluded. Events and absolute times go in; what to tell neighbours and which servers to leave alone
// comes out. It must never probe a server, make a router bolder than its own evidence, do I/O, start a goroutine or read a clock. docs/design/verdict.md states the bounds and why they hold.
package verdict

import (
	"errors"
	"time"

	"threadglade.example/threadglade"
)

// Bounds of what comes from outside.
const (
	nameMost    = 128
	membersMost = 4096
	serversMost = 4096    // that one router watches
	askedMost   = 512     // servers that are in question at once; more are judged by each router alone
	recordsMost = 1 << 16 // that a router holds
	frameMost   = 512     // records of one frame
)

// Terms are what all routers of a fleet agree on.
type Terms struct {
	Quorum  int           // routers that have to find a server bad before others heed them
	Share   float64       // of the servers of a class that verdicts bar or slow at the most; beyond, they are disregarded
	Silence time.Duration // an answer that takes longer is missed, at the least: else four times what is usual
	Late    time.Duration // an answer that takes longer is late
	Hold    time.Duration // evidence counts for so long at the most
	Slot    time.Duration // what a router has seen is told anew no sooner
	Flush   time.Duration // what has come is passed on within it
	Trial   time.Duration // one router in all tries a condemned server in it, and twice as many as have had an answer since
	Drift   float64       // bound on how far any clock's rate is from true time
	Return  time.Duration // routers come back to a server that is fit again spread over so long
}

// DefaultTerms are those without a word in the settings.
func DefaultTerms() Terms {
	return Terms{Quorum: 3, Share: 0.5, Silence: 250 * time.Millisecond, Late: 500 * time.Millisecond, Hold: 30 * time.Second, Slot: 250 * time.Millisecond, Flush: 20 * time.Millisecond,
		Trial: 500 * time.Millisecond, Return: 2 * time.Second, Drift: 0.01}
}

// Validate says what is wrong with them.
func (t Terms) Validate() error {
	switch {
	case t.Quorum < 2 || t.Quorum > 100:
		return errors.New("a quorum is 2 to 100 routers: one alone condemns nothing")
	case !(t.Share > 0 && t.Share <= 1):
		return errors.New("a share is above 0, and 1 at the most")
	case t.Silence <= 0 || t.Late <= 0 || t.Hold <= t.Silence || t.Slot <= 0 || t.Flush <= 0 || t.Trial <= 0 || t.Return < 0:
		return errors.New("spans are above 0, and evidence is held for longer than a silence")
	}
	return nil
}

// Stale is the bound on how old a router's knowledge of what another has seen is, where links between neighbours are whole and take delay at the most: hops to the farthest of n, at each a
// flush and a link, after the slot in which it was seen.
func (t Terms) Stale(n int, delay time.Duration) time.Duration {
	return t.slot(n) + time.Duration(Hops(n))*(t.Flush+delay)
}

// slot is how often a router tells anew what it sees of a server in question: the more tell, the less often each.
func (t Terms) slot(n int) time.Duration { return max(t.Slot, time.Duration(n)*3*time.Millisecond) }

// Key is one life of a case server.
type Key struct {
	Server  string
	Started time.Duration // as the list says
}

// Record is what one router has seen of one life of a server. Times are on the clock of whoever holds it, and never later than what they stand for; 0: never.
type Record struct {
	Observer    string
	Zone        string
	Incarnation uint64 // of the observer
	Seq         uint64 // of the record: a later one holds all that earlier ones did
	Key
	Good, Late, Silent, Refused, Full float32 // of late: answers in time, late, missed; no connection; turned away as processor full
	Slow                              float32 // answers take so many times as long as usual
	Onset                             time.Duration
	BadAt                             time.Duration // when the last was missed or refused; Onset is when the first was sent since which nothing was answered
	LateAt                            time.Duration
	GoodAt                            time.Duration // when the last answer came, in time or turning away
	PassedAt                          time.Duration // when the latest set-up that was answered had been sent
}

// newer says whether a record takes another's place. A restarted observer's do, whatever their number.
func (r *Record) newer(than *Record) bool {
	if r.Incarnation != than.Incarnation {
		return r.Incarnation > than.Incarnation
	}
	return r.Seq > than.Seq
}

// Last is when anything in it was seen.
func (r *Record) Last() time.Duration { return r.last() }

func (r *Record) last() time.Duration { return max(r.BadAt, r.GoodAt, r.LateAt) }

// bad says whether its observer has no answer since it missed one.
func (r *Record) bad() bool { return r.Onset != 0 && r.BadAt > max(r.GoodAt, r.LateAt) }

// Kind of a Verdict.
type Kind uint8

// What a server is found to be.
const (
	Fit     Kind = iota
	Slow         // its answers come late
	Full         // it turns set-ups away
	Cut          // no answers to routers of some zones, while others have them
	Gone         // no answers to anybody
	BadLink      // no answers to too few routers to say more: it is their links
	Held         // an operator's word
)

var kindNames = [...]string{"fit", "slow", "full", "unreachable", "gone", "bad-link", "held"}

func (k Kind) String() string { return kindNames[k] }

// Verdict is what all evidence that a router has says of one server.
type Verdict struct {
	Key
	Kind       Kind
	Zones      []string // of Cut: from where
	By         float64  // of Slow: how many times as long answers take; Part is how many of them come late
	Part       float64
	Bad, Good  int // routers that miss answers, and that have had one since
	Others     int // routers known to the table
	Sources    []string
	Confidence float64       // part of the routers with an opinion that share it
	Age        time.Duration // since the newest evidence that it rests on
	Since      time.Duration // from then on enough routers have sent what was never answered
	Until      time.Duration // of Held
	Why        string        // of Held
}

// sourcesMost routers are named in a verdict.
const sourcesMost = 5

// condemns says whether a router of a zone is to leave the server alone.
func (v *Verdict) condemns(zone string) bool {
	switch v.Kind {
	case Gone, Held:
		return true
	case Cut:
		for _, z := range v.Zones {
			if z == zone {
				return true
			}
		}
	}
	return false
}

// Hops is how many steps the farthest of n routers is away along neighbours.
func Hops(n int) (hops int) {
	for reach := 1; reach < n; reach *= 2 {
		hops++
	}
	return hops
}

// EndOf is what an attempt's end says of its server.
func EndOf(how threadglade.Outcome, why threadglade.Cause) End {
	switch how {
	case threadglade.TimedOut, threadglade.Cut:
		return Missed
	case threadglade.Unreachable:
		return Refused
	case threadglade.Rejected:
		if why == threadglade.CauseProcessorFull {
			return TooFull
		}
		return Alive
	case threadglade.Concluded, threadglade.Faulted:
		return Alive
	}
	return Given
}

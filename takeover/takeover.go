// Package takeover keeps copies of what a call router has in hand at other routers, and says whose turn it is when the log says that an incarnation is over. A Giver turns what happens to calls
// into numbered records, an Owner gives them to holders, a Holder keeps copies and lets them go, an Successor takes them. Events and absolute times go in; frames to send and calls to take come out.
// It must never answer or release a call itself, do I/O, start a goroutine or read a clock. docs/design/takeover.md states what it promises and why that holds.
package takeover

import (
	"errors"
	"time"

	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/takeover/takeoverpb"
)

// Bounds of what comes from outside and of what is held.
const (
	idMost      = 64
	textMost    = 128
	pageMost    = 512     // records of one frame
	callsMost   = 1 << 16 // that one router holds for others
	ownersMost  = 4096
	endsMost    = 1 << 16 // ends of unknown calls that are remembered
	takenMost   = 1 << 17 // calls that owners have still to be told of
	originsMost = 4
	slotsMost   = 1 << 20
)

// Terms are what all routers of a fleet agree on.
type Terms struct {
	Holders  int             // routers that hold a copy
	Vouch    time.Duration   // V: what a holder does not let its copy go for, from before it was asked
	Patience time.Duration   // how long the answer of a kept class waits for a holder
	Fast     map[string]bool // classes whose answers do not wait
	AllFast  bool            // none does
	Drift    float64
	Remember time.Duration // ends of unknown calls are told to successors that are named within it
	Wake     time.Duration // how long a router that has started waits for word of what was taken from it
}

// DefaultTerms are those without a word in the settings.
func DefaultTerms() Terms {
	return Terms{Holders: 2, Vouch: 3 * time.Second, Patience: 50 * time.Millisecond, Drift: 0.01, Remember: time.Minute, Wake: 10 * time.Second}
}

// Wait is W = V (1+r) / (1-r): how long a holder keeps to its vouch by its own clock.
func (t Terms) Wait() time.Duration {
	return time.Duration(float64(t.Vouch)*(1+t.Drift)/(1-t.Drift)) + time.Nanosecond
}

// Validate says what is wrong with them.
func (t Terms) Validate() error {
	switch {
	case t.Holders < 1 || t.Holders > 4:
		return errors.New("work is held by 1 to 4 other routers")
	case t.Vouch < 200*time.Millisecond || t.Patience <= 0 || t.Patience > t.Vouch:
		return errors.New("a vouch is 200ms at the least, and patience within it")
	}
	return nil
}

// Origin is an incarnation that a call was in the hands of.
type Origin struct {
	Owner       string
	Incarnation uint64
}

// Call is what others know of a call in hand.
type Call struct {
	ID, Server, Class, Tenant string
	Attempt                   uint32
	Retry, InTime, Stands     bool
	Since, Stood              int64 // Unix milliseconds, of the attempt and its answer
	Origins                   []Origin
}

// Kind of a Record.
type Kind uint8

// What a record says.
const (
	Out    Kind = iota + 1 // an attempt is out: all of Call
	Stands                 // it was answered: ID, Stood, InTime
	Over                   // nothing is left of it: ID
)

// Record is one step of a call.
type Record struct {
	Kind
	Call
}

// End is the end of a call that nobody here knew.
type End struct {
	Call string
	How  uint8
	At   int64 // Unix milliseconds
	By   bool  // its caller has released it
	Tell bool  // its books are closed, but its caller has still to hear
}

// Giver turns what the router tells into records. It is the loop's.
type Giver struct {
	Terms  Terms
	Tenant func(e router.Event) string // whose call it is; nil: as the caller says
	Aim    func(class string) time.Duration
	Wall   func() int64

	slots  []given
	out    []Record
	later  []string // standing calls that have ended, the word of which has still to leave: until then holders have them as standing
	ended  uint64   // number of the latest of these
	number uint64   // of the latest record
	kept   uint64   // of the latest that an answer waits for
	Count  struct{ Records, Dropped uint64 }
}

type given struct {
	class, tenant string
	at            time.Duration
	retry         bool
	recorded      bool
	kept          bool
	stands        bool
}

// waitingMost records wait for the core; what does not fit is dropped, its call unrecorded.
const waitingMost = 1 << 16

// Observe implements router.Observer.
func (g *Giver) Observe(e router.Event) {
	if e.Slot == 0 || e.Slot >= slotsMost {
		return
	}
	for int(e.Slot) >= len(g.slots) {
		g.slots = append(g.slots, given{})
	}
	s := &g.slots[e.Slot]
	switch e.Kind {
	case router.Arrived:
		tenant := e.Tenant
		if g.Tenant != nil {
			tenant = g.Tenant(e)
		}
		*s = given{class: e.Class, tenant: tenant, at: e.At, retry: e.Retry, kept: !g.Terms.AllFast && !g.Terms.Fast[e.Class]}
	case router.Sent:
		if s.recorded = g.add(Record{Out, Call{ID: e.Call, Server: e.Server, Class: s.class, Tenant: s.tenant, Attempt: uint32(e.Attempt), Retry: s.retry, Since: g.Wall()}}, false); !s.recorded {
			g.Count.Dropped++
		}
	case router.Established:
		if s.recorded {
			s.stands = true
			g.add(Record{Stands, Call{ID: e.Call, Stood: g.Wall(), InTime: g.Aim == nil || e.At-s.at <= g.Aim(s.class)}}, s.kept)
		}
	case router.Closed:
		switch {
		case s.recorded && s.stands:
			g.Settle(e.Call)
		case s.recorded:
			g.add(Record{Over, Call{ID: e.Call}}, false)
		}
		*s = given{}
	}
}

func (g *Giver) add(r Record, kept bool) bool {
	if len(g.out) >= waitingMost && r.Kind == Out {
		return false
	}
	g.out = append(g.out, r)
	g.number++
	g.Count.Records++
	if kept {
		g.kept = g.number
	}
	return true
}

// Adopt has a call that was taken over be in this router's hands.
func (g *Giver) Adopt(c Call) {
	g.add(Record{Out, c}, false)
}

// Settle notes the end of a standing call. It is recorded once Left says that the word of it has left: were holders to let go of the call before, and this router to die in
// between, nobody would tell its caller. Should it die after, its successor may tell it once more.
func (g *Giver) Settle(id string) {
	if mutant == "end-before-word" {
		g.add(Record{Over, Call{ID: id}}, true)
		return
	}
	g.later = append(g.later, id)
	g.ended++
}

// Ended is the number of the latest end that was noted.
func (g *Giver) Ended() uint64 { return g.ended }

// Ending is how many ends there are whose word has still to leave.
func (g *Giver) Ending() int { return len(g.later) }

// Left says that the word of all ends up to a number has left.
func (g *Giver) Left(upto uint64) {
	first := g.ended - uint64(len(g.later)) + 1
	for ; len(g.later) > 0 && first <= upto; first++ {
		g.add(Record{Over, Call{ID: g.later[0]}}, false)
		g.later = g.later[1:]
	}
	if len(g.later) == 0 {
		g.later = nil
	}
}

// Cede has what stands be recorded no more: it is another's.
func (g *Giver) Cede() {
	for i := range g.slots {
		g.slots[i].recorded = g.slots[i].recorded && !g.slots[i].stands
	}
}

// Cease has all that is in hand be recorded no more: what becomes of it here is no news to holders.
func (g *Giver) Cease() {
	g.later = nil
	for i := range g.slots {
		g.slots[i].recorded = false
	}
}

// Kept is the number of the latest record that an answer waits for.
func (g *Giver) Kept() uint64 { return g.kept }

// Take returns the records since the last time, with the number of the first, in place of which it fills the given slice. Kept is the number of the latest that an answer waits for.
func (g *Giver) Take(next []Record) (first uint64, list []Record, kept uint64) {
	list = g.out
	g.out = next[:0]
	return g.number - uint64(len(list)) + 1, list, g.kept
}

// Number is that of the latest record.
func (g *Giver) Number() uint64 { return g.number }

// Waiting says whether there is something to take.
func (g *Giver) Waiting() bool { return len(g.out) > 0 }

// ---- frames ----

func write(r *Record) *takeoverpb.Record {
	c := &r.Call
	p := &takeoverpb.Record{Kind: uint32(r.Kind), Call: c.ID, Server: c.Server, Class: c.Class, Tenant: c.Tenant, Attempt: c.Attempt, Retry: c.Retry, InTime: c.InTime, Since: c.Since, Stood: c.Stood, Stands: c.Stands}
	for _, o := range c.Origins {
		p.Origins = append(p.Origins, &takeoverpb.Origin{Owner: o.Owner, Incarnation: o.Incarnation})
	}
	return p
}

// read takes records that came; false: there is one that cannot be.
func read(in []*takeoverpb.Record) (list []Record, ok bool) {
	if len(in) > pageMost {
		return nil, false
	}
	for _, p := range in {
		r := Record{Kind(p.Kind), Call{ID: p.Call, Server: p.Server, Class: p.Class, Tenant: p.Tenant, Attempt: p.Attempt, Retry: p.Retry, InTime: p.InTime, Since: p.Since, Stood: p.Stood, Stands: p.Stands}}
		if r.Kind < Out || r.Kind > Over || r.ID == "" || len(r.ID) > idMost || len(r.Server) > textMost || len(r.Class) > textMost || len(r.Tenant) > textMost || len(p.Origins) > originsMost {
			return nil, false
		}
		for _, o := range p.Origins {
			if len(o.Owner) > textMost {
				return nil, false
			}
			r.Origins = append(r.Origins, Origin{o.Owner, o.Incarnation})
		}
		list = append(list, r)
	}
	return list, true
}

// table is calls by id, as records make them.
type table map[string]*Call

func (t table) apply(r *Record) {
	switch r.Kind {
	case Out:
		c := r.Call
		t[r.ID] = &c
	case Stands:
		if c := t[r.ID]; c != nil {
			c.Stands, c.Stood, c.InTime = true, r.Stood, r.InTime
		}
	case Over:
		delete(t, r.ID)
	}
}

// Send is a frame to another router.
type Send struct {
	To    string
	Frame *takeoverpb.Frame
}

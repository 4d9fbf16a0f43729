package verdict

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// What all routers have seen: this file owns the records that a router holds, what of them goes to which neighbour, and the verdicts that they come to. Merging is by the higher number
// of each observer's record alone, so that order and repetition do not matter; everything lapses by age.

// id is whose record of what.
type id struct {
	observer string
	Key
}

// peer is a neighbour with an open link.
type peer struct {
	known   map[id]uint64 // numbers of records that it has, from us or to us
	dirty   map[id]bool   // records to be passed on
	stamp   time.Duration // its clock, as it said last
	heard   time.Duration // when
	saidAt  time.Duration
	greeted bool // it has been sent a stamp of ours
}

// Frame is what goes from a router to a neighbour.
type Frame struct {
	Stamp time.Duration // the sender's clock as it was sent
	Echo  time.Duration // the latest stamp that it has had from the receiver; 0: none, and the frame has no records
	Hold  time.Duration // for how long it has had that
	// Times of the records are ages as of sending, or negative: never.
	Records []Record
}

// Member is a router of the fleet.
type Member struct{ Name, Zone string }

// Table is what a router has heard. Its methods are for one goroutine.
type Table struct {
	Terms    Terms
	self     string
	number   uint64 // incarnation of this router's own records
	records  map[id]*Record
	by       map[Key]map[string]*Record
	peers    map[string]*peer
	zones    map[string]string // of the routers known
	count    map[string]int    // routers of each zone
	judged   map[Key]*judged
	held     []Verdict // operators' words
	question map[Key]time.Duration
	next     time.Duration // when something is to be passed on
	swept    time.Duration
	changed  bool
	Count    TableCounts
	Came     func(now time.Duration, r *Record) // hears each record of another router that it takes; nil: nobody
}

// TableCounts of a Table.
type TableCounts struct {
	Taken, Known, Lapsed, Refused, Unechoed uint64
}

// NewTable makes a router's, empty.
func NewTable(t Terms, self string) *Table {
	return &Table{Terms: t, self: self, records: map[id]*Record{}, by: map[Key]map[string]*Record{}, peers: map[string]*peer{}, zones: map[string]string{}, count: map[string]int{}, judged: map[Key]*judged{}}
}

// judged is what was concluded of one server; it is concluded anew when evidence comes, and after a while.
type judged struct {
	Verdict
	newest time.Duration // of the evidence that it rests on
	at     time.Duration
	stale  bool
}

// again is after how long something is concluded anew that nothing has come of.
const again = time.Second

// Members takes who is of the fleet.
func (t *Table) Members(list []Member) {
	clear(t.zones)
	clear(t.count)
	for _, m := range list[:min(len(list), membersMost)] {
		t.zones[m.Name] = m.Zone
		t.count[m.Zone]++
	}
	clear(t.judged)
	t.changed = true
}

// Acts takes the number that this router acts by: what it told by an earlier one is over.
func (t *Table) Acts(incarnation uint64) { t.number = max(t.number, incarnation) }

// Others is how many routers it knows of, itself among them.
func (t *Table) Others() int { return max(len(t.zones), 1) }

// Linked is told that a link to a neighbour is open: all that is held goes out on it.
func (t *Table) Linked(now time.Duration, name string) {
	p := &peer{known: map[id]uint64{}, dirty: map[id]bool{}}
	for i := range t.records {
		p.dirty[i] = true
	}
	t.peers[name] = p
	t.next = min(t.next, now)
}

// Unlinked is told that it has ended.
func (t *Table) Unlinked(name string) { delete(t.peers, name) }

// Own takes what this router has seen itself.
func (t *Table) Own(now time.Duration, list []Record) {
	for _, r := range list {
		r.Observer, r.Incarnation = t.self, t.number
		t.put(now, "", r)
	}
}

// Heard takes a neighbour's frame.
func (t *Table) Heard(now time.Duration, from string, f Frame) {
	p := t.peers[from]
	if p == nil {
		return
	}
	p.stamp, p.heard = f.Stamp, now
	if len(f.Records) == 0 {
		t.next = min(t.next, now) // now it can be told something
		return
	}
	if f.Echo == 0 || len(f.Records) > frameMost {
		t.Count.Unechoed++
		return
	}
	// However long the frame took, it was not longer than from our stamp until now, less the time for which the other held it, by whichever clock is faster. So no record seems younger than
	// it is.
	way := max(now-f.Echo-time.Duration(float64(f.Hold)*(1-t.Terms.Drift)/(1+t.Terms.Drift)), 0)
	if mutant == "young" {
		way = 0
	}
	for _, r := range f.Records {
		if !whole(&r) {
			t.Count.Refused++
			continue
		}
		for _, at := range []*time.Duration{&r.Onset, &r.BadAt, &r.LateAt, &r.GoodAt, &r.PassedAt} {
			if age := *at; age < 0 {
				*at = 0
			} else {
				*at = now - age - way
			}
		}
		t.put(now, from, r)
	}
}

// whole says whether a record can be one.
func whole(r *Record) bool {
	ok := r.Observer != "" && len(r.Observer) <= nameMost && len(r.Zone) <= nameMost && r.Server != "" && len(r.Server) <= nameMost
	for _, n := range []float32{r.Good, r.Late, r.Silent, r.Refused, r.Full, r.Slow} {
		ok = ok && n >= 0 && n < 1e9
	}
	return ok
}

// put merges one record.
func (t *Table) put(now time.Duration, from string, r Record) {
	if from != "" && r.Observer == t.self {
		return // what this router has seen it knows itself
	}
	i := id{r.Observer, r.Key}
	if p := t.peers[from]; p != nil {
		p.known[i] = max(p.known[i], number(&r))
	}
	if r.last() <= 0 || now-r.last() > t.Terms.Hold && mutant != "for-ever" {
		t.Count.Lapsed++
		return
	}
	was := t.records[i]
	switch {
	case was != nil && !r.newer(was) && mutant != "older-wins":
		if r.Incarnation == was.Incarnation && r.Seq == was.Seq { // by a quicker way it is known to be younger
			t.touch(r.Key)
			for _, one := range [][2]*time.Duration{{&was.Onset, &r.Onset}, {&was.BadAt, &r.BadAt}, {&was.LateAt, &r.LateAt}, {&was.GoodAt, &r.GoodAt}, {&was.PassedAt, &r.PassedAt}} {
				*one[0] = max(*one[0], *one[1])
			}
		}
		t.Count.Known++
		return
	case was == nil && (len(t.records) >= recordsMost || len(t.by[r.Key]) == 0 && len(t.by) >= askedMost):
		t.Count.Refused++
		return
	case from != "" && len(t.zones) > 0 && t.zones[r.Observer] == "" && !t.listed(r.Observer):
		t.Count.Refused++
		return
	}
	t.Count.Taken++
	if from != "" && t.Came != nil {
		t.Came(now, &r)
	}
	t.records[i] = &r
	if t.by[r.Key] == nil {
		t.by[r.Key] = map[string]*Record{}
	}
	t.by[r.Key][r.Observer] = &r
	t.touch(r.Key)
	for name, p := range t.peers {
		if name != from && p.known[i] < number(&r) {
			p.dirty[i] = true
			if t.next > now+t.Terms.Flush {
				t.next = now + t.Terms.Flush
			}
		}
	}
}

// number orders an observer's records over its incarnations.
func number(r *Record) uint64 { return r.Incarnation<<40 | r.Seq&(1<<40-1) }

func (t *Table) listed(name string) bool { _, ok := t.zones[name]; return ok }

// drop forgets a record. One that has not lapsed may still come from elsewhere: who has it is remembered, so that it does not go round.
func (t *Table) drop(i id, lapsed bool) {
	delete(t.records, i)
	delete(t.by[i.Key], i.observer)
	t.touch(i.Key)
	if len(t.by[i.Key]) == 0 {
		delete(t.by, i.Key)
		delete(t.judged, i.Key)
	}
	for _, p := range t.peers {
		delete(p.dirty, i)
		if lapsed || len(p.known) > recordsMost {
			delete(p.known, i)
		}
	}
}

// touch has a server judged anew.
func (t *Table) touch(key Key) {
	t.changed = true
	if j := t.judged[key]; j != nil {
		j.stale = true
	}
}

// sweep forgets what has lapsed, and servers that nobody finds fault with any more.
func (t *Table) sweep(now time.Duration) {
	if now-t.swept < t.Terms.Slot {
		return
	}
	t.swept = now
	for i, r := range t.records {
		if now-r.last() > t.Terms.Hold && mutant != "for-ever" {
			t.Count.Lapsed++
			t.drop(i, true)
		}
	}
	for key, all := range t.by {
		asked := false
		for _, r := range all {
			asked = asked || r.bad() || now-max(r.LateAt, r.BadAt) < decay && max(r.LateAt, r.BadAt) > 0 || r.Full >= 1 && now-r.GoodAt < decay
		}
		if !asked {
			for observer := range all {
				t.drop(id{observer, key}, false)
			}
		}
	}
}

// Out is a frame for a neighbour.
type Out struct {
	To string
	Frame
}

// greetEvery is how often neighbours that have nothing to tell say their time: what clocks drift in it is the least age that anything seems to have.
const greetEvery = time.Second

// Tick returns what is to be sent now.
func (t *Table) Tick(now time.Duration) (out []Out) {
	t.sweep(now)
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		if p.greeted && now-p.saidAt < greetEvery && (len(p.dirty) == 0 || p.heard == 0 || now < t.next) {
			continue
		}
		f := Frame{Stamp: now}
		if p.heard != 0 {
			f.Echo, f.Hold = p.stamp, now-p.heard
			for _, i := range slices.SortedFunc(maps.Keys(p.dirty), func(a, b id) int {
				return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.observer, b.observer), cmp.Compare(a.Started, b.Started))
			}) {
				if len(f.Records) == frameMost {
					break
				}
				delete(p.dirty, i)
				if r := t.records[i]; r != nil && p.known[i] < number(r) {
					p.known[i] = number(r)
					f.Records = append(f.Records, aged(*r, now))
				}
			}
		}
		p.greeted, p.saidAt = true, now
		out = append(out, Out{name, f})
	}
	if now >= t.next {
		t.next = now + time.Hour
		for _, p := range t.peers {
			if len(p.dirty) > 0 && p.heard != 0 {
				t.next = now + t.Terms.Flush
			}
		}
	}
	return out
}

// aged turns a record's times into ages.
func aged(r Record, now time.Duration) Record {
	for _, at := range []*time.Duration{&r.Onset, &r.BadAt, &r.LateAt, &r.GoodAt, &r.PassedAt} {
		if *at == 0 {
			*at = -1
		} else {
			*at = max(now-*at, 0)
		}
	}
	return r
}

// Due is when the next Tick has something to do, should nothing come before.
func (t *Table) Due() time.Duration {
	due := t.swept + time.Second
	for _, p := range t.peers {
		due = min(due, p.saidAt+greetEvery)
	}
	return min(due, t.next)
}

// Question is which servers somebody finds fault with, and since when answers are missed, as judged last: whoever has seen them tells what.
func (t *Table) Question() map[Key]time.Duration { return t.question }

// Hold takes operators' words as they stand now.
func (t *Table) Hold(list []Verdict) { t.held, t.changed = list, true }

// Changed says whether anything has come since the last time it was asked.
func (t *Table) Changed() bool {
	was := t.changed
	t.changed = false
	return was
}

// Verdicts is what all that is held comes to. Equal records give equal verdicts.
func (t *Table) Verdicts(now time.Duration) (list []Verdict) {
	t.question = make(map[Key]time.Duration, len(t.by))
	for key, all := range t.by {
		j := t.judged[key]
		if j == nil || j.stale || now-j.at > again {
			j = t.judge(now, key, all)
			t.judged[key] = j
		}
		v := j.Verdict
		v.Age = max(now-j.newest, 0)
		t.question[key] = v.Since
		list = append(list, v)
	}
	for _, v := range t.held {
		if now < v.Until {
			list = slices.DeleteFunc(list, func(o Verdict) bool { return o.Server == v.Server })
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Started, b.Started))
	})
	return list
}

// camp is what the routers of one zone say.
type camp struct{ bad, good int }

// judge weighs the evidence on one server.
func (t *Table) judge(now time.Duration, key Key, all map[string]*Record) *judged {
	v := &judged{Verdict: Verdict{Key: key, Others: t.Others(), Confidence: 1}, at: now}
	names := sortedNames(all)
	var bad, good, late, full []*Record
	var onsets []time.Duration
	for _, name := range names {
		switch r := all[name]; {
		case r.bad():
			bad = append(bad, r)
			onsets = append(onsets, r.Onset)
		default:
			good = append(good, r)
			if now-r.LateAt < decay && r.LateAt != 0 && r.Late >= 1 {
				late = append(late, r)
			}
			if now-r.GoodAt < decay && r.Full >= 1 && r.Full > r.Good/2 {
				full = append(full, r)
			}
		}
	}
	quorum := t.quorum(t.Others())
	age := func(list []*Record) {
		for _, r := range list {
			v.newest = max(v.newest, r.last())
			if len(v.Sources) < sourcesMost {
				v.Sources = append(v.Sources, r.Observer)
			}
		}
	}
	slices.Sort(onsets)
	if len(bad) > 0 {
		// As many as it takes have sent from then on what was never answered: whoever has had an answer since speaks against them, and so does one that waits for the next if that was to what it
		// had sent since. Who misses answers and has had one within a usual time of then (a silence is four of them) to what it had sent before says nothing against: that was on its way as the
		// server fell silent.
		v.Since = onsets[max(len(onsets)-quorum, 0)]
		bad, good = nil, nil
		crossed := v.Since + t.Terms.Flush + t.Terms.Silence/4
		for _, name := range names {
			switch r := all[name]; {
			case r.bad() && r.PassedAt <= v.Since+t.Terms.Flush && max(r.GoodAt, r.LateAt) <= crossed && mutant != "crossed-answers":
				bad = append(bad, r)
			case max(r.GoodAt, r.LateAt) > v.Since:
				good = append(good, r)
			case r.bad():
				bad = append(bad, r)
			}
		}
	}
	v.Bad, v.Good = len(bad), len(good)
	camps := map[string]*camp{}
	for i, list := range [][]*Record{bad, good} {
		for _, r := range list {
			c := camps[r.Zone]
			if c == nil {
				c = &camp{}
				camps[r.Zone] = c
			}
			if i == 0 {
				c.bad++
			} else {
				c.good++
			}
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(camps)) {
		if c := camps[zone]; c.bad >= min(quorum, t.quorum(t.inZone(zone))) && c.bad >= 2*c.good {
			v.Zones = append(v.Zones, zone)
		}
	}
	several := 0 // zones that miss answers
	for _, c := range camps {
		if c.bad > 0 {
			several++
		}
	}
	switch {
	case mutant == "one-router" && len(bad) > 0, mutant == "one-zone" && len(bad) >= quorum:
		v.Kind = Gone
		age(bad)
	case len(bad) >= quorum && (several >= 2 || t.zoneCount() == 1) && len(bad) >= 2*len(good):
		v.Kind, v.Zones = Gone, nil
		v.Confidence = float64(len(bad)) / float64(len(bad)+len(good))
		age(bad)
	case len(v.Zones) > 0:
		v.Kind = Cut
		v.Bad, v.Good, v.Others = 0, 0, 0 // those of other zones have no say in how soon these try again
		for _, zone := range v.Zones {
			v.Bad, v.Good, v.Others = v.Bad+camps[zone].bad, v.Good+camps[zone].good, v.Others+t.inZone(zone)
		}
		v.Confidence = float64(len(bad)) / float64(len(bad)+len(good))
		age(bad)
	case len(bad) > 0:
		v.Kind = BadLink
		v.Confidence = float64(len(good)) / float64(len(bad)+len(good))
		age(bad)
	case len(late) >= quorum && t.zonesOf(late) >= min(2, t.zonesOf(good)):
		v.Kind = Slow
		v.By, v.Part = middle(late)
		v.Confidence = float64(len(late)) / float64(len(good))
		age(late)
	case len(full) >= quorum:
		v.Kind = Full
		v.Confidence = float64(len(full)) / float64(len(good))
		age(full)
	default:
		age(good)
	}
	return v
}

// quorum is how many routers it takes, of so many that there are: never one.
func (t *Table) quorum(of int) int { return max(2, min(t.Terms.Quorum, of-1)) }

// zoneCount is how many zones the routers known are in.
func (t *Table) zoneCount() int { return len(t.count) }

func (t *Table) inZone(zone string) int { return t.count[zone] }

func (t *Table) zonesOf(list []*Record) int {
	zones := map[string]bool{}
	for _, r := range list {
		zones[r.Zone] = true
	}
	return len(zones)
}

// middle is the median of how many times as long answers take, and of the part of them that comes late.
func middle(list []*Record) (by, part float64) {
	var all, parts []float64
	for _, r := range list {
		all = append(all, float64(r.Slow))
		parts = append(parts, float64(r.Late/max(r.Late+r.Good, 1)))
	}
	slices.Sort(all)
	slices.Sort(parts)
	return all[len(all)/2], parts[len(parts)/2]
}

func sortedNames(all map[string]*Record) []string { return slices.Sorted(maps.Keys(all)) }

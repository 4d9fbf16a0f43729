package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/router"
)

const (
	// namesMost names may be in the books; calls of further tenants count as Other's. What others make up must not take
	// the room of tenants that the settings name: servers, which are replaced for ever, and tenants that set-ups state
	// have bounds of their own.
	namesMost   = 200_000
	serversMost = 50_000
	statedMost  = 50_000
	// Other is the tenant, class or server of calls for whose names there is no room.
	Other = "(other)"
	// spillsMost (tenant, class, period) totals are kept while entries cannot be; more are Other's.
	spillsMost = 100_000
)

// Class is what a class of calls earns.
type Class struct {
	Aim                   time.Duration
	WorthMilli, LateMilli int64 // thousandths, for a call that stood in time or late and was not cut
}

// Classes takes the classes of the decisions' settings.
func Classes(list []threadglade.Class) map[string]Class {
	m := map[string]Class{}
	for _, c := range list {
		m[c.Name] = Class{c.Aim, int64(math.Round(1000 * c.Worth)), int64(math.Round(1000 * c.Worth * c.LateFactor))}
	}
	return m
}

// KeeperConfig is what a Keeper needs.
type KeeperConfig struct {
	Classes map[string]Class
	Tenants *Directory
	// Wall is the time of day in milliseconds since the Unix epoch. It may jump.
	Wall func() int64
	// Most entries wait to be taken; 0 means 16,384. Beyond it totals are kept in their place.
	Most int
}

// Keeper turns what a router's observer hears into entries. It is a router.Observer and, like the router, for one goroutine.
type Keeper struct {
	cfg    KeeperConfig
	terms  Terms
	index  map[string]uint32
	names  []string
	others [2]int // names of servers and of stated tenants among them, since the start
	live   map[string]*live
	free   []*live
	old    map[uint64]*Open  // of earlier lives, or taken over from others, while their end is not known
	asleep map[uint64]*heard // of those: that others may have taken over, with their end where it was heard meanwhile
	oldBy  []*Open           // the same by Since
	now    int64
	closed int64
	number uint64
	used   map[int64]bool // periods that are not closed and in which calls have ended
	out    []Entry
	spill  *spill
	count  KeeperCounters
}

// KeeperCounters count what a keeper has done since its start. Open, Old and Waiting are what is held now.
type KeeperCounters struct {
	Calls, Entries, Spilled, Unspoken, Recovered, Unknown, Statements, Adopted, Ceded uint64
	Open, Old, Waiting                                                                int
}

// heard is the end of a call that others may have taken over; at 0: none has been heard.
type heard struct {
	how threadglade.Outcome
	at  int64
}

// live is a call of this life.
type live struct {
	at, stood time.Duration // on the router's clock
	since     int64         // ledger time of the latest attempt, and of the answer
	answered  int64
	call      uint64
	tenant    uint32
	class     uint32
	server    uint32
	attempt   uint32
	retry     bool
	inTime    bool
	out       bool // an attempt is out, or the call stands
	written   bool // an intent of it is among the entries
	earns     Class
	result    Field
	usage     Usage
}

// spill is totals that stand for entries.
type spill struct {
	totals map[spillKey]*spillTotal
	gone   []uint64
}

type spillKey struct {
	period        int64
	tenant, class uint32
}

type spillTotal struct {
	usage Usage
	calls uint64
}

// NewKeeper goes on with a book.
func NewKeeper(cfg KeeperConfig, b *Book) *Keeper {
	if cfg.Most == 0 {
		cfg.Most = 16_384
	}
	k := &Keeper{cfg: cfg, terms: b.Terms, index: map[string]uint32{}, names: slices.Clone(b.Names), live: map[string]*live{},
		old: map[uint64]*Open{}, now: b.Now, closed: b.Closed, number: b.Sequence, used: map[int64]bool{}}
	for p := range b.Used {
		k.used[p] = true
		if b.Closed == 0 && (k.closed == 0 || p < k.closed) {
			k.closed = p
		}
	}
	for i, text := range b.Names {
		k.index[text] = uint32(i)
	}
	for key, c := range b.Calls {
		one := *c
		k.old[key] = &one
		k.oldBy = append(k.oldBy, &one)
	}
	slices.SortFunc(k.oldBy, func(a, b *Open) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Call, b.Call))
	})
	return k
}

// SetTenants replaces the tenants' tables; calls that are open stay whose they are.
func (k *Keeper) SetTenants(d *Directory) { k.cfg.Tenants = d }

// SetClasses has calls that come from now on earn by other classes. Those that were dropped are remembered for calls of earlier
// lives; the map is not changed by the Keeper.
func (k *Keeper) SetClasses(classes map[string]Class) {
	all := maps.Clone(k.cfg.Classes)
	maps.Copy(all, classes)
	k.cfg.Classes = all
}

// Counters returns a copy.
func (k *Keeper) Counters() KeeperCounters {
	k.count.Open, k.count.Old, k.count.Waiting = len(k.live), len(k.old), len(k.out)
	return k.count
}

// time moves ledger time on: it is the time of day, but never goes back, whatever the clock does.
func (k *Keeper) time() int64 {
	k.now = max(k.now, k.cfg.Wall())
	return k.now
}

// Sources of names that have bounds of their own.
const (
	ofServers = iota
	ofStated
	ofSettings
)

// name is the index of a text.
func (k *Keeper) name(text string, of int) uint32 {
	if i, known := k.index[text]; known {
		return i
	}
	full := len(k.names) >= namesMost
	if of != ofSettings {
		k.others[of]++
		full = full || k.others[of] > [...]int{serversMost, statedMost}[of]
	}
	if full {
		if i, known := k.index[Other]; known {
			return i
		}
		text = Other
	}
	i := uint32(len(k.names))
	k.names = append(k.names, text)
	k.index[text] = i
	k.out = append(k.out, Entry{Kind: Name, Index: i, Text: text}) // always kept: others lean on it
	return i
}

// full says whether no single entry has room any more.
func (k *Keeper) full() bool {
	if k.spill == nil && len(k.out) >= k.cfg.Most {
		k.spill = &spill{totals: map[spillKey]*spillTotal{}}
	}
	return k.spill != nil
}

// Observe implements router.Observer.
func (k *Keeper) Observe(e router.Event) {
	switch e.Kind {
	case router.Arrived:
		k.arrived(&e)
		return
	case router.UnknownServerRelease, router.UnknownCallerRelease:
		k.released(CallKey(e.Call), e.Outcome)
		return
	}
	l := k.live[e.Call]
	if l == nil {
		return
	}
	switch e.Kind {
	case router.Sent:
		l.server, l.attempt, l.out, l.since = k.name(e.Server, ofServers), uint32(e.Attempt), true, k.time()
		k.intent(l)
	case router.AttemptEnded:
		l.usage[ended(e.Outcome)]++
		l.out = false
	case router.Established:
		l.stood, l.answered, l.inTime, l.result = e.At, k.time(), e.At-l.at <= l.earns.Aim, StoodLate
		if l.inTime {
			l.result = StoodInTime
		}
		if !k.full() && l.written {
			k.out = append(k.out, Entry{Kind: Answer, At: l.answered, Call: l.call, InTime: l.inTime})
		}
	case router.Refused:
		l.result = Refused
	case router.Failed:
		l.result = Failed
	case router.CallerLeft:
		l.result = Left
	case router.OrphanedCall:
		l.usage[Ghosts]++
	case router.Ended:
		l.out = false
		l.usage[HeldMs] = (e.At - l.stood).Milliseconds()
		if e.Outcome == threadglade.Cut {
			l.usage[Cut]++
			return
		}
		l.usage[Concluded]++ // also where the caller released it
		l.usage[WorthMilli] = l.earns.WorthMilli
		if !l.inTime {
			l.usage[WorthMilli] = l.earns.LateMilli
		}
	case router.Relinquished:
		k.cede(e.Call, l)
	case router.Closed:
		k.over(e.Call, l)
	}
}

// cede has a standing call be one that another router may have taken over.
func (k *Keeper) cede(id string, l *live) {
	delete(k.live, id)
	c := &Open{Call: l.call, Tenant: l.tenant, Class: l.class, Server: l.server, Attempt: l.attempt, Retry: l.retry, Since: l.since, Stood: l.answered, InTime: l.inTime, Usage: l.usage}
	c.Usage[Offered], c.Usage[Repeats] = 0, 0
	k.keepOpen(c)
	if k.asleep == nil {
		k.asleep = map[uint64]*heard{}
	}
	k.asleep[l.call] = &heard{}
}

// keepOpen adds a call to those whose end is not known.
func (k *Keeper) keepOpen(c *Open) {
	k.old[c.Call] = c
	at, _ := slices.BinarySearchFunc(k.oldBy, c, func(a, b *Open) int { return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Call, b.Call)) })
	k.oldBy = slices.Insert(k.oldBy, at, c)
}

// Taken is a standing call that this router has taken over from another.
type Taken struct {
	ID, Tenant, Class, Server string
	Attempt                   uint32
	Retry, InTime             bool
	Stood                     int64 // ledger time of the answer
}

// Adopt books a call taken over as one from before; false: it is in the books already. It counts as unknown after as long a time as one of an earlier life, from now on.
func (k *Keeper) Adopt(t Taken) bool {
	key := CallKey(t.ID)
	if (k.live[t.ID] != nil || k.old[key] != nil) && mutant != "adopt-once" {
		return false
	}
	now := k.time()
	c := &Open{Call: key, Tenant: k.name(t.Tenant, ofStated), Class: k.name(t.Class, ofSettings), Server: k.name(t.Server, ofServers), Attempt: t.Attempt, Retry: t.Retry, Since: now, Stood: max(t.Stood, 1), InTime: t.InTime}
	k.keepOpen(c)
	if !k.full() {
		k.out = append(k.out, Entry{Kind: Intent, At: now, Call: key, Tenant: c.Tenant, Class: c.Class, Server: c.Server, Attempt: c.Attempt, Retry: c.Retry},
			Entry{Kind: Answer, At: now, From: c.Stood, Call: key, InTime: c.InTime})
	}
	k.count.Adopted++
	return true
}

// Drop takes a call out of the books that is in another's.
func (k *Keeper) Drop(call uint64) {
	if k.old[call] == nil {
		return
	}
	delete(k.old, call)
	delete(k.asleep, call)
	k.count.Ceded++
	if !k.full() {
		k.out = append(k.out, Entry{Kind: Gone, At: k.time(), Call: call})
	} else {
		k.spill.gone = append(k.spill.gone, call)
	}
}

// Sleep has calls of earlier lives wait for word of what others have taken over, and names them: their ends are kept meanwhile.
func (k *Keeper) Sleep() (ids []string) {
	if k.asleep = map[uint64]*heard{}; mutant == "own-books" {
		return nil
	}
	for _, call := range slices.Sorted(maps.Keys(k.old)) {
		k.asleep[call] = &heard{}
		ids = append(ids, CallText(call))
	}
	return ids
}

// Wake takes that word: what others have is dropped, and what is left is this router's, with the ends that were heard.
func (k *Keeper) Wake(taken []string) {
	for _, id := range taken {
		if call := CallKey(id); k.asleep[call] != nil && mutant != "keep-taken" {
			k.Drop(call)
		}
	}
	ends := k.asleep
	k.asleep = nil
	for _, call := range slices.Sorted(maps.Keys(ends)) {
		if e := ends[call]; e.at > 0 {
			k.released(call, e.how)
		}
	}
}

func (k *Keeper) arrived(e *router.Event) {
	var l *live
	if n := len(k.free); n > 0 {
		l, k.free = k.free[n-1], k.free[:n-1]
		*l = live{}
	} else {
		l = &live{}
	}
	tenant := Unassigned
	if k.cfg.Tenants != nil {
		tenant = k.cfg.Tenants.Tenant(e.Tenant, e.Identity, e.Caller, e.Number)
	}
	l.at, l.call, l.retry = e.At, CallKey(e.Call), e.Retry
	of := ofSettings
	if tenant == e.Tenant {
		of = ofStated
	}
	l.tenant, l.class, l.earns = k.name(tenant, of), k.name(e.Class, ofSettings), k.cfg.Classes[e.Class]
	l.usage[Offered] = 1
	if e.Retry {
		l.usage[Repeats] = 1
	}
	l.result = Left
	k.live[e.Call] = l
	k.count.Calls++
}

func (k *Keeper) intent(l *live) {
	if k.full() {
		return
	}
	e := Entry{Kind: Intent, At: l.since, Call: l.call, Tenant: l.tenant, Class: l.class, Server: l.server, Attempt: l.attempt,
		Retry: l.retry, Usage: l.usage}
	e.Usage[Offered], e.Usage[Repeats] = 0, 0 // told by Retry
	k.out = append(k.out, e)
	l.written = true
}

// over counts a call whose everything is known.
func (k *Keeper) over(id string, l *live) {
	delete(k.live, id)
	l.usage[l.result]++
	k.end(Entry{Kind: End, At: k.time(), Call: l.call, Tenant: l.tenant, Class: l.class, Retry: l.retry, Usage: l.usage}, l.written)
	if len(k.free) < 1024 {
		k.free = append(k.free, l)
	}
}

// end writes the end of a call, or adds it to the totals that stand for entries.
func (k *Keeper) end(e Entry, written bool) {
	period := k.terms.Start(e.At)
	if k.closed == 0 {
		k.closed = period
	}
	k.used[period] = true
	if !k.full() {
		k.out = append(k.out, e)
		return
	}
	key := spillKey{period, e.Tenant, e.Class}
	t := k.spill.totals[key]
	if t == nil {
		if len(k.spill.totals) >= spillsMost {
			key.tenant, key.class = k.name(Other, ofSettings), k.name(Other, ofSettings)
			t = k.spill.totals[key]
		}
		if t == nil {
			t = &spillTotal{}
			k.spill.totals[key] = t
		}
	}
	t.usage.Add(&e.Usage)
	t.calls++
	k.count.Spilled++
	if written {
		k.spill.gone = append(k.spill.gone, e.Call)
	}
}

// released takes the release of a call of an earlier life, once. One that is in no book has been counted before, or is
// another router's.
func (k *Keeper) released(call uint64, how threadglade.Outcome) {
	c := k.old[call]
	if c == nil {
		k.count.Unspoken++
		return
	}
	if e := k.asleep[call]; e != nil {
		e.how, e.at = how, k.time()
		return
	}
	delete(k.old, call)
	now := k.time()
	u := c.Usage
	u[Offered], u[Recovered] = 1, 1
	if c.Retry {
		u[Repeats] = 1
	}
	// An answer that was never written down went to a caller who had lost the router: it is not in time.
	earns, from := k.cfg.Classes[k.names[c.Class]], c.Since
	if c.Stood > 0 {
		from = c.Stood
	}
	u[HeldMs] = max(0, now-from)
	if c.InTime {
		u[StoodInTime] = 1
	} else {
		u[StoodLate] = 1
	}
	switch {
	case how == threadglade.Cut:
		u[Cut]++
	default:
		u[Concluded]++
		if c.InTime {
			u[WorthMilli] = earns.WorthMilli
		} else if c.Stood > 0 {
			u[WorthMilli] = earns.LateMilli
		}
	}
	k.count.Recovered++
	k.end(Entry{Kind: End, At: now, Call: call, Tenant: c.Tenant, Class: c.Class, Retry: c.Retry, Usage: u}, true)
}

// Tick closes calls of earlier lives that have been open for too long, and periods that are over; it is called at least
// once a second.
func (k *Keeper) Tick() {
	now := k.time()
	for len(k.oldBy) > 0 && (now-k.oldBy[0].Since >= k.terms.UnknownAfter || k.old[k.oldBy[0].Call] != k.oldBy[0]) {
		c := k.oldBy[0]
		k.oldBy = k.oldBy[1:]
		if k.old[c.Call] != c {
			continue
		}
		delete(k.old, c.Call)
		delete(k.asleep, c.Call)
		u := c.Usage
		u[Offered], u[Unknown] = 1, 1
		u[Lost]++
		if c.Retry {
			u[Repeats] = 1
		}
		k.count.Unknown++
		k.end(Entry{Kind: End, At: now, Call: c.Call, Tenant: c.Tenant, Class: c.Class, Server: c.Server, Retry: c.Retry,
			Stood: c.Stood > 0, From: c.Since, Usage: u}, true)
	}
	if k.closed == 0 {
		k.closed = k.terms.Start(now)
	}
	// A period in which calls ended is closed alone; those between, in which none did, together: after a clock that
	// jumped, or a router that was down for long, there may be many.
	for due := k.terms.Start(now - k.terms.Grace); k.closed < due; {
		to := k.closed + k.terms.Length
		if !k.used[k.closed] {
			to = due
			for p := range k.used {
				if p >= k.closed {
					to = min(to, p)
				}
			}
		}
		delete(k.used, k.closed)
		k.number++
		k.count.Statements++
		k.out = append(k.out, Entry{Kind: Close, At: now, From: k.closed, Period: to, Sequence: k.number})
		k.closed = to
	}
}

// Now is the ledger's time, in milliseconds since the Unix epoch.
func (k *Keeper) Now() int64 { return k.time() }

// Waiting says whether there is something to take.
func (k *Keeper) Waiting() bool { return len(k.out) > 0 || k.spill != nil }

// Take returns the entries since the last time, in order, in place of which it fills the given slice from now on. What was
// spilled comes as totals at the end.
func (k *Keeper) Take(next []Entry) []Entry {
	if s := k.spill; s != nil {
		keys := make([]spillKey, 0, len(s.totals))
		for key := range s.totals {
			keys = append(keys, key)
		}
		slices.SortFunc(keys, func(a, b spillKey) int {
			return cmp.Or(cmp.Compare(a.period, b.period), cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.class, b.class))
		})
		for _, key := range keys {
			t := s.totals[key]
			k.out = append(k.out, Entry{Kind: Spilled, At: k.time(), Period: key.period, Tenant: key.tenant, Class: key.class,
				Usage: t.usage, Count: t.calls})
		}
		for _, call := range s.gone {
			k.out = append(k.out, Entry{Kind: Gone, At: k.now, Call: call})
		}
		k.spill = nil
		k.resume()
	}
	out := k.out
	k.out = next[:0]
	k.count.Entries += uint64(len(out))
	return out
}

// resume writes the intents of calls that went out while none could be written.
func (k *Keeper) resume() {
	for _, l := range k.live {
		if !l.out || l.written {
			continue
		}
		e := Entry{Kind: Intent, At: k.now, From: l.since, Call: l.call, Tenant: l.tenant, Class: l.class, Server: l.server,
			Attempt: l.attempt, Retry: l.retry, Usage: l.usage}
		e.Usage[Offered], e.Usage[Repeats] = 0, 0
		k.out = append(k.out, e)
		if l.answered > 0 {
			k.out = append(k.out, Entry{Kind: Answer, At: k.now, From: l.answered, Call: l.call, InTime: l.inTime})
		}
		l.written = true
	}
}

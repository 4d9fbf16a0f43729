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
	// maxNames limits the names in the ledger; calls with further names are counted under Other. Servers come and go,
	// and set-ups may state any tenant, so names of both have lower limits of their own, which always leave room for
	// the tenants and classes of the settings.
	maxNames         = 200_000
	maxServerNames   = 50_000
	maxStatedTenants = 50_000
	// Other is the tenant, class or server of calls whose names exceed the limits.
	Other = "(other)"
	// maxSpilledTotals limits the totals, one for each period, tenant and class, that are kept while the entry buffer
	// is full; further calls are counted under Other.
	maxSpilledTotals = 100_000
)

// Class holds the target set-up time and the worth of the calls of a class.
type Class struct {
	Aim            time.Duration // a call established within it, counted from its set-up, is in time
	WorthMilli     int64         // thousandths, for a call that was established in time and not cut
	LateWorthMilli int64         // thousandths, for a call that was established late and not cut
}

// ConvertClasses returns the classes of the Controller's settings by name.
func ConvertClasses(list []threadglade.Class) map[string]Class {
	m := map[string]Class{}
	for _, c := range list {
		m[c.Name] = Class{c.Aim, int64(math.Round(1000 * c.Worth)), int64(math.Round(1000 * c.Worth * c.LateFactor))}
	}
	return m
}

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	Classes map[string]Class
	Tenants *Directory // nil: all calls are Unassigned
	// WallClock returns the time of day in milliseconds since the Unix epoch. It may jump.
	WallClock func() int64
	// MaxEntries limits the entries that wait for Take; 0 means 16,384. Beyond the limit only totals are kept.
	MaxEntries int
}

// Keeper records the events of a router as ledger entries. It is a router.Observer and, like the router, may be used by
// one goroutine only.
type Keeper struct {
	cfg             KeeperConfig
	settings        Settings
	nameIndex       map[string]uint32
	names           []string
	limitedNames    [2]int               // new names of servers and stated tenants since the start, by source of name
	calls           map[string]*liveCall // calls of this process, by ID
	freeCalls       []*liveCall
	earlier         map[uint64]*OpenCall     // open calls of earlier processes, or taken over from other routers
	suspended       map[uint64]*suspendedEnd // calls of earlier that other routers may have taken over
	earlierBySentAt []*OpenCall              // earlier, sorted by SentAt; may also hold calls that have ended
	now             int64                    // ledger time, which never goes back
	closed          int64                    // all periods before it are closed; 0: no period has started
	sequence        uint64                   // number of the latest statement
	usedPeriods     map[int64]bool           // starts of periods that are not closed and in which calls have ended
	entries         []Entry                  // entries that wait for Take
	spill           *spillBuffer             // nil unless entries is full
	counters        KeeperCounters
}

// KeeperCounters count what a Keeper has done since its start. Unspoken counts releases of calls that are not in the
// ledger, and Ceded calls that another router has taken over. Open (calls of this process), Old (calls of earlier
// processes) and Waiting (entries) are current numbers.
type KeeperCounters struct {
	Calls      uint64
	Entries    uint64
	Spilled    uint64
	Unspoken   uint64
	Recovered  uint64
	Unknown    uint64
	Statements uint64
	Adopted    uint64
	Ceded      uint64
	Open       int
	Old        int
	Waiting    int
}

// suspendedEnd is the end of a call that another router may have taken over.
type suspendedEnd struct {
	outcome threadglade.Outcome
	at      int64 // ledger time; 0: it has not ended
}

// liveCall is a call of this process.
type liveCall struct {
	arrivedAt     time.Duration // on the router's clock, as is establishedAt
	establishedAt time.Duration
	sentMs        int64 // ledger time of the latest attempt
	answeredMs    int64 // ledger time of the answer
	call          uint64
	tenant        uint32
	class         uint32
	server        uint32
	attempt       uint32
	retry         bool
	inTime        bool
	inFlight      bool // an attempt is in flight, or the call is established
	recorded      bool // there is a KindAttempt entry of it
	classSettings Class
	result        Field
	usage         Usage
}

// spillBuffer holds the totals of calls that ended while the entry buffer was full. removed holds the keys of those
// that have earlier entries.
type spillBuffer struct {
	totals  map[spillKey]*spillTotal
	removed []uint64
}

// spillKey identifies a total by the start of its period and name indexes.
type spillKey struct {
	period        int64
	tenant, class uint32
}

type spillTotal struct {
	usage Usage
	calls uint64
}

// NewKeeper returns a Keeper that continues from a state. It keeps no reference to it.
func NewKeeper(cfg KeeperConfig, state *State) *Keeper {
	if cfg.MaxEntries == 0 {
		cfg.MaxEntries = 16_384
	}
	k := &Keeper{cfg: cfg, settings: state.Settings, nameIndex: map[string]uint32{}, names: slices.Clone(state.Names),
		calls: map[string]*liveCall{}, earlier: map[uint64]*OpenCall{}, now: state.Now, closed: state.Closed,
		sequence: state.Sequence, usedPeriods: map[int64]bool{}}
	for p := range state.UsedPeriods {
		k.usedPeriods[p] = true
		if state.Closed == 0 && (k.closed == 0 || p < k.closed) {
			k.closed = p
		}
	}
	for i, text := range state.Names {
		k.nameIndex[text] = uint32(i)
	}
	for key, call := range state.Calls {
		earlier := *call
		k.earlier[key] = &earlier
		k.earlierBySentAt = append(k.earlierBySentAt, &earlier)
	}
	slices.SortFunc(k.earlierBySentAt, func(a, b *OpenCall) int {
		return cmp.Or(cmp.Compare(a.SentAt, b.SentAt), cmp.Compare(a.Call, b.Call))
	})
	return k
}

// SetTenants replaces the tenant directory for calls that arrive from now on.
func (k *Keeper) SetTenants(d *Directory) { k.cfg.Tenants = d }

// SetClasses replaces the classes for calls that arrive from now on. Removed classes are kept for the calls of earlier
// processes. The Keeper doesn't change the map.
func (k *Keeper) SetClasses(classes map[string]Class) {
	all := maps.Clone(k.cfg.Classes)
	maps.Copy(all, classes)
	k.cfg.Classes = all
}

// Counters returns a copy of the counters.
func (k *Keeper) Counters() KeeperCounters {
	k.counters.Open, k.counters.Old, k.counters.Waiting = len(k.calls), len(k.earlier), len(k.entries)
	return k.counters
}

// advanceTime updates and returns the ledger time: the time of day, except that it never goes back when the clock does.
func (k *Keeper) advanceTime() int64 {
	k.now = max(k.now, k.cfg.WallClock())
	return k.now
}

// Sources of names. The first two index Keeper.limitedNames.
const (
	serverName = iota
	statedTenantName
	settingsName
)

// internName returns the index of a name. It adds a KindName entry for a new name, or returns the index of Other if a
// limit is reached.
func (k *Keeper) internName(text string, source int) uint32 {
	if i, known := k.nameIndex[text]; known {
		return i
	}
	full := len(k.names) >= maxNames
	if source != settingsName {
		k.limitedNames[source]++
		full = full || k.limitedNames[source] > [...]int{maxServerNames, maxStatedTenants}[source]
	}
	if full {
		if i, known := k.nameIndex[Other]; known {
			return i
		}
		text = Other
	}
	i := uint32(len(k.names))
	k.names = append(k.names, text)
	k.nameIndex[text] = i
	// A name is added even if the buffer is full, since other entries refer to it.
	k.entries = append(k.entries, Entry{Kind: KindName, Index: i, Text: text})
	return i
}

// spilling reports whether the entry buffer is full, so that calls are counted only in totals. It creates the
// spillBuffer when the entry buffer has just become full.
func (k *Keeper) spilling() bool {
	if k.spill == nil && len(k.entries) >= k.cfg.MaxEntries {
		k.spill = &spillBuffer{totals: map[spillKey]*spillTotal{}}
	}
	return k.spill != nil
}

// Observe implements router.Observer.
func (k *Keeper) Observe(e router.Event) {
	switch e.Kind {
	case router.Arrived:
		k.addCall(&e)
		return
	case router.UnknownServerRelease, router.UnknownCallerRelease:
		k.recordRelease(CallKey(e.Call), e.Outcome)
		return
	}
	call := k.calls[e.Call]
	if call == nil {
		return
	}
	switch e.Kind {
	case router.Sent:
		call.server, call.attempt, call.inFlight, call.sentMs = k.internName(e.Server, serverName), uint32(e.Attempt),
			true, k.advanceTime()
		k.recordAttempt(call)
	case router.AttemptEnded:
		call.usage[outcomeField(e.Outcome)]++
		call.inFlight = false
	case router.Established:
		call.establishedAt, call.answeredMs, call.inTime, call.result = e.At, k.advanceTime(),
			e.At-call.arrivedAt <= call.classSettings.Aim, EstablishedLate
		if call.inTime {
			call.result = EstablishedInTime
		}
		if !k.spilling() && call.recorded {
			k.entries = append(k.entries, Entry{Kind: KindAnswer, At: call.answeredMs, Call: call.call,
				InTime: call.inTime})
		}
	case router.Refused:
		call.result = Refused
	case router.Failed:
		call.result = Failed
	case router.CallerLeft:
		call.result = Abandoned
	case router.OrphanedCall:
		call.usage[OrphanedCalls]++
	case router.Ended:
		call.inFlight = false
		call.usage[HeldMs] = (e.At - call.establishedAt).Milliseconds()
		if e.Outcome == threadglade.Cut {
			call.usage[Cut]++
			return
		}
		call.usage[Concluded]++ // even if the caller released it
		call.usage[WorthMilli] = call.classSettings.WorthMilli
		if !call.inTime {
			call.usage[WorthMilli] = call.classSettings.LateWorthMilli
		}
	case router.Relinquished:
		k.relinquish(e.Call, call)
	case router.Closed:
		k.finishCall(e.Call, call)
	}
}

// relinquish moves an established call to the suspended ones, because another router may take it over.
func (k *Keeper) relinquish(id string, call *liveCall) {
	delete(k.calls, id)
	c := &OpenCall{Call: call.call, Tenant: call.tenant, Class: call.class, Server: call.server, Attempt: call.attempt,
		Retry: call.retry, SentAt: call.sentMs, EstablishedAt: call.answeredMs, InTime: call.inTime, Usage: call.usage}
	c.Usage[Offered], c.Usage[Repeats] = 0, 0
	k.addEarlier(c)
	if k.suspended == nil {
		k.suspended = map[uint64]*suspendedEnd{}
	}
	k.suspended[call.call] = &suspendedEnd{}
}

// addEarlier adds a call to k.earlier.
func (k *Keeper) addEarlier(c *OpenCall) {
	k.earlier[c.Call] = c
	at, _ := slices.BinarySearchFunc(k.earlierBySentAt, c, func(a, b *OpenCall) int {
		return cmp.Or(cmp.Compare(a.SentAt, b.SentAt), cmp.Compare(a.Call, b.Call))
	})
	k.earlierBySentAt = slices.Insert(k.earlierBySentAt, at, c)
}

// TakenOverCall is an established call that this router has taken over from another.
type TakenOverCall struct {
	ID, Tenant, Class, Server string
	Attempt                   uint32
	Retry, InTime             bool
	EstablishedAt             int64 // ledger time of the answer
}

// Adopt adds a call that this router has taken over to the calls of earlier processes; its UnknownTimeout starts now.
// It returns false if the ledger already has the call.
func (k *Keeper) Adopt(t TakenOverCall) bool {
	key := CallKey(t.ID)
	if (k.calls[t.ID] != nil || k.earlier[key] != nil) && mutant != "adopt-once" {
		return false
	}
	now := k.advanceTime()
	call := &OpenCall{Call: key, Tenant: k.internName(t.Tenant, statedTenantName),
		Class: k.internName(t.Class, settingsName), Server: k.internName(t.Server, serverName), Attempt: t.Attempt,
		Retry: t.Retry, SentAt: now, EstablishedAt: max(t.EstablishedAt, 1), InTime: t.InTime}
	k.addEarlier(call)
	if !k.spilling() {
		k.entries = append(k.entries,
			Entry{Kind: KindAttempt, At: now, Call: key, Tenant: call.Tenant, Class: call.Class,
				Server: call.Server, Attempt: call.Attempt, Retry: call.Retry},
			Entry{Kind: KindAnswer, At: now, From: call.EstablishedAt, Call: key, InTime: call.InTime})
	}
	k.counters.Adopted++
	return true
}

// RemoveCall removes a call of an earlier process that is now in another router's ledger.
func (k *Keeper) RemoveCall(call uint64) {
	if k.earlier[call] == nil {
		return
	}
	delete(k.earlier, call)
	delete(k.suspended, call)
	k.counters.Ceded++
	if !k.spilling() {
		k.entries = append(k.entries, Entry{Kind: KindRemoved, At: k.advanceTime(), Call: call})
	} else {
		k.spill.removed = append(k.spill.removed, call)
	}
}

// SuspendOpenCalls suspends the calls of earlier processes and returns their IDs. Releases of suspended calls are kept
// but not counted until ResumeOpenCalls, whose caller knows which of the calls other routers have taken over.
func (k *Keeper) SuspendOpenCalls() (ids []string) {
	if k.suspended = map[uint64]*suspendedEnd{}; mutant == "own-books" {
		return nil
	}
	for _, call := range slices.Sorted(maps.Keys(k.earlier)) {
		k.suspended[call] = &suspendedEnd{}
		ids = append(ids, FormatCallKey(call))
	}
	return ids
}

// ResumeOpenCalls removes the suspended calls that other routers have taken over. The rest belong to this router; those
// that were released while they were suspended are counted now.
func (k *Keeper) ResumeOpenCalls(taken []string) {
	for _, id := range taken {
		if call := CallKey(id); k.suspended[call] != nil && mutant != "keep-taken" {
			k.RemoveCall(call)
		}
	}
	suspended := k.suspended
	k.suspended = nil
	for _, call := range slices.Sorted(maps.Keys(suspended)) {
		if end := suspended[call]; end.at > 0 {
			k.recordRelease(call, end.outcome)
		}
	}
}

// addCall starts counting a call that has arrived.
func (k *Keeper) addCall(e *router.Event) {
	var call *liveCall
	if n := len(k.freeCalls); n > 0 {
		call, k.freeCalls = k.freeCalls[n-1], k.freeCalls[:n-1]
		*call = liveCall{}
	} else {
		call = &liveCall{}
	}
	tenant := Unassigned
	if k.cfg.Tenants != nil {
		tenant = k.cfg.Tenants.Tenant(e.Tenant, e.Identity, e.Caller, e.Number)
	}
	call.arrivedAt, call.call, call.retry = e.At, CallKey(e.Call), e.Retry
	source := settingsName
	if tenant == e.Tenant {
		source = statedTenantName
	}
	call.tenant, call.class, call.classSettings = k.internName(tenant, source), k.internName(e.Class, settingsName),
		k.cfg.Classes[e.Class]
	call.usage[Offered] = 1
	if e.Retry {
		call.usage[Repeats] = 1
	}
	call.result = Abandoned
	k.calls[e.Call] = call
	k.counters.Calls++
}

// recordAttempt adds an entry for the call's latest attempt, unless the entry buffer is full.
func (k *Keeper) recordAttempt(call *liveCall) {
	if k.spilling() {
		return
	}
	e := Entry{Kind: KindAttempt, At: call.sentMs, Call: call.call, Tenant: call.tenant, Class: call.class,
		Server: call.server, Attempt: call.attempt, Retry: call.retry, Usage: call.usage}
	e.Usage[Offered], e.Usage[Repeats] = 0, 0 // set when the call ends: Offered is 1, Repeats follows from Retry
	k.entries = append(k.entries, e)
	call.recorded = true
}

// finishCall counts a call of this process that is over.
func (k *Keeper) finishCall(id string, call *liveCall) {
	delete(k.calls, id)
	call.usage[call.result]++
	k.recordEnd(Entry{Kind: KindEnd, At: k.advanceTime(), Call: call.call, Tenant: call.tenant, Class: call.class,
		Retry: call.retry, Usage: call.usage}, call.recorded)
	if len(k.freeCalls) < 1024 {
		k.freeCalls = append(k.freeCalls, call)
	}
}

// recordEnd records the end of a call, or adds it to the totals while the entry buffer is full. recorded is true if the
// call has earlier entries.
func (k *Keeper) recordEnd(e Entry, recorded bool) {
	period := k.settings.PeriodStart(e.At)
	if k.closed == 0 {
		k.closed = period
	}
	k.usedPeriods[period] = true
	if !k.spilling() {
		k.entries = append(k.entries, e)
		return
	}
	key := spillKey{period, e.Tenant, e.Class}
	total := k.spill.totals[key]
	if total == nil {
		if len(k.spill.totals) >= maxSpilledTotals {
			key.tenant, key.class = k.internName(Other, settingsName), k.internName(Other, settingsName)
			total = k.spill.totals[key]
		}
		if total == nil {
			total = &spillTotal{}
			k.spill.totals[key] = total
		}
	}
	total.usage.Add(&e.Usage)
	total.calls++
	k.counters.Spilled++
	if recorded {
		k.spill.removed = append(k.spill.removed, e.Call)
	}
}

// recordRelease counts the end of a call of an earlier process when its release arrives. Other calls are ignored: they
// have been counted before, or belong to another router.
func (k *Keeper) recordRelease(call uint64, outcome threadglade.Outcome) {
	open := k.earlier[call]
	if open == nil {
		k.counters.Unspoken++
		return
	}
	if e := k.suspended[call]; e != nil {
		e.outcome, e.at = outcome, k.advanceTime()
		return
	}
	delete(k.earlier, call)
	now := k.advanceTime()
	usage := open.Usage
	usage[Offered], usage[Recovered] = 1, 1
	if open.Retry {
		usage[Repeats] = 1
	}
	// If there is no entry of the answer, the caller had lost its connection to the router by then: the call was not
	// established in time.
	class, heldSince := k.cfg.Classes[k.names[open.Class]], open.SentAt
	if open.EstablishedAt > 0 {
		heldSince = open.EstablishedAt
	}
	usage[HeldMs] = max(0, now-heldSince)
	if open.InTime {
		usage[EstablishedInTime] = 1
	} else {
		usage[EstablishedLate] = 1
	}
	switch {
	case outcome == threadglade.Cut:
		usage[Cut]++
	default:
		usage[Concluded]++
		if open.InTime {
			usage[WorthMilli] = class.WorthMilli
		} else if open.EstablishedAt > 0 {
			usage[WorthMilli] = class.LateWorthMilli
		}
	}
	k.counters.Recovered++
	k.recordEnd(Entry{Kind: KindEnd, At: now, Call: call, Tenant: open.Tenant, Class: open.Class, Retry: open.Retry,
		Usage: usage}, true)
}

// Tick closes calls of earlier processes as unknown when UnknownTimeout has passed, and closes periods once Grace has
// passed since their end. It has to be called at least once a second.
func (k *Keeper) Tick() {
	now := k.advanceTime()
	for len(k.earlierBySentAt) > 0 && (now-k.earlierBySentAt[0].SentAt >= k.settings.UnknownTimeout ||
		k.earlier[k.earlierBySentAt[0].Call] != k.earlierBySentAt[0]) {
		call := k.earlierBySentAt[0]
		k.earlierBySentAt = k.earlierBySentAt[1:]
		if k.earlier[call.Call] != call {
			continue
		}
		delete(k.earlier, call.Call)
		delete(k.suspended, call.Call)
		usage := call.Usage
		usage[Offered], usage[Unknown] = 1, 1
		usage[Lost]++
		if call.Retry {
			usage[Repeats] = 1
		}
		k.counters.Unknown++
		k.recordEnd(Entry{Kind: KindEnd, At: now, Call: call.Call, Tenant: call.Tenant, Class: call.Class,
			Server: call.Server, Retry: call.Retry, Established: call.EstablishedAt > 0, From: call.SentAt,
			Usage: usage}, true)
	}
	if k.closed == 0 {
		k.closed = k.settings.PeriodStart(now)
	}
	// Each period in which calls ended gets its own statement. Consecutive periods without any share one statement,
	// because there may be many after a jump of the clock or a long downtime.
	for due := k.settings.PeriodStart(now - k.settings.Grace); k.closed < due; {
		to := k.closed + k.settings.Length
		if !k.usedPeriods[k.closed] {
			to = due
			for p := range k.usedPeriods {
				if p >= k.closed {
					to = min(to, p)
				}
			}
		}
		delete(k.usedPeriods, k.closed)
		k.sequence++
		k.counters.Statements++
		k.entries = append(k.entries, Entry{Kind: KindClose, At: now, From: k.closed, Period: to, Sequence: k.sequence})
		k.closed = to
	}
}

// Now returns the ledger time in milliseconds since the Unix epoch.
func (k *Keeper) Now() int64 { return k.advanceTime() }

// HasEntries reports whether Take would return entries.
func (k *Keeper) HasEntries() bool { return len(k.entries) > 0 || k.spill != nil }

// Take returns the entries since its last call, in order, with spilled totals at the end. The Keeper reuses the memory
// of next for new entries and overwrites what it contains.
func (k *Keeper) Take(next []Entry) []Entry {
	if spill := k.spill; spill != nil {
		keys := make([]spillKey, 0, len(spill.totals))
		for key := range spill.totals {
			keys = append(keys, key)
		}
		slices.SortFunc(keys, func(a, b spillKey) int {
			return cmp.Or(cmp.Compare(a.period, b.period), cmp.Compare(a.tenant, b.tenant),
				cmp.Compare(a.class, b.class))
		})
		for _, key := range keys {
			total := spill.totals[key]
			k.entries = append(k.entries, Entry{Kind: KindSpilled, At: k.advanceTime(), Period: key.period,
				Tenant: key.tenant, Class: key.class, Usage: total.usage, Count: total.calls})
		}
		for _, call := range spill.removed {
			k.entries = append(k.entries, Entry{Kind: KindRemoved, At: k.now, Call: call})
		}
		k.spill = nil
		k.recordMissedAttempts()
	}
	entries := k.entries
	k.entries = next[:0]
	k.counters.Entries += uint64(len(entries))
	return entries
}

// recordMissedAttempts records attempts and answers of open calls that were not recorded while the entry buffer was
// full.
func (k *Keeper) recordMissedAttempts() {
	for _, call := range k.calls {
		if !call.inFlight || call.recorded {
			continue
		}
		e := Entry{Kind: KindAttempt, At: k.now, From: call.sentMs, Call: call.call, Tenant: call.tenant,
			Class: call.class, Server: call.server, Attempt: call.attempt, Retry: call.retry, Usage: call.usage}
		e.Usage[Offered], e.Usage[Repeats] = 0, 0
		k.entries = append(k.entries, e)
		if call.answeredMs > 0 {
			k.entries = append(k.entries, Entry{Kind: KindAnswer, At: k.now, From: call.answeredMs, Call: call.call,
				InTime: call.inTime})
		}
		call.recorded = true
	}
}

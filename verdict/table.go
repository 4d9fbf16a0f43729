package verdict

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// This file holds the records of all routers, selects those to send to each neighbour and derives the verdicts. Of two
// records of an observer on a server the one with the higher version wins, so the order of arrival and duplicates do
// not matter. All records expire with age.

// recordID identifies the record of an observer on one incarnation of a server.
type recordID struct {
	observer string
	Key
}

// peer is a neighbour with an open link.
type peer struct {
	known      map[recordID]uint64 // versions of the records that it has sent or received on this link
	pending    map[recordID]bool   // records to be sent to it
	lastStamp  time.Duration       // Stamp of its latest frame
	receivedAt time.Duration       // when that frame arrived; 0: none yet
	sentAt     time.Duration       // when the latest frame was sent to it
	frameSent  bool                // a frame has been sent to it
}

// Frame is a message of a router to a neighbour.
type Frame struct {
	Stamp     time.Duration // the sender's clock at the time of sending
	Echo      time.Duration // the latest Stamp received from the receiver; 0: none, and the frame has no records
	EchoDelay time.Duration // time since the echoed Stamp was received
	// Records holds ages at the time of sending instead of times; a negative age means never.
	Records []Record
}

// Member is a router of the fleet.
type Member struct{ Name, Zone string }

// Table holds the records of all routers and derives verdicts from them. It is not safe for concurrent use.
type Table struct {
	Settings    Settings
	self        string // name of this router
	incarnation uint64 // of this router, for its own records
	records     map[recordID]*Record
	byServer    map[Key]map[string]*Record // the same records, by server and observer
	peers       map[string]*peer           // by name
	zoneOf      map[string]string          // zones of the fleet's routers, by name
	zoneSizes   map[string]int             // routers in each zone
	cache       map[Key]*cachedVerdict
	holds       []Verdict             // servers taken out by operators
	suspected   map[Key]time.Duration // see Suspected
	nextFlush   time.Duration         // when pending records are to be sent
	sweptAt     time.Duration         // when expired records were last removed
	changed     bool                  // see Changed
	Count       TableCounts

	// OnRecord, unless nil, is called with each record of another router that is accepted.
	OnRecord func(now time.Duration, r *Record)
}

// TableCounts counts the records that a Table has received.
type TableCounts struct {
	Taken    uint64 // accepted
	Known    uint64 // no newer than what was held
	Lapsed   uint64 // expired, on arrival or later
	Refused  uint64 // malformed, over a limit or of an unknown observer
	Unechoed uint64 // frames dropped because they have too many records, or no echo to bound the records' ages
}

// NewTable returns an empty table of the router named self.
func NewTable(settings Settings, self string) *Table {
	return &Table{
		Settings:  settings,
		self:      self,
		records:   map[recordID]*Record{},
		byServer:  map[Key]map[string]*Record{},
		peers:     map[string]*peer{},
		zoneOf:    map[string]string{},
		zoneSizes: map[string]int{},
		cache:     map[Key]*cachedVerdict{},
	}
}

// cachedVerdict is the latest verdict on a server. It is derived again after new evidence and after
// verdictRefreshInterval.
type cachedVerdict struct {
	Verdict
	newestEvidence time.Duration // time of the newest evidence that it is based on
	derivedAt      time.Duration
	stale          bool // evidence has changed since derivedAt
}

// verdictRefreshInterval is the time after which a verdict is derived again without new evidence.
const verdictRefreshInterval = time.Second

// SetMembers sets the routers of the fleet.
func (t *Table) SetMembers(list []Member) {
	clear(t.zoneOf)
	clear(t.zoneSizes)
	for _, m := range list[:min(len(list), maxMembers)] {
		t.zoneOf[m.Name] = m.Zone
		t.zoneSizes[m.Zone]++
	}
	clear(t.cache)
	t.changed = true
}

// SetIncarnation sets the incarnation of this router. Its records of a later incarnation supersede those of earlier
// ones; a lower number than the current one is ignored.
func (t *Table) SetIncarnation(incarnation uint64) { t.incarnation = max(t.incarnation, incarnation) }

// RouterCount returns the number of routers in the fleet, including this one.
func (t *Table) RouterCount() int { return max(len(t.zoneOf), 1) }

// LinkOpened adds the neighbour of a new link; all records held are to be sent to it.
func (t *Table) LinkOpened(now time.Duration, name string) {
	p := &peer{known: map[recordID]uint64{}, pending: map[recordID]bool{}}
	for key := range t.records {
		p.pending[key] = true
	}
	t.peers[name] = p
	t.nextFlush = min(t.nextFlush, now)
}

// LinkClosed removes the neighbour of a link that has ended.
func (t *Table) LinkClosed(name string) { delete(t.peers, name) }

// AddOwn merges this router's own observations.
func (t *Table) AddOwn(now time.Duration, list []Record) {
	for _, r := range list {
		r.Observer, r.Incarnation = t.self, t.incarnation
		t.merge(now, "", r)
	}
}

// Receive merges the records of a frame from a neighbour. Frames of routers without an open link are ignored.
func (t *Table) Receive(now time.Duration, from string, f Frame) {
	p := t.peers[from]
	if p == nil {
		return
	}
	p.lastStamp, p.receivedAt = f.Stamp, now
	if len(f.Records) == 0 {
		t.nextFlush = min(t.nextFlush, now) // records can be sent now that there is a stamp to echo
		return
	}
	if f.Echo == 0 || len(f.Records) > maxFrameRecords {
		t.Count.Unechoed++
		return
	}
	// The transit time of the frame is at most the time since we sent the echoed stamp, less the time for which the
	// neighbour held it, corrected for the largest clock drift. With this bound no record appears younger than it is.
	transit := max(
		now-f.Echo-time.Duration(float64(f.EchoDelay)*(1-t.Settings.MaxClockDrift)/(1+t.Settings.MaxClockDrift)),
		0,
	)
	if mutant == "young" {
		transit = 0
	}
	for _, r := range f.Records {
		if !isValid(&r) {
			t.Count.Refused++
			continue
		}
		for _, at := range []*time.Duration{&r.Onset, &r.BadAt, &r.LateAt, &r.GoodAt, &r.AnsweredSentAt} {
			if age := *at; age < 0 {
				*at = 0
			} else {
				*at = now - age - transit
			}
		}
		t.merge(now, from, r)
	}
}

// isValid reports whether a received record is well-formed: names present and of bounded length, counts in range.
func isValid(r *Record) bool {
	ok := r.Observer != "" && len(r.Observer) <= maxNameLength && len(r.Zone) <= maxNameLength &&
		r.Server != "" && len(r.Server) <= maxNameLength
	for _, n := range []float32{r.Good, r.Late, r.Missed, r.Refused, r.Full, r.Slowdown} {
		ok = ok && n >= 0 && n < 1e9
	}
	return ok
}

// merge adds one record, if it is acceptable and newer than what is held, and queues it for the other neighbours.
// from is the name of the neighbour that sent it, or empty for this router's own records.
func (t *Table) merge(now time.Duration, from string, r Record) {
	if from != "" && r.Observer == t.self {
		return // a record of this router, sent back by a neighbour
	}
	key := recordID{r.Observer, r.Key}
	if p := t.peers[from]; p != nil {
		p.known[key] = max(p.known[key], version(&r))
	}
	if r.lastSeen() <= 0 || now-r.lastSeen() > t.Settings.EvidenceTTL && mutant != "for-ever" {
		t.Count.Lapsed++
		return
	}
	existing := t.records[key]
	switch {
	case existing != nil && !r.isNewer(existing) && mutant != "older-wins":
		if r.Incarnation == existing.Incarnation && r.Seq == existing.Seq {
			// The same record over another path. Ages are upper bounds, so the later times are closer to the truth.
			t.invalidate(r.Key)
			for _, pair := range [][2]*time.Duration{
				{&existing.Onset, &r.Onset},
				{&existing.BadAt, &r.BadAt},
				{&existing.LateAt, &r.LateAt},
				{&existing.GoodAt, &r.GoodAt},
				{&existing.AnsweredSentAt, &r.AnsweredSentAt},
			} {
				*pair[0] = max(*pair[0], *pair[1])
			}
		}
		t.Count.Known++
		return
	case existing == nil && (len(t.records) >= maxRecords ||
		len(t.byServer[r.Key]) == 0 && len(t.byServer) >= maxSuspected):
		t.Count.Refused++
		return
	case from != "" && len(t.zoneOf) > 0 && t.zoneOf[r.Observer] == "" && !t.isMember(r.Observer):
		t.Count.Refused++
		return
	}
	t.Count.Taken++
	if from != "" && t.OnRecord != nil {
		t.OnRecord(now, &r)
	}
	t.records[key] = &r
	if t.byServer[r.Key] == nil {
		t.byServer[r.Key] = map[string]*Record{}
	}
	t.byServer[r.Key][r.Observer] = &r
	t.invalidate(r.Key)
	for name, p := range t.peers {
		if name != from && p.known[key] < version(&r) {
			p.pending[key] = true
			if t.nextFlush > now+t.Settings.FlushInterval {
				t.nextFlush = now + t.Settings.FlushInterval
			}
		}
	}
}

// version orders the records of an observer across its incarnations. It holds the incarnation above the low 40 bits of
// the sequence number.
func version(r *Record) uint64 { return r.Incarnation<<40 | r.Seq&(1<<40-1) }

func (t *Table) isMember(name string) bool { _, ok := t.zoneOf[name]; return ok }

// drop removes a record. One that has not expired may arrive again from another neighbour. The table then keeps track
// of the neighbours that have it, so that the record is not sent around in circles.
func (t *Table) drop(key recordID, expired bool) {
	delete(t.records, key)
	delete(t.byServer[key.Key], key.observer)
	t.invalidate(key.Key)
	if len(t.byServer[key.Key]) == 0 {
		delete(t.byServer, key.Key)
		delete(t.cache, key.Key)
	}
	for _, p := range t.peers {
		delete(p.pending, key)
		if expired || len(p.known) > maxRecords {
			delete(p.known, key)
		}
	}
}

// invalidate marks the verdict on a server as stale, so that it is derived again.
func (t *Table) invalidate(key Key) {
	t.changed = true
	if cached := t.cache[key]; cached != nil {
		cached.stale = true
	}
}

// sweep removes expired records, and all records on servers that no router has recent trouble with.
func (t *Table) sweep(now time.Duration) {
	if now-t.sweptAt < t.Settings.ReportInterval {
		return
	}
	t.sweptAt = now
	for key, r := range t.records {
		if now-r.lastSeen() > t.Settings.EvidenceTTL && mutant != "for-ever" {
			t.Count.Lapsed++
			t.drop(key, true)
		}
	}
	for key, records := range t.byServer {
		suspected := false
		for _, r := range records {
			suspected = suspected || r.isBad() ||
				now-max(r.LateAt, r.BadAt) < decayTime && max(r.LateAt, r.BadAt) > 0 ||
				r.Full >= 1 && now-r.GoodAt < decayTime
		}
		if !suspected {
			for observer := range records {
				t.drop(recordID{observer, key}, false)
			}
		}
	}
}

// Outgoing is a frame to be sent to a neighbour.
type Outgoing struct {
	To string
	Frame
}

// heartbeatInterval is the interval of frames without records, which carry only stamps, to a neighbour for which no
// records are pending. Echoed stamps can be this old, so the drift of the clocks over this interval adds to the bound
// on the age of records.
const heartbeatInterval = time.Second

// Tick removes expired records and returns the frames to be sent now.
func (t *Table) Tick(now time.Duration) (out []Outgoing) {
	t.sweep(now)
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		if p.frameSent && now-p.sentAt < heartbeatInterval &&
			(len(p.pending) == 0 || p.receivedAt == 0 || now < t.nextFlush) {
			continue
		}
		f := Frame{Stamp: now}
		if p.receivedAt != 0 {
			f.Echo, f.EchoDelay = p.lastStamp, now-p.receivedAt
			for _, key := range slices.SortedFunc(maps.Keys(p.pending), func(a, b recordID) int {
				return cmp.Or(
					cmp.Compare(a.Server, b.Server),
					cmp.Compare(a.observer, b.observer),
					cmp.Compare(a.Started, b.Started),
				)
			}) {
				if len(f.Records) == maxFrameRecords {
					break
				}
				delete(p.pending, key)
				if r := t.records[key]; r != nil && p.known[key] < version(r) {
					p.known[key] = version(r)
					f.Records = append(f.Records, timesToAges(*r, now))
				}
			}
		}
		p.frameSent, p.sentAt = true, now
		out = append(out, Outgoing{name, f})
	}
	if now >= t.nextFlush {
		t.nextFlush = now + time.Hour
		for _, p := range t.peers {
			if len(p.pending) > 0 && p.receivedAt != 0 {
				t.nextFlush = now + t.Settings.FlushInterval
			}
		}
	}
	return out
}

// timesToAges returns the record with its times replaced by ages; 0, which means never, becomes -1.
func timesToAges(r Record, now time.Duration) Record {
	for _, at := range []*time.Duration{&r.Onset, &r.BadAt, &r.LateAt, &r.GoodAt, &r.AnsweredSentAt} {
		if *at == 0 {
			*at = -1
		} else {
			*at = max(now-*at, 0)
		}
	}
	return r
}

// NextTick returns the time at which Tick is due next if no record arrives before.
func (t *Table) NextTick() time.Duration {
	due := t.sweptAt + time.Second
	for _, p := range t.peers {
		due = min(due, p.sentAt+heartbeatInterval)
	}
	return min(due, t.nextFlush)
}

// Suspected returns the servers that some router suspects of a fault, as of the latest call of Verdicts, and the
// times since which answers are missing (Verdict.Since). All routers report what they have observed of these servers.
func (t *Table) Suspected() map[Key]time.Duration { return t.suspected }

// SetHolds replaces the list of servers that operators have taken out of service.
func (t *Table) SetHolds(list []Verdict) { t.holds, t.changed = list, true }

// Changed reports whether anything has changed since its last call.
func (t *Table) Changed() bool {
	was := t.changed
	t.changed = false
	return was
}

// Verdicts returns the verdicts on all servers with evidence, sorted by server. For a server that an operator has
// taken out of service, it returns only that verdict. Equal records give equal verdicts.
func (t *Table) Verdicts(now time.Duration) (list []Verdict) {
	t.suspected = make(map[Key]time.Duration, len(t.byServer))
	for key, records := range t.byServer {
		cached := t.cache[key]
		if cached == nil || cached.stale || now-cached.derivedAt > verdictRefreshInterval {
			cached = t.deriveVerdict(now, key, records)
			t.cache[key] = cached
		}
		v := cached.Verdict
		v.Age = max(now-cached.newestEvidence, 0)
		t.suspected[key] = v.Since
		list = append(list, v)
	}
	for _, v := range t.holds {
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

// zoneTally counts the routers of one zone that miss answers and those that get them.
type zoneTally struct{ bad, good int }

// deriveVerdict derives the verdict on one server from all records on it.
func (t *Table) deriveVerdict(now time.Duration, key Key, records map[string]*Record) *cachedVerdict {
	v := &cachedVerdict{Verdict: Verdict{Key: key, Routers: t.RouterCount(), Confidence: 1}, derivedAt: now}
	names := sortedNames(records)
	var bad, good, late, full []*Record
	var onsets []time.Duration
	for _, name := range names {
		switch r := records[name]; {
		case r.isBad():
			bad = append(bad, r)
			onsets = append(onsets, r.Onset)
		default:
			good = append(good, r)
			if now-r.LateAt < decayTime && r.LateAt != 0 && r.Late >= 1 {
				late = append(late, r)
			}
			if now-r.GoodAt < decayTime && r.Full >= 1 && r.Full > r.Good/2 {
				full = append(full, r)
			}
		}
	}
	quorum := t.quorum(t.RouterCount())
	addSources := func(list []*Record) {
		for _, r := range list {
			v.newestEvidence = max(v.newestEvidence, r.lastSeen())
			if len(v.Sources) < maxSources {
				v.Sources = append(v.Sources, r.Observer)
			}
		}
	}
	slices.Sort(onsets)
	if len(bad) > 0 {
		// Since is the latest time at or after which a quorum of routers sent the first of their unanswered attempts;
		// if fewer than a quorum miss answers, it is the earliest onset. A router that has had an answer after Since
		// counts as good, even if it misses answers again. The exception is a router that misses answers and whose
		// last answer was in transit when the server failed: that answer was to an attempt sent before Since and came
		// at most a quarter of MinResponseTimeout, the usual latency, after Since, both with a tolerance of
		// FlushInterval. Such a router counts as bad.
		v.Since = onsets[max(len(onsets)-quorum, 0)]
		bad, good = nil, nil
		transitUntil := v.Since + t.Settings.FlushInterval + t.Settings.MinResponseTimeout/4
		for _, name := range names {
			switch r := records[name]; {
			case r.isBad() && r.AnsweredSentAt <= v.Since+t.Settings.FlushInterval && max(r.GoodAt, r.LateAt) <= transitUntil &&
				mutant != "crossed-answers":
				bad = append(bad, r)
			case max(r.GoodAt, r.LateAt) > v.Since:
				good = append(good, r)
			case r.isBad():
				bad = append(bad, r)
			}
		}
	}
	v.Bad, v.Good = len(bad), len(good)
	tallies := map[string]*zoneTally{}
	for i, list := range [][]*Record{bad, good} {
		for _, r := range list {
			tally := tallies[r.Zone]
			if tally == nil {
				tally = &zoneTally{}
				tallies[r.Zone] = tally
			}
			if i == 0 {
				tally.bad++
			} else {
				tally.good++
			}
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(tallies)) {
		if tally := tallies[zone]; tally.bad >= min(quorum, t.quorum(t.zoneSize(zone))) && tally.bad >= 2*tally.good {
			v.Zones = append(v.Zones, zone)
		}
	}
	badZones := 0 // zones in which some router misses answers
	for _, tally := range tallies {
		if tally.bad > 0 {
			badZones++
		}
	}
	switch {
	case mutant == "one-router" && len(bad) > 0, mutant == "one-zone" && len(bad) >= quorum:
		v.Kind = Gone
		addSources(bad)
	case len(bad) >= quorum && (badZones >= 2 || t.zoneCount() == 1) && len(bad) >= 2*len(good):
		v.Kind, v.Zones = Gone, nil
		v.Confidence = float64(len(bad)) / float64(len(bad)+len(good))
		addSources(bad)
	case len(v.Zones) > 0:
		v.Kind = Unreachable
		v.Bad, v.Good, v.Routers = 0, 0, 0 // only routers of the affected zones determine the probe rate
		for _, zone := range v.Zones {
			v.Bad, v.Good, v.Routers = v.Bad+tallies[zone].bad, v.Good+tallies[zone].good, v.Routers+t.zoneSize(zone)
		}
		v.Confidence = float64(len(bad)) / float64(len(bad)+len(good))
		addSources(bad)
	case len(bad) > 0:
		v.Kind = BadLink
		v.Confidence = float64(len(good)) / float64(len(bad)+len(good))
		addSources(bad)
	case len(late) >= quorum && t.countZones(late) >= min(2, t.countZones(good)):
		v.Kind = Slow
		v.Slowdown, v.LateShare = medianSlowdown(late)
		v.Confidence = float64(len(late)) / float64(len(good))
		addSources(late)
	case len(full) >= quorum:
		v.Kind = Full
		v.Confidence = float64(len(full)) / float64(len(good))
		addSources(full)
	default:
		addSources(good)
	}
	return v
}

// quorum returns how many of a number of routers have to agree: at least two, so that no router decides alone.
func (t *Table) quorum(of int) int { return max(2, min(t.Settings.Quorum, of-1)) }

// zoneCount returns the number of zones of the fleet's routers.
func (t *Table) zoneCount() int { return len(t.zoneSizes) }

func (t *Table) zoneSize(zone string) int { return t.zoneSizes[zone] }

func (t *Table) countZones(list []*Record) int {
	zones := map[string]bool{}
	for _, r := range list {
		zones[r.Zone] = true
	}
	return len(zones)
}

// medianSlowdown returns the medians of the records' slowdowns and of their fractions of late answers.
func medianSlowdown(list []*Record) (slowdown, lateShare float64) {
	var slowdowns, shares []float64
	for _, r := range list {
		slowdowns = append(slowdowns, float64(r.Slowdown))
		shares = append(shares, float64(r.Late/max(r.Late+r.Good, 1)))
	}
	slices.Sort(slowdowns)
	slices.Sort(shares)
	return slowdowns[len(slowdowns)/2], shares[len(shares)/2]
}

func sortedNames(records map[string]*Record) []string { return slices.Sorted(maps.Keys(records)) }

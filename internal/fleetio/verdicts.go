package fleetio

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/verdict"
)

// Verdicts: the carrier of package verdict. Routers talk to neighbours by links of their own, which last without any keeper; operators' words stand in the log.

const (
	// lookEvery is how often the loop looks for answers that are missing, and heeds what was concluded, at the most.
	lookEvery = 25 * time.Millisecond
	// concludeEvery is how often the core concludes anew, at the most.
	concludeEvery = 25 * time.Millisecond
	// VerdictKey begins the keys of operators' words on case servers; wordMost is how long one may hold.
	VerdictKey = "verdict/"
	wordMost   = 24 * time.Hour
)

// talk is a router's part between the loop and the core.
type talk struct {
	// Of the loop.
	watch *verdict.Watch
	look  time.Duration
	taken *concluded
	shift time.Duration // from the decisions' clock to this one's
	// Of the core.
	table *verdict.Table
	links map[string]*link // open, to neighbours, by name
	at    time.Duration    // when it concluded last
	held  map[string]held
	// Between them.
	concluded atomic.Pointer[concluded]
	heeded    atomic.Pointer[map[verdict.Key]bool]
}

// concluded is what the core has come to; it is never changed.
type concluded struct {
	verdicts []verdict.Verdict
	question map[verdict.Key]time.Duration
	others   int
}

// held is an operator's word as this process has heard it.
type held struct {
	version uint64
	until   time.Duration
	why     string
}

func (f *Fleet) openTalk(now time.Duration) {
	t := &talk{watch: verdict.NewWatch(*f.cfg.Verdicts, f.cfg.Zone, f.process), table: verdict.NewTable(*f.cfg.Verdicts, f.cfg.Name), links: map[string]*link{}, held: map[string]held{}}
	t.concluded.Store(&concluded{others: 1})
	t.heeded.Store(&map[verdict.Key]bool{})
	f.talk = t
}

// ---- of the core ----

// noted takes what the fleet has come to: who there is, by which number this router acts, and operators' words.
func (f *Fleet) noted(n fleet.Note) {
	t := f.talk
	switch n.Kind {
	case fleet.LeaseGranted:
		t.table.SetIncarnation(n.Incarnation)
		f.neighbours()
	case fleet.MemberBegan, fleet.MemberLost, fleet.MemberLeft:
		f.neighbours()
	case fleet.FactWritten:
		if server, ok := strings.CutPrefix(n.Name, VerdictKey); ok {
			f.word(server, n)
		}
	}
}

// neighbours keeps links to whom this router should have them to.
func (f *Fleet) neighbours() {
	if f.talk == nil {
		f.reach(f.worksWith())
		return
	}
	t := f.talk
	var names []string
	var members []verdict.Member
	for _, m := range f.member.Machine.Members() {
		if !m.Live {
			continue
		}
		members = append(members, verdict.Member{Name: m.Name, Zone: m.Zone})
		if f.cfg.Reach[m.Name] != "" || m.Address != "" {
			names = append(names, m.Name)
		}
	}
	t.table.SetMembers(members)
	names = verdict.Neighbours(f.cfg.Name, names)
	if f.work != nil {
		names = append(names, f.worksWith()...)
	}
	f.reach(names)
}

// word takes an operator's: it holds until its end by the wall clock, and no longer than it was said to from when it was heard, so that a clock that is wrong cannot keep it.
func (f *Fleet) word(server string, n fleet.Note) {
	t := f.talk
	_, why, text := Words(n.Value)
	span, end, _ := strings.Cut(text, " ")
	d, err := time.ParseDuration(span)
	unix, bad := strconv.ParseInt(end, 10, 64)
	if text == "" || err != nil || bad != nil || d <= 0 {
		delete(t.held, server)
	} else {
		left := min(d, wordMost, time.Until(time.UnixMilli(unix)))
		t.held[server] = held{n.Number, Clock() + left, why}
	}
	var list []verdict.Verdict
	for _, server := range slices.Sorted(maps.Keys(t.held)) {
		h := t.held[server]
		list = append(list, verdict.Verdict{Key: verdict.Key{Server: server}, Kind: verdict.Held, Until: h.until, Reason: h.why, Confidence: 1, Routers: t.table.RouterCount()})
	}
	t.table.SetHolds(list)
}

// HoldWord is what stands in the log for a server that an operator has taken out, for a time.
func HoldWord(who, why string, d time.Duration, now time.Time) []byte {
	return Word(who, why, d.String()+" "+strconv.FormatInt(now.Add(d).UnixMilli(), 10))
}

// talked takes what a link to another router brings.
func (f *Fleet) talked(now time.Duration, e event) {
	t, l := f.talk, e.link
	switch {
	case t == nil && f.work == nil || !f.cfg.Terms.IsListed(l.name):
		l.cut()
	case e.gone:
		if f.work != nil {
			f.linkedWork(l, false)
		}
		if t != nil && t.links[l.name] == l {
			delete(t.links, l.name)
			t.table.LinkClosed(l.name)
		}
	case e.frame == nil: // the latest of two links between neighbours is used by this side; what comes on either is heard
		if f.work != nil {
			f.linkedWork(l, true)
		}
		if t != nil {
			t.links[l.name] = l
			t.table.LinkOpened(now, l.name)
		}
	case e.frame.GetWork() != nil:
		f.hearWork(now, l, e.frame.GetWork())
	case e.frame.GetTalk() != nil && t != nil:
		frame, err := verdict.ParseFrame(e.frame.GetTalk())
		if err != nil {
			f.refused(l.name + ": " + err.Error())
			l.cut()
			return
		}
		t.table.Receive(now, l.name, frame)
	case e.frame.GetTalk() != nil: // verdicts are off here
	default:
		f.refused(l.name + ": a frame that is not its to send")
		l.cut()
	}
}

// converse has the table say what it wants said, and concludes.
func (f *Fleet) converse(now time.Duration) {
	t := f.talk
	for _, o := range t.table.Tick(now) {
		if l := t.links[o.To]; l != nil {
			f.send(l, &fleetpb.Frame{What: &fleetpb.Frame_Talk{Talk: o.Frame.Marshal()}})
		}
	}
	if now-t.at < concludeEvery || !t.table.Changed() && now-t.at < time.Second {
		return
	}
	t.at = now
	was := t.concluded.Load()
	c := &concluded{verdicts: t.table.Verdicts(now), others: t.table.RouterCount()}
	c.question = t.table.Questioned()
	t.concluded.Store(c)
	if len(c.verdicts) > 0 || len(was.verdicts) > 0 {
		f.judged(was.verdicts, c.verdicts)
		f.cfg.Wake()
	}
}

// judged logs what is found otherwise than before.
func (f *Fleet) judged(was, now []verdict.Verdict) {
	kinds := map[verdict.Key]verdict.Kind{}
	for _, v := range was {
		kinds[v.Key] = v.Kind
	}
	for _, v := range now {
		if kinds[v.Key] != v.Kind {
			f.cfg.Log.Warn().Str("event", "verdict").Str("server", v.Server).Stringer("verdict", v.Kind).Strs("zones", v.Zones).Int("bad", v.Bad).Int("good", v.Good).Strs("sources", v.Sources).
				Dur("age", v.Age).Msgf("verdict: %s is %s: %d routers of %d miss its answers, %d have had one since", v.Server, v.Kind, v.Bad, v.Routers, v.Good)
		}
		delete(kinds, v.Key)
	}
	for key, kind := range kinds {
		if kind != verdict.Fit {
			f.cfg.Log.Info().Str("event", "verdict").Str("server", key.Server).Stringer("verdict", verdict.Fit).Msgf("verdict: nobody finds fault with %s any more", key.Server)
		}
	}
}

// report is the router's to an operator.
func (t *talk) report(now time.Duration) []byte {
	r := t.table.Report(now, *t.heeded.Load())
	r.Zone = t.watch.Zone
	b, _ := proto.Marshal(r)
	return b
}

// ---- of the loop ----

// Watches says whether routers judge together.
func (f *Fleet) Watches() bool { return f.talk != nil }

// Listed is the loop's: which servers are up.
func (f *Fleet) Listed(list []verdict.Server) {
	f.talk.watch.SetServers(Clock(), list)
}

// Sent, Answered and AttemptEnded are the loop's: what happens to attempts, on the decisions' clock.
func (f *Fleet) Sent(at time.Duration, slot uint32, server string) {
	f.talk.watch.AttemptSent(at+f.talk.shift, slot, server)
}

func (f *Fleet) Answered(at time.Duration, slot uint32) {
	f.talk.watch.AttemptAnswered(at+f.talk.shift, slot)
}

func (f *Fleet) AttemptEnded(at time.Duration, slot uint32, how verdict.End) {
	f.talk.watch.AttemptEnded(at+f.talk.shift, slot, how)
}

// heed is the watch's part of a turn of the loop: what is missing is found and told, and what was concluded is heeded.
func (f *Fleet) heed(now time.Duration) time.Duration {
	t := f.talk
	c := t.concluded.Load()
	if c == t.taken && now < t.look {
		return t.look - now
	}
	t.taken = c
	if f.cfg.Now != nil {
		t.shift = now - f.cfg.Now()
	}
	w := t.watch
	w.DetectMissed(now)
	if own := w.OwnRecords(now, c.question, c.others); len(own) > 0 {
		select {
		case f.tasks <- func(now time.Duration) { t.table.AddOwn(now, own) }:
		default:
			f.count.Missed.Add(1) // it is told again as it changes
		}
	}
	cares := w.UpdateAvoidances(now, c.verdicts)
	for _, one := range cares {
		if f.cfg.Care != nil {
			f.cfg.Care(one, max(one.Until-now, 0))
		}
	}
	if len(cares) > 0 {
		heeded := maps.Clone(*t.heeded.Load())
		for _, one := range cares {
			if delete(heeded, one.Key); one.Until > now {
				heeded[one.Key] = true
			}
		}
		t.heeded.Store(&heeded)
	}
	wait := w.NextCheck(now)
	if len(c.verdicts) > 0 { // there may be turns to take
		wait = min(wait, 2*lookEvery)
	}
	t.look = now + max(wait, lookEvery)
	return t.look - now
}

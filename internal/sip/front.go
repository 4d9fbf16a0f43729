package sip

import (
	"bytes"
	"fmt"
	"hash/maphash"
	"math"
	"net/netip"
	"slices"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/lifecycle"
	"threadglade.example/threadglade/router"
)

const (
	// answerEarly is taken off what a caller waits, for its clock runs from its send and ours from the read.
	answerEarly = 30 * time.Millisecond
	// owedFor is how long a release that found no connection waits for the next one.
	owedFor = 30 * time.Second
	// sweepEvery is how often connections are looked at.
	sweepEvery = 100 * time.Millisecond
	// strikesMost messages of one connection may be unusable before it is closed.
	strikesMost = 8
	// ratePerConn set-ups a second, and burstPerConn at once, are taken from one connection: several times what a
	// whole router carries on its busiest day. More is a flood, which must not crowd out the other connections.
	ratePerConn  = 400
	burstPerConn = 64
	// descriptionMost bytes may describe a call: the message that passes it on has room for no more.
	descriptionMost = messageMost - 512
	// unsentMost bytes may wait for a caller that does not read.
	unsentMost = 64 << 10
	// reserved descriptors are for the name service, operators and the process itself, and perServer for each case server: a connection in use, one
	// that comes up, and those replaced whose end is awaited.
	reserved  = 48
	perServer = 4
	// callerPart of the descriptors at least may be held by callers.
	callerPart = 3
)

// FrontConfig is what a Front needs.
type FrontConfig struct {
	Router   *router.Router
	Clock    router.Clock
	Sockets  int // descriptors that the process may hold
	Settings threadglade.Settings
	Life     *lifecycle.Process // says which connections are let go; nil: none ever
}

// Front answers callers.
type Front struct {
	router  *router.Router
	clock   router.Clock
	classes map[string]*threadglade.Class
	wait    time.Duration // what a flood is told to stay away; 0: nothing
	life    *lifecycle.Process
	sockets int
	set     int // connections set aside for another front
	servers int // case servers known
	conns   map[*caller]bool
	owed    []owed
	across  Across             // to the process that takes this one's place; nil: none does
	passed  uint32             // connections passed on
	away    map[uint32]*caller // passed on, with set-ups that are still open here
	there   map[uint32]*caller // with set-ups that are open at the process before this one
	buf     out
	seed    maphash.Seed
	count   FrontCounters
}

// FrontCounters count what came from callers and went to them. Open and Owed are what is held now: connections,
// and releases without one.
type FrontCounters struct {
	Accepted, Turned, Evicted, Late, Messages, Malformed, Flooded, Answers, Releases, Moved, Let, Drained, Overstayed, Passed, Adopted, Forsaken, Retold uint64
	Open, Owed                                                                                                                                           int
}

// owed is a release without a connection to send it on.
type owed struct {
	id  string
	how threadglade.Outcome
	at  time.Duration
}

// NewFront makes a front; Start begins its watch over deadlines.
func NewFront(c FrontConfig) *Front {
	f := &Front{router: c.Router, clock: c.Clock, sockets: c.Sockets, conns: map[*caller]bool{}, away: map[uint32]*caller{}, there: map[uint32]*caller{}, seed: maphash.MakeSeed(), life: c.Life}
	if f.life == nil {
		f.life = &lifecycle.Process{}
	}
	f.Change(c.Settings)
	return f
}

// Change has set-ups that come from now on be read by other settings.
func (f *Front) Change(set threadglade.Settings) {
	classes := make(map[string]*threadglade.Class, len(set.Classes))
	for _, class := range set.Classes {
		classes[class.Name] = &class
	}
	f.classes, f.wait = classes, 0
	if set.Limits.RetryAfter {
		f.wait = min(time.Second, set.Limits.MaxRetryAfter)
	}
}

// Start begins to watch the connections.
func (f *Front) Start() { f.sweep() }

// most is how many connections the front may hold: all that case servers and the process can spare, so that callers
// who use up theirs leave room for the others, and no less than a third.
func (f *Front) most() int {
	return max(1, max(f.sockets/callerPart, f.sockets-reserved-perServer*f.servers)-f.set)
}

// Leave leaves room for the connections to so many case servers. Where callers have taken it already, those go that have no set-up.
func (f *Front) Leave(servers int) {
	f.servers = servers
	for len(f.conns) > f.most() && f.evict() {
	}
}

// Reserve leaves some of the callers' connections to another front.
func (f *Front) Reserve(connections int) error {
	f.set = 0
	if most := f.most(); connections >= most {
		return fmt.Errorf("%d of the %d connections that callers may hold", connections, most)
	}
	f.set = connections
	return nil
}

// Hold changes how many descriptors the process may hold. Connections with a set-up stay.
func (f *Front) Hold(sockets int) {
	f.sockets = sockets
	f.Leave(f.servers)
}

// Counters returns a copy.
func (f *Front) Counters() FrontCounters {
	f.count.Open, f.count.Owed = len(f.conns), len(f.owed)
	return f.count
}

// Unsent says whether an answer waits to be written.
func (f *Front) Unsent() bool {
	for k := range f.conns {
		if k.conn.Unsent() > 0 {
			return true
		}
	}
	return false
}

// Unread says whether messages that have been read wait for their turn.
func (f *Front) Unread() bool {
	for k := range f.conns {
		if k.conn.Pending() {
			return true
		}
	}
	return false
}

// Accept takes a new connection of a caller. Where there is no room, one without a set-up goes: one that has been
// told its end, else the one that has been silent longest since it connected, else the one idle longest.
func (f *Front) Accept(c *loop.Conn) loop.Handler {
	now := f.clock()
	if len(f.conns) >= f.most() && !f.evict() {
		f.count.Turned++
		return nil
	}
	return f.caller(c, now)
}

// evict closes the connection that goes first; false: all have set-ups.
func (f *Front) evict() bool {
	var idle *caller
	for k := range f.conns {
		if len(k.open)+len(k.there) == 0 && (idle == nil || k.lifetime.ClosesBefore(&idle.lifetime)) {
			idle = k
		}
	}
	if idle == nil {
		return false
	}
	f.count.Evicted++
	idle.conn.Close(loop.ErrClosedLocally)
	return true
}

// caller is a connection that begins.
func (f *Front) caller(c *loop.Conn, now time.Duration) *caller {
	f.count.Accepted++
	_, share := math.Modf(float64(f.count.Accepted) * math.Phi) // evenly spread, however many there are
	k := &caller{f: f, conn: c, share: share, rate: loop.Bucket{Rate: ratePerConn, Burst: burstPerConn}}
	k.lifetime.Connected(now)
	f.conns[k] = true
	return k
}

// sweep closes connections whose deadline has passed, and forgets releases that nobody came for.
func (f *Front) sweep() {
	now := f.clock()
	for k := range f.conns {
		for id, l := range k.open {
			if f.life.ShouldEndSetup(now, l.came) {
				f.count.Overstayed++
				f.router.Abandon(l, id)
			}
		}
		if k.lifetime.TimedOut(now) || k.conn.Unsent() > unsentMost {
			f.count.Late++
			k.conn.Close(loop.ErrSlowPeer)
		} else if !k.lifetime.Closing() && f.life.ShouldClose(now, k.state()) {
			f.count.Let++
			k.finish()
		} else if len(f.owed) > 0 && k.hears() {
			k.pay()
		}
	}
	for len(f.owed) > 0 && now-f.owed[0].at >= owedFor {
		f.owed = f.owed[1:]
	}
	if len(f.owed) == 0 {
		f.owed = nil
	}
	f.router.Schedule(now+sweepEvery, f.sweep)
}

// LetGo closes connections that may go, without waiting for the next look at them.
func (f *Front) LetGo() {
	now := f.clock()
	for k := range f.conns {
		if !k.lifetime.Closing() && f.life.ShouldClose(now, k.state()) {
			f.count.Let++
			k.finish()
		}
	}
}

// Owed is a release that found no caller's connection.
type Owed struct {
	ID  string
	How threadglade.Outcome
}

// Owed are the releases that wait for a connection.
func (f *Front) Owed() (list []Owed) {
	for _, o := range f.owed {
		list = append(list, Owed{o.id, o.how})
	}
	return list
}

// Orphan passes on the release of a call of an earlier life of this router.
func (f *Front) Orphan(id string, how threadglade.Outcome) { f.release(nil, id, how) }

// release sends a release on the connection that the call came by, else on another one from there, else on any,
// else by the process that has taken the callers over, else on the next that opens: no connection owns a call.
func (f *Front) release(on *caller, id string, how threadglade.Outcome) {
	if on != nil && on.hears() && on.tell(id, how) {
		return
	}
	var from netip.Addr
	if on != nil {
		from = on.conn.Remote().Addr()
	}
	f.hand(from, id, how)
}

// hand sends a release of a call that came from an address on whatever connection there is.
func (f *Front) hand(from netip.Addr, id string, how threadglade.Outcome) {
	now := f.clock()
	var on *caller
	for k := range f.conns {
		if k.hears() && (on == nil || k.conn.Remote().Addr() == from) {
			on = k
		}
	}
	f.count.Moved++
	if on != nil && on.tell(id, how) {
		return
	}
	if f.across != nil {
		addr := from.AsSlice()
		if f.across.Send(frameRelease, append(append([]byte{byte(how), byte(len(addr))}, addr...), id...), -1, false) {
			return
		}
	}
	f.count.Moved--
	f.owed = append(f.owed, owed{id, how, now})
}

// recalled is what was taken back before it left: a release, or with a route the answer that a call stands.
type recalled struct {
	on    *caller
	id    string
	how   threadglade.Outcome
	route out
}

// Recalled hears that something was taken back; mine is false where it is none of the front's. A caller who was to hear that the call stands hears that it failed: something may have run.
func (f *Front) Recalled(what any) (id string, how threadglade.Outcome, answer, mine bool) {
	r, mine := what.(*recalled)
	switch {
	case !mine:
		return "", how, false, false
	case r.route == nil:
		f.count.Releases--
		r.on.told.heard([]byte(r.id))
		return r.id, r.how, false, true
	}
	r.on.answer(append(response(f.buf[:0], 500), r.route...).body(nil))
	return r.id, r.how, true, true
}

// tell sends a release by the connection; false: it cannot be written to any more.
func (k *caller) tell(id string, how threadglade.Outcome) bool {
	if k.f.buf = bye(k.f.buf[:0], id, 1, how); !k.write(k.f.buf, id, how, nil) {
		return false
	}
	k.f.count.Releases++
	k.told.add(id, how, k.f.clock())
	return true
}

// write sends what may be taken back as long as a gate holds it.
func (k *caller) write(b out, id string, how threadglade.Outcome, route out) bool {
	if !k.conn.Gated() {
		return k.conn.Write(b)
	}
	return k.conn.WriteRecallable(b, &recalled{k, id, how, route})
}

// bye writes a release.
func bye(b out, id string, cseq int, how threadglade.Outcome) out {
	cause := "Q.850;cause=41"
	if how == threadglade.Concluded || how == threadglade.Cancelled {
		cause = "Q.850;cause=16"
	}
	return request(b, "BYE", id, id, cseq, "BYE").head("Reason", cause).body(nil)
}

// caller is one connection of a caller.
type caller struct {
	f        *Front
	conn     *loop.Conn
	open     map[string]*leg      // set-ups that came by it and are owed an answer; nil while there is none
	lifetime lifecycle.CallerConn // how long it may
	heard    time.Duration
	share    float64 // its place where connections are closed one after the other
	calls    bool    // something has come that only a caller sends, not just a question whether the router is there
	left     bool    // the other side has closed, though something that it sent before may be unread
	told     unheard // releases that it may not have read
	strikes  int
	rate     loop.Bucket     // of set-ups
	passed   uint32          // its number with the other process, once it was passed on; 0: it was not
	there    map[string]bool // set-ups that came by it and are open at the process before this one; nil while there is none
	elder    Across          // the way to that
	away     uint32          // its number there
	m        message
}

// state is what decides whether the connection is let go.
func (k *caller) state() lifecycle.ConnState {
	last := k.f.life.Leaving()
	for other := range k.f.conns {
		if !last {
			break
		}
		last = other == k || !other.hears()
	}
	return lifecycle.ConnState{OpenSetups: len(k.open) + len(k.there), ConnectedAt: k.lifetime.ConnectedAt(), LastReceived: k.lifetime.LastReceived(), SpreadPosition: k.share, LastForReleases: last}
}

// leg is one set-up as its caller sees it; it is the request's front.
type leg struct {
	on    *caller
	came  time.Duration
	route out    // what answers repeat
	sum   uint64 // of number, class and description
}

func (k *caller) Opened(*loop.Conn) {}

// hears says whether releases may go by the connection: to somebody who has called by it. Whoever only asks whether the router is there, or has
// said nothing yet, may never read them.
func (k *caller) hears() bool { return k.conn.Open() && k.calls && !k.left }

// pay sends by the connection the releases that found none.
func (k *caller) pay() {
	owed := k.f.owed
	k.f.owed = nil
	for _, o := range owed {
		if k.f.clock()-o.at < owedFor {
			k.f.release(k, o.id, o.how)
		}
	}
}

func (k *caller) Closed(*loop.Conn, error) {
	delete(k.f.conns, k)
	k.gone()
	k.leave()
	k.retell()
}

// Leaving hears that the caller has closed: nothing begins for it any more. Releases of its that are still unread are taken.
func (k *caller) PeerClosed(*loop.Conn) {
	k.left = true
	k.gone()
	k.leave()
}

// retell sends the releases that the caller may not have read as it closed by other connections.
func (k *caller) retell() {
	for _, o := range k.told.lost(k.f.clock()) {
		k.f.count.Retold++
		k.f.hand(k.conn.Remote().Addr(), o.id, o.how)
	}
}

func (k *caller) Data(_ *loop.Conn, b []byte) int {
	k.heard = k.f.clock()
	k.lifetime.Received(k.heard)
	n, err := parse(b, &k.m)
	if err == nil && n > 0 && !begins(b[n:]) { // its length was wrong: what follows is no message
		n, err = 0, errFrame
	}
	switch {
	case err == errFrame:
		k.refuse(400)
		k.finish()
		return len(b)
	case err != nil:
		k.refuse(400)
		return n
	case n == 0:
		k.lifetime.MessageBegun(k.heard)
		return 0
	}
	if len(k.m.headers) > 0 { // else it was white space between messages
		k.f.count.Messages++
		if len(k.there) == 0 || !k.elders(&k.m, b[:n]) {
			k.take(&k.m)
		}
		k.lifetime.MessageComplete()
	}
	return n
}

// refuse answers a message that cannot be used. Who goes on sending such is closed.
func (k *caller) refuse(status int) {
	k.f.count.Malformed++
	if string(k.m.method) != "ACK" {
		k.answer(reply(k.f.buf[:0], status, &k.m))
	}
	if k.strikes++; k.strikes > strikesMost {
		k.finish()
	}
}

// finish ends the connection so that its last answer can be read.
func (k *caller) finish() {
	if k.lifetime.BeginClose(k.f.clock()) {
		k.conn.Finish()
		k.gone()
		k.leave()
	}
}

// leave withdraws what is open on the connection.
func (k *caller) leave() {
	open := k.open
	k.open = nil
	for id, l := range open {
		k.f.router.Cancel(l, id)
	}
}

func (k *caller) answer(b out) { k.final("", b, nil) }

// final writes what ends a set-up, or with no id anything else. With a route it says that the call stands, which can be taken back.
func (k *caller) final(id string, b, route out) {
	switch k.f.buf = b; {
	case k.passed > 0:
		k.send(id, b)
		return
	case k.left: // nobody reads it, and a reset in answer would take what is still unread with it
		return
	}
	if route != nil {
		k.write(b, id, threadglade.Cancelled, route)
		return
	}
	k.conn.Write(b)
}

func (k *caller) take(m *message) {
	k.lifetime.MessageValid()
	if !k.calls && string(m.method) != "OPTIONS" {
		if k.calls = true; len(k.f.owed) > 0 {
			k.pay()
		}
	}
	switch string(m.method) {
	case "":
		if string(m.cmethod) == "BYE" {
			k.told.heard(m.callID)
		}
	case "INVITE":
		if !k.invite(m) {
			k.refuse(400)
		}
	case "ACK":
	case "CANCEL":
		k.answer(reply(k.f.buf[:0], 200, m))
		// Only whoever sent a set-up can give it up; others may name its id by chance or malice.
		id := string(m.callID)
		if l := k.open[id]; l != nil {
			delete(k.open, id)
			k.f.router.Cancel(l, id)
			k.final(id, append(response(k.f.buf[:0], 487), l.route...).body(nil), nil)
		}
	case "BYE":
		k.answer(reply(k.f.buf[:0], 200, m))
		if hexID(m.callID) {
			k.f.router.Release(string(m.callID))
		}
	case "OPTIONS":
		status := 200
		if k.f.life.Leaving() { // whoever asks sends its callers elsewhere
			status = 503
		}
		k.answer(reply(k.f.buf[:0], status, m))
	default:
		k.refuse(501)
	}
}

// invite takes a set-up; false if it cannot be used. All is checked here that a case server would stumble over, for
// its error, or its close, would cost other callers.
func (k *caller) invite(m *message) bool {
	class := k.f.classes[string(m.get("call-kind"))]
	called := user(m.uri)
	ms, ok := number(m.get("answer-within"))
	within := time.Duration(ms) * time.Millisecond
	mark := string(m.get("repeat-mark"))
	// No try of a caller may last longer than its class goes on trying.
	if !ok || class == nil || within <= 0 || within > class.Deadline || !hexID(m.callID) || !dialable(called) ||
		mark != "" && mark != "0" && mark != "1" || !sound(m.body) || len(m.body) > descriptionMost {
		return false
	}
	destination, ok := figures(m.get("routing-data"), class)
	if !ok {
		return false
	}
	if k.left {
		k.f.count.Forsaken++
		return true
	}
	id := string(m.callID)
	sum := maphash.Bytes(k.f.seed, m.body) ^ maphash.Bytes(k.f.seed, called) ^ maphash.String(k.f.seed, class.Name)
	if l := k.open[id]; l != nil {
		return l.sum == sum // a repeat of one that is being worked on needs no answer of its own
	}
	flooded := !k.rate.Take(k.heard)
	if flooded || k.f.life.RefusesSetup(k.heard, k.state()) {
		if flooded {
			k.f.count.Flooded++
		} else {
			k.f.count.Drained++
		}
		b := response(k.f.buf[:0], 503).route(m)
		if k.f.wait > 0 {
			b = b.headInt("Come-Back-Ms", k.f.wait.Milliseconds())
		}
		k.answer(b.body(nil))
		return true
	}
	l := &leg{on: k, came: k.heard, route: out(nil).route(m), sum: sum}
	if k.open == nil {
		k.open = map[string]*leg{}
	}
	k.open[id] = l
	k.f.router.Arrive(l, router.Request{ID: id, Class: class.Name, Tenant: string(m.get("charged-party")),
		Number: string(called), Description: m.body, Destination: destination, Retry: mark == "1",
		Deadline: k.heard + within - answerEarly, Caller: k.conn.Remote().Addr(), Front: "sip"})
	return true
}

// figures reads Routing-Data; false if it holds anything but whole numbers, or a server or width that the class does
// not have.
func figures(text []byte, class *threadglade.Class) (destination int, ok bool) {
	destination = -1
	if text == nil {
		return destination, true
	}
	for one := range bytes.SplitSeq(text, []byte(";")) {
		name, value, _ := bytes.Cut(one, []byte(":"))
		digits, negative := bytes.CutPrefix(bytes.TrimSpace(value), []byte("-"))
		n, ok := number(digits)
		if negative {
			n = -n
		}
		switch string(bytes.TrimSpace(name)) {
		case "dest":
			destination = n
			ok = ok && (n == -1 || slices.Contains(class.Servers, n) || len(class.Servers) == 0 && n >= 0)
		case "width":
			ok = ok && n > 0 && (class.Circuits == 0 || n == class.Circuits)
		case "via":
			ok = ok && n >= -1
		case "again":
			ok = ok && (n == 0 || n == 1)
		}
		if !ok {
			return 0, false
		}
	}
	return destination, true
}

// ---- router.Front ----

func (l *leg) final(id string, b, route out) {
	if delete(l.on.open, id); len(l.on.open) == 0 {
		l.on.open = nil
	}
	l.on.f.count.Answers++
	l.on.final(id, b, route)
	if l.on.f.life.ShouldCloseAnswered(l.on.f.clock(), l.on.state()) && !l.on.lifetime.Closing() {
		l.on.f.count.Let++
		l.on.finish()
	}
}

func (l *leg) Established(id string, description []byte) {
	l.final(id, append(response(l.on.f.buf[:0], 200), l.route...).body(description), l.route)
	l.route = nil
}

func (l *leg) Refused(id string, retryAfter time.Duration) {
	b := append(response(l.on.f.buf[:0], 503), l.route...)
	if retryAfter > 0 {
		b = b.headInt("Come-Back-Ms", int64((retryAfter+time.Millisecond-1)/time.Millisecond))
	}
	l.final(id, b.body(nil), nil)
}

func (l *leg) Failed(id string, why router.Failure) {
	status := 500
	if why == router.DuplicateID { // the id is another request's, which goes on
		l.on.f.count.Malformed++
		status = 400
	}
	l.final(id, append(response(l.on.f.buf[:0], status), l.route...).body(nil), nil)
}

func (l *leg) Released(id string, how threadglade.Outcome) { l.on.f.release(l.on, id, how) }

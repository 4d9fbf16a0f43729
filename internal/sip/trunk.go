package sip

import (
	"bytes"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/silence"
)

const (
	// redialAfter is the pause between two tries to connect to a listed server.
	redialAfter = 250 * time.Millisecond
	// deadAfter is how long a server must have been out of reach before its calls count as cut.
	deadAfter = 2 * time.Second
	// watchEvery is how often servers are looked at.
	watchEvery = 100 * time.Millisecond
	// answerWithin is how long a message of a server may take from its first byte until it is whole. Servers write
	// one at once; what stops short will not go on, nor will anything else on that connection.
	answerWithin = 200 * time.Millisecond
	// deadFor is how long the other side has to end a connection that this one has ended.
	deadFor = 500 * time.Millisecond
	// givenFor is how long an attempt that was given up is known, in case its answer has crossed the CANCEL.
	givenFor = 15 * time.Second
	// complainEvery is how often a server that sends what cannot be read is named in the log.
	complainEvery = time.Second
	// owedMost releases may wait for a connection to a server that is out of reach.
	owedMost = 1000
	// stuckFor is how long the rest of a set-up whose caller has gone may wait to be written: within 0.1 s nothing begins for it any more.
	stuckFor = 90 * time.Millisecond
	// oldMost connections that have been replaced may be left where one more is opened for a server that does not read: it is told of four at most.
	oldMost = 2
	// agentsMost is more than any server has.
	agentsMost = 1 << 20
)

// errSpoilt is why a connection is closed whose last message is not what its server meant to send: what else it
// would carry cannot be told either.
var errSpoilt = errors.New("spoilt message")

// errMute is why a connection is closed that says nothing while its server speaks on a newer one: no answer will come on it.
var errMute = errors.New("silent connection")

// errStuck is why a connection is closed whose server does not read, with part of a set-up written that nobody wants any more.
var errStuck = errors.New("stuck connection")

// Server is an entry of the server list with its address.
type Server struct {
	threadglade.Server
	Addr netip.AddrPort
}

// TrunkConfig is what a Trunk needs.
type TrunkConfig struct {
	Loop           *loop.Loop
	Clock          router.Clock
	ConnectTimeout time.Duration // from the settings
	Free, Total    string        // names of the figures in a server's state
	Log            zerolog.Logger
	Loads          bool // what servers report of their processors is passed on
}

// Trunk carries attempts to case servers. A server is its id: an address may come to belong to another one.
type Trunk struct {
	cfg    TrunkConfig
	router *router.Router
	peers  map[string]*peer
	legs   map[string]*outLeg // the one attempt of each call that is out or stands
	given  map[string]given   // attempts that were given up unanswered
	fresh  []*outLeg          // leave once all that has come was taken: it may withdraw them
	rests  bool               // no connection is opened but for a set-up
	buf    out
	count  TrunkCounters
}

// given is an attempt that was given up on a line.
type given struct {
	on *line
	at time.Duration
}

// TrunkCounters count what went to case servers and came from them. Peers, Legs and Given are what is held now.
type TrunkCounters struct {
	Dials, DialsFailed, Opened, Closed, Invites, Unsent, Cancels, Withdrawn, Releases, Messages, Malformed, Cut, Salvaged, States, Crossed, Unknown, Silent, Mute, Blocked, Stuck, Retold uint64
	Peers, Legs, Given                                                                                                                                                                    int
}

// peer is one server and the connections to it.
type peer struct {
	t         *Trunk
	server    Server
	gone      bool
	line      *line   // where new set-ups go; nil while there is none
	dial      *line   // connecting
	old       []*line // replaced, but with attempts on them
	lastDial  time.Duration
	lostSince time.Duration // out of reach since then; 0: in reach
	pending   []*outLeg     // wait for a connection
	owed      []string      // calls to be released that found no connection
	legs      int           // attempts of it in Trunk.legs
	complains time.Duration // when it was last named in the log for what it sent
	reports   silence.ReportIntervals
}

// line is one connection to a peer.
type line struct {
	p     *peer
	conn  *loop.Conn
	since time.Duration // when it was opened
	sound silence.Connection
	by    time.Duration // when the message that has begun must be whole, or a dead line closed; 0: neither
	dead  bool          // something spoilt came on it, or it went silent
	left  bool          // its server has closed, though something that it sent before may be unread
	until time.Duration // replaced and unused, it has been told its end, for which it has so long; 0: it has not
	mute  *line         // the line before, which has said nothing for too long
	part  *outLeg       // written in part when the server stopped reading; nil: none is
	told  unheard
	m     message
}

// outLeg is one attempt as the case server sees it.
type outLeg struct {
	router.Attempt
	p        *peer
	on       *line // nil while it waits for a connection
	by       time.Duration
	sent     time.Duration
	standing bool
}

// NewTrunk makes a trunk; Start gives it its router.
func NewTrunk(cfg TrunkConfig) *Trunk {
	return &Trunk{cfg: cfg, peers: map[string]*peer{}, legs: map[string]*outLeg{}, given: map[string]given{}}
}

// Start begins to watch the servers.
func (t *Trunk) Start(r *router.Router) {
	t.router = r
	t.watch()
}

// Counters returns a copy.
func (t *Trunk) Counters() TrunkCounters {
	t.count.Peers, t.count.Legs, t.count.Given = len(t.peers), len(t.legs), len(t.given)
	return t.count
}

// Reached says whether every server that takes set-ups has told something on a connection.
func (t *Trunk) Reached() bool {
	for _, p := range t.peers {
		if p.server.State == threadglade.Up && (p.line == nil || !p.line.sound.HasReceived()) {
			return false
		}
	}
	return true
}

// ---- the server list ----

// List takes the whole list. A server that it does not name is gone.
func (t *Trunk) List(servers []Server) {
	named := map[string]bool{}
	for _, s := range servers {
		named[s.ID] = s.State != threadglade.Removed
		if s.State == threadglade.Removed {
			continue
		}
		p := t.peers[s.ID]
		if p == nil {
			p = &peer{t: t}
			t.peers[s.ID] = p
			p.server = s
			p.connect()
			continue
		}
		old := p.server
		p.server, p.gone = s, false
		switch {
		case old.Addr != s.Addr:
			t.cfg.Log.Info().Str("event", "server_moved").Str("server", s.ID).Stringer("address", s.Addr).
				Msgf("server %s has moved to %s", s.ID, s.Addr)
			p.cutAll(func(l *outLeg) bool { return l.on != nil })
			p.hangUp()
			p.connect()
		case old.Started != s.Started:
			t.cfg.Log.Info().Str("event", "server_restarted").Str("server", s.ID).Msgf("server %s started anew", s.ID)
			p.restarted(s.Started)
		}
	}
	for id, p := range t.peers {
		if !named[id] && !p.gone {
			p.gone = true
			cut := p.cutAll(func(*outLeg) bool { return true })
			t.cfg.Log.Info().Str("event", "server_gone").Str("server", id).Int("cut", cut).
				Msgf("server %s is gone, %d attempts cut", id, cut)
			p.hangUp()
			delete(t.peers, id)
		}
	}
}

// restarted drops what belonged to the process before.
func (p *peer) restarted(at time.Duration) {
	p.cutAll(func(l *outLeg) bool { return l.on != nil && l.on.since < at })
	if p.line != nil && p.line.since < at {
		p.hangUp()
	}
	if p.line == nil {
		p.connect()
	}
}

func (p *peer) hangUp() {
	lines := append(p.old, p.line, p.dial)
	p.line, p.dial, p.old = nil, nil, nil
	for _, l := range lines {
		if l != nil {
			l.conn.Close(loop.ErrClosedLocally)
		}
	}
}

// retire takes the present line out of use. It stays open for what is out on it.
func (p *peer) retire() {
	if p.line != nil {
		p.old = append(p.old, p.line)
		p.line = nil
	}
}

// tidy closes replaced lines that nothing is on any more.
func (p *peer) tidy() {
	if len(p.old) == 0 {
		return
	}
	used := map[*line]bool{}
	for _, l := range p.t.legs {
		used[l.on] = !l.standing || used[l.on]
	}
	lines := p.old
	p.old = nil
	for _, l := range lines {
		now := p.t.cfg.Clock()
		switch {
		case used[l] && l.conn.Open(), l.dead && l.by > now, l.until > now:
			p.old = append(p.old, l)
		case l.until == 0 && !l.dead && l.conn.Open():
			// The end is told first and then awaited: releases of calls that stand may be on their way.
			l.until = now + deadFor
			l.conn.CloseWrite()
			p.old = append(p.old, l)
		default:
			l.conn.Close(loop.ErrClosedLocally)
		}
	}
}

// Renew opens a new connection to every server: what one has had to tell a process that is gone, and was not heard, it tells on the
// next connection that opens.
func (t *Trunk) Renew() {
	for _, p := range t.peers {
		p.connect()
	}
}

// Rest tells servers the end of every connection, as a process does that ends while another one of this router serves: what they have written is read until they end, too, and what they have to say
// from then on they say to the other.
func (t *Trunk) Rest() {
	t.rests = true
	for _, p := range t.peers {
		p.retire()
		for _, l := range p.old {
			if l.until == 0 && !l.dead && l.conn.Open() {
				l.until = t.cfg.Clock() + deadFor
				l.conn.CloseWrite()
			}
		}
	}
}

// Resting says whether a server has still to end a connection whose end it was told, and has time to.
func (t *Trunk) Resting() bool {
	for _, p := range t.peers {
		if slices.ContainsFunc(p.old, func(l *line) bool { return l.until > t.cfg.Clock() }) {
			return true
		}
	}
	return false
}

// cutAll ends those of the peer's attempts that match, as if they had been reset, and counts them. What is
// unanswered is given up on the wire in the same moment, for the wait before the next attempt begins now.
func (p *peer) cutAll(match func(*outLeg) bool) (count int) {
	for _, l := range p.t.legs {
		if l.p == p && match(l) {
			p.t.cancel(l)
			p.t.end(l, threadglade.Cut, threadglade.CauseNone)
			count++
		}
	}
	p.tidy()
	return count
}

// watch looks after every server: it redials, notices silence and gives up the calls of a dead one.
func (t *Trunk) watch() {
	now := t.cfg.Clock()
	for _, p := range t.peers {
		p.look(now)
	}
	for id, g := range t.given {
		if now-g.at >= givenFor {
			delete(t.given, id)
		}
	}
	t.router.Schedule(now+watchEvery, t.watch)
}

func (p *peer) look(now time.Duration) {
	p.tidy()
	for _, l := range append([]*line{p.line}, p.old...) {
		if l != nil && l.by > 0 && now >= l.by && !l.dead {
			l.spoilt(errSpoilt)
		}
	}
	if p.dial != nil && now-p.lastDial >= p.t.cfg.ConnectTimeout {
		p.dial.conn.Close(loop.ErrDialTimeout)
	}
	for _, l := range append([]*outLeg(nil), p.pending...) {
		if now >= l.by {
			p.t.end(l, threadglade.Unreachable, threadglade.CauseNone)
		}
	}
	if p.dial == nil && now-p.lastDial >= redialAfter {
		switch {
		case p.line == nil:
			p.connect()
		case p.legs > 0 && p.line.sound.NeedsProbe(now) || p.line.sound.MissedReport(now, &p.reports):
			p.t.count.Silent++
			p.connect()
		}
	}
	if p.lostSince > 0 && now-p.lostSince > deadAfter && p.legs > 0 {
		// What waits for a connection has its own, shorter time.
		if n := p.cutAll(func(l *outLeg) bool { return l.on != nil }); n > 0 {
			p.t.cfg.Log.Warn().Str("event", "server_dead").Str("server", p.server.ID).Int("cut", n).
				Msgf("server %s has been out of reach for %v, %d attempts cut", p.server.ID, deadAfter, n)
		}
	}
}

// connect opens a connection that takes the place of the present one once it is up.
func (p *peer) connect() {
	if p.dial != nil || p.gone || p.t.rests && len(p.pending) == 0 {
		return
	}
	p.t.count.Dials++
	p.lastDial = p.t.cfg.Clock()
	p.dial = &line{p: p}
	p.dial.conn = p.t.cfg.Loop.Dial(p.server.Addr, p.dial)
}

func (l *line) Opened(*loop.Conn) {
	p := l.p
	now := p.t.cfg.Clock()
	l.since = now
	l.sound.Opened(now)
	p.t.count.Opened++
	if p.dial != l {
		l.conn.Close(loop.ErrClosedLocally)
		return
	}
	if p.lostSince > 0 {
		p.t.cfg.Log.Info().Str("event", "server_reached").Str("server", p.server.ID).Msgf("server %s is in reach again", p.server.ID)
	}
	if p.line != nil && p.line.sound.MissedReport(now, &p.reports) {
		l.mute = p.line
	}
	p.retire()
	p.dial, p.line, p.lostSince = nil, l, 0
	p.place()
	owed := p.owed
	p.owed = nil
	for _, id := range owed {
		l.release(id)
	}
}

// place sends what waits for a connection.
func (p *peer) place() {
	p.t.fresh = append(p.t.fresh, p.pending...)
	p.pending = nil
}

// Leaving hears that the server has closed: what would be written now would not be read. What it sent before is taken.
func (l *line) PeerClosed(*loop.Conn) {
	if l.left = true; l.p.line == l {
		l.p.retire()
		l.p.connect()
	}
}

// Drained hears that the server reads again.
func (l *line) Drained(*loop.Conn) {
	l.part = nil
	if l.p.line == l {
		l.p.place()
	}
}

// release ends a call on the line, or where that cannot be written to any more on the next.
func (l *line) release(id string) {
	p := l.p
	p.t.count.Releases++
	if p.t.buf = bye(p.t.buf[:0], id, 2, threadglade.Cancelled); l.conn.Write(p.t.buf) {
		l.told.add(id, threadglade.Cancelled, p.t.cfg.Clock())
		return
	}
	p.owe(id)
}

// owe keeps a release for the next connection.
func (p *peer) owe(id string) {
	if !p.gone && len(p.owed) < owedMost {
		p.owed = append(p.owed, id)
	}
}

func (l *line) Closed(_ *loop.Conn, err error) {
	p := l.p
	now := p.t.cfg.Clock()
	if p.dial == l {
		p.dial = nil
		p.t.count.DialsFailed++
		p.lost(now)
		if err == unix.ECONNREFUSED || err == unix.ECONNRESET {
			p.failPending()
		}
		// Late: a line that is still open is one to a machine that says nothing any more.
		if p.line != nil && p.line.sound.NeedsProbe(now) {
			p.t.cfg.Log.Warn().Str("event", "server_silent").Str("server", p.server.ID).Msgf("server %s is silent", p.server.ID)
			p.retire()
		}
		return
	}
	p.t.count.Closed++
	// What was out on it has been given up on the other side; what stands there goes on.
	l.cut()
	if p.line == l {
		p.line = nil
		p.connect()
	}
	for _, o := range l.told.lost(now) {
		p.t.count.Retold++
		if p.line != nil {
			p.line.release(o.id)
		} else {
			p.owe(o.id)
		}
	}
}

func (p *peer) lost(now time.Duration) {
	if p.lostSince == 0 {
		p.lostSince = now
		p.t.cfg.Log.Warn().Str("event", "server_lost").Str("server", p.server.ID).Msgf("server %s is out of reach", p.server.ID)
	}
}

func (p *peer) failPending() {
	for _, l := range append([]*outLeg(nil), p.pending...) {
		p.t.end(l, threadglade.Unreachable, threadglade.CauseNone)
	}
}

// ---- router.Trunk ----

// Send starts an attempt.
func (t *Trunk) Send(a router.Attempt) {
	p := t.peers[a.Server]
	if p == nil || t.legs[a.ID] != nil {
		t.router.Ended(a.ID, a.Index, threadglade.Unreachable, threadglade.CauseNone)
		return
	}
	l := &outLeg{Attempt: a, p: p}
	t.legs[a.ID] = l
	p.legs++
	t.fresh = append(t.fresh, l)
}

// Flush sends what was started since the last time and not withdrawn meanwhile.
func (t *Trunk) Flush() {
	fresh := t.fresh
	t.fresh = nil
	for _, l := range fresh {
		switch {
		case t.legs[l.ID] != l || l.on != nil:
		case l.p.line != nil:
			l.p.invite(l)
		default:
			l.p.wait(l)
		}
	}
}

// wait has an attempt wait for a connection, or for a server that does not read to do so: until it is written it can be taken back.
func (p *peer) wait(l *outLeg) {
	t := p.t
	l.by = t.cfg.Clock() + t.cfg.ConnectTimeout
	p.pending = append(p.pending, l)
	t.router.Schedule(l.by, func() {
		if t.legs[l.ID] == l && l.on == nil {
			t.end(l, threadglade.Unreachable, threadglade.CauseNone)
		}
	})
	if p.line == nil || len(p.old) < oldMost { // a server that reads nothing on any is given no more
		p.connect()
	}
}

func (p *peer) invite(l *outLeg) {
	t := p.t
	now := t.cfg.Clock()
	if p.line.conn.Blocked() {
		t.count.Blocked++
		p.wait(l)
		return
	}
	l.on, l.sent = p.line, now
	l.on.sound.SetupSent(now)
	t.count.Invites++
	b := request(t.buf[:0], "INVITE", l.Number, l.ID, 1, "INVITE").head("Call-Kind", l.Class)
	b = b.headInt("Answer-Within", max(1, int64((l.Deadline-now)/time.Millisecond))).body(l.Description)
	t.buf = b
	written := false
	if l.on.conn.Gated() { // until it leaves it can be taken back
		written = l.on.conn.WriteRecallable(b, l)
	} else {
		written = l.on.conn.Write(b)
	}
	if !written {
		// Nothing has left, so nothing can run: the attempt goes by the next connection.
		t.count.Unsent++
		p.line, l.on = nil, nil
		p.wait(l)
		return
	}
	if l.on.conn.Blocked() {
		l.on.part = l
	}
}

// GiveUp withdraws an attempt that is unanswered.
func (t *Trunk) GiveUp(a router.Attempt) {
	l := t.legs[a.ID]
	if l == nil || l.Index != a.Index {
		return
	}
	t.drop(l)
	t.cancel(l)
	l.p.tidy()
}

// cancel gives an unanswered attempt up on its line.
func (t *Trunk) cancel(l *outLeg) {
	if l.on != nil && !l.standing && l.on.conn.Open() {
		if l.on.conn.Gated() && l.on.conn.Recall(l) { // it has not left, and does not any more
			t.count.Unsent++
			return
		}
		t.count.Cancels++
		t.given[l.ID] = given{l.on, t.cfg.Clock()}
		t.buf = request(t.buf[:0], "CANCEL", l.Number, l.ID, 1, "CANCEL").body(nil)
		l.on.conn.Write(t.buf)
		if on := l.on; on.part == l {
			t.router.Schedule(t.cfg.Clock()+stuckFor, func() {
				if on.part == l && on.conn.Blocked() {
					t.count.Stuck++
					t.cfg.Log.Warn().Str("event", "server_stuck").Str("server", l.p.server.ID).Msgf("server %s does not read: connection closed over a set-up that was given up", l.p.server.ID)
					on.conn.Close(errStuck)
				}
			})
		}
	}
}

// Release ends a call that stands.
func (t *Trunk) Release(a router.Attempt, _ threadglade.Outcome) {
	l := t.legs[a.ID]
	if l == nil || l.Index != a.Index {
		return
	}
	t.drop(l)
	on := l.on
	if !on.conn.Open() || on.left {
		on = l.p.line
	}
	if on == nil {
		l.p.owe(l.ID)
		return
	}
	on.release(l.ID)
}

// ReleaseAnywhere releases a call that may stand at any server: one of an earlier life of this router. Servers that
// do not know it have nothing to release.
func (t *Trunk) ReleaseAnywhere(id string) {
	for _, p := range t.peers {
		if p.line != nil {
			p.line.release(id)
		} else {
			p.owe(id)
		}
	}
}

// Cease lets go of all that stands or is out, and closes every connection unread: what servers have to say of it they say to others.
func (t *Trunk) Cease() {
	for _, l := range t.legs {
		t.drop(l)
	}
	clear(t.given)
	for _, p := range t.peers {
		p.owed = nil
		p.hangUp()
		p.connect()
	}
}

// Cede lets go of all that stands. Connections stay: what servers have to say of it is passed on as of any call that is not known here.
func (t *Trunk) Cede() {
	for _, l := range t.legs {
		if l.standing {
			t.drop(l)
		}
	}
}

// Ended takes the end of a call that may stand here, as another router has heard it.
func (t *Trunk) Ended(id string, how threadglade.Outcome, byCaller bool) {
	switch l := t.legs[id]; {
	case l == nil || !l.standing:
	case byCaller:
		t.router.Release(id)
	default:
		t.end(l, how, threadglade.CauseNone)
	}
}

// Withdraw gives up at its server, and should it have been answered releases, a set-up that another router had out there.
func (t *Trunk) Withdraw(server, id, number string) {
	if p := t.peers[server]; p != nil && p.line != nil {
		t.count.Withdrawn++
		t.buf = request(t.buf[:0], "CANCEL", number, id, 1, "CANCEL").body(nil)
		p.line.conn.Write(t.buf)
		p.line.release(id)
	}
}

// drop takes an attempt off the books.
func (t *Trunk) drop(l *outLeg) {
	delete(t.legs, l.ID)
	l.p.legs--
	for i, other := range l.p.pending {
		if other == l {
			l.p.pending = append(l.p.pending[:i], l.p.pending[i+1:]...)
			break
		}
	}
}

func (t *Trunk) end(l *outLeg, how threadglade.Outcome, cause threadglade.Cause) {
	t.drop(l)
	t.router.Ended(l.ID, l.Index, how, cause)
}

// ---- what servers say ----

func (l *line) Data(c *loop.Conn, b []byte) int {
	t := l.p.t
	now := t.cfg.Clock()
	l.sound.Received(now)
	if l.dead {
		return l.salvage(b)
	}
	if old := l.mute; old != nil { // the server speaks, and here
		if l.mute = nil; old.sound.Unresponsive(&l.sound) && old.conn.Open() && !old.dead {
			t.count.Mute++
			old.end(errMute)
		}
	}
	n, err := parse(b, &l.m)
	switch {
	case err != nil:
	case n == 0:
		if l.by == 0 {
			l.by = now + answerWithin
		}
		return 0
	case !begins(b[n:]):
		err = errSpoilt
	default:
		l.by = 0
		if len(l.m.headers) > 0 {
			t.count.Messages++
			err = l.take(&l.m)
		}
	}
	if err != nil {
		l.spoilt(err)
		return l.salvage(b)
	}
	return n
}

// spoilt ends a connection on which something came that cannot be read, or not whole: neither can what follows. Every
// set-up that was out on it may have run; that is its outcome. The end is told first and then awaited, for releases
// of calls that stand may be on their way.
func (l *line) spoilt(err error) {
	l.p.t.count.Malformed++
	l.end(err)
	l.p.connect()
}

// end tells the end of a connection on which nothing can come any more, and cuts what was out on it.
func (l *line) end(err error) {
	p, t, now := l.p, l.p.t, l.p.t.cfg.Clock()
	if p.complains == 0 || now-p.complains >= complainEvery {
		p.complains = now
		t.cfg.Log.Warn().Str("event", "server_spoilt").Str("server", p.server.ID).Msgf("server %s: %v, connection closed", p.server.ID, err)
	}
	l.dead, l.by = true, now+deadFor
	l.conn.CloseWrite()
	if p.line == l {
		p.retire()
	}
	t.count.Cut += uint64(l.cut())
}

// salvage finds the releases among what comes on a dead line; the last bytes may be the beginning of one.
func (l *line) salvage(b []byte) int {
	const sign = "BYE sip:"
	at := bytes.Index(b, []byte(sign))
	if at < 0 {
		return max(0, len(b)-len(sign)+1)
	}
	n, err := parse(b[at:], &l.m)
	switch {
	case err != nil:
		return at + len(sign)
	case n > 0 && hexID(l.m.callID):
		l.p.t.count.Salvaged++
		l.heed(&l.m)
		l.released(&l.m)
	}
	return at + n
}

// cut ends what is unanswered on the line: the other side has given it up or is told so by the end of the line.
func (l *line) cut() (count int) {
	t := l.p.t
	for _, leg := range t.legs {
		if leg.on == l && !leg.standing {
			t.end(leg, threadglade.Cut, threadglade.CauseNone)
			count++
		}
	}
	for id, g := range t.given {
		if g.on == l {
			delete(t.given, id)
		}
	}
	return count
}

// heed says that a release was heard: where nothing can be written on its line any more, on the present one.
func (l *line) heed(m *message) {
	if !l.conn.Open() && l.p.line != nil {
		l = l.p.line
	}
	l.write(reply(l.p.t.buf[:0], 200, m))
}

func (l *line) write(b out) {
	l.p.t.buf = b
	l.conn.Write(b)
}

func (l *line) take(m *message) error {
	t := l.p.t
	switch string(m.method) {
	case "":
		if string(m.cmethod) == "INVITE" && m.status >= 200 {
			return l.answered(m)
		}
		if string(m.cmethod) == "BYE" {
			l.told.heard(m.callID)
		}
	case "NOTIFY":
		l.state(m)
	case "BYE":
		l.heed(m)
		l.released(m)
	case "OPTIONS":
		l.write(reply(t.buf[:0], 200, m))
	case "ACK":
	default:
		l.write(reply(t.buf[:0], 501, m))
	}
	return nil
}

// answered takes the final answer to a set-up that was sent on this server's connections. One that crossed our CANCEL
// stands on the other side, is acknowledged and released. The number in CSeq tells attempts of one call
// apart no more than the Call-ID does: case servers answer with 1 whatever they were sent.
func (l *line) answered(m *message) error {
	t := l.p.t
	id := string(m.callID)
	leg := t.legs[id]
	ours := leg != nil && leg.p == l.p && leg.on != nil
	_, crossed := t.given[id]
	if crossed = crossed && t.given[id].on == l; crossed && !ours {
		delete(t.given, id)
	}
	if !ours && !crossed { // a second copy, or nothing that was ever asked: it changes nothing
		t.count.Unknown++
		return nil
	}
	if ours && !leg.standing && m.status < 300 && !sound(m.body) {
		return errSpoilt
	}
	l.write(request(t.buf[:0], "ACK", id, id, m.cseq, "ACK").body(nil))
	switch {
	case m.status == 487: // to an attempt that we gave up
	case m.status >= 300:
		if ours && !leg.standing {
			l.load(m)
			how, cause := outcome(m.status, m.get("fail-word"))
			t.end(leg, how, cause)
		}
	case ours && !leg.standing:
		leg.standing = true
		t.router.Answered(id, leg.Index, m.body)
	case ours:
	default:
		t.count.Crossed++
		l.write(bye(t.buf[:0], id, m.cseq+1, threadglade.Cancelled))
	}
	return nil
}

var words = map[string]threadglade.Cause{"blocked": threadglade.CauseNoAgent, "bounced": threadglade.CauseSentBack,
	"far_swamped": threadglade.CauseSentBack, "swamped": threadglade.CauseProcessorFull,
	"occupied": threadglade.CauseLinesBusy}

// outcome maps a refusal.
func outcome(status int, word []byte) (threadglade.Outcome, threadglade.Cause) {
	cause := words[string(word)]
	switch status {
	case 503:
		return threadglade.Rejected, cause
	case 480:
		return threadglade.NotSent, cause
	case 504:
		return threadglade.Cut, cause
	}
	return threadglade.Faulted, cause
}

// released takes the end of a call that stood, by whichever connection it comes.
func (l *line) released(m *message) {
	t := l.p.t
	l.load(m)
	how := threadglade.Cut
	if causeIs16(m.get("reason")) {
		how = threadglade.Concluded
	}
	id := string(m.callID)
	if leg := t.legs[id]; leg != nil && leg.p == l.p && leg.standing {
		t.end(leg, how, threadglade.CauseNone)
		return
	}
	t.router.UnmatchedRelease(id, how)
}

func causeIs16(reason []byte) bool {
	for i := 0; i+8 <= len(reason); i++ {
		if string(reason[i:i+8]) == "cause=16" {
			return i+8 == len(reason) || reason[i+8] < '0' || reason[i+8] > '9'
		}
	}
	return false
}

// load passes on what a message reports of its server's processor, where somebody wants to know.
func (l *line) load(m *message) {
	if !l.p.t.cfg.Loads {
		return
	}
	report := m.get("link-state")
	ms, told := field(report, "latency_ms")
	rate, known := field(report, "qps")
	if !known {
		rate, known = field(report, "max_rate")
	}
	if (told || known) && ms >= 0 && ms < 1e6 && rate < 1e9 { // also no NaN
		l.p.t.router.ReportLoad(l.p.server.ID, time.Duration(ms*float64(time.Millisecond)), rate)
	}
}

// state takes a report of free agents.
func (l *line) state(m *message) {
	t := l.p.t
	l.load(m)
	report := m.get("link-state")
	free, told := field(report, t.cfg.Free)
	total, sized := field(report, t.cfg.Total)
	if !told || !sized {
		free, told = field(report, "x0")
		total, sized = field(report, "x1")
	}
	if told && sized {
		l.sound.ReportReceived(t.cfg.Clock(), &l.p.reports)
	}
	if told && sized && free >= 0 && total >= free && total <= agentsMost { // also no NaN
		t.count.States++
		t.router.ReportAgents(threadglade.Agents{Server: l.p.server.ID, Free: int(free), Total: int(total)})
	}
}

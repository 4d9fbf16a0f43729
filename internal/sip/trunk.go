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
	// redialDelay is the minimum interval between two attempts to connect to a server.
	redialDelay = 250 * time.Millisecond
	// deadServerTimeout is how long a server must be unreachable before its calls are considered cut.
	deadServerTimeout = 2 * time.Second
	// checkInterval is the interval at which servers are checked.
	checkInterval = 100 * time.Millisecond
	// partialMessageTimeout is how long a message of a server may take from its first byte to its last. Servers write
	// a message at once, so one that stops short will not be continued, nor will anything else arrive on that
	// connection.
	partialMessageTimeout = 200 * time.Millisecond
	// peerCloseTimeout is how long the server has to close a connection after it was half-closed here.
	peerCloseTimeout = 500 * time.Millisecond
	// cancelledAttemptTTL is how long a cancelled attempt is remembered, in case its answer crosses the CANCEL.
	cancelledAttemptTTL = 15 * time.Second
	// malformedLogInterval is the minimum interval between two log events about unusable connections of one server.
	malformedLogInterval = time.Second
	// maxPendingReleases is the number of releases that may wait for a connection to an unreachable server.
	maxPendingReleases = 1000
	// blockedSetupTimeout is how long a set-up may stay partly written after it was cancelled. No call may begin
	// at a server later than 0.1 s after its caller has gone.
	blockedSetupTimeout = 90 * time.Millisecond
	// maxReplacedConns limits the connections to a server that doesn't read: while it has this many replaced ones, no
	// further connection is opened. With the current one and one being opened it has at most four.
	maxReplacedConns = 2
	// maxAgents is the largest number of agents that is accepted in a server's report.
	maxAgents = 1 << 20
)

// errCorrupt closes a connection on which a message arrived truncated or with a wrong length, so that the start of
// the next message is unknown.
var errCorrupt = errors.New("corrupt message")

// errUnresponsive closes a connection that is silent while its server sends on a newer one: no answer will arrive on
// it.
var errUnresponsive = errors.New("silent connection")

// errBlocked closes a connection whose server doesn't read, with a cancelled set-up partly written on it.
var errBlocked = errors.New("connection blocked by a cancelled set-up")

// Server is an entry of the server list with its SIP address.
type Server struct {
	threadglade.Server
	Addr netip.AddrPort
}

// TrunkConfig configures a Trunk. Loop and Clock are required.
type TrunkConfig struct {
	Loop           *loop.Loop
	Clock          router.Clock
	ConnectTimeout time.Duration
	FreeField      string // name of the field with the free agents in a server's state report
	TotalField     string // name of the field with all agents
	Log            zerolog.Logger
	ReportLoads    bool // pass servers' load reports on to the router
}

// Trunk sends attempts to case servers and reports their outcome to the router. It implements router.Trunk. A server
// is identified by its ID, as its address may be assigned to another one later. A Trunk runs on the event loop's
// goroutine; no method may be called from another one.
type Trunk struct {
	cfg       TrunkConfig
	router    *router.Router
	peers     map[string]*serverPeer
	legs      map[string]*outboundLeg     // the one pending or established attempt of each call, by call ID
	cancelled map[string]cancelledAttempt // attempts cancelled before their answer, by call ID
	unsent    []*outboundLeg              // attempts for the next Flush; input handled before may withdraw them
	closing   bool                        // the process shuts down: connections are only opened for pending set-ups
	buf       messageBuffer
	counters  TrunkCounters
}

// cancelledAttempt is an attempt whose CANCEL was sent on conn.
type cancelledAttempt struct {
	conn  *serverConn
	since time.Duration
}

// TrunkCounters counts the traffic with case servers since the start. Peers, Legs and Given are current values.
type TrunkCounters struct {
	Dials       uint64 // attempts to connect
	DialsFailed uint64
	Opened      uint64 // connections opened
	Closed      uint64 // opened connections closed
	Invites     uint64 // INVITEs written
	Unsent      uint64 // INVITEs that never left this process, also because they were taken back
	Cancels     uint64 // CANCELs of attempts
	Withdrawn   uint64 // CANCELs of set-ups of another router
	Releases    uint64 // BYEs written
	Messages    uint64 // well-formed messages received
	Malformed   uint64 // connections closed because of a corrupt message
	Cut         uint64 // attempts cut on connections that became unusable
	Salvaged    uint64 // releases found behind a corrupt message
	States      uint64 // state reports
	Crossed     uint64 // positive answers that crossed a CANCEL
	Unknown     uint64 // answers without a matching attempt
	Silent      uint64 // connections opened to probe a silent server
	Mute        uint64 // unresponsive connections replaced by a newer one
	Blocked     uint64 // set-ups that waited because their server did not read
	Stuck       uint64 // connections closed because a cancelled set-up was partly written
	Retold      uint64 // releases sent again because their connection closed before they were acknowledged
	Peers       int    // servers
	Legs        int    // attempts pending or established
	Given       int    // cancelled attempts remembered
}

// serverPeer is a server and the connections to it.
type serverPeer struct {
	trunk             *Trunk
	server            Server
	removed           bool
	conn              *serverConn   // for new set-ups; nil while there is none
	dialing           *serverConn   // being opened; nil: none
	replaced          []*serverConn // former connections that are still open
	lastDial          time.Duration
	unreachableSince  time.Duration  // when it became unreachable; 0: it is reachable
	pending           []*outboundLeg // attempts that wait for a connection
	pendingReleases   []string       // IDs of calls whose release waits for a connection
	legCount          int            // its attempts in Trunk.legs
	malformedLoggedAt time.Duration  // when an unusable connection was last logged; 0: never
	reportIntervals   silence.ReportIntervals
}

// serverConn is one connection to a server. It implements loop.Handler, loop.PeerCloseHandler and loop.Drainer.
type serverConn struct {
	peer          *serverPeer
	conn          *loop.Conn
	openedAt      time.Duration
	silence       silence.Connection
	deadline      time.Duration // of the message in progress, or if unusable of the server's close; 0: none
	unusable      bool          // a corrupt message arrived on it, or it was found unresponsive
	peerClosed    bool          // the server has closed it; earlier messages may still be unread
	closeDeadline time.Duration // of the server's close, once half-closed as unused; 0: it was not
	predecessor   *serverConn   // the connection that it replaces because of its silence; nil: none
	partialSetup  *outboundLeg  // last set-up, written in part as the server doesn't read; nil: none
	unacked       unackedReleases
	msg           message
}

// outboundLeg is the server's side of a set-up: one attempt.
type outboundLeg struct {
	router.Attempt
	peer            *serverPeer
	conn            *serverConn // nil until the INVITE is written
	connectDeadline time.Duration
	sentAt          time.Duration
	established     bool
}

// NewTrunk returns a trunk without servers. Start must be called before any other method.
func NewTrunk(cfg TrunkConfig) *Trunk {
	return &Trunk{
		cfg: cfg, peers: map[string]*serverPeer{}, legs: map[string]*outboundLeg{},
		cancelled: map[string]cancelledAttempt{},
	}
}

// Start sets the router and begins the periodic checks of servers.
func (t *Trunk) Start(r *router.Router) {
	t.router = r
	t.checkServers()
}

// Counters returns a copy of the counters.
func (t *Trunk) Counters() TrunkCounters {
	t.counters.Peers, t.counters.Legs, t.counters.Given = len(t.peers), len(t.legs), len(t.cancelled)
	return t.counters
}

// AllReached reports whether every server that takes set-ups has sent data on its current connection.
func (t *Trunk) AllReached() bool {
	for _, peer := range t.peers {
		if peer.server.State == threadglade.Up && (peer.conn == nil || !peer.conn.silence.HasReceived()) {
			return false
		}
	}
	return true
}

// ---- the server list ----

// UpdateServers replaces the server list. It connects to new servers, reconnects to moved and restarted ones, and
// cuts the attempts of servers that are not listed any more.
func (t *Trunk) UpdateServers(servers []Server) {
	named := map[string]bool{}
	for _, server := range servers {
		named[server.ID] = server.State != threadglade.Removed
		if server.State == threadglade.Removed {
			continue
		}
		peer := t.peers[server.ID]
		if peer == nil {
			peer = &serverPeer{trunk: t}
			t.peers[server.ID] = peer
			peer.server = server
			peer.connect()
			continue
		}
		old := peer.server
		peer.server, peer.removed = server, false
		switch {
		case old.Addr != server.Addr:
			t.cfg.Log.Info().Str("event", "server_moved").Str("server", server.ID).Stringer("address", server.Addr).
				Msgf("server %s has moved to %s", server.ID, server.Addr)
			peer.cutLegs(func(leg *outboundLeg) bool { return leg.conn != nil })
			peer.closeConns()
			peer.connect()
		case old.Started != server.Started:
			t.cfg.Log.Info().Str("event", "server_restarted").Str("server", server.ID).
				Msgf("server %s restarted", server.ID)
			peer.handleRestart(server.Started)
		}
	}
	for id, peer := range t.peers {
		if !named[id] && !peer.removed {
			peer.removed = true
			cut := peer.cutLegs(func(*outboundLeg) bool { return true })
			t.cfg.Log.Info().Str("event", "server_gone").Str("server", id).Int("cut", cut).
				Msgf("server %s was removed, %d attempts cut", id, cut)
			peer.closeConns()
			delete(t.peers, id)
		}
	}
}

// handleRestart cuts the attempts and closes the connection of the server's previous incarnation.
func (p *serverPeer) handleRestart(startedAt time.Duration) {
	p.cutLegs(func(leg *outboundLeg) bool { return leg.conn != nil && leg.conn.openedAt < startedAt })
	if p.conn != nil && p.conn.openedAt < startedAt {
		p.closeConns()
	}
	if p.conn == nil {
		p.connect()
	}
}

// closeConns closes all connections to the server.
func (p *serverPeer) closeConns() {
	conns := append(p.replaced, p.conn, p.dialing)
	p.conn, p.dialing, p.replaced = nil, nil, nil
	for _, conn := range conns {
		if conn != nil {
			conn.conn.Close(loop.ErrClosedLocally)
		}
	}
}

// retire takes the current connection out of use. It stays open for the attempts that are pending on it.
func (p *serverPeer) retire() {
	if p.conn != nil {
		p.replaced = append(p.replaced, p.conn)
		p.conn = nil
	}
}

// closeUnused closes replaced connections that have no pending attempts any more.
func (p *serverPeer) closeUnused() {
	if len(p.replaced) == 0 {
		return
	}
	used := map[*serverConn]bool{}
	for _, leg := range p.trunk.legs {
		used[leg.conn] = !leg.established || used[leg.conn]
	}
	conns := p.replaced
	p.replaced = nil
	for _, conn := range conns {
		now := p.trunk.cfg.Clock()
		switch {
		case used[conn] && conn.conn.Open(), conn.unusable && conn.deadline > now, conn.closeDeadline > now:
			p.replaced = append(p.replaced, conn)
		case conn.closeDeadline == 0 && !conn.unusable && conn.conn.Open():
			// Releases of established calls may be on their way, so it is half-closed until the server closes too.
			conn.closeDeadline = now + peerCloseTimeout
			conn.conn.CloseWrite()
			p.replaced = append(p.replaced, conn)
		default:
			conn.conn.Close(loop.ErrClosedLocally)
		}
	}
}

// Reconnect opens a new connection to every server. On it the server sends the releases again that a process which has
// gone did not acknowledge.
func (t *Trunk) Reconnect() {
	for _, peer := range t.peers {
		peer.connect()
	}
}

// HalfCloseAll half-closes all connections, for a process that shuts down while another process of this router serves.
// Messages of a server are still read until it closes its side too; it sends later ones to the other process.
func (t *Trunk) HalfCloseAll() {
	t.closing = true
	for _, peer := range t.peers {
		peer.retire()
		for _, conn := range peer.replaced {
			if conn.closeDeadline == 0 && !conn.unusable && conn.conn.Open() {
				conn.closeDeadline = t.cfg.Clock() + peerCloseTimeout
				conn.conn.CloseWrite()
			}
		}
	}
}

// HalfClosing reports whether a half-closed connection still waits for the server's close, within peerCloseTimeout.
func (t *Trunk) HalfClosing() bool {
	for _, peer := range t.peers {
		if slices.ContainsFunc(peer.replaced, func(conn *serverConn) bool {
			return conn.closeDeadline > t.cfg.Clock()
		}) {
			return true
		}
	}
	return false
}

// cutLegs ends the server's matching attempts as cut and returns their number. Unanswered ones are cancelled on the
// wire at once, because the delay before the next attempt begins now.
func (p *serverPeer) cutLegs(match func(*outboundLeg) bool) (count int) {
	for _, leg := range p.trunk.legs {
		if leg.peer == p && match(leg) {
			p.trunk.cancelLeg(leg)
			p.trunk.endLeg(leg, threadglade.Cut, threadglade.CauseNone)
			count++
		}
	}
	p.closeUnused()
	return count
}

// checkServers checks every server and drops expired cancelled attempts. It schedules itself again.
func (t *Trunk) checkServers() {
	now := t.cfg.Clock()
	for _, peer := range t.peers {
		peer.check(now)
	}
	for id, attempt := range t.cancelled {
		if now-attempt.since >= cancelledAttemptTTL {
			delete(t.cancelled, id)
		}
	}
	t.router.Schedule(now+checkInterval, t.checkServers)
}

// check closes unused connections and those with an incomplete message, fails attempts that have waited too long for
// a connection, opens one if there is none or the current one is silent, and cuts its calls after deadServerTimeout.
func (p *serverPeer) check(now time.Duration) {
	p.closeUnused()
	for _, conn := range append([]*serverConn{p.conn}, p.replaced...) {
		if conn != nil && conn.deadline > 0 && now >= conn.deadline && !conn.unusable {
			conn.closeCorrupt(errCorrupt)
		}
	}
	if p.dialing != nil && now-p.lastDial >= p.trunk.cfg.ConnectTimeout {
		p.dialing.conn.Close(loop.ErrDialTimeout)
	}
	for _, leg := range append([]*outboundLeg(nil), p.pending...) {
		if now >= leg.connectDeadline {
			p.trunk.endLeg(leg, threadglade.Unreachable, threadglade.CauseNone)
		}
	}
	if p.dialing == nil && now-p.lastDial >= redialDelay {
		switch {
		case p.conn == nil:
			p.connect()
		case p.legCount > 0 && p.conn.silence.NeedsProbe(now) ||
			p.conn.silence.MissedReport(now, &p.reportIntervals):
			p.trunk.counters.Silent++
			p.connect()
		}
	}
	if p.unreachableSince > 0 && now-p.unreachableSince > deadServerTimeout && p.legCount > 0 {
		// Attempts that wait for a connection have their own, shorter timeout.
		if n := p.cutLegs(func(leg *outboundLeg) bool { return leg.conn != nil }); n > 0 {
			p.trunk.cfg.Log.Warn().Str("event", "server_dead").Str("server", p.server.ID).Int("cut", n).
				Msgf("server %s has been unreachable for %v, %d attempts cut", p.server.ID, deadServerTimeout, n)
		}
	}
}

// connect opens a connection, which replaces the current one once it is established.
func (p *serverPeer) connect() {
	if p.dialing != nil || p.removed || p.trunk.closing && len(p.pending) == 0 {
		return
	}
	p.trunk.counters.Dials++
	p.lastDial = p.trunk.cfg.Clock()
	p.dialing = &serverConn{peer: p}
	p.dialing.conn = p.trunk.cfg.Loop.Dial(p.server.Addr, p.dialing)
}

// Opened implements loop.Handler.
func (c *serverConn) Opened(*loop.Conn) {
	peer := c.peer
	now := peer.trunk.cfg.Clock()
	c.openedAt = now
	c.silence.Opened(now)
	peer.trunk.counters.Opened++
	if peer.dialing != c {
		c.conn.Close(loop.ErrClosedLocally)
		return
	}
	if peer.unreachableSince > 0 {
		peer.trunk.cfg.Log.Info().Str("event", "server_reached").Str("server", peer.server.ID).
			Msgf("server %s is reachable again", peer.server.ID)
	}
	if peer.conn != nil && peer.conn.silence.MissedReport(now, &peer.reportIntervals) {
		c.predecessor = peer.conn
	}
	peer.retire()
	peer.dialing, peer.conn, peer.unreachableSince = nil, c, 0
	peer.sendPending()
	pending := peer.pendingReleases
	peer.pendingReleases = nil
	for _, id := range pending {
		c.sendRelease(id)
	}
}

// sendPending queues the attempts that wait for a connection for the next Flush.
func (p *serverPeer) sendPending() {
	p.trunk.unsent = append(p.trunk.unsent, p.pending...)
	p.pending = nil
}

// PeerClosed implements loop.PeerCloseHandler: the server has closed the connection and reads nothing more from it.
// What it sent before is still handled.
func (c *serverConn) PeerClosed(*loop.Conn) {
	if c.peerClosed = true; c.peer.conn == c {
		c.peer.retire()
		c.peer.connect()
	}
}

// Drained implements loop.Drainer: the server reads again.
func (c *serverConn) Drained(*loop.Conn) {
	c.partialSetup = nil
	if c.peer.conn == c {
		c.peer.sendPending()
	}
}

// sendRelease sends a release on the connection, or queues it for the next one if nothing can be written here any
// more.
func (c *serverConn) sendRelease(id string) {
	peer := c.peer
	peer.trunk.counters.Releases++
	if peer.trunk.buf = appendBye(peer.trunk.buf[:0], id, 2, threadglade.Cancelled); c.conn.Write(peer.trunk.buf) {
		c.unacked.add(id, threadglade.Cancelled, peer.trunk.cfg.Clock())
		return
	}
	peer.queueRelease(id)
}

// queueRelease keeps a release for the next connection, unless maxPendingReleases wait already.
func (p *serverPeer) queueRelease(id string) {
	if !p.removed && len(p.pendingReleases) < maxPendingReleases {
		p.pendingReleases = append(p.pendingReleases, id)
	}
}

// Closed implements loop.Handler. For a connection that never opened it reports the failed attempt to connect.
func (c *serverConn) Closed(_ *loop.Conn, err error) {
	peer := c.peer
	now := peer.trunk.cfg.Clock()
	if peer.dialing == c {
		peer.dialing = nil
		peer.trunk.counters.DialsFailed++
		peer.markUnreachable(now)
		if err == unix.ECONNREFUSED || err == unix.ECONNRESET {
			peer.failPending()
		}
		// The server can't be reached, so the silent connection leads to a machine that sends nothing any more.
		if peer.conn != nil && peer.conn.silence.NeedsProbe(now) {
			peer.trunk.cfg.Log.Warn().Str("event", "server_silent").Str("server", peer.server.ID).
				Msgf("server %s is silent", peer.server.ID)
			peer.retire()
		}
		return
	}
	peer.trunk.counters.Closed++
	// The server has given up attempts that were pending on it; established calls go on.
	c.cutPending()
	if peer.conn == c {
		peer.conn = nil
		peer.connect()
	}
	for _, release := range c.unacked.takeLost(now) {
		peer.trunk.counters.Retold++
		if peer.conn != nil {
			peer.conn.sendRelease(release.id)
		} else {
			peer.queueRelease(release.id)
		}
	}
}

// markUnreachable records that the server is unreachable, if it wasn't before.
func (p *serverPeer) markUnreachable(now time.Duration) {
	if p.unreachableSince == 0 {
		p.unreachableSince = now
		p.trunk.cfg.Log.Warn().Str("event", "server_lost").Str("server", p.server.ID).
			Msgf("server %s is unreachable", p.server.ID)
	}
}

// failPending fails the attempts that wait for a connection.
func (p *serverPeer) failPending() {
	for _, leg := range append([]*outboundLeg(nil), p.pending...) {
		p.trunk.endLeg(leg, threadglade.Unreachable, threadglade.CauseNone)
	}
}

// ---- router.Trunk ----

// Send implements router.Trunk. The INVITE is written by the next Flush.
func (t *Trunk) Send(attempt router.Attempt) {
	peer := t.peers[attempt.Server]
	if peer == nil || t.legs[attempt.ID] != nil {
		t.router.Ended(attempt.ID, attempt.Index, threadglade.Unreachable, threadglade.CauseNone)
		return
	}
	leg := &outboundLeg{Attempt: attempt, peer: peer}
	t.legs[attempt.ID] = leg
	peer.legCount++
	t.unsent = append(t.unsent, leg)
}

// Flush writes the attempts that were started since the last call and not withdrawn in the meantime.
func (t *Trunk) Flush() {
	unsent := t.unsent
	t.unsent = nil
	for _, leg := range unsent {
		switch {
		case t.legs[leg.ID] != leg || leg.conn != nil:
		case leg.peer.conn != nil:
			leg.peer.sendInvite(leg)
		default:
			leg.peer.awaitConn(leg)
		}
	}
}

// awaitConn makes an attempt wait until there is a connection, or until the server reads again if it has stopped, for
// at most the connect timeout. The attempt is not written yet, so it can be withdrawn without a CANCEL.
func (p *serverPeer) awaitConn(leg *outboundLeg) {
	trunk := p.trunk
	leg.connectDeadline = trunk.cfg.Clock() + trunk.cfg.ConnectTimeout
	p.pending = append(p.pending, leg)
	trunk.router.Schedule(leg.connectDeadline, func() {
		if trunk.legs[leg.ID] == leg && leg.conn == nil {
			trunk.endLeg(leg, threadglade.Unreachable, threadglade.CauseNone)
		}
	})
	if p.conn == nil || len(p.replaced) < maxReplacedConns { // no more to a server that reads on none
		p.connect()
	}
}

// sendInvite writes an attempt's INVITE on the current connection, or has it wait if that is not possible.
func (p *serverPeer) sendInvite(leg *outboundLeg) {
	trunk := p.trunk
	now := trunk.cfg.Clock()
	if p.conn.conn.Blocked() {
		trunk.counters.Blocked++
		p.awaitConn(leg)
		return
	}
	leg.conn, leg.sentAt = p.conn, now
	leg.conn.silence.SetupSent(now)
	trunk.counters.Invites++
	b := appendRequest(trunk.buf[:0], "INVITE", leg.Number, leg.ID, 1, "INVITE").addHeader("Call-Kind", leg.Class)
	b = b.addIntHeader("Answer-Within", max(1, int64((leg.Deadline-now)/time.Millisecond))).addBody(leg.Description)
	trunk.buf = b
	written := false
	if leg.conn.conn.Gated() { // it can be taken back while the output gate holds it
		written = leg.conn.conn.WriteRecallable(b, leg)
	} else {
		written = leg.conn.conn.Write(b)
	}
	if !written {
		// Nothing was sent, so the server can't run it: the attempt uses the next connection.
		trunk.counters.Unsent++
		p.conn, leg.conn = nil, nil
		p.awaitConn(leg)
		return
	}
	if leg.conn.conn.Blocked() {
		leg.conn.partialSetup = leg
	}
}

// GiveUp implements router.Trunk.
func (t *Trunk) GiveUp(attempt router.Attempt) {
	leg := t.legs[attempt.ID]
	if leg == nil || leg.Index != attempt.Index {
		return
	}
	t.removeLeg(leg)
	t.cancelLeg(leg)
	leg.peer.closeUnused()
}

// cancelLeg takes an unanswered attempt back if it was not sent yet, and otherwise sends a CANCEL. If the INVITE is
// written in part and the server doesn't read on within blockedSetupTimeout, it closes the connection.
func (t *Trunk) cancelLeg(leg *outboundLeg) {
	if leg.conn != nil && !leg.established && leg.conn.conn.Open() {
		if leg.conn.conn.Gated() && leg.conn.conn.Recall(leg) { // it was never sent
			t.counters.Unsent++
			return
		}
		t.counters.Cancels++
		t.cancelled[leg.ID] = cancelledAttempt{leg.conn, t.cfg.Clock()}
		t.buf = appendRequest(t.buf[:0], "CANCEL", leg.Number, leg.ID, 1, "CANCEL").addBody(nil)
		leg.conn.conn.Write(t.buf)
		if conn := leg.conn; conn.partialSetup == leg {
			t.router.Schedule(t.cfg.Clock()+blockedSetupTimeout, func() {
				if conn.partialSetup == leg && conn.conn.Blocked() {
					t.counters.Stuck++
					t.cfg.Log.Warn().Str("event", "server_stuck").Str("server", leg.peer.server.ID).
						Msgf("server %s does not read: connection closed because of a partly sent set-up that was cancelled",
							leg.peer.server.ID)
					conn.conn.Close(errBlocked)
				}
			})
		}
	}
}

// Release implements router.Trunk.
func (t *Trunk) Release(attempt router.Attempt, _ threadglade.Outcome) {
	leg := t.legs[attempt.ID]
	if leg == nil || leg.Index != attempt.Index {
		return
	}
	t.removeLeg(leg)
	conn := leg.conn
	if !conn.conn.Open() || conn.peerClosed {
		conn = leg.peer.conn
	}
	if conn == nil {
		leg.peer.queueRelease(leg.ID)
		return
	}
	conn.sendRelease(leg.ID)
}

// ReleaseAtAllServers releases a call of an earlier incarnation of this router, whose server is not known. Servers
// that don't know the call ignore the release.
func (t *Trunk) ReleaseAtAllServers(id string) {
	for _, peer := range t.peers {
		if peer.conn != nil {
			peer.conn.sendRelease(id)
		} else {
			peer.queueRelease(id)
		}
	}
}

// RelinquishAll drops all pending attempts and established calls, and reopens every connection without reading what
// has arrived: servers report on those calls to other routers.
func (t *Trunk) RelinquishAll() {
	for _, leg := range t.legs {
		t.removeLeg(leg)
	}
	clear(t.cancelled)
	for _, peer := range t.peers {
		peer.pendingReleases = nil
		peer.closeConns()
		peer.connect()
	}
}

// RelinquishEstablished drops all established calls. Connections stay open: releases of those calls are passed on
// like those of any unknown call.
func (t *Trunk) RelinquishEstablished() {
	for _, leg := range t.legs {
		if leg.established {
			t.removeLeg(leg)
		}
	}
}

// EndCall ends a call that may be established here and whose end was reported to another router.
func (t *Trunk) EndCall(id string, outcome threadglade.Outcome, byCaller bool) {
	switch leg := t.legs[id]; {
	case leg == nil || !leg.established:
	case byCaller:
		t.router.Release(id)
	default:
		t.endLeg(leg, outcome, threadglade.CauseNone)
	}
}

// CancelAndRelease cancels a set-up of another router at its server, and releases the call in case it is established.
// It does nothing if there is no connection to the server.
func (t *Trunk) CancelAndRelease(server, id, number string) {
	if peer := t.peers[server]; peer != nil && peer.conn != nil {
		t.counters.Withdrawn++
		t.buf = appendRequest(t.buf[:0], "CANCEL", number, id, 1, "CANCEL").addBody(nil)
		peer.conn.conn.Write(t.buf)
		peer.conn.sendRelease(id)
	}
}

// removeLeg forgets an attempt.
func (t *Trunk) removeLeg(leg *outboundLeg) {
	delete(t.legs, leg.ID)
	leg.peer.legCount--
	for i, other := range leg.peer.pending {
		if other == leg {
			leg.peer.pending = append(leg.peer.pending[:i], leg.peer.pending[i+1:]...)
			break
		}
	}
}

// endLeg forgets an attempt and reports its end to the router.
func (t *Trunk) endLeg(leg *outboundLeg, outcome threadglade.Outcome, cause threadglade.Cause) {
	t.removeLeg(leg)
	t.router.Ended(leg.ID, leg.Index, outcome, cause)
}

// ---- messages of servers ----

// Data implements loop.Handler: it handles the message at the start of b and returns its length. On a connection that
// is closing because it is unusable it only looks for releases.
func (c *serverConn) Data(_ *loop.Conn, b []byte) int {
	trunk := c.peer.trunk
	now := trunk.cfg.Clock()
	c.silence.Received(now)
	if c.unusable {
		return c.salvageReleases(b)
	}
	if predecessor := c.predecessor; predecessor != nil { // the server sends, and on this connection
		if c.predecessor = nil; predecessor.silence.Unresponsive(&c.silence) && predecessor.conn.Open() &&
			!predecessor.unusable {
			trunk.counters.Mute++
			predecessor.beginClose(errUnresponsive)
		}
	}
	n, err := parse(b, &c.msg)
	switch {
	case err != nil:
	case n == 0:
		if c.deadline == 0 {
			c.deadline = now + partialMessageTimeout
		}
		return 0
	case !startsMessage(b[n:]):
		err = errCorrupt
	default:
		c.deadline = 0
		if len(c.msg.headers) > 0 {
			trunk.counters.Messages++
			err = c.handleMessage(&c.msg)
		}
	}
	if err != nil {
		c.closeCorrupt(err)
		return c.salvageReleases(b)
	}
	return n
}

// closeCorrupt closes a connection on which a malformed or truncated message arrived, as what follows can't be parsed
// either, and opens another one. Set-ups pending on it may have been established, so their outcome is Cut. The
// connection is half-closed until the server closes too, because releases of established calls may be on their way.
func (c *serverConn) closeCorrupt(err error) {
	c.peer.trunk.counters.Malformed++
	c.beginClose(err)
	c.peer.connect()
}

// beginClose half-closes a connection on which no answers can arrive any more, and cuts the attempts pending on it.
func (c *serverConn) beginClose(err error) {
	peer, trunk, now := c.peer, c.peer.trunk, c.peer.trunk.cfg.Clock()
	if peer.malformedLoggedAt == 0 || now-peer.malformedLoggedAt >= malformedLogInterval {
		peer.malformedLoggedAt = now
		trunk.cfg.Log.Warn().Str("event", "server_spoilt").Str("server", peer.server.ID).
			Msgf("server %s: %v, connection closed", peer.server.ID, err)
	}
	c.unusable, c.deadline = true, now+peerCloseTimeout
	c.conn.CloseWrite()
	if peer.conn == c {
		peer.retire()
	}
	trunk.counters.Cut += uint64(c.cutPending())
}

// salvageReleases handles a release among the bytes of an unusable connection, and returns how many bytes to discard.
// It keeps the last bytes if a release may begin there.
func (c *serverConn) salvageReleases(b []byte) int {
	const prefix = "BYE sip:"
	start := bytes.Index(b, []byte(prefix))
	if start < 0 {
		return max(0, len(b)-len(prefix)+1)
	}
	n, err := parse(b[start:], &c.msg)
	switch {
	case err != nil:
		return start + len(prefix)
	case n > 0 && isCallID(c.msg.callID):
		c.peer.trunk.counters.Salvaged++
		c.acknowledgeRelease(&c.msg)
		c.handleRelease(&c.msg)
	}
	return start + n
}

// cutPending ends the pending attempts of the connection as cut and returns their number. The server has given them
// up, or does so when the connection closes.
func (c *serverConn) cutPending() (count int) {
	trunk := c.peer.trunk
	for _, leg := range trunk.legs {
		if leg.conn == c && !leg.established {
			trunk.endLeg(leg, threadglade.Cut, threadglade.CauseNone)
			count++
		}
	}
	for id, attempt := range trunk.cancelled {
		if attempt.conn == c {
			delete(trunk.cancelled, id)
		}
	}
	return count
}

// acknowledgeRelease answers a release, on the current connection if nothing can be written on this one any more.
func (c *serverConn) acknowledgeRelease(m *message) {
	if !c.conn.Open() && c.peer.conn != nil {
		c = c.peer.conn
	}
	c.write(appendReply(c.peer.trunk.buf[:0], 200, m))
}

// write writes a message that was appended to the trunk's buffer.
func (c *serverConn) write(b messageBuffer) {
	c.peer.trunk.buf = b
	c.conn.Write(b)
}

// handleMessage handles a well-formed message. An error means that the connection can't be used any more.
func (c *serverConn) handleMessage(m *message) error {
	trunk := c.peer.trunk
	switch string(m.method) {
	case "":
		if string(m.cseqMethod) == "INVITE" && m.status >= 200 {
			return c.handleInviteResponse(m)
		}
		if string(m.cseqMethod) == "BYE" {
			c.unacked.acknowledge(m.callID)
		}
	case "NOTIFY":
		c.handleStateReport(m)
	case "BYE":
		c.acknowledgeRelease(m)
		c.handleRelease(m)
	case "OPTIONS":
		c.write(appendReply(trunk.buf[:0], 200, m))
	case "ACK":
	default:
		c.write(appendReply(trunk.buf[:0], 501, m))
	}
	return nil
}

// handleInviteResponse handles the final answer to a set-up that was sent on a connection to this server. A positive
// answer that crossed the CANCEL means that the call is established at the server, so it is acknowledged and
// released. Neither Call-ID nor CSeq tells attempts of one call apart, as case servers answer with CSeq 1 whatever
// was sent.
func (c *serverConn) handleInviteResponse(m *message) error {
	trunk := c.peer.trunk
	id := string(m.callID)
	leg := trunk.legs[id]
	isCurrent := leg != nil && leg.peer == c.peer && leg.conn != nil
	_, crossed := trunk.cancelled[id]
	if crossed = crossed && trunk.cancelled[id].conn == c; crossed && !isCurrent {
		delete(trunk.cancelled, id)
	}
	if !isCurrent && !crossed { // a duplicate, or an answer to nothing that was sent
		trunk.counters.Unknown++
		return nil
	}
	if isCurrent && !leg.established && m.status < 300 && !isValidDescription(m.body) {
		return errCorrupt
	}
	c.write(appendRequest(trunk.buf[:0], "ACK", id, id, m.cseq, "ACK").addBody(nil))
	switch {
	case m.status == 487: // to a cancelled attempt
	case m.status >= 300:
		if isCurrent && !leg.established {
			c.reportLoad(m)
			outcome, cause := refusalOutcome(m.status, m.headerValue("fail-word"))
			trunk.endLeg(leg, outcome, cause)
		}
	case isCurrent && !leg.established:
		leg.established = true
		trunk.router.Answered(id, leg.Index, m.body)
	case isCurrent:
	default:
		trunk.counters.Crossed++
		c.write(appendBye(trunk.buf[:0], id, m.cseq+1, threadglade.Cancelled))
	}
	return nil
}

// failWordCauses maps the values of the Fail-Word header to causes.
var failWordCauses = map[string]threadglade.Cause{"blocked": threadglade.CauseNoAgent,
	"bounced": threadglade.CauseSentBack, "far_swamped": threadglade.CauseSentBack,
	"swamped": threadglade.CauseProcessorFull, "occupied": threadglade.CauseLinesBusy}

// refusalOutcome maps the status and the Fail-Word header of a refusal to an outcome and its cause.
func refusalOutcome(status int, failWord []byte) (threadglade.Outcome, threadglade.Cause) {
	cause := failWordCauses[string(failWord)]
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

// handleRelease handles the release of an established call, which may arrive on any connection to its server.
func (c *serverConn) handleRelease(m *message) {
	trunk := c.peer.trunk
	c.reportLoad(m)
	outcome := threadglade.Cut
	if isNormalClearing(m.headerValue("reason")) {
		outcome = threadglade.Concluded
	}
	id := string(m.callID)
	if leg := trunk.legs[id]; leg != nil && leg.peer == c.peer && leg.established {
		trunk.endLeg(leg, outcome, threadglade.CauseNone)
		return
	}
	trunk.router.UnmatchedRelease(id, outcome)
}

// isNormalClearing reports whether a Reason header has the Q.850 cause 16, normal call clearing.
func isNormalClearing(reason []byte) bool {
	for i := 0; i+8 <= len(reason); i++ {
		if string(reason[i:i+8]) == "cause=16" {
			return i+8 == len(reason) || reason[i+8] < '0' || reason[i+8] > '9'
		}
	}
	return false
}

// reportLoad passes a message's load report on to the router, if TrunkConfig.ReportLoads is set.
func (c *serverConn) reportLoad(m *message) {
	if !c.peer.trunk.cfg.ReportLoads {
		return
	}
	report := m.headerValue("link-state")
	latencyMs, hasLatency := parseField(report, "latency_ms")
	rate, hasRate := parseField(report, "qps")
	if !hasRate {
		rate, hasRate = parseField(report, "max_rate")
	}
	if (hasLatency || hasRate) && latencyMs >= 0 && latencyMs < 1e6 && rate < 1e9 { // false for NaN
		c.peer.trunk.router.ReportLoad(c.peer.server.ID, time.Duration(latencyMs*float64(time.Millisecond)), rate)
	}
}

// handleStateReport passes a report of free and total agents on to the router.
func (c *serverConn) handleStateReport(m *message) {
	trunk := c.peer.trunk
	c.reportLoad(m)
	report := m.headerValue("link-state")
	free, hasFree := parseField(report, trunk.cfg.FreeField)
	total, hasTotal := parseField(report, trunk.cfg.TotalField)
	if !hasFree || !hasTotal {
		free, hasFree = parseField(report, "x0")
		total, hasTotal = parseField(report, "x1")
	}
	if hasFree && hasTotal {
		c.silence.ReportReceived(trunk.cfg.Clock(), &c.peer.reportIntervals)
	}
	if hasFree && hasTotal && free >= 0 && total >= free && total <= maxAgents { // false for NaN
		trunk.counters.States++
		trunk.router.ReportAgents(threadglade.Agents{Server: c.peer.server.ID, Free: int(free), Total: int(total)})
	}
}

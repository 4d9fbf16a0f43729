package sip

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/router"
)

const (
	// checkInterval is the interval at which servers are checked.
	checkInterval = 100 * time.Millisecond
	// blockedSetupTimeout is how long a set-up may stay partly written after it was cancelled. No call may begin
	// at a server later than 0.1 s after its caller has gone.
	blockedSetupTimeout = 90 * time.Millisecond
)

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
	cfg      TrunkConfig
	router   *router.Router
	peers    map[string]*serverPeer
	legs     map[string]*outboundLeg // the one pending or established attempt of each call, by call ID
	unsent   []*outboundLeg          // attempts for the next Flush; input handled before may withdraw them
	closing  bool                    // the process shuts down: connections are only opened for what must be sent
	buf      messageBuffer
	counters TrunkCounters
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
	Unresolved  uint64 // cancelled attempts released because their answer may be lost or late
	Crossed     uint64 // positive answers that crossed a CANCEL
	Unknown     uint64 // answers without a matching attempt
	Silent      uint64 // connections opened to probe a silent server
	Mute        uint64 // unresponsive connections replaced by a newer one
	Blocked     uint64 // set-ups that waited because their server did not read
	Stuck       uint64 // connections closed because a cancelled set-up was partly written
	Retold      uint64 // releases sent again because their connection failed before they were acknowledged
	Expired     uint64 // releases that were neither acknowledged nor found lost while they were tracked
	Moot        uint64 // releases not sent because their server has restarted since
	Dropped     uint64 // releases that were not kept because maxPendingReleases waited for their server
	Peers       int    // servers
	Legs        int    // attempts pending or established
	Given       int    // cancelled attempts remembered
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
	}
}

// Start sets the router and begins the periodic checks of servers.
func (t *Trunk) Start(r *router.Router) {
	t.router = r
	t.checkServers()
}

// Counters returns a copy of the counters.
func (t *Trunk) Counters() TrunkCounters {
	t.counters.Peers, t.counters.Legs, t.counters.Given = len(t.peers), len(t.legs), 0
	for _, peer := range t.peers {
		for _, conn := range peer.openConns() {
			t.counters.Given += len(conn.cancelled)
		}
	}
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
		if old.Started != server.Started {
			peer.forgetIncarnation(server.Started)
		}
		switch {
		case old.Addr != server.Addr:
			t.cfg.Log.Info().Str("event", "server_moved").Str("server", server.ID).Stringer("address", server.Addr).
				Msgf("server %s has moved to %s", server.ID, server.Addr)
			peer.cutUnreachable()
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
			peer.releaseConnected()
			cut := peer.cutLegs(func(*outboundLeg) bool { return true })
			t.cfg.Log.Info().Str("event", "server_gone").Str("server", id).Int("cut", cut).
				Msgf("server %s was removed, %d attempts cut", id, cut)
			peer.finishConns()
			delete(t.peers, id)
		}
	}
}

// Reconnect opens a new connection to every server. On it the server sends the releases again that a process which has
// gone did not acknowledge.
func (t *Trunk) Reconnect() {
	for _, peer := range t.peers {
		peer.mustReconnect = true
		peer.connect()
	}
}

// HalfCloseAll half-closes all connections, for a process that shuts down while another process of this router serves.
// Messages of a server are still read until it closes its side too; it sends later ones to the other process. From then
// on a connection is only opened for a set-up or a release that has to be sent.
func (t *Trunk) HalfCloseAll() {
	t.closing = true
	for _, peer := range t.peers {
		peer.retire()
		for _, conn := range peer.replaced {
			conn.halfClose()
		}
	}
}

// HalfClosing reports whether, after HalfCloseAll, a half-closed connection still waits for the server's close, within
// peerCloseTimeout.
func (t *Trunk) HalfClosing() bool {
	if !t.closing {
		return false
	}
	for _, peer := range t.peers {
		if slices.ContainsFunc(peer.replaced, func(conn *serverConn) bool {
			return conn.closeDeadline > t.cfg.Clock()
		}) {
			return true
		}
	}
	return false
}

// PendingReleases returns the number of releases that wait for a connection to their server.
func (t *Trunk) PendingReleases() (count int) {
	for _, peer := range t.peers {
		count += len(peer.pendingReleases)
	}
	return count
}

// checkServers checks every server. It schedules itself again.
func (t *Trunk) checkServers() {
	now := t.cfg.Clock()
	for _, peer := range t.peers {
		peer.check(now)
	}
	t.router.Schedule(now+checkInterval, t.checkServers)
}

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
		leg.conn.cancelled.add(leg.ID, t.cfg.Clock())
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
	release := releaseRecord{leg.ID, threadglade.Cancelled, t.cfg.Clock()}
	if conn == nil {
		leg.peer.queueRelease(release)
		return
	}
	conn.sendRelease(release)
}

// ReleaseAtAllServers releases a call of an earlier incarnation of this router, whose server is not known. Servers
// that don't know the call ignore the release.
func (t *Trunk) ReleaseAtAllServers(id string) {
	for _, peer := range t.peers {
		peer.release(id)
	}
}

// RelinquishAll drops all pending attempts and established calls, and reopens every connection without reading what
// has arrived: servers report on those calls to other routers.
func (t *Trunk) RelinquishAll() {
	for _, leg := range t.legs {
		t.removeLeg(leg)
	}
	for _, peer := range t.peers {
		peer.pendingReleases = nil
		for _, conn := range peer.openConns() {
			conn.cancelled = nil
		}
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

// RelinquishCall drops an established call, whose releases are passed on like those of any unknown call.
func (t *Trunk) RelinquishCall(id string) {
	if leg := t.legs[id]; leg != nil && leg.established {
		t.removeLeg(leg)
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

// ReleaseIfKnown handles a server's release of a call that another process of the router has received. It calls decided
// with whether the call is or was known here.
func (t *Trunk) ReleaseIfKnown(server, id string, outcome threadglade.Outcome, decided func(known bool)) {
	if leg := t.legs[id]; leg != nil && leg.established && leg.peer.server.ID == server {
		t.endLeg(leg, outcome, threadglade.CauseNone)
		decided(true)
		return
	}
	t.router.ReleaseIfKnown(id, outcome, decided)
}

// ReleaseAt sends a release that another process of the router owes to a server. One that is not listed is ignored.
func (t *Trunk) ReleaseAt(server, id string) {
	if peer := t.peers[server]; peer != nil {
		peer.release(id)
	}
}

// OwedRelease is a release that a server has not acknowledged.
type OwedRelease struct{ Server, ID string }

// TakeOwedReleases returns the releases that wait for a connection or an acknowledgement, which another process sends
// from now on.
func (t *Trunk) TakeOwedReleases() (list []OwedRelease) {
	for id, peer := range t.peers {
		for _, release := range peer.takeOwedReleases() {
			list = append(list, OwedRelease{id, release.id})
		}
	}
	return list
}

// CancelAndRelease cancels a set-up of another router at its server, and releases the call in case it is established.
// It does nothing if there is no connection to the server.
func (t *Trunk) CancelAndRelease(server, id, number string) {
	if peer := t.peers[server]; peer != nil && peer.conn != nil {
		t.counters.Withdrawn++
		t.buf = appendRequest(t.buf[:0], "CANCEL", number, id, 1, "CANCEL").addBody(nil)
		peer.conn.conn.Write(t.buf)
		peer.release(id)
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

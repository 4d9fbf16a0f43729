package sip

import (
	"fmt"
	"hash/maphash"
	"math"
	"net/netip"
	"time"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/lifecycle"
	"threadglade.example/threadglade/router"
)

const (
	// callerClockMargin is subtracted from the time that a caller waits for an answer, because the caller counts from
	// sending the set-up and the front from reading it.
	callerClockMargin = 30 * time.Millisecond
	// sweepInterval is the interval at which deadlines of connections, set-ups and releases are checked.
	sweepInterval = 100 * time.Millisecond
	// maxUnusableMessages is how many unusable messages a connection may send before it is closed.
	maxUnusableMessages = 8
	// maxSetupRate is the sustained rate of set-ups per second on one connection, and maxSetupBurst the number at
	// once. The rate is several times what a whole router carries on its busiest day; a flood above it must not crowd
	// out the other connections.
	maxSetupRate  = 400
	maxSetupBurst = 64
	// maxDescriptionSize is the limit in bytes of a call's description, which leaves room for the headers of the
	// INVITE to the case server.
	maxDescriptionSize = maxMessageSize - 512
	// maxUnsentBytes is the limit of the bytes queued for a caller that doesn't read.
	maxUnsentBytes = 64 << 10
	// reservedDescriptors are kept for the name service, operators and the process itself.
	reservedDescriptors = 48
	// descriptorsPerServer are kept for each case server: the connection in use, one being opened, and replaced ones
	// that are closing.
	descriptorsPerServer = 4
	// callerShareDivisor guarantees callers at least 1/callerShareDivisor of all descriptors.
	callerShareDivisor = 3
)

// FrontConfig configures a Front. Router and Clock are required.
type FrontConfig struct {
	Router         *router.Router
	Clock          router.Clock
	MaxDescriptors int // limit of the process's file descriptors
	Settings       threadglade.Settings
	Process        *lifecycle.Process // decides which connections are closed in a drain or shutdown; nil: none
}

// Front accepts callers' SIP connections, passes their set-ups and releases to the router and sends its answers. It
// implements the callers' side of a hot restart. It runs on the event loop's goroutine; no method may be called from
// another one.
type Front struct {
	router           *router.Router
	clock            router.Clock
	classes          map[string]*threadglade.Class
	floodRetryAfter  time.Duration // retry advice to callers above maxSetupRate; 0: none
	process          *lifecycle.Process
	maxDescriptors   int
	reservedConns    int // connections reserved for another front
	serverCount      int // case servers whose connections need descriptors
	conns            map[*callerConn]bool
	pendingReleases  []releaseRecord
	successor        ProcessLink            // to the process that takes over; nil: none does
	handedOver       uint32                 // number of connections handed over, which also numbers them
	handedOverSetups map[uint32]*callerConn // handed over, with set-ups pending here, by number
	oldProcessSetups map[uint32]*callerConn // adopted, with set-ups pending in the old process, by its number
	lastAdopted      *callerConn            // the connection that was taken over last; nil: none was
	buf              messageBuffer
	hashSeed         maphash.Seed
	counters         FrontCounters
}

// FrontCounters counts the traffic with callers since the start. Open and Owed are current values.
type FrontCounters struct {
	Accepted   uint64 // connections, including adopted ones
	Turned     uint64 // connections rejected because all descriptors for callers were in use
	Evicted    uint64 // connections closed to free a descriptor
	Late       uint64 // connections closed because of a timeout or because the caller did not read
	Messages   uint64 // well-formed messages
	Malformed  uint64 // messages rejected as unusable
	Flooded    uint64 // set-ups refused above maxSetupRate
	Answers    uint64 // final answers to set-ups
	Releases   uint64 // releases sent to callers
	Moved      uint64 // releases sent on another connection than the one of the set-up
	Let        uint64 // connections closed by a drain or shutdown
	Drained    uint64 // set-ups refused late in a drain
	Overstayed uint64 // set-ups ended so that their connection could close in time
	Passed     uint64 // connections handed over to the successor
	Adopted    uint64 // connections taken over from the old process
	Forsaken   uint64 // set-ups ignored because their caller had closed the connection
	Retold     uint64 // releases sent again because their connection closed before they were acknowledged
	Expired    uint64 // releases that were neither acknowledged nor found lost while they were tracked
	Open       int    // connections
	Owed       int    // releases that wait for a connection
}

// NewFront returns a front for the callers that Accept is called for. Deadlines are only checked after Start.
func NewFront(c FrontConfig) *Front {
	f := &Front{
		router: c.Router, clock: c.Clock, maxDescriptors: c.MaxDescriptors, conns: map[*callerConn]bool{},
		handedOverSetups: map[uint32]*callerConn{}, oldProcessSetups: map[uint32]*callerConn{},
		hashSeed: maphash.MakeSeed(), process: c.Process,
	}
	if f.process == nil {
		f.process = &lifecycle.Process{}
	}
	f.UpdateSettings(c.Settings)
	return f
}

// UpdateSettings applies settings to set-ups that arrive from now on.
func (f *Front) UpdateSettings(settings threadglade.Settings) {
	classes := make(map[string]*threadglade.Class, len(settings.Classes))
	for _, class := range settings.Classes {
		classes[class.Name] = &class
	}
	f.classes, f.floodRetryAfter = classes, 0
	if settings.Limits.RetryAfter {
		f.floodRetryAfter = min(time.Second, settings.Limits.MaxRetryAfter)
	}
}

// Start begins the periodic checks of deadlines.
func (f *Front) Start() { f.sweep() }

// maxConns returns the limit of callers' connections: the descriptors that the case servers and the process don't
// need, so that callers can't exhaust them, but at least a third of all, less those reserved for another front.
func (f *Front) maxConns() int {
	return max(1, max(f.maxDescriptors/callerShareDivisor,
		f.maxDescriptors-reservedDescriptors-descriptorsPerServer*f.serverCount)-f.reservedConns)
}

// ReserveForServers reserves descriptors for the connections to that number of case servers. It closes connections
// without a pending set-up if callers hold too many.
func (f *Front) ReserveForServers(servers int) {
	f.serverCount = servers
	for len(f.conns) > f.maxConns() {
		if !f.evict() {
			break
		}
	}
}

// ReserveForFront reserves some of the callers' connections for another front. It fails if that would leave none to
// this one.
func (f *Front) ReserveForFront(connections int) error {
	f.reservedConns = 0
	if limit := f.maxConns(); connections >= limit {
		return fmt.Errorf("%d connections must be fewer than the %d that callers may hold", connections, limit)
	}
	f.reservedConns = connections
	return nil
}

// SetMaxDescriptors changes the limit of the process's file descriptors. It closes connections above the new limit
// that have no pending set-up.
func (f *Front) SetMaxDescriptors(sockets int) {
	f.maxDescriptors = sockets
	f.ReserveForServers(f.serverCount)
}

// Counters returns a copy of the counters.
func (f *Front) Counters() FrontCounters {
	f.counters.Open, f.counters.Owed = len(f.conns), len(f.pendingReleases)
	return f.counters
}

// HasUnsent reports whether bytes to a caller are queued.
func (f *Front) HasUnsent() bool {
	for conn := range f.conns {
		if conn.conn.Unsent() > 0 {
			return true
		}
	}
	return false
}

// HasUnread reports whether messages were read from a connection and are not handled yet.
func (f *Front) HasUnread() bool {
	for conn := range f.conns {
		if conn.conn.Pending() {
			return true
		}
	}
	return false
}

// Accept returns the handler of a new connection, or nil to reject it. At the limit of connections it closes one
// without a pending set-up in the order of lifecycle.CallerConn.ClosesBefore, and rejects the new one if there is
// none.
func (f *Front) Accept(c *loop.Conn) loop.Handler {
	now := f.clock()
	if len(f.conns) >= f.maxConns() && !f.evict() {
		f.counters.Turned++
		return nil
	}
	return f.newCallerConn(c, now)
}

// evict closes the first connection in eviction order. It returns false if all have pending set-ups.
func (f *Front) evict() bool {
	var idle *callerConn
	for conn := range f.conns {
		if len(conn.setups)+len(conn.oldProcessSetups) == 0 &&
			(idle == nil || conn.lifetime.ClosesBefore(&idle.lifetime)) {
			idle = conn
		}
	}
	if idle == nil {
		return false
	}
	f.counters.Evicted++
	idle.conn.Close(loop.ErrClosedLocally)
	return true
}

// newCallerConn registers a new or adopted connection.
func (f *Front) newCallerConn(loopConn *loop.Conn, now time.Duration) *callerConn {
	f.counters.Accepted++
	// Multiples of the golden ratio are evenly spread over 0 to 1, however many there are.
	_, spreadPosition := math.Modf(float64(f.counters.Accepted) * math.Phi)
	conn := &callerConn{
		front: f, conn: loopConn, spreadPosition: spreadPosition,
		setupRate: loop.Bucket{Rate: maxSetupRate, Burst: maxSetupBurst},
	}
	conn.lifetime.Connected(now)
	f.conns[conn] = true
	return conn
}

// sweep closes connections whose deadline has passed or that are due to close in a drain, sends pending releases, and
// drops those that have expired. It schedules itself again.
func (f *Front) sweep() {
	now := f.clock()
	for conn := range f.conns {
		f.counters.Expired += uint64(conn.unacked.expire(now))
		for id, leg := range conn.setups {
			if f.process.ShouldEndSetup(now, leg.arrivedAt) {
				f.counters.Overstayed++
				f.router.Abandon(leg, id)
			}
		}
		if conn.lifetime.TimedOut(now) || conn.conn.Unsent() > maxUnsentBytes {
			f.counters.Late++
			conn.conn.Close(loop.ErrSlowPeer)
		} else if !conn.lifetime.Closing() && f.process.ShouldClose(now, conn.connState()) {
			f.counters.Let++
			conn.finish()
		} else if len(f.pendingReleases) > 0 && conn.canReceiveReleases() {
			conn.sendPendingReleases()
		}
	}
	for len(f.pendingReleases) > 0 && f.pendingReleases[0].expired(now) {
		f.pendingReleases = f.pendingReleases[1:]
	}
	if len(f.pendingReleases) == 0 {
		f.pendingReleases = nil
	}
	f.router.Schedule(now+sweepInterval, f.sweep)
}

// CloseIdle closes the connections that are due to close in a drain or shutdown, without waiting for the next sweep.
func (f *Front) CloseIdle() {
	now := f.clock()
	for conn := range f.conns {
		if !conn.lifetime.Closing() && f.process.ShouldClose(now, conn.connState()) {
			f.counters.Let++
			conn.finish()
		}
	}
}

// PendingRelease is a release that waits for a caller's connection.
type PendingRelease struct {
	ID      string
	Outcome threadglade.Outcome
}

// PendingReleases returns the releases that wait for a caller's connection, oldest first.
func (f *Front) PendingReleases() (list []PendingRelease) {
	for _, release := range f.pendingReleases {
		list = append(list, PendingRelease{release.id, release.outcome})
	}
	return list
}

// ReleaseToCaller sends the release of a call that this process doesn't know, such as one of an earlier incarnation.
func (f *Front) ReleaseToCaller(id string, outcome threadglade.Outcome) {
	f.ReleaseToCallerAt(netip.Addr{}, id, outcome)
}

// ReleaseToCallerAt is ReleaseToCaller for a call of a caller at an address, which is preferred to others.
func (f *Front) ReleaseToCallerAt(from netip.Addr, id string, outcome threadglade.Outcome) {
	f.releaseFrom(from, id, outcome)
}

// release sends a release to a caller. A call isn't bound to a connection: if the one that its set-up arrived on
// can't be used, the release goes out on another one from the same address, else on any, else through the successor,
// else on the next that opens. conn is nil if the connection is not known.
func (f *Front) release(conn *callerConn, id string, outcome threadglade.Outcome) {
	if conn != nil && conn.canReceiveReleases() && conn.sendRelease(id, outcome) {
		return
	}
	var from netip.Addr
	if conn != nil {
		from = conn.conn.Remote().Addr()
	}
	f.releaseFrom(from, id, outcome)
}

// releaseFrom sends a release of a call from an address on any connection, preferably one from there.
func (f *Front) releaseFrom(from netip.Addr, id string, outcome threadglade.Outcome) {
	now := f.clock()
	var chosen *callerConn
	for conn := range f.conns {
		if conn.canReceiveReleases() && (chosen == nil || conn.conn.Remote().Addr() == from) {
			chosen = conn
		}
	}
	f.counters.Moved++
	if chosen != nil && chosen.sendRelease(id, outcome) {
		return
	}
	if f.successor != nil {
		addr := from.AsSlice()
		if f.successor.Send(frameRelease,
			append(append([]byte{byte(outcome), byte(len(addr))}, addr...), id...), -1, false) {
			return
		}
	}
	f.counters.Moved--
	f.pendingReleases = append(f.pendingReleases, releaseRecord{id, outcome, now})
}

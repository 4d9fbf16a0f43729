package callcontrol

import (
	"time"

	"github.com/rs/zerolog"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/identity"
	"threadglade.example/threadglade/lifecycle"
	"threadglade.example/threadglade/router"
)

const (
	// answerMargin is subtracted from a request's answerWithinMs, as on the SIP side, because the client counts from
	// when it sent the request, and the answer has to reach it in time.
	answerMargin = 30 * time.Millisecond
	// pingIdleTimeout is how long the client may be silent before it is sent a ping.
	pingIdleTimeout = 15 * time.Second
	// idleTimeout is how long the client may be silent before its connection is closed.
	idleTimeout = 40 * time.Second
	// closeTimeout is how long the client has to answer a close frame.
	closeTimeout = 2 * time.Second
	// messageTimeout is how long a new connection has to complete its handshake, and each later message to arrive
	// in full, counted from its first byte.
	messageTimeout = 2 * time.Second
	// sweepInterval is how often the sockets' deadlines are checked.
	sweepInterval = 100 * time.Millisecond
	// maxPlaceRate is how many calls one socket may place per second, maxPlaceBurst how many at once, as on the
	// SIP side.
	maxPlaceRate  = 400
	maxPlaceBurst = 64
	// maxUnsentBytes bounds the output buffered for a client that does not read.
	maxUnsentBytes = 64 << 10
	// faultLogInterval is the shortest time between two log lines about clients' faults.
	faultLogInterval = time.Second
	// maxCallsPerIdentity bounds the calls of one identity that are held at once.
	maxCallsPerIdentity = 1000
	// releaseRetryAfter is when a client may repeat a release that was not accepted.
	releaseRetryAfter = time.Second
	// maxDescriptionBytes bounds the description of a call.
	maxDescriptionBytes = 8 << 10
)

// Error codes of the API. Those from -32700 to -32600 are defined by JSON-RPC.
const (
	codeParseError        = -32700
	codeInvalidRequest    = -32600
	codeMethodNotFound    = -32601
	codeInvalidParams     = -32602
	codeRefused           = -32001 // data.retryAfterMs says when to retry
	codeFailed            = -32002 // a server may have processed the call
	codeDeadlineExceeded  = -32003 // answerWithinMs has elapsed
	codeUnknownCall       = -32004 // the identity has no such call
	codeAttachedElsewhere = -32005 // another socket has attached to the call
	codeCancelled         = -32006 // withdrawn by call.cancel
	codeTooManyCalls      = -32007 // the identity or the socket has too many calls
)

// VerifyFunc verifies a token and returns the caller it identifies, as identity.Verifier.Verify does.
type VerifyFunc func(token string) (identity.Caller, error)

// Front serves the call control API. All its methods, and those of its sockets, run on the event loop.
type Front struct {
	cfg           Config
	classes       map[string]threadglade.Class
	longest       time.Duration // longest deadline of the classes
	process       *lifecycle.Process
	newProcess    NewProcess                   // takes calls over; nil: none does
	oldProcess    OldProcess                   // passes calls on; nil: there is none
	deferred      map[string][]deferredRequest // requests that wait for the old process, by call ID
	deferredCount int
	resolving     string // ID of the call whose deferred requests are being handled
	router        *router.Router
	clock         router.Clock
	verify        VerifyFunc
	log           zerolog.Logger
	sockets       map[*socket]bool
	calls         map[string]*call // by call ID
	callCounts    map[string]int   // number of calls by identity
	closing       bool
	writeBuffer   []byte        // encodes the frame being sent; reused
	lastFaultLog  time.Duration // when a client's fault was last logged; 0: never
	counters      Counters
}

// Counters counts the front's connections, messages and calls since its start.
type Counters struct {
	Accepted     uint64 // connections accepted
	Turned       uint64 // connections refused because there were too many or the front was closing
	Late         uint64 // connections closed by a time limit, to make room, or for not reading
	Unauthorised uint64 // handshakes refused because of the token
	Messages     uint64 // JSON-RPC messages received
	Faults       uint64 // violations of the WebSocket protocol, other than in close frames
	Flooded      uint64 // call.place requests refused by the rate limit of a socket
	Departing    uint64 // call.place requests refused because the process ends
	Moved        uint64 // connections closed so that their clients connect to the new process
	Adopted      uint64 // established calls taken over from an old process
	Placed       uint64 // calls placed
	Answers      uint64 // final answers of calls
	Ended        uint64 // call.ended notifications
	Attached     uint64 // call.attach requests for existing calls
	Unclaimed    uint64 // calls removed because no socket attached in time
	Sockets      int    // open now
	Calls        int    // held now
}

// New returns a front for calls of the given classes. It schedules its periodic checks with the router. process decides
// which calls are taken while the process ends.
func New(cfg Config, classes []threadglade.Class, process *lifecycle.Process, r *router.Router, clock router.Clock,
	verify VerifyFunc, log zerolog.Logger) *Front {
	f := &Front{cfg: cfg, process: process, router: r, clock: clock, verify: verify, log: log,
		sockets: map[*socket]bool{}, calls: map[string]*call{}, callCounts: map[string]int{},
		deferred: map[string][]deferredRequest{}}
	f.SetClasses(classes)
	f.sweep()
	return f
}

// SetClasses replaces the classes against which further calls are checked.
func (f *Front) SetClasses(classes []threadglade.Class) {
	f.classes = make(map[string]threadglade.Class, len(classes))
	f.longest = 0
	for _, c := range classes {
		f.classes[c.Name] = c
		f.longest = max(f.longest, c.Deadline)
	}
}

// Counters returns a copy of the counters.
func (f *Front) Counters() Counters {
	f.counters.Sockets, f.counters.Calls = len(f.sockets), len(f.calls)
	return f.counters
}

// Reconfigure replaces the configuration. Origins and MaxSockets apply to connections that are opened from now on,
// GraceMs to grace periods that start from now on. A change of the listen address takes effect only after a restart.
// Sockets and calls are kept.
func (f *Front) Reconfigure(c Config) {
	if c.Addr != f.cfg.Addr {
		f.log.Warn().Str("event", "callcontrol_listen").
			Msg("call control: the changed listen address takes effect after a restart")
		c.Addr = f.cfg.Addr
	}
	f.cfg = c
}

// Close starts the closing handshake on every socket and refuses further connections.
func (f *Front) Close() {
	f.closing = true
	for s := range f.sockets {
		f.passOnCalls(s)
		s.close(closeGoingAway, "the router ends")
	}
}

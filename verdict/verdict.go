// Package verdict detects failed, unreachable, slow and full case servers from the evidence of all routers of a fleet.
// Each router reports what it observed of a server; the records of all routers are merged, expire with age and yield
// one verdict per server, which can only make a router avoid a server, never use one that its own evidence rules out.
//
// Watch records what this router observes and decides which servers it avoids. Table holds the records received from
// other routers and derives the verdicts. The inputs are events with absolute times; the outputs are the frames for
// neighbours and the servers to avoid. The package sends no probes of its own, does no I/O, starts no goroutines and
// reads no clock. docs/design/verdict.md states the bounds and why they hold.
package verdict

import (
	"errors"
	"time"

	"threadglade.example/threadglade"
)

// Limits on input from outside this process.
const (
	maxNameLength   = 128
	maxMembers      = 4096
	maxServers      = 4096    // watched by one router
	maxSuspected    = 512     // servers with shared evidence; on others, each router has only its own
	maxRecords      = 1 << 16 // held by one router
	maxFrameRecords = 512     // in one frame
)

// Settings are the parameters of failure detection; they have to be the same at all routers of a fleet.
type Settings struct {
	// Quorum is how many routers have to miss answers of a server before the others act on it.
	Quorum int
	// MaxShare is the largest fraction of a class's servers that verdicts can make a router avoid. If they would
	// exclude more, all of them for the class are disregarded.
	MaxShare float64
	// MinResponseTimeout is the shortest time after which an answer counts as missed. If four times the server's mean
	// latency is longer, that is the timeout.
	MinResponseTimeout time.Duration
	// LateThreshold is the latency above which an answer counts as late.
	LateThreshold time.Duration
	// EvidenceTTL is the age at which evidence expires.
	EvidenceTTL time.Duration
	// ReportInterval is the shortest time between two reports of a router on one server, unless its opinion changes.
	ReportInterval time.Duration
	// FlushInterval is the longest time for which received records are held before they are forwarded.
	FlushInterval time.Duration
	// ProbeInterval is the mean interval at which the fleet probes a server that verdicts make the routers avoid: one
	// router sends it a call. Once n routers have had an answer again, 2n routers probe the server per interval.
	ProbeInterval time.Duration
	// MaxClockDrift is the bound on the relative rate error of any clock in the fleet.
	MaxClockDrift float64
	// RecoverySpread is the time over which the routers' returns to a recovered server are spread.
	RecoverySpread time.Duration
}

// DefaultSettings returns the settings that apply where the configuration sets nothing else.
func DefaultSettings() Settings {
	return Settings{
		Quorum:             3,
		MaxShare:           0.5,
		MinResponseTimeout: 250 * time.Millisecond,
		LateThreshold:      500 * time.Millisecond,
		EvidenceTTL:        30 * time.Second,
		ReportInterval:     250 * time.Millisecond,
		FlushInterval:      20 * time.Millisecond,
		ProbeInterval:      500 * time.Millisecond,
		RecoverySpread:     2 * time.Second,
		MaxClockDrift:      0.01,
	}
}

// Validate returns an error that describes the first setting that is out of range, or nil.
func (s Settings) Validate() error {
	switch {
	case s.Quorum < 2 || s.Quorum > 100:
		return errors.New("quorum must be 2 to 100 routers: one router alone must not decide that a server has failed")
	case !(s.MaxShare > 0 && s.MaxShare <= 1):
		return errors.New("the share of servers that verdicts can exclude must be above 0 and at most 1")
	case s.MinResponseTimeout <= 0 || s.LateThreshold <= 0 || s.EvidenceTTL <= s.MinResponseTimeout || s.ReportInterval <= 0 ||
		s.FlushInterval <= 0 || s.ProbeInterval <= 0 || s.RecoverySpread < 0:
		return errors.New("durations must be above 0 (return may be 0), and hold must be longer than silence")
	}
	return nil
}

// MaxStaleness returns the bound on the age of a router's information about the observations of any other router,
// while all links between neighbours are up and have at most the given delay. It is one report interval at the
// observer, plus a flush interval and a link delay for each hop to the farthest router.
func (s Settings) MaxStaleness(routers int, delay time.Duration) time.Duration {
	return s.reportInterval(routers) + time.Duration(Hops(routers))*(s.FlushInterval+delay)
}

// reportInterval returns the shortest time between two reports of a router on one server. It grows with the number of
// routers, so that the total rate of reports stays bounded.
func (s Settings) reportInterval(routers int) time.Duration {
	return max(s.ReportInterval, time.Duration(routers)*3*time.Millisecond)
}

// Key identifies one incarnation of a case server.
type Key struct {
	Server  string
	Started time.Duration // start time from the server list
}

// Record holds what one router has observed of one incarnation of a server. Its times are on the clock of the router
// that holds the record and never later than the event they stand for; 0 means never.
type Record struct {
	Observer    string // name of the router that made the observation
	Zone        string // of the observer
	Incarnation uint64 // of the observer
	Seq         uint64 // sequence number; a record includes everything that the observer's earlier ones held
	Key

	// Counts that decay with time.

	Good    float32 // answers in time
	Late    float32 // answers after Settings.LateThreshold
	Missed  float32 // missed answers
	Refused float32 // failed connections
	Full    float32 // rejections with cause "processor full"

	Slowdown       float32       // smoothed ratio of the latency to the usual latency
	Onset          time.Duration // send time of the first attempt that was missed or refused since the latest answer
	BadAt          time.Duration // when an answer was last overdue or a connection last failed
	LateAt         time.Duration // last late answer
	GoodAt         time.Duration // last answer in time, including rejections
	AnsweredSentAt time.Duration // send time of the latest answered set-up
}

// isNewer reports whether r supersedes another record of the same observer. Records of a later incarnation of the
// observer do, whatever their sequence number.
func (r *Record) isNewer(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Seq > other.Seq
}

// LastSeen returns the time of the latest observation in the record.
func (r *Record) LastSeen() time.Duration { return r.lastSeen() }

func (r *Record) lastSeen() time.Duration { return max(r.BadAt, r.GoodAt, r.LateAt) }

// isBad reports whether the observer has had no answer since it missed one.
func (r *Record) isBad() bool { return r.Onset != 0 && r.BadAt > max(r.GoodAt, r.LateAt) }

// Kind is the state of a server according to a verdict.
type Kind uint8

// Kinds of verdicts.
const (
	Fit         Kind = iota // no fault found
	Slow                    // answers come late
	Full                    // set-ups are rejected with cause "processor full"
	Unreachable             // routers of some zones miss answers, others get them
	Gone                    // no router gets answers
	BadLink                 // too few routers miss answers: the fault is with their links, not with the server
	Held                    // taken out of service by an operator
)

var kindNames = [...]string{"fit", "slow", "full", "unreachable", "gone", "bad-link", "held"}

// String returns the name that logs and reports use.
func (k Kind) String() string { return kindNames[k] }

// Verdict is the conclusion from all evidence that a router holds on one server.
type Verdict struct {
	Key
	Kind       Kind
	Zones      []string      // of Unreachable: the zones that miss answers
	Slowdown   float64       // of Slow: median ratio of the latency to the usual latency
	LateShare  float64       // of Slow: median fraction of late answers
	Bad        int           // routers that miss answers
	Good       int           // routers that have had an answer after Since
	Routers    int           // routers of the fleet or, with Unreachable, of the affected zones
	Sources    []string      // some of the observers whose evidence it is based on
	Confidence float64       // fraction of the routers with evidence that agree
	Age        time.Duration // age of the newest evidence that it is based on
	Since      time.Duration // latest time since which a quorum of routers sent the first of their unanswered attempts
	Until      time.Duration // of Held: when it ends
	Reason     string        // of Held: the reason that the operator gave
}

// maxSources bounds the routers that a verdict names.
const maxSources = 5

// excludes reports whether a router of a zone has to avoid the server altogether.
func (v *Verdict) excludes(zone string) bool {
	switch v.Kind {
	case Gone, Held:
		return true
	case Unreachable:
		for _, z := range v.Zones {
			if z == zone {
				return true
			}
		}
	}
	return false
}

// Hops returns the number of links on the longest path between any two of that many routers; see Neighbours.
func Hops(routers int) (hops int) {
	for reach := 1; reach < routers; reach *= 2 {
		hops++
	}
	return hops
}

// EndFromOutcome classifies the outcome of an attempt by what it reveals about the server.
func EndFromOutcome(outcome threadglade.Outcome, cause threadglade.Cause) End {
	switch outcome {
	case threadglade.TimedOut, threadglade.Cut:
		return Missed
	case threadglade.Unreachable:
		return Refused
	case threadglade.Rejected:
		if cause == threadglade.CauseProcessorFull {
			return TooFull
		}
		return Alive
	case threadglade.Concluded, threadglade.Faulted:
		return Alive
	}
	return Withdrawn
}

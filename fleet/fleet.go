// Package fleet decides which process acts under each router's name in a fleet of call routers. It implements the
// members with their incarnations and leases, and the replicated state machine of the raft log that the keepers agree
// on. A member is a router; an incarnation is the numbered period for which the log assigns a member's name to one
// process; a fact is a versioned key-value pair in the log; an ask is a member's request to the leading keeper.
//
// The package does no I/O, starts no goroutine and reads no clock: events and absolute times go in; data to store,
// frames to send and notifications come out. It knows nothing of limits, verdicts, calls or program versions: these
// are stored in its log as facts, or follow the log as observers.
// docs/design/fleet-floor.md states its guarantees and the argument for them.
package fleet

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"threadglade.example/threadglade/fleet/fleetpb"
)

const (
	// LinkVersion is the newest version of the link protocol that this program speaks.
	LinkVersion = 1
	// MinLinkVersion is the oldest version of the link protocol that this program still accepts.
	MinLinkVersion = 1
)

// Settings are the parameters that all processes of a fleet have to share. All durations are measured on clocks that
// keep running while a process is stopped.
type Settings struct {
	Fleet         string        // name of the fleet
	LeaseDuration time.Duration // L: how long a lease is valid, counted from before the request was sent
	RenewInterval time.Duration // R: interval between renewal requests
	ClockDrift    float64       // r: bound on the relative deviation of any clock's rate from true time
	Keepers       []string      // names, in the order of the settings
	Members       []string      // names of routers; a trailing * matches any suffix
}

// DefaultSettings returns the values that apply where the configuration sets none.
func DefaultSettings() Settings {
	return Settings{LeaseDuration: 3 * time.Second, RenewInterval: time.Second, ClockDrift: 0.01}
}

// RegrantDelay returns K = L (1+r) / (1-r): how long keepers wait after a grant until the lease has expired on any
// clock that keeps the drift bound.
func (s Settings) RegrantDelay() time.Duration {
	return time.Duration(float64(s.LeaseDuration)*(1+s.ClockDrift)/(1-s.ClockDrift)) + time.Nanosecond
}

// LossDetectionTime returns L + 1 s, the bound within which every linked process learns that a router is lost.
func (s Settings) LossDetectionTime() time.Duration { return s.LeaseDuration + time.Second }

// Validate returns an error that names the first invalid setting.
func (s Settings) Validate() error {
	switch {
	case s.Fleet == "" || len(s.Fleet) > maxNameLength:
		return fmt.Errorf("the fleet's name must have 1 to %d bytes", maxNameLength)
	case s.ClockDrift < 0 || s.ClockDrift > 0.1:
		return errors.New("the clock drift must be between 0 and 0.1")
	case s.RenewInterval <= 0 || s.RenewInterval*2 > s.LeaseDuration:
		return errors.New("a lease must be renewed at least twice within its duration")
	case len(s.Keepers) != 1 && len(s.Keepers) != 3 && len(s.Keepers) != 5:
		return fmt.Errorf("a fleet must have 1, 3 or 5 keepers, not %d", len(s.Keepers))
	case len(s.Members) == 0:
		return errors.New("no members are set: a fleet lists its members by name or prefix")
	}
	seen := map[string]bool{}
	for _, name := range s.Keepers {
		if name == "" || len(name) > maxNameLength || seen[name] {
			return fmt.Errorf("keeper %q: names must be unique and have 1 to %d bytes", name, maxNameLength)
		}
		seen[name] = true
	}
	return nil
}

// IsListed reports whether a router of that name belongs to the fleet.
func (s Settings) IsListed(name string) bool {
	for _, member := range s.Members {
		if member == name || strings.HasSuffix(member, "*") && strings.HasPrefix(name, member[:len(member)-1]) {
			return name != "" && len(name) <= maxNameLength
		}
	}
	return false
}

// RefusedError reports why a link was not accepted.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "link refused: " + e.Reason }

// CheckHello validates the hello of the other side of a link and returns a *RefusedError if the link must not be
// accepted. voters are the keepers' raft IDs from the bootstrap; nil on a member, which doesn't know them. A hello
// without a name comes from an operator, who doesn't act as a member.
func (s Settings) CheckHello(hello *fleetpb.Hello, voters map[string]uint64) error {
	refuse := func(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }
	switch {
	case hello == nil:
		return refuse("it does not begin with a hello")
	case hello.Fleet != s.Fleet:
		return refuse("fleet %.64q, this is %q", hello.Fleet, s.Fleet)
	case hello.Version < MinLinkVersion || hello.Least > LinkVersion:
		return refuse("link versions %d to %d, this program speaks %d to %d",
			hello.Least, hello.Version, MinLinkVersion, LinkVersion)
	case hello.Voter != 0 && voters != nil && voters[hello.Name] != hello.Voter:
		return refuse("%.64q is no keeper by that number: its files are not those of the founding", hello.Name)
	case hello.Voter == 0 && hello.Name != "" && !s.IsListed(hello.Name):
		return refuse("%.64q is not listed", hello.Name)
	}
	return nil
}

// Lease is a router's exclusive right to act under its name: before Until, only the process that holds this
// incarnation may do so. The incarnation also serves as fencing token.
type Lease struct {
	Incarnation uint64
	Until       time.Duration
}

// IsHeld reports whether the lease is valid at the time now. It has to be checked at the moment of each action.
func (l Lease) IsHeld(now time.Duration) bool {
	if mutant == "no-look" {
		return l.Incarnation != 0
	}
	return l.Incarnation != 0 && now < l.Until
}

// Kind is the event that a Note reports.
type Kind uint8

// Kinds of notes about this router, the other routers, facts and this keeper.
const (
	LeaseGranted     Kind = iota + 1 // this router has started a new incarnation
	LeaseExpired                     // this router's lease has expired: it is cut off, or its keepers are unavailable
	LeaseRegained                    // this router's incarnation has a valid lease again
	IncarnationEnded                 // this router's incarnation has ended, according to the log
	NameInUse                        // this router's name is still leased to another process
	MemberBegan                      // another router's incarnation has started
	MemberLost                       // another router's lease has expired, according to the log
	MemberLeft                       // another router has ended its incarnation itself
	FactWritten                      // a fact has changed
	LeadershipGained                 // this keeper has become the leader
	LeadershipLost                   // this keeper is no longer the leader
	KeeperHalted                     // this keeper has stopped for good: its disk failed
	SuccessorChanged                 // the calls of a router's ended incarnation go to another successor
)

var kindNames = [...]string{
	"", "granted", "ran-out", "regained", "ended", "waits", "began", "lost", "left", "written", "leads", "follows",
	"halted", "passed",
}

// String returns the kind's name, which is also part of the names of log events.
func (k Kind) String() string { return kindNames[k] }

// Note is a notification to observers of the fleet.
type Note struct {
	Kind        Kind
	Name        string // of a member, keeper or fact
	Incarnation uint64
	Number      uint64 // raft term of a leadership, or version of a fact
	Value       []byte // of a fact
	Text        string // reason; of MemberLost, MemberLeft and SuccessorChanged: the successor
}

// Link identifies a connection between this process and another. The transport assigns it; 0 means no link.
type Link uint64

// Outbound is a frame to send: on a link or, for raft messages, to another keeper by its raft ID.
type Outbound struct {
	Link  Link   // 0 if Voter is set
	Voter uint64 // raft ID of the receiving keeper; 0 if Link is set
	Frame *fleetpb.Frame
}

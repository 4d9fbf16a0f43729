package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/quota/quotapb"
)

// This file encodes claims and grants as payloads of lease requests and answers, and connects the Allocator to the
// replicated log.

// Prefixes of the keys of facts in the log.
const (
	// OperatorKeyPrefix begins the keys of limits set by operators.
	OperatorKeyPrefix = "limit/"
	// ceilingKeyPrefix begins the keys of routers' ceilings, which only the leading keeper writes.
	ceilingKeyPrefix = fleet.LeaderKeyPrefix + "quota/"
)

// LeaseExtension connects the Allocator of a keeper to lease renewals and to the log. It implements
// fleet.LeaseExtension and is not safe for concurrent use.
type LeaseExtension struct {
	Allocator        *Allocator
	machine          func() *fleet.Machine
	limits           func() []Limit // in force according to the log
	pendingPuts      []*fleetpb.Put
	proposedVersions map[string]uint64 // by key: 1 + Expect of the latest put
}

// NewLeaseExtension returns the LeaseExtension of a keeper. limits returns the limits in force; it is called when the
// keeper begins to lead and when the log changes them.
func NewLeaseExtension(t fleet.Settings, machine func() *fleet.Machine, limits func() []Limit) *LeaseExtension {
	return &LeaseExtension{
		Allocator: NewAllocator(nil, t.RegrantDelay(), t.ClockDrift),
		machine:   machine, limits: limits, proposedVersions: map[string]uint64{},
	}
}

// StartTerm implements fleet.LeaseExtension. The allocator starts a term with the ceilings and the live routers of the
// log.
func (le *LeaseExtension) StartTerm(now time.Duration) {
	live, ceilings := map[string]uint64{}, map[string][]Ceiling{}
	for _, m := range le.machine().Members() {
		if m.Live {
			live[m.Name] = m.Incarnation
		}
	}
	for _, f := range le.machine().Facts() {
		if name, ok := strings.CutPrefix(f.Key, ceilingKeyPrefix); ok {
			ceilings[name] = unmarshalCeilings(f.Value)
		}
	}
	le.Allocator.SetLimits(le.limits())
	le.Allocator.StartTerm(now, ceilings, live)
	le.pendingPuts, le.proposedVersions = nil, map[string]uint64{}
}

// EndTerm implements fleet.LeaseExtension. The allocator ends its term.
func (le *LeaseExtension) EndTerm() { le.Allocator.EndTerm() }

// EndIncarnation implements fleet.LeaseExtension. The lease of an incarnation has expired on every clock.
func (le *LeaseExtension) EndIncarnation(now time.Duration, name string, incarnation uint64) {
	le.Allocator.EndIncarnation(now, name, incarnation)
}

// HandleEntry implements fleet.LeaseExtension. It updates the limits when an operator's limit is committed.
func (le *LeaseExtension) HandleEntry(_ time.Duration, e *fleetpb.Entry) {
	if strings.HasPrefix(e.GetPut().GetKey(), OperatorKeyPrefix) {
		le.Allocator.SetLimits(le.limits())
	}
}

// HandleRenewal implements fleet.LeaseExtension. It decodes the claims of a lease request and returns the encoded
// grants for the answer, or nil if the claims are missing or malformed. Changed ceilings are queued for TakePuts.
func (le *LeaseExtension) HandleRenewal(
	now time.Duration, name string, incarnation, process, seq uint64, payload []byte,
) []byte {
	var request quotapb.Claims
	if payload == nil || proto.Unmarshal(payload, &request) != nil {
		return nil
	}
	var claims []Claim
	for _, claim := range request.Claims {
		claims = append(claims, Claim{Limit: claim.Limit, Demand: claim.Demand, Held: claim.Held, Used: claim.Used})
	}
	key := ceilingKeyPrefix + name
	fact := le.machine().Fact(key)
	stored := unmarshalCeilings(fact.GetValue())
	grants, added := le.Allocator.Allocate(now, name, incarnation, process, seq, request.Taken, claims, stored)
	if list := le.Allocator.RequiredCeilings(name, stored, added); (len(added) > 0 || len(list) < len(stored)) &&
		le.proposedVersions[key] != fact.GetVersion()+1 {
		// Only one put is proposed per version of a fact, because only the first one can succeed. StartTerm
		// clears proposedVersions, so a put that is lost because the term ends can be proposed again in a later one.
		le.proposedVersions[key] = fact.GetVersion() + 1
		le.pendingPuts = append(le.pendingPuts, &fleetpb.Put{
			Key: key, Value: marshalCeilings(list), Expect: fact.GetVersion(),
		})
	}
	var response quotapb.Grants
	for _, grant := range grants {
		response.Grants = append(response.Grants, &quotapb.Grant{Limit: grant.Limit, Share: grant.Share})
	}
	encoded, _ := proto.Marshal(&response)
	return encoded
}

// TakePuts implements fleet.LeaseExtension. It returns the queued writes of ceilings and empties the queue.
func (le *LeaseExtension) TakePuts() []*fleetpb.Put {
	puts := le.pendingPuts
	le.pendingPuts = nil
	return puts
}

// Bounds on the size of a report.
const (
	maxReportedLimits = 2000
	maxReportedShares = 8 // per limit; the largest shares are reported
)

// Report implements fleet.LeaseExtension. It returns the encoded status of the limits. If there are more than
// maxReportedLimits, it contains those with the most demand.
func (le *LeaseExtension) Report() []byte {
	var report quotapb.Standings
	list := le.Allocator.Status()
	if len(list) > maxReportedLimits {
		slices.SortStableFunc(list, func(a, b AllocationStatus) int { return cmp.Compare(b.Demand, a.Demand) })
		report.LeftOut = uint32(len(list) - maxReportedLimits)
		list = list[:maxReportedLimits]
		slices.SortFunc(list, func(a, b AllocationStatus) int { return cmp.Compare(a.Name, b.Name) })
	}
	for _, alloc := range list {
		status := &quotapb.Standing{
			Limit: alloc.Name, Kind: alloc.Kind.String(), Most: alloc.Max, CutOff: alloc.CutOff.String(),
			Out: alloc.InForce, Kept: alloc.Reserved, Used: alloc.Used, Demand: alloc.Demand,
			Holders: uint32(len(alloc.Shares)), Class: alloc.Class, Tenant: alloc.Tenant, Number: alloc.Number,
		}
		for _, share := range alloc.Shares[:min(len(alloc.Shares), maxReportedShares)] {
			status.Held = append(status.Held, &quotapb.Holder{
				Router: share.Name, Share: share.Share, Used: share.Used, Wants: share.Demand,
				AgeMs: share.Age.Milliseconds(),
			})
		}
		report.Standings = append(report.Standings, status)
	}
	encoded, _ := proto.Marshal(&report)
	return encoded
}

// unmarshalCeilings decodes the value of a fact; a malformed value holds no ceilings.
func unmarshalCeilings(b []byte) (list []Ceiling) {
	var c quotapb.Ceilings
	if proto.Unmarshal(b, &c) == nil {
		for _, ceiling := range c.Ceilings {
			list = append(list, Ceiling{
				Limit: ceiling.Limit, Incarnation: ceiling.Incarnation, Process: ceiling.Process, Max: ceiling.Most,
			})
		}
	}
	return list
}

// marshalCeilings encodes ceilings as the value of a fact. It omits those that do not fit in fleet.MaxValueLength.
// This is safe because no share above a committed ceiling is granted.
func marshalCeilings(list []Ceiling) []byte {
	var out quotapb.Ceilings
	for _, c := range list {
		out.Ceilings = append(out.Ceilings, &quotapb.Ceiling{
			Limit: c.Limit, Incarnation: c.Incarnation, Process: c.Process, Most: c.Max,
		})
		if proto.Size(&out) > fleet.MaxValueLength {
			out.Ceilings = out.Ceilings[:len(out.Ceilings)-1]
		}
	}
	b, _ := proto.Marshal(&out)
	return b
}

// MarshalClaims returns the encoded claims for a lease request.
func (l *Limiter) MarshalClaims(now time.Duration) []byte {
	claims, appliedSeq := l.Claims(now)
	out := quotapb.Claims{Taken: appliedSeq}
	for _, c := range claims {
		out.Claims = append(out.Claims, &quotapb.Claim{Limit: c.Limit, Demand: c.Demand, Held: c.Held, Used: c.Used})
	}
	b, _ := proto.Marshal(&out)
	return b
}

// UnmarshalGrants decodes the grants of an answer. ok is false if they are malformed.
func UnmarshalGrants(b []byte) (grants []Grant, ok bool) {
	var message quotapb.Grants
	if proto.Unmarshal(b, &message) != nil {
		return nil, false
	}
	for _, g := range message.Grants {
		grants = append(grants, Grant{Limit: g.Limit, Share: g.Share})
	}
	return grants, true
}

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

// This file owns how claims and shares ride on leases, and how the Divider stands on the agreed log.

// WordKey begins the keys of facts that are operators' limits, ceilingKey those of what leading keepers keep of calls.
const (
	WordKey    = "limit/"
	ceilingKey = fleet.OwnPrefix + "quota/"
)

// Rider has a leading keeper's Divider answer as leases are renewed. It implements fleet.Rider.
type Rider struct {
	Divider *Divider
	machine func() *fleet.Machine
	limits  func() []Limit // in force by the log
	puts    []*fleetpb.Put
	waiting map[string]uint64 // by key: the version that a put was proposed upon, and one more
}

// NewRider makes a keeper's; limits are asked for as the log changes them.
func NewRider(t fleet.Terms, machine func() *fleet.Machine, limits func() []Limit) *Rider {
	return &Rider{Divider: NewDivider(nil, t.Wait(), t.Drift), machine: machine, limits: limits, waiting: map[string]uint64{}}
}

// Office implements fleet.Rider.
func (r *Rider) Office(now time.Duration) {
	live, ceilings := map[string]uint64{}, map[string][]Ceiling{}
	for _, m := range r.machine().Members() {
		if m.Live {
			live[m.Name] = m.Incarnation
		}
	}
	for _, f := range r.machine().Facts() {
		if name, ok := strings.CutPrefix(f.Key, ceilingKey); ok {
			ceilings[name] = readCeilings(f.Value)
		}
	}
	r.Divider.Change(r.limits())
	r.Divider.Office(now, ceilings, live)
	r.puts, r.waiting = nil, map[string]uint64{}
}

// Resign implements fleet.Rider.
func (r *Rider) Resign() { r.Divider.Resign() }

// Over implements fleet.Rider.
func (r *Rider) Over(now time.Duration, name string, incarnation uint64) {
	r.Divider.Over(now, name, incarnation)
}

// Applied implements fleet.Rider: operators' words change the limits.
func (r *Rider) Applied(_ time.Duration, e *fleetpb.Entry) {
	if strings.HasPrefix(e.GetPut().GetKey(), WordKey) {
		r.Divider.Change(r.limits())
	}
}

// Renewed implements fleet.Rider.
func (r *Rider) Renewed(now time.Duration, name string, incarnation, process, seq uint64, ride []byte) []byte {
	var said quotapb.Claims
	if ride == nil || proto.Unmarshal(ride, &said) != nil {
		return nil
	}
	var claims []Claim
	for _, c := range said.Claims {
		claims = append(claims, Claim{Limit: c.Limit, Demand: c.Demand, Held: c.Held, Used: c.Used})
	}
	key := ceilingKey + name
	fact := r.machine().Fact(key)
	have := readCeilings(fact.GetValue())
	grants, wanted := r.Divider.Asked(now, name, incarnation, process, seq, said.Taken, claims, have)
	if list := r.Divider.Kept(name, have, wanted); (len(wanted) > 0 || len(list) < len(have)) && r.waiting[key] != fact.GetVersion()+1 {
		r.waiting[key] = fact.GetVersion() + 1 // one at a time; should it be lost with the term, the next term begins anew
		r.puts = append(r.puts, &fleetpb.Put{Key: key, Value: writeCeilings(list), Expect: fact.GetVersion()})
	}
	var out quotapb.Grants
	for _, g := range grants {
		out.Grants = append(out.Grants, &quotapb.Grant{Limit: g.Limit, Share: g.Share})
	}
	b, _ := proto.Marshal(&out)
	return b
}

// Puts implements fleet.Rider.
func (r *Rider) Puts() []*fleetpb.Put {
	puts := r.puts
	r.puts = nil
	return puts
}

// Bounds of a report.
const (
	standingsMost = 2000
	holdersMost   = 8
)

// Report implements fleet.Rider: the limits as this keeper divides them. Of more than a report holds, those that are wanted most go in.
func (r *Rider) Report() []byte {
	var out quotapb.Standings
	list := r.Divider.Standings()
	if len(list) > standingsMost {
		slices.SortStableFunc(list, func(a, b Standing) int { return cmp.Compare(b.Demand, a.Demand) })
		out.LeftOut = uint32(len(list) - standingsMost)
		list = list[:standingsMost]
		slices.SortFunc(list, func(a, b Standing) int { return cmp.Compare(a.Name, b.Name) })
	}
	for _, s := range list {
		one := &quotapb.Standing{Limit: s.Name, Kind: s.Kind.String(), Most: s.Most, CutOff: s.CutOff.String(), Out: s.Out, Kept: s.Kept, Used: s.Used, Demand: s.Demand,
			Holders: uint32(len(s.Holders)), Class: s.Class, Tenant: s.Tenant, Number: s.Number}
		for _, h := range s.Holders[:min(len(s.Holders), holdersMost)] {
			one.Held = append(one.Held, &quotapb.Holder{Router: h.Name, Share: h.Share, Used: h.Used, Wants: h.Wants, AgeMs: h.Age.Milliseconds()})
		}
		out.Standings = append(out.Standings, one)
	}
	b, _ := proto.Marshal(&out)
	return b
}

func readCeilings(b []byte) (list []Ceiling) {
	var c quotapb.Ceilings
	if proto.Unmarshal(b, &c) == nil {
		for _, one := range c.Ceilings {
			list = append(list, Ceiling{Limit: one.Limit, Incarnation: one.Incarnation, Process: one.Process, Most: one.Most})
		}
	}
	return list
}

// writeCeilings leaves out what does not fit into a fact: what is not kept is not granted.
func writeCeilings(list []Ceiling) []byte {
	var out quotapb.Ceilings
	for _, c := range list {
		out.Ceilings = append(out.Ceilings, &quotapb.Ceiling{Limit: c.Limit, Incarnation: c.Incarnation, Process: c.Process, Most: c.Most})
		if proto.Size(&out) > fleet.ValueMost {
			out.Ceilings = out.Ceilings[:len(out.Ceilings)-1]
		}
	}
	b, _ := proto.Marshal(&out)
	return b
}

// Say writes what a router says as it asks.
func (g *Gate) Say(now time.Duration) []byte {
	claims, taken := g.Claims(now)
	out := quotapb.Claims{Taken: taken}
	for _, c := range claims {
		out.Claims = append(out.Claims, &quotapb.Claim{Limit: c.Limit, Demand: c.Demand, Held: c.Held, Used: c.Used})
	}
	b, _ := proto.Marshal(&out)
	return b
}

// ReadGrants reads what rode on an answer; ok is false where it cannot be read.
func ReadGrants(b []byte) (grants []Grant, ok bool) {
	var said quotapb.Grants
	if proto.Unmarshal(b, &said) != nil {
		return nil, false
	}
	for _, g := range said.Grants {
		grants = append(grants, Grant{Limit: g.Limit, Share: g.Share})
	}
	return grants, true
}

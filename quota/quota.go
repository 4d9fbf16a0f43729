// Package quota enforces limits that apply to a whole fleet of routers. The Allocator, at the leading keeper, divides
// each limit into shares for the routers, which expire with the routers' leases. The Limiter, at a router, admits
// calls within its shares. Both are driven by events and absolute times, and return what was admitted, what was
// granted and what has to be committed to the log. They must never choose a server, block, do I/O, or have more in
// force than a limit allows. docs/design/quota.md states the bounds and why they hold.
package quota

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kind says what a limit counts.
type Kind uint8

// Kinds of limits.
const (
	Rate    Kind = iota + 1 // set-ups per second
	Calls                   // calls that are being set up or established
	Retries                 // retries marked as such by callers, as a fraction of first tries
	Cold                    // load of case servers that have just started, as fractions of each one's permitted load
)

// CutOff says what a router admits without a lease.
type CutOff uint8

// Cut-off modes.
const (
	Closed CutOff = iota // nothing
	Floor                // a share that is reserved for every router
	Open                 // up to a cap per router; together the routers may then exceed the limit
)

var (
	kindNames   = [...]string{"", "rate", "calls", "retries", "cold"}
	cutOffNames = [...]string{"closed", "floor", "open"}
)

// String returns the kind's name in reports.
func (k Kind) String() string { return kindNames[k] }

// String returns the mode's name in settings and reports.
func (c CutOff) String() string { return cutOffNames[c] }

// Bounds on input.
const (
	MaxLimits     = 256    // limits of a fleet; a limit per field counts once
	MaxValues     = 16_384 // active values of a limit per field, at a router
	MaxNameLength = 64     // bytes of a limit's name, and of a value

	maxAllocations = 1 << 17 // at the leading keeper
	// maxMatchingLimits bounds the limits that one call can match. More are an error of the settings.
	maxMatchingLimits = 8
)

// Limit is one limit of the whole fleet.
type Limit struct {
	Name            string
	Kind            Kind
	Max             float64       // of Rate: set-ups per second; of Calls: calls at once; of Retries: per first try
	Burst           time.Duration // of Rate: a router's token bucket holds one call and its share over this time
	MaxCallDuration time.Duration // of Calls: how long a call of a lost router is assumed to be established
	CutOff          CutOff
	Floor           float64 // of Floor: the fraction of Max that is reserved for all routers together, from 0 to 1
	MaxRouters      int     // of Floor: the largest number of routers; each gets 1/MaxRouters of the floor
	Cap             float64 // of Open: what each router admits without a lease, in the unit of Max

	Class, Tenant, Number string // the calls that it counts; empty: any. Number is a prefix of the called number
	PerField              Field  // each value of this field is limited separately, as NAME/VALUE in claims
}

// Field is a property of calls. A limit per field limits the calls of each of its values separately.
type Field uint8

// Fields for Limit.PerField.
const (
	FieldNone Field = iota // one limit for all calls
	FieldTenant
	FieldNumber
	FieldClass
	fieldServer // of Cold: each start of a case server
)

var fieldNames = [...]string{"", "tenant", "number", "class", "server"}

// String returns the field's name in the settings.
func (f Field) String() string { return fieldNames[f] }

// ParseField returns the field of a name in the settings, FieldNone for any other.
func ParseField(s string) Field {
	for i, name := range fieldNames[:fieldServer] {
		if name == s {
			return Field(i)
		}
	}
	return FieldNone
}

// valueOf returns a call's value of the field, truncated to MaxNameLength bytes: longer values with the same prefix
// share one limit.
func (f Field) valueOf(class, tenant, number string) string {
	var v string
	switch f {
	case FieldTenant:
		v = tenant
	case FieldNumber:
		v = number
	case FieldClass:
		v = class
	}
	return v[:min(len(v), MaxNameLength)]
}

// Validate returns an error that describes the first rule that the limit breaks, or nil.
func (l Limit) Validate() error {
	switch {
	case l.Name == "" || len(l.Name) > MaxNameLength || strings.Contains(l.Name, "/"):
		return fmt.Errorf("limit name must be 1 to %d bytes long and contain no slash", MaxNameLength)
	case l.Kind < Rate || l.Kind > Cold:
		return errors.New("limit must set one of rate, calls, retries and cold")
	case l.Kind == Cold &&
		(l.Class != "" || l.Tenant != "" || l.Number != "" || l.PerField != FieldNone || l.CutOff == Open):
		return errors.New("a cold limit allows only cut-off closed or floor, and no class, tenant, number or each")
	case l.Kind == Retries && (l.CutOff != Closed || l.PerField != FieldNone):
		return errors.New("a retries limit is enforced by each router on its own: cut-off and each must not be set")
	case !(l.Max > 0 && l.Max <= 1e9):
		return errors.New("the limit's value must be above 0 and at most 1e9")
	case l.Kind == Rate && (l.Burst < 0 || l.Burst > time.Minute):
		return errors.New("burst must be from 0 to 1m")
	case l.Kind == Calls && (l.MaxCallDuration <= 0 || l.MaxCallDuration > 24*time.Hour):
		return errors.New("longest (the maximum call duration) must be above 0 and at most 24h")
	case l.CutOff == Floor && (l.Floor <= 0 || l.Floor > 1 || l.MaxRouters < 1):
		return errors.New("cut-off floor requires floor (above 0 and at most 1) and routers (at least 1)")
	case l.CutOff == Open && l.Cap <= 0:
		return errors.New("cut-off open requires a cap above 0")
	}
	return nil
}

// floor returns the share that each router has at any time, with and without a lease.
func (l *Limit) floor() float64 {
	if l.CutOff != Floor {
		return 0
	}
	return l.Max * l.Floor / float64(l.MaxRouters)
}

// divisible returns the part of the limit that is divided by leases: all but the floors of the routers.
func (l *Limit) divisible() float64 { return l.Max - l.floor()*float64(max(l.MaxRouters, 0)) }

// shareWithoutLease returns the share of a router without a lease.
func (l *Limit) shareWithoutLease() float64 {
	if l.CutOff == Open {
		return l.Cap
	}
	return l.floor()
}

// matches reports whether the limit counts a call.
func (l *Limit) matches(class, tenant, number string) bool {
	return l.Kind != Cold && (l.Class == "" || l.Class == class) && (l.Tenant == "" || l.Tenant == tenant) &&
		(l.Number == "" || strings.HasPrefix(number, l.Number))
}

// Claim is a router's report on one limit, sent with a lease request (an Ask message of package fleet).
type Claim struct {
	Limit  string
	Demand float64 // set-ups per second that arrived, or open and recently refused calls
	Held   float64 // the share in force or, of Calls, the number of open calls if that is larger
	Used   float64 // set-ups per second that were admitted, or open calls
}

// Grant is a share of one limit, valid as long as the lease that it is granted with.
type Grant struct {
	Limit string
	Share float64
}

// Ceiling is the largest share of a limit of kind Calls that an incarnation may have been granted. It is committed to
// the log before such a share is granted, so that a new leader knows how many calls may be established.
type Ceiling struct {
	Limit       string
	Incarnation uint64
	Process     uint64
	Max         float64
}

// Package ledger accounts for the usage of the call routers by tenant: it counts each call once, in the period in which
// the call ends, and reports each period in exactly one statement. It covers tenant look-up, the counting of calls, the
// state of open calls, the closing of periods, and the formats and merging of entries and exports. It does no I/O,
// reads no clock, starts no goroutine and never drops an entry that it was given. Package internal/ledgerio reads and
// writes the files.
package ledger

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"threadglade.example/threadglade"
)

// Field identifies a value of a Usage. The order is part of the file format: new fields go at the end.
type Field uint8

// The fields of a Usage. A set-up has exactly one result of EstablishedInTime, EstablishedLate, Refused, Failed,
// Abandoned and Unknown, so Offered is their sum.
const (
	Offered           Field = iota // set-ups that the router received, including repeats
	Repeats                        // set-ups that their callers marked as repeats
	EstablishedInTime              // established within the Aim of the class, counted from this set-up
	EstablishedLate                // established later
	Refused                        // refused by the router
	Failed                         // failed or reached the deadline
	Abandoned                      // the caller gave up before an answer
	Unknown                        // interrupted by a restart, and no release was received within UnknownTimeout
	Recovered                      // part of EstablishedInTime and EstablishedLate: ended after a restart or takeover
	OrphanedCalls                  // calls established at a server whose answer was lost
	Concluded                      // attempts whose call was established and released by either side
	Faulted                        // Faulted to NotSent: attempts that ended with the Outcome of the same name
	Rejected
	TimedOut
	Unreachable
	Cut
	Cancelled
	NotSent
	Lost       // attempts whose end was lost at a restart
	HeldMs     // total duration of established calls, in milliseconds
	WorthMilli // total worth earned by calls, in thousandths
	FieldCount // number of fields
)

// fieldNames are part of the export format.
var fieldNames = [FieldCount]string{"offered", "repeats", "stood_in_time", "stood_late", "refused", "failed", "left",
	"unknown", "recovered", "ghosts", "concluded", "faulted", "rejected", "timed_out", "unreachable", "cut",
	"cancelled", "not_sent", "lost", "held_ms", "worth_milli"}

func (f Field) String() string { return fieldNames[f] }

// ParseField returns the field with a name. The error lists all names.
func ParseField(name string) (Field, error) {
	for f, n := range fieldNames {
		if n == name {
			return Field(f), nil
		}
	}
	return 0, fmt.Errorf("unknown field %q, want one of %s", name, strings.Join(fieldNames[:], ", "))
}

// outcomeField returns the field that counts attempts with an outcome, or Faulted for an invalid outcome.
func outcomeField(outcome threadglade.Outcome) Field {
	if outcome < threadglade.Concluded || outcome > threadglade.NotSent {
		return Faulted
	}
	return Concluded + Field(outcome)
}

// Usage holds the value of each field. A value may be negative where the Usage is a difference.
type Usage [FieldCount]int64

// Add adds v to u.
func (u *Usage) Add(v *Usage) {
	for f := range u {
		u[f] += v[f]
	}
}

// Attempts returns the number of attempts that have ended, whatever their outcome.
func (u Usage) Attempts() (n int64) {
	for f := Concluded; f <= Lost; f++ {
		n += u[f]
	}
	return n
}

// CheckBalance returns an error unless every set-up has exactly one result.
func (u *Usage) CheckBalance() error {
	if results := u[EstablishedInTime] + u[EstablishedLate] + u[Refused] + u[Failed] + u[Abandoned] +
		u[Unknown]; results != u[Offered] {
		return fmt.Errorf("%d set-ups have %d results", u[Offered], results)
	}
	return nil
}

// Map returns the non-zero values by field name.
func (u *Usage) Map() map[string]int64 {
	m := map[string]int64{}
	for f, n := range u {
		if n != 0 {
			m[fieldNames[f]] = n
		}
	}
	return m
}

// MarshalJSON encodes the non-zero values by field name, in the order of the fields.
func (u Usage) MarshalJSON() ([]byte, error) {
	b := []byte{'{'}
	for f, n := range u {
		if n != 0 {
			if len(b) > 1 {
				b = append(b, ',')
			}
			b = append(append(append(b, '"'), fieldNames[f]...), '"', ':')
			b = strconv.AppendInt(b, n, 10)
		}
	}
	return append(b, '}'), nil
}

// UnmarshalJSON decodes values by field name. Unknown names are an error.
func (u *Usage) UnmarshalJSON(b []byte) error {
	var m map[string]int64
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	*u = Usage{}
	for name, n := range m {
		f, err := ParseField(name)
		if err != nil {
			return err
		}
		u[f] = n
	}
	return nil
}

// Key identifies what a Usage counts: a class as used by a tenant.
type Key struct{ Tenant, Class string }

func compareKeys(a, b Key) int {
	if c := strings.Compare(a.Tenant, b.Tenant); c != 0 {
		return c
	}
	return strings.Compare(a.Class, b.Class)
}

// Package ledger counts what each tenant has used of the call routers: every call once, in the period in which it ends, and
// every period stated once. It owns the tenants' tables, the counting of one call, the book of calls that are open, the
// closing of periods, the form of entries and exports, and their merging. It must never do I/O, read a clock, start a
// goroutine, or forget an entry that it was given. internal/ledgerio carries it to files.
package ledger

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"threadglade.example/threadglade"
)

// Field is one figure of a Usage. The order is part of the file format: new ones go at the end.
type Field uint8

// Fields. A try has one result of StoodInTime, StoodLate, Refused, Failed, Left and Unknown, so that Offered is their sum.
const (
	Offered     Field = iota // tries handed to the router, repeats among them
	Repeats                  // tries that their callers marked as repeats
	StoodInTime              // stood within the aim of the class, counted from this try
	StoodLate                // stood after it
	Refused                  // turned away
	Failed                   // failed, or out of time
	Left                     // given up by the caller
	Unknown                  // a restart came between, and no release told how it went on
	Recovered                // of StoodInTime and StoodLate: their end was heard after a restart
	Ghosts                   // of Failed: stood at a server whose answer was lost
	Concluded                // attempts whose call stood and was released by either side
	Faulted                  // attempts that ended as threadglade's Outcome of that name; so to NotSent
	Rejected                 //
	TimedOut                 //
	Unreachable              //
	Cut                      //
	Cancelled                //
	NotSent                  //
	Lost                     // attempts of which a restart has lost the end
	HeldMs                   // milliseconds for which calls have stood
	WorthMilli               // thousandths of the worth that calls have earned
	Fields
)

var fieldNames = [Fields]string{"offered", "repeats", "stood_in_time", "stood_late", "refused", "failed", "left", "unknown",
	"recovered", "ghosts", "concluded", "faulted", "rejected", "timed_out", "unreachable", "cut", "cancelled", "not_sent",
	"lost", "held_ms", "worth_milli"}

func (f Field) String() string { return fieldNames[f] }

// ParseField finds a field by its name.
func ParseField(name string) (Field, error) {
	for f, n := range fieldNames {
		if n == name {
			return Field(f), nil
		}
	}
	return 0, fmt.Errorf("no field %q; there are %s", name, strings.Join(fieldNames[:], ", "))
}

// ended is the field that counts attempts of an outcome.
func ended(how threadglade.Outcome) Field {
	if how < threadglade.Concluded || how > threadglade.NotSent {
		return Faulted
	}
	return Concluded + Field(how)
}

// Usage holds one figure a field; differences may be negative.
type Usage [Fields]int64

// Add adds another usage.
func (u *Usage) Add(v *Usage) {
	for f := range u {
		u[f] += v[f]
	}
}

// Attempts is how many attempts were made, whatever became of them.
func (u Usage) Attempts() (n int64) {
	for f := Concluded; f <= Lost; f++ {
		n += u[f]
	}
	return n
}

// Balance says what does not add up: every try has one result.
func (u *Usage) Balance() error {
	if results := u[StoodInTime] + u[StoodLate] + u[Refused] + u[Failed] + u[Left] + u[Unknown]; results != u[Offered] {
		return fmt.Errorf("%d tries have %d results", u[Offered], results)
	}
	return nil
}

// Map is the figures that are not zero, by name.
func (u *Usage) Map() map[string]int64 {
	m := map[string]int64{}
	for f, n := range u {
		if n != 0 {
			m[fieldNames[f]] = n
		}
	}
	return m
}

// MarshalJSON writes the figures that are not zero, by name, in the order of the fields.
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

// UnmarshalJSON reads figures by name; the error names one that is not known.
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

// Key is whose use is counted, and of what.
type Key struct{ Tenant, Class string }

func compareKeys(a, b Key) int {
	if c := strings.Compare(a.Tenant, b.Tenant); c != 0 {
		return c
	}
	return strings.Compare(a.Class, b.Class)
}

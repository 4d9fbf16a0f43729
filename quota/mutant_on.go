//go:build mutant

package quota

// mutant is the name of the injected fault, or empty.
var mutant string

// Mutants describes the faults that a test can inject, by name.
var Mutants = map[string]string{
	"lent-for-nothing": "lent retry attempts are not taken from the retries that first tries earned",
	"share-too-early":  "a decrease of a router's share is granted to others before the router confirms it",
	"share-for-ever":   "a router keeps its share after its lease has expired",
	"forgetful-leader": "a new leading keeper ignores what earlier leaders may have granted",
	"places-free":      "no capacity is reserved for the calls of an ended incarnation",
	"full-bucket":      "an increased share starts with a full token bucket",
	"no-ceiling":       "a new leading keeper ignores the committed ceilings",
	"last-answer-only": "of the unconfirmed answers to a router only the last counts",
	"floor-on-top":     "the floors are granted in addition to the whole limit",
}

// Mutate injects the named fault; the empty name removes it.
func Mutate(name string) { mutant = name }

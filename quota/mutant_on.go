//go:build mutant

package quota

// mutant is the fault that is built in.
var mutant string

// Mutants are the faults that a build for tests can have, by name.
var Mutants = map[string]string{
	"lent-for-nothing": "further attempts are lent and not taken out of what first tries have earned",
	"share-too-early":  "what a router is to give back is given out before it has confirmed",
	"share-for-ever":   "a router goes on by its share when its lease is over",
	"forgetful-leader": "a new leading keeper takes what it has not granted itself for free",
	"places-free":      "the places of a lost life's calls are given out at once",
	"full-bucket":      "a share that arrives comes with a full bucket",
	"no-ceiling":       "a new leading keeper does not know of the calls of lives that are over",
	"last-answer-only": "of the answers on their way to a router only the last counts",
	"floor-on-top":     "the floors are not kept aside",
}

// Mutate builds a fault in.
func Mutate(name string) { mutant = name }

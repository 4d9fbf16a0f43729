//go:build mutant

package verdict

import "os"

// mutant is the fault that is built in.
var mutant = os.Getenv("VERDICT_MUTANT")

// Mutants are the faults that a build for tests can have, by name.
var Mutants = map[string]string{
	"one-router":      "what one router has seen condemns a server for all",
	"one-zone":        "what routers of one zone have seen condemns a server for all zones",
	"no-share":        "verdicts may bar every server of a class",
	"all-at-once":     "all routers come back to a server in the same moment",
	"try-at-will":     "each router tries a condemned server whenever it may look",
	"old-life":        "evidence on an earlier life of a server counts for the next",
	"for-ever":        "evidence never lapses",
	"young":           "the time on the way is left out of the age of evidence",
	"crossed-answers": "an answer to what was sent before a server hung speaks for it",
	"older-wins":      "an older record takes a newer one's place",
}

// Mutate builds a fault in, or with an empty name none.
func Mutate(name string) { mutant = name }

//go:build mutant

package verdict

import "os"

// mutant is the name of the fault that is injected, or empty.
var mutant = os.Getenv("VERDICT_MUTANT")

// Mutants describes by name the faults that can be injected to show that the tests find them.
var Mutants = map[string]string{
	"one-router":      "the evidence of one router condemns a server for all routers",
	"one-zone":        "the evidence of one zone's routers condemns a server for all zones",
	"no-share":        "verdicts may have a router avoid every server of a class",
	"all-at-once":     "all routers return to a recovered server at the same moment",
	"try-at-will":     "each router probes a condemned server at every chance",
	"old-life":        "evidence on an earlier incarnation of a server counts for the next",
	"for-ever":        "evidence never expires",
	"young":           "the age of evidence leaves out its transit time",
	"crossed-answers": "an answer to an attempt sent before a server hung counts in its favour",
	"older-wins":      "an older record replaces a newer one",
}

// Mutate injects the fault of the given name; an empty name removes it.
func Mutate(name string) { mutant = name }

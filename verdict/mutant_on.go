//go:build mutant

package verdict

import "os"

// mutant is the name of the injected fault, or empty.
var mutant = os.Getenv("VERDICT_MUTANT")

// Mutants describes by name the faults that can be injected to show that the tests find them.
var Mutants = map[string]string{
	"one-router":      "the evidence of one router makes all routers avoid a server",
	"one-zone":        "the evidence of one zone's routers makes the routers of all zones avoid a server",
	"no-share":        "verdicts can make a router avoid every server of a class",
	"all-at-once":     "all routers return to a recovered server at the same moment",
	"try-at-will":     "every router probes an avoided server in every ProbeInterval",
	"old-life":        "evidence on an earlier incarnation of a server counts for the next",
	"for-ever":        "evidence never expires",
	"young":           "the age of evidence does not include its transit time",
	"crossed-answers": "an answer to an attempt sent before a server hung counts in its favour",
	"older-wins":      "an older record replaces a newer one",
}

// Mutate injects the named fault; the empty name removes it.
func Mutate(name string) { mutant = name }

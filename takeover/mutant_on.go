//go:build mutant

package takeover

import "os"

// mutant is the name of the injected fault, empty for none.
var mutant = os.Getenv("TAKEOVER_MUTANT")

// Mutants describes the faults that can be injected in builds with the tag mutant, by name.
var Mutants = map[string]string{
	"confirm-the-dead": "a replica holder goes on confirming to an incarnation that is over",
	"no-vouch":         "a replica holder does not note its guarantee",
	"let-go-early":     "a replica holder hands a replica over although its guarantee has not expired",
	"every-holder":     "every replica holder takes the calls over, whether it is the successor or not",
	"mind-no-gap":      "a replica holder applies records after a gap",
	"first-copy":       "a successor takes over the first replica it receives, which may contain calls that are over",
	"never-closed":     "a successor goes on taking calls of an owner that is back and was told which were taken",
	"old-work":         "a router that acts by a new incarnation keeps the calls of the one before",
	"deaf-to-the-last": "a replica holder ignores what an owner still did while the guarantee held",
	"lower-copy":       "a successor keeps taken calls that a replica with a higher number lacks",
	"act-at-once":      "a successor acts before its own replica holders have the calls it took over",
	"act-on":           "an owner continues to act although its lease and all guarantees have expired",

	"end-before-word":    "replica holders are told of an end before the caller is notified",
	"heard-before-taken": "an end that is received between a take-over and its notification to the loop is lost",
	"withdrawn-alive":    "a router that is evacuated has others withdraw the set-ups that it continues",
	"late-words":         "output that waits for replica holders is sent although another router notifies the callers",
}

// Mutate injects the fault of that name; an empty name removes it. It must not be called while routers run.
func Mutate(name string) { mutant = name }

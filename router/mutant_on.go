//go:build mutant

package router

// mutant is the name of the injected fault, a key of Mutants. This file is only built with the tag mutant, for
// tests that check whether injected faults are detected.
var mutant = ""

// Mutate injects a fault into every Router of the process; an empty name removes it. It must not be called while a
// Router is in use.
func Mutate(name string) { mutant = name }

// Mutants are the faults that can be injected, by name, with their descriptions.
var Mutants = map[string]string{
	"early-resend":   "the wait after an attempt that may still occupy resources is 1 ms too short",
	"attempt-more":   "a call may make one attempt more than allowed",
	"deaf-to-leave":  "a request is not cancelled when its caller gives it up",
	"no-give-up":     "an attempt that timed out is not given up at its server",
	"any-end":        "the end of an earlier attempt ends the current one",
	"lost-release":   "a server's release is not passed to the caller",
	"lost-timer":     "a call's timers for the Controller are not set",
	"table-leak":     "a call that has ended is not removed from the table",
	"miscount":       "an answered request is counted as unanswered",
	"told-refused":   "a failure is reported to the front as a refusal",
	"deaf-to-drain":  "a draining server counts as up",
	"second-answer":  "a second answer of a server is passed to the front, too",
	"release-twice":  "a caller's release is sent twice",
	"send-twice":     "an attempt is sent twice",
	"wrong-server":   "every attempt goes to s1",
	"give-up-twice":  "an attempt that timed out is given up twice",
	"told-twice":     "a server's release is passed to the caller twice",
	"left-told":      "a caller that has left is notified of a failure",
	"left-out":       "an attempt stays pending when its caller leaves",
	"panic":          "the Controller panics on an attempt's end",
	"silent-overdue": "the timers of attempts and deadlines are not set",
}

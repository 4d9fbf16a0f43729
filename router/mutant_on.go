//go:build mutant

package router

// mutant is the fault built in, one of Mutants. This file is only built with the tag mutant, for tests that see a fault found.
var mutant = ""

// Mutate builds a fault into every Router of the process; empty: none.
func Mutate(name string) { mutant = name }

// Mutants are the faults that can be built in, with what each does.
var Mutants = map[string]string{
	"early-resend":   "the wait after an attempt is 1 ms short",
	"attempt-more":   "a call may take an attempt more than allowed",
	"deaf-to-leave":  "a caller that leaves is not heard",
	"no-give-up":     "an attempt whose time is up is not given up at its server",
	"any-end":        "the end of an earlier attempt ends the present one",
	"lost-release":   "a server's release does not reach the caller",
	"lost-timer":     "a call's timers for the Controller are not set",
	"table-leak":     "a call that is over stays in the table",
	"miscount":       "an answer that was given is counted as owed",
	"told-refused":   "what has failed is told as refused",
	"deaf-to-drain":  "a draining server counts as up",
	"second-answer":  "a further answer of a server is told, too",
	"release-twice":  "a caller's release is sent twice",
	"send-twice":     "an attempt is sent twice",
	"wrong-server":   "every attempt goes to s1",
	"give-up-twice":  "an attempt whose time is up is given up twice",
	"told-twice":     "a server's release reaches the caller twice",
	"left-told":      "a caller that has left is told of a failure",
	"left-out":       "an attempt stays out when its caller leaves",
	"panic":          "the Controller fails on an attempt's end",
	"silent-overdue": "neither the end of an attempt's time nor the deadline is watched",
}

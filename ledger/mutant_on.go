//go:build mutant

package ledger

// mutant is the name of the injected fault, a key of Mutants, or empty. The build tag mutant is for tests that check
// whether injected faults are detected.
var mutant = ""

// Mutate injects a fault into every Keeper of the process; "" removes it.
func Mutate(name string) { mutant = name }

// Mutants describes the faults that can be injected, by name.
var Mutants = map[string]string{
	"own-books":  "calls of earlier processes are not suspended until it is known which are taken over",
	"keep-taken": "calls that other routers have taken over stay in the ledger",
	"adopt-once": "a call that was taken over before is added to the ledger again",
}

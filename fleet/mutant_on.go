//go:build mutant

package fleet

// mutant is the name of the injected fault; empty: none.
var mutant string

// Mutants describes the faults that can be injected in builds with the tag mutant, by name.
var Mutants = map[string]string{
	"lease-from-answer": "a router counts its lease from the keeper's answer instead of from before its own request",
	"no-look":           "the event loop acts under its last incarnation without checking that its lease is valid",
	"eager-begin":       "a keeper starts a new incarnation of a name while the lease of its last one is valid",
	"no-quorum":         "a leader renews leases without confirmation by a majority that it still leads",
	"forget-leases":     "a new leader treats the leases that it did not grant as expired",
	"wall-lease":        "leases are measured by the wall clock",
	"unwritten":         "a keeper answers without storing its log first",
	"deaf-to-disk":      "a keeper continues after a failed write",
	"files-forgotten":   "a keeper whose folder is empty bootstraps its files again",
}

// Mutate injects the fault of that name; an empty name removes it. It must not be called while the package is in use.
func Mutate(name string) { mutant = name }

// Mutated returns the name of the injected fault, empty if there is none.
func Mutated() string { return mutant }

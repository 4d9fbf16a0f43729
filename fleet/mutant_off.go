//go:build !mutant

package fleet

// mutant is the name of the injected fault. It is empty: faults exist only in builds with the tag mutant.
const mutant = ""

// Mutated returns the name of the injected fault, empty if there is none.
func Mutated() string { return mutant }

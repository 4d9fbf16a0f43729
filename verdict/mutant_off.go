//go:build !mutant

package verdict

// mutant is the fault that a build for tests can have: none in one that ships.
const mutant = ""

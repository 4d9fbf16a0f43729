//go:build !mutant

package quota

// mutant is the fault that is built in: none but in builds for tests.
const mutant = ""

//go:build !mutant

package takeover

// mutant is the fault that is built in: none but in builds for tests.
const mutant = ""

//go:build !mutant

package ledger

// mutant is the name of the injected fault: none without the build tag mutant.
const mutant = ""

//go:build !mutant

package ledger

// mutant is the name of the injected fault. Without the build tag mutant there is none.
const mutant = ""

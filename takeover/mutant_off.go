//go:build !mutant

package takeover

// mutant is the name of the injected fault; builds without the mutant tag have none.
const mutant = ""

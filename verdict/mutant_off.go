//go:build !mutant

package verdict

// mutant is the name of the injected fault; a release build has none.
const mutant = ""

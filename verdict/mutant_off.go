//go:build !mutant

package verdict

// mutant is the name of the injected fault. Only builds with the mutant tag inject one.
const mutant = ""

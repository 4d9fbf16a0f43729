//go:build !mutant

package router

// mutant is the name of the injected fault. It is empty in production builds, where all checks of it are compiled
// away.
const mutant = ""

//go:build !mutant

package router

// mutant is the fault built in: none in what ships, where each place that asks for one is compiled away.
const mutant = ""

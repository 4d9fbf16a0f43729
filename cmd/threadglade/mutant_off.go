//go:build !mutant

package main

// mutants is empty: only builds with the tag mutant have any.
var mutants map[string]string

// mutate does nothing in this build.
func mutate(string) {}

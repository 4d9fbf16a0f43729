//go:build !mutant

package main

// mutants and mutate are of builds for tests alone.
var mutants map[string]string

func mutate(string) {}

//go:build mutant

package main

import "threadglade.example/threadglade/router"

var mutants = router.Mutants

func mutate(name string) { router.Mutate(name) }

//go:build mutant

package main

import (
	"os"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/router"
)

// The environment variable FLEET_MUTANT activates a fault in the fleet's code of this process, which drills have to
// detect.
func init() { fleet.Mutate(os.Getenv("FLEET_MUTANT")) }

// mutants are the faults that can be activated in the router, by name, with a description.
var mutants = router.Mutants

// mutate activates the mutant called name.
func mutate(name string) { router.Mutate(name) }

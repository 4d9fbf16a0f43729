//go:build mutant

package ledger

import "os"

// mutant is the fault that is built in: none but in builds for tests.
var mutant = os.Getenv("LEDGER_MUTANT")

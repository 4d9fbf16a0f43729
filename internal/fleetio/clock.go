//go:build !mutant

package fleetio

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns CLOCK_BOOTTIME, which also advances while the process is stopped or the machine is suspended, and is
// never stepped.
func Clock() time.Duration {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}

//go:build mutant

package fleetio

import (
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"threadglade.example/threadglade/fleet"
)

// Clock returns CLOCK_BOOTTIME. With the mutant wall-lease, which times leases by the wall clock, it returns the wall
// clock plus the number of seconds in the file that FLEET_WALL names.
func Clock() time.Duration {
	if fleet.Mutated() == "wall-lease" {
		b, _ := os.ReadFile(os.Getenv("FLEET_WALL"))
		step, _ := strconv.Atoi(strings.TrimSpace(string(b)))
		return time.Duration(time.Now().UnixNano()) + time.Duration(step)*time.Second
	}
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}

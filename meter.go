package threadglade

import "time"

// meter measures an arrival rate from the smoothed spacing of calls (step 1 of the algorithm).
type meter struct {
	spacing  time.Duration // smoothed time between calls; 0: unknown
	lastCall time.Duration
	hasCall  bool
}

// recordArrival records a new call (eq. 1). At a server, this includes calls that its gap then stops.
func (m *meter) recordArrival(now time.Duration) {
	if m.hasCall {
		spacing := now - m.lastCall
		if m.spacing == 0 {
			m.spacing = spacing
		} else {
			m.spacing += time.Duration(smoothingWeight * float64(spacing-m.spacing))
		}
	}
	m.hasCall, m.lastCall = true, now
}

// lambda returns the arrival rate λ in calls a second, 0 while it is unknown.
func (m *meter) lambda() float64 {
	if m.spacing <= 0 {
		return 0
	}
	return 1 / m.spacing.Seconds()
}

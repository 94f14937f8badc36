package stand

import "time"

// targetFaults are the settable faults of a Target.
type targetFaults struct {
	slowdown  float64
	failShare float64
	failNext  int
	stalled   bool
	draining  bool
	drainedAt time.Time
	loadLag   time.Duration
	healthLag time.Duration
	loadLie   *Load
	healthLie int // 0: honest, otherwise the status that is answered
}

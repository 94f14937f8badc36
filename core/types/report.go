package types

import "time"

// ReportSpec lists the properties of a Report.
type ReportSpec struct {
	InFlight    int
	Queued      int
	Limit       int
	Latency     time.Duration
	Draining    bool
	Incarnation uint64
	// Pace is how long work takes on the target's VM at the moment, as a
	// multiple of what is usual; 0 if unknown.
	Pace float64
}

// Report is the load of a target as the daemon beside it saw it when it sent
// an answer.
type Report struct {
	spec ReportSpec
}

// NewReport returns the report with the given properties.
func NewReport(s ReportSpec) Report { return Report{spec: s} }

// InFlight returns the number of calls in the target's slots.
func (r Report) InFlight() int { return r.spec.InFlight }

// Queued returns the number of calls waiting at the daemon.
func (r Report) Queued() int { return r.spec.Queued }

// Limit returns the number of calls the daemon lets run at a time.
func (r Report) Limit() int { return r.spec.Limit }

// Latency returns the average time a call spends in the target.
func (r Report) Latency() time.Duration { return r.spec.Latency }

// Draining reports whether the target takes no new work.
func (r Report) Draining() bool { return r.spec.Draining }

// Incarnation returns the number of the daemon's start; a higher one is newer.
func (r Report) Incarnation() uint64 { return r.spec.Incarnation }

// Pace returns how long work takes on the target's VM at the moment, as a
// multiple of what is usual; 0 if unknown.
func (r Report) Pace() float64 { return r.spec.Pace }

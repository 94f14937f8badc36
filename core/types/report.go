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
	// Pace is the present slowdown factor of the target's VM: 1 is the normal
	// speed, 2 means that work takes twice as long; 0 if unknown.
	Pace float64
	// Link is the time that bodies on their way to the target, or waiting for that, take
	// on the network link of its VM.
	Link time.Duration
	// Rate is the number of calls a second that the target takes while it is cold, 0 for no
	// limit. The limit lasts for RateLasts unless a later report says otherwise, and a call
	// in addition to those that wait can start after StartIn.
	Rate      float64
	RateLasts time.Duration
	StartIn   time.Duration
}

// Report is the load of a target, measured by the daemon on its VM when it sent
// a response.
type Report struct {
	spec ReportSpec
}

// NewReport returns the report with the given properties.
func NewReport(s ReportSpec) Report { return Report{spec: s} }

// InFlight returns the number of calls that occupy a slot of the target.
func (r Report) InFlight() int { return r.spec.InFlight }

// Queued returns the number of calls that wait in the daemon's queue.
func (r Report) Queued() int { return r.spec.Queued }

// Limit returns the daemon's concurrency limit for the target, in calls.
func (r Report) Limit() int { return r.spec.Limit }

// Latency returns the average service time of a call, without queueing.
func (r Report) Latency() time.Duration { return r.spec.Latency }

// Draining reports whether the target takes no new work.
func (r Report) Draining() bool { return r.spec.Draining }

// Incarnation returns a number that grows with each start of the daemon.
func (r Report) Incarnation() uint64 { return r.spec.Incarnation }

// Pace returns the present slowdown factor of the target's VM: 1 is the normal
// speed, 2 means that work takes twice as long; 0 if unknown.
func (r Report) Pace() float64 { return r.spec.Pace }

// Link returns the time that bodies on their way to the target, or waiting for that, take on
// the network link of its VM.
func (r Report) Link() time.Duration { return r.spec.Link }

// Rate returns the number of calls a second that the target takes while it is cold, 0 for no
// limit.
func (r Report) Rate() float64 { return r.spec.Rate }

// RateLasts returns how long the limit of Rate holds unless a later report says otherwise.
func (r Report) RateLasts() time.Duration { return r.spec.RateLasts }

// StartIn returns the time after which the limit of Rate lets a further call start.
func (r Report) StartIn() time.Duration { return r.spec.StartIn }

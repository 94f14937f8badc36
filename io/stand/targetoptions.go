package stand

import "time"

// TargetOptions are the properties of a Target.
type TargetOptions struct {
	// Name appears in answers; the address if empty.
	Name string
	// Service is the service the target belongs to.
	Service string
	// Slots is how many requests run at a time, 0 for 12.
	Slots int
	// Connections is how many connections are open at a time, 0 for 250. More
	// are closed when they arrive.
	Connections int
	// ServiceTime is the time a request occupies a slot.
	ServiceTime ServiceTime
	// ColdStart is the time after a start during which requests take
	// ColdFactor times as long (0 for 5).
	ColdStart  time.Duration
	ColdFactor float64
	// Shed answers 503 with the header Trefoil-Shed when all slots are
	// occupied; otherwise requests wait for a slot.
	Shed bool
	// ProbeTime is the time an answer of /health and /load takes, 0 for 6 ms.
	ProbeTime time.Duration
	// BodySize is the length of the filler in an answer, in bytes.
	BodySize int
	// DaemonAdmin is the address of the admin endpoint of the daemon beside
	// the target, to which it announces itself; empty for no announcements.
	DaemonAdmin string
	// DaemonEntry is the address of that daemon for outgoing calls.
	DaemonEntry string
	// RestartAfter is the time from a crash to the restart, 0 for none.
	RestartAfter time.Duration
	// Seed makes service times and failures repeatable.
	Seed uint64
}

func (o TargetOptions) withDefaults() TargetOptions {
	if o.Slots <= 0 {
		o.Slots = 12
	}
	if o.Connections <= 0 {
		o.Connections = 250
	}
	if o.ColdFactor <= 0 {
		o.ColdFactor = 5
	}
	if o.ProbeTime == 0 {
		o.ProbeTime = 6 * time.Millisecond
	}
	return o
}

package admit

import "math"

const (
	defaultSlots       = 12
	defaultConnections = 250
	defaultQueue       = 48
	defaultUrgentShare = 0.25
)

// Options configure a Gate. A field that is zero has its default.
type Options struct {
	// Slots is the number of calls the target runs at a time; default 12.
	Slots int
	// Connections is the number of calls accepted at a time, running or
	// waiting; default 250.
	Connections int
	// Queue is the number of calls that may wait; default 48, four for each of
	// the default slots. A negative value means that no call waits.
	Queue int
	// UrgentShare is the share of running calls reserved for urgent calls;
	// default 1/4. A negative value means that none are reserved.
	UrgentShare float64
	// MinShare is the lowest limit as a share of Slots; default 1/4.
	MinShare float64
	// Tolerance is the ratio of latency to its long-term minimum above which
	// the limit decreases; default 2.
	Tolerance float64
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.Queue == 0 {
		o.Queue = defaultQueue
	}
	if o.UrgentShare == 0 || o.UrgentShare > 1 {
		o.UrgentShare = defaultUrgentShare
	}
	return o
}

// reservedSlots returns how many of n slots are reserved for urgent calls.
func (o Options) reservedSlots(n int) int {
	return max(0, min(n-1, int(math.Ceil(o.UrgentShare*float64(n)))))
}

package poison

import (
	"time"

	"trefoilthread/core/types"
)

const (
	defaultCapacity = 4096
	defaultExpiry   = 10 * time.Minute
	// defaultGrace exceeds the time in which a daemon notices that its target
	// has died.
	defaultGrace = time.Second
)

// Options configure a Table. A field that is zero has its default, except
// Target and Incarnation.
type Options struct {
	// Target is the local target.
	Target types.TargetID
	// Incarnation is the number of the daemon's start. It makes deaths counted
	// by an earlier start distinct.
	Incarnation uint64
	// Capacity is the number of entries kept; default 4,096.
	Capacity int
	// Expiry is the time from the only death of a suspect to the end of its
	// entry, and the length of a first quarantine; default 10 min.
	Expiry time.Duration
	// Grace is how long a run that broke off or was canceled counts as in flight;
	// default 1 s.
	Grace time.Duration
}

func (o Options) withDefaults() Options {
	if o.Capacity <= 0 {
		o.Capacity = defaultCapacity
	}
	if o.Expiry <= 0 {
		o.Expiry = defaultExpiry
	}
	if o.Grace <= 0 {
		o.Grace = defaultGrace
	}
	return o
}

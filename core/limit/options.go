package limit

import "time"

const (
	defaultMax       = 12
	defaultMinShare  = 0.25
	defaultTolerance = 2.0
	defaultWindow    = 30 * time.Second
)

// Options configure a Limit. A field that is zero or negative has its default.
type Options struct {
	// Max is the upper bound, the slots of the target; default 12.
	Max int
	// MinShare is the lower bound as a share of Max; default 1/4.
	MinShare float64
	// Tolerance is the ratio of latency to its long-term minimum above which
	// the limit decreases; default 2.
	Tolerance float64
	// Window is the time after which a minimum starts to be forgotten;
	// default 30 s.
	Window time.Duration
}

func (o Options) withDefaults() Options {
	if o.Max <= 0 {
		o.Max = defaultMax
	}
	if o.MinShare <= 0 || o.MinShare > 1 {
		o.MinShare = defaultMinShare
	}
	if o.Tolerance <= 1 {
		o.Tolerance = defaultTolerance
	}
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	return o
}

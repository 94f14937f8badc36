package route

import (
	"time"

	"trefoilthread/core/types"
)

const (
	defaultSubset  = 200
	defaultChoices = 3
	// maxChoices bounds the sample so that a decision doesn't allocate.
	maxChoices = 8
)

// Options configures a Picker. Values of zero or less select the defaults.
type Options struct {
	Self       types.TargetID   // target on the VM of this daemon
	DataCentre types.DataCentre // data centre of this daemon

	// Distance returns the one-way latency between two data centres. Without
	// it all targets are equally near.
	Distance func(from, to types.DataCentre) time.Duration

	// Link is the speed of this VM's network link in Mbit/s, 0 if unknown.
	Link float64

	Subset  int    // upper bound on the targets used, default 200
	Choices int    // targets compared by a decision, default 3, at most 8
	Seed    uint64 // with Self, the seed of the random source

	// Policy selects among the targets of the subset, default Weighted.
	Policy Policy
}

func (o Options) withDefaults() Options {
	if o.Distance == nil {
		o.Distance = func(_, _ types.DataCentre) time.Duration { return 0 }
	}
	if o.Subset <= 0 {
		o.Subset = defaultSubset
	}
	if o.Choices <= 0 {
		o.Choices = defaultChoices
	}
	o.Choices = min(o.Choices, maxChoices)
	if o.Policy == nil {
		o.Policy = Weighted
	}
	return o
}

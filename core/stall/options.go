package stall

import "time"

const (
	// DefaultStallAfter is far above the round trip between data centres and
	// the scheduling delays of shared hosts.
	DefaultStallAfter = 250 * time.Millisecond
	// DefaultMaxConnections is above the number of connections to one target
	// (250).
	DefaultMaxConnections = 512
	// quantileFactor multiplies the 99 % latency quantile. A slow request
	// doesn't explain inactivity that lasts longer than the product.
	quantileFactor = 4
)

// Options configures a Tracker. Values of zero or less select the defaults.
type Options struct {
	Kind           Kind
	StallAfter     time.Duration // least inactivity of a stalled connection
	MaxConnections int           // maximum number of tracked connections
}

func (o Options) withDefaults() Options {
	if o.StallAfter <= 0 {
		o.StallAfter = DefaultStallAfter
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	return o
}

package stall

import "time"

const (
	// DefaultStallAfter is far above the round trip between data centres and
	// the scheduling delays of shared hosts.
	DefaultStallAfter = 250 * time.Millisecond
	// DefaultMaxConnections is above the connections of one target (250).
	DefaultMaxConnections = 512
	// quantileFactor times the 99 % latency quantile is silence that isn't
	// explained by a slow request.
	quantileFactor = 4
)

// Options configures a Tracker. Values of zero or less select the defaults.
type Options struct {
	Kind           Kind
	StallAfter     time.Duration // silence that counts as a stall
	MaxConnections int           // upper bound on the connections tracked
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

package store

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// BudgetOptions are the properties of a Budget. The zero value has the
// defaults, which suit today's fleets: at 23 daemons they add up to a third of
// the platform's writes and a tenth of its reads.
type BudgetOptions struct {
	// WritesPerSecond and ReadsPerSecond are the rates, 0 for 5 and 10. A lease
	// call counts as a write; a watch counts as one read for its first range
	// and one while it is pending.
	WritesPerSecond, ReadsPerSecond float64
	// WriteBurst and ReadBurst are how many calls can be made at once, 0 for 5
	// and 10. ReadBurst is at least 2, the calls of a watch.
	WriteBurst, ReadBurst int
	// OutageAfter is how many calls without an answer, one after the other,
	// are an outage, 0 for 3.
	OutageAfter int
	// MinBackoff and MaxBackoff bound the time between trial calls in an
	// outage, 0 for 100 ms and 2 s.
	MinBackoff, MaxBackoff time.Duration
	// Seed varies the jitter, 0 for a random one: daemons with the same jitter
	// would return from an outage together.
	Seed uint64
	// Clock is the time source, nil for the real one.
	Clock clockwork.Clock
}

func (o BudgetOptions) withDefaults() BudgetOptions {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = 5
	}
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = 10
	}
	if o.WriteBurst <= 0 {
		o.WriteBurst = 5
	}
	if o.ReadBurst <= 0 {
		o.ReadBurst = 10
	}
	o.ReadBurst = max(o.ReadBurst, 2)
	if o.OutageAfter <= 0 {
		o.OutageAfter = 3
	}
	if o.MinBackoff <= 0 {
		o.MinBackoff = 100 * time.Millisecond
	}
	if o.MaxBackoff <= 0 {
		o.MaxBackoff = 2 * time.Second
	}
	for o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return o
}

package stand

import (
	"crypto/tls"
	"time"

	"github.com/jonboulle/clockwork"
)

// StoreOptions are the properties of a Store. The zero value is a store
// without rate limits that answers in 2 ms.
type StoreOptions struct {
	// ResponseTime is the time an answer takes: 0 for 2 ms, negative for none.
	ResponseTime time.Duration
	// WritesPerSecond and ReadsPerSecond limit the accepted rates; calls beyond
	// them fail with ResourceExhausted. 0 is no limit.
	WritesPerSecond, ReadsPerSecond float64
	// History is how many events watches can ask for, 0 for 10,000. Older ones
	// are compacted.
	History int
	// TLS serves with TLS, nil without.
	TLS *tls.Config
	// Clock drives lease expiry, nil for the real one.
	Clock clockwork.Clock
}

// maxValue is the platform's limit for one value.
const maxValue = 1 << 20

func (o StoreOptions) withDefaults() StoreOptions {
	switch {
	case o.ResponseTime == 0:
		o.ResponseTime = 2 * time.Millisecond
	case o.ResponseTime < 0:
		o.ResponseTime = 0
	}
	if o.History <= 0 {
		o.History = 10000
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return o
}

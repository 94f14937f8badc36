package enrol

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// sleepAround returns after a random time between mean/2 and 3 mean/2, so that agents do not
// act in step, or when ctx ends.
func sleepAround(ctx context.Context, clock clockwork.Clock, mean time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(mean/2 + rand.N(mean)):
	}
}

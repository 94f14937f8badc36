package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}

// jitterAround returns a random time between d/2 and 3d/2, of mean d, so that agents do
// not act in step.
func jitterAround(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// jitterUpTo returns a random time between d/2 and d.
func jitterUpTo(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

package timing

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Sleep returns after d or when ctx ends.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}

// JitterAround returns a random time between d/2 and 3d/2, of mean d, so that agents do
// not act in step. d must be positive.
func JitterAround(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// JitterUpTo returns a random time between d/2 and d. d must be at least 2 ns.
func JitterUpTo(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

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

// around returns a random time of mean d, so that agents don't act together.
func around(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// within returns a random time between half of d and d.
func within(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

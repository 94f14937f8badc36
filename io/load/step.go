package load

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// step is one action of a fault at a time of a policy's load.
type step struct {
	at time.Duration
	do func(context.Context) error
}

// steps are the actions that are still to come, in order of time.
type steps []step

func (s steps) sorted() steps {
	slices.SortStableFunc(s, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return s
}

// run takes the steps due from a time of load until d later, each at its time,
// and returns those that remain. A step that takes long delays the later ones.
func (s steps) run(ctx context.Context, from, d time.Duration) (steps, error) {
	start := time.Now()
	for len(s) > 0 && s[0].at < from+d {
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-time.After(time.Until(start.Add(s[0].at - from))):
		}
		if err := s[0].do(ctx); err != nil {
			return s, err
		}
		s = s[1:]
	}
	return s, nil
}

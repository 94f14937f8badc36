package ring

import "context"

// Ring is a bounded first-in first-out buffer. Any number of goroutines may
// use it.
type Ring[T any] struct {
	c chan T
}

// New returns a ring that holds n values at most.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{c: make(chan T, n)}
}

// Put adds v and reports whether there was room.
func (r *Ring[T]) Put(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		return false
	}
}

// Take removes the oldest value, waiting for one until ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.c:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel to receive from in a select with other events.
func (r *Ring[T]) C() <-chan T { return r.c }

// Len returns the number of values waiting.
func (r *Ring[T]) Len() int { return len(r.c) }

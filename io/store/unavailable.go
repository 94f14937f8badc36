package store

import (
	"context"
	"fmt"
)

// Unavailable returns the error of an operation that the store did not answer.
func Unavailable(ctx context.Context, op string, err error) error {
	return fmt.Errorf("store: %s: %w: %w", op, ErrUnavailable, Cause(ctx, err))
}

// Cause adds the end of the caller's context to an error, which transports
// report as a status only.
func Cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	return err
}

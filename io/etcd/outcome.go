package etcd

import (
	"context"
	"fmt"
	"trefoilthread/io/store"

	"connectrpc.com/connect"
)

// refused reports whether the API defines the status of err as a refusal of
// the call before it had an effect. Unavailable, DeadlineExceeded, Canceled,
// Internal and Unknown are none: a server answers them also when it lost track
// of a write, for example when its leader changed.
func refused(err error) bool {
	if !connect.IsWireError(err) {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists,
		connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeResourceExhausted,
		connect.CodeFailedPrecondition, connect.CodeOutOfRange, connect.CodeUnimplemented:
		return true
	}
	return false
}

// answered reports whether err is an answer of the server about the call and
// not a sign that the endpoint is out of order.
func answered(err error) bool {
	return refused(err) && connect.CodeOf(err) != connect.CodeResourceExhausted
}

// readError returns the error of a call that changes nothing.
func readError(ctx context.Context, op string, err error) error {
	if answered(err) {
		return fmt.Errorf("store: %s: %w", op, err)
	}
	return store.Unavailable(ctx, op, err)
}

// writeError returns the error of a write; sent tells whether the request may
// have reached the server.
func writeError(ctx context.Context, op string, sent bool, err error) error {
	switch {
	case answered(err):
		if connect.CodeOf(err) == connect.CodeNotFound {
			return fmt.Errorf("store: %s: %w: %w", op, store.ErrLeaseGone, err)
		}
		return fmt.Errorf("store: %s: %w", op, err)
	case sent && !refused(err):
		return fmt.Errorf("store: %s: %w: %w", op, store.ErrUnknown, store.Cause(ctx, err))
	}
	return store.Unavailable(ctx, op, err)
}

package etcd

import (
	"context"
	"sync/atomic"
)

// attempt records whether the transport began to send one request.
type attempt struct {
	began atomic.Bool
}

type attemptKey struct{}

func withAttempt(ctx context.Context, a *attempt) context.Context {
	return context.WithValue(ctx, attemptKey{}, a)
}

// attemptOf returns the attempt of a request, or one that nobody looks at.
func attemptOf(ctx context.Context) *attempt {
	if a, ok := ctx.Value(attemptKey{}).(*attempt); ok {
		return a
	}
	return &attempt{}
}

package store

import (
	"bytes"
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Budgeted returns st limited by b, with shared reads. A call beyond the
// budget fails at once with ErrBudget, one during the back-off of an outage
// with ErrUnavailable; neither is sent.
func Budgeted(st Store, b *Budget) Store {
	shared := &flights{}
	return Store{
		Get: func(ctx context.Context, key string) (Item, error) {
			if err := ctx.Err(); err != nil {
				return Item{}, Unavailable(ctx, "get "+key, err)
			}
			it, err := shared.do(ctx, key, func() (bool, error) {
				return b.admit(b.reads, 1)
			}, func(trial bool) (Item, error) {
				// The call serves several readers, so it outlives the first one;
				// the adapter bounds its time.
				it, err := st.Get(context.WithoutCancel(ctx), key)
				b.report(trial, err)
				return it, err
			})
			// Each reader gets its own copy.
			it.Value = bytes.Clone(it.Value)
			return it, err
		},
		CompareAndSwap: func(ctx context.Context, key string, revision int64, value []byte, lease LeaseID) (int64, error) {
			return limited(b, b.writes, func() (int64, error) {
				return st.CompareAndSwap(ctx, key, revision, value, lease)
			})
		},
		Watch: func(ctx context.Context, prefix string, fn func(Event)) error {
			return limitedWatch(ctx, st, b, prefix, fn)
		},
		Grant: func(ctx context.Context, ttl time.Duration) (LeaseID, error) {
			return limited(b, b.writes, func() (LeaseID, error) { return st.Grant(ctx, ttl) })
		},
		Renew: func(ctx context.Context, id LeaseID) (time.Duration, error) {
			return limited(b, b.writes, func() (time.Duration, error) { return st.Renew(ctx, id) })
		},
		Revoke: func(ctx context.Context, id LeaseID) error {
			_, err := limited(b, b.writes, func() (struct{}, error) { return struct{}{}, st.Revoke(ctx, id) })
			return err
		},
	}
}

// limited makes one call within the budget.
func limited[T any](b *Budget, l *rate.Limiter, call func() (T, error)) (T, error) {
	trial, err := b.admit(l, 1)
	if err != nil {
		var none T
		return none, err
	}
	out, err := call()
	b.report(trial, err)
	return out, err
}

// limitedWatch counts a watch as two reads: its first range, and the pending
// watch. A watch is no trial, because it can be pending without any sign of
// life; it gives the trial back, and the next call after the back-off is one.
func limitedWatch(ctx context.Context, st Store, b *Budget, prefix string, fn func(Event)) error {
	trial, err := b.admit(b.reads, 2)
	if err != nil {
		return err
	}
	if trial {
		b.postpone()
	}
	b.pending(1)
	defer b.pending(-1)
	alive := false
	err = st.Watch(ctx, prefix, func(ev Event) {
		if !alive {
			alive = true
			b.report(false, nil)
		}
		fn(ev)
	})
	b.report(false, err)
	return err
}

package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"trefoilthread/io/etcd"
	"trefoilthread/io/stand"
	"trefoilthread/io/store"
)

// TestMain guards against goroutines that stay after streams and flights end.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startStore(t *testing.T, o stand.StoreOptions) *stand.Store {
	t.Helper()
	s := stand.NewStore(o)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// client returns an adapter for stores, in this order of preference.
func client(t *testing.T, o etcd.Options, stores ...*stand.Store) store.Store {
	t.Helper()
	var urls []string
	for _, s := range stores {
		urls = append(urls, "http://"+s.Addr())
	}
	e, err := etcd.New(urls, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e.Store()
}

// Guards against reporting a write that took effect as failed, and against
// reporting one that was never sent as unknown, which would block its key.
func TestOutcomeOfWrites(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	srv := startStore(t, stand.StoreOptions{ResponseTime: -1})
	st := client(t, etcd.Options{}, srv)

	rev, err := st.CompareAndSwap(ctx, "a", 0, []byte("1"), 0)
	is.NoErr(err)
	_, err = st.CompareAndSwap(ctx, "a", 0, []byte("2"), 0)
	is.True(errors.Is(err, store.ErrConflict))
	_, err = st.CompareAndSwap(ctx, "a", rev, []byte("2"), 12345)
	is.True(errors.Is(err, store.ErrLeaseGone))
	_, err = st.CompareAndSwap(ctx, "a", rev, make([]byte, etcd.MaxValue+1), 0)
	is.True(err != nil && !errors.Is(err, store.ErrUnknown))

	srv.LoseAnswers(1)
	_, err = st.CompareAndSwap(ctx, "a", rev, []byte("3"), 0)
	is.True(errors.Is(err, store.ErrUnknown))
	is.Equal(srv.Counts().Lost, 1)
	_, ours, err := store.Resolve(ctx, st, "a", func(v []byte) bool { return string(v) == "3" })
	is.NoErr(err)
	is.True(ours)

	// A client without an open connection: on one that the outage breaks, a
	// write can be sent before the break is noticed, and is then unknown.
	is.NoErr(srv.SetDown(true))
	st = client(t, etcd.Options{}, srv)
	_, err = st.CompareAndSwap(ctx, "b", 0, []byte("1"), 0)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(!errors.Is(err, store.ErrUnknown))
	_, err = st.Get(ctx, "a")
	is.True(errors.Is(err, store.ErrUnavailable))
	is.NoErr(srv.SetDown(false))
	_, err = st.Get(ctx, "b")
	is.True(errors.Is(err, store.ErrNotFound))

	// A caller that gives up after its write was sent does not know either.
	srv.SetSlow(time.Minute)
	short, cancel := context.WithCancel(ctx)
	go func() {
		for srv.Counts().Txns < 5 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = st.CompareAndSwap(short, "b", 0, []byte("1"), 0)
	is.True(errors.Is(err, store.ErrUnknown))
	is.True(errors.Is(err, context.Canceled))
	gone, cancel := context.WithCancel(ctx)
	cancel()
	_, err = st.CompareAndSwap(gone, "b", 0, []byte("1"), 0)
	is.True(errors.Is(err, store.ErrUnavailable)) // nothing was sent
}

// Guards against a single dead endpoint taking the store away, and against
// writing twice when the first endpoint fails after it got the request.
func TestFailover(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	first, second := startStore(t, stand.StoreOptions{}), startStore(t, stand.StoreOptions{})
	st := client(t, etcd.Options{}, first, second)
	is.NoErr(first.SetDown(true))
	_, err := st.CompareAndSwap(ctx, "a", 0, []byte("1"), 0)
	is.NoErr(err)
	is.Equal(second.Counts().Txns, 1)
	is.NoErr(first.SetDown(false))
	second.LoseAnswers(1)
	_, err = st.CompareAndSwap(ctx, "b", 0, []byte("1"), 0)
	is.True(errors.Is(err, store.ErrUnknown))
	is.Equal(first.Counts().Txns, 0)
}

// Guards against events that are missed, repeated or out of order when a watch
// breaks and is made again while writes go on, and against a compacted watch
// that goes on with a gap.
func TestWatchOrderOverReconnects(t *testing.T) {
	is := is.New(t)
	srv := startStore(t, stand.StoreOptions{ResponseTime: -1})
	st := client(t, etcd.Options{}, srv)
	const writes = 150
	ctx, cancel := context.WithCancel(t.Context())
	seen := make(chan struct{})
	go func() {
		defer close(seen)
		var last int64
		next := 0
		for ctx.Err() == nil {
			first := true
			err := st.Watch(ctx, "k/", func(ev store.Event) {
				if ev.Synced {
					return
				}
				n := 0
				if _, err := fmt.Sscanf(string(ev.Item.Value), "%d", &n); err != nil {
					t.Errorf("value %q: %v", ev.Item.Value, err)
				}
				// The first event after a reconnect is the present state.
				if !first && (n != next || ev.Item.Revision <= last) {
					t.Errorf("event %d at revision %d, expected %d after %d", n, ev.Item.Revision, next, last)
				}
				first, last, next = false, ev.Item.Revision, n+1
				if n == writes-1 {
					cancel()
				}
			})
			if err == nil {
				t.Error("watch ended without a reason")
			}
		}
	}()
	var rev int64
	for i := 0; i < writes; {
		if i%40 == 20 {
			is.NoErr(srv.SetDown(true))
			is.NoErr(srv.SetDown(false))
		}
		r, err := st.CompareAndSwap(ctx, "k/a", rev, []byte(fmt.Sprint(i)), 0)
		if err != nil && ctx.Err() == nil {
			it, ours, err := store.Resolve(ctx, st, "k/a", func(v []byte) bool { return string(v) == fmt.Sprint(i) })
			is.NoErr(err)
			if !ours {
				continue
			}
			r = it.Revision
		}
		rev = r
		i++
	}
	<-seen
	is.True(srv.Counts().Watches >= 2)
}

// Guards against keys of a dead holder that stay, which would keep others from
// taking its place, whether its lease runs out or is ended.
func TestLeaseExpiryDeletesKeys(t *testing.T) {
	clock := clockwork.NewFakeClock()
	srv := startStore(t, stand.StoreOptions{Clock: clock})
	st := client(t, etcd.Options{}, srv)
	for name, expire := range map[string]func(store.LeaseID) error{
		"run out": func(store.LeaseID) error {
			// The timer of the lease is set.
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				return err
			}
			clock.Advance(10 * time.Second)
			return nil
		},
		"ended": func(id store.LeaseID) error {
			if !srv.ExpireLease(int64(id)) {
				return errors.New("no lease to expire")
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			id, err := st.Grant(ctx, 9500*time.Millisecond)
			is.NoErr(err)
			_, err = st.CompareAndSwap(ctx, "dc/a/leader", 0, []byte("x"), id)
			is.NoErr(err)
			ttl, err := st.Renew(ctx, id)
			is.NoErr(err)
			is.Equal(ttl, 10*time.Second)
			var events []store.Event
			err = st.Watch(ctx, "dc/", func(ev store.Event) {
				if ev.Synced {
					return
				}
				events = append(events, ev)
				if ev.Deleted {
					cancel()
				} else if err := expire(id); err != nil {
					t.Error(err)
				}
			})
			is.True(errors.Is(err, context.Canceled))
			is.Equal(len(events), 2)
			is.Equal(events[0].Item.Lease, id)
			is.Equal(events[1].Item.Key, "dc/a/leader")
			_, err = st.Renew(t.Context(), id)
			is.True(errors.Is(err, store.ErrLeaseGone))
			is.True(errors.Is(st.Revoke(t.Context(), id), store.ErrLeaseGone))
			_, err = st.Get(t.Context(), "dc/a/leader")
			is.True(errors.Is(err, store.ErrNotFound))
		})
	}
}

// Guards against a write that the store refused because of its rate being
// treated as if it might have taken effect.
func TestRefusedWriteIsNotUnknown(t *testing.T) {
	is := is.New(t)
	st := client(t, etcd.Options{}, startStore(t, stand.StoreOptions{WritesPerSecond: 0.001}))
	_, err := st.CompareAndSwap(t.Context(), "a", 0, nil, 0)
	is.NoErr(err)
	_, err = st.CompareAndSwap(t.Context(), "b", 0, nil, 0)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(!errors.Is(err, store.ErrUnknown))
	_, err = st.Get(t.Context(), "b")
	is.True(errors.Is(err, store.ErrNotFound))
}

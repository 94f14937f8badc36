package enrol_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/core/relay"
	"trefoilthread/io/enrol"
	"trefoilthread/io/logs"
	"trefoilthread/io/store"
)

// Guards against a record that says that the store has had it for longer than is so: its agent
// would grant tokens of quotas right after a restart, while the owner before it still does.
// A stale listing must not tell that either. Also guards against a second write at a restart,
// which wakes the watches of all agents.
func TestRecordTellsSinceWhenTheStoreHasIt(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var stored store.Item
	writes := 0
	record := enrol.Record{Address: "10.0.0.1:7000", DataCentre: "kl", Target: "t1", Service: "bookings", Slots: 1, Born: 1}
	st := store.Store{
		Get: func(context.Context, string) (store.Item, error) {
			if stored.Revision == 0 {
				return store.Item{}, store.ErrNotFound
			}
			return stored, nil
		},
		CompareAndSwap: func(_ context.Context, key string, rev int64, value []byte, _ store.LeaseID) (int64, error) {
			is.Equal(rev, stored.Revision)
			writes++
			stored = store.Item{Key: key, Value: value, Revision: int64(writes)}
			return stored.Revision, nil
		},
	}
	start := func() *enrol.Registration {
		r := enrol.New(enrol.Options{
			Self: "self", Log: logs.Discard(), Clock: clock, Store: st, Value: func() enrol.Record { return record },
			OnPrevious: func(enrol.Record) {},
		})
		record.Boot++              // those before are no longer used
		clock.Advance(time.Minute) // until the target starts
		return r
	}
	since := func() time.Time {
		rec, err := enrol.Decode(stored.Key, stored.Value)
		is.NoErr(err)
		return time.UnixMilli(rec.Since)
	}
	write := func(r *enrol.Registration) {
		is.True(r.Read(t.Context()))
		is.NoErr(r.Write(t.Context()))
	}

	a := start()
	write(a)
	first, stale := since(), relay.Item{Key: stored.Key, Value: stored.Value, Revision: stored.Revision}
	is.True(first.Equal(clock.Now().Truncate(time.Millisecond)))

	write(start()) // a restart
	is.True(since().Equal(first))
	is.Equal(writes, 2)

	b := start()
	write(b)
	key := stored.Key
	stored = store.Item{}
	b.Learn(relay.Item{Key: key, Revision: int64(writes), Deleted: true})
	clock.Advance(time.Minute)
	write(b)
	second := since()
	is.True(second.Equal(clock.Now().Truncate(time.Millisecond)))

	c := start()
	c.Learn(stale)
	write(c)
	is.True(since().Equal(second))

	d := start()
	d.Learn(relay.Item{Key: stored.Key, Value: stored.Value, Revision: stored.Revision})
	before := writes
	is.True(d.Claim(t.Context(), record, func(*enrol.Record) bool { return true }))
	write(d)
	is.True(since().Equal(second))
	is.Equal(writes, before+1)
}

// Guards against an agent that stays without a valid record, unknown to agents that start later
// and without quotas of its own, after another writer has replaced it.
func TestInvalidRecordIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	stored := store.Item{Value: []byte("?"), Revision: 1} // of an earlier start
	st := store.Store{
		Get: func(context.Context, string) (store.Item, error) { return stored, nil },
		CompareAndSwap: func(_ context.Context, key string, rev int64, value []byte, _ store.LeaseID) (int64, error) {
			if rev != stored.Revision {
				return 0, store.ErrConflict
			}
			stored = store.Item{Key: key, Value: value, Revision: rev + 1}
			return stored.Revision, nil
		},
	}
	record := enrol.Record{Address: "10.0.0.1:7000", DataCentre: "kl", Target: "t1", Service: "bookings", Slots: 1, Born: 1, Boot: 1}
	r := enrol.New(enrol.Options{
		Self: "self", Log: logs.Discard(), Clock: clockwork.NewFakeClock(), Store: st, Value: func() enrol.Record { return record },
		OnPrevious: func(enrol.Record) {},
	})
	is.True(r.Read(t.Context()))
	is.NoErr(r.Write(t.Context()))
	stored = store.Item{Key: stored.Key, Value: []byte("?"), Revision: stored.Revision + 1}
	r.Learn(relay.Item{Key: stored.Key, Value: stored.Value, Revision: stored.Revision})
	is.True(errors.Is(r.Write(t.Context()), store.ErrConflict)) // the revision is read before the next try
	is.NoErr(r.Write(t.Context()))
	_, err := enrol.Decode(stored.Key, stored.Value)
	is.NoErr(err)
}

package agent_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/beat"
	"trefoilthread/core/relay"
	"trefoilthread/io/agent"
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
	start := func() *agent.Agent {
		a := agent.New(agent.Options{
			Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000"}, Wire: flakyWire(),
			Log: logs.Discard(), Clock: clock, Scope: tally.NoopScope, Store: st,
		})
		clock.Advance(time.Minute) // until the target starts
		agent.AnnounceTarget(a, beat.Announcement{ID: "t1", Born: 1, Sequence: 1, Service: "bookings", Address: "10.0.0.1:8000", Slots: 1})
		return a
	}
	since := func() time.Time {
		at, err := agent.RecordSince(stored.Key, stored.Value)
		is.NoErr(err)
		return at
	}

	a := start()
	is.NoErr(agent.WriteRecord(t.Context(), a))
	first, stale := since(), relay.Item{Key: stored.Key, Value: stored.Value, Revision: stored.Revision}
	is.True(first.Equal(clock.Now().Truncate(time.Millisecond)))

	is.NoErr(agent.WriteRecord(t.Context(), start())) // a restart
	is.True(since().Equal(first))
	is.Equal(writes, 2)

	b := start()
	is.NoErr(agent.WriteRecord(t.Context(), b))
	key := stored.Key
	stored = store.Item{}
	agent.ApplyItems(b, []relay.Item{{Key: key, Revision: int64(writes), Deleted: true}})
	clock.Advance(time.Minute)
	is.NoErr(agent.WriteRecord(t.Context(), b))
	second := since()
	is.True(second.Equal(clock.Now().Truncate(time.Millisecond)))

	c := start()
	agent.ApplyItems(c, []relay.Item{stale})
	is.NoErr(agent.WriteRecord(t.Context(), c))
	is.True(since().Equal(second))

	d := start()
	agent.ApplyItems(d, []relay.Item{{Key: stored.Key, Value: stored.Value, Revision: stored.Revision}})
	before := writes
	is.NoErr(agent.ClaimRecord(t.Context(), d))
	is.NoErr(agent.WriteRecord(t.Context(), d))
	is.True(since().Equal(second))
	is.Equal(writes, before+1)
}

package mirror_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/io/mesh"
	"trefoilthread/io/store"
)

const (
	callTime = 300 * time.Millisecond // of each call of the store or query
	slack    = 2 * time.Millisecond   // ages are rounded between agents
)

// slowStore is a store whose calls take callTime; err is that of calls for changes.
func slowStore(clock *clockwork.FakeClock, err *error) store.Store {
	return store.Store{
		List: func(context.Context, string, bool) ([]store.Item, int64, error) {
			clock.Advance(callTime)
			return nil, 5, nil
		},
		Changes: func(_ context.Context, _ string, after int64, _ time.Duration) ([]store.Event, int64, error) {
			clock.Advance(callTime)
			return nil, after, *err
		},
	}
}

// Guards against knowledge that seems younger than it is: by answers that waited on their
// way, by time in which the machine was suspended, or by stale reads and failures.
func TestKnowledgeIsAsOldAsItsCall(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var failure error
	m := newMirror(slowStore(clock, &failure), clock)
	is.Equal(m.fresh.StoreAge(), time.Hour)
	m.Discover(t.Context())
	is.Equal(m.fresh.StoreAge(), time.Hour) // a stale read
	m.ReadStore(t.Context())                // lists
	is.Equal(m.fresh.StoreAge(), callTime)
	m.ReadStore(t.Context()) // the call could wait for changes
	is.Equal(m.fresh.StoreAge(), callTime)
	failure = store.ErrUnavailable
	m.ReadStore(t.Context())
	is.Equal(m.fresh.StoreAge(), 2*callTime)
	m.suspended += 7 * time.Second // the clock of the mirror stands still meanwhile
	is.Equal(m.fresh.StoreAge(), 2*callTime+7*time.Second)
	failure = store.ErrRestored
	m.ReadStore(t.Context())
	is.Equal(m.fresh.StoreAge(), time.Hour)
	m.ReadStore(t.Context()) // lists again
	is.Equal(m.fresh.StoreAge(), callTime)
}

// Guards against an agent that takes the news of another one for younger than that knows them
// to be, and against ages that grow by the time for which the other one held the query.
func TestKnowledgeOfOtherAgents(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var failure error
	other := newMirror(slowStore(clock, &failure), clock)
	m := newMirror(store.Store{}, clock)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	query := func(held time.Duration) {
		m.query(t.Context(), "other", func() *mesh.News {
			clock.Advance(callTime) // on its way
			news := other.Serve(ended, new(mesh.Query))
			news.HeldMs = held.Milliseconds()
			clock.Advance(held)
			return news
		})
	}
	query(0)
	is.Equal(m.fresh.StoreAge(), time.Hour) // the other one knows nothing
	other.ReadStore(t.Context())
	clock.Advance(time.Second)
	query(0)
	is.True(m.fresh.StoreAge() >= other.fresh.StoreAge())
	is.True(m.fresh.StoreAge() <= other.fresh.StoreAge()+callTime+slack)
	other.suspended += 4 * time.Second
	other.ReadStore(t.Context())
	query(400 * time.Millisecond)
	is.True(m.fresh.StoreAge() >= callTime)
	is.True(m.fresh.StoreAge() <= 2*callTime+400*time.Millisecond+slack)
}

package mirror_test

import (
	"context"
	"math"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/relay"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
	"trefoilthread/io/mirror"
	"trefoilthread/io/store"
)

// testMirror is a mirror that knows no other agent.
type testMirror struct {
	*mirror.Mirror
	fresh     *mirror.Freshness
	suspended time.Duration // time that only the clock that counts suspension has seen
	answer    func() (*mesh.News, error)
}

func newMirror(st store.Store, clock clockwork.Clock) *testMirror {
	return newMirrorWith(st, clock, func(int64, func(string) bool) {})
}

// newMirrorWith returns a mirror as newMirror does, with OnListed.
func newMirrorWith(st store.Store, clock clockwork.Clock, onListed func(int64, func(string) bool)) *testMirror {
	m, start := new(testMirror), clock.Now()
	m.fresh = mirror.NewFreshness(0, func() time.Duration { return clock.Since(start) + m.suspended }, tally.NoopScope)
	m.Mirror = mirror.New(mirror.Options{
		Store: st, Clock: clock, Log: logs.Discard(), Self: "self", Prefix: "nodes/", Fresh: m.fresh,
		Accepts:      func(string, []byte) bool { return true },
		Wants:        func(string) bool { return true },
		SendQuery:    func(context.Context, string, *mesh.Query) (*mesh.News, error) { return m.answer() },
		OnChange:     func([]relay.Item) {},
		OnDiscovered: func(context.Context, bool) {},
		OnListed:     onListed,
	})
	return m
}

// query sends a query to another agent, with what that does to answer.
func (m *testMirror) query(ctx context.Context, node string, answer func() *mesh.News) {
	m.answer = func() (*mesh.News, error) { return answer(), nil }
	m.QueryAgent(ctx, node)
}

// Guards against agents that keep asking one which the store has turned away.
func TestQueryTellsOfALostStore(t *testing.T) {
	is := is.New(t)
	var failure error
	m := newMirror(store.Store{
		List: func(context.Context, string, bool) ([]store.Item, int64, error) { return nil, 5, nil },
		Changes: func(_ context.Context, _ string, after int64, _ time.Duration) ([]store.Event, int64, error) {
			return nil, after, failure
		},
	}, clockwork.NewFakeClock())
	m.ReadStore(t.Context())
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!m.Serve(ended, &mesh.Query{Revision: 5}).Lost)
	failure = store.ErrUnavailable
	m.ReadStore(t.Context())
	is.True(m.Serve(t.Context(), &mesh.Query{Revision: 5}).Lost)
	failure = nil
	m.ReadStore(t.Context())
	is.True(!m.Serve(ended, &mesh.Query{Revision: 5}).Lost)
}

// Guards against an agent that is kept from asking others for 1.5 s at a time, because each
// of its calls waits at a store that doesn't answer it.
func TestFirstStoreCallOfASeriesDoesNotWait(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var waits []bool
	var failure error
	m := newMirror(store.Store{
		List: func(context.Context, string, bool) ([]store.Item, int64, error) { return nil, 5, nil },
		Changes: func(_ context.Context, _ string, after int64, wait time.Duration) ([]store.Event, int64, error) {
			waits = append(waits, wait > 0)
			return nil, after, failure
		},
	}, clock)
	read := func(later time.Duration) bool {
		clock.Advance(later)
		m.ReadStore(t.Context())
		return waits[len(waits)-1]
	}
	m.ReadStore(t.Context()) // lists
	is.True(read(200 * time.Millisecond))
	failure = store.ErrUnavailable
	is.True(read(200 * time.Millisecond))
	is.True(!read(1500 * time.Millisecond))
	failure = nil
	is.True(!read(2 * time.Second))
	is.True(read(200 * time.Millisecond))
}

// Guards against an agent that ends because it looks for its record in a listing while its
// first read of the configuration enters that in the same copy.
func TestListedKeysAreReadSafely(t *testing.T) {
	const reads = 20_000
	m := newMirrorWith(store.Store{
		List: func(context.Context, string, bool) ([]store.Item, int64, error) { return nil, 5, nil },
	}, clockwork.NewFakeClock(), func(_ int64, has func(string) bool) {
		for range reads {
			has("a")
		}
	})
	var held sync.WaitGroup
	held.Go(func() {
		for i := range reads {
			m.Hold(store.Item{Key: strconv.Itoa(i), Revision: 1, Value: []byte("x")})
		}
	})
	m.ReadStore(t.Context())
	held.Wait()
}

// Guards against an agent that was paused and takes, and tells others, an answer from before
// its pause for a present one.
func TestAnswersFromBeforeAPauseAreOld(t *testing.T) {
	const pause = 5 * time.Second
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := newMirror(store.Store{
		List: func(context.Context, string, bool) ([]store.Item, int64, error) { return nil, 5, nil },
		Changes: func(_ context.Context, _ string, after int64, wait time.Duration) ([]store.Event, int64, error) {
			clock.Advance(wait + pause)
			return nil, after, nil
		},
	}, clock)
	m.ReadStore(t.Context())
	is.Equal(m.Age(), time.Duration(0))
	m.ReadStore(t.Context())
	is.True(m.Age() >= pause)
}

// Guards against an agent whose own call waits at a store that doesn't answer it, because
// another agent has answered lately.
func TestAnswersOfAgentsBeginNoSeries(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var waited time.Duration
	m := newMirror(store.Store{
		List: func(context.Context, string, bool) ([]store.Item, int64, error) { return nil, 5, nil },
		Changes: func(_ context.Context, _ string, after int64, wait time.Duration) ([]store.Event, int64, error) {
			waited = wait
			return nil, after, nil
		},
	}, clock)
	m.ReadStore(t.Context())
	clock.Advance(2 * time.Second)
	m.query(t.Context(), "other", func() *mesh.News { return &mesh.News{Revision: 5} })
	m.ReadStore(t.Context())
	is.Equal(waited, time.Duration(0))
}

// Guards against an agent that sends a query again and again, until its time limit, to one
// that won't answer it, and only then reads the store.
func TestRefusedQueryIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	m := newMirror(store.Store{}, clockwork.NewFakeClock())
	m.SetNodes([]relay.Peer{{Name: "a", Link: 1}, {Name: "b", Link: 1}})
	asked := 0
	m.answer = func() (*mesh.News, error) {
		asked++
		return nil, errors.Wrap(mesh.ErrRefused, "peer")
	}
	_, err := m.Ask(t.Context(), "key", 0, time.Second)
	is.True(errors.Is(err, mesh.ErrRefused))
	is.Equal(asked, 1)
}

// Guards against an agent that takes its copy for current for ever, as it has asked one that
// has learned nothing yet either: the age of that copy is the longest time that there is,
// and the answer was late.
func TestCopyOfUnknownAgeIsOld(t *testing.T) {
	const late = time.Second
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m, other := newMirror(store.Store{}, clock), newMirror(store.Store{}, clock)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	m.query(t.Context(), "other", func() *mesh.News {
		clock.Advance(late)
		news := other.Serve(ended, new(mesh.Query))
		is.True(news.AgeMs <= time.Hour.Milliseconds())
		news.AgeMs = math.MaxInt64 / int64(time.Millisecond) // as agents without the bound tell it
		return news
	})
	is.True(m.Age() >= time.Hour)
}

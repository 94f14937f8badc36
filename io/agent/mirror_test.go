package agent_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/io/agent"
	"trefoilthread/io/mesh"
	"trefoilthread/io/store"
)

// Guards against agents that keep asking one which the store has turned away.
func TestQueryTellsOfALostStore(t *testing.T) {
	is := is.New(t)
	var failure error
	m := agent.NewMirror(store.Store{
		List: func(context.Context, string, bool) ([]store.Item, int64, error) { return nil, 5, nil },
		Changes: func(_ context.Context, _ string, after int64, _ time.Duration) ([]store.Event, int64, error) {
			return nil, after, failure
		},
	}, clockwork.NewFakeClock())
	m.ReadStore(t.Context())
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!m.ServeQuery(ended, &mesh.Query{Revision: 5}).Lost)
	failure = store.ErrUnavailable
	m.ReadStore(t.Context())
	is.True(m.ServeQuery(t.Context(), &mesh.Query{Revision: 5}).Lost)
	failure = nil
	m.ReadStore(t.Context())
	is.True(!m.ServeQuery(ended, &mesh.Query{Revision: 5}).Lost)
}

package mirror

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/relay"
	"trefoilthread/io/mesh"
	"trefoilthread/io/store"
	"trefoilthread/io/timing"
)

// tellRetryDelay is the delay before an agent is asked again.
const tellRetryDelay = 100 * time.Millisecond

// errNotTold means that the agent that was asked for a value does not have it.
var errNotTold = errors.New("agent has no such value")

// Hold makes the copy have an item that was read from the store, so that it can be told.
func (m *Mirror) Hold(it store.Item) {
	kept, _ := m.prepareItem(relay.Item{Key: it.Key, Value: it.Value, Revision: it.Revision})
	if kept.Omitted {
		return // nobody asks this agent for it
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.copy.Get(it.Key); ok && old.Omitted && old.Revision == it.Revision {
		m.copy.Fill(kept)
	} else if len(m.copy.Apply([]relay.Item{kept}, 0)) == 0 {
		return
	}
	m.wakeQueries()
}

// Ask asks another agent for the state of a key later than a revision. It fails if this
// agent is to read the store itself, or if the other one refuses the query or does not have
// the value within the timeout.
func (m *Mirror) Ask(ctx context.Context, key string, after int64, timeout time.Duration) (store.Item, error) {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	node := m.sources.Teller(now)
	if _, ok := m.copy.Get(key); node == "" && !ok {
		node = m.sources.OtherTeller(now) // the store may hold a value that isn't accepted
	}
	m.mu.Unlock()
	if node == "" {
		return store.Item{}, errNotTold
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		it, err := m.askOnce(ctx, node, key, after)
		if err == nil || ctx.Err() != nil || errors.Is(err, mesh.ErrRefused) {
			return it, err
		}
		timing.Sleep(ctx, m.opts.Clock, tellRetryDelay)
	}
}

// askOnce asks an agent for the state of a key later than a revision.
func (m *Mirror) askOnce(ctx context.Context, node, key string, after int64) (store.Item, error) {
	news, err := m.opts.SendQuery(ctx, node, &mesh.Query{Key: key, Revision: after})
	if err != nil {
		return store.Item{}, err
	}
	for _, it := range news.Items {
		if it.Key != key || it.Revision <= after {
			continue
		}
		if it.Packed {
			it.Value, err = decompress(it.Value)
		}
		if !it.Omitted {
			return store.Item{Key: key, Value: it.Value, Revision: it.Revision}, err
		}
	}
	return store.Item{}, errors.Wrapf(errNotTold, "agent %s, key %s after revision %d", node, key, after)
}

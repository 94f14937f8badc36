package mirror

import (
	"context"
	"time"

	"trefoilthread/core/relay"
	"trefoilthread/io/mesh"
)

// holdTime is how long a query of another agent waits for changes.
const holdTime = 400 * time.Millisecond

// Serve answers a query of another agent, at once if there are changes or this agent
// has lost the store, else after holdTime.
func (m *Mirror) Serve(ctx context.Context, q *mesh.Query) *mesh.News {
	ctx, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()
	came := m.opts.Fresh.elapsed()
	for {
		held := m.opts.Fresh.elapsed() - came
		m.mu.Lock()
		news := m.answer(q)
		changed := m.changed
		m.mu.Unlock()
		news.HeldMs = held.Milliseconds()
		if len(news.Items) > 0 || news.Lost && !q.Wait || ctx.Err() != nil {
			return news
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// answer returns what the copy has for a query, with the lock held.
func (m *Mirror) answer(q *mesh.Query) *mesh.News {
	if q.Key == "" {
		return m.newsSince(q.Revision)
	}
	it, ok := m.copy.Get(q.Key)
	if !ok || it.Revision <= q.Revision || it.Deleted || it.Omitted {
		return &mesh.News{}
	}
	return &mesh.News{Items: []mesh.Item{toMeshItem(it)}}
}

// toMeshItem converts an item of the copy.
func toMeshItem(it relay.Item) mesh.Item {
	return mesh.Item{
		Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted, Packed: it.Packed, Omitted: it.Omitted,
	}
}

// newsSince returns the changes in the copy after a revision, with the lock held.
func (m *Mirror) newsSince(after int64) *mesh.News {
	now := m.opts.Clock.Now()
	news := &mesh.News{
		Revision: m.copy.Revision(), AgeMs: min(m.sources.Age(now), UnknownAge).Milliseconds(), Lost: m.sources.IsStoreLost(now),
	}
	if news.Revision == 0 {
		return news // the copy is empty
	}
	news.KnownMs = m.opts.Fresh.known()
	items, whole := m.copy.Since(after)
	news.Whole = whole
	limit := m.sources.TellLimit()
	for _, it := range items {
		if len(it.Value) > limit {
			it.Value, it.Packed, it.Omitted = nil, false, true
		}
		news.Items = append(news.Items, toMeshItem(it))
	}
	return news
}

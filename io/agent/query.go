package agent

import (
	"context"
	"time"

	"trefoilthread/io/mesh"
)

// holdTime is how long a query of another agent waits for news.
const holdTime = 400 * time.Millisecond

// serve answers a query of another agent, at once if there is news and after
// holdTime if there is none.
func (m *mirror) serve(ctx context.Context, q *mesh.Query) *mesh.News {
	ctx, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()
	for {
		m.mu.Lock()
		news := m.news(q.Revision)
		changed := m.changed
		m.mu.Unlock()
		if len(news.Items) > 0 || ctx.Err() != nil {
			return news
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// news returns what the copy has beyond a revision, with the lock held.
func (m *mirror) news(after int64) *mesh.News {
	news := &mesh.News{Revision: m.copy.Revision(), AgeMs: m.sources.Age(m.clock.Now()).Milliseconds()}
	if news.Revision == 0 {
		return news // nothing was ever read
	}
	items, whole := m.copy.Since(after)
	news.Whole = whole
	limit := m.sources.TellLimit()
	for _, it := range items {
		if len(it.Value) > limit {
			it.Value, it.Packed, it.Omitted = nil, false, true
		}
		news.Items = append(news.Items, mesh.Item{
			Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted, Packed: it.Packed, Omitted: it.Omitted,
		})
	}
	return news
}

package mirror

import (
	"context"
	"time"

	"trefoilthread/core/relay"
	"trefoilthread/io/mesh"
)

const (
	// firstQueryTimeout bounds a query while there is no copy yet: the reader may have
	// gone since the listing that named it.
	firstQueryTimeout = 450 * time.Millisecond
	// querySlack is added to holdTime for the answer to arrive.
	querySlack = 600 * time.Millisecond
)

// queryAgent queries another agent and returns the pause until the next step.
func (m *Mirror) queryAgent(ctx context.Context, from relay.Source, after int64) time.Duration {
	if m.needsList {
		after = 0
	}
	wait := holdTime + querySlack
	if m.age() > UnknownAge {
		wait = firstQueryTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.mu.Lock()
	isOutage := m.sources.IsOutage(m.opts.Clock.Now())
	m.mu.Unlock()
	began, sent := m.opts.Clock.Now(), m.opts.Fresh.elapsed()
	news, err := m.opts.SendQuery(bounded, from.Node, &mesh.Query{Revision: after, Wait: isOutage})
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		m.mu.Lock()
		m.sources.Failed(m.opts.Clock.Now(), from)
		m.mu.Unlock()
		m.opts.Log.WithError(err).WithField("node", from.Node).WithField("copyAgeMs", m.age().Milliseconds()).
			Info("agent gave no news of the store")
		return 0
	}
	items := make([]relay.Item, len(news.Items))
	for i, it := range news.Items {
		items[i] = relay.Item{
			Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted, Packed: it.Packed, Omitted: it.Omitted,
		}
	}
	if news.Whole {
		m.needsList = false
	}
	if news.Lost {
		m.mu.Lock()
		m.sources.LostStore(m.opts.Clock.Now(), from)
		m.mu.Unlock()
		m.opts.Log.WithField("node", from.Node).WithField("copyAgeMs", m.age().Milliseconds()).Info("agent has lost the store")
	}
	age := reportedAge(news) + m.lateness(began, holdTime)
	pause := m.apply(from, age, items, news.Revision, news.Whole)
	m.opts.Fresh.learnFrom(sent, news)
	return pause
}

// reportedAge returns the age of the copy from which news come. Without a bound, the age of a copy
// that was never current would overflow as more is added to it.
func reportedAge(news *mesh.News) time.Duration {
	ms := min(max(news.AgeMs, 0), UnknownAge.Milliseconds())
	return time.Duration(ms) * time.Millisecond
}

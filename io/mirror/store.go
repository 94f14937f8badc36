package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/relay"
	"trefoilthread/io/store"
)

const (
	// storeWaitTime is how long a call waits at the store for changes. It bounds the
	// time in which a store that leaves waiting calls without an answer goes unnoticed,
	// and with holdTime the age of the copies of other agents.
	storeWaitTime = 700 * time.Millisecond
	// storeSeriesGap is the longest time after an answer of the store in which the next call
	// waits for changes. Another call returns at once, so that a store that doesn't answer
	// keeps the agent from asking others for a short time only.
	storeSeriesGap = 1500 * time.Millisecond
)

// discover reads the names of the other agents and returns the pause until the next
// step. The listing may be stale, since later changes follow.
func (m *Mirror) discover(ctx context.Context) time.Duration {
	listed, rev, err := m.opts.Store.List(ctx, m.opts.Prefix, true)
	if !m.recordStoreResult(ctx, err) {
		return 0
	}
	m.apply(relay.Source{}, UnknownAge, listedItems(listed), 0, false)
	m.mu.Lock()
	pause := m.sources.Introduced(m.opts.Clock.Now())
	isAlone := m.sources.IsAlone()
	m.mu.Unlock()
	m.opts.OnListed(rev, m.has)
	m.opts.OnDiscovered(ctx, isAlone)
	return pause
}

func listedItems(listed []store.Item) []relay.Item {
	items := make([]relay.Item, len(listed))
	for i, it := range listed {
		items[i] = relay.Item{Key: it.Key, Value: it.Value, Revision: it.Revision}
	}
	return items
}

// readStore reads from the store and returns the pause until the next step.
func (m *Mirror) readStore(ctx context.Context, after int64) time.Duration {
	if m.needsList {
		return m.listStore(ctx)
	}
	var wait time.Duration
	if m.opts.Clock.Since(m.answeredAt) < storeSeriesGap {
		wait = storeWaitTime - rand.N(storeWaitTime/10) // spreads the calls of agents that started together
	}
	began, sent := m.opts.Clock.Now(), m.opts.Fresh.elapsed()
	events, rev, err := m.opts.Store.Changes(ctx, "", after, wait)
	if errors.Is(err, store.ErrRestored) {
		m.opts.Log.WithError(err).WithField("revision", after).Warn("reading all keys again")
		m.opts.Fresh.forget()
	}
	if errors.IsAny(err, store.ErrCompacted, store.ErrRestored) {
		m.needsList = true
		return 0
	}
	if !m.recordStoreResult(ctx, err) {
		return 0
	}
	items := make([]relay.Item, len(events))
	for i, ev := range events {
		items[i] = relay.Item{Key: ev.Item.Key, Value: ev.Item.Value, Revision: ev.Item.Revision, Deleted: ev.Deleted}
	}
	pause := m.apply(relay.Source{Store: true}, m.lateness(began, wait), items, rev, false)
	m.opts.Fresh.Learn(sent) // the answer may have been formed at once
	return pause
}

// lateness returns how old the answer to a call may be that began at a time and may have
// waited for a while: an agent that was paused reads answers from before its pause.
func (m *Mirror) lateness(began time.Time, wait time.Duration) time.Duration {
	return max(0, m.opts.Clock.Since(began)-wait)
}

// listStore reads all keys from the store and returns the pause until the next step.
func (m *Mirror) listStore(ctx context.Context) time.Duration {
	began, sent := m.opts.Clock.Now(), m.opts.Fresh.elapsed()
	listed, rev, err := m.opts.Store.List(ctx, "", false)
	if !m.recordStoreResult(ctx, err) {
		return 0
	}
	m.needsList = false
	m.apply(relay.Source{Store: true}, m.lateness(began, 0), listedItems(listed), rev, true)
	m.opts.Fresh.Learn(sent)
	return 0 // wait for changes at once
}

// recordStoreResult records the result of a call to the store and reports whether it
// succeeded. It logs when the store is lost or regained.
func (m *Mirror) recordStoreResult(ctx context.Context, err error) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case err == nil && m.isStoreLost:
		m.opts.Log.WithField("copyAgeMs", m.age().Milliseconds()).Info("store regained")
	case err != nil && !m.isStoreLost:
		m.opts.Log.WithError(err).WithField("copyAgeMs", m.age().Milliseconds()).Warn("store lost")
	}
	m.isStoreLost = err != nil
	if err == nil {
		m.answeredAt = m.opts.Clock.Now()
	} else {
		m.mu.Lock()
		m.sources.Failed(m.opts.Clock.Now(), relay.Source{Store: true})
		m.wakeQueries()
		m.mu.Unlock()
	}
	return err == nil
}

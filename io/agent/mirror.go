package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/relay"
	"trefoilthread/io/mesh"
	"trefoilthread/io/store"
)

const (
	// storeWaitTime is how long a call waits at the store for changes. It bounds the
	// time in which a store that leaves waiting calls without an answer goes unnoticed,
	// and with queryHoldTime the age of the copies of other agents.
	storeWaitTime = 700 * time.Millisecond
	// storeSeriesGap is the longest time after an answer of the store in which the next call
	// waits for changes. Another call returns at once, so that a store that doesn't answer
	// keeps the agent from asking others for a short time only.
	storeSeriesGap = 1500 * time.Millisecond
	// firstQueryTimeout bounds a query while there is no copy yet: the reader may have
	// gone since the listing that named it.
	firstQueryTimeout = 450 * time.Millisecond
	// querySlack is added to queryHoldTime for the answer to arrive.
	querySlack = 600 * time.Millisecond
)

// mirrorOptions configure a mirror. All fields are required.
type mirrorOptions struct {
	store store.Store
	clock clockwork.Clock
	log   log.Interface
	self  string
	// prefix is the prefix of the keys of agent records.
	prefix string
	link   float64 // of this VM, Mbit/s, 0 if unknown
	// wants reports whether the agent needs a key.
	wants func(key string) bool
	// sendQuery sends a query to another agent.
	sendQuery func(ctx context.Context, node string, q *mesh.Query) (*mesh.News, error)
	// onChange is called with changes in order of revision.
	onChange func(items []relay.Item)
	// onDiscovered is called at the start when the other agents are known; isAlone means
	// that there are none.
	onDiscovered func(ctx context.Context, isAlone bool)
	// onListed is called each time that all keys have been read, and at the start when
	// the keys of the agents have been read.
	onListed func(revision int64, has func(key string) bool)
}

// mirror keeps this agent's copy of the store's keys up to date, and answers the
// queries of others.
type mirror struct {
	mirrorOptions

	mu      sync.Mutex
	copy    *relay.Copy
	sources *relay.Sources
	changed chan struct{} // closed at the next change, or when the store is lost

	// The fields below belong to run.
	needsList   bool      // all keys have to be read again
	isStoreLost bool      // the latest call to the store failed
	answeredAt  time.Time // latest answer of the store
	source      string
}

func newMirror(o mirrorOptions) *mirror {
	return &mirror{
		mirrorOptions: o, copy: relay.NewCopy(), sources: relay.NewSources(relay.Options{Self: o.self, Link: o.link}),
		changed: make(chan struct{}), needsList: true,
	}
}

// setNodes sets the other agents as possible sources.
func (m *mirror) setNodes(peers []relay.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sources.SetNodes(peers)
}

// run keeps the copy up to date until ctx ends.
func (m *mirror) run(ctx context.Context) {
	if pause := m.discover(ctx); pause > 0 {
		sleep(ctx, m.clock, pause)
		m.discover(ctx) // other agents may have started meanwhile
	}
	for ctx.Err() == nil {
		m.mu.Lock()
		next, after := m.sources.Next(m.clock.Now()), m.copy.Revision()
		m.mu.Unlock()
		var pause time.Duration
		switch {
		case next.Store:
			pause = m.readStore(ctx, after)
		case next.Node != "":
			pause = m.queryAgent(ctx, next, after)
		default:
			pause = next.Wait
		}
		sleep(ctx, m.clock, pause)
	}
}

// discover reads the names of the other agents and returns the pause until the next
// step. The listing may be stale, since later changes follow.
func (m *mirror) discover(ctx context.Context) time.Duration {
	listed, rev, err := m.store.List(ctx, m.prefix, true)
	if !m.recordStoreResult(ctx, err) {
		return 0
	}
	m.apply(relay.Source{}, unknownAge, listedItems(listed), 0, false)
	m.mu.Lock()
	pause := m.sources.Introduced(m.clock.Now())
	isAlone := m.sources.IsAlone()
	m.mu.Unlock()
	m.onListed(rev, m.has)
	m.onDiscovered(ctx, isAlone)
	return pause
}

// unknownAge stands for the age of a copy of unknown age. It is above every age limit.
const unknownAge = time.Hour

func listedItems(listed []store.Item) []relay.Item {
	items := make([]relay.Item, len(listed))
	for i, it := range listed {
		items[i] = relay.Item{Key: it.Key, Value: it.Value, Revision: it.Revision}
	}
	return items
}

// readStore reads from the store and returns the pause until the next step.
func (m *mirror) readStore(ctx context.Context, after int64) time.Duration {
	if m.needsList {
		return m.listStore(ctx)
	}
	var wait time.Duration
	if m.clock.Since(m.answeredAt) < storeSeriesGap {
		wait = storeWaitTime - rand.N(storeWaitTime/10) // spreads the calls of agents that started together
	}
	began := m.clock.Now()
	events, rev, err := m.store.Changes(ctx, "", after, wait)
	if errors.Is(err, store.ErrCompacted) {
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
	return m.apply(relay.Source{Store: true}, m.lateness(began, wait), items, rev, false)
}

// lateness returns how old the answer to a call may be that began at a time and may have
// waited for a while: an agent that was paused reads answers from before its pause.
func (m *mirror) lateness(began time.Time, wait time.Duration) time.Duration {
	return max(0, m.clock.Since(began)-wait)
}

// listStore reads all keys from the store and returns the pause until the next step.
func (m *mirror) listStore(ctx context.Context) time.Duration {
	began := m.clock.Now()
	listed, rev, err := m.store.List(ctx, "", false)
	if !m.recordStoreResult(ctx, err) {
		return 0
	}
	m.needsList = false
	m.apply(relay.Source{Store: true}, m.lateness(began, 0), listedItems(listed), rev, true)
	return 0 // wait for changes at once
}

// recordStoreResult records the result of a call to the store and reports whether it
// succeeded. It logs when the store is lost or regained.
func (m *mirror) recordStoreResult(ctx context.Context, err error) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case err == nil && m.isStoreLost:
		m.log.WithField("copyAgeMs", m.age().Milliseconds()).Info("store regained")
	case err != nil && !m.isStoreLost:
		m.log.WithError(err).WithField("copyAgeMs", m.age().Milliseconds()).Warn("store lost")
	}
	m.isStoreLost = err != nil
	if err == nil {
		m.answeredAt = m.clock.Now()
	} else {
		m.mu.Lock()
		m.sources.Failed(m.clock.Now(), relay.Source{Store: true})
		m.wakeQueries()
		m.mu.Unlock()
	}
	return err == nil
}

// wakeQueries has the queries that wait look at the copy again, with the lock held.
func (m *mirror) wakeQueries() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// queryAgent queries another agent and returns the pause until the next step.
func (m *mirror) queryAgent(ctx context.Context, from relay.Source, after int64) time.Duration {
	if m.needsList {
		after = 0
	}
	wait := queryHoldTime + querySlack
	if m.age() > unknownAge {
		wait = firstQueryTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.mu.Lock()
	isOutage := m.sources.IsOutage(m.clock.Now())
	m.mu.Unlock()
	began := m.clock.Now()
	news, err := m.sendQuery(bounded, from.Node, &mesh.Query{Revision: after, Wait: isOutage})
	if ctx.Err() != nil {
		return 0
	}
	if err == nil {
		m.answeredAt = m.clock.Now()
	} else {
		m.mu.Lock()
		m.sources.Failed(m.clock.Now(), from)
		m.mu.Unlock()
		m.log.WithError(err).WithField("node", from.Node).WithField("copyAgeMs", m.age().Milliseconds()).
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
		m.sources.LostStore(m.clock.Now(), from)
		m.mu.Unlock()
		m.log.WithField("node", from.Node).WithField("copyAgeMs", m.age().Milliseconds()).Info("agent has lost the store")
	}
	age := time.Duration(news.AgeMs)*time.Millisecond + m.lateness(began, queryHoldTime)
	return m.apply(from, age, items, news.Revision, news.Whole)
}

// apply updates the copy with items as of revision rev, calls onChange with those that
// changed it, and returns the pause until the next step. whole means that the items are
// all keys.
func (m *mirror) apply(from relay.Source, age time.Duration, items []relay.Item, rev int64, whole bool) time.Duration {
	values := make(map[string][]byte, len(items))
	kept := items[:0]
	for _, it := range items {
		if !m.wants(it.Key) {
			continue
		}
		it, values[it.Key] = m.prepareItem(it)
		kept = append(kept, it)
	}
	m.mu.Lock()
	var news []relay.Item
	if whole {
		news = m.copy.Replace(kept, rev)
	} else {
		news = m.copy.Apply(kept, rev)
	}
	if len(news) > 0 {
		m.wakeQueries()
	}
	pause := m.sources.Learned(m.clock.Now(), from, age, len(items))
	m.mu.Unlock()
	m.logSourceChange(from)
	for i := range news {
		it := &news[i]
		if value := values[it.Key]; value != nil {
			it.Value, it.Packed, it.Omitted = value, false, false
		}
	}
	if len(news) > 0 {
		m.onChange(news)
	}
	if whole {
		m.onListed(rev, m.has)
	}
	return pause
}

// has reports whether a key is known to exist.
func (m *mirror) has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copy.Has(key)
}

// prepareItem returns an item as the copy holds it, with a long value compressed, and
// the value as the store has it. Only tellers keep long values that they have read, as
// only they are asked for them.
func (m *mirror) prepareItem(it relay.Item) (kept relay.Item, value []byte) {
	var err error
	switch {
	case it.Packed:
		value, err = decompress(it.Value)
	case len(it.Value) <= minCompressBytes:
		return it, it.Value
	default:
		value = it.Value
		if m.isTeller() {
			it.Value, err = compress(value)
			it.Packed = true
		} else {
			it.Value, it.Omitted = nil, true
		}
	}
	if err != nil {
		m.log.WithError(err).WithField("key", it.Key).WithField("revision", it.Revision).Warn("value has to be read from the store")
		it.Value, it.Packed, it.Omitted = nil, false, true
	}
	return it, value
}

// nodeCount returns the number of known agents, this one included.
func (m *mirror) nodeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.Len()
}

// isTeller reports whether other agents ask this one for long values.
func (m *mirror) isTeller() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.IsTeller(m.clock.Now())
}

// isReader reports whether other agents ask this one for changes.
func (m *mirror) isReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.IsReader(m.clock.Now())
}

// serves reports whether another agent asks this one for changes.
func (m *mirror) serves(now time.Time, node string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.Serves(now, node)
}

// logSourceChange logs when the changes come from another source than before.
func (m *mirror) logSourceChange(from relay.Source) {
	name := from.Node
	if name == "" {
		name = "store"
	}
	if name != m.source {
		m.log.WithField("source", name).WithField("before", m.source).Info("learning the store's changes")
	}
	m.source = name
}

// age returns the age of the copy.
func (m *mirror) age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.Age(m.clock.Now())
}

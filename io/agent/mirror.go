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
	// readTime is how long a call waits at the store for changes. It bounds how
	// long a store that lets waiting calls hear nothing goes unnoticed, and with
	// holdTime the age of the others' copies.
	readTime = 700 * time.Millisecond
	// firstAskTime bounds a query of an agent that has no copy yet: the reader may
	// be gone since the listing that named it.
	firstAskTime = 450 * time.Millisecond
	// askSlack is added to holdTime for the answer to arrive.
	askSlack = 600 * time.Millisecond
)

// mirrorOptions configure a mirror. All fields are required.
type mirrorOptions struct {
	store store.Store
	clock clockwork.Clock
	log   log.Interface
	self  string
	// prefix is that of the keys that name the other agents.
	prefix string
	link   float64 // of this VM, Mbit/s, 0 if unknown
	// wants reports whether a key is of interest.
	wants func(key string) bool
	// ask sends a query to another agent.
	ask func(ctx context.Context, node string, q *mesh.Query) (*mesh.News, error)
	// take is told of changes in order of revision.
	take func(items []relay.Item)
	// introduced is told at the start when the other agents are known; isAlone
	// if there are none.
	introduced func(ctx context.Context, isAlone bool)
	// listed is told when the copy has all keys, each time that they were read
	// as a whole, and at the start when it has those of the agents.
	listed func(revision int64, has func(key string) bool)
}

// mirror keeps this agent's copy of the store's keys up to date, and answers the
// queries of others.
type mirror struct {
	mirrorOptions

	mu      sync.Mutex
	copy    *relay.Copy
	sources *relay.Sources
	changed chan struct{} // closed at the next change

	// The fields below belong to run.
	whole   bool // all keys have to be read
	failing bool // the latest call to the store failed
	source  string
}

func newMirror(o mirrorOptions) *mirror {
	return &mirror{
		mirrorOptions: o, copy: relay.NewCopy(), sources: relay.NewSources(relay.Options{Self: o.self, Link: o.link}),
		changed: make(chan struct{}), whole: true,
	}
}

// setNodes sets the other agents.
func (m *mirror) setNodes(peers []relay.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sources.SetNodes(peers)
}

// run follows the store until ctx ends.
func (m *mirror) run(ctx context.Context) {
	if pause := m.introduce(ctx); pause > 0 {
		sleep(ctx, m.clock, pause)
		m.introduce(ctx) // the others have started meanwhile
	}
	for ctx.Err() == nil {
		m.mu.Lock()
		next, after := m.sources.Next(m.clock.Now()), m.copy.Revision()
		m.mu.Unlock()
		var pause time.Duration
		switch {
		case next.Store:
			pause = m.read(ctx, after)
		case next.Node != "":
			pause = m.query(ctx, next, after)
		default:
			pause = next.Wait
		}
		sleep(ctx, m.clock, pause)
	}
}

// introduce learns which other agents there are and returns the pause until the
// next step. A stale answer will do, since the changes after it follow.
func (m *mirror) introduce(ctx context.Context) time.Duration {
	listed, rev, err := m.store.List(ctx, m.prefix, true)
	if !m.noteStore(ctx, err) {
		return 0
	}
	m.learn(relay.Source{}, unknownAge, listedItems(listed), 0, false)
	m.mu.Lock()
	pause := m.sources.Introduced(m.clock.Now())
	isAlone, has := m.sources.IsAlone(), m.copy.Has
	m.mu.Unlock()
	m.listed(rev, has)
	m.introduced(ctx, isAlone)
	return pause
}

// unknownAge is the age of a copy that may be older than any that counts.
const unknownAge = time.Hour

func listedItems(listed []store.Item) []relay.Item {
	items := make([]relay.Item, len(listed))
	for i, it := range listed {
		items[i] = relay.Item{Key: it.Key, Value: it.Value, Revision: it.Revision}
	}
	return items
}

// read learns from the store and returns the pause until the next step.
func (m *mirror) read(ctx context.Context, after int64) time.Duration {
	if m.whole {
		return m.list(ctx)
	}
	wait := readTime - rand.N(readTime/10) // agents that wait in step would add peaks
	events, rev, err := m.store.Changes(ctx, "", after, wait)
	if errors.Is(err, store.ErrCompacted) {
		m.whole = true
		return 0
	}
	if !m.noteStore(ctx, err) {
		return 0
	}
	items := make([]relay.Item, len(events))
	for i, ev := range events {
		items[i] = relay.Item{Key: ev.Item.Key, Value: ev.Item.Value, Revision: ev.Item.Revision, Deleted: ev.Deleted}
	}
	return m.learn(relay.Source{Store: true}, 0, items, rev, false)
}

// list reads all keys.
func (m *mirror) list(ctx context.Context) time.Duration {
	listed, rev, err := m.store.List(ctx, "", false)
	if !m.noteStore(ctx, err) {
		return 0
	}
	m.whole = false
	m.learn(relay.Source{Store: true}, 0, listedItems(listed), rev, true)
	return 0 // changes since then are due at once
}

// noteStore notes the end of a call to the store, and logs when the store is
// lost or regained.
func (m *mirror) noteStore(ctx context.Context, err error) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case err == nil && m.failing:
		m.log.WithField("copyAgeMs", m.age().Milliseconds()).Info("store regained")
	case err != nil && !m.failing:
		m.log.WithError(err).WithField("copyAgeMs", m.age().Milliseconds()).Warn("store lost")
	}
	m.failing = err != nil
	if err != nil {
		m.mu.Lock()
		m.sources.Failed(m.clock.Now(), relay.Source{Store: true})
		m.mu.Unlock()
	}
	return err == nil
}

// query learns from another agent and returns the pause until the next step.
func (m *mirror) query(ctx context.Context, from relay.Source, after int64) time.Duration {
	if m.whole {
		after = 0
	}
	wait := holdTime + askSlack
	if m.age() > unknownAge {
		wait = firstAskTime
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	news, err := m.ask(bounded, from.Node, &mesh.Query{Revision: after})
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
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
		m.whole = false
	}
	return m.learn(from, time.Duration(news.AgeMs)*time.Millisecond, items, news.Revision, news.Whole)
}

// learn takes items over, passes on those that are news, and returns the pause
// until the next step.
func (m *mirror) learn(from relay.Source, age time.Duration, items []relay.Item, rev int64, whole bool) time.Duration {
	values := make(map[string][]byte, len(items))
	kept := items[:0]
	for _, it := range items {
		if !m.wants(it.Key) {
			continue
		}
		it, values[it.Key] = m.keep(it)
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
		close(m.changed)
		m.changed = make(chan struct{})
	}
	pause := m.sources.Learned(m.clock.Now(), from, age, len(items))
	has := m.copy.Has
	m.mu.Unlock()
	m.noteSource(from)
	for i := range news {
		it := &news[i]
		if value := values[it.Key]; value != nil {
			it.Value, it.Packed, it.Omitted = value, false, false
		}
	}
	if len(news) > 0 {
		m.take(news)
	}
	if whole {
		m.listed(rev, has)
	}
	return pause
}

// keep returns an item as the copy holds it, long values compressed, and its
// value as it is in the store. Only readers hold long values that they have read,
// as only they are asked.
func (m *mirror) keep(it relay.Item) (kept relay.Item, value []byte) {
	var err error
	switch {
	case it.Packed:
		value, err = unpack(it.Value)
	case len(it.Value) <= packFrom:
		return it, it.Value
	default:
		value = it.Value
		if m.isReader() {
			it.Value, err = pack(value)
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

func (m *mirror) isReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.IsReader(m.clock.Now())
}

// noteSource logs when news come from elsewhere than before.
func (m *mirror) noteSource(from relay.Source) {
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

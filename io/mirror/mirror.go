package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/relay"
	"trefoilthread/io/mesh"
	"trefoilthread/io/store"
	"trefoilthread/io/timing"
)

// Options configure a Mirror. All fields are required.
type Options struct {
	Store store.Store
	Clock clockwork.Clock
	Log   log.Interface
	Self  string // name of this agent
	// Prefix is the prefix of the keys of agent records.
	Prefix string
	Link   float64 // of this VM, Mbit/s, 0 if unknown
	// Fresh is told which knowledge of the store has been applied.
	Fresh *Freshness
	// Wants reports whether the agent needs a key.
	Wants func(key string) bool
	// Accepts reports whether the copy may take over a value of a key. Otherwise it keeps the
	// value before, which other agents are told as well.
	Accepts func(key string, value []byte) bool
	// SendQuery sends a query to another agent.
	SendQuery func(ctx context.Context, node string, q *mesh.Query) (*mesh.News, error)
	// OnChange is called with changes in order of revision.
	OnChange func(items []relay.Item)
	// OnDiscovered is called at the start after each listing of the other agents that
	// succeeded, twice at most; isAlone means that there are none.
	OnDiscovered func(ctx context.Context, isAlone bool)
	// OnListed is called each time that all keys have been read, and at the start when
	// the keys of the agents have been read.
	OnListed func(revision int64, has func(key string) bool)
}

// Mirror keeps this agent's copy of the store's keys up to date, and answers the
// queries of others. It is safe for concurrent use.
type Mirror struct {
	opts Options

	mu      sync.Mutex
	copy    *relay.Copy
	sources *relay.Sources
	changed chan struct{} // closed at the next change, or when the store is lost

	// The fields below belong to Run.
	needsList   bool      // all keys have to be read again
	isStoreLost bool      // the latest call to the store failed
	answeredAt  time.Time // latest answer of the store
	source      string    // latest source of changes, for the log
}

// New returns a mirror with an empty copy. Run fills it and keeps it up to date.
func New(o Options) *Mirror {
	return &Mirror{
		opts: o, copy: relay.NewCopy(), sources: relay.NewSources(relay.Options{Self: o.Self, Link: o.Link}),
		changed: make(chan struct{}), needsList: true,
	}
}

// SetNodes sets the other agents as possible sources.
func (m *Mirror) SetNodes(peers []relay.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sources.SetNodes(peers)
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	if pause := m.discover(ctx); pause > 0 {
		timing.Sleep(ctx, m.opts.Clock, pause)
		m.discover(ctx) // other agents may have started meanwhile
	}
	for ctx.Err() == nil {
		m.opts.Fresh.report()
		m.mu.Lock()
		next, after := m.sources.Next(m.opts.Clock.Now()), m.copy.Revision()
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
		timing.Sleep(ctx, m.opts.Clock, pause)
	}
}

// apply updates the copy with items as of revision rev, calls OnChange with those that
// changed it, and returns the pause until the next step. whole means that the items are
// all keys.
func (m *Mirror) apply(from relay.Source, age time.Duration, items []relay.Item, rev int64, whole bool) time.Duration {
	values := make(map[keyRevision][]byte, len(items))
	kept := items[:0]
	var refused []string
	for _, it := range items {
		if !m.opts.Wants(it.Key) {
			continue
		}
		it, value := m.prepareItem(it)
		if value != nil && !m.opts.Accepts(it.Key, value) {
			refused = append(refused, it.Key)
			continue
		}
		values[keyRevision{it.Key, it.Revision}] = value
		kept = append(kept, it)
	}
	m.mu.Lock()
	var news []relay.Item
	if whole {
		kept = m.appendKnown(kept, refused)
		news = m.copy.Replace(kept, rev)
	} else {
		news = m.copy.Apply(kept, rev)
	}
	if len(news) > 0 {
		m.wakeQueries()
	}
	pause := m.sources.Learned(m.opts.Clock.Now(), from, age, len(items))
	m.mu.Unlock()
	m.logSourceChange(from)
	for i := range news {
		it := &news[i]
		if value := values[keyRevision{it.Key, it.Revision}]; value != nil {
			it.Value, it.Packed, it.Omitted = value, false, false
		}
	}
	if len(news) > 0 {
		m.opts.OnChange(news)
	}
	if whole {
		m.opts.OnListed(rev, m.has)
	}
	return pause
}

// keyRevision identifies a value of a key. One answer may hold several values of a key.
type keyRevision struct {
	key      string
	revision int64
}

// appendKnown appends the known items of keys, with the lock held: a whole listing would
// delete them if it lacked them.
func (m *Mirror) appendKnown(items []relay.Item, keys []string) []relay.Item {
	for _, key := range keys {
		if it, ok := m.copy.Get(key); ok && !it.Deleted {
			items = append(items, it)
		}
	}
	return items
}

// has reports whether a key is known to exist.
func (m *Mirror) has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copy.Has(key)
}

// prepareItem returns an item as the copy holds it, with a long value compressed, and
// the value as the store has it. Only tellers keep long values that they have read, as
// only they are asked for them.
func (m *Mirror) prepareItem(it relay.Item) (kept relay.Item, value []byte) {
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
		m.opts.Log.WithError(err).WithField("key", it.Key).WithField("revision", it.Revision).Warn("value has to be read from the store")
		it.Value, it.Packed, it.Omitted = nil, false, true
	}
	return it, value
}

// wakeQueries has the queries that wait look at the copy again, with the lock held.
func (m *Mirror) wakeQueries() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// logSourceChange logs when the changes come from another source than before.
func (m *Mirror) logSourceChange(from relay.Source) {
	name := from.Node
	if name == "" {
		name = "store"
	}
	if name != m.source {
		m.opts.Log.WithField("source", name).WithField("before", m.source).Info("learning the store's changes")
	}
	m.source = name
}

// age returns the age of the copy.
func (m *Mirror) age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.Age(m.opts.Clock.Now())
}

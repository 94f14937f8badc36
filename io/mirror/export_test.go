package mirror

import (
	"context"
	"time"

	"trefoilthread/core/relay"
)

// Names for the tests of package mirror_test.
var (
	Compress   = compress
	Decompress = decompress
)

// Age exposes age.
func (m *Mirror) Age() time.Duration { return m.age() }

// Discover exposes discover.
func (m *Mirror) Discover(ctx context.Context) { m.discover(ctx) }

// ReadStore exposes readStore, from the revision that is known.
func (m *Mirror) ReadStore(ctx context.Context) { m.readStore(ctx, m.revision()) }

// QueryAgent exposes queryAgent, from the revision that is known.
func (m *Mirror) QueryAgent(ctx context.Context, node string) {
	m.queryAgent(ctx, relay.Source{Node: node}, m.revision())
}

func (m *Mirror) revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copy.Revision()
}

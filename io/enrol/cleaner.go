package enrol

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/prune"
	"trefoilthread/core/roster"
	"trefoilthread/io/store"
	"trefoilthread/io/timing"
)

const (
	// cleanInterval is the mean time between two checks for agents that are gone.
	cleanInterval = time.Second
	// probeTimeout bounds a probe, which an agent that is well answers after 400 ms
	// (io/mirror).
	probeTimeout = time.Second
)

// Peer is another agent that has a record in the store.
type Peer struct {
	Record      roster.Record
	LastContact time.Time // zero if there was none
}

// CleanerOptions configure a Cleaner. All fields are required.
type CleanerOptions struct {
	Store store.Store
	Clock clockwork.Clock
	Log   log.Interface
	Scope tally.Scope
	// Watched returns the agents that this one has to watch: those that ask it for the changes
	// of the store, so none unless it reads the store for others.
	Watched func() []Peer
	// Probe returns nil if an agent answers.
	Probe func(ctx context.Context, node string) error
}

// Cleaner deletes the records of agents that are gone. Only the agents that read the
// store for others do so, each for those that ask it.
type Cleaner struct {
	opts  CleanerOptions
	table *prune.Table
}

// NewCleaner returns a cleaner that watches no agents yet.
func NewCleaner(o CleanerOptions) *Cleaner { return &Cleaner{opts: o, table: prune.New()} }

// Run checks for agents that are gone until ctx ends.
func (c *Cleaner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timing.Sleep(ctx, c.opts.Clock, timing.JitterAround(cleanInterval))
		c.check(ctx)
	}
}

// check probes the agents that are due and deletes the records of those that are gone.
func (c *Cleaner) check(ctx context.Context) {
	peers := c.opts.Watched()
	records := make(map[string]roster.Record, len(peers))
	contacts := make([]prune.Contact, len(peers))
	for i, p := range peers {
		records[p.Record.Node] = p.Record
		contacts[i] = prune.Contact{Name: p.Record.Node, Last: p.LastContact}
	}
	for _, name := range c.table.Due(c.opts.Clock.Now(), contacts) {
		if !c.probe(ctx, name) && c.table.Failed(name) {
			c.delete(ctx, records[name])
		}
	}
}

// probe reports whether an agent answers.
func (c *Cleaner) probe(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.opts.Probe(ctx, name) == nil
}

// delete deletes a record unless it has changed.
func (c *Cleaner) delete(ctx context.Context, rec roster.Record) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l := c.opts.Log.WithFields(log.Fields{
		"node": rec.Node, "revision": rec.Sequence, "target": string(rec.Target.ID),
	})
	err := c.opts.Store.Delete(ctx, Key(rec.Node), int64(rec.Sequence))
	switch {
	case err == nil:
		c.opts.Scope.Counter("records_deleted").Inc(1)
		l.Info("record deleted, its agent doesn't answer")
	case errors.Is(err, store.ErrConflict): // the agent has written it again, or another one has deleted it
	default:
		l.WithError(err).Warn("record of an agent that doesn't answer not deleted")
	}
}

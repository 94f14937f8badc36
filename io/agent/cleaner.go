package agent

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"trefoilthread/core/prune"
	"trefoilthread/core/roster"
	"trefoilthread/io/mesh"
	"trefoilthread/io/store"
)

const (
	// cleanInterval is the mean time between two checks for agents that are gone.
	cleanInterval = time.Second
	// cleanProbeTimeout bounds a probe, which an agent that is well answers after 400 ms
	// (io/mirror).
	cleanProbeTimeout = time.Second
)

// cleaner deletes the records of agents that are gone. Only the agents that read the
// store for others do so, each for those that ask it.
type cleaner struct {
	agent *Agent
	table *prune.Table
}

func newCleaner(a *Agent) *cleaner { return &cleaner{agent: a, table: prune.New()} }

// run checks for agents that are gone until ctx ends.
func (c *cleaner) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, c.agent.clock, jitterAround(cleanInterval))
		records, contacts := c.watched()
		for _, name := range c.table.Due(c.agent.clock.Now(), contacts) {
			if !c.probe(ctx, name) && c.table.Failed(name) {
				c.delete(ctx, records[name])
			}
		}
	}
}

// watched returns the records and latest contacts of the agents that ask this one.
func (c *cleaner) watched() (map[string]roster.Record, []prune.Contact) {
	a, now := c.agent, c.agent.clock.Now()
	if !a.mirror.IsReader() {
		return nil, nil
	}
	records := make(map[string]roster.Record)
	var contacts []prune.Contact
	a.balancer.updateRoster(func(r *roster.Roster) bool {
		for _, rec := range r.Records() {
			records[rec.Node] = rec
			contacts = append(contacts, prune.Contact{Name: rec.Node, Last: r.LastContact(rec.Node)})
		}
		return false
	})
	contacts = slices.DeleteFunc(contacts, func(con prune.Contact) bool {
		return records[con.Name].Sequence == 0 || !a.mirror.Serves(now, con.Name)
	})
	return records, contacts
}

// probe reports whether an agent answers. It asks for no news.
func (c *cleaner) probe(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, cleanProbeTimeout)
	defer cancel()
	_, err := c.agent.queryAgent(ctx, name, &mesh.Query{Revision: math.MaxInt64})
	return err == nil
}

// delete deletes a record unless it has changed.
func (c *cleaner) delete(ctx context.Context, rec roster.Record) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	l := c.agent.log.WithFields(log.Fields{
		"node": rec.Node, "revision": rec.Sequence, "target": string(rec.Target.ID),
	})
	err := c.agent.store.Delete(ctx, nodeKey(rec.Node), int64(rec.Sequence))
	switch {
	case err == nil:
		c.agent.metrics.countEvent("records_deleted")
		l.Info("record deleted, its agent doesn't answer")
	case errors.Is(err, store.ErrConflict): // the agent has written it again, or another one has deleted it
	default:
		l.WithError(err).Warn("record of an agent that doesn't answer not deleted")
	}
}

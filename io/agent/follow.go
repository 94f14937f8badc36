package agent

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"trefoilthread/core/relay"
	"trefoilthread/core/roster"
	"trefoilthread/io/mesh"
)

// fetchPause is the time that other ways are left to bring a version that
// another agent has in force. It is random up to this so that the reads of all
// agents spread.
const fetchPause = 200 * time.Millisecond

// longDocument is the length in bytes from which the configuration is left more
// time to come from other agents before it is read.
const longDocument = 64 << 10

// readPause is the longest pause before a long document is read, half of it the
// shortest. Versions in quick succession share a read: each one takes a quarter
// of a second on a link of 10 Mbit/s.
const readPause = 500 * time.Millisecond

// takeItems takes changes of the store's keys over. Those of the agents are
// entered together: after a loss of all VMs each agent learns all the others at
// once, and each entry by itself would order all of them anew.
func (a *Agent) takeItems(items []relay.Item) {
	var nodes []relay.Item
	for _, it := range items {
		switch {
		case strings.HasPrefix(it.Key, nodePrefix):
			nodes = append(nodes, it)
		case it.Deleted: // the operator's document stays in force
		case it.Omitted:
			a.isLong.Store(true)
			a.requestTable()
		default:
			a.takeTable(it.Value, "follow")
		}
	}
	a.takeNodes(nodes)
}

// wants reports whether a key of the store is of interest.
func (a *Agent) wants(key string) bool {
	return key == a.opts.Wire.TableKey || strings.HasPrefix(key, nodePrefix)
}

// listed notes that all keys are known as of a revision.
func (a *Agent) listed(rev int64, has func(key string) bool) {
	a.synced.Store(true)
	if !has(nodeKey(a.opts.Settings.Node)) {
		a.register.lost(rev)
	}
	a.refreshSources()
}

// introduced notes that the other agents are known at the start, or that there
// are none: then there may be no configuration yet, and it comes with the rest.
func (a *Agent) introduced(ctx context.Context, isAlone bool) {
	if !isAlone {
		go a.firstTable(ctx)
	}
}

// firstTable reads the configuration at the start, while the readers are asked:
// when all agents start together those may be the last. A stale answer will do,
// as the readers tell newer versions.
func (a *Agent) firstTable(ctx context.Context) {
	listed, _, err := a.store.List(ctx, a.opts.Wire.TableKey, true)
	if err != nil {
		a.log.WithError(err).Warn("configuration not read at the start")
		return
	}
	for _, it := range listed {
		if it.Key == a.opts.Wire.TableKey {
			a.takeTable(it.Value, "start")
		}
	}
}

// ask sends a query to the agent with a name.
func (a *Agent) ask(ctx context.Context, node string, q *mesh.Query) (*mesh.News, error) {
	addr := a.places.address(node)
	if addr == "" {
		return nil, errors.Wrapf(mesh.ErrUnreachable, "agent %s isn't known", node)
	}
	news, err := a.client.Query(ctx, addr, q)
	if err == nil {
		a.contact(node)
	}
	return news, err
}

// opened notes the agent that has opened a connection. An agent that starts
// while the store is away learns from such ones.
func (a *Agent) opened(from mesh.Hello) {
	if a.places.met(from.Node, from.Address) {
		a.refreshSources()
	}
}

// refreshSources tells the mirror which agents there are.
func (a *Agent) refreshSources() { a.mirror.setNodes(a.places.peers()) }

// takeTable decodes the operator's document and takes it over if it is newer.
// A document that isn't understood leaves the version in force.
func (a *Agent) takeTable(value []byte, source string) {
	a.isLong.Store(len(value) > longDocument)
	t, err := a.opts.Wire.DecodeTable(value)
	if err != nil {
		a.log.WithError(err).WithField("inForce", a.tables.version()).Error("configuration not understood, keeping the version in force")
		return
	}
	a.tables.offer(t, source)
}

// fetchTable reads the configuration from the store when another agent has a
// newer version, or when it was too long to be told.
func (a *Agent) fetchTable(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-a.newer:
			pause := fetchPause
			if a.isLong.Load() {
				pause = 2 * readPause // a read is due without this
			}
			a.sleep(ctx, pause/2+rand.N(pause/2))
			if v > a.tables.version() {
				a.readTable(ctx, v)
			}
		case <-a.unread:
			a.sleep(ctx, readPause/2+rand.N(readPause/2))
			a.readTable(ctx, 0)
		}
	}
}

// readTable reads the configuration; heard is the version of another agent, 0 if
// it isn't known.
func (a *Agent) readTable(ctx context.Context, heard int64) {
	bounded, cancel := context.WithTimeout(ctx, storeCallTime)
	defer cancel()
	it, err := a.store.Get(bounded, a.opts.Wire.TableKey)
	if err != nil {
		a.log.WithError(err).WithField("heard", heard).WithField("inForce", a.tables.version()).Warn("configuration not read")
		if heard == 0 && ctx.Err() == nil {
			a.clock.AfterFunc(storePause, a.requestTable)
		}
		return
	}
	a.takeTable(it.Value, "read")
}

// requestTable asks for the configuration to be read from the store.
func (a *Agent) requestTable() {
	select {
	case a.unread <- struct{}{}:
	default: // a read is due already
	}
}

// heardVersion notes a version that another agent has in force.
func (a *Agent) heardVersion(v int64) {
	if v <= a.tables.version() {
		return
	}
	select {
	case a.newer <- v:
	default: // a read is under way
	}
}

// takeNodes takes changes of the agents' records over.
func (a *Agent) takeNodes(items []relay.Item) {
	var records []roster.Record
	var missing []string
	for _, it := range items {
		name := strings.TrimPrefix(it.Key, nodePrefix)
		switch {
		case it.Deleted && name == a.opts.Settings.Node:
			a.register.lost(it.Revision)
		case it.Deleted:
			missing = append(missing, name)
		default:
			records = a.appendRecord(records, it)
		}
	}
	if len(records) > 0 {
		a.learn(records)
	}
	if len(missing) > 0 {
		a.miss(missing)
	}
}

// appendRecord appends the record of another agent.
func (a *Agent) appendRecord(records []roster.Record, it relay.Item) []roster.Record {
	rec, _, err := decodeRecord(it.Key, it.Value, it.Revision)
	if err != nil {
		a.log.WithError(err).WithField("key", it.Key).Warn("record names no target")
		return records
	}
	if rec.Node == a.opts.Settings.Node {
		return records
	}
	return append(records, rec)
}

// learn enters records of other agents.
func (a *Agent) learn(records []roster.Record) {
	a.places.update(func(r *roster.Roster) bool {
		changed := false
		for _, rec := range records {
			changed = r.Learn(rec) || changed
		}
		return changed
	})
	for _, rec := range records {
		a.log.WithFields(log.Fields{
			"node": rec.Node, "revision": rec.Sequence, "target": string(rec.Target.ID), "state": rec.Target.State.String(),
		}).Info("record learned")
	}
	a.refreshSources()
}

// miss notes that records aren't in the store any more.
func (a *Agent) miss(names []string) {
	now := a.clock.Now()
	a.places.update(func(r *roster.Roster) bool {
		for _, name := range names {
			r.Missing(now, name)
		}
		return false
	})
	a.expireNodes()
}

// expireNodes removes agents whose records have been missing for too long, and
// comes back when the next one is due.
func (a *Agent) expireNodes() {
	var gone []string
	var next time.Time
	now := a.clock.Now()
	a.places.update(func(r *roster.Roster) bool {
		gone, next = r.Expire(now)
		return len(gone) > 0
	})
	if len(gone) > 0 {
		a.refreshSources()
	}
	for _, name := range gone {
		a.log.WithField("node", name).Info("agent removed, its record is missing and nothing was heard of it")
	}
	if !next.IsZero() {
		a.clock.AfterFunc(next.Sub(now), a.expireNodes)
	}
}

func (a *Agent) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.clock.After(d):
	}
}

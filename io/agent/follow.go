package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/roster"
	"trefoilthread/io/store"
)

const (
	// watchPause is the mean pause after a watch that broke; it doubles up to
	// maxWatchPause while the store gives no answer.
	watchPause    = 250 * time.Millisecond
	maxWatchPause = time.Second
	// fetchPause is the time that the watch is left to bring a version that
	// another agent has in force.
	fetchPause = 100 * time.Millisecond
)

const (
	// tableWatchPerAgent makes all agents together begin about four calls a
	// second that wait for a configuration. A store that drops its history may
	// leave waiting calls without word of changes; the first agent that asks
	// anew learns of them, and its calls tell the others.
	tableWatchPerAgent = 300 * time.Millisecond
	// nodeWatchPerAgent is longer: agents show with their answers that their
	// targets leave, and a missed one that joins costs little.
	nodeWatchPerAgent = 1200 * time.Millisecond
	minWatchTime      = 2 * time.Second
	maxWatchTime      = 25 * time.Second
	// tableWatchGap and minNodeWatchGap let changes in quick succession share a
	// call.
	tableWatchGap   = 250 * time.Millisecond
	minNodeWatchGap = 250 * time.Millisecond
	// nodeGapPerAgent and maxNodeWatchGap let the calls for a wave of records
	// grow more slowly than the square of the number of agents. A new target
	// can wait; one that leaves is told by its agent. In startTime, when all
	// may have started together, the targets are needed sooner.
	nodeGapPerAgent  = 30 * time.Millisecond
	startGapPerAgent = 12 * time.Millisecond
	maxNodeWatchGap  = 3 * time.Second
	startTime        = 8 * time.Second
)

// WatchGap returns the shortest time between two calls to the store that wait
// for changes below a prefix.
func (a *Agent) WatchGap(prefix string) time.Duration {
	if prefix == a.opts.Wire.TableKey {
		return tableWatchGap
	}
	perAgent := nodeGapPerAgent
	if a.clock.Since(a.started) < startTime {
		perAgent = startGapPerAgent
	}
	d := time.Duration(a.places.size()) * perAgent
	return max(minNodeWatchGap, min(d, maxNodeWatchGap))
}

// WatchTime returns how long a call to the store waits for changes below a
// prefix. It is random so that the agents' calls spread over the time.
func (a *Agent) WatchTime(prefix string) time.Duration {
	d := time.Duration(a.places.size()) * nodeWatchPerAgent
	if prefix == a.opts.Wire.TableKey {
		d = time.Duration(a.places.size()) * tableWatchPerAgent
	}
	d = max(minWatchTime, min(d, maxWatchTime))
	return d/2 + rand.N(d/2)
}

// followTable watches the configuration until ctx ends.
func (a *Agent) followTable(ctx context.Context) {
	a.follow(ctx, a.opts.Wire.TableKey, func(ev store.Event) {
		if ev.Item.Key == a.opts.Wire.TableKey && !ev.Deleted && !ev.Synced {
			a.takeTable(ev.Item.Value, "watch")
		}
	})
}

// takeTable decodes the operator's document and takes it over if it is newer.
// A document that isn't understood leaves the version in force.
func (a *Agent) takeTable(value []byte, source string) {
	t, err := a.opts.Wire.DecodeTable(value)
	if err != nil {
		a.log.WithError(err).WithField("inForce", a.tables.version()).Error("configuration not understood, keeping the version in force")
		return
	}
	a.tables.offer(t, source)
}

// fetchTable reads the configuration when another agent has a newer version.
func (a *Agent) fetchTable(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-a.newer:
			a.sleep(ctx, fetchPause)
			if v <= a.tables.version() {
				continue
			}
			bounded, cancel := context.WithTimeout(ctx, storeCallTime)
			it, err := a.store.Get(bounded, a.opts.Wire.TableKey)
			cancel()
			if err != nil {
				a.log.WithError(err).WithField("version", v).Warn("newer configuration of another agent not read")
				continue
			}
			a.takeTable(it.Value, "read")
		}
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

// followNodes watches the records of all agents until ctx ends.
func (a *Agent) followNodes(ctx context.Context) {
	var listed map[string]bool
	a.follow(ctx, nodePrefix, func(ev store.Event) {
		name := ev.Item.Key[min(len(nodePrefix), len(ev.Item.Key)):]
		switch {
		case ev.Synced:
			a.retain(listed)
			listed = nil
		case ev.Deleted:
			a.nodeMissing(name)
		default:
			if listed != nil {
				listed[name] = true
			}
			a.learn(ev.Item)
		}
	}, func() { listed = make(map[string]bool) })
}

// learn takes an agent's record over.
func (a *Agent) learn(it store.Item) {
	rec, _, err := decodeRecord(it.Key, it.Value, it.Revision)
	if err != nil {
		a.log.WithError(err).WithField("key", it.Key).Warn("record names no target")
		return
	}
	if rec.Node == a.opts.Settings.Node {
		return
	}
	a.places.update(func(r *roster.Roster) bool { return r.Learn(rec) })
	a.log.WithField("node", rec.Node).WithField("revision", it.Revision).WithField("target", string(rec.Target.ID)).
		WithField("state", rec.Target.State.String()).Info("record learned")
}

// retain applies a complete listing of the records.
func (a *Agent) retain(listed map[string]bool) {
	a.synced.Store(true)
	if !listed[a.opts.Settings.Node] {
		a.register.lost()
	}
	now := a.clock.Now()
	a.places.update(func(r *roster.Roster) bool {
		r.Retain(now, func(name string) bool { return listed[name] })
		return false
	})
	a.expireNodes()
}

func (a *Agent) nodeMissing(name string) {
	if name == a.opts.Settings.Node {
		a.register.lost()
		return
	}
	now := a.clock.Now()
	a.places.update(func(r *roster.Roster) bool {
		r.Missing(now, name)
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
	for _, name := range gone {
		a.log.WithField("node", name).Info("agent removed, its record is missing and nothing was heard of it")
	}
	if !next.IsZero() {
		a.clock.AfterFunc(next.Sub(now), a.expireNodes)
	}
}

// follow keeps a watch until ctx ends. Each begin is called before a listing
// starts.
func (a *Agent) follow(ctx context.Context, prefix string, take func(store.Event), begin ...func()) {
	lost, pause := false, watchPause
	for ctx.Err() == nil {
		for _, f := range begin {
			f()
		}
		err := a.store.Watch(ctx, prefix, func(ev store.Event) {
			pause = watchPause
			if lost {
				lost = false
				a.log.WithField("prefix", prefix).Info("store watch regained")
			}
			take(ev)
		})
		if ctx.Err() != nil {
			return
		}
		if !lost && !errors.Is(err, store.ErrBudget) {
			lost = true
			a.count.event("watch_lost")
			a.log.WithError(err).WithField("prefix", prefix).Warn("store watch lost")
		}
		a.sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxWatchPause)
	}
}

func (a *Agent) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.clock.After(d):
	}
}

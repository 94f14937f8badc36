package agent

import (
	"context"
	"time"
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
			sleep(ctx, a.clock, within(pause))
			if v > a.tables.version() {
				a.readTable(ctx, v)
			}
		case <-a.unread:
			sleep(ctx, a.clock, within(readPause))
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

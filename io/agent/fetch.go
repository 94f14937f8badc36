package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilthread/core/vhost"
	"trefoilthread/io/store"
	"trefoilthread/io/timing"
)

// maxFetchDelay is the longest delay before a configuration that another agent has in
// force is read from the store; it usually arrives as a change before that. The delay is
// random, at least half of this, to spread the reads of all agents.
const maxFetchDelay = 200 * time.Millisecond

// maxLongFetchDelay takes the place of maxFetchDelay for a long configuration.
const maxLongFetchDelay = time.Second

// longTableBytes is the length of a configuration above which an agent waits longer for
// the change before it reads the store.
const longTableBytes = 64 << 10

// maxReadDelay is the longest delay before a long configuration is read; the shortest is
// half of it. Versions in quick succession share one read, since a read takes a quarter
// of a second on a link of 10 Mbit/s. Others wait for it at the agents that tell it.
const maxReadDelay = 200 * time.Millisecond

// tableReadTimeout bounds a read of the configuration from the store, so that two reads and the
// delay between them fit into the 2.5 s in which a version has to be in force.
const tableReadTimeout = 800 * time.Millisecond

// tableRetryDelay is the delay after a failed read of the configuration.
const tableRetryDelay = 400 * time.Millisecond

// validRetryDelay is the mean delay before another agent is asked again for a valid
// configuration, by one that has found an invalid one in the store at its start.
const validRetryDelay = time.Second

// tellTimeout bounds the time in which another agent tells a long configuration. At the start
// of all VMs together it starts and reads the configuration itself meanwhile.
const tellTimeout = 900 * time.Millisecond

// heardTimeout takes the place of tellTimeout for a configuration that another agent has
// already; the store has to be read in time if the one that is asked is behind as well.
const heardTimeout = 450 * time.Millisecond

// initialReadSpread is the time for each agent over which the first reads of all agents are
// spread while they ask others. It is what a configuration of 370 KB takes on a link of
// 1,000 Mbit/s, the store's.
const initialReadSpread = 3 * time.Millisecond

// readInitialTable reads the configuration at the start, in parallel to the queries to
// the readers: when all agents start together, the readers may be the last to have it.
// It may be stale, because the readers pass on newer versions.
func (a *Agent) readInitialTable(ctx context.Context) {
	told := make(chan bool, 1)
	go func() { told <- a.askTable(ctx, 0, tellTimeout) }()
	select {
	case isTold := <-told:
		if isTold {
			return
		}
	case <-a.clock.After(rand.N(time.Duration(a.mirror.NodeCount()) * initialReadSpread)):
	}
	it, err := a.listTable(ctx)
	if err != nil {
		a.log.WithError(err).Warn("configuration not read at the start")
		return
	}
	if it.Revision > 0 {
		a.holdTable(it)
		a.applyTable(it.Value, it.Revision, "start")
	}
}

// applyTable decodes the operator's document, of a revision of the store, and puts it in
// force if it is newer. An invalid document leaves the version in force unchanged. source
// names the origin in the log.
func (a *Agent) applyTable(value []byte, revision int64, source string) {
	if revision > a.tableApplied.Load() {
		a.tableApplied.Store(revision) // a stale read may end after a later change
	}
	defer a.fresh.Applied(revision) // an invalid one doesn't make the one in force old
	a.isTableLong.Store(len(value) > longTableBytes)
	t := a.decodeTable(value)
	if t == nil {
		return
	}
	a.table.replaceIfNewer(t, source)
	if t.HasCustomers() {
		a.startQuotas()
	}
}

// decodedTable is a document that was decoded; table is nil if it is invalid.
type decodedTable struct {
	sum   uint64 // hash of the document
	table *vhost.Table
}

// decodeTable decodes the operator's document. It returns nil if that is invalid. The latest
// result is kept, as a document is checked before it is applied and may come several times.
func (a *Agent) decodeTable(value []byte) *vhost.Table {
	sum := xxhash.Sum64(value)
	if d := a.decoded.Load(); d != nil && d.sum == sum {
		return d.table
	}
	t, err := a.opts.Wire.DecodeTable(value)
	if err != nil {
		t = nil
		a.log.WithError(err).WithField("inForce", a.table.version()).Error("configuration not understood, keeping the version in force")
		if a.table.get() == nil {
			a.isTableInvalid.Store(true)
			a.requestTableRead(a.tableWanted.Load())
		}
	}
	a.decoded.Store(&decodedTable{sum: sum, table: t})
	return t
}

// accepts reports whether the copy may hold a value of a key. An invalid configuration is left
// out, so that other agents, which may have started since, are told the latest valid one.
func (a *Agent) accepts(key string, value []byte) bool {
	return key != a.opts.Wire.TableKey || a.decodeTable(value) != nil
}

// holdTable puts a valid document that is about to be applied into the copy of the store. Until
// it is applied, the knowledge of the configuration is older than that of the store.
func (a *Agent) holdTable(it store.Item) {
	if a.accepts(it.Key, it.Value) {
		a.fresh.Want(it.Revision)
		a.mirror.Hold(it)
	}
}

// runTableReads reads the configuration from the store when another agent has a newer
// version, or when it was too long to be sent by another agent. It returns when ctx
// ends.
func (a *Agent) runTableReads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-a.newerVersions:
			pause := maxFetchDelay
			if a.isTableLong.Load() {
				pause = maxLongFetchDelay // its change requests a read as well
			}
			timing.Sleep(ctx, a.clock, timing.JitterUpTo(pause))
			if v <= a.table.version() {
				continue // it has come meanwhile
			}
			if !a.askTable(ctx, a.tableApplied.Load(), heardTimeout) || v > a.table.version() {
				a.readTable(ctx, v)
			}
		case <-a.tableReads:
			if a.askTable(ctx, a.tableWanted.Load()-1, tellTimeout) {
				continue
			}
			if a.isTableInvalid.Load() && a.table.get() == nil {
				a.clock.AfterFunc(timing.JitterAround(validRetryDelay), func() { a.requestTableRead(a.tableWanted.Load()) })
				continue
			}
			timing.Sleep(ctx, a.clock, timing.JitterUpTo(maxReadDelay))
			a.readTable(ctx, 0)
		}
	}
}

// askTable asks another agent for a configuration later than a revision, and reports
// whether it was told.
func (a *Agent) askTable(ctx context.Context, after int64, timeout time.Duration) bool {
	it, err := a.mirror.Ask(ctx, a.opts.Wire.TableKey, after, timeout)
	if err != nil {
		return false
	}
	a.applyTable(it.Value, it.Revision, "told")
	return true
}

// readTable reads the configuration from the store. heard is the version that another
// agent has, 0 if unknown; then a failed read is repeated. Several agents read
// a long configuration, so a stale read is tried first, at a tenth of the price.
func (a *Agent) readTable(ctx context.Context, heard int64) {
	if a.isTableLong.Load() && a.readStaleTable(ctx, heard) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, tableReadTimeout)
	defer cancel()
	it, err := a.store.Get(bounded, a.opts.Wire.TableKey)
	if err != nil {
		a.log.WithError(err).WithField("heard", heard).WithField("inForce", a.table.version()).Warn("configuration not read")
		if heard == 0 && ctx.Err() == nil {
			a.clock.AfterFunc(tableRetryDelay, func() { a.requestTableRead(a.tableWanted.Load()) })
		}
		return
	}
	a.holdTable(it)
	a.applyTable(it.Value, it.Revision, "read")
}

// readStaleTable makes a stale read of the configuration and puts it in force if it is
// the version heard or, if that is 0, at least of the revision that a change named. It
// reports whether it was.
func (a *Agent) readStaleTable(ctx context.Context, heard int64) bool {
	it, err := a.listTable(ctx)
	if err != nil || it.Revision < a.tableWanted.Load() || it.Revision <= a.tableApplied.Load() {
		a.metrics.countEvent("table_reads_stale")
		return false
	}
	a.holdTable(it)
	a.applyTable(it.Value, it.Revision, "staleRead")
	return heard <= a.table.version()
}

// listTable returns the configuration by a stale read. It returns the zero value if there
// is none.
func (a *Agent) listTable(ctx context.Context) (store.Item, error) {
	listed, _, err := a.store.List(ctx, a.opts.Wire.TableKey, true)
	for _, it := range listed {
		if it.Key == a.opts.Wire.TableKey {
			return it, err
		}
	}
	return store.Item{}, err
}

// requestTableRead requests a read of the configuration from the store, of a revision or
// a later one.
func (a *Agent) requestTableRead(revision int64) {
	a.tableWanted.Store(revision)
	select {
	case a.tableReads <- struct{}{}:
	default: // already requested
	}
}

// observeVersion requests a read if version v, which another agent has in force, is
// newer than the version here.
func (a *Agent) observeVersion(v int64) {
	if v <= a.table.version() {
		return
	}
	select {
	case a.newerVersions <- v:
	default: // a read is already requested
	}
}

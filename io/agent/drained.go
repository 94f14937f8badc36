package agent

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"

	"trefoilthread/core/admit"
	"trefoilthread/core/drain"
	"trefoilthread/core/relay"
	"trefoilthread/core/types"
)

// maxCopyWait is the longest time after the start of the agent during which calls at its
// target wait for the state of the store. An agent that heard nothing until then goes on
// without knowing the drains.
const maxCopyWait = 600 * time.Millisecond

// noteCopied ends the wait of awaitCopy once all keys of the store are known. It is called each
// time keys were read.
func (a *Agent) noteCopied() {
	if a.mirror.IsCopied() && a.isCopied.CompareAndSwap(false, true) {
		close(a.copied)
		a.metrics.scope.Gauge("drained_data_centres").Update(float64(a.balancer.drainedCount()))
	}
}

// awaitCopy waits until the state of the store is known, at most until maxCopyWait after the
// start. Without it, an agent that starts in a drained data centre would run calls before it
// knows of the drain. Where no service names a rate of cold targets, calls don't wait: those
// deployments don't need it.
func (a *Agent) awaitCopy(ctx context.Context) {
	if a.isCopied.Load() {
		return
	}
	if t := a.table.get(); t == nil || !t.HasColdRates() {
		return
	}
	left := maxCopyWait - a.clock.Since(a.started)
	if left <= 0 {
		return
	}
	select {
	case <-a.copied:
	case <-a.clock.After(left):
	case <-ctx.Done():
	}
}

// isDrainKey reports whether a key of the store names a drained data centre.
func (a *Agent) isDrainKey(key string) bool {
	p := a.opts.Wire.DrainPrefix
	return p != "" && len(key) > len(p) && strings.HasPrefix(key, p)
}

// applyDrains applies changes of the keys that name drained data centres.
func (a *Agent) applyDrains(items []relay.Item) {
	for _, it := range items {
		dc := types.DataCentre(strings.TrimPrefix(it.Key, a.opts.Wire.DrainPrefix))
		left, drained, isNews := a.balancer.setDrained(dc, !it.Deleted)
		if !isNews {
			continue
		}
		if dc == a.opts.Settings.DataCentre {
			a.target.setDrained(!it.Deleted)
		}
		a.metrics.scope.Gauge("drained_data_centres").Update(float64(drained))
		a.logDrain(dc, it, left)
	}
}

// logDrain logs the begin or end of a drain, with what is left of each service that this
// agent knows targets of.
func (a *Agent) logDrain(dc types.DataCentre, it relay.Item, left []drain.Left) {
	for _, l := range left {
		entry := a.log.WithFields(log.Fields{
			"dataCentre": string(dc), "revision": it.Revision, "service": string(l.Service), "targets": l.Targets,
			"targetsThere": l.Drained, "slots": l.Slots, "callsInUse": int(l.InUse),
		})
		switch {
		case it.Deleted:
			entry.Info("drain of data centre ended")
		case l.IsShort():
			a.metrics.countEvent("drain_shortages")
			entry.Warn("data centre is drained, remaining targets have fewer slots than calls in use")
		default:
			entry.Info("data centre is drained")
		}
	}
	if len(left) == 0 {
		a.log.WithField("dataCentre", string(dc)).WithField("revision", it.Revision).WithField("drained", !it.Deleted).
			Info("drain of data centre without known targets")
	}
}

// setDrained has the gate refuse calls while the data centre of the target is drained. Calls
// that wait, for a slot or for the grant of their bodies, are refused at once; running ones go on.
func (t *localTarget) setDrained(drained bool) {
	t.mu.Lock()
	t.drained = drained
	var events []admit.Event
	if drained {
		events = t.gate.RefuseWaiting()
		t.deliverDecisions(t.link.RefuseWaiting(admit.ReasonDrained))
	}
	t.mu.Unlock()
	t.deliver(events)
}

// setDrained records whether a data centre is drained. It returns what is left of each
// service and the number of drained data centres; isNews is false if nothing has changed.
func (b *balancer) setDrained(dc types.DataCentre, drained bool) (left []drain.Left, n int, isNews bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.drains.Has(dc) == drained {
		return nil, b.drains.Len(), false
	}
	inUse := make(map[types.ServiceName]float64)
	now := b.clock.Now()
	for name, s := range b.services {
		inUse[name] = s.picker.CallsInUse(now)
	}
	b.drains.Set(dc, drained)
	b.refreshPickers()
	return b.drains.Left(b.allTargets(), inUse), b.drains.Len(), true
}

// drainedCount returns the number of drained data centres.
func (b *balancer) drainedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drains.Len()
}

// allTargets returns the targets of all services, those in drained data centres included,
// with the lock held.
func (b *balancer) allTargets() []types.Target {
	names := make(map[types.ServiceName]bool)
	for _, rec := range b.roster.Records() {
		names[rec.Target.Service] = true
	}
	for _, t := range b.local {
		names[t.Service()] = true
	}
	var list []types.Target
	for name := range names {
		list = append(list, b.knownTargets(name)...)
	}
	return list
}

// isDrained reports whether a service has targets, and all of them are in drained data
// centres.
func (b *balancer) isDrained(name types.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drains.Len() > 0 && len(b.targets(name)) == 0 && len(b.knownTargets(name)) > 0
}

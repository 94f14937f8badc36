package agent

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"trefoilthread/core/quota"
	"trefoilthread/core/relay"
	"trefoilthread/core/roster"
	"trefoilthread/core/types"
	"trefoilthread/io/enrol"
	"trefoilthread/io/mesh"
)

// applyNodes applies changes of agent records.
func (a *Agent) applyNodes(items []relay.Item) {
	var records []roster.Record
	var missing []string
	for _, it := range items {
		name := strings.TrimPrefix(it.Key, enrol.Prefix)
		switch {
		case name == a.opts.Settings.Node:
			a.applyOwnRecord(it)
		case it.Deleted:
			a.quotas.RemoveRecord(name)
			missing = append(missing, name)
		default:
			records = a.appendRecord(records, name, it)
		}
	}
	if len(records) > 0 {
		a.learnRecords(records)
	}
	if len(missing) > 0 {
		a.markMissing(missing)
	}
}

// applyOwnRecord applies a change of the record of this agent. The agent may own quotas while the
// store has its record, which tells since when that is so.
func (a *Agent) applyOwnRecord(it relay.Item) {
	rec, ok := a.registration.Learn(it)
	if !ok {
		a.quotas.RemoveRecord(a.opts.Settings.Node)
		a.quotas.SetRestart(false)
		return
	}
	a.quotas.SetRestart(a.clock.Now().UnixMilli()-rec.Since >= quota.SettleTime.Milliseconds() && rec.Since > 0)
	a.quotas.SetRecord(a.opts.Settings.Node, a.opts.Settings.DataCentre)
}

// appendRecord appends the record of another agent. Invalid records are left out. An agent with
// an invalid record owns no quotas: agents that start later never know it, and would agree on
// another owner.
func (a *Agent) appendRecord(records []roster.Record, name string, it relay.Item) []roster.Record {
	rec, err := enrol.Decode(it.Key, it.Value)
	if err != nil {
		a.log.WithError(err).WithField("key", it.Key).Warn("invalid agent record ignored")
		a.quotas.RemoveRecord(name)
		return records
	}
	a.quotas.SetRecord(name, types.DataCentre(rec.DataCentre))
	return append(records, rec.RosterRecord(name, it.Revision))
}

// learnRecords adds records of other agents to the roster.
func (a *Agent) learnRecords(records []roster.Record) {
	a.balancer.updateRoster(func(r *roster.Roster) bool {
		changed := false
		for _, rec := range records {
			changed = r.Learn(rec) || changed
		}
		return changed
	})
	a.logLearned(records)
	a.refreshSources()
}

// maxLearnedLines is the number of records learned together up to which each has a line in
// the log. A starting agent learns hundreds of them while its callers wait.
const maxLearnedLines = 8

// logLearned logs records of other agents that were learned together.
func (a *Agent) logLearned(records []roster.Record) {
	if n := len(records); n > maxLearnedLines {
		a.log.WithField("records", n).WithField("revision", records[n-1].Sequence).Info("records learned")
		return
	}
	for _, rec := range records {
		a.log.WithFields(log.Fields{
			"node": rec.Node, "revision": rec.Sequence, "target": string(rec.Target.ID), "state": rec.Target.State.String(),
		}).Info("record learned")
	}
}

// markMissing marks agents whose records are no longer in the store.
func (a *Agent) markMissing(names []string) {
	now := a.clock.Now()
	a.balancer.updateRoster(func(r *roster.Roster) bool {
		for _, name := range names {
			r.RecordDeleted(now, name)
		}
		return false
	})
	a.expireNodes()
}

// expireNodes removes agents whose records have been missing for too long, and runs
// again when the next one expires.
func (a *Agent) expireNodes() {
	var gone []string
	var next time.Time
	now := a.clock.Now()
	a.balancer.updateRoster(func(r *roster.Roster) bool {
		gone, next = r.Expire(now)
		return len(gone) > 0
	})
	if len(gone) > 0 {
		a.refreshSources()
	}
	for _, name := range gone {
		a.log.WithField("node", name).Info("agent removed, its record is missing and there was no contact")
	}
	if !next.IsZero() {
		a.clock.AfterFunc(next.Sub(now), a.expireNodes)
	}
}

// watchedPeers returns the agents with records that ask this one for the store's changes.
func (a *Agent) watchedPeers() []enrol.Peer {
	now := a.clock.Now()
	if !a.mirror.IsReader() {
		return nil
	}
	var peers []enrol.Peer
	a.balancer.updateRoster(func(r *roster.Roster) bool {
		for _, rec := range r.Records() {
			peers = append(peers, enrol.Peer{Record: rec, LastContact: r.LastContact(rec.Node)})
		}
		return false
	})
	return slices.DeleteFunc(peers, func(p enrol.Peer) bool {
		return p.Record.Sequence == 0 || !a.mirror.Serves(now, p.Record.Node)
	})
}

// probeAgent returns nil if an agent answers. It asks for no news.
func (a *Agent) probeAgent(ctx context.Context, name string) error {
	_, err := a.queryAgent(ctx, name, &mesh.Query{Revision: math.MaxInt64})
	return err
}

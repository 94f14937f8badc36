package agent

import (
	"strings"
	"time"

	"github.com/apex/log"

	"trefoilthread/core/quota"
	"trefoilthread/core/relay"
	"trefoilthread/core/roster"
)

// applyNodes applies changes of agent records.
func (a *Agent) applyNodes(items []relay.Item) {
	var records []roster.Record
	var missing []string
	for _, it := range items {
		name := strings.TrimPrefix(it.Key, nodePrefix)
		switch {
		case name == a.opts.Settings.Node:
			a.applyOwnRecord(it)
		case it.Deleted:
			a.quotas.RemoveRecord(name)
			missing = append(missing, name)
		default:
			records = a.appendRecord(records, it)
		}
	}
	if len(records) > 0 {
		a.learnRecords(records)
	}
	if len(missing) > 0 {
		a.markMissing(missing)
	}
}

// applyOwnRecord applies a change of the record of this agent.
func (a *Agent) applyOwnRecord(it relay.Item) {
	if it.Deleted {
		a.removeOwnRecord()
	} else {
		a.noteOwnRecord(it)
	}
	switch {
	case !a.isRestored.Load():
		a.registration.noteListed(it)
	case it.Deleted:
		a.registration.markMissing(it.Revision)
	default:
		a.registration.noteStored(it)
	}
}

// noteOwnRecord enters this agent as an owner of quotas. Its record tells since when the store
// has had one. The first listing may be stale, so that time is kept only from a record that
// registration has read or replaced. An invalid record counts as none, as at the other agents.
func (a *Agent) noteOwnRecord(it relay.Item) {
	_, rec, err := decodeRecord(it.Key, it.Value, it.Revision)
	if err != nil {
		a.removeOwnRecord()
		return
	}
	a.quotas.SetRestart(a.clock.Now().UnixMilli()-rec.Since >= quota.SettleTime.Milliseconds() && rec.Since > 0)
	a.quotas.SetRecord(a.opts.Settings.Node, a.opts.Settings.DataCentre)
}

// removeOwnRecord notes that the store has no record of this agent.
func (a *Agent) removeOwnRecord() {
	a.quotas.RemoveRecord(a.opts.Settings.Node)
	a.beginSince()
	a.quotas.SetRestart(false)
}

// appendRecord appends the record of another agent. Invalid records and the one of this
// agent are left out. An agent with an invalid record owns no quotas: agents that start later
// never know it, and would agree on another owner.
func (a *Agent) appendRecord(records []roster.Record, it relay.Item) []roster.Record {
	rec, _, err := decodeRecord(it.Key, it.Value, it.Revision)
	if err != nil {
		a.log.WithError(err).WithField("key", it.Key).Warn("invalid agent record ignored")
		a.quotas.RemoveRecord(strings.TrimPrefix(it.Key, nodePrefix))
		return records
	}
	if rec.Node == a.opts.Settings.Node {
		return records
	}
	a.quotas.SetRecord(rec.Node, rec.DataCentre)
	return append(records, rec)
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

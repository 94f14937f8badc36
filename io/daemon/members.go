package daemon

import (
	"fmt"

	"trefoilthread/core/lease"
	"trefoilthread/core/member"
	"trefoilthread/core/types"
)

// targets returns the targets that the configuration lets a service use.
func (d *Daemon) targets(service types.ServiceName) []types.Target {
	s, ok := d.config.Document().Service(service)
	if !ok {
		return nil
	}
	d.mu.Lock()
	all := d.dir.Targets(d.now(), service)
	d.mu.Unlock()
	placed := all[:0]
	for _, t := range all {
		if s.RunsIn(t.DataCentre()) {
			placed = append(placed, t)
		}
	}
	return placed
}

// mergeSummary takes over a summary if it is newer than the known one.
func (d *Daemon) mergeSummary(data []byte) error {
	s, err := member.DecodeSummary(data)
	if err != nil {
		return err
	}
	d.mu.Lock()
	changed := d.dir.MergeSummary(s)
	d.mu.Unlock()
	if changed {
		d.membersChanged(s.DataCentre())
	}
	return nil
}

// errNeedsSummary refuses a delta that does not continue what is known here.
const errNeedsSummary = "the whole summary is needed"

// applyDelta takes over a change of a summary, or returns why it can't.
func (d *Daemon) applyDelta(data []byte) string {
	dl, err := member.DecodeDelta(data)
	if err != nil {
		return err.Error()
	}
	dc := dl.To().DataCentre()
	d.mu.Lock()
	changed := d.dir.ApplyDelta(dl)
	known := !dl.To().Newer(d.dir.Summary(dc))
	d.mu.Unlock()
	if changed {
		d.membersChanged(dc)
	}
	if !known {
		return errNeedsSummary
	}
	return ""
}

// membersChanged makes all that depends on the members of dc follow them.
func (d *Daemon) membersChanged(dc types.DataCentre) {
	if dc == d.set.DataCentre() {
		d.mu.Lock()
		d.rank = lease.Rank(dc, memberIDs(d.dir.Summary(dc)), d.id)
		d.holder.SetRank(d.rank)
		d.mu.Unlock()
	}
	d.forgetPeers()
	d.flow.RefreshAll()
	d.membersMoved()
	d.pushNow()
}

// forgetPeers closes the connections to daemons that have left.
func (d *Daemon) forgetPeers() {
	now := map[string]bool{}
	for _, addr := range d.daemons() {
		now[addr] = true
	}
	d.mu.Lock()
	before := d.peers
	d.peers = now
	d.mu.Unlock()
	for addr := range before {
		if !now[addr] {
			d.node.Forget(addr)
		}
	}
}

func memberIDs(s member.Summary) []types.TargetID {
	ids := make([]types.TargetID, s.Len())
	for i := range ids {
		ids[i] = s.Target(i).ID()
	}
	return ids
}

// observeReport takes over what an answer shows of a target.
func (d *Daemon) observeReport(t types.Target, r types.Report) {
	state := types.Up
	if r.Draining() {
		state = types.Draining
	}
	d.observe(t, r.Incarnation(), state)
}

func (d *Daemon) observe(t types.Target, incarnation uint64, s types.TargetState) {
	d.mu.Lock()
	changed := d.dir.Observe(d.now(), t.ID(), incarnation, s)
	d.mu.Unlock()
	if changed {
		d.flow.Refresh(t.Service())
		d.membersMoved()
	}
}

// Usable returns the number of known targets of a service that take calls.
func (d *Daemon) Usable(service types.ServiceName) int {
	n := 0
	for _, t := range d.targets(service) {
		if t.State() == types.Up {
			n++
		}
	}
	return n
}

// ConfigVersion returns the configuration version in force here.
func (d *Daemon) ConfigVersion() int64 { return d.config.Version() }

// Describe returns the state of the daemon in one line, for error messages.
func (d *Daemon) Describe() string {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	rec, epoch := d.holder.Leader()
	_, leading := d.holder.MayAct(now)
	return fmt.Sprintf("config %d, targets %d, leader %q epoch %d, leading %t (%s %s)",
		d.config.Version(), d.dir.Len(), rec.Holder(), epoch, leading, d.holder.Phase(), d.holder.Reason())
}

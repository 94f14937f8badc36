package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/beat"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/mesh"
)

// targetChanged passes a change of the local target on: to the balancer, to the record
// in the store, and, if the target takes no new calls, to the agents that have called
// lately.
func (a *Agent) targetChanged() {
	cur, state, ok := a.target.current()
	var list []types.Target
	if ok && state != types.Down {
		list = append(list, types.NewTarget(types.TargetSpec{
			ID: cur.ID, Service: cur.Service, DataCentre: a.opts.Settings.DataCentre,
			Address: a.opts.Settings.advertisedAddress(), Slots: cur.Slots, Incarnation: cur.Born,
			Sequence: cur.Sequence, State: state,
		}))
	}
	a.balancer.setLocal(list)
	a.registration.RequestWrite()
	if ok && state != types.Up {
		a.server.Publish(&mesh.Notice{
			Node: a.opts.Settings.Node, Boot: a.boot, Config: a.table.version(), Target: string(cur.ID), Leaving: true,
		}, recentCallTime)
	}
}

// Announce applies an announcement of the target. For a target that drains it waits
// until the store has the record of that, at most recordWaitTime. It returns false, and
// ignores the announcement, until the record of an earlier start is known.
func (a *Agent) Announce(ctx context.Context, ann beat.Announcement) bool {
	if !a.claimRecord(ctx, ann) {
		return false // an earlier start may have recorded that the target left
	}
	v := a.target.announce(ann)
	a.registration.Begin()
	if v == beat.Changed && ann.Draining {
		a.awaitRecord(ctx)
	}
	return true
}

// serviceInfo returns the configuration of a service, the zero value if the service or
// the configuration is unknown.
func (a *Agent) serviceInfo(name types.ServiceName) vhost.ServiceSpec {
	t := a.table.get()
	if t == nil {
		return vhost.ServiceSpec{}
	}
	s, _ := t.Service(name)
	return s
}

// errUnknownService means that a target's service isn't in the configuration.
var errUnknownService = errors.New("service isn't in the configuration")

// RecordRejected logs and counts an announcement that was rejected for err. A nil err means
// that its service is not in the configuration.
func (a *Agent) RecordRejected(id string, err error) {
	if err == nil {
		err = errUnknownService
	}
	a.metrics.countEvent("announcements_rejected")
	a.log.WithField("target", id).WithField("reason", err).Warn("announcement names no target")
}

// Leave applies the last message of the target, by which it leaves, and waits until the
// store has the record of that, at most recordWaitTime.
func (a *Agent) Leave(ctx context.Context, id types.TargetID, born uint64) {
	a.registration.Read(ctx) // the target leaves even if the store is unavailable
	if a.target.leave(id, born) == beat.Changed {
		a.awaitRecord(ctx)
	}
}

// awaitRecord waits until the store has the present record, at most recordWaitTime. The
// acknowledgement is safe without it, because the gate refuses new calls already.
func (a *Agent) awaitRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordWaitTime)
	defer cancel()
	a.registration.AwaitWrite(ctx)
}

// recordWaitTime bounds the delay of an acknowledgement to the target, which waits one
// second for it.
const recordWaitTime = 500 * time.Millisecond

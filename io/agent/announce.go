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

// recordSeen takes over what an earlier start of this agent has recorded.
func (a *Agent) recordSeen(rec *storedRecord) {
	a.restored.Store(true)
	if rec == nil || rec.Target == "" {
		return
	}
	ann, gone := rec.announcement()
	a.own.restore(ann, gone)
}

// targetChanged publishes the target on this VM.
func (a *Agent) targetChanged() {
	cur, state, ok := a.own.target()
	var list []types.Target
	if ok && state != types.Down {
		list = append(list, types.NewTarget(types.TargetSpec{
			ID: cur.ID, Service: cur.Service, DataCentre: a.opts.Settings.DataCentre,
			Address: a.opts.Settings.public(), Slots: cur.Slots, Incarnation: cur.Born,
			Sequence: cur.Sequence, State: state,
		}))
	}
	a.places.setOwn(list)
	a.register.touch()
	if ok && state != types.Up {
		a.server.Publish(&mesh.Notice{
			Node: a.opts.Settings.Node, Boot: a.boot, Config: a.tables.version(), Target: string(cur.ID), Leaving: true,
		}, recentCall)
	}
}

// Announce takes a message of the target and returns when others may rely on
// it, or when ctx ends. False means that it was not taken.
func (a *Agent) Announce(ctx context.Context, ann beat.Announcement) bool {
	if !a.restored.Load() {
		return false // an earlier start may have recorded that it left
	}
	v := a.own.announce(ann)
	if v == beat.Changed && ann.Draining {
		a.spread(ctx)
	}
	return true
}

// serviceInfo returns what the configuration says of a service, nothing if that
// is unknown.
func (a *Agent) serviceInfo(name types.ServiceName) vhost.ServiceSpec {
	t := a.tables.get()
	if t == nil {
		return vhost.ServiceSpec{}
	}
	s, _ := t.Service(name)
	return s
}

// errUnknownService means that a target's service isn't in the configuration.
var errUnknownService = errors.New("service isn't in the configuration")

// Rejected notes a message that names no target; without an error its service
// isn't known.
func (a *Agent) Rejected(id string, err error) {
	if err == nil {
		err = errUnknownService
	}
	a.count.event("announcements_rejected")
	a.log.WithField("target", id).WithField("reason", err).Warn("announcement names no target")
}

// Leave takes the last message of the target.
func (a *Agent) Leave(ctx context.Context, id types.TargetID, born uint64) {
	if a.own.leave(id, born) == beat.Changed {
		a.spread(ctx)
	}
}

// spread waits a bounded time for the store to have the record of a target that
// takes no new calls. The gate refuses calls already, so the acknowledgement
// holds without it.
func (a *Agent) spread(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, spreadTime)
	defer cancel()
	a.register.settled(ctx)
}

// spreadTime bounds the delay of an acknowledgement to the target, which waits
// a second for it.
const spreadTime = 500 * time.Millisecond

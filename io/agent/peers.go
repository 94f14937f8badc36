package agent

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/beat"
	"trefoilthread/core/roster"
	"trefoilthread/core/types"
	"trefoilthread/io/mesh"
)

// serveCall runs a call of another agent at the local target.
func (a *Agent) serveCall(ctx context.Context, from mesh.Hello, head *mesh.CallHead) *mesh.Answer {
	a.recordContact(from.Node)
	a.observeVersion(head.Config)
	ans := a.target.serve(ctx, head)
	ans.Config = a.table.version()
	return ans
}

// refuseLongCall answers a call of n bytes for which there is no memory. It was not read,
// so its id isn't known here.
func (a *Agent) refuseLongCall(from mesh.Hello, n int) *mesh.Answer {
	a.metrics.countEvent("calls_without_memory")
	a.log.WithField("from", from.Node).WithField("bytes", n).Warn("no memory for a call")
	ans := a.target.refuseUnread("no memory for a call of " + itoa(int64(n)) + " bytes")
	ans.Config = a.table.version()
	return ans
}

// refuseBeyond counts a call beyond those that a connection may have open, and returns the
// answer to it.
func (a *Agent) refuseBeyond(mesh.Hello) *mesh.Answer {
	a.metrics.countEvent("calls_beyond_bound")
	ans := a.target.refuseUnread(mesh.ReasonTooMany)
	ans.Config = a.table.version()
	return ans
}

// refuseUndecoded records a message of another agent that can't be decoded, and returns the
// answer if it is a call: it has not run.
func (a *Agent) refuseUndecoded(from mesh.Hello, err error) *mesh.Answer {
	a.recordUndecoded(from.Node, err)
	ans := a.target.refuseUnread("call can't be decoded")
	ans.Config = a.table.version()
	return ans
}

// recordUndecoded counts and logs a message of another agent that can't be decoded.
func (a *Agent) recordUndecoded(from string, err error) {
	a.metrics.countEvent("messages_undecoded")
	a.log.WithError(err).WithField("from", from).Warn("message of an agent can't be decoded")
}

// recordContact records direct contact with an agent, which keeps it in the roster while
// its record is missing.
func (a *Agent) recordContact(node string) {
	now := a.clock.Now()
	a.balancer.updateRoster(func(r *roster.Roster) bool {
		r.NoteContact(now, node)
		return false
	})
}

// send sends a call to the agent beside its target.
func (a *Agent) send(ctx context.Context, t types.Target, head *mesh.CallHead) (*mesh.Answer, error) {
	if t.Address() == a.opts.Settings.advertisedAddress() {
		return a.target.serve(ctx, head), nil
	}
	head.PeerLink = t.Link()
	ans, err := a.client.Call(ctx, t.Address(), head)
	if err == nil {
		a.recordContactAt(t)
		a.applyPresence(t, ans.Instead)
	}
	return ans, err
}

// presence describes this agent and its target.
func (a *Agent) presence(cur beat.Announcement) *mesh.Presence {
	return &mesh.Presence{
		Node: a.opts.Settings.Node, Boot: a.boot, Address: a.opts.Settings.advertisedAddress(),
		DataCentre: string(a.opts.Settings.DataCentre), Link: a.opts.Settings.Link,
		Target: string(cur.ID), Service: string(cur.Service), Slots: cur.Slots, Born: cur.Born,
	}
}

// applyPresence applies what the agent at the address of t says of the target that is
// there now; p is nil if that is t itself.
func (a *Agent) applyPresence(t types.Target, p *mesh.Presence) {
	if p == nil {
		return
	}
	now := a.clock.Now()
	var isNews bool
	a.balancer.updateRoster(func(r *roster.Roster) bool {
		isNews = r.LearnDirect(now, roster.Record{
			Node: p.Node, Boot: p.Boot, Address: p.Address, DataCentre: types.DataCentre(p.DataCentre), Link: p.Link,
			Target: roster.Target{
				ID: types.TargetID(p.Target), Service: types.ServiceName(p.Service), Slots: p.Slots,
				Born: p.Born, State: types.Up,
			},
		})
		return isNews
	})
	if !isNews {
		return
	}
	a.refreshSources()
	a.expireNodes()
	a.log.WithField("called", string(t.ID())).WithField("address", t.Address()).WithField("node", p.Node).
		WithField("target", p.Target).WithField("service", p.Service).Info("target corrected by its agent")
}

// recordContactAt records direct contact with the agent beside a target.
func (a *Agent) recordContactAt(t types.Target) {
	now := a.clock.Now()
	a.balancer.updateRoster(func(r *roster.Roster) bool {
		r.NoteContactAt(now, t.Address())
		return false
	})
}

// handleNotice applies a notice of another agent.
func (a *Agent) handleNotice(n *mesh.Notice) {
	a.observeVersion(n.Config)
	a.suspects.Merge(n.Suspects)
	a.recordContact(n.Node)
	if n.Leaving {
		a.balancer.updateRoster(func(r *roster.Roster) bool { return r.SetLeaving(n.Node, n.Boot) })
	}
	if n.HasLoad {
		a.balancer.updateLoad(types.ServiceName(n.Service), types.TargetID(n.Target), n.Load)
	}
	if n.Leaving {
		a.log.WithField("node", n.Node).WithField("target", n.Target).Info("target is leaving, reported by its agent")
	}
}

// recentCallTime is the period within which an agent must have called to be notified of
// a change of the target's load or state.
const recentCallTime = 5 * time.Second

// publishLoad sends the load of the target to the agents that have called it lately.
func (a *Agent) publishLoad(cur beat.Announcement, l mesh.Load) {
	a.balancer.updateLoad(cur.Service, cur.ID, l)
	a.server.Publish(&mesh.Notice{
		Node: a.opts.Settings.Node, Boot: a.boot, Config: a.table.version(),
		Target: string(cur.ID), Service: string(cur.Service), HasLoad: true, Load: l,
	}, recentCallTime)
}

// linkEnded logs lost connections to other agents.
func (a *Agent) linkEnded(addr string, err error) {
	if a.isStopping() {
		return
	}
	a.metrics.countEvent("links_lost")
	a.log.WithError(err).WithField("address", addr).Info("connection to an agent lost")
}

// inboundEnded logs lost connections that other agents had opened, except those that
// they closed.
func (a *Agent) inboundEnded(addr string, err error) {
	if a.isStopping() || errors.Is(err, io.EOF) {
		return
	}
	a.log.WithError(err).WithField("address", addr).Info("connection from an agent lost")
}

// notifyTimeout bounds the time to send a notice of suspects to one agent.
const notifyTimeout = time.Second

// broadcast sends a notice to all known agents, without waiting.
func (a *Agent) broadcast(n *mesh.Notice) {
	n.Node, n.Boot, n.Config = a.opts.Settings.Node, a.boot, a.table.version()
	var addrs []string
	a.balancer.updateRoster(func(r *roster.Roster) bool {
		for _, rec := range r.Records() {
			addrs = append(addrs, rec.Address)
		}
		return false
	})
	for _, addr := range addrs {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			if err := a.client.Notify(ctx, addr, n); err != nil {
				a.log.WithError(err).WithField("address", addr).Info("failed to notify agent of suspects")
			}
		}()
	}
}

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

// serve runs a call of another agent.
func (a *Agent) serve(ctx context.Context, from mesh.Hello, head *mesh.CallHead) *mesh.Answer {
	a.contact(from.Node)
	a.heardVersion(head.Config)
	ans := a.own.serve(ctx, head)
	ans.Config = a.tables.version()
	return ans
}

// contact notes direct contact with an agent.
func (a *Agent) contact(node string) {
	now := a.clock.Now()
	a.places.update(func(r *roster.Roster) bool {
		r.Heard(now, node)
		return false
	})
}

// send hands a call to the agent beside its target.
func (a *Agent) send(ctx context.Context, t types.Target, head *mesh.CallHead) (*mesh.Answer, error) {
	if t.Address() == a.opts.Settings.public() {
		return a.own.serve(ctx, head), nil
	}
	ans, err := a.client.Call(ctx, t.Address(), head)
	if err == nil {
		a.heard(t)
		a.correct(t, ans.Instead)
	}
	return ans, err
}

// presence describes this agent with its target.
func (a *Agent) presence(cur beat.Announcement) *mesh.Presence {
	return &mesh.Presence{
		Node: a.opts.Settings.Node, Boot: a.boot, Address: a.opts.Settings.public(),
		DataCentre: string(a.opts.Settings.DataCentre), Link: a.opts.Settings.Link,
		Target: string(cur.ID), Service: string(cur.Service), Slots: cur.Slots, Born: cur.Born,
	}
}

// correct takes over what the agent at a target's address says of another
// target there; nil if the target is the one that was called.
func (a *Agent) correct(t types.Target, p *mesh.Presence) {
	if p == nil {
		return
	}
	now := a.clock.Now()
	var isNews bool
	a.places.update(func(r *roster.Roster) bool {
		isNews = r.Meet(now, roster.Record{
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

// heard notes direct contact with the agent beside a target.
func (a *Agent) heard(t types.Target) {
	now := a.clock.Now()
	a.places.update(func(r *roster.Roster) bool {
		r.HeardAt(now, t.Address())
		return false
	})
}

// notice takes what another agent says of itself.
func (a *Agent) notice(n *mesh.Notice) {
	a.heardVersion(n.Config)
	a.suspects.learn(n.Suspects)
	a.contact(n.Node)
	if n.Leaving {
		a.places.update(func(r *roster.Roster) bool { return r.Leaving(n.Node, n.Boot) })
	}
	if n.HasLoad {
		a.places.report(types.ServiceName(n.Service), types.TargetID(n.Target), n.Load)
	}
	if n.Leaving {
		a.log.WithField("node", n.Node).WithField("target", n.Target).Info("target is leaving, told by its agent")
	}
}

// recentCall is the time in which an agent has to have called to be told of a
// change of pace.
const recentCall = 5 * time.Second

// publishLoad tells the agents that use the target of its load.
func (a *Agent) publishLoad(cur beat.Announcement, l mesh.Load) {
	a.places.report(cur.Service, cur.ID, l)
	a.server.Publish(&mesh.Notice{
		Node: a.opts.Settings.Node, Boot: a.boot, Config: a.tables.version(),
		Target: string(cur.ID), Service: string(cur.Service), HasLoad: true, Load: l,
	}, recentCall)
}

// linkEnded logs lost connections to other agents.
func (a *Agent) linkEnded(addr string, err error) {
	if a.stopping.Load() {
		return
	}
	a.count.event("links_lost")
	a.log.WithError(err).WithField("address", addr).Info("connection to an agent lost")
}

// inboundEnded logs the ends of connections that other agents have made, but
// for those that they closed.
func (a *Agent) inboundEnded(addr string, err error) {
	if a.stopping.Load() || errors.Is(err, io.EOF) {
		return
	}
	a.log.WithError(err).WithField("address", addr).Info("connection of an agent lost")
}

// tellTime bounds the time to tell one agent of suspects.
const tellTime = time.Second

// tellAll sends a notice to all known agents.
func (a *Agent) tellAll(n *mesh.Notice) {
	n.Node, n.Boot, n.Config = a.opts.Settings.Node, a.boot, a.tables.version()
	var addrs []string
	a.places.update(func(r *roster.Roster) bool {
		for _, rec := range r.Records() {
			addrs = append(addrs, rec.Address)
		}
		return false
	})
	for _, addr := range addrs {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tellTime)
			defer cancel()
			if err := a.client.Notify(ctx, addr, n); err != nil {
				a.log.WithError(err).WithField("address", addr).Info("agent not told of suspects")
			}
		}()
	}
}

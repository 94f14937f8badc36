package agent

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/relay"
	"trefoilthread/io/enrol"
	"trefoilthread/io/mesh"
)

// applyItems applies changes of the store's keys. Changes of agent records are applied
// together: after a power loss of all VMs each agent learns all others at once, and
// applying them one by one would rebuild the order of all agents for each of them.
func (a *Agent) applyItems(items []relay.Item) {
	var nodes, drains []relay.Item
	for _, it := range items {
		switch {
		case strings.HasPrefix(it.Key, enrol.Prefix):
			nodes = append(nodes, it)
		case a.isDrainKey(it.Key):
			drains = append(drains, it)
		case it.Deleted:
			a.fresh.Applied(it.Revision) // the configuration in force is kept
		case it.Omitted:
			a.isTableLong.Store(true)
			a.fresh.Want(it.Revision)
			a.isTableInvalid.Store(false)
			a.requestTableRead(it.Revision)
		default:
			a.applyTable(it.Value, it.Revision, "follow")
		}
	}
	a.applyNodes(nodes)
	a.applyDrains(drains)
}

// wants reports whether the agent needs a key of the store.
func (a *Agent) wants(key string) bool {
	return key == a.opts.Wire.TableKey || strings.HasPrefix(key, enrol.Prefix) || a.isDrainKey(key)
}

// keysListed is called when all keys are known as of a revision. It has a missing record
// of this agent written again.
func (a *Agent) keysListed(rev int64, has func(key string) bool) {
	a.isSynced.Store(true)
	a.noteCopied()
	if !has(enrol.Key(a.opts.Settings.Node)) {
		a.registration.LearnMissing(rev)
	}
	a.refreshSources()
}

// agentsDiscovered is called at the start when the records of all agents are known, that
// of an earlier start of this one included. An agent that is alone skips the early read of the configuration: there may be none
// yet, and it comes with the other keys.
func (a *Agent) agentsDiscovered(ctx context.Context, isAlone bool) {
	if !isAlone {
		go a.readInitialTable(ctx)
	}
	if rec := a.registration.Listed(); rec != nil {
		go a.restoreRunning(ctx, rec)
	}
}

// addressOf returns the address of the agent with a name, mesh.ErrUnreachable if none is known.
func (a *Agent) addressOf(node string) (string, error) {
	addr := a.balancer.address(node)
	if addr == "" {
		return "", errors.Wrapf(mesh.ErrUnreachable, "agent %s isn't known", node)
	}
	return addr, nil
}

// queryAgent sends a query to the agent with a name.
func (a *Agent) queryAgent(ctx context.Context, node string, q *mesh.Query) (*mesh.News, error) {
	addr, err := a.addressOf(node)
	if err != nil {
		return nil, err
	}
	news, err := a.client.Query(ctx, addr, q)
	if err == nil {
		a.recordContact(node)
	}
	return news, err
}

// askForTokens asks the agent with a name for tokens of a customer's quota.
func (a *Agent) askForTokens(ctx context.Context, node string, r *mesh.TokenRequest) (*mesh.Tokens, error) {
	addr, err := a.addressOf(node)
	if err != nil {
		return nil, err
	}
	return a.client.RequestTokens(ctx, addr, r)
}

// serveQuery answers a query of another agent, which is a sign of life.
func (a *Agent) serveQuery(ctx context.Context, from mesh.Hello, q *mesh.Query) *mesh.News {
	a.recordContact(from.Node)
	return a.mirror.Serve(ctx, q)
}

// linkOpened records the address of an agent that has opened a connection. An agent that
// starts while the store is down finds other agents to query this way.
func (a *Agent) linkOpened(from mesh.Hello) {
	if a.balancer.addUnlisted(from.Node, from.Address) {
		a.refreshSources()
	}
}

// refreshSources passes the known agents to the mirror as sources.
func (a *Agent) refreshSources() { a.mirror.SetNodes(a.balancer.peers()) }

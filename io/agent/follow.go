package agent

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/relay"
	"trefoilthread/io/mesh"
)

// takeItems takes changes of the store's keys over. Those of the agents are
// entered together: after a loss of all VMs each agent learns all the others at
// once, and each entry by itself would order all of them anew.
func (a *Agent) takeItems(items []relay.Item) {
	var nodes []relay.Item
	for _, it := range items {
		switch {
		case strings.HasPrefix(it.Key, nodePrefix):
			nodes = append(nodes, it)
		case it.Deleted: // the operator's document stays in force
		case it.Omitted:
			a.isLong.Store(true)
			a.requestTable()
		default:
			a.takeTable(it.Value, "follow")
		}
	}
	a.takeNodes(nodes)
}

// wants reports whether a key of the store is of interest.
func (a *Agent) wants(key string) bool {
	return key == a.opts.Wire.TableKey || strings.HasPrefix(key, nodePrefix)
}

// listed notes that all keys are known as of a revision.
func (a *Agent) listed(rev int64, has func(key string) bool) {
	a.synced.Store(true)
	if !has(nodeKey(a.opts.Settings.Node)) {
		a.register.lost(rev)
	}
	a.refreshSources()
}

// introduced notes that the other agents are known at the start, or that there
// are none: then there may be no configuration yet, and it comes with the rest.
func (a *Agent) introduced(ctx context.Context, isAlone bool) {
	if !isAlone {
		go a.firstTable(ctx)
	}
}

// ask sends a query to the agent with a name.
func (a *Agent) ask(ctx context.Context, node string, q *mesh.Query) (*mesh.News, error) {
	addr := a.places.address(node)
	if addr == "" {
		return nil, errors.Wrapf(mesh.ErrUnreachable, "agent %s isn't known", node)
	}
	news, err := a.client.Query(ctx, addr, q)
	if err == nil {
		a.contact(node)
	}
	return news, err
}

// opened notes the agent that has opened a connection. An agent that starts
// while the store is away learns from such ones.
func (a *Agent) opened(from mesh.Hello) {
	if a.places.met(from.Node, from.Address) {
		a.refreshSources()
	}
}

// refreshSources tells the mirror which agents there are.
func (a *Agent) refreshSources() { a.mirror.setNodes(a.places.peers()) }

package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
	"trefoilthread/io/daemon"
	"trefoilthread/io/deploy"
	"trefoilthread/io/etcd"
	"trefoilthread/io/setup"
	"trefoilthread/io/stand"
)

// Node is one VM: a target and the daemon beside it.
type Node struct {
	id      types.TargetID
	dc      types.DataCentre
	service deploy.Service
	target  *stand.Target
	daemon  *daemon.Daemon
	store   *etcd.Client
	former  []*stand.Target // earlier targets of the same name, for counting runs
	away    atomic.Bool     // being replaced
	entry   atomic.Value    // string, address for callers
}

// ID returns the name of the target and its daemon.
func (n *Node) ID() types.TargetID { return n.id }

// DataCentre returns where the node runs.
func (n *Node) DataCentre() types.DataCentre { return n.dc }

// Service returns the service of the target.
func (n *Node) Service() deploy.Service { return n.service }

// Target returns the stand-in target.
func (n *Node) Target() *stand.Target { return n.target }

// Daemon returns the daemon beside the target.
func (n *Node) Daemon() *daemon.Daemon { return n.daemon }

// startDaemon starts a new daemon on the node, as after its VM was replaced.
func (n *Node) startDaemon(f *Fleet) error {
	storeAddr := f.store.Addr()
	if f.opts.StoreVia != nil {
		var err error
		if storeAddr, err = f.opts.StoreVia(n.id, storeAddr); err != nil {
			return err
		}
	}
	text := fmt.Sprintf(`[daemon]
id = %s
dataCentre = %s
stopBound = 5s
[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:0
local = 127.0.0.1:0
[tls]
certFile = memory
keyFile = memory
caFile = memory
[store]
endpoints = http://%s
leaseTime = %s
%s
`, n.id, n.dc, storeAddr, f.opts.LeaseTime, f.opts.Settings)
	set, err := setup.Parse(string(n.id), []byte(text))
	if err != nil {
		return err
	}
	id, err := f.authority.Identity(string(n.id))
	if err != nil {
		return err
	}
	if n.store, err = etcd.New(set.StoreEndpoints(), etcd.Options{}); err != nil {
		return err
	}
	n.daemon, err = daemon.New(daemon.Options{
		Settings: set, Identity: id, Store: n.store.Store(), Log: f.opts.Log, Policy: f.opts.Policy,
		Seed: f.opts.Seed,
	})
	if err != nil {
		return err
	}
	if err := n.daemon.Start(); err != nil {
		return err
	}
	n.entry.Store(n.daemon.CallerAddr())
	return nil
}

// Targets returns the target and the earlier ones of the same name.
func (n *Node) Targets() []*stand.Target { return append([]*stand.Target{n.target}, n.former...) }

// runs returns how often this node's targets ran a key.
func (n *Node) runs(key string) int {
	sum := n.target.Runs(key)
	for _, t := range n.former {
		sum += t.Runs(key)
	}
	return sum
}

// loopback returns an address on a loopback IP of its own. Outgoing connections come from
// 127.0.0.1, so none of them takes the port of a fake that has crashed and restarts there.
func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250))
}

// startTarget starts the target, which announces itself to the daemon.
func (n *Node) startTarget(f *Fleet, seed uint64) error {
	st := stand.ServiceTime{Kind: stand.Constant, Mean: n.service.Typical()}
	if f.opts.Sigma > 0 {
		st.Kind, st.Sigma = stand.Lognormal, f.opts.Sigma
	}
	n.target = stand.NewTarget(stand.TargetOptions{
		Name: string(n.id), Service: string(n.service.Name()),
		Slots: n.service.Config().Slots(), Connections: n.service.Config().Connections(),
		ServiceTime: st, RestartAfter: f.opts.RestartAfter, Seed: seed,
		DaemonAdmin: n.daemon.LocalAddr(), DaemonEntry: n.daemon.CallerAddr(),
	})
	return n.target.Start(loopback())
}

// stop ends the node gracefully: the daemon drains, then the target ends.
func (n *Node) stop(ctx context.Context) error {
	err := n.daemon.Stop(ctx)
	n.target.Close()
	n.store.Close()
	return errors.Wrapf(err, "stop %s", n.id)
}

package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
	"trefoilthread/io/certs"
	"trefoilthread/io/etcd"
	"trefoilthread/io/logs"
	"trefoilthread/io/stand"
)

const (
	defaultLease = 3 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// Fleet is a running deployment.
type Fleet struct {
	opts      Options
	store     *stand.Store
	authority *certs.Authority
	nodes     []*Node
}

// Start starts the store, writes the configuration and starts all nodes. The
// targets of a service take the data centres in turn.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if o.LeaseTime == 0 {
		o.LeaseTime = defaultLease
	}
	if o.Log == nil {
		o.Log = logs.Discard()
	}
	f := &Fleet{opts: o, store: stand.NewStore(o.Store)}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.authority, err = certs.NewAuthority(time.Now()); err != nil {
		return err
	}
	if err := f.store.Start(loopback()); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	dcs := f.opts.Deployment.DataCentres()
	k := 0
	for _, s := range f.opts.Deployment.Services() {
		for i := range s.Targets() {
			dc := dcs[k%len(dcs)]
			n := &Node{id: types.TargetID(fmt.Sprintf("%s/%s-%d", dc, s.Name(), i+1)), dc: dc, service: s}
			if err := n.startDaemon(f); err != nil {
				return errors.Wrapf(err, "daemon %s", n.id)
			}
			f.nodes = append(f.nodes, n)
			if err := n.startTarget(f, f.opts.Seed+uint64(k)); err != nil {
				return errors.Wrapf(err, "target %s", n.id)
			}
			k++
		}
	}
	return nil
}

// configure writes the services of the deployment as the first document.
func (f *Fleet) configure(ctx context.Context) error {
	cl, err := etcd.New([]string{"http://" + f.store.Addr()}, etcd.Options{})
	if err != nil {
		return err
	}
	defer cl.Close()
	doc := config.Document{}
	for _, s := range f.opts.Deployment.Services() {
		c := config.NewChange(config.ChangeSpec{
			Action: config.Create, Service: s.Config(), RequestID: "deploy-" + string(s.Name()), Operator: "fleet",
		})
		if doc, _, err = config.Apply(doc, c, time.Now()); err != nil {
			return err
		}
	}
	data, err := config.Encode(doc)
	if err != nil {
		return err
	}
	_, err = cl.Store().CompareAndSwap(ctx, config.DocumentKey, 0, data, 0)
	return errors.Wrap(err, "write configuration")
}

// Nodes returns the nodes of the deployment.
func (f *Fleet) Nodes() []*Node { return f.nodes }

// Store returns the stand-in store.
func (f *Fleet) Store() *stand.Store { return f.store }

// WaitReady waits until each daemon has the configuration and knows all
// targets of the deployment.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, n := range f.nodes {
		for !f.knowsAll(n) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "daemon %s: %s", n.id, n.daemon.Describe())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func (f *Fleet) knowsAll(n *Node) bool {
	for _, s := range f.opts.Deployment.Services() {
		if n.daemon.Usable(s.Name()) < s.Targets() {
			return false
		}
	}
	return n.daemon.ConfigVersion() > 0
}

// Close ends everything at once.
func (f *Fleet) Close() {
	for _, n := range f.nodes {
		if n.daemon != nil {
			n.daemon.Kill()
		}
		if n.target != nil {
			n.target.Close()
		}
		if n.store != nil {
			n.store.Close()
		}
	}
	f.store.Close()
}

// Stop ends all nodes gracefully, one after the other.
func (f *Fleet) Stop(ctx context.Context) error {
	var errs []error
	for _, n := range f.nodes {
		errs = append(errs, n.stop(ctx))
	}
	f.nodes = nil
	f.store.Close()
	return errors.Join(errs...)
}

// Runs returns how often the targets ran the request with an idempotency key.
func (f *Fleet) Runs(key string) int {
	n := 0
	for _, node := range f.nodes {
		n += node.runs(key)
	}
	return n
}

// Replace stops a node gracefully and starts a new daemon and target under the
// same name, as a rolling restart does. Entries leaves the node out meanwhile.
func (f *Fleet) Replace(ctx context.Context, i int) error {
	n := f.nodes[i]
	n.away.Store(true)
	defer n.away.Store(false)
	if err := n.stop(ctx); err != nil {
		return err
	}
	n.former = append(n.former, n.target)
	if err := n.startDaemon(f); err != nil {
		return err
	}
	if err := n.startTarget(f, f.opts.Seed+uint64(i)); err != nil {
		return err
	}
	return f.waitUp(ctx, n)
}

// waitUp waits until a node's daemon has all targets and each other daemon has
// the node's target.
func (f *Fleet) waitUp(ctx context.Context, n *Node) error {
	up := func() bool {
		if !f.knowsAll(n) {
			return false
		}
		for _, other := range f.nodes {
			if !other.away.Load() && !f.knowsAll(other) {
				return false
			}
		}
		return true
	}
	for !up() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s did not come back: %s", n.id, n.daemon.Describe())
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// Entries returns the addresses of the daemons that take callers' requests.
func (f *Fleet) Entries() []string {
	var out []string
	for _, n := range f.nodes {
		if !n.away.Load() {
			out = append(out, n.entry.Load().(string))
		}
	}
	return out
}

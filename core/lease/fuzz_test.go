package lease_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/lease"
	"trefoilthread/core/types"
)

const leaseTime = 10 * time.Second

// request is a store call of one process. Its answer is dropped if the process
// has been restarted since.
type request struct {
	lease.Action
	from *lease.Holder
}

type node struct {
	id       types.TargetID
	h        *lease.Holder
	requests []request     // in flight to the store
	answers  []lease.Event // in flight to the holder
	paused   bool
}

// cluster simulates several daemons that share one store.
type cluster struct {
	now         time.Time
	store       *fakeStore
	nodes       []*node
	startCount  uint64
	outage      bool
	owners      map[uint64]types.TargetID // by epoch
	maxEpoch    uint64
	leaderships int
}

func newCluster(n int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), store: &fakeStore{expiry: map[int64]time.Time{}}, owners: map[uint64]types.TargetID{}}
	for i := range n {
		nd := &node{id: types.TargetID(fmt.Sprintf("n%d", i))}
		c.start(nd, i)
		c.nodes = append(c.nodes, nd)
	}
	return c
}

func (c *cluster) start(n *node, rank int) {
	c.startCount++
	n.h = lease.NewHolder(lease.Spec{
		DataCentre: "muscat-a", ID: n.id, LeaseTime: leaseTime, Rank: rank, Seed: [2]uint64{c.startCount, 7},
	})
	n.answers = nil
}

func (c *cluster) step(n *node, ev lease.Event) {
	for _, a := range n.h.Step(c.now, ev) {
		n.requests = append(n.requests, request{a, n.h})
	}
}

// execute executes request i of n. With lost it takes effect, but is answered as
// Unknown.
func (c *cluster) execute(n *node, i int, lost bool) {
	a := n.requests[i]
	n.requests = append(n.requests[:i], n.requests[i+1:]...)
	ev, ok := failed(a.Action, lease.Unavailable), true
	if !c.outage {
		ev, ok = c.store.execute(c.now, a.Action)
	}
	if lost && !c.outage {
		ev = failed(a.Action, lease.Unknown)
	}
	if ok && a.from == n.h {
		n.answers = append(n.answers, ev)
	}
}

// deliver hands all answers to the holder.
func (c *cluster) deliver(n *node) {
	for len(n.answers) > 0 {
		ev := n.answers[0]
		n.answers = n.answers[1:]
		c.step(n, ev)
	}
}

// check fails if a node may act that is not the leader by the store's key, if an
// epoch has two holders, or if the epoch goes back.
func (c *cluster) check(t *rapid.T) {
	for _, n := range c.nodes {
		epoch, ok := n.h.MayAct(c.now)
		if !ok {
			continue
		}
		if c.store.value == nil || uint64(c.store.keyRevision) != epoch {
			t.Fatalf("%s acts in epoch %d, the store has revision %d", n.id, epoch, c.store.keyRevision)
		}
		if r, err := lease.DecodeRecord(c.store.value); err != nil || r.Holder() != n.id {
			t.Fatalf("%s acts, the store has %s (%v)", n.id, r.Holder(), err)
		}
		if o, ok := c.owners[epoch]; ok && o != n.id {
			t.Fatalf("epoch %d held by %s and %s", epoch, o, n.id)
		}
		if epoch < c.maxEpoch {
			t.Fatalf("epoch went back from %d to %d", c.maxEpoch, epoch)
		}
		if epoch > c.maxEpoch {
			c.leaderships++
		}
		c.owners[epoch], c.maxEpoch = n.id, epoch
	}
}

// Guards against two leaders at a time, an epoch given twice, and a leader that
// acts after its lease has ended in the store. The faults are crashes, pauses,
// outages of the store, and answers that are lost, late or repeated.
func TestOneLeaderUnderFaults(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		pick := func(t *rapid.T) *node { return rapid.SampledFrom(c.nodes).Draw(t, "node") }
		skipUnless := func(t *rapid.T, ok bool) {
			if !ok {
				t.Skip("not possible now")
			}
		}
		pickRunning := func(t *rapid.T) *node {
			n := pick(t)
			skipUnless(t, !n.paused)
			return n
		}
		serve := func(lost bool) func(*rapid.T) {
			return func(t *rapid.T) {
				n := pick(t)
				skipUnless(t, len(n.requests) > 0)
				c.execute(n, rapid.IntRange(0, len(n.requests)-1).Draw(t, "i"), lost)
			}
		}
		answer := func(keep bool) func(*rapid.T) {
			return func(t *rapid.T) {
				n := pickRunning(t)
				skipUnless(t, len(n.answers) > 0)
				i := rapid.IntRange(0, len(n.answers)-1).Draw(t, "i")
				ev := n.answers[i]
				if !keep {
					n.answers = append(n.answers[:i], n.answers[i+1:]...)
				}
				c.step(n, ev)
			}
		}
		settle := func(*rapid.T) { // 20 s without new faults
			for range 40 {
				c.now = c.now.Add(500 * time.Millisecond)
				c.store.expire(c.now)
				for _, n := range c.nodes {
					for len(n.requests) > 0 {
						c.execute(n, 0, false)
					}
					if !n.paused {
						c.deliver(n)
						c.step(n, lease.Tick())
					}
				}
				c.check(t)
			}
		}
		settle(t)
		t.Repeat(map[string]func(*rapid.T){
			"":          c.check,
			"tick":      func(t *rapid.T) { c.step(pickRunning(t), lease.Tick()) },
			"serve":     serve(false),
			"serveLost": serve(true),
			"answer":    answer(false),
			"repeat":    answer(true),
			"advance": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				c.store.expire(c.now)
			},
			"settle": settle,
			"pause":  func(t *rapid.T) { n := pick(t); n.paused = !n.paused },
			"outage": func(*rapid.T) { c.outage = !c.outage },
			"crash":  func(t *rapid.T) { n := pick(t); c.start(n, 1) },
			"watch": func(t *rapid.T) {
				if c.store.value == nil {
					c.step(pickRunning(t), lease.KeyDeleted(c.store.revision))
					return
				}
				c.step(pickRunning(t), lease.KeyObserved(c.store.value, c.store.keyRevision))
			},
		})
		held += c.leaderships
	})
	if held == 0 {
		t.Fatal("no leadership was ever held, so nothing was checked")
	}
	t.Logf("%d leaderships held", held)
}

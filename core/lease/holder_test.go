package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/lease"
	"trefoilthread/core/types"
)

// run simulates all nodes for d and returns the node that may act at the end, nil
// if none.
func (c *cluster) run(d time.Duration) *node {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
		c.store.expire(c.now)
		for _, n := range c.nodes {
			if n.paused {
				continue
			}
			c.step(n, lease.Tick())
			for len(n.requests) > 0 || len(n.answers) > 0 {
				for len(n.requests) > 0 {
					c.execute(n, 0, false)
				}
				c.deliver(n)
			}
		}
	}
	for _, n := range c.nodes {
		if _, ok := n.h.MayAct(c.now); ok {
			return n
		}
	}
	return nil
}

// Guards against a data centre that stays without leader after a crash or an
// outage of the store, and against candidates that do not wait for those of a
// lower rank.
func TestLeadershipPassesOnByRank(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	is.Equal(c.run(3*time.Second), c.nodes[0])
	first, _ := c.nodes[0].h.MayAct(c.now)
	c.nodes[0].paused = true
	is.Equal(c.run(3*leaseTime), c.nodes[1])
	second, _ := c.nodes[1].h.MayAct(c.now)
	is.True(second > first)
	c.nodes[0].paused = false
	_, ok := c.nodes[0].h.MayAct(c.now)
	is.True(!ok) // woke up after its lease
	c.outage = true
	is.Equal(c.run(2*leaseTime), nil)
	c.outage = false
	is.True(c.run(4*leaseTime) != nil)
}

// Guards against a leadership that is left to expire because the answer to the
// creation of its key was lost.
func TestLostCreationIsReadBack(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	n := c.nodes[0]
	for range 3 {
		c.now = c.now.Add(time.Second)
		c.step(n, lease.Tick())
		for n.h.Phase() != lease.Creating && len(n.requests) > 0 {
			c.execute(n, 0, false)
			c.step(n, n.answers[0])
			n.answers = nil
		}
	}
	is.Equal(n.h.Phase(), lease.Creating)
	c.execute(n, 0, true)
	c.step(n, n.answers[0])
	is.Equal(n.h.Phase(), lease.Resolving)
	c.execute(n, 0, false)
	c.step(n, n.answers[1])
	epoch, ok := n.h.MayAct(c.now)
	is.True(ok)
	is.Equal(epoch, uint64(c.store.keyRevision))
	c.step(n, lease.Resign())
	_, ok = n.h.MayAct(c.now)
	is.True(!ok)
	c.execute(n, 0, false)
	is.Equal(c.store.value, nil) // the key is deleted with the lease
}

// Guards against a lease that is counted from the arrival of a late answer: the
// store began to count when the renewal reached it.
func TestLeaseCountsFromRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	n := c.run(3 * time.Second)
	for len(n.requests) == 0 {
		c.now = c.now.Add(100 * time.Millisecond)
		c.step(n, lease.Tick())
	}
	sent := c.now
	c.execute(n, 0, false)
	c.now = sent.Add(leaseTime / 2)
	c.deliver(n)
	_, ok := n.h.MayAct(sent.Add(leaseTime * 8 / 10))
	is.True(ok)
	_, ok = n.h.MayAct(sent.Add(leaseTime * 9 / 10)) // the margin of a tenth for clock rates
	is.True(!ok)
}

// Guards against a store that is called by all candidates at once when it
// recovers. It counts the calls of 520 candidates in the busiest 100 ms.
func TestCandidatesSpreadAfterOutage(t *testing.T) {
	is := is.New(t)
	busiest, start := map[int64]int{}, time.Unix(1000, 0)
	for i := range 520 {
		h := lease.NewHolder(lease.Spec{ID: types.TargetID(fmt.Sprint(i)), Rank: i, Seed: [2]uint64{uint64(i), 3}})
		for now := start; now.Before(start.Add(3 * time.Minute)); now = h.NextWake(now) {
			for _, a := range h.Step(now, lease.Tick()) {
				if now.Sub(start) > 30*time.Second {
					busiest[now.UnixMilli()/100]++
				}
				h.Step(now, failed(a, lease.Unavailable))
			}
		}
	}
	most := 0
	for _, n := range busiest {
		most = max(most, n)
	}
	t.Logf("at most %d calls in 100 ms", most)
	is.True(most < 20)
}

// Guards against a receiver that accepts messages of a former leader.
func TestFence(t *testing.T) {
	is := is.New(t)
	var f lease.Fence
	is.True(f.Admit(4))
	is.True(f.Admit(4))
	is.True(!f.Admit(3))
	is.Equal(f.Epoch(), uint64(4))
}

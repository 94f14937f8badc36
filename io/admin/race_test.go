package admin_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"pgregory.net/rapid"

	"trefoilthread/core/config"
	"trefoilthread/io/opspb"
)

// schedule lets one store call happen at a time, in an order and with faults
// that rapid draws, so that a failure can be repeated and shrunk.
type schedule struct {
	waiting chan turn
	done    chan result
	quit    chan struct{}
	// step runs before each turn, while all operators wait.
	step func()
}

type turn struct {
	operator int
	fault    chan fault
}

type result struct {
	operator int
	err      error
}

// await blocks until it is the operator's turn.
func (s *schedule) await(operator int) fault {
	c := make(chan fault, 1)
	select {
	case s.waiting <- turn{operator: operator, fault: c}:
	case <-s.quit:
		return outage
	}
	select {
	case f := <-c:
		return f
	case <-s.quit:
		return outage
	}
}

// run grants turns until n operators are done.
func (s *schedule) run(t *rapid.T, n int) error {
	queue := map[int]chan fault{}
	var active []int
	for i := range n {
		active = append(active, i)
	}
	faults := rapid.IntRange(0, 20).Draw(t, "faults")
	for {
		for len(queue) < len(active) {
			select {
			case w := <-s.waiting:
				queue[w.operator] = w.fault
			case r := <-s.done:
				if r.err != nil {
					return r.err
				}
				active = slices.DeleteFunc(active, func(i int) bool { return i == r.operator })
			}
		}
		if len(active) == 0 {
			return nil
		}
		s.step()
		i := rapid.SampledFrom(active).Draw(t, "operator")
		f := none
		if faults > 0 {
			if f = fault(rapid.IntRange(0, int(numberOfFaults)-1).Draw(t, "fault")); f != none {
				faults--
			}
		}
		c := queue[i]
		delete(queue, i)
		c <- f
	}
}

// increments adds 1 to the slots of the given services, one after the other,
// the way an operator's script does: read, change, on a conflict read again,
// on an unclear answer send the same request again.
// It passes each version that is accepted to accepted.
func increments(c opspb.OpsClient, operator int, services []string, quit <-chan struct{}, accepted func(int64) error) error {
	ctx := context.Background()
	for n, name := range services {
		var req *opspb.ChangeRequest
		for attempt := 0; ; attempt++ {
			select {
			case <-quit:
				return nil
			default:
			}
			if req == nil {
				got, err := c.GetService(ctx, connect.NewRequest(&opspb.GetServiceRequest{Name: name}))
				if err != nil {
					continue
				}
				svc := got.Msg.GetService()
				svc.Slots++
				req = &opspb.ChangeRequest{
					Service: svc, BaseVersion: svc.GetVersion(), RequestId: fmt.Sprintf("%d-%d-%d", operator, n, attempt),
				}
			}
			res, err := c.UpdateService(ctx, connect.NewRequest(req))
			if err == nil && res.Msg.GetState() == "accepted" {
				err = accepted(res.Msg.GetVersion())
			}
			if err == nil {
				break
			}
			switch connect.CodeOf(err) {
			case connect.CodeAborted:
				req = nil
			case connect.CodeUnavailable:
			default:
				return err
			}
		}
	}
	return nil
}

// Guards against lost updates, against a request that is applied twice after a
// lost answer, against versions that go back, and against "accepted" while a
// member still serves by an older version, with operators racing through
// different daemons over a store that loses answers and fails.
func TestOperatorsRacing(t *testing.T) {
	var accepted, committed atomic.Int64
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeStore()
		client := newClient(newOptions(f))
		for _, name := range []string{"bookings", "stockroom"} {
			if _, err := client.CreateService(context.Background(), connect.NewRequest(&opspb.ChangeRequest{
				Service: newService(name, 1), RequestId: name,
			})); err != nil {
				t.Fatal(err)
			}
		}
		net := newCentres()
		s := &schedule{waiting: make(chan turn), done: make(chan result), quit: make(chan struct{})}
		s.step = func() { net.step(t, f.documents(t)) }
		defer close(s.quit)
		want := map[string]int{"bookings": 1, "stockroom": 1}
		n := rapid.IntRange(2, 4).Draw(t, "operators")
		for i := range n {
			services := rapid.SliceOfN(rapid.SampledFrom([]string{"bookings", "stockroom"}), 1, 4).Draw(t, "services")
			for _, name := range services {
				want[name]++
			}
			opt := newOptions(f)
			opt.Store = f.store(func() fault { return s.await(i) })
			net.connect(&opt, func() { s.await(i) })
			go func() {
				err := increments(newClient(opt), i, services, s.quit, func(version int64) error {
					accepted.Add(1)
					if id := net.behind(version); id != "" {
						return fmt.Errorf("version %d is accepted, %s serves by an older one", version, id)
					}
					return nil
				})
				committed.Add(int64(len(services)))
				select {
				case s.done <- result{operator: i, err: err}:
				case <-s.quit:
				}
			}()
		}
		if err := s.run(t, n); err != nil {
			t.Fatal(err)
		}
		check(t, f, want)
	})
	t.Logf("%d changes, of which %d accepted", committed.Load(), accepted.Load())
	if accepted.Load() == 0 {
		t.Fatal("no change was ever accepted, the property was not exercised")
	}
}

func check(t *rapid.T, f *fakeStore, want map[string]int) {
	docs := f.documents(t)
	for i, doc := range docs {
		if doc.Version() != int64(i+1) {
			t.Fatalf("write %d has version %d", i+1, doc.Version())
		}
	}
	last := docs[len(docs)-1]
	seen := map[string]bool{}
	for _, r := range last.Requests() {
		if seen[r.ID()] {
			t.Fatalf("request %s applied twice", r.ID())
		}
		seen[r.ID()] = true
	}
	for _, svc := range last.Services() {
		if n := want[string(svc.Name())]; svc.Slots() != n {
			t.Fatalf("%s has %d slots after %d successful increments", svc.Name(), svc.Slots(), n-1)
		}
	}
	cur, highest := config.NewCurrent(), int64(0)
	for range 2 {
		for _, doc := range rapid.Permutation(docs).Draw(t, "order of delivery") {
			cur.Offer(doc)
			if highest = max(highest, doc.Version()); cur.Version() != highest {
				t.Fatalf("version %d in force after version %d was received", cur.Version(), highest)
			}
		}
	}
}

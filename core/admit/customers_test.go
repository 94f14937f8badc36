package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
)

// sender is a customer of a simulated load.
type sender struct {
	weight float64 // of all calls
	rank   int
	public bool // calls without a customer

	offered, prompt int // calls, and those answered within their goal
}

// share returns the share of the sender's calls that were answered within their goal.
func (s *sender) share() float64 { return float64(s.prompt) / float64(max(s.offered, 1)) }

// simulateSenders offers the calls of senders for two minutes at a load relative to the
// capacity of 12 slots. Calls take 80 to 240 ms and have a goal of 500 ms and a deadline of
// 2 s. The gate knows the customers only if named is set.
func simulateSenders(senders []*sender, load float64, named bool) {
	const slots, mean = 12, 160 * time.Millisecond
	rng := rand.New(rand.NewPCG(5, 6))
	g := admit.New(admit.Options{Slots: slots, Queue: 3 * slots, UrgentShare: -1})
	total := 0.0
	for _, s := range senders {
		total += s.weight
	}
	type call struct {
		from    *sender
		arrived time.Time
		work    time.Duration
		end     time.Time
	}
	calls := make(map[admit.Ticket]*call)
	var running []admit.Ticket
	run := func(now time.Time, t admit.Ticket) {
		calls[t].end = now.Add(calls[t].work)
		running = append(running, t)
	}
	handle := func(now time.Time, events []admit.Event) {
		for _, ev := range events {
			if ev.Verdict == admit.Run {
				run(now, ev.Ticket)
			}
		}
	}
	for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(time.Millisecond) {
		for _, t := range slices.Clone(running) {
			c := calls[t]
			if now.Before(c.end) {
				continue
			}
			running = slices.DeleteFunc(running, func(o admit.Ticket) bool { return o == t })
			if now.Sub(c.arrived) <= 500*time.Millisecond {
				c.from.prompt++
			}
			handle(now, g.Done(now, t, c.work, false))
		}
		if rng.Float64() < load*slots/mean.Seconds()/1000 {
			i, at := 0, rng.Float64()*total
			for ; at > senders[i].weight; i++ {
				at -= senders[i].weight
			}
			s := senders[i]
			s.offered++
			spec := types.CallSpec{
				ID: "a", Service: "bookings", Worth: 1, Kind: "lookup",
				Goal: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second),
			}
			if named && !s.public {
				spec.Customer, spec.CustomerRank = types.CustomerName(fmt.Sprint(i)), s.rank
			}
			c, err := types.NewCall(spec)
			if err != nil {
				panic(err)
			}
			t, v := g.Offer(now, c)
			calls[t] = &call{from: s, arrived: now, work: mean/2 + time.Duration(rng.Int64N(int64(mean)))}
			if v == admit.Run {
				run(now, t)
			}
			handle(now, g.Pending())
		}
		handle(now, g.Tick(now))
	}
}

// newSenders returns n senders of weight 1 and rank 0 after change of each.
func newSenders(n int, change func(i int, s *sender)) []*sender {
	list := make([]*sender, n)
	for i := range list {
		list[i] = &sender{weight: 1}
		change(i, list[i])
	}
	return list
}

// shareOf returns the share of calls of several senders that were answered within their goal.
func shareOf(list []*sender) float64 {
	var sum sender
	for _, s := range list {
		sum.offered += s.offered
		sum.prompt += s.prompt
	}
	return sum.share()
}

// worst returns the share of calls of the worst tenth of the senders.
func worst(list []*sender) float64 {
	sorted := slices.SortedFunc(slices.Values(list), func(a, b *sender) int {
		return int(1e6 * (a.share() - b.share()))
	})
	return shareOf(sorted[:len(sorted)/10])
}

// callOf returns c as a call of a customer.
func callOf(c types.Call, name types.CustomerName, rank int) types.Call {
	c, err := types.NewCall(types.CallSpec{
		ID: c.ID(), Service: c.Service(), Class: c.Class(), Deadline: c.Deadline(), Worth: c.Worth(),
		Customer: name, CustomerRank: rank,
	})
	if err != nil {
		panic(err)
	}
	return c
}

// Guards against a customer that sends 7.5 times its usual load and takes the slots of the
// others, at 130 % of the capacity. 72 customers with the usual load of the others would use
// 119 %, so that 0.84 of their calls can be served.
func TestHotCustomerDelaysItself(t *testing.T) {
	is := is.New(t)
	run := func(named bool) (hot, others, tenth float64) {
		list := newSenders(72, func(i int, s *sender) {
			if i == 0 {
				s.weight = 7.5
			}
		})
		simulateSenders(list, 1.3, named)
		t.Logf("customers named %v: hot one %.3f, others %.3f, worst tenth %.3f", named, list[0].share(), shareOf(list[1:]), worst(list[1:]))
		return list[0].share(), shareOf(list[1:]), worst(list[1:])
	}
	hot, others, tenth := run(true)
	hotBefore, othersBefore, tenthBefore := run(false)
	is.True(others > othersBefore+0.02)
	is.True(tenth > tenthBefore)
	is.True(hot < hotBefore/2)
	is.True(hot > others/4)
}

// Guards against ranks, calls without a customer, which have the highest rank, and equal turns
// of small customers that starve others for good, and against ranks without effect: no customer
// may be served less than a quarter as often as all.
func TestNobodyStarves(t *testing.T) {
	ranks := func(i int, s *sender) { s.rank = i / 10 }
	large := func(i int, s *sender) {
		if i < 2 {
			s.weight = 30
		}
	}
	public := func(i int, s *sender) {
		if s.rank = 1; i == 0 {
			s.weight, s.rank, s.public = 40, 0, true
		}
	}
	for _, tc := range []struct {
		name   string
		load   float64
		n      int
		change func(i int, s *sender)
	}{
		{"ranks", 1.3, 30, ranks}, {"ranks", 2, 30, ranks}, {"ranks", 4, 30, ranks},
		{"two large customers", 2.5, 40, large}, {"public calls", 3, 21, public},
	} {
		t.Run(fmt.Sprint(tc.name, tc.load), func(t *testing.T) {
			is := is.New(t)
			list := newSenders(tc.n, tc.change)
			simulateSenders(list, tc.load, true)
			var shares []float64 // of equal customers
			for i := 0; i < tc.n; {
				first := i
				for i < tc.n && list[i].rank == list[first].rank && list[i].weight == list[first].weight {
					is.True(list[i].share() > shareOf(list)/4)
					i++
				}
				shares = append(shares, shareOf(list[first:i]))
			}
			t.Logf("%.3f, all %.3f", shares, shareOf(list))
			is.True(list[0].rank == list[tc.n-1].rank || shares[0] > shares[len(shares)-1])
		})
	}
}

// offerFor offers a call of a customer whose kind is its worth, with a goal after a time, 0 for
// none.
func offerFor(g *admit.Gate, name types.CustomerName, rank int, worth float64, goal time.Duration) (admit.Ticket, admit.Verdict) {
	spec := types.CallSpec{
		ID: "a", Service: "bookings", Kind: fmt.Sprint(worth), Worth: worth,
		Customer: name, CustomerRank: rank, Deadline: start.Add(time.Hour),
	}
	if goal > 0 {
		spec.Goal = start.Add(goal)
	}
	c, err := types.NewCall(spec)
	if err != nil {
		panic(err)
	}
	return g.Offer(start, c)
}

// Guards against an order by worth or arrival before the rank of the customer, and against a
// customer that gets two turns while another one waits.
func TestOrderByCustomer(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 1})
	names := make(map[admit.Ticket]string)
	running, _ := offerFor(g, "", 0, 1, 0)
	for _, c := range []struct {
		customer types.CustomerName
		rank     int
		worth    float64
	}{{"a", 2, 9}, {"a", 2, 9}, {"a", 2, 9}, {"b", 2, 9}, {"c", 1, 2}, {"c", 1, 5}, {"d", 0, 1}} {
		ticket, _ := offerFor(g, c.customer, c.rank, c.worth, 0)
		names[ticket] = fmt.Sprint(c.customer, c.worth)
	}
	var order []string
	for range 7 {
		running = g.Done(start, running, time.Millisecond, false)[0].Ticket
		order = append(order, names[running])
	}
	is.Equal(fmt.Sprint(order), "[d1 c5 c2 a9 b9 a9 a9]")
}

// Guards against a full queue in which a customer holds more than its share while others are
// refused, or takes it back by calls of more worth, and against shares across ranks.
func TestFullQueueIsShared(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 1, Queue: 4, UrgentShare: -1})
	offerFor(g, "", 0, 1, 0)
	var newest admit.Ticket
	for range 4 {
		newest, _ = offerFor(g, "hot", 1, 5, 0)
	}
	_, v := offerFor(g, "low", 2, 9, 0)
	is.Equal(v, admit.Refuse)
	cold, v := offerFor(g, "cold", 1, 1, 0)
	is.Equal(v, admit.Wait)
	is.Equal(g.Pending(), []admit.Event{{Ticket: newest, Reason: "customer holds more than its share of the waiting calls"}})
	_, v = offerFor(g, "hot", 1, 9, 0)
	is.Equal(v, admit.Wait)
	events := g.Pending()
	is.Equal(len(events), 1)
	is.True(events[0].Ticket != cold)
}

// Guards against a call that is refused for its goal because of a customer beyond its share,
// and against one that takes a place without meeting its goal in it.
func TestRoomForAGoal(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 1, Queue: 9, UrgentShare: -1})
	for _, worth := range []float64{1, 9} {
		ticket, _ := offerFor(g, "", 0, worth, 0)
		g.Done(start, ticket, 100*time.Millisecond, false)
	}
	offerFor(g, "", 0, 9, 0)
	var newest admit.Ticket
	for range 3 {
		newest, _ = offerFor(g, "hot", 0, 9, 0)
	}
	_, v := offerFor(g, "cold", 0, 1, 350*time.Millisecond) // needs 500 ms, 400 in place of one call
	is.Equal(v, admit.Refuse)
	is.Equal(len(g.Pending()), 0)
	_, v = offerFor(g, "cold", 0, 1, 450*time.Millisecond)
	is.Equal(v, admit.Wait)
	is.Equal(g.Pending()[0].Ticket, newest)
}

package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/retry"
	"trefoilthread/core/types"
)

var start = time.Unix(1000, 0)

func newCall(urgent bool, runs types.Runs) types.Call {
	c, err := types.NewCall(types.CallSpec{
		ID: "c", Service: "s", Deadline: start, Class: types.NewClass(urgent, runs),
	})
	if err != nil {
		panic(err)
	}
	return c
}

// Guards, for every combination of arguments, against a second run of an
// at-most-once call, retries of later hops that multiply, and attempts beyond
// tries, body or budget.
func TestDecide(t *testing.T) {
	is := is.New(t)
	retries, hedges := 0, 0
	for o := range types.Outcome(10) {
		if o == 9 {
			o = retry.Pending
		}
		for i := range 1 << 6 {
			bit := func(n int) bool { return i>>n&1 == 1 }
			c := newCall(bit(0), types.Runs(i>>1&1))
			depth, proven, tries := i>>2&1*3, bit(3), i>>4&1
			body, budget := bit(5), bit(5)
			a := retry.Decide(c, depth, o, proven, tries, body, budget)
			if tries == 0 || !body || !budget {
				is.Equal(a, retry.GiveUp)
				continue
			}
			once := c.Class().Runs() == types.AtMostOnce
			switch a {
			case retry.Retry:
				retries++
				is.True(o == types.NotRun || o == types.Unknown)
				is.True(proven || !once && depth == 0)
			case retry.Hedge:
				hedges++
				is.True(o == retry.Pending && !once && depth == 0 && c.Class().Urgent())
			}
		}
	}
	is.Equal(retries, 2*(8+2)) // two outcomes; 8 with proof, 2 idempotent at depth 0
	is.Equal(hedges, 2)        // with and without proof
	for _, broken := range [][2]bool{{true, false}, {false, true}} {
		c := newCall(true, types.Idempotent)
		is.Equal(retry.Decide(c, 0, types.NotRun, true, 1, broken[0], broken[1]), retry.GiveUp)
	}
}

// service is one service whose targets all fail, or call the next service.
type service struct {
	budget   *retry.Budget
	hedger   *retry.Hedger
	attempts int
}

func (s *service) call(now time.Time, c types.Call, depth int, next []*service) {
	s.budget.RecordCall(now)
	s.hedger.RecordCall()
	attempt := func() {
		s.attempts++
		if len(next) > 0 {
			next[0].call(now, c, depth+1, next[1:])
		}
	}
	attempt()
	tries := 2
	if retry.Decide(c, depth, retry.Pending, false, tries, true, s.hedger.Available()) == retry.Hedge {
		s.hedger.Take()
		attempt()
		tries--
	}
	for ; retry.Decide(c, depth, types.Unknown, false, tries, true, s.budget.Available(now)) == retry.Retry; tries-- {
		s.budget.Take(now)
		attempt()
	}
}

// Guards against load amplification of 1.2 and more, at the first service and
// at the last of four in a row, when every target fails slowly.
func TestAmplification(t *testing.T) {
	for _, rate := range []int{25, 100, 5000} {
		is := is.New(t)
		var chain []*service
		for range 4 {
			chain = append(chain, &service{
				budget: retry.NewBudget(retry.BudgetOptions{}),
				hedger: retry.NewHedger(retry.HedgerOptions{}),
			})
		}
		calls := 20 * rate
		for i := range calls {
			now := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
			chain[0].call(now, newCall(true, types.Idempotent), 0, chain[1:])
		}
		for i, s := range chain {
			amplification := float64(s.attempts) / float64(calls)
			t.Logf("%d calls/s, service %d: %.3f", rate, i, amplification)
			is.True(amplification < 1.2)
			is.True(amplification > 1.1) // retries and hedged requests are possible
		}
	}
}

// Guards against a service with few calls that cannot retry at all, and
// against a floor that grows without bound while idle.
func TestFloor(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.BudgetOptions{})
	taken := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		b.RecordCall(now)
		if b.Take(now) {
			taken++
		}
	}
	is.True(taken >= 29 && taken <= 33) // 3/s for 10 s, and the first second's
	now := start.Add(time.Hour)
	for range 3 {
		is.True(b.Take(now))
	}
	is.True(!b.Take(now))
}

// Guards against hedging without measurements, after a wrong delay, or after
// an outdated one.
func TestHedgeDelay(t *testing.T) {
	is := is.New(t)
	h := retry.NewHedger(retry.HedgerOptions{})
	_, ok := h.Delay(start)
	is.True(!ok)
	now := start
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		h.RecordLatency(now, time.Duration(i%100+1)*time.Millisecond)
	}
	d, ok := h.Delay(now)
	is.True(ok)
	is.True(d > 85*time.Millisecond && d < 105*time.Millisecond)
	is.True(!h.Take()) // no calls, no budget
	_, ok = h.Delay(now.Add(time.Minute))
	is.True(!ok)
}

// Guards against the share of 0 of an operator being replaced by the default.
func TestOffAllowsNothing(t *testing.T) {
	is := is.New(t)
	b, h := retry.NewBudget(retry.BudgetOptions{Off: true}), retry.NewHedger(retry.HedgerOptions{Off: true})
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(time.Second)
		b.RecordCall(now)
		h.RecordCall()
	}
	is.True(!b.Available(now))
	is.True(!b.Take(now))
	is.True(!h.Available())
	is.True(!h.Take())
}

// Guards against a budget that permits its burst again each time that its share
// changes, for example when another daemon is seen.
func TestBudgetKeepsItsStateWithNewOptions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := retry.NewBudget(retry.BudgetOptions{Share: 0.5, Floor: 2, Burst: 4})
	is.True(b.Take(now))
	is.True(b.Take(now))
	is.True(!b.Take(now))
	for n := range 10 {
		b.SetOptions(retry.BudgetOptions{Share: 0.5, Floor: 2 / float64(n+1), Burst: 4})
		is.True(!b.Take(now))
	}
	for range 20 {
		b.RecordCall(now)
	}
	b.SetOptions(retry.BudgetOptions{Share: 0.5, Floor: 2, Burst: 1})
	is.True(b.Take(now))
	is.True(!b.Take(now))
}

// Guards against less urgent requests that take the last of a budget while more urgent ones are
// denied, and against such that get no retry any more.
func TestLastRetriesGoToUrgentRequests(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.BudgetOptions{Floor: 1})
	take := func(ms, customer, route int) bool {
		return b.TakeFor(start.Add(time.Duration(ms)*time.Millisecond), types.Urgency{Customer: customer, Route: route})
	}
	is.True(take(0, 1, 1))
	is.True(!take(100, 0, 1))
	is.True(!take(1050, 0, 2)) // there is a token
	is.True(!take(1050, 1, 0))
	is.True(take(1050, 0, 0)) // more urgent than the denied one
	is.True(!take(1060, 0, 1))
	is.True(!take(2055, 0, 2))
	is.True(take(2065, 0, 2))
	is.True(!take(2070, 0, 2))
	is.True(take(3066, 0, 2)) // as urgent as the denied one
	is.True(!take(3067, 0, 0))

	limit := retry.NewHedgeLimit(1)
	limit.RecordCall()
	hedge := func(route int) retry.Hold {
		return limit.Take(start.Add(4066500*time.Microsecond), retry.HedgeView{IsFaster: true}, b, types.Urgency{Route: route})
	}
	is.Equal(hedge(1), retry.HeldByRetries) // there is a token
	is.Equal(hedge(0), retry.NotHeld)
}

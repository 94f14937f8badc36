package probe_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilthread/core/probe"
)

// Guards against a window that holds more than the budget: after a burst,
// with more grants than records, after a budget change and across a restart.
func TestNoWindowExceedsBudget(t *testing.T) {
	type granted struct {
		at   time.Time
		cost time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		w, budget := 100*time.Millisecond, 10*time.Millisecond
		records := rapid.IntRange(1, 5).Draw(t, "records")
		now := time.Unix(1000, 0)
		o := probe.Options{Budget: budget, Window: w, Records: records}
		b := probe.New(now, o)
		var all []granted
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			step := rapid.SampledFrom([]int{0, 1, 3, 10, 50, 100, 101, -3}).Draw(t, "step")
			now = now.Add(time.Duration(step) * time.Millisecond)
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				if len(all) > 0 && now.Before(all[len(all)-1].at) {
					now = all[len(all)-1].at // a new process starts after the last grant of the previous one
				}
				o.Budget = budget
				b = probe.New(now, o)
			case 1:
				budget = time.Duration(rapid.IntRange(1, 20).Draw(t, "budget")) * time.Millisecond
				b.SetBudget(budget)
			}
			cost := time.Duration(rapid.IntRange(-1, 12).Draw(t, "cost")) * time.Millisecond
			if !b.Grant(now, cost).Granted() {
				continue
			}
			all = append(all, granted{now, cost})
			var sum time.Duration
			for _, g := range all {
				if d := now.Sub(g.at); d >= -w && d <= w {
					sum += g.cost
				}
			}
			if sum > budget || cost <= 0 {
				t.Fatalf("%v granted in a window, budget %v", sum, budget)
			}
		}
	})
}

// Guards against a grant that was dropped from the window and is in it again after the clock
// has stepped back.
func TestClockStepsBack(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	b := probe.New(begin, probe.Options{Budget: 3 * time.Millisecond, Window: 100 * time.Millisecond, Records: 2})
	is.True(b.Grant(at(101), time.Millisecond).Granted())
	is.True(b.Grant(at(105), 2*time.Millisecond).Granted())
	is.True(!b.Grant(at(202), 2*time.Millisecond).Granted()) // drops the first one
	is.Equal(b.Grant(at(199), time.Millisecond).Wait(), 3*time.Millisecond)
	is.True(b.Grant(at(202), time.Millisecond).Granted())
}

// Guards against a Wait that is too short, which makes callers poll, or too
// long, which leaves budget unused.
func TestWaitIsExact(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := probe.New(now, probe.Options{})
	for range 3 {
		d := b.Grant(now, probe.Cost)
		is.True(!d.Granted())
		is.True(!b.Grant(now.Add(d.Wait()-1), probe.Cost).Granted())
		now = now.Add(d.Wait())
		is.True(b.Grant(now, probe.Cost).Granted())
	}
	is.True(b.Used(now) == probe.Cost && b.Grant(now, probe.DefaultBudget+1).Never())
	is.Equal(b.Refused(), uint64(7))
}

// Guards against a clock that steps back to a window whose grants have been
// dropped, and against a full ring that loses its latest grant.
func TestBackwardsTimeAndFullRing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := probe.New(now.Add(-time.Hour), probe.Options{})
	is.True(b.Grant(now, 9*time.Millisecond).Granted())
	now = now.Add(probe.DefaultWindow + 1)
	is.True(b.Grant(now, time.Millisecond).Granted())
	is.True(!b.Grant(now.Add(-2), 2*time.Millisecond).Granted())
	b = probe.New(now.Add(-time.Hour), probe.Options{Budget: 2, Records: 1})
	is.True(b.Grant(now, 1).Granted() && b.Grant(now.Add(time.Second/2), 1).Granted())
	is.True(!b.Grant(now.Add(time.Second+1), 2).Granted())
}

package cold_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/cold"
)

var (
	begin    = time.Unix(1000, 0)
	checked  = cold.Options{Time: 3 * time.Second, HasChecks: true}
	npBound  = cold.Bound{Overrun: 1.5, Extra: 8} // of deployment np
	atMs     = func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	forMs    = func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	npRate   = 13.0
	npLimit  = 27 // calls in any second by npBound at npRate
	coldTime = 3000
)

// Guards against a target that counts as warm on information that doesn't show it: none at
// all, one from before its restart, or one that is too old; and against one that stays cold
// after it has said otherwise.
func TestTrackerIsCold(t *testing.T) {
	type message struct{ sent, arrived, remaining int }
	for _, tc := range []struct {
		name     string
		presumed int // time of a second event, 0 for none
		heard    []message
		opts     cold.Options
		at       int
		want     int // remaining ms
	}{
		{"start of the daemon", 0, nil, checked, 500, 2500},
		{"no check has ever said otherwise", 0, nil, checked, 5000, 1000},
		{"without checks, cold time over", 0, nil, cold.Options{Time: 3 * time.Second}, 3000, 0},
		{"warm", 0, []message{{10, 12, 0}}, checked, 20, 0},
		{"cold again without a restart", 0, []message{{10, 12, 0}, {110, 115, 2900}}, checked, 115, 2900},
		{"cold time named is over", 0, []message{{10, 12, 500}, {500, 505, 7}}, checked, 512, 0},
		{"warm before the time named", 0, []message{{10, 12, 500}, {100, 105, 0}}, checked, 105, 0},
		{"warm, sent before the restart", 50, []message{{10, 12, 0}, {40, 60, 0}}, checked, 60, 2990},
		{"cold, sent before the restart", 50, []message{{40, 60, 9000}}, checked, 60, 9000},
		{"warm, sent after the restart", 50, []message{{51, 60, 0}}, checked, 60, 0},
		{"late message of an earlier state", 0, []message{{100, 101, 0}, {20, 130, 0}}, checked, 1100, 0},
		{"information too old", 0, []message{{100, 101, 0}}, checked, 1102, 1000},
		{"old information without checks", 0, []message{{100, 101, 0}}, cold.Options{Time: 3 * time.Second}, 9000, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := cold.New(begin)
			if tc.presumed > 0 {
				c.Presume(atMs(tc.presumed))
			}
			for _, m := range tc.heard {
				c.Hear(atMs(m.sent), atMs(m.arrived), forMs(m.remaining))
			}
			if tc.name == "information too old" {
				is.True(!c.IsCold(atMs(1100), tc.opts))
			}
			is.Equal(c.Remaining(atMs(tc.at), tc.opts), forMs(tc.want))
			is.Equal(c.IsCold(atMs(tc.at), tc.opts), tc.want > 0)
		})
	}
}

// Guards against a late message that ends the cold time, shortens it, or takes the place of a
// health check.
func TestTrackerProlong(t *testing.T) {
	is := is.New(t)
	c := cold.New(begin)
	c.Prolong(atMs(10), 0)
	is.Equal(c.Remaining(atMs(10), checked), forMs(2990))
	is.True(c.NeedsCheck(atMs(10), spare))
	c.Hear(atMs(20), atMs(22), forMs(900))
	c.Prolong(atMs(30), forMs(100))
	is.Equal(c.Remaining(atMs(30), checked), forMs(892))
	c.Prolong(atMs(40), forMs(1200))
	is.Equal(c.Remaining(atMs(40), checked), forMs(1200))
	c.Hear(atMs(50), atMs(52), 0)
	is.True(!c.IsCold(atMs(52), checked))
}

// spare is the number of calls that may start unseen.
const spare = 12

// Guards against calls that go to a target on information older than a tenth of a second, or
// from before an event, without a health check, and against a rush between two checks that a
// target which turned cold doesn't bear.
func TestTrackerNeedsCheck(t *testing.T) {
	is := is.New(t)
	c := cold.New(begin)
	is.True(c.NeedsCheck(begin, spare))
	c.Hear(atMs(1), atMs(2), 0)
	is.True(!c.NeedsCheck(atMs(101), spare))
	is.True(c.NeedsCheck(atMs(102), spare))
	for range spare {
		c.Start(atMs(50))
	}
	is.True(!c.NeedsCheck(atMs(60), spare))
	c.Start(atMs(55))
	is.True(c.NeedsCheck(atMs(60), spare))
	c.Hear(atMs(60), atMs(61), 0)
	is.True(!c.NeedsCheck(atMs(62), spare))
	c.Presume(atMs(63))
	is.True(c.NeedsCheck(atMs(64), spare))
}

// Guards against a limit that breaks the bound by its burst, that forgives the starts at a
// target that turned cold unseen, or that starts nothing for seconds because of them.
func TestBound(t *testing.T) {
	for _, tc := range []struct {
		bound     cold.Bound
		rate      float64
		unseen    int
		perSecond float64
		burst     int
		debt      int
	}{
		{npBound, 13, 12, 13, 2, 0},
		{npBound, 13, 20, 13, 2, 8},
		{npBound, 13, 200, 13, 2, 12},
		{cold.Bound{Overrun: 1}, 13, 0, 12, 1, 0},
		{cold.Bound{Overrun: 1}, 13, 5, 12, 1, 5},
		{cold.Bound{Overrun: 1, Extra: 1.5}, 4, 0, 4, 1, 0},
	} {
		is := is.New(t)
		perSecond, burst := tc.bound.Limit(tc.rate)
		is.Equal(perSecond, tc.perSecond)
		is.Equal(burst, tc.burst)
		is.Equal(tc.bound.Debt(tc.rate, tc.unseen), tc.debt)
	}
}

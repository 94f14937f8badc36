package stall_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilthread/core/stall"
)

var start = time.Unix(1000, 0)

// timeAt returns the time n ms after start.
func timeAt(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// runChecks simulates the interval [from, to], in ms. Every 50 ms it calls step,
// sends the pings that are due and calls Check. It returns when each connection
// was abandoned, in ms.
func runChecks(t *stall.Tracker, from, to int, step func(at int)) map[stall.ConnID]int {
	got := map[stall.ConnID]int{}
	for at := from; at <= to; at += 50 {
		if step != nil {
			step(at)
		}
		for _, id := range t.PingsDue(timeAt(at)) {
			t.PingSent(timeAt(at), id)
		}
		for _, id := range t.Check(timeAt(at)) {
			got[id] = at
		}
	}
	return got
}

// Guards against keeping a dead connection between daemons, and against
// abandoning one whose peer answers pings while its target is slow, one that is
// idle, or one that was never pinged.
func TestPeerStall(t *testing.T) {
	is := is.New(t)
	tr := stall.New(start, stall.Options{})
	for id := range stall.ConnID(4) {
		tr.Sent(start, id, 10)
	}
	tr.Progress(start, 3, 10)                                                    // idle
	is.Equal(map[stall.ConnID]int{0: 300}, runChecks(tr, 0, 1000, func(at int) { // pinged at 150
		tr.PingAnswered(timeAt(at), 1)
		tr.Progress(timeAt(at), 2, 0)
	}))

	tr = stall.New(start, stall.Options{})
	tr.Sent(start, 1, 1)
	for at := 0; at < 2000; at += 100 {
		is.Equal(len(tr.Check(timeAt(at))), 0)
	}
	is.Equal(tr.PingsDue(timeAt(2000)), []stall.ConnID{1})
	tr.PingSent(timeAt(2000), 1)
	is.Equal(len(tr.Check(timeAt(2000)))+len(tr.Check(timeAt(2100))), 0) // the peer has StallAfter/2 to answer
	tr.PingSent(timeAt(2100), 1)                                         // doesn't postpone the stall
	is.Equal(len(tr.Check(timeAt(2125))), 1)
}

// Guards against abandoning the connections of a straggler, those of a target
// with long requests, or the only connection to a target; and against keeping a
// connection that is inactive while others make progress.
func TestTargetStall(t *testing.T) {
	for name, c := range map[string]struct {
		others   int // number of connections besides connection 0
		until    int // they make progress up to this time, in ms
		quantile int // 99 % latency quantile, in ms
		want     map[stall.ConnID]int
	}{
		"stalled":       {3, 2000, 20, map[stall.ConnID]int{0: 250}},
		"one other":     {1, 2000, 20, map[stall.ConnID]int{0: 250}},
		"long requests": {3, 2000, 200, map[stall.ConnID]int{0: 800}},
		"straggler":     {3, 50, 20, map[stall.ConnID]int{}},
		"single":        {0, 0, 20, map[stall.ConnID]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			tr := stall.New(start, stall.Options{Kind: stall.Target})
			tr.SetLatencyQuantile(time.Duration(c.quantile) * time.Millisecond)
			for id := range stall.ConnID(c.others + 1) {
				tr.Sent(start, id, 1)
			}
			is.New(t).Equal(c.want, runChecks(tr, 0, 2000, func(at int) {
				for id := 1; id <= c.others && at <= c.until; id++ {
					tr.Sent(timeAt(at), stall.ConnID(id), 1)
					tr.Progress(timeAt(at), stall.ConnID(id), 1)
				}
			}))
		})
	}
}

// Guards against counting inactivity from before a request was sent, or during
// a pause of this process, after which answers are still waiting to be read.
func TestIdleTimeAndPausesAreNotSilence(t *testing.T) {
	is := is.New(t)
	tr := stall.New(start, stall.Options{})
	tr.Sent(start, 1, 1)
	tr.Progress(start, 1, 1)
	is.Equal(len(runChecks(tr, 0, 4950, nil)), 0)
	tr.Sent(timeAt(5000), 1, 1)
	is.Equal(len(runChecks(tr, 5000, 5200, nil)), 0) // pinged
	is.Equal(len(runChecks(tr, 9000, 9200, nil)), 0)
	is.Equal(runChecks(tr, 9250, 9400, nil), map[stall.ConnID]int{1: 9300})
}

// Guards against a table that grows without bound when connections are never
// closed, and against abandoning a connection that isn't tracked, has nothing
// outstanding or made progress within DefaultStallAfter.
func TestTrackerIsBoundedAndAbandonsOnlyBusyConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]stall.Kind{stall.Peer, stall.Target}).Draw(t, "kind")
		tr := stall.New(start, stall.Options{Kind: kind, MaxConnections: 4})
		now, outstanding, lastProgress := start, map[stall.ConnID]int64{}, map[stall.ConnID]time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 125).Draw(t, "ms")) * time.Millisecond)
			id := stall.ConnID(rapid.IntRange(0, 6).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				tr.Sent(now, id, 2)
				outstanding[id] += 2
			case 2:
				tr.Progress(now, id, 1)
				outstanding[id], lastProgress[id] = max(0, outstanding[id]-1), now
			case 3:
				tr.PingSent(now, id)
			case 4:
				tr.Closed(id)
				delete(outstanding, id)
			}
			for _, id := range tr.Check(now) {
				if outstanding[id] == 0 || now.Sub(lastProgress[id]) < stall.DefaultStallAfter {
					t.Fatalf("connection %d abandoned: %d outstanding, last progress %v ago",
						id, outstanding[id], now.Sub(lastProgress[id]))
				}
			}
			if tr.Len() > 4 {
				t.Fatalf("%d connections tracked, want at most 4", tr.Len())
			}
		}
	})
}

// Guards against a full table that drops busy connections instead of idle
// ones, or that doesn't count the connections it fails to track.
func TestFullTableDropsIdleConnections(t *testing.T) {
	is := is.New(t)
	tr := stall.New(start, stall.Options{MaxConnections: 2})
	tr.Sent(start, 1, 1)
	tr.Sent(start, 2, 1)
	tr.Sent(start, 3, 1)
	is.Equal(tr.Untracked(), uint64(1))
	tr.Progress(start, 2, 1)
	tr.Sent(start, 3, 1)
	is.Equal(runChecks(tr, 0, 500, nil), map[stall.ConnID]int{1: 300, 3: 300})
}

// Guards against closing a connection that became active again while its
// replacement was being opened, and against never checking it again.
func TestRecoveredConnectionIsCheckedAgain(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	tr := stall.New(start, stall.Options{Kind: stall.Peer, StallAfter: time.Second})
	tr.Sent(start, 1, 1)
	abandoned := func(from time.Time) []stall.ConnID {
		var ids []stall.ConnID
		for i := range 8 {
			now := from.Add(time.Duration(i) * 250 * time.Millisecond)
			ids = append(ids, tr.Check(now)...)
			for _, id := range tr.PingsDue(now) {
				tr.PingSent(now, id)
			}
		}
		return ids
	}
	is.Equal(abandoned(start), []stall.ConnID{1})
	is.True(!tr.Recovered(1))
	tr.PingAnswered(start.Add(2*time.Second), 1)
	is.True(tr.Recovered(1))
	is.Equal(abandoned(start.Add(2*time.Second)), []stall.ConnID{1})
	tr.Closed(1)
	is.True(!tr.Recovered(1))
}

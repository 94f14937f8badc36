package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/route"
)

// Guards against a straggler that keeps its share of the calls, against short
// latencies of failures that attract calls, and against stale reports that
// are worse than none.
func TestWeightedAgainstRandom(t *testing.T) {
	way := 250 * time.Microsecond
	for name, c := range map[string]struct {
		queueModel
		good func(weighted, random outcome) bool
	}{
		"straggler": {queueModel{pickers: 10, targets: 10, load: 0.6, oneWay: way, changeAt: time.Second, end: 3 * time.Second, slow: 10},
			func(w, r outcome) bool { return w.p99 < r.p99/4 && w.lateShare < 0.01 }},
		"stragglerOfMany": {queueModel{pickers: 200, targets: 20, load: 0.6, oneWay: way, changeAt: time.Second, end: 3 * time.Second, slow: 10},
			func(w, _ outcome) bool { return w.p99 < 8*modelServiceTime && w.lateShare < 0.006 }},
		"failFast": {queueModel{pickers: 10, targets: 10, load: 0.6, oneWay: way, changeAt: time.Second, end: 3 * time.Second, fails: true},
			func(w, r outcome) bool { return w.failedShare < r.failedShare/5 && w.lateShare < 0.005 }},
		"stale": {queueModel{pickers: 200, targets: 20, load: 0.95, oneWay: 3 * way, end: 2 * time.Second},
			func(w, r outcome) bool { return w.p99 < r.p99 }},
	} {
		t.Run(name, func(t *testing.T) {
			w, r := c.run(route.Weighted), c.run(route.Random)
			t.Logf("weighted %+v, random %+v, least outstanding %+v", w, r, c.run(route.LeastOutstanding))
			is.New(t).True(c.good(w, r))
		})
	}
}

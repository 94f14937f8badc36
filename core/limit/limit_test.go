package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/limit"
)

const slots = 12

func newLimit() (*limit.Limit, *rand.Rand, time.Time) {
	return limit.New(limit.Options{Max: slots}), rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)
}

// run observes n calls of one kind with exponentially distributed service times of
// the given mean and returns the average limit.
func run(l *limit.Limit, r *rand.Rand, now *time.Time, n, kind int, mean time.Duration) float64 {
	sum := 0.0
	for range n {
		*now = now.Add(mean / slots)
		l.Observe(*now, kind, time.Duration(r.ExpFloat64()*float64(mean)), l.Value(), false)
		sum += float64(l.Value())
	}
	return sum / float64(n)
}

// Guards against a limit that ignores a noisy neighbour, leaves its bounds, or
// stays low after the neighbour is gone, and against one that noise alone
// lowers.
func TestLimitFollowsLatency(t *testing.T) {
	is := is.New(t)
	l, r, now := newLimit()
	v := run(l, r, &now, 5000, 0, 20*time.Millisecond)
	t.Logf("average limit under normal load: %.2f", v)
	is.True(v > 0.9*slots)
	run(l, r, &now, 200, 0, 80*time.Millisecond)
	is.Equal(l.Value(), slots/4)
	run(l, r, &now, 500, 0, 20*time.Millisecond)
	is.True(run(l, r, &now, 1000, 0, 20*time.Millisecond) > 0.9*slots)
}

// Guards against a decrease of the limit when only the mix of calls changes.
func TestLimitIgnoresChangeOfMix(t *testing.T) {
	is := is.New(t)
	l, r, now := newLimit()
	run(l, r, &now, 2000, 0, 2*time.Millisecond)
	is.True(run(l, r, &now, 200, 1, 50*time.Millisecond) > 0.9*slots)
	is.True(l.Median(now, 0) < 10*time.Millisecond)
}

// Guards against a burst of fast failures lowering the minimum, after which
// healthy calls would look slow.
func TestLimitIgnoresFastFailures(t *testing.T) {
	is := is.New(t)
	l, r, now := newLimit()
	run(l, r, &now, 1000, 0, 20*time.Millisecond)
	for range 1000 {
		now = now.Add(time.Millisecond)
		l.Observe(now, 0, 100*time.Microsecond, slots, true)
	}
	is.True(run(l, r, &now, 500, 0, 20*time.Millisecond) > 0.9*slots)
}

// Guards against an estimate that causes all calls to be refused and is never
// corrected, because no call ends any more.
func TestEstimateDecaysWithoutSamples(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := limit.New(limit.Options{Max: slots})
	l.Observe(now, 0, time.Second, 1, false)
	is.Equal(l.Mean(now, 0), time.Second)
	is.True(l.Median(now.Add(5*time.Second), 0) < 50*time.Millisecond)
}

package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/retry"
)

// Guards against budgets that fall below one retry as the fleet grows, so that nobody
// ever retries, and against parts that exceed the limit of the fleet together. Each
// daemon gets the same number of calls, all of which fail and want a retry, first at
// once and then evenly.
func TestPartsOfTheFleetLimit(t *testing.T) {
	const (
		share   = 0.2
		window  = 10 * time.Second
		perCall = 100 * time.Millisecond // time between two calls of a daemon
	)
	for _, tc := range []struct{ daemons, extra int }{{1, 2}, {12, 64}, {78, 196}, {295, 630}, {5167, 11_000}} {
		t.Run(fmt.Sprint(tc.daemons), func(t *testing.T) {
			is := is.New(t)
			limit := retry.FleetLimit{Share: share, Extra: tc.extra, Window: window}
			b := retry.NewBudget(limit.Part(tc.daemons))
			start := time.Unix(1000, 0)
			b.RecordCall(start)
			now := start.Add(time.Minute) // all that may be kept is there
			for range 100 {
				b.RecordCall(now)
			}
			var calls, retries int // of one daemon in the window
			for end := now.Add(window); now.Before(end); now = now.Add(perCall) {
				b.RecordCall(now)
				calls++
				for b.Take(now) {
					retries++
				}
			}
			allowed := share*float64(calls*tc.daemons) + float64(tc.extra)
			is.True(retries > 0)
			is.True(float64(retries*tc.daemons) <= allowed)
			is.True(float64(retries) >= share*float64(calls)/2-1) // the part that daemons use
		})
	}
}

package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/retry"
)

// Guards against a forecast that differs from the delay of the next call, or that changes it.
func TestForecastIsTheDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := retry.HedgerOptions{MinSamples: 3}
		a, b := retry.NewHedger(o), retry.NewHedger(o)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "pauseMs")) * time.Millisecond)
			if rapid.Bool().Draw(t, "sample") {
				d := time.Duration(rapid.IntRange(1, 500).Draw(t, "latencyMs")) * time.Millisecond
				a.RecordLatency(now, d)
				b.RecordLatency(now, d)
				continue
			}
			b.Forecast(now.Add(time.Second))
			got, known := b.Forecast(now)
			want, ok := a.Delay(now)
			if got != want || known != ok {
				t.Fatalf("forecast %s %v, delay %s %v", got, known, want, ok)
			}
			if again, _ := b.Delay(now); again != want {
				t.Fatalf("delay %s after a forecast, %s without", again, want)
			}
		}
	})
}

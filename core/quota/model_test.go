package quota_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/quota"
)

// Guards against a quota that is exceeded: by two owners at once, by tokens of lost, late and
// doubled messages, by tokens that are used after their time, and by buckets that a restart,
// a pause or another owner fills. Most of the time all daemons want more than the
// quota.
func TestBoundHolds(t *testing.T) { rapid.Check(t, checkBound) }

func checkBound(t *rapid.T) {
	n := rapid.SampledFrom([]int{1, 1, 2, 4}).Draw(t, "data centres")
	limit := quota.Limit{
		PerSecond: rapid.OneOf(rapid.Float64Range(0.1, 5), rapid.Float64Range(5, 300)).Draw(t, "perSecond"),
		Burst:     rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 60)).Draw(t, "burst"),
	}
	w := newWorld(n, limit)
	count := 0
	join := func(centre int) {
		count++
		w.join(fmt.Sprint("vm", count), centre)
	}
	for i := range 2 * n {
		join(i % n)
	}
	var stalledUntil time.Time // messages arrive then
	w.fate = func(*agent, *agent) []time.Duration {
		if w.now.Before(stalledUntil) {
			return []time.Duration{stalledUntil.Sub(w.now)}
		}
		d := time.Duration(rapid.IntRange(0, 20).Draw(t, "delayMs")) * time.Millisecond
		switch rapid.IntRange(0, 11).Draw(t, "fate") {
		case 0:
			return nil
		case 1:
			return []time.Duration{d, d + 7*time.Millisecond}
		case 2:
			return []time.Duration{20 * d}
		case 3:
			return []time.Duration{300 * d}
		}
		return []time.Duration{d}
	}
	pass := func(d time.Duration, demand float64) {
		for range int(d / (20 * time.Millisecond)) {
			for _, a := range w.agents {
				for range int(demand * (1 + limit.PerSecond/20)) {
					a.request()
				}
			}
			w.run(20 * time.Millisecond)
		}
	}
	w.run(600 * time.Millisecond)
	pass(7*time.Second, 1)
	// Half of the failures hit an owner.
	pick := func(t *rapid.T) *agent {
		if rapid.Bool().Draw(t, "owner") {
			if a := w.ownerOf(rapid.IntRange(0, n-1).Draw(t, "centre")); a != nil {
				return a
			}
		}
		return w.agents[rapid.IntRange(0, len(w.agents)-1).Draw(t, "agent")]
	}
	var cutAt = make(map[*agent]time.Time)
	cut := func(a *agent) {
		if !a.isCut {
			a.isCut = true
			cutAt[a] = w.now
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"pass": func(t *rapid.T) {
			ms, demand := rapid.IntRange(1, 8000).Draw(t, "ms"), rapid.SampledFrom([]float64{0, 0.5, 1, 1}).Draw(t, "demand")
			pass(time.Duration(ms)*time.Millisecond, demand)
		},
		"join": func(t *rapid.T) { join(rapid.IntRange(0, n-1).Draw(t, "centre")) },
		// Another owner, of which the earlier one may not hear.
		"displace": func(t *rapid.T) {
			centre := rapid.IntRange(0, n-1).Draw(t, "centre")
			old := w.ownerOf(centre)
			if old != nil && rapid.Bool().Draw(t, "unnoticed") {
				cut(old)
			}
			for range 20 {
				if join(centre); w.ownerOf(centre) != old {
					break
				}
				delete(w.records, w.agents[len(w.agents)-1].name)
				w.agents = w.agents[:len(w.agents)-1]
			}
			pass(8*time.Second, 1)
		},
		"stall": func(t *rapid.T) {
			stalledUntil = w.now.Add(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"pause": func(t *rapid.T) {
			if a := pick(t); !a.isOff() {
				a.pause(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms"))*time.Millisecond, rapid.Bool().Draw(t, "suspension"))
			}
		},
		"restart": func(t *rapid.T) {
			if a := pick(t); !a.isOff() {
				a.restart()
			}
		},
		"stop": func(t *rapid.T) {
			a := pick(t)
			a.isDead = true
			delete(w.records, a.name)
		},
		"cut": func(t *rapid.T) {
			cut(pick(t))
		},
		"mend": func(*rapid.T) {
			for _, a := range w.agents {
				a.isCut = false
			}
		},
		// A record is deleted after 16 s of silence, though its daemon may be alive.
		"forget": func(t *rapid.T) {
			if a := pick(t); a.isCut && w.now.Sub(cutAt[a]) >= 16*time.Second {
				delete(w.records, a.name)
			}
		},
		"return": func(t *rapid.T) {
			if a := pick(t); !a.isOff() && !a.isCut {
				w.setRecord(a)
			}
		},
		"": func(t *rapid.T) {
			const window = 5 * time.Second
			bound := (limit.PerSecond*5+limit.Burst)*1.1 + 20
			if got := most(w.ran, window); float64(got) > bound {
				t.Fatalf("%d requests ran within %s, allowed %.1f", got, window, bound)
			}
			// Stricter: what doc.go promises of the owners.
			own := limit.PerSecond*(window+quota.Lifetime).Seconds() + limit.Burst + 10
			if got := most(w.granted, window+quota.Lifetime); float64(got) > own+1e-6 {
				t.Fatalf("%d tokens granted, allowed %.1f", got, own)
			}
		},
	})
}

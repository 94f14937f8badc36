package stand

import "time"

// SetSlowdown multiplies all service times; 1 is ordinary, 10 a straggler.
func (t *Target) SetSlowdown(factor float64) {
	t.set(func(f *targetFaults) { f.slowdown = factor })
}

// SetFailing makes a share of the requests, 0 to 1, fail at once with status
// 500. They count as runs: a caller cannot know what they did.
func (t *Target) SetFailing(share float64) {
	t.set(func(f *targetFaults) { f.failShare = share })
}

// FailNext makes the next n requests fail at once with status 500.
func (t *Target) FailNext(n int) {
	t.set(func(f *targetFaults) { f.failNext = n })
}

// SetStalled makes the target accept connections and requests without ever
// answering. Requests that arrived while it was stalled stay without an answer.
func (t *Target) SetStalled(stalled bool) {
	t.set(func(f *targetFaults) { f.stalled = stalled })
}

// SwallowOpen makes all open connections swallow bytes for ever, while new
// connections work. It returns their number.
func (t *Target) SwallowOpen() int { return t.end.swallowOpen() }

// SwallowNext makes the next n connections swallow bytes.
func (t *Target) SwallowNext(n int) {
	t.end.mu.Lock()
	defer t.end.mu.Unlock()
	t.end.swallowNext = n
}

// SetLoadLag makes /load answer the load of d ago.
func (t *Target) SetLoadLag(d time.Duration) {
	t.set(func(f *targetFaults) { f.loadLag = d })
}

// SetLoadLie makes /load answer l; nil ends it.
func (t *Target) SetLoadLie(l *Load) {
	t.set(func(f *targetFaults) { f.loadLie = l })
}

// SetHealthLag makes /health report a drain only d after it began.
func (t *Target) SetHealthLag(d time.Duration) {
	t.set(func(f *targetFaults) { f.healthLag = d })
}

// SetHealthLie makes /health answer a status whatever the state; 0 ends it.
func (t *Target) SetHealthLie(status int) {
	t.set(func(f *targetFaults) { f.healthLie = status })
}

// Drain announces "draining" at once. Requests that run are finished, and new
// ones still run, but are counted as RunsWhileDraining.
func (t *Target) Drain() {
	t.set(func(f *targetFaults) {
		if !f.draining {
			f.draining, f.drainedAt = true, time.Now()
		}
	})
	if t.announcer != nil {
		t.announcer.now()
	}
}

// SetServiceTime replaces the distribution of service times.
func (t *Target) SetServiceTime(s ServiceTime) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opts.ServiceTime = s
}

// SetBodySize replaces the length of the filler in answers.
func (t *Target) SetBodySize(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opts.BodySize = n
}

func (t *Target) set(change func(*targetFaults)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.faults)
}

package agent

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"trefoilthread/core/fresh"
	"trefoilthread/io/mesh"
)

// knowledgeAge returns how old the state of the store is that this agent knows: later
// changes may be missing. It counts the time in which the machine was suspended.
func (a *Agent) knowledgeAge() time.Duration { return a.fresh.storeAge() }

// freshness measures the age of this agent's knowledge of the store and of the
// configuration. It is safe for concurrent use.
type freshness struct {
	elapsed func() time.Duration // on a clock that counts suspension
	gauge   tally.Gauge          // age of the knowledge of the configuration, in seconds

	mu    sync.Mutex
	clock *fresh.Clock
}

func newFreshness(bound time.Duration, elapsed func() time.Duration, scope tally.Scope) *freshness {
	return &freshness{elapsed: elapsed, gauge: scope.Gauge("knowledge_age_seconds"), clock: fresh.New(bound)}
}

// time returns the time of the clock, counted from an arbitrary moment.
func (f *freshness) time() time.Time { return time.Unix(0, 0).Add(f.elapsed()) }

// isBound reports whether requests with keys need recent knowledge.
func (f *freshness) isBound() bool { return f.clock.IsBound() }

// learn records that all changes of the store up to a time of the clock are in the copy.
// It is called after they were applied.
func (f *freshness) learn(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.Learn(min(at, f.elapsed()))
}

// learnFrom records the knowledge of another agent, which answered a query sent at a time.
// It is called after the news were applied.
func (f *freshness) learnFrom(sent time.Duration, news *mesh.News) {
	if news.KnownMs > 0 && news.KnownMs < unknownAge.Milliseconds() {
		f.learn(sent + time.Duration(max(0, news.HeldMs)-news.KnownMs)*time.Millisecond)
	}
}

// known returns the age of the knowledge for another agent, in milliseconds; 0 if unknown.
// The caller holds the lock of the copy, so that no change is missing that was known then.
func (f *freshness) known() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, ok := f.clock.StoreAge(f.elapsed())
	if !ok {
		return 0
	}
	return age.Milliseconds() + 1 // not younger than it is
}

// forget records that the store was restored from an older copy.
func (f *freshness) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.Forget()
}

// want records that the store has a configuration of a revision, which is still to be read.
func (f *freshness) want(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.Want(revision)
}

// applied records that the configuration of a revision is in force or not valid.
func (f *freshness) applied(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.Applied(revision)
}

// storeAge returns the age of the knowledge of the store, at most unknownAge.
func (f *freshness) storeAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ageOf(f.clock.StoreAge(f.elapsed()))
}

// report sets the gauge to the age of the knowledge of the configuration.
func (f *freshness) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gauge.Update(ageOf(f.clock.TableAge(f.elapsed())).Seconds())
}

// ageOf returns age, at most unknownAge, or unknownAge if ok is false.
func ageOf(age time.Duration, ok bool) time.Duration {
	if !ok {
		return unknownAge
	}
	return min(age, unknownAge)
}

// knowledge tells what may be decided about API keys at a time.
type knowledge struct {
	until    time.Duration // a request that is accepted now must start before it, 0 if there is no bound
	isRecent bool          // a request with a key may be accepted
	mayLack  bool          // an unknown key may have been added
}

// now returns the present knowledge. It holds for the configuration in force then or later.
func (f *freshness) now() knowledge {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.clock.IsBound() {
		return knowledge{isRecent: true}
	}
	now := f.elapsed()
	left, ok := f.clock.Left(now)
	return knowledge{until: now + left, isRecent: ok, mayLack: f.clock.MayLackKeys(now)}
}

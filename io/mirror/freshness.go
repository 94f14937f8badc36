package mirror

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"trefoilthread/core/fresh"
	"trefoilthread/io/mesh"
)

// UnknownAge stands for the age of a copy of unknown age. It is above every age limit.
const UnknownAge = time.Hour

// Freshness measures the age of this agent's knowledge of the store and of the
// configuration. It is safe for concurrent use.
type Freshness struct {
	elapsed func() time.Duration
	gauge   tally.Gauge // age of the knowledge of the configuration, in seconds

	mu    sync.Mutex
	clock *fresh.Clock
}

// NewFreshness returns a Freshness that knows nothing yet. Requests with keys need knowledge that
// is younger than bound, any if that is 0. elapsed returns the time on a clock that counts
// suspension.
func NewFreshness(bound time.Duration, elapsed func() time.Duration, scope tally.Scope) *Freshness {
	return &Freshness{elapsed: elapsed, gauge: scope.Gauge("knowledge_age_seconds"), clock: fresh.New(bound)}
}

// Elapsed returns the time on the clock that counts suspension, from a fixed moment.
func (f *Freshness) Elapsed() time.Duration { return f.elapsed() }

// Time returns the time of the clock, counted from an arbitrary moment.
func (f *Freshness) Time() time.Time { return time.Unix(0, 0).Add(f.elapsed()) }

// IsBound reports whether requests with keys need recent knowledge.
func (f *Freshness) IsBound() bool { return f.clock.IsBound() }

// Learn records that all changes of the store up to a time of the clock are in the copy.
// It is called after they were applied.
func (f *Freshness) Learn(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.Learn(min(at, f.elapsed()))
}

// learnFrom records the knowledge of another agent, which answered a query sent at a time.
// It is called after the news were applied.
func (f *Freshness) learnFrom(sent time.Duration, news *mesh.News) {
	if news.KnownMs > 0 && news.KnownMs < UnknownAge.Milliseconds() {
		f.Learn(sent + time.Duration(max(0, news.HeldMs)-news.KnownMs)*time.Millisecond)
	}
}

// known returns the age of the knowledge for another agent, in milliseconds; 0 if unknown.
// The caller holds the lock of the copy, so that no change is missing that was known then.
func (f *Freshness) known() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, ok := f.clock.StoreAge(f.elapsed())
	if !ok {
		return 0
	}
	return age.Milliseconds() + 1 // not younger than it is
}

// forget records that the store was restored from an older copy.
func (f *Freshness) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.Forget()
}

// Want records that the store has a configuration of a revision, which is still to be read.
func (f *Freshness) Want(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.Want(revision)
}

// Applied records that the configuration of a revision is in force or not valid.
func (f *Freshness) Applied(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.Applied(revision)
}

// StoreAge returns the age of the knowledge of the store, at most UnknownAge.
func (f *Freshness) StoreAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ageOf(f.clock.StoreAge(f.elapsed()))
}

// report sets the gauge to the age of the knowledge of the configuration.
func (f *Freshness) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gauge.Update(ageOf(f.clock.TableAge(f.elapsed())).Seconds())
}

// ageOf returns age, at most UnknownAge, or UnknownAge if ok is false.
func ageOf(age time.Duration, ok bool) time.Duration {
	if !ok {
		return UnknownAge
	}
	return min(age, UnknownAge)
}

// Knowledge tells what may be decided about API keys at a time.
type Knowledge struct {
	until    time.Duration
	isRecent bool
	mayLack  bool
}

// Until returns the time on the clock of the Freshness before which a request that is accepted
// now must start, 0 if there is no bound.
func (k Knowledge) Until() time.Duration { return k.until }

// IsRecent reports whether a request with a key may be accepted.
func (k Knowledge) IsRecent() bool { return k.isRecent }

// MayLackKeys reports whether an unknown key may have been added.
func (k Knowledge) MayLackKeys() bool { return k.mayLack }

// Now returns the present knowledge. It holds for the configuration in force then or later.
func (f *Freshness) Now() Knowledge {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.clock.IsBound() {
		return Knowledge{isRecent: true}
	}
	now := f.elapsed()
	left, ok := f.clock.Left(now)
	return Knowledge{until: now + left, isRecent: ok, mayLack: f.clock.MayLackKeys(now)}
}

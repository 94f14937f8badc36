package poison_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/poison"
	"trefoilthread/core/tries"
	"trefoilthread/core/types"
)

// hour is a service whose daemons learn of deaths with a delay, and a caller that sends a
// request that crashes each target that runs it.
type hour struct {
	rng     *rand.Rand
	now     time.Time
	tables  []*poison.Table
	downTo  []time.Time // targets are back at these times
	pending []func() bool
	crashes []time.Time
	retries []time.Time
}

// at runs f once the time has come.
func (h *hour) at(when time.Time, f func()) {
	h.pending = append(h.pending, func() bool {
		if h.now.Before(when) {
			return false
		}
		f()
		return true
	})
}

// delay is drawn from zero to limit.
func (h *hour) delay(limit time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(limit)))
}

func (h *hour) step(d time.Duration) {
	h.now = h.now.Add(d)
	list := h.pending
	h.pending = nil
	for _, f := range list {
		if !f() {
			h.pending = append(h.pending, f)
		}
	}
}

// refuses reports whether a daemon refuses a request.
func refuses(t *poison.Table, now time.Time, fp types.Fingerprint) bool {
	_, ok := t.Refuse(now, fp)
	return ok
}

// run is one attempt at a target; the connection breaks at once, the daemon there notices
// the death and tells it to the others later.
func (h *hour) run(to int) tries.Result {
	t := h.tables[to]
	if h.now.Before(h.downTo[to]) {
		return tries.RefusedByGate
	}
	switch {
	case refuses(t, h.now, deadly):
		return tries.RefusedByGate
	case !t.Released(h.now, deadly):
		t.Begin(h.now, deadly)
	case !t.AdmitTrial(h.now, deadly):
		return tries.RefusedByGate
	}
	if t.End(h.now, deadly, false) {
		h.tell(t, t.Entries(h.now, []types.Fingerprint{deadly}))
	}
	h.crashes = append(h.crashes, h.now)
	h.downTo[to] = h.now.Add(3 * time.Second)
	h.at(h.now.Add(h.delay(900*time.Millisecond)), func() {
		if fps := t.TargetDied(h.now); len(fps) > 0 {
			h.tell(t, t.Entries(h.now, fps))
		}
	})
	return tries.AnswerLost
}

// tell sends a report to the other daemons.
func (h *hour) tell(from *poison.Table, report []poison.Entry) {
	for _, o := range h.tables {
		if o != from {
			h.at(h.now.Add(h.delay(300*time.Millisecond)), func() { o.Learn(h.now, report) })
		}
	}
}

// send is one request at a daemon.
func (h *hour) send(entry int) {
	t := h.tables[entry]
	if refuses(t, h.now, deadly) {
		return
	}
	opts := tries.Options{Runs: types.Idempotent, Attempts: 2}
	if t.Released(h.now, deadly) {
		opts.Attempts = 1
	}
	q := tries.New(opts)
	for _, to := range h.rng.Perm(len(h.tables)) {
		r := h.run(to)
		if r == tries.AnswerLost && q.Reached() > 0 {
			h.retries = append(h.retries, h.now)
		}
		q.Record(r, "", 0)
		if !q.ShouldRetry(func() bool { return true }) {
			return
		}
	}
}

// Guards against a request that is released with full trust each time its quarantine
// ends, or on trial for each length of its quarantine, although it is still sent and
// crashes targets.
func TestRequestThatComesForAnHour(t *testing.T) {
	const (
		outbreak = 10 * time.Second // from the third crash on, in which all daemons learn of the request
		news     = time.Second      // in which trials may begin at several daemons
	)
	for seed := range uint64(20) {
		is := is.New(t)
		h := &hour{rng: rand.New(rand.NewPCG(seed, 0)), now: start}
		for range 6 {
			target := types.TargetID(rune('a' + len(h.tables)))
			h.tables = append(h.tables, poison.New(poison.Options{Target: target, Incarnation: 1, Expiry: 30 * time.Second}))
			h.downTo = append(h.downTo, start)
		}
		for i := 0; h.now.Before(start.Add(time.Hour)); i++ {
			h.send(i % len(h.tables))
			h.step(50*time.Millisecond + h.delay(500*time.Millisecond))
		}
		is.True(len(h.crashes) > 3)
		late, releases := 0, 0
		for i, at := range h.crashes {
			if at.After(h.crashes[2].Add(outbreak)) && at.Sub(h.crashes[i-1]) > news {
				releases++
			}
		}
		is.True(releases <= 4) // after 2, 4, 8 and 16 min
		for _, at := range h.retries {
			if at.After(h.crashes[2].Add(3 * time.Second)) {
				late++
			}
		}
		is.True(late <= 3) // retries later than 3 s after the third crash
		t.Logf("seed %d: %d crashes, %d releases, %d late retries", seed, len(h.crashes), releases, late)
	}
}

// Guards against a harmless request that gets no trial after its quarantine, and against
// one that loses its good result to an old report.
func TestReleasedRequestIsCleared(t *testing.T) {
	is := is.New(t)
	a, b := newTable("a"), newTable("b")
	kill(a, start, 1)
	report := kill(a, start, 1)
	b.Learn(start, report)
	is.Equal(b.Check(start, 1), poison.Quarantined)
	now := start.Add(10 * time.Minute)
	is.True(b.Released(now, 1))
	is.True(b.AdmitTrial(now, 1))
	is.True(!b.AdmitTrial(now, 1)) // one at a time
	is.True(b.End(now, 1, true))
	is.Equal(b.Check(now, 1), poison.Clear)
	report[0].Deaths[0].Age, report[0].Deaths[1].Age = 10*time.Minute, 10*time.Minute
	b.Learn(now, report)
	is.Equal(b.Check(now, 1), poison.Clear)
	a.Learn(now, b.Entries(now, []types.Fingerprint{1}))
	is.Equal(a.Check(now, 1), poison.Clear)
}

// Guards against a quarantine that a crash on trial doesn't lengthen, and against one
// without a bound.
func TestCrashOnTrialLengthensQuarantine(t *testing.T) {
	is := is.New(t)
	table, now := newTable("a"), start
	kill(table, now, 1)
	kill(table, now, 1)
	last := 10 * time.Minute
	for range 40 {
		is.Equal(table.Check(now.Add(last-1), 1), poison.Quarantined)
		now = now.Add(last)
		is.True(table.Released(now, 1))
		is.True(table.AdmitTrial(now, 1))
		is.True(table.End(now, 1, false))
		is.Equal(len(table.TargetDied(now)), 0) // one death is not counted twice
		last = min(2*last, 320*time.Minute)
	}
}

// Guards against a quarantine that ends while its request comes, against a harmless request
// that gets no trial because it is sent all the time, and against refusals that count at
// daemons where the request doesn't come, or after a new crash. Callers are told the time at
// which a trial is possible: an earlier one would lengthen the quarantine of those who keep to it.
func TestRefusalsLengthenQuarantine(t *testing.T) {
	const length = 10 * time.Minute
	for _, c := range []struct {
		crashes int           // on trial before
		refused time.Duration // the request comes until then
		want    time.Duration // length of the quarantine
	}{
		{0, 0, length},
		{0, length / 2, length * 3 / 2},
		{0, length - time.Second, 2*length - time.Second},
		{0, time.Hour, 4 * length},
		{1, time.Hour, time.Hour + 2*length},
		{1, 2 * time.Hour, 8 * length},
		{5, 24 * time.Hour, 128 * length},
	} {
		is := is.New(t)
		a, b := newTable("a"), newTable("b")
		now := start
		kill(a, now, 1)
		kill(a, now, 1)
		for i := range c.crashes {
			a.Refuse(now.Add(length<<i-1), 1)
			now = now.Add(2 * length << i)
			is.True(a.AdmitTrial(now, 1))
			a.End(now, 1, false)
		}
		b.Learn(now, a.Entries(now, nil))
		var release time.Time // as told at the latest refusal
		for at := time.Duration(0); at <= c.refused; at += time.Second {
			if wait, ok := a.Refuse(now.Add(at), 1); ok {
				release = now.Add(at + wait)
			}
		}
		is.Equal(release, now.Add(c.want))
		is.Equal(a.Check(now.Add(c.want-1), 1), poison.Quarantined)
		is.True(a.Released(now.Add(c.want), 1))
		is.Equal(b.Check(now.Add(length<<c.crashes-1), 1), poison.Quarantined)
		is.True(b.Released(now.Add(length<<c.crashes), 1))
		is.True(a.AdmitTrial(now.Add(c.want), 1))
		is.True(a.End(now.Add(c.want), 1, true))
		is.Equal(a.Check(now.Add(c.want), 1), poison.Clear)
	}
}

// Guards against released requests that keep a full table from holding new suspects.
func TestReleasedRequestsMakeRoom(t *testing.T) {
	is := is.New(t)
	table := poison.New(poison.Options{Target: "a", Capacity: 4})
	for range 2 {
		kill(table, start, 1, 2, 3, 4)
	}
	now := start.Add(10 * time.Minute)
	kill(table, now, 5)
	is.Equal(table.Check(now, 5), poison.Suspect)
	is.Equal(len(table.List(now)), 4)
}

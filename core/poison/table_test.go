package poison_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilthread/core/poison"
	"trefoilthread/core/types"
)

const deadly types.Fingerprint = 0

var ids = []types.TargetID{"a", "b", "c", "d"}

var start = time.Unix(1000, 0)

func newTable(target types.TargetID) *poison.Table {
	return poison.New(poison.Options{Target: target, Incarnation: 1})
}

// kill lets a target die with the given requests in flight and returns the
// report.
func kill(t *poison.Table, now time.Time, fps ...types.Fingerprint) []poison.Entry {
	for _, fp := range fps {
		t.Begin(now, fp)
	}
	return t.Entries(now, t.TargetDied(now))
}

// world is a service of several targets; the request deadly kills each of them.
type world struct {
	tables  []*poison.Table
	running []map[types.Fingerprint]bool // per target, without deadly
	reports [][]poison.Entry
	now     time.Time
	kills   int
}

func (w *world) trialTarget(fp types.Fingerprint) int {
	id, _ := poison.TrialTarget(fp, ids)
	return slices.Index(ids, id)
}

func (w *world) draw(t *rapid.T) int {
	return rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(t, "target")
}

// send lets a request start at a target under the routing rule: a suspect only
// at its trial target.
func (w *world) send(t *rapid.T, fp types.Fingerprint) (int, bool) {
	entry, to := w.draw(t), w.draw(t)
	switch w.tables[entry].Check(w.now, fp) {
	case poison.Quarantined:
		w.tables[entry].Refuse(w.now, fp)
		return 0, false
	case poison.Suspect:
		to = w.trialTarget(fp)
	}
	switch w.tables[to].Check(w.now, fp) {
	case poison.Clear:
		w.tables[to].Begin(w.now, fp)
		return to, true
	case poison.Suspect:
		return to, w.trialTarget(fp) == to && w.tables[to].AdmitTrial(w.now, fp)
	}
	return 0, false
}

// sendDeadly runs the deadly request; its target dies before or after the
// daemon sees the connections break, and all daemons have the report before
// the request is sent again.
func (w *world) sendDeadly(t *rapid.T) {
	to, ok := w.send(t, deadly)
	if !ok {
		return
	}
	w.kills++
	if rapid.Bool().Draw(t, "breaksFirst") {
		w.tables[to].End(w.now, deadly, false)
		for fp := range w.running[to] {
			w.tables[to].End(w.now, fp, false)
		}
		// Until the daemon notices, other requests are still sent.
		w.now = w.now.Add(time.Millisecond)
		w.running[to] = map[types.Fingerprint]bool{}
		for range 8 {
			w.begin(t)
		}
	}
	report := w.tables[to].Entries(w.now, w.tables[to].TargetDied(w.now))
	w.running[to] = map[types.Fingerprint]bool{}
	w.reports = append(w.reports, report)
	for i := range w.tables {
		w.tables[i].Learn(w.now, report)
	}
}

func (w *world) begin(t *rapid.T) {
	fp := rapid.SampledFrom([]types.Fingerprint{1, 2, 3, 4, 5, 6}).Draw(t, "harmless")
	if to, ok := w.send(t, fp); ok {
		w.running[to][fp] = true
	}
}

// end completes the oldest harmless run of a target; the message about a
// cleared request stays in the network.
func (w *world) end(t *rapid.T) {
	to := w.draw(t)
	for fp := range types.Fingerprint(7) {
		if w.running[to][fp] {
			delete(w.running[to], fp)
			if w.tables[to].End(w.now, fp, true) {
				w.reports = append(w.reports, w.tables[to].Entries(w.now, []types.Fingerprint{fp}))
			}
			return
		}
	}
}

// Guards against a request that kills more than two targets, and against the
// quarantine of harmless requests that were in flight with it, with reports in
// any order and repeated.
func TestTwoTargetsAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start}
		for _, id := range ids {
			w.tables = append(w.tables, newTable(id))
			w.running = append(w.running, map[types.Fingerprint]bool{})
		}
		actions := []string{"begin", "begin", "begin", "begin", "end", "deliver", "wait", "deadly"}
		for range 80 {
			switch rapid.SampledFrom(actions).Draw(t, "action") {
			case "begin":
				w.begin(t)
			case "end":
				w.end(t)
			case "deliver":
				if len(w.reports) > 0 {
					to := w.draw(t)
					w.tables[to].Learn(w.now, rapid.SampledFrom(w.reports).Draw(t, "report"))
				}
			case "wait":
				w.now = w.now.Add(700 * time.Millisecond)
			case "deadly":
				w.sendDeadly(t)
			}
			for _, table := range w.tables {
				for fp := types.Fingerprint(1); fp < 7; fp++ {
					if table.Check(w.now, fp) == poison.Quarantined {
						t.Fatalf("harmless request %d quarantined", fp)
					}
				}
				if w.kills > 1 && table.Check(w.now, deadly) != poison.Quarantined {
					t.Fatalf("not quarantined after %d deaths", w.kills)
				}
			}
		}
		if w.kills > 2 {
			t.Fatalf("%d targets died", w.kills)
		}
	})
}

// aged returns a report of one death that was long on its way.
func aged(report []poison.Entry, age time.Duration) []poison.Entry {
	for _, e := range report {
		e.Deaths[0].Age = age
	}
	return report
}

// Guards against a merge that depends on the order or number of messages, or
// in which an old report brings a cleared suspicion back.
func TestMergeCommutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports [][]poison.Entry
		now := start.Add(900 * time.Second)
		for i := range 8 {
			source := newTable(types.TargetID(rune('a' + i)))
			fp := types.Fingerprint(rapid.IntRange(0, 2).Draw(t, "fp"))
			at := start.Add(time.Duration(rapid.SampledFrom([]int{100, 500, 600, 880}).Draw(t, "at")) * time.Second)
			reports = append(reports, aged(kill(source, at, fp, 9), now.Sub(at)))
			if rapid.Bool().Draw(t, "cleared") {
				source.Clear(at, fp)
				reports = append(reports, aged(source.Entries(at, nil), now.Sub(at)))
			}
		}
		x, y := newTable("x"), newTable("y")
		for _, r := range reports {
			x.Learn(now, r)
		}
		later := now.Add(time.Second)
		order := rapid.Permutation(slices.Concat(reports, reports)).Draw(t, "order")
		for _, at := range []time.Time{now, later} {
			for _, r := range order {
				y.Learn(at, r)
			}
		}
		if a, b := x.Entries(later, nil), y.Entries(later, nil); !reflect.DeepEqual(a, b) {
			t.Fatalf("different tables:\n%v\n%v", a, b)
		}
	})
}

// Guards against a table that grows, that forgets quarantined requests first,
// or that keeps entries for ever; and against a lift that does not hold.
func TestBoundsAndLift(t *testing.T) {
	is := is.New(t)
	table := poison.New(poison.Options{Target: "a", Capacity: 4})
	kill(table, start, 1, 2)
	kill(table, start, 1, 2)
	kill(table, start.Add(time.Minute), 3, 4, 5, 6, 7)
	now := start.Add(time.Minute)
	list := table.List(now)
	is.Equal(len(list), 4)
	is.Equal(list[0].Fingerprint, types.Fingerprint(1))
	is.Equal(table.Check(now, list[1].Fingerprint), poison.Quarantined)
	is.True(!table.AdmitTrial(now, 2))
	is.Equal(table.Check(now, list[2].Fingerprint), poison.Suspect)
	old := table.Entries(now, nil)
	is.True(!table.Clear(now, 1)) // a trial that began before the second death
	is.True(table.Lift(1))
	table.Learn(now, old)
	is.Equal(table.Check(now, 1), poison.Clear)
	is.Equal(table.Check(now, 2), poison.Quarantined)
	is.Equal(table.Check(start.Add(10*time.Minute), 2), poison.Suspect)
	is.True(table.Released(start.Add(10*time.Minute), 2))
	is.Equal(table.Check(start.Add(360*time.Minute-1), 2), poison.Suspect)
	is.Equal(table.Check(start.Add(360*time.Minute), 2), poison.Clear)
	for range 20 {
		now = now.Add(time.Second)
		kill(table, now, 8)
	}
	deaths := table.Entries(now, []types.Fingerprint{8})[0].Deaths
	is.Equal(len(deaths), 16)
	is.Equal(deaths[0].Age, time.Duration(0)) // the latest is kept
}

// Guards against a trial while a suspect that was canceled may still run, or
// at a target that may be dead already.
func TestNoTrialAtDoubtfulTarget(t *testing.T) {
	is := is.New(t)
	table := newTable("a")
	kill(table, start, 1, 2)
	is.True(table.AdmitTrial(start, 1))
	is.True(!table.AdmitTrial(start, 2))
	table.Cancel(start, 1)
	is.True(!table.AdmitTrial(start, 2))
	now := start.Add(2 * time.Second)
	is.True(table.AdmitTrial(now, 2))
	table.Cancel(now, 5) // one that is not known
	table.Begin(now, 6)
	is.True(table.End(now, 2, true))
	is.Equal(table.Check(now, 2), poison.Clear)
	is.Equal(table.Check(now, 1), poison.Suspect)
	table.End(now, 6, false)
	is.True(!table.AdmitTrial(now, 1))
	table.Begin(now, 9)
	table.Learn(now, kill(newTable("b"), now, 9))
	is.True(!table.End(now, 9, true)) // no trial, so no proof
	is.Equal(table.TargetDied(now), []types.Fingerprint{6})
}

// Guards against daemons that choose different targets for the trials of a
// request, and against one target that gets all trials.
func TestTrialTarget(t *testing.T) {
	is := is.New(t)
	count := map[types.TargetID]int{}
	for fp := range types.Fingerprint(1000) {
		id, ok := poison.TrialTarget(fp, ids)
		other, _ := poison.TrialTarget(fp, []types.TargetID{"d", "b", "a", "c"})
		is.True(ok && id == other)
		count[id]++
	}
	for _, id := range ids {
		is.True(count[id] > 200)
	}
}

func fullTable() *poison.Table {
	table := newTable("a")
	for fp := range types.Fingerprint(4096) {
		table.Begin(start, fp)
	}
	table.TargetDied(start)
	return table
}

// BenchmarkCheck measures a lookup in a full table.
func BenchmarkCheck(b *testing.B) {
	table := fullTable()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Check(start, types.Fingerprint(i%8192))
	}
}

// BenchmarkLearnFull measures one new suspect in a full table.
func BenchmarkLearnFull(b *testing.B) {
	table, report := fullTable(), kill(newTable("b"), start, 5000)
	b.ReportAllocs()
	for b.Loop() {
		report[0].Fingerprint++
		table.Learn(start, report)
	}
}

package route_test

import (
	"slices"
	"time"

	"trefoilthread/core/route"
)

// oracle selects the target that answers the call to be placed first, by the true state of all
// targets: the running calls and their ends, the calls that wait or are on their way, and the
// speed of the host now. It doesn't know later arrivals, or when a host becomes slow or fast.
func (w *world) oracle(v route.View) int {
	best, bestAt, bestUsed := -1, time.Duration(0), 0
	for i := range v.Len() {
		if !v.Usable(i) {
			continue
		}
		t := w.byID[v.Target(i).ID()]
		at, used := w.answerAt(t, w.placing), t.inFlight+len(t.waiting)+len(t.coming)
		if best < 0 || at < bestAt || at == bestAt && used < bestUsed {
			best, bestAt, bestUsed = i, at, used
		}
	}
	return best
}

// answerAt returns when the answer to a call comes back if it is sent to t now.
func (w *world) answerAt(t *modelTarget, c *modelCall) time.Duration {
	way := w.distance(c.picker, t)
	var free []time.Duration // when the slots of t are free, the earliest first
	for _, r := range t.running {
		free = append(free, max(r.end, w.now+way))
	}
	slices.Sort(free)
	slots := t.gate.Report().Limit
	for len(free) < slots {
		free = slices.Insert(free, 0, w.now+way)
	}
	free = free[len(free)-slots:]
	start := func(kind int) time.Duration {
		at := free[0] + w.startedTime(t, kind)
		i, _ := slices.BinarySearch(free[1:], at)
		free = slices.Insert(free[1:], i, at)
		return at
	}
	var ahead [8]int // calls that wait or come, by kind; gates start kinds in their order
	for _, o := range t.waiting {
		ahead[o.kind]++
	}
	for _, o := range t.coming {
		ahead[o.kind]++
	}
	for kind, n := range ahead[:c.kind+1] {
		for range n {
			start(kind)
		}
	}
	return start(c.kind) + way
}

// startedTime returns the time that a call of a kind takes at the present speed of the host. If
// the host is slow, the gate lets it wait for the end of that if it then ends sooner.
func (w *world) startedTime(t *modelTarget, kind int) time.Duration {
	work, factor := w.kinds[kind].work, w.hostFactor(t)
	if factor == 1 {
		return work
	}
	return min(time.Duration(float64(work)*factor), w.hosts.lasts+work)
}

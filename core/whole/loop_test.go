package whole_test

import (
	"container/heap"
	"time"
)

// maxEvents bounds one sequence, so that an endless loop of events is a
// failure and not a hanging test.
const maxEvents = 400_000

// event is a message or timer. One that belongs to a process waits while the
// process is paused and is dropped once it is dead.
type event struct {
	at   time.Time
	seq  int
	proc *proc
	run  func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = event{}
	*h = (*h)[:n]
	return e
}

// loop runs events on a virtual clock in the order of their time.
type loop struct {
	now    time.Time
	seq    int
	events eventHeap
}

func (l *loop) after(p *proc, d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now.Add(d), seq: l.seq, proc: p, run: run})
}

// advance runs what is due in the next d. It stops when stop returns true.
func (l *loop) advance(d time.Duration, stop func() bool) {
	end := l.now.Add(d)
	for len(l.events) > 0 && !l.events[0].at.After(end) && !stop() {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		switch {
		case e.proc != nil && e.proc.dead:
		case e.proc != nil && e.proc.paused:
			e.proc.backlog = append(e.proc.backlog, e.run)
		default:
			e.run()
		}
	}
	l.now = end
}

package admit

import "container/heap"

// queue is a heap of waiting calls of one sort, first to run on top. It
// implements heap.Interface.
type queue struct {
	items  []*entry
	before func(a, b *entry) bool
}

// byDeadline orders urgent calls.
func byDeadline(a, b *entry) bool {
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.id < b.id
}

// byValue orders the other calls.
func byValue(a, b *entry) bool {
	if a.value != b.value {
		return a.value > b.value
	}
	return byDeadline(a, b)
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.items) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool { return q.before(q.items[i], q.items[j]) }

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index, q.items[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	e := x.(*entry)
	e.index = len(q.items)
	q.items = append(q.items, e)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	n := len(q.items) - 1
	e := q.items[n]
	q.items[n] = nil
	q.items = q.items[:n]
	return e
}

func (q *queue) add(e *entry) { heap.Push(q, e) }

func (q *queue) remove(e *entry) { heap.Remove(q, e.index) }

// ahead returns how many waiting calls run before e.
func (q *queue) ahead(e *entry) int {
	n := 0
	for _, o := range q.items {
		if q.before(o, e) {
			n++
		}
	}
	return n
}

// least returns the waiting call of least value, the latest of equal ones.
func (q *queue) least() *entry {
	var l *entry
	for _, e := range q.items {
		if l == nil || byValue(l, e) {
			l = e
		}
	}
	return l
}

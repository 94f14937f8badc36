package admit

import "container/heap"

// queue is a heap of the waiting calls of one group, the next to run on top. It
// implements heap.Interface.
type queue struct {
	items  []*entry
	before func(a, b *entry) bool
}

// byDeadline orders urgent calls: rank of the customer first, then the earliest deadline,
// then the older call.
func byDeadline(a, b *entry) bool {
	if a.customerRank != b.customerRank {
		return a.customerRank < b.customerRank
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.id < b.id
}

// byWorthRate orders normal calls: rank of the customer first, then the highest worth rate,
// then by deadline.
func byWorthRate(a, b *entry) bool {
	if a.customerRank != b.customerRank {
		return a.customerRank < b.customerRank
	}
	if a.worthRate != b.worthRate {
		return a.worthRate > b.worthRate
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
	q.items[i].heapIndex, q.items[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(q.items)
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

func (q *queue) remove(e *entry) { heap.Remove(q, e.heapIndex) }

// countAhead returns how many waiting calls of the queue run before e.
func (q *queue) countAhead(e *entry) int {
	n := 0
	for _, o := range q.items {
		if q.before(o, e) {
			n++
		}
	}
	return n
}

// leastValuable returns the waiting call of the last rank with the lowest worth rate, of
// equal ones that with the latest deadline; nil if none waits.
func (q *queue) leastValuable() *entry {
	var least *entry
	before := arrivedFirst(byWorthRate)
	for _, e := range q.items {
		if least == nil || before(least, e) {
			least = e
		}
	}
	return least
}

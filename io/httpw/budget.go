package httpw

import "sync"

// freeBody is the length in bytes up to which a body needs no part of a Budget: short
// messages are served while long ones have used it up.
const freeBody = 64 << 10

// Budget bounds the memory of the long bodies that several connections hold at a time.
// It is safe for concurrent use.
type Budget struct {
	total int64

	mu   sync.Mutex
	left int64
}

// NewBudget returns a budget of n bytes.
func NewBudget(n int64) *Budget { return &Budget{total: n, left: n} }

// take takes n bytes and reports whether they were left.
func (b *Budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

func (b *Budget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}

// Hold takes the memory of a body of n bytes and reports whether there was enough. A nil
// Budget has no bound.
func (b *Budget) Hold(n int64) (*Holding, bool) {
	h := &Holding{budget: b}
	return h, h.grow(n, 0) == nil
}

// Holding is the part of a Budget that the body of one message holds. It belongs to one
// message at a time, and moves with its body from one to the next. A nil Holding holds
// nothing.
type Holding struct {
	budget *Budget
	taken  int64
}

// Grow takes what a body needs that has grown to n bytes, and reports whether there was
// enough.
func (h *Holding) Grow(n int64) bool { return h == nil || h.grow(n, 0) == nil }

// grow takes what a body of n bytes, of which some were read, needs beyond what it holds.
func (h *Holding) grow(n, read int64) error {
	need := n - freeBody - h.taken
	if h.budget == nil || need <= 0 {
		return nil
	}
	if !h.budget.take(need) {
		return noMemory(n, read)
	}
	h.taken += need
	return nil
}

// noMemory returns the error for a body of n bytes for which there is no memory after some were
// read.
func noMemory(n, read int64) *MessageError {
	return newMessageError(503, position{PartMemory, read}, "no memory for a body of %d bytes", n)
}

// canHold reports whether the whole budget is enough for a body of n bytes.
func (h *Holding) canHold(n int64) bool { return h.budget == nil || n-freeBody <= h.budget.total }

// Release gives back what the body holds. The body must not be used any more. Further calls
// do nothing.
func (h *Holding) Release() {
	if h != nil && h.taken > 0 {
		h.budget.give(h.taken)
		h.taken = 0
	}
}

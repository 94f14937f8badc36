package tokens

// Waiting returns the number of requests that wait for tokens.
func (q *Quotas) Waiting() (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.customers {
		n += len(s.waiting)
	}
	return n
}

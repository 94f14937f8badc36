package tokens

import (
	"context"
	"slices"

	"trefoilthread/core/quota"
	"trefoilthread/core/vhost"
)

// Result tells whether a request is within its customer's quota.
type Result uint8

const (
	// Within means that the request may be dispatched.
	Within Result = iota
	// Over means that the owners have no token.
	Over
	// NoOwner means that no owner could tell.
	NoOwner
)

// Verdict is the decision on a request. The zero value permits it without a token.
type Verdict struct {
	result   Result
	customer *vhost.Customer
	token    quota.Token // if the result is Within and there is a quota
}

// Result returns whether the request is within the quota.
func (v Verdict) Result() Result { return v.result }

// Take takes a token for a request of a customer, nil if it has none. It waits for the
// owners if there is none here, AnswerTime for each of them at most and not beyond the end
// of ctx.
func (q *Quotas) Take(ctx context.Context, c *vhost.Customer) Verdict {
	if c == nil || c.PerSecond() == 0 {
		return Verdict{}
	}
	v, wait := q.begin(c)
	if wait != nil {
		select {
		case v = <-wait.verdict:
		case <-ctx.Done():
			v = q.abandon(c, wait)
		}
	}
	v.customer = c
	q.count([...]string{
		Within: "quota_granted", Over: "quota_refused", NoOwner: "quota_no_owner",
	}[v.result])
	if v.result == NoOwner && q.noOwnerLines.AllowN(q.opts.Clock.Now(), 1) {
		q.opts.Log.WithField("customer", string(c.Name())).Warn("no owner of a customer's quota grants tokens")
	}
	return v
}

// begin returns the verdict if it needs no message, else the wait for it.
func (q *Quotas) begin(c *vhost.Customer) (Verdict, *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.customer(c)
	now := q.opts.Elapsed()
	s.asker.Note(now)
	for {
		if tok, ok := s.asker.Take(now); ok {
			return Verdict{token: tok}, nil
		}
		if s.asking {
			break
		}
		node, ok := s.asker.Next(now, q.owners(s), q.silent)
		if !ok {
			return q.refusal(s), nil
		}
		if node != q.opts.Self {
			s.asking = true
			go q.askOwners(s)
			break
		}
		s.asker.Granted(now, now, node, q.grant(s.name, s.asker.Want(now, 1)))
	}
	w := &waiter{until: now.Add(quota.MaxWait), verdict: make(chan Verdict, 1)}
	s.waiting = append(s.waiting, w)
	return Verdict{}, w
}

// customer returns the state of a customer, with the lock held.
func (q *Quotas) customer(c *vhost.Customer) *customerState {
	s := q.customers[c.Name()]
	if s == nil {
		s = &customerState{name: c.Name(), asker: quota.NewAsker()}
		q.customers[c.Name()] = s
	}
	return s
}

// owners returns the owners of a customer in the order in which they are asked, with the
// lock held.
func (q *Quotas) owners(s *customerState) []string {
	if n := q.directory.Changes(); s.owners == nil || s.changes != n {
		s.owners, s.changes = q.directory.Owners(s.name, q.opts.DataCentre), n
	}
	return s.owners
}

// refusal returns the verdict on a request for which no owner can be asked now, with the
// lock held.
func (q *Quotas) refusal(s *customerState) Verdict {
	if s.asker.IsUsedUp(q.opts.Elapsed(), q.owners(s)) {
		return Verdict{result: Over}
	}
	return Verdict{result: NoOwner}
}

// abandon ends the wait of a request whose time has run out, or whose caller has left. A
// token that came at the same time is put back.
func (q *Quotas) abandon(c *vhost.Customer, w *waiter) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.customer(c)
	s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == w })
	select {
	case v := <-w.verdict:
		s.asker.Return(q.opts.Elapsed(), v.token)
		q.serveWaiting(s)
	default:
	}
	return Verdict{result: NoOwner}
}

// Return returns the token of a request that no target got.
func (q *Quotas) Return(v Verdict) {
	if v.customer == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.customer(v.customer)
	s.asker.Return(q.opts.Elapsed(), v.token)
	q.serveWaiting(s)
}

// serveWaiting passes tokens to the requests that wait, with the lock held.
func (q *Quotas) serveWaiting(s *customerState) {
	for len(s.waiting) > 0 {
		tok, ok := s.asker.Take(q.opts.Elapsed())
		if !ok {
			return
		}
		s.waiting[0].verdict <- Verdict{token: tok}
		s.waiting = s.waiting[1:]
	}
}

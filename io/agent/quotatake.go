package agent

import (
	"context"
	"net/http"
	"slices"

	"trefoilthread/core/quota"
	"trefoilthread/core/vhost"
)

// quotaResult tells whether a request is within its customer's quota.
type quotaResult uint8

const (
	// withinQuota means that the request may be dispatched.
	withinQuota quotaResult = iota
	// overQuota means that the owners have no token.
	overQuota
	// noQuotaOwner means that no owner could tell.
	noQuotaOwner
)

// refusal returns why a request with the result is refused and with which status, "" if it
// isn't.
func (r quotaResult) refusal() (reason string, status int) {
	switch r {
	case withinQuota:
		return "", 0
	case overQuota:
		return "over the customer's quota", http.StatusTooManyRequests
	}
	return "quota of the customer unknown", http.StatusServiceUnavailable
}

// quotaVerdict is the decision on a request.
type quotaVerdict struct {
	result   quotaResult
	customer *vhost.Customer
	token    quota.Token // if the result is withinQuota and there is a quota
}

// take takes a token for a request of a customer, nil if it has none. It waits for the
// owners if there is none here, AnswerTime for each of them at most and not beyond the end
// of ctx.
func (q *quotas) take(ctx context.Context, c *vhost.Customer) quotaVerdict {
	if c == nil || c.PerSecond() == 0 {
		return quotaVerdict{}
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
	q.metrics.countEvent([...]string{
		withinQuota: "quota_granted", overQuota: "quota_refused", noQuotaOwner: "quota_no_owner",
	}[v.result])
	if v.result == noQuotaOwner && q.noOwnerLines.AllowN(q.clock.Now(), 1) {
		q.log.WithField("customer", string(c.Name())).Warn("no owner of a customer's quota grants tokens")
	}
	return v
}

// begin returns the verdict if it needs no message, else the wait for it.
func (q *quotas) begin(c *vhost.Customer) (quotaVerdict, *quotaWait) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.customer(c)
	now := q.elapsed()
	s.asker.Note(now)
	for {
		if tok, ok := s.asker.Take(now); ok {
			return quotaVerdict{token: tok}, nil
		}
		if s.asking {
			break
		}
		node, ok := s.asker.Next(now, q.owners(s), q.silent)
		if !ok {
			return q.refusal(s), nil
		}
		if node != q.self {
			s.asking = true
			go q.askOwners(s)
			break
		}
		s.asker.Granted(now, now, node, q.grant(s.name, s.asker.Want(now, 1)))
	}
	w := &quotaWait{until: now.Add(quota.MaxWait), verdict: make(chan quotaVerdict, 1)}
	s.waiting = append(s.waiting, w)
	return quotaVerdict{}, w
}

// customer returns the state of a customer, with the lock held.
func (q *quotas) customer(c *vhost.Customer) *customerQuota {
	s := q.customers[c.Name()]
	if s == nil {
		s = &customerQuota{name: c.Name(), asker: quota.NewAsker()}
		q.customers[c.Name()] = s
	}
	return s
}

// owners returns the owners of a customer in the order in which they are asked, with the
// lock held.
func (q *quotas) owners(s *customerQuota) []string {
	if n := q.directory.Changes(); s.owners == nil || s.changes != n {
		s.owners, s.changes = q.directory.Owners(s.name, q.dc), n
	}
	return s.owners
}

// refusal returns the verdict on a request for which no owner can be asked now, with the
// lock held.
func (q *quotas) refusal(s *customerQuota) quotaVerdict {
	if s.asker.IsUsedUp(q.elapsed(), q.owners(s)) {
		return quotaVerdict{result: overQuota}
	}
	return quotaVerdict{result: noQuotaOwner}
}

// abandon ends the wait of a request whose time has run out, or whose caller has left. A
// token that came at the same time is put back.
func (q *quotas) abandon(c *vhost.Customer, w *quotaWait) quotaVerdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.customer(c)
	s.waiting = slices.DeleteFunc(s.waiting, func(o *quotaWait) bool { return o == w })
	select {
	case v := <-w.verdict:
		s.asker.Return(q.elapsed(), v.token)
		q.serveWaiting(s)
	default:
	}
	return quotaVerdict{result: noQuotaOwner}
}

// returnToken returns the token of a request that no target got.
func (q *quotas) returnToken(v quotaVerdict) {
	if v.customer == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.customer(v.customer)
	s.asker.Return(q.elapsed(), v.token)
	q.serveWaiting(s)
}

// serveWaiting passes tokens to the requests that wait, with the lock held.
func (q *quotas) serveWaiting(s *customerQuota) {
	for len(s.waiting) > 0 {
		tok, ok := s.asker.Take(q.elapsed())
		if !ok {
			return
		}
		s.waiting[0].verdict <- quotaVerdict{token: tok}
		s.waiting = s.waiting[1:]
	}
}

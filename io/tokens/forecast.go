package tokens

import (
	"trefoilthread/core/quota"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
)

// Owners returns the agents that are asked for tokens of a customer, in this order.
func (q *Quotas) Owners(c types.CustomerName) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.directory.Owners(c, q.opts.DataCentre)
}

// Forecast returns what a request of a customer would meet, and whether an owner has said
// that the quota is used up. It takes no token and asks no owner.
func (q *Quotas) Forecast(c *vhost.Customer) (res Result, usedUp bool) {
	if c.PerSecond() == 0 {
		return Within, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now, owners := q.opts.Elapsed(), q.directory.Owners(c.Name(), q.opts.DataCentre)
	asker := quota.NewAsker()
	if s := q.customers[c.Name()]; s != nil {
		asker = s.asker
	}
	usedUp = asker.IsUsedUp(now, owners)
	switch {
	case asker.MayServe(now, owners, q.silent):
		return Within, usedUp
	case usedUp:
		return Over, true
	}
	return NoOwner, false
}

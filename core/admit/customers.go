package admit

import "trefoilthread/core/types"

const (
	// minServedRatio is the ratio of the share of a customer's calls that are served to that
	// of all calls below which its next call takes precedence. No customer may be
	// served less than a quarter as often as all; the rest is a margin for the noise of the
	// averages.
	minServedRatio = 0.35
	// customerAlpha and allAlpha are the weights of a new call in the shares of a customer and
	// of all calls. They count calls and not time, because a gate may get few calls of a customer.
	customerAlpha = 1.0 / 8
	allAlpha      = 1.0 / 256
	// maxBeforeUnderserved is the number of successive starts of calls without a customer and of
	// a higher worth rate before one of a customer with precedence. A call that a target makes
	// takes a fraction of the time of other calls, so with every second start these would get
	// nearly all of the slots' time, and the run that waits for the call would fail.
	maxBeforeUnderserved = 3
	// maxCustomers bounds the known customers. All of them are forgotten when it is reached,
	// which costs each its turn once.
	maxCustomers = 4096
)

// customers holds how the calls of each customer were served at a gate.
type customers struct {
	byName           map[types.CustomerName]*customer
	served           float64 // average share of all calls that were served, since the first customer
	lastTurn         uint64  // turn of the latest start
	lastScan         uint64  // number of the latest scan by count
	sinceUnderserved int     // starts since one of a customer with precedence
}

// customer is one customer of a gate.
type customer struct {
	served  float64 // average share of served calls
	turn    uint64  // number of the last start of a call, 0 for none
	scan    uint64  // scan that counted the waiting calls
	waiting int     // calls counted by that scan
}

// find returns the named customer, nil for calls without one.
func (s *customers) find(name types.CustomerName) *customer {
	if name == "" {
		return nil
	}
	c := s.byName[name]
	if c == nil {
		if s.byName == nil {
			s.served, s.sinceUnderserved = 1, maxBeforeUnderserved
		}
		if s.byName == nil || len(s.byName) >= maxCustomers {
			s.byName = make(map[types.CustomerName]*customer)
		}
		c = &customer{served: s.served}
		s.byName[name] = c
	}
	return c
}

// known reports whether calls of customers have come in.
func (s *customers) known() bool { return len(s.byName) > 0 }

// recordStart counts a call that starts as served.
func (s *customers) recordStart(c *customer) {
	if s.sinceUnderserved++; s.isUnderserved(c) {
		s.sinceUnderserved = 0
	}
	if c != nil {
		s.lastTurn++
		c.turn = s.lastTurn
	}
	s.observe(c, 1)
}

// recordRefusal counts a call that was refused for another reason than a drain.
func (s *customers) recordRefusal(c *customer, r reason) {
	if r != reasonDraining {
		s.observe(c, 0)
	}
}

// observe adds a call of a customer, nil for one without, that was served (1) or refused (0).
func (s *customers) observe(c *customer, x float64) {
	if c != nil {
		c.served += customerAlpha * (x - c.served)
	}
	s.served += allAlpha * (x - s.served)
}

// isUnderserved reports whether so few calls of a customer were served that its next one takes
// precedence.
func (s *customers) isUnderserved(c *customer) bool {
	return c != nil && c.served < minServedRatio*s.served
}

// count counts the waiting calls of each customer of q for which match returns true, and
// returns their sum and the number of customers, c included.
func (s *customers) count(q *queue, c *customer, match func(o *entry) bool) (calls, n int) {
	s.lastScan++
	c.scan, c.waiting, n = s.lastScan, 0, 1
	for _, o := range q.items {
		if o.customer == nil || !match(o) {
			continue
		}
		if o.customer.scan != s.lastScan {
			o.customer.scan, o.customer.waiting = s.lastScan, 0
			n++
		}
		o.customer.waiting++
		calls++
	}
	return calls, n
}

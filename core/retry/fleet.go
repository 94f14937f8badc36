package retry

import "time"

// FleetLimit bounds the retries that all daemons together may make to a service.
type FleetLimit struct {
	Share  float64       // retries per call
	Extra  int           // retries beyond the share in each Window
	Window time.Duration // positive
}

// budgetShare is the part of a FleetLimit that daemons use. Calls that a target makes
// while it runs a retry count as retries as well, and the retries of two windows of the
// daemons may fall into one window.
const budgetShare = 0.5

// Part returns the budget of one of n daemons. Half of the retries beyond the share is
// allowed as a burst, half as a rate. Daemons do not agree on who retries, so each may
// make one retry however many they are.
func (l FleetLimit) Part(n int) BudgetOptions {
	extra := budgetShare * float64(l.Extra) / float64(max(n, 1))
	return BudgetOptions{
		Share: budgetShare * l.Share,
		Floor: extra / 2 / l.Window.Seconds(),
		Burst: extra / 2,
	}
}

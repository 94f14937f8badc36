package lease

import (
	"time"

	"trefoilthread/core/types"
)

const (
	// DefaultLeaseTime is how long a data centre may be without leader after a
	// crash; shorter leases cost more renewals.
	DefaultLeaseTime = 10 * time.Second

	// renewShare: two renewals may fail before the lease ends.
	renewShare = 3
	// marginShare is the part of the lease time by which a holder stops early,
	// for clocks that run at different rates.
	marginShare = 10

	// rankStep is longer than the read, grant and swap of the candidate before.
	rankStep = 500 * time.Millisecond
	// maxRank bounds the wait; candidates beyond it spread over a lease time.
	maxRank = 20
	// firstBackoff is the longest wait after the first failed call (section 6.9).
	firstBackoff = 2 * time.Second
	// maxRenewals bounds the renewals whose answers are awaited.
	maxRenewals = 8
)

// Spec lists the properties of a Holder.
type Spec struct {
	DataCentre types.DataCentre
	ID         types.TargetID
	Address    string
	LeaseTime  time.Duration // DefaultLeaseTime if 0
	Rank       int
	// Seed must differ for each start of a process: write ids come from it.
	Seed [2]uint64
}

// Key returns the key of a data centre's leadership.
func Key(dc types.DataCentre) string { return "dc/" + string(dc) + "/leader" }

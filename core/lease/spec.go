package lease

import (
	"time"

	"trefoilthread/core/types"
)

const (
	// DefaultLeaseTime is about how long a data centre is without leader after a
	// crash. Shorter leases cost more renewals.
	DefaultLeaseTime = 10 * time.Second

	// renewDivisor sets the renewal interval and the call timeout to a third of
	// the lease time, so that two renewals may fail before the lease ends.
	renewDivisor = 3
	// marginDivisor makes a holder stop a tenth of the lease time early, to allow
	// for clocks that run at different rates.
	marginDivisor = 10

	// rankStep is the delay between candidates of adjacent ranks. It is longer
	// than the read, grant and swap of the one before.
	rankStep = 500 * time.Millisecond
	// maxRank bounds the delay by rank. Candidates from this rank on add a random
	// part of the lease time instead.
	maxRank = 20
	// minBackoff limits the random wait after the first failed call.
	minBackoff = 2 * time.Second
	// maxRenewals bounds the renewals in flight that are kept.
	maxRenewals = 8
)

// Spec configures a Holder.
type Spec struct {
	DataCentre types.DataCentre
	ID         types.TargetID
	Address    string        // of the daemon, IP:port for UDP
	LeaseTime  time.Duration // DefaultLeaseTime if 0
	Rank       int           // see the function Rank; 0 is the first candidate
	// Seed has to differ for each start of a process, because the write ids are
	// generated from it.
	Seed [2]uint64
}

// Key returns the store key of a data centre's leadership.
func Key(dc types.DataCentre) string { return "dc/" + string(dc) + "/leader" }

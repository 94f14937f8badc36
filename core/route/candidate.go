package route

import "time"

// Exclusion says why a decision would not choose a target.
type Exclusion uint8

const (
	// Eligible means that the target may be chosen.
	Eligible Exclusion = iota
	// ExcludedTried means that an earlier attempt of the call went to the target.
	ExcludedTried
	// ExcludedDown means that the target takes no calls.
	ExcludedDown
	// ExcludedDraining means that the target drains, by the membership or its last report.
	ExcludedDraining
	// ExcludedSubset means that this daemon doesn't use the target.
	ExcludedSubset
	// ExcludedSuspended means that the target gets trial calls only, and none is due.
	ExcludedSuspended
	// ExcludedUnreached means that no connection to its daemon could be made a moment ago.
	ExcludedUnreached
)

// String returns the text for operators, "" for Eligible.
func (e Exclusion) String() string {
	return [...]string{
		"", "tried before", "down", "draining", "not in the subset", "suspended", "not reached a moment ago",
	}[e]
}

// Candidate is a target as a decision would see it.
type Candidate struct {
	Status
	exclusion Exclusion
	trial     bool
	rate      float64
	startIn   time.Duration
}

// Exclusion returns why the target would not be chosen.
func (c Candidate) Exclusion() Exclusion { return c.exclusion }

// Trial reports whether the target is suspended and would get a trial call if it is sampled.
func (c Candidate) Trial() bool { return c.trial }

// Rate returns the calls a second that the target takes while it is cold, 0 for no limit.
func (c Candidate) Rate() float64 { return c.rate }

// StartIn returns the time until the limit of Rate allows a further call.
func (c Candidate) StartIn() time.Duration { return c.startIn }

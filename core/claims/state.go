package claims

// State is the state of a Partition. Only an Active partition accepts claims.
type State uint8

const (
	// Released means that this daemon neither owns the partition nor is taking
	// it over.
	Released State = iota
	// ReadingTail is the first step of a takeover: reading the tail.
	ReadingTail
	// RaisingEpoch is the second step: writing a tail with the next epoch.
	RaisingEpoch
	// LoadingSegments is the last step: reading the segments.
	LoadingSegments
	// Active means that this daemon owns the partition.
	Active
	// Leaving means that the partition is being released: its last writes are
	// in progress.
	Leaving
)

var stateNames = [...]string{"released", "reading", "raising", "loading", "active", "leaving"}

// String returns the name used in logs and in the reasons of refusals.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

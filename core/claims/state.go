package claims

// State is what a Partition is doing.
type State uint8

const (
	// Released partitions refuse all claims.
	Released State = iota
	// Reading partitions read the tail for a takeover.
	Reading
	// Raising partitions write their epoch into the tail.
	Raising
	// Loading partitions read the segments.
	Loading
	// Active partitions take claims.
	Active
	// Leaving partitions finish their last write.
	Leaving
)

var stateNames = [...]string{"released", "reading", "raising", "loading", "active", "leaving"}

// String returns the name used in logs and refusals.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

package retry

// Action is what to do next for a call.
type Action uint8

const (
	// GiveUp means that no further attempt starts.
	GiveUp Action = iota
	// Retry means that an attempt on another target starts.
	Retry
	// Hedge means that a second attempt on another target starts while the
	// first goes on.
	Hedge
)

// String returns the name used in logs and metrics.
func (a Action) String() string {
	switch a {
	case Retry:
		return "retry"
	case Hedge:
		return "hedge"
	}
	return "giveUp"
}

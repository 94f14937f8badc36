package retry

// Hold says why a hedge isn't sent.
type Hold uint8

const (
	// NotHeld means that the hedge is sent.
	NotHeld Hold = iota
	// HeldByStop means that this daemon stops.
	HeldByStop
	// HeldByShare means that the limit of hedges is used up.
	HeldByShare
	// HeldByRetries means that the budget of retries is used up.
	HeldByRetries
	// HeldByLoad means that the service is near its saturation.
	HeldByLoad
	// HeldNoFaster means that no other target is likely to be faster.
	HeldNoFaster
	// HeldByCold means that the other target is cold.
	HeldByCold
)

// String returns the name used in metrics.
func (h Hold) String() string {
	switch h {
	case HeldByStop:
		return "stop"
	case HeldByShare:
		return "share"
	case HeldByRetries:
		return "retries"
	case HeldByLoad:
		return "load"
	case HeldNoFaster:
		return "noFaster"
	case HeldByCold:
		return "cold"
	}
	return "none"
}

package lease

// Phase is the state of a Holder.
type Phase uint8

const (
	// Waiting candidates make no calls until the next check of the key is due.
	Waiting Phase = iota
	// Checking candidates read the key.
	Checking
	// Granting candidates ask for a lease.
	Granting
	// Creating candidates create the key.
	Creating
	// Resolving candidates read the key back, because the answer to the creation
	// was lost or was a conflict.
	Resolving
	// Held means that the daemon is leader, as long as MayAct reports true.
	Held
	// Retired holders have resigned and make no more calls.
	Retired
)

var phaseNames = [...]string{"waiting", "checking", "granting", "creating", "resolving", "held", "retired"}

// String returns the name used in logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "invalid"
}

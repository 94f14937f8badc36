package lease

// Phase is what a Holder is doing.
type Phase uint8

const (
	// Waiting candidates make no calls until their time to check the key.
	Waiting Phase = iota
	// Checking candidates read the key.
	Checking
	// Granting candidates ask for a lease.
	Granting
	// Creating candidates create the key.
	Creating
	// Resolving candidates read back a creation whose answer was lost.
	Resolving
	// Held means that the daemon is leader while MayAct says so.
	Held
	// Retired holders have resigned.
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

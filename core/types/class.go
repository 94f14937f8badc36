package types

// Runs tells how often a request may run.
type Runs uint8

const (
	// Idempotent requests may run again when an attempt fails.
	Idempotent Runs = iota
	// AtMostOnce requests must not run a second time, whatever fails.
	AtMostOnce
)

// String returns the name used in configuration files.
func (r Runs) String() string {
	if r == AtMostOnce {
		return "atMostOnce"
	}
	return "idempotent"
}

// ParseRuns reads the name used in configuration files.
func ParseRuns(s string) (Runs, bool) {
	switch s {
	case "idempotent":
		return Idempotent, true
	case "atMostOnce":
		return AtMostOnce, true
	}
	return Idempotent, false
}

// Class tells how a call is to be treated. The zero value is an idempotent
// call that is not urgent.
type Class struct {
	urgent bool
	runs   Runs
}

// NewClass returns the class of calls with the given properties.
func NewClass(urgent bool, runs Runs) Class {
	return Class{urgent: urgent, runs: runs}
}

// Urgent reports whether the answer is worthless after its deadline.
func (c Class) Urgent() bool { return c.urgent }

// Runs tells how often the call may run.
func (c Class) Runs() Runs { return c.runs }

package types

// Runs says whether a request may run again after a failed attempt.
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

// ParseRuns converts the name used in configuration files. It returns false for
// any other string.
func ParseRuns(s string) (Runs, bool) {
	switch s {
	case "idempotent":
		return Idempotent, true
	case "atMostOnce":
		return AtMostOnce, true
	}
	return Idempotent, false
}

// Class holds the urgency of a call and how often it may run. The zero value
// is an idempotent call that is not urgent.
type Class struct {
	urgent bool
	runs   Runs
}

// NewClass returns the class of calls with the given properties.
func NewClass(urgent bool, runs Runs) Class {
	return Class{urgent: urgent, runs: runs}
}

// Urgent reports whether the response is worthless after the deadline.
func (c Class) Urgent() bool { return c.urgent }

// Runs returns whether the call may run again after a failed attempt.
func (c Class) Runs() Runs { return c.runs }

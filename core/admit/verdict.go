package admit

// Verdict is the decision about a call.
type Verdict uint8

const (
	// Refuse means that the call has not run and will not run here.
	Refuse Verdict = iota
	// Wait means that an Event with the final decision follows.
	Wait
	// Run means that the call holds a slot until Done.
	Run
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Wait:
		return "wait"
	}
	return "refuse"
}

package types

// Failure is the error of a call that got no response.
type Failure struct {
	outcome Outcome
	reason  string
}

// NewFailure returns a failure with a human-readable reason, for example
// "queue full".
func NewFailure(o Outcome, reason string) *Failure {
	return &Failure{outcome: o, reason: reason}
}

// Error implements error.
func (f *Failure) Error() string { return f.outcome.String() + ": " + f.reason }

// Outcome returns what is known about whether the call ran.
func (f *Failure) Outcome() Outcome { return f.outcome }

// Reason returns the human-readable reason.
func (f *Failure) Reason() string { return f.reason }

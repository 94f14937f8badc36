package types

// Failure is the error of a call that got no answer.
type Failure struct {
	outcome Outcome
	reason  string
}

// NewFailure returns a failure with a reason for people, for example
// "queue full".
func NewFailure(o Outcome, reason string) *Failure {
	return &Failure{outcome: o, reason: reason}
}

// Error implements error.
func (f *Failure) Error() string { return f.outcome.String() + ": " + f.reason }

// Outcome returns what the caller may rely on.
func (f *Failure) Outcome() Outcome { return f.outcome }

// Reason returns the explanation for people.
func (f *Failure) Reason() string { return f.reason }

package entry

import "trefoilthread/core/types"

// StaleError is the failure of a call that did not run because the daemon of
// its target has a newer configuration of the service. The call has to be
// classified again before it is sent again: it may run at most once now.
type StaleError struct {
	failure *types.Failure
}

// Error implements error.
func (e *StaleError) Error() string { return e.failure.Error() }

// Unwrap returns the failure as the caller sees it.
func (e *StaleError) Unwrap() error { return e.failure }

// NewStaleError returns the failure of a call that has to be classified again.
func NewStaleError(reason string) *StaleError {
	return &StaleError{types.NewFailure(types.NotRun, reason)}
}

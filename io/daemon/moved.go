package daemon

import "trefoilthread/core/types"

// movedError is a failure of a keyed call that did not run because the daemon
// that was asked does not keep the key, or not any more. The call may go to the
// present owner.
type movedError struct {
	*types.Failure
}

// moved returns the failure of a call that has to go to another owner.
func moved(reason string) error {
	return &movedError{types.NewFailure(types.NotRun, reason)}
}

// Unwrap returns the failure as the caller sees it.
func (e *movedError) Unwrap() error { return e.Failure }

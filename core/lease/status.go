package lease

// Status is the result of a store call.
type Status uint8

const (
	// OK means that the call took effect.
	OK Status = iota
	// NotFound means that the key has no value.
	NotFound
	// Conflict means that the key has another revision than the call required.
	Conflict
	// LeaseGone means that the lease has expired or was revoked.
	LeaseGone
	// Unavailable means that the call was not sent.
	Unavailable
	// Unknown means that no answer arrived; the call may have taken effect.
	Unknown
)

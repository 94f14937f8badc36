package member

// Status is the result of a store call.
type Status uint8

const (
	// OK means that the call took effect.
	OK Status = iota
	// NotFound means that the key has no value.
	NotFound
	// Conflict means that the key has another revision than the call required.
	Conflict
	// Unknown means that the call failed or its answer was lost; a write may
	// have taken effect.
	Unknown
)

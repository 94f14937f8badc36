package config

// Action is the kind of a change.
type Action uint8

const (
	// Create adds a service.
	Create Action = iota
	// Update replaces a service.
	Update
	// Delete removes a service.
	Delete
)

// String returns the name used in audit entries and logs.
func (a Action) String() string {
	switch a {
	case Create:
		return "create"
	case Update:
		return "update"
	case Delete:
		return "delete"
	}
	return "unknown"
}

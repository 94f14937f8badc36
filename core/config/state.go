package config

// State is the effect of a change on the document.
type State uint8

const (
	// Committed changes are in the document.
	Committed State = iota
	// Unchanged means that the content equals the current one.
	Unchanged
	// Valid is the result of a dry run.
	Valid
)

// String returns the name used in answers and logs.
func (s State) String() string {
	switch s {
	case Committed:
		return "committed"
	case Unchanged:
		return "unchanged"
	}
	return "valid"
}

package poison

// Status tells how a request may run.
type Status uint8

const (
	// Clear requests run on any target.
	Clear Status = iota
	// Suspect requests run only as a trial.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// String returns the name used in listings, logs and metrics.
func (s Status) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	}
	return "clear"
}

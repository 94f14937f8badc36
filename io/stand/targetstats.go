package stand

// TargetStats are the events at a Target since it was made, over restarts.
type TargetStats struct {
	// Requests are all requests but probes; Runs those that began to run.
	Requests, Runs int
	// Done, Failed, Shed, Canceled and Expired are how requests ended.
	Done, Failed, Shed, Canceled, Expired int
	// RunsWhileDraining began after the target announced that it drains.
	RunsWhileDraining int
	// HealthProbes and LoadProbes are calls of /health and /load.
	HealthProbes, LoadProbes int
	// Crashes are crashes, Stalled the requests that are never answered.
	Crashes, Stalled int
	// RefusedConnections were closed because of the connection limit.
	RefusedConnections int
	// InFlight is the number of occupied slots, MaxInFlight its highest value,
	// Queued the requests that wait for a slot.
	InFlight, MaxInFlight, Queued int
	// OpenConnections is the number of open connections.
	OpenConnections int
}

package stand

// Load is the body of a target's /load endpoint.
type Load struct {
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
}

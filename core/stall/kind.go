package stall

// Kind is the evidence that a Tracker needs.
type Kind uint8

const (
	// Peer connections go to a daemon, which answers a ping at any time.
	Peer Kind = iota
	// Target connections go to a target, which is compared with itself on
	// other connections.
	Target
)

package stall

// Kind selects the condition, besides inactivity, under which a Tracker
// considers a connection stalled.
type Kind uint8

const (
	// Peer is for connections to a daemon, which answers a ping at any time:
	// a ping must be unanswered.
	Peer Kind = iota
	// Target is for connections to a target, which doesn't answer pings:
	// another connection to the same target must have made progress.
	Target
)

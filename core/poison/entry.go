package poison

import (
	"time"

	"trefoilthread/core/types"
)

// DeathID identifies one death of a target, whoever reports it.
type DeathID struct {
	// Target that died.
	Target types.TargetID
	// Incarnation of the daemon beside it.
	Incarnation uint64
	// Number of the death in that incarnation, from 1.
	Number uint64
}

// Death is a death of a target during which a request was in flight.
type Death struct {
	ID DeathID
	// Age is the time since the death when the entry was made.
	Age time.Duration
	// Cleared tells that the request has run without a crash since.
	Cleared bool
}

// Entry is what one daemon tells another about a request.
type Entry struct {
	Fingerprint types.Fingerprint
	Deaths      []Death
}

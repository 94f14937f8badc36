package load

import "time"

// rush is a change of the arrival rate for a time.
type rush struct {
	at    time.Duration
	lasts time.Duration
	load  float64
}

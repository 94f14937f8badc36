package load

import "time"

// Fault is one fault of a scenario. Times count from the start of the load of
// a policy and stand still while another policy has its turn.
type Fault struct {
	kind    FaultKind
	at      time.Duration
	lasts   time.Duration
	service string // "" for all
	targets int    // the first targets of the service, 0 for all
	factor  float64
	share   float64
	period  time.Duration
}

// Kind returns what goes wrong.
func (f Fault) Kind() FaultKind { return f.kind }

// At returns when the fault begins.
func (f Fault) At() time.Duration { return f.at }

// Lasts returns how long the fault lasts, 0 for one without an end.
func (f Fault) Lasts() time.Duration { return f.lasts }

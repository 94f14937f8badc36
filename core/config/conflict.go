package config

import (
	"fmt"

	"trefoilthread/core/types"
)

// Conflict is the error of a change that builds on another version of the
// service than the current one.
type Conflict struct {
	service types.ServiceName
	base    int64
	current int64
}

// Error implements error.
func (e *Conflict) Error() string {
	return fmt.Sprintf("service %s is at version %d, the change builds on version %d", e.service, e.current, e.base)
}

// Service returns the name of the service.
func (e *Conflict) Service() types.ServiceName { return e.service }

// Base returns the version that the change builds on, 0 for a new service.
func (e *Conflict) Base() int64 { return e.base }

// Current returns the version of the service in the document.
func (e *Conflict) Current() int64 { return e.current }

package config

import (
	"fmt"

	"trefoilthread/core/types"
)

// Missing is the error of a change to a service that does not exist.
type Missing struct {
	service types.ServiceName
}

// Error implements error.
func (e *Missing) Error() string {
	return fmt.Sprintf("service %s does not exist", quote(string(e.service)))
}

// Service returns the name of the service.
func (e *Missing) Service() types.ServiceName { return e.service }

package config

import "fmt"

// Reused is the error of a request id that already names another change.
type Reused struct {
	requestID string
	version   int64
}

// Error implements error.
func (e *Reused) Error() string {
	return fmt.Sprintf("request id %s names another change, committed in version %d", quote(e.requestID), e.version)
}

// RequestID returns the request id.
func (e *Reused) RequestID() string { return e.requestID }

// Version returns the version of the document with the first change.
func (e *Reused) Version() int64 { return e.version }

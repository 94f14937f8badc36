package httpw

import "fmt"

// MessageError tells that a peer sent bytes that are no valid message, or one
// beyond the limits. The connection can't be used any further.
type MessageError struct {
	status int
	reason string
}

func newMessageError(status int, format string, args ...any) *MessageError {
	return &MessageError{status: status, reason: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *MessageError) Error() string { return "http message: " + e.reason }

// Status returns the status to answer a bad request with: 400, 413, 431, 501, or
// 503 if there is no memory for its body.
func (e *MessageError) Status() int { return e.status }

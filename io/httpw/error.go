package httpw

import (
	"errors"
	"fmt"
	"io"
)

// Part is a part of a message.
type Part uint8

// Parts of a message.
const (
	PartOther   Part = iota // none of the others, or unknown
	PartHead                // start line and header lines
	PartInterim             // interim responses
	PartChunk               // lines between the chunks of a body
	PartTrailer             // header lines behind the last chunk
	PartBody                // body without framing
	PartMemory              // body for which there is no memory
)

var partNames = [...]string{
	PartOther: "other", PartHead: "head", PartInterim: "interim", PartChunk: "chunk", PartTrailer: "trailer",
	PartBody: "body", PartMemory: "memory",
}

// String returns the name of the part in logs and metrics.
func (p Part) String() string { return partNames[p] }

// position is how far a message was read.
type position struct {
	part Part
	read int64 // bytes of the part
}

// MessageError tells that a peer sent bytes that are no valid message, or one
// beyond the limits. The connection can't be used any further.
type MessageError struct {
	position
	status  int
	reason  string
	tooLong bool
}

func newMessageError(status int, at position, format string, args ...any) *MessageError {
	return &MessageError{position: at, status: status, reason: fmt.Sprintf(format, args...)}
}

// newLengthError returns the error for a message that is longer than allowed at a position.
func newLengthError(status int, at position, format string, args ...any) *MessageError {
	e := newMessageError(status, at, format, args...)
	e.tooLong = true
	return e
}

// Error implements error.
func (e *MessageError) Error() string { return "http message: " + e.reason }

// Status returns the status to answer a bad request with: 400, 413, 431, 501, or
// 503 if there is no memory for its body.
func (e *MessageError) Status() int { return e.status }

// IsMessageError reports whether err is about the bytes of a message, not the
// connection.
func IsMessageError(err error) bool {
	var bad *MessageError
	return errors.As(err, &bad)
}

// IsTooLong reports whether err is about a message that is too long by itself: beyond a bound of its
// length, with a stated length beyond the whole memory for bodies, or without a stated length when
// memory ran out after longBody bytes.
func IsTooLong(err error) bool {
	var bad *MessageError
	return errors.As(err, &bad) && bad.tooLong
}

// cutError is an error of the connection within a message.
type cutError struct {
	position
	err error
}

// Error implements error.
func (e *cutError) Error() string { return e.err.Error() }

// Unwrap returns the error of the connection.
func (e *cutError) Unwrap() error { return e.err }

// cutAt returns the error for one of the connection at a position. An end between two bytes
// of a message becomes an unexpected one.
func cutAt(at position, err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &cutError{position: at, err: err}
}

// CutBody returns the error for a body of which n bytes came before err showed that it isn't
// complete.
func CutBody(n int, err error) error { return cutAt(bodyAt(int64(n)), err) }

// Progress returns the part of a message that was being read when err occurred, and how many
// bytes of that part had come. It returns PartOther if err is none of this package.
func Progress(err error) (Part, int64) {
	var bad *MessageError
	var cut *cutError
	switch {
	case errors.As(err, &bad):
		return bad.part, bad.read
	case errors.As(err, &cut):
		return cut.part, cut.read
	}
	return PartOther, 0
}

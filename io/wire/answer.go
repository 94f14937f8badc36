package wire

import "io"

// Answer is an answer whose body is still to be read. Body returns io.EOF only
// after the whole body; it must be closed.
type Answer struct {
	Head AnswerHead
	Body io.ReadCloser
}

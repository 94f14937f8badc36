package wire

import "github.com/cockroachdb/errors"

// Type is the first byte of a frame.
type Type uint8

// Types of frames.
const (
	// Head opens a call or an answer with a CBOR message.
	Head Type = 1
	// Body carries bytes of a body.
	Body Type = 2
	// End closes a body with its length, eight bytes big-endian.
	End Type = 3
	// Fail ends an answer with a Failure message.
	Fail Type = 4
	// Control opens a stream that carries one control message and its reply.
	Control Type = 5
)

// Limits of a frame's payload.
const (
	// MaxBody is the largest body frame in bytes.
	MaxBody = 64 << 10
	// MaxMessage is the largest CBOR message in bytes: a whole configuration
	// document of 1 MB and its envelope.
	MaxMessage = 1<<20 + 64<<10
)

const headerSize = 5

// Errors of malformed streams.
var (
	// ErrFrame means that a frame has an unknown type or too large a payload.
	ErrFrame = errors.New("malformed frame")
	// ErrTruncated means that a body ended before its End frame, or with
	// another length than the End frame gives.
	ErrTruncated = errors.New("body cut short")
)

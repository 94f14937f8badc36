// Package write writes to connections whose peers may be slow.
//
// A time bound on a whole message cuts long ones on slow links, though the peer reads all the
// time. Here the bound is on each step of a message: a peer that accepts no step in time has
// failed, one that goes on accepting gets the message, however long it is.
//
// # Usage
//
//	err := write.Within(nc, clock, 10*time.Second, head, body)
package write

import (
	"net"
	"time"

	"github.com/jonboulle/clockwork"
)

// StepSize is the number of bytes that a peer has to accept within the bound.
const StepSize = 512 << 10

// Within writes bufs one after the other. The peer has to accept each step of StepSize bytes
// within bound.
func Within(nc net.Conn, clock clockwork.Clock, bound time.Duration, bufs ...[]byte) error {
	if len(bufs) == 1 && len(bufs[0]) <= StepSize {
		if err := nc.SetWriteDeadline(clock.Now().Add(bound)); err != nil {
			return err
		}
		_, err := nc.Write(bufs[0])
		return err
	}
	for _, step := range stepsOf(bufs) {
		if err := nc.SetWriteDeadline(clock.Now().Add(bound)); err != nil {
			return err
		}
		if _, err := step.WriteTo(nc); err != nil {
			return err
		}
	}
	return nil
}

// stepsOf splits bufs into steps of StepSize bytes, the last of which may be shorter.
func stepsOf(bufs [][]byte) []net.Buffers {
	var steps []net.Buffers
	left := 0 // bytes that the last step has room for
	for _, b := range bufs {
		for len(b) > 0 {
			if left == 0 {
				steps, left = append(steps, nil), StepSize
			}
			part := b[:min(len(b), left)]
			b, left = b[len(part):], left-len(part)
			steps[len(steps)-1] = append(steps[len(steps)-1], part)
		}
	}
	return steps
}

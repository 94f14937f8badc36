package mesh

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"trefoilthread/io/httpw"
	"trefoilthread/io/write"
)

// errBacklog means that the peer accepts bytes too slowly.
var errBacklog = errors.New("mesh: too many bytes wait for the connection")

const (
	// maxBacklog is the number of bytes that wait for a connection beyond which no long
	// frame is queued.
	maxBacklog = 16 << 20
	// maxShortFrame is the length in bytes up to which a frame is queued beyond maxBacklog:
	// the answer to a call for whose long answer there was no room, a ping or a cancel.
	maxShortFrame = 4 << 10
	// writeTime bounds the time in which the peer accepts a step of bytes.
	writeTime = 5 * time.Second
)

// sender writes frames to a connection. The goroutine that finds nobody
// writing writes for all until nothing is left, so a lone frame needs no
// hand-over and frames that meet share a system call.
type sender struct {
	nc    net.Conn
	clock clockwork.Clock

	// version is that of the peer, 0 until it is known.
	version atomic.Int32

	mu      sync.Mutex
	pending []byte
	held    []*httpw.Holding // memory of the bodies in pending
	spare   []byte
	writing bool
	err     error
}

// send queues a frame and, if nobody else is writing, writes. It returns an
// error only if the frame was not queued.
func (s *sender) send(k kind, call uint64, msg any) error {
	return s.sendHolding(k, call, msg, nil)
}

// sendHolding is send with the memory of the message's body, which is released once the
// frame is written, or isn't queued.
func (s *sender) sendHolding(k kind, call uint64, msg any, memory *httpw.Holding) error {
	err := s.enqueue(k, call, msg, memory)
	if err != nil {
		memory.Release()
	}
	return err
}

func (s *sender) enqueue(k kind, call uint64, msg any, memory *httpw.Holding) error {
	if s.version.Load() < rawTextVersion && hasRawText(msg) {
		return ErrOldPeer
	}
	s.mu.Lock()
	if s.err != nil {
		defer s.mu.Unlock()
		return s.err
	}
	waiting := len(s.pending)
	buf, err := appendFrame(s.pending, k, call, msg)
	isShort := len(buf)-waiting <= maxShortFrame
	if err == nil && (waiting > 2*maxBacklog || waiting > maxBacklog && !isShort) {
		err = errBacklog
	}
	if err != nil {
		s.mu.Unlock()
		return err
	}
	s.pending = buf
	if memory != nil {
		s.held = append(s.held, memory)
	}
	if s.writing {
		s.mu.Unlock()
		return nil
	}
	s.writing = true
	s.mu.Unlock()
	s.flush()
	return nil
}

// flush writes until nothing is pending.
func (s *sender) flush() {
	for {
		s.mu.Lock()
		buf, held := s.pending, s.held
		s.held = nil
		if len(buf) == 0 || s.err != nil {
			s.writing = false
			s.pending = buf[:0]
			s.mu.Unlock()
			releaseAll(held)
			return
		}
		s.pending, s.spare = s.spare[:0], nil
		s.mu.Unlock()
		err := write.Within(s.nc, s.clock, writeTime, buf)
		releaseAll(held)
		s.mu.Lock()
		s.err = err
		if cap(buf) <= payloadStep {
			s.spare = buf[:0]
		}
		s.mu.Unlock()
		if err != nil {
			_ = s.nc.Close() // the reader reports the end
		}
	}
}

// releaseAll releases the memory of bodies.
func releaseAll(held []*httpw.Holding) {
	for _, m := range held {
		m.Release()
	}
}

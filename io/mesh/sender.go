package mesh

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	corelink "trefoilthread/core/link"
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

	uplink *Uplink // of this VM, nil if unknown

	mu      sync.Mutex
	pending []byte
	long    []*longFrame     // frames that are sent in parts, after pending
	pacer   *corelink.Pacer  // of the parts, nil if none is slow
	toPeer  float64          // speed of the slower one of the links to the peer, Mbit/s, 0 if unknown
	waiting bool             // resume is called when the next part may be written
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
	_, err := s.enqueue(k, call, msg, memory)
	if err != nil {
		memory.Release()
	}
	return err
}

// enqueue queues a frame and, if nobody else is writing, writes. It returns the frame if it
// is sent in parts, else nil.
func (s *sender) enqueue(k kind, call uint64, msg any, memory *httpw.Holding) (*longFrame, error) {
	if s.version.Load() < rawTextVersion && hasRawText(msg) {
		return nil, ErrOldPeer
	}
	s.mu.Lock()
	if s.err != nil {
		defer s.mu.Unlock()
		return nil, s.err
	}
	short := len(s.pending)
	buf, err := appendFrame(s.pending, k, call, msg)
	n := len(buf) - short
	if waiting := short + s.longBytes(); err == nil && (waiting > 2*maxBacklog || waiting > maxBacklog && n > maxShortFrame) {
		err = errBacklog
	}
	if err != nil {
		s.mu.Unlock()
		return nil, err
	}
	var long *longFrame
	if s.isLong(k, n) {
		long = &longFrame{call: call, rest: bytes.Clone(buf[short:]), memory: memory}
		s.long = append(s.long, long)
	} else {
		s.pending = buf
		if memory != nil {
			s.held = append(s.held, memory)
		}
	}
	if s.writing {
		s.mu.Unlock()
		return long, nil
	}
	s.writing = true
	s.mu.Unlock()
	s.flush()
	return long, nil
}

// flush writes until nothing is pending.
func (s *sender) flush() {
	for {
		s.mu.Lock()
		buf, held := s.pending, s.held
		s.held = nil
		if len(buf) == 0 && s.err == nil {
			if part := s.takePart(); part != nil {
				s.mu.Unlock()
				s.writePart(part)
				continue
			}
		}
		if len(buf) == 0 || s.err != nil {
			s.writing = false
			s.pending = buf[:0]
			if s.err != nil {
				held = append(held, s.longMemory()...)
			}
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

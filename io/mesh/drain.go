package mesh

import (
	"context"
	"time"
)

const (
	// drainQuiet is the time without a new call after which no peer is expected to send
	// one: all have heard that the target takes none.
	drainQuiet = 100 * time.Millisecond
	// drainInterval is how often Drain looks for open calls.
	drainInterval = 10 * time.Millisecond
)

// Drain waits until all calls are answered and none has come for drainQuiet, or ctx ends.
// Close may follow: it would cut off the answers that are still to be written.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.lastCallAt = s.opts.Clock.Now()
	s.mu.Unlock()
	for !s.isDrained() {
		select {
		case <-ctx.Done():
			return
		case <-s.opts.Clock.After(drainInterval):
		}
	}
}

// isDrained reports whether all answers are written and no call has come lately.
func (s *Server) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openCalls > 0 || s.opts.Clock.Since(s.lastCallAt) < drainQuiet {
		return false
	}
	for _, p := range s.conns {
		if !p.out.isFlushed() {
			return false
		}
	}
	return true
}

// noteCall counts a call that has come.
func (s *Server) noteCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openCalls++
	s.lastCallAt = s.opts.Clock.Now()
}

// endCall counts a call whose answer is queued.
func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openCalls--
}

// isFlushed reports whether all queued frames are written.
func (s *sender) isFlushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.writing && len(s.pending) == 0 && len(s.long) == 0 || s.err != nil
}

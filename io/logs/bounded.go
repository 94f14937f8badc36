package logs

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

const (
	// flushPause is how long lines are collected before they are written, so
	// that a busy daemon makes few system calls for its log.
	flushPause = 50 * time.Millisecond
	// maxPending bounds the lines that wait for a slow reader, in bytes.
	maxPending = 256 << 10
)

// BoundedOptions configure a Bounded writer.
type BoundedOptions struct {
	Out       io.Writer
	PerSecond int // lines written in a second at most
	Clock     clockwork.Clock
}

// Bounded passes log lines on without ever blocking their writers. Lines beyond
// the rate, and lines that a slow reader leaves no room for, are left out; a
// line with their number follows.
type Bounded struct {
	opts BoundedOptions

	mu      sync.Mutex
	pending bytes.Buffer
	busy    bool // a flush is planned or under way
	second  time.Time
	lines   int // in this second
	left    int // lines left out since the last note
	note    func(left int)
}

// NewBounded returns a writer of log lines.
func NewBounded(o BoundedOptions) *Bounded { return &Bounded{opts: o} }

// Notes sets the function that logs how many lines were left out.
func (b *Bounded) Notes(l log.Interface) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note = func(left int) { l.WithField("lines", left).Warn("log lines left out") }
}

// Write implements io.Writer. It takes a line or leaves it out.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	note, left := b.admit(len(line))
	b.mu.Unlock()
	if note != nil {
		note(left)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lines > b.opts.PerSecond || b.pending.Len()+len(line) > maxPending {
		b.left++
		return len(line), nil
	}
	b.lines++
	b.pending.Write(line)
	if !b.busy {
		b.busy = true
		b.opts.Clock.AfterFunc(flushPause, b.flush)
	}
	return len(line), nil
}

// admit starts a new second and returns the note that is due, with the lock
// held.
func (b *Bounded) admit(size int) (func(int), int) {
	now := b.opts.Clock.Now()
	if now.Sub(b.second) < time.Second {
		return nil, 0
	}
	b.second, b.lines = now, 0
	if b.left == 0 || b.note == nil || b.pending.Len()+size > maxPending {
		return nil, 0
	}
	left := b.left
	b.left = 0
	return b.note, left
}

// flush writes what is pending; only it waits for the reader.
func (b *Bounded) flush() {
	for {
		b.mu.Lock()
		if b.pending.Len() == 0 {
			b.busy = false
			b.mu.Unlock()
			return
		}
		out := bytes.Clone(b.pending.Bytes())
		b.pending.Reset()
		b.mu.Unlock()
		// A reader that is gone must not end the daemon; its lines are lost.
		_, _ = b.opts.Out.Write(out)
	}
}

// Flush writes what is pending, for the end of a process.
func (b *Bounded) Flush() { b.flush() }

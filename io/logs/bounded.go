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
	line    []byte // a line that is not whole yet
	pending bytes.Buffer
	busy    bool // a flush is planned or under way
	second  time.Time
	lines   int // in this second
	left    int // lines left out since the last note
	note    func(left int)
}

// NewBounded returns a writer of log lines.
func NewBounded(o BoundedOptions) *Bounded { return &Bounded{opts: o} }

// MessageLeftOut is the message of the line that says in the field "lines" how many lines were
// left out.
const MessageLeftOut = "log lines left out"

// Notes sets the function that logs how many lines were left out.
func (b *Bounded) Notes(l log.Interface) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note = func(left int) { l.WithField("lines", left).Warn(MessageLeftOut) }
}

// Write implements io.Writer. Handlers may write a line in pieces; it is taken
// or left out as a whole. A logger holds its own lock meanwhile, so nothing may
// be logged from here.
func (b *Bounded) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.line = append(b.line, p...)
	if end := bytes.LastIndexByte(b.line, '\n'); end < 0 || end < len(b.line)-1 {
		return len(p), nil
	}
	if now := b.opts.Clock.Now(); now.Sub(b.second) >= time.Second {
		b.second, b.lines = now, 0
	}
	if b.lines >= b.opts.PerSecond || b.pending.Len()+len(b.line) > maxPending {
		b.left++
	} else {
		b.lines++
		b.pending.Write(b.line)
	}
	b.line = b.line[:0]
	if !b.busy {
		b.busy = true
		b.opts.Clock.AfterFunc(flushPause, b.flush)
	}
	return len(p), nil
}

// flush writes what is pending; only it waits for the reader.
func (b *Bounded) flush() {
	for {
		out, note, left := b.next()
		if left > 0 {
			note(left)
		}
		if len(out) == 0 {
			return
		}
		// A reader that is gone must not end the daemon; its lines are lost.
		_, _ = b.opts.Out.Write(out)
	}
}

// next returns what is pending, or nothing and the note that is due. The note
// waits for the second after the one in which lines were left out.
func (b *Bounded) next() (out []byte, note func(int), left int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending.Len() > 0 {
		out = bytes.Clone(b.pending.Bytes())
		b.pending.Reset()
		return out, nil, 0
	}
	b.busy = false
	if b.left == 0 || b.note == nil {
		return nil, nil, 0
	}
	if rest := time.Second - b.opts.Clock.Since(b.second); rest > 0 {
		b.busy = true
		b.opts.Clock.AfterFunc(rest, b.flush)
		return nil, nil, 0
	}
	left, b.left = b.left, 0
	return nil, b.note, left
}

// Flush writes what is pending, for the end of a process.
func (b *Bounded) Flush() { b.flush() }

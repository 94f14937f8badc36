package logs_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/io/logs"
)

// output collects what is written.
type output struct {
	mu   sync.Mutex
	text strings.Builder
	hold chan struct{} // a write waits until it is closed, if not nil
}

func (o *output) Write(p []byte) (int, error) {
	if o.hold != nil {
		<-o.hold
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// eventually waits for a goroutine that a fake clock has started.
func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	for range 10_000 {
		if cond() {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	t.Fatal("condition not met")
}

// Guards against a note about lines left out that is logged from within a
// write: the logger's lock is held then, and every later line waits for ever.
func TestBoundedNotesWhatItLeavesOut(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	out := &output{}
	b := logs.NewBounded(logs.BoundedOptions{Out: out, PerSecond: 2, Clock: clock})
	l, err := logs.New(b, "info", "logfmt")
	is.NoErr(err)
	b.Notes(l)
	for range 5 {
		l.Info("decision")
	}
	clock.Advance(50 * time.Millisecond)
	eventually(t, func() bool { return strings.Count(out.String(), "decision") == 2 })
	eventually(t, func() bool {
		clock.Advance(100 * time.Millisecond)
		return strings.Contains(out.String(), "left out")
	})
	is.True(strings.Contains(out.String(), "lines=3")) // the number left out
	l.Info("later")
	eventually(t, func() bool {
		clock.Advance(100 * time.Millisecond)
		return strings.Contains(out.String(), "later")
	})
}

// Guards against a request that waits for whoever reads the log.
func TestBoundedNeverBlocks(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	out := &output{hold: make(chan struct{})}
	b := logs.NewBounded(logs.BoundedOptions{Out: out, PerSecond: 1 << 20, Clock: clock})
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 1024 {
		n, err := b.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
		clock.Advance(50 * time.Millisecond)
	}
	close(out.hold)
	b.Flush()
}

package write_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/io/write"
)

// recorder is a connection that records what is written.
type recorder struct {
	net.Conn
	all       bytes.Buffer
	deadlines []time.Time
	step      int // bytes since the latest deadline was set
	longest   int // largest step
}

func (r *recorder) SetWriteDeadline(t time.Time) error {
	r.deadlines = append(r.deadlines, t)
	r.step = 0
	return nil
}

func (r *recorder) Write(p []byte) (int, error) {
	r.step += len(p)
	r.longest = max(r.longest, r.step)
	return r.all.Write(p)
}

// Guards against a bound on a whole message, which cuts long ones on slow links, and against
// bytes that are lost or doubled where a step ends.
func TestEachStepHasTheBound(t *testing.T) {
	const bound = 5 * time.Second
	for _, lens := range [][]int{
		{0}, {1}, {write.StepSize}, {write.StepSize + 1}, {0, 3, 0}, {10, write.StepSize - 10}, {10, write.StepSize, 10},
		{3*write.StepSize + 7, 2 * write.StepSize, 1},
	} {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		var bufs [][]byte
		var all []byte
		for i, n := range lens {
			b := bytes.Repeat([]byte{byte('a' + i)}, n)
			bufs, all = append(bufs, b), append(all, b...)
		}
		r := new(recorder)
		is.NoErr(write.Within(r, clock, bound, bufs...))
		is.True(bytes.Equal(r.all.Bytes(), all))
		is.True(r.longest <= write.StepSize)
		for _, at := range r.deadlines {
			is.Equal(at, clock.Now().Add(bound))
		}
	}
}

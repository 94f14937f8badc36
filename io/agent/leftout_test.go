package agent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/agent"
)

// Guards against routine requests that are neither in the log nor counted by the next line of
// their route.
func TestLinesTellHowManyRequestsWereLeftOut(t *testing.T) {
	is := is.New(t)
	mayLog := agent.NewRequestLines()
	now := time.Unix(0, 0)
	logged := 0
	for range 100 {
		for _, route := range []string{"look", "look", "pay"} {
			if leftOut, ok := mayLog(now, route); ok {
				is.Equal(leftOut, 0) // the limit isn't reached yet
				logged++
			}
		}
	}
	is.True(logged > 0)
	counted := logged
	for range 2 {
		now = now.Add(time.Second)
		for _, route := range []string{"look", "pay"} {
			leftOut, ok := mayLog(now, route)
			is.True(ok)
			counted += 1 + leftOut
		}
	}
	is.Equal(counted, 304)
}

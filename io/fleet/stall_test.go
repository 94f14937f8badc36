package fleet_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/io/deploy"
	"trefoilthread/io/fleet"
)

// Guards against calls on a TCP connection to the target that has gone silent
// waiting for their deadlines, while new connections of the target work.
func TestSilentTargetConnectionsAreGivenUp(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{
		Deployment: deploy.Small(2, 5*time.Millisecond), Settings: "[calls]\nstallAfter = 100ms",
	})
	addr := f.Nodes()[0].Daemon().CallerAddr()
	var failed atomic.Int64
	burst := func() {
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				if r := get(t, addr, "/s/echo/read"); r.status != http.StatusOK {
					failed.Add(1)
					t.Log(r.body)
				}
			})
		}
		wg.Wait()
	}
	for range 8 {
		burst() // opens connections and teaches the usual latency
	}
	for _, n := range f.Nodes() {
		n.Target().SwallowOpen()
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				burst()
			}
		}
	})
	// An urgent idempotent call gets an answer from a new connection.
	r := get(t, addr, "/s/echo/read")
	is.Equal(r.status, http.StatusOK)
	// An at-most-once call on a silent connection may have run; it must not be
	// reported as not run if it did.
	w := post(t, addr, "/s/echo/write", "swallowed")
	if w.outcome == types.NotRun.String() {
		is.Equal(f.Runs("swallowed"), 0)
	}
	is.True(f.Runs("swallowed") <= 1)
	close(stop)
	wg.Wait()
	is.Equal(failed.Load(), int64(0)) // calls that waited for their deadline
}

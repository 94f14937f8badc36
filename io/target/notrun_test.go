package target_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
	"trefoilthread/io/target"
	"trefoilthread/io/wire"
)

// notRunSeed is changed by hand to play other calls and faults:
//
//	go test ./io/target -run TestCallsProvenNotRunNeverArrive -notrun.seed 7
var notRunSeed = flag.Uint64("notrun.seed", 1, "seed of the calls and the target's faults")

const (
	notRunCallers = 24
	notRunSlots   = 4
	longestWork   = 3 * time.Millisecond
	patience      = 20 * time.Second
	// enoughOfEach is the number of calls of each outcome after which the test may pass.
	enoughOfEach = 50
)

// arrivals counts the requests that come to a target, by id. The target breaks connections
// at random.
type arrivals struct {
	mu   sync.Mutex
	rng  *rand.Rand
	came map[string]int
}

func (a *arrivals) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.came[r.Header.Get("Trefoil-Request")]++
	work, breaks := time.Duration(a.rng.IntN(int(longestWork))), a.rng.IntN(6) == 0
	a.mu.Unlock()
	time.Sleep(work)
	if breaks {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "ok")
}

// disturb drains the target and announces other slots until done is closed.
func disturb(t *testing.T, l *target.Local, addr string, rng *rand.Rand, done <-chan struct{}) {
	for {
		l.Drain(rng.IntN(6) == 0)
		a := target.Announcement{Service: "svc", Address: addr, Slots: 1 + rng.IntN(notRunSlots), Connections: 16, State: "up"}
		if err := l.Announce(a); err != nil {
			t.Error(err)
		}
		l.Tick()
		select {
		case <-done:
			l.Drain(false)
			return
		case <-time.After(time.Duration(rng.IntN(int(4 * longestWork)))):
		}
	}
}

// Guards against a call that is proven not to have run and comes to the target, against one
// that net/http sends again by itself, and against a slot that is never free again.
func TestCallsProvenNotRunNeverArrive(t *testing.T) {
	a := &arrivals{rng: rand.New(rand.NewPCG(*notRunSeed, 0)), came: make(map[string]int)}
	srv := httptest.NewServer(a)
	defer srv.Close()
	addr := srv.Listener.Addr().(*net.TCPAddr).String()
	l := newLocal(t, addr, unlimited)
	done := make(chan struct{})
	var changes, callers sync.WaitGroup
	changes.Go(func() { disturb(t, l, addr, rand.New(rand.NewPCG(*notRunSeed, 1)), done) })
	var mu sync.Mutex
	ends := make(map[types.Outcome]int)
	var notRun []string
	isEnough := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return min(ends[types.Done], ends[types.NotRun], ends[types.Unknown], ends[types.Canceled]) >= enoughOfEach
	}
	end := time.Now().Add(patience)
	for i := range notRunCallers {
		rng := rand.New(rand.NewPCG(*notRunSeed, uint64(i)+2))
		callers.Go(func() {
			for n := 0; !isEnough() && time.Now().Before(end); n++ {
				head := &wire.CallHead{
					ID: fmt.Sprintf("%d-%d", i, n), Service: "svc", Method: http.MethodGet, Path: "/", Runs: uint8(types.AtMostOnce), Key: "k",
					Header: map[string][]string{"Idempotency-Key": {"k"}}, Timeout: (time.Duration(rng.IntN(40)) * time.Millisecond).Microseconds(), Worth: 1,
				}
				o := callTarget(t, l, head, time.Duration(rng.IntN(int(10*longestWork))))
				mu.Lock()
				ends[o]++
				if o.ProvesNotRun() {
					notRun = append(notRun, head.ID)
				}
				mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(int(2 * longestWork))))
			}
		})
	}
	callers.Wait()
	close(done)
	changes.Wait()
	for end := time.Now().Add(patience); !l.Idle(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("seed %d: calls have ended and slots are taken", *notRunSeed)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range notRun {
		if a.came[id] > 0 {
			t.Errorf("seed %d: call %s is proven not to have run and came to the target", *notRunSeed, id)
		}
	}
	for id, n := range a.came {
		if n > 1 {
			t.Errorf("seed %d: call %s came %d times", *notRunSeed, id, n)
		}
	}
	t.Logf("calls by outcome %v", ends)
	if !isEnough() {
		t.Errorf("calls by outcome %v: want %d of each", ends, enoughOfEach)
	}
}

// callTarget makes a call that its caller may give up, and returns its outcome.
func callTarget(t *testing.T, l *target.Local, head *wire.CallHead, left time.Duration) types.Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := time.AfterFunc(left, cancel)
	defer stop.Stop()
	ans, err := l.Do(ctx, head, strings.NewReader(""))
	var f *wire.Failure
	switch {
	case errors.As(err, &f):
		return types.Outcome(f.Outcome)
	case err != nil:
		t.Errorf("call %s: %v", head.ID, err)
		return types.Unknown
	}
	_, err = io.Copy(io.Discard, ans.Body)
	_ = ans.Body.Close()
	if err != nil {
		return types.Unknown
	}
	return types.Done
}

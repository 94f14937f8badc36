package entry_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/poison"
	"trefoilthread/core/retry"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/io/entry"
	"trefoilthread/io/peer"
	"trefoilthread/io/wire"
)

// raceSeed is changed by hand to play other calls:
//
//	go test ./io/entry -run TestRacingAttemptsTellTheTruth -race.seed 7
var raceSeed = flag.Uint64("race.seed", 1, "seed of the calls and their attempts")

const (
	racingCallers = 16
	racingCalls   = 150
	longestRacing = 4 * time.Millisecond
)

// racing answers attempts at random and records which calls may have run.
type racing struct {
	mu   sync.Mutex
	rng  *rand.Rand
	ran  map[string]int // attempts that may have run, by call
	sent map[string]int // attempts, by call
}

func (r *racing) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// send ends an attempt at random. Only refusals and errors before the sending prove that
// it has not run.
func (r *racing) send(ctx context.Context, _ types.Target, head *wire.CallHead, _ io.Reader) (*wire.Answer, error) {
	end := r.draw(8)
	r.mu.Lock()
	r.sent[head.ID]++
	if end > 2 {
		r.ran[head.ID]++
	}
	r.mu.Unlock()
	select {
	case <-time.After(time.Duration(r.draw(int(longestRacing)))):
	case <-ctx.Done():
		if end > 2 {
			return nil, ctx.Err()
		}
	}
	switch end {
	case 0, 1:
		return nil, fail(types.NotRun)
	case 2:
		return nil, errors.Mark(errors.New("no connection"), peer.ErrNotSent)
	case 3:
		return nil, fail(types.Unknown)
	case 4:
		return nil, errors.New("reset")
	}
	ans := answer(head, strings.NewReader("ok"), 2)
	if end == 5 {
		ans.Head.Status = http.StatusServiceUnavailable
	}
	return ans, nil
}

// Guards against a call that is reported as not run although one of its attempts, hedges and
// abandoned ones too, may have run, and against a second run of a call that may run once.
func TestRacingAttemptsTellTheTruth(t *testing.T) {
	r := &racing{rng: rand.New(rand.NewPCG(*raceSeed, 0)), ran: make(map[string]int), sent: make(map[string]int)}
	var targets []types.Target
	for i := range 8 {
		targets = append(targets, types.NewTarget(types.TargetSpec{
			ID: types.TargetID(fmt.Sprint("t", i)), Service: "svc", Slots: 8, Incarnation: 1,
		}))
	}
	flow := entry.NewFlow(entry.FlowOptions{
		NewPicker: func(types.ServiceName) *route.Picker { return route.New(route.Options{}) },
		Targets:   func(types.ServiceName) []types.Target { return targets },
		Retries: func(types.ServiceName) (retry.BudgetOptions, retry.HedgerOptions) {
			return retry.BudgetOptions{Share: 1, Burst: 1000}, retry.HedgerOptions{Quantile: 0.3, Share: 1, Burst: 1000, MinSamples: 5}
		},
		Check: func(types.Fingerprint) poison.Status { return poison.Clear }, Send: r.send,
	})
	var mu sync.Mutex
	notRun, once := make(map[string]types.Outcome), make(map[string]bool)
	var callers sync.WaitGroup
	for i := range racingCallers {
		rng := rand.New(rand.NewPCG(*raceSeed, uint64(i)+1))
		callers.Go(func() {
			for n := range racingCalls {
				head := &wire.CallHead{
					ID: fmt.Sprintf("%d-%d", i, n), Service: "svc", Method: "GET", Path: "/", Urgent: true,
					Runs: uint8(types.Idempotent), Timeout: time.Minute.Microseconds(), Tries: 4,
				}
				if rng.IntN(3) == 0 {
					head.Runs = uint8(types.AtMostOnce)
				}
				f := raceOne(t, flow, head, time.Duration(rng.IntN(int(8*longestRacing))))
				mu.Lock()
				once[head.ID] = head.Runs == uint8(types.AtMostOnce)
				if f != nil && f.Outcome().ProvesNotRun() {
					notRun[head.ID] = f.Outcome()
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	hedged := 0
	for id, n := range r.ran {
		if o, ok := notRun[id]; ok {
			t.Errorf("seed %d: call %s ended as %s, %d of %d attempts may have run", *raceSeed, id, o, n, r.sent[id])
		}
		if once[id] && n > 1 {
			t.Errorf("seed %d: call %s may have run %d times", *raceSeed, id, n)
		}
		if n > 1 {
			hedged++
		}
	}
	t.Logf("%d calls, %d proven not to have run, %d with several attempts that may have run", len(r.sent), len(notRun), hedged)
	if len(notRun) == 0 || hedged == 0 {
		t.Error("no call was refused, or none was sent again")
	}
}

// raceOne makes a call with some time and returns its failure, nil for an answer.
func raceOne(t *testing.T, flow *entry.Flow, head *wire.CallHead, left time.Duration) *types.Failure {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	body, err := entry.ReadBody(nil)
	if err != nil {
		t.Error(err)
		return nil
	}
	ans, err := flow.Do(ctx, head, body)
	var f *types.Failure
	switch {
	case errors.As(err, &f):
		return f
	case err != nil:
		t.Errorf("call %s: %v", head.ID, err)
	default:
		_ = ans.Body.Close()
	}
	return nil
}

package entry_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilthread/core/poison"
	"trefoilthread/core/retry"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/io/entry"
	"trefoilthread/io/peer"
	"trefoilthread/io/wire"
)

// script is what the attempts of one call meet, in order.
type script struct {
	errs   []error
	prints []poison.Status
	sent   int
}

func (s *script) flow() *entry.Flow {
	var targets []types.Target
	for _, id := range []types.TargetID{"a", "b", "c", "d", "e"} {
		targets = append(targets, types.NewTarget(types.TargetSpec{ID: id, Service: "svc", Slots: 4, Incarnation: 1}))
	}
	return entry.NewFlow(entry.FlowOptions{
		NewPicker: func(types.ServiceName) *route.Picker { return route.New(route.Options{}) },
		Targets:   func(types.ServiceName) []types.Target { return targets },
		Retries: func(types.ServiceName) (retry.BudgetOptions, retry.HedgerOptions) {
			return retry.BudgetOptions{}, retry.HedgerOptions{}
		},
		Check: func(types.Fingerprint) poison.Status {
			if s.sent < len(s.prints) {
				return s.prints[s.sent]
			}
			return poison.Clear
		},
		Send: func(_ context.Context, _ types.Target, head *wire.CallHead, _ io.Reader) (*wire.Answer, error) {
			err := s.errs[min(s.sent, len(s.errs)-1)]
			s.sent++
			if err != nil {
				return nil, err
			}
			return answer(head, strings.NewReader("ok"), 2), nil
		},
	})
}

func fail(o types.Outcome) error { return &wire.Failure{Outcome: uint8(o), Reason: o.String()} }

// Guards against a call that runs again without proof that it did not run, and
// against a refusal as not run after an attempt that may have run.
func TestFailuresTellTheTruth(t *testing.T) {
	stale := &wire.Failure{Outcome: uint8(types.NotRun), Reason: "stale", Stale: true}
	for name, c := range map[string]struct {
		runs   types.Runs
		depth  int
		errs   []error
		prints []poison.Status
		sent   int
		want   types.Outcome
		stale  bool
	}{
		"proof, then answer":            {types.AtMostOnce, 0, []error{fail(types.NotRun), nil}, nil, 2, types.Done, false},
		"not sent, then answer":         {types.AtMostOnce, 0, []error{errors.Mark(errors.New("x"), peer.ErrNotSent), nil}, nil, 2, types.Done, false},
		"at most once, no proof":        {types.AtMostOnce, 0, []error{fail(types.Unknown), nil}, nil, 1, types.Unknown, false},
		"at most once, lost connection": {types.AtMostOnce, 0, []error{errors.New("reset"), nil}, nil, 1, types.Unknown, false},
		"at most once, stalled":         {types.AtMostOnce, 0, []error{errors.Mark(errors.New("x"), peer.ErrStalled), nil}, nil, 1, types.Unknown, false},
		"idempotent, no proof":          {types.Idempotent, 0, []error{fail(types.Unknown), nil}, nil, 2, types.Done, false},
		"idempotent, second hop":        {types.Idempotent, 1, []error{fail(types.Unknown), nil}, nil, 1, types.Unknown, false},
		// A single call has a budget of two retries.
		"may have run, then refused": {types.Idempotent, 0, []error{fail(types.Unknown), fail(types.NotRun)}, nil, 3, types.Unknown, false},
		"always refused":             {types.AtMostOnce, 0, []error{fail(types.NotRun)}, nil, 3, types.NotRun, false},
		"quarantined":                {types.Idempotent, 0, []error{nil}, []poison.Status{poison.Quarantined}, 0, types.Quarantined, false},
		"ran, then quarantined":      {types.Idempotent, 0, []error{fail(types.Unknown)}, []poison.Status{poison.Clear, poison.Quarantined}, 1, types.Unknown, false},
		"older classification":       {types.Idempotent, 0, []error{stale, nil}, nil, 1, types.NotRun, true},
		"ran, then older":            {types.Idempotent, 0, []error{fail(types.Unknown), stale}, nil, 2, types.Unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &script{errs: c.errs, prints: c.prints}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			body, err := entry.ReadBody(nil)
			is.NoErr(err)
			ans, err := s.flow().Do(ctx, &wire.CallHead{
				ID: "x", Service: "svc", Method: "GET", Path: "/", Runs: uint8(c.runs), Depth: c.depth,
				Timeout: time.Minute.Microseconds(), Tries: 4,
			}, body)
			got := types.Done
			var f *types.Failure
			if errors.As(err, &f) {
				got = f.Outcome()
			} else {
				is.NoErr(ans.Body.Close())
			}
			is.Equal(got, c.want)
			is.Equal(s.sent, c.sent)
			var old *entry.StaleError
			is.Equal(errors.As(err, &old), c.stale)
		})
	}
}

// Guards against a refresh that read the targets earlier, and reaches the picker
// later than another one, leaving it with an old list.
func TestRefreshesTakeTurns(t *testing.T) {
	is := is.New(t)
	target := func(id types.TargetID) []types.Target {
		return []types.Target{types.NewTarget(types.TargetSpec{ID: id, Service: "svc", Slots: 4, Incarnation: 1})}
	}
	var mu sync.Mutex
	known, hold := target("old"), make(chan struct{})
	reads, reading := 0, make(chan struct{})
	f := entry.NewFlow(entry.FlowOptions{
		NewPicker: func(types.ServiceName) *route.Picker { return route.New(route.Options{}) },
		Retries: func(types.ServiceName) (retry.BudgetOptions, retry.HedgerOptions) {
			return retry.BudgetOptions{}, retry.HedgerOptions{}
		},
		Check: func(types.Fingerprint) poison.Status { return poison.Clear },
		Targets: func(types.ServiceName) []types.Target {
			mu.Lock()
			got := known
			reads++
			second := reads == 2
			mu.Unlock()
			if second {
				close(reading)
				<-hold
			}
			return got
		},
		Send: func(_ context.Context, tg types.Target, head *wire.CallHead, _ io.Reader) (*wire.Answer, error) {
			return answer(head, strings.NewReader(string(tg.ID())), 3), nil
		},
	})
	ask := func() string {
		body, err := entry.ReadBody(nil)
		is.NoErr(err)
		ans, err := f.Do(t.Context(), &wire.CallHead{
			ID: "x", Service: "svc", Method: "GET", Path: "/", Timeout: time.Minute.Microseconds(), Tries: 4,
		}, body)
		is.NoErr(err)
		b, err := io.ReadAll(ans.Body)
		is.NoErr(err)
		is.NoErr(ans.Body.Close())
		return string(b)
	}
	is.Equal(ask(), "old") // the first read
	var wg sync.WaitGroup
	wg.Go(func() { f.Refresh("svc") })
	<-reading
	mu.Lock()
	known = target("new")
	mu.Unlock()
	later := make(chan struct{})
	wg.Go(func() {
		f.Refresh("svc")
		close(later)
	})
	// Without turns the later refresh ends first; with them it waits for the
	// earlier one, so the wait is bounded.
	select {
	case <-later:
	case <-time.After(50 * time.Millisecond):
	}
	close(hold)
	wg.Wait()
	is.Equal(ask(), "new")
}

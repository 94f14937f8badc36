package stand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// serve answers one request or probe.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	crashed, stalled := t.crashed, t.faults.stalled
	t.mu.Unlock()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	go func() {
		select {
		case <-crashed:
			cancel(errCrashed)
		case <-ctx.Done():
		}
	}()
	if stalled {
		t.note(func(s *TargetStats) { s.Stalled++ })
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/health":
		t.health(ctx, w)
	case "/load":
		t.load(ctx, w)
	default:
		t.request(ctx, w, r)
	}
}

// errCrashed is the cause of a context that a crash ended.
var errCrashed = errors.New("target crashed")

// request runs one ordinary request.
func (t *Target) request(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	t.note(func(s *TargetStats) { s.Requests++ })
	if d, ok, err := parseTimeout(r.Header.Get("Trefoil-Timeout")); err != nil {
		t.note(func(s *TargetStats) { s.Failed++ })
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	} else if ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		t.note(func(s *TargetStats) { s.Canceled++ })
		return
	}
	if !t.occupy(ctx) {
		if ctx.Err() != nil {
			t.giveUp(ctx, w)
			return
		}
		t.note(func(s *TargetStats) { s.Shed++ })
		w.Header().Set("Trefoil-Shed", "1")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "all slots are occupied", http.StatusServiceUnavailable)
		return
	}
	defer t.vacate()
	fail, d := t.begins(r)
	if strings.HasPrefix(r.URL.Path, "/poison") {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	if fail {
		t.note(func(s *TargetStats) { s.Failed++ })
		http.Error(w, "failure on purpose", http.StatusInternalServerError)
		return
	}
	if err := pause(ctx, d); err != nil {
		t.giveUp(ctx, w)
		return
	}
	a := t.answer(r, n)
	if err := t.callNext(ctx, r, &a); err != nil {
		t.giveUp(ctx, w)
		return
	}
	t.note(func(s *TargetStats) { s.Done++ })
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Trefoil-Target", t.Name())
	if a.Failed != 0 {
		w.WriteHeader(http.StatusBadGateway)
	}
	// A write error is a connection the caller closed.
	_ = json.NewEncoder(w).Encode(a)
}

// begins records a run and returns whether it fails at once and how long it
// takes.
func (t *Target) begins(r *http.Request) (fail bool, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Runs++
	if t.faults.draining {
		t.stats.RunsWhileDraining++
	}
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		t.keys[k]++
	}
	if id := r.Header.Get("Trefoil-Request"); id != "" {
		t.requests[id]++
	}
	if t.faults.failNext > 0 {
		t.faults.failNext--
		return true, 0
	}
	if t.rng.Float64() < t.faults.failShare {
		return true, 0
	}
	scale := t.faults.slowdown
	if time.Now().Before(t.coldEnds) {
		scale *= t.opts.ColdFactor
	}
	return false, time.Duration(float64(t.opts.ServiceTime.Sample(t.rng)) * scale)
}

// giveUp ends a request whose caller has gone, whose deadline has passed or
// whose target has crashed.
func (t *Target) giveUp(ctx context.Context, w http.ResponseWriter) {
	switch {
	case errors.Is(context.Cause(ctx), errCrashed):
		panic(http.ErrAbortHandler)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		t.note(func(s *TargetStats) { s.Expired++ })
		http.Error(w, "deadline exceeded", http.StatusGatewayTimeout)
	default:
		t.note(func(s *TargetStats) { s.Canceled++ })
	}
}

func (t *Target) answer(r *http.Request, n int64) Answer {
	t.mu.Lock()
	filler := strings.Repeat("x", t.opts.BodySize)
	t.mu.Unlock()
	return Answer{
		Request: r.Header.Get("Trefoil-Request"), Key: r.Header.Get("Idempotency-Key"),
		Service: t.opts.Service, Target: t.Name(), Method: r.Method, Path: r.URL.RequestURI(),
		BodyLength: n, Chain: []Step{{Service: t.opts.Service, Target: t.Name()}}, Filler: filler,
	}
}

// health answers a health probe.
func (t *Target) health(ctx context.Context, w http.ResponseWriter) {
	t.mu.Lock()
	t.stats.HealthProbes++
	t.probes = append(t.probes, time.Now())
	status, text := http.StatusOK, "up"
	if t.faults.draining && time.Since(t.faults.drainedAt) >= t.faults.healthLag {
		status, text = http.StatusServiceUnavailable, "draining"
	}
	if t.faults.healthLie != 0 {
		status, text = t.faults.healthLie, http.StatusText(t.faults.healthLie)
	}
	t.mu.Unlock()
	if err := pause(ctx, t.opts.ProbeTime); err == nil {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text+"\n")
	}
}

// load answers a load query.
func (t *Target) load(ctx context.Context, w http.ResponseWriter) {
	t.mu.Lock()
	t.stats.LoadProbes++
	t.probes = append(t.probes, time.Now())
	l := t.log.value(time.Now().Add(-t.faults.loadLag))
	l.Slots = t.opts.Slots
	if t.faults.loadLie != nil {
		l = *t.faults.loadLie
	}
	t.mu.Unlock()
	if err := pause(ctx, t.opts.ProbeTime); err == nil {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(l)
	}
}

func (t *Target) note(change func(*TargetStats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.stats)
}

// parseTimeout reads the time left for a call: a Go duration, or a number of
// milliseconds.
func parseTimeout(s string) (time.Duration, bool, error) {
	if s == "" {
		return 0, false, nil
	}
	if ms, err := strconv.ParseInt(s, 10, 64); err == nil {
		return time.Duration(ms) * time.Millisecond, true, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, false, errors.Newf("Trefoil-Timeout %q is neither a duration nor a number of milliseconds", s)
	}
	return d, true, nil
}

package stand_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"trefoilthread/io/stand"
)

// TestMain guards against announcements and requests that go on after Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// until waits for a condition of the target, bounded by the test's time limit.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for !ok() {
		if t.Context().Err() != nil {
			t.Fatal("never: " + what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a target that runs more requests than it has slots, that
// counts a shed request as run, or that goes on for a caller that has gone.
func TestTargetSlots(t *testing.T) {
	is := is.New(t)
	hour := stand.ServiceTime{Mean: time.Hour}
	tg := startTarget(t, stand.TargetOptions{Slots: 2, Shed: true, ServiceTime: hour})
	url := "http://" + tg.Addr() + "/"
	ctx, cancel := context.WithCancel(t.Context())
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if resp, err := (&http.Client{Transport: tr}).Do(req); err == nil {
				_ = resp.Body.Close()
				t.Error("a canceled request was answered")
			}
		})
	}
	until(t, "two in flight", func() bool { return tg.Stats().InFlight == 2 })
	status, _ := get(t, url, "Idempotency-Key", "k")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(tg.Runs("k"), 0)
	cancel()
	wg.Wait()
	until(t, "slots free", func() bool { s := tg.Stats(); return s.InFlight == 0 && s.Canceled == 2 })
	status, _ = get(t, url, "Trefoil-Timeout", "10ms")
	is.Equal(status, http.StatusGatewayTimeout)
	tg.SetServiceTime(stand.ServiceTime{})
	tg.FailNext(1)
	status, _ = get(t, url, "Idempotency-Key", "k")
	is.Equal(status, http.StatusInternalServerError)
	is.Equal(tg.Runs("k"), 1) // its caller cannot know what it did
	s := tg.Stats()
	is.Equal([]int{s.Shed, s.Expired, s.Failed, s.MaxInFlight}, []int{1, 1, 1, 2})
}

// Guards against silent connections that disturb new ones, which would turn
// the fault of a connection into one of the target.
func TestTargetSwallowsOneConnection(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, stand.TargetOptions{})
	url := "http://" + tg.Addr() + "/"
	old := &http.Client{Transport: &http.Transport{}}
	defer old.CloseIdleConnections()
	resp, err := old.Get(url)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(tg.SwallowOpen(), 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	is.NoErr(err)
	_, err = old.Do(req)
	is.True(err != nil)
	status, _ := get(t, url)
	is.Equal(status, http.StatusOK)
	is.Equal(tg.Stats().Requests, 2) // the swallowed one never arrived
}

// Guards against load and health answers that are always true, on which the
// daemon must not rely.
func TestTargetProbesLie(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, stand.TargetOptions{Slots: 3, ServiceTime: stand.ServiceTime{Mean: time.Hour}})
	base := "http://" + tg.Addr()
	tr := &http.Transport{}
	load := func() (l stand.Load) {
		resp, err := (&http.Client{Transport: tr}).Get(base + "/load")
		is.NoErr(err)
		is.NoErr(json.NewDecoder(resp.Body).Decode(&l))
		is.NoErr(resp.Body.Close())
		return l
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, base, nil)
		_, _ = tr.RoundTrip(req)
	})
	until(t, "one in flight", func() bool { return tg.Stats().InFlight == 1 })
	is.Equal(load(), stand.Load{InFlight: 1, Slots: 3})
	tg.SetLoadLie(&stand.Load{InFlight: 9, Slots: 3})
	is.Equal(load().InFlight, 9)
	tg.SetLoadLie(nil)
	tg.SetLoadLag(time.Hour)
	is.Equal(load().InFlight, 0) // before the request
	tg.SetHealthLie(http.StatusTeapot)
	status, _ := get(t, base+"/health")
	is.Equal(status, http.StatusTeapot)
	tg.SetHealthLie(0)
	tg.SetHealthLag(time.Hour)
	tg.Drain()
	status, _ = get(t, base+"/health")
	is.Equal(status, http.StatusOK)
	tg.SetHealthLag(0)
	status, _ = get(t, base+"/health")
	is.Equal(status, http.StatusServiceUnavailable)
	cancel()
	wg.Wait()
	tr.CloseIdleConnections()
	is.Equal(tg.Stats().LoadProbes, 3)
}

// Guards against chains that lose a hop or give two hops one identity, and
// against a drain that the daemon does not hear of. The test's server is the
// daemon beside the target: it takes announcements and forwards calls.
func TestTargetChainAndAnnouncements(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var states []string
	failures := 1
	var tg *stand.Target
	ready := make(chan struct{})
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/announce" {
			mu.Lock()
			defer mu.Unlock()
			if failures > 0 {
				failures--
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			var a stand.Announcement
			if err := json.NewDecoder(r.Body).Decode(&a); err != nil || a.Service != "rota" || a.Slots != 12 {
				t.Errorf("announcement %+v: %v", a, err)
			}
			states = append(states, a.State)
			return
		}
		<-ready
		r.URL.Path = strings.TrimPrefix(r.URL.Path, "/s/rota")
		r.RequestURI, r.URL.Scheme, r.URL.Host = "", "http", tg.Addr()
		resp, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		var a stand.Answer
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			t.Error(err)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a)
	}))
	defer http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	defer daemon.Close()
	addr := strings.TrimPrefix(daemon.URL, "http://")
	tg = startTarget(t, stand.TargetOptions{Service: "rota", DaemonAdmin: addr, DaemonEntry: addr})
	close(ready)
	rest := strings.TrimSuffix(strings.Repeat("rota,", 9), ",")
	status, a := get(t, "http://"+tg.Addr()+"/visits", stand.ChainHeader, rest, "Trefoil-Request", "r", "Idempotency-Key", "k")
	is.Equal(status, http.StatusOK)
	is.Equal(len(a.Chain), 10)
	is.Equal(tg.Runs("r"), 1)
	is.Equal(len(tg.Duplicates()), 0)
	has := func(state string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(states) > 0 && states[len(states)-1] == state
		}
	}
	until(t, "up announced after a failure", has("up"))
	tg.Drain()
	until(t, "draining announced", has("draining"))
	status, _ = get(t, "http://"+tg.Addr()+"/visits")
	is.Equal(status, http.StatusOK)
	is.Equal(tg.Stats().RunsWhileDraining, 1)
	tg.Close()
}

// Guards against slow, stalled and full targets that answer like others.
func TestTargetSlowStalledFull(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, stand.TargetOptions{
		Connections: 2, ServiceTime: stand.ServiceTime{Mean: time.Microsecond}, ColdStart: time.Hour, ColdFactor: 1e9,
	})
	url := "http://" + tg.Addr() + "/"
	status, _ := get(t, url, "Trefoil-Timeout", "5") // milliseconds
	is.Equal(status, http.StatusGatewayTimeout)      // cold
	warm := startTarget(t, stand.TargetOptions{ServiceTime: stand.ServiceTime{Mean: time.Microsecond}})
	warm.SetSlowdown(1e9)
	status, _ = get(t, "http://"+warm.Addr()+"/", "Trefoil-Timeout", "5ms")
	is.Equal(status, http.StatusGatewayTimeout)
	warm.SetSlowdown(1)

	warm.SetStalled(true)
	var wg sync.WaitGroup
	wg.Go(func() {
		if status, _ := get(t, "http://"+warm.Addr()+"/"); status != 0 {
			t.Errorf("stalled target answered %d", status)
		}
	})
	until(t, "a stalled request", func() bool { return warm.Stats().Stalled == 1 })
	warm.SetStalled(false)
	status, _ = get(t, "http://"+warm.Addr()+"/")
	is.Equal(status, http.StatusOK)
	warm.Crash() // ends the stalled request
	wg.Wait()

	for range 2 {
		c, err := net.Dial("tcp", tg.Addr())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
	}
	until(t, "two connections", func() bool { return tg.Stats().OpenConnections == 2 })
	status, _ = get(t, url)
	is.Equal(status, 0)
	is.Equal(tg.Stats().RefusedConnections, 1)
}

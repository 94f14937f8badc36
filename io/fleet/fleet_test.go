package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/io/deploy"
	"trefoilthread/io/entry"
	"trefoilthread/io/fleet"
	"trefoilthread/io/load"
	"trefoilthread/io/stand"
)

// start starts a deployment and waits until all daemons know all targets.
func start(t *testing.T, o fleet.Options) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return f
}

type reply struct {
	status  int
	outcome string
	body    string
}

// post sends a keyed request to an entry and returns the reply.
func post(t *testing.T, entryAddr, path, key string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+entryAddr+path, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(entry.HeaderKey, key)
	return do(t, req)
}

// do sends a request and returns the whole reply.
func do(t *testing.T, req *http.Request) reply {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{resp.StatusCode, resp.Header.Get(entry.HeaderOutcome), string(b)}
}

// Guards against a second run of a key that is sent to several daemons at the
// same time and again later.
func TestKeyRunsOnceThroughAnyDaemon(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Deployment: deploy.Small(4, 20*time.Millisecond)})
	var wg sync.WaitGroup
	replies := make([]reply, 8)
	for i := range replies {
		wg.Go(func() {
			replies[i] = post(t, f.Nodes()[i%4].Daemon().CallerAddr(), "/s/echo/write", "one")
		})
	}
	wg.Wait()
	again := post(t, f.Nodes()[0].Daemon().CallerAddr(), "/s/echo/write", "one")
	is.Equal(f.Runs("one"), 1)
	is.Equal(again.status, http.StatusOK)
	for _, r := range replies {
		is.Equal(r, again) // each request with the key gets the first response
	}
}

// Guards against a key that is used for two different requests getting the
// response of the other one.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Deployment: deploy.Small(2, time.Millisecond)})
	addr := f.Nodes()[0].Daemon().CallerAddr()
	is.Equal(post(t, addr, "/s/echo/write/a", "k").status, http.StatusOK)
	r := post(t, addr, "/s/echo/write/b", "k")
	is.Equal(r.outcome, types.BadRequest.String())
	is.Equal(f.Runs("k"), 1)
}

// Guards against errors towards callers, lost requests and second runs while
// every daemon and target is replaced in turn under load.
func TestRollingRestartIsInvisible(t *testing.T) {
	is := is.New(t)
	dep := deploy.Small(4, 5*time.Millisecond)
	f := start(t, fleet.Options{Deployment: dep, LeaseTime: 2 * time.Second})
	g, err := load.NewGenerator(load.GeneratorOptions{Entries: f.Entries, Mix: load.MixOf(dep), Rate: 150, Seed: 7})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	running, stop := context.WithCancel(ctx)
	done := make(chan *load.Result)
	go func() { done <- g.Run(running, time.Minute) }()
	for i := range f.Nodes() {
		is.NoErr(f.Replace(ctx, i))
	}
	stop()
	res := <-done
	for _, s := range res.Series() {
		if n := s.Count() - s.Outcome(types.Done) - s.Outcome(types.Canceled); n > s.Aborted() {
			t.Errorf("%s: %d of %d calls failed: %s", s.Kind().Name(), n, s.Count(), s.Describe())
		}
		is.Equal(s.Errors(), 0)
		sent, refused := s.Keys()
		for _, k := range sent {
			is.True(f.Runs(k) <= 1) // a key ran twice
		}
		for _, k := range refused {
			is.Equal(f.Runs(k), 0) // refused as not run, but ran
		}
	}
}

// Guards against a store outage stopping calls without a key, and against
// keyed calls running without a durable claim.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Deployment: deploy.Small(2, time.Millisecond)})
	addr := f.Nodes()[0].Daemon().CallerAddr()
	is.Equal(post(t, addr, "/s/echo/write", "before").status, http.StatusOK)
	f.Store().SetDown(true)
	resp, err := http.Get("http://" + addr + "/s/echo/read")
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	r := post(t, addr, "/s/echo/write", "during")
	is.Equal(r.outcome, types.NotRun.String())
	is.Equal(f.Runs("during"), 0)
	r = post(t, addr, "/s/echo/write", "before")
	is.Equal(r.status, http.StatusOK) // the retained response needs no store
	f.Store().SetDown(false)
	for i := 0; ; i++ {
		r = post(t, addr, "/s/echo/write", "during")
		if r.outcome != types.NotRun.String() || i == 20 {
			break
		}
	}
	is.Equal(r.status, http.StatusOK)
	is.Equal(f.Runs("during"), 1)
	is.Equal(f.Runs("before"), 1)
}

// Guards against a request that crashes each target it runs on being run on a
// third one, through whichever daemon its caller sends it, and against the
// requests in flight with it being condemned.
func TestPoisonRequestKillsTwoTargetsAtMost(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Deployment: deploy.Small(4, 30*time.Millisecond), RestartAfter: 300 * time.Millisecond})
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			resp, err := http.Get("http://" + f.Nodes()[i%4].Daemon().CallerAddr() + "/s/echo/read")
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	last := reply{}
	for i := range 12 {
		last = post(t, f.Nodes()[i%4].Daemon().CallerAddr(), "/s/echo/poison", fmt.Sprintf("attempt-%d", i))
	}
	wg.Wait()
	crashes := 0
	for _, n := range f.Nodes() {
		crashes += n.Target().Stats().Crashes
	}
	is.True(crashes <= 2) // targets lost to one request
	is.Equal(last.outcome, types.Quarantined.String())
	for i := range 4 {
		var r reply
		for range 100 {
			r = get(t, f.Nodes()[i].Daemon().CallerAddr(), "/s/echo/read")
			if r.status == http.StatusOK {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(r.status, http.StatusOK) // the innocent request runs again
	}
}

// get sends a request without key to an entry and returns the reply.
func get(t *testing.T, entryAddr, path string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+entryAddr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	return do(t, req)
}

// Guards against a call of nine hops being stopped or losing a hop.
func TestNineHops(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Deployment: deploy.Small(3, time.Millisecond)})
	call := func(hops int) (int, stand.Answer) {
		req, err := http.NewRequest(http.MethodGet, "http://"+f.Nodes()[0].Daemon().CallerAddr()+"/s/echo/read", nil)
		is.NoErr(err)
		req.Header.Set(stand.ChainHeader, strings.TrimSuffix(strings.Repeat("echo,", hops), ","))
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		var a stand.Answer
		is.NoErr(json.NewDecoder(resp.Body).Decode(&a))
		return resp.StatusCode, a
	}
	status, a := call(9)
	is.Equal(status, http.StatusOK)
	is.Equal(len(a.Chain), 10) // the first target and nine hops
	status, a = call(0)
	is.Equal(status, http.StatusOK)
	is.Equal(len(a.Chain), 1)
}

package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/types"
	"trefoilthread/io/entry"
	"trefoilthread/io/logs"
	"trefoilthread/io/wire"
)

type do func(ctx context.Context, head *wire.CallHead, body *entry.Body) (*wire.Answer, error)

// serve starts a server of one service "bookings" with bodies up to 1 KB.
func serve(t *testing.T, ready bool, f do) *httptest.Server {
	t.Helper()
	s := entry.NewServer(entry.ServerOptions{
		Classify: func(name types.ServiceName, _, path string) (entry.Rule, bool) {
			urgent := strings.HasPrefix(path, "/menu")
			return entry.Rule{
				Class: types.NewClass(urgent, types.Idempotent), Deadline: time.Second, MaxBody: 1 << 10,
			}, name == "bookings"
		},
		Ready: func() bool { return ready },
		Do:    f, Scope: tally.NoopScope, Log: logs.Discard(),
	})
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = s.HTTPServer()
	srv.Start()
	t.Cleanup(srv.Close)
	return srv
}

func answer(head *wire.CallHead, body io.Reader, length int64) *wire.Answer {
	h := http.Header{"X-Path": {head.Path}, "X-Service": {head.Service}}
	return &wire.Answer{Head: wire.AnswerHead{Status: 200, Header: h, Length: length}, Body: io.NopCloser(body)}
}

// Guards against bad input that is answered with anything but a clear error,
// that reaches a target, or that harms the next request.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	calls := 0
	srv := serve(t, true, func(_ context.Context, head *wire.CallHead, _ *entry.Body) (*wire.Answer, error) {
		calls++
		return answer(head, strings.NewReader("ok"), 2), nil
	})
	for name, c := range map[string]struct {
		path    string
		body    string
		header  map[string]string
		outcome types.Outcome
		status  int
	}{
		"unknown service":   {"/s/nobody/x", "", nil, types.NoSuchService, 404},
		"no service":        {"/x", "", nil, types.NoSuchService, 404},
		"large body":        {"/s/bookings/x", strings.Repeat("x", 2000), nil, types.BadRequest, 400},
		"bad timeout":       {"/s/bookings/x", "", map[string]string{entry.HeaderTimeout: "soon"}, types.BadRequest, 400},
		"negative timeout":  {"/s/bookings/x", "", map[string]string{entry.HeaderTimeout: "-1s"}, types.BadRequest, 400},
		"call loop":         {"/s/bookings/x", "", map[string]string{entry.HeaderDepth: "10"}, types.BadRequest, 400},
		"bad depth":         {"/s/bookings/x", "", map[string]string{entry.HeaderDepth: "two"}, types.BadRequest, 400},
		"long key":          {"/s/bookings/x", "", map[string]string{entry.HeaderKey: strings.Repeat("k", 300)}, types.BadRequest, 400},
		"method not for us": {"/s/bookings/x", "", nil, types.Done, 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := calls
			req, err := http.NewRequest(http.MethodPost, srv.URL+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			for k, v := range c.header {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get(entry.HeaderOutcome), c.outcome.String())
			if c.outcome == types.Done {
				return
			}
			is.Equal(calls, before)
			var b struct{ Outcome, Reason string }
			is.NoErr(json.NewDecoder(resp.Body).Decode(&b))
			is.Equal(b.Outcome, c.outcome.String())
			is.True(b.Reason != "")
		})
	}
	t.Run("large header", func(t *testing.T) {
		is := is.New(t)
		req, err := http.NewRequest(http.MethodGet, srv.URL+"/s/bookings/x", nil)
		is.NoErr(err)
		req.Header.Set("X-Large", strings.Repeat("h", 100<<10))
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	})
}

// Guards against a daemon without configuration saying that a service does not
// exist.
func TestNoConfigurationIsNotRun(t *testing.T) {
	is := is.New(t)
	srv := serve(t, false, nil)
	resp, err := http.Get(srv.URL + "/s/bookings/menu")
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.Header.Get(entry.HeaderOutcome), types.NotRun.String())
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken") }

// Guards against an answer that breaks off being taken for a whole one, with
// and without a known length, over HTTP/1.1 and HTTP/2.
func TestBrokenAnswerIsNotWhole(t *testing.T) {
	for _, length := range []int64{-1, 8} {
		srv := serve(t, true, func(_ context.Context, head *wire.CallHead, _ *entry.Body) (*wire.Answer, error) {
			return answer(head, io.MultiReader(strings.NewReader("half"), brokenReader{}), length), nil
		})
		for _, http2 := range []bool{false, true} {
			is := is.New(t)
			p := &http.Protocols{}
			p.SetHTTP1(!http2)
			p.SetUnencryptedHTTP2(http2)
			client := &http.Client{Transport: &http.Transport{Protocols: p}}
			resp, err := client.Get(srv.URL + "/s/bookings/menu")
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			is.True(err != nil)
		}
	}
}

// Guards against the service prefix reaching the target, and against query,
// header or a streamed body being lost on the way.
func TestRequestIsPassedOnWhole(t *testing.T) {
	is := is.New(t)
	var got []byte
	var seen wire.CallHead
	srv := serve(t, true, func(_ context.Context, head *wire.CallHead, body *entry.Body) (*wire.Answer, error) {
		seen = *head
		got, _ = io.ReadAll(body.Reader())
		return answer(head, strings.NewReader("ok"), 2), nil
	})
	want := bytes.Repeat([]byte("y"), 900)
	req, err := http.NewRequest(http.MethodPost, srv.URL+"/s/bookings/a%2Fb?q=1", io.NopCloser(bytes.NewReader(want)))
	is.NoErr(err)
	req.Header.Set("X-Own", "v")
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "gone")
	req.Header.Set(entry.HeaderDepth, "3")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(seen.Path, "/a%2Fb?q=1")
	is.Equal(got, want)
	is.Equal(http.Header(seen.Header).Get("X-Own"), "v")
	is.Equal(http.Header(seen.Header).Get("X-Hop"), "")
	is.Equal(seen.Depth, 4)
}

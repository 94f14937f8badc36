package admin_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/core/stage"
	"trefoilthread/io/admin"
	"trefoilthread/io/opspb"
)

// Guards against calls without a known token, by unary and streaming calls,
// and against a service that cannot be called with curl and JSON.
func TestAuthentication(t *testing.T) {
	_, h := admin.NewHandler(newOptions(newFakeStore()))
	srv := httptest.NewServer(h)
	defer srv.Close()
	for _, c := range []struct {
		header, method, contentType string
		status                      int
	}{
		{"Bearer " + token, "Status", "application/json", http.StatusOK},
		{"bearer " + token, "Status", "application/json", http.StatusOK},
		{"", "Status", "application/json", http.StatusUnauthorized},
		{"Bearer ", "Status", "application/json", http.StatusUnauthorized},
		{"Bearer wrong", "Status", "application/json", http.StatusUnauthorized},
		{"Basic " + token, "Status", "application/json", http.StatusUnauthorized},
		{"Bearer wrong", "CreateService", "application/json", http.StatusUnauthorized},
	} {
		t.Run(c.method+" "+c.header, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/trefoilthread.ops.Ops/"+c.method, strings.NewReader("{}"))
			is.NoErr(err)
			req.Header.Set("Content-Type", c.contentType)
			req.Header.Set("Authorization", c.header)
			res, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer func() { is.NoErr(res.Body.Close()) }()
			body, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			is.True(json.Valid(body))
		})
	}
	is := is.New(t)
	stream, err := opspb.NewOpsClient(http.DefaultClient, srv.URL).WatchStatus(t.Context(), connect.NewRequest(&opspb.StatusRequest{}))
	is.NoErr(err)
	is.True(!stream.Receive())
	is.Equal(connect.CodeOf(stream.Err()), connect.CodeUnauthenticated)
	is.NoErr(stream.Close())
}

// Guards against "accepted" before a version is in force, and against a call
// that waits forever for an isolated data centre.
func TestChangeWaitsForDataCentres(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var inForce atomic.Int64
	changed := make(chan struct{})
	opt := newOptions(newFakeStore())
	opt.Clock = clock
	opt.Status = func() []stage.DataCentreStatus { return status(inForce.Load()) }
	opt.StatusChanged = func() <-chan struct{} { return changed }
	client := newClient(opt)
	call := func(name string) chan *opspb.ChangeResponse {
		out := make(chan *opspb.ChangeResponse, 1)
		go func() {
			res, err := client.CreateService(t.Context(), connect.NewRequest(&opspb.ChangeRequest{Service: newService(name, 1), RequestId: name}))
			if err != nil {
				t.Error(err)
				res = connect.NewResponse(&opspb.ChangeResponse{})
			}
			out <- res.Msg
		}()
		return out
	}
	first := call("bookings")
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(admin.AcceptTimeout - time.Millisecond)
	is.Equal(len(first), 0)
	clock.Advance(time.Millisecond)
	res := <-first
	is.Equal(res.GetState(), "committed")
	is.Equal(res.GetNotInForce(), []string{"kl-sentral"})

	second := call("stockroom")
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	inForce.Store(2)
	close(changed)
	res = <-second
	is.Equal(res.GetState(), "accepted")
	is.Equal(res.GetVersion(), int64(2))
}

// Guards against refused changes that leave no trace or the wrong code, and
// against secrets in the log.
func TestRefusedChanges(t *testing.T) {
	is := is.New(t)
	lines := memory.New()
	opt := newOptions(newFakeStore())
	opt.Log = &log.Logger{Handler: lines}
	client := newClient(opt)
	is.Equal(create(t, client, newService("bookings", 1), "r1").GetState(), "accepted")
	is.Equal(create(t, client, newService("bookings", 1), "r1").GetVersion(), int64(1)) // repeated
	bad := newService("bookings", 0)
	bad.ProbeBudgetMs, bad.Rules[0].Runs, bad.Rules[0].DeadlineMs = 1e300, "twice", 1<<60
	for _, c := range []struct {
		svc  *opspb.Service
		base int64
		id   string
		code connect.Code
	}{
		{bad, 1, "r2", connect.CodeInvalidArgument},
		{newService("bookings", 2), 7, "r3", connect.CodeAborted},
		{newService("menus", 2), 1, "r4", connect.CodeNotFound},
		{newService("bookings", 2), 1, "r1", connect.CodeAlreadyExists},
	} {
		_, err := client.UpdateService(t.Context(), connect.NewRequest(&opspb.ChangeRequest{Service: c.svc, BaseVersion: c.base, RequestId: c.id}))
		is.Equal(connect.CodeOf(err), c.code)
		if c.code == connect.CodeInvalidArgument {
			for _, field := range []string{"slots: \"0\"", "probeBudget: \"1e+300 ms\"", "rules[0].runs: \"twice\"", "rules[0].deadline: \"1152921504606846976 ms\""} {
				is.True(strings.Contains(err.Error(), field)) // all errors at once
			}
		}
	}
	history, err := client.History(t.Context(), connect.NewRequest(&opspb.HistoryRequest{Limit: 5}))
	is.NoErr(err)
	is.Equal(len(history.Msg.GetEntries()), 5)
	refused := 0
	for _, e := range history.Msg.GetEntries() {
		if e.GetRefused() != "" {
			refused++
			is.Equal(e.GetOperator(), "aisyah")
		}
	}
	is.Equal(refused, 4)
	is.Equal(len(lines.Entries), 6)
	for _, e := range lines.Entries {
		is.True(!strings.Contains(fmt.Sprint(e.Message, e.Fields), token))
	}
}

// Guards against a dry run, a repetition or an unchanged service that is
// written, and against a service that differs when it is read back.
func TestChangesWithoutEffect(t *testing.T) {
	is := is.New(t)
	f := newFakeStore()
	client := newClient(newOptions(f))
	create(t, client, newService("bookings", 1), "r1")
	got, err := client.GetService(t.Context(), connect.NewRequest(&opspb.GetServiceRequest{Name: "bookings"}))
	is.NoErr(err)
	req := &opspb.ChangeRequest{Service: got.Msg.GetService(), BaseVersion: 1, RequestId: "r2"}
	res, err := client.UpdateService(t.Context(), connect.NewRequest(req))
	is.NoErr(err)
	is.Equal(res.Msg.GetState(), "unchanged")
	req.Service.Slots, req.DryRun = 5, true
	res, err = client.UpdateService(t.Context(), connect.NewRequest(req))
	is.NoErr(err)
	is.Equal(res.Msg.GetState(), "valid")
	is.Equal(res.Msg.GetDiff(), []string{"slots: 1 -> 5"})
	diff, err := client.DiffService(t.Context(), connect.NewRequest(req))
	is.NoErr(err)
	is.Equal(diff.Msg.GetDiff(), res.Msg.GetDiff())
	is.Equal(len(f.written), 1)
	list, err := client.ListServices(t.Context(), connect.NewRequest(&opspb.ListServicesRequest{}))
	is.NoErr(err)
	is.Equal(list.Msg.GetVersion(), int64(1))
	is.Equal(list.Msg.GetServices()[0].GetSlots(), int32(1))
}

// Guards against a handler that passes a malformed fingerprint or hides an
// unknown target.
func TestTargetsAndQuarantine(t *testing.T) {
	is := is.New(t)
	client := newClient(newOptions(newFakeStore()))
	_, err := client.DrainTarget(t.Context(), connect.NewRequest(&opspb.DrainTargetRequest{Target: "vm-1", Drain: true}))
	is.Equal(connect.CodeOf(err), connect.CodeNotFound)
	_, err = client.LiftQuarantine(t.Context(), connect.NewRequest(&opspb.LiftQuarantineRequest{Fingerprint: "xyz"}))
	is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
	res, err := client.LiftQuarantine(t.Context(), connect.NewRequest(&opspb.LiftQuarantineRequest{Fingerprint: "beef"}))
	is.NoErr(err)
	is.True(res.Msg.GetLifted())
}

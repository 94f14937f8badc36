package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"trefoilthread/io/opspb"
)

// losing takes a change, and breaks the connection instead of the first answer.
type losing struct {
	opspb.UnimplementedOpsHandler
	mu  sync.Mutex
	ids []string
}

func (l *losing) DiffService(context.Context, *connect.Request[opspb.ChangeRequest]) (*connect.Response[opspb.DiffResponse], error) {
	return connect.NewResponse(&opspb.DiffResponse{Diff: []string{"worth: 2 -> 3"}}), nil
}

func (l *losing) UpdateService(_ context.Context, req *connect.Request[opspb.ChangeRequest]) (*connect.Response[opspb.ChangeResponse], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, req.Msg.GetRequestId())
	if len(l.ids) == 1 {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&opspb.ChangeResponse{State: "committed", Version: 3, NotInForce: []string{"kl-sentral"}}), nil
}

const service = "[service \"bookings\"]\nversion = 2\ndataCentres = kl-sentral\nslots = 12\nconnections = 250\n"

func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against a change whose lost answer leads to a second change, and
// against a change that is reported as done while a data centre lacks it.
func TestLostAnswerIsAskedForWithTheSameID(t *testing.T) {
	is := is.New(t)
	l := &losing{}
	_, h := opspb.NewOpsHandler(l)
	srv := httptest.NewServer(h)
	defer srv.Close()
	args := []string{"config", "apply", "--address", srv.URL, "--token-file", write(t, "token", "x\n"), write(t, "s.ini", service)}
	is.Equal(run(args), 1) // not in force in kl-sentral
	is.Equal(len(l.ids), 2)
	is.Equal(l.ids[0], l.ids[1])
	is.Equal(len(l.ids[0]), 36)
	is.Equal(run(args), 1)
	is.Equal(len(l.ids), 3)
	is.True(l.ids[2] != l.ids[0]) // another command is another change
}

// Guards against a token that crosses the network as it is.
func TestTokenStaysOnThisHostWithoutTLS(t *testing.T) {
	is := is.New(t)
	for address, ok := range map[string]bool{
		"127.0.0.1:7082": true, "localhost:7082": true, "[::1]:7082": true, "https://192.0.2.1:7082/": true,
		"192.0.2.1:7082": false, "http://192.0.2.1:7082": false, "127.0.0.1.example:7082": false, "ftp://127.0.0.1": false,
		"": false,
	} {
		_, err := baseURL(address)
		is.Equal(err == nil, ok) // address
	}
}

// Guards against a settings page that lacks a key.
func TestSettingsPageIsGenerated(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	is.Equal(string(page), reference()) // update: trefoilthread check --print-reference > docs/settings.md
}

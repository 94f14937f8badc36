package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
	"trefoilthread/platform"
	"trefoilthread/platform/fake"
)

const explainedDoc = `{"version":"r7","services":[{"name":"bookings","healthPath":"/health","connectionLimit":100},{"name":"ledger","healthPath":"/health","connectionLimit":100}],
	"tenants":[{"name":"north","apiKeys":["k-north"],"priority":1,"requestsPerS":50,"burst":20}],
	"limits":{"headerBytes":16384,"bodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"hosts":[{"host":"a.example","paths":[
	{"name":"look","pathPrefix":"/look/","kind":"safe","timeoutMs":5000,"targetLatencyMs":3000,"priority":2,"service":"bookings","attempts":2},
	{"name":"pay","public":true,"pathPrefix":"/pay/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":3000,"priority":0,"attempts":2,
	 "trafficSplit":[{"service":"bookings","weight":90},{"service":"ledger","weight":10}]}]}]}`

// startDaemon starts a daemon with a target in the test's process, on sockets that are open
// already, and returns its metrics address. The store holds doc, if any.
func startDaemon(t *testing.T, doc string) string {
	t.Helper()
	st := fake.NewStore(fake.Options{})
	if doc != "" {
		st.Put("op/config", []byte(doc))
	}
	srv := httptest.NewServer(st)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	sockets := make(map[string]net.Listener)
	open := func() string {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		sockets[ln.Addr().String()] = ln
		return ln.Addr().String()
	}
	set := agent.Settings{
		Node: "kl-1", DataCentre: "kl", Service: "bookings", TargetAddr: "127.0.0.1:9", Regions: map[types.DataCentre]string{"kl": "my"},
		Callers: open(), Ready: open(), Control: open(), Mesh: open(), Metrics: open(),
		StopTime: time.Second, RetryShare: 0.2, RetryExtra: 64, RetryWindow: 10 * time.Second, BodyMemory: 32 << 20,
	}
	a := agent.New(agent.Options{
		Settings: set, Wire: platform.Wire(), Log: logs.Discard(), Clock: clockwork.NewRealClock(), Scope: tally.NoopScope,
		Store: platform.NewStore(strings.TrimPrefix(srv.URL, "http://")), ReadyHandler: platform.ReadyHandler,
		ControlHandler: platform.ControlHandler, Listen: func(addr string) (net.Listener, error) { return sockets[addr], nil },
	})
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Stop)
	if doc != "" {
		announce(t, set)
	}
	return set.Metrics
}

// announce announces the target until the daemon would serve a request with a key: it knows
// its target then, and the owner of the customer's quota.
func announce(t *testing.T, set agent.Settings) {
	t.Helper()
	heartbeat := fake.Heartbeat{ID: "i-1", Address: set.TargetAddr, Service: "bookings", Zone: "kl", State: "ready", Born: 1, Sequence: 1, Slots: 4}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, err := heartbeat.Send(set.Control); err != nil {
			t.Fatal(err)
		}
		x := post(t, "http://"+set.Metrics+agent.ExplainPath, `{"host":"a.example","path":"/look/","customer":"north"}`)
		if strings.Contains(x, `"target":"i-1"`) && !strings.Contains(x, "refusal") {
			return
		}
	}
	t.Fatal("daemon would serve no request")
}

// post returns the body of the response.
func post(t *testing.T, url, body string) string {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// explainEnv starts the daemons that the sessions ask, and returns their addresses.
func explainEnv(t *testing.T) func(env *testscript.Env) {
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "metrics 1")
	}))
	t.Cleanup(old.Close)
	addrs := map[string]string{"AT": startDaemon(t, explainedDoc), "EMPTY": startDaemon(t, ""), "OLD": strings.TrimPrefix(old.URL, "http://")}
	return func(env *testscript.Env) {
		for name, addr := range addrs {
			env.Setenv(name, addr)
		}
	}
}

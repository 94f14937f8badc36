package admin_test

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"trefoilthread/core/config"
	"trefoilthread/core/stage"
	"trefoilthread/core/types"
	"trefoilthread/io/admin"
	"trefoilthread/io/opspb"
	"trefoilthread/io/store"
)

const token = "s3cret-token"

// fault is what happens to one store call.
type fault int

const (
	none        fault = iota
	outage            // refused, nothing sent
	lostDone          // the write takes effect, the answer is lost
	lostNotDone       // the request is lost
	lostLater         // the write takes effect at a later call, if it still can
	unreachable       // the write takes effect, the connection is down
	numberOfFaults
)

// fakeStore keeps keys in memory.
type fakeStore struct {
	mu      sync.Mutex
	items   map[string]store.Item
	rev     int64
	later   []delayed
	written [][]byte
}

// delayed is a write that takes effect after some more calls.
type delayed struct {
	calls int64
	write func() bool
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]store.Item{}} }

// store returns a client of f. Turn decides on the fault of each call.
func (f *fakeStore) store(turn func() fault) store.Store {
	return store.Store{
		Get: func(_ context.Context, key string) (store.Item, error) { return f.get(turn(), key) },
		CompareAndSwap: func(_ context.Context, key string, rev int64, value []byte, _ store.LeaseID) (int64, error) {
			return f.swap(turn(), key, rev, value)
		},
	}
}

func (f *fakeStore) get(ft fault, key string) (store.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	if ft != none {
		return store.Item{}, store.ErrUnavailable
	}
	item, ok := f.items[key]
	if !ok {
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

func (f *fakeStore) swap(ft fault, key string, rev int64, value []byte) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	write := func() bool {
		if f.items[key].Revision != rev {
			return false
		}
		f.rev++
		f.items[key] = store.Item{Key: key, Value: value, Revision: f.rev}
		if key == config.DocumentKey {
			f.written = append(f.written, value)
		}
		return true
	}
	switch ft {
	case outage:
		return 0, store.ErrUnavailable
	case lostNotDone:
		return 0, store.ErrUnknown
	case lostLater:
		f.later = append(f.later, delayed{calls: 1 + f.rev%3, write: write})
		return 0, store.ErrUnknown
	}
	done := write()
	switch {
	case ft == lostDone:
		return 0, store.ErrUnknown
	case ft == unreachable:
		return 0, store.ErrUnavailable
	case !done:
		return 0, store.ErrConflict
	}
	return f.rev, nil
}

// documents returns all documents written so far.
func (f *fakeStore) documents(t *rapid.T) []config.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	var docs []config.Document
	for _, b := range f.written {
		doc, err := config.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		docs = append(docs, doc)
	}
	return docs
}

// settle lets the delayed writes take effect whose time has come.
func (f *fakeStore) settle() {
	var rest []delayed
	for _, d := range f.later {
		if d.calls--; d.calls > 0 {
			rest = append(rest, d)
		} else {
			d.write()
		}
	}
	f.later = rest
}

// inMemory calls a handler without a network.
type inMemory struct{ handler http.Handler }

func (c inMemory) Do(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	req.RemoteAddr = "127.0.0.1:9"
	req.Header.Set("Authorization", "Bearer "+token)
	c.handler.ServeHTTP(rec, req)
	return rec.Result(), nil
}

// newOptions returns options with one data centre that has every version in
// force.
func newOptions(f *fakeStore) admin.Options {
	return admin.Options{
		Store: f.store(func() fault { return none }), Clock: clockwork.NewFakeClock(), Log: &log.Logger{Handler: discard.New()},
		Document:      func() config.Document { return config.Document{} },
		Status:        func() []stage.DataCentreStatus { return status(1 << 40) },
		StatusChanged: func() <-chan struct{} { return nil },
		Targets:       func(types.ServiceName) []*opspb.TargetStatus { return nil },
		Drain: func(context.Context, types.TargetID, bool) (types.TargetState, error) {
			return types.Down, admin.ErrNoTarget
		},
		Quarantine: func() []*opspb.QuarantineEntry { return nil },
		Lift:       func(_ context.Context, f types.Fingerprint) (bool, error) { return f == 0xbeef, nil },
		TokenHash: func() map[string][sha256.Size]byte {
			return map[string][sha256.Size]byte{"aisyah": sha256.Sum256([]byte(token)), "omar": {}}
		},
	}
}

func status(inForce int64) []stage.DataCentreStatus {
	return []stage.DataCentreStatus{
		stage.NewDataCentreStatus(stage.DataCentreSpec{Name: "kl-sentral", InForce: inForce, Members: 9}),
	}
}

func newClient(opt admin.Options) opspb.OpsClient {
	_, h := admin.NewHandler(opt)
	return opspb.NewOpsClient(inMemory{handler: h}, "http://daemon.test")
}

func newService(name string, slots int32) *opspb.Service {
	return &opspb.Service{
		Name: name, DataCentres: []string{"kl-sentral"}, Slots: slots, Connections: 250, ProbeBudgetMs: 10,
		RetryShare: 0.1, MaxBodyBytes: 1 << 20, Rules: []*opspb.RouteRule{
			{Method: "GET", Path: "/menu*", Urgent: true, Runs: "idempotent", DeadlineMs: 80, Worth: 1},
		},
	}
}

func create(t *testing.T, c opspb.OpsClient, s *opspb.Service, id string) *opspb.ChangeResponse {
	t.Helper()
	res, err := c.CreateService(t.Context(), connect.NewRequest(&opspb.ChangeRequest{Service: s, RequestId: id}))
	if err != nil {
		t.Fatal(err)
	}
	return res.Msg
}

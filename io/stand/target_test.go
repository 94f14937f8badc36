package stand_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/stand"
)

// get sends a request with headers given as pairs, and returns the status and
// the answer, or status 0 if there was none.
func get(t *testing.T, url string, headers ...string) (int, stand.Answer) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, stand.Answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, stand.Answer{}
	}
	var a stand.Answer
	_ = json.Unmarshal(body, &a)
	return resp.StatusCode, a
}

func startTarget(t *testing.T, o stand.TargetOptions) *stand.Target {
	t.Helper()
	tg := stand.NewTarget(o)
	if err := tg.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tg.Close)
	return tg
}

// Guards against a stand-in that hides a duplicate run, or loses its records
// when a request crashes it.
func TestTargetCountsRunsOverCrash(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, stand.TargetOptions{Service: "bookings"})
	base := "http://" + tg.Addr()
	for range 2 {
		status, a := get(t, base+"/deposit", "Idempotency-Key", "k1", "Trefoil-Request", "r1")
		is.Equal(status, http.StatusOK)
		is.Equal(a.Request, "r1")
	}
	status, _ := get(t, base+"/poison/1", "Idempotency-Key", "k2")
	is.Equal(status, 0) // connection closed
	status, _ = get(t, base+"/")
	is.Equal(status, 0) // listener closed
	is.NoErr(tg.Restart())
	status, _ = get(t, base+"/")
	is.Equal(status, http.StatusOK)
	is.Equal(tg.Runs("k1"), 2)
	is.Equal(tg.Runs("r1"), 2)
	is.Equal(tg.Runs("k2"), 1)
	is.Equal(tg.Duplicates(), map[string]int{"k1": 2})
	is.Equal(tg.Stats().Crashes, 1)
}

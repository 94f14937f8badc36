package target_test

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"trefoilthread/io/target"
)

// Guards against an announcement that makes the handler panic, or that passes
// on values outside the allowed ones: a target without slots would divide the
// score by zero, and one without address would take calls that go nowhere.
func FuzzAnnouncement(f *testing.F) {
	good := `{"service":"rota","address":"127.0.0.1:80","slots":15,"connections":200,"coldStartMs":0,"state":"up"}`
	for _, s := range []string{
		good, good + "x", `{}`, `[]`, `null`, `{"slots":1e99}`, `{"slots":-1,"connections":-2}`,
		`{"service":"a","address":":","slots":1,"connections":1,"state":"draining","instance":"i"}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var taken []target.Announcement
		h := target.AnnounceHandler(func(a target.Announcement) error {
			taken = append(taken, a)
			return nil
		})
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/announce", bytes.NewReader(data)))
		switch {
		case len(taken) > 1:
			t.Fatalf("taken %d times", len(taken))
		case (w.Code == http.StatusNoContent) != (len(taken) == 1):
			t.Fatalf("status %d with %d announcements taken", w.Code, len(taken))
		case len(taken) == 0 && w.Code != http.StatusBadRequest:
			t.Fatalf("status %d for a refused announcement", w.Code)
		case len(taken) == 0:
			return
		}
		a := taken[0]
		_, _, err := net.SplitHostPort(a.Address)
		if a.Service == "" || err != nil || a.Slots < 1 || a.Connections < a.Slots || a.ColdStart() < 0 ||
			a.State != "up" && a.State != "draining" {
			t.Fatalf("taken %+v", a)
		}
	})
}

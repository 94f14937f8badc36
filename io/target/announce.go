package target

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxAnnouncement bounds the body of an announcement in bytes.
const maxAnnouncement = 4 << 10

// Announcement is what a target tells the daemon beside it, as the JSON body
// of POST /announce. It is repeated every second; the daemon takes a target
// that stops announcing and refuses connections for dead.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	ColdStartMS int    `json:"coldStartMs"`
	State       string `json:"state"`
	// Instance names one start of the target, so that a restart between two
	// announcements is noticed. It is optional.
	Instance string `json:"instance,omitempty"`
}

// ColdStart returns how long the target needs to reach its full speed.
func (a Announcement) ColdStart() time.Duration {
	return time.Duration(a.ColdStartMS) * time.Millisecond
}

// Validate returns what is wrong with a, naming field, value and what is
// allowed.
func (a Announcement) Validate() error {
	var errs []error
	if a.Service == "" {
		errs = append(errs, errors.New("service: empty, allowed a name"))
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		errs = append(errs, errors.Newf("address: %q, allowed IP:port", a.Address))
	}
	if a.Slots < 1 {
		errs = append(errs, errors.Newf("slots: %d, allowed 1 or more", a.Slots))
	}
	if a.Connections < a.Slots {
		errs = append(errs, errors.Newf("connections: %d, allowed %d (slots) or more", a.Connections, a.Slots))
	}
	if a.ColdStartMS < 0 {
		errs = append(errs, errors.Newf("coldStartMs: %d, allowed 0 or more", a.ColdStartMS))
	}
	if a.State != "up" && a.State != "draining" {
		errs = append(errs, errors.Newf("state: %q, allowed up, draining", a.State))
	}
	return errors.Join(errs...)
}

// AnnounceHandler serves POST /announce and hands valid announcements to take.
func AnnounceHandler(take func(Announcement) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&a); err != nil {
			http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := a.Validate(); err != nil {
			http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := take(a); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

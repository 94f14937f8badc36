package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Announcement is what a target tells the daemon beside it.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	ColdStartMs int64  `json:"coldStartMs"`
	// State is "up" or "draining".
	State string `json:"state"`
}

// Announce sends one announcement to the admin address of a daemon.
func Announce(ctx context.Context, client *http.Client, daemonAdmin string, a Announcement) error {
	body, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemonAdmin+"/announce", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	if err := resp.Body.Close(); err != nil {
		return errors.Wrap(err, "announce")
	}
	if resp.StatusCode/100 != 2 {
		return errors.Newf("announce to %s: status %s", daemonAdmin, resp.Status)
	}
	return nil
}

package admin

import (
	"context"
	"time"

	"trefoilthread/core/stage"
)

// AcceptTimeout is how long a change waits for the data centres. It is the
// bound within which a version has to be in force everywhere today.
const AcceptTimeout = 5 * time.Second

// await waits until a version is in force in each data centre with live
// members, at most AcceptTimeout or until ctx ends, and returns the data
// centres that lack it.
func (h *handler) await(ctx context.Context, version int64) (accepted bool, missing []string) {
	timer := h.opt.Clock.NewTimer(AcceptTimeout)
	defer timer.Stop()
	for {
		changed := h.opt.StatusChanged()
		list := h.opt.Status()
		if stage.Accepted(list, version) {
			return true, nil
		}
		select {
		case <-changed:
			continue
		case <-timer.Chan():
		case <-ctx.Done():
		}
		// The status may have changed together with the end of the wait.
		list = h.opt.Status()
		for _, dc := range stage.Missing(list, version) {
			missing = append(missing, string(dc))
		}
		return stage.Accepted(list, version), missing
	}
}

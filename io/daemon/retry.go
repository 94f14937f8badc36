package daemon

import (
	"net/http"

	"trefoilthread/core/types"
)

// retry says whether a failed attempt may be followed by another one.
func (d *Daemon) retry(c types.Call, f *types.Failure, status int, _ bool) bool {
	if f != nil && f.Outcome() == types.NotRun {
		return true
	}
	if c.Class().Runs() == types.AtMostOnce || c.Depth() > 0 {
		return false
	}
	return f != nil && f.Outcome() == types.Unknown || status >= http.StatusBadGateway
}

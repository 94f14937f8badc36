package admin

import (
	"net/http"

	"connectrpc.com/connect"

	"trefoilthread/core/config"
	"trefoilthread/io/opspb"
)

// handler implements opspb.OpsHandler. It has no state of its own.
type handler struct {
	opt Options
}

// NewHandler returns the path prefix of the service and its HTTP handler.
func NewHandler(opt Options) (string, http.Handler) {
	if opt.Now == nil {
		opt.Now = opt.Clock.Now
	}
	h := &handler{opt: opt}
	return opspb.NewOpsHandler(h,
		connect.WithInterceptors(&authenticator{opt: opt}),
		connect.WithReadMaxBytes(config.MaxBytes))
}

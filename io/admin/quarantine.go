package admin

import (
	"context"
	"strconv"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
	"trefoilthread/io/opspb"
)

// ListQuarantine implements opspb.OpsHandler.
func (h *handler) ListQuarantine(context.Context, *connect.Request[opspb.ListQuarantineRequest]) (*connect.Response[opspb.ListQuarantineResponse], error) {
	return connect.NewResponse(&opspb.ListQuarantineResponse{Entries: h.opt.Quarantine()}), nil
}

// LiftQuarantine implements opspb.OpsHandler.
func (h *handler) LiftQuarantine(ctx context.Context, req *connect.Request[opspb.LiftQuarantineRequest]) (*connect.Response[opspb.LiftQuarantineResponse], error) {
	n, err := strconv.ParseUint(req.Msg.GetFingerprint(), 16, 64)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errors.Newf("fingerprint: %q is invalid, allowed: 1 to 16 hexadecimal digits", clip(req.Msg.GetFingerprint())))
	}
	lifted, err := h.opt.Lift(ctx, types.Fingerprint(n))
	op := operatorOf(ctx)
	entry := h.opt.Log.WithFields(log.Fields{
		"operator": op.name, "address": op.address, "fingerprint": clip(req.Msg.GetFingerprint()), "lifted": lifted,
	})
	if err != nil {
		entry.WithError(err).Warn("quarantine not lifted")
		return nil, toConnect(err)
	}
	entry.Info("quarantine lifted")
	return connect.NewResponse(&opspb.LiftQuarantineResponse{Lifted: lifted}), nil
}

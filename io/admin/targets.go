package admin

import (
	"context"

	"connectrpc.com/connect"
	"github.com/apex/log"

	"trefoilthread/core/types"
	"trefoilthread/io/opspb"
)

// DrainTarget implements opspb.OpsHandler.
func (h *handler) DrainTarget(ctx context.Context, req *connect.Request[opspb.DrainTargetRequest]) (*connect.Response[opspb.DrainTargetResponse], error) {
	op := operatorOf(ctx)
	entry := h.opt.Log.WithFields(log.Fields{
		"operator": op.name, "address": op.address, "target": clip(req.Msg.GetTarget()), "drain": req.Msg.GetDrain(),
	})
	state, err := h.opt.Drain(ctx, types.TargetID(req.Msg.GetTarget()), req.Msg.GetDrain())
	if err != nil {
		entry.WithError(err).Warn("drain refused")
		return nil, toConnect(err)
	}
	entry.WithField("state", state.String()).Info("drain changed")
	return connect.NewResponse(&opspb.DrainTargetResponse{State: state.String()}), nil
}

// ListTargets implements opspb.OpsHandler.
func (h *handler) ListTargets(_ context.Context, req *connect.Request[opspb.ListTargetsRequest]) (*connect.Response[opspb.ListTargetsResponse], error) {
	list := h.opt.Targets(types.ServiceName(req.Msg.GetService()))
	return connect.NewResponse(&opspb.ListTargetsResponse{Targets: list}), nil
}

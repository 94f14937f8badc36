package admin

import (
	"context"

	"connectrpc.com/connect"

	"trefoilthread/core/config"
	"trefoilthread/io/opspb"
)

// CreateService implements opspb.OpsHandler.
func (h *handler) CreateService(ctx context.Context, req *connect.Request[opspb.ChangeRequest]) (*connect.Response[opspb.ChangeResponse], error) {
	return h.change(ctx, config.Create, req.Msg)
}

// UpdateService implements opspb.OpsHandler.
func (h *handler) UpdateService(ctx context.Context, req *connect.Request[opspb.ChangeRequest]) (*connect.Response[opspb.ChangeResponse], error) {
	return h.change(ctx, config.Update, req.Msg)
}

// DeleteService implements opspb.OpsHandler.
func (h *handler) DeleteService(ctx context.Context, req *connect.Request[opspb.ChangeRequest]) (*connect.Response[opspb.ChangeResponse], error) {
	return h.change(ctx, config.Delete, req.Msg)
}

func (h *handler) change(ctx context.Context, action config.Action, msg *opspb.ChangeRequest) (*connect.Response[opspb.ChangeResponse], error) {
	op := operatorOf(ctx)
	svc, problems := FromProto(msg.GetService())
	if action == config.Delete {
		problems = nil // a delete uses only the name
	}
	c := config.NewChange(config.ChangeSpec{
		Action: action, Service: svc, Base: msg.GetBaseVersion(), RequestID: msg.GetRequestId(),
		Operator: op.name, Address: op.address, DryRun: msg.GetDryRun(), Problems: problems,
	})
	res, err := h.commit(ctx, c)
	if err != nil {
		h.refuse(ctx, c, err)
		return nil, toConnect(err)
	}
	out := &opspb.ChangeResponse{Version: res.Version(), State: res.State().String(), Diff: res.Diff()}
	if res.State() == config.Committed {
		entry := h.opt.Log.WithFields(fieldsOf(c)).WithField("version", res.Version()).WithField("repeated", res.Repeated())
		accepted, missing := h.await(ctx, res.Version())
		if accepted {
			out.State = "accepted"
		}
		out.NotInForce = missing
		entry.WithField("state", out.State).WithField("notInForce", len(missing)).Info("configuration changed")
	}
	return connect.NewResponse(out), nil
}

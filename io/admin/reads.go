package admin

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
	"trefoilthread/io/opspb"
)

// GetService implements opspb.OpsHandler.
func (h *handler) GetService(ctx context.Context, req *connect.Request[opspb.GetServiceRequest]) (*connect.Response[opspb.GetServiceResponse], error) {
	doc, _, err := h.read(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	svc, ok := doc.Service(types.ServiceName(req.Msg.GetName()))
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.Newf("service %q does not exist", clip(req.Msg.GetName())))
	}
	return connect.NewResponse(&opspb.GetServiceResponse{Service: ToProto(svc)}), nil
}

// ListServices implements opspb.OpsHandler.
func (h *handler) ListServices(ctx context.Context, _ *connect.Request[opspb.ListServicesRequest]) (*connect.Response[opspb.ListServicesResponse], error) {
	doc, _, err := h.read(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	out := &opspb.ListServicesResponse{Version: doc.Version()}
	for _, s := range doc.Services() {
		out.Services = append(out.Services, ToProto(s))
	}
	return connect.NewResponse(out), nil
}

// DiffService implements opspb.OpsHandler. It compares with the current
// service, whatever version the request builds on.
func (h *handler) DiffService(ctx context.Context, req *connect.Request[opspb.ChangeRequest]) (*connect.Response[opspb.DiffResponse], error) {
	svc, problems := FromProto(req.Msg.GetService())
	if err := config.NewInvalid(append(problems, config.Validate(svc)...)...); err != nil {
		return nil, toConnect(err)
	}
	doc, _, err := h.read(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	old, _ := doc.Service(svc.Name())
	return connect.NewResponse(&opspb.DiffResponse{Diff: config.Diff(old, svc)}), nil
}

// History implements opspb.OpsHandler: committed and refused changes, newest
// first. A limit of 0 lists all that are kept.
func (h *handler) History(ctx context.Context, req *connect.Request[opspb.HistoryRequest]) (*connect.Response[opspb.HistoryResponse], error) {
	doc, _, err := h.read(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	refusals, _, err := h.readRefusals(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	list := merge(doc.Audit(), refusals.Entries())
	if n := int(req.Msg.GetLimit()); n > 0 && n < len(list) {
		list = list[:n]
	}
	out := &opspb.HistoryResponse{}
	for _, e := range list {
		out.Entries = append(out.Entries, entryToProto(e))
	}
	return connect.NewResponse(out), nil
}

// merge returns two lists, both oldest first, as one, newest first. Committed
// changes keep the order of their versions even where the clocks of the
// daemons that wrote them differ.
func merge(committed, refused []config.Entry) []config.Entry {
	out := make([]config.Entry, 0, len(committed)+len(refused))
	for len(committed) > 0 || len(refused) > 0 {
		i, j := len(committed)-1, len(refused)-1
		if j < 0 || (i >= 0 && !committed[i].Time().Before(refused[j].Time())) {
			out, committed = append(out, committed[i]), committed[:i]
		} else {
			out, refused = append(out, refused[j]), refused[:j]
		}
	}
	return out
}

package admin

import (
	"context"

	"connectrpc.com/connect"

	"trefoilthread/io/opspb"
)

// Status implements opspb.OpsHandler. The version is the one that the daemon
// that is asked has in force.
func (h *handler) Status(context.Context, *connect.Request[opspb.StatusRequest]) (*connect.Response[opspb.StatusResponse], error) {
	return connect.NewResponse(h.status()), nil
}

// WatchStatus implements opspb.OpsHandler.
func (h *handler) WatchStatus(ctx context.Context, _ *connect.Request[opspb.StatusRequest], stream *connect.ServerStream[opspb.StatusResponse]) error {
	for {
		changed := h.opt.StatusChanged()
		if err := stream.Send(h.status()); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return toConnect(ctx.Err())
		}
	}
}

func (h *handler) status() *opspb.StatusResponse {
	out := &opspb.StatusResponse{Version: h.opt.Document().Version()}
	for _, d := range h.opt.Status() {
		out.DataCentres = append(out.DataCentres, &opspb.DataCentreStatus{
			DataCentre: string(d.Name()), InForce: d.InForce(), Members: int32(d.Members()), Leader: string(d.Leader()),
		})
	}
	return out
}

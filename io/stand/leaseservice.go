package stand

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"trefoilthread/io/etcdpb"
)

// leaseService serves lease calls, which count as writes.
type leaseService struct{ s *Store }

// LeaseGrant implements etcdpb.LeaseHandler.
func (l leaseService) LeaseGrant(ctx context.Context, req *connect.Request[etcdpb.LeaseGrantRequest]) (*connect.Response[etcdpb.LeaseGrantResponse], error) {
	if err := l.s.count(l.s.writes, func(c *StoreCounts) { c.Grants++ }); err != nil {
		return nil, err
	}
	var resp *etcdpb.LeaseGrantResponse
	err := l.s.answer(ctx, func() (err error) {
		resp, err = l.s.space.grant(req.Msg.ID, req.Msg.TTL)
		return err
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// LeaseRevoke implements etcdpb.LeaseHandler.
func (l leaseService) LeaseRevoke(ctx context.Context, req *connect.Request[etcdpb.LeaseRevokeRequest]) (*connect.Response[etcdpb.LeaseRevokeResponse], error) {
	if err := l.s.count(l.s.writes, func(c *StoreCounts) { c.Revokes++ }); err != nil {
		return nil, err
	}
	var resp *etcdpb.LeaseRevokeResponse
	err := l.s.answer(ctx, func() error {
		var ok bool
		if resp, ok = l.s.space.dropLease(req.Msg.ID); !ok {
			return errLeaseNotFound()
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// LeaseKeepAlive implements etcdpb.LeaseHandler.
func (l leaseService) LeaseKeepAlive(ctx context.Context, stream *connect.BidiStream[etcdpb.LeaseKeepAliveRequest, etcdpb.LeaseKeepAliveResponse]) error {
	for {
		req, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := l.s.count(l.s.writes, func(c *StoreCounts) { c.KeepAlives++ }); err != nil {
			return err
		}
		var resp *etcdpb.LeaseKeepAliveResponse
		if err := l.s.answer(ctx, func() error {
			resp = l.s.space.keepAlive(req.ID)
			return nil
		}); err != nil {
			return err
		}
		if err := stream.Send(resp); err != nil {
			return err
		}
	}
}

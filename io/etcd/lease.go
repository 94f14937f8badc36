package etcd

import (
	"context"
	"fmt"
	"time"
	"trefoilthread/io/store"

	"connectrpc.com/connect"

	"trefoilthread/io/etcdpb"
)

// grant implements Store.Grant. The API counts in seconds: a fraction is
// rounded up. A lease whose answer was lost expires by itself.
func (e *Client) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	bounded, cancel := context.WithTimeout(ctx, e.opts.CallTimeout)
	defer cancel()
	req := &etcdpb.LeaseGrantRequest{TTL: int64((ttl + time.Second - 1) / time.Second)}
	var id store.LeaseID
	if sent, err := e.call(bounded, func(ctx context.Context, ep *endpoint) error {
		out, err := ep.lease.LeaseGrant(ctx, connect.NewRequest(req))
		if err == nil {
			id = store.LeaseID(out.Msg.ID)
		}
		return err
	}); err != nil {
		return 0, writeError(ctx, "grant lease", sent, err)
	}
	return id, nil
}

// renew implements Store.Renew with a stream for one message: at one renewal
// every few seconds a stream that stays open would only add states to test. A
// renewal without an answer is unavailable, not unknown, because a holder
// relies on nothing but the answer.
func (e *Client) renew(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	op := fmt.Sprintf("renew lease %d", id)
	bounded, cancel := context.WithTimeout(ctx, e.opts.CallTimeout)
	defer cancel()
	var ttl int64
	if _, err := e.call(bounded, func(ctx context.Context, ep *endpoint) error {
		stream := ep.lease.LeaseKeepAlive(ctx)
		defer func() {
			// Errors at the end do not change the answer.
			_ = stream.CloseRequest()
			_ = stream.CloseResponse()
		}()
		sendErr := stream.Send(&etcdpb.LeaseKeepAliveRequest{ID: int64(id)})
		resp, err := stream.Receive()
		if err != nil {
			return err
		}
		ttl = resp.TTL
		return sendErr
	}); err != nil {
		return 0, readError(ctx, op, err)
	}
	if ttl <= 0 {
		return 0, fmt.Errorf("store: %s: %w", op, store.ErrLeaseGone)
	}
	return time.Duration(ttl) * time.Second, nil
}

// revoke implements Store.Revoke.
func (e *Client) revoke(ctx context.Context, id store.LeaseID) error {
	bounded, cancel := context.WithTimeout(ctx, e.opts.CallTimeout)
	defer cancel()
	sent, err := e.call(bounded, func(ctx context.Context, ep *endpoint) error {
		_, err := ep.lease.LeaseRevoke(ctx, connect.NewRequest(&etcdpb.LeaseRevokeRequest{ID: int64(id)}))
		return err
	})
	if err != nil {
		return writeError(ctx, fmt.Sprintf("revoke lease %d", id), sent, err)
	}
	return nil
}

package etcd

import (
	"context"
	"fmt"
	"trefoilthread/io/store"

	"connectrpc.com/connect"

	"trefoilthread/io/etcdpb"
)

// get implements Store.Get with a linearizable range of one key.
func (e *Client) get(ctx context.Context, key string) (store.Item, error) {
	resp, err := e.readRange(ctx, "get "+key, &etcdpb.RangeRequest{Key: []byte(key)})
	if err != nil {
		return store.Item{}, err
	}
	if len(resp.Kvs) == 0 {
		return store.Item{}, fmt.Errorf("store: get %s: %w", key, store.ErrNotFound)
	}
	return item(resp.Kvs[0]), nil
}

// readRange sends a range. ctx is the caller's; the call has its own bound.
func (e *Client) readRange(ctx context.Context, op string, r *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	bounded, cancel := context.WithTimeout(ctx, e.opts.CallTimeout)
	defer cancel()
	var resp *etcdpb.RangeResponse
	if _, err := e.call(bounded, func(ctx context.Context, ep *endpoint) error {
		out, err := ep.reads.Range(ctx, connect.NewRequest(r))
		if err == nil {
			resp = out.Msg
		}
		return err
	}); err != nil {
		return nil, readError(ctx, op, err)
	}
	return resp, nil
}

func item(kv *etcdpb.KeyValue) store.Item {
	return store.Item{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, Lease: store.LeaseID(kv.Lease)}
}

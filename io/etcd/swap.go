package etcd

import (
	"context"
	"fmt"
	"trefoilthread/io/store"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"trefoilthread/io/etcdpb"
)

// MaxValue is the platform's limit for one value, in bytes.
const MaxValue = 1 << 20

// compareAndSwap implements Store.CompareAndSwap with a transaction that
// compares the revision of the last write. A key that does not exist is
// compared by its creation, as the API documents it.
func (e *Client) compareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease store.LeaseID) (int64, error) {
	op := "swap " + key
	if len(value) > MaxValue {
		return 0, errors.Newf("store: %s: value of %d bytes, allowed %d", op, len(value), MaxValue)
	}
	compare := &etcdpb.Compare{
		Key: []byte(key), Result: etcdpb.Compare_EQUAL, Target: etcdpb.Compare_MOD,
		TargetUnion: &etcdpb.Compare_ModRevision{ModRevision: revision},
	}
	if revision == 0 {
		compare.Target = etcdpb.Compare_CREATE
		compare.TargetUnion = &etcdpb.Compare_CreateRevision{}
	}
	put := &etcdpb.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	req := &etcdpb.TxnRequest{
		Compare: []*etcdpb.Compare{compare},
		Success: []*etcdpb.RequestOp{{Request: &etcdpb.RequestOp_RequestPut{RequestPut: put}}},
	}
	bounded, cancel := context.WithTimeout(ctx, e.opts.CallTimeout)
	defer cancel()
	var resp *etcdpb.TxnResponse
	if sent, err := e.call(bounded, func(ctx context.Context, ep *endpoint) error {
		out, err := ep.writes.Txn(ctx, connect.NewRequest(req))
		if err == nil {
			resp = out.Msg
		}
		return err
	}); err != nil {
		return 0, writeError(ctx, op, sent, err)
	}
	if !resp.Succeeded {
		return 0, fmt.Errorf("store: %s: %w with revision %d", op, store.ErrConflict, revision)
	}
	return resp.GetHeader().GetRevision(), nil
}

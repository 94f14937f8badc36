package stand

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"trefoilthread/io/etcdpb"
)

// kvService serves ranges and transactions.
type kvService struct{ s *Store }

// Range implements etcdpb.KVHandler.
func (k kvService) Range(ctx context.Context, req *connect.Request[etcdpb.RangeRequest]) (*connect.Response[etcdpb.RangeResponse], error) {
	if err := k.s.count(k.s.reads, func(c *StoreCounts) { c.Ranges++ }); err != nil {
		return nil, err
	}
	var resp *etcdpb.RangeResponse
	err := k.s.answer(ctx, func() (err error) {
		resp, err = k.s.space.readRange(req.Msg)
		return err
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// Txn implements etcdpb.KVHandler.
func (k kvService) Txn(ctx context.Context, req *connect.Request[etcdpb.TxnRequest]) (*connect.Response[etcdpb.TxnResponse], error) {
	if err := k.s.count(k.s.writes, func(c *StoreCounts) { c.Txns++ }); err != nil {
		return nil, err
	}
	var resp *etcdpb.TxnResponse
	err := k.s.answer(ctx, func() error {
		r, wrote, err := k.s.space.txn(req.Msg)
		if wrote && k.s.loseAnswer() {
			// Resets the stream: the client gets no status.
			panic(http.ErrAbortHandler)
		}
		resp = r
		return err
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

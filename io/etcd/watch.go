package etcd

import (
	"context"
	"fmt"
	"time"
	"trefoilthread/io/store"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/etcdpb"
)

// watch implements Store.Watch: a range, then a watch that starts at the
// revision after it, so that no change is missed in between.
func (e *Client) watch(ctx context.Context, prefix string, fn func(store.Event)) error {
	op := "watch " + prefix
	from, end := []byte(prefix), prefixEnd(prefix)
	if prefix == "" {
		from = []byte{0} // the API has no empty key
	}
	now, err := e.readRange(ctx, op, &etcdpb.RangeRequest{Key: from, RangeEnd: end})
	if err != nil {
		return err
	}
	for _, kv := range now.Kvs {
		fn(store.Event{Item: item(kv)})
	}
	fn(store.Event{Synced: true})
	create := &etcdpb.WatchCreateRequest{Key: from, RangeEnd: end, StartRevision: now.GetHeader().GetRevision() + 1}
	_, err = e.call(ctx, func(ctx context.Context, ep *endpoint) error {
		return e.follow(ctx, ep, create, fn)
	})
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("store: %s: %w", op, ctx.Err())
	case errors.Is(err, errCompacted):
		return fmt.Errorf("store: %s: %w", op, err)
	}
	return readError(ctx, op, err)
}

// errCompacted is the end of a watch whose start the store has forgotten.
var errCompacted = errors.New("watch start was compacted")

// errWatchEnded is the end of a watch by the server.
var errWatchEnded = errors.New("watch canceled by the store")

// follow runs one watch stream until it ends; it never returns nil.
func (e *Client) follow(ctx context.Context, ep *endpoint, create *etcdpb.WatchCreateRequest, fn func(store.Event)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// An endpoint that accepts the stream and never answers must not hold the
	// watch for ever.
	setup := time.AfterFunc(e.opts.CallTimeout, func() { cancel(context.DeadlineExceeded) })
	defer setup.Stop()
	stream := ep.watch.Watch(ctx)
	defer func() {
		// The stream is canceled: there is nothing to do about an error.
		cancel(nil)
		_ = stream.CloseRequest()
		_ = stream.CloseResponse()
	}()
	// net/http notices the end of a context only between two reads of the
	// request body. This stream sends nothing more, so its body is ended as
	// well; otherwise Receive may wait for ever.
	stop := context.AfterFunc(ctx, func() { _ = stream.CloseRequest() })
	defer stop()
	if err := stream.Send(&etcdpb.WatchRequest{
		RequestUnion: &etcdpb.WatchRequest_CreateRequest{CreateRequest: create},
	}); err != nil {
		// The reason is with the answer, the send only reports the end.
		if _, reason := stream.Receive(); reason != nil {
			return reason
		}
		return err
	}
	for {
		resp, err := stream.Receive()
		if err != nil {
			return err
		}
		if resp.Canceled {
			if resp.CompactRevision > 0 {
				return errors.Wrapf(errCompacted, "start %d, available from %d", create.StartRevision, resp.CompactRevision)
			}
			return errors.Wrap(errWatchEnded, resp.CancelReason)
		}
		if resp.Created {
			setup.Stop()
		}
		for _, ev := range resp.Events {
			fn(store.Event{Item: item(ev.Kv), Deleted: ev.Type == etcdpb.Event_DELETE})
		}
	}
}

// prefixEnd returns the end of the range of keys with a prefix: the prefix
// with its last byte that can grow incremented. One zero byte is the API's
// range without an end.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

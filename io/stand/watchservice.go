package stand

import (
	"context"
	"io"
	"sync"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"trefoilthread/io/etcdpb"
)

// watchService serves watch streams; one stream can carry several watches.
type watchService struct{ s *Store }

type watchStream = connect.BidiStream[etcdpb.WatchRequest, etcdpb.WatchResponse]

// Watch implements etcdpb.WatchHandler.
func (w watchService) Watch(ctx context.Context, stream *watchStream) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()

	var mu sync.Mutex
	send := func(r *etcdpb.WatchResponse) error {
		mu.Lock()
		defer mu.Unlock()
		return stream.Send(r)
	}
	cancels := map[int64]context.CancelFunc{}
	for id := int64(0); ; {
		req, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			// The client sends no more requests, but still reads events.
			running.Wait()
			return nil
		} else if err != nil {
			return err
		}
		if c := req.GetCancelRequest(); c != nil {
			if stop := cancels[c.WatchId]; stop != nil {
				stop()
				delete(cancels, c.WatchId)
			}
			continue
		}
		create := req.GetCreateRequest()
		if create == nil || len(create.Key) == 0 {
			return errNoKey()
		}
		if err := w.s.count(w.s.reads, func(c *StoreCounts) { c.Watches++ }); err != nil {
			return err
		}
		one, stop := context.WithCancel(ctx)
		cancels[id] = stop
		running.Go(func(id int64) func() {
			return func() {
				defer stop()
				w.run(one, id, create, send)
			}
		}(id))
		id++
	}
}

// run sends the events of one watch until ctx ends or its start is compacted.
func (w watchService) run(ctx context.Context, id int64, r *etcdpb.WatchCreateRequest, send func(*etcdpb.WatchResponse) error) {
	w.s.pending(1)
	defer w.s.pending(-1)
	_, rev, _, _ := w.s.space.since(1, r.Key, r.RangeEnd)
	next := r.StartRevision
	if next <= 0 {
		next = rev + 1
	}
	if err := send(&etcdpb.WatchResponse{Header: header(rev), WatchId: id, Created: true}); err != nil {
		return
	}
	for {
		batch, rev, compacted, changed := w.s.space.since(next, r.Key, r.RangeEnd)
		if compacted > 0 {
			_ = send(&etcdpb.WatchResponse{
				Header: header(rev), WatchId: id, Canceled: true, CompactRevision: compacted,
				CancelReason: "etcdserver: mvcc: required revision has been compacted",
			})
			return
		}
		if len(batch) > 0 {
			if err := w.s.answer(ctx, func() error { return nil }); err != nil {
				return
			}
			if err := send(&etcdpb.WatchResponse{Header: header(rev), WatchId: id, Events: batch}); err != nil {
				return
			}
		}
		next = max(next, rev+1)
		select {
		case <-ctx.Done():
			// Ignored if the stream is already broken.
			_ = send(&etcdpb.WatchResponse{Header: header(rev), WatchId: id, Canceled: true})
			return
		case <-changed:
		}
	}
}

func header(rev int64) *etcdpb.ResponseHeader {
	return &etcdpb.ResponseHeader{ClusterId: 1, MemberId: 1, RaftTerm: 1, Revision: rev}
}

func (s *Store) pending(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Pending += n
}

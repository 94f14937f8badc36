package stand_test

import (
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"trefoilthread/io/etcdpb"
	"trefoilthread/io/stand"
)

// Guards against a stand-in that departs from the published API, so that the
// adapter would be right against it and wrong against the platform.
func TestStoreFollowsTheAPI(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s := stand.NewStore(stand.StoreOptions{ResponseTime: -1})
	is.NoErr(s.Start("127.0.0.1:0"))
	defer s.Close()
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	tr := &http.Transport{Protocols: &p}
	defer tr.CloseIdleConnections()
	kv := etcdpb.NewKVClient(&http.Client{Transport: tr}, "http://"+s.Addr(), connect.WithGRPC())
	txn := func(c *etcdpb.Compare, then, otherwise *etcdpb.RequestOp) (*etcdpb.TxnResponse, error) {
		r := &etcdpb.TxnRequest{Success: []*etcdpb.RequestOp{then}}
		if c != nil {
			r.Compare = []*etcdpb.Compare{c}
		}
		if otherwise != nil {
			r.Failure = []*etcdpb.RequestOp{otherwise}
		}
		resp, err := kv.Txn(ctx, connect.NewRequest(r))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	}
	put := func(key, value string) *etcdpb.RequestOp {
		return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{
			RequestPut: &etcdpb.PutRequest{Key: []byte(key), Value: []byte(value), PrevKv: true},
		}}
	}
	get := func(r *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
		resp, err := kv.Range(ctx, connect.NewRequest(r))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	}

	// Revisions begin at 1 and grow by one for each transaction that writes.
	for i, key := range []string{"a/2", "a/1", "a0"} {
		resp, err := txn(nil, put(key, "x"), nil)
		is.NoErr(err)
		is.Equal(resp.Header.Revision, int64(2+i))
	}
	resp, err := txn(nil, put("a/1", "y"), nil)
	is.NoErr(err)
	is.Equal(string(resp.Responses[0].GetResponsePut().PrevKv.Value), "x")
	// Prefix ranges are in order of keys; the count is not limited.
	found, err := get(&etcdpb.RangeRequest{Key: []byte("a/"), RangeEnd: []byte("a0"), Limit: 1})
	is.NoErr(err)
	is.Equal(found.Count, int64(2))
	is.True(found.More)
	is.Equal(string(found.Kvs[0].Key), "a/1")
	one := found.Kvs[0]
	is.Equal([]int64{one.CreateRevision, one.ModRevision, one.Version}, []int64{3, 5, 2})

	// A failed compare runs the other branch; a delete creates a revision only
	// if it finds a key.
	wrong := &etcdpb.Compare{Key: []byte("a/1"), Target: etcdpb.Compare_MOD, TargetUnion: &etcdpb.Compare_ModRevision{ModRevision: 3}}
	del := &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestDeleteRange{
		RequestDeleteRange: &etcdpb.DeleteRangeRequest{Key: []byte("a/"), RangeEnd: []byte("a0")},
	}}
	for _, want := range []struct{ deleted, revision int64 }{{2, 6}, {0, 6}} {
		resp, err := txn(wrong, put("a/1", "z"), del)
		is.NoErr(err)
		is.True(!resp.Succeeded)
		is.Equal(resp.Responses[0].GetResponseDeleteRange().Deleted, want.deleted)
		is.Equal(resp.Header.Revision, want.revision)
	}

	for _, c := range []struct {
		op   *etcdpb.RequestOp
		code connect.Code
	}{
		{put("", "x"), connect.CodeInvalidArgument},
		{put("k", string(make([]byte, 1<<20+1))), connect.CodeInvalidArgument},
		{&etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{
			RequestPut: &etcdpb.PutRequest{Key: []byte("k"), Lease: 99},
		}}, connect.CodeNotFound},
	} {
		_, err := txn(nil, c.op, nil)
		is.Equal(connect.CodeOf(err), c.code)
	}
	for _, rev := range []int64{1, 100} { // compacted, and in the future
		_, err := get(&etcdpb.RangeRequest{Key: []byte("a"), Revision: rev})
		is.Equal(connect.CodeOf(err), connect.CodeOutOfRange)
	}

	// A watch begins at any revision that is still there.
	watch := func(from int64) *etcdpb.WatchResponse {
		stream := etcdpb.NewWatchClient(&http.Client{Transport: tr}, "http://"+s.Addr(), connect.WithGRPC()).Watch(ctx)
		defer func() { _ = stream.CloseResponse() }()
		is.NoErr(stream.Send(&etcdpb.WatchRequest{RequestUnion: &etcdpb.WatchRequest_CreateRequest{
			CreateRequest: &etcdpb.WatchCreateRequest{Key: []byte("a/"), RangeEnd: []byte("a0"), StartRevision: from},
		}}))
		created, err := stream.Receive()
		is.NoErr(err)
		is.True(created.Created)
		resp, err := stream.Receive()
		is.NoErr(err)
		is.NoErr(stream.CloseRequest())
		return resp
	}
	var revisions []int64
	for _, ev := range watch(3).Events {
		revisions = append(revisions, ev.Kv.ModRevision)
	}
	is.Equal(revisions, []int64{3, 5, 6, 6})
	s.Compact()
	gone := watch(3)
	is.True(gone.Canceled)
	is.Equal(gone.CompactRevision, int64(7))
}

// Guards against tests of budgets that pass because the stand-in has no
// limits, or counts too little.
func TestStoreRateLimit(t *testing.T) {
	is := is.New(t)
	s := stand.NewStore(stand.StoreOptions{ResponseTime: -1, ReadsPerSecond: 0.001})
	is.NoErr(s.Start("127.0.0.1:0"))
	defer s.Close()
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	tr := &http.Transport{Protocols: &p}
	defer tr.CloseIdleConnections()
	kv := etcdpb.NewKVClient(&http.Client{Transport: tr}, "http://"+s.Addr(), connect.WithGRPC())
	for _, want := range []connect.Code{0, connect.CodeResourceExhausted} {
		_, err := kv.Range(t.Context(), connect.NewRequest(&etcdpb.RangeRequest{Key: []byte("a")}))
		if want == 0 {
			is.NoErr(err)
		} else {
			is.Equal(connect.CodeOf(err), want)
		}
	}
	c := s.Counts()
	is.Equal([]int{c.Ranges, c.Rejected, c.Reads(), c.Writes()}, []int{2, 1, 2, 0})
}

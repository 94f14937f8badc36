package etcd

import (
	"net/http"

	"connectrpc.com/connect"

	"trefoilthread/io/etcdpb"
)

// endpoint has the clients of one server of the store.
type endpoint struct {
	url    string
	reads  etcdpb.KVClient
	writes etcdpb.KVClient
	watch  etcdpb.WatchClient
	lease  etcdpb.LeaseClient
}

func newEndpoint(url string, transport http.RoundTripper) *endpoint {
	opts := []connect.ClientOption{
		connect.WithGRPC(),
		// Values are CBOR of small size: compression costs more than it saves.
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessage),
	}
	repeated := &http.Client{Transport: tracker{next: transport, repeat: true}}
	once := &http.Client{Transport: tracker{next: transport}}
	return &endpoint{
		url:    url,
		reads:  etcdpb.NewKVClient(repeated, url, opts...),
		writes: etcdpb.NewKVClient(once, url, opts...),
		watch:  etcdpb.NewWatchClient(once, url, opts...),
		lease:  etcdpb.NewLeaseClient(once, url, opts...),
	}
}

// maxMessage bounds the memory for one answer: all values below the prefix of
// a watch, of which there are two for each data centre.
const maxMessage = 64 << 20

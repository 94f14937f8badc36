// Package etcd is the adapter of io/store for the published etcd v3 API over
// gRPC.
//
// It records when the transport begins to read the body of a request: an error
// before that point proves that nothing of it was sent, and another endpoint is
// tried; after it only a status that the API defines as a refusal proves that
// a write did not take effect.
//
// # Usage
//
//	cl, err := etcd.New([]string{"http://10.0.0.5:2379"}, etcd.Options{})
//	if err != nil {
//		return err
//	}
//	defer cl.Close()
//	st := cl.Store()
package etcd

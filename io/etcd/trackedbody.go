package etcd

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// trackedBody proves whether any of a request's body can reach the server. The
// transport can go on with a request in the background after it returned an
// error, so reads fail from then on. Each side stores its flag before it loads
// the other's: either the read sees stopped, or the failed call sees began.
type trackedBody struct {
	io.ReadCloser
	attempt *attempt
	stopped atomic.Bool
}

// errStopped ends a request whose call has failed.
var errStopped = errors.New("call has already failed")

// Read reads the message unless the call has failed.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.attempt.began.Store(true)
	if b.stopped.Load() {
		return 0, errStopped
	}
	return b.ReadCloser.Read(p)
}

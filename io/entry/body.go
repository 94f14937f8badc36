package entry

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
)

// replayLimit is the largest request body, in bytes, that is kept so that a
// call can be sent again. It also bounds what a fingerprint covers, and so the
// memory of a call at its entry.
const replayLimit = 64 << 10

// Body is the body of a caller's request. Its first bytes are held in memory;
// if that is all of it, each attempt gets a reader of its own.
type Body struct {
	head  []byte
	rest  io.Reader
	whole bool
	taken bool
}

// ReadBody reads up to replayLimit bytes of r.
func ReadBody(r io.Reader) (*Body, error) {
	if r == nil || r == http.NoBody {
		return &Body{whole: true}, nil
	}
	head, err := io.ReadAll(io.LimitReader(r, replayLimit+1))
	if err != nil {
		return nil, errors.Wrap(err, "request body")
	}
	if len(head) <= replayLimit {
		return &Body{head: head, whole: true}, nil
	}
	return &Body{head: head, rest: r}, nil
}

// Replayable reports whether another attempt can read the body.
func (b *Body) Replayable() bool { return b.whole || !b.taken }

// Reader returns the body for one attempt, or nil for an empty one.
func (b *Body) Reader() io.Reader {
	b.taken = true
	if b.whole {
		if len(b.head) == 0 {
			return nil
		}
		return bytes.NewReader(b.head)
	}
	return io.MultiReader(bytes.NewReader(b.head), b.rest)
}

// Fingerprint identifies the content of a request.
func (b *Body) Fingerprint(service, method, path string) types.Fingerprint {
	h := xxhash.New()
	for _, s := range []string{service, method, path} {
		// xxhash never fails to write; the zero byte separates the parts.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(b.head[:min(len(b.head), replayLimit)])
	return types.Fingerprint(h.Sum64())
}

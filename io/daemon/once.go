package daemon

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/claims"
	"trefoilthread/core/types"
	"trefoilthread/io/entry"
	"trefoilthread/io/peer"
	"trefoilthread/io/wire"
)

// maxRetained is the largest response body, in bytes, that is kept for a
// repeated key. A larger one is passed on once; the key is unknown afterwards.
const maxRetained = 64 << 10

// retained is a response as it is kept for a repeated key.
type retained struct {
	Print  uint64              `cbor:"fp"` // of the request, to tell a key used twice
	Status int                 `cbor:"s"`
	Header map[string][]string `cbor:"h"`
	Body   []byte              `cbor:"b"`
}

// isClaimed reports whether a call needs a durable claim of its key first.
func isClaimed(h *wire.CallHead) bool {
	return types.Runs(h.Runs) == types.AtMostOnce && h.Key != "" && !h.Claimed
}

const (
	// ownerTries bounds how often a keyed call that did not run follows its key
	// to another owner while the members change. With the pauses it covers some
	// 4 s, in which a summary reaches all data centres.
	ownerTries = 30
	// ownerWait is the first pause before that; it doubles up to ownerMaxWait.
	ownerWait = 20 * time.Millisecond
	// answerMargin is the time kept for the way back from the owner: without it a
	// refusal at the deadline, as in a store outage, comes too late, and its
	// caller learns less than is known.
	answerMargin = 50 * time.Millisecond
	ownerMaxWait = 160 * time.Millisecond
)

// once runs a call with an idempotency key at most once, through the daemon
// that owns the key's partition.
func (d *Daemon) once(ctx context.Context, head *wire.CallHead, body *entry.Body) (*wire.Answer, error) {
	hash := claims.KeyHash(types.ServiceName(head.Service), head.Key)
	index := claims.PartitionOf(hash, d.set.Partitions())
	wait := ownerWait
	for try := 1; ; try++ {
		ans, err := d.throughOwner(ctx, head, body, hash, index)
		var mv *movedError
		if !errors.As(err, &mv) || try == ownerTries || !body.Replayable() {
			return ans, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-d.clock.After(wait):
			wait = min(2*wait, ownerMaxWait)
		}
	}
}

// throughOwner makes one try with the present owner of a key.
func (d *Daemon) throughOwner(ctx context.Context, head *wire.CallHead, body *entry.Body, hash claims.Hash, index int) (*wire.Answer, error) {
	owner, ok := d.owner(index)
	if !ok {
		return nil, moved("no daemon is known to keep the key")
	}
	if owner.ID() == d.id {
		return d.runOnce(ctx, head, body, hash, index)
	}
	h := *head
	h.Route, h.Sender = true, d.node.Addr()
	if dl, ok := ctx.Deadline(); ok {
		left := dl.Sub(d.now())
		h.Timeout = (left - min(left/10, answerMargin)).Microseconds()
	}
	ans, err := d.node.Call(ctx, owner.Address(), &h, body.Reader())
	var f *wire.Failure
	switch {
	case err == nil:
		return ans, nil
	case errors.As(err, &f) && f.Moved:
		return nil, moved(f.Reason)
	case errors.As(err, &f) && f.Stale:
		return nil, entry.NewStaleError(f.Reason)
	case errors.As(err, &f):
		return nil, types.NewFailure(types.Outcome(f.Outcome), f.Reason)
	case errors.Is(err, peer.ErrNotSent):
		if ctx.Err() == nil {
			d.observe(owner, owner.Incarnation(), types.Down)
		}
		return nil, moved("the daemon that keeps the key is not reached: " + err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, types.NewFailure(types.DeadlineExceeded, "deadline passed; the call may have run")
	}
	return nil, types.NewFailure(types.Unknown, "the daemon that keeps the key: "+err.Error())
}

// runOnce claims the key, runs the call if the claim is fresh, and keeps the
// response for the next request with the key.
func (d *Daemon) runOnce(ctx context.Context, head *wire.CallHead, body *entry.Body, hash claims.Hash, index int) (*wire.Answer, error) {
	k := d.keeper(index)
	ticket, kept, err := k.claim(ctx, hash)
	if err != nil {
		return nil, err
	}
	if kept != nil {
		return answerOf(kept, head.Print)
	}
	h := *head
	h.Claimed, h.Route = true, false
	// A caller that gives up does not end the run: the next request with the
	// key is to get its response.
	rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.timeLeft(ctx, head))
	ans, err := d.flow.Do(rctx, &h, body)
	if err != nil {
		cancel()
		return nil, d.endedWithout(k, hash, ticket, err)
	}
	return d.keep(k, hash, ticket, head.Print, ans, cancel)
}

func (d *Daemon) timeLeft(ctx context.Context, head *wire.CallHead) time.Duration {
	if dl, ok := ctx.Deadline(); ok {
		return dl.Sub(d.now())
	}
	return time.Duration(head.Timeout) * time.Microsecond
}

// endedWithout records a run that got no response.
func (d *Daemon) endedWithout(k *keeper, hash claims.Hash, ticket uint64, err error) error {
	var f *types.Failure
	if errors.As(err, &f) && f.Outcome().ProvesNotRun() {
		k.finish(func(p *claims.Partition) { p.FinishNotRun(hash, ticket) })
	} else {
		k.finish(func(p *claims.Partition) { p.FinishUnknown(hash, ticket) })
	}
	return err
}

// keep reads the response up to maxRetained and records it.
func (d *Daemon) keep(k *keeper, hash claims.Hash, ticket uint64, fp uint64, ans *wire.Answer, cancel context.CancelFunc) (*wire.Answer, error) {
	head, err := io.ReadAll(io.LimitReader(ans.Body, maxRetained+1))
	if err != nil {
		_ = ans.Body.Close()
		cancel()
		return nil, d.endedWithout(k, hash, ticket, err)
	}
	if len(head) > maxRetained {
		k.finish(func(p *claims.Partition) { p.FinishUnknown(hash, ticket) })
		ans.Body = &joinedBody{
			Reader: io.MultiReader(bytes.NewReader(head), ans.Body), body: ans.Body, cancel: cancel,
		}
		return ans, nil
	}
	if cerr := ans.Body.Close(); cerr != nil {
		d.log.WithError(cerr).Debug("response closed")
	}
	cancel()
	data, err := cbor.Marshal(retained{Print: fp, Status: ans.Head.Status, Header: ans.Head.Header, Body: head})
	if err != nil {
		return nil, d.endedWithout(k, hash, ticket, err)
	}
	k.finish(func(p *claims.Partition) { p.Finish(hash, ticket, data) })
	ans.Body = io.NopCloser(bytes.NewReader(head))
	return ans, nil
}

// answerOf returns a retained response to another request with the same key.
func answerOf(data []byte, fp uint64) (*wire.Answer, error) {
	var r retained
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, types.NewFailure(types.Unknown, "retained response: "+err.Error())
	}
	if r.Print != fp {
		return nil, types.NewFailure(types.BadRequest, "the idempotency key was used for another request")
	}
	return &wire.Answer{
		Head: wire.AnswerHead{Status: r.Status, Header: r.Header, Length: int64(len(r.Body))},
		Body: io.NopCloser(bytes.NewReader(r.Body)),
	}, nil
}

// joinedBody is a response whose beginning was read ahead.
type joinedBody struct {
	io.Reader
	body   io.Closer
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *joinedBody) Close() error {
	err := b.body.Close()
	b.cancel()
	return err
}

package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/io/peer"
	"trefoilthread/io/wire"
)

// attempt is one try of a call on one target.
type attempt struct {
	flow   *Flow
	pool   *pool
	target types.Target
	token  route.Token
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	once   sync.Once

	answer  *wire.Answer
	err     error
	failure *types.Failure // what err means, set with it
}

// send runs the attempt until the head of the answer is there.
func (a *attempt) send(head wire.CallHead, body io.Reader) {
	now := a.flow.now()
	if dl, ok := a.ctx.Deadline(); ok {
		head.Timeout = dl.Sub(now).Microseconds()
	}
	a.answer, a.err = a.flow.opts.Send(a.ctx, a.target, &head, body)
	if a.err != nil {
		// Before finish ends the context, which would look like a caller that
		// gave up.
		a.failure = explain(a.ctx, a.err)
		a.finish(a.err)
	}
}

// failed reports whether the target could not serve the call.
func (a *attempt) failed() bool {
	return a.err != nil || a.answer.Head.Status >= http.StatusInternalServerError
}

// outcome returns what the caller may rely on after this attempt, nil for an
// answer.
func (a *attempt) outcome() *types.Failure { return a.failure }

// isFree reports whether another attempt costs nothing of the retry budget: a
// drain refuses each call once, and a silent connection holds few calls that
// most likely never reached the target. Neither can grow with the load.
func (a *attempt) isFree() bool {
	var f *wire.Failure
	drained := errors.As(a.err, &f) && f.Report.Draining && types.Outcome(f.Outcome) == types.NotRun
	return drained || a.isStalled() || a.isTrialRefusal()
}

// isTrialRefusal reports whether the call was refused because a suspect is on
// trial. Requests that many callers send alike become suspects together; the
// first successful trial clears them all.
func (a *attempt) isTrialRefusal() bool {
	var f *wire.Failure
	return errors.As(a.err, &f) && f.Trial
}

// isStale reports whether the call has to be classified again.
func (a *attempt) isStale() bool {
	var f *wire.Failure
	return errors.As(a.err, &f) && f.Stale
}

// isStalled reports whether the attempt ended because a connection on its way
// was silent.
func (a *attempt) isStalled() bool {
	var f *wire.Failure
	return errors.As(a.err, &f) && f.Stalled || errors.Is(a.err, peer.ErrStalled)
}

// explain turns the error of an attempt into a typed failure. Only errors that
// prove it give an outcome of "not run".
func explain(ctx context.Context, err error) *types.Failure {
	var f *wire.Failure
	var t *types.Failure
	switch {
	case errors.As(err, &t):
		return t
	case errors.As(err, &f):
		return types.NewFailure(types.Outcome(f.Outcome), f.Reason)
	case errors.Is(err, peer.ErrNotSent):
		return types.NewFailure(types.NotRun, err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return types.NewFailure(types.DeadlineExceeded, "deadline passed; the call may have run")
	case ctx.Err() != nil:
		return types.NewFailure(types.Canceled, "canceled; the call may have run")
	}
	return types.NewFailure(types.Unknown, err.Error())
}

// finish tells the picker how the attempt ended, once.
func (a *attempt) finish(err error) {
	a.once.Do(func() {
		defer a.cancel()
		now := a.flow.now()
		res := route.Result{Latency: now.Sub(a.start)}
		var f *wire.Failure
		switch {
		case err == nil:
			res.Failed = a.answer.Head.Status >= http.StatusInternalServerError
			res.Report, res.HasReport = ReportOf(a.answer.Head.Report), true
		case errors.As(err, &f):
			res.Outcome = types.Outcome(f.Outcome)
			res.Report, res.HasReport = ReportOf(f.Report), true
			res.Failed = !res.Outcome.ProvesNotRun() && res.Outcome != types.Canceled
		default:
			res.Outcome = explain(a.ctx, err).Outcome()
			res.Failed = res.Outcome != types.Canceled
		}
		a.pool.finish(now, a.token, res)
		if res.HasReport && a.flow.opts.Observe != nil {
			a.flow.opts.Observe(a.target, res.Report)
		}
	})
}

// ReportOf returns the load report in w.
func ReportOf(w wire.Report) types.Report {
	return types.NewReport(types.ReportSpec{
		InFlight: w.InFlight, Queued: w.Queued, Limit: w.Limit,
		Latency: time.Duration(w.Latency) * time.Microsecond, Draining: w.Draining, Incarnation: w.Incarnation,
	})
}

// attemptBody ends the attempt when the answer's body is closed.
type attemptBody struct {
	a    *attempt
	body io.ReadCloser
	err  error
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *attemptBody) Close() error {
	err := b.body.Close()
	b.a.finish(b.err)
	return err
}

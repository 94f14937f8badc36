package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
	"trefoilthread/io/wire"
)

// hopHeaders are the headers of RFC 9110, section 7.6.1, that belong to one
// connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopHeaders removes the headers that must not be passed on, also those
// that the Connection header names.
func StripHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// Do runs a call on the target once the gate admits it. The error is a
// *wire.Failure; an outcome that proves "not run" is only given before the
// request is handed to the HTTP client.
func (l *Local) Do(ctx context.Context, head *wire.CallHead, body io.Reader) (*wire.Answer, error) {
	now := l.now()
	deadline := now.Add(time.Duration(head.Timeout) * time.Microsecond)
	c, err := CallOf(head, deadline)
	if err != nil {
		return nil, l.refuse(types.BadRequest, err.Error())
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	ticket, err := l.admitCall(ctx, c)
	if err != nil {
		cancel()
		return nil, err
	}
	if o, reason := l.opts.Enter(c.Fingerprint()); o != types.Done {
		cancel()
		l.release(ticket, 0, true)
		f := l.refuse(o, reason)
		f.Trial = o == types.NotRun
		return nil, f
	}
	run := &run{local: l, ctx: ctx, cancel: cancel, ticket: ticket, start: l.now(), call: c}
	l.count(1)
	ans, err := run.send(ctx, head, body)
	if err != nil {
		run.finish(false)
		return nil, err
	}
	return ans, nil
}

// CallOf returns the call that head describes.
func CallOf(h *wire.CallHead, deadline time.Time) (types.Call, error) {
	return types.NewCall(types.CallSpec{
		ID: h.ID, Service: types.ServiceName(h.Service), Method: h.Method, Path: h.Path,
		Class: types.NewClass(h.Urgent, types.Runs(h.Runs)), Deadline: deadline, Worth: h.Worth,
		Depth: h.Depth, Key: h.Key, Fingerprint: types.Fingerprint(h.Print), TriesLeft: h.Tries,
	})
}

// run is one call that occupies a slot.
type run struct {
	local  *Local
	ctx    context.Context
	cancel context.CancelFunc
	ticket admit.Ticket
	start  time.Time
	call   types.Call
	once   sync.Once

	exchange *exchange // nil until the request is handed to the HTTP client
}

func (r *run) send(ctx context.Context, head *wire.CallHead, body io.Reader) (*wire.Answer, error) {
	l := r.local
	if body == nil {
		body = http.NoBody
	}
	// The wrapper hides the body's type. net/http sends a request with an
	// Idempotency-Key again on a new connection if it can read the body anew;
	// that must not happen for calls that run at most once.
	rc := &onceBody{r: body}
	trace, ex := l.stalls.trace()
	r.exchange = ex
	client, addr := l.connection()
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), head.Method, "http://"+addr+head.Path, rc)
	if err != nil {
		return nil, l.refuse(types.BadRequest, err.Error())
	}
	req.ContentLength = head.Length
	for k, v := range head.Header {
		req.Header[k] = v
	}
	if head.Host != "" {
		req.Host = head.Host
	}
	StripHopHeaders(req.Header)
	req.Header.Set("Trefoil-Request", head.ID)
	req.Header.Set("Trefoil-Timeout", strconv.FormatInt(r.call.Remaining(l.now()).Milliseconds(), 10)+"ms")
	req.Header.Set("Trefoil-Depth", strconv.Itoa(head.Depth))

	resp, err := client.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			l.CheckDead()
		}
		f := l.failure(ctx, err)
		f.Stalled = ex.isStalled()
		return nil, f
	}
	StripHopHeaders(resp.Header)
	ans := &wire.Answer{Head: wire.AnswerHead{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Report: l.WireReport(),
	}}
	ans.Body = &runBody{run: r, ctx: ctx, body: resp.Body, ok: resp.StatusCode < http.StatusInternalServerError}
	return ans, nil
}

// connection returns the client for the target and the target's address.
func (l *Local) connection() (*http.Client, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.http, l.ann.Address
}

// failure explains a call that was handed to the HTTP client and got no whole
// answer. It may have run.
func (l *Local) failure(ctx context.Context, err error) *wire.Failure {
	f := &wire.Failure{Outcome: uint8(types.Unknown), Reason: "target: " + err.Error(), Report: l.WireReport()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Outcome, f.Reason = uint8(types.DeadlineExceeded), "deadline passed while the target ran the call"
	case ctx.Err() != nil:
		f.Outcome, f.Reason = uint8(types.Canceled), "canceled while the target ran the call"
	}
	return f
}

func (r *run) finish(ok bool) {
	r.once.Do(func() {
		l := r.local
		how := Broken
		if ok {
			how = Whole
		} else if r.ctx.Err() != nil {
			how = GivenUp
		}
		r.cancel()
		if r.exchange != nil {
			r.exchange.end(how == Whole, l.now().Sub(r.start))
		}
		l.opts.Leave(r.call.Fingerprint(), how)
		took := l.now().Sub(r.start)
		if how == GivenUp {
			// The target needs a moment to see that its request was canceled; the
			// slot is not free before.
			l.opts.Clock.AfterFunc(cancelGrace, func() { r.leave(took, ok) })
			return
		}
		r.leave(took, ok)
	})
}

// cancelGrace is how long a canceled request keeps its slot.
const cancelGrace = 20 * time.Millisecond

func (r *run) leave(took time.Duration, ok bool) {
	r.local.count(-1)
	r.local.release(r.ticket, took, !ok)
}

func (l *Local) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running += n
}

// runBody is the answer's body; closing it frees the slot.
type runBody struct {
	run  *run
	ctx  context.Context
	body io.ReadCloser
	ok   bool
	eof  bool
}

// Read implements io.Reader. An error other than io.EOF is a *wire.Failure.
func (b *runBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.eof = true
		return n, io.EOF
	}
	if b.ctx.Err() == nil {
		b.run.local.CheckDead()
	}
	return n, b.run.local.failure(b.ctx, err)
}

// Close implements io.Closer.
func (b *runBody) Close() error {
	err := b.body.Close()
	b.run.finish(b.ok && b.eof)
	return err
}

// onceBody is a request body that net/http can't rewind.
type onceBody struct {
	r io.Reader
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }

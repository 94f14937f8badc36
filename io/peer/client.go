package peer

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"trefoilthread/io/ring"
	"trefoilthread/io/wire"
)

const kindPing = "ping"

// ErrRefused marks control messages that the other daemon refused.
var ErrRefused = errors.New("refused by peer")

// Call sends a call to the daemon at addr and returns its answer. The body of
// the request is read until io.EOF; body may be nil. Cancelling ctx resets the
// stream; it must stay alive until the answer's body is closed.
func (n *Node) Call(ctx context.Context, addr string, head *wire.CallHead, body io.Reader) (*wire.Answer, error) {
	l := n.link(addr)
	conn, err := l.get(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	s, err := conn.OpenStream()
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "open stream to %s", addr), ErrNotSent)
	}
	n.watcher.begin(conn)
	ex := &exchange{watcher: n.watcher, conn: conn, s: s}
	ex.stop = context.AfterFunc(ctx, ex.reset)
	fw := wire.NewWriter(s)
	if err := fw.Message(wire.Head, head); err != nil {
		ex.close()
		return nil, ex.explain(ctx, err)
	}
	go func() {
		if err := sendBody(fw, body); err != nil {
			s.CancelWrite(codeCanceled)
			return
		}
		_ = s.Close()
	}()
	ans, err := ex.answer()
	if err != nil {
		ex.close()
		return nil, ex.explain(ctx, err)
	}
	return ans, nil
}

func sendBody(fw *wire.Writer, body io.Reader) error {
	if body == nil {
		return fw.End()
	}
	pooled := ring.Buffer()
	defer ring.Free(pooled)
	buf := *pooled
	for {
		k, err := body.Read(buf)
		if werr := fw.Body(buf[:k]); werr != nil {
			return werr
		}
		if errors.Is(err, io.EOF) {
			return fw.End()
		}
		if err != nil {
			return err
		}
	}
}

// exchange is one call in progress on a stream.
type exchange struct {
	watcher *watcher
	conn    *liveConn
	s       *quic.Stream
	stop    func() bool
	once    sync.Once
}

func (e *exchange) answer() (*wire.Answer, error) {
	r := wire.NewReader(e.s)
	t, size, err := r.Next()
	if err != nil {
		return nil, err
	}
	e.watcher.received(e.conn)
	switch t {
	case wire.Head:
		ans := &wire.Answer{}
		if err := r.Message(size, &ans.Head); err != nil {
			return nil, err
		}
		ans.Body = &answerBody{ex: e, r: wire.NewBodyReader(r)}
		return ans, nil
	case wire.Fail:
		f := &wire.Failure{}
		if err := r.Message(size, f); err != nil {
			return nil, err
		}
		return nil, f
	}
	return nil, errors.Wrapf(wire.ErrFrame, "answer opened with type %d", t)
}

func (e *exchange) reset() {
	e.s.CancelRead(codeCanceled)
	e.s.CancelWrite(codeCanceled)
}

func (e *exchange) close() {
	e.once.Do(func() {
		e.stop()
		e.reset()
		e.watcher.end(e.conn)
	})
}

// explain prefers the reason why an exchange broke to the symptom.
func (e *exchange) explain(ctx context.Context, err error) error {
	var f *wire.Failure
	if errors.As(err, &f) {
		return err
	}
	if cerr := ctx.Err(); cerr != nil {
		return cerr
	}
	var app *quic.ApplicationError
	if errors.As(err, &app) && app.ErrorCode == codeStalled && !app.Remote {
		return errors.Mark(err, ErrStalled)
	}
	return err
}

// answerBody reads the body of an answer and ends the exchange when closed.
type answerBody struct {
	ex *exchange
	r  *wire.BodyReader
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if n > 0 || errors.Is(err, io.EOF) {
		b.ex.watcher.received(b.ex.conn)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.ex.close()
	return nil
}

// Control sends a control message of the given kind and decodes the reply into
// reply, which may be nil. A refusal matches ErrRefused.
func (n *Node) Control(ctx context.Context, addr, kind string, msg, reply any) error {
	l := n.link(addr)
	conn, err := l.get(ctx)
	if err != nil {
		return err
	}
	n.watcher.begin(conn)
	defer n.watcher.end(conn)
	return errors.Wrapf(n.exchange(ctx, conn.Conn, kind, msg, reply), "%s to daemon %s", kind, addr)
}

func (n *Node) exchange(ctx context.Context, conn *quic.Conn, kind string, msg, reply any) error {
	head := wire.ControlHead{Kind: kind}
	if msg != nil {
		p, err := cbor.Marshal(msg)
		if err != nil {
			return errors.Wrap(err, "encode control message")
		}
		head.Message = p
	}
	s, err := conn.OpenStream()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(codeCanceled)
		s.CancelWrite(codeCanceled)
	})
	defer stop()
	if err := wire.NewWriter(s).Message(wire.Control, &head); err != nil {
		return err
	}
	_ = s.Close()
	r := wire.NewReader(s)
	t, size, err := r.Next()
	if err != nil {
		return err
	}
	if t != wire.Head {
		return errors.Wrapf(wire.ErrFrame, "reply opened with type %d", t)
	}
	var rep wire.ControlReply
	if err := r.Message(size, &rep); err != nil {
		return err
	}
	if rep.Refused != "" {
		return errors.Mark(errors.Newf("%s", rep.Refused), ErrRefused)
	}
	if reply == nil || len(rep.Message) == 0 {
		return nil
	}
	return errors.Wrap(cbor.Unmarshal(rep.Message, reply), "decode reply")
}

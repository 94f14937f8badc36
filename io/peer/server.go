package peer

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"trefoilthread/core/types"
	"trefoilthread/io/ring"
	"trefoilthread/io/wire"
)

// serve handles the streams that a peer opens on conn.
func (n *Node) serve(conn *quic.Conn) {
	defer n.wg.Done()
	for {
		s, err := conn.AcceptStream(n.ctx)
		if err != nil {
			_ = conn.CloseWithError(codeClosing, "daemon closing")
			return
		}
		n.wg.Add(1)
		go n.serveStream(s)
	}
}

// serveStream handles one exchange. A malformed stream is reset and harms no
// other stream of its connection.
func (n *Node) serveStream(s *quic.Stream) {
	defer n.wg.Done()
	r := wire.NewReader(s)
	t, size, err := r.Next()
	if err != nil {
		n.malformed(s, err)
		return
	}
	switch t {
	case wire.Head:
		var head wire.CallHead
		if err := r.Message(size, &head); err != nil {
			n.malformed(s, err)
			return
		}
		n.serveCall(s, &head, wire.NewBodyReader(r))
	case wire.Control:
		var head wire.ControlHead
		if err := r.Message(size, &head); err != nil {
			n.malformed(s, err)
			return
		}
		n.serveControl(s, &head)
	default:
		n.malformed(s, errors.Wrapf(wire.ErrFrame, "stream opened with type %d", t))
	}
}

func (n *Node) malformed(s *quic.Stream, err error) {
	s.CancelRead(codeMalformed)
	s.CancelWrite(codeMalformed)
	if errors.Is(err, wire.ErrFrame) {
		n.opts.Log.WithError(err).Warn("peer sent a malformed stream")
	}
}

func (n *Node) serveCall(s *quic.Stream, head *wire.CallHead, body *wire.BodyReader) {
	n.serving.Add(1)
	defer n.serving.Add(-1)
	// The stream's context ends when the peer resets the stream or is gone.
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	fw := wire.NewWriter(s)
	ans, err := n.opts.Call(ctx, head, body)
	if err != nil {
		s.CancelRead(codeCanceled)
		n.sendFailure(s, fw, err)
		return
	}
	defer func() {
		_ = ans.Body.Close()
	}()
	if err := fw.Message(wire.Head, &ans.Head); err != nil {
		s.CancelWrite(codeCanceled)
		return
	}
	pooled := ring.Buffer()
	defer ring.Free(pooled)
	buf := *pooled
	for {
		k, err := ans.Body.Read(buf)
		if k > 0 {
			if werr := fw.Body(buf[:k]); werr != nil {
				s.CancelWrite(codeCanceled)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			n.sendFailure(s, fw, err)
			return
		}
	}
	if err := fw.End(); err != nil {
		s.CancelWrite(codeCanceled)
		return
	}
	s.CancelRead(codeCanceled)
	_ = s.Close()
}

func (n *Node) sendFailure(s *quic.Stream, fw *wire.Writer, err error) {
	var f *wire.Failure
	if !errors.As(err, &f) {
		f = &wire.Failure{Outcome: uint8(types.Unknown), Reason: err.Error()}
	}
	if werr := fw.Message(wire.Fail, f); werr != nil {
		s.CancelWrite(codeCanceled)
		return
	}
	_ = s.Close()
}

func (n *Node) serveControl(s *quic.Stream, head *wire.ControlHead) {
	s.CancelRead(codeCanceled)
	reply := &wire.ControlReply{}
	if head.Kind != kindPing {
		reply = n.opts.Control(s.Context(), head)
	}
	if err := wire.NewWriter(s).Message(wire.Head, reply); err != nil {
		s.CancelWrite(codeCanceled)
		return
	}
	_ = s.Close()
}

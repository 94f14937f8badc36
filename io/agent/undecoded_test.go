package agent_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/io/agent"
	"trefoilthread/io/mesh"
)

// Kinds of frames between agents, as in package mesh.
const (
	frameHello  = 1
	frameCall   = 2
	frameAnswer = 4
)

// garbage is CBOR that is no message: an array.
var garbage = []byte{0x81, 0x01}

// frame returns a frame: the length of the payload, the kind, the number of the call, the
// payload.
func frame(kind byte, call uint64, payload []byte) []byte {
	buf := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	return append(binary.BigEndian.AppendUint64(append(buf, kind), call), payload...)
}

// nextFrame returns the kind and the call of the next frame.
func nextFrame(r io.Reader) (kind byte, call uint64, err error) {
	head := make([]byte, len(frame(0, 0, nil)))
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, 0, err
	}
	_, err = io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(head)))
	return head[4], binary.BigEndian.Uint64(head[5:]), err
}

// bringCall has an agent named peer send a call that can't be decoded.
func bringCall(t *testing.T, a *agent.Agent, ln net.Listener) (from string) {
	is := is.New(t)
	go func() { _ = agent.ServeMesh(a, ln) }()
	hello, err := cbor.Marshal(&mesh.Hello{Node: "peer"})
	is.NoErr(err)
	nc, err := net.Dial("tcp4", ln.Addr().String())
	is.NoErr(err)
	defer func() { _ = nc.Close() }()
	_, err = nc.Write(append(frame(frameHello, 0, hello), frame(frameCall, 7, garbage)...))
	is.NoErr(err)
	kind, call, err := nextFrame(nc)
	is.NoErr(err)
	is.Equal(kind, byte(frameAnswer))
	is.Equal(call, uint64(7))
	return "peer"
}

// bringAnswer has an agent send an answer that can't be decoded.
func bringAnswer(t *testing.T, a *agent.Agent, ln net.Listener) (from string) {
	return bringPayload(t, a, ln, garbage)
}

// bringInvalid has an agent send an answer whose response isn't valid.
func bringInvalid(t *testing.T, a *agent.Agent, ln net.Listener) (from string) {
	payload, err := cbor.Marshal(&mesh.Answer{Status: 600})
	is.New(t).NoErr(err)
	return bringPayload(t, a, ln, payload)
}

// bringPayload has an agent answer a call with a payload.
func bringPayload(t *testing.T, a *agent.Agent, ln net.Listener, payload []byte) (from string) {
	is := is.New(t)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		for {
			kind, call, err := nextFrame(nc)
			if err != nil {
				return
			}
			if kind == frameCall {
				_, _ = nc.Write(frame(frameAnswer, call, payload)) // an error shows in the call
			}
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	is.True(errors.Is(agent.CallPeer(ctx, a, ln.Addr().String()), mesh.ErrUndecoded))
	return ln.Addr().String()
}

// Guards against messages of another agent that can't be decoded and that neither the log
// nor the counter tells of: nobody would find out why calls end.
func TestUndecodedMessagesAreLoggedAndCounted(t *testing.T) {
	for name, bring := range map[string]func(*testing.T, *agent.Agent, net.Listener) string{
		"call": bringCall, "answer": bringAnswer, "invalid answer": bringInvalid,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			lines := make(chan *log.Entry, 9)
			scope := tally.NewTestScope("", nil)
			a := agent.New(agent.Options{
				Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000"},
				Clock:    clockwork.NewRealClock(), Scope: scope,
				Log: &log.Logger{Level: log.WarnLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
					lines <- e
					return nil
				})},
			})
			from := bring(t, a, ln)
			is.Equal(len(lines), 1)
			line := <-lines
			is.Equal(line.Message, "message of an agent can't be decoded")
			is.Equal(line.Fields.Get("from"), from)
			is.True(line.Fields.Get("error") != nil)
			counted, ok := scope.Snapshot().Counters()["messages_undecoded+"]
			is.True(ok)
			is.Equal(counted.Value(), int64(1))
		})
	}
}

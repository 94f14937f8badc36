package wire_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/io/wire"
)

// stream returns the frames of a small call, as a valid start for mutations.
func stream(f *testing.F) []byte {
	f.Helper()
	var b bytes.Buffer
	w := wire.NewWriter(&b)
	for _, err := range []error{
		w.Message(wire.Head, wire.CallHead{ID: "a", Service: "rota", Method: "GET", Path: "/", Timeout: 1000}),
		w.Body([]byte("hello")), w.Body([]byte("world")), w.End(),
	} {
		if err != nil {
			f.Fatal(err)
		}
	}
	return b.Bytes()
}

// Guards against a stream of another daemon that makes the reader panic, pass
// on a body whose End frame does not confirm its length, or return more bytes
// than were received.
func FuzzFrames(f *testing.F) {
	whole := stream(f)
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{byte(wire.Fail), 0, 0, 0, 1, 0xa0})
	f.Add([]byte{byte(wire.Body), 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := wire.NewReader(bytes.NewReader(data))
		kind, n, err := r.Next()
		if err != nil {
			return
		}
		rest := data[5:]
		if kind == wire.Head {
			var h wire.CallHead
			if err := r.Message(n, &h); err != nil {
				return
			}
			rest = rest[n:]
		} else {
			r = wire.NewReader(bytes.NewReader(data))
			rest = data
		}
		got, err := io.ReadAll(wire.NewBodyReader(r))
		want, whole := body(rest)
		if !bytes.HasPrefix(want, got) {
			t.Fatalf("read %q, the frames carry %q", got, want)
		}
		if err == nil && (!whole || len(got) != len(want)) {
			t.Fatalf("body of %d bytes taken as whole, the frames carry %d", len(got), len(want))
		}
		var fail *wire.Failure
		if err != nil && !errors.As(err, &fail) && whole {
			t.Fatalf("whole body refused: %v", err)
		}
	})
}

// body decodes body frames independently of the reader. It returns the bytes
// up to the first other frame, and whether that is an End frame with their
// number.
func body(data []byte) (out []byte, whole bool) {
	for len(data) >= 5 {
		kind, n := wire.Type(data[0]), int64(binary.BigEndian.Uint32(data[1:]))
		data = data[5:]
		switch {
		case kind == wire.End:
			return out, n == 8 && len(data) >= 8 && binary.BigEndian.Uint64(data) == uint64(len(out))
		case kind != wire.Body || n > wire.MaxBody:
			return out, false
		}
		part := data[:min(n, int64(len(data)))]
		out, data = append(out, part...), data[len(part):]
	}
	return out, false
}

// Guards against a CBOR message of another daemon that makes decoding panic,
// or that changes when it is passed on.
func FuzzMessages(f *testing.F) {
	kinds := []func() any{
		func() any { return new(wire.CallHead) }, func() any { return new(wire.AnswerHead) },
		func() any { return new(wire.Failure) }, func() any { return new(wire.ControlHead) },
		func() any { return new(wire.ControlReply) }, func() any { return new(wire.Join) },
		func() any { return new(wire.Heartbeat) }, func() any { return new(wire.MemberReply) },
		func() any { return new(wire.Members) }, func() any { return new(wire.Document) },
		func() any { return new(wire.ConfigAt) }, func() any { return new(wire.Suspects) },
		func() any { return new(wire.StatusReply) }, func() any { return new(wire.Drain) },
		func() any { return new(wire.Drained) },
	}
	for i, k := range kinds {
		b, err := cbor.Marshal(k())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), b)
	}
	b, err := cbor.Marshal(wire.CallHead{ID: "a", Worth: math.NaN(), Header: map[string][]string{"A": {"b"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint8(0), b)
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		fresh := kinds[int(kind)%len(kinds)]
		m := fresh()
		if err := wire.NewReader(bytes.NewReader(data)).Message(len(data), m); err != nil {
			if !errors.Is(err, wire.ErrFrame) && !errors.Is(err, io.EOF) {
				t.Fatalf("error of another kind: %v", err)
			}
			return
		}
		first := encode(t, m)
		again := fresh()
		if err := wire.NewReader(bytes.NewReader(first)).Message(len(first), again); err != nil {
			t.Fatalf("own encoding of %x refused: %v", data, err)
		}
		// Maps have no order, so the second decoding is compared in a
		// deterministic form.
		if second := encode(t, again); !bytes.Equal(first, second) {
			t.Fatalf("message changed from %x to %x", first, second)
		}
		if j, ok := m.(*wire.Join); ok && wire.TargetOf(j.Target.Core()) != j.Target {
			t.Fatalf("target changed: %+v", j.Target)
		}
	})
}

func encode(t *testing.T, m any) []byte {
	t.Helper()
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	b, err := mode.Marshal(m)
	if err != nil {
		t.Fatalf("decoded message cannot be encoded: %v", err)
	}
	return b
}

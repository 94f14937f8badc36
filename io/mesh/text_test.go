package mesh_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

// rawText is a value in ISO 8859-1: bytes that aren't UTF-8.
const rawText = "Jos\xe9"

const (
	wireHello   = 1
	wireCall    = 2
	wireAnswer  = 4
	wirePing    = 6
	wirePong    = 7
	wireQuery   = 8
	wireNotice  = 5
	wireWelcome = 10
)

// garbage is CBOR that is no message: an array.
var garbage = []byte{0x81, 0x01}

// wire returns a frame.
func wire(kind byte, call uint64, payload []byte) []byte {
	buf := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	buf = append(buf, kind)
	buf = binary.BigEndian.AppendUint64(buf, call)
	return append(buf, payload...)
}

// wireOf returns a frame with the CBOR of a message.
func wireOf(t *testing.T, kind byte, call uint64, msg any) []byte {
	t.Helper()
	payload, err := cbor.Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	return wire(kind, call, payload)
}

// receiveNumbered reads one frame with the number of its call.
func receiveNumbered(r io.Reader) (kind byte, call uint64, payload []byte, err error) {
	head := make([]byte, 13)
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, 0, nil, err
	}
	payload = make([]byte, binary.BigEndian.Uint32(head))
	_, err = io.ReadFull(r, payload)
	return head[4], binary.BigEndian.Uint64(head[5:]), payload, err
}

// accept runs f for the first connection to a new address.
func accept(t *testing.T, f func(nc net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		f(nc)
	}()
	return ln.Addr().String()
}

// open connects to a server with a hello.
func open(t *testing.T, addr string, hello []byte) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	write(t, nc, hello)
	return nc
}

func write(t *testing.T, nc net.Conn, frame []byte) {
	t.Helper()
	if _, err := nc.Write(frame); err != nil {
		t.Fatal(err)
	}
}

// Guards against text that isn't UTF-8 and ends the calls of others: a header value in
// ISO 8859-1 closed the connection, in a call and in an answer. The first call of a
// connection has such text, so that its peer's version isn't known yet.
func TestTextThatIsNotUTF8Arrives(t *testing.T) {
	is := is.New(t)
	finish, started := make(chan struct{}), make(chan struct{})
	_, addr := serve(t, func(_ context.Context, _ mesh.Hello, c *mesh.CallHead) *mesh.Answer {
		if c.ID == "slow" {
			close(started)
			<-finish
		}
		return &mesh.Answer{Status: 200, Phrase: c.Path, Header: c.Header}
	})
	c := client(t, mesh.ClientOptions{})
	header := httpw.Header{{Name: "X-Guest", Value: rawText}}
	check := func() {
		ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: rawText, Path: "/" + rawText, Header: header})
		is.NoErr(err)
		is.Equal(ans.Phrase, "/"+rawText)
		is.Equal(ans.Header, header)
	}
	check()
	slow := make(chan error, 1)
	go func() {
		_, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "slow"})
		slow <- err
	}()
	<-started
	check()
	close(finish)
	is.NoErr(<-slow)
}

// Guards against a message that can't be decoded and ends the calls of others at the
// daemon that gets it.
func TestServerOutlivesUndecodableMessages(t *testing.T) {
	is := is.New(t)
	undecoded := make(chan error, 9)
	_, addr := serveWith(t, mesh.ServerOptions{
		Serve: func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer { return &mesh.Answer{Status: 200} },
		Undecoded: func(_ mesh.Hello, err error) *mesh.Answer {
			undecoded <- err
			return &mesh.Answer{Result: mesh.Refused, Reason: "undecoded"}
		},
	})
	nc := open(t, addr, wire(wireHello, 0, garbage))
	write(t, nc, wire(wireNotice, 0, garbage))
	write(t, nc, wire(wireQuery, 8, garbage))
	write(t, nc, wire(wireCall, 9, garbage))
	kind, call, _, err := receiveNumbered(nc)
	is.NoErr(err)
	is.Equal(kind, byte(wireNews))
	is.Equal(call, uint64(8))
	kind, call, payload, err := receiveNumbered(nc)
	is.NoErr(err)
	is.Equal(kind, byte(wireAnswer))
	is.Equal(call, uint64(9))
	var ans mesh.Answer
	is.NoErr(cbor.Unmarshal(payload, &ans))
	is.Equal(ans.Result, mesh.Refused)
	is.Equal(len(undecoded), 4)
	write(t, nc, wireOf(t, wireCall, 10, &mesh.CallHead{ID: "1"}))
	_, call, payload, err = receiveNumbered(nc)
	is.NoErr(err)
	is.Equal(call, uint64(10))
	is.NoErr(cbor.Unmarshal(payload, &ans))
	is.Equal(ans.Status, 200)
}

// Guards against an answer or a notice that can't be decoded and ends the calls of others
// at the daemon that gets it.
func TestClientOutlivesUndecodableMessages(t *testing.T) {
	is := is.New(t)
	addr := accept(t, func(nc net.Conn) {
		for {
			kind, call, payload, err := receiveNumbered(nc)
			if err != nil {
				return
			}
			var head mesh.CallHead
			if kind != wireCall || cbor.Unmarshal(payload, &head) != nil {
				continue
			}
			reply := wire(wireAnswer, call, garbage)
			if head.ID == "good" {
				reply = wireOf(t, wireAnswer, call, &mesh.Answer{Status: 200})
			}
			// An error shows in the call.
			_, _ = nc.Write(append(wire(wireNotice, 0, garbage), reply...))
		}
	})
	undecoded := make(chan error, 9)
	c := client(t, mesh.ClientOptions{Undecoded: func(_ string, err error) { undecoded <- err }})
	_, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "bad"})
	is.True(errors.Is(err, mesh.ErrUndecoded))
	ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "good"})
	is.NoErr(err) // the connection is the one that the peer accepted
	is.Equal(ans.Status, 200)
	is.Equal(len(undecoded), 3)
}

// Guards against calls that are lost beside a daemon of the version before, which closes a
// connection that brings text that isn't UTF-8: such a call isn't sent to it.
func TestRawTextIsNotSentToOldServer(t *testing.T) {
	is := is.New(t)
	addr := accept(t, func(nc net.Conn) {
		for {
			kind, call, payload, err := receiveNumbered(nc)
			if err != nil {
				return
			}
			switch kind { // an error of a write shows in the call
			case wirePing:
				_, _ = nc.Write(wire(wirePong, call, nil))
			case wireCall:
				if cbor.Unmarshal(payload, new(mesh.CallHead)) != nil {
					return
				}
				_, _ = nc.Write(wireOf(t, wireAnswer, call, &mesh.Answer{Status: 200}))
			}
		}
	})
	c := client(t, mesh.ClientOptions{})
	for range 2 { // with the peer's version unknown, and known
		_, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "1", Header: httpw.Header{{Name: "X-Guest", Value: rawText}}})
		is.True(errors.Is(err, mesh.ErrOldPeer))
		ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "2"})
		is.NoErr(err)
		is.Equal(ans.Status, 200)
	}
}

// Guards against answers that a daemon of the version before can't decode: it closes the
// connection with all its calls. It also gets no frame of a kind that it doesn't know.
func TestRawTextIsNotAnsweredToOldClient(t *testing.T) {
	is := is.New(t)
	_, addr := serve(t, func(_ context.Context, _ mesh.Hello, c *mesh.CallHead) *mesh.Answer {
		if c.ID == "refused" {
			return &mesh.Answer{Result: mesh.Refused, Reason: rawText, Instead: &mesh.Presence{Target: rawText}}
		}
		return &mesh.Answer{Status: 200, Header: c.Header}
	})
	nc := open(t, addr, wireOf(t, wireHello, 0, map[int]any{1: "old"}))
	call := func(id, value string) mesh.Answer {
		write(t, nc, wireOf(t, wireCall, 3, &mesh.CallHead{ID: id, Header: httpw.Header{{Name: "X-Guest", Value: value}}}))
		kind, _, payload, err := receiveNumbered(nc)
		is.NoErr(err)
		is.Equal(kind, byte(wireAnswer))
		var ans mesh.Answer
		is.NoErr(cbor.Unmarshal(payload, &ans)) // strict, as the old decoder was
		return ans
	}
	is.Equal(call("1", rawText).Result, mesh.Broken)
	is.Equal(call("refused", "").Result, mesh.Refused)
	is.Equal(call("2", "Jose").Status, 200)
}

// Guards against a field of a message that is left out of the check for text that an old
// daemon can't decode.
func TestEachTextIsChecked(t *testing.T) {
	for _, msg := range []any{
		&mesh.CallHead{Header: make(httpw.Header, 1)}, &mesh.Answer{Header: make(httpw.Header, 1), Instead: new(mesh.Presence)},
		new(mesh.Hello), new(mesh.Query), &mesh.News{Items: make([]mesh.Item, 1)},
		&mesh.Notice{Suspects: []mesh.Suspect{{Deaths: make([]mesh.Death, 1)}}},
	} {
		if mesh.HasRawText(msg) {
			t.Errorf("%T: text found in an empty message", msg)
		}
		eachText(reflect.ValueOf(msg), func(text reflect.Value) {
			text.SetString(rawText)
			if !mesh.HasRawText(msg) {
				t.Errorf("%T: a text isn't checked: %+v", msg, msg)
			}
			text.SetString("")
		})
	}
}

// eachText calls f for each string in v that can be set.
func eachText(v reflect.Value, f func(reflect.Value)) {
	switch v.Kind() {
	case reflect.String:
		if v.CanSet() {
			f(v)
		}
	case reflect.Pointer:
		if !v.IsNil() {
			eachText(v.Elem(), f)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			eachText(v.Field(i), f)
		}
	case reflect.Slice:
		for i := range v.Len() {
			eachText(v.Index(i), f)
		}
	}
}

// FuzzText guards against bytes of a call or an answer that change on their way, and against
// a message that passes for one that an old daemon can decode and isn't.
func FuzzText(f *testing.F) {
	f.Add("id", "GET", "/", "X-Guest", "Jose")
	f.Add("id", "GET", "/", "X-Guest", rawText)
	f.Add("\xff", "M\x80", "/\xc0\xaf", "X-\xfe", "\xed\xa0\x80")
	f.Add("", "", "", "", "\x00\x7f\x80\xff\xe9\xf0\x9f")
	f.Fuzz(func(t *testing.T, id, method, path, name, value string) {
		header := httpw.Header{{Name: name, Value: value}, {Name: name, Value: path}}
		roundTrip(t, wireCall, &mesh.CallHead{ID: id, Method: method, Path: path, Header: header, Body: []byte(value)}, new(mesh.CallHead), new(mesh.CallHead))
		roundTrip(t, wireAnswer, &mesh.Answer{Reason: id, Phrase: method, Header: header}, new(mesh.Answer), new(mesh.Answer))
	})
}

// roundTrip sends a message through the codec into got, and through the old strict decoder
// into old.
func roundTrip(t *testing.T, kind byte, msg, got, old any) {
	t.Helper()
	buf, err := mesh.Encode(kind, msg)
	if err != nil {
		t.Fatal(err)
	}
	if err := mesh.Decode(bufio.NewReader(bytes.NewReader(buf)), got); err != nil {
		t.Fatal(err)
	}
	if again, err := mesh.Encode(kind, got); err != nil || !bytes.Equal(again, buf) {
		t.Fatalf("%+v became %+v: %v", msg, got, err)
	}
	if strict := cbor.Unmarshal(buf[13:], old); (strict != nil) != mesh.HasRawText(msg) {
		t.Fatalf("strict decoder: %v, but HasRawText is %v of %+v", strict, mesh.HasRawText(msg), msg)
	}
}

// FuzzDecode guards against bytes that make a decoder panic.
func FuzzDecode(f *testing.F) {
	f.Add(wire(wireCall, 1, garbage))
	f.Add(wire(wireCall, 1, []byte{0xa1, 0x01, 0x62, 0xe9, 0x80})) // id of two bytes that aren't UTF-8
	f.Add(wire(wireAnswer, 1, []byte{0xa1, 0x07, 0x81, 0x82, 0x61, 0x58, 0x61, 0xe9}))
	f.Add(wire(wireWelcome, 0, []byte{0xa1, 0x01, 0x01}))
	f.Add([]byte{0, 0, 0, 9, wireCall})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		for _, msg := range []any{new(mesh.CallHead), new(mesh.Answer), new(mesh.Hello), new(mesh.Query), new(mesh.News), new(mesh.Notice)} {
			_ = mesh.Decode(bufio.NewReader(bytes.NewReader(raw)), msg) // only a panic is a failure
		}
	})
}

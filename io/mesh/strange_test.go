package mesh_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/mesh"
)

// Kinds of frames. Those from unknownFrame on are of no present version.
const (
	helloFrame   = 1
	callFrame    = 2
	cancelFrame  = 3
	pingFrame    = 6
	queryFrame   = 8
	unknownFrame = 200
)

// frameOf returns the head of a frame with n bytes of payload.
func frameOf(kind byte, n uint32) []byte {
	return append(binary.BigEndian.AppendUint32(nil, n), kind, 0, 0, 0, 0, 0, 0, 0, 1)
}

// hello returns the first frame of a connection.
func hello(t *testing.T) []byte {
	t.Helper()
	frame, err := mesh.Encode(helloFrame, &mesh.Hello{Node: "b", Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// dialRaw returns a connection on which the test writes its own bytes.
func dialRaw(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against bytes that are no frames of a peer, or frames without end, that are read for
// as long as they come.
func TestStrangeBytesEndTheConnection(t *testing.T) {
	random := make([]byte, 4096)
	rng := rand.New(rand.NewPCG(21, 1))
	for i := range random {
		random[i] = byte(rng.IntN(256))
	}
	for name, row := range map[string]struct{ start, repeated []byte }{
		"TLS":                    {[]byte("\x16\x03\x01\x02\x00\x01\x00"), random},
		"random bytes":           {nil, random},
		"HTTP":                   {nil, []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")},
		"zeros":                  {nil, make([]byte, 4096)},
		"unknown frames":         {nil, frameOf(unknownFrame, 0)},
		"pings without a hello":  {nil, frameOf(pingFrame, 0)},
		"call without a hello":   {frameOf(callFrame, 4096), random},
		"longest frame":          {append(hello(t), frameOf(callFrame, 1<<32-1)...), random},
		"longest unknown frame":  {append(hello(t), frameOf(unknownFrame, 1<<32-1)...), random},
		"long hello":             {frameOf(helloFrame, 70<<20), random},
		"long ping":              {append(hello(t), frameOf(pingFrame, 70<<20)...), random},
		"long cancel":            {append(hello(t), frameOf(cancelFrame, 70<<20)...), random},
		"long query":             {append(hello(t), frameOf(queryFrame, 70<<20)...), random},
		"hello that isn't CBOR":  {frameOf(helloFrame, 4096), bytes.Repeat([]byte{0xff}, 4096)},
		"longest frame of zeros": {append(hello(t), frameOf(callFrame, 1<<31)...), make([]byte, 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, addr := serve(t, echo)
			c := dialRaw(t, addr)
			go func() { _, _ = io.Copy(io.Discard, c) }() // ends with the connection
			block := bytes.Repeat(row.repeated, 1+(32<<10)/len(row.repeated))
			_, err := c.Write(row.start)
			for sent := 0; err == nil && sent < 4*maxPayload; sent += len(block) {
				_, err = c.Write(block)
			}
			is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded)) // the server has closed it
			ans, err := client(t, mesh.ClientOptions{}).Call(bounded(t), addr, &mesh.CallHead{ID: "1"})
			is.NoErr(err)
			is.Equal(ans.Result, mesh.Answered)
		})
	}
}

// maxPayload is the length of the longest payload in bytes.
const maxPayload = 80 << 20

// Guards against frames of unknown kinds that fill the memory: nothing counts them.
func TestUnknownFramesTakeNoMemory(t *testing.T) {
	const frames = 4
	is := is.New(t)
	_, addr := serve(t, echo)
	c := dialRaw(t, addr)
	block := make([]byte, 1<<20)
	_, err := c.Write(hello(t))
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, len(frameOf(0, 0)))) // the head of the welcome
	is.NoErr(err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range frames {
		_, err := c.Write(frameOf(unknownFrame, maxPayload))
		is.NoErr(err)
		for range maxPayload / len(block) {
			_, err := c.Write(block)
			is.NoErr(err)
		}
	}
	_, err = c.Write(frameOf(pingFrame, 0))
	is.NoErr(err)
	_, err = c.Read(block) // something comes: all before has been read or waits in the sockets
	is.NoErr(err)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < maxPayload)
}

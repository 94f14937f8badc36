package front_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
)

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchange gives the processor time of a small request and its response on both
// sides of a kept connection together, one at a time and pipelined.
func BenchmarkExchange(b *testing.B) {
	for _, c := range []struct {
		name  string
		depth int // requests that are sent together
	}{{"single", 1}, {"pipelined", 8}} {
		b.Run(c.name, func(b *testing.B) { benchExchange(b, c.depth) })
	}
}

func benchExchange(b *testing.B, depth int) {
	limits := httpw.Limits{HeaderBytes: 1024, BodyBytes: 1024}
	s := front.New(front.Options{
		Handle: func(context.Context, *httpw.Request) *httpw.Response {
			return &httpw.Response{Status: 200, Body: []byte("ok")}
		},
		Refuse: func(err *httpw.MessageError) *httpw.Response { return &httpw.Response{Status: err.Status()} },
		Failed: func(err error) { b.Error(err) }, Held: func(front.Hold) {}, Clock: clockwork.NewRealClock(),
		Bounds: func() front.Bounds { return front.Bounds{Message: limits, Header: patience, Idle: patience} },
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	reqs := bytes.Repeat(httpw.AppendRequest(nil, &httpw.Request{
		Method: "GET", Target: "/lookup/1", Header: httpw.Header{{Name: "Host", Value: "a.example"}},
	}), depth)
	br := bufio.NewReader(c)
	n := 0
	cpu := cpuTime()
	for b.Loop() {
		if _, err := c.Write(reqs); err != nil {
			b.Fatal(err)
		}
		for range depth {
			if _, err := httpw.ReadResponse(br, "GET", limits); err != nil {
				b.Fatal(err)
			}
		}
		n += depth
	}
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(n)/1000, "cpu-us/exchange")
	b.ReportMetric(0, "ns/op")
}

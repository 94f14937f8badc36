package mesh_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"trefoilthread/io/mesh"
)

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCapacityExchange gives the processor time of a small call on both
// sides together, to be compared with the benchmark of that name in io/peer,
// which makes the same exchange over QUIC.
func BenchmarkCapacityExchange(b *testing.B) {
	addr := benchServer(b, mesh.ServerOptions{
		Serve: func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer { return &mesh.Answer{Status: 200} },
	})
	c := benchClient(b)
	const fast = 2000
	for b.Loop() {
		cpu := cpuTime()
		for range fast {
			if _, err := c.Call(b.Context(), addr, &mesh.CallHead{ID: "9c41d07be2a35f68", Service: "bookings"}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/fast, "cpu-us/exchange")
		b.ReportMetric(0, "ns/op")
	}
}

// benchServer starts a server and returns its address.
func benchServer(b *testing.B, o mesh.ServerOptions) string {
	b.Helper()
	o.Notice, o.Opened, o.Failed = func(*mesh.Notice) {}, func(mesh.Hello) {}, func(string, error) {}
	o.Clock = clockwork.NewRealClock()
	s := mesh.NewServer(o)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	b.Cleanup(s.Close)
	return ln.Addr().String()
}

func benchClient(b *testing.B) *mesh.Client {
	b.Helper()
	c := mesh.NewClient(mesh.ClientOptions{Clock: clockwork.NewRealClock()})
	b.Cleanup(c.Close)
	return c
}

// BenchmarkCapacityUpload gives the processor time of a call with a body of 60 kB on both sides
// together: whole, as on fast links, and offered and in parts, as on a link of 11 Mbit/s.
func BenchmarkCapacityUpload(b *testing.B) {
	addr := benchServer(b, mesh.ServerOptions{Serve: func(ctx context.Context, _ mesh.Hello, call *mesh.CallHead) *mesh.Answer {
		return &mesh.Answer{Status: grant(ctx, call, func(int) {}).Status}
	}})
	for name, mbit := range map[string]float64{"whole": 0, "offered": slowMbit} {
		b.Run(name, func(b *testing.B) {
			c := benchClient(b)
			const calls = 40
			call := uploadOf(60_000)
			call.PeerLink = mbit
			for b.Loop() {
				cpu := cpuTime()
				for range calls {
					if _, err := c.Call(b.Context(), addr, call); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/calls, "cpu-us/call")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

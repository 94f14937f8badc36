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
	s := mesh.NewServer(mesh.ServerOptions{
		Serve:  func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer { return &mesh.Answer{Status: 200} },
		Notice: func(*mesh.Notice) {}, Opened: func(mesh.Hello) {}, Failed: func(string, error) {}, Clock: clockwork.NewRealClock(),
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	c := mesh.NewClient(mesh.ClientOptions{Clock: clockwork.NewRealClock()})
	defer c.Close()
	const fast = 2000
	for b.Loop() {
		cpu := cpuTime()
		for range fast {
			if _, err := c.Call(b.Context(), ln.Addr().String(), &mesh.CallHead{ID: "9c41d07be2a35f68", Service: "bookings"}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/fast, "cpu-us/exchange")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkCapacityUpload gives the processor time of a call with a body of 60 kB on both sides
// together: whole, as on fast links, and offered and in parts, as on a link of 11 Mbit/s.
func BenchmarkCapacityUpload(b *testing.B) {
	s := mesh.NewServer(mesh.ServerOptions{
		Serve: func(ctx context.Context, _ mesh.Hello, call *mesh.CallHead) *mesh.Answer {
			return &mesh.Answer{Status: grant(ctx, call, func(int) {}).Status}
		},
		Notice: func(*mesh.Notice) {}, Opened: func(mesh.Hello) {}, Failed: func(string, error) {}, Clock: clockwork.NewRealClock(),
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	for name, mbit := range map[string]float64{"whole": 0, "offered": slowMbit} {
		b.Run(name, func(b *testing.B) {
			c := mesh.NewClient(mesh.ClientOptions{Clock: clockwork.NewRealClock()})
			defer c.Close()
			const calls = 40
			call := uploadOf(60_000)
			call.PeerLink = mbit
			for b.Loop() {
				cpu := cpuTime()
				for range calls {
					if _, err := c.Call(b.Context(), ln.Addr().String(), call); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/calls, "cpu-us/call")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

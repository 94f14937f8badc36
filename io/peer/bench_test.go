package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/types"
	"trefoilthread/io/certs"
	"trefoilthread/io/logs"
	"trefoilthread/io/peer"
	"trefoilthread/io/wire"
)

// packetHeaders are the IPv4 and UDP headers.
const packetHeaders = 28

// relay forwards datagrams between one client and a daemon, and counts them.
type relay struct {
	front, back *net.UDPConn
	client      atomic.Pointer[net.UDPAddr]
	bytes       atomic.Int64
	packets     atomic.Int64
}

func newRelay(b *testing.B, to string) *relay {
	b.Helper()
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		b.Fatal(err)
	}
	r := &relay{}
	if r.front, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		b.Fatal(err)
	}
	if r.back, err = net.DialUDP("udp", nil, addr); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = r.front.Close()
		_ = r.back.Close()
	})
	go r.forward(func(p []byte) (int, error) {
		n, from, err := r.front.ReadFromUDP(p)
		if err == nil {
			r.client.Store(from)
		}
		return n, err
	}, r.back.Write)
	go r.forward(r.back.Read, func(p []byte) (int, error) { return r.front.WriteToUDP(p, r.client.Load()) })
	return r
}

func (r *relay) forward(read, write func([]byte) (int, error)) {
	p := make([]byte, 2048)
	for {
		n, err := read(p)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.bytes.Add(int64(n + packetHeaders))
		r.packets.Add(1)
		_, _ = write(p[:n])
	}
}

func node(b *testing.B, a *certs.Authority, name string) *peer.Node {
	b.Helper()
	id, err := a.Identity(name)
	if err != nil {
		b.Fatal(err)
	}
	reply, err := cbor.Marshal(wire.MemberReply{Epoch: 123456, Interval: 28_888_888, ConfigAt: 1_234_567})
	if err != nil {
		b.Fatal(err)
	}
	n, err := peer.Listen(peer.Options{
		Address: "127.0.0.1:0", Identity: id, Log: logs.Discard(),
		Control: func(context.Context, *wire.ControlHead) *wire.ControlReply {
			return &wire.ControlReply{Message: reply}
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = n.Close() })
	return n
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCapacityExchange gives the bytes on the wire of a control exchange
// and its processor time on both sides together. Bytes are counted by a relay
// with exchanges 100 ms apart, so that acknowledgements travel alone as they
// do between heartbeats; processor time is measured without the relay. With
// "first" each exchange opens its own connection.
func BenchmarkCapacityExchange(b *testing.B) {
	target := wire.Target{
		ID: "muscat-a-rota-0123", Service: "service-012", DataCentre: "muscat-a", Address: "10.20.30.40:7443",
		Slots: 15, Incarnation: 1_764_800_000_000, Sequence: 3,
	}
	for _, m := range []struct {
		name, kind string
		msg        any
		first      bool
	}{
		{"heartbeat", wire.KindHeartbeat, wire.Heartbeat{
			ID: target.ID, Incarnation: target.Incarnation, Sequence: 3, State: uint8(types.Up), ConfigAt: 1_234_567,
		}, false},
		{"join", wire.KindJoin, wire.Join{Target: target, Process: 1 << 63, ConfigAt: 1_234_567}, false},
		{"configAt", wire.KindConfigAt, wire.ConfigAt{Sender: target.Address, Epoch: 123456, Version: 1_234_567}, false},
		{"first", wire.KindHeartbeat, wire.Heartbeat{
			ID: target.ID, Incarnation: target.Incarnation, Sequence: 3, State: uint8(types.Up), ConfigAt: 1_234_567,
		}, true},
	} {
		b.Run(m.name, func(b *testing.B) {
			a, err := certs.NewAuthority(time.Now())
			if err != nil {
				b.Fatal(err)
			}
			from, to := node(b, a, "from"), node(b, a, "to")
			r := newRelay(b, to.Addr())
			exchange := func(addr string) {
				var reply wire.MemberReply
				if err := from.Control(context.Background(), addr, m.kind, m.msg, &reply); err != nil {
					b.Fatal(err)
				}
				if m.first {
					from.Forget(addr)
				}
			}
			via := r.front.LocalAddr().String()
			// The search for the path's MTU takes place after the handshake.
			for range 20 {
				exchange(via)
				time.Sleep(100 * time.Millisecond)
			}
			const paced, fast = 30, 2000
			for b.Loop() {
				bytes, packets := r.bytes.Load(), r.packets.Load()
				for range paced {
					exchange(via)
					time.Sleep(100 * time.Millisecond)
				}
				b.ReportMetric(float64(r.bytes.Load()-bytes)/paced, "B/exchange")
				b.ReportMetric(float64(r.packets.Load()-packets)/paced, "packets/exchange")
				n := fast
				if m.first {
					n = 200
				}
				cpu := cpuTime()
				for range n {
					exchange(to.Addr())
				}
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(n), "cpu-us/exchange")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkCapacityConnections gives the memory of open connections, live heap
// and stacks, halved because both ends are in this process.
func BenchmarkCapacityConnections(b *testing.B) {
	for _, n := range []int{25, 100, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a, err := certs.NewAuthority(time.Now())
			if err != nil {
				b.Fatal(err)
			}
			from := node(b, a, "from")
			peers := make([]*peer.Node, n)
			for i := range peers {
				peers[i] = node(b, a, "to")
			}
			for b.Loop() {
				before, routines := memory(), runtime.NumGoroutine()
				for _, p := range peers {
					if err := from.Control(context.Background(), p.Addr(), wire.KindStatus, nil, nil); err != nil {
						b.Fatal(err)
					}
				}
				time.Sleep(5 * time.Second) // until the watch for progress has ended
				ends := float64(2 * n)
				b.ReportMetric((memory()-before)/ends, "B/connection")
				b.ReportMetric(float64(runtime.NumGoroutine()-routines)/ends, "goroutines/connection")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/io/certs"
	"trefoilthread/io/logs"
	"trefoilthread/io/peer"
	"trefoilthread/io/wire"
)

// listen starts a node of the given authority.
func listen(t *testing.T, a *certs.Authority, o peer.Options) *peer.Node {
	t.Helper()
	id, err := a.Identity("test")
	if err != nil {
		t.Fatal(err)
	}
	o.Address, o.Identity, o.Log = "127.0.0.1:0", id, logs.Discard()
	n, err := peer.Listen(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func authority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// echo answers with the body of the call.
func echo(_ context.Context, _ *wire.CallHead, body *wire.BodyReader) (*wire.Answer, error) {
	b, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	return &wire.Answer{Head: wire.AnswerHead{Status: 200, Length: int64(len(b))}, Body: io.NopCloser(bytes.NewReader(b))}, nil
}

// Guards against answers that are mixed up between calls in progress on one
// connection, or cut.
func TestAnswersAreWholeAndTheirOwn(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	server := listen(t, a, peer.Options{Call: echo})
	client := listen(t, a, peer.Options{})
	var wg sync.WaitGroup
	var wrong atomic.Int64
	for i := range 64 {
		wg.Go(func() {
			want := strings.Repeat(string(rune('a'+i%26)), 1+i*4000)
			ans, err := client.Call(t.Context(), server.Addr(), &wire.CallHead{ID: "x"}, strings.NewReader(want))
			if err != nil {
				wrong.Add(1)
				return
			}
			got, err := io.ReadAll(ans.Body)
			_ = ans.Body.Close()
			if err != nil || string(got) != want {
				wrong.Add(1)
			}
		})
	}
	wg.Wait()
	is.Equal(wrong.Load(), int64(0))
}

// Guards against an answer that breaks off at the far end being taken for a
// whole one.
func TestBrokenAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	server := listen(t, a, peer.Options{Call: func(context.Context, *wire.CallHead, *wire.BodyReader) (*wire.Answer, error) {
		r := io.MultiReader(strings.NewReader("half"), errReader{})
		return &wire.Answer{Head: wire.AnswerHead{Status: 200, Length: 8}, Body: io.NopCloser(r)}, nil
	}})
	client := listen(t, a, peer.Options{})
	ans, err := client.Call(t.Context(), server.Addr(), &wire.CallHead{ID: "x"}, nil)
	is.NoErr(err)
	_, err = io.ReadAll(ans.Body)
	var f *wire.Failure
	is.True(errors.As(err, &f))
	is.Equal(types.Outcome(f.Outcome), types.Unknown)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("broken") }

// Guards against a daemon of another authority being accepted, and against its
// refusal being reported as a call that may have run.
func TestOtherAuthorityIsRefused(t *testing.T) {
	is := is.New(t)
	server := listen(t, authority(t), peer.Options{Call: echo})
	client := listen(t, authority(t), peer.Options{})
	_, err := client.Call(t.Context(), server.Addr(), &wire.CallHead{ID: "x"}, nil)
	is.True(errors.Is(err, peer.ErrNotSent))
}

// mutableRelay passes datagrams between one client and a server until it is told to
// swallow those of the client's present path, or to hold them back.
type mutableRelay struct {
	front *net.UDPConn
	muted atomic.Bool
	hold  sync.RWMutex // locked while the server's datagrams are held back
	late  atomic.Int64 // delay in nanoseconds of the server's datagrams that belong to an established connection
}

func newMutableRelay(t *testing.T, server string) *mutableRelay {
	t.Helper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	back, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	r := &mutableRelay{front: front}
	var client atomic.Pointer[net.UDPAddr]
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := front.ReadFromUDP(buf)
			if err != nil {
				return
			}
			client.Store(from)
			if !r.muted.Load() {
				_, _ = back.Write(buf[:n])
			}
		}
	}()
	go func() {
		buf := make([]byte, 2048)
		for {
			n, err := back.Read(buf)
			if err != nil {
				return
			}
			r.hold.RLock()
			if !r.muted.Load() {
				r.forward(buf[:n], client.Load())
			}
			r.hold.RUnlock()
		}
	}()
	t.Cleanup(func() {
		_ = front.Close()
		_ = back.Close()
	})
	return r
}

// forward sends a datagram of the server to the client. Datagrams of a handshake
// have a long header, by the highest bit of their first byte, and are not late.
func (r *mutableRelay) forward(datagram []byte, to *net.UDPAddr) {
	late := time.Duration(r.late.Load())
	if late == 0 || datagram[0]&0x80 != 0 {
		_, _ = r.front.WriteToUDP(datagram, to)
		return
	}
	held := slices.Clone(datagram)
	time.AfterFunc(late, func() { _, _ = r.front.WriteToUDP(held, to) })
}

// Guards against calls on a connection that has gone silent waiting for their
// deadlines, and against a slow target being taken for a silent connection.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	started := make(chan struct{}, 1)
	server := listen(t, a, peer.Options{Call: func(ctx context.Context, h *wire.CallHead, b *wire.BodyReader) (*wire.Answer, error) {
		switch h.ID {
		case "slow":
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		case "never":
			started <- struct{}{}
			<-ctx.Done()
		}
		return echo(ctx, h, b)
	}})
	r := newMutableRelay(t, server.Addr())
	client := listen(t, a, peer.Options{StallAfter: 100 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	ans, err := client.Call(ctx, r.front.LocalAddr().String(), &wire.CallHead{ID: "slow"}, nil)
	is.NoErr(err) // slow, but the connection answers pings
	is.NoErr(ans.Body.Close())

	go func() {
		<-started
		r.muted.Store(true)
	}()
	_, err = client.Call(ctx, r.front.LocalAddr().String(), &wire.CallHead{ID: "never"}, nil)
	is.True(errors.Is(err, peer.ErrStalled)) // not the deadline of a minute
	is.True(!errors.Is(err, peer.ErrNotSent))

	r.muted.Store(false)
	ans, err = client.Call(ctx, r.front.LocalAddr().String(), &wire.CallHead{ID: "again"}, nil)
	is.NoErr(err) // a new connection works
	is.NoErr(ans.Body.Close())
}

// Guards against a peer that gets no processor time for a moment losing the
// calls that it runs: they ended as outcomeUnknown when many processes shared
// the machine with a rolling restart.
func TestPausedPeerKeepsItsCalls(t *testing.T) { callPausedPeer(t, 0) }

// Guards against the same loss when the handshake of the new connection ends
// before the answer to the ping on the silent one arrives.
func TestLatePingAnswerKeepsCalls(t *testing.T) { callPausedPeer(t, stallAfter/4) }

const stallAfter = 2 * time.Second

// callPausedPeer makes a call to a peer that is silent for longer than
// stallAfter. After that its established connections answer late.
func callPausedPeer(t *testing.T, late time.Duration) {
	t.Helper()
	is := is.New(t)
	a := authority(t)
	var runs atomic.Int64
	server := listen(t, a, peer.Options{Call: func(ctx context.Context, h *wire.CallHead, b *wire.BodyReader) (*wire.Answer, error) {
		runs.Add(1)
		return echo(ctx, h, b)
	}})
	r := newMutableRelay(t, server.Addr())
	client := listen(t, a, peer.Options{StallAfter: stallAfter})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	call := func() {
		ans, err := client.Call(ctx, r.front.LocalAddr().String(), &wire.CallHead{ID: "x"}, nil)
		is.NoErr(err)
		is.NoErr(ans.Body.Close())
	}
	call()
	r.hold.Lock()
	r.late.Store(int64(late))
	time.AfterFunc(stallAfter*3/2, r.hold.Unlock)
	call()
	is.Equal(runs.Load(), int64(2))
}

// Guards against calls that are cut off at a peer that stops: it answers them after it has
// left the membership.
func TestForgottenPeerKeepsItsCalls(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	started, release := make(chan struct{}), make(chan struct{})
	server := listen(t, a, peer.Options{Call: func(ctx context.Context, head *wire.CallHead, body *wire.BodyReader) (*wire.Answer, error) {
		close(started)
		<-release
		return echo(ctx, head, body)
	}})
	client := listen(t, a, peer.Options{})
	failed := make(chan error, 1)
	go func() {
		ans, err := client.Call(t.Context(), server.Addr(), &wire.CallHead{ID: "x"}, strings.NewReader("whole"))
		if err == nil {
			_, err = io.ReadAll(ans.Body)
			_ = ans.Body.Close()
		}
		failed <- err
	}()
	<-started
	client.Forget(server.Addr())
	close(release)
	is.NoErr(<-failed)
}

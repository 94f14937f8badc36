package store_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilthread/io/certs"
	"trefoilthread/io/etcd"
	"trefoilthread/io/stand"
	"trefoilthread/io/store"
)

// Guards against a store with TLS that cannot be reached, or that is trusted
// without its certificate.
func TestTLS(t *testing.T) {
	is := is.New(t)
	ca, err := certs.NewAuthority(time.Now())
	is.NoErr(err)
	config := func() *tls.Config {
		id, err := ca.Identity("kv")
		is.NoErr(err)
		cfg := id.ClientConfig()
		cfg.NextProtos = nil // that of the daemons
		return cfg
	}
	srv := startStore(t, stand.StoreOptions{TLS: config()})
	for _, c := range []struct {
		cfg *tls.Config
		ok  bool
	}{{config(), true}, {nil, false}} {
		e, err := etcd.New([]string{"https://" + srv.Addr()}, etcd.Options{TLS: c.cfg})
		is.NoErr(err)
		defer e.Close()
		_, err = e.Store().CompareAndSwap(t.Context(), "a", 0, nil, 0)
		is.Equal(err == nil, c.ok)
		is.Equal(errors.Is(err, store.ErrUnavailable), !c.ok)
	}
}

// Guards against a watch that waits for ever on a connection that stopped
// responding, and against a write there that is reported as not sent.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	srv := startStore(t, stand.StoreOptions{ResponseTime: -1})
	st := client(t, etcd.Options{
		CallTimeout: 100 * time.Millisecond, PingAfter: 20 * time.Millisecond, PingTimeout: 20 * time.Millisecond,
	}, srv)
	_, err := st.CompareAndSwap(t.Context(), "a", 0, nil, 0)
	is.NoErr(err)
	var once sync.Once
	err = st.Watch(t.Context(), "", func(store.Event) { once.Do(func() { srv.SwallowOpen() }) })
	is.True(errors.Is(err, store.ErrUnavailable))
	_, err = st.Get(t.Context(), "a")
	is.NoErr(err)
	srv.SwallowOpen()
	_, err = st.CompareAndSwap(t.Context(), "b", 0, nil, 0)
	is.True(errors.Is(err, store.ErrUnknown))
}

// Guards against a watch that goes on with a gap after the store has dropped
// the events between its first range and its start.
func TestCompactedWatch(t *testing.T) {
	is := is.New(t)
	srv := startStore(t, stand.StoreOptions{ResponseTime: -1})
	st := client(t, etcd.Options{}, srv)
	_, err := st.CompareAndSwap(t.Context(), "a", 0, nil, 0)
	is.NoErr(err)
	events := 0
	err = st.Watch(t.Context(), "a", func(ev store.Event) {
		if !ev.Synced {
			return
		}
		events++
		_, err := st.CompareAndSwap(t.Context(), "ab", 0, nil, 0)
		is.NoErr(err)
		srv.Compact()
	})
	is.True(err != nil && !errors.Is(err, context.Canceled))
	is.Equal(events, 1)
}

// Guards against a write that is reported as not sent and arrives later: its
// caller gives up at any moment, also between the dial and the first byte.
func TestCanceledWrites(t *testing.T) {
	is := is.New(t)
	srv := startStore(t, stand.StoreOptions{ResponseTime: -1})
	const writes = 400
	outcomes := make([]error, writes)
	rng := rand.New(rand.NewPCG(3, 4))
	var wg sync.WaitGroup
	var st store.Store
	for i := range writes {
		if i%20 == 0 {
			st = client(t, etcd.Options{}, srv) // must dial
		}
		one := st
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.Int64N(int64(40*time.Millisecond))))
		wg.Go(func() {
			defer cancel()
			_, outcomes[i] = one.CompareAndSwap(ctx, fmt.Sprint("k/", i), 0, nil, 0)
		})
	}
	wg.Wait()
	kinds := map[string]int{}
	for i, err := range outcomes {
		_, getErr := st.Get(t.Context(), fmt.Sprint("k/", i))
		switch {
		case err == nil:
			kinds["written"]++
			is.NoErr(getErr)
		case errors.Is(err, store.ErrUnavailable):
			kinds["not sent"]++
			is.True(errors.Is(getErr, store.ErrNotFound))
		default:
			kinds["unknown"]++
			is.True(errors.Is(err, store.ErrUnknown))
		}
	}
	t.Log(kinds)
}

// Guards against the HTTP/2 transport sending a write again by itself: it does
// so after a PROTOCOL_ERROR for a stream, although the write may have taken
// effect. The server here answers every request like that.
func TestWriteIsSentOnce(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var requests atomic.Int32
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				resetRequests(c, &requests)
			})
		}
	})
	e, err := etcd.New([]string{"http://" + ln.Addr().String()}, etcd.Options{})
	is.NoErr(err)
	_, err = e.Store().CompareAndSwap(t.Context(), "a", 0, []byte("1"), 0)
	is.True(errors.Is(err, store.ErrUnknown))
	is.Equal(requests.Load(), int32(1))
	e.Close()
	is.NoErr(ln.Close())
	wg.Wait()
}

// resetRequests serves an HTTP/2 connection (RFC 9113): it resets each stream
// with PROTOCOL_ERROR when its request is complete.
func resetRequests(c net.Conn, requests *atomic.Int32) {
	const settings, headers, data, reset = 4, 1, 0, 3
	frame := func(kind, flags byte, stream uint32, payload ...byte) []byte {
		f := []byte{0, 0, byte(len(payload)), kind, flags}
		return append(binary.BigEndian.AppendUint32(f, stream), payload...)
	}
	preface := make([]byte, 24)
	if _, err := io.ReadFull(c, preface); err != nil {
		return
	}
	if _, err := c.Write(frame(settings, 0, 0)); err != nil {
		return
	}
	for {
		var h [9]byte
		if _, err := io.ReadFull(c, h[:]); err != nil {
			return
		}
		n := int64(h[0])<<16 | int64(h[1])<<8 | int64(h[2])
		if _, err := io.CopyN(io.Discard, c, n); err != nil {
			return
		}
		var answer []byte
		switch kind, flags := h[3], h[4]; {
		case kind == settings && flags == 0:
			answer = frame(settings, 1, 0)
		case (kind == data || kind == headers) && flags&1 != 0:
			requests.Add(1)
			answer = frame(reset, 0, binary.BigEndian.Uint32(h[5:]), 0, 0, 0, 1)
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

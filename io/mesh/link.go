package mesh

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"trefoilthread/io/httpw"
)

// link is one connection to another daemon.
type link struct {
	c       *Client
	key     linkKey
	ready   chan struct{} // closed when the connection is made or failed
	dialErr error         // set before ready is closed
	out     *sender
	greeted chan struct{} // closed when the peer's version is known

	mu     sync.Mutex
	calls  map[uint64]chan frame // open calls
	last   uint64                // number of the latest call
	heard  time.Time             // when bytes came last
	pinged bool                  // a ping is out since heard
	timer  clockwork.Timer       // checks for silence while calls are open
	ended  bool
}

func newLink(c *Client, key linkKey) *link {
	return &link{c: c, key: key, ready: make(chan struct{}), greeted: make(chan struct{}), calls: make(map[uint64]chan frame)}
}

// run makes the connection and reads it until it ends.
func (l *link) run() {
	nc, err := l.c.dial(l.key.addr)
	if err == nil {
		l.out = &sender{nc: nc, clock: l.c.opts.Clock, uplink: l.c.opts.Uplink}
		hello := l.c.opts.Hello
		hello.Bulk, hello.Version = l.key.bulk, ownVersion
		if err = l.out.send(kindHello, 0, &hello); err != nil {
			_ = nc.Close() // the error of the send is reported
		}
	}
	if err != nil {
		l.dialErr = err
		l.c.remove(l)
		close(l.ready)
		l.c.opts.Ended(l.key.addr, err)
		return
	}
	close(l.ready)
	err = l.read(bufio.NewReaderSize(nc, readBuffer))
	_ = nc.Close()
	l.c.remove(l)
	l.fail()
	l.c.opts.Ended(l.key.addr, err)
}

// drop closes the connection; its reader does the rest.
func (l *link) drop() {
	select {
	case <-l.ready:
		if l.dialErr == nil {
			_ = l.out.nc.Close()
		}
	default: // still being made; it ends by itself when idle
	}
}

func (l *link) read(br *bufio.Reader) error {
	parts := assembler{budget: l.c.opts.Memory}
	defer parts.drop()
	for isFirst := true; ; isFirst = false {
		f, err := readFrame(br, l.c.opts.Memory, l.noteHeard)
		if err != nil {
			return err
		}
		l.noteHeard()
		if isFirst {
			l.learnVersion(f)
		}
		if f.kind == kindFirstPart || f.kind == kindPart {
			whole, ok, err := parts.add(f)
			if err != nil {
				return err
			}
			if !ok {
				continue
			}
			f = whole
		}
		l.handle(f)
	}
}

// noteHeard records that bytes have come.
func (l *link) noteHeard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard, l.pinged = l.c.opts.Clock.Now(), false
}

// learnVersion takes the peer's version from its first frame. A peer of version 0 has read
// the hello by then as well, and sends no welcome.
func (l *link) learnVersion(f frame) {
	defer close(l.greeted)
	if f.kind != kindWelcome {
		return
	}
	var w Welcome
	if err := f.decode(&w); err != nil {
		l.c.opts.Undecoded(l.key.addr, err)
		return
	}
	l.out.version.Store(int32(w.Version))
}

// handle acts on one frame. Frames of other kinds are pongs, welcomes, or from later
// versions.
func (l *link) handle(f frame) {
	switch f.kind {
	case kindAnswer, kindNews, kindTokens:
		l.deliver(f)
	case kindGrant:
		l.deliverGrant(f)
	case kindNotice:
		n := new(Notice)
		if err := f.decode(n); err != nil {
			l.c.opts.Undecoded(l.key.addr, err)
			return
		}
		l.c.opts.Notice(n)
	}
}

// deliver hands an answer to its call, which may have been canceled.
func (l *link) deliver(f frame) {
	l.mu.Lock()
	ch := l.calls[f.call]
	delete(l.calls, f.call)
	l.mu.Unlock()
	if ch == nil {
		f.memory.Release()
		return
	}
	ch <- f
}

// fail ends all open calls.
func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.timer != nil {
		l.timer.Stop()
	}
	for id, ch := range l.calls {
		delete(l.calls, id)
		close(ch)
	}
}

// call sends a message that is answered and decodes the answer into out. It returns the
// memory of the answer's body.
func (l *link) call(ctx context.Context, k kind, msg, out any) (*httpw.Holding, error) {
	id, ch, ok := l.open(1)
	if !ok {
		return nil, ErrUnreachable
	}
	long, err := l.out.enqueue(k, id, msg, nil)
	if errors.Is(err, ErrOldPeer) && l.awaitVersion(ctx, ch) {
		long, err = l.out.enqueue(k, id, msg, nil)
	}
	if err != nil {
		l.forget(id)
		if errors.Is(err, ErrOldPeer) {
			return nil, err
		}
		return nil, ErrUnreachable
	}
	return l.awaitAnswer(ctx, id, ch, long, out)
}

// awaitAnswer waits for the answer to a call and decodes it into out. long is the frame of the
// call if it is sent in parts, else nil: a call whose last part was not written has not run.
func (l *link) awaitAnswer(ctx context.Context, id uint64, ch chan frame, long *longFrame, out any) (*httpw.Holding, error) {
	select {
	case f, ok := <-ch:
		if ok && f.kind == kindGrant { // a second grant has no effect
			return l.awaitAnswer(ctx, id, ch, long, out)
		}
		switch unsent := l.out.withdraw(long); {
		case !ok && unsent:
			return nil, ErrUnreachable
		case !ok:
			return nil, ErrBroken
		case unsent:
			// The peer has refused a call of which it has only some parts, and drops them on a
			// cancel. An error means that the connection is gone.
			_ = l.out.send(kindCancel, id, nil)
		}
		return f.memory, l.decode(f, out)
	case <-ctx.Done():
		unsent := l.out.withdraw(long)
		l.cancel(id, ch)
		if unsent {
			return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
		}
		return nil, ctx.Err()
	}
}

// cancel gives a call up.
func (l *link) cancel(id uint64, ch chan frame) {
	if l.forget(id) {
		// An error means that the connection is gone, and the call with it.
		_ = l.out.send(kindCancel, id, nil)
		return
	}
	for f := range ch { // the answer came at the same time
		f.memory.Release()
		if f.kind != kindGrant {
			return
		}
	}
}

// awaitVersion waits until the peer's version is known; false if the connection or ctx
// ends before. A peer without other frames to send answers the ping, after its welcome.
func (l *link) awaitVersion(ctx context.Context, ended <-chan frame) bool {
	if err := l.out.send(kindPing, 0, nil); err != nil {
		return false
	}
	select {
	case <-l.greeted:
		return true
	case <-ended:
	case <-ctx.Done():
	}
	return false
}

// decode decodes the answer in a frame into out.
func (l *link) decode(f frame, out any) error {
	if f.left > 0 {
		return errors.Wrapf(ErrNoMemory, "answer of %d bytes", f.left)
	}
	if err := f.decode(out); err != nil {
		f.memory.Release()
		l.c.opts.Undecoded(l.key.addr, err)
		return errors.Wrap(ErrUndecoded, err.Error())
	}
	return nil
}

// open enters a call that waits for up to n frames and starts to watch for silence.
func (l *link) open(n int) (uint64, chan frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return 0, nil, false
	}
	if len(l.calls) == 0 {
		l.heard, l.pinged = l.c.opts.Clock.Now(), false
		if l.timer == nil {
			l.timer = l.c.opts.Clock.AfterFunc(l.c.opts.Silence, l.check)
		} else {
			l.timer.Reset(l.c.opts.Silence)
		}
	}
	l.last++
	ch := make(chan frame, n)
	l.calls[l.last] = ch
	return l.last, ch, true
}

// forget removes a call and reports whether it was still open.
func (l *link) forget(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.calls[id]
	delete(l.calls, id)
	return ok
}

// check pings a silent connection with open calls, and closes it if that
// brought nothing.
func (l *link) check() {
	l.mu.Lock()
	if l.ended || len(l.calls) == 0 {
		l.mu.Unlock()
		return
	}
	silence := l.c.opts.Silence
	quiet := l.c.opts.Clock.Since(l.heard)
	ping, broken := false, false
	switch {
	case quiet < silence:
	case !l.pinged:
		l.pinged, ping = true, true
	default:
		broken = true
	}
	next := silence
	if quiet < silence {
		next = silence - quiet
	}
	l.timer.Reset(next)
	l.mu.Unlock()
	if broken {
		_ = l.out.nc.Close() // the reader reports the end
	} else if ping {
		_ = l.out.send(kindPing, 0, nil) // an error ends the connection
	}
}

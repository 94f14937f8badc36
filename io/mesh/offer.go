package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/httpw"
)

// ErrUnused means that nothing of a granted body came for some time.
var ErrUnused = errors.New("mesh: granted body didn't come")

// Offer is a call that came without its body. Receive has the sender send the body.
type Offer struct {
	p    *inbound
	id   uint64
	head *CallHead
	link float64 // of the sender's VM, Mbit/s
	body chan []byte

	mu       sync.Mutex
	progress func(n int) // nil until the body may come, and after it came or won't
	latest   time.Time   // when the latest part came
}

// Receive asks the sender to send the body after start, and waits for it. It calls progress
// with the number of bytes of each part that came, which must not block. It fails with
// ErrNoMemory if there is no memory for the body, which isn't sent then, with ErrUnused if
// nothing comes for the time unused, or with the error of ctx. The call has not run then.
func (o *Offer) Receive(ctx context.Context, start, unused time.Duration, progress func(n int)) error {
	n := o.head.BodyLen
	memory, ok := o.p.s.opts.Memory.Hold(int64(n))
	if !ok {
		return errors.Wrapf(ErrNoMemory, "body of %d bytes", n)
	}
	o.head.Memory = memory
	clock := o.p.s.opts.Clock
	o.setProgress(progress, clock.Now().Add(start))
	defer o.setProgress(nil, time.Time{})
	if err := o.p.out.send(kindGrant, o.id, &Grant{StartUs: start.Microseconds()}); err != nil {
		return err
	}
	timer := clock.NewTimer(start + unused)
	defer timer.Stop()
	for {
		select {
		case o.head.Body = <-o.body:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.Chan():
		}
		left := unused - clock.Since(o.latestPart())
		if left <= 0 {
			return ErrUnused
		}
		timer.Reset(left)
	}
}

// SenderLink returns the speed of the link of the sender's VM in Mbit/s, 0 if unknown.
func (o *Offer) SenderLink() float64 { return o.link }

// setProgress sets the function that is called for each part of the body, nil if the body isn't
// awaited. The time without a part counts from expected on.
func (o *Offer) setProgress(progress func(n int), expected time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.progress, o.latest = progress, expected
}

func (o *Offer) latestPart() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest
}

// noteProgress records that n bytes have come.
func (o *Offer) noteProgress(n int) {
	now := o.p.s.opts.Clock.Now()
	o.mu.Lock()
	progress := o.progress
	if progress != nil && now.After(o.latest) {
		o.latest = now
	}
	o.mu.Unlock()
	if progress != nil {
		progress(n)
	}
}

// wants reports whether a body of n bytes may come now.
func (o *Offer) wants(n int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.progress != nil && n == o.head.BodyLen
}

// addOffer enters an offered call.
func (p *inbound) addOffer(id uint64, head *CallHead) {
	head.Offer = &Offer{p: p, id: id, head: head, link: p.from.Link, body: make(chan []byte, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offers[id] = head.Offer
}

// endOffer removes an offered call, which may be nil.
func (p *inbound) endOffer(o *Offer) {
	if o == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.offers, o.id)
}

func (p *inbound) offer(id uint64) *Offer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.offers[id]
}

// wantsBody reports whether a body of n bytes was granted and is awaited.
func (p *inbound) wantsBody(id uint64, n int) bool {
	o := p.offer(id)
	return o != nil && o.wants(n)
}

// handlePart acts on a part of a frame, and on the frame if it is the last one.
func (p *inbound) handlePart(ctx context.Context, f frame) error {
	p.noteProgress()
	whole, ok, err := p.parts.add(f)
	if err != nil {
		return err
	}
	if !ok {
		if o := p.offer(f.call); o != nil {
			o.noteProgress(len(f.payload))
		}
		return nil
	}
	return p.handle(ctx, whole)
}

// takeBody hands a body to the offered call that awaits it, if there is still one.
func (p *inbound) takeBody(f frame) {
	o := p.offer(f.call)
	if o == nil || f.left > 0 || !o.wants(len(f.payload)) {
		return
	}
	select {
	case o.body <- f.payload:
	default: // a second body for the same call is dropped
	}
}

// offer sends a call without its body, and the body when the peer has granted it. A peer of
// an older version gets both at once. It returns the memory of the answer's body.
func (l *link) offer(ctx context.Context, head *CallHead, out any) (*httpw.Holding, error) {
	if ctx.Err() != nil {
		return nil, l.notSent(ctx)
	}
	if ok, err := l.takesOffers(ctx); err != nil {
		return nil, err
	} else if !ok {
		return l.call(ctx, kindCall, head, out)
	}
	id, ch, ok := l.open(2) // a grant and an answer
	if !ok {
		return nil, ErrUnreachable
	}
	offered := *head
	offered.Body, offered.BodyLen = nil, len(head.Body)
	if err := l.out.send(kindCall, id, &offered); err != nil {
		l.forget(id)
		return nil, ErrUnreachable
	}
	f, err := l.awaitGrant(ctx, id, ch)
	if err != nil {
		return nil, err
	}
	if f.kind == kindAnswer {
		return f.memory, l.decode(f, out)
	}
	long, err := l.out.enqueue(kindBody, id, head.Body, nil)
	if err != nil {
		l.cancel(id, ch)
		return nil, ErrUnreachable
	}
	return l.awaitAnswer(ctx, id, ch, long, out)
}

// takesOffers reports whether the peer's version takes offered calls. The error is set if the
// connection or ctx ends before the version is known.
func (l *link) takesOffers(ctx context.Context) (bool, error) {
	select {
	case <-l.greeted:
	default:
		id, ch, ok := l.open(1) // watches for silence
		if !ok {
			return false, ErrUnreachable
		}
		known := l.awaitVersion(ctx, ch)
		l.forget(id)
		if !known {
			return false, l.notSent(ctx)
		}
	}
	return l.out.version.Load() >= partsVersion, nil
}

// notSent returns the error of a call whose body was not sent.
func (l *link) notSent(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	return ErrUnreachable
}

// awaitGrant waits for the grant of an offered call and its start, or for the answer that
// refuses it.
func (l *link) awaitGrant(ctx context.Context, id uint64, ch chan frame) (frame, error) {
	var grant frame
	var start <-chan time.Time
	for {
		select {
		case f, ok := <-ch:
			if !ok {
				return frame{}, l.notSent(ctx)
			}
			if f.kind == kindAnswer {
				return f, nil
			}
			var g Grant
			if err := f.decode(&g); err != nil {
				l.c.opts.Undecoded(l.key.addr, err)
				l.cancel(id, ch)
				return frame{}, ErrUnreachable
			}
			if g.StartUs <= 0 {
				return f, nil
			}
			grant, start = f, l.c.opts.Clock.After(time.Duration(g.StartUs)*time.Microsecond)
		case <-start:
			return grant, nil
		case <-ctx.Done():
			l.cancel(id, ch)
			return frame{}, l.notSent(ctx)
		}
	}
}

// deliverGrant hands a grant to its call, which may have been canceled, or be answered
// already.
func (l *link) deliverGrant(f frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ch := l.calls[f.call]; cap(ch) > 1 && len(ch) == 0 {
		ch <- f
	}
}

package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/lease"
	"trefoilthread/core/member"
	"trefoilthread/core/stage"
	"trefoilthread/core/types"
	"trefoilthread/io/store"
)

// leadership is what a daemon does and knows while it leads its data centre.
type leadership struct {
	d      *Daemon
	epoch  uint64
	cancel context.CancelFunc
	poke   chan struct{}
	tick   chan struct{}

	// mu guards the state below. It is never held together with Daemon.mu.
	mu      sync.Mutex
	table   *member.Table
	stage   *stage.Members
	status  *stage.Status
	inForce stored
	others  map[types.DataCentre]lease.Record
	sent    map[types.TargetID]*sentTo
	// othersTold is what the leaders in others have been told.
	othersTold map[types.DataCentre]*sentTo
}

// becomeLeader starts the leader's tasks.
func (d *Daemon) becomeLeader(ctx context.Context, epoch uint64) {
	ctx, cancel := context.WithCancel(ctx)
	l := &leadership{
		d: d, epoch: epoch, cancel: cancel, poke: make(chan struct{}, 1), tick: make(chan struct{}, 1),
		status: stage.NewStatus(),
		others: map[types.DataCentre]lease.Record{}, sent: map[types.TargetID]*sentTo{},
		othersTold: map[types.DataCentre]*sentTo{},
	}
	d.mu.Lock()
	old := d.led
	d.led = l
	d.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	for _, f := range []func(context.Context){l.watchCentres, l.watchConfig, l.publish, l.push} {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			f(ctx)
		}()
	}
}

func (d *Daemon) endLeadership() {
	d.mu.Lock()
	l := d.led
	d.led = nil
	d.mu.Unlock()
	if l != nil {
		l.cancel()
	}
}

// leading returns the leadership of this daemon if it is valid now.
func (d *Daemon) leading() *leadership {
	d.mu.Lock()
	defer d.mu.Unlock()
	epoch, ok := d.holder.MayAct(d.now())
	if !ok || d.led == nil || d.led.epoch != epoch {
		return nil
	}
	return d.led
}

// publish keeps the member table and writes its summary until ctx ends.
func (l *leadership) publish(ctx context.Context) {
	if !l.open(ctx) {
		return
	}
	d := l.d
	for {
		now := d.now()
		l.mu.Lock()
		wake := l.table.NextWake(now)
		l.mu.Unlock()
		t := d.wakeTimer(now, wake)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-l.tick:
		case <-t.Chan():
		}
		t.Stop()
		// The lease is checked after the wake-up, before each write.
		if d.leading() != l {
			continue
		}
		l.mu.Lock()
		before := l.table.Sequence()
		actions := l.table.Tick(d.now())
		after := l.table.Sequence()
		l.mu.Unlock()
		if before != after {
			l.membersChanged()
		}
		for _, a := range actions {
			l.perform(ctx, a)
		}
		if l.isDeposed() {
			d.log.WithField("epoch", l.epoch).Warn("a later leader has written the member summary")
			d.endLeadership()
			return
		}
		l.writeInForce(ctx)
	}
}

// isDeposed reports whether the store shows a later leader, although this
// daemon's lease seems valid.
func (l *leadership) isDeposed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Deposed()
}

// open reads what the former leader left and makes the member table.
func (l *leadership) open(ctx context.Context) bool {
	d := l.d
	dc := d.set.DataCentre()
	for {
		table, inForce, err := l.read(ctx, dc)
		if err == nil {
			l.mu.Lock()
			l.table, l.stage = table, stage.NewMembers(inForce.written, liveMembers(table.Summary()))
			l.inForce = inForce
			l.mu.Unlock()
			l.membersChanged()
			d.beatNow()
			return true
		}
		d.log.WithError(err).Warn("member summary not read, trying again")
		select {
		case <-ctx.Done():
			return false
		case <-d.clock.After(time.Second):
		}
	}
}

func (l *leadership) read(ctx context.Context, dc types.DataCentre) (*member.Table, stored, error) {
	d := l.d
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	it, err := d.store.Get(ctx, member.Key(string(dc)))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, stored{}, err
	}
	in, err := d.store.Get(ctx, inForceKey(dc))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, stored{}, err
	}
	v, err := decodeInForce(in.Value)
	if err != nil {
		return nil, stored{}, err
	}
	d.mu.Lock()
	known := d.dir.Summary(dc)
	d.mu.Unlock()
	table, err := member.NewTable(d.now(), member.TableSpec{
		DataCentre: dc, Epoch: l.epoch, Stored: it.Value, Revision: it.Revision, Known: known,
	})
	return table, stored{revision: in.Revision, written: v.Version}, err
}

func liveMembers(s member.Summary) []stage.Member {
	live := make([]stage.Member, s.Len())
	for i := range live {
		live[i] = stage.NewMember(s.Target(i).ID(), s.Target(i).Incarnation())
	}
	return live
}

// perform makes a store call of the member table.
func (l *leadership) perform(ctx context.Context, a member.Action) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	d := l.d
	switch a.Kind() {
	case member.Write:
		rev, err := d.store.CompareAndSwap(ctx, a.Key(), a.Revision(), a.Value(), 0)
		l.mu.Lock()
		l.table.WriteDone(d.now(), a.Op(), memberStatus(err), rev)
		l.mu.Unlock()
	case member.Read:
		it, err := d.store.Get(ctx, a.Key())
		l.mu.Lock()
		l.table.ReadDone(d.now(), a.Op(), memberStatus(err), it.Value, it.Revision)
		l.mu.Unlock()
	}
}

func memberStatus(err error) member.Status {
	switch {
	case err == nil:
		return member.OK
	case errors.Is(err, store.ErrNotFound):
		return member.NotFound
	case errors.Is(err, store.ErrConflict):
		return member.Conflict
	}
	return member.Unknown
}

// membersChanged hands the table's summary to this daemon and, through it, to
// all members.
func (l *leadership) membersChanged() {
	l.mu.Lock()
	s := l.table.Summary()
	l.followTable(s)
	l.mu.Unlock()
	data, err := s.Encode()
	if err != nil {
		l.d.log.WithError(err).Error("summary not encoded")
		return
	}
	if err := l.d.mergeSummary(data); err != nil {
		l.d.log.WithError(err).Error("own summary not merged")
	}
	l.pushNow()
}

// followTable drops members from the count of acknowledgements that the table
// has dropped. l.mu is held.
func (l *leadership) followTable(s member.Summary) {
	live := make(map[types.TargetID]uint64, s.Len())
	for i := range s.Len() {
		live[s.Target(i).ID()] = s.Target(i).Incarnation()
	}
	for id := range l.sent {
		if _, ok := live[id]; !ok {
			delete(l.sent, id)
			l.stage.Leave(id, ^uint64(0))
		}
	}
	for id, inc := range live {
		if told, ok := l.sent[id]; !ok || told.incarnation != inc {
			l.sent[id] = newSentTo(inc)
		}
		l.stage.Join(id, inc)
	}
}

// acknowledge notes the configuration version that a member has in force.
func (l *leadership) acknowledge(id types.TargetID, incarnation uint64, version int64) {
	l.mu.Lock()
	if told, ok := l.sent[id]; ok {
		told.failed = 0
	}
	rose := l.stage.Acknowledge(id, incarnation, version)
	behind := version < l.d.config.Version()
	l.mu.Unlock()
	if rose {
		l.tickNow()
	}
	if behind {
		l.pushNow()
	}
}

func (l *leadership) pushNow() { signal(l.poke) }
func (l *leadership) tickNow() { signal(l.tick) }

func (d *Daemon) pushNow() {
	d.mu.Lock()
	l := d.led
	d.mu.Unlock()
	if l != nil {
		l.pushNow()
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

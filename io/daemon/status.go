package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"trefoilthread/core/stage"
	"trefoilthread/core/types"
	"trefoilthread/io/wire"
)

const (
	// statusEvery is how often the leader is asked while an operator waits.
	statusEvery = 100 * time.Millisecond
	// statusInterest is how long after the last question the leader is still
	// asked; an idle daemon asks nothing.
	statusInterest = 2 * time.Second
	statusTimeout  = time.Second
)

// statusBoard holds the versions in force as the leader last told them.
type statusBoard struct {
	mu      sync.Mutex
	list    []stage.DataCentreStatus
	changed chan struct{}
	wanted  time.Time // by an operator, last
	asked   time.Time // when the leader last answered
	poke    chan struct{}
}

func newStatusBoard() *statusBoard {
	return &statusBoard{changed: make(chan struct{}), poke: make(chan struct{}, 1)}
}

// followStatus asks the leader for the versions in force while operators want
// to know, until ctx ends.
func (d *Daemon) followStatus(ctx context.Context) {
	b := d.board
	for {
		b.mu.Lock()
		idle := d.now().Sub(b.wanted) > statusInterest
		b.mu.Unlock()
		var next <-chan time.Time
		if !idle {
			next = d.clock.After(statusEvery)
		}
		select {
		case <-ctx.Done():
			return
		case <-b.poke:
		case <-next:
		}
		if list, ok := d.askStatus(ctx); ok {
			b.set(d.now(), list)
		}
	}
}

func (b *statusBoard) set(now time.Time, list []stage.DataCentreStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = now
	if slices.Equal(b.list, list) {
		return
	}
	b.list = list
	close(b.changed)
	b.changed = make(chan struct{})
}

// statusChanged returns a channel that is closed at the next change.
func (d *Daemon) statusChanged() <-chan struct{} {
	b := d.board
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wanted = d.now()
	signal(b.poke)
	return b.changed
}

// status returns the versions in force; it asks the leader unless it has just
// answered.
func (d *Daemon) status() []stage.DataCentreStatus {
	b := d.board
	b.mu.Lock()
	fresh := d.now().Sub(b.asked) < 2*statusEvery && b.list != nil
	b.wanted = d.now()
	list := b.list
	b.mu.Unlock()
	if fresh {
		return list
	}
	if now, ok := d.askStatus(d.ctx); ok {
		b.set(d.now(), now)
		return now
	}
	return list
}

// askStatus asks the leader, which may be this daemon.
func (d *Daemon) askStatus(ctx context.Context) ([]stage.DataCentreStatus, bool) {
	if l := d.leading(); l != nil {
		return l.statuses(), true
	}
	d.mu.Lock()
	rec, _ := d.holder.Leader()
	d.mu.Unlock()
	if rec.Address() == "" {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var rep wire.StatusReply
	if err := d.node.Control(ctx, rec.Address(), wire.KindStatus, nil, &rep); err != nil {
		d.log.WithError(err).Debug("status not received from the leader")
		return nil, false
	}
	var list []stage.DataCentreStatus
	for _, s := range rep.DataCentres {
		list = append(list, stage.NewDataCentreStatus(stage.DataCentreSpec{
			Name: types.DataCentre(s.Name), InForce: s.InForce, Members: s.Members, Leader: types.TargetID(s.Leader),
		}))
	}
	return list, true
}

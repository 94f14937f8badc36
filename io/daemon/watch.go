package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/config"
	"trefoilthread/core/lease"
	"trefoilthread/core/types"
	"trefoilthread/io/store"
)

const (
	centrePrefix = "dc/"
	configPrefix = "config/"
	// watchRetry is the pause after a broken watch. The store's call budget
	// spreads the watches of many leaders after an outage.
	watchRetry = time.Second
)

// watchCentres follows leaders, summaries and versions in force of all data
// centres until ctx ends.
func (l *leadership) watchCentres(ctx context.Context) {
	l.watch(ctx, centrePrefix, l.centreEvent)
}

// watchConfig follows the configuration document until ctx ends.
func (l *leadership) watchConfig(ctx context.Context) {
	l.watch(ctx, configPrefix, func(ev store.Event) error {
		if ev.Item.Key != config.DocumentKey || ev.Deleted {
			return nil
		}
		return l.d.offerDocument(ev.Item.Value)
	})
}

func (l *leadership) watch(ctx context.Context, prefix string, take func(store.Event) error) {
	d := l.d
	for ctx.Err() == nil {
		err := d.store.Watch(ctx, prefix, func(ev store.Event) {
			if ev.Synced {
				return
			}
			if err := take(ev); err != nil {
				d.log.WithError(err).WithField("key", ev.Item.Key).Error("value in store not understood")
			}
		})
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, store.ErrBudget) {
			d.log.WithError(err).WithField("prefix", prefix).Debug("watch ended")
		}
		select {
		case <-ctx.Done():
		case <-d.clock.After(watchRetry):
		}
	}
}

// centreEvent takes over a change below dc/.
func (l *leadership) centreEvent(ev store.Event) error {
	dc, what, ok := strings.Cut(strings.TrimPrefix(ev.Item.Key, centrePrefix), "/")
	if !ok {
		return nil
	}
	name := types.DataCentre(dc)
	switch what {
	case "leader":
		return l.leaderEvent(name, ev)
	case "members":
		if ev.Deleted {
			return nil
		}
		return l.d.mergeSummary(ev.Item.Value)
	case "inForce":
		v, err := decodeInForce(ev.Item.Value)
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.status.SetInForce(name, v.Version)
		l.mu.Unlock()
	}
	return nil
}

// leaderEvent notes who leads a data centre.
func (l *leadership) leaderEvent(dc types.DataCentre, ev store.Event) error {
	if dc == l.d.set.DataCentre() {
		if ev.Deleted {
			l.d.lead.events.Put(lease.KeyDeleted(ev.Item.Revision))
		} else {
			l.d.lead.events.Put(lease.KeyObserved(ev.Item.Value, ev.Item.Revision))
		}
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Whoever leads next has been told nothing by this leader.
	delete(l.othersTold, dc)
	if ev.Deleted {
		delete(l.others, dc)
		return nil
	}
	rec, err := lease.DecodeRecord(ev.Item.Value)
	if err != nil {
		return err
	}
	l.others[dc] = rec
	return nil
}

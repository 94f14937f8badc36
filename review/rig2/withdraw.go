package main

import (
	"context"
	"errors"
	"time"
)

// Times of the case withdraw since its start.
const (
	withdrawBeat  = 8 * time.Second                      // the target sends a heartbeat that is delayed
	withdrawLeave = withdrawBeat + 200*time.Millisecond  // and then its last message
	withdrawStop  = withdrawLeave + 300*time.Millisecond // its daemon gets SIGTERM
	withdrawPause = 500 * time.Millisecond               // from the end of the daemon to its start
	withdrawLate  = withdrawBeat + 4500*time.Millisecond // the heartbeat arrives
	withdrawSlow  = withdrawBeat + 7*time.Second         // the same, with SLOW=1
	withdrawExit  = withdrawLeave + 14*time.Second       // the target ends
	withdrawEnd   = withdrawExit + 2*time.Second
)

// playWithdraw has a target leave whose last heartbeat is late, and its daemon stopped and
// started again before that arrives. Rule DRAIN as in playLeave.
func playWithdraw(w *world, trouble bool) (bool, error) {
	w.configure(bookingsConfig)
	if err := w.startNodes("bookings", "bookings", "bookings", "bookings"); err != nil {
		return false, err
	}
	c := newCallers(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.sendUsual(ctx)
	leaving := w.nodes[1]
	w.waitUntil(withdrawBeat)
	deliver := leaving.target.delayBeat()
	w.waitUntil(withdrawLeave)
	if !leaving.target.leave() {
		return false, errors.New("the leaving was not acknowledged")
	}
	acknowledged := w.rec.since()
	touch := acknowledged + drainTime
	if trouble {
		w.waitUntil(withdrawStop)
		leaving.terminate()
		time.Sleep(withdrawPause)
		if err := leaving.start(); err != nil {
			return false, err
		}
		touch = w.rec.since() + stableWindow
	}
	if w.isSlow {
		w.waitUntil(withdrawSlow)
	} else {
		w.waitUntil(withdrawLate)
	}
	deliver()
	w.waitUntil(withdrawExit)
	leaving.target.exit()
	w.rec.note("%s: target exits", leaving.name)
	w.waitUntil(withdrawEnd)
	cancel()
	c.run.Wait()
	return countLate(w, c, leaving, acknowledged, touch), nil
}

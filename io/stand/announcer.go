package stand

import (
	"context"
	"net/http"
	"time"
)

// announcer repeats a target's announcement until it is closed.
type announcer struct {
	cancel context.CancelFunc
	again  chan struct{}
	ended  chan struct{}
}

const (
	announceEvery = time.Second
	// announceRetry is shorter than announceEvery so that a target appears soon
	// after a daemon that starts later than it.
	announceRetry = 200 * time.Millisecond
)

// announce starts to announce what current returns, each second and after a
// failure sooner; current reports false while there is nothing to announce.
func announce(daemonAdmin string, current func() (Announcement, bool)) *announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{cancel: cancel, again: make(chan struct{}, 1), ended: make(chan struct{})}
	client := &http.Client{Transport: &http.Transport{}, Timeout: announceEvery}
	go func() {
		defer close(a.ended)
		defer client.CloseIdleConnections()
		for {
			wait := announceEvery
			if what, ok := current(); ok {
				if err := Announce(ctx, client, daemonAdmin, what); err != nil {
					wait = announceRetry
				}
			} else {
				wait = announceRetry
			}
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-a.again:
				timer.Stop()
			case <-timer.C:
			}
		}
	}()
	return a
}

// now announces without waiting for the next second.
func (a *announcer) now() {
	select {
	case a.again <- struct{}{}:
	default:
	}
}

func (a *announcer) close() {
	a.cancel()
	<-a.ended
}

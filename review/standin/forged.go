package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainTime      = 2 * time.Second // drainMs
	forgedInterval = 20 * time.Millisecond
	forgedLeave    = 3 * time.Second // when the target leaves
	forgedBeat     = 7 * time.Second // when the other writer's heartbeat comes
	forgedEnd      = 11 * time.Second
)

// playForged has a target leave and serve on for a while. Meanwhile a heartbeat of another
// writer comes that lacks a field.
func playForged(w *world) verdict {
	w.configure([]string{"bookings"}, []route{
		{Name: "menu", Prefix: "/menu/", Kind: "safe", Timeout: 1000, Goal: 400, Service: "bookings", Attempts: 2, Priority: 2},
	})
	for i := range 3 {
		w.addNode("bookings", []string{"za", "zb"}[i%2], 60*time.Millisecond)
	}
	if !w.awaitReady() {
		return verdict{}
	}
	time.Sleep(time.Second)
	leaving := w.nodes[0]
	begin := w.rec.since()
	var (
		open  sync.WaitGroup
		ids   []string
		acked time.Duration
	)
	once := func(at time.Duration, what func()) func() {
		return sync.OnceFunc(func() {
			w.rec.note("%.0f s after the begin of traffic", at.Seconds())
			what()
		})
	}
	leave := once(forgedLeave, func() {
		if !leaving.target.leave() {
			w.fail(fmt.Errorf("the target's leaving isn't acknowledged"))
		}
		acked = w.rec.since()
		w.rec.note("target of %s says that it leaves, acknowledged", leaving.name)
	})
	forge := once(forgedBeat, func() {
		if w.trouble {
			w.rec.note("another writer's heartbeat at %s, without born: acknowledged %v", leaving.name, leaving.target.forge())
		}
	})
	for i := 0; w.rec.since() < begin+forgedEnd; i++ {
		at := w.rec.since() - begin
		if at > forgedLeave {
			leave()
		}
		if at > forgedBeat {
			forge()
		}
		q := request{id: newID(), at: w.nodes[i%3], method: http.MethodGet, path: fmt.Sprintf("/menu/p%d", i), deadline: time.Second}
		ids = append(ids, q.id)
		open.Add(1)
		go func() {
			defer open.Done()
			w.send(q)
		}()
		time.Sleep(forgedInterval)
	}
	open.Wait()
	late := 0
	for _, id := range ids {
		for _, a := range leaving.target.arrivals(id) {
			if a.at > acked+drainTime {
				late++
				w.rec.note("DRAIN: %s reaches target %s at %.3f, whose leaving was acknowledged at %.3f", id, a.target, a.at.Seconds(), acked.Seconds())
			}
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d requests reached the target later than %s after its leaving was acknowledged", late, drainTime)}
}

// leave has the target send its last message, and reports whether that was acknowledged.
// It serves on, sends no more heartbeats and says in all answers that it leaves.
func (t *target) leave() bool {
	t.mu.Lock()
	t.leaving = true
	id, born := t.id, t.born
	t.mu.Unlock()
	return t.post("/trefoilthread/Instances.Leave/"+id, fmt.Appendf(nil, `{"born":%d}`, born))
}

// forge sends a heartbeat like those of the target, but without its start time, and
// reports whether it was acknowledged.
func (t *target) forge() bool {
	t.mu.Lock()
	id, seq := t.id, t.seq
	t.mu.Unlock()
	doc, err := json.Marshal(map[string]any{
		"address":      t.addr,
		"instanceInfo": map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": targetSlots},
		"status":       map[string]any{"state": "ready", "seq": seq, "coldRemainingMs": 0},
	})
	return err == nil && t.post("/trefoilthread/Instances.Heartbeat/"+id, doc)
}

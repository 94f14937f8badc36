package claims_test

import (
	"testing"

	"pgregory.net/rapid"

	"trefoilthread/core/claims"
)

// Guards against a key that runs twice, a claim that runs after it was refused as
// not run, and a former owner that writes after a takeover. The faults are
// crashes, pauses, outages, expired leases, and lost, late and repeated answers.
// After the faults end, an owner must accept and run a new key.
func TestKeysRunAtMostOnce(t *testing.T) {
	runs, refusals, epochs, segments := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(t, 3)
		if rapid.Bool().Draw(t, "owned") {
			w.step(w.owners[0], claims.Acquire())
			w.settle(5)
		}
		t.Repeat(w.actions())
		w.outage = false
		for _, o := range w.owners {
			o.paused = false
		}
		w.settle(50)
		for _, o := range w.owners[1:] {
			w.step(o, claims.Release())
		}
		w.settle(50)
		// An owner that does not know that it was fenced learns it from the conflict
		// of its first write, so the first attempts may fail.
		before := w.runs
		for i := 0; i < 3 && w.runs == before; i++ {
			w.step(w.owners[0], claims.Acquire())
			w.settle(50)
			w.claim(w.owners[0], key(99))
			w.settle(5)
		}
		if w.runs == before {
			t.Fatalf("new key did not run, the owner is %s", w.owners[0].p.State())
		}
		w.advance(claimTime)
		w.settle(5)
		for tk := range w.waiting {
			for _, o := range w.owners {
				if o.id == tk.holder && !w.ended[tk] {
					t.Fatalf("claim %v was neither run nor refused", tk)
				}
			}
		}
		w.checkStore()
		runs, refusals = runs+w.runs, refusals+w.refusals
		last := w.store.tails[len(w.store.tails)-1]
		_, end := last.Segments()
		epochs, segments = epochs+int(last.Epoch()), segments+int(end)
	})
	t.Logf("%d runs, %d claims refused after waiting, %d epochs, %d segments", runs, refusals, epochs, segments)
	if refusals == 0 || segments == 0 {
		t.Fatal("no waiting claim was refused or no segment was written, so the run did not check that")
	}
}

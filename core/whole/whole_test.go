package whole_test

import (
	"flag"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"trefoilthread/core/types"
)

// TestMain fixes seed and number of the sequences, so that the verdict is the
// same in each run. Flags on the command line replace them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// totals counts what the sequences met, so that a fault that never occurs is
// not taken for one that was survived.
type totals struct {
	sequences, calls, runs, epochs, hedges, retries int
	outcomes                                        map[types.Outcome]int
	moves                                           map[string]int
	net, store, member                              [faultKinds]int
}

func (s *totals) add(w *world) {
	s.sequences++
	s.calls += len(w.oracle.calls)
	s.runs += w.oracle.total
	s.hedges += w.hedges
	s.retries += w.retries
	for o, n := range w.oracle.outcomes {
		s.outcomes[o] += n
	}
	for m, n := range w.moves {
		s.moves[m] += n
	}
	for i := range faultKinds {
		s.net[i] += w.netFaults.met[i]
		s.store[i] += w.storeFaults.met[i]
		s.member[i] += w.memberFaults.met[i]
	}
	for _, n := range w.nodes {
		for _, k := range n.proc.keepers {
			s.epochs = max(s.epochs, int(k.part.Epoch()))
		}
	}
}

// Guards against a key or an at-most-once call that runs twice, a refused call
// that runs, an answer that reaches another caller, more runs than slots, runs
// after a drain, a configuration that goes back, and a call without its one
// result, when several daemons work together under faults.
func TestWhole(t *testing.T) {
	sum := totals{outcomes: map[types.Outcome]int{}, moves: map[string]int{}}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 5).Draw(t, "daemons")
		w, err := play(n, scripts.Draw(t, "script"), rules{})
		if err != nil {
			t.Fatal(err)
		}
		sum.add(w)
	})
	t.Logf("%d sequences, %d calls, %d runs, %d retries, %d hedges, highest epoch %d",
		sum.sequences, sum.calls, sum.runs, sum.retries, sum.hedges, sum.epochs)
	t.Logf("outcomes %v", sum.outcomes)
	t.Logf("moves %v", sum.moves)
	t.Logf("messages: none, notSent, lostRequest, late, lostReply, lateReply, repeated: net %v, store %v, members %v",
		sum.net, sum.store, sum.member)
	for _, k := range kinds {
		if sum.moves[k] == 0 {
			t.Errorf("no move %q was played", k)
		}
	}
	for i := notSent; i < faultKinds; i++ {
		if sum.net[i] == 0 || sum.store[i] == 0 || sum.member[i] == 0 {
			t.Errorf("fault %d was not met by net, store and members", i)
		}
	}
	if sum.hedges == 0 || sum.retries == 0 {
		t.Error("no call was hedged or none was retried")
	}
	for _, o := range []types.Outcome{types.Done, types.NotRun, types.Unknown, types.DeadlineExceeded} {
		if sum.outcomes[o] == 0 {
			t.Errorf("no call ended as %s", o)
		}
	}
}

// Guards against a loop that is not deterministic: its seeds would show other
// sequences in each run.
func TestScriptsRepeat(t *testing.T) {
	for seed := range 20 {
		script := scripts.Example(seed)
		a, errA := play(4, script, rules{})
		b, errB := play(4, script, rules{})
		if errA != nil || errB != nil {
			t.Fatalf("seed %d: %v, %v", seed, errA, errB)
		}
		if a.seq != b.seq || !reflect.DeepEqual(a.oracle.outcomes, b.oracle.outcomes) || !reflect.DeepEqual(a.oracle.runs, b.oracle.runs) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// Guards against an owner that was fenced unawares, by a takeover of which it
// heard nothing, and does not serve its keys again.
func TestFencedOwnerRecovers(t *testing.T) {
	script := []move{{Kind: "store", B: int(lostRequest), N: 2}, {Kind: "split"}}
	if _, err := play(4, script, rules{}); err != nil {
		t.Fatal(err)
	}
}

package whole_test

import (
	"strings"
	"testing"
)

// maxTrial is the number of sequences in which a broken rule has to be found.
const maxTrial = 2000

// Guards against an oracle that cannot fail: each rule that is broken on
// purpose has to be found by the check that belongs to it.
func TestOracleFindsBrokenRules(t *testing.T) {
	for _, b := range []struct {
		name, want string
		rules      rules
	}{
		{"conflict of the store ignored", "ran 2 times", rules{ignoreConflict: true}},
		{"retry without proof", "at-most-once call", rules{retryUnproven: true}},
		{"answer of another call", "got the answer of", rules{wrongAnswer: true}},
		{"earlier attempt forgotten", "after it ran", rules{forgetRun: true}},
		{"gate ignored", "slots", rules{skipGate: true}},
		{"refused call runs", "after it was refused", rules{runRefused: true}},
		{"claimed key runs", "ran 2 times", rules{claimAgain: true}},
		{"older configuration taken", "went back", rules{configBack: true}},
		{"drain ignored", "after its drain", rules{ignoreDrain: true}},
		{"deadline ignored", "deadline", rules{noDeadline: true}},
	} {
		t.Run(b.name, func(t *testing.T) {
			for seed := range maxTrial {
				_, err := play(3+seed%3, scripts.Example(seed), b.rules)
				if err != nil && strings.Contains(err.Error(), b.want) {
					t.Logf("found after %d sequences: %v", seed+1, err)
					return
				}
			}
			t.Fatalf("not found in %d sequences", maxTrial)
		})
	}
}

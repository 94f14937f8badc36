package retry

import "trefoilthread/core/types"

// Pending stands for the outcome of an attempt that is still running when the
// hedge delay has passed.
const Pending types.Outcome = 255

// Decide returns what to do after an attempt of c ended with outcome o, or is
// Pending. The depth is the number of hops before this one; triesLeft excludes
// the attempts that have started. The budget tells whether a token is
// available: of the Hedger for Pending, else of the Budget. The caller takes
// the token if it follows the action.
func Decide(
	c types.Call, depth int, o types.Outcome, provenNotRun bool, triesLeft int,
	bodyReplayable, budget bool,
) Action {
	if triesLeft <= 0 || !bodyReplayable || !budget {
		return GiveUp
	}
	repeatable := depth == 0 && c.Class().Runs() == types.Idempotent
	switch o {
	case Pending:
		if repeatable && c.Class().Urgent() {
			return Hedge
		}
	case types.NotRun, types.Unknown:
		if provenNotRun || repeatable {
			return Retry
		}
	}
	// The other outcomes are the same at each target, or nobody waits for the
	// answer any more.
	return GiveUp
}

package retry

import "trefoilthread/core/types"

// Pending stands for the outcome of an attempt that is still running when the
// hedge delay has passed.
const Pending types.Outcome = 255

// Decide returns what to do after an attempt of c ended with outcome o, or is
// Pending. The depth is the number of hops before this one; triesLeft excludes
// the attempts that have started. The argument hasToken reports whether a token
// is available: from the Hedger if o is Pending, else from the Budget. The caller
// takes the token if it follows the action.
func Decide(
	c types.Call, depth int, o types.Outcome, provenNotRun bool, triesLeft int,
	bodyReplayable, hasToken bool,
) Action {
	if triesLeft <= 0 || !bodyReplayable || !hasToken {
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
	// Any other outcome would be the same at every target, or the caller no longer
	// waits for the answer.
	return GiveUp
}

package admit

// reason says why a call was refused.
type reason uint8

const (
	reasonNone reason = iota
	reasonDraining
	reasonDeadline
	reasonQueueFull
	reasonDisplaced
	reasonQueueReduced
	reasonGoal
	reasonCold
	reasonDrained
	reasonShare
	reasonRank
)

const (
	// ReasonCold is the reason of a refusal by the limit for a cold target.
	ReasonCold = "target is cold and takes few calls"
	// ReasonDrained is the reason of a refusal by a drain of the target's data centre.
	ReasonDrained = "data centre is drained"
)

func (r reason) String() string {
	switch r {
	case reasonDraining:
		return "draining"
	case reasonDeadline:
		return "deadline cannot be met"
	case reasonQueueFull:
		return "queue full"
	case reasonDisplaced:
		return "displaced by a call of more value"
	case reasonQueueReduced:
		return "queue made smaller"
	case reasonGoal:
		return "answer would come after its goal"
	case reasonCold:
		return ReasonCold
	case reasonDrained:
		return ReasonDrained
	case reasonRank:
		return "more urgent calls are refused here"
	case reasonShare:
		return "customer holds more than its share of the waiting calls"
	}
	return ""
}

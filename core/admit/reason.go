package admit

// reason is why a call was refused.
type reason uint8

const (
	none reason = iota
	draining
	late
	full
	displaced
	shrunk
	slow
)

func (r reason) String() string {
	switch r {
	case draining:
		return "draining"
	case late:
		return "deadline cannot be met"
	case full:
		return "queue full"
	case displaced:
		return "displaced by a call of more value"
	case shrunk:
		return "queue made smaller"
	case slow:
		return "answer would come after its goal"
	}
	return ""
}

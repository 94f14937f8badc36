package admit

const (
	// busyShare is the part of a target's slots that are used: targets slow
	// down when they are nearly full, and then finish less in all.
	busyShare = 0.8
	// queueRounds is the number of calls that may wait for each slot.
	queueRounds = 3
	// minShare is the lowest part of the used slots that the adaptive limit
	// goes down to. Neighbours on the host come and go within fractions of a
	// second; fewer calls at a time would not make them finish sooner.
	minShare = 0.75
)

// OptionsFor returns the gate of a target with the given slots and connections
// that slows down when it is nearly full and shares its host. No slots are
// reserved for urgent calls: a service may have none, and its slots would stay
// empty. Connections of 0 are the default.
func OptionsFor(slots, connections int) Options {
	used := max(1, int(float64(slots)*busyShare))
	return Options{
		Slots: used, Connections: connections, Queue: queueRounds * used, MinShare: minShare, UrgentShare: -1,
	}
}

package admit

const (
	// usableSlotShare is the share of a target's slots that are used. A target
	// slows down when it is nearly full, and then its total throughput is lower.
	usableSlotShare = 0.8
	// waitingPerSlot is the number of calls that may wait per used slot.
	waitingPerSlot = 3
	// minShare is the lower bound of the adaptive limit, as a share of the used
	// slots. Load from neighbours on the host lasts only fractions of a second,
	// and running fewer calls during it would not make the calls end sooner.
	minShare = 0.75
)

// OptionsFor returns the gate options for a target with the given slots and
// connections that slows down when it is nearly full and shares its host. No
// slots are reserved for urgent calls: a service may have no such calls, and the
// reserved slots would stay empty. Connections of 0 select the default.
func OptionsFor(slots, connections int) Options {
	used := max(1, int(float64(slots)*usableSlotShare))
	return Options{
		Slots: used, Connections: connections, Queue: waitingPerSlot * used, MinShare: minShare, UrgentShare: -1,
	}
}

package admit

// RefuseWaiting refuses all waiting calls, as the data centre of the target is drained.
// Running calls go on. Unlike Drain it says nothing about the target itself.
func (g *Gate) RefuseWaiting() []Event {
	for _, e := range g.entries {
		if e.id != 0 && !e.running {
			g.drop(e, reasonDrained)
		}
	}
	return g.Pending()
}

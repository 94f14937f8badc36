package vhost

// HasColdRates reports whether a service names how many calls its cold targets take.
func (t *Table) HasColdRates() bool {
	for _, s := range t.services {
		if s.ColdRate > 0 {
			return true
		}
	}
	return false
}

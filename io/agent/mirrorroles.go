package agent

import "time"

// nodeCount returns the number of known agents, this one included.
func (m *mirror) nodeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.Len()
}

// isTeller reports whether other agents ask this one for long values.
func (m *mirror) isTeller() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.IsTeller(m.clock.Now())
}

// isReader reports whether other agents ask this one for changes.
func (m *mirror) isReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.IsReader(m.clock.Now())
}

// serves reports whether another agent asks this one for changes.
func (m *mirror) serves(now time.Time, node string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.Serves(now, node)
}

package mirror

import "time"

// NodeCount returns the number of known agents, this one included.
func (m *Mirror) NodeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.Len()
}

// isTeller reports whether other agents ask this one for long values.
func (m *Mirror) isTeller() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.IsTeller(m.opts.Clock.Now())
}

// IsReader reports whether other agents ask this one for changes.
func (m *Mirror) IsReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.IsReader(m.opts.Clock.Now())
}

// Serves reports whether another agent asks this one for changes.
func (m *Mirror) Serves(now time.Time, node string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sources.Serves(now, node)
}

// IsCopied reports whether all keys of the store are known.
func (m *Mirror) IsCopied() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copy.Revision() > 0
}

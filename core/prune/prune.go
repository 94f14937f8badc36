package prune

import "time"

const (
	// Silence is the time without contact after which an agent is probed.
	Silence = 10 * time.Second
	// probeGap is the time between two probes of an agent.
	probeGap = 2 * time.Second
	// maxFailures is the number of failed probes in a row after which an agent is gone.
	maxFailures = 3
)

// Contact is an agent that is watched.
type Contact struct {
	Name string
	Last time.Time // latest contact, zero if there was none
}

// Table holds the agents that are watched. It is not safe for concurrent use.
type Table struct {
	agents map[string]*agent
	heard  int // agents with contact within Silence at the latest Due
}

type agent struct {
	since    time.Time // latest contact, or when the agent was first watched
	probed   time.Time
	failures int // failed probes since the latest contact
}

// New returns an empty table.
func New() *Table { return &Table{agents: make(map[string]*agent)} }

// Due sets the agents that are watched and returns those to probe now, in the order of
// contacts.
func (t *Table) Due(now time.Time, contacts []Contact) []string {
	before := t.agents
	t.agents = make(map[string]*agent, len(contacts))
	t.heard = 0
	var due []string
	for _, c := range contacts {
		a := before[c.Name]
		if a == nil {
			a = &agent{since: now}
		}
		t.agents[c.Name] = a
		if c.Last.After(a.since) {
			a.since, a.failures = c.Last, 0
		}
		if now.Sub(a.since) < Silence {
			t.heard++
			continue
		}
		if now.Sub(a.probed) >= probeGap {
			a.probed = now
			due = append(due, c.Name)
		}
	}
	return due
}

// Failed records a failed probe and reports whether the agent's record is to be deleted.
// It reports true again after each further failed probe.
func (t *Table) Failed(name string) bool {
	a := t.agents[name]
	if a == nil {
		return false
	}
	a.failures++
	isCutOff := 2*(t.heard+1) < len(t.agents)+1 // this agent included
	return a.failures >= maxFailures && !isCutOff
}

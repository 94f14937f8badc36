package agent

import "time"

// knowledgeAge returns how old the state of the store is that this agent knows: later
// changes may be missing.
func (a *Agent) knowledgeAge() time.Duration { return a.mirror.age() }

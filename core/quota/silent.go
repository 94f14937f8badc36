package quota

import "time"

const (
	// AnswerTime bounds the wait for the answer of an owner.
	AnswerTime = 50 * time.Millisecond
	// silentTime is the time for which an owner that didn't answer isn't asked.
	silentTime = 500 * time.Millisecond
)

// MaxWait bounds the wait of a request for the answers of owners. Those that didn't answer
// aren't asked for the next requests.
const MaxWait = 4 * AnswerTime

// Silent holds the owners that didn't answer, for all customers of a daemon.
type Silent struct {
	until map[string]time.Time
}

// NewSilent returns a Silent without owners.
func NewSilent() *Silent { return &Silent{until: make(map[string]time.Time)} }

// Note enters an owner that didn't answer.
func (s *Silent) Note(now time.Time, node string) {
	for n, t := range s.until {
		if !now.Before(t) {
			delete(s.until, n)
		}
	}
	s.until[node] = now.Add(silentTime)
}

// has reports whether an owner isn't asked because it didn't answer.
func (s *Silent) has(now time.Time, node string) bool { return now.Before(s.until[node]) }

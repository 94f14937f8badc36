package probe

import "time"

// grant is a cost that was granted at a time.
type grant struct {
	at   time.Time
	cost time.Duration
}

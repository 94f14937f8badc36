package cold

import "time"

const (
	// checkAge is the age of the information from which on a health check comes before the
	// next call.
	checkAge = 100 * time.Millisecond
	// maxAge is the age of the information from which on the target counts as cold.
	maxAge = time.Second
	// window is the time over which the calls to a cold target are bounded.
	window = time.Second
)

// Options describe the targets of a service.
type Options struct {
	Time      time.Duration // how long a target stays cold after its start
	HasChecks bool          // the targets answer health checks
}

// Tracker holds what is known of the cold times of one target. It isn't safe for concurrent
// use.
type Tracker struct {
	presumedAt time.Time   // latest event after which the target may be cold
	sentAt     time.Time   // of the latest information, zero for none
	until      time.Time   // end of the cold time that the target has named
	warmAt     time.Time   // when the latest information that the target isn't cold was sent
	starts     []time.Time // of the calls within the window, in order
}

// New returns a Tracker that presumes that the target is cold.
func New(now time.Time) *Tracker { return &Tracker{presumedAt: now} }

// Presume records an event after which the target may be cold.
func (t *Tracker) Presume(now time.Time) { t.presumedAt = now }

// Hear records a message of the target that says how much longer it is cold, 0 if it isn't. The
// message was sent at sent or later. Information that was sent before the last event
// or before other information can only prolong the cold time.
func (t *Tracker) Hear(sent, arrived time.Time, remaining time.Duration) {
	t.Prolong(arrived, remaining)
	if sent.Before(t.sentAt) || !sent.After(t.presumedAt) {
		return
	}
	t.sentAt = sent
	if remaining <= 0 {
		t.until, t.warmAt = time.Time{}, sent
		return
	}
	t.until = arrived.Add(remaining)
}

// Prolong records that the target has said how much longer it is cold, in a message of which it
// is unknown when it was sent. It doesn't show that the target is warm, or warm earlier than it
// has said before.
func (t *Tracker) Prolong(arrived time.Time, remaining time.Duration) {
	if until := arrived.Add(remaining); remaining > 0 && until.After(t.until) {
		t.until = until
	}
}

// isConfirmed reports whether information was sent after the last event.
func (t *Tracker) isConfirmed() bool { return t.sentAt.After(t.presumedAt) }

// NeedsCheck reports whether a health check should come before the next call: the information is
// old, or more than spare calls have started since it said that the target isn't cold.
func (t *Tracker) NeedsCheck(now time.Time, spare int) bool {
	return !t.isConfirmed() || now.Sub(t.sentAt) > checkAge || !now.Before(t.until) && t.Unseen(now) > spare
}

// IsCold reports whether the target counts as cold.
func (t *Tracker) IsCold(now time.Time, o Options) bool { return t.Remaining(now, o) > 0 }

// Remaining returns how much longer the target counts as cold unless it says otherwise, 0 if
// it doesn't.
func (t *Tracker) Remaining(now time.Time, o Options) time.Duration {
	left := max(0, t.until.Sub(now))
	if !t.isConfirmed() {
		left = max(left, t.presumedAt.Add(o.Time).Sub(now))
	}
	if o.HasChecks && (!t.isConfirmed() || now.Sub(t.sentAt) > maxAge) {
		left = max(left, maxAge)
	}
	return left
}

// Start records that a call starts at the target.
func (t *Tracker) Start(now time.Time) {
	t.prune(now)
	t.starts = append(t.starts, now)
}

// Unseen returns the number of calls in the last second that started after the latest
// information that the target isn't cold: it may have been cold already.
func (t *Tracker) Unseen(now time.Time) int {
	t.prune(now)
	n := 0
	for _, at := range t.starts {
		if !at.Before(t.warmAt) {
			n++
		}
	}
	return n
}

// prune drops the starts that are older than the window.
func (t *Tracker) prune(now time.Time) {
	i := 0
	for i < len(t.starts) && now.Sub(t.starts[i]) >= window {
		i++
	}
	t.starts = append(t.starts[:0], t.starts[i:]...)
}

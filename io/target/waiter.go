package target

import "trefoilthread/core/admit"

// verdict is the final decision on a waiting call.
type verdict struct {
	run    bool
	reason string
}

// waiters maps the tickets of waiting calls to the goroutines that wait.
type waiters map[admit.Ticket]chan verdict

// deliver wakes the goroutines that events decide on.
func (w waiters) deliver(events []admit.Event) {
	for _, ev := range events {
		c, ok := w[ev.Ticket]
		if !ok {
			continue
		}
		delete(w, ev.Ticket)
		c <- verdict{run: ev.Verdict == admit.Run, reason: ev.Reason}
	}
}

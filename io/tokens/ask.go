package tokens

import (
	"context"
	"slices"
	"time"

	"trefoilthread/core/quota"
	"trefoilthread/io/mesh"
)

// askOwners asks the owners of a customer until no request waits. Requests that come
// meanwhile share it.
func (q *Quotas) askOwners(s *customerState) {
	for {
		node, want, ok := q.nextAsk(s)
		if !ok {
			return
		}
		q.askOwner(s, node, want)
	}
}

// nextAsk returns the owner to ask and for how many tokens. It returns false if no request
// waits any more.
func (q *Quotas) nextAsk(s *customerState) (node string, want int, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		now := q.opts.Elapsed()
		q.serveWaiting(s)
		node, ok := s.asker.Next(now, q.owners(s), q.silent)
		q.refuseWaiting(s, func(w *waiter) bool { return !ok || !now.Before(w.until) })
		if len(s.waiting) == 0 {
			s.asking = false
			return "", 0, false
		}
		want = s.asker.Want(now, len(s.waiting))
		if node != q.opts.Self {
			return node, want, true
		}
		s.asker.Granted(now, now, node, q.grant(s.name, want))
	}
}

// refuseWaiting ends the waits for which isOver returns true, with the lock held.
func (q *Quotas) refuseWaiting(s *customerState, isOver func(w *waiter) bool) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		over := isOver(w)
		if over {
			w.verdict <- q.refusal(s)
		}
		return over
	})
}

// askOwner asks another agent for tokens.
func (q *Quotas) askOwner(s *customerState, node string, want int) {
	sent := q.opts.Elapsed()
	ctx, cancel := context.WithTimeout(context.Background(), quota.AnswerTime)
	defer cancel()
	q.count("quota_asks")
	t, err := q.opts.Ask(ctx, node, &mesh.TokenRequest{Customer: string(s.name), Count: want})
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.opts.Elapsed()
	if err != nil {
		q.silent.Note(now, node)
		return
	}
	s.asker.Granted(now, sent, node, toGrant(t))
}

// toGrant converts the answer of another agent. One that was cut or spoiled grants nothing.
func toGrant(t *mesh.Tokens) quota.Grant {
	return quota.Grant{Entitled: t.Entitled, Count: max(0, t.Count), Wait: max(0, min(t.Wait(), time.Second))}
}

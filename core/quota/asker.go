package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// ahead is the time for whose expected requests tokens are asked for.
	ahead = 100 * time.Millisecond
	// demandTime is the time constant of the estimate of the demand. It lets the demand
	// move to another daemon within a second.
	demandTime = 500 * time.Millisecond
)

// Asker holds the tokens of one customer at one daemon, and what the owners have said.
// Its times are those of a clock that counts suspension.
type Asker struct {
	lots   []lot
	owners map[string]reply // by name
	demand float64          // requests a second, as of noted
	noted  time.Time
}

// reply is what an owner said last.
type reply struct {
	due      time.Time // the owner isn't asked before it
	entitled bool
}

// NewAsker returns an Asker without tokens.
func NewAsker() *Asker { return &Asker{owners: make(map[string]reply)} }

// Note records a request.
func (a *Asker) Note(now time.Time) {
	a.demand = a.demandAt(now) + 1/demandTime.Seconds()
	a.noted = now
}

// demandAt returns the estimate of the requests a second.
func (a *Asker) demandAt(now time.Time) float64 {
	if a.noted.IsZero() {
		return 0
	}
	return a.demand * math.Exp(-max(0, now.Sub(a.noted).Seconds())/demandTime.Seconds())
}

// Take takes a token that is here.
func (a *Asker) Take(now time.Time) (Token, bool) {
	a.expire(now)
	if len(a.lots) == 0 {
		return Token{}, false
	}
	l := &a.lots[0]
	l.count--
	t := Token{expires: l.expires}
	if l.count == 0 {
		a.lots = a.lots[1:]
	}
	return t, true
}

// Return puts back the token of a request that no target got.
func (a *Asker) Return(now time.Time, t Token) {
	if t.IsValid(now) {
		a.add(lot{count: 1, expires: t.expires})
	}
}

// add enters tokens in the order of their expiry.
func (a *Asker) add(l lot) {
	i := len(a.lots)
	for i > 0 && l.expires.Before(a.lots[i-1].expires) {
		i--
	}
	a.lots = slices.Insert(a.lots, i, l)
}

// expire drops the tokens that may not be used any more.
func (a *Asker) expire(now time.Time) {
	for len(a.lots) > 0 && !now.Before(a.lots[0].expires) {
		a.lots = a.lots[1:]
	}
}

// Want returns the number of tokens to ask for if some requests wait: one for each, and
// those for the requests that are expected.
func (a *Asker) Want(now time.Time, waiting int) int {
	return waiting + int(a.demandAt(now)*ahead.Seconds())
}

// Next returns the owner to ask now: the first one that isn't silent and from which a token
// may be had. It returns false if there is none.
func (a *Asker) Next(now time.Time, owners []string, silent *Silent) (string, bool) {
	for _, node := range owners {
		if !silent.has(now, node) && !now.Before(a.owners[node].due) {
			return node, true
		}
	}
	return "", false
}

// Granted takes the answer of an owner to a request for tokens that was sent at a time.
func (a *Asker) Granted(now, sent time.Time, node string, g Grant) {
	r := reply{due: now, entitled: g.Entitled}
	switch {
	case !g.Entitled, g.Count <= 0 && g.Wait <= 0:
		r.due = now.Add(MaxHint)
	case g.Wait > 0:
		r.due = now.Add(min(g.Wait, MaxHint))
	}
	a.forget(now)
	a.owners[node] = r
	if expires := sent.Add(Lifetime); g.Count > 0 && now.Before(expires) {
		a.add(lot{count: g.Count, expires: expires})
	}
}

// forget drops the replies that were due silentTime ago or earlier. They no longer affect Next
// or IsUsedUp; dropping them bounds the map when owners change.
func (a *Asker) forget(now time.Time) {
	for node, r := range a.owners {
		if now.Sub(r.due) >= silentTime {
			delete(a.owners, node)
		}
	}
}

// IsUsedUp reports whether an owner has said that it is out of tokens. Otherwise nothing is
// known of the quota.
func (a *Asker) IsUsedUp(now time.Time, owners []string) bool {
	return slices.ContainsFunc(owners, func(node string) bool {
		r := a.owners[node]
		return r.entitled && r.due.After(now)
	})
}

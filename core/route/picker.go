package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"trefoilthread/core/types"
)

// Picker selects targets of one service. It isn't safe for concurrent use.
type Picker struct {
	opts     Options
	epoch    time.Time
	selfHash uint64
	random   *rand.Rand
	cursor   uint64
	tried    []types.TargetID // of the current decision
	body     int              // length in bytes of the call to be placed by the current decision

	round   uint64
	byID    map[types.TargetID]*member
	members []*member // in the order of the last Update
	subset  []*member // up, ordered by groups of distance
	ranked  []ranked  // buffer of Update

	groupEnd [groupCount]int // end of each group in the subset

	calls          calls
	suspendedCount int           // in the subset
	picks          uint64        // decisions so far
	lastTrialAt    time.Duration // last trial call, or the first suspension of any target
	lastTrialPick  uint64        // value of picks at lastTrialAt
	exploredAt     time.Duration // last exploring call

	meanLatency    average
	meanOtherCalls average // reported calls from other daemons, over all targets
	latencyP95     quantile
}

// New returns a Picker without targets.
func New(o Options) *Picker {
	o = o.withDefaults()
	self := hashID(o.Self)
	return &Picker{
		opts:     o,
		selfHash: self,
		random:   rand.New(rand.NewPCG(o.Seed, self)),
		byID:     make(map[types.TargetID]*member),

		exploredAt: longAgo,
	}
}

// Len returns the number of targets in the membership, in any state.
func (p *Picker) Len() int { return len(p.members) }

// Pick selects a target for a call with a short body, see PickForBody.
func (p *Picker) Pick(now time.Time, tried []types.TargetID) (types.Target, bool) {
	return p.PickForBody(now, tried, 0)
}

// PickForBody selects a target for a call with a body of n bytes, never one that is
// draining, down or in tried. It returns false if none is left.
func (p *Picker) PickForBody(now time.Time, tried []types.TargetID, n int) (types.Target, bool) {
	p.body = n
	// The copy keeps the caller's slice from escaping to the heap.
	p.tried = append(p.tried[:0], tried...)
	p.picks++
	i := p.opts.Policy(View{p: p, now: p.sinceEpoch(now)})
	if i < 0 {
		return types.Target{}, false
	}
	return p.subset[i].target, true
}

// isUntried reports whether m takes calls and hasn't been tried for the present one.
func (p *Picker) isUntried(now time.Duration, m *member) bool {
	return m.isUsable(now) && (len(p.tried) == 0 || !slices.Contains(p.tried, m.target.ID()))
}

// CountUsable returns the number of targets in the subset that take calls, those
// excluded that are suspended or weren't reached a moment ago.
func (p *Picker) CountUsable(now time.Time) int {
	at := p.sinceEpoch(now)
	n := 0
	for _, m := range p.subset {
		if m.isUsable(at) && !m.suspended && at >= m.unreachedUntil {
			n++
		}
	}
	return n
}

// PickFor selects the target with the highest rendezvous hash of the
// fingerprint among all that are up. Daemons with the same membership select
// the same target.
func (p *Picker) PickFor(now time.Time, f types.Fingerprint) (types.Target, bool) {
	at := p.sinceEpoch(now)
	var best *member
	var weight uint64
	for _, m := range p.members {
		if !m.isUsable(at) {
			continue
		}
		w := rendezvous(uint64(f), m.hash)
		if best == nil || w > weight || w == weight && m.target.ID() < best.target.ID() {
			best, weight = m, w
		}
	}
	if best == nil {
		return types.Target{}, false
	}
	return best.target, true
}

// Start records that a call to the target begins. The token is valid also if the
// target isn't in the membership; Finish then ignores the result.
func (p *Picker) Start(now time.Time, id types.TargetID) Token {
	at := p.sinceEpoch(now)
	m := p.byID[id]
	if m != nil {
		m.applyIdleDecay(at, p.serviceLatency())
		m.starts.record(at)
	}
	return p.calls.start(at, m)
}

// Finish records the result of a call. It does nothing if the call was
// finished before; the result of a call to an earlier incarnation is dropped.
func (p *Picker) Finish(now time.Time, tok Token, res Result) {
	at := p.sinceEpoch(now)
	m, trial := p.calls.finish(tok)
	if m == nil {
		return
	}
	if res.HasReport {
		p.applyReport(at, m, res.Report, false)
	}
	if res.Unreached {
		m.unreachedUntil = at + unreachedPause
	}
	v := res.kind()
	// If the configured distance is too long, the target must not look faster
	// than a tenth of the measured latency.
	x := max(float64(res.Latency-2*m.distance), float64(res.Latency)/10)
	m.observe(at, v, x)
	if v == succeeded {
		p.latencyP95.observe(x)
		p.meanLatency.observeWithWarmup(min(x, p.latencyP95.value), 1.0/64)
	}
	switch {
	case trial && m.suspended:
		p.finishTrial(at, m, v, res)
	case v == failed && m.failureShare > suspendFailureShare:
		p.suspend(at, m)
	}
}

// ApplyReport stores a load report that came without a response. It ignores one for an
// unknown target or an earlier incarnation, and its number of calls if a recent one is known.
func (p *Picker) ApplyReport(now time.Time, id types.TargetID, r types.Report) {
	if m := p.byID[id]; m != nil {
		p.applyReport(p.sinceEpoch(now), m, r, true)
	}
}

// applyReport stores a report unless it is from an earlier incarnation. A report
// of a later one shows a restart before the membership does; incarnation 0 is
// unknown and counts as the current one. An unsolicited report came without a response.
func (p *Picker) applyReport(now time.Duration, m *member, r types.Report, unsolicited bool) {
	if r.Incarnation() < m.incarnation && r.Incarnation() != 0 {
		return
	}
	if r.Incarnation() > m.incarnation {
		p.resetStats(m, now)
		m.incarnation = r.Incarnation()
	}
	m.storeReport(now, r)
	if m.replacesLoad(now, unsolicited) {
		m.storeLoad(now, r)
		p.meanOtherCalls.observe(m.otherCalls, 1.0/16)
	}
}

// resetStats discards the statistics of the previous incarnation of m.
func (p *Picker) resetStats(m *member, started time.Duration) {
	p.calls.detach(m)
	if m.suspended && m.inSubset {
		p.suspendedCount--
	}
	m.stats = newStats(started)
}

// List returns the state of all targets, sorted by name.
func (p *Picker) List(now time.Time) []Status {
	list := make([]Status, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, p.status(p.sinceEpoch(now), m))
	}
	slices.SortFunc(list, compareStatus)
	return list
}

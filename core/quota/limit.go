package quota

// MaxOwners is the number of parts that a quota has at most. Data centres beyond it, in
// the order of their names, have none; their daemons ask those of the others.
const MaxOwners = 10

// extraBurst is added to the burst of a customer for the sizes of its buckets, in requests. It
// takes half of the 20 requests that the bound allows beyond the quota. Requests come
// irregularly: with a size of one token in each data centre, small customers far below their
// quotas would be refused.
const extraBurst = 10

// Limit is the quota of a customer over all daemons.
type Limit struct {
	PerSecond float64 // 0 for no limit
	Burst     float64
}

// share returns the rate and the size of a bucket that holds the given number of the n equal
// parts of the quota. The size includes extraBurst.
func (l Limit) share(parts, n int) Limit {
	k := float64(parts) / float64(max(n, 1))
	return Limit{PerSecond: l.PerSecond * k, Burst: (l.Burst + extraBurst) * k}
}

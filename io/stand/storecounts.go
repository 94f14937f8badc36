package stand

// StoreCounts are the calls that reached a Store, rejected ones included.
type StoreCounts struct {
	// Ranges are reads of a key or a prefix.
	Ranges int
	// Txns are transactions, whether or not their compares held.
	Txns int
	// Watches are all watches created, Pending those still open.
	Watches, Pending int
	// Grants, Revokes and KeepAlives are lease calls.
	Grants, Revokes, KeepAlives int
	// Rejected are the calls refused by the rate limits.
	Rejected int
	// Lost are the answers lost on purpose.
	Lost int
}

// Writes returns the calls that count as writes: transactions and lease calls.
func (c StoreCounts) Writes() int { return c.Txns + c.Grants + c.Revokes + c.KeepAlives }

// Reads returns the calls that count as reads: ranges, and one for each watch.
func (c StoreCounts) Reads() int { return c.Ranges + c.Watches }

package store

// BudgetCounts are the decisions of a Budget.
type BudgetCounts struct {
	// Writes and Reads are the calls that were let through, each watch as two
	// reads.
	Writes, Reads int
	// Refused calls exceeded a rate, BackedOff ones came between two trials.
	Refused, BackedOff int
	// Pending is the number of open watches.
	Pending int
}

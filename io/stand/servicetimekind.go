package stand

// ServiceTimeKind is a kind of distribution.
type ServiceTimeKind uint8

const (
	// Constant service times are all the mean.
	Constant ServiceTimeKind = iota
	// Exponential service times have many short and few long values.
	Exponential
	// Lognormal service times have a tail that grows with sigma.
	Lognormal
)

package route

const (
	quantileLevel = 0.95
	// quantileStep is the relative change for each observation above the
	// estimate. At 0.05, it takes about 50 calls to follow a tenfold increase; one
	// observation changes the estimate by at most 5 %, whatever its size.
	quantileStep = 0.05
)

// quantile estimates a latency quantile in constant memory by stochastic
// approximation. Unlike an average, it doesn't depend on how slow a straggler is.
type quantile struct {
	value float64
}

func (q *quantile) observe(x float64) {
	switch {
	case q.value == 0:
		// Three times the first observation is the 95 % quantile of an
		// exponential distribution with that mean.
		q.value = 3 * x
	case x > q.value:
		q.value *= 1 + quantileStep*quantileLevel
	default:
		q.value *= 1 - quantileStep*(1-quantileLevel)
	}
}

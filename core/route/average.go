package route

// average is an exponentially weighted moving average.
type average struct {
	value float64
	n     float64 // observations so far
	set   bool
}

// observe adds x with the weight alpha. The first observation sets the value.
func (a *average) observe(x, alpha float64) {
	if !a.set {
		a.value, a.set = x, true
		return
	}
	a.value += alpha * (x - a.value)
}

// observeWithWarmup adds x with the weight alpha, but weighs the first 1/alpha
// observations equally. Otherwise the first one, over a cold connection, would
// dominate the average for a long time.
func (a *average) observeWithWarmup(x, alpha float64) {
	a.n++
	a.observe(x, max(alpha, 1/a.n))
}

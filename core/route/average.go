package route

// average is a moving average.
type average struct {
	value float64
	n     float64 // observations so far
	set   bool
}

// observe counts x with the weight alpha.
func (a *average) observe(x, alpha float64) {
	if !a.set {
		a.value, a.set = x, true
		return
	}
	a.value += alpha * (x - a.value)
}

// observeLong counts x with the weight alpha once there are enough
// observations. Before, all of them count alike: the first one, of a cold
// connection, would else be most of the average for long.
func (a *average) observeLong(x, alpha float64) {
	a.n++
	a.observe(x, max(alpha, 1/a.n))
}

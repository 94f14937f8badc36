package route

// average is an exponentially weighted moving average that starts with its
// first observation.
type average struct {
	value float64
	set   bool
}

func (a *average) observe(x, alpha float64) {
	if !a.set {
		a.value, a.set = x, true
		return
	}
	a.value += alpha * (x - a.value)
}

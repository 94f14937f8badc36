package load

// Result is what one run of a generator measured.
type Result struct {
	series []*Series
	missed int
}

func newResult(mix []Kind) *Result {
	r := &Result{}
	for _, k := range mix {
		r.series = append(r.series, newSeries(k))
	}
	return r
}

// Series returns the results by kind of call, in the order of the mix.
func (r *Result) Series() []*Series { return r.series }

// Missed returns the number of calls that were not sent because too many were
// waiting.
func (r *Result) Missed() int { return r.missed }

// Worth returns the worth of all answers in time and of all calls sent.
func (r *Result) Worth() (answered, offered float64) {
	for _, s := range r.series {
		a, o := s.Worth()
		answered += a
		offered += o
	}
	return answered, offered
}

package probe

import "time"

const (
	// Cost is the time of the target that one probe takes.
	Cost = 6 * time.Millisecond
	// DefaultBudget is the budget of one target for each DefaultWindow.
	DefaultBudget = 10 * time.Millisecond
	// DefaultWindow is the length of the window.
	DefaultWindow = time.Second
	// DefaultRecords is the number of grants kept. The default budget admits one
	// probe per window, so this matters only for queries of very low cost.
	DefaultRecords = 64
)

// Options configures a Budget. Values of zero or less select the defaults,
// except for Budget: a negative one forbids all measurement.
type Options struct {
	Budget  time.Duration // total cost in any window
	Window  time.Duration // length of the window
	Records int           // upper bound on the grants kept
}

func (o Options) withDefaults() Options {
	if o.Budget == 0 {
		o.Budget = DefaultBudget
	}
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.Records <= 0 {
		o.Records = DefaultRecords
	}
	return o
}

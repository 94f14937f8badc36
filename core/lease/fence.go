package lease

// Fence is a receiver's check of the epochs in the messages it gets. The zero
// value accepts any epoch first.
type Fence struct {
	epoch uint64
}

// Admit reports whether a message of the given epoch may be acted on, and
// refuses lower epochs from then on.
func (f *Fence) Admit(epoch uint64) bool {
	if epoch < f.epoch {
		return false
	}
	f.epoch = epoch
	return true
}

// Epoch returns the highest epoch admitted.
func (f *Fence) Epoch() uint64 { return f.epoch }

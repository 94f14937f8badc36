package lease

// Fence lets a receiver reject messages of former leaders by their epoch (the
// fencing token). The zero value admits any epoch. It is not safe for concurrent
// use.
type Fence struct {
	epoch uint64
}

// Admit reports whether a message of the given epoch may be acted on, which is if
// no higher epoch has been admitted.
func (f *Fence) Admit(epoch uint64) bool {
	if epoch < f.epoch {
		return false
	}
	f.epoch = epoch
	return true
}

// Epoch returns the highest epoch admitted, 0 if none.
func (f *Fence) Epoch() uint64 { return f.epoch }

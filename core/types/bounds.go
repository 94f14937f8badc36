package types

const (
	// MaxSlots is the largest number of calls that a target may say to run at a time.
	MaxSlots = 100_000
	// MaxNumber is the largest start time in ms, and number of a message, of a target: the
	// largest whole number that all writers of JSON keep. A larger one would hide the later
	// messages of the target.
	MaxNumber = 1<<53 - 1
)

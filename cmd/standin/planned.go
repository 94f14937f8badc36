package main

import "time"

// planned is a fault that begins some time after the start, if that is not 0.
type planned struct {
	after time.Duration
	do    func()
}

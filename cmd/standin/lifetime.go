package main

import (
	"context"
	"fmt"
	"time"
)

// lifetime has the flags that both commands share.
type lifetime struct {
	Addr string        `default:"127.0.0.1:0" help:"Address to listen on."`
	For  time.Duration `help:"End after this time, 0 for never."`
}

// wait prints the address, runs the planned faults and returns when the
// process is to end.
func (l lifetime) wait(ctx context.Context, addr string, planned ...planned) error {
	if _, err := fmt.Println("listening", addr); err != nil {
		return err
	}
	if l.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.For)
		defer cancel()
	}
	for _, p := range planned {
		if p.after > 0 {
			timer := time.AfterFunc(p.after, p.do)
			defer timer.Stop()
		}
	}
	<-ctx.Done()
	return nil
}

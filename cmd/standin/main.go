package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands is the command line.
type commands struct {
	Store  storeCommand  `cmd:"" help:"Serve the used subset of the etcd v3 API from memory."`
	Target targetCommand `cmd:"" help:"Serve HTTP like a user's target."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c commands
	k := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for trials of trefoilthread."),
		kong.UsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}

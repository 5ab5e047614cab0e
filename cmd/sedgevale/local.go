package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sedgevale/internal/system/local"
)

// localCmd runs a small system on loopback, with fake workers and a client.
type localCmd struct {
	Dir string        `arg:"--dir" default:"logs/system" help:"The directory of state, settings and logs."`
	For time.Duration `arg:"--for" help:"How long it runs; until Ctrl-C without it."`
}

// Run runs the system until SIGINT or SIGTERM, or for the duration of --for.
func (c localCmd) Run() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	return local.Run(ctx, c.Dir, program, os.Stdout)
}

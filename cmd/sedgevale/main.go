// Sedgevale is a job scheduler for a fleet of workers.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"sedgevale/internal/config"
	"sedgevale/scheduler"
)

type cli struct {
	Serve serveCmd `cmd:"" help:"Schedule jobs until SIGTERM."`
}

type serveCmd struct{}

func (serveCmd) Run() error {
	c, err := config.FromEnv()
	if err != nil {
		return err
	}
	scheduler.Limit(c)
	s, err := scheduler.New(c, scheduler.Options{Log: slog.New(slog.NewTextHandler(os.Stderr, nil))})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return s.Run(ctx)
}

func main() {
	k := kong.Parse(&cli{}, kong.Name("sedgevale"), kong.Description("A job scheduler for a fleet of workers."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "sedgevale:", err)
		os.Exit(1)
	}
}

package scheduler

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
)

// Serve is all of a program that is nothing but a scheduler. It serves by the configuration
// that read returns until SIGTERM or SIGINT, then drains. At SIGHUP it reads again and goes
// on by the new configuration, or by the old one if the new one is invalid.
func Serve(read func() (*Config, error), log *slog.Logger) error {
	// Before all else: without a handler a SIGHUP ends the process. The handler stays to
	// the end, for one may come while the last responses are being sent.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := read()
	if err != nil {
		if c = inheritedConfig(context.WithoutCancel(ctx)); c == nil { // its time-outs are short enough
			return err
		}
		log.Error("the configuration is bad, using that of the serving process", "err", err)
	}
	ConfigureRuntime(c)
	var current atomic.Pointer[Config]
	current.Store(c)
	s, err := New(c, Options{Log: log, OnProcessCount: func(processes int) { limitMemory(current.Load(), processes) }})
	if err != nil {
		return err
	}
	go func() {
		for range hangup {
			c, err := read()
			if err == nil {
				err = s.Reload(c)
			}
			if err != nil {
				log.Error("the new configuration is bad, keeping the old one", "err", err)
				continue
			}
			current.Store(c)
			s.rebalanceResources()
		}
	}()
	return s.Run(ctx)
}

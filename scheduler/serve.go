package scheduler

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
)

// Serve runs a scheduler with the configuration that read returns until SIGTERM or SIGINT, then
// drains it. At SIGHUP it calls read again and reloads the configuration; if that is invalid,
// it keeps the current one. Serve is meant for programs that only run a scheduler.
func Serve(read func() (*Config, error), log *slog.Logger) error {
	// Without a handler, SIGHUP ends the process. The handler is installed first and stays
	// until the end, since a SIGHUP may arrive while the last responses are being sent.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := read()
	if err != nil {
		if c = inheritedConfig(context.WithoutCancel(ctx)); c == nil { // bounded by its own timeouts
			return err
		}
		log.Error("cannot read the configuration or it is invalid; using that of the serving process", "err", err)
	}
	ConfigureRuntime(c)
	var current atomic.Pointer[Config]
	current.Store(c)
	s, err := New(c, Options{Log: log, OnProcessCount: func(processes int) { limitMemory(current.Load(), processes) }})
	if err != nil {
		return err
	}
	go func() {
		for range reload {
			c, err := read()
			if err == nil {
				err = s.Reload(c)
			}
			if err != nil {
				log.Error("the new configuration is bad; keeping the current one", "err", err)
				continue
			}
			current.Store(c)
			s.rebalanceResources()
		}
	}()
	return s.Run(ctx)
}

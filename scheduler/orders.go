package scheduler

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/ops"
)

var errNotServing = errors.New("not serving")

// Healthy returns nil if this process can serve: it listens, is not ending, and
// planners and event loops have their turns.
func (s *Scheduler) Healthy(ctx context.Context) error {
	if !s.ready.Load() {
		return errNotServing
	}
	if err := s.planners.Alive(ctx); err != nil {
		return fmt.Errorf("the planners have no turn: %w", err)
	}
	if s.reverseProxy != nil {
		if err := s.reverseProxy.Alive(ctx); err != nil {
			return fmt.Errorf("the web front's planner has no turn: %w", err)
		}
	}
	turn := make(chan struct{}, 1+len(s.servers))
	s.workerLoop.Do(func() { turn <- struct{}{} })
	for _, server := range s.servers {
		server.Alive(func() { turn <- struct{}{} })
	}
	for range cap(turn) {
		select {
		case <-turn:
		case <-ctx.Done():
			return fmt.Errorf("an event loop has no turn: %w", ctx.Err())
		}
	}
	return nil
}

// Cordon takes a worker out or puts it back. It returns once that holds and is
// saved, here and in the other process of an upgrade.
func (s *Scheduler) Cordon(ctx context.Context, host string, out bool) error {
	if err := s.applyCordon(ctx, host, out); err != nil {
		return err
	}
	if err := s.forwardOrder(ctx, host, out, nil); err != nil {
		return err
	}
	s.options.Log.Info("an operator's order holds", "worker", host, "out", out)
	return nil
}

// applyCordon carries out an order in this process. Orders are carried out one after
// another.
func (s *Scheduler) applyCordon(ctx context.Context, host string, out bool) error {
	select {
	case s.cordonTurn <- struct{}{}:
		defer func() { <-s.cordonTurn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !out { // else what is placed there at once would be turned back
		if err := s.cordonConnections(ctx, host, false); err != nil {
			return err
		}
	}
	known, err := s.planners.Cordon(ctx, host, out)
	if err != nil {
		return fmt.Errorf("the planners: %w", err)
	}
	if s.reverseProxy != nil && s.reverseProxy.Cordon(host, out) {
		known = true
	}
	if !known && !s.cordons.Has(host) {
		return ops.ErrUnknown
	}
	if out {
		if err := s.cordonConnections(ctx, host, true); err != nil {
			return err
		}
	}
	return s.cordons.Set(host, out)
}

// restoreCordon has a worker out from the start.
func (s *Scheduler) restoreCordon(host string) {
	s.pool.Cordon(host, true, func() {})
	s.planners.Keep(host)
	if s.reverseProxy != nil {
		s.reverseProxy.Cordon(host, true)
	}
}

// cordonConnections has the carrier keep to an order.
func (s *Scheduler) cordonConnections(ctx context.Context, host string, out bool) error {
	done := make(chan struct{})
	s.pool.Cordon(host, out, func() { close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the workers' event loop: %w", ctx.Err())
	}
}

// runtimeFile names a file of this scheduler, the same for each of its processes.
func runtimeFile(c *dispatchconfig.Config, ending string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Name + "\x00" + c.Listen))
	return filepath.Join(os.TempDir(), fmt.Sprintf("sedgevale-%016x.%s", h.Sum64(), ending))
}

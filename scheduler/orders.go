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

var errNotReady = errors.New("not serving")

// Healthy returns nil if this process can serve: it listens, is not ending, and
// planners and event loops have their turns.
func (s *Scheduler) Healthy(ctx context.Context) error {
	if !s.ready.Load() {
		return errNotReady
	}
	if err := s.planners.Alive(ctx); err != nil {
		return fmt.Errorf("the planners have no turn: %w", err)
	}
	if s.web != nil {
		if err := s.web.Alive(ctx); err != nil {
			return fmt.Errorf("the web front's planner has no turn: %w", err)
		}
	}
	turn := make(chan struct{}, 1+len(s.servers))
	s.loop.Do(func() { turn <- struct{}{} })
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
	if err := s.apply(ctx, host, out); err != nil {
		return err
	}
	if err := s.tellOthers(ctx, host, out, nil); err != nil {
		return err
	}
	s.opt.Log.Info("an operator's order holds", "worker", host, "out", out)
	return nil
}

// apply carries out an order in this process. Orders are carried out one after
// another.
func (s *Scheduler) apply(ctx context.Context, host string, out bool) error {
	select {
	case s.order <- struct{}{}:
		defer func() { <-s.order }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !out { // else what is placed there at once would be turned back
		if err := s.carry(ctx, host, false); err != nil {
			return err
		}
	}
	known, err := s.planners.Cordon(ctx, host, out)
	if err != nil {
		return fmt.Errorf("the planners: %w", err)
	}
	if s.web != nil && s.web.Cordon(host, out) {
		known = true
	}
	if !known && !s.cordons.Has(host) {
		return ops.ErrUnknown
	}
	if out {
		if err := s.carry(ctx, host, true); err != nil {
			return err
		}
	}
	return s.cordons.Set(host, out)
}

// keep has a worker out from the start.
func (s *Scheduler) keep(host string) {
	s.pool.Cordon(host, true, func() {})
	s.planners.Keep(host)
	if s.web != nil {
		s.web.Cordon(host, true)
	}
}

// carry has the carrier keep to an order.
func (s *Scheduler) carry(ctx context.Context, host string, out bool) error {
	done := make(chan struct{})
	s.pool.Cordon(host, out, func() { close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the workers' event loop: %w", ctx.Err())
	}
}

// fileOf names a file of this scheduler, the same for each of its processes.
func fileOf(c *dispatchconfig.Config, ending string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Name + "\x00" + c.Listen))
	return filepath.Join(os.TempDir(), fmt.Sprintf("sedgevale-%016x.%s", h.Sum64(), ending))
}

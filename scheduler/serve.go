package scheduler

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"strings"
	"sync/atomic"
	"syscall"

	"sedgevale"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/jobrequest"
)

// Serve is all of a program that is nothing but a scheduler. It serves by the
// configuration that read returns until SIGTERM or SIGINT; at SIGHUP it reads
// again and goes on by that, or, where it is bad, as before.
func Serve(read func() (*Config, error), log *slog.Logger) error {
	// Before all else: a SIGHUP that nobody has asked for ends the process. It is
	// never given back either, for one may come while the last answers go out.
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := read()
	if err != nil {
		if c = inheritedConfig(); c == nil {
			return err
		}
		log.Error("the configuration is bad, going on by that of the process that serves", "err", err)
	}
	ConfigureRuntime(c)
	var current atomic.Pointer[Config]
	current.Store(c)
	s, err := New(c, Options{Log: log, OnProcessCount: func(processes int) { limitMemory(current.Load(), processes) }})
	if err != nil {
		return err
	}
	go func() {
		for range again {
			c, err := read()
			if err == nil {
				err = s.Reload(c)
			}
			if err != nil {
				log.Error("the new configuration is bad, going on by the old one", "err", err)
				continue
			}
			current.Store(c)
			s.rebalanceResources()
		}
	}()
	return s.Run(ctx)
}

// Reload goes on by a new configuration: by its discovery, or its workers where
// it names none, by its limits, and by its settings but for those that fixed names.
// Connections, exchanges and all that was learned stay, and jobs under way keep
// their class. It is checked whole before anything changes, so a bad one changes
// nothing. It must not be called twice at a time.
func (s *Scheduler) Reload(c *dispatchconfig.Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	if err := c.Follows(s.current.Load()); err != nil {
		return err
	}
	set, err := c.Settings.Module(max(1, s.config.Planners))
	if err != nil {
		return err
	}
	var waits []string
	if s.reverseProxy != nil && c.Web != nil {
		if waits, err = s.reverseProxy.Reload(c.Web); err != nil {
			return err
		}
	}
	if s.admission != nil {
		if err := s.admission.Retune(tenantShares(set.Tenants)); err != nil {
			return err // not of settings that Check has passed
		}
	}
	s.current.Store(c)
	before := s.settings.Swap(&set)
	s.planners.Retune(set) // before the rules: whose jobs are let in is known there then
	s.rules.Retune(&jobrequest.Terms{Classes: set.Classes, Tenants: set.Tenants})
	s.pool.Retune(dispatchconfig.Seconds(c.Settings.Bounds.DialTimeout), dispatchconfig.Seconds(c.Settings.Bounds.IdleClose))
	s.limitDescriptors(c)
	s.watcher.Move(c.Discovery)
	if c.Discovery == "" {
		s.workerLoop.Do(func() { s.updateWorkers(sedgevale.ListWhole, *c.Known) })
	}
	if s.peerLink != nil {
		s.peerLink.Revise(c.InForce())
	}
	s.options.Log.Info("configuration read again", "revision", c.Revision, "discovery", c.Discovery, "classes", len(set.Classes),
		"max_attempts", set.MaxAttempts, "tenants", len(set.Tenants))
	if added, gone, changed := tenantChanges(before.Tenants, set.Tenants); added+gone+changed > 0 {
		s.options.Log.Info("tenants changed", "added", added, "gone", gone, "changed", changed)
	}
	if kept := append(s.fixed(c), waits...); len(kept) > 0 {
		s.options.Log.Warn("part of the new configuration waits for a new start", "what", strings.Join(kept, ", "))
	}
	return nil
}

// tenantChanges counts the tenants that come, go, and have another share or quota.
func tenantChanges(old, now []sedgevale.Tenant) (added, gone, changed int) {
	byName := make(map[string]sedgevale.Tenant, len(old))
	for _, t := range old {
		byName[t.Name] = t
	}
	for _, t := range now {
		switch before, there := byName[t.Name]; {
		case !there:
			added++
		case before != t:
			changed++
		}
		delete(byName, t.Name)
	}
	return added, len(byName), changed
}

// fixed names what of a new configuration a running scheduler does not take over.
func (s *Scheduler) fixed(c *dispatchconfig.Config) (kept []string) {
	for _, part := range []struct {
		name     string
		old, new any
	}{
		{"name", s.config.Name, c.Name}, {"listen", s.config.Listen, c.Listen}, {"ops", s.config.Ops, c.Ops},
		{"kinds", s.config.Settings.Kinds, c.Settings.Kinds}, {"zones", s.config.Settings.Zones, c.Settings.Zones},
		{"zone", s.config.Settings.Zone, c.Settings.Zone}, {"peers_total", s.config.Settings.PeersTotal, c.Settings.PeersTotal},
		{"peer_listen", s.config.PeerListen, c.PeerListen}, {"peers", s.config.Peers, c.Peers},
		{"weights", s.config.Settings.Weights, c.Settings.Weights},
		{"sse", s.config.SSE, c.SSE}, {"journal", s.config.Journal, c.Journal}, {"door", s.config.Door, c.Door}, {"web", s.config.Web == nil, c.Web == nil}, {"planners", s.config.Planners, c.Planners}, {"loops", s.config.Loops, c.Loops},
	} {
		if !reflect.DeepEqual(part.old, part.new) {
			kept = append(kept, part.name)
		}
	}
	return kept
}

package scheduler

import (
	"reflect"
	"strings"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/jobrequest"
)

// Reload applies a new configuration: the discovery address, or the workers if it names no
// discovery, the limits, and the settings except for those that require a restart, which
// are logged. Connections, exchanges in progress and learned state are kept, and jobs in
// flight keep their class. The configuration is checked completely before anything changes,
// so after an error the old one is still in force. Reload must not be called concurrently.
func (s *Scheduler) Reload(c *dispatchconfig.Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	if err := c.CheckReplaces(s.current.Load()); err != nil {
		return err
	}
	settings, err := c.Settings.DispatcherSettings(max(1, s.config.Planners))
	if err != nil {
		return err
	}
	var needRestart []string
	if s.reverseProxy != nil && c.Web != nil {
		if needRestart, err = s.reverseProxy.Reload(c.Web); err != nil {
			return err
		}
	}
	if s.admission != nil {
		if err := s.admission.SetTenants(tenantShares(settings.Tenants)); err != nil {
			return err // cannot happen for settings that passed Check
		}
	}
	s.current.Store(c)
	before := s.settings.Swap(&settings)
	s.planners.UpdateSettings(settings) // before the parser, which from then on accepts jobs of new tenants
	s.requestParser.Update(&jobrequest.Settings{Classes: settings.Classes, Tenants: settings.Tenants})
	s.pool.SetTimeouts(dispatchconfig.Seconds(c.Settings.Bounds.DialTimeout), dispatchconfig.Seconds(c.Settings.Bounds.IdleTimeout))
	s.limitDescriptors(c)
	s.watcher.SetAddr(c.Discovery)
	if c.Discovery == "" {
		s.workerLoop.Do(func() { s.updateWorkers(dispatcher.UpdateFull, *c.KnownWorkers) })
	}
	if s.peerLink != nil {
		s.peerLink.SetRevision(c.PeerRevision())
	}
	s.logReload(c, before, &settings, append(s.restartOnly(c), needRestart...))
	return nil
}

// logReload logs the changes of a Reload and the parts that require a restart.
func (s *Scheduler) logReload(c *dispatchconfig.Config, before, after *dispatcher.Settings, needRestart []string) {
	s.options.Log.Info("configuration reloaded", "revision", c.Revision, "discovery", c.Discovery, "classes", len(after.Classes),
		"max_attempts", after.MaxAttempts, "tenants", len(after.Tenants))
	if added, removed, changed := tenantChanges(before.Tenants, after.Tenants); added+removed+changed > 0 {
		s.options.Log.Info("tenants changed", "added", added, "gone", removed, "changed", changed)
	}
	if len(needRestart) > 0 {
		s.options.Log.Warn("part of the new configuration needs a restart and is not applied", "what", strings.Join(needRestart, ", "))
	}
}

// tenantChanges returns the numbers of tenants that were added, removed, and changed in share or
// quota.
func tenantChanges(before, after []dispatcher.Tenant) (added, removed, changed int) {
	byName := make(map[string]dispatcher.Tenant, len(before))
	for _, t := range before {
		byName[t.Name] = t
	}
	for _, t := range after {
		switch old, exists := byName[t.Name]; {
		case !exists:
			added++
		case old != t:
			changed++
		}
		delete(byName, t.Name)
	}
	return added, len(byName), changed
}

// restartOnly returns the names of the settings in which a new configuration differs from the
// one at the start and that a running scheduler cannot change.
func (s *Scheduler) restartOnly(c *dispatchconfig.Config) (names []string) {
	start := s.config
	for _, part := range []struct {
		name          string
		before, after any
	}{
		{"name", start.Name, c.Name},
		{"listen", start.Listen, c.Listen},
		{"ops", start.Ops, c.Ops},
		{"kinds", start.Settings.Kinds, c.Settings.Kinds},
		{"zones", start.Settings.Zones, c.Settings.Zones},
		{"zone", start.Settings.Zone, c.Settings.Zone},
		{"peers_total", start.Settings.PeerCount, c.Settings.PeerCount},
		{"peer_listen", start.PeerListen, c.PeerListen},
		{"peers", start.Peers, c.Peers},
		{"weights", start.Settings.Weights, c.Settings.Weights},
		{"sse", start.SSE, c.SSE},
		{"journal", start.Journal, c.Journal},
		{"door", start.Admission, c.Admission},
		{"web", start.Web == nil, c.Web == nil},
		{"planners", start.Planners, c.Planners},
		{"loops", start.EventLoops, c.EventLoops},
	} {
		if !reflect.DeepEqual(part.before, part.after) {
			names = append(names, part.name)
		}
	}
	return names
}

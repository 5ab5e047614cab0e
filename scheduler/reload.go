package scheduler

import (
	"reflect"
	"strings"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/jobrequest"
)

// Reload replaces the configuration: its discovery, or its workers where it names no
// discovery, its limits, and its settings but for those that need a restart, which are
// logged. Connections, exchanges and all that was learned stay, and jobs under way keep
// their class. The configuration is checked whole before anything changes, so an error
// means that nothing has changed. It must not be called twice at a time.
func (s *Scheduler) Reload(c *dispatchconfig.Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	if err := c.CheckReplaces(s.current.Load()); err != nil {
		return err
	}
	settings, err := c.Settings.ModuleSettings(max(1, s.config.Planners))
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
			return err // not of settings that Check has passed
		}
	}
	s.current.Store(c)
	before := s.settings.Swap(&settings)
	s.planners.UpdateSettings(settings) // before the rules: a tenant whose jobs are admitted is known there then
	s.requestParser.Update(&jobrequest.Settings{Classes: settings.Classes, Tenants: settings.Tenants})
	s.pool.SetTimeouts(dispatchconfig.Seconds(c.Settings.Bounds.DialTimeout), dispatchconfig.Seconds(c.Settings.Bounds.IdleClose))
	s.limitDescriptors(c)
	s.watcher.SetAddr(c.Discovery)
	if c.Discovery == "" {
		s.workerLoop.Do(func() { s.updateWorkers(dispatcher.UpdateFull, *c.Known) })
	}
	if s.peerLink != nil {
		s.peerLink.SetRevision(c.PeerRevision())
	}
	s.logReload(c, before, &settings, append(s.restartOnly(c), needRestart...))
	return nil
}

// logReload logs what a Reload has changed, and what it could not.
func (s *Scheduler) logReload(c *dispatchconfig.Config, before, now *dispatcher.Settings, needRestart []string) {
	s.options.Log.Info("configuration reloaded", "revision", c.Revision, "discovery", c.Discovery, "classes", len(now.Classes),
		"max_attempts", now.MaxAttempts, "tenants", len(now.Tenants))
	if added, gone, changed := tenantChanges(before.Tenants, now.Tenants); added+gone+changed > 0 {
		s.options.Log.Info("tenants changed", "added", added, "gone", gone, "changed", changed)
	}
	if len(needRestart) > 0 {
		s.options.Log.Warn("part of the new configuration needs a restart", "what", strings.Join(needRestart, ", "))
	}
}

// tenantChanges counts the tenants that come, go, and have another share or quota.
func tenantChanges(before, now []dispatcher.Tenant) (added, gone, changed int) {
	byName := make(map[string]dispatcher.Tenant, len(before))
	for _, t := range before {
		byName[t.Name] = t
	}
	for _, t := range now {
		switch old, there := byName[t.Name]; {
		case !there:
			added++
		case old != t:
			changed++
		}
		delete(byName, t.Name)
	}
	return added, len(byName), changed
}

// restartOnly names the parts of a new configuration that differ from the one at the start
// and that a running scheduler does not take over.
func (s *Scheduler) restartOnly(c *dispatchconfig.Config) (names []string) {
	start := s.config
	for _, part := range []struct {
		name        string
		before, now any
	}{
		{"name", start.Name, c.Name},
		{"listen", start.Listen, c.Listen},
		{"ops", start.Ops, c.Ops},
		{"kinds", start.Settings.Kinds, c.Settings.Kinds},
		{"zones", start.Settings.Zones, c.Settings.Zones},
		{"zone", start.Settings.Zone, c.Settings.Zone},
		{"peers_total", start.Settings.PeersTotal, c.Settings.PeersTotal},
		{"peer_listen", start.PeerListen, c.PeerListen},
		{"peers", start.Peers, c.Peers},
		{"weights", start.Settings.Weights, c.Settings.Weights},
		{"sse", start.SSE, c.SSE},
		{"journal", start.Journal, c.Journal},
		{"door", start.Admission, c.Admission},
		{"web", start.Web == nil, c.Web == nil},
		{"planners", start.Planners, c.Planners},
		{"loops", start.Loops, c.Loops},
	} {
		if !reflect.DeepEqual(part.before, part.now) {
			names = append(names, part.name)
		}
	}
	return names
}

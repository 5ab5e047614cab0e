package core

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/clusterconfig"
)

const (
	formerRoutesInterval = 30 * time.Second // between two searches for former routes without jobs
	formerRoutesTimeout  = 5 * time.Second
)

// formerRoutesDigest returns a hash of former routes, which is not 0.
func formerRoutesDigest(former []clusterconfig.FormerRoute) int64 {
	hash := xxhash.New()
	for _, route := range former {
		_, _ = hash.WriteString(route.Endpoint + " " + route.Service + " " + strconv.FormatInt(route.Until, 10) + "\n")
	}
	return int64(hash.Sum64() | 1)
}

// shards returns the names of all shards in which jobs may be stored: those of the configured services, and of services that
// earlier configurations sent queues to.
func (s *configState) shards() []string {
	var names []string
	known := map[string]bool{}
	add := func(name string) {
		if !known[name] {
			known[name] = true
			names = append(names, name)
		}
	}
	for i := range s.config.Services {
		add(s.config.Services[i].Name)
	}
	for _, route := range s.record.Former {
		add(route.Service)
	}
	return names
}

// unusedRoutes are the former routes of which a shard knows no jobs under a version of the configuration.
type unusedRoutes struct {
	version int64
	routes  []clusterconfig.FormerRoute
}

// forgetFormerRoutesLoop removes the former routes of owned shards from the register once their jobs are forgotten. A shard accepts
// no job by a former route, so one without jobs stays without. A route is removed at the second search in a row that finds no jobs:
// the owner's lease, which is valid then, shows that it was the owner at the first one.
func (c *Core) forgetFormerRoutesLoop(ctx context.Context) {
	last := map[*owner]unusedRoutes{}
	for sleep(ctx, formerRoutesInterval) {
		found := c.unusedFormerRoutes()
		for o, unused := range found {
			if last[o].version != unused.version || !o.leaseValid() {
				continue
			}
			unused.routes = slices.DeleteFunc(slices.Clone(unused.routes), func(route clusterconfig.FormerRoute) bool {
				return !slices.Contains(last[o].routes, route)
			})
			if len(unused.routes) > 0 {
				c.forgetFormerRoutes(ctx, unused)
			}
		}
		last = found
	}
}

// unusedFormerRoutes returns the unused former routes of each shard that this scheduler owns and that has any.
func (c *Core) unusedFormerRoutes() map[*owner]unusedRoutes {
	state := c.currentConfig()
	found := map[*owner]unusedRoutes{}
	if state == nil || len(state.record.Former) == 0 {
		return found
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.owners {
		if unused := o.unusedFormerRoutes(state); o.active() && len(unused) > 0 {
			found[o] = unusedRoutes{state.record.Version, unused}
		}
	}
	return found
}

// unusedFormerRoutes returns the former routes of the shard of which it knows no jobs.
func (o *owner) unusedFormerRoutes(state *configState) []clusterconfig.FormerRoute {
	if !slices.ContainsFunc(state.record.Former, func(route clusterconfig.FormerRoute) bool { return route.Service == o.name }) {
		return nil
	}
	o.mu.Lock()
	known := o.scheduler.KnownEndpoints()
	o.mu.Unlock()
	former := false // a known endpoint, which may be that of any job of an earlier release, is not the shard's by its present routes
	for endpoint := range known {
		route := state.routeByEndpoint[endpoint]
		former = former || route == nil || route.Service != o.name
	}
	var unused []clusterconfig.FormerRoute
	for _, route := range state.record.Former {
		used := known[route.Endpoint] || known[""] || route.Endpoint == clusterconfig.AnyEndpoint && former
		if route.Service == o.name && !used {
			unused = append(unused, route)
		}
	}
	return unused
}

// forgetFormerRoutes removes former routes from the register unless the configuration has changed.
func (c *Core) forgetFormerRoutes(ctx context.Context, unused unusedRoutes) {
	ctx, cancel := context.WithTimeout(ctx, formerRoutesTimeout)
	defer cancel()
	_, err := c.propose(ctx, configRegister, func(current []byte) ([]byte, error) {
		var record configRecord
		if err := avrocodec.Decode(current, &record); err != nil {
			return nil, err
		}
		if record.Version != unused.version {
			return current, nil
		}
		record.Former = slices.DeleteFunc(record.Former, func(route clusterconfig.FormerRoute) bool {
			return slices.Contains(unused.routes, route)
		})
		return avrocodec.Encode(&record)
	})
	if err != nil {
		c.logger.Info("forgetting former routes without jobs failed; retrying", "routes", len(unused.routes), "error", err.Error())
		return
	}
	c.logger.V(1).Info("former routes without jobs forgotten", "routes", len(unused.routes))
}

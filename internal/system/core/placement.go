package core

import (
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/result"
)

// caller is what an edge scheduler says of itself in a call about a job.
type caller struct {
	configVersion int64
	knownOnly     bool // it asks this shard for the sake of a former route, before it asks that of the route
}

// routeOf returns the route by which a job that this shard does not know belongs to it. The job is given by its endpoint or, in a
// call of an earlier release, which names none, by its queue. The error has the code
//
//   - result.NoRoute if the newest configuration has no route of the endpoint,
//   - result.QueueMoved if it sends the endpoint to another shard,
//   - result.ConfigOutdated if the caller does not know yet that the endpoint belongs to this shard, or to which shards it belonged
//     before: it has not asked those for the job.
//
// o.mu is held.
func (o *owner) routeOf(endpoint, queue string, from caller) (*clusterconfig.Route, error) {
	if o.config == nil {
		return nil, result.Errorf(result.NotReady, "no configuration yet")
	}
	if endpoint == "" {
		if !o.scheduler.HasQueue(queue) {
			return nil, result.Errorf(result.NoRoute, "queue %s is not in the newest configuration", queue)
		}
		return o.config.routeByName[queue], nil
	}
	route := o.config.routeByEndpoint[endpoint]
	switch {
	case route == nil:
		return nil, result.Errorf(result.NoRoute, "queue %s is not in the newest configuration", queue)
	case route.Service != o.name:
		return nil, result.Errorf(result.QueueMoved, "queue %s is in the shard %s in the newest configuration", route.Name, route.Service)
	case from.knownOnly || from.configVersion < o.config.lastMove(endpoint):
		return nil, result.Errorf(result.ConfigOutdated, "queue %s came to the shard %s after version %d", route.Name, o.name, from.configVersion)
	}
	return route, nil
}

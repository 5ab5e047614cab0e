package edge

import (
	"time"

	"sedgevale/internal/system/clusterconfig"
)

const jobIDLength = 16 // hexadecimal digits

// destination is where a version of the configuration sends a request. A job is found by the endpoint that it was submitted under:
// in the shard of its route and, since the route may have been moved or removed, in those of its former routes.
type destination struct {
	table         *clusterconfig.Table // nil if there is no configuration yet
	configVersion int64
	configAge     time.Duration        // since the configuration was last confirmed
	route         *clusterconfig.Route // nil if the configuration has no route for the request
	endpoint      string               // clusterconfig.Endpoint of the request
	jobID         string               // the part of the path behind the endpoint's prefix
	formerShards  []string             // shards other than the route's that may have jobs of the endpoint
}

// resolve returns the destination of a request under the newest known configuration.
func (s *Scheduler) resolve(host, path string) destination {
	table, version, age := s.directory.Table()
	d := destination{table: table, configVersion: version, configAge: age}
	if table == nil {
		return d
	}
	d.route, d.jobID = table.Match(host, path)
	if d.route != nil {
		d.endpoint = d.route.Endpoint()
	}
	if prefix, id, ok := cutJobID(path); ok && !validJobID(d.jobID) {
		endpoint := clusterconfig.Endpoint(host, prefix)
		if len(table.FormerServices(endpoint)) > 0 {
			d.route, d.endpoint, d.jobID = nil, endpoint, id
		}
	}
	if d.endpoint == clusterconfig.AnyEndpoint {
		return d // neither a route nor the path of a job
	}
	for _, service := range table.FormerServices(d.endpoint) {
		if d.route == nil || service != d.route.Service {
			d.formerShards = append(d.formerShards, service)
		}
	}
	return d
}

// isKnown reports whether the configuration has a route, or had one, for the request.
func (d *destination) isKnown() bool { return d.route != nil || len(d.formerShards) > 0 }

// queue returns the name of the queue, or "" if the configuration has no route for the request.
func (d *destination) queue() string {
	if d.route == nil {
		return ""
	}
	return d.route.Name
}

// cutJobID splits the path of a job into the path prefix of its endpoint and its ID.
func cutJobID(path string) (prefix, id string, ok bool) {
	if len(path) <= jobIDLength {
		return "", "", false
	}
	prefix, id = path[:len(path)-jobIDLength], path[len(path)-jobIDLength:]
	return prefix, id, validJobID(id)
}

func validJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

package clusterconfig

import (
	"net"
	"slices"
	"strings"
)

// MaxFormerRoutes is the maximum number of former routes that are kept.
const MaxFormerRoutes = 2048

// FormerRoute records that an earlier configuration sent an endpoint to a service and the current one does not. Jobs that were
// accepted under the endpoint may still be stored in the shard of that service.
type FormerRoute struct {
	Endpoint string // see Endpoint
	Service  string
	Until    int64 // version of the first configuration that did not send the endpoint to the service any more
}

// Endpoint returns what identifies a queue to its clients, whatever its name and service are: the host in lowercase, without a
// port, followed by the path prefix.
func Endpoint(host, pathPrefix string) string { return hostName(host) + pathPrefix }

// Endpoint returns the endpoint of the route.
func (r *Route) Endpoint() string { return Endpoint(r.Host, r.PathPrefix) }

// hostName returns a host in lowercase and without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// NextFormerRoutes returns the former routes, oldest first, after the previous configuration, which may be nil, is replaced by the
// next one. Beyond MaxFormerRoutes the oldest ones are left out.
func NextFormerRoutes(former []FormerRoute, previous, next *Config) []FormerRoute {
	type assignment struct{ endpoint, service string }
	current := map[assignment]bool{}
	for i := range next.Routes {
		current[assignment{next.Routes[i].Endpoint(), next.Routes[i].Service}] = true
	}
	var all []FormerRoute
	add := func(route FormerRoute) {
		if !current[assignment{route.Endpoint, route.Service}] {
			all = append(all, route)
		}
	}
	for _, route := range former {
		add(route)
	}
	if previous != nil {
		for i := range previous.Routes {
			add(FormerRoute{previous.Routes[i].Endpoint(), previous.Routes[i].Service, next.Version})
		}
	}
	return all[max(0, len(all)-MaxFormerRoutes):]
}

// FormerServices returns the services that earlier configurations sent an endpoint to, the latest first.
func (t *Table) FormerServices(endpoint string) []string { return t.former[endpoint] }

// newFormerIndex returns the services of former routes by endpoint, the latest first.
func newFormerIndex(former []FormerRoute) map[string][]string {
	index := map[string][]string{}
	for _, route := range slices.Backward(former) {
		index[route.Endpoint] = append(index[route.Endpoint], route.Service)
	}
	return index
}

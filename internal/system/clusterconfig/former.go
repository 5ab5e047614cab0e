package clusterconfig

import (
	"net"
	"slices"
	"strings"
)

// MaxFormerRoutes is the maximum number of former routes of single endpoints.
const MaxFormerRoutes = 2048

// AnyEndpoint is the Endpoint of a former route that stands for all those of its service that have no room of their own.
const AnyEndpoint = ""

// FormerRoute records that an earlier configuration sent an endpoint to a service and the current one does not. Jobs that were
// accepted under the endpoint may still be stored in the shard of that service.
type FormerRoute struct {
	Endpoint string // see Endpoint; AnyEndpoint for any
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
// next one. Beyond MaxFormerRoutes the oldest ones are replaced by one of AnyEndpoint for each service.
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
	return mergeOldest(all)
}

// mergeOldest replaces the oldest former routes of single endpoints beyond MaxFormerRoutes.
func mergeOldest(routes []FormerRoute) []FormerRoute {
	excess := len(routes) - MaxFormerRoutes
	for _, route := range routes {
		if route.Endpoint == AnyEndpoint {
			excess--
		}
	}
	if excess <= 0 {
		return routes
	}
	until := map[string]int64{} // of the merged routes, by service
	var services []string       // in the order of their first merged route
	var rest []FormerRoute
	for _, route := range routes {
		single := route.Endpoint != AnyEndpoint
		if single && excess <= 0 {
			rest = append(rest, route)
			continue
		}
		if single {
			excess--
		}
		if _, known := until[route.Service]; !known {
			services = append(services, route.Service)
		}
		until[route.Service] = max(until[route.Service], route.Until)
	}
	var merged []FormerRoute
	for _, service := range services {
		merged = append(merged, FormerRoute{AnyEndpoint, service, until[service]})
	}
	return append(merged, rest...)
}

// FormerServices returns the services that earlier configurations may have sent an endpoint to, the latest first.
func (t *Table) FormerServices(endpoint string) []string {
	services := slices.Clone(t.former[endpoint])
	for _, service := range t.former[AnyEndpoint] {
		if !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services
}

// newFormerIndex returns the services of former routes by endpoint, the latest first.
func newFormerIndex(former []FormerRoute) map[string][]string {
	index := map[string][]string{}
	for _, route := range slices.Backward(former) {
		index[route.Endpoint] = append(index[route.Endpoint], route.Service)
	}
	return index
}

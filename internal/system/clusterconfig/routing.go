package clusterconfig

import (
	"sort"
	"strings"
)

// Table is the routing table of a configuration. It is immutable and safe for concurrent use.
type Table struct {
	Config *Config
	byHost map[string][]*Route // keyed by lowercase host; sorted by path prefix, the longest first
	former map[string][]string // services of former routes by endpoint, the latest first
}

// NewTable builds the routing table of a configuration and its former routes, oldest first. The configuration must not be modified
// afterwards.
func NewTable(c *Config, former []FormerRoute) *Table {
	t := &Table{Config: c, byHost: map[string][]*Route{}, former: newFormerIndex(former)}
	for i := range c.Routes {
		route := &c.Routes[i]
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return t
}

// Match returns the route of a request and the part of its path after the route's prefix. The host may include a port. The
// route is nil if no route matches.
func (t *Table) Match(host, path string) (route *Route, rest string) {
	for _, candidate := range t.byHost[hostName(host)] {
		if rest, ok := strings.CutPrefix(path, candidate.PathPrefix); ok {
			return candidate, rest
		}
	}
	return nil, ""
}

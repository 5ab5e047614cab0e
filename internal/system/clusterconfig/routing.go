package clusterconfig

import (
	"net"
	"sort"
	"strings"
)

// Table finds the route of a request. It is built once for a configuration and not changed, so that goroutines may share
// it.
type Table struct {
	Config *Config
	byHost map[string][]*Route // by host in lower case; longest path prefix first
}

// NewTable builds the table of a configuration, which must not be changed afterwards.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, byHost: map[string][]*Route{}}
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

// Match returns the route of a host, with or without a port, and a path, and the rest of the path behind the prefix. The
// route is nil if there is none.
func (t *Table) Match(host, path string) (route *Route, rest string) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, candidate := range t.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, candidate.PathPrefix); ok {
			return candidate, rest
		}
	}
	return nil, ""
}

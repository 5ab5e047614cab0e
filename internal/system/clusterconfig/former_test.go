package clusterconfig

import (
	"fmt"
	"reflect"
	"testing"
)

// configOf returns a configuration of routes, given as path prefix and service in turn.
func configOf(version int64, routes ...string) *Config {
	c := &Config{Version: version}
	for i := 0; i < len(routes); i += 2 {
		c.Routes = append(c.Routes, Route{Name: fmt.Sprint("r", i), Host: "H", PathPrefix: routes[i], Service: routes[i+1]})
	}
	return c
}

// TestFormerRoutesFollowChanges checks the former routes after each of a series of configurations.
func TestFormerRoutesFollowChanges(t *testing.T) {
	steps := []struct {
		name   string
		config *Config
		want   []FormerRoute
	}{
		{"first", configOf(1, "/a/", "one", "/b/", "one"), nil},
		{"moved", configOf(2, "/a/", "two", "/b/", "one"), []FormerRoute{{"h/a/", "one", 2}}},
		{"other moved and moved back", configOf(3, "/a/", "one", "/b/", "two"), []FormerRoute{{"h/a/", "two", 3}, {"h/b/", "one", 3}}},
		{"removed", configOf(4, "/b/", "two"), []FormerRoute{{"h/a/", "two", 3}, {"h/b/", "one", 3}, {"h/a/", "one", 4}}},
		{"added again", configOf(5, "/a/", "two", "/b/", "two"), []FormerRoute{{"h/b/", "one", 3}, {"h/a/", "one", 4}}},
	}
	var former []FormerRoute
	var previous *Config
	for _, step := range steps {
		former = NextFormerRoutes(former, previous, step.config)
		if len(former)+len(step.want) > 0 && !reflect.DeepEqual(former, step.want) {
			t.Errorf("%s: %v, want %v", step.name, former, step.want)
		}
		previous = step.config
	}
	table := NewTable(configOf(9, "/a/", "three"), []FormerRoute{{"h/a/", "one", 2}, {"h/b/", "one", 2}, {"h/a/", "two", 3}})
	if got, want := table.FormerServices(Endpoint("H:80", "/a/")), []string{"two", "one"}; !reflect.DeepEqual(got, want) {
		t.Errorf("former services %v, want %v", got, want)
	}
}

// TestFormerRoutesAreBounded checks the number of former routes at their limit and beyond it, and that no endpoint's former service is
// forgotten.
func TestFormerRoutesAreBounded(t *testing.T) {
	var routes []string
	for i := range MaxFormerRoutes + 1 {
		routes = append(routes, fmt.Sprintf("/%d/", i), "one")
	}
	for _, count := range []int{MaxFormerRoutes - 3, MaxFormerRoutes - 1, MaxFormerRoutes, MaxFormerRoutes + 1} {
		former := NextFormerRoutes(nil, configOf(1, routes[:2*count]...), configOf(2))
		if len(former) != count || former[len(former)-1].Endpoint != fmt.Sprintf("h/%d/", count-1) {
			t.Errorf("%d former routes, the last %v, after %d were removed", len(former), former[len(former)-1], count)
		}
		if merged := former[0] == (FormerRoute{AnyEndpoint, "one", 2}); merged != (count > MaxFormerRoutes) {
			t.Errorf("the oldest former route is %v after %d were removed", former[0], count)
		}
		former = NextFormerRoutes(former, configOf(2, "/x/", "two", "/y/", "one"), configOf(3))
		table := NewTable(configOf(3), former)
		for endpoint, want := range map[string][]string{"h/0/": {"one"}, "h/x/": {"two", "one"}, "h/y/": {"one"}} {
			got := table.FormerServices(endpoint)
			if count < MaxFormerRoutes-2 {
				want = want[:1]
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("former services of %s are %v after %d were removed, want %v", endpoint, got, count, want)
			}
		}
	}
}

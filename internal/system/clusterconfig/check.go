package clusterconfig

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Parse reads a whole configuration; one that is cut short is an error. Keys that are not known are
// skipped here, but the register keeps the text as it came.
func Parse(text []byte) (*Config, error) {
	if !json.Valid(text) {
		return nil, fmt.Errorf("the body is no whole JSON value")
	}
	c := &Config{}
	if err := c.UnmarshalJSON(text); err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	return c, nil
}

// Check returns what makes the configuration invalid, naming the item, or nil.
func (c *Config) Check() error {
	if c.Version <= 0 {
		return fmt.Errorf("version: %d is not above 0", c.Version)
	}
	services := map[string]bool{}
	for i, service := range c.Services {
		if service.Name == "" {
			return fmt.Errorf("services[%d].name: missing", i)
		}
		if services[service.Name] {
			return fmt.Errorf("services[%d].name: %q is there twice", i, service.Name)
		}
		services[service.Name] = true
	}
	names := map[string]bool{}
	places := map[string]string{}
	for i, route := range c.Routes {
		if err := route.check(services); err != nil {
			return fmt.Errorf("routes[%d] %q: %w", i, route.Name, err)
		}
		if names[route.Name] {
			return fmt.Errorf("routes[%d].name: %q is there twice", i, route.Name)
		}
		names[route.Name] = true
		place := strings.ToLower(route.Host) + " " + route.PathPrefix
		if other, taken := places[place]; taken {
			return fmt.Errorf("routes[%d] %q: has the host and prefix of %q", i, route.Name, other)
		}
		places[place] = route.Name
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Name == "":
		return fmt.Errorf("name: missing")
	case !services[r.Service]:
		return fmt.Errorf("service: %q is not known", r.Service)
	case r.TimeoutMS <= 0:
		return fmt.Errorf("timeout_ms: %d is not above 0", r.TimeoutMS)
	case !strings.HasPrefix(r.PathPrefix, "/"):
		return fmt.Errorf("path_prefix: %q does not begin with /", r.PathPrefix)
	case r.Retries < 0:
		return fmt.Errorf("retries: below 0")
	}
	return nil
}

package opconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
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

// Apply returns the configuration after a patch. Both are texts, so that keys which are not known stay.
func Apply(current, patch []byte) ([]byte, error) {
	var whole map[string]json.RawMessage
	if err := json.Unmarshal(current, &whole); err != nil {
		return nil, fmt.Errorf("current configuration: %w", err)
	}
	var change struct {
		Version json.RawMessage              `json:"version"`
		Upsert  map[string][]json.RawMessage `json:"upsert"`
		Remove  map[string][]string          `json:"remove"`
		Limits  json.RawMessage              `json:"limits"`
	}
	if err := json.Unmarshal(patch, &change); err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	if change.Version == nil {
		return nil, fmt.Errorf("version: missing")
	}
	whole["version"] = change.Version
	if change.Limits != nil {
		whole["limits"] = change.Limits
	}
	for list, names := range change.Remove {
		if err := editList(whole, list, nil, names); err != nil {
			return nil, err
		}
	}
	for list, items := range change.Upsert {
		if err := editList(whole, list, items, nil); err != nil {
			return nil, err
		}
	}
	return json.Marshal(whole)
}

func editList(whole map[string]json.RawMessage, list string, upsert []json.RawMessage, remove []string) error {
	var items []json.RawMessage
	if text, ok := whole[list]; ok {
		if err := json.Unmarshal(text, &items); err != nil {
			return fmt.Errorf("%s: %w", list, err)
		}
	}
	place := map[string]int{}
	for i, item := range items {
		name, err := nameOf(item)
		if err != nil {
			return fmt.Errorf("%s[%d]: %w", list, i, err)
		}
		place[name] = i
	}
	for i, item := range upsert {
		name, err := nameOf(item)
		if err != nil {
			return fmt.Errorf("upsert.%s[%d]: %w", list, i, err)
		}
		if at, known := place[name]; known {
			items[at] = item
			continue
		}
		place[name] = len(items)
		items = append(items, item)
	}
	kept := make([]json.RawMessage, 0, len(items))
	for _, item := range items {
		name, _ := nameOf(item)
		if !slices.Contains(remove, name) {
			kept = append(kept, item)
		}
	}
	text, err := json.Marshal(kept)
	whole[list] = text
	return err
}

func nameOf(item json.RawMessage) (string, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(item, &named); err != nil {
		return "", err
	}
	if named.Name == "" {
		return "", fmt.Errorf("name: missing")
	}
	return named.Name, nil
}

// Difference returns a patch that makes the configuration after of the one before, or false where they differ in
// more than their lists of named items, version and limits.
func Difference(before, after []byte) ([]byte, bool) {
	var old, new map[string]json.RawMessage
	if json.Unmarshal(before, &old) != nil || json.Unmarshal(after, &new) != nil {
		return nil, false
	}
	patch := map[string]any{"version": new["version"]}
	upsert, remove := map[string][]json.RawMessage{}, map[string][]string{}
	for key := range old {
		if _, there := new[key]; !there {
			return nil, false
		}
	}
	for key, value := range new {
		switch {
		case key == "version":
		case key == "limits":
			patch["limits"] = value
		case bytes.Equal(old[key], value):
		default:
			changed, gone, ok := differingItems(old[key], value)
			if !ok {
				return nil, false
			}
			upsert[key], remove[key] = changed, gone
		}
	}
	patch["upsert"], patch["remove"] = upsert, remove
	text, err := json.Marshal(patch)
	return text, err == nil
}

// differingItems compares two lists of named items.
func differingItems(before, after json.RawMessage) (changed []json.RawMessage, gone []string, ok bool) {
	var old, new []json.RawMessage
	if json.Unmarshal(before, &old) != nil || json.Unmarshal(after, &new) != nil {
		return nil, nil, false
	}
	items := map[string]json.RawMessage{}
	for _, item := range old {
		name, err := nameOf(item)
		if err != nil {
			return nil, nil, false
		}
		items[name] = item
	}
	for _, item := range new {
		name, err := nameOf(item)
		if err != nil {
			return nil, nil, false
		}
		if !bytes.Equal(items[name], item) {
			changed = append(changed, item)
		}
		delete(items, name)
	}
	for name := range items {
		gone = append(gone, name)
	}
	return changed, gone, true
}

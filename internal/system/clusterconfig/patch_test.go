package clusterconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// randomConfig returns a configuration with a random subset of 12 routes.
func randomConfig(random *rand.Rand, version int) []byte {
	routes := ""
	for i := range 12 {
		if random.IntN(3) == 0 {
			continue
		}
		if routes != "" {
			routes += ","
		}
		routes += fmt.Sprintf(`{"name":"r%d","host":"h","path_prefix":"/%d/","timeout_ms":%d,"service":"s"}`, i, i, 1000+random.IntN(2))
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"}],"limits":{"max_body_bytes":%d}}`,
		version, routes, random.IntN(3)))
}

// routesByName returns the routes of a configuration by name, since a patch may reorder them, and the rest of the
// configuration.
func routesByName(t *testing.T, text []byte) (map[string]Route, Config) {
	t.Helper()
	c, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	routes := map[string]Route{}
	for _, r := range c.Routes {
		routes[r.Name] = r
	}
	rest := *c
	rest.Routes = nil
	return routes, rest
}

// TestDiffYieldsNewConfiguration checks with random routes that Apply of the patch that Diff returns yields the new
// configuration.
func TestDiffYieldsNewConfiguration(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 300 {
		before, after := randomConfig(random, i+1), randomConfig(random, i+2)
		patch, ok := Diff(before, after)
		if !ok {
			t.Fatalf("Diff returned no patch from %s to %s", before, after)
		}
		got, err := Apply(before, patch)
		if err != nil {
			t.Fatal(err)
		}
		gotRoutes, gotRest := routesByName(t, got)
		wantRoutes, wantRest := routesByName(t, after)
		if !reflect.DeepEqual(gotRoutes, wantRoutes) || !reflect.DeepEqual(gotRest, wantRest) {
			t.Fatalf("configuration %s with patch %s yields %s, want %s", before, patch, got, after)
		}
	}
}

func TestDiffRejectsUnpatchableKeys(t *testing.T) {
	if _, ok := Diff([]byte(`{"version":1,"routes":[],"other":1}`), []byte(`{"version":2,"routes":[]}`)); ok {
		t.Error("Diff returned a patch for a removed key, which a patch cannot express")
	}
	if _, ok := Diff([]byte(`{"version":1,"other":1}`), []byte(`{"version":2,"other":2}`)); ok {
		t.Error("Diff returned a patch for a change of a key that is not a list of named items, which a patch cannot express")
	}
}

// TestDiffPreservesUnknownKeys checks with random changes of named items that Diff and Apply preserve keys that the types
// of this package do not define.
func TestDiffPreservesUnknownKeys(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 9))
	text := func(version int, items map[string]int) []byte {
		var routes []string
		for _, name := range slices.Sorted(maps.Keys(items)) {
			routes = append(routes, fmt.Sprintf(`{"name":%q,"n":%d, "inner":{"name":"x","list":[1,{"a":"]}"}]}}`, name, items[name]))
		}
		return fmt.Appendf(nil, `{"version":%d, "other":{"kept":true},"routes":[%s],"limits":{"max_body_bytes":%d}}`,
			version, strings.Join(routes, ", "), version)
	}
	items := map[string]int{}
	before := text(1, items)
	for version := 2; version < 300; version++ {
		for range random.IntN(4) {
			name := fmt.Sprint("r-\"", random.IntN(30))
			if random.IntN(3) == 0 {
				delete(items, name)
			} else {
				items[name] = random.IntN(5)
			}
		}
		after := text(version, items)
		patch, ok := Diff(before, after)
		if !ok {
			t.Fatalf("Diff returned no patch from %s to %s", before, after)
		}
		got, err := Apply(before, patch)
		if err != nil {
			t.Fatal(err)
		}
		if !sameItems(t, got, after) {
			t.Fatalf("configuration %s\nwith patch %s\nyields %s", before, patch, got)
		}
		before = got
	}
}

// sameItems reports whether two configurations are equal apart from the order of their routes.
func sameItems(t *testing.T, a, b []byte) bool {
	t.Helper()
	read := func(text []byte) map[string]any {
		var config map[string]any
		if err := json.Unmarshal(text, &config); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		byName := map[string]any{}
		for _, route := range config["routes"].([]any) {
			byName[route.(map[string]any)["name"].(string)] = route
		}
		config["routes"] = byName
		return config
	}
	return reflect.DeepEqual(read(a), read(b))
}

func TestApplyRejectsInvalidPatches(t *testing.T) {
	current := []byte(`{"version":1,"routes":[{"name":"a"}]}`)
	for _, patch := range []string{
		``, `[]`, `{`, `{"version":2`, `{"version":2}}`, `{"upsert":{}}`, `{"version":2,"upsert":[]}`, `{"version":2,"upsert":{"routes":{}}}`,
		`{"version":2,"upsert":{"routes":[{"name":7}]}}`, `{"version":2,"upsert":{"routes":[7]}}`, `{"version":2,"remove":{"routes":"a"}}`,
		`{"version":2,"upsert":{"routes":[{"host":"h"}]}}`, `{"version":2,"remove":["a"]}`, `{"version":2,"upsert":{"routes":[{"name":"b"},]}}`,
	} {
		if got, err := Apply(current, []byte(patch)); err == nil {
			t.Errorf("Apply accepted the invalid patch %s and returned %s", patch, got)
		}
	}
}

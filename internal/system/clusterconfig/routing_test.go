package clusterconfig

import "testing"

func TestMatchPrefersLongestPrefix(t *testing.T) {
	c := &Config{Routes: []Route{{Name: "a", Host: "H", PathPrefix: "/x/"}, {Name: "b", Host: "h", PathPrefix: "/x/y/"}}}
	table := NewTable(c, nil)
	cases := map[string]string{"/x/1": "a", "/x/y/1": "b", "/z": ""}
	for path, want := range cases {
		got := ""
		if route, _ := table.Match("h:80", path); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("path %s matches route %q, want %q", path, got, want)
		}
	}
}

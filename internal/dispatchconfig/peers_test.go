package dispatchconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sedgevale/internal/peers"
)

const operatorFile = `name = "hut"
listen = "127.0.0.1:8080"
%
[settings]
[[settings.classes]]
name = "usage-view"
effect = "free"
promise = 0.1
hard_limit = 5
`

// Guards against an incomplete configuration of peers, with which a scheduler would send no
// datagrams or use the number of another scheduler.
func TestPeersInOperatorFile(t *testing.T) {
	for _, c := range []struct{ keys, want string }{
		{"", "none"},
		{"peer_listen = \"127.0.0.2:1\"\npeers = [\"127.0.0.1:1\", \"127.0.0.2:1\"]", "1 of 2"},
		{"peers = [\"127.0.0.1:1\", \"127.0.0.2:1\"]", "peers without peer_listen"},
		{"peer_listen = \"127.0.0.3:1\"\npeers = [\"127.0.0.1:1\", \"127.0.0.2:1\"]", "this scheduler, 127.0.0.3:1 (slot_no -1), is not among the 2"},
		{"peer_listen = \"127.0.0.1:1\"\npeers = [\"127.0.0.1:1\", \"127.0.0.1:1\"]", "127.0.0.1:1 is there twice, as entries 0 and 1"},
		{"peer_listen = \"127.0.0.1:1\"\npeers = [\"127.0.0.1:1\", \"box.hut\"]", `entry 1 ("box.hut") is no IPv4 address and port`},
		{"peer_listen = \"[::1]:1\"\npeers = [\"[::1]:1\", \"127.0.0.1:1\"]", `peer_listen "[::1]:1" is no IPv4 address and port`},
	} {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(strings.Replace(operatorFile, "%", c.keys, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := ReadOperator(path)
		if err != nil {
			if !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), path) {
				t.Errorf("%s: error %v, want it to contain %q and the path", c.keys, err, c.want)
			}
			continue
		}
		plan, err := got.PeerConfig()
		switch {
		case err != nil:
			t.Errorf("%s: PeerConfig: %v", c.keys, err)
		case c.want == "none" && plan != nil, c.want == "1 of 2" && (plan == nil || plan.Self != 1 || len(plan.Peers) != 2):
			t.Errorf("%s: plan %+v, want %s", c.keys, plan, c.want)
		}
	}
}

// newConfig returns a configuration with two peers, two tenants and a class, modified by change.
func newConfig(t *testing.T, change func(c *Config)) *Config {
	t.Helper()
	c := &Config{Name: "hut", Listen: "127.0.0.1:8080", Peers: []string{"127.0.0.1:1", "127.0.0.2:1"}, PeerListen: "127.0.0.1:1", Revision: 41}
	c.Settings.Bounds.Peers = true
	c.Settings.Kinds, c.Settings.Zones = []string{"small", "large"}, []string{"a", "b"}
	c.Settings.Tenants = []Tenant{{Name: "brazos", Share: 2, Quota: 10}, {Name: "leon", Share: 1}}
	c.Settings.Classes = []Class{{Name: "usage-view", Idempotency: "free", LatencyTarget: 0.1, ClientTimeout: 5, Kinds: &[]int{0}}}
	change(c)
	return c
}

func siteFingerprint(t *testing.T, change func(c *Config)) uint64 {
	t.Helper()
	p, err := newConfig(t, change).PeerConfig()
	if err != nil {
		t.Fatal(err)
	}
	return p.Site
}

// Guards against schedulers of one site that reject each other's datagrams while a change of
// tenants is rolled out, and against schedulers that accept datagrams of another site.
func TestSiteFingerprintExcludesTenants(t *testing.T) {
	unchanged := siteFingerprint(t, func(*Config) {})
	for _, c := range []struct {
		name    string
		differs bool
		change  func(c *Config)
	}{
		{"another tenant", false, func(c *Config) { c.Settings.Tenants = append(c.Settings.Tenants, Tenant{Name: "burleson", Share: 1}) }},
		{"no tenants", false, func(c *Config) { c.Settings.Tenants = nil }},
		{"another share", false, func(c *Config) { c.Settings.Tenants[0].Share = 7 }},
		{"another class", false, func(c *Config) { c.Settings.Classes[0].LatencyTarget = 7 }},
		{"a later revision", false, func(c *Config) { c.Revision++ }},
		{"another kind", true, func(c *Config) { c.Settings.Kinds[1] = "huge" }},
		{"another zone", true, func(c *Config) { c.Settings.Zones[1] = "c" }},
		{"another tier", true, func(c *Config) { c.Settings.Tier++ }},
		{"one scheduler more", true, func(c *Config) { c.Peers = append(c.Peers, "127.0.0.3:1") }},
	} {
		if changed := siteFingerprint(t, c.change); (changed != unchanged) != c.differs {
			t.Errorf("%s: fingerprint differs is %v, want %v", c.name, changed != unchanged, c.differs)
		}
	}
}

// Guards against equal digests of schedulers with different reloadable settings, and against
// different digests of schedulers that differ only in settings of their own.
func TestRevisionDigest(t *testing.T) {
	digest := func(change func(c *Config)) uint32 { return newConfig(t, change).PeerRevision().Digest }
	unchanged := digest(func(*Config) {})
	for _, c := range []struct {
		name    string
		differs bool
		change  func(c *Config)
	}{
		{"tenants in another order", false, func(c *Config) { r := c.Settings.Tenants; r[0], r[1] = r[1], r[0] }},
		{"another name and address", false, func(c *Config) { c.Name, c.Listen, c.PeerListen = "shed", "127.0.0.2:8080", "127.0.0.2:1" }},
		{"its own number and zone", false, func(c *Config) { c.Settings.PeerIndex, c.Settings.Zone = 1, 1 }},
		{"the operator's number", false, func(c *Config) { c.Revision++ }},
		{"the same kinds of a class elsewhere", false, func(c *Config) { c.Settings.Classes[0].Kinds = &[]int{0} }},
		{"a share", true, func(c *Config) { c.Settings.Tenants[1].Share = 7 }},
		{"a quota", true, func(c *Config) { c.Settings.Tenants[0].Quota = 5 }},
		{"shares swapped", true, func(c *Config) { c.Settings.Tenants[0].Share, c.Settings.Tenants[1].Share = 1, 2 }},
		{"a tenant's name", true, func(c *Config) { c.Settings.Tenants[1].Name = "lean" }},
		{"a tenant less", true, func(c *Config) { c.Settings.Tenants = c.Settings.Tenants[:1] }},
		{"a class's promise", true, func(c *Config) { c.Settings.Classes[0].LatencyTarget = 0.2 }},
		{"a class's kinds", true, func(c *Config) { c.Settings.Classes[0].Kinds = &[]int{1} }},
		{"a class for all kinds", true, func(c *Config) { c.Settings.Classes[0].Kinds = nil }},
		{"a class more", true, func(c *Config) { c.Settings.Classes = append(c.Settings.Classes, Class{Name: "plan-change"}) }},
	} {
		if changed := digest(c.change); (changed != unchanged) != c.differs {
			t.Errorf("%s: digest differs is %v, want %v", c.name, changed != unchanged, c.differs)
		}
	}
}

// Tests that the revision number is read from the operator's file, is 0 if the file has none, and
// is rejected if it is not a number of 32 bits.
func TestRevisionInOperatorFile(t *testing.T) {
	for _, c := range []struct {
		key   string
		want  uint32
		valid bool
	}{{"", 0, true}, {"revision = 41", 41, true}, {"revision = 4294967295", 1<<32 - 1, true},
		{"revision = -1", 0, false}, {"revision = 4294967296", 0, false}, {"revision = \"41\"", 0, false}, {"revision = 1.5", 0, false}} {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(strings.Replace(operatorFile, "%", c.key, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := ReadOperator(path)
		if c.valid != (err == nil) || err == nil && got.PeerRevision().Number != c.want || err != nil && !strings.Contains(err.Error(), path) {
			t.Errorf("%q: error %v, want revision %d, valid %v", c.key, err, c.want, c.valid)
		}
	}
}

// Guards against a digest that changes with the names of Go fields: schedulers of different
// versions compare their digests.
func TestRevisionDigestIsStableAcrossVersions(t *testing.T) {
	c, err := Parse([]byte(platformFile))
	if err != nil {
		t.Fatal(err)
	}
	c.Revision = 3
	if got, want := c.PeerRevision(), (peers.Revision{Number: 3, Digest: 0xa730df0}); got != want {
		t.Errorf("revision of platformFile: %#v, want %#v", got, want)
	}
	k := &c.Settings.Classes[0]
	k.Kinds, k.Zones, k.Streaming = &[]int{1, 2}, &[]int{}, true
	if got, want := c.PeerRevision(), (peers.Revision{Number: 3, Digest: 0xee8e0aa8}); got != want {
		t.Errorf("revision with runs_on and runs_in: %#v, want %#v", got, want)
	}
}

package dispatchconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sedgevale/internal/peers"
)

const hut = `name = "hut"
listen = "127.0.0.1:8080"
%
[settings]
[[settings.classes]]
name = "usage-view"
effect = "free"
promise = 0.1
hard_limit = 5
`

// Guards against an incomplete configuration of peers: a scheduler that sends to none, or under another's number.
func TestPeersOfAFile(t *testing.T) {
	for _, c := range []struct{ keys, want string }{
		{"", "none"},
		{"peer_listen = \"127.0.0.2:1\"\npeers = [\"127.0.0.1:1\", \"127.0.0.2:1\"]", "1 of 2"},
		{"peers = [\"127.0.0.1:1\", \"127.0.0.2:1\"]", "peers without peer_listen"},
		{"peer_listen = \"127.0.0.3:1\"\npeers = [\"127.0.0.1:1\", \"127.0.0.2:1\"]", "this scheduler, 127.0.0.3:1 (slot_no -1), is not among the 2"},
		{"peer_listen = \"127.0.0.1:1\"\npeers = [\"127.0.0.1:1\", \"127.0.0.1:1\"]", "127.0.0.1:1 is there twice, as entries 0 and 1"},
		{"peer_listen = \"127.0.0.1:1\"\npeers = [\"127.0.0.1:1\", \"box.hut\"]", `entry 1 ("box.hut") is no IPv4 address and port`},
		{"peer_listen = \"[::1]:1\"\npeers = [\"[::1]:1\", \"127.0.0.1:1\"]", `peer_listen "[::1]:1" is no IPv4 address and port`},
	} {
		path := filepath.Join(t.TempDir(), "hut.toml")
		if err := os.WriteFile(path, []byte(strings.Replace(hut, "%", c.keys, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := ReadOperator(path)
		if err != nil {
			if !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), path) {
				t.Errorf("%s: %v, want %q", c.keys, err, c.want)
			}
			continue
		}
		plan, err := got.PeerPlan()
		switch {
		case err != nil:
			t.Errorf("%s: %v", c.keys, err)
		case c.want == "none" && plan != nil, c.want == "1 of 2" && (plan == nil || plan.Self != 1 || len(plan.Peers) != 2):
			t.Errorf("%s: %+v, want %s", c.keys, plan, c.want)
		}
	}
}

// deployment is a configuration with two tenants and a class.
func deployment(t *testing.T, change func(c *Config)) *Config {
	t.Helper()
	c := &Config{Name: "hut", Listen: "127.0.0.1:8080", Peers: []string{"127.0.0.1:1", "127.0.0.2:1"}, PeerListen: "127.0.0.1:1", Revision: 41}
	c.Settings.Bounds.Peers = true
	c.Settings.Kinds, c.Settings.Zones = []string{"small", "large"}, []string{"a", "b"}
	c.Settings.Realms = []Realm{{Name: "brazos", Share: 2, Quota: 10}, {Name: "leon", Share: 1}}
	c.Settings.Classes = []Class{{Name: "usage-view", Effect: "free", Promise: 0.1, HardLimit: 5, RunsOn: &[]int{0}}}
	change(c)
	return c
}

func siteOf(t *testing.T, change func(c *Config)) uint64 {
	t.Helper()
	p, err := deployment(t, change).PeerPlan()
	if err != nil {
		t.Fatal(err)
	}
	return p.Site
}

// Guards against schedulers that reject each other's datagrams while a change of tenants is rolled out, and against ones of other
// sites that accept them.
func TestSiteIsWithoutTeams(t *testing.T) {
	same := siteOf(t, func(*Config) {})
	for _, c := range []struct {
		name    string
		differs bool
		change  func(c *Config)
	}{
		{"another tenant", false, func(c *Config) { c.Settings.Realms = append(c.Settings.Realms, Realm{Name: "burleson", Share: 1}) }},
		{"no tenants", false, func(c *Config) { c.Settings.Realms = nil }},
		{"another share", false, func(c *Config) { c.Settings.Realms[0].Share = 7 }},
		{"another class", false, func(c *Config) { c.Settings.Classes[0].Promise = 7 }},
		{"a later revision", false, func(c *Config) { c.Revision++ }},
		{"another kind", true, func(c *Config) { c.Settings.Kinds[1] = "huge" }},
		{"another zone", true, func(c *Config) { c.Settings.Zones[1] = "c" }},
		{"another tier", true, func(c *Config) { c.Settings.Tier++ }},
		{"one scheduler more", true, func(c *Config) { c.Peers = append(c.Peers, "127.0.0.3:1") }},
	} {
		if other := siteOf(t, c.change); (other != same) != c.differs {
			t.Errorf("%s: differs is %v, want %v", c.name, other != same, c.differs)
		}
	}
}

// Guards against schedulers that seem to have the same in force and have not, and ones that seem to differ by what is their own.
func TestDigestOfWhatIsInForce(t *testing.T) {
	in := func(change func(c *Config)) uint32 { return deployment(t, change).PeerRevision().Digest }
	same := in(func(*Config) {})
	for _, c := range []struct {
		name    string
		differs bool
		change  func(c *Config)
	}{
		{"tenants in another order", false, func(c *Config) { r := c.Settings.Realms; r[0], r[1] = r[1], r[0] }},
		{"another name and address", false, func(c *Config) { c.Name, c.Listen, c.PeerListen = "shed", "127.0.0.2:8080", "127.0.0.2:1" }},
		{"its own number and zone", false, func(c *Config) { c.Settings.SlotNo, c.Settings.Zone = 1, 1 }},
		{"the operator's number", false, func(c *Config) { c.Revision++ }},
		{"the same kinds of a class elsewhere", false, func(c *Config) { c.Settings.Classes[0].RunsOn = &[]int{0} }},
		{"a share", true, func(c *Config) { c.Settings.Realms[1].Share = 7 }},
		{"a quota", true, func(c *Config) { c.Settings.Realms[0].Quota = 5 }},
		{"shares swapped", true, func(c *Config) { c.Settings.Realms[0].Share, c.Settings.Realms[1].Share = 1, 2 }},
		{"a tenant's name", true, func(c *Config) { c.Settings.Realms[1].Name = "lean" }},
		{"a tenant less", true, func(c *Config) { c.Settings.Realms = c.Settings.Realms[:1] }},
		{"a class's promise", true, func(c *Config) { c.Settings.Classes[0].Promise = 0.2 }},
		{"a class's kinds", true, func(c *Config) { c.Settings.Classes[0].RunsOn = &[]int{1} }},
		{"a class for all kinds", true, func(c *Config) { c.Settings.Classes[0].RunsOn = nil }},
		{"a class more", true, func(c *Config) { c.Settings.Classes = append(c.Settings.Classes, Class{Name: "plan-change"}) }},
	} {
		if other := in(c.change); (other != same) != c.differs {
			t.Errorf("%s: differs is %v, want %v", c.name, other != same, c.differs)
		}
	}
}

// Guards the operator's number: read from his file, 0 where there is none, refused where it cannot be one.
func TestRevisionOfAFile(t *testing.T) {
	for _, c := range []struct {
		key  string
		want uint32
		good bool
	}{{"", 0, true}, {"revision = 41", 41, true}, {"revision = 4294967295", 1<<32 - 1, true},
		{"revision = -1", 0, false}, {"revision = 4294967296", 0, false}, {"revision = \"41\"", 0, false}, {"revision = 1.5", 0, false}} {
		path := filepath.Join(t.TempDir(), "hut.toml")
		if err := os.WriteFile(path, []byte(strings.Replace(hut, "%", c.key, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := ReadOperator(path)
		if c.good != (err == nil) || err == nil && got.PeerRevision().Number != c.want || err != nil && !strings.Contains(err.Error(), path) {
			t.Errorf("%q: %v, want %d", c.key, err, c.want)
		}
	}
}

// Schedulers of several versions compare digests of what is in force: the names of Go fields must not get into them.
func TestInForceDigestStaysOverVersions(t *testing.T) {
	c, err := Parse([]byte(platform))
	if err != nil {
		t.Fatal(err)
	}
	c.Revision = 3
	if got, want := c.PeerRevision(), (peers.Revision{Number: 3, Digest: 0xa730df0}); got != want {
		t.Errorf("platform's file: %#v, want %#v", got, want)
	}
	k := &c.Settings.Classes[0]
	k.RunsOn, k.RunsIn, k.Stream = &[]int{1, 2}, &[]int{}, true
	if got, want := c.PeerRevision(), (peers.Revision{Number: 3, Digest: 0xee8e0aa8}); got != want {
		t.Errorf("with runs_on and runs_in: %#v, want %#v", got, want)
	}
}

package dispatchconfig

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"

	"sedgevale/internal/peers"
)

// maxPeers bounds the schedulers of a site.
const maxPeers = 4096

// PeerPlan is how a scheduler reaches the others of its site.
type PeerPlan struct {
	Listen netip.AddrPort
	Peers  []netip.AddrPort // by number, its own included
	Self   int
	Site   uint64 // a fingerprint of the settings that must be the same for all
	Watch  bool   // failure detection is on
}

// PeerPlan returns the plan, or nil where there are no others or the settings forbid messages.
func (c *Config) PeerPlan() (*PeerPlan, error) {
	switch {
	case len(c.Peers) < 2 || !c.Settings.Bounds.Peers:
		return nil, nil
	case c.PeerListen == "":
		return nil, errors.New("peers without peer_listen, where their datagrams come in")
	}
	if len(c.Peers) > maxPeers {
		return nil, fmt.Errorf("peers: %d addresses, %d at most", len(c.Peers), maxPeers)
	}
	p := &PeerPlan{Self: c.Settings.SlotNo, Watch: c.PeerWatch}
	var err error
	if p.Listen, err = netip.ParseAddrPort(c.PeerListen); err != nil || p.Listen.Port() == 0 || !p.Listen.Addr().Is4() {
		return nil, fmt.Errorf("peer_listen %q is no IPv4 address and port", c.PeerListen)
	}
	seen := map[netip.AddrPort]int{}
	for i, text := range c.Peers {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 || !a.Addr().Is4() {
			return nil, fmt.Errorf("peers: entry %d (%q) is no IPv4 address and port", i, text)
		}
		if j, twice := seen[a]; twice {
			return nil, fmt.Errorf("peers: %s is there twice, as entries %d and %d", text, j, i)
		}
		seen[a] = i
		p.Peers = append(p.Peers, a)
	}
	if p.Self < 0 || p.Self >= len(p.Peers) {
		return nil, fmt.Errorf("peers: this scheduler, %s (slot_no %d), is not among the %d", c.PeerListen, p.Self, len(p.Peers))
	}
	p.Site = c.site()
	return p, nil
}

// site is a fingerprint of the settings that schedulers of one site share and that no reload changes. Tenants are not in it:
// schedulers with old and with new ones must accept each other's datagrams.
func (c *Config) site() uint64 {
	h := fnv.New64a()
	s := &c.Settings
	_, _ = fmt.Fprintf(h, "%d %d %q %q", len(c.Peers), s.Tier, s.Kinds, s.Zones)
	return h.Sum64()
}

// PeerRevision returns the revision that schedulers send each other: the operator's number, and a digest of what must be the
// same for all and can be reloaded: the tenants, in any order, and the classes.
func (c *Config) PeerRevision() peers.Revision {
	tenants := slices.Clone(c.Settings.Realms)
	slices.SortFunc(tenants, func(a, b Realm) int { return cmp.Compare(a.Name, b.Name) })
	h := fnv.New32a()
	for _, t := range tenants {
		_, _ = fmt.Fprintf(h, "%q %v %v\n", t.Name, t.Share, t.Quota)
	}
	for _, k := range c.Settings.Classes {
		// The format is that of the first version, with the names that the fields had then: schedulers of several versions
		// compare digests.
		_, _ = fmt.Fprintf(h, "{Name:%s Effect:%s Scope:%s Window:%v Promise:%v HardLimit:%v LateShare:%v Stream:%v AimStretch:%v RunsOn:<nil> RunsIn:<nil>} %v %v\n",
			k.Name, k.Effect, k.Scope, k.Window, k.Promise, k.HardLimit, k.LateShare, k.Stream, k.AimStretch, k.RunsOn, k.RunsIn)
	}
	return peers.Revision{Number: c.Revision, Digest: h.Sum32()}
}

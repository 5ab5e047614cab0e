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

// maxPeers is the maximum number of schedulers of a site.
const maxPeers = 4096

// PeerConfig is the configuration of the exchange of datagrams with the other schedulers of the
// site.
type PeerConfig struct {
	Listen           netip.AddrPort
	Peers            []netip.AddrPort // addresses of all schedulers by their number, including this one
	Self             int              // number of this scheduler
	Site             uint64           // fingerprint of the settings that must be the same at all schedulers of a site
	FailureDetection bool
}

// PeerConfig validates and returns the configuration of peers, or nil if there are no other
// schedulers or the settings disallow messages to them.
func (c *Config) PeerConfig() (*PeerConfig, error) {
	switch {
	case len(c.Peers) < 2 || !c.Settings.Bounds.Peers:
		return nil, nil
	case c.PeerListen == "":
		return nil, errors.New("peers without peer_listen, where their datagrams come in")
	}
	if len(c.Peers) > maxPeers {
		return nil, fmt.Errorf("peers: %d addresses, %d at most", len(c.Peers), maxPeers)
	}
	p := &PeerConfig{Self: c.Settings.PeerIndex, FailureDetection: c.FailureDetection}
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
	p.Site = c.siteFingerprint()
	return p, nil
}

// siteFingerprint returns a hash of the settings that all schedulers of a site share and that
// no reload changes. It excludes the tenants, since schedulers must accept each other's
// datagrams while a change of tenants is rolled out.
func (c *Config) siteFingerprint() uint64 {
	h := fnv.New64a()
	s := &c.Settings
	_, _ = fmt.Fprintf(h, "%d %d %q %q", len(c.Peers), s.Tier, s.Kinds, s.Zones)
	return h.Sum64()
}

// PeerRevision returns the revision that schedulers of a site send each other. It consists of
// the operator's revision number and a digest of the reloadable settings that must be the same
// at all schedulers: the tenants, in any order, and the classes.
func (c *Config) PeerRevision() peers.Revision {
	tenants := slices.Clone(c.Settings.Tenants)
	slices.SortFunc(tenants, func(a, b Tenant) int { return cmp.Compare(a.Name, b.Name) })
	h := fnv.New32a()
	for _, t := range tenants {
		_, _ = fmt.Fprintf(h, "%q %v %v\n", t.Name, t.Share, t.Quota)
	}
	for _, k := range c.Settings.Classes {
		// The format holds the names that the fields had in the first version and must not change,
		// since schedulers of different versions compare their digests.
		_, _ = fmt.Fprintf(h, "{Name:%s Effect:%s Scope:%s Window:%v Promise:%v HardLimit:%v LateShare:%v Stream:%v AimStretch:%v RunsOn:<nil> RunsIn:<nil>} %v %v\n",
			k.Name, k.Idempotency, k.DedupScope, k.DedupWindow, k.LatencyTarget, k.ClientTimeout, k.LateValue, k.Streaming, k.TargetStretch, k.Kinds, k.Zones)
	}
	return peers.Revision{Number: c.Revision, Digest: h.Sum32()}
}

package core

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/rpc"
)

const maxWatchWait = time.Second // upper limit on the duration of a long poll

func (c *Core) handleWatch(server *rpc.Server) {
	rpc.Handle(server, api.MethodWatch, c.watch)
}

// watch serves a long poll: it responds as soon as the state differs from the subscriber's, no quorum confirms the
// configuration, or the requested time has passed.
func (c *Core) watch(ctx context.Context, r *api.WatchRequest) (*api.WatchResponse, error) {
	timeout := time.NewTimer(min(time.Duration(r.WaitMS)*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	for {
		c.mu.Lock()
		changed := c.changed
		response := c.watchResponse(r)
		c.mu.Unlock()
		response.Confirmed = c.configFresh()
		if !response.Confirmed || response.ConfigVersion != r.ConfigVersion || response.OwnersDigest != r.OwnersDigest {
			return response, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return response, nil
		case <-ctx.Done():
			return response, nil
		}
	}
}

// watchResponse returns the response to a watch request for the current state. c.mu is held.
func (c *Core) watchResponse(r *api.WatchRequest) *api.WatchResponse {
	response := &api.WatchResponse{Owners: c.knownOwners(), Cores: c.coreAddresses()}
	response.OwnersDigest = ownersDigest(response)
	if c.config == nil {
		return response
	}
	response.ConfigVersion = c.config.record.Version
	if r.WantConfig && response.ConfigVersion > r.ConfigVersion {
		response.Config, response.ConfigBase = c.configSince(r.ConfigVersion)
	}
	response.FormerDigest = c.config.formerDigest
	if r.WantConfig && r.FormerDigest != 0 && r.FormerDigest != response.FormerDigest {
		response.Former = c.config.record.Former
	}
	return response
}

// configSince returns the configuration as a patch on the given version if that version is known and the patch is shorter
// than the configuration. Otherwise it returns the complete configuration and base 0. Each patch is computed once. c.mu is
// held.
func (c *Core) configSince(version int64) (text []byte, base int64) {
	complete := c.config.record.Text
	for _, past := range c.previousConfigs {
		if past.Version != version {
			continue
		}
		patch, known := c.config.patches[version]
		if !known {
			patch, _ = clusterconfig.Diff(past.Text, complete)
			c.config.patches[version] = patch
		}
		if len(patch) > 0 && len(patch) < len(complete) {
			return patch, version
		}
	}
	return complete, 0
}

// knownOwners returns for each shard the owner with the highest fencing token among the valid claims, sorted by shard. c.mu
// is held.
func (c *Core) knownOwners() []api.Owner {
	newest := map[string]api.Owner{}
	consider := func(name, address string, token int64) {
		if token > newest[name].Token {
			newest[name] = api.Owner{Shard: name, Address: address, Token: token}
		}
	}
	for name, o := range c.owners {
		if o.active() && o.leaseValid() {
			consider(name, c.address, o.token)
		}
	}
	for address, claim := range c.validClaims() {
		consider(claim.Shard, address, claim.Token)
	}
	owners := make([]api.Owner, 0, len(newest))
	for _, o := range newest {
		owners = append(owners, o)
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i].Shard < owners[j].Shard })
	return owners
}

// ownersDigest returns a hash of the owners and the core schedulers in a response.
func ownersDigest(r *api.WatchResponse) int64 {
	hash := xxhash.New()
	for _, o := range r.Owners {
		_, _ = hash.WriteString(o.Shard + " " + o.Address + " " + strconv.FormatInt(o.Token, 10) + "\n")
	}
	for _, address := range r.Cores {
		_, _ = hash.WriteString(address + "\n")
	}
	return int64(hash.Sum64())
}

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

const maxWatchWait = time.Second // of one long poll

func (c *Core) handleWatch(server *rpc.Server) {
	rpc.Handle(server, api.MethodWatch, c.watch)
}

// watch is a long poll: it answers once something differs from what the subscriber knows, or after the time that it asks for.
func (c *Core) watch(ctx context.Context, r *api.WatchRequest) (*api.WatchResponse, error) {
	timeout := time.NewTimer(min(time.Duration(r.WaitMS)*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	for {
		c.mu.Lock()
		changed := c.changed
		answer := c.watchResponse(r)
		c.mu.Unlock()
		answer.Confirmed = c.configFresh()
		if !answer.Confirmed || answer.ConfigVersion != r.ConfigVersion || answer.OwnersDigest != r.OwnersDigest {
			return answer, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return answer, nil
		case <-ctx.Done():
			return answer, nil
		}
	}
}

// watchResponse returns what is known now. c.mu is held.
func (c *Core) watchResponse(r *api.WatchRequest) *api.WatchResponse {
	answer := &api.WatchResponse{Owners: c.knownOwners(), Cores: c.coreAddresses()}
	answer.OwnersDigest = ownersDigest(answer)
	if c.config == nil {
		return answer
	}
	answer.ConfigVersion = c.config.record.Version
	if r.WantConfig && answer.ConfigVersion > r.ConfigVersion {
		answer.Config, answer.ConfigBase = c.configSince(r.ConfigVersion)
	}
	return answer
}

// configSince returns the configuration as a patch on a version, where that is known here and the patch is shorter,
// else complete. Each patch is computed once. c.mu is held.
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

// knownOwners returns the claim with the highest fencing token to each shard, sorted by shard. c.mu is held.
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
	for address, claim := range c.freshClaims() {
		consider(claim.Shard, address, claim.Token)
	}
	owners := make([]api.Owner, 0, len(newest))
	for _, o := range newest {
		owners = append(owners, o)
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i].Shard < owners[j].Shard })
	return owners
}

// ownersDigest is a hash of the owners and core schedulers of an answer.
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

package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/api"
	"sedgevale/internal/system/rpc"
	"sedgevale/jobs"
)

// The methods that operators' commands call.
const (
	MethodMembers = "admin.members"
	MethodQueues  = "admin.queues"
)

// MembersRequest asks for the core schedulers that one of them knows.
type MembersRequest struct{}

// MembersResponse is the cluster as one core scheduler sees it.
type MembersResponse struct {
	Address       string
	ConfigVersion int64
	ConfigFresh   bool // a quorum has confirmed it within the last 700 ms
	Membership    membership.Membership
	Peers         []PeerInfo
	Owners        []api.Owner
}

// PeerInfo describes another core scheduler.
type PeerInfo struct {
	Address            string
	Zone               string
	LastHeartbeatAgeMS int64  // milliseconds since the last ping that it answered was sent; -1 for never
	Draining           bool   // it drains
	Member             string // the ID of its disk
	Epoch              int64  // of the membership that it knows
}

// QueuesRequest asks for the shards that a core scheduler owns.
type QueuesRequest struct{}

// QueuesResponse describes them.
type QueuesResponse struct {
	Shards []ShardInfo
}

// ShardInfo describes one shard.
type ShardInfo struct {
	Shard         string
	Token         int64 // the owner's fencing token
	LeaseValid    bool  // the owner's lease is valid
	Records       int64 // how many the shard has
	InSync        int64 // replicas in sync
	Queues        []jobs.QueueSummary
	Workers       []jobs.WorkerSummary
	Unschedulable []jobs.UnschedulableGroup // units that wait despite free capacity
}

func (c *Core) handleAdmin(server *rpc.Server) {
	rpc.Handle(server, MethodMembers, func(context.Context, *MembersRequest) (*MembersResponse, error) {
		return c.members(), nil
	})
	rpc.Handle(server, MethodQueues, func(context.Context, *QueuesRequest) (*QueuesResponse, error) {
		return &QueuesResponse{Shards: c.shardInfos()}, nil
	})
}

// members describes the core as this scheduler sees it.
func (c *Core) members() *MembersResponse {
	answer := &MembersResponse{Address: c.address, ConfigFresh: c.configFresh(), Membership: c.store.currentMembership()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config != nil {
		answer.ConfigVersion = c.config.record.Version
	}
	answer.Owners = c.knownOwners()
	for address, p := range c.peers {
		if address == c.address {
			continue
		}
		info := PeerInfo{
			Address: address, Zone: p.status.Zone, LastHeartbeatAgeMS: -1, Draining: p.status.Draining, Member: p.status.Member,
			Epoch: p.status.Membership.Epoch,
		}
		if !p.lastHeartbeat.IsZero() {
			info.LastHeartbeatAgeMS = time.Since(p.lastHeartbeat).Milliseconds()
		}
		answer.Peers = append(answer.Peers, info)
	}
	return answer
}

// shardInfos describes the shards that this scheduler owns.
func (c *Core) shardInfos() []ShardInfo {
	c.mu.Lock()
	owners := make([]*owner, 0, len(c.owners))
	for _, o := range c.owners {
		owners = append(owners, o)
	}
	c.mu.Unlock()
	var infos []ShardInfo
	for _, o := range owners {
		if o.active() {
			infos = append(infos, o.info())
		}
	}
	return infos
}

func (o *owner) info() ShardInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	info := ShardInfo{Shard: o.name, Token: o.token, LeaseValid: o.leaseValidLocked(), Records: int64(o.primary.Records.Len())}
	for i := range o.replicators {
		if o.primary.InSync(i) {
			info.InSync++
		}
	}
	info.Queues, info.Workers = o.scheduler.Summary()
	info.Unschedulable = o.scheduler.UnschedulableGroups(o.monotonicNow(), unschedulableReportDelay)
	return info
}

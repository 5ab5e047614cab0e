package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/api"
	"sedgevale/internal/system/rpc"
	"sedgevale/jobs"
)

// The methods of the internal protocol that the operators' command-line tool calls.
const (
	MethodMembers = "admin.members"
	MethodQueues  = "admin.queues"
)

// MembersRequest asks a core scheduler for its view of the cluster.
type MembersRequest struct{}

// MembersResponse is the cluster as one core scheduler sees it.
type MembersResponse struct {
	Address       string
	ConfigVersion int64
	ConfigFresh   bool // whether a quorum has confirmed the configuration within the last 700 ms
	Membership    membership.Membership
	Peers         []PeerInfo
	Owners        []api.Owner
}

// PeerInfo describes another core scheduler.
type PeerInfo struct {
	Address            string
	Zone               string
	LastHeartbeatAgeMS int64 // milliseconds since the last answered ping was sent; -1 if none was answered
	Draining           bool
	Member             string // ID of the peer's disk
	Epoch              int64  // epoch of the newest membership that the peer knows
}

// QueuesRequest asks a core scheduler for the state of the shards that it owns.
type QueuesRequest struct{}

// QueuesResponse lists the shards that the responder owns.
type QueuesResponse struct {
	Shards []ShardInfo
}

// ShardInfo describes an owned shard.
type ShardInfo struct {
	Shard         string
	Token         int64 // fencing token of the owner
	LeaseValid    bool
	Records       int64 // number of records
	InSync        int64 // number of replicas in sync
	Queues        []jobs.QueueSummary
	Workers       []jobs.WorkerSummary
	Unschedulable []jobs.UnschedulableGroup // task groups that are pending despite free capacity
}

func (c *Core) handleAdmin(server *rpc.Server) {
	rpc.Handle(server, MethodMembers, func(context.Context, *MembersRequest) (*MembersResponse, error) {
		return c.members(), nil
	})
	rpc.Handle(server, MethodQueues, func(context.Context, *QueuesRequest) (*QueuesResponse, error) {
		return &QueuesResponse{Shards: c.shardInfos()}, nil
	})
}

// members returns this scheduler's view of the cluster.
func (c *Core) members() *MembersResponse {
	response := &MembersResponse{Address: c.address, ConfigFresh: c.configFresh(), Membership: c.store.currentMembership()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config != nil {
		response.ConfigVersion = c.config.record.Version
	}
	response.Owners = c.knownOwners()
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
		response.Peers = append(response.Peers, info)
	}
	return response
}

// shardInfos returns the state of each shard that this scheduler owns.
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
